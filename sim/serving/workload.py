"""What clients ask for in a minute: how much of each kind, waves, bursts and jobs, drawn from a seed."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from sim.serving.engine import Engine, Failure
from sim.serving.request import Kind, Request


@dataclass(frozen=True)
class Burst:
    """A kind is asked for `times` as often for some seconds; an empty name stands for all live kinds."""

    kind: str
    at: float
    seconds: float
    times: float


@dataclass(frozen=True)
class Crash:
    """A share of the workers is lost for some seconds, with all that runs there."""

    share: float
    at: float
    seconds: float
    failure: Failure = Failure.REFUSES


@dataclass(frozen=True)
class Workload:
    """A fleet's sizes and what it is asked for."""

    name: str
    engine: Engine
    workers: int
    edges: int
    kinds: tuple[Kind, ...]
    seconds: float = 30.0
    swing: float = 0.12  # of the rate that the wave adds and takes
    period: float = 11.0  # seconds of a wave
    bursts: tuple[Burst, ...] = ()
    crashes: tuple[Crash, ...] = ()
    initial_edge_skew: float = 0.5  # how unevenly clients lie on edges: the sigma of their weights


def draw_requests(workload: Workload, seed: int) -> list[Request]:
    """All requests and items in the order of their arrival. The same seed draws the same for every policy."""
    chance = random.Random(f"{workload.name}/{seed}")
    weights = [math.exp(chance.gauss(0, workload.initial_edge_skew)) for _ in range(workload.edges)]
    phase = chance.random()
    found: list[Request] = []
    for kind in workload.kinds:
        subject_weights = [(i + 1) ** -kind.skew for i in range(kind.subjects)]
        shared_tokens = [int(kind.shared.draw(chance)) for _ in range(kind.subjects)]
        for at in _arrivals(workload, kind, phase, chance):
            subject = chance.choices(range(kind.subjects), subject_weights)[0]
            count = 1 if kind.items is None else max(1, round(kind.items.draw(chance)))
            edge = chance.choices(range(workload.edges), weights)[0]
            for _ in range(count):
                found.append(
                    Request(
                        kind, 0, at, edge, subject, shared_tokens[subject], max(1, int(kind.own.draw(chance))),
                        max(1, round(kind.events.draw(chance))),
                    )
                )  # fmt: skip
    found.sort(key=lambda request: request.arrived)
    for number, request in enumerate(found):
        request.number = number
    return found


def _arrivals(workload: Workload, kind: Kind, phase: float, chance: random.Random) -> list[float]:
    """Times at which requests of a kind arrive, by thinning of a Poisson process."""
    bursts = [b for b in workload.bursts if b.kind in ("", kind.name)]
    most = kind.rate * (1 + workload.swing) * max([1.0, *(b.times for b in bursts)])
    times: list[float] = []
    at = 0.0
    while most > 0:
        at += chance.expovariate(most)
        if at >= workload.seconds:
            break
        rate = kind.rate * (1 + workload.swing * math.sin(2 * math.pi * (at / workload.period + phase)))
        for burst in bursts:
            if burst.at <= at < burst.at + burst.seconds:
                rate *= burst.times
        if chance.random() * most < rate:
            times.append(at)
    return times

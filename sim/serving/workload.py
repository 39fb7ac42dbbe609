"""What clients ask for in a minute: kinds of requests, waves, bursts and jobs, drawn from a seed."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from sim.serving.engine import Engine, Failure


@dataclass(frozen=True)
class Spread:
    """A log-normal number. `sigma`: the standard deviation of its logarithm; `most`: where it is cut off."""

    mean: float
    sigma: float = 0.0
    most: float = math.inf

    def draw(self, chance: random.Random) -> float:
        """One number."""
        if not self.sigma:
            return self.mean
        return min(self.most, self.mean * math.exp(chance.gauss(0, self.sigma) - self.sigma**2 / 2))


@dataclass(frozen=True)
class Kind:
    """One kind of request, or of job.

    :ivar rate: requests a second, or jobs.
    :ivar shared: tokens of the shared part of a prompt; `subjects`: how many there are of them.
    :ivar skew: the exponent by which some subjects are asked for more often than others.
    :ivar own: tokens of the rest of a prompt.
    :ivar events: events of an answer.
    :ivar target: seconds until the first event, or until an item of a job is due.
    :ivar pause: the longest pause in seconds between two events of an answer that is in time.
    :ivar deadline: seconds after which the client gives up.
    :ivar items: items of a job; none for live requests.
    :ivar worth: of one in time; `late_worth`: of one that comes later.
    """

    name: str
    rate: float
    shared: Spread
    subjects: int
    own: Spread
    events: Spread
    target: float
    pause: float
    deadline: float
    worth: float
    late_worth: float
    skew: float = 0.3
    items: Spread | None = None


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


@dataclass(eq=False, slots=True)
class Request:
    """A live request or an item, with what became of it. Times are seconds from the start; -1: not yet."""

    kind: Kind
    number: int
    arrived: float
    edge: int
    subject: int
    shared: int
    own: int
    events: int
    first: float = -1.0
    done: float = -1.0
    longest_pause: float = 0.0
    refused: bool = False
    started: float = -1.0  # an item: when it was last sent to a worker
    lost: int = 0  # times that a worker took it and broke off
    read: int = 0  # prompt tokens that workers read for it
    tries: int = 0
    worker: int = -1
    excluded: set[int] = field(default_factory=set)

    @property
    def tokens(self) -> int:
        """Tokens of its prompt."""
        return self.shared + self.own

    @property
    def key(self) -> bytes:
        """The key of its prefix."""
        return f"{self.kind.name}/{self.subject}".encode()

    @property
    def in_time(self) -> bool:
        """Did it come in time, to the last event?"""
        if self.done < 0:
            return False
        if self.kind.items is not None:
            return self.done - self.arrived <= self.kind.target
        return self.first - self.arrived <= self.kind.target and self.longest_pause <= self.kind.pause


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

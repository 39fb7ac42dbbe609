"""Breadth-first search over a transition system, up to symmetry, with the shortest trace of a breach."""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)


@dataclass(frozen=True)
class Step(Generic[S]):
    """One transition. `breach` says which invariant the transition itself breaks, if any."""

    label: str
    state: S
    breach: str = ""


@dataclass(frozen=True)
class System(Generic[S]):
    """What is searched. `canonical` maps states that differ only by names to one of them; `flaw` names an invariant
    that a state breaks."""

    initial: S
    steps: Callable[[S], Iterable[Step[S]]]
    canonical: Callable[[S], S] = lambda state: state
    flaw: Callable[[S], str] = lambda state: ""


@dataclass(frozen=True)
class Limits:
    """Where a search ends. 0: no limit."""

    depth: int = 0
    states: int = 0


@dataclass(frozen=True)
class Found:
    """The outcome. `complete`: no state that can be reached was left out."""

    states: int
    transitions: int
    depth: int
    complete: bool
    seconds: float
    breach: str = ""
    trace: tuple[str, ...] = ()

    def text(self) -> str:
        """The outcome for a reader."""
        extent = "all states" if self.complete else f"states to depth {self.depth}"
        head = (
            f"{self.states} states, {self.transitions} transitions, {extent}, depth {self.depth}, {self.seconds:.1f} s"
        )
        if not self.breach:
            return f"{head}: no invariant broken"
        lines = [f"{number:3}. {label}" for number, label in enumerate(self.trace, 1)]
        return "\n".join([f"{head}: BROKEN: {self.breach}", *lines])


def search(system: System[S], limits: Limits = Limits()) -> Found:
    """Visits every state within the limits, nearest first, and ends at the first breach."""
    began = time.process_time()
    first = system.canonical(system.initial)
    parents: dict[S, S | None] = {first: None}
    layer, depth, transitions = [first], 0, 0

    def found(complete: bool, breach: str = "", trace: tuple[str, ...] = ()) -> Found:
        return Found(len(parents), transitions, depth, complete, time.process_time() - began, breach, trace)

    if flaw := system.flaw(first):
        return found(False, flaw)
    while layer:
        if limits.depth and depth >= limits.depth:
            return found(False)
        depth += 1
        following: list[S] = []
        for state in layer:
            for step in system.steps(state):
                transitions += 1
                reached = system.canonical(step.state)
                known = reached in parents
                if known and not step.breach:
                    continue
                breach = step.breach or system.flaw(reached)
                if breach:
                    path = _path(parents, state)
                    return found(False, breach, _labels(system, path, reached, breach))
                parents[reached] = state
                following.append(reached)
                if limits.states and len(parents) >= limits.states:
                    return found(False)
        layer = following
    return found(True)


def _path(parents: dict[S, S | None], last: S) -> list[S]:
    out, state = [last], parents[last]
    while state is not None:
        out.append(state)
        state = parents[state]
    return out[::-1]


def _labels(system: System[S], path: list[S], last: S, breach: str) -> tuple[str, ...]:
    """The steps along a path of canonical states, told with the names of one run from the initial state."""
    state, labels = system.initial, []
    for wanted in [*path[1:], last]:
        fits = [s for s in system.steps(state) if system.canonical(s.state) == wanted]
        step = next((s for s in fits if s.breach == breach), fits[0])
        labels.append(step.label)
        state = step.state
    return tuple(labels)

"""A request of the emulator and its kind: what it asks for, and what became of it."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field


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

"""Checks that the operators' history over the configuration is linearizable, after Wing and Gong with memoization.

The configuration is one register with compare-and-set: an order names the version that it builds on and the version that
it makes. An order that was taken is remembered, so that a resend of it is acknowledged and changes nothing. An attempt
without a clear answer may take effect at any time after it began, or never. The module shares no code with the product.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace

MAX_STATES = 500_000


class Outcome(enum.Enum):
    """What an attempt was answered."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Order:
    """A configuration order. `request` identifies what was sent, so resends have the same one; `content` identifies the
    whole configuration that the order makes."""

    base: int
    version: int
    request: str
    content: str
    valid: bool = True


@dataclass(frozen=True)
class Attempt:
    """One send of an order. `ended` says nothing where the outcome is unknown."""

    order: Order
    began: float
    ended: float
    outcome: Outcome

    def __str__(self) -> str:
        order = self.order
        return f"version {order.version} on {order.base} ({order.request}): {self.outcome.value} at {self.ended:.3f}"


@dataclass(frozen=True)
class Read:
    """A read with a clear answer; version 0 stands for no configuration yet."""

    version: int
    content: str
    began: float
    ended: float

    def __str__(self) -> str:
        return f"version {self.version} ({self.content}) read at {self.ended:.3f}"


Operation = Attempt | Read


@dataclass(frozen=True)
class Register:
    """The configuration in force, and the requests that were ever taken."""

    version: int = 0
    content: str = ""
    taken: frozenset[str] = frozenset()

    def takes(self, order: Order) -> bool:
        """Whether an order that was not taken before takes effect now."""
        fits = order.base == self.version < order.version
        return fits and order.valid and order.request not in self.taken

    def after(self, order: Order) -> Register:
        return Register(order.version, order.content, self.taken | {order.request})

    def allows_unchanged(self, operation: Operation) -> bool:
        """Whether the operation may have had its answer here without a change of the register."""
        if isinstance(operation, Read):
            return (operation.version, operation.content) == (self.version, self.content)
        if operation.outcome is Outcome.TAKEN:
            return operation.order.request in self.taken
        return operation.order.request not in self.taken and not self.takes(operation.order)


@dataclass(frozen=True)
class Verdict:
    """Where `linearizable` is false, `stuck` is an operation that no order of the history explains, and `register` what
    was in force when the search that got furthest met it."""

    linearizable: bool
    states: int
    stuck: Operation | None = None
    register: Register = Register()

    def __str__(self) -> str:
        if self.linearizable:
            return f"linearizable ({self.states} states)"
        return f"not linearizable: {self.stuck}, while version {self.register.version} was in force"


class Undecided(Exception):
    """The search was given up at `MAX_STATES`."""


@dataclass(frozen=True)
class Progress:
    """A state of the search. Every answered operation before `first` is linearized, and those in `beyond` after it."""

    first: int
    beyond: frozenset[int]
    register: Register

    def done(self) -> int:
        return self.first + len(self.beyond)

    def without(self, index: int) -> Progress:
        """The state after the operation at `index` was linearized."""
        first, beyond = self.first, self.beyond | {index}
        while first in beyond:
            beyond -= {first}
            first += 1
        return replace(self, first=first, beyond=beyond)


@dataclass(eq=False)
class Search:
    """The search over one history. Invariant: `answered` is sorted by the begin of its operations."""

    answered: list[Operation]
    unknown: dict[int, list[Attempt]]  # by the version they build on
    visited: set[Progress] = field(default_factory=set)

    def enabled(self, progress: Progress) -> tuple[list[int], float]:
        """The operations that may come next, and the time by which the next one must have come."""
        indexes: list[int] = []
        limit = float("inf")
        for index in range(progress.first, len(self.answered)):
            operation = self.answered[index]
            if operation.began > limit:
                break
            if index not in progress.beyond:
                indexes.append(index)
                limit = min(limit, operation.ended)
        return [i for i in indexes if self.answered[i].began <= limit], limit

    def settle(self, progress: Progress) -> Progress:
        """Linearizes all that may come next and changes nothing: to do that as early as possible rules nothing out."""
        while True:
            indexes, _ = self.enabled(progress)
            index = next((i for i in indexes if progress.register.allows_unchanged(self.answered[i])), None)
            if index is None:
                return progress
            progress = progress.without(index)

    def successors(self, progress: Progress) -> Iterator[Progress]:
        """Every state after one more order took effect; those of acknowledged orders come last."""
        register = progress.register
        indexes, limit = self.enabled(progress)
        for attempt in self.unknown[register.version]:
            if attempt.began <= limit and register.takes(attempt.order):
                yield replace(progress, register=register.after(attempt.order))
        for index in indexes:
            operation = self.answered[index]
            if (
                isinstance(operation, Attempt)
                and operation.outcome is Outcome.TAKEN
                and register.takes(operation.order)
            ):
                yield replace(progress.without(index), register=register.after(operation.order))

    def stuck(self, progress: Progress) -> Operation:
        """The operation that must come next and can't."""
        indexes, _ = self.enabled(progress)
        return min((self.answered[i] for i in indexes), key=lambda operation: operation.ended)

    def run(self, initial: Register) -> Verdict:
        furthest = Progress(0, frozenset(), initial)
        stack = [furthest]
        while stack:
            progress = self.settle(stack.pop())
            if progress in self.visited:
                continue
            self.visited.add(progress)
            if len(self.visited) > MAX_STATES:
                raise Undecided(f"{len(self.answered)} operations, {MAX_STATES} states")
            if progress.done() == len(self.answered):
                return Verdict(True, len(self.visited))
            if progress.done() > furthest.done():
                furthest = progress
            stack += self.successors(progress)
        return Verdict(False, len(self.visited), self.stuck(furthest), furthest.register)


def check(history: Sequence[Operation], initial: Register = Register()) -> Verdict:  # noqa: B008
    """Whether some order of the operations, each at a moment between its begin and its end, explains every answer."""
    answered: list[Operation] = []
    unknown: dict[int, list[Attempt]] = defaultdict(list)
    for operation in sorted(history, key=lambda o: o.began):
        if isinstance(operation, Attempt) and operation.outcome is Outcome.UNKNOWN:
            unknown[operation.order.base].append(operation)
        else:
            answered.append(operation)
    return Search(answered, unknown).run(initial)

"""Checks that the history of the operators' changes and reads of the configuration is linearizable.

The algorithm is that of Wing and Gong, with memoization. The configuration is one register with compare-and-set: an order
names the version that it builds on and the version that it makes. An order that was accepted is remembered, so that a
resend of it is acknowledged and changes nothing. An attempt without a clear answer may take effect at any time after it
began, or never. The module shares no code with the product.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace

MAX_STATES = 500_000


class Outcome(enum.Enum):
    """The answer to an attempt: accepted, refused, or none that is clear."""

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
    """One sending of an order. `ended` has no meaning if the outcome is unknown."""

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
    """The state of the model: the configuration in force, and all requests that were accepted so far."""

    version: int = 0
    content: str = ""
    taken: frozenset[str] = frozenset()

    def takes(self, order: Order) -> bool:
        """Returns whether an order takes effect in this state; one that was accepted before does not."""
        builds_on_current = order.base == self.version < order.version
        return builds_on_current and order.valid and order.request not in self.taken

    def after(self, order: Order) -> Register:
        """Returns the state after an order took effect."""
        return Register(order.version, order.content, self.taken | {order.request})

    def allows_unchanged(self, operation: Operation) -> bool:
        """Returns whether the operation may get its answer in this state without a change of the register."""
        if isinstance(operation, Read):
            return (operation.version, operation.content) == (self.version, self.content)
        if operation.outcome is Outcome.TAKEN:
            return operation.order.request in self.taken
        return operation.order.request not in self.taken and not self.takes(operation.order)


@dataclass(frozen=True)
class Verdict:
    """The result of a search.

    Attributes:
        linearizable: whether an order of the operations was found that explains every answer.
        states: the number of states that were visited.
        stuck: if there is no such order, the operation at which the search that got furthest failed.
        register: the state of the register at that operation.
    """

    linearizable: bool
    states: int
    stuck: Operation | None = None
    register: Register = Register()

    def __str__(self) -> str:
        if self.linearizable:
            return f"linearizable ({self.states} states)"
        return f"not linearizable: {self.stuck}, while version {self.register.version} was in force"


class Undecided(Exception):
    """The search was given up since it visited more than `MAX_STATES` states."""


@dataclass(frozen=True)
class Progress:
    """A state of the search.

    Attributes:
        first: the index of the first answered operation that is not linearized.
        beyond: the indexes of those after `first` that are linearized.
        register: the state of the register.
    """

    first: int
    beyond: frozenset[int]
    register: Register

    def done(self) -> int:
        """Returns the number of answered operations that are linearized."""
        return self.first + len(self.beyond)

    def without(self, index: int) -> Progress:
        """Returns the state after the answered operation at `index` was linearized."""
        first, beyond = self.first, self.beyond | {index}
        while first in beyond:
            beyond -= {first}
            first += 1
        return replace(self, first=first, beyond=beyond)


@dataclass(eq=False)
class Search:
    """The search over one history.

    Invariant: `answered` is sorted by the times at which its operations began.

    Attributes:
        answered: the operations with a clear answer.
        unknown: the attempts without a clear answer, by the version that they build on.
        visited: the states of the search so far.
    """

    answered: list[Operation]
    unknown: dict[int, list[Attempt]]
    visited: set[Progress] = field(default_factory=set)

    def enabled(self, progress: Progress) -> tuple[list[int], float]:
        """Returns the indexes of the operations that may come next, and the time by which the next one must take effect."""
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

    def linearize_unchanged(self, progress: Progress) -> Progress:
        """Linearizes all operations that may come next and change nothing, as early as possible, which excludes no solution."""
        while True:
            indexes, _ = self.enabled(progress)
            index = next((i for i in indexes if progress.register.allows_unchanged(self.answered[i])), None)
            if index is None:
                return progress
            progress = progress.without(index)

    def successors(self, progress: Progress) -> Iterator[Progress]:
        """Yields every state after one more order took effect.

        Those of acknowledged orders come last, so that the search, which takes from the end of its stack, tries them first.
        """
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
        """Returns the operation that must come next and can't: the one that ended first."""
        indexes, _ = self.enabled(progress)
        return min((self.answered[i] for i in indexes), key=lambda operation: operation.ended)

    def run(self, initial: Register) -> Verdict:
        """Searches depth-first for an order of the operations that explains every answer. Raises `Undecided`."""
        furthest = Progress(0, frozenset(), initial)
        stack = [furthest]
        while stack:
            progress = self.linearize_unchanged(stack.pop())
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
    """Checks whether an order of the operations, each taking effect between its begin and its end, explains every answer.

    Raises:
        Undecided: the search took too many states.
    """
    answered: list[Operation] = []
    unknown: dict[int, list[Attempt]] = defaultdict(list)
    for operation in sorted(history, key=lambda o: o.began):
        if isinstance(operation, Attempt) and operation.outcome is Outcome.UNKNOWN:
            unknown[operation.order.base].append(operation)
        else:
            answered.append(operation)
    return Search(answered, unknown).run(initial)

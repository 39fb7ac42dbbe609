"""The order in which items of jobs are served: earliest due time first, then those that can't be done in time any more.

By due time alone, everything becomes late as soon as the queue is longer than the time until the items are due: each item
is started when its due time has just passed, while the next one waits and becomes late too. An item that is late anyway
loses nothing more by waiting a little longer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions

OVERDUE_EVERY = 10  # one in so many served items is an overdue one while others wait, so that none waits forever
RUN_WEIGHT = 1 / 16  # weight of the newest run in the moving average of run times

Entry = TypeVar("Entry")


def usual_seconds(so_far: float, newest: float) -> float:
    """Returns the moving average of the seconds that items take, updated by the newest; `so_far` is 0 before the first."""
    return newest if so_far <= 0 else so_far + (newest - so_far) * RUN_WEIGHT


def serving_order(
    items: Iterable[Entry], due: Callable[[Entry], float], earliest: float, options: RoutingOptions = DEFAULT_OPTIONS
) -> list[Entry]:
    """Returns items, given sorted by their due times, in the order in which they are to be served.

    `earliest` is the earliest due time, by the clock of `due`, that an item which starts now can still meet.
    """
    ordered = list(items)
    if not options.overdue_last:
        return ordered
    not_overdue = [item for item in ordered if due(item) >= earliest]
    return interleave_overdue(not_overdue, [item for item in ordered if due(item) < earliest])


def interleave_overdue(not_overdue: Sequence[Entry], overdue: Sequence[Entry]) -> list[Entry]:
    """Returns the entries that are not overdue, with overdue ones in between, and then the remaining overdue ones.

    While there are both, one in `OVERDUE_EVERY` entries is an overdue one.
    """
    served: list[Entry] = []
    remaining_overdue = deque(overdue)
    for item in not_overdue:
        served.append(item)
        if remaining_overdue and len(served) % OVERDUE_EVERY == OVERDUE_EVERY - 1:
            served.append(remaining_overdue.popleft())
    return served + list(remaining_overdue)

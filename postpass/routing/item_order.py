"""In which order items of jobs are served: nearest due first, and behind them those that can't be done in time any more.

By due time alone, a queue that is longer than the time to the due time makes everything late: each item is started when its
time is just over, and the next one waits behind it. What is late anyway loses nothing more by waiting a little longer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions

OVERDUE_EVERY = 10  # one in so many is overdue while others wait, so that none waits for ever
RUN_WEIGHT = 1 / 16  # of the newest run in the time that one usually takes

Entry = TypeVar("Entry")


def usual_seconds(so_far: float, newest: float) -> float:
    """How long items usually take, with one more seen; `so_far` is 0 before the first."""
    return newest if so_far <= 0 else so_far + (newest - so_far) * RUN_WEIGHT


def serving_order(
    items: Iterable[Entry], due: Callable[[Entry], float], earliest: float, options: RoutingOptions = DEFAULT_OPTIONS
) -> list[Entry]:
    """Items that are sorted by their due times, in the order in which they are to be served.

    `earliest`: the first due time, by the clock of `due`, that can be met by an item which starts now.
    """
    ordered = list(items)
    if not options.overdue_last:
        return ordered
    in_time = [item for item in ordered if due(item) >= earliest]
    return interleaved(in_time, [item for item in ordered if due(item) < earliest])


def interleaved(in_time: Sequence[Entry], overdue: Sequence[Entry]) -> list[Entry]:
    """Those that can be done in time, with one in `OVERDUE_EVERY` that can't while there are some, and the rest of these."""
    served: list[Entry] = []
    late = deque(overdue)
    for item in in_time:
        served.append(item)
        if late and len(served) % OVERDUE_EVERY == OVERDUE_EVERY - 1:
            served.append(late.popleft())
    return served + list(late)

"""Free slots of workers while items are placed: counted once for each pool, then counted down."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

Slots = dict[str, int]  # by worker


@dataclass(eq=False)
class FreeSlots:
    """The slots that items may still take. Owned by one placement run, which ends before its next await.

    `count_pool` counts the free slots of a pool, which takes a walk over all its workers and what is known of each. So it
    is asked once for each pool and not for each item: what a run costs must not be items times workers.

    Invariant: `by_pool` holds no worker without a free slot.
    """

    count_pool: Callable[[str], Slots]
    by_pool: dict[str, Slots] = field(default_factory=dict)

    def of(self, pool: str) -> Slots:
        """The free slots of a pool, by worker; without those that have none."""
        if pool not in self.by_pool:
            self.by_pool[pool] = {worker: free for worker, free in self.count_pool(pool).items() if free > 0}
        return self.by_pool[pool]

    def any_in(self, pools: Iterable[str]) -> bool:
        """Is a slot free in one of these pools?"""
        return any(self.of(pool) for pool in pools)

    def take(self, pool: str, worker: str) -> None:
        """An item takes a slot of a worker that has a free one."""
        slots = self.of(pool)
        slots[worker] -= 1
        if slots[worker] == 0:
            del slots[worker]

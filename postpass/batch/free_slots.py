"""The workers' free slots during placement: counted once for each pool, then counted down as items are placed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

Slots = dict[str, int]  # number of slots, by worker


@dataclass(eq=False)
class FreeSlots:
    """The slots that items may still take. Owned by one placement run, which ends before its next await.

    `count_pool` counts the free slots of a pool, which iterates over all its workers. So it is called once for each
    pool and not for each item: the cost of a run must not be items times workers.

    Invariant: `by_pool` holds no worker without a free slot.
    """

    count_pool: Callable[[str], Slots]
    by_pool: dict[str, Slots] = field(default_factory=dict)

    def of(self, pool: str) -> Slots:
        """Returns the free slots of a pool by worker; workers that have none are left out."""
        if pool not in self.by_pool:
            self.by_pool[pool] = {worker: free for worker, free in self.count_pool(pool).items() if free > 0}
        return self.by_pool[pool]

    def any_in(self, pools: Iterable[str]) -> bool:
        """Returns whether a slot is free in one of these pools."""
        return any(self.of(pool) for pool in pools)

    def take(self, pool: str, worker: str) -> None:
        """Takes a slot of a worker, which must have a free one."""
        slots = self.of(pool)
        slots[worker] -= 1
        if slots[worker] == 0:
            del slots[worker]

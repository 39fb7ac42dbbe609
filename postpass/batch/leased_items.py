"""The items that a scheduler holds under the leases of their owners."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from postpass.batch.item_request import Text
from postpass.batch.messages import Item, ItemGrant, ItemKey
from postpass.runtime.environment import now
from postpass.worker_api.openai import Prompt

ROUTE_CLASS = "route:"  # the class of the items of a route is its name behind this
Key = tuple[int, str, int]  # partition, job, position in the job


@dataclass(eq=False)
class LeasedItem:
    """An item held here, waiting or running.

    Invariant: at most one task runs it; it is held until its result was taken, its job was ended, or it went back to the
    owner. It runs while `task` is set, and waits otherwise.
    """

    partition: int
    job: str
    item: int
    item_class: str
    due: float  # seconds of the wall clock
    prompt: Prompt
    client: str
    worker: str = ""
    task: asyncio.Task[None] | None = None
    pieces: int = 0  # pieces of output that came in this run
    # An item of a route: the request, the pool it was placed in, and what is known of its text.
    request: Item | None = None
    tries: int = 0  # failures that it may have
    since: int = 0  # no earlier revision of the configuration may place it
    pool: str = ""
    text: Text = field(default_factory=Text)
    not_before: float = 0.0  # loop time before which it isn't placed again, in seconds
    reporting: bool = False  # its result is on its way to the owner

    @classmethod
    def granted(cls, partition: int, grant: ItemGrant) -> LeasedItem:
        """An item as an owner leases it, waiting."""
        return cls(
            partition=partition,
            job=grant.job,
            item=grant.item,
            item_class=grant.item_class,
            due=grant.due,
            prompt=grant.prompt,
            client=grant.client,
            request=grant.request,
            tries=grant.tries,
            since=grant.since,
        )

    @property
    def key(self) -> Key:
        """What tells it from all other items."""
        return (self.partition, self.job, self.item)

    @property
    def route(self) -> str:
        """The name of its route, if it came by one."""
        return self.item_class.removeprefix(ROUTE_CLASS)

    @property
    def is_running(self) -> bool:
        """Is a task running it?"""
        return self.task is not None


def nearest_due(item: LeasedItem) -> tuple[float, str, int]:
    """Sorts items by their due time."""
    return (item.due, item.job, item.item)


@dataclass(eq=False)
class LeasedItems:
    """All items held here, in the order in which they came, and when the leases of their partitions run out.

    Owned by the scheduler; its size is bounded by the slots of the pools. `leases` holds the loop time in seconds until
    which a partition's owner lets this scheduler start items.
    """

    by_key: dict[Key, LeasedItem] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)

    def __iter__(self) -> Iterator[LeasedItem]:
        return iter(self.by_key.values())

    def __len__(self) -> int:
        return len(self.by_key)

    def add(self, item: LeasedItem) -> None:
        """Takes an item, unless it is held already."""
        self.by_key.setdefault(item.key, item)

    def holds(self, item: LeasedItem) -> bool:
        """Is it still this very item that is held?"""
        return self.by_key.get(item.key) is item

    def running(self) -> list[LeasedItem]:
        """The items that run."""
        return [item for item in self if item.is_running]

    def waiting(self) -> list[LeasedItem]:
        """The items that wait for a worker."""
        return [item for item in self if not item.is_running]

    def of_job(self, job: str) -> list[LeasedItem]:
        """The items of a job."""
        return [item for item in self if item.job == job]

    def unreported(self, partition: int) -> list[ItemKey]:
        """The items of a partition whose leases are to be renewed."""
        return [ItemKey(item.job, item.item) for item in self if item.partition == partition and not item.reporting]

    def partitions(self) -> set[int]:
        """The partitions that items are held of."""
        return {item.partition for item in self}

    def lease_expired(self, partition: int) -> bool:
        """May nothing of this partition be started any more?"""
        return now() >= self.leases.get(partition, 0.0)

    def remove(self, item: LeasedItem) -> None:
        """Holds an item no longer; it may be gone already."""
        self.by_key.pop(item.key, None)

    def drop(self, item: LeasedItem) -> None:
        """Holds an item no longer, and cancels its run."""
        self.remove(item)
        if item.task is not None:
            item.task.cancel()

    def drop_all(self) -> None:
        """Drops every item and every lease."""
        for item in list(self):
            self.drop(item)
        self.leases.clear()

"""The items that a scheduler holds under leases from their partitions' owners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from postpass.batch.item_request import ItemText
from postpass.batch.messages import Item, ItemGrant, ItemKey
from postpass.batch.run_progress import RunProgress
from postpass.runtime.environment import now
from postpass.worker_api.openai import Prompt

ROUTE_CLASS = "route:"  # prefix; the class of the items of a route is this and the route's name
LeasedItemKey = tuple[int, str, int]  # partition, job, position in the job


class WaitReason(StrEnum):
    """Why the last placement run did not start an item that waits, by its value in status pages and metrics."""

    NOT_CONSIDERED = "not considered yet"
    PAUSED = "paused after a run"
    NO_FREE_SLOT = "no free slot"
    NO_ROUTE = "no route"
    OLD_CONFIGURATION = "older configuration than its job"
    LEASE_EXPIRED = "lease expired"
    NO_POOL = "no pool"


@dataclass(eq=False)
class LeasedItem:
    """An item leased to this scheduler, waiting or running.

    Invariant: at most one task runs it. It is held until the owner has recorded its result, its job was ended, or it
    was returned to the owner. It runs while `task` is set, and waits otherwise.
    """

    partition: int
    job: str
    position: int
    item_class: str
    due: float  # wall-clock time in seconds
    prompt: Prompt
    client: str
    worker: str = ""
    task: asyncio.Task[None] | None = None
    run: str = ""  # identifies the run that lasts, or the last one
    pieces: int = 0  # pieces of output that have arrived in this run
    progress: RunProgress | None = None  # of the run that lasts, or of the last one
    waiting_since: float = 0.0  # loop time, in seconds, at which it came here or its last run ended
    # Loop time, in seconds, at which it came here or a part of its text last arrived, the present or last run left out.
    earlier_progress_at: float = 0.0
    passed_over: WaitReason = WaitReason.NOT_CONSIDERED  # by the last placement run that looked at it
    # Only for an item of a route: the request, the pool it was placed in, and the text so far.
    request: Item | None = None
    tries: int = 0  # failures after which it is given up
    since: int = 0  # earliest revision of the configuration that may place it
    pool: str = ""
    text: ItemText = field(default_factory=ItemText)
    not_before: float = 0.0  # loop time before which it isn't placed again, in seconds
    silent_runs: int = 0  # runs that were given up because the worker was silent
    silent_workers: set[str] = field(default_factory=set)  # those that fell silent in a run of it
    reporting: bool = False  # whether its result is being reported to the owner

    @classmethod
    def from_grant(cls, partition: int, grant: ItemGrant) -> LeasedItem:
        """Returns an item as an owner leased it, waiting."""
        return cls(
            partition=partition,
            job=grant.job,
            position=grant.position,
            item_class=grant.item_class,
            due=grant.due,
            prompt=grant.prompt,
            client=grant.client,
            request=grant.request,
            tries=grant.tries,
            since=grant.since,
            waiting_since=now(),
            earlier_progress_at=now(),
        )

    @property
    def key(self) -> LeasedItemKey:
        """The key that identifies the item among all items."""
        return (self.partition, self.job, self.position)

    @property
    def route(self) -> str:
        """The name of the item's route, if it came by one."""
        return self.item_class.removeprefix(ROUTE_CLASS)

    @property
    def is_running(self) -> bool:
        """Whether a task is running the item."""
        return self.task is not None

    @property
    def progressed_at(self) -> float:
        """The loop time, in seconds, at which it came here, or a part of its text last arrived in any run here."""
        if self.progress is None or not self.progress.has_received:
            return self.earlier_progress_at
        return max(self.earlier_progress_at, self.progress.received_at)

    @property
    def wait_reason(self) -> WaitReason:
        """Why it waits; of no meaning while it runs."""
        return WaitReason.PAUSED if self.not_before > now() else self.passed_over

    def start_run(
        self, name: str, run: Coroutine[Any, Any, None], on_end: Callable[[asyncio.Task[None]], None]
    ) -> RunProgress:
        """Starts a run of the item, identified by `name`, in a task of its own, and returns its progress.

        However the task ends, even if it was cancelled before its first step, the item waits again; then `on_end` is
        called with the task.
        """
        self.earlier_progress_at = self.progressed_at
        self.passed_over = WaitReason.NOT_CONSIDERED
        self.run, self.progress = name, RunProgress.begin()
        self.task = asyncio.create_task(run)
        self.task.add_done_callback(self._run_ended)
        self.task.add_done_callback(on_end)
        return self.progress

    def _run_ended(self, task: asyncio.Task[None]) -> None:
        if self.task is task:
            self.end_run()

    def end_run(self) -> None:
        """Notes that the run has ended, so that the item waits again."""
        self.task = None
        self.waiting_since = now()


def due_order(item: LeasedItem) -> tuple[float, str, int]:
    """Returns the sort key for items by due time, then by job and position."""
    return (item.due, item.job, item.position)


@dataclass(eq=False)
class LeasedItems:
    """All items leased to this scheduler, in the order in which they came, and when each partition's lease expires.

    Owned by the scheduler; its size is bounded by the slots of the pools. `leases` holds, by partition, the loop time
    in seconds until which the partition's owner allows this scheduler to start items.
    """

    by_key: dict[LeasedItemKey, LeasedItem] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)

    def __iter__(self) -> Iterator[LeasedItem]:
        return iter(self.by_key.values())

    def __len__(self) -> int:
        return len(self.by_key)

    def add(self, item: LeasedItem) -> None:
        """Adds an item, unless one with the same key is held already."""
        self.by_key.setdefault(item.key, item)

    def holds(self, item: LeasedItem) -> bool:
        """Returns whether this very object is held, and not another with the same key."""
        return self.by_key.get(item.key) is item

    def running(self) -> list[LeasedItem]:
        """Returns the items that run."""
        return [item for item in self if item.is_running]

    def waiting(self) -> list[LeasedItem]:
        """Returns the items that wait for a worker."""
        return [item for item in self if not item.is_running]

    def items_of_job(self, job: str) -> list[LeasedItem]:
        """Returns the items of a job."""
        return [item for item in self if item.job == job]

    def unreported(self, partition: int) -> list[ItemKey]:
        """Returns the items of a partition whose leases are to be renewed: those whose result is not being reported."""
        return [ItemKey(item.job, item.position) for item in self if item.partition == partition and not item.reporting]

    def partitions(self) -> set[int]:
        """Returns the partitions whose items are held."""
        return {item.partition for item in self}

    def lease_expired(self, partition: int) -> bool:
        """Returns whether the partition's lease has expired, so that none of its items may be started."""
        return now() >= self.leases.get(partition, 0.0)

    def remove(self, item: LeasedItem) -> None:
        """Removes an item, if it is still held."""
        self.by_key.pop(item.key, None)

    def drop(self, item: LeasedItem) -> None:
        """Removes an item and cancels its run."""
        self.remove(item)
        if item.task is not None:
            item.task.cancel()

    def drop_all(self) -> None:
        """Drops all items and all leases."""
        for item in list(self):
            self.drop(item)
        self.leases.clear()

"""Handing a partition over to another member that has all of it, without waiting for an election by timeout.

An owner never steps down for a member because of an acknowledgement that arrived a while ago: that member may have lost
power since. The owner asks first, and hands the partition over only to a member that answers, under the owner's own
epoch, that it would run for owner at once. If the message that tells it to run is not accepted after all, the old owner
runs for owner itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from postpass.replication.messages import Hello, HelloAnswer
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event

# A member is a candidate for a handover if it has acknowledged something within this number of heartbeats.
RECENT_HEARTBEATS = 4


@dataclass(eq=False)
class Handover:
    """Steps down in favour of a member that is up to date and has answered that it would run for owner.

    Attributes:
        table: The partitions of this store.
        run_election: Begins an election of a partition that was handed over by the owner of the given epoch.
        in_progress: Numbers of the partitions that are being handed over in the background: at most one handover of
            each at a time. Owned by this object.
    """

    table: PartitionTable
    run_election: Callable[[Partition, int], None]
    in_progress: set[int] = field(default_factory=set)

    async def leave(self) -> None:
        """Hands over each partition that is owned here, before the process ends, and waits for the background tasks.

        It goes to the first member, in the partition's agreed order, that has all of it and answers.
        """
        self.table.leaving = True
        owned = [p for p in self.table.partitions.values() if p.owning and p.ready]
        await asyncio.gather(*(self.hand_over_to_any(partition) for partition in owned))
        await asyncio.gather(*self.table.background_tasks)
        # This store goes on redirecting requests for the jobs that were handed over until they find the new owner.
        await asyncio.sleep(self.table.settings.bounds.heartbeat_interval)

    async def hand_over_to_any(self, partition: Partition) -> None:
        """Hands a partition over to the first member in its order that can take it over; does nothing if none answers."""
        for name in self.table.other_members(partition, partition.view):
            if self.can_take_over(partition, name) and await self.hand_over(partition, name):
                return

    def begin(self, partition: Partition, name: str) -> None:
        """Hands a partition over to a member in the background, unless a handover of it is in progress already."""
        if partition.id in self.in_progress:
            return
        task = asyncio.create_task(self._hand_over_once(partition, name))
        self.table.background_tasks.add(task)
        task.add_done_callback(self.table.background_tasks.discard)

    async def _hand_over_once(self, partition: Partition, name: str) -> None:
        """Hands a partition over to a member, and keeps it in `in_progress` meanwhile."""
        self.in_progress.add(partition.id)
        try:
            await self.hand_over(partition, name)
        finally:
            self.in_progress.discard(partition.id)

    def can_take_over(self, partition: Partition, name: str) -> bool:
        """Returns whether a member could own the partition now, judging by its acknowledgements.

        It must have acknowledged recently, by the disk that counts as a member's, and have synced all covered records.
        """
        mirror, bounds, current_time = partition.mirrors.get(name), self.table.settings.bounds, now()
        if (
            mirror is None
            or mirror.silent
            or current_time - mirror.last_heard_at >= bounds.heartbeat_interval * RECENT_HEARTBEATS
            or partition.view.members.get(name) != mirror.disk
        ):
            return False
        return partition.acknowledgements.get(name, mirror.disk, "persisted") >= partition.covered

    async def hand_over(self, partition: Partition, name: str) -> bool:
        """Asks a member whether it would run for owner at once; if so, steps down and tells it to run.

        Returns:
            Whether this store stepped down for the member.
        """
        epoch = partition.epoch
        if not await self._is_willing(partition, name, epoch):
            return False
        # The state may have changed meanwhile: another epoch, or records that the member has not synced yet.
        if partition.epoch != epoch or not self.can_take_over(partition, name):
            return False
        log_events.emit(Event.OWNERSHIP_HANDED_OVER, self.table.settings.name, part=partition.id, to=name, epoch=epoch)
        partition.step_down()
        partition.aligned_epoch, partition.last_heard_at = epoch, now()
        if not await self._ask(name, Hello(partition.id, epoch, self.table.settings.name, handover=True)):
            self._take_back(partition, epoch)
        return True

    async def _is_willing(self, partition: Partition, name: str, epoch: int) -> bool:
        """Returns whether a member answers, with the disk that counts, that it follows this epoch and would run at once."""
        hello = Hello(partition.id, epoch, self.table.settings.name, handover_offer=True)
        return epoch > 0 and await self._ask(name, hello, partition.view.members.get(name, ""))

    async def _ask(self, name: str, hello: Hello, disk: str = "") -> bool:
        """Sends a message to a member; returns whether it accepts it and, if `disk` is given, answers with that disk."""
        response = await self.table.ask(name, "hello", hello.encode())
        if isinstance(response, Err):
            return False
        answer = HelloAnswer.decode(response.unwrap())
        return answer.accepted and disk in ("", answer.disk)

    def _take_back(self, partition: Partition, epoch: int) -> None:
        """Runs for owner itself, since no member has confirmed that it takes over, as if its own epoch had been handed to it.

        If the other member runs as well because only its answer was lost, the epochs decide between the two.
        """
        can_run = partition.aligned_epoch == epoch and not partition.owning and not partition.in_election
        if can_run and not self.table.leaving:
            self.run_election(partition, epoch)

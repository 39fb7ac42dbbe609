"""Handing a partition on to another member that has all of it, without an election by timeout.

An owner never steps down for a member on the strength of what it heard from it a while ago: that member may have lost
power since. It asks first; only who answers, under the owner's own epoch, that it would run for owner at once is handed the
partition. If the word that it may do so is lost after all, the owner runs itself.
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

# For how many heartbeats a member counts as there, when it is chosen to be asked.
RECENT_HEARTBEATS = 4


@dataclass(eq=False)
class Handover:
    """Steps down in favour of a member that is up to date and says that it is there.

    Owns `in_progress`, the partitions that are being handed on: at most one handover of each at a time.

    Attributes:
        table: The partitions of this store.
        run_election: Begins an election of a partition that was handed over by the owner of an epoch.
    """

    table: PartitionTable
    run_election: Callable[[Partition, int], None]
    in_progress: set[int] = field(default_factory=set)

    async def leave(self) -> None:
        """Hands each partition that is owned here to the first in its order that has all of it and answers."""
        self.table.leaving = True
        owned = [p for p in self.table.partitions.values() if p.owning and p.ready]
        await asyncio.gather(*(self.hand_to_any(partition) for partition in owned))
        await asyncio.gather(*self.table.background_tasks)
        # Requests for the jobs that were handed over find the new owner before this store stops redirecting them.
        await asyncio.sleep(self.table.settings.bounds.beat)

    async def hand_to_any(self, partition: Partition) -> None:
        """Hands a partition to the first in its order that can take it over; nobody gets it if none answers."""
        for name in self.table.other_members(partition, partition.view):
            if self.can_take_over(partition, name) and await self.hand_over(partition, name):
                return

    def begin(self, partition: Partition, name: str) -> None:
        """Hands a partition over in the background, unless that is under way already."""
        if partition.id in self.in_progress:
            return
        task = asyncio.create_task(self._hand_over_once(partition, name))
        self.table.background_tasks.add(task)
        task.add_done_callback(self.table.background_tasks.discard)

    async def _hand_over_once(self, partition: Partition, name: str) -> None:
        self.in_progress.add(partition.id)
        try:
            await self.hand_over(partition, name)
        finally:
            self.in_progress.discard(partition.id)

    def can_take_over(self, partition: Partition, name: str) -> bool:
        """Could this member own the partition now, as far as its acknowledgements tell?"""
        mirror, bounds, moment = partition.mirrors.get(name), self.table.settings.bounds, now()
        if (
            mirror is None
            or mirror.silent
            or moment - mirror.heard >= bounds.beat * RECENT_HEARTBEATS
            or partition.view.members.get(name) != mirror.disk
        ):
            return False
        return partition.acknowledgements.get(name, mirror.disk, "persisted") >= partition.covered

    async def hand_over(self, partition: Partition, name: str) -> bool:
        """Asks a member whether it would run for owner at once; if so steps down and has it run.

        Returns:
            Whether this store stepped down for it.
        """
        epoch = partition.epoch
        if not await self._is_willing(partition, name, epoch):
            return False
        # Something may have come between: another epoch, or records that the member has not synced yet.
        if partition.epoch != epoch or not self.can_take_over(partition, name):
            return False
        log_events.emit(Event.OWNERSHIP_HANDED_OVER, self.table.settings.name, part=partition.id, to=name, epoch=epoch)
        partition.step_down()
        partition.aligned, partition.heard = epoch, now()
        if not await self._ask(name, Hello(partition.id, epoch, self.table.settings.name, handover=True)):
            self._take_back(partition, epoch)
        return True

    async def _is_willing(self, partition: Partition, name: str, epoch: int) -> bool:
        """Does this member say, by the disk that counts, that it follows this epoch and would run at once?"""
        hello = Hello(partition.id, epoch, self.table.settings.name, handover_offer=True)
        return epoch > 0 and await self._ask(name, hello, partition.view.members.get(name, ""))

    async def _ask(self, name: str, hello: Hello, disk: str = "") -> bool:
        """Does a member accept this? With `disk`, only if that disk answers."""
        response = await self.table.ask(name, "hello", hello.encode())
        if isinstance(response, Err):
            return False
        answer = HelloAnswer.decode(response.unwrap())
        return answer.accepted and disk in ("", answer.disk)

    def _take_back(self, partition: Partition, epoch: int) -> None:
        """Nobody said that it goes on: this store runs for owner itself, as the one to whom its own epoch was handed over.

        Should the other one run as well, its word alone being lost, the epochs decide between the two.
        """
        free = partition.aligned == epoch and not partition.owning and not partition.in_election
        if free and not self.table.leaving:
            self.run_election(partition, epoch)

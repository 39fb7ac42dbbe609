"""Handing a partition on to another member that has all of it, without an election by timeout."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from postpass.replication.messages import Hello
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event


@dataclass(eq=False)
class Handover:
    """Steps down in favour of a member that is up to date."""

    table: PartitionTable

    async def leave(self) -> None:
        """Hands each partition that is owned here to the first in its order that has all of it."""
        self.table.leaving = True
        for partition in [p for p in self.table.partitions.values() if p.owning and p.ready]:
            able = [n for n in self.table.other_members(partition, partition.view) if self.can_take_over(partition, n)]
            if able:
                self.hand_over(partition, able[0])
        await asyncio.gather(*self.table.background_tasks)
        # Requests for the jobs that were handed over find the new owner before this store stops redirecting them.
        await asyncio.sleep(self.table.settings.bounds.beat)

    def can_take_over(self, partition: Partition, name: str) -> bool:
        """Could this member own the partition now, without anything to wait for?"""
        mirror, bounds, moment = partition.mirrors.get(name), self.table.settings.bounds, now()
        if (
            mirror is None
            or mirror.silent
            or moment - mirror.heard >= bounds.beat * 4
            or partition.view.members.get(name) != mirror.disk
        ):
            return False
        return partition.acknowledgements.get(name, mirror.disk, "persisted") >= partition.covered

    def hand_over(self, partition: Partition, name: str) -> None:
        """Steps down and tells a member that it may run for owner at once."""
        log_events.emit(
            Event.OWNERSHIP_HANDED_OVER, self.table.settings.name, part=partition.id, to=name, epoch=partition.epoch
        )
        epoch = partition.epoch
        partition.step_down()
        partition.aligned, partition.heard = epoch, now()

        hello = Hello(partition.id, epoch, self.table.settings.name, handover=True)

        async def notify() -> None:
            await self.table.ask(name, "hello", hello.encode())

        task = asyncio.create_task(notify())
        self.table.background_tasks.add(task)
        task.add_done_callback(self.table.background_tasks.discard)

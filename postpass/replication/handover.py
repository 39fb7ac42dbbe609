"""Handing a partition on to another member that has all of it, without an election by timeout."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now


@dataclass(eq=False)
class Handover:
    """Steps down in favour of a member that is up to date."""

    table: PartitionTable

    async def leave(self) -> None:
        """Hands each partition that is owned here to the first in its order that has all of it."""
        self.table.leaving = True
        for part in [p for p in self.table.parts.values() if p.owning and p.ready]:
            able = [n for n in self.table.names(part, part.view) if self.fit(part, n)]
            if able:
                self.hand_on(part, able[0])
        await asyncio.gather(*self.table.trials)
        # The handed-on lots find their owner before this one stops pointing the way.
        await asyncio.sleep(self.table.settings.bounds.beat)

    def fit(self, part: Partition, name: str) -> bool:
        """Could this member own the partition now, without anything to wait for?"""
        f, b, t = part.follows.get(name), self.table.settings.bounds, now()
        if f is None or f.silent or t - f.heard >= b.beat * 4 or part.view.crew.get(name) != f.disk:
            return False
        return part.recorder.get(name, f.disk, "persisted") >= part.covered

    def hand_on(self, part: Partition, name: str) -> None:
        log_events.emit(126, self.table.settings.name, part=part.id, to=name, epoch=part.epoch)
        epoch = part.epoch
        part.step_down()
        part.aligned, part.heard = epoch, now()

        async def tell() -> None:
            await self.table.ask(
                name, "hello", {"part": part.id, "epoch": epoch, "who": self.table.settings.name, "hand": 1}
            )

        task = asyncio.create_task(tell())
        self.table.trials.add(task)
        task.add_done_callback(self.table.trials.discard)

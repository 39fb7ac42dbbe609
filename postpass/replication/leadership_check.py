"""Confirming that this store still owns a partition, before it answers a read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime.errors import MOVED, Fault


@dataclass(eq=False)
class LeadershipCheck:
    """Asks the members whether they know of a later owner. Owns the one check that runs for each partition."""

    table: PartitionTable
    confirms: dict[int, asyncio.Task[bool]] = field(default_factory=dict)

    def lead_of(self, number: int, step: str) -> Result[Partition, Fault]:
        part = self.table.parts.get(number)
        if part is None or not part.owning:
            hint = part.owner if part is not None and part.owner != self.table.settings.name else ""
            return Err(Fault(step, self.table.settings.name, "not the owner", MOVED, hint))
        if not part.ready:
            return Err(
                Fault(step, self.table.settings.name, "the owner is not ready yet", MOVED, self.table.settings.name)
            )
        return Ok(part)

    async def confirm(self, part: Partition) -> bool:
        """A round trip under the epoch: no one else owns this partition now."""
        task = self.confirms.get(part.id)
        if task is not None and not task.done():
            # One that began before this read proves nothing for it; wait it out and start another.
            await asyncio.wait([task])
            task = self.confirms.get(part.id)
        if task is None or task.done():
            task = asyncio.create_task(self._confirm(part, part.epoch))
            self.confirms[part.id] = task
        return await asyncio.shield(task)

    async def _confirm(self, part: Partition, epoch: int) -> bool:
        voters = {self.table.settings.name: self.table.disk_id}
        if part.confirmed(voters):
            return part.epoch == epoch
        found = asyncio.Event()

        async def one(name: str) -> None:
            got = await self.table.ask(
                name, "hello", {"part": part.id, "epoch": epoch, "who": self.table.settings.name, "confirm": 1}
            )
            if isinstance(got, Ok) and got.unwrap()["ok"]:
                voters[name] = got.unwrap()["disk"]
                if part.epoch == epoch and part.confirmed(voters):
                    found.set()
            elif isinstance(got, Ok) and got.unwrap()["promised"] > epoch and part.epoch == epoch:
                self.table.fall(part, got.unwrap()["promised"])

        every = asyncio.gather(*(one(n) for n in self.table.names(part, part.view)))
        first = asyncio.create_task(found.wait())
        await asyncio.wait([asyncio.ensure_future(every), first], return_when=asyncio.FIRST_COMPLETED)  # type: ignore[type-var]
        first.cancel()
        return found.is_set() and part.epoch == epoch

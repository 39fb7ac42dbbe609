"""A mirror's acknowledgements: one link to each owner, and what a link that breaks says of the owner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from postpass.replication.election import Election
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.peer_links import IDL, Link
from postpass.runtime.environment import now


@dataclass(eq=False)
class Acknowledger:
    """Sends the newest counters to owners. Owns one send loop and one wake-up event for each owner."""

    table: PartitionTable
    election: Election
    dirty: dict[str, set[int]] = field(default_factory=dict)  # owner -> partitions to acknowledge
    ack_kicks: dict[str, asyncio.Event] = field(default_factory=dict)
    fresh: set[str] = field(default_factory=set)  # owners that connected since their last acknowledgement
    ackers: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def note(self, part: Partition, owner: str = "", gap: bool = False) -> None:
        owner = owner or part.owner
        if not owner or owner == self.table.settings.name:
            return
        self.dirty.setdefault(owner, set()).add(part.id)
        if owner not in self.ackers:
            self.ack_kicks[owner] = asyncio.Event()
            self.ackers[owner] = asyncio.create_task(self.acker(owner))
        self.ack_kicks[owner].set()

    async def acker(self, owner: str) -> None:
        """The control path back to one owner: batched, and only the newest counters."""
        link: Link | None = None
        while True:
            await self.ack_kicks[owner].wait()
            self.ack_kicks[owner].clear()
            numbers, self.dirty[owner] = sorted(self.dirty[owner]), set()
            addr = self.table.configuration_view.addr(owner)
            if not addr:
                continue
            if link is not None and owner in self.fresh:
                link.close("the owner connected anew")
            self.fresh.discard(owner)
            if link is None or link.closed or link.addr != addr:
                got = await Link.open(addr, self.table.settings.bounds.silent)
                if isinstance(got, Err):
                    await asyncio.sleep(self.table.settings.bounds.beat)
                    continue
                link = got.unwrap()
                assert link.pump is not None
                link.pump.add_done_callback(lambda _: self.knock_soon(owner))
            free, _ = self.table.log.disk.room()
            link.put("ack", [self.counters(self.table.parts[n], free < self.table.log.hold) for n in numbers])
            try:
                await asyncio.wait_for(link.drain(), self.table.settings.bounds.silent)
            except (TimeoutError, ConnectionError, OSError):
                link.close("it takes nothing")

    def knock_soon(self, owner: str) -> None:
        """The link to an owner broke. Nothing is proved by that, but it is worth a question at once."""
        if not self.table.leaving and any(p.owner == owner and not p.owning for p in self.table.parts.values()):
            task = asyncio.create_task(self.knock(owner))
            self.table.trials.add(task)
            task.add_done_callback(self.table.trials.discard)

    async def knock(self, owner: str) -> None:
        """A refused connection proves that no process listens there, so the silence needn't be waited out. Only a hint of
        when to stand: who owns is up to the epochs."""
        addr = self.table.configuration_view.addr(owner)
        got = await Link.open(addr, self.table.settings.bounds.promise) if addr else None
        if isinstance(got, Ok):
            got.unwrap().close()
        if got is None or isinstance(got, Ok) or got.unwrap_err().hint != "refused":
            return
        b = self.table.settings.bounds
        mine = [p for p in self.table.parts.values() if p.owner == owner and not p.owning]
        for part in mine:
            part.down, part.heard = owner, min(part.heard, now() - b.detect)
        # The others, who are asked, find out at the same time as this one.
        await asyncio.sleep(b.beat / 8)
        for part in mine:
            if part.down == owner and not part.owning:
                self.election.doubt(part)

    def counters(self, part: Partition, full: bool) -> Any:
        held = part.aligned > 0 and part.aligned == part.promised
        return IDL.Ack(
            part=part.id, epoch=part.promised, name=self.table.settings.name, disk=self.table.disk_id, promised=part.promised,
            received=part.record_log.last if held else 0, persisted=part.persisted if held else 0,
            gap=not held and (not part.filling or part.filling != part.promised), full=full,
        )  # fmt: skip

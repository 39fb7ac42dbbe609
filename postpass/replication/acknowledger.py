"""A mirror's acknowledgements: one link to each owner, and what a link that breaks says of the owner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from postpass.replication.election import Election
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.codec import IDL
from postpass.rpc.connection import Link
from postpass.runtime.environment import now


@dataclass(eq=False)
class Acknowledger:
    """Sends the newest counters to owners. Owns one send loop and one wake-up event for each owner."""

    table: PartitionTable
    election: Election
    pending: dict[str, set[int]] = field(default_factory=dict)  # owner -> partitions to acknowledge
    wake_events: dict[str, asyncio.Event] = field(default_factory=dict)
    reconnected: set[str] = field(default_factory=set)  # owners that connected since their last acknowledgement
    send_loops: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def schedule(self, partition: Partition, owner: str = "", gap: bool = False) -> None:
        """Has the newest counters of a partition sent to its owner, with others that are due.

        Args:
            partition: The partition.
            owner: Name of the store to tell; empty for the owner as it is known.
            gap: The stream does not fit. Told by the counters themselves, which show a log that is not aligned.
        """
        owner = owner or partition.owner
        if not owner or owner == self.table.settings.name:
            return
        self.pending.setdefault(owner, set()).add(partition.id)
        if owner not in self.send_loops:
            self.wake_events[owner] = asyncio.Event()
            self.send_loops[owner] = asyncio.create_task(self.send_loop(owner))
        self.wake_events[owner].set()

    async def send_loop(self, owner: str) -> None:
        """The control path back to one owner: batched, and only the newest counters."""
        link: Link | None = None
        while True:
            await self.wake_events[owner].wait()
            self.wake_events[owner].clear()
            numbers, self.pending[owner] = sorted(self.pending[owner]), set()
            addr = self.table.configuration_view.addr(owner)
            if not addr:
                continue
            if link is not None and owner in self.reconnected:
                link.close("the owner connected anew")
            self.reconnected.discard(owner)
            if link is None or link.closed or link.address != addr:
                got = await Link.open(addr, self.table.settings.bounds.silent)
                if isinstance(got, Err):
                    await asyncio.sleep(self.table.settings.bounds.beat)
                    continue
                link = got.unwrap()
                assert link.reader_task is not None
                link.reader_task.add_done_callback(lambda _: self.probe_soon(owner))
            free, _ = self.table.log.disk.space()
            link.put(
                "ack",
                [self.acknowledgement(self.table.partitions[n], free < self.table.log.reserved_bytes) for n in numbers],
            )
            try:
                await asyncio.wait_for(link.drain(), self.table.settings.bounds.silent)
            except (TimeoutError, ConnectionError, OSError):
                link.close("it takes nothing")

    def probe_soon(self, owner: str) -> None:
        """The link to an owner broke. That proves nothing, but the owner is asked at once."""
        if not self.table.leaving and any(p.owner == owner and not p.owning for p in self.table.partitions.values()):
            task = asyncio.create_task(self.probe(owner))
            self.table.background_tasks.add(task)
            task.add_done_callback(self.table.background_tasks.discard)

    async def probe(self, owner: str) -> None:
        """A refused connection proves that no process listens there, so the detection time need not pass. Only a hint of
        when to run for owner: who owns is up to the epochs."""
        addr = self.table.configuration_view.addr(owner)
        got = await Link.open(addr, self.table.settings.bounds.promise) if addr else None
        if isinstance(got, Ok):
            got.unwrap().close()
        if got is None or isinstance(got, Ok) or got.unwrap_err().hint != "refused":
            return
        bounds = self.table.settings.bounds
        mine = [p for p in self.table.partitions.values() if p.owner == owner and not p.owning]
        for partition in mine:
            partition.refused_owner, partition.heard = owner, min(partition.heard, now() - bounds.detect)
        # The others, who are asked, find out at the same time as this one.
        await asyncio.sleep(bounds.beat / 8)
        for partition in mine:
            if partition.refused_owner == owner and not partition.owning:
                self.election.run_if_silent(partition)

    def acknowledgement(self, partition: Partition, full: bool) -> Any:
        """The counters of one partition; all zero unless the log is aligned with the owner's stream."""
        aligned = partition.aligned > 0 and partition.aligned == partition.promised
        return IDL.Ack(
            part=partition.id, epoch=partition.promised, name=self.table.settings.name, disk=self.table.disk_id, promised=partition.promised,
            received=partition.record_log.last if aligned else 0, persisted=partition.persisted if aligned else 0,
            gap=not aligned and (not partition.handshake_epoch or partition.handshake_epoch != partition.promised), full=full,
        )  # fmt: skip

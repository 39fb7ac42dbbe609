"""Sends a mirror's acknowledgements, over one link to each owner, and probes an owner whose link has broken."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from postpass.replication.election import Election
from postpass.replication.job_memory import JobMemory
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.codec import IDL
from postpass.rpc.connection import Link
from postpass.runtime.environment import now


@dataclass(eq=False)
class Acknowledger:
    """Sends the newest counters (received and persisted sequence numbers) to the owners that this store follows.

    Owns one send loop and one wake-up event for each owner.
    """

    table: PartitionTable
    election: Election
    memory: JobMemory
    pending: dict[str, set[int]] = field(default_factory=dict)  # owner -> numbers of the partitions to acknowledge
    wake_events: dict[str, asyncio.Event] = field(default_factory=dict)
    reconnected: set[str] = field(default_factory=set)  # owners that connected since the last acknowledgement to them
    send_loops: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def schedule(self, partition: Partition, owner: str = "", gap: bool = False) -> None:
        """Schedules an acknowledgement of a partition, which is sent together with others that are due.

        Args:
            partition: The partition.
            owner: Name of the store to send it to; empty for the known owner.
            gap: Whether the stream does not continue this log. It is not used: the counters themselves report a gap, by
            a
                log that is not aligned.
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
        """Sends acknowledgements to one owner for ever: batched, and only with the newest counters.

        If the owner has connected anew, the old link is replaced, since it may lead to a process that has ended. A link
        that fails is closed, and opened again for the next acknowledgement.
        """
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
                connection = await Link.open(addr, self.table.settings.bounds.silent)
                if isinstance(connection, Err):
                    await asyncio.sleep(self.table.settings.bounds.heartbeat_interval)
                    continue
                link = connection.unwrap()
                assert link.reader_task is not None
                link.reader_task.add_done_callback(lambda _: self.probe_soon(owner))
            free_bytes, _ = self.table.log.disk.space()
            is_full = free_bytes < self.table.log.reserved_bytes or not self.memory.has_room()
            link.put(
                "ack",
                [self.acknowledgement(self.table.partitions[n], is_full) for n in numbers],
            )
            try:
                await asyncio.wait_for(link.drain(), self.table.settings.bounds.silent)
            except (TimeoutError, ConnectionError, OSError):
                link.close("it takes nothing")

    def probe_soon(self, owner: str) -> None:
        """Probes an owner in the background after the link to it broke, which alone proves nothing about the owner."""
        if not self.table.leaving and any(p.owner == owner and not p.owning for p in self.table.partitions.values()):
            task = asyncio.create_task(self.probe(owner))
            self.table.background_tasks.add(task)
            task.add_done_callback(self.table.background_tasks.discard)

    async def probe(self, owner: str) -> None:
        """Connects to an owner once more, and begins elections for its partitions if the connection is refused.

        A refused connection proves that no process listens there, so that the detection time need not pass. It only
        determines when to run for owner; the epochs determine who the owner is.
        """
        address = self.table.configuration_view.addr(owner)
        connection = await Link.open(address, self.table.settings.bounds.sync_request_limit) if address else None
        if isinstance(connection, Ok):
            connection.unwrap().close()
        if connection is None or isinstance(connection, Ok) or connection.unwrap_err().hint != "refused":
            return
        bounds = self.table.settings.bounds
        affected_partitions = [p for p in self.table.partitions.values() if p.owner == owner and not p.owning]
        for partition in affected_partitions:
            partition.refused_owner, partition.last_heard_at = (
                owner,
                min(partition.last_heard_at, now() - bounds.detection_time),
            )
        # The members that will be asked for promises notice the broken link at the same time as this one; they need a
        # moment for their own probes.
        await asyncio.sleep(bounds.heartbeat_interval / 8)
        for partition in affected_partitions:
            if partition.refused_owner == owner and not partition.owning:
                self.election.run_if_silent(partition)

    def acknowledgement(self, partition: Partition, full: bool) -> Any:
        """Returns the acknowledgement of one partition; its counters are 0 unless the log is aligned with the stream.

        Args:
            partition: The partition.
            full: Whether this store's disk is full, or its memory for open jobs.
        """
        aligned = partition.aligned_epoch > 0 and partition.aligned_epoch == partition.promised
        return IDL.Ack(
            part=partition.id, epoch=partition.promised, name=self.table.settings.name, disk=self.table.disk_id, promised=partition.promised,
            received=partition.record_log.last if aligned else 0, persisted=partition.persisted if aligned else 0,
            gap=not aligned and (not partition.handshake_epoch or partition.handshake_epoch != partition.promised), full=full,
        )  # fmt: skip

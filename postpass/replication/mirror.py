"""The mirror's side of a partition's stream: the handshake with the owner, and the records that the owner sends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.acknowledger import Acknowledger
from postpass.replication.election import Election
from postpass.replication.log_entries import base_entry, cut_entry
from postpass.replication.messages import HEARTBEAT, RECORD, SNAPSHOT, START, Hello, HelloAnswer
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record, RecordLog
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import NO_SPACE, Fault, FaultError
from postpass.runtime.log_events import Event


@dataclass(eq=False)
class Mirror:
    """Receives the streams of owners, and appends their records in the order in which the owner has sequenced them.

    Attributes:
        table: The partitions of this store.
        election: Runs for owner when a partition is handed over to this store.
        acknowledger: Sends the acknowledgements.
        disk_failed: Resolved with a fault once an owner has shown that this disk lost records that it had synced.
    """

    table: PartitionTable
    election: Election
    acknowledger: Acknowledger
    disk_failed: asyncio.Future[Fault] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    async def watch_disk(self) -> None:
        """Waits until a peer has shown that this disk lost records that it had synced, which ends the process.

        Raises:
            FaultError: The disk has lost records.
        """
        raise FaultError(await self.disk_failed)

    async def on_hello(self, body: Body) -> PeerResponse:
        """Answers an owner's handshake before its stream, or one of its other messages (verb `hello`, see `Hello`)."""
        hello = Hello.decode(body)
        partition, epoch, disk = self.table.partition(hello.partition), hello.epoch, self.table.disk_id
        promised = partition.promised
        if hello.handover_offer:
            return Ok(HelloAnswer(disk, promised, self.would_take_over(partition, epoch)).encode())
        if hello.handover:
            return Ok(HelloAnswer(disk, promised, self.take_over(partition, epoch)).encode())
        if hello.failed_disk:
            self.check_disk(partition, hello)
            return Ok(HelloAnswer(disk, promised, False).encode())
        if hello.confirm:
            return Ok(HelloAnswer(disk, promised, promised <= epoch).encode())
        if epoch < promised or (partition.owning and partition.epoch >= epoch):
            return Ok(HelloAnswer(disk, promised, False).encode())
        if epoch > promised:
            partition.promised = epoch
            if partition.owning:
                self.table.step_down(partition, epoch)
            partition.aligned_epoch = 0
            try:
                await self.table.log.wait_synced(self.election.write_promise(partition, epoch))
            except FaultError as error:
                return Err(error.fault)
            if partition.promised != epoch:
                return Ok(HelloAnswer(disk, partition.promised, False).encode())
        partition.last_heard_at, partition.owner, partition.contacted, partition.refused_owner = (
            now(),
            hello.owner,
            True,
            "",
        )
        partition.handshake_epoch = 0 if partition.aligned_epoch == epoch else epoch
        # The owner has just connected: an older link for acknowledgements may lead to a process that has ended.
        self.acknowledger.reconnected.add(hello.owner)
        record_log = partition.record_log
        return Ok(HelloAnswer(disk, epoch, True, record_log.last, record_log.marks()).encode())

    def would_take_over(self, partition: Partition, epoch: int) -> bool:
        """Returns whether this store would run for owner at once if the owner of an epoch stepped down for it."""
        can_run = partition.aligned_epoch == epoch and not partition.in_election and not partition.owning
        return can_run and not self.table.leaving

    def take_over(self, partition: Partition, epoch: int) -> bool:
        """Runs for owner if possible, after the owner of an epoch has stepped down for this store; returns whether it runs."""
        if not self.would_take_over(partition, epoch):
            return False
        self.election.run_soon(partition, epoch)
        return True

    def check_disk(self, partition: Partition, hello: Hello) -> None:
        """Marks this store's disk as failed if an owner has acknowledgements by it of records that it does not have, since
        nothing that the disk acknowledges can be trusted any more."""
        if hello.failed_disk != self.table.disk_id or hello.epoch != partition.promised:
            return
        reason = f"partition {partition.id}: {hello.owner} holds acknowledgements of more than this log has"
        self.table.log.failure = reason
        if not self.disk_failed.done():
            self.disk_failed.set_result(Fault("read log", self.table.settings.name, reason))

    async def on_carry(self, packet: Any) -> None:
        """Receives one packet of an owner's stream (verb `carry`).

        A packet under an epoch below the promised one is refused. The response is an acknowledgement, which is sent
        later.
        """
        partition = self.table.partition(packet.part)
        if packet.epoch < partition.promised or (partition.owning and packet.epoch <= partition.epoch):
            self.acknowledger.schedule(partition, packet.owner)
            return
        if packet.epoch > partition.promised:
            # An epoch is promised by the handshake that precedes a stream, so this stream is stale or is not meant for
            # this store.
            self.acknowledger.schedule(partition, packet.owner, gap=True)
            return
        partition.last_heard_at, partition.owner = now(), packet.owner
        try:
            self.accept_packet(partition, packet)
        except FaultError as error:
            partition.aligned_epoch = partition.handshake_epoch = 0
            if error.fault.code != NO_SPACE:
                raise
            log_events.emit(Event.DISK_FULL, self.table.settings.name, part=partition.id)
        partition.covered = (
            max(partition.covered, min(packet.covered, partition.record_log.last))
            if partition.aligned_epoch == packet.epoch
            else partition.covered
        )
        self.acknowledger.schedule(partition, packet.owner)

    def accept_packet(self, partition: Partition, packet: Any) -> None:
        """Collects the packets of a message and applies it once it is complete: start, snap (a base) or rec (a record).

        If a packet or a record does not continue the stream, the partition is no longer aligned.

        Raises:
            FaultError: The disk does not accept the message; nothing of it is in memory.
        """
        if packet.kind == HEARTBEAT:
            return  # a heartbeat may be sent between the packets of another message
        if packet.index == 0:
            partition.packets = []
        if packet.index != len(partition.packets):
            partition.packets, partition.aligned_epoch, partition.handshake_epoch = [], 0, 0
            return
        partition.packets.append(packet.body)
        if packet.index + 1 < packet.total:
            return
        body = b"".join(partition.packets)
        partition.packets, partition.handshake_epoch = [], 0
        record_log = partition.record_log
        if packet.kind == START:
            continues_log = (
                record_log.base_seq <= packet.seq <= record_log.last and record_log.epoch_at(packet.seq) == packet.born
            )
            if continues_log and packet.seq < record_log.last:
                log_offset = self.table.log.append([cut_entry(partition.id, packet.seq)])
                partition.cut(packet.seq)
                partition.unsynced.append((log_offset, packet.seq))
            partition.aligned_epoch = packet.epoch if continues_log else 0
        elif packet.kind == SNAPSHOT:
            log_offset = self.table.log.append([base_entry(partition.id, packet.seq, packet.born, body)])
            partition.record_log = RecordLog(packet.seq, packet.born, JobView.load(body))
            partition.unsynced.clear()
            partition.unsynced.append((log_offset, packet.seq))
            partition.persisted, partition.aligned_epoch, partition.covered = 0, packet.epoch, packet.seq
        elif packet.kind == RECORD and partition.aligned_epoch == packet.epoch:
            if packet.seq != record_log.last + 1 or packet.prior != record_log.last_epoch:
                partition.aligned_epoch = 0
                return
            body, _, kind = body.rpartition(b"\n")
            record = Record(packet.seq, packet.born, kind.decode(), body)
            self.append_record(partition, record)

    def append_record(self, partition: Partition, record: Record) -> None:
        """Appends a record to the log on disk and then to the log in memory."""
        log_offset = self.table.log.append([record.entry(partition.id)])
        partition.record_log.append(record)
        partition.unsynced.append((log_offset, record.seq))

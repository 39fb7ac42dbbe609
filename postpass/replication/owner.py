"""The owner of partitions: becoming owner after an election, sequencing records, and counting acknowledgements."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from postpass.batch.job import Payload
from postpass.replication.election_decision import Step
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record
from postpass.replication.streaming import MirrorStreams
from postpass.rpc.codec import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import NO_SPACE, PEER_FAILED, TIMED_OUT, Fault, FaultError
from postpass.runtime.log_events import Event


@dataclass(eq=False)
class PartitionOwner:
    """Sequences the records of each partition that is owned here, so that every replica has them in the same order.

    Attributes:
        table: The partitions of this store.
        streams: The streams to the mirrors.
        ownership_began: Called with the number of each partition that is taken up, before its first record.
        announce_epochs: Called with the new epoch, by partition, after an election was won.
    """

    table: PartitionTable
    streams: MirrorStreams
    ownership_began: Callable[[int], None]
    announce_epochs: Callable[[dict[str, int]], None] = lambda _: None

    def become_owner(
        self, partition: Partition, epoch: int, losses: int, voters: dict[str, str], step: Step, lost_jobs: list[str]
    ) -> None:
        """Becomes the owner of a partition under an epoch, and appends a mark record that begins the ownership.

        Args:
            partition: The partition, whose log is the most complete one among the voters'.
            epoch: The epoch that the voters have promised.
            losses: How many times covered records were lost before.
            voters: Names and disks of the members that promised; they become the first members (FOUND), or the members
                after a loss (LEAD_AFTER_LOSS).
            step: FOUND, LEAD or LEAD_AFTER_LOSS.
            lost_jobs: Jobs that were lost, as far as other daemons remember them.

        Raises:
            FaultError: The disk does not accept the records, which were removed from memory again.
        """
        partition.lead(epoch)
        self.ownership_began(partition.id)
        records: list[Record] = []
        if step is Step.FOUND:
            records.append(partition.sequence_record("crew", {"crew": voters}))
        elif step is Step.LEAD_AFTER_LOSS:
            records.append(
                partition.sequence_record("loss", {"crew": voters, "edition": losses + 1, "lots": lost_jobs})
            )
            log_events.emit(
                Event.PARTITION_DATA_LOSS,
                self.table.settings.name,
                part=partition.id,
                revision=losses + 1,
                last=partition.record_log.last,
                voters=",".join(voters),
                lots=len(lost_jobs),
            )
        records.append(partition.sequence_record("mark", {}))
        partition.epoch_mark = partition.record_log.last
        try:
            self.table.write(partition, [r.entry(partition.id) for r in records])
        except FaultError:
            partition.cut(records[0].seq - 1)
            raise
        self.announce_epochs({str(partition.id): epoch})
        self.table.counts["takeovers"] += 1
        log_events.emit(
            Event.OWNER_ELECTED,
            self.table.settings.name,
            part=partition.id,
            epoch=epoch,
            last=partition.record_log.last,
        )
        self.streams.wake_all(partition)

    def advance(self, partition: Partition) -> None:
        """Recomputes which records are covered, after an acknowledgement or a sync, and settles covered changes."""
        if partition.advance():
            self.settle_changes(partition)

    def settle_changes(self, partition: Partition) -> None:
        """Appends a mark that settles the changes of members or predicate that are covered.

        This is done at once, because an election after a loss of power has only the logs to go by.
        """
        settled_seq = partition.settleable_seq()
        if settled_seq:
            try:
                self.append(partition, "mark", {"settled": settled_seq})
            except FaultError:
                return

    def append(self, partition: Partition, kind: str, body: Body, vital: bool = True, raw: Payload = b"") -> Record:
        """Sequences one record, writes it to the log on disk and has it streamed to the mirrors.

        Args:
            partition: A partition that is owned here.
            kind: Kind of the record.
            body: Its fields.
            vital: Whether it may use the reserved disk space, because the protocol needs it.
            raw: Bytes of the record that are stored as they are, without JSON encoding.

        Raises:
            FaultError: The disk is full or has failed; nothing was sequenced. If it failed to write this record, the
            store
                has stepped down as well.
        """
        if not vital:
            free_bytes, _ = self.table.log.disk.space()
            if free_bytes - len(json.dumps(body)) - len(raw) - 256 < self.table.log.reserved_bytes:
                log_events.emit(Event.DISK_FULL, self.table.settings.name, part=partition.id)
                raise FaultError(Fault("append", self.table.settings.name, "the disk is full", NO_SPACE))
        if self.table.log.failure:
            raise FaultError(Fault("append", self.table.settings.name, self.table.log.failure, PEER_FAILED))
        record = partition.sequence_record(kind, body, raw)
        try:
            self.table.write(partition, [record.entry(partition.id)])
        except FaultError as error:
            # The record was sequenced in memory but is not on disk: this store can't go on as the owner of this log.
            partition.cut(record.seq - 1)
            partition.step_down()
            partition.last_heard_at = now()
            raise FaultError(Fault("append", self.table.settings.name, error.fault.why, TIMED_OUT)) from error
        self.table.counts[f"rec_{kind}"] += 1
        self.streams.wake_all(partition)
        return record

    async def on_ack(self, acks: list[Any]) -> None:
        """Counts acknowledgements of mirrors (verb `ack`).

        Those under another epoch or of another disk are ignored. A higher promised epoch ends the ownership; a reported
        gap makes the stream begin again with a handshake.
        """
        for ack in acks:
            partition = self.table.partition(ack.part)
            if ack.promised > max(partition.promised, partition.epoch):
                if partition.owning:
                    self.table.step_down(partition, ack.promised)
                continue
            if not partition.owning or ack.epoch != partition.epoch:
                continue
            mirror = partition.mirrors.get(ack.name)
            if mirror is None or mirror.disk != ack.disk:
                continue
            mirror.last_heard_at, mirror.silent, mirror.disk_full = now(), False, bool(ack.full)
            if ack.gap:
                mirror.link = None
                self.streams.wake_all(partition)
                continue
            last = partition.record_log.last
            advanced = partition.acknowledgements.update(ack.name, ack.disk, "received", min(ack.received, last))
            advanced = (
                partition.acknowledgements.update(ack.name, ack.disk, "persisted", min(ack.persisted, last)) or advanced
            )
            if advanced:
                self.advance(partition)
                if self.streams.wait_for_acknowledgements:
                    self.streams.wake_all(partition)

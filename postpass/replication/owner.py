"""Ownership of a partition: taking it up, sequencing records, and counting acknowledgements."""

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
from postpass.runtime.errors import BROKE, FULL, SLOW, Fault, FaultError
from postpass.runtime.log_events import Event


@dataclass(eq=False)
class PartitionOwner:
    """The one order of records of each partition that is owned here."""

    table: PartitionTable
    streams: MirrorStreams
    ownership_began: Callable[[int], None]  # told of each partition that is taken up, before its first record
    announce_epochs: Callable[[dict[str, int]], None] = lambda _: None

    def become_owner(
        self, partition: Partition, epoch: int, losses: int, voters: dict[str, str], step: Step, lost: list[str]
    ) -> None:
        """Takes up a partition under an epoch, with a record that marks the beginning.

        Args:
            partition: The partition, whose log is the best among the voters'.
            epoch: The epoch that the voters have promised.
            losses: How often covered records were lost before.
            voters: Names and disks of those who promised; they are the first members, or those after a loss.
            step: FOUND, LEAD or LEAD_AFTER_LOSS.
            lost: Jobs that were lost, as far as others remember them.

        Raises:
            FaultError: The disk takes no more; nothing is left of the records in memory.
        """
        partition.lead(epoch)
        self.ownership_began(partition.id)
        records: list[Record] = []
        if step is Step.FOUND:
            records.append(partition.make("crew", {"crew": voters}))
        elif step is Step.LEAD_AFTER_LOSS:
            records.append(partition.make("loss", {"crew": voters, "edition": losses + 1, "lots": lost}))
            log_events.emit(
                Event.PARTITION_DATA_LOSS,
                self.table.settings.name,
                part=partition.id,
                revision=losses + 1,
                last=partition.record_log.last,
                voters=",".join(voters),
                lots=len(lost),
            )
        records.append(partition.make("mark", {}))
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
        """Recomputes what is covered, after an acknowledgement or a sync."""
        if partition.advance():
            self.settle_changes(partition)

    def settle_changes(self, partition: Partition) -> None:
        """A change that is covered is settled in the log at once: an election after a loss of power has only the log."""
        upto = partition.provable()
        if upto:
            try:
                self.append(partition, "mark", {"settled": upto})
            except FaultError:
                return

    def append(self, partition: Partition, kind: str, body: Body, vital: bool = True, raw: Payload = b"") -> Record:
        """Sequences one record and streams it at once. Raises FaultError, with nothing sequenced, if the disk
        won't take it."""
        if not vital:
            free, _ = self.table.log.disk.space()
            if free - len(json.dumps(body)) - len(raw) - 256 < self.table.log.reserved_bytes:
                log_events.emit(Event.DISK_FULL, self.table.settings.name, part=partition.id)
                raise FaultError(Fault("append", self.table.settings.name, "the disk is full", FULL))
        if self.table.log.failure:
            raise FaultError(Fault("append", self.table.settings.name, self.table.log.failure, BROKE))
        record = partition.make(kind, body, raw)
        try:
            self.table.write(partition, [record.entry(partition.id)])
        except FaultError as bad:
            # Sequenced in memory but not on disk: this log can't be led from here any more.
            partition.cut(record.seq - 1)
            partition.step_down()
            partition.heard = now()
            raise FaultError(Fault("append", self.table.settings.name, bad.fault.why, SLOW)) from bad
        self.table.counts[f"rec_{kind}"] += 1
        self.streams.wake_all(partition)
        return record

    async def on_ack(self, acks: list[Any]) -> None:
        """Counters of mirrors. Those of another epoch or another disk are passed over."""
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
            mirror.heard, mirror.silent, mirror.full = now(), False, bool(ack.full)
            if ack.gap:
                mirror.link = None
                self.streams.wake_all(partition)
                continue
            last = partition.record_log.last
            new = partition.acknowledgements.put(ack.name, ack.disk, "received", min(ack.received, last))
            new = partition.acknowledgements.put(ack.name, ack.disk, "persisted", min(ack.persisted, last)) or new
            if new:
                self.advance(partition)
                if self.streams.wait_each:
                    self.streams.wake_all(partition)

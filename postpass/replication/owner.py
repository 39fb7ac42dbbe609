"""Ownership of a partition: taking it up, sequencing records, and counting acknowledgements."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from postpass.batch.job import JobView, Raw
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record
from postpass.replication.streaming import MirrorStreams
from postpass.rpc.peer_links import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import BROKE, FULL, SLOW, Fault, Stop


@dataclass(eq=False)
class PartitionOwner:
    """The one order of records of each partition that is owned here."""

    table: PartitionTable
    streams: MirrorStreams
    begun: Callable[[int], None]  # told of each partition that is taken up, before its first record
    rise_to: Callable[[dict[str, int]], None] = lambda _: None

    def rise(
        self,
        part: Partition,
        epoch: int,
        view: JobView,
        voters: dict[str, str],
        blank: bool,
        normal: bool,
        lost: list[str],
    ) -> None:
        part.lead(epoch)
        self.begun(part.id)
        made: list[Record] = []
        if blank:
            made.append(part.make("crew", {"crew": voters}))
        elif not normal:
            made.append(part.make("loss", {"crew": voters, "edition": view.losses + 1, "lots": lost}))
            log_events.emit(
                125,
                self.table.settings.name,
                part=part.id,
                revision=view.losses + 1,
                last=part.record_log.last,
                voters=",".join(voters),
                lots=len(lost),
            )
        made.append(part.make("mark", {}))
        part.mark = part.record_log.last
        try:
            self.table.write(part, [r.entry(part.id) for r in made])
        except Stop:
            part.cut(made[0].seq - 1)
            raise
        self.rise_to({str(part.id): epoch})
        self.table.counts["takeovers"] += 1
        log_events.emit(120, self.table.settings.name, part=part.id, epoch=epoch, last=part.record_log.last)
        self.streams.kick_all(part)

    def moved(self, part: Partition) -> None:
        if part.advance():
            self.prove(part)

    def prove(self, part: Partition) -> None:
        """A change that is covered is settled in the log at once: an election after a loss of power has only the log."""
        upto = part.provable()
        if upto:
            try:
                self.add(part, "mark", {"settled": upto})
            except Stop:
                return

    def add(self, part: Partition, kind: str, body: Body, vital: bool = True, raw: Raw = b"") -> Record:
        """Sequences one record and streams it at once. Raises Stop, with nothing sequenced, if the disk
        won't take it."""
        if not vital:
            free, _ = self.table.log.disk.room()
            if free - len(json.dumps(body)) - len(raw) - 256 < self.table.log.hold:
                log_events.emit(114, self.table.settings.name, part=part.id)
                raise Stop(Fault("append", self.table.settings.name, "the disk is full", FULL))
        if self.table.log.bad:
            raise Stop(Fault("append", self.table.settings.name, self.table.log.bad, BROKE))
        rec = part.make(kind, body, raw)
        try:
            self.table.write(part, [rec.entry(part.id)])
        except Stop as bad:
            # Sequenced in memory but not on disk: this log can't be led from here any more.
            part.cut(rec.seq - 1)
            part.step_down()
            part.heard = now()
            raise Stop(Fault("append", self.table.settings.name, bad.fault.why, SLOW)) from bad
        self.table.counts[f"rec_{kind}"] += 1
        self.streams.kick_all(part)
        return rec

    async def ack(self, acks: list[Any]) -> None:
        for a in acks:
            part = self.table.part(a.part)
            if a.promised > max(part.promised, part.epoch):
                if part.owning:
                    self.table.fall(part, a.promised)
                continue
            if not part.owning or a.epoch != part.epoch:
                continue
            f = part.follows.get(a.name)
            if f is None or f.disk != a.disk:
                continue
            f.heard, f.silent, f.full = now(), False, bool(a.full)
            if a.gap:
                f.link = None
                self.streams.kick_all(part)
                continue
            last = part.record_log.last
            new = part.recorder.put(a.name, a.disk, "received", min(a.received, last))
            new = part.recorder.put(a.name, a.disk, "persisted", min(a.persisted, last)) or new
            if new:
                self.moved(part)
                if self.streams.wait_each:
                    self.streams.kick_all(part)

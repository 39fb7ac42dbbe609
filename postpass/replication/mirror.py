"""A mirror of a partition: the handshake with its owner, and the owner's stream of records."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.acknowledger import Acknowledger
from postpass.replication.election import Election
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record, RecordLog
from postpass.rpc.peer_links import IDL, Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import FULL, Fault, Stop


@dataclass(eq=False)
class Mirror:
    """Receives streams of records, and writes them in the owner's order."""

    table: PartitionTable
    election: Election
    acknowledger: Acknowledger
    spoiled: asyncio.Future[Fault] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    async def watch_disk(self) -> None:
        """Ends the process once a peer has shown that this disk lost what it had synced."""
        raise Stop(await self.spoiled)

    async def hello(self, body: Body) -> PeerResponse:
        part, epoch = self.table.part(body["part"]), body["epoch"]
        about: Body = {"disk": self.table.disk_id, "promised": part.promised}
        if body.get("hand"):
            if part.aligned == epoch and not part.trial and not part.owning and not self.table.leaving:
                self.election.stand_soon(part, epoch)
            return Ok(about | {"ok": True})
        if body.get("spoiled"):
            if body["spoiled"] == self.table.disk_id and epoch == part.promised:
                why = f"partition {part.id}: {body['who']} holds acknowledgements of more than this log has"
                self.table.log.bad = why
                if not self.spoiled.done():
                    self.spoiled.set_result(Fault("read log", self.table.settings.name, why))
            return Ok(about | {"ok": False})
        if body.get("confirm"):
            return Ok(about | {"ok": part.promised <= epoch})
        if epoch < part.promised or (part.owning and part.epoch >= epoch):
            return Ok(about | {"ok": False})
        if epoch > part.promised:
            part.promised = epoch
            if part.owning:
                self.table.fall(part, epoch)
            part.aligned = 0
            try:
                await self.table.log.wait(self.table.write(part, [IDL.Entry(part=part.id, op="promise", epoch=epoch)]))
            except Stop as bad:
                return Err(bad.fault)
            if part.promised != epoch:
                return Ok(about | {"ok": False, "promised": part.promised})
        part.heard, part.owner, part.met, part.down = now(), body["who"], True, ""
        part.filling = 0 if part.aligned == epoch else epoch
        # The owner has just connected: whatever link for acknowledgements stands from before may lead to a
        # process that is no more.
        self.acknowledger.fresh.add(body["who"])
        return Ok(
            about | {"ok": True, "promised": epoch, "last": part.record_log.last, "marks": part.record_log.marks()}
        )

    async def carry(self, packet: Any) -> None:
        part = self.table.part(packet.part)
        if packet.epoch < part.promised or (part.owning and packet.epoch <= part.epoch):
            self.acknowledger.note(part, packet.owner)
            return
        if packet.epoch > part.promised:
            # Seen first in a stream: hello comes before, so this is a stale or foreign one.
            self.acknowledger.note(part, packet.owner, gap=True)
            return
        part.heard, part.owner = now(), packet.owner
        try:
            self.take_packet(part, packet)
        except Stop as bad:
            part.aligned = part.filling = 0
            if bad.fault.code != FULL:
                raise
            log_events.emit(114, self.table.settings.name, part=part.id)
        part.covered = (
            max(part.covered, min(packet.covered, part.record_log.last))
            if part.aligned == packet.epoch
            else part.covered
        )
        self.acknowledger.note(part, packet.owner)

    def take_packet(self, part: Partition, p: Any) -> None:
        if p.kind == "beat":
            return  # it goes out between the packets of others
        if p.index == 0:
            part.gather = []
        if p.index != len(part.gather):
            part.gather, part.aligned, part.filling = [], 0, 0
            return
        part.gather.append(p.body)
        if p.index + 1 < p.total:
            return
        body = b"".join(part.gather)
        part.gather, part.filling = [], 0
        record_log = part.record_log
        if p.kind == "start":
            fits = record_log.base_seq <= p.seq <= record_log.last and record_log.epoch_at(p.seq) == p.born
            if fits and p.seq < record_log.last:
                place = self.table.log.append([IDL.Entry(part=part.id, op="cut", seq=p.seq)])
                part.cut(p.seq)
                part.places.append((place, p.seq))
            part.aligned = p.epoch if fits else 0
        elif p.kind == "snap":
            place = self.table.log.append([IDL.Entry(part=part.id, op="base", seq=p.seq, epoch=p.born, body=body)])
            part.record_log = RecordLog(p.seq, p.born, JobView.load(body))
            part.places.clear()
            part.places.append((place, p.seq))
            part.persisted, part.aligned, part.covered = 0, p.epoch, p.seq
        elif p.kind == "rec" and part.aligned == p.epoch:
            if p.seq != record_log.last + 1 or p.prior != record_log.last_epoch:
                part.aligned = 0
                return
            body, _, kind = body.rpartition(b"\n")
            rec = Record(p.seq, p.born, kind.decode(), body)
            self.write_first(part, rec)

    def write_first(self, part: Partition, rec: Record) -> None:
        place = self.table.log.append([rec.entry(part.id)])
        part.record_log.append(rec)
        part.places.append((place, rec.seq))

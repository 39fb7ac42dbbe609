"""Catching up with a longer log: a candidate fetches what it lacks, and takes it as its own once it leads."""

from __future__ import annotations

import base64
from dataclasses import dataclass

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.messages import PromiseAnswer
from postpass.replication.partition import Partition, empty_log
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record, RecordLog, match
from postpass.rpc.peer_links import IDL, Body, PeerResponse
from postpass.runtime.errors import MOVED, Fault

PIECE = 256 << 10  # of records or of a base, in the answer to one question


@dataclass(eq=False)
class CatchUp:
    """Fetches records and bases from other stores, and hands out those of this one."""

    table: PartitionTable

    async def fetch_log(self, partition: Partition, best: str, there: PromiseAnswer, epoch: int) -> RecordLog | None:
        """Fetches what the best log has beyond this one, into a copy that nothing uses yet."""
        assert there.position is not None and there.marks is not None
        last = there.position.last
        meet = match(partition.record_log.marks(), partition.record_log.last, there.marks, last)
        mine = partition.record_log
        # A base of its own: this store's may be folded on while it waits.
        staged = RecordLog(mine.base_seq, mine.base_epoch, mine.base.copy(), list(mine.recs), mine.size)
        if meet >= 0:
            staged.cut(meet)
        else:
            staged = empty_log()
        after, base, of = meet, bytearray(), -1
        while after < last:
            got = await self.table.ask(
                best, "fetch", {"part": partition.id, "epoch": epoch, "after": after, "at": len(base)}
            )
            if isinstance(got, Err):
                return None
            more = got.unwrap()
            if "base" in more:
                seq, born, size, piece = more["base"]
                if seq != of and base:
                    base, of = bytearray(), seq  # records were folded into it meanwhile
                    continue
                base, of = base + base64.b64decode(piece), seq
                if len(base) == size:
                    staged = RecordLog(seq, born, JobView.load(bytes(base)))
                    after, base = seq, bytearray()
                elif not piece:
                    return None
                continue
            for seq, born, kind, body in more["recs"]:
                staged.append(Record(seq, born, kind, base64.b64decode(body)))
                after = seq
            if not more["recs"]:
                return None
        return staged

    async def on_fetch(self, body: Body) -> PeerResponse:
        """Hands out records after a sequence number, or a piece of the base, to the candidate that this store has promised to."""
        partition = self.table.partition(body["part"])
        if partition.promised != body["epoch"] or partition.owning:
            return Err(Fault("fetch", self.table.settings.name, f"promised to epoch {partition.promised}", MOVED))
        record_log, after = partition.record_log, body["after"]
        if after < record_log.base_seq:
            base, at = partition.base_dump(), body.get("at", 0)
            piece = base64.b64encode(base[at : at + PIECE]).decode()
            return Ok({"recs": [], "base": [record_log.base_seq, record_log.base_epoch, len(base), piece]})
        out: Body = {"recs": []}
        size = 0
        for record in record_log.after(after):
            out["recs"].append([record.seq, record.epoch, record.kind, base64.b64encode(record.body).decode()])
            size += len(record.body)
            if size > PIECE:
                break
        return Ok(out)

    def adopt(self, partition: Partition, staged: RecordLog) -> None:
        """Takes a staged log as this store's own: cut where they part, then the rest, or base and all."""
        if staged is partition.record_log:
            return
        # Always the disk first: what it did not take must not be in memory, or the next record leaves a gap in the log.
        meet = match(partition.record_log.marks(), partition.record_log.last, staged.marks(), staged.last)
        if meet < 0:
            entries = [
                IDL.Entry(
                    part=partition.id, op="base", seq=staged.base_seq, epoch=staged.base_epoch, body=staged.base.dump()
                )
            ]
            entries += [r.entry(partition.id) for r in staged.recs]
            place = self.table.log.append(entries)
            partition.record_log, partition.persisted = staged, 0
            partition.unsynced.clear()
        else:
            more = staged.after(meet)
            place = self.table.log.append(
                [IDL.Entry(part=partition.id, op="cut", seq=meet)] + [r.entry(partition.id) for r in more]
            )
            partition.cut(meet)
            for record in more:
                partition.record_log.append(record)
        partition.unsynced.append((place, partition.record_log.last))
        partition.covered = min(partition.covered, partition.record_log.last)
        partition.covered = max(partition.covered, partition.record_log.base_seq)

"""Catching up with a longer log: a candidate fetches what it lacks, and takes it as its own once it leads."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.log_entries import base_entry, cut_entry
from postpass.replication.messages import BasePiece, FetchAnswer, FetchRequest, PromiseAnswer
from postpass.replication.partition import Partition, empty_log
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record, RecordLog, match
from postpass.rpc.codec import Body, PeerResponse
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
        after, base, base_seq = meet, bytearray(), -1
        while after < last:
            request = FetchRequest(partition.id, epoch, after, len(base))
            response = await self.table.ask(best, "fetch", request.encode())
            if isinstance(response, Err):
                return None
            answer = FetchAnswer.decode(response.unwrap())
            piece = answer.base
            if piece is not None:
                if piece.seq != base_seq and base:
                    base, base_seq = bytearray(), piece.seq  # records were folded into it meanwhile
                    continue
                base, base_seq = base + piece.data, piece.seq
                if len(base) == piece.size:
                    staged = RecordLog(piece.seq, piece.epoch, JobView.load(bytes(base)))
                    after, base = piece.seq, bytearray()
                elif not piece.data:
                    return None
                continue
            for record in answer.records:
                staged.append(record)
                after = record.seq
            if not answer.records:
                return None
        return staged

    async def on_fetch(self, body: Body) -> PeerResponse:
        """Hands out records after a sequence number, or a piece of the base, to the candidate that this store has
        promised to."""
        request = FetchRequest.decode(body)
        partition = self.table.partition(request.partition)
        if partition.promised != request.epoch or partition.owning:
            return Err(Fault("fetch", self.table.settings.name, f"promised to epoch {partition.promised}", MOVED))
        record_log = partition.record_log
        if request.after < record_log.base_seq:
            base = partition.base_dump()
            data = base[request.offset : request.offset + PIECE]
            piece = BasePiece(record_log.base_seq, record_log.base_epoch, len(base), data)
            return Ok(FetchAnswer([], piece).encode())
        records: list[Record] = []
        size = 0
        for record in record_log.after(request.after):
            records.append(record)
            size += len(record.body)
            if size > PIECE:
                break
        return Ok(FetchAnswer(records).encode())

    def adopt(self, partition: Partition, staged: RecordLog) -> None:
        """Takes a staged log as this store's own: cut where they part, then the rest, or base and all."""
        if staged is partition.record_log:
            return
        # Always the disk first: what it did not take must not be in memory, or the next record leaves a gap in the log.
        meet = match(partition.record_log.marks(), partition.record_log.last, staged.marks(), staged.last)
        if meet < 0:
            entries = [base_entry(partition.id, staged.base_seq, staged.base_epoch, staged.base.dump())]
            entries += [r.entry(partition.id) for r in staged.recs]
            place = self.table.log.append(entries)
            partition.record_log, partition.persisted = staged, 0
            partition.unsynced.clear()
        else:
            more = staged.after(meet)
            place = self.table.log.append([cut_entry(partition.id, meet)] + [r.entry(partition.id) for r in more])
            partition.cut(meet)
            for record in more:
                partition.record_log.append(record)
        partition.unsynced.append((place, partition.record_log.last))
        partition.covered = min(partition.covered, partition.record_log.last)
        partition.covered = max(partition.covered, partition.record_log.base_seq)

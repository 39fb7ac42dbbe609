"""Catching up with a longer log: a candidate fetches the records that it lacks, and adopts them once it becomes owner."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.log_entries import base_entry, cut_entry
from postpass.replication.messages import BasePiece, FetchAnswer, FetchRequest, PromiseAnswer
from postpass.replication.partition import Partition, empty_log
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import Record, RecordLog, last_common_seq
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.response_budget import ResponseBudget
from postpass.runtime.errors import NOT_RESPONSIBLE, Fault

PIECE_BYTES = 256 << 10  # most bytes of a base, or of records unless a single one is longer, in one answer


@dataclass(eq=False)
class CatchUp:
    """Fetches records and bases from other stores, and serves those of this store."""

    table: PartitionTable

    async def fetch_log(
        self, partition: Partition, voter: str, voter_promise: PromiseAnswer, epoch: int
    ) -> RecordLog | None:
        """Fetches what a voter's log has beyond this store's, into a copy that nothing else uses yet.

        Args:
            partition: The partition.
            voter: Name of the voter with the most complete log.
            voter_promise: That voter's promise, with the position and the marks of its log.
            epoch: Epoch that the candidate runs for.

        Returns:
            The staged log; None if it could not be fetched completely.
        """
        assert voter_promise.position is not None and voter_promise.marks is not None
        last = voter_promise.position.last
        common_seq = last_common_seq(partition.record_log.marks(), partition.record_log.last, voter_promise.marks, last)
        own_log = partition.record_log
        # The copy has a base of its own, since more records may be folded into this store's base during the requests.
        staged_log = RecordLog(
            own_log.base_seq, own_log.base_epoch, own_log.base.copy(), list(own_log.records), own_log.size
        )
        if common_seq >= 0:
            staged_log.cut(common_seq)
        else:
            staged_log = empty_log()
        after, base, base_seq = common_seq, bytearray(), -1
        while after < last:
            request = FetchRequest(partition.id, epoch, after, len(base))
            response = await self.table.ask(voter, "fetch", request.encode())
            if isinstance(response, Err):
                return None
            answer = FetchAnswer.decode(response.unwrap())
            piece = answer.base
            if piece is not None:
                if piece.seq != base_seq and base:
                    base, base_seq = bytearray(), piece.seq  # more records were folded into the base meanwhile
                    continue
                base, base_seq = base + piece.data, piece.seq
                if len(base) == piece.size:
                    staged_log = RecordLog(piece.seq, piece.epoch, JobView.load(bytes(base)))
                    after, base = piece.seq, bytearray()
                elif not piece.data:
                    return None
                continue
            for record in answer.records:
                staged_log.append(record)
                after = record.seq
            if not answer.records:
                return None
        return staged_log

    async def on_fetch(self, body: Body) -> PeerResponse:
        """Returns the records after a sequence number, or a piece of the base if they are folded into it (verb `fetch`).

        Only the candidate to which this store has promised itself gets them; others get the fault NOT_RESPONSIBLE.
        """
        request = FetchRequest.decode(body)
        partition = self.table.partition(request.partition)
        if partition.promised != request.epoch or partition.owning:
            return Err(
                Fault("fetch", self.table.settings.name, f"promised to epoch {partition.promised}", NOT_RESPONSIBLE)
            )
        record_log = partition.record_log
        if request.after < record_log.base_seq:
            base = partition.base_dump()
            data = base[request.offset : request.offset + PIECE_BYTES]
            piece = BasePiece(record_log.base_seq, record_log.base_epoch, len(base), data)
            return Ok(FetchAnswer([], piece).encode())
        records: list[Record] = []
        budget = ResponseBudget(PIECE_BYTES)
        for record in record_log.after(request.after):
            if not budget.accept(len(record.body)):
                break
            records.append(record)
        return Ok(FetchAnswer(records).encode())

    def adopt(self, partition: Partition, staged_log: RecordLog) -> None:
        """Replaces this store's log by a staged one: cuts it after the last common record and appends the rest or, if the
        bases leave the common records unknown, writes the staged base and all records after it.

        Raises:
            FaultError: The disk does not accept the entries; the log in memory is unchanged.
        """
        if staged_log is partition.record_log:
            return
        # The disk is always written first: records that it did not accept must not be in memory, otherwise the next
        # record leaves a gap in the log on disk.
        common_seq = last_common_seq(
            partition.record_log.marks(), partition.record_log.last, staged_log.marks(), staged_log.last
        )
        if common_seq < 0:
            entries = [base_entry(partition.id, staged_log.base_seq, staged_log.base_epoch, staged_log.base.dump())]
            entries += [r.entry(partition.id) for r in staged_log.records]
            log_offset = self.table.log.append(entries)
            partition.record_log, partition.persisted = staged_log, 0
            partition.unsynced.clear()
        else:
            new_records = staged_log.after(common_seq)
            log_offset = self.table.log.append(
                [cut_entry(partition.id, common_seq)] + [r.entry(partition.id) for r in new_records]
            )
            partition.cut(common_seq)
            for record in new_records:
                partition.record_log.append(record)
        partition.unsynced.append((log_offset, partition.record_log.last))
        partition.covered = min(partition.covered, partition.record_log.last)
        partition.covered = max(partition.covered, partition.record_log.base_seq)

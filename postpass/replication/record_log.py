"""A partition's records in memory: a base, into which older records were folded, and the records after it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from postpass.rpc.codec import IDL


@dataclass(frozen=True)
class Record:
    """One record of a partition's log.

    Invariant: (seq, epoch) identifies one record permanently; two logs that both have it have the same records before it.

    Attributes:
        seq: Sequence number.
        epoch: Epoch under which an owner has sequenced it.
        kind: Kind of the record.
        body: Its content as bytes.
    """

    seq: int
    epoch: int
    kind: str
    body: bytes

    def entry(self, part: int) -> Any:
        """Returns the entry of the log on disk for this record of a partition."""
        return IDL.Entry(part=part, op="rec", seq=self.seq, epoch=self.epoch, kind=self.kind, body=self.body)


class Base:
    """The state into which records are folded; `JobView` is the implementation in use."""

    def fold(self, record: Record) -> None:
        """Applies one record."""

    def copy(self) -> Base:
        """Returns an independent copy, into which more records can be folded."""
        return self

    def dump(self) -> bytes:
        """Returns the serialized base, as it is written to disk and sent to peers."""
        return b""


@dataclass(eq=False)
class RecordLog:
    """The records of a partition, the older of them folded into a base.

    Invariants: `records` are numbered base_seq+1, +2, … without a gap; epochs never decrease along them; `base_seq` never
    exceeds the last covered record, so a covered record is never cut.

    Attributes:
        base_seq: Sequence number of the last record that is folded into the base; 0 if none is.
        base_epoch: Epoch of that record.
        base: The state after that record.
        records: The records after the base.
        size: Total bytes of their bodies.
    """

    base_seq: int = 0
    base_epoch: int = 0
    base: Base = field(default_factory=Base)
    records: list[Record] = field(default_factory=list)
    size: int = 0

    @property
    def last(self) -> int:
        """Sequence number of the last record."""
        return self.base_seq + len(self.records)

    @property
    def last_epoch(self) -> int:
        """Epoch of the last record."""
        return self.records[-1].epoch if self.records else self.base_epoch

    def epoch_at(self, seq: int) -> int:
        """Returns the epoch of the record with a sequence number, which is the base's or a later one."""
        if seq == self.base_seq:
            return self.base_epoch
        return self.records[seq - self.base_seq - 1].epoch

    def get(self, seq: int) -> Record:
        """Returns the record with a sequence number, which is after the base's."""
        return self.records[seq - self.base_seq - 1]

    def after(self, seq: int) -> list[Record]:
        """Returns the records after a sequence number, which is the base's or a later one."""
        return self.records[seq - self.base_seq :]

    def append(self, record: Record) -> None:
        """Appends the next record."""
        assert record.seq == self.last + 1, f"record {record.seq} does not follow record {self.last}"
        assert record.epoch >= self.last_epoch, f"epoch {record.epoch} is lower than the last epoch {self.last_epoch}"
        self.records.append(record)
        self.size += len(record.body)

    def cut(self, seq: int) -> None:
        """Drops the records after `seq`, which must not be below the base's sequence number."""
        assert seq >= self.base_seq, f"cannot cut at record {seq}, below the base {self.base_seq}"
        del self.records[seq - self.base_seq :]
        self.size = sum(len(r.body) for r in self.records)

    def rebase(self, seq: int) -> None:
        """Folds the records up to `seq` into the base; only covered records may be folded."""
        epoch = self.epoch_at(seq)
        for record in self.records[: seq - self.base_seq]:
            self.base.fold(record)
        self.records = self.records[seq - self.base_seq :]
        self.base_seq, self.base_epoch = seq, epoch
        self.size = sum(len(r.body) for r in self.records)

    def marks(self) -> list[tuple[int, int]]:
        """Returns (epoch, first sequence number) of each run of records of one epoch, beginning with the base."""
        runs = [(self.base_epoch, self.base_seq)]
        for record in self.records:
            if record.epoch != runs[-1][0]:
                runs.append((record.epoch, record.seq))
        return runs


def last_common_seq(
    own_marks: list[tuple[int, int]], own_last: int, other_marks: list[tuple[int, int]], other_last: int
) -> int:
    """Returns the highest sequence number up to which two logs have the same records, given the marks (see
    `RecordLog.marks`) and the last sequence number of each; -1 if it is below a base and therefore unknown."""

    def run_at(marks: list[tuple[int, int]], seq: int) -> tuple[int, int]:
        return next((e, first) for e, first in reversed(marks) if first <= seq)

    seq = min(own_last, other_last)
    lowest_seq = max(own_marks[0][1], other_marks[0][1])
    while seq >= lowest_seq:
        (own_epoch, own_start), (other_epoch, other_start) = run_at(own_marks, seq), run_at(other_marks, seq)
        if own_epoch == other_epoch:
            return seq
        seq = (own_start if own_epoch > other_epoch else other_start) - 1
    return -1

"""A partition's records in memory: a folded base and the records after it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from postpass.rpc.codec import IDL


@dataclass(frozen=True)
class Record:
    """Invariant: (seq, epoch) names one record for good; the same pair has the same records before it."""

    seq: int
    epoch: int
    kind: str
    body: bytes

    def entry(self, part: int) -> Any:
        """The log entry on disk."""
        return IDL.Entry(part=part, op="rec", seq=self.seq, epoch=self.epoch, kind=self.kind, body=self.body)


class Base:
    """What records are folded into; `JobView` is the one in use."""

    def fold(self, record: Record) -> None:
        """Applies one record."""

    def copy(self) -> Base:
        """Another base that can be folded on."""
        return self

    def dump(self) -> bytes:
        """The bytes on disk and on the wire."""
        return b""


@dataclass(eq=False)
class RecordLog:
    """Invariants: recs are numbered base_seq+1, +2, … without a gap; epochs never decrease along them;
    base_seq never passes what was covered, so a covered record is never cut."""

    base_seq: int = 0
    base_epoch: int = 0
    base: Base = field(default_factory=Base)
    recs: list[Record] = field(default_factory=list)
    size: int = 0

    @property
    def last(self) -> int:
        """Sequence number of the last record."""
        return self.base_seq + len(self.recs)

    @property
    def last_epoch(self) -> int:
        """Epoch of the last record."""
        return self.recs[-1].epoch if self.recs else self.base_epoch

    def epoch_at(self, seq: int) -> int:
        """Epoch of the record with a sequence number at or after the base."""
        if seq == self.base_seq:
            return self.base_epoch
        return self.recs[seq - self.base_seq - 1].epoch

    def get(self, seq: int) -> Record:
        """The record with a sequence number after the base."""
        return self.recs[seq - self.base_seq - 1]

    def after(self, seq: int) -> list[Record]:
        """The records that follow a sequence number."""
        return self.recs[seq - self.base_seq :]

    def append(self, record: Record) -> None:
        """Adds the next record."""
        assert record.seq == self.last + 1, f"{record.seq} does not follow {self.last}"
        assert record.epoch >= self.last_epoch, f"epoch {record.epoch} falls below {self.last_epoch}"
        self.recs.append(record)
        self.size += len(record.body)

    def cut(self, seq: int) -> None:
        """Drops what follows `seq`."""
        assert seq >= self.base_seq, f"cut at {seq} below the base {self.base_seq}"
        del self.recs[seq - self.base_seq :]
        self.size = sum(len(r.body) for r in self.recs)

    def rebase(self, seq: int) -> None:
        """Folds the records up to `seq` into the base; only covered ones may go there."""
        epoch = self.epoch_at(seq)
        for record in self.recs[: seq - self.base_seq]:
            self.base.fold(record)
        self.recs = self.recs[seq - self.base_seq :]
        self.base_seq, self.base_epoch = seq, epoch
        self.size = sum(len(r.body) for r in self.recs)

    def marks(self) -> list[tuple[int, int]]:
        """(epoch, first number) of each run of one epoch, from the base on."""
        out = [(self.base_epoch, self.base_seq)]
        for record in self.recs:
            if record.epoch != out[-1][0]:
                out.append((record.epoch, record.seq))
        return out


def match(mine: list[tuple[int, int]], my_last: int, theirs: list[tuple[int, int]], their_last: int) -> int:
    """The highest number up to which both hold the same records, or -1 if the bases leave it unknown."""

    def run(marks: list[tuple[int, int]], seq: int) -> tuple[int, int]:
        return next((e, first) for e, first in reversed(marks) if first <= seq)

    seq = min(my_last, their_last)
    floor = max(mine[0][1], theirs[0][1])
    while seq >= floor:
        (one, start), (two, begin) = run(mine, seq), run(theirs, seq)
        if one == two:
            return seq
        seq = (start if one > two else begin) - 1
    return -1

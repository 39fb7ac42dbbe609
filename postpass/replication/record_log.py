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
        return IDL.Entry(part=part, op="rec", seq=self.seq, epoch=self.epoch, kind=self.kind, body=self.body)


class Base:
    """What records are folded into; `lots.LotView` is the one in use."""

    def fold(self, rec: Record) -> None: ...

    def copy(self) -> Base:
        return self

    def dump(self) -> bytes:
        return b""


@dataclass(eq=False)
class RecordLog:
    """Invariants: recs are numbered base_seq+1, +2, … without a gap; epochs never fall along them;
    base_seq never passes what was covered, so a covered record is never cut."""

    base_seq: int = 0
    base_epoch: int = 0
    base: Base = field(default_factory=Base)
    recs: list[Record] = field(default_factory=list)
    size: int = 0

    @property
    def last(self) -> int:
        return self.base_seq + len(self.recs)

    @property
    def last_epoch(self) -> int:
        return self.recs[-1].epoch if self.recs else self.base_epoch

    def epoch_at(self, seq: int) -> int:
        if seq == self.base_seq:
            return self.base_epoch
        return self.recs[seq - self.base_seq - 1].epoch

    def get(self, seq: int) -> Record:
        return self.recs[seq - self.base_seq - 1]

    def after(self, seq: int) -> list[Record]:
        return self.recs[seq - self.base_seq :]

    def append(self, rec: Record) -> None:
        assert rec.seq == self.last + 1, f"{rec.seq} does not follow {self.last}"
        assert rec.epoch >= self.last_epoch, f"epoch {rec.epoch} falls below {self.last_epoch}"
        self.recs.append(rec)
        self.size += len(rec.body)

    def cut(self, seq: int) -> None:
        """Drops what follows `seq`."""
        assert seq >= self.base_seq, f"cut at {seq} below the base {self.base_seq}"
        del self.recs[seq - self.base_seq :]
        self.size = sum(len(r.body) for r in self.recs)

    def rebase(self, seq: int) -> None:
        """Folds the records up to `seq` into the base; only covered ones may go there."""
        epoch = self.epoch_at(seq)
        for rec in self.recs[: seq - self.base_seq]:
            self.base.fold(rec)
        self.recs = self.recs[seq - self.base_seq :]
        self.base_seq, self.base_epoch = seq, epoch
        self.size = sum(len(r.body) for r in self.recs)

    def marks(self) -> list[tuple[int, int]]:
        """(epoch, first number) of each run of one epoch, from the base on."""
        out = [(self.base_epoch, self.base_seq)]
        for rec in self.recs:
            if rec.epoch != out[-1][0]:
                out.append((rec.epoch, rec.seq))
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

"""Tests of postpass.replication.record_log."""

from __future__ import annotations

from postpass.replication.record_log import Record, Tape, match


def _tape(*epochs: int) -> Tape:
    tape = Tape()
    for i, epoch in enumerate(epochs):
        tape.append(Record(i + 1, epoch, "t", b"x"))
    return tape


def test_match_finds_where_two_logs_part() -> None:
    def meet(one: Tape, two: Tape) -> int:
        there = match(one.marks(), one.last, two.marks(), two.last)
        assert there == match(two.marks(), two.last, one.marks(), one.last)
        return there

    assert meet(_tape(1, 1, 1), _tape(1, 1)) == 2
    assert meet(_tape(1, 1, 3, 3), _tape(1, 1, 2, 2, 2)) == 2
    assert meet(_tape(1, 2, 2, 4), _tape(1, 3, 3, 3)) == 1
    assert meet(_tape(), _tape(1)) == 0
    based = _tape(1, 1, 2, 2, 2)
    based.rebase(4)
    assert (based.base_epoch, based.last, based.after(4)[0].seq) == (2, 5, 5)
    assert meet(based, _tape(1, 1, 2, 2, 2, 2)) == 5
    assert meet(based, _tape(1, 1)) == -1
    assert meet(based, _tape(1, 1, 1, 1, 1)) == -1


def test_cut_and_rebase_keep_the_numbers() -> None:
    tape = _tape(1, 1, 2)
    tape.cut(2)
    assert (tape.last, tape.last_epoch, tape.size) == (2, 1, 2)
    tape.append(Record(3, 5, "t", b"yy"))
    assert tape.marks() == [(0, 0), (1, 1), (5, 3)]
    try:
        tape.append(Record(9, 5, "t", b""))
    except AssertionError:
        pass
    else:
        raise AssertionError("a gap was taken")

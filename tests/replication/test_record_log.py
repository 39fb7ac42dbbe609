"""Tests of postpass.replication.record_log."""

from __future__ import annotations

from postpass.replication.record_log import Record, RecordLog, last_common_seq


def _tape(*epochs: int) -> RecordLog:
    record_log = RecordLog()
    for i, epoch in enumerate(epochs):
        record_log.append(Record(i + 1, epoch, "t", b"x"))
    return record_log


def test_match_finds_where_two_logs_part() -> None:
    def meet(one: RecordLog, two: RecordLog) -> int:
        there = last_common_seq(one.marks(), one.last, two.marks(), two.last)
        assert there == last_common_seq(two.marks(), two.last, one.marks(), one.last)
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
    record_log = _tape(1, 1, 2)
    record_log.cut(2)
    assert (record_log.last, record_log.last_epoch, record_log.size) == (2, 1, 2)
    record_log.append(Record(3, 5, "t", b"yy"))
    assert record_log.marks() == [(0, 0), (1, 1), (5, 3)]
    try:
        record_log.append(Record(9, 5, "t", b""))
    except AssertionError:
        pass
    else:
        raise AssertionError("a gap was taken")

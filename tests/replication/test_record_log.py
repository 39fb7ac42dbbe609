"""Tests of postpass.replication.record_log."""

from __future__ import annotations

from postpass.replication.record_log import Record, RecordLog, last_common_seq


def _log_with_epochs(*epochs: int) -> RecordLog:
    record_log = RecordLog()
    for i, epoch in enumerate(epochs):
        record_log.append(Record(i + 1, epoch, "t", b"x"))
    return record_log


def test_last_common_seq_finds_where_two_logs_diverge() -> None:
    def common_seq(one: RecordLog, other: RecordLog) -> int:
        seq = last_common_seq(one.marks(), one.last, other.marks(), other.last)
        assert seq == last_common_seq(other.marks(), other.last, one.marks(), one.last)
        return seq

    assert common_seq(_log_with_epochs(1, 1, 1), _log_with_epochs(1, 1)) == 2
    assert common_seq(_log_with_epochs(1, 1, 3, 3), _log_with_epochs(1, 1, 2, 2, 2)) == 2
    assert common_seq(_log_with_epochs(1, 2, 2, 4), _log_with_epochs(1, 3, 3, 3)) == 1
    assert common_seq(_log_with_epochs(), _log_with_epochs(1)) == 0
    based = _log_with_epochs(1, 1, 2, 2, 2)
    based.rebase(4)
    assert (based.base_epoch, based.last, based.after(4)[0].seq) == (2, 5, 5)
    assert common_seq(based, _log_with_epochs(1, 1, 2, 2, 2, 2)) == 5
    assert common_seq(based, _log_with_epochs(1, 1)) == -1
    assert common_seq(based, _log_with_epochs(1, 1, 1, 1, 1)) == -1


def test_cut_and_rebase_keep_the_sequence_numbers() -> None:
    record_log = _log_with_epochs(1, 1, 2)
    record_log.cut(2)
    assert (record_log.last, record_log.last_epoch, record_log.size) == (2, 1, 2)
    record_log.append(Record(3, 5, "t", b"yy"))
    assert record_log.marks() == [(0, 0), (1, 1), (5, 3)]
    try:
        record_log.append(Record(9, 5, "t", b""))
    except AssertionError:
        pass
    else:
        raise AssertionError("a record after a gap was appended")

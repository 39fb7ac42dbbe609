"""Tests of postpass.batch.capacity."""

from __future__ import annotations

from postpass.batch.capacity import batch_slots


def test_batch_takes_what_live_leaves_and_never_less_than_its_own() -> None:
    assert batch_slots(8, 1, 0, 0, True) == 8
    assert batch_slots(8, 1, 3, 1, True) == 4
    assert batch_slots(8, 1, 8, 2, True) == 1
    assert batch_slots(8, 1, 0, 0, False) == 0

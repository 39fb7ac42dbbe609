"""Tests of postpass.replication.store."""

from __future__ import annotations

from postpass.configuration.configuration import partition_of


def test_lots_hash_over_all_partitions() -> None:
    assert {partition_of(f"lot-{i}", 8) for i in range(200)} == set(range(8))

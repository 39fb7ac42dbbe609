"""Tests of postpass.replication.acknowledgements."""

from __future__ import annotations

from collections.abc import Callable

from postpass.replication.acknowledgements import Acknowledgements


def test_newer_overwrites_older_and_a_lower_one_is_ignored() -> None:
    rec = Acknowledgements()
    assert rec.put("s1", "d1", "persisted", 5) and not rec.put("s1", "d1", "persisted", 4)
    assert rec.get("s1", "d1", "persisted") == 5
    assert rec.advance(5) and not rec.advance(3) and rec.frontier == 5


def test_a_wiped_disk_stops_counting() -> None:
    rec = Acknowledgements()
    for node in ("s1", "s2", "s3"):
        rec.put(node, "old", "persisted", 7)
    low: Callable[[Callable[[str, str], int]], int] = lambda c: min(c(n, "persisted") for n in ("s1", "s2", "s3"))  # noqa: E731
    assert rec.evaluate({"s1": "old", "s2": "old", "s3": "old"}, low) == 7
    assert rec.evaluate({"s1": "old", "s2": "new", "s3": "old"}, low) == 0
    assert rec.evaluate({"s1": "old", "s2": "old"}, low) == 0

"""Tests of postpass.replication.acknowledgements."""

from __future__ import annotations

from collections.abc import Callable

from postpass.replication.acknowledgements import Acknowledgements


def test_a_higher_number_replaces_a_lower_one_and_a_lower_one_is_ignored() -> None:
    acknowledgements = Acknowledgements()
    assert acknowledgements.update("s1", "d1", "persisted", 5) and not acknowledgements.update(
        "s1", "d1", "persisted", 4
    )
    assert acknowledgements.get("s1", "d1", "persisted") == 5
    assert acknowledgements.advance(5) and not acknowledgements.advance(3) and acknowledgements.frontier == 5


def test_a_wiped_disk_stops_counting() -> None:
    acknowledgements = Acknowledgements()
    for node in ("s1", "s2", "s3"):
        acknowledgements.update(node, "old", "persisted", 7)
    lowest: Callable[[Callable[[str, str], int]], int] = lambda c: min(c(n, "persisted") for n in ("s1", "s2", "s3"))  # noqa: E731
    assert acknowledgements.evaluate({"s1": "old", "s2": "old", "s3": "old"}, lowest) == 7
    assert acknowledgements.evaluate({"s1": "old", "s2": "new", "s3": "old"}, lowest) == 0
    assert acknowledgements.evaluate({"s1": "old", "s2": "old"}, lowest) == 0

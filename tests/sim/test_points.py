"""Tests of sim.points."""

from __future__ import annotations

from sim.points import Points, known


def test_points_are_passed_in_order_and_unknown_names_are_recognized() -> None:
    assert known("sends.carry") and known("E120") and known("synced.log") and known("piece.3") and known("applied.202")
    assert not known("sends.nothing") and not known("E999") and not known("synced.x") and not known("kept.1")
    points = Points()
    passed: list[tuple[int, str]] = []
    points.watchers.append(lambda point: passed.append((point.number, point.name)))
    points.watchers.append(lambda point: points.hit("kept", "x"))  # passed by a watcher, so it does not count
    points.hit("took", "w1")
    points.hit("kept", "e1")
    assert passed == [(1, "took"), (2, "kept")] and points.seen["kept"] == 1

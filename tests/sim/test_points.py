"""Tests of sim.points."""

from __future__ import annotations

from sim.points import Points, known


def test_points_are_met_in_order_and_unknown_names_are_told() -> None:
    assert known("sends.carry") and known("E120") and known("synced.log") and known("piece.3") and known("applied.202")
    assert not known("sends.nothing") and not known("E999") and not known("synced.x") and not known("kept.1")
    points = Points()
    got: list[tuple[int, str]] = []
    points.watchers.append(lambda p: got.append((p.number, p.name)))
    points.watchers.append(lambda p: points.hit("kept", "x"))  # passed by the fault: no point
    points.hit("took", "w1")
    points.hit("kept", "e1")
    assert got == [(1, "took"), (2, "kept")] and points.seen["kept"] == 1

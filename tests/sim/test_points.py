"""Tests of sim.points."""

from __future__ import annotations

from sim.points import Points, is_known_point


def test_points_are_passed_in_order_and_unknown_names_are_recognized() -> None:
    assert (
        is_known_point("sends.carry")
        and is_known_point("E120")
        and is_known_point("synced.log")
        and is_known_point("piece.3")
        and is_known_point("applied.202")
    )
    assert (
        not is_known_point("sends.nothing")
        and not is_known_point("E999")
        and not is_known_point("synced.x")
        and not is_known_point("kept.1")
    )
    points = Points()
    passed: list[tuple[int, str]] = []
    points.watchers.append(lambda point: passed.append((point.number, point.name)))
    points.watchers.append(lambda point: points.hit("kept", "x"))  # passed by a watcher, so it does not count
    points.hit("took", "w1")
    points.hit("kept", "e1")
    assert passed == [(1, "took"), (2, "kept")] and points.seen["kept"] == 1

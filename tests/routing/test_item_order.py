"""Items that can't be done in time any more wait behind the others, but not for ever."""

from __future__ import annotations

from postpass.routing.item_order import OVERDUE_EVERY, RUN_WEIGHT, serving_order, usual_seconds
from postpass.routing.options import RoutingOptions


def order(dues: list[float], earliest: float, **options: bool) -> list[float]:
    """The due times in the order in which their items are served."""
    return serving_order(sorted(dues), lambda due: due, earliest, RoutingOptions(**options))


def test_the_nearest_due_time_that_can_be_met_comes_first() -> None:
    assert order([9.0, 3.0, 7.0, 1.0], earliest=2.0) == [3.0, 7.0, 9.0, 1.0]
    assert order([9.0, 3.0, 7.0, 1.0], earliest=2.0, overdue_last=False) == [1.0, 3.0, 7.0, 9.0]
    assert order([3.0, 1.0], earliest=5.0) == [1.0, 3.0] and order([], earliest=5.0) == []


def test_one_in_so_many_is_overdue_so_that_none_waits_for_ever() -> None:
    dues = [float(n) for n in range(5)] + [100.0 + n for n in range(50)]
    served = order(dues, earliest=50.0)
    assert sorted(served) == sorted(dues)
    places = [n for n, due in enumerate(served) if due < 50.0]
    assert places == [OVERDUE_EVERY * (n + 1) - 1 for n in range(5)]
    # Each of both groups keeps its order.
    assert [due for due in served if due < 50.0] == dues[:5] and [due for due in served if due > 50.0] == dues[5:]


def test_the_usual_time_follows_what_was_seen() -> None:
    assert usual_seconds(0.0, 2.0) == 2.0
    assert usual_seconds(2.0, 4.0) == 2.0 + 2.0 * RUN_WEIGHT

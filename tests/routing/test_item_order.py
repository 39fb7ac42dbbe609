"""Items that can't be done in time any more are served after the others, but don't wait forever."""

from __future__ import annotations

from postpass.routing.item_order import OVERDUE_EVERY, RUN_WEIGHT, serving_order, usual_seconds
from postpass.routing.options import RoutingOptions


def order(dues: list[float], earliest: float, **options: bool) -> list[float]:
    """Returns the due times in the order in which their items are served."""
    return serving_order(sorted(dues), lambda due: due, earliest, RoutingOptions(**options))


def test_the_nearest_due_time_that_can_be_met_comes_first() -> None:
    assert order([9.0, 3.0, 7.0, 1.0], earliest=2.0) == [3.0, 7.0, 9.0, 1.0]
    assert order([9.0, 3.0, 7.0, 1.0], earliest=2.0, overdue_last=False) == [1.0, 3.0, 7.0, 9.0]
    assert order([3.0, 1.0], earliest=5.0) == [1.0, 3.0] and order([], earliest=5.0) == []


def test_one_in_so_many_is_overdue_so_that_none_waits_for_ever() -> None:
    dues = [float(n) for n in range(5)] + [100.0 + n for n in range(50)]
    served = order(dues, earliest=50.0)
    assert sorted(served) == sorted(dues)
    positions = [n for n, due in enumerate(served) if due < 50.0]
    assert positions == [OVERDUE_EVERY * (n + 1) - 1 for n in range(5)]
    # Both the overdue items and the others keep their order among themselves.
    assert [due for due in served if due < 50.0] == dues[:5] and [due for due in served if due > 50.0] == dues[5:]


def test_the_usual_time_is_a_moving_average() -> None:
    assert usual_seconds(0.0, 2.0) == 2.0
    assert usual_seconds(2.0, 4.0) == 2.0 + 2.0 * RUN_WEIGHT

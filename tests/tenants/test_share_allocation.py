"""Dividing a limit between edges."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from postpass.tenants.share_allocation import fair_rate, max_min_fair, wanted_rate

demands = st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 1000), min_size=1)
capacities = st.floats(0.01, 1000)


@given(demands, capacities)
def test_nobody_gets_more_than_its_demand_and_all_together_no_more_than_there_is(
    asked: dict[str, float], capacity: float
) -> None:
    shares = max_min_fair(asked, capacity)
    assert all(shares[name] <= asked[name] for name in asked)
    assert sum(shares.values()) <= capacity * (1 + 1e-9)


@given(demands, capacities)
def test_who_gets_less_than_its_demand_gets_no_less_than_anyone_else(asked: dict[str, float], capacity: float) -> None:
    shares = max_min_fair(asked, capacity)
    least = min([shares[name] for name in asked if shares[name] < asked[name]], default=None)
    assert least is None or max(shares.values()) <= least * (1 + 1e-9)


@given(demands, capacities)
def test_rates_add_up_to_no_more_than_there_is(asked: dict[str, float], capacity: float) -> None:
    rates = {name: fair_rate(name, asked, capacity) for name in asked}
    assert sum(rates.values()) <= capacity * (1 + 1e-9)
    assert all(rates[name] <= wanted_rate(asked[name], capacity) * (1 + 1e-9) + 1e-9 for name in asked)


def test_demands_that_fit_are_met_with_room_to_grow() -> None:
    asked = {"a": 30.0, "b": 1.0}
    assert fair_rate("a", asked, 80.0) == wanted_rate(30.0, 80.0)
    assert fair_rate("b", asked, 80.0) == wanted_rate(1.0, 80.0)
    assert 30.0 < fair_rate("a", asked, 32.0) < 31.0
    assert fair_rate("a", asked, 20.0) == 19.0

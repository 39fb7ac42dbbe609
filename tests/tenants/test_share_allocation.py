"""The division of a limit between edges."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from postpass.tenants.share_allocation import fair_rate, max_min_fair, wanted_rate

demands = st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 1000), min_size=1)
capacities = st.floats(0.01, 1000)


@given(demands, capacities)
def test_no_share_exceeds_its_demand_and_all_together_fit_the_capacity(
    demand_by_edge: dict[str, float], capacity: float
) -> None:
    shares = max_min_fair(demand_by_edge, capacity)
    assert all(shares[name] <= demand_by_edge[name] for name in demand_by_edge)
    assert sum(shares.values()) <= capacity * (1 + 1e-9)


@given(demands, capacities)
def test_an_unmet_demand_gets_no_less_than_any_other(demand_by_edge: dict[str, float], capacity: float) -> None:
    shares = max_min_fair(demand_by_edge, capacity)
    least = min([shares[name] for name in demand_by_edge if shares[name] < demand_by_edge[name]], default=None)
    assert least is None or max(shares.values()) <= least * (1 + 1e-9)


@given(demands, capacities)
def test_rates_add_up_to_no_more_than_the_capacity(demand_by_edge: dict[str, float], capacity: float) -> None:
    rates = {name: fair_rate(name, demand_by_edge, capacity) for name in demand_by_edge}
    assert sum(rates.values()) <= capacity * (1 + 1e-9)
    assert all(
        rates[name] <= wanted_rate(demand_by_edge[name], capacity) * (1 + 1e-9) + 1e-9 for name in demand_by_edge
    )


def test_demands_that_fit_are_met_with_room_to_grow() -> None:
    demand_by_edge = {"a": 30.0, "b": 1.0}
    assert fair_rate("a", demand_by_edge, 80.0) == wanted_rate(30.0, 80.0)
    assert fair_rate("b", demand_by_edge, 80.0) == wanted_rate(1.0, 80.0)
    assert 30.0 < fair_rate("a", demand_by_edge, 32.0) < 31.0
    assert fair_rate("a", demand_by_edge, 20.0) == 19.0

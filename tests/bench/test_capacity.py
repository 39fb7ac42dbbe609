"""The pure parts of the capacity tool: fitting, laying out to a size, and the verdict against a bound."""

from __future__ import annotations

import json
from asyncio import events
from typing import Any

import pytest

from bench.capacity.fleet_report import ROLES, size_of, store_sent, value_at
from bench.capacity.measurements.backlog import running_row
from bench.capacity.measurements.fleet import fleet_row
from bench.capacity.measurements.jobs import lot_row
from bench.capacity.meter import Meter, metered
from bench.capacity.simulated_fleet import more_routes
from bench.capacity.slopes import Slope, extrapolate, growth, interpolate, slope, verdict
from bench.capacity.tables import table
from postpass.rpc import codec
from sim.loop import Pipe


def test_a_straight_line_is_found_whole() -> None:
    got = slope([(x, 3.0 + 0.5 * x) for x in (1.0, 10.0, 100.0)])
    assert got.base == pytest.approx(3.0) and got.each == pytest.approx(0.5) and got.fit == pytest.approx(1.0)
    assert got.at(1000) == pytest.approx(503.0)


def test_a_square_shows_in_its_growth_where_the_fit_would_hide_it() -> None:
    square = [(float(x), float(x * x)) for x in (1, 10, 100, 1000)]
    assert slope(square).fit > 0.99 and growth(square) == pytest.approx(2.0)
    assert growth([(10.0, 30.0), (1000.0, 3000.0), (100.0, 300.0)]) == pytest.approx(1.0)


@pytest.mark.parametrize("points", [[(0.0, 1.0), (5.0, 9.0)], [(5.0, 1.0), (5.0, 2.0)], [(1.0, 0.0), (2.0, 1.0)]])
def test_growth_wants_two_sizes_and_values(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="above 0"):
        growth(points)


def test_what_stays_the_same_has_no_slope() -> None:
    got = slope([(1.0, 7.0), (2.0, 7.0), (3.0, 7.0)])
    assert got.each == 0 and got.base == 7 and got.fit == 1


@pytest.mark.parametrize("points", [[], [(1.0, 2.0)], [(5.0, 1.0), (5.0, 9.0)]])
def test_one_size_gives_no_slope(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="two sizes"):
        slope(points)


def test_between_measured_sizes_and_never_beyond() -> None:
    points = [(100.0, 10.0), (8.0, 1.0), (300.0, 30.0)]
    assert interpolate(points, 200.0) == pytest.approx(20.0) and interpolate(points, 8.0) == 1.0
    with pytest.raises(ValueError, match="outside 8 to 300"):
        interpolate(points, 301.0)


def test_lines_through_one_size_add_up() -> None:
    assert extrapolate(100, [(Slope(0, 2, 1), 10), (Slope(99, 0.5, 1), 4)]) == 122


@pytest.mark.parametrize(
    ("value", "word"), [(0.0, "holds (0)"), (70.0, "holds (0.7)"), (71.0, "near (0.71)"), (100.0, "near (1)"), (101.0, "bends (1)"), (250.0, "bends (2.5)")]
)  # fmt: skip
def test_a_verdict_tells_what_bends(value: float, word: str) -> None:
    assert verdict(value, 100.0) == word


def test_a_verdict_wants_a_bound() -> None:
    with pytest.raises(ValueError, match="bound above 0"):
        verdict(1.0, 0.0)


def fleet(daemons: int, workers: int, routes: int) -> dict[str, Any]:
    return {"daemons": daemons, "workers": workers, "routes": routes, "cost": 5.0 + daemons + 2 * workers + 3 * routes}


def test_three_series_are_laid_out_to_a_size_that_none_of_them_has() -> None:
    sizes = [(16, 20, 9), (64, 20, 9), (16, 300, 9), (16, 20, 600)]
    rows = [fleet(*s) for s in sizes] + [fleet(64, 100, 100) | {"cost": 1e9}]  # of no series: only a check
    assert value_at(rows, lambda r: float(r["cost"]), (360, 690, 600)) == pytest.approx(5 + 360 + 2 * 690 + 3 * 600)
    assert size_of(rows[1]) == (64, 20, 9)


def test_a_stores_parts_grow_each_in_its_own_way() -> None:
    spots = [(4, {"ping": 30.0, "hello": 80.0, "shuffle": 9.0}), (8, {"ping": 70.0, "hello": 40.0, "shuffle": 7.0})]
    assert store_sent(spots, 16) == {"ping": pytest.approx(150.0), "hello": 20.0, "shuffle": 7.0}


def test_the_meter_takes_the_mean_over_a_roles_processes() -> None:
    meter = Meter()
    meter.cpu.update({"a": 4_000_000, "b": 2_000_000, "c": 9_000_000})
    meter.sent.update({"a": 100, "b": 300})
    meter.messages.update({("a", "ping"): 6, ("c", "ping"): 60})
    meter.sizes.update({("a", "ping"): 80, ("b", "copy"): 240, ("c", "copy"): 999})
    got = meter.cost(["a", "b"], 2.0)
    assert got == {"cpu_ms": 1.5, "sent": 100.0, "received": 0.0, "messages": 1.5}
    assert meter.by_verb(["a", "b"], 2.0) == {"copy": 60.0, "ping": 20.0}


def test_the_meter_leaves_no_trace() -> None:
    before = (Pipe._send, codec.encode_message, events.Handle._run)
    with metered():
        assert Pipe._send is not before[0] and codec.encode_message is not before[1]
    assert (Pipe._send, codec.encode_message, events.Handle._run) == before


def test_more_routes_have_places_of_their_own() -> None:
    config = {"version": 1, "routes": [{"name": "r", "host": "h", "prefix": "/r/"}], "services": []}
    got = more_routes(config, 40)["routes"]
    assert len(got) == 40 and len({r["name"] for r in got}) == len({(r["host"], r["prefix"]) for r in got}) == 40


def test_a_table_has_a_cell_for_each_head() -> None:
    assert table(["a", "b"], [[1, 2.34567], ["x", 123456.7]]) == [
        "| a | b |",
        "|---|---|",
        "| 1 | 2.35 |",
        "| x | 123457 |",
        "",
    ]


def test_a_small_fleet_is_measured_and_its_changes_are_taken() -> None:
    row = fleet_row(16, 20, 9, span=1.0)
    assert row["machines"] == 16 and row["known"] == 20 and set(row["answers"]) == {200}
    assert set(row["rest"]) == set(ROLES) and len(json.dumps(row)) > 0
    assert all(x["cpu_ms"] > 0 and x["sent"] > 0 for x in row["rest"].values())


def test_a_lot_beyond_the_limit_is_refused_and_says_so() -> None:
    row = lot_row(201)
    assert row["status"] == 400 and "200" in row["why"]


def test_running_items_are_counted_at_the_active_scheduler() -> None:
    row = running_row(24, span=1.0)
    assert row["held"] >= row["running"] == 24
    assert row["sent"] > 0

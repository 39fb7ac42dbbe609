"""The choice of the hubs that collect the load of workers, and the sums of the reports."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from postpass.routing.load_picture import (
    FEW_EDGES_INTERVALS,
    HUB_MESSAGES,
    IDLE,
    MEMBERS_PER_HUB,
    ReportTable,
    TimedReport,
    WorkerUse,
    are_failures_credible,
    choose_hubs,
    exchange_interval,
    preferred_hubs,
    report_as_json,
    report_from_json,
    subtract_report,
    sum_reports,
)


def zones(count: int, edges: int) -> dict[str, list[str]]:
    """Returns `edges` edges spread over `count` zones, by zone."""
    return {f"z{z}": [f"e{n}" for n in range(edges) if n % count == z] for z in range(count)}


@pytest.mark.parametrize(("count", "edges"), [(1, 3), (4, 53), (7, 163), (5, 240)])
def test_each_hub_serves_a_limited_number_of_edges_and_all_agree_on_the_hubs(count: int, edges: int) -> None:
    by_zone = zones(count, edges)
    hub_names = choose_hubs(by_zone)
    assert len(set(hub_names)) == len(hub_names)
    served = Counter(preferred_hubs(name, zone, by_zone)[0] for zone, names in by_zone.items() for name in names)
    assert set(served) <= set(hub_names)
    assert max(served.values()) <= MEMBERS_PER_HUB * 2
    # An edge that can't reach its hub tries the others of its zone and then other zones; no edge is listed twice.
    for zone, names in by_zone.items():
        order = preferred_hubs(names[0], zone, by_zone)
        group = names if edges > MEMBERS_PER_HUB else [n for zone_edges in by_zone.values() for n in zone_edges]
        assert len(set(order)) == len(order) and set(order[: len(group)]) == set(group)
        assert set(hub_names) <= set(order)


def test_a_daemon_in_a_zone_without_edges_reports_to_a_hub_elsewhere() -> None:
    assert preferred_hubs("s1", "z9", zones(2, 8))[0] in choose_hubs(zones(2, 8))
    assert preferred_hubs("s1", "z9", {}) == []


def test_large_fleets_exchange_less_often_so_that_no_hub_has_too_much_to_do() -> None:
    assert len(choose_hubs(zones(4, 8))) == 1 and exchange_interval(0.1, zones(2, 8)) == 0.1 * FEW_EDGES_INTERVALS
    for by_zone in (zones(4, 53), zones(7, 163), zones(5, 240)):
        largest = max(len(names) for names in by_zone.values())
        messages = min(largest, MEMBERS_PER_HUB) + len(choose_hubs(by_zone))
        assert messages / exchange_interval(0.1, by_zone) <= HUB_MESSAGES + 1e-9


def test_reports_can_be_added_and_subtracted() -> None:
    first, second = {"a": WorkerUse(1, 2, 300), "b": WorkerUse(1)}, {"a": WorkerUse(2, 0, 50)}
    total = sum_reports([first, second])
    assert total == {"a": WorkerUse(3, 2, 350), "b": WorkerUse(1)} and total["a"].requests == 5
    assert subtract_report(total, second) == first
    # Subtracting more than the sum leaves 0, never a negative count.
    assert subtract_report(second, total) == {"a": IDLE}


def test_reports_go_over_the_wire_without_what_is_idle() -> None:
    report = {"a": WorkerUse(1, 2, 300), "b": IDLE}
    assert report_as_json(report) == {"a": [1, 2, 300, 0, 0]}
    assert report_from_json(report_as_json(report)) == {"a": WorkerUse(1, 2, 300)}
    for foreign in ({"a": 1}, {"a": ["x", 1, 2]}, {"a": [1, 2, 3, 4, 5, 6]}):
        with pytest.raises((TypeError, ValueError)):
            report_from_json(foreign)


def test_reported_failures_count_unless_more_edges_were_answered_or_most_workers_would_fail() -> None:
    assert WorkerUse(failed=2, answered=1).fails_most and not WorkerUse(failed=2, answered=2).fails_most
    assert sum_reports([{"a": WorkerUse(failed=1)}, {"a": WorkerUse(answered=1)}])["a"] == WorkerUse(0, 0, 0, 1, 1)
    assert are_failures_credible(1, 2) and are_failures_credible(18, 36)
    assert not are_failures_credible(0, 36) and not are_failures_credible(19, 36) and not are_failures_credible(1, 1)


def test_the_sum_of_a_table_is_that_of_its_newest_reports() -> None:
    chance = random.Random(3)
    table = ReportTable()
    for moment in range(200):
        use = {f"w{chance.randint(0, 4)}": WorkerUse(*(chance.randint(0, 3) for _ in range(5))) for _ in range(3)}
        table.replace(f"e{chance.randint(0, 5)}", TimedReport(float(moment), use))
        if moment % 20 == 19:
            table.forget_before(moment - 10.0)
        expected = sum_reports(report.use for report in table.reports.values())
        assert table.total == {worker: use for worker, use in expected.items() if use != IDLE}
    table.forget_before(1e9)
    assert table.total == {} and table.reports == {}

"""The pure parts of the measurements on simulated time: figures, loads, and what is read from a history."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from bench.deploy import COURIERS
from bench.measure.bounds import BOUNDS
from bench.measure.pages import milliseconds, spread, write_page
from bench.measure.sharing import AS_IT_IS, NO_JOBS, Sharing
from bench.measure.size import FleetSize, counted_messages
from bench.measure.stabilizer import RUNS, AcceptedJob, accepted_jobs
from postpass.rpc import codec
from sim.runner import Report
from sim.scenario import parse

Event = dict[str, Any]


def test_figures_are_told_with_their_range() -> None:
    assert milliseconds([0.001, 0.002, 0.1]) == "2.0 / 100.0"
    assert spread([3.0, 1.0, 2.0], " s") == "2 s (1 to 3)" and spread([]) == "none"


def test_a_page_is_written_with_its_folder(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write_page(["# A", "b"], str(tmp_path / "new" / "page.md"))
    assert (tmp_path / "new" / "page.md").read_text() == "# A\nb\n"
    assert capsys.readouterr().out == "# A\nb\n\n"


def test_a_crowded_day_has_more_of_live_traffic_and_most_of_jobs() -> None:
    plain, crowded = (Sharing("couriers", AS_IT_IS, 1, 1.0, scale) for scale in (1, 2))
    assert plain.load == COURIERS.load and (plain.title, crowded.title) == ("couriers", "couriers x2")
    assert crowded.load.live == {kind: rate * 2 for kind, rate in COURIERS.load.live.items()}
    assert crowded.load.lots == {kind: (rate * 3, items) for kind, (rate, items) in COURIERS.load.lots.items()}
    assert Sharing("couriers", NO_JOBS, 1, 1.0, 1).load.lots == {}


@pytest.mark.parametrize("name", BOUNDS)
def test_each_bound_has_a_scenario_that_can_be_played(name: str) -> None:
    assert parse(BOUNDS[name].scenario, name)


def took(at: float, tag: str = "live:1", worker: str = "w2", area: str = "a") -> Event:
    return {"ev": "took", "t": at, "tag": tag, "worker": worker, "area": area}


@pytest.mark.parametrize(
    ("bound", "events", "worst"),
    [
        ("ended lot (3 s)", [{"ev": "ended", "id": "a", "state": "ended", "t": 5.0}, took(6.5, "lot:a:0"), took(9.0, "lot:b:0")], 1.5),
        ("leaving worker (2 s)", [{"ev": "leave", "t": 3.0}, took(2.0, worker="w1"), took(4.25, worker="w1"), took(9.0)], 1.25),
        ("leaving worker (2 s)", [took(4.0, worker="w1")], 0.0),
        ("evacuated area (5 s)", [{"ev": "evacuated", "t": 3.0}, took(5.0, area="b"), took(9.0)], 2.0),
        ("manifest (2 s)", [
            {"ev": "applied", "answer": 200, "edition": 2, "base": 1, "t": 3.0}, {"ev": "runs", "fit": False, "edition": 1, "t": 9.0},
            {"ev": "runs", "fit": True, "edition": 1, "t": 4.5}, {"ev": "runs", "fit": True, "edition": 2, "t": 8.0},
        ], 1.5),
        ("recovery, control's pair wiped (12 s)", [
            {"ev": "applied", "answer": 503, "base": 1, "began": 4.0, "t": 5.0}, {"ev": "applied", "answer": 412, "base": 1, "began": 6.0, "t": 7.0},
        ], 3.0),
        ("recovery, control's pair wiped (12 s)", [{"ev": "applied", "answer": 503, "base": 1, "began": 4.0, "t": 5.0}], 99.0),
    ],
)  # fmt: skip
def test_the_worst_value_of_a_bound_is_read_from_a_history(bound: str, events: list[Event], worst: float) -> None:
    assert BOUNDS[bound].worst(Report({}, {}, [], events)) == worst


def test_the_longest_time_without_a_job_is_the_runners() -> None:
    assert BOUNDS["recovery, owner's power (12 s)"].worst(Report({}, {"kept_gap": 7.5}, [], [])) == 7.5


def test_all_runs_of_the_stabilizer_differ() -> None:
    assert len(set(RUNS)) == len(RUNS) == 2 * 4 * 2 * 3 + 3 * 3 * 3 + 2 * 3


def test_jobs_of_a_short_load_are_accepted() -> None:
    run = next(run for run in RUNS if run.series == "rate" and not run.setup)
    jobs = accepted_jobs(run)
    assert len(jobs) > 50 and all(0 <= job.handed_in <= run.seconds + 1 and 0 < job.took < 1 for job in jobs)
    assert AcceptedJob(1.0, 0.5).at == 1.5


def test_large_fleets_have_more_stores() -> None:
    small, large = (FleetSize(edges, 3, True).configuration for edges in (8, 120))
    assert len(small["ways"]) == 3
    assert [sum("store" in m["duties"] for m in c["machines"].values()) for c in (small, large)] == [4, 8]


def test_counting_messages_leaves_no_trace() -> None:
    before = codec.encode_message
    with counted_messages() as sent:
        assert codec.encode_message is not before
    assert codec.encode_message is before and sent.count == sent.total == sent.bytes_of("copy") == 0

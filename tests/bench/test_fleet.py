"""The pure parts of the loopback fleet: what its report reads from a history, and what a command line means."""

from __future__ import annotations

import socket
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bench.clients import Load
from bench.deploy import COURIERS
from bench.fleet.__main__ import scaled
from bench.fleet.processes import ConfigurationRejectedError, Fleet
from bench.fleet.report import FinishedRun, job_times, longest_gap, longest_on_older_revision, percentile, report
from bench.plan import changed

Event = dict[str, Any]


def run_of(*events: Event) -> FinishedRun:
    return FinishedRun(
        COURIERS, COURIERS.manifest, list(events), 3, 60.0, ["a fault"], {"e1": 0, "s1": -9}, "a command"
    )


def job(name: str, answer: str, began: float, until: float, due: float = 100.0) -> Event:
    return {"ev": "lot", "id": name, "answer": answer, "began": began, "t": until, "due": due, "size": 1}


def page(name: str, at: float, whole: bool) -> Event:
    return {"ev": "page", "id": name, "t": at, "whole": whole, "start": 0, "rows": []}


def test_percentiles_are_values_that_were_seen() -> None:
    values = [float(i) for i in range(100)]
    assert [percentile(values, part) for part in (0.0, 0.5, 0.99, 1.0)] == [0.0, 50.0, 99.0, 99.0]
    assert percentile([], 0.5) == 0.0


def test_the_longest_gap_does_not_depend_on_the_order() -> None:
    assert longest_gap([7.0, 1.0, 2.0]) == 5.0
    assert longest_gap([1.0]) == longest_gap([]) == 0.0


def test_a_job_is_whole_at_its_first_whole_page() -> None:
    times = job_times(
        run_of(
            job("a", "kept", 1.0, 1.5, due=10.0), job("b", "kept", 2.0, 2.25, due=5.0), job("c", "kept", 3.0, 3.5),
            job("d", "shed", 4.0, 4.5), page("a", 3.0, False), page("a", 4.0, True), page("a", 50.0, True), page("b", 6.0, True),
        )
    )  # fmt: skip
    assert (times.handed_in, len(times.accepted), times.answers["shed"]) == (4, 3, 1)
    assert (times.on_time, times.late) == (1, 1)
    assert times.until_accepted == [0.5, 0.25, 0.5] and times.until_whole == [3.0, 4.0]


def test_only_daemons_that_are_fit_count_as_behind() -> None:
    def sample(at: float, revision: int, fit: bool) -> Event:
        return {"ev": "runs", "t": at, "daemon": "e1/1", "edition": revision, "fit": fit}

    founding: Event = {"ev": "applied", "t": 0.0, "answer": 200, "edition": 1, "base": 0}
    change = founding | {"t": 10.0, "edition": 2, "base": 1}
    rejected = change | {"t": 5.0, "answer": 412, "edition": 9}
    samples = [sample(9.0, 1, True), sample(11.5, 1, True), sample(13.0, 1, False), sample(14.0, 2, True)]
    assert longest_on_older_revision(run_of(founding, rejected, change, *samples)) == 1.5


def test_a_report_names_faults_exits_and_what_was_not_caused() -> None:
    text = report(run_of(job("a", "kept", 1.0, 1.5), page("a", 4.0, True)))
    assert "\n- a fault\n" in text and "Exit codes at SIGTERM: s1: -9." in text
    assert "last new work not caused after the answer" in text


def test_work_given_to_a_leaving_worker_is_told() -> None:
    def took(at: float, worker: str) -> Event:
        place = {"worker": worker, "area": "a", "age": 60.0, "busy": 1}
        return {"ev": "took", "t": at, "tag": f"{at}", "what": "live", "lot": "", "item": -1} | place

    mark: Event = {"ev": "leave", "t": 10.0, "server": "w1"}
    text = report(run_of(mark, took(9.0, "w1"), took(10.75, "w1"), took(12.0, "w2"), took(18.0, "w1")))
    assert "a leaving worker's last new work 0.75 s after the answer" in text


def test_a_scaled_load_keeps_the_size_of_jobs() -> None:
    load = Load({"ask": 10.0}, {"view": 4.0}, {"lot": (2.0, 40)}, within=9.0, pieces={"ask": 3})
    assert scaled(load, 0.5) == Load({"ask": 5.0}, {"view": 2.0}, {"lot": (1.0, 40)}, within=9.0, pieces={"ask": 3})


def test_a_rejected_configuration_names_the_revision_in_force() -> None:
    assert ConfigurationRejectedError('{"error": {"why": "stale", "hint": "7"}}').revision_hint == 7
    assert ConfigurationRejectedError('{"error": {"why": "flawed"}}').revision_hint == 0


def test_machines_are_found_by_their_duties(tmp_path: Path) -> None:
    fleet = Fleet(COURIERS, tmp_path)
    assert list(fleet.urls("control")) == ["c1", "c2", "c3", "c4"] and list(fleet.urls("store")) == [
        "s1",
        "s2",
        "s3",
        "s4",
    ]
    assert all(url.startswith("http://127.") for url in fleet.urls("edge").values())


@pytest.mark.parametrize("name", ["nobody", "w99"])
def test_nothing_is_started_for_a_name_that_no_configuration_has(name: str, tmp_path: Path) -> None:
    fleet = Fleet(COURIERS, tmp_path)
    fleet.start(name)
    assert fleet.processes == {} and fleet.starts == {}


def test_a_worker_takes_its_flags_and_writes_down_its_zone(tmp_path: Path) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    manifest = changed(COURIERS.manifest, "pools.gpu.servers.w2.url", f"http://{address}")
    fleet = Fleet(replace(COURIERS, manifest=manifest), tmp_path)
    fleet.start("w2")
    try:
        until = time.monotonic() + 30
        while not (tmp_path / "w2.jsonl").exists() or not (tmp_path / "w2.jsonl").read_text():
            assert time.monotonic() < until and fleet.processes["w2"].poll() is None
            time.sleep(0.05)
    finally:
        exit_codes = fleet.stop_all()
    fleet.collect()
    zone = manifest["pools"]["gpu"]["servers"]["w2"]["area"]
    assert [(event["ev"], event["worker"], event["area"]) for event in fleet.events] == [("start", "w2", zone)]
    assert exit_codes == {"w2": 0}, (tmp_path / "w2.log").read_text()

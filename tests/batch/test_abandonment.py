"""The log tells for each abandoned item why it was given up, and for each counted failure which run it was of."""

from __future__ import annotations

import re

from postpass.batch.abandonment import AbandonCause
from postpass.batch.job_api import JobApi
from postpass.batch.run_names import RunNames
from postpass.configuration.configuration import Route
from postpass.runtime import log_events
from postpass.runtime.log_events import Event
from sim.fleet import SimFleet
from tests.batch.test_job_service import ROUTE, FakeWorkers, all_results, job_json, run_with_fleet


def lines(event: Event) -> list[str]:
    return [text for number, text in log_events.RECENT if number == event]


def run_named(line: str) -> str:
    named = re.search(r"run=(\S+)", line)
    assert named is not None, line
    return named[1]


def test_failures_are_logged_with_their_runs_by_the_scheduler_and_by_the_owner() -> None:
    async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        log_events.RECENT.clear()
        assert (await apis[0].accept("r", ROUTE, "l1", job_json("fails")))[0] == 202
        await all_results(apis[1], "l1")
        answered = [run_named(line) for line in lines(Event.ITEM_RUN_FAILED)]
        counted = [run_named(line) for line in lines(Event.ITEM_FAILURE_COUNTED)]
        (abandoned,) = lines(Event.ITEM_ABANDONED)
        assert len(set(answered)) == 2 and answered == [*counted, run_named(abandoned)]
        assert abandoned.endswith(f"why={AbandonCause.FAILURES}") and "failures=2" in abandoned

    run_with_fleet(check)


def test_an_item_that_can_never_be_done_is_logged_with_its_run() -> None:
    async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        log_events.RECENT.clear()
        assert (await apis[0].accept("r", ROUTE, "l1", job_json("never")))[0] == 202
        await all_results(apis[1], "l1")
        (failed,), (abandoned,) = lines(Event.ITEM_RUN_FAILED), lines(Event.ITEM_ABANDONED)
        assert run_named(failed) == run_named(abandoned)
        assert abandoned.endswith(f"why={AbandonCause.IMPOSSIBLE}") and "failures=0" in abandoned

    run_with_fleet(check)


def test_a_job_that_expired_or_lost_its_route_is_logged_once_with_the_cause() -> None:
    async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        log_events.RECENT.clear()
        workers.full = True
        brief: Route = ROUTE | {"expire": 3.0}  # type: ignore[assignment]
        assert (await apis[0].accept("r", brief, "l1", job_json("a", "b")))[0] == 202
        await all_results(apis[1], "l1")
        (expired,) = lines(Event.ITEM_ABANDONED)
        assert "items=2" in expired and expired.endswith(f"why={AbandonCause.EXPIRED}")
        assert (await apis[0].accept("r", ROUTE, "l2", job_json("a", "b", "c")))[0] == 202
        await fleet.apply({**fleet.configuration, "routes": {}}, apis[0].edge.configuration_view.revision)
        await all_results(apis[1], "l2")
        removed = lines(Event.ITEM_ABANDONED)[-1]
        assert "items=3" in removed and removed.endswith(f"why={AbandonCause.ROUTE_REMOVED}")

    run_with_fleet(check)


def test_the_runs_of_two_starts_of_a_process_have_different_names() -> None:
    before, after = RunNames.of_process("s1", 1000.0), RunNames.of_process("s1", 1000.5)
    assert len({before.next(), before.next(), after.next(), after.next()}) == 4

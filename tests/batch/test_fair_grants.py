"""The order in which an owner leases out items of its jobs, whether or not clients are distinguished."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from postpass.batch.job import Job, JobView
from postpass.batch.leases import Lease, Leases, OwnerState, job_demand
from postpass.batch.messages import ItemKey, TakeRequest
from postpass.replication.partition import Partition
from sim.loop import SimLoop, run_sim

WALL = 1000.0  # seconds of the wall clock
ITEMS = 10


def job(name: str, client: str, due: float) -> Job:
    """Returns a job of a route with `ITEMS` items, due so many seconds after `WALL`."""
    items = [{"id": f"{name}-{number}", "tokens": 100, "size": 0} for number in range(ITEMS)]
    return Job(name, 1, {"route": "r", "caller": client, "items": items, "due": WALL + due, "tries": 1}, "")


def granted_jobs(jobs: list[Job], wanted: int, usual_seconds: float = 1.0) -> list[str]:
    """Returns the jobs whose items are granted, by an owner where ten items end in each `usual_seconds`."""
    running = job("running", "", 100.0)
    view = JobView(jobs={each.id: each for each in [running, *jobs]})
    state = OwnerState(usual_seconds=usual_seconds)
    state.leases = {ItemKey(running.id, number): Lease("e1", 1e9, 0.0) for number in range(ITEMS)}
    partition = Partition(0, "s1", "disk", epoch=1, covered=10, view=view)
    table: Any = SimpleNamespace(environment=SimpleNamespace(wall=lambda: WALL))
    none: Any = None

    async def main(_: SimLoop) -> list[str]:
        request = TakeRequest("e1", 1, {"route:r": wanted}, [])
        return [grant.job for grant in Leases(table, none, none).grant(partition, state, request, 1e9).items]

    return list(dict.fromkeys(run_sim(main, 1)))


def crowd(client: str, due: float = 5.0) -> list[Job]:
    """Returns twelve jobs of one client, each due a little later than the one before."""
    return [job(f"{client}{number}", client, due + number / 100) for number in range(12)]


def test_a_job_is_not_behind_the_crowd_of_another_client_that_can_not_be_done_in_time() -> None:
    jobs = [*crowd("hot"), job("small", "small", 6.0)]
    assert granted_jobs(jobs, 3 * ITEMS) == ["small", "hot0", "hot1"]


def test_the_nearest_due_time_comes_first_while_all_can_be_done() -> None:
    jobs = [*crowd("hot", due=60.0), job("small", "small", 61.0)]
    assert granted_jobs(jobs, 3 * ITEMS) == ["hot0", "hot1", "hot2"]


@pytest.mark.parametrize("usual_seconds", [0.0, 1.0])
def test_jobs_of_one_client_go_by_due_time_alone(usual_seconds: float) -> None:
    jobs = [*crowd(""), job("other", "", 6.0)]
    assert granted_jobs(jobs, 3 * ITEMS, usual_seconds) == ["0", "1", "2"]


def test_what_is_leased_or_done_is_not_asked_for() -> None:
    one = job("j", "c", 5.0)
    assert job_demand(one, leased=4) == (WALL + 5.0, "c", 6, 600)
    of_class = Job("k", 1, {"class": "lot", "items": ["a"], "due": 1.0, "caller": "c"}, "")
    assert job_demand(of_class, leased=0) == (1.0, "", 1, 0)

"""Reads at an owner whose ownership ends while it is confirmed."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from postpass.batch.messages import TakeRequest
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.partition import Partition
from postpass.replication.store import Store
from postpass.runtime.errors import TIMED_OUT
from sim.loop import SimLoop, run_sim
from tests.replication.test_added_stores import Run
from tests.support.announced import Fleet

JOB = "job0"  # in partition 0
PARTITION = 0
READ = {"part": PARTITION, "id": JOB, "caller": "", "start": 0, "hold": 0.0, "most": 10}
TAKE = {"part": PARTITION, **TakeRequest("s1", 9, {"plain": 1}, []).as_json()}
WAITING = {"part": PARTITION, "route": "r"}


def end_each_confirmed_ownership(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ends the ownership right after a check has confirmed it, before those who wait for the check go on."""
    ask_members = LeadershipCheck._ask_members

    async def ask_and_end(check: LeadershipCheck, partition: Partition, epoch: int) -> bool:
        confirmed = await ask_members(check, partition, epoch)
        asyncio.get_running_loop().call_soon(partition.step_down)
        return confirmed

    monkeypatch.setattr(LeadershipCheck, "_ask_members", ask_and_end)


async def ask_owner(store: Store, verb: str, request: dict[str, Any]) -> Any:
    return await store.handlers()[verb](request)


def play(verb: str, request: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> Any:
    async def main(loop: SimLoop) -> Any:
        run = Run(Fleet(loop))
        await run.begin()
        owner = run.fleet.owners()[PARTITION]
        end_each_confirmed_ownership(monkeypatch)
        return await run.fleet.ask(owner, lambda daemon: ask_owner(daemon.store, verb, request))

    return run_sim(main, 1)


@pytest.mark.parametrize("verb", ["show", "page", "finish"])
def test_an_accepted_job_is_not_said_to_be_missing_by_an_owner_that_steps_down(
    verb: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 404 for an accepted job: a handover emptied the owner's view between the check and the answer."""
    assert play(verb, READ, monkeypatch).unwrap_err().code == TIMED_OUT


@pytest.mark.parametrize(("verb", "request_body"), [("take", TAKE), ("waiting", WAITING)])
def test_nothing_is_leased_or_counted_by_an_owner_that_steps_down(
    verb: str, request_body: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leases and counts of waiting tokens that are told from an empty view."""
    assert play(verb, request_body, monkeypatch).unwrap_err().code == TIMED_OUT

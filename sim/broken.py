"""Deliberately broken variants of the product, one for each line of "What must never happen".

The check of that line must find a violation in a simulated run of the variant: a check that can't fail would prove nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from result import Err

from postpass.batch import item_run
from postpass.batch.job import JobResult, JobView
from postpass.batch.job_records import JobRecords
from postpass.batch.leases import Leases
from postpass.control.daemon import ControlPlane
from postpass.feed.configuration_view import ConfigurationView
from postpass.feed.follower import Follower
from postpass.gateway import attempts, live_requests
from postpass.gateway.attempts import Action, Decision
from postpass.gateway.worker_load import WorkerLoad
from postpass.replication.partition import Partition
from postpass.runtime.errors import PRECONDITION_FAILED, REJECTED, Fault, FaultError
from postpass.worker_api import openai

Patch = Callable[[pytest.MonkeyPatch], None]


def acknowledges_unreplicated_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Acknowledges a job as kept as soon as the owner has it in memory."""
    monkeypatch.setattr(Partition, "frontier", lambda self, text="": self.record_log.last)


def last_result_wins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Records some results twice, and lets the later one replace the first."""

    def result(self: JobView, seq: int, body: dict[str, Any]) -> None:
        job = self.jobs.get(body["id"])
        if job is not None:
            job.results[body["item"]] = JobResult(seq, body["status"], body["output"])
            job.order.append(body["item"])

    monkeypatch.setattr(JobView, "fold_result", result)
    original = Leases.on_done

    async def done(self: Leases, body: dict[str, Any]) -> Any:
        response = await original(self, body)
        partition = self.table.partitions[body["part"]]
        if partition.owning and body["item"] % 3 == 0:
            self.owner.append(
                partition,
                "result",
                {"id": body["id"], "item": body["item"], "status": "done", "output": body["output"]},
            )
        return response

    monkeypatch.setattr(Leases, "on_done", done)


def treats_cut_as_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treats a stream that was cut off as a complete one."""
    original = openai.complete

    async def complete(*args: Any) -> Any:
        try:
            async for text in original(*args):
                yield text
        except FaultError as error:
            if error.fault.unsent:
                raise

    monkeypatch.setattr(live_requests, "complete", complete)
    monkeypatch.setattr(item_run, "complete", complete)


def refuses_accepted_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers that some jobs are refused after it has accepted them."""
    original = JobRecords.on_submit

    async def submit(self: JobRecords, body: dict[str, Any]) -> Any:
        response = await original(self, body)
        return Err(Fault("submit", "x", "no", REJECTED)) if body["lot"]["id"][-1] in "13579" else response

    monkeypatch.setattr(JobRecords, "on_submit", submit)


def forgets_ended_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ignores that a client ended its job, and runs on."""
    monkeypatch.setattr(JobView, "fold_end", lambda self, seq, body: None)


def once_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sends requests again that may run only once."""
    original = attempts.next_live_attempt
    monkeypatch.setattr(live_requests, "next_live_attempt", lambda log, once, *rest: original(log, False, *rest))


def resends_begun_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sends a request to another worker after pieces of its answer went to the client, and splices the two streams."""
    original = attempts.next_live_attempt

    def resend(log: Any, *rest: Any) -> Decision:
        decision = original(log, *rest)
        return Decision(Action.SEND) if decision.action is Action.ERROR and len(log.attempts) < 3 else decision

    monkeypatch.setattr(live_requests, "next_live_attempt", resend)


def mixes_up_prompts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treats requests with the same shared parts as the same request."""
    seen: dict[tuple[str, ...], openai.Prompt] = {}
    original = openai.complete

    def complete(session: Any, url: str, model: str, prompt: openai.Prompt, *rest: Any) -> Any:
        return original(session, url, model, replace(seen.setdefault(prompt.shared, prompt), most=prompt.most), *rest)

    monkeypatch.setattr(live_requests, "complete", complete)


def leaving_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sends work to workers that are leaving or in an evacuated zone."""
    original = WorkerLoad.barred_reason

    def barred_reason(self: WorkerLoad, pool: str, name: str, max_age: float) -> str:
        reason = original(self, pool, name, max_age)
        return "" if reason == "leaving" or "evacuated" in reason else reason

    monkeypatch.setattr(WorkerLoad, "barred_reason", barred_reason)


def ignores_configuration_feed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Edges fetch the configuration only once, and the primary acknowledges a change without waiting until it is in force."""

    async def wait_until_in_force(*_: Any) -> list[str]:
        return []

    monkeypatch.setattr(ControlPlane, "wait_until_in_force", wait_until_in_force)
    original = Follower.fetch

    async def fetch(self: Follower, addr: str, limit: float = 0.0) -> None:
        if self.configuration_view.revision == 0 or not self.settings.name.startswith("e"):
            await original(self, addr, limit)

    monkeypatch.setattr(Follower, "fetch", fetch)
    sources = Follower.sources
    monkeypatch.setattr(
        Follower,
        "sources",
        lambda self: [] if self.configuration_view.revision and self.settings.name == "e1" else sources(self),
    )


def never_loses_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    """A daemon goes on placing work although it has lost contact with all others."""
    monkeypatch.setattr(
        ConfigurationView, "last_contact", property(lambda self: 1e18, lambda self, at: None), raising=False
    )


def last_writer_wins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Applies a change that was refused as made from an old revision, on top of the current one."""
    original = ControlPlane.on_apply

    async def apply(self: ControlPlane, body: dict[str, Any]) -> Any:
        response = await original(self, body)
        if isinstance(response, Err) and response.unwrap_err().code == PRECONDITION_FAILED:
            return await original(self, body | {"base": int(response.unwrap_err().hint)})
        return response

    monkeypatch.setattr(ControlPlane, "on_apply", apply)


def ignores_warm_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sends a newly started worker as many requests as a warm one."""
    monkeypatch.setattr(WorkerLoad, "warm_part", lambda self, pool, name: 1.0)


EDGE_CUT_OFF = """
fleet edges=3 workers=3
load ask=9 view=6 lot=1x4
run 14
at 3 cut e1 daemons for 10
at 4 apply pools.gpu.servers.w1.leave=true evacuated=[b]
"""
WORKER_CRASHES = """
fleet edges=3 workers=3 slots=8
load ask=16 lot=1x6 once=0.9
run 20
settle 10
at 3 kill w1 for 2
at 6 kill w2 for 2
at 9 kill w3 for 2
at 12 kill w1 for 2
at 15 kill w2 for 2
at 18 kill w3 for 2
"""

# By the line whose check must catch it: the change to the product, and the scenario of the run.
CASES: dict[str, tuple[Patch, str]] = {
    "lost": (acknowledges_unreplicated_jobs, "load lot=24x2\nrun 6\nsettle 10\nat 3 cut owner:0 stores for 1.2\nat 4.1 wipe owner:0 for 1"),
    "changed": (last_result_wins, "load lot=1x6\nrun 6\nsettle 10"),
    "unwhole": (treats_cut_as_end, "load lot=1x6\nrun 8\nsettle 10\nat 2 fault w1 cut:3 for 5"),
    "refused_ran": (refuses_accepted_jobs, "load lot=1x6\nrun 8\nsettle 5"),
    "ended_ran": (forgets_ended_jobs, "fleet workers=1 slots=2\nload lot=1x60 ends=1\nrun 6\nsettle 1"),
    "twice": (once_is_ignored, "load ask=8 once=0.9\nrun 8\nat 2 fault w1 cut:1 for 3"),
    "spliced": (resends_begun_answer, WORKER_CRASHES),
    "wrong_caller": (mixes_up_prompts, "load ask=5\nrun 4"),
    "leaving": (leaving_is_ignored, "load ask=6\nrun 12\nat 2 apply pools.gpu.servers.w1.leave=true"),
    "stale": (ignores_configuration_feed, "load ask=1\nrun 8\nat 2 apply classes.ask.deadline=14"),
    "both_won": (last_writer_wins, "load ask=1\nrun 4\nat 2 race classes.ask.deadline=14 classes.ask.deadline=13"),
    "flooded": (ignores_warm_up, "fleet edges=3 workers=2 slots=8\nset ramp=8\nload ask=60\nrun 8\nat 3 kill w1 for 1"),
}  # fmt: skip


# Further broken variants by name: the line whose check must catch it, the change to the product, and the scenario of the run.
FURTHER_CASES: dict[str, tuple[str, Patch, str]] = {
    "never deaf": ("leaving", never_loses_contact, EDGE_CUT_OFF),
}

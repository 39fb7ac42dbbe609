"""Deliberately broken variants of the product, one for each line of "What must never happen": each check of
the history must catch its own in a simulated run. A check that can't fail would prove nothing."""

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


def kept_at_once(mp: pytest.MonkeyPatch) -> None:
    """Calls a lot kept as soon as the owner has it in memory."""
    mp.setattr(Partition, "reach", lambda self, text="": self.record_log.last)


def last_result_wins(mp: pytest.MonkeyPatch) -> None:
    def result(self: JobView, seq: int, body: dict[str, Any]) -> None:
        lot = self.jobs.get(body["id"])
        if lot is not None:
            lot.results[body["item"]] = JobResult(seq, body["status"], body["output"])
            lot.order.append(body["item"])

    mp.setattr(JobView, "fold_result", result)
    plain = Leases.on_done

    async def done(self: Leases, body: dict[str, Any]) -> Any:
        got = await plain(self, body)
        part = self.table.partitions[body["part"]]
        if part.owning and body["item"] % 3 == 0:
            self.owner.append(
                part, "result", {"id": body["id"], "item": body["item"], "status": "done", "output": body["output"]}
            )
        return got

    mp.setattr(Leases, "on_done", done)


def cut_is_an_end(mp: pytest.MonkeyPatch) -> None:
    """Takes a stream that was cut for one that came to its end."""
    plain = openai.complete

    async def complete(*args: Any) -> Any:
        try:
            async for text in plain(*args):
                yield text
        except FaultError as bad:
            if bad.fault.unsent:
                raise

    mp.setattr(live_requests, "complete", complete)
    mp.setattr(item_run, "complete", complete)


def refuses_what_it_took(mp: pytest.MonkeyPatch) -> None:
    plain = JobRecords.on_submit

    async def submit(self: JobRecords, body: dict[str, Any]) -> Any:
        got = await plain(self, body)
        return Err(Fault("submit", "x", "no", REJECTED)) if body["lot"]["id"][-1] in "13579" else got

    mp.setattr(JobRecords, "on_submit", submit)


def ending_is_forgotten(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(JobView, "fold_end", lambda self, seq, body: None)


def once_is_ignored(mp: pytest.MonkeyPatch) -> None:
    plain = attempts.next_live_attempt
    mp.setattr(live_requests, "next_live_attempt", lambda log, once, *rest: plain(log, False, *rest))


def goes_on_elsewhere(mp: pytest.MonkeyPatch) -> None:
    """Sends a call again after pieces of it have gone out, and splices the streams."""
    plain = attempts.next_live_attempt

    def move(log: Any, *rest: Any) -> Decision:
        got = plain(log, *rest)
        return Decision(Action.SEND) if got.action is Action.ERROR and len(log.attempts) < 3 else got

    mp.setattr(live_requests, "next_live_attempt", move)


def mixes_up_prompts(mp: pytest.MonkeyPatch) -> None:
    """Takes calls with the same shared parts for the same call."""
    seen: dict[tuple[str, ...], openai.Prompt] = {}
    plain = openai.complete

    def complete(session: Any, url: str, model: str, prompt: openai.Prompt, *rest: Any) -> Any:
        return plain(session, url, model, replace(seen.setdefault(prompt.shared, prompt), most=prompt.most), *rest)

    mp.setattr(live_requests, "complete", complete)


def leaving_is_ignored(mp: pytest.MonkeyPatch) -> None:
    plain = WorkerLoad.barred_reason

    def barred_reason(self: WorkerLoad, pool: str, name: str, max_age: float) -> str:
        why = plain(self, pool, name, max_age)
        return "" if why == "leaving" or "evacuated" in why else why

    mp.setattr(WorkerLoad, "barred_reason", barred_reason)


def deaf_to_news(mp: pytest.MonkeyPatch) -> None:
    """An edge that asks for news only once, and a primary that answers without asking it."""

    async def wait_until_in_force(*_: Any) -> list[str]:
        return []

    mp.setattr(ControlPlane, "wait_until_in_force", wait_until_in_force)
    plain = Follower.fetch

    async def fetch(self: Follower, addr: str, limit: float = 0.0) -> None:
        if self.configuration_view.revision == 0 or not self.settings.name.startswith("e"):
            await plain(self, addr, limit)

    mp.setattr(Follower, "fetch", fetch)
    sources = Follower.sources
    mp.setattr(
        Follower,
        "sources",
        lambda self: [] if self.configuration_view.revision and self.settings.name == "e1" else sources(self),
    )


def never_deaf(mp: pytest.MonkeyPatch) -> None:
    """A daemon that goes on placing work though it hears nobody."""
    mp.setattr(ConfigurationView, "last_contact", property(lambda self: 1e18, lambda self, at: None), raising=False)


def last_writer_wins(mp: pytest.MonkeyPatch) -> None:
    plain = ControlPlane.on_apply

    async def apply(self: ControlPlane, body: dict[str, Any]) -> Any:
        got = await plain(self, body)
        if isinstance(got, Err) and got.unwrap_err().code == PRECONDITION_FAILED:
            return await plain(self, body | {"base": int(got.unwrap_err().hint)})
        return got

    mp.setattr(ControlPlane, "on_apply", apply)


def always_warm(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(WorkerLoad, "warm_part", lambda self, pool, name: 1.0)


CUT_OFF = """
fleet edges=3 workers=3
load ask=9 view=6 lot=1x4
run 14
at 3 cut e1 daemons for 10
at 4 apply pools.gpu.servers.w1.leave=true evacuated=[b]
"""
CRASHES = """
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

CASES: dict[str, tuple[Patch, str]] = {
    "lost": (kept_at_once, "load lot=24x2\nrun 6\nsettle 10\nat 3 cut owner:0 stores for 1.2\nat 4.1 wipe owner:0 for 1"),
    "changed": (last_result_wins, "load lot=1x6\nrun 6\nsettle 10"),
    "unwhole": (cut_is_an_end, "load lot=1x6\nrun 8\nsettle 10\nat 2 fault w1 cut:3 for 5"),
    "refused_ran": (refuses_what_it_took, "load lot=1x6\nrun 8\nsettle 5"),
    "ended_ran": (ending_is_forgotten, "fleet workers=1 slots=2\nload lot=1x60 ends=1\nrun 6\nsettle 1"),
    "twice": (once_is_ignored, "load ask=8 once=0.9\nrun 8\nat 2 fault w1 cut:1 for 3"),
    "spliced": (goes_on_elsewhere, CRASHES),
    "wrong_caller": (mixes_up_prompts, "load ask=5\nrun 4"),
    "leaving": (leaving_is_ignored, "load ask=6\nrun 12\nat 2 apply pools.gpu.servers.w1.leave=true"),
    "stale": (deaf_to_news, "load ask=1\nrun 8\nat 2 apply classes.ask.deadline=14"),
    "both_won": (last_writer_wins, "load ask=1\nrun 4\nat 2 race classes.ask.deadline=14 classes.ask.deadline=13"),
    "flooded": (always_warm, "fleet edges=3 workers=2 slots=8\nset ramp=8\nload ask=60\nrun 8\nat 3 kill w1 for 1"),
}  # fmt: skip


# More ways to break a line, each with a run of its own.
MORE: dict[str, tuple[str, Patch, str]] = {
    "never deaf": ("leaving", never_deaf, CUT_OFF),
}

"""The report on a run of a deployment, from its history."""

from __future__ import annotations

import os
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from bench.deploy import Deployment
from bench.fleet.processes import TAKEN, Event
from bench.plan import Raw
from sim.check import CHECKS, Bounds, History, breaches

NEVER = 1e18
PROBE_RATE = 8  # jobs a second that the probes hand in beside the clients' own
MARK_SPAN = 6.9  # seconds after a change in which new work counts as late; operators take it back after 7
LISTED_ERRORS = 12
ERROR_WIDTH = 90


@dataclass(frozen=True)
class FinishedRun:
    """A run whose processes have ended. `excused`: more was lost than is tolerated."""

    plan: Deployment
    configuration: Raw
    events: list[Event]
    process_count: int
    seconds: float
    notes: list[str]
    exit_codes: dict[str, int]
    command: str
    excused: bool = False

    def of(self, kind: str) -> list[Event]:
        """The events of one kind."""
        return [event for event in self.events if event["ev"] == kind]


@dataclass(frozen=True)
class JobTimes:
    """What became of the jobs. Times are in seconds from the first try at handing one in."""

    handed_in: int
    answers: Counter[str]
    accepted: list[Event]
    on_time: int
    late: int
    until_accepted: list[float]
    until_whole: list[float]


def percentile(values: list[float], part: float) -> float:
    """The value that a part of all are below; 0 where there are none."""
    return sorted(values)[min(len(values) - 1, int(len(values) * part))] if values else 0.0


def longest_gap(times: Sequence[float]) -> float:
    """The longest time between two of them; 0 where there are fewer than two."""
    return max((later - earlier for earlier, later in pairwise(sorted(times))), default=0.0)


def report(run: FinishedRun) -> str:
    """The report in Markdown."""
    requests = _requests_by_class(run)
    lines = [
        *_introduction(run),
        *_class_lines(requests),
        *_job_lines(job_times(run)),
        *_bound_lines(run),
        "Faults and operations, in turn:", "", *(f"- {note}" for note in run.notes), "" if run.notes else "- none\n",
        *_breach_lines(run),
        *_error_lines(requests),
        "Exit codes at SIGTERM: " + (_failed_exits(run.exit_codes) or "0 of all") + ".", "",
    ]  # fmt: skip
    return "\n".join(lines)


def _introduction(run: FinishedRun) -> list[str]:
    return [
        f"# {run.plan.name}: the main job on real processes", "",
        f"Made by `{run.command}` on {time.strftime('%Y-%m-%d')}; {os.cpu_count()} cores shared by "
        f"{run.process_count} processes and the callers, so absolute times mean little.", "",
        f"{run.seconds:.0f} s in all; {run.plan.delay:g} ms each way between areas (asyncio timers round up to about 1 ms).", "",
    ]  # fmt: skip


def _requests_by_class(run: FinishedRun) -> dict[str, list[Event]]:
    requests: dict[str, list[Event]] = defaultdict(list)
    for event in run.events:
        if event["ev"] in ("call", "view"):
            requests[event["kind"]].append(event)
    return requests


def _class_lines(requests: dict[str, list[Event]]) -> list[str]:
    return [
        "| class | calls | done | shed | error | broken | first piece, ms p50 / p95 / p99 | whole, ms p50 / p95 / p99 |",
        "|---|---|---|---|---|---|---|---|",
        *(_class_row(name, events) for name, events in requests.items()),
        "",
    ]


def _class_row(name: str, events: list[Event]) -> str:
    ends = Counter(event["end"] for event in events)
    until_first = [event["first"] - event["began"] for event in events if event.get("first")]
    until_done = [event["t"] - event["began"] for event in events if event["end"] == "done"]
    counts = " | ".join(str(ends[end]) for end in ("done", "shed", "error", "broken"))
    return f"| {name} | {len(events)} | {counts} | {_milliseconds(until_first)} | {_milliseconds(until_done)} |"


def _milliseconds(seconds: list[float]) -> str:
    return " / ".join(f"{percentile(seconds, part) * 1e3:.0f}" for part in (0.5, 0.95, 0.99))


# --- jobs
def job_times(run: FinishedRun) -> JobTimes:
    """From the tries at handing jobs in, and the pages of results that clients read."""
    jobs = run.of("lot")
    accepted = _accepted(run)
    first_whole: dict[str, float] = {}
    for page in run.of("page"):
        if page["whole"]:
            first_whole.setdefault(page["id"], page["t"])
    return JobTimes(
        handed_in=len(jobs),
        answers=Counter(job["answer"] for job in jobs),
        accepted=accepted,
        on_time=sum(first_whole.get(job["id"], NEVER) <= job["due"] for job in accepted),
        late=sum(job["due"] < first_whole.get(job["id"], 0) for job in accepted),
        until_accepted=[job["t"] - job["began"] for job in accepted],
        until_whole=[first_whole[job["id"]] - job["began"] for job in accepted if job["id"] in first_whole],
    )


def _accepted(run: FinishedRun) -> list[Event]:
    return [job for job in run.of("lot") if job["answer"] == "kept"]


def _job_lines(jobs: JobTimes) -> list[str]:
    answers, never_whole = jobs.answers, len(jobs.accepted) - len(jobs.until_whole)
    submit, whole = jobs.until_accepted, jobs.until_whole
    return [
        f"Lots: {jobs.handed_in} handed in, {answers['kept']} kept, {answers['shed']} shed, {answers['unknown']} unknown at the last ask, "
        f"{answers['bad']} refused as bad; {jobs.on_time} whole by their due time, {jobs.late} late, {never_whole} of the kept never seen whole.", "",
        f"Time to `kept`: p50 {percentile(submit, 0.5) * 1e3:.0f} ms, p95 {percentile(submit, 0.95) * 1e3:.0f} ms, worst {max(submit, default=0):.2f} s. "
        f"Handed in to whole: p50 {percentile(whole, 0.5):.1f} s, p95 {percentile(whole, 0.95):.1f} s.", "",
    ]  # fmt: skip


# --- bounds
def _bound_lines(run: FinishedRun) -> list[str]:
    leaving = _latest_work(run, "leave", lambda took, mark: took["worker"] == mark["server"])
    evacuated = _latest_work(run, "evacuated", lambda took, mark: took["area"] == mark["area"])
    job_gap = longest_gap([job["t"] for job in _accepted(run)])
    request_gap = longest_gap([request["t"] for request in run.of("call") if request["end"] == "done"])
    loads = run.plan.load.lots
    job_rate = loads[next(iter(loads))][0] + PROBE_RATE
    return [
        f"Bounds as read here: a leaving worker's last new work {leaving} after the answer (2 s), "
        f"an evacuated area's {evacuated} (5 s); a daemon still on an older edition "
        f"{longest_on_older_revision(run):.2f} s after the answer (2 s; each daemon is asked about every half second); longest time without a "
        f"lot kept {job_gap:.1f} s, at {job_rate:.1f} lots a second, probes included (12 s); without a live call done {request_gap:.1f} s.", "",
    ]  # fmt: skip


def _latest_work(run: FinishedRun, mark_kind: str, same: Callable[[Event, Event], bool]) -> str:
    """How long after a mark its worker or zone was still given work."""
    marks = run.of(mark_kind)
    late = [
        took["t"] - mark["t"]
        for mark in marks
        for took in run.of("took")
        if same(took, mark) and 0 < took["t"] - mark["t"] < MARK_SPAN
    ]
    return f"{max(late, default=0.0):.2f} s" if marks else "not caused"


def longest_on_older_revision(run: FinishedRun) -> float:
    """The longest time after the answer to a change until a daemon that was fit to serve was seen on an older one."""
    changes = [change for change in run.of("applied") if change["answer"] in TAKEN and change["base"] > 0]
    samples = [sample for sample in run.of("runs") if sample["fit"]]
    behind = [
        sample["t"] - change["t"]
        for change in changes
        for sample in samples
        if sample["t"] > change["t"] and sample["edition"] < change["edition"]
    ]
    return max(behind, default=0.0)


# --- breaches and errors
def _breach_lines(run: FinishedRun) -> list[str]:
    found = breaches(History(run.events, Bounds(ramp=run.configuration["ramp"]), run.excused))
    lines = ["## What must never happen", ""]
    for name, check in CHECKS.items():
        title = " ".join((check.__doc__ or name).split()).rstrip(".")
        some = found.get(name)
        lines.append(f"- {title}: " + (f"**{len(some)} breaches**, first: {some[0]}" if some else "none seen"))
    return [*lines, ""]


def _error_lines(requests: dict[str, list[Event]]) -> list[str]:
    events = [event for some in requests.values() for event in some if event["end"] != "done"]
    errors = Counter(f"{event['end']}: {event['why'][:ERROR_WIDTH]}" for event in events)
    listed = [f"- {count} x {what}" for what, count in errors.most_common(LISTED_ERRORS)]
    return ["## Calls that were not done", "", *listed, "" if errors else "- none\n"]


def _failed_exits(exit_codes: dict[str, int]) -> str:
    return ", ".join(f"{name}: {code}" for name, code in sorted(exit_codes.items()) if code != 0)

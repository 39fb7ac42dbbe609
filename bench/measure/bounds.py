"""Each bound of the brief on simulated time: the worst value over many seeds."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bench.measure.pages import write_page
from sim.run_statistics import rank
from sim.runner import Report, play
from sim.scenario import parse

Event = dict[str, Any]
PROCESSES = 6
NEVER = 1e18
RECOVERY_LIMIT = 99.0  # seconds that stand for a change that was never answered
TAKEN = (200, 202)
ANSWERED = (*TAKEN, 412)


# --- what is read from a run
def _late_items(result: Report) -> float:
    """The last item of a job that a worker took after the job was ended."""
    ended = {e["id"]: e["t"] for e in result.events if e["ev"] == "ended" and e["state"] == "ended"}
    taken = [(e["tag"].split(":")[1], e["t"]) for e in result.events if e["ev"] == "took"]
    return max((at - ended[job] for job, at in taken if job in ended), default=0.0)


def _late_work(result: Report, mark: str, key: str, value: str) -> float:
    """The last work that was given to a worker or a zone after the mark."""
    marked_at = next((e["t"] for e in result.events if e["ev"] == mark), NEVER)
    taken = [e["t"] for e in result.events if e["ev"] == "took" and e[key] == value]
    return max((at - marked_at for at in taken if at > marked_at), default=0.0)


def _late_for_leaving_worker(result: Report) -> float:
    return _late_work(result, "leave", "worker", "w1")


def _late_for_evacuated_zone(result: Report) -> float:
    return _late_work(result, "evacuated", "area", "b")


def _older_revision(result: Report) -> float:
    """The last moment after a change at which a daemon that was fit to serve ran an older revision."""
    changes = [e for e in result.events if e["ev"] == "applied" and e["answer"] in TAKEN and e["edition"] > 1]
    samples = [e for e in result.events if e["ev"] == "runs" and e["fit"]]
    behind = [
        sample["t"] - change["t"]
        for change in changes
        for sample in samples
        if sample["t"] > change["t"] and sample["edition"] < change["edition"]
    ]
    return max(behind, default=0.0)


def _longest_without_job(result: Report) -> float:
    return result.stats["kept_gap"]


def _change_answered(result: Report) -> float:
    """The time until an operator's change had a sure answer."""
    tries = [e for e in result.events if e["ev"] == "applied" and e["base"] > 0]
    began: float = tries[0]["began"]
    answered: float = next((e["t"] for e in tries if e["answer"] in ANSWERED), began + RECOVERY_LIMIT)
    return answered - began


@dataclass(frozen=True)
class Bound:
    """A scenario, and how the value that the bound limits, in seconds, is read from its run."""

    scenario: str
    worst: Callable[[Report], float]


BOUNDS = {
    "ended lot (3 s)": Bound(
        "fleet edges=2 scheds=2 workers=1 slots=4\nload lot=1x40 ends=1 within=60\nrun 14\nsettle 0.1\n"
        "at 4 freeze sched for 2\nat 9 kill owner:0 for 4",
        _late_items,
    ),
    "leaving worker (2 s)": Bound(
        "fleet edges=3 workers=3\nload ask=12 lot=1x8\nrun 12\nat 3 apply pools.gpu.servers.w1.leave=true\n"
        "at 2.9 cut e1 control for 6\nsettle 20",
        _late_for_leaving_worker,
    ),
    "evacuated area (5 s)": Bound(
        "fleet edges=3 workers=4\nload ask=12 lot=1x8\nrun 14\nat 3 apply evacuated=[b]\n"
        "at 2.9 cut e1 control for 6\nsettle 20",
        _late_for_evacuated_zone,
    ),
    "manifest (2 s)": Bound(
        "fleet edges=4 workers=1\nload ask=1\nrun 16\nat 2 cut e1 control for 12\n"
        "at 3 apply classes.ask.deadline=14\nat 6 apply classes.ask.deadline=13\nat 6.05 freeze primary for 4\n"
        "at 12 apply classes.ask.deadline=12",
        _older_revision,
    ),
    "recovery, owner's power (12 s)": Bound(
        "fleet edges=2 workers=2\nload lot=8x2 within=60\nrun 20\nat 5 power owner:0 for 9", _longest_without_job
    ),
    "recovery, three disks lost (12 s)": Bound(
        "fleet edges=2 workers=2\nload lot=8x2 within=60\nrun 24\nexcused\nat 5 wipe s1 s2 s3 for 1.5",
        _longest_without_job,
    ),
    "recovery, control's pair wiped (12 s)": Bound(
        "fleet edges=2 workers=1\nload ask=1\nrun 22\nexcused\nat 4 wipe primary backup for 1\n"
        "at 4.5 apply classes.ask.deadline=14",
        _change_answered,
    ),
}


@dataclass(frozen=True)
class BoundRun:
    """The worst value of one bound in one run, in seconds, and how many breaches the checker saw."""

    bound: str
    worst: float
    breaches: int


def bound_run(job: tuple[str, int]) -> BoundRun:
    """Plays the scenario of a bound with a seed."""
    name, seed = job
    bound = BOUNDS[name]
    result = play(parse(bound.scenario, name), seed)
    return BoundRun(name, max(bound.worst(result), 0.0), sum(map(len, result.breaches.values())))


def bounds(out: str = "", seeds: int = 40) -> None:
    """Each bound of the brief on simulated time: the worst value over many seeds."""
    jobs = [(name, seed) for name in BOUNDS for seed in range(1, seeds + 1)]
    with multiprocessing.Pool(PROCESSES) as pool:
        runs = pool.map(bound_run, jobs, chunksize=4)
    lines = [
        "# The brief's bounds, on simulated time", "",
        f"Made by `python -m bench.measure bounds`: {seeds} seeds each. `worst` is the latest moment at which the old state was still seen.",
        "Editions are sampled every 0.25 s. Lots that were ended: the scheduler is frozen and an owner killed meanwhile. Leaving and",
        "evacuation: an edge is cut off from control. Manifest: an edge is cut off from control, and the primary freezes 0.05 s after a",
        "write begins. Recovery of lots: the longest time in which no lot was kept, at 8 lots a second.", "",
        "| bound | median, s | worst, s | breaches seen |", "|---|---|---|---|",
    ]  # fmt: skip
    for name in BOUNDS:
        worst = [run.worst for run in runs if run.bound == name]
        breaches = sum(run.breaches for run in runs if run.bound == name)
        lines.append(f"| {name} | {rank(worst, 0.5):.2f} | {max(worst):.2f} | {breaches} |")
    write_page(lines, out)

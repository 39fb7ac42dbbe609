"""Crash points: one short run is recorded, then played again once for each point that it passed, with power loss,
freeze or disk loss of the very process that passed it.

python -m sim.crash                                  # a spread sample of each programme
python -m sim.crash --every 1 --programmes apply     # every point of one
python -m sim.crash --every 1 --out docs/reports/crash.md
"""

from __future__ import annotations

import multiprocessing
import sys
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, replace
from multiprocessing.pool import Pool
from pathlib import Path

import fire

from sim.points import Point
from sim.runner import judge, play
from sim.scenario import Scenario, parse

# What beats all the time whether or not anything happens; each is met thousands of times by other runs.
NOISE = {f"{way}.{verb}" for way in ("sends", "takes", "answers", "hears") for verb in ("shuffle", "follow", "floor")}
# A process with a disk may lose power, freeze, or lose the disk; one without ends or freezes.
FAULTS = {"s": ("power", "freeze", "wipe"), "c": ("power", "freeze", "wipe"), "e": ("kill", "freeze")}
SPAN = {"power": "1.5", "wipe": "1.5", "kill": "1", "freeze": "4"}


@dataclass(frozen=True)
class Programme:
    """What is recorded. Invariant: faults strike between `start` and `end`, in the hosts whose names begin as told."""

    text: str
    start: float
    end: float
    hosts: str


BASE = "fleet edges=2 workers=2 parts=2\nrun 9\nsettle 40\nload ask=1 lot={lots} ends={ends} once=0.5 within=60\n"
PROGRAMMES: dict[str, Programme] = {
    "lots": Programme(BASE.format(lots="2x3", ends=0.5), 2.0, 2.8, "se"),
    "takeover": Programme(BASE.format(lots="3x2", ends=0) + "at 2 kill owner:0 for 2", 2.0, 5.0, "s"),
    "members": Programme(BASE.format(lots="2x2", ends=0) + "at 2 replace s4 s5", 2.0, 5.0, "s"),
    "retirement": Programme(
        BASE.format(lots="2x2", ends=0) + "at 1 add s5 d store\nat 2 apply machines.s4.retire=true", 2.0, 3.5, "s"
    ),
    "apply": Programme(BASE.format(lots="1x2", ends=0) + "at 2 apply classes.ask.deadline=14\nat 6 read", 1.99, 2.1, "ce"),
    "primary": Programme(
        BASE.format(lots="1x2", ends=0) + "at 2 kill primary for 3\nat 2.2 apply classes.ask.deadline=14\nat 7 read", 2.0, 5.0, "c"
    ),
}  # fmt: skip


def record(name: str, seed: int) -> list[Point]:
    """The points that a programme passes, in the window and at the hosts that it is about."""
    programme = PROGRAMMES[name]
    return [
        point
        for time, point in trace(parse(programme.text, name), seed)
        if programme.start <= time <= programme.end and point.host[0] in programme.hosts
    ]


def trace(scenario: Scenario, seed: int) -> list[tuple[float, Point]]:
    """All points that a run passes but those that come all the time, with their times in seconds."""
    passed: list[tuple[float, Point]] = []
    play(scenario, seed, spy=lambda time, point: passed.append((time, point)))
    return [(time, point) for time, point in passed if point.name not in NOISE]


@dataclass(frozen=True)
class Job:
    """One fault at one point of a programme's run."""

    programme: str
    seed: int
    point: Point
    fault: str


def jobs(name: str, seed: int, every: int) -> list[Job]:
    """Each fault at each point, or at every n-th of each kind, so that none is left out."""
    groups: dict[tuple[str, str], list[Point]] = defaultdict(list)
    for point in record(name, seed):
        groups[(point.name, point.host[0])].append(point)
    return [
        Job(name, seed, point, fault)
        for (_, kind), points in sorted(groups.items())
        for fault in FAULTS[kind]
        for point in points[::every]
    ]


def strike(job: Job) -> tuple[Job, list[str]]:
    """Plays a run again with its fault, and says what is wrong with it."""
    scenario = parse(PROGRAMMES[job.programme].text, job.programme)
    try:
        report = play(scenario, job.seed, strike=(job.point, job.fault, SPAN[job.fault]))
    except Exception as bad:
        return job, [f"the run itself failed: {bad!r}"]
    return job, judge(replace(scenario, expect=[]), report)


def listed(names: str | Sequence[str]) -> list[str]:
    """Names with commas between them, which the command line hands over as one string or as several."""
    return [name for name in (names.split(",") if isinstance(names, str) else names) if name]


@dataclass(frozen=True)
class Row:
    """What the strikes at a programme's points showed."""

    name: str
    points: int
    kinds: int  # of points, by name and class of machine
    faults: Counter[str]
    failed: int

    def __str__(self) -> str:
        struck = ", ".join(f"{count} {fault}" for fault, count in sorted(self.faults.items()))
        return f"| {self.name} | {self.points} | {self.kinds} | {self.faults.total()} ({struck}) | {self.failed} |"


def strike_programme(pool: Pool, name: str, seed: int, every: int, most: int) -> Row:
    """Strikes at the points of one programme, and prints which runs failed."""
    points = record(name, seed)
    todo = jobs(name, seed, every)
    if most and len(todo) > most:
        todo = [todo[i * len(todo) // most] for i in range(most)]
    faults: Counter[str] = Counter()
    failed = 0
    for job, flaws in pool.imap_unordered(strike, todo, chunksize=4):
        faults[job.fault] += 1
        if flaws:
            failed += 1
            show_failure(job, flaws)
    return Row(name, len(points), len({(point.name, point.host[0]) for point in points}), faults, failed)


def show_failure(job: Job, flaws: list[str]) -> None:
    """Prints what is wrong with a run."""
    point = job.point
    print(f"FAILED {job.programme} seed {job.seed} {job.fault} of {point.host} at point {point.number} {point.name}")
    for flaw in flaws[:4]:
        print("      ", flaw[:240])
    sys.stdout.flush()


def page(command: str, rows: list[Row]) -> str:
    """The report of all strikes.

    Args:
        command: that made it.
        rows: one for each programme.
    """
    total, failed = sum(row.faults.total() for row in rows), sum(row.failed for row in rows)
    return (
        "# Crash points, enumerated\n\n"
        f"Made by `{command}`. A short run of a small fleet (two partitions, four stores, four control machines, two\n"
        "edges) is recorded; then it is played again with one fault at one point that it passed: each message\n"
        "sent, taken, answered or heard, each sync begun or held, each numbered event, in the window and at the\n"
        "processes that the programme is about. The process comes back 1 to 1.5 s later, or wakes after 4 s. Every\n"
        "run is held against all checks of what must never happen, and every kept lot must come to its end.\n\n"
        "| programme | points passed | kinds | strikes | runs with a breach |\n|---|---|---|---|---|\n"
        + "\n".join(map(str, rows))
        + f"\n\n{total} strikes, {failed} with a breach.\n"
    )


def crash(
    every: int = 40, seed: int = 1, jobs_: int = 8, programmes: str | Sequence[str] = "", most: int = 0, out: str = ""
) -> int:
    """Strikes at the points of each programme; exit 1 if anything happened that must never happen.

    Args:
      every: strike at every n-th point of each kind; 1 for all.
      seed: the seed of the recorded run.
      jobs_: how many runs at a time.
      programmes: names with commas between them; all if left out.
      most: at the most so many strikes a programme, spread; 0 for all.
      out: a file for the report.
    """
    rows = []
    with multiprocessing.Pool(jobs_, maxtasksperchild=50) as pool:
        for name in listed(programmes) or list(PROGRAMMES):
            rows.append(strike_programme(pool, name, seed, every, most))
            print(rows[-1], flush=True)
    failed = sum(row.failed for row in rows)
    print(f"{sum(row.faults.total() for row in rows)} strikes, {failed} failed")
    if out:
        command = f"python -m sim.crash --every {every} --seed {seed}" + (f" --most {most}" if most else "")
        Path(out).write_text(page(command, rows))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(crash, serialize=lambda got: None if isinstance(got, int) else got))

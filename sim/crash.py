"""Crash points: a short run is recorded, then played again once for each point that it passed, with a power loss, a
freeze or a disk loss of the process that passed the point.

python -m sim.crash                                  # an evenly spread sample of each programme
python -m sim.crash --every 1 --programmes apply     # every point of one programme
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

# Points of periodic messages, which are sent whether or not anything happens; other runs pass each thousands of times.
PERIODIC_POINTS = {
    f"{step}.{verb}" for step in ("sends", "takes", "answers", "hears") for verb in ("shuffle", "follow", "floor")
}
# The faults by the first letter of the host's name (store, control machine, edge): a process with a disk may lose power,
# freeze or lose the disk; one without a disk may be killed or freeze.
FAULTS = {"s": ("power", "freeze", "wipe"), "c": ("power", "freeze", "wipe"), "e": ("kill", "freeze")}
# After how many seconds the process is started again or thawed, as written in a scenario.
FAULT_DURATIONS = {"power": "1.5", "wipe": "1.5", "kill": "1", "freeze": "4"}


@dataclass(frozen=True)
class Programme:
    """A scenario whose run is recorded, and the points at which faults strike.

    Attributes:
        text: the scenario.
        start: when the first fault may strike, in seconds after the load began.
        end: when the last fault may strike, in seconds after the load began.
        hosts: the first letters of the names of the hosts that faults may strike.
    """

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
    """Returns the points that a run of a programme passes between its `start` and `end`, at its hosts."""
    programme = PROGRAMMES[name]
    return [
        point
        for time, point in record_points(parse(programme.text, name), seed)
        if programme.start <= time <= programme.end and point.host[0] in programme.hosts
    ]


def record_points(scenario: Scenario, seed: int) -> list[tuple[float, Point]]:
    """Returns all points that a run passes, except the periodic ones, with their times in seconds."""
    passed: list[tuple[float, Point]] = []
    play(scenario, seed, observer=lambda time, point: passed.append((time, point)))
    return [(time, point) for time, point in passed if point.name not in PERIODIC_POINTS]


@dataclass(frozen=True)
class CrashTrial:
    """One fault at one point of a programme's run."""

    programme: str
    seed: int
    point: Point
    fault: str


def crash_trials(name: str, seed: int, every: int) -> list[CrashTrial]:
    """Returns a trial for each fault at every n-th point of each kind, so that every kind of point has trials."""
    groups: dict[tuple[str, str], list[Point]] = defaultdict(list)
    for point in record(name, seed):
        groups[(point.name, point.host[0])].append(point)
    return [
        CrashTrial(name, seed, point, fault)
        for (_, kind), points in sorted(groups.items())
        for fault in FAULTS[kind]
        for point in points[::every]
    ]


def strike(trial: CrashTrial) -> tuple[CrashTrial, list[str]]:
    """Plays a run again with its fault; returns the trial and what is wrong with the run."""
    scenario = parse(PROGRAMMES[trial.programme].text, trial.programme)
    try:
        report = play(scenario, trial.seed, strike=(trial.point, trial.fault, FAULT_DURATIONS[trial.fault]))
    except Exception as error:
        return trial, [f"the run itself failed: {error!r}"]
    return trial, judge(replace(scenario, expect=[]), report)


def split_names(names: str | Sequence[str]) -> list[str]:
    """Returns the names of a comma-separated list, which the command line passes as one string or as several."""
    return [name for name in (names.split(",") if isinstance(names, str) else names) if name]


@dataclass(frozen=True)
class ProgrammeResult:
    """The results of the trials of one programme."""

    name: str
    points: int
    kinds: int  # the number of kinds of points: by name and kind of machine
    faults: Counter[str]
    failed: int

    def __str__(self) -> str:
        fault_counts = ", ".join(f"{count} {fault}" for fault, count in sorted(self.faults.items()))
        return (
            f"| {self.name} | {self.points} | {self.kinds} | {self.faults.total()} ({fault_counts}) | {self.failed} |"
        )


def strike_programme(pool: Pool, name: str, seed: int, every: int, most: int) -> ProgrammeResult:
    """Plays the trials of one programme, at most `most` of them if it is not 0, and prints which of them failed."""
    points = record(name, seed)
    trials = crash_trials(name, seed, every)
    if most and len(trials) > most:
        trials = [trials[i * len(trials) // most] for i in range(most)]
    faults: Counter[str] = Counter()
    failed = 0
    for trial, flaws in pool.imap_unordered(strike, trials, chunksize=4):
        faults[trial.fault] += 1
        if flaws:
            failed += 1
            print_failure(trial, flaws)
    return ProgrammeResult(name, len(points), len({(point.name, point.host[0]) for point in points}), faults, failed)


def print_failure(trial: CrashTrial, flaws: list[str]) -> None:
    """Prints what is wrong with a run."""
    point = trial.point
    print(
        f"FAILED {trial.programme} seed {trial.seed} {trial.fault} of {point.host} at point {point.number} {point.name}"
    )
    for flaw in flaws[:4]:
        print("      ", flaw[:240])
    sys.stdout.flush()


def format_report(command: str, results: list[ProgrammeResult]) -> str:
    """Returns the report on all trials, in Markdown.

    Args:
        command: the command that made it.
        results: one for each programme.
    """
    total, failed = sum(result.faults.total() for result in results), sum(result.failed for result in results)
    return (
        "# Crash points, enumerated\n\n"
        f"Made by `{command}`. A short run of a small fleet (two partitions, four stores, four control machines, two\n"
        "edges) is recorded; then it is played again with one fault at one point that it passed: each message\n"
        "sent, taken, answered or heard, each sync begun or held, each numbered event, in the window and at the\n"
        "processes that the programme is about. The process comes back 1 to 1.5 s later, or wakes after 4 s. Every\n"
        "run is held against all checks of what must never happen, and every kept lot must come to its end.\n\n"
        "| programme | points passed | kinds | strikes | runs with a breach |\n|---|---|---|---|---|\n"
        + "\n".join(map(str, results))
        + f"\n\n{total} strikes, {failed} with a breach.\n"
    )


def crash(
    every: int = 40, seed: int = 1, jobs_: int = 8, programmes: str | Sequence[str] = "", most: int = 0, out: str = ""
) -> int:
    """Plays each programme again with faults at its points; exits with 1 if any run is found faulty.

    Args:
      every: a fault strikes at every n-th point of each kind; 1 for all.
      seed: the seed of the recorded run.
      jobs_: how many runs are played at a time.
      programmes: names with commas between them; all if left out.
      most: the largest number of trials of a programme, evenly spread over its points; 0 for all.
      out: a file to write the report to.
    """
    results = []
    with multiprocessing.Pool(jobs_, maxtasksperchild=50) as pool:
        for name in split_names(programmes) or list(PROGRAMMES):
            results.append(strike_programme(pool, name, seed, every, most))
            print(results[-1], flush=True)
    failed = sum(result.failed for result in results)
    print(f"{sum(result.faults.total() for result in results)} strikes, {failed} failed")
    if out:
        command = f"python -m sim.crash --every {every} --seed {seed}" + (f" --most {most}" if most else "")
        Path(out).write_text(format_report(command, results))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(crash, serialize=lambda result: None if isinstance(result, int) else result))

"""Runs scenarios on simulated time, and judges what was seen.

python -m sim.runner sim/scenarios/owner-power.txt [--seed 5]
python -m sim.runner --all
"""

from __future__ import annotations

import asyncio
import copy
import logging
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from bench.deploy import DEPLOYMENTS
from bench.plan import changed, manifest
from postpass.runtime import log_events
from sim.actions import perform
from sim.announced import AnnouncedFleet
from sim.check import Bounds, Event, History, breaches
from sim.day_actions import perform_in_day
from sim.day_statistics import day_figures
from sim.days import run_day
from sim.deferred import Later, later_on
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim
from sim.points import Point
from sim.run_statistics import Figures, run_figures
from sim.scenario import Act, Scenario, When, load_of, load_options, parse, scenarios

Spy = Callable[[float, Point], None]  # told of each point with its time, in seconds after the load began
Strike = tuple[Point, str, str]  # a point of a recorded run, and the fault that meets its host there for how long
Make = Callable[[Any], None]  # lays settings of the simulator on each new daemon
FLAWS_SHOWN = 3  # of each check, and of errors


@dataclass(eq=False)
class Report:
    """What a run showed.

    Attributes:
        breaches: what breaks each check.
        stats: the figures that a scenario can expect something of.
        errors: what failed in the run itself, such as exceptions that nobody took.
        events: what clients, workers and operators recorded.
        fleet: after the run.
    """

    breaches: dict[str, list[str]]
    stats: Figures
    errors: list[str]
    events: list[Event]
    fleet: SimFleet | None = None


@dataclass(eq=False)
class Triggers:
    """Causes what a scenario says `when` its points are passed.

    Attributes:
        scenario: whose triggers they are.
        fleet: whose points are watched.
        began: when the load began, in seconds of simulated time.
        cause: causes a fault or operation at once.
    """

    scenario: Scenario
    fleet: SimFleet
    began: float
    cause: Callable[[Act], None]

    def __post_init__(self) -> None:
        self.waiting = list(self.scenario.whens)
        self.passed: Counter[int] = Counter()  # points that fit, by the line of the trigger
        if self.waiting:
            self.fleet.points.watchers.append(self.look)

    def look(self, point: Point) -> None:
        """Is called as a point is passed."""
        for when in [when for when in self.waiting if when.event == point.name]:
            if not self.fits(when, point):
                continue
            self.passed[when.line] += 1
            if self.passed[when.line] == when.nth:
                self.waiting.remove(when)
                self.fleet.here = (point.host, point.peer)
                self.cause(when.act)

    def fits(self, when: When, point: Point) -> bool:
        """Does a point of the right name come in time and at the right machine?"""
        age = self.fleet.loop.clock - self.began
        if age < when.start or age > when.start + when.limit:
            return False
        return not when.who or self.fleet.pick(when.who) == point.host

    def errors(self) -> list[str]:
        """Those that had to come and did not."""
        return [
            f"{self.scenario.name}:{when.line}: {when.event} never came so that its fault was caused"
            for when in self.waiting
            if when.needed
        ]


async def cause_in_time(loop: SimLoop, began: float, acts: Iterable[Act], cause: Callable[[Act], None]) -> None:
    """Causes faults and operations at their times after the load began."""
    for act in sorted(acts, key=lambda act: act.at):
        await asyncio.sleep(max(0.0, began + act.at - loop.clock))
        cause(act)


def run_errors(loop: SimLoop) -> list[str]:
    """What failed in the run itself."""
    return loop.errors + loop.unretrieved()


def play_day(scenario: Scenario, seed: int, **options: Any) -> Report:
    """Runs a scenario of an announced fleet.

    Args:
        scenario: has a plan.
        seed: of all that is drawn by chance.
        options: of `run_day`.
    """
    # Counts are of the process: what an earlier run left would be taken for this run's.
    log_events.COUNTS.clear()
    got: Report = run_sim(lambda loop: run_announced(loop, scenario, seed, options), seed)
    return got


async def run_announced(loop: SimLoop, scenario: Scenario, seed: int, options: dict[str, Any]) -> Report:
    """Runs a scenario of an announced fleet on its simulated loop."""
    assert scenario.plan is not None
    triggers: list[Triggers] = []

    async def script(fleet: AnnouncedFleet, later: Later) -> None:
        def cause(act: Act) -> None:
            perform_in_day(fleet, act.verb, act.args, later)

        began = loop.clock
        triggers.append(Triggers(scenario, fleet, began, cause))
        await cause_in_time(loop, began, scenario.acts, cause)

    fleet, found = await run_day(
        loop, scenario.plan, seed, scenario.run, scenario.settle, script, disk=scenario.disk, **options
    )
    errors = run_errors(loop) + [error for each in triggers for error in each.errors()]
    return Report(found, day_figures(fleet), errors, fleet.events, fleet)


def play(
    scenario: Scenario, seed: int, make: Make | None = None, spy: Spy | None = None, strike: Strike | None = None
) -> Report:
    """Runs one scenario under one seed, on simulated time.

    Args:
        scenario: what is run.
        seed: of all that is drawn by chance.
        make: lays settings of the simulator on each new daemon.
        spy: is told of each point with its time.
        strike: a point of such a run, and the fault that is to meet its host there.
    """
    log_events.COUNTS.clear()
    # Faults are caused on purpose here; what matters of them is in the history and in the events.
    logging.disable(logging.CRITICAL)
    if scenario.plan is not None:
        return play_day(scenario, seed, make=make)
    got: Report = run_sim(lambda loop: run_listed(loop, scenario, seed, make, spy, strike), seed)
    return got


async def run_listed(
    loop: SimLoop, scenario: Scenario, seed: int, make: Make | None, spy: Spy | None, strike: Strike | None
) -> Report:
    """Runs a scenario of a fleet that its configuration lists, on its simulated loop."""
    deployment = DEPLOYMENTS.get(scenario.deployment)
    if deployment is not None:
        loop.net.far = deployment.delay / 1000
    configuration = first_configuration(scenario)
    fleet = SimFleet(loop, configuration, seed, tune=scenario.tune, make=make, disk_cap=scenario.disk)
    await fleet.found()
    began = loop.clock
    later = later_on(loop)

    def cause(act: Act) -> None:
        perform(fleet, act.verb, act.args, later)

    triggers = Triggers(scenario, fleet, began, cause)
    struck = watch_points(fleet, began, cause, spy, strike)
    faults = loop.create_task(cause_in_time(loop, began, scenario.acts, cause))
    load = fleet.out(run_clients(scenario, fleet))
    await asyncio.wait([load])
    load.result()
    await faults
    await fleet.out(fleet.read_back())
    bounds = Bounds(ramp=configuration["ramp"], retention=configuration["retention"])
    found = breaches(History(fleet.events, bounds, scenario.excused))
    errors = run_errors(loop) + triggers.errors()
    if strike is not None and struck != [strike[0]]:
        errors.append(f"the run did not pass {strike[0]} again, but {struck}")
    return Report(found, run_figures(fleet, began), errors, fleet.events, fleet)


def first_configuration(scenario: Scenario) -> dict[str, Any]:
    """The configuration that a scenario starts from."""
    deployment = DEPLOYMENTS.get(scenario.deployment)
    configuration = copy.deepcopy(deployment.manifest) if deployment else manifest(**scenario.fleet)
    for path, value in scenario.set:
        configuration = changed(configuration, path, value)
    return configuration


def watch_points(
    fleet: SimFleet, began: float, cause: Callable[[Act], None], spy: Spy | None, strike: Strike | None
) -> list[Point]:
    """Tells the spy of each point, and strikes at the given one; returns the points at which it struck."""
    struck: list[Point] = []

    def look(point: Point) -> None:
        if spy is not None:
            spy(fleet.loop.clock - began, point)
        if strike is not None and point.number == strike[0].number:
            struck.append(point)
            cause(Act(0.0, strike[1], (point.host, "for", strike[2])))

    if spy is not None or strike is not None:
        fleet.points.watchers.append(look)
    return struck


async def run_clients(scenario: Scenario, fleet: SimFleet) -> None:
    """Sends the load, and then reads every job until it has ended."""
    deployment = DEPLOYMENTS.get(scenario.deployment)
    async with fleet.session() as session:
        load = replace(deployment.load, **load_options(scenario.load)) if deployment else load_of(scenario.load)
        clients = fleet.make_clients(load, session)
        await clients.run(scenario.run)
        await clients.audit(scenario.settle)


def judge(scenario: Scenario, report: Report) -> list[str]:
    """What is wrong with a run: breaches of checks, expectations that don't hold, and errors; empty if nothing is."""
    flaws = [f"{name}: {breach}" for name, found in report.breaches.items() for breach in found[:FLAWS_SHOWN]]
    flaws += [flaw for expectation in scenario.expect for flaw in expectation.flaws(report.stats)]
    return flaws + [f"error: {error}" for error in report.errors[:FLAWS_SHOWN]]


def show(scenario: Scenario, seed: int, report: Report, flaws: list[str], options: Iterable[str]) -> None:
    """Prints a run's result; `--stats` adds its figures, `--events` its last numbered log events."""
    print(f"{'FAILED' if flaws else 'ok':6} {scenario.name} seed={seed}")
    for flaw in flaws:
        print("      ", flaw)
    if "--stats" in options:
        print("      ", {name: round(figure, 3) for name, figure in sorted(report.stats.items())})
    if "--events" in options:
        for number, text in log_events.RECENT:
            print("      ", number, text)
    sys.stdout.flush()


def main(argv: list[str]) -> int:
    """Runs the scenarios whose files are named, or all with `--all`; 1 if any run shows a flaw."""
    names = [word for word in argv if not word.startswith("--") and not word.isdigit()]
    seeds = [int(argv[i + 1]) for i, word in enumerate(argv) if word == "--seed"]
    chosen = scenarios() if "--all" in argv else [parse(Path(name).read_text(), Path(name).stem) for name in names]
    failed = False
    for scenario in chosen:
        for seed in seeds or scenario.seeds:
            report = play(scenario, seed)
            flaws = judge(scenario, report)
            failed = failed or bool(flaws)
            show(scenario, seed, report, flaws, argv)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Runs scenarios in simulated time, and checks their results.

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
from sim.exit_status import ExitStatus, verdict_of
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim
from sim.points import Point
from sim.run_statistics import Figures, run_figures
from sim.scenario import PointTrigger, Scenario, TimedAction, load_options, parse, parse_load, scenarios

# Is called with the time, in seconds after the load began, and the point.
PointObserver = Callable[[float, Point], None]
# A point of a recorded run, the verb of the fault of its host at this point, and the duration of the fault in seconds.
Strike = tuple[Point, str, str]
Make = Callable[[Any], None]  # changes each new daemon before it starts
FLAWS_SHOWN = 3  # at most, of each check, and of the errors


@dataclass(eq=False)
class Report:
    """The result of a run.

    Attributes:
        breaches: the violations found, by the name of the check.
        stats: the figures that a scenario can set expectations for.
        errors: failures of the run itself, such as exceptions that nobody handled.
        events: what clients, workers and operators recorded.
        fleet: the fleet as it was after the run.
    """

    breaches: dict[str, list[str]]
    stats: Figures
    errors: list[str]
    events: list[Event]
    fleet: SimFleet | None = None


@dataclass(eq=False)
class Triggers:
    """Causes the faults that a scenario wants `when` certain points are passed.

    Attributes:
        scenario: the scenario with the triggers.
        fleet: the fleet whose points are watched.
        began: when the load began, in seconds of simulated time.
        cause: causes a fault or operation at once.
        waiting: the triggers whose faults were not caused yet.
        passed: the number of matching points so far, by the line of the trigger.
    """

    scenario: Scenario
    fleet: SimFleet
    began: float
    cause: Callable[[TimedAction], None]

    def __post_init__(self) -> None:
        self.waiting = list(self.scenario.whens)
        self.passed: Counter[int] = Counter()
        if self.waiting:
            self.fleet.points.watchers.append(self.on_point)

    def on_point(self, point: Point) -> None:
        """Counts a point that was passed, and causes the faults that wait for it."""
        for when in [when for when in self.waiting if when.event == point.name]:
            if not self.matches(when, point):
                continue
            self.passed[when.line] += 1
            if self.passed[when.line] == when.nth:
                self.waiting.remove(when)
                self.fleet.here = (point.host, point.peer)
                self.cause(when.act)

    def matches(self, when: PointTrigger, point: Point) -> bool:
        """Returns whether a point of the right name was passed in the time span and at the machine of a trigger."""
        age = self.fleet.loop.clock - self.began
        if age < when.start or age > when.start + when.limit:
            return False
        return not when.who or self.fleet.pick(when.who) == point.host

    def errors(self) -> list[str]:
        """Returns an error for each trigger that had to cause its fault and did not."""
        return [
            f"{self.scenario.name}:{when.line}: {when.event} never came so that its fault was caused"
            for when in self.waiting
            if when.needed
        ]


async def cause_in_time(
    loop: SimLoop, began: float, acts: Iterable[TimedAction], cause: Callable[[TimedAction], None]
) -> None:
    """Causes faults and operations at their times after the load began."""
    for act in sorted(acts, key=lambda act: act.at):
        await asyncio.sleep(max(0.0, began + act.at - loop.clock))
        cause(act)


def run_errors(loop: SimLoop) -> list[str]:
    """Returns the failures of the run itself."""
    return loop.errors + loop.unretrieved()


def play_day(scenario: Scenario, seed: int, **options: Any) -> Report:
    """Runs a scenario of an announced fleet.

    Args:
        scenario: a scenario with a plan.
        seed: the seed of all random choices.
        options: further arguments of `run_day`.
    """
    # The counts belong to the process: without this, events of an earlier run would be counted for this one.
    log_events.COUNTS.clear()
    report: Report = run_sim(lambda loop: run_announced(loop, scenario, seed, options), seed)
    return report


async def run_announced(loop: SimLoop, scenario: Scenario, seed: int, options: dict[str, Any]) -> Report:
    """Runs a scenario of an announced fleet on its simulated loop."""
    assert scenario.plan is not None
    triggers: list[Triggers] = []

    async def script(fleet: AnnouncedFleet, later: Later) -> None:
        def cause(act: TimedAction) -> None:
            perform_in_day(fleet, act.verb, act.args, later)

        began = loop.clock
        triggers.append(Triggers(scenario, fleet, began, cause))
        await cause_in_time(loop, began, scenario.acts, cause)

    fleet, breaches_found = await run_day(
        loop, scenario.plan, seed, scenario.run, scenario.settle, script, disk=scenario.disk, **options
    )
    errors = run_errors(loop) + [error for each in triggers for error in each.errors()]
    return Report(breaches_found, day_figures(fleet), errors, fleet.events, fleet)


def play(
    scenario: Scenario,
    seed: int,
    make: Make | None = None,
    observer: PointObserver | None = None,
    strike: Strike | None = None,
) -> Report:
    """Runs one scenario under one seed, in simulated time.

    Args:
        scenario: the scenario to run.
        seed: the seed of all random choices.
        make: changes each new daemon before it starts.
        observer: is called with each point and its time.
        strike: a point of an earlier run of this scenario and seed, and the fault to cause when it is passed again.
    """
    log_events.COUNTS.clear()
    # Faults are caused on purpose here, so log lines about them are noise; the history and the events show their effects.
    logging.disable(logging.CRITICAL)
    if scenario.plan is not None:
        return play_day(scenario, seed, make=make)
    report: Report = run_sim(lambda loop: run_listed(loop, scenario, seed, make, observer, strike), seed)
    return report


async def run_listed(
    loop: SimLoop,
    scenario: Scenario,
    seed: int,
    make: Make | None,
    observer: PointObserver | None,
    strike: Strike | None,
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

    def cause(act: TimedAction) -> None:
        perform(fleet, act.verb, act.args, later)

    triggers = Triggers(scenario, fleet, began, cause)
    struck = watch_points(fleet, began, cause, observer, strike)
    faults = loop.create_task(cause_in_time(loop, began, scenario.acts, cause))
    load = fleet.out(run_clients(scenario, fleet))
    await asyncio.wait([load])
    load.result()
    await faults
    await fleet.out(fleet.read_back())
    bounds = Bounds(ramp=configuration["ramp"], retention=configuration["retention"])
    breaches_found = breaches(History(fleet.events, bounds, scenario.excused))
    errors = run_errors(loop) + triggers.errors()
    if strike is not None and struck != [strike[0]]:
        errors.append(f"the run did not pass {strike[0]} again, but {struck}")
    return Report(breaches_found, run_figures(fleet, began), errors, fleet.events, fleet)


def first_configuration(scenario: Scenario) -> dict[str, Any]:
    """Returns the configuration that a scenario starts from."""
    deployment = DEPLOYMENTS.get(scenario.deployment)
    configuration = copy.deepcopy(deployment.manifest) if deployment else manifest(**scenario.fleet)
    for path, value in scenario.set:
        configuration = changed(configuration, path, value)
    return configuration


def watch_points(
    fleet: SimFleet,
    began: float,
    cause: Callable[[TimedAction], None],
    observer: PointObserver | None,
    strike: Strike | None,
) -> list[Point]:
    """Calls the observer with each point, and causes the fault of `strike` at its point.

    Returns a list to which the points are added at which the fault is caused.
    """
    struck: list[Point] = []

    def on_point(point: Point) -> None:
        if observer is not None:
            observer(fleet.loop.clock - began, point)
        if strike is not None and point.number == strike[0].number:
            struck.append(point)
            cause(TimedAction(0.0, strike[1], (point.host, "for", strike[2])))

    if observer is not None or strike is not None:
        fleet.points.watchers.append(on_point)
    return struck


async def run_clients(scenario: Scenario, fleet: SimFleet) -> None:
    """Sends the load, and then reads every job until it has ended or `settle` seconds have passed."""
    deployment = DEPLOYMENTS.get(scenario.deployment)
    async with fleet.session() as session:
        load = replace(deployment.load, **load_options(scenario.load)) if deployment else parse_load(scenario.load)
        clients = fleet.make_clients(load, session)
        await clients.run(scenario.run)
        await clients.audit(scenario.settle)


def judge(scenario: Scenario, report: Report) -> list[str]:
    """Returns what is wrong with a run: breaches of checks, expectations that don't hold, and errors."""
    flaws = [f"{name}: {breach}" for name, found in report.breaches.items() for breach in found[:FLAWS_SHOWN]]
    flaws += [flaw for expectation in scenario.expect for flaw in expectation.flaws(report.stats)]
    return flaws + [f"error: {error}" for error in report.errors[:FLAWS_SHOWN]]


def print_result(scenario: Scenario, seed: int, report: Report, flaws: list[str], options: Iterable[str]) -> None:
    """Prints a run's result; the option `--stats` adds its figures, `--events` its last numbered log events."""
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
    """Runs the scenarios whose files are named, or all with `--all`; returns `BROKEN` if any run shows a flaw, else `HELD`."""
    names = [word for word in argv if not word.startswith("--") and not word.isdigit()]
    seeds = [int(argv[i + 1]) for i, word in enumerate(argv) if word == "--seed"]
    selected = scenarios() if "--all" in argv else [parse(Path(name).read_text(), Path(name).stem) for name in names]
    failed = False
    for scenario in selected:
        for seed in seeds or scenario.seeds:
            report = play(scenario, seed)
            flaws = judge(scenario, report)
            failed = failed or bool(flaws)
            print_result(scenario, seed, report, flaws, argv)
    return ExitStatus.BROKEN if failed else ExitStatus.HELD


if __name__ == "__main__":
    sys.exit(verdict_of(lambda: main(sys.argv[1:])))

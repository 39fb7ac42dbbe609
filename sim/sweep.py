"""Plays random schedules of faults under many seeds, and checks each run with the history checker.

python -m sim.sweep --runs 200 --first 1 --jobs 8      # prints which seeds failed, and what was wrong
python -m sim.sweep --announced 100 --jobs 4           # days of announced fleets, of many sizes
python -m sim.sweep --announced 1 --first 17 --show    # such a day as a scenario
"""

from __future__ import annotations

import logging
import multiprocessing
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import fire

from sim.exit_status import ExitStatus, verdict_of
from sim.random_days import random_day
from sim.run_statistics import Figures
from sim.runner import Report, judge, play, play_day
from sim.scenario import Scenario, TimedAction, parse

FAULT_SPAN_S = 26.0  # the span in which faults strike, in seconds
PAUSE_S = 9.0  # the time to restore the copies of a lost disk or zone, before the next is lost
STORES = ("s1", "s2", "s3", "s4")
WORKERS = ("w1", "w2")
WORKER_FAULTS = ("cut:3", "cut:1", "garble:2", "repeat:2", "swap:1", "skip:2", "end:2", "endless:2", "refuse", "sick")


@dataclass(frozen=True)
class DrawnFleet:
    """What faults refer to: the source of randomness, the class of live requests, and the names of the edges."""

    chance: random.Random
    live: str
    edges: tuple[str, ...]


def draw_loss(fleet: DrawnFleet, at: float) -> list[TimedAction]:
    """Draws a fault that takes away a disk, a zone, or a process with a disk."""
    chance = fleet.chance
    verb = chance.choice(["kill", "power", "wipe", "freeze", "isolate", "area", "failsync", "fill", "damage", "term"])
    who = chance.choice(["owner:0", "owner:1", "busiest", "mirror:2", "s3", "primary", "backup", "witness"])
    store = chance.choice(STORES)
    if verb == "area":
        return [TimedAction(at, "area", ("power", store, "for", "3"))]
    if verb == "failsync":
        return [TimedAction(at, "failsync", (store, "for", "1.5")), TimedAction(at + 3, "start", (store,))]
    if verb == "fill":
        return [TimedAction(at, "fill", (name, "6000", "for", "5")) for name in STORES]
    if verb == "damage":
        return [TimedAction(at, "damage", (store, "log-"))]
    return [TimedAction(at, verb, (who, "for", f"{chance.uniform(0.3, 5):.2f}"))]


# Faults and operations that may overlap with a loss. `duration` is the pair of words that end such a line: `for SECONDS`.
def frozen_edge(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Freezes a data plane."""
    return TimedAction(at, "freeze", (fleet.chance.choice(["sched", *fleet.edges]), *duration))


def restarted_edge(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Ends a data plane, which is then started again."""
    return TimedAction(
        at, fleet.chance.choice(["kill", "term"]), (fleet.chance.choice(["sched", *fleet.edges]), *duration)
    )


def cut_link(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Cuts a link in both directions or in one."""
    first_machine, second_machine = fleet.chance.sample(["s1", "s2", "s3", "s4", "c1", "c2", "e1", "sched"], 2)
    return TimedAction(at, fleet.chance.choice(["cut", "cutone"]), (first_machine, second_machine, *duration))


def slow_machine(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Delays the messages of a machine."""
    return TimedAction(at, "slow", (fleet.chance.choice(["s1", "s2", "c1", "e1", "w1"]), "0.05", *duration))


def slow_disk(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Delays the syncs of a disk."""
    return TimedAction(at, "stall", (fleet.chance.choice(["s1", "s2", "s3", "c2"]), "0.2", *duration))


def faulty_worker(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Makes a worker answer wrongly."""
    fault = fleet.chance.choice(WORKER_FAULTS)
    return TimedAction(at, "fault", (fleet.chance.choice(WORKERS), fault, *duration))


def racing_operators(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Makes two operators change the configuration at the same time."""
    return TimedAction(at, "race", (f"classes.{fleet.live}.deadline=14", f"classes.{fleet.live}.deadline=13"))


def change(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Changes the configuration."""
    changes = ["evacuated=[b]", "evacuated=[]", "pools.gpu.servers.w2.leave=true", "pools.gpu.servers.w2.leave=none",
               f"classes.{fleet.live}.deadline=12"]  # fmt: skip
    return TimedAction(at, "apply", (fleet.chance.choice(changes),))


def killed_worker(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Kills a worker or back end."""
    return TimedAction(at, "kill", (fleet.chance.choice([*WORKERS, "p1"]), *duration))


def more_routes(fleet: DrawnFleet, at: float, duration: tuple[str, str]) -> TimedAction:
    """Adds many routes."""
    return TimedAction(at, "routes", ("20",))


OVERLAPPING = (
    frozen_edge, restarted_edge, cut_link, slow_machine, slow_disk, faulty_worker, racing_operators, change,
    killed_worker, more_routes,
)  # fmt: skip


def schedule(seed: int, deployment: str = "", span: float = FAULT_SPAN_S) -> Scenario:
    """Draws a fleet, a load and faults that stay within the tolerated losses: one disk or zone at a time.

    A fault that takes a disk or a zone away ends, and PAUSE_S pass in which copies are restored, before the next such
    fault. Faults that only slow, cut or freeze one machine may overlap with it, as happens in practice.

    Args:
        seed: determines the schedule.
        deployment: kompressorlab or couriers, the complete deployment; a small fleet if left out.
        span: the span in which faults strike, in seconds.
    """
    chance = random.Random(f"sweep-{seed}{deployment}")
    scenario = Scenario(f"sweep-{seed}", deployment=deployment)
    fleet = draw_fleet(scenario, chance)
    scenario.run, scenario.settle = span + 4, 80.0
    scenario.tune = {
        "segment_bytes": chance.choice([8192, 65536, 1 << 20]),
        "buffer_bytes": chance.choice([65536, 1 << 20]),
    }
    at = 2.0
    while at < span:
        scenario.acts += draw_loss(fleet, at)
        at += PAUSE_S + chance.uniform(0, 4)
    for _ in range(round(chance.randrange(2, 7) * span / FAULT_SPAN_S)):
        at = chance.uniform(1, span)
        draw = OVERLAPPING[chance.randrange(len(OVERLAPPING))]
        duration = ("for", f"{chance.uniform(0.2, 4):.2f}")
        scenario.acts.append(draw(fleet, at, duration))
    scenario.acts.sort(key=lambda act: act.at)
    return scenario


def draw_fleet(scenario: Scenario, chance: random.Random) -> DrawnFleet:
    """Draws the fleet and the load of a scenario."""
    workers, slots = chance.choice([2, 3, 4]), chance.choice([4, 8])
    live_rate, job_rate = chance.choice([2, 5]), chance.choice([1, 2])
    scenario.load = {"ends": str(chance.choice([0, 0.2, 0.5])), "once": str(chance.choice([0.1, 0.6])), "keyed": "0.5",
                     "echo": str(chance.choice([0, 0.5]))}  # fmt: skip
    live, edges = "ask", 3
    if scenario.deployment:
        live, edges = ("fault" if scenario.deployment == "kompressorlab" else "turn"), 8
    else:
        scenario.fleet = {"edges": 3, "workers": workers, "scheds": 3, "slots": slots}
        scenario.load |= {"ask": str(live_rate), "lot": f"{job_rate}x5", "view": "1", "within": "90"}
    return DrawnFleet(chance, live, tuple(f"e{i + 1}" for i in range(edges)))


Outcome = tuple[int, list[str], Figures]  # the seed, the flaws of the run, and its figures


def run(seed: int, deployment: str = "") -> Outcome:
    """Runs a random schedule."""
    return play_and_judge(schedule(seed, deployment), seed, play)


def run_announced(seed: int) -> Outcome:
    """Runs a random day of an announced fleet."""
    logging.disable(logging.CRITICAL)
    return play_and_judge(parse(random_day(seed), f"day-{seed}"), seed, play_day)


def play_and_judge(scenario: Scenario, seed: int, play_one: Callable[[Scenario, int], Report]) -> Outcome:
    """Plays a scenario and returns what is wrong with the run; an exception that ends the run is a flaw."""
    try:
        report = play_one(scenario, seed)
    except Exception as error:
        return seed, [f"the run itself failed: {error!r}"], {}
    return seed, judge(scenario, report), report.stats


def print_flaws(title: str, flaws: list[str], most: int, width: int) -> None:
    """Prints the first `most` flaws of a run, each cut to `width` characters."""
    print(title)
    for flaw in flaws[:most]:
        print("      ", flaw[:width])
    sys.stdout.flush()


def sweep_announced(runs: int, first: int, jobs: int, show: bool) -> int:
    """Runs random days of announced fleets, as `sweep` does with schedules."""
    if show:
        print(random_day(first), end="")
        return 0
    failed, served_shares, began_at = 0, [], time.monotonic()
    with multiprocessing.Pool(jobs, maxtasksperchild=8) as pool:
        for seed, flaws, figures in pool.imap_unordered(run_announced, range(first, first + runs)):
            served_shares.append(figures.get("served", 0.0))
            if flaws:
                failed += 1
                print_flaws(f"FAILED day {seed}, served {served_shares[-1]:.3f}", flaws, 8, 300)
    print(f"{runs} days, {failed} failed; served at the least {min(served_shares):.3f}, median {sorted(served_shares)[len(served_shares) // 2]:.3f}; "
          f"{time.monotonic() - began_at:.0f} s")  # fmt: skip
    return ExitStatus.BROKEN if failed else ExitStatus.HELD


def show_schedule(seed: int, deployment: str) -> None:
    """Prints the schedule of one seed."""
    scenario = schedule(seed, deployment)
    for act in scenario.acts:
        print(f"at {act.at:.2f} {act.verb} {' '.join(act.args)}")
    print({name: value for name, value in vars(scenario).items() if name != "acts"})


def sweep(
    runs: int = 100, first: int = 1, jobs: int = 8, show: bool = False, deployment: str = "", announced: int = 0
) -> int:
    """Runs random schedules; exits with `BROKEN` (1) if any of them shows a breach.

    Args:
      runs: the number of schedules.
      first: the first seed.
      jobs: how many are run at a time.
      show: print the schedule of the first seed instead of running any.
      deployment: kompressorlab or couriers, the complete deployment; small fleets of many kinds if left out.
      announced: the number of days of announced fleets to run instead of schedules.
    """
    if announced:
        return sweep_announced(announced, first, jobs, show)
    if show:
        show_schedule(first, deployment)
        return 0
    failed, gaps = 0, []
    with multiprocessing.Pool(jobs, maxtasksperchild=8) as pool:
        seeds = range(first, first + runs)
        for seed, flaws, figures in pool.imap_unordered(partial(run, deployment=deployment), seeds):
            gaps.append(figures.get("kept_gap", 0.0))
            if flaws:
                failed += 1
                print_flaws(f"FAILED seed {seed}", flaws, 6, 240)
    print(
        f"{runs} runs, {failed} failed; longest time without a lot kept: {max(gaps):.1f} s, median {sorted(gaps)[len(gaps) // 2]:.1f} s"
    )
    return ExitStatus.BROKEN if failed else ExitStatus.HELD


if __name__ == "__main__":
    sys.exit(verdict_of(lambda: fire.Fire(sweep, serialize=lambda result: None if isinstance(result, int) else result)))

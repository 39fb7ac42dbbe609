"""Random schedules of faults under many seeds, held against the history checker.

python -m sim.sweep --runs 200 --first 1 --jobs 8      # prints what failed, and how to run it again
python -m sim.sweep --announced 100 --jobs 4           # days of announced fleets, of many sizes
python -m sim.sweep --announced 1 --first 17 --show    # such a day as a scenario
"""

from __future__ import annotations

import logging
import multiprocessing
import random
import sys
import time
from functools import partial

import fire

from sim.random_days import random_day
from sim.runner import judge, play, play_day
from sim.scenario import Act, Scenario, parse

SPAN = 26.0


def schedule(seed: int, deployment: str = "", span: float = SPAN) -> Scenario:
    """A fleet, a load and some faults that stay within the tolerated losses: one disk or area at a time.

    What takes a disk or an area away ends, and has `rest` seconds to be made good, before the next does.
    What merely slows, cuts or freezes one machine may overlap with that, as on a bad day.
    """
    chance = random.Random(f"sweep-{seed}{deployment}")
    s = Scenario(f"sweep-{seed}", deployment=deployment)
    small = chance.choice([2, 3, 4]), chance.choice([4, 8]), chance.choice([2, 5]), chance.choice([1, 2])
    s.load = {"ends": str(chance.choice([0, 0.2, 0.5])), "once": str(chance.choice([0.1, 0.6])), "keyed": "0.5",
              "echo": str(chance.choice([0, 0.5]))}  # fmt: skip
    live, edges = "ask", 3
    if deployment:
        live, edges = ("fault", 8) if deployment == "kompressorlab" else ("turn", 8)
    else:
        s.fleet = {"edges": 3, "workers": small[0], "scheds": 3, "slots": small[1]}
        s.load |= {"ask": str(small[2]), "lot": f"{small[3]}x5", "view": "1", "within": "90"}
    s.run, s.settle = span + 4, 80.0
    s.tune = {"segment_bytes": chance.choice([8192, 65536, 1 << 20]), "buffer_bytes": chance.choice([65536, 1 << 20])}
    edge_names = [f"e{i + 1}" for i in range(edges)]
    rest = 9.0
    at = 2.0
    while at < span:
        verb = chance.choice(
            ["kill", "power", "wipe", "freeze", "isolate", "area", "failsync", "fill", "damage", "term"]
        )
        who = chance.choice(["owner:0", "owner:1", "busiest", "mirror:2", "s3", "primary", "backup", "witness"])
        store = chance.choice(["s1", "s2", "s3", "s4"])
        if verb == "area":
            s.acts.append(Act(at, "area", ("power", store, "for", "3")))
        elif verb == "failsync":
            s.acts += [Act(at, "failsync", (store, "for", "1.5")), Act(at + 3, "start", (store,))]
        elif verb == "fill":
            s.acts += [Act(at, "fill", (f"s{i}", "6000", "for", "5")) for i in (1, 2, 3, 4)]
        elif verb == "damage":
            s.acts.append(Act(at, "damage", (store, "log-")))
        else:
            s.acts.append(Act(at, verb, (who, "for", f"{chance.uniform(0.3, 5):.2f}")))
        at += rest + chance.uniform(0, 4)
    for _ in range(round(chance.randrange(2, 7) * span / SPAN)):
        t = chance.uniform(1, span)
        kind = chance.randrange(10)
        length = ("for", f"{chance.uniform(0.2, 4):.2f}")
        if kind == 0:
            s.acts.append(Act(t, "freeze", (chance.choice(["sched", *edge_names]), *length)))
        elif kind == 1:
            s.acts.append(Act(t, chance.choice(["kill", "term"]), (chance.choice(["sched", *edge_names]), *length)))
        elif kind == 2:
            one, two = chance.sample(["s1", "s2", "s3", "s4", "c1", "c2", "e1", "sched"], 2)
            s.acts.append(Act(t, chance.choice(["cut", "cutone"]), (one, two, *length)))
        elif kind == 3:
            s.acts.append(Act(t, "slow", (chance.choice(["s1", "s2", "c1", "e1", "w1"]), "0.05", *length)))
        elif kind == 4:
            s.acts.append(Act(t, "stall", (chance.choice(["s1", "s2", "s3", "c2"]), "0.2", *length)))
        elif kind == 5:
            ill = chance.choice(
                ["cut:3", "cut:1", "garble:2", "repeat:2", "swap:1", "skip:2", "end:2", "endless:2", "refuse", "sick"]
            )
            s.acts.append(Act(t, "fault", (chance.choice(["w1", "w2"]), ill, *length)))
        elif kind == 6:
            s.acts.append(Act(t, "race", (f"classes.{live}.deadline=14", f"classes.{live}.deadline=13")))
        elif kind == 7:
            new = chance.choice(["evacuated=[b]", "evacuated=[]", "pools.gpu.servers.w2.leave=true",
                                 "pools.gpu.servers.w2.leave=none", f"classes.{live}.deadline=12"])  # fmt: skip
            s.acts.append(Act(t, "apply", (new,)))
        elif kind == 8:
            s.acts.append(Act(t, "kill", (chance.choice(["w1", "w2", "p1"]), *length)))
        else:
            s.acts.append(Act(t, "routes", ("20",)))
    s.acts.sort(key=lambda a: a.at)
    return s


def run(seed: int, deployment: str = "") -> tuple[int, list[str], dict[str, float]]:
    s = schedule(seed, deployment)
    try:
        r = play(s, seed)
    except Exception as bad:
        return seed, [f"the run itself failed: {bad!r}"], {}
    return seed, judge(s, r), r.stats


def run_announced(seed: int) -> tuple[int, list[str], dict[str, float]]:
    logging.disable(logging.CRITICAL)
    s = parse(random_day(seed), f"day-{seed}")
    try:
        r = play_day(s, seed)
    except Exception as bad:
        return seed, [f"the run itself failed: {bad!r}"], {}
    return seed, judge(s, r), r.stats


def sweep_announced(runs: int, first: int, jobs: int, show: bool) -> int:
    if show:
        print(random_day(first), end="")
        return 0
    bad, served, began = 0, [], time.monotonic()
    with multiprocessing.Pool(jobs, maxtasksperchild=8) as pool:
        for seed, flaws, stats in pool.imap_unordered(run_announced, range(first, first + runs)):
            served.append(stats.get("served", 0.0))
            if flaws:
                bad += 1
                print(f"FAILED day {seed}, served {served[-1]:.3f}")
                for flaw in flaws[:8]:
                    print("      ", flaw[:300])
                sys.stdout.flush()
    print(f"{runs} days, {bad} failed; served at the least {min(served):.3f}, median {sorted(served)[len(served) // 2]:.3f}; "
          f"{time.monotonic() - began:.0f} s")  # fmt: skip
    return 1 if bad else 0


def sweep(
    runs: int = 100, first: int = 1, jobs: int = 8, show: bool = False, deployment: str = "", announced: int = 0
) -> int:
    """Runs random schedules; exit 1 if any of them shows a breach.

    Args:
      runs: how many.
      first: the first seed.
      jobs: how many at a time.
      show: print the schedule of one seed instead.
      deployment: kompressorlab or couriers, whole; small fleets of many kinds if left out.
      announced: so many days of announced fleets instead.
    """
    if announced:
        return sweep_announced(announced, first, jobs, show)
    if show:
        for a in schedule(first, deployment).acts:
            print(f"at {a.at:.2f} {a.verb} {' '.join(a.args)}")
        print({k: v for k, v in vars(schedule(first, deployment)).items() if k != "acts"})
        return 0
    bad, gaps = 0, []
    with multiprocessing.Pool(jobs, maxtasksperchild=8) as pool:
        for seed, flaws, stats in pool.imap_unordered(partial(run, deployment=deployment), range(first, first + runs)):
            gaps.append(stats.get("kept_gap", 0.0))
            if flaws:
                bad += 1
                print(f"FAILED seed {seed}")
                for flaw in flaws[:6]:
                    print("      ", flaw[:240])
                sys.stdout.flush()
    print(
        f"{runs} runs, {bad} failed; longest time without a lot kept: {max(gaps):.1f} s, median {sorted(gaps)[len(gaps) // 2]:.1f} s"
    )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(sweep, serialize=lambda got: None if isinstance(got, int) else got))

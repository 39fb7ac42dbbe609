"""Random schedules of faults under many seeds, held against the history checker.

python -m sim.sweep --runs 200 --first 1 --jobs 8      # prints what failed, and how to run it again
"""

from __future__ import annotations

import multiprocessing
import random
import sys

import fire
import pytest

from sim.runner import Act, Scenario, judge, play

SPAN = 26.0


def schedule(seed: int) -> Scenario:
    """A fleet, a load and some faults that stay within the tolerated losses: one disk or area at a time.

    What takes a disk or an area away ends, and has `rest` seconds to be made good, before the next does.
    What merely slows, cuts or freezes one machine may overlap with that, as on a bad day.
    """
    chance = random.Random(f"sweep-{seed}")
    s = Scenario(f"sweep-{seed}")
    s.fleet = {"edges": 3, "workers": chance.choice([2, 3, 4]), "scheds": 3, "slots": chance.choice([4, 8])}
    s.load = {"ask": str(chance.choice([2, 5])), "lot": f"{chance.choice([1, 2])}x5", "view": "1", "within": "90",
              "ends": str(chance.choice([0, 0.2, 0.5])), "once": str(chance.choice([0.1, 0.6])), "keyed": "0.5", "echo": str(chance.choice([0, 0.5]))}  # fmt: skip
    s.run, s.settle = SPAN + 4, 80.0
    s.tune = {"segment_bytes": chance.choice([8192, 65536, 1 << 20]), "buffer_bytes": chance.choice([65536, 1 << 20])}
    rest = 9.0
    at = 2.0
    while at < SPAN:
        verb = chance.choice(["kill", "power", "wipe", "freeze", "isolate", "area", "failsync", "fill", "damage"])
        who = chance.choice(["owner:0", "owner:1", "busiest", "mirror:2", "s3", "primary", "backup", "witness"])
        if verb == "area":
            spot = chance.randrange(4)
            names = (
                [f"s{spot + 1}", f"c{spot + 1}"]
                + ([f"e{spot + 1}"] if spot < 3 else [])
                + (["w1"] if spot == 0 else [])
            )
            s.acts += [Act(at, "power", (n, "for", "3")) for n in names]
        elif verb == "failsync":
            name = chance.choice(["s1", "s2", "s3", "s4"])
            s.acts += [Act(at, "failsync", (name, "for", "1.5")), Act(at + 3, "start", (name,))]
        elif verb == "fill":
            s.acts += [Act(at, "fill", (f"s{i}", "6000", "for", "5")) for i in (1, 2, 3, 4)]
        elif verb == "damage":
            s.acts.append(Act(at, "damage", (chance.choice(["s1", "s2", "s3", "s4"]), "log-")))
        else:
            s.acts.append(Act(at, verb, (who, "for", f"{chance.uniform(0.3, 5):.2f}")))
        at += rest + chance.uniform(0, 4)
    for _ in range(chance.randrange(2, 7)):
        t = chance.uniform(1, SPAN)
        kind = chance.randrange(9)
        span = f"{chance.uniform(0.2, 4):.2f}"
        if kind == 0:
            s.acts.append(Act(t, "freeze", (chance.choice(["sched", "e1", "e2", "e3"]), "for", span)))
        elif kind == 1:
            s.acts.append(Act(t, "kill", (chance.choice(["sched", "e2", "w1", "w2", "p1"]), "for", span)))
        elif kind == 2:
            one, two = chance.sample(["s1", "s2", "s3", "s4", "c1", "c2", "e1", "sched"], 2)
            s.acts.append(Act(t, chance.choice(["cut", "cutone"]), (one, two, "for", span)))
        elif kind == 3:
            s.acts.append(Act(t, "slow", (chance.choice(["s1", "s2", "c1", "e1", "w1"]), "0.05", "for", span)))
        elif kind == 4:
            s.acts.append(Act(t, "stall", (chance.choice(["s1", "s2", "s3", "c2"]), "0.2", "for", span)))
        elif kind == 5:
            s.acts.append(
                Act(
                    t,
                    "fault",
                    (
                        chance.choice(["w1", "w2"]),
                        chance.choice(
                            [
                                "cut:3",
                                "cut:1",
                                "garble:2",
                                "repeat:2",
                                "swap:1",
                                "skip:2",
                                "end:2",
                                "endless:2",
                                "refuse",
                                "sick",
                            ]
                        ),
                        "for",
                        span,
                    ),
                )
            )
        elif kind == 6:
            s.acts.append(Act(t, "race", ("classes.ask.deadline=14", "classes.ask.deadline=13")))
        elif kind == 7:
            s.acts.append(
                Act(
                    t,
                    "apply",
                    (
                        chance.choice(
                            [
                                "evacuated=[b]",
                                "evacuated=[]",
                                "pools.gpu.servers.w2.leave=true",
                                "classes.ask.deadline=12",
                            ]
                        ),
                    ),
                )
            )
        else:
            s.acts.append(Act(t, "routes", ("20",)))
    s.acts.sort(key=lambda a: a.at)
    return s


def run(seed: int) -> tuple[int, list[str], dict[str, float]]:
    s = schedule(seed)
    try:
        r = play(s, seed)
    except Exception as bad:
        return seed, [f"the run itself failed: {bad!r}"], {}
    return seed, judge(s, r), r.stats


def sweep(runs: int = 100, first: int = 1, jobs: int = 8, show: bool = False) -> int:
    """Runs random schedules; exit 1 if any of them shows a breach.

    Args:
      runs: how many.
      first: the first seed.
      jobs: how many at a time.
      show: print the schedule of one seed instead.
    """
    if show:
        for a in schedule(first).acts:
            print(f"at {a.at:.2f} {a.verb} {' '.join(a.args)}")
        print({k: v for k, v in vars(schedule(first)).items() if k != "acts"})
        return 0
    bad, gaps = 0, []
    with multiprocessing.Pool(jobs, maxtasksperchild=8) as pool:
        for seed, flaws, stats in pool.imap_unordered(run, range(first, first + runs)):
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


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_schedules_show_no_breach(seed: int) -> None:
    assert run(seed)[1] == []


if __name__ == "__main__":
    sys.exit(fire.Fire(sweep, serialize=lambda got: None if isinstance(got, int) else got))

"""Generates random days of announced fleets as the text of a scenario, so that a day that fails can be kept as a file.

Sizes exceed those of the users' sites: 3 to 80 edges, 3 to 9 control machines, 3 to 14 stores, 2 to 6 zones, one or two
machines lost at once. Faults that take away machines with disks never exceed the number that may be lost, and the fleet has
time to recover before the next such fault; all other faults may coincide.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

RECOVERY_S = 8.0  # seconds from the end of one loss to the next: `contactMs` and `syncS` together
NOMINAL_DAY_S = 34.0  # the last loss begins 8 s before that at the latest


@dataclass
class Draw:
    """The random draws of one day, and the scenario lines made from them.

    Invariant: at most `lost` machines with disks are away at a time, except for a whole zone where the fleet tolerates that.
    """

    chance: random.Random
    lines: list[str] = field(default_factory=list)
    sizes: dict[str, Any] = field(default_factory=dict)

    def draw_sizes(self) -> None:
        """Draws the sizes of the fleet."""
        chance = self.chance
        zones = chance.choice([2, 3, 3, 4, 4, 4, 5, 6])
        lost = chance.choice([1, 1, 1, 2])
        fewest = 3 if lost == 1 else 5
        cores = chance.randint(fewest, 9)
        stores = chance.randint(fewest, 14)
        edges = chance.choice([*range(3, 13), *range(3, 13), 16, 24, 40, 80])
        # A zone may be lost if the others still have a majority of the control machines, and if no more copies are lost with it
        # than may be lost.
        zones_lost = int(zones >= 3 and -(-cores // zones) * 2 < cores and -(-stores // zones) * 2 < stores)
        self.sizes = {
            "edges": edges, "stores": stores, "cores": cores, "zones": zones, "lost": lost, "zones_lost": zones_lost,
            "models": chance.choice([2, 3, 4, 6, 9]), "plains": chance.choice([2, 3, 4]), "slots": chance.choice([4, 8, 24]),
            "cold": chance.choice([1.5, 3, 8, 32]),
        }  # fmt: skip

    def draw_losses(self, until: float) -> float:
        """Draws faults that take away machines with disks, one after the other, until a time in seconds.

        Returns the time at which the fleet has recovered from the last one.
        """
        chance, sizes, at = self.chance, self.sizes, 2.0
        spare_stores = sizes["stores"] - max(4, 2 * sizes["lost"] + 1)
        while at < until:
            target = chance.choice(["leader", "acked", "busiest", "store:0", "store:1", "core:0", "core:1"])
            second_target = chance.choice(["store:2", "core:2"]) if sizes["lost"] == 2 and chance.random() < 0.5 else ""
            span = round(chance.uniform(0.4, 4.0), 2)
            kind = chance.randrange(13)
            if kind < 3:
                verb = ("kill", "power", "wipe")[kind]
                self.lines.append(f"at {at:.2f} {verb} {target} {second_target} for {span}".replace("  ", " "))
            elif kind == 3:
                self.lines.append(f"at {at:.2f} freeze {target} for {span}")
            elif kind == 4:
                self.lines.append(
                    f"at {at:.2f} {chance.choice(['cut', 'cutone'])} {target} {chance.choice(['counted', 'daemons'])} for {span}"
                )
            elif kind == 5:
                self.lines.append(f"at {at:.2f} replace {target} for 1")
                span = 3.0
            elif kind == 6 and spare_stores > 0:
                then = chance.choice(["", " then wipe store:2", " then power store:2"]) if sizes["stores"] > 5 else ""
                self.lines.append(f"at {at:.2f} retire store:{chance.randrange(3)}{then} for 8")
                spare_stores -= 1
                span = 12.0
            elif kind == 7:
                moment = chance.choice(["lot.202", "lot.202", "changed.200"])
                verb = chance.choice(["wipe", "power", "kill"])
                role = "busiest" if moment == "lot.202" else chance.choice(["here", "leader"])
                if moment == "changed.200":
                    self.lines.append(f"at {at + 0.1:.2f} change timeout")
                # It may be that no job is accepted in that time: then nothing is struck, and the day does not fail for that.
                self.lines.append(f"maybe {moment} 1 from {at:.2f} within 3 {verb} {role} for {span}")
                span += 3.0
            elif kind == 8 and sizes["zones_lost"]:
                verb = chance.choice(["power", "kill", "cut", "freeze"])
                self.lines.append(f"at {at:.2f} zone {verb} {chance.randrange(sizes['zones'])} for {span}")
            elif kind == 9:
                self.lines.append(f"at {at:.2f} term {target} for 0.5")
                span = 9.0
            elif kind == 10:
                self.lines += [
                    f"at {at:.2f} race",
                    f"at {at + chance.choice([0.0, 0.002, 0.005, 0.02]):.3f} kill leader for {span}",
                ]
            elif kind == 11:
                self.lines.append(
                    f"at {at:.2f} {chance.choice(['cut', 'cutone'])} {target} {chance.choice(['store:2', 'core:2', 'store', 'core'])} for {span}"
                )
            else:
                self.lines.append(f"at {at:.2f} roll {chance.choice(['store', 'core'])} {chance.choice([8, 10])} 2")
                span = 19.0
            at += span + RECOVERY_S + chance.uniform(0.0, 3.0)
        return at

    def draw_silent_workers(self, span: float) -> None:
        """Draws workers that fall silent within answers, in series that may overlap."""
        for _ in range(self.chance.randrange(4)):
            at, worker = self.chance.uniform(0.5, span - 1), self.chance.randrange(3)
            word, share = self.chance.choice(["hang", "mute"]), self.chance.choice([0.1, 0.3, 0.6])
            length = round(self.chance.uniform(0.5, 5.0), 2)
            self.lines.append(f"at {at:.2f} fault worker:llm:{worker} {word} {share} for {length}")

    def draw_lost_answers(self, span: float) -> None:
        """Draws workers that lose answers to what they ran, with the connection left open or reset, in series."""
        for _ in range(self.chance.randrange(4)):
            at, worker = self.chance.uniform(0.5, span - 1), self.chance.randrange(3)
            word, share = self.chance.choice(["withheld", "lost"]), self.chance.choice([0.05, 0.3, 0.6])
            length = round(self.chance.uniform(0.5, 6.0), 2)
            self.lines.append(f"at {at:.2f} fault worker:llm:{worker} {word} {share} for {length}")

    def draw_repeated_answers(self, span: float) -> None:
        """Draws workers that answer twice, the second time late, and fail some requests meanwhile, in series."""
        for _ in range(self.chance.randrange(4)):
            at, worker = self.chance.uniform(0.5, span - 1), self.chance.randrange(3)
            length = round(self.chance.uniform(1.0, 8.0), 2)
            self.lines.append(
                f"at {at:.2f} fault worker:llm:{worker} repeat {self.chance.choice([0.3, 1])} for {length}"
            )
            if self.chance.random() < 0.6:
                word, share = self.chance.choice(["grey", "full"]), self.chance.choice([0.1, 0.3])
                self.lines.append(f"at {at:.2f} fault worker:llm:{worker} {word} {share} for {length}")

    def draw_other_faults(self, span: float) -> None:
        """Draws what may coincide with anything else: workers, edges, changes, evacuations, bursts, added machines."""
        chance, zones = self.chance, self.sizes["zones"]
        routes = 0
        for _ in range(chance.randrange(3, 11)):
            at = f"at {chance.uniform(0.5, span - 1):.2f}"
            length = round(chance.uniform(0.5, 5.0), 2)
            worker = f"worker:{chance.choice(['llm', 'llm', 'app'])}:{chance.randrange(3)}"
            kind = chance.randrange(16)
            if kind == 0:
                self.lines.append(f"{at} {chance.choice(['crash', 'dark'])} {worker} for {length}")
            elif kind == 1:
                misbehaviour = chance.choice(
                    ["cut", "lost", "junk", "surplus", "extra", "grey", "hang", "full", "sick", "dropidle"]
                )
                self.lines.append(f"{at} fault {worker} {misbehaviour} {chance.choice([0.1, 0.3, 0.6])} for {length}")
            elif kind == 2:
                self.lines.append(f"{at} cool {worker} for {length}")
            elif kind == 3:
                self.lines.append(f"{at} release {chance.choice(['llm', 'app'])} {chance.choice([0.4, 1, 2])}")
            elif kind == 4 and self.sizes["plains"] > 2 and not any(" reuse " in line for line in self.lines):
                # This service loses a worker for good, and must have some left.
                self.lines.append(f"{at} reuse worker:app:{chance.randrange(2)} llm")
            elif kind == 5:
                self.lines.append(
                    f"{at} {chance.choice(['kill', 'power', 'term'])} edge:{chance.randrange(8)} for {length}"
                )
            elif kind == 6:
                self.lines.append(f"{at} freeze edge:{chance.randrange(8)} for {length}")
            elif kind == 7:
                self.lines.append(
                    f"{at} {chance.choice(['cut', 'cutone'])} edge:{chance.randrange(8)} {chance.choice(['core', 'daemons', 'store'])} for {length}"
                )
            elif kind == 8:
                self.lines.append(f"{at} change {chance.choice(['timeout', 'move', 'move back', 'weights'])}")
            elif kind in (9, 10):
                routes += 1
                self.lines.append(f"{at} change {'drop' if routes % 3 == 0 else 'route'}")
            elif kind == 11:
                self.lines.append(f"{at} race")
            elif kind == 12:
                flaw = chance.choice(
                    [
                        "cut_short",
                        "unknown_service",
                        "same_place",
                        "no_weight",
                        "no_timeout",
                        "old_version",
                        "stale_match",
                    ]
                )
                self.lines.append(f"{at} invalid {flaw}")
            elif kind == 13:
                self.lines.append(f"{at} evac {chance.randrange(zones)} for {round(chance.uniform(2, 9), 2)}")
            elif kind == 14:
                self.lines.append(f"{at} burst {chance.choice([2, 3, 5])} for {length}")
            else:
                self.lines.append(f"{at} add {chance.choice(['edge', 'store', 'core'])} {chance.randrange(zones)}")
        if chance.random() < 0.15:
            self.lines.append(f"at {chance.uniform(1, span / 2):.2f} roll edge {chance.choice([0.5, 1, 2])}")
        if chance.random() < 0.15:
            self.lines.append(f"at {chance.uniform(1, span):.2f} seeds")


def random_day(seed: int) -> str:
    """Returns the text of a random scenario, which is always the same for a seed."""
    chance = random.Random(f"announced-{seed}")
    draw = Draw(chance)
    draw.draw_sizes()
    sizes = draw.sizes
    head = [
        f"# Random day {seed}.",
        "announced " + " ".join(f"{k} {v}" for k, v in sizes.items()),
        f"clients view {chance.choice([2, 6, 12])} order {chance.choice([1, 4, 8])} ask {chance.choice([3, 8, 16])} review {chance.choice([0, 1, 2])} "
        f"lots {chance.choice([0.3, 0.8, 1.5])}x{chance.choice([4, 8, 20])}",
    ]  # fmt: skip
    if chance.random() < 0.25:
        late = chance.sample(["core:0", "core:1", "core:2", "store:0", "store:1", "edge:0"], 2)
        # Of the machines with disks, only as many as may be lost start late.
        late = late[: 1 if sizes["lost"] == 1 else 2]
        head.append("late " + " ".join(f"{n} {chance.uniform(0.2, 5):.2f}" for n in late))
    if chance.random() < 0.3:
        head.append(
            f"bounds drainMs {chance.choice([1500, 2000, 3000])} applyMs {chance.choice([1500, 2000, 3000])} syncS {chance.choice([4.7, 5, 6])}"
        )
    end = draw.draw_losses(NOMINAL_DAY_S - 8)
    span = end + 1
    closing = chance.random() < 0.35
    if closing:
        how = chance.choice(["power_off_all", "kill_all", "wipe_after_ack", "wipe_after_ack dark"])
        draw.lines.append(f"at {end:.2f} closing {how} for {round(chance.uniform(0.5, 4), 2)}")
        draw.draw_other_faults(end - 1)
        span = end + 20
    else:
        draw.draw_other_faults(span)
    draw.draw_silent_workers(end - 1 if closing else span)
    draw.draw_lost_answers(end - 1 if closing else span)
    draw.draw_repeated_answers(end - 1 if closing else span)
    head += [f"run {span:.0f}", "settle 10"]
    expect = ["expect served >= 0.3" if closing else "expect served >= 0.5"]
    return "\n".join([*head, *sorted(draw.lines, key=fault_time), *expect]) + "\n"


def fault_time(line: str) -> float:
    """Returns the time of a scenario line, by which lines are sorted."""
    words = line.split()
    return float(words[words.index("from") + 1] if words[0] == "maybe" else words[1])

"""Random days of announced fleets, as the text of a scenario, so that a day that fails can be kept as a file.

Sizes go beyond the users' sites: 3 to 80 edges, 3 to 9 control machines, 3 to 14 stores, 2 to 6 zones, one or two
machines lost at once. What takes machines that count away stays within what may be lost, and has time to be made good
before the next; everything else may fall together.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

REST = 8.0  # seconds from the end of one loss to the next: `contactMs` and `syncS`
SPAN = 34.0


@dataclass
class Draw:
    """Invariant: at most `lost` machines that count are away at a time, but for a whole zone where that is borne."""

    chance: random.Random
    lines: list[str] = field(default_factory=list)
    sizes: dict[str, Any] = field(default_factory=dict)

    def draw_sizes(self) -> None:
        c = self.chance
        zones = c.choice([2, 3, 3, 4, 4, 4, 5, 6])
        lost = c.choice([1, 1, 1, 2])
        least = 3 if lost == 1 else 5
        cores = c.randint(least, 9)
        stores = c.randint(least, 14)
        edges = c.choice([*range(3, 13), *range(3, 13), 16, 24, 40, 80])
        # A zone may be lost where the others still have most of the core, and all copies but as many as may be lost.
        zones_lost = int(zones >= 3 and -(-cores // zones) * 2 < cores and -(-stores // zones) * 2 < stores)
        self.sizes = {
            "edges": edges, "stores": stores, "cores": cores, "zones": zones, "lost": lost, "zones_lost": zones_lost,
            "models": c.choice([2, 3, 4, 6, 9]), "plains": c.choice([2, 3, 4]), "slots": c.choice([4, 8, 24]),
            "cold": c.choice([1.5, 3, 8, 32]),
        }  # fmt: skip

    def losses(self, until: float) -> float:
        """Draws what takes counted machines away, one after the other; when the last is made good."""
        c, sizes, at = self.chance, self.sizes, 2.0
        spare_stores = sizes["stores"] - max(4, 2 * sizes["lost"] + 1)
        while at < until:
            who = c.choice(["leader", "acked", "busiest", "store:0", "store:1", "core:0", "core:1"])
            two = c.choice(["store:2", "core:2"]) if sizes["lost"] == 2 and c.random() < 0.5 else ""
            span = round(c.uniform(0.4, 4.0), 2)
            kind = c.randrange(13)
            if kind < 3:
                verb = ("kill", "power", "wipe")[kind]
                self.lines.append(f"at {at:.2f} {verb} {who} {two} for {span}".replace("  ", " "))
            elif kind == 3:
                self.lines.append(f"at {at:.2f} freeze {who} for {span}")
            elif kind == 4:
                self.lines.append(
                    f"at {at:.2f} {c.choice(['cut', 'cutone'])} {who} {c.choice(['counted', 'daemons'])} for {span}"
                )
            elif kind == 5:
                self.lines.append(f"at {at:.2f} replace {who} for 1")
                span = 3.0
            elif kind == 6 and spare_stores > 0:
                then = c.choice(["", " then wipe store:2", " then power store:2"]) if sizes["stores"] > 5 else ""
                self.lines.append(f"at {at:.2f} retire store:{c.randrange(3)}{then} for 8")
                spare_stores -= 1
                span = 12.0
            elif kind == 7:
                moment = c.choice(["lot.202", "lot.202", "changed.200"])
                verb = c.choice(["wipe", "power", "kill"])
                role = "busiest" if moment == "lot.202" else c.choice(["here", "leader"])
                if moment == "changed.200":
                    self.lines.append(f"at {at + 0.1:.2f} change timeout")
                # No lot may be taken in that time: then nothing is struck, which is no fault of the day.
                self.lines.append(f"maybe {moment} 1 from {at:.2f} within 3 {verb} {role} for {span}")
                span += 3.0
            elif kind == 8 and sizes["zones_lost"]:
                verb = c.choice(["power", "kill", "cut", "freeze"])
                self.lines.append(f"at {at:.2f} zone {verb} {c.randrange(sizes['zones'])} for {span}")
            elif kind == 9:
                self.lines.append(f"at {at:.2f} term {who} for 0.5")
                span = 9.0
            elif kind == 10:
                self.lines += [
                    f"at {at:.2f} race",
                    f"at {at + c.choice([0.0, 0.002, 0.005, 0.02]):.3f} kill leader for {span}",
                ]
            elif kind == 11:
                self.lines.append(
                    f"at {at:.2f} {c.choice(['cut', 'cutone'])} {who} {c.choice(['store:2', 'core:2', 'store', 'core'])} for {span}"
                )
            else:
                self.lines.append(f"at {at:.2f} roll {c.choice(['store', 'core'])} {c.choice([8, 10])} 2")
                span = 19.0
            at += span + REST + c.uniform(0.0, 3.0)
        return at

    def others(self, span: float) -> None:
        """What may fall together with anything: workers, edges, changes, evacuations, bursts, added machines."""
        c, zones = self.chance, self.sizes["zones"]
        routes = 0
        for _ in range(c.randrange(3, 11)):
            at = f"at {c.uniform(0.5, span - 1):.2f}"
            length = round(c.uniform(0.5, 5.0), 2)
            worker = f"worker:{c.choice(['llm', 'llm', 'app'])}:{c.randrange(3)}"
            kind = c.randrange(16)
            if kind == 0:
                self.lines.append(f"{at} {c.choice(['crash', 'dark'])} {worker} for {length}")
            elif kind == 1:
                word = c.choice(["cut", "lost", "junk", "surplus", "extra", "grey", "hang", "full", "sick", "dropidle"])
                self.lines.append(f"{at} fault {worker} {word} {c.choice([0.1, 0.3, 0.6])} for {length}")
            elif kind == 2:
                self.lines.append(f"{at} cool {worker} for {length}")
            elif kind == 3:
                self.lines.append(f"{at} release {c.choice(['llm', 'app'])} {c.choice([0.4, 1, 2])}")
            elif kind == 4 and self.sizes["plains"] > 2 and not any(" reuse " in line for line in self.lines):
                # One worker of this service is lost for good, and some are left.
                self.lines.append(f"{at} reuse worker:app:{c.randrange(2)} llm")
            elif kind == 5:
                self.lines.append(f"{at} {c.choice(['kill', 'power', 'term'])} edge:{c.randrange(8)} for {length}")
            elif kind == 6:
                self.lines.append(f"{at} freeze edge:{c.randrange(8)} for {length}")
            elif kind == 7:
                self.lines.append(
                    f"{at} {c.choice(['cut', 'cutone'])} edge:{c.randrange(8)} {c.choice(['core', 'daemons', 'store'])} for {length}"
                )
            elif kind == 8:
                self.lines.append(f"{at} change {c.choice(['timeout', 'move', 'move back', 'weights'])}")
            elif kind in (9, 10):
                routes += 1
                self.lines.append(f"{at} change {'drop' if routes % 3 == 0 else 'route'}")
            elif kind == 11:
                self.lines.append(f"{at} race")
            elif kind == 12:
                how = c.choice(
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
                self.lines.append(f"{at} invalid {how}")
            elif kind == 13:
                self.lines.append(f"{at} evac {c.randrange(zones)} for {round(c.uniform(2, 9), 2)}")
            elif kind == 14:
                self.lines.append(f"{at} burst {c.choice([2, 3, 5])} for {length}")
            else:
                self.lines.append(f"{at} add {c.choice(['edge', 'store', 'core'])} {c.randrange(zones)}")
        if c.random() < 0.15:
            self.lines.append(f"at {c.uniform(1, span / 2):.2f} roll edge {c.choice([0.5, 1, 2])}")
        if c.random() < 0.15:
            self.lines.append(f"at {c.uniform(1, span):.2f} seeds")


def random_day(seed: int) -> str:
    """The text of a scenario; the same for the same seed."""
    c = random.Random(f"announced-{seed}")
    d = Draw(c)
    d.draw_sizes()
    s = d.sizes
    head = [
        f"# Random day {seed}.",
        "announced " + " ".join(f"{k} {v}" for k, v in s.items()),
        f"clients view {c.choice([2, 6, 12])} order {c.choice([1, 4, 8])} ask {c.choice([3, 8, 16])} review {c.choice([0, 1, 2])} "
        f"lots {c.choice([0.3, 0.8, 1.5])}x{c.choice([4, 8, 20])}",
    ]  # fmt: skip
    if c.random() < 0.25:
        late = c.sample(["core:0", "core:1", "core:2", "store:0", "store:1", "edge:0"], 2)
        # Only as many as may be lost are late, among those that count.
        late = late[: 1 if s["lost"] == 1 else 2]
        head.append("late " + " ".join(f"{n} {c.uniform(0.2, 5):.2f}" for n in late))
    if c.random() < 0.3:
        head.append(
            f"bounds drainMs {c.choice([1500, 2000, 3000])} applyMs {c.choice([1500, 2000, 3000])} syncS {c.choice([4.7, 5, 6])}"
        )
    end = d.losses(SPAN - 8)
    span = end + 1
    closing = c.random() < 0.35
    if closing:
        how = c.choice(["power_off_all", "kill_all", "wipe_after_ack", "wipe_after_ack dark"])
        d.lines.append(f"at {end:.2f} closing {how} for {round(c.uniform(0.5, 4), 2)}")
        d.others(end - 1)
        span = end + 20
    else:
        d.others(span)
    head += [f"run {span:.0f}", "settle 10"]
    expect = ["expect served >= 0.3" if closing else "expect served >= 0.5"]
    return "\n".join([*head, *sorted(d.lines, key=when), *expect]) + "\n"


def when(line: str) -> float:
    words = line.split()
    return float(words[words.index("from") + 1] if words[0] == "maybe" else words[1])

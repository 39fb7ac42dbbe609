"""Workloads to compare policies with: sizes and mixes of announced fleets, and drawn ones that nobody has seen."""

from __future__ import annotations

import random
from dataclasses import replace

from sim.serving.engine import Engine, Failure
from sim.serving.request import Kind, Spread
from sim.serving.workload import Burst, Crash, Workload

SHORT = Kind(
    "short", 245.0, Spread(172, 0.4, 460), 80, Spread(543, 0.89, 2310), Spread(9.99, 0.7, 34), 0.2, 0.3, 4.0, 2.0, 0.6
)
LONG = Kind(
    "long", 45.0, Spread(13300, 0.7, 39900), 509, Spread(3720, 1.1, 33100), Spread(4.28, 1.4, 17), 0.3, 0.3, 3.0, 3.0,
    0.9,
)  # fmt: skip
ITEM = Kind(
    "item", 4.92, Spread(432, 0.4, 1080), 30, Spread(768, 0.6, 4370), Spread(24, 0.6, 52.8), 8.0, 9.0, 40.0, 2.3, 0.63,
    0.7, Spread(30, 0.6, 75),
)  # fmt: skip

# 36 workers of 12 slots behind 53 edges: slots are scarce, chunks are small.
NARROW = Workload("narrow", Engine(12, 24), 36, 53, (SHORT, LONG, ITEM), 30.0)
NARROW_QUIET = replace(
    NARROW, name="narrow-quiet",
    kinds=(replace(SHORT, rate=136.0), replace(LONG, rate=24.4), replace(ITEM, rate=2.1)),
)  # fmt: skip
NARROW_BUSY = replace(
    NARROW, name="narrow-busy",
    kinds=(replace(SHORT, rate=266.0), replace(LONG, rate=46.7), replace(ITEM, rate=6.0)),
    bursts=(Burst("item", 8.0, 3.0, 3.0), Burst("long", 16.0, 4.0, 1.5)),
)  # fmt: skip
NARROW_CRASH = replace(NARROW, name="narrow-crash", crashes=(Crash(0.17, 8.0, 4.5),))
NARROW_DARK = replace(NARROW, name="narrow-dark", crashes=(Crash(0.17, 8.0, 4.5, Failure.SILENT),))
NARROW_RESETS = replace(NARROW, name="narrow-resets", crashes=(Crash(0.12, 8.0, 6.9, Failure.RESETS),))
# 9 workers of 24 slots behind 8 edges: slots are plenty, a chunk holds streams up for long.
WIDE_ENGINE = Engine(24, 72, 0.00185, 9.67e-6, 5.08e-9, 128e3, 0.183e-9, 4096, 379_754, 16)
WIDE = Workload(
    "wide", WIDE_ENGINE, 9, 8,
    (
        replace(SHORT, rate=63.5, events=Spread(18, 0.7, 60), target=0.3, worth=3.0, late_worth=1.5),
        replace(LONG, rate=8.8, subjects=100, events=Spread(7, 1.0, 28), target=0.8, worth=2.0, late_worth=1.0),
        replace(ITEM, rate=0.97, subjects=10, events=Spread(42, 0.6, 90), target=10.0, items=Spread(40, 0.6, 100)),
    ),
)  # fmt: skip
MANY_EDGES = replace(
    WIDE, name="many-edges", workers=30, edges=76,
    kinds=(
        replace(WIDE.kinds[0], rate=216.0, pause=0.4, target=0.34),
        replace(WIDE.kinds[1], rate=29.9, pause=0.4, subjects=300),
        replace(WIDE.kinds[2], rate=3.0, pause=0.4),
    ),
)  # fmt: skip

PRESETS = {
    w.name: w for w in (NARROW, NARROW_QUIET, NARROW_BUSY, NARROW_CRASH, NARROW_DARK, NARROW_RESETS, WIDE, MANY_EDGES)
}


def drawn(seed: int) -> Workload:
    """A workload of its own sizes and mix: 3 to 160 edges, 4 to 200 workers, 4 to 64 slots, one kind to three."""
    chance = random.Random(f"workload/{seed}")
    workers, slots = chance.choice((4, 8, 16, 40, 100, 200)), chance.choice((4, 8, 12, 24, 64))
    engine = replace(chance.choice((NARROW.engine, WIDE_ENGINE)), slots=slots, queue=slots * 2)
    target = chance.uniform(0.1, 1.0)
    use = chance.uniform(0.3, 0.9)  # of the slots, by all kinds together
    shares = [chance.random() for _ in range(3)]
    kinds = []
    for kind, share, held in zip((SHORT, LONG, ITEM), shares, (0.45, 0.25, 30.0), strict=True):
        rate = use * workers * slots * share / sum(shares) / held
        rate = min(rate, workers * 3.0) if kind is LONG else rate
        subjects = max(2, int(kind.subjects * workers / 36))
        kinds.append(replace(kind, rate=rate, subjects=subjects, target=kind.target if kind.items else target))
    return Workload(f"drawn-{seed}", engine, workers, chance.choice((3, 8, 40, 160)), tuple(kinds), 15.0)

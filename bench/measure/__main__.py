"""Measurements on simulated time: counts and virtual seconds, the same on every machine.

python -m bench.measure stabilizer|sharing|bounds|size [--out docs/reports/X.md]
"""

from __future__ import annotations

import sys

import fire

from bench.measure.bounds import bounds
from bench.measure.sharing import sharing
from bench.measure.size import size
from bench.measure.stabilizer import stabilizer

if __name__ == "__main__":
    sys.exit(fire.Fire({"stabilizer": stabilizer, "sharing": sharing, "bounds": bounds, "size": size}))

"""All measurements, in processes of their own."""

from __future__ import annotations

import json
import multiprocessing
import sys
from collections.abc import Callable, Sequence
from typing import Any

from bench.capacity.measurements.backlog import backlog_row, running_row
from bench.capacity.measurements.configuration import manifest_row
from bench.capacity.measurements.fleet import fleet_row, program_row
from bench.capacity.measurements.jobs import lot_row
from bench.capacity.measurements.memory import memory_row
from bench.capacity.measurements.streams import stream_row
from bench.capacity.measurements.tenants import tenant_row
from bench.capacity.meter import Row

PROCESSES = 3
Rows = dict[str, list[Row]]  # by the name of the measurement
MEASUREMENTS: dict[str, Callable[..., Row]] = {
    "program": program_row,
    "fleet": fleet_row,
    "stream": stream_row,
    "lot": lot_row,
    "memory": memory_row,
    "manifest": manifest_row,
    "tenants": tenant_row,
    "backlog": backlog_row,
    "running": running_row,
}
# Measurements with their arguments, in the order in which they are started.
RUNS: list[tuple[str, tuple[Any, ...]]] = [
    *(("fleet", (16, n, 9)) for n in (690, 300, 100)),
    *(("fleet", (n, 20, 9)) for n in (128, 64, 32, 16)),
    *(("fleet", (16, 20, n)) for n in (600, 100)),
    *(("stream", (n,)) for n in (10, 40, 160)),
    *(("stream", (10, n)) for n in (100, 300, 690)),
    ("fleet", (64, 100, 100)),
    ("program", ()),
    *(("lot", (n,)) for n in (10, 50, 200, 1000)),
    *(("lot", (n, True)) for n in (1000, 3000, 12000)),
    *(("backlog", (n,)) for n in (0, 2000, 6000, 12000)),
    *(("running", (n,)) for n in (24, 96, 384, 1536)),
    *(("memory", (n,)) for n in (10, 100, 1000, 10000)),
    *(("manifest", (n, 9)) for n in (20, 100, 300, 690)),
    *(("manifest", (690, n)) for n in (100, 600, 2000, 6400)),
]


def run(what: tuple[str, tuple[Any, ...]]) -> tuple[str, Row]:
    """One measurement with its arguments; the row of one that failed says why."""
    name, args = what
    try:
        return name, MEASUREMENTS[name](*args)
    except Exception as error:
        return name, {"args": args, "failed": f"{type(error).__name__}: {error}"}


def gather(only: str | Sequence[str] = "") -> Rows:
    """The rows of all measurements, or of those that `only` names; each is also printed to stderr as it comes."""
    names = only.split(",") if isinstance(only, str) else list(only)  # fire reads a list with commas as one
    wanted = [what for what in RUNS if not only or what[0] in names]
    rows: Rows = {}
    with multiprocessing.get_context("spawn").Pool(PROCESSES, maxtasksperchild=1) as pool:
        for name, row in pool.imap(run, wanted, chunksize=1):
            print(name, json.dumps(row), file=sys.stderr, flush=True)
            rows.setdefault(name, []).append(row)
    return rows

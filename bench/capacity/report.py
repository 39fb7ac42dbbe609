"""The report on all measurements."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, replace

from bench.capacity.fleet_report import fleet_report
from bench.capacity.meter import Row
from bench.capacity.runs import Rows
from bench.capacity.slopes import growth, interpolate, slope
from bench.capacity.tables import table
from bench.capacity.target import Target

INTRODUCTION = [
    "# Capacity, measured", "",
    "Made by `python -m bench.capacity measure`: the product's daemons, composed as on the platform, many in one process on",
    "simulated time; five zones, five control machines, an eighth of the daemons stores (four at the least), the rest edges.",
    "Workers' heartbeats come every 1.2 s. Processor time is of the callbacks of one process of the fleet (thread clock); it holds the",
    "simulated network's own work and not the kernel's, and of Python's collector what objects made meanwhile cost. The machine was",
    "shared with other work.", "",
]  # fmt: skip
FAILED = "failed"  # key of a row whose measurement failed
ACCEPTED = 202
FEW_WORKERS = 8  # workers of the pool that streams of all sizes are measured with
FEW_EVENTS = 10  # events of the streams that pools of all sizes are measured with
JOB_HEADS = [
    "items", "lifted", "body", "status", "accepted_s", "whole_s", "accept_edge_ms", "accept_stores_ms", "accept_sent",
    "owner_ms", "sched_ms", "mirror_ms", "stores_ms", "stores_sent", "why",
]  # fmt: skip
JOB_SLOPES = (
    "accept_edge_ms", "accept_stores_ms", "owner_ms", "sched_ms", "mirror_ms", "stores_ms", "stores_sent",
)  # fmt: skip


@dataclass(frozen=True)
class SizeSeries:
    """A measurement at several sizes: the key of the size in its rows, and those of the values that get slopes."""

    name: str
    size_key: str
    title: str
    values: tuple[str, ...]


SIZE_SERIES = (
    SizeSeries("backlog", "waiting", "Waiting items", ("stores_cpu_ms", "memory", "sent")),
    SizeSeries("running", "running", "Running items, at the active scheduler", ("cpu_ms", "sent")),
    SizeSeries(
        "memory", "items", "A lot at an owner, and functions over all of it",
        ("record", "waiting", "ended", "fold_ms", "dump_ms", "packed_ms", "item_body_us", "count_ms"),
    ),
)  # fmt: skip


def report(rows: Rows) -> list[str]:
    """The lines of the report."""
    failed = [(name, row) for name, some in rows.items() for row in some if FAILED in row]
    done = {name: kept for name, some in rows.items() if (kept := [row for row in some if FAILED not in row])}
    target = Target()
    lines = list(INTRODUCTION)
    if failed:
        lines += ["Not measured, since the run failed:", ""]
        lines += [*(f"- {name}: {json.dumps(row)}" for name, row in failed), ""]
    if "fleet" in done:
        lines += fleet_report(done["fleet"])
    if "stream" in done:
        lines += _stream_lines(done["stream"], target)
    if "lot" in done:
        lines += _job_lines(done["lot"], target)
    for series in SIZE_SERIES:
        if series.name in done:
            lines += _series_lines(series, done[series.name])
    if "program" in done:
        resident = done["program"][0]["resident"]
        lines += [f"A process that has loaded the platform's program and does nothing: {resident} bytes resident.", ""]
    if "manifest" in done:
        lines += [
            "## Over the whole manifest, 360 machines",
            "",
            *_plain_table(list(done["manifest"][0]), done["manifest"]),
        ]
    return lines


def _plain_table(heads: Sequence[str], rows: Sequence[Row]) -> list[str]:
    return table(heads, [[row.get(head, "") for head in heads] for row in rows])


def _stream_lines(rows: Sequence[Row], target: Target) -> list[str]:
    line = slope([(row["events"], row["cpu_ms"]) for row in rows if row["workers"] == FEW_WORKERS])
    by_workers = [(float(row["workers"]), float(row["cpu_ms"])) for row in rows if row["events"] == FEW_EVENTS]
    pool = target.workers / target.models
    few = interpolate(by_workers, FEW_WORKERS)
    more, most = interpolate(by_workers, pool) - few, interpolate(by_workers, target.workers) - few
    at_pool = replace(line, base=line.base + more)
    requests = target.requests * at_pool.base
    cores = [
        ["requests alone", requests / 1e3],
        ["with an event a token", (requests + target.tokens * at_pool.each) / 1e3],
        ["with an event for 16 tokens", (requests + target.tokens / 16 * at_pool.each) / 1e3],
    ]
    return [
        "## Streams at an edge", "", "`cpu_ms`: of an edge, for one request.", "",
        *_plain_table(["events", "workers", "requests", "good", "cpu_ms"], rows),
        f"A request {line.base:.3f} ms, an event {line.each:.4f} ms (fit {line.fit:.3f}); a request more {more:.3f} ms where a pool has {pool:.0f} workers "
        f"({target.workers} workers, {target.models} models), {most:.3f} ms where one pool has all {target.workers}.", "",
        *table(["at the peak", "cores"], cores),
    ]  # fmt: skip


def _job_lines(rows: Sequence[Row], target: Target) -> list[str]:
    accepted = [row for row in rows if row["status"] == ACCEPTED]
    cells = []
    for what in JOB_SLOPES:
        line = slope([(row["items"], row[what]) for row in accepted])
        cells.append([what, line.base, line.each, f"{line.fit:.3f}", line.each * target.items])
    return [
        "## One lot, from acceptance to its last result", "",
        *_plain_table(JOB_HEADS, rows),
        *table(["what", "a lot", "an item", "fit", f"a second at {target.items:.0f} items a second"], cells),
    ]  # fmt: skip


def _series_lines(series: SizeSeries, rows: Sequence[Row]) -> list[str]:
    cells = []
    for value in series.values:
        points = [(row[series.size_key], row[value]) for row in rows]
        line = slope(points)
        cells.append([value, line.base, line.each, f"{line.fit:.3f}", growth(points)])
    heads = ["what", "base", f"each ({series.size_key})", "fit", "power between the two largest"]
    return [
        f"## {series.title}", "",
        *_plain_table([head for head in rows[0] if head != "verbs"], rows),
        *table(heads, cells),
    ]  # fmt: skip

"""The report on all measurements."""

from __future__ import annotations

import json
from dataclasses import replace

from bench.capacity.fleet_report import fleet_report
from bench.capacity.meter import Row
from bench.capacity.slopes import between, growth, slope
from bench.capacity.tables import table
from bench.capacity.target import Target


def lots_report(got: dict[str, list[Row]]) -> list[str]:
    t = Target()
    out: list[str] = []
    if rows := [r for r in got.get("lot", []) if "failed" not in r]:
        heads = ["items", "lifted", "body", "status", "accepted_s", "whole_s", "accept_edge_ms", "accept_stores_ms", "accept_sent", "owner_ms", "sched_ms", "mirror_ms", "stores_ms", "stores_sent", "why"]  # fmt: skip
        out += [
            "## One lot, from acceptance to its last result",
            "",
            *table(heads, [[r.get(h, "") for h in heads] for r in rows]),
        ]
        kept = [r for r in rows if r["status"] == 202]
        cells = []
        for what in (
            "accept_edge_ms",
            "accept_stores_ms",
            "owner_ms",
            "sched_ms",
            "mirror_ms",
            "stores_ms",
            "stores_sent",
        ):
            line = slope([(r["items"], r[what]) for r in kept])
            cells.append([what, line.base, line.each, f"{line.fit:.3f}", line.each * t.items])
        out += table(["what", "a lot", "an item", "fit", f"a second at {t.items:.0f} items a second"], cells)
    for name, x, title, values in (
        ("backlog", "waiting", "Waiting items", ("stores_cpu_ms", "memory", "sent")), ("running", "running", "Running items, at the active scheduler", ("cpu_ms", "sent")),
        ("memory", "items", "A lot at an owner, and functions over all of it", ("record", "waiting", "ended", "fold_ms", "dump_ms", "packed_ms", "item_body_us", "count_ms")),
    ):  # fmt: skip
        if rows := [r for r in got.get(name, []) if "failed" not in r]:
            heads = [h for h in rows[0] if h != "verbs"]
            out += [f"## {title}", "", *table(heads, [[r.get(h, "") for h in heads] for r in rows])]
            lines = {v: slope([(r[x], r[v]) for r in rows]) for v in values}
            powers = {v: growth([(r[x], r[v]) for r in rows]) for v in values}
            heads = ["what", "base", f"each ({x})", "fit", "power between the two largest"]
            out += table(heads, [[v, s.base, s.each, f"{s.fit:.3f}", powers[v]] for v, s in lines.items()])
    return out


def report(got: dict[str, list[Row]]) -> list[str]:
    t = Target()
    out = [
        "# Capacity, measured", "",
        "Made by `python -m bench.capacity measure`: the product's daemons, composed as on the platform, many in one process on",
        "simulated time; five zones, five control machines, an eighth of the daemons stores (four at the least), the rest edges.",
        "Workers' heartbeats come every 1.2 s. Processor time is of the callbacks of one process of the fleet (thread clock); it holds the",
        "simulated network's own work and not the kernel's, and of Python's collector what objects made meanwhile cost. The machine was",
        "shared with other work.", "",
    ]  # fmt: skip
    if failed := [(k, r) for k, rows in got.items() for r in rows if "failed" in r]:
        out += ["Not measured, since the run failed:", "", *(f"- {k}: {json.dumps(r)}" for k, r in failed), ""]
    if rows := [r for r in got.get("fleet", []) if "failed" not in r]:
        out += fleet_report(rows)
    if rows := got.get("stream", []):
        line = slope([(r["events"], r["cpu_ms"]) for r in rows if r["workers"] == 8])
        heads = ["events", "workers", "requests", "good", "cpu_ms"]
        out += [
            "## Streams at an edge",
            "",
            "`cpu_ms`: of an edge, for one request.",
            "",
            *table(heads, [[r[h] for h in heads] for r in rows]),
        ]
        pool = t.workers / t.models
        wide = [(float(r["workers"]), float(r["cpu_ms"])) for r in rows if r["events"] == 10]
        more, most = between(wide, pool) - between(wide, 8), between(wide, t.workers) - between(wide, 8)
        out += [f"A request {line.base:.3f} ms, an event {line.each:.4f} ms (fit {line.fit:.3f}); a request more {more:.3f} ms where a pool has {pool:.0f} workers "
                f"({t.workers} workers, {t.models} models), {most:.3f} ms where one pool has all {t.workers}.", ""]  # fmt: skip
        line = replace(line, base=line.base + more)
        both = t.requests * line.base
        out += table(["at the peak", "cores"], [["requests alone", both / 1e3], ["with an event a token", (both + t.tokens * line.each) / 1e3],
                                               ["with an event for 16 tokens", (both + t.tokens / 16 * line.each) / 1e3]])  # fmt: skip
    out += lots_report(got)
    if rows := [r for r in got.get("program", []) if "failed" not in r]:
        out += [
            f"A process that has loaded the platform's program and does nothing: {rows[0]['resident']} bytes resident.",
            "",
        ]
    if rows := [r for r in got.get("manifest", []) if "failed" not in r]:
        heads = list(rows[0])
        out += ["## Over the whole manifest, 360 machines", "", *table(heads, [[r[h] for h in heads] for r in rows])]
    return out

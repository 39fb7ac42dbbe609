"""What a job's record and view take of an owner's memory, and what functions over all of it cost."""

from __future__ import annotations

import gc
import json
import tracemalloc
from dataclasses import replace
from typing import Any, cast

from bench.capacity.meter import Row, timed
from postpass.batch.job import Job, JobView, job_digest, pack_items
from postpass.batch.job_service import JobService
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record
from sim.hollow import taken_lot


def memory_row(items: int) -> Row:
    """A lot at an owner: memory of its record and view, before and after its results, and what works on all of it cost."""
    raw = taken_lot(items)
    gc.collect()
    tracemalloc.start()
    body, bodies = pack_items(raw)
    record = json.dumps(body, separators=(",", ":")).encode() + b"\0" + bodies
    del body, bodies
    gc.collect()
    tracemalloc.reset_peak()
    start = tracemalloc.get_traced_memory()[0] - len(record)
    view = JobView()
    view.fold(Record(1, 1, "lot", record))
    gc.collect()
    waiting = tracemalloc.get_traced_memory()[0] - start
    results = [
        Record(
            2 + i, 1, "result", json.dumps({"id": raw["id"], "item": i, "status": "ok", "output": "y" * 300}).encode()
        )
        for i in range(items)
    ]
    for rec in results:
        view.fold(rec)
    gc.collect()
    ended = tracemalloc.get_traced_memory()[0] - start
    tracemalloc.stop()
    lot: Job = view.jobs[raw["id"]]
    waits = JobView()
    waits.fold(Record(1, 1, "lot", record))
    part, asked = Partition(0, "s1", "d", view=waits), JobService(cast(Any, None))
    open_lot = replace(lot, results={}, order=[], payload=b"x" * (100 * items))
    some = range(0, items, max(1, items // 20))
    each = timed(lambda: [open_lot.item_body(i) for i in some]) / len(some)
    return {"items": items, "record": len(record), "waiting": waiting, "ended": ended, "fold_ms": timed(lambda: JobView().fold(Record(1, 1, "lot", record))) * 1e3,
            "dump_ms": timed(view.dump) * 1e3, "digest_ms": timed(lambda: job_digest(lot.body | {"sum": "x"})) * 1e3, "packed_ms": timed(lambda: pack_items(raw)) * 1e3,
            "item_body_us": each * 1e6, "count_ms": timed(lambda: asked.quota.count(part, "r-batch")) * 1e3}  # fmt: skip

"""What a job's record and view take of an owner's memory, and what functions over all of it cost."""

from __future__ import annotations

import gc
import json
import tracemalloc
from dataclasses import dataclass, replace
from typing import Any, cast

from bench.capacity.meter import Row, timed
from postpass.batch.job import Job, JobView, job_digest, pack_items
from postpass.batch.job_service import JobService
from postpass.batch.messages import BudgetKey
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record
from sim.hollow import taken_lot

OUTPUT = "y" * 300  # of each item
ITEM_BYTES = 100
SAMPLED_ITEMS = 20


def memory_row(items: int) -> Row:
    """A job at an owner: memory of its record and view, before and after its results, and the processor time of the
    functions that work on all of it."""
    raw = taken_lot(items)
    traced = _trace(raw, items)
    return {"items": items} | traced.as_row() | _function_times(raw, items, traced)


@dataclass(frozen=True)
class TracedJob:
    """A job's record and the view of it with all results, and the bytes that the view took before and after those."""

    record: bytes
    view: JobView
    waiting: int
    ended: int

    def as_row(self) -> Row:
        """As the report reads it."""
        return {"record": len(self.record), "waiting": self.waiting, "ended": self.ended}


def _trace(raw: dict[str, Any], items: int) -> TracedJob:
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
    results = [_result(raw["id"], i) for i in range(items)]
    for result in results:
        view.fold(result)
    gc.collect()
    ended = tracemalloc.get_traced_memory()[0] - start
    tracemalloc.stop()
    return TracedJob(record, view, waiting, ended)


def _result(job: str, item: int) -> Record:
    body = {"id": job, "item": item, "status": "ok", "output": OUTPUT}
    return Record(2 + item, 1, "result", json.dumps(body).encode())


def _function_times(raw: dict[str, Any], items: int, traced: TracedJob) -> Row:
    record, view = traced.record, traced.view
    job: Job = view.jobs[raw["id"]]
    waiting = JobView()
    waiting.fold(Record(1, 1, "lot", record))
    partition = Partition(0, "s1", "d", view=waiting)
    service = JobService(cast(Any, None))  # its quota needs no store
    open_job = replace(job, results={}, order=[], payload=b"x" * (ITEM_BYTES * items))
    sample = range(0, items, max(1, items // SAMPLED_ITEMS))
    item_body = timed(lambda: [open_job.item_body(i) for i in sample]) / len(sample)
    return {
        "fold_ms": timed(lambda: JobView().fold(Record(1, 1, "lot", record))) * 1e3,
        "dump_ms": timed(view.dump) * 1e3,
        "digest_ms": timed(lambda: job_digest(job.body | {"sum": "x"})) * 1e3,
        "packed_ms": timed(lambda: pack_items(raw)) * 1e3,
        "item_body_us": item_body * 1e6,
        "count_ms": timed(lambda: service.quota.count(partition, BudgetKey("r-batch"))) * 1e3,
    }

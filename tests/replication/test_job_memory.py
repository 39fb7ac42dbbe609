"""Tests of the memory of open jobs: what counts, and when a store accepts no more."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from postpass.batch.job import Job, JobResult
from postpass.configuration.settings import Settings
from postpass.replication.job_memory import ITEM_BYTES, JobMemory, memory_of

PAYLOAD = b"p" * 5000


def job(job_id: str = "j", items: int = 2) -> Job:
    body = {"id": job_id, "route": "r", "items": [{"id": f"{i}", "size": 10} for i in range(items)]}
    return Job(job_id, 1, body, "digest", payload=PAYLOAD)


def job_memory(jobs: list[Job], memory_bytes: int) -> JobMemory:
    settings = Settings("s", "a", "127.0.0.1:1", "127.0.0.1:2", ("127.0.0.1:1",), memory_bytes=memory_bytes)
    partition = SimpleNamespace(view=SimpleNamespace(jobs={job.id: job for job in jobs}))
    table: Any = SimpleNamespace(settings=settings, partitions={0: partition})
    return JobMemory(table)


def test_open_jobs_count_with_their_items_until_they_are_complete_or_ended() -> None:
    open_job, complete, ended = job(), job(), job()
    complete.order = [0, 1]
    complete.results = dict.fromkeys(complete.order, JobResult(2, "done", "text"))
    ended.end(3)
    assert [memory_of(j) for j in (open_job, complete, ended)] == [len(PAYLOAD) + 2 * ITEM_BYTES, 0, 0]


def test_a_job_of_texts_counts_them() -> None:
    texts = Job("t", 1, {"id": "t", "class": "c", "items": ["a" * 100, "b" * 50]}, "digest")
    assert memory_of(texts) == 150 + 2 * ITEM_BYTES


def test_there_is_room_until_the_share_is_taken_and_again_once_a_job_is_done() -> None:
    async def main() -> None:
        jobs = [job("a"), job("b")]
        size = memory_of(jobs[0])
        memory = job_memory(jobs, size * 3 * 6)
        assert memory.has_room(size) and not memory.has_room(size + 1)
        memory.add(size + 1)
        assert not memory.has_room()
        jobs[0].end(5)
        memory.measured_at = -1.0
        assert memory.has_room(size * 2)

    asyncio.run(main())

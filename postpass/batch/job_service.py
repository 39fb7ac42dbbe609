"""The owner's side of jobs that come by a route: accepting under the route's quota, reading, ending, expiry."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from postpass.batch.background import spawn
from postpass.batch.job import Job, JobState, budget_key_of, job_digest, pack_items
from postpass.batch.messages import ItemStatus, ResultRow, ResultsRequest, ResultsResponse
from postpass.batch.partition_access import PartitionAccess
from postpass.batch.quota_service import QuotaService
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import CLASH, FULL, LACK, MOVED, SLOW, Fault, FaultError

PAGE_BYTES = 900_000  # of texts in one page of results
PAGE_ITEMS = 500
ROW_BYTES = 128  # of a row of a page, beside its text
DEFAULT_ACCEPT_S = 5.0  # seconds that an edge waits for a job to be kept
DEFAULT_RETENTION_S = 3600.0
RETENTION_SLACK = 1.1  # a job stays so much longer than its retention


@dataclass(eq=False)
class JobService:
    """Takes and shows the jobs of routes in the partitions that are owned here.

    Invariants: a job is sequenced only under a grant of the holder of its budget; one task at a time tries to
    take a job, and all that send it share it.
    """

    store: PartitionAccess
    taking: dict[tuple[int, str], asyncio.Task[Fault | None]] = field(default_factory=dict)  # (partition, job)
    first_seen: dict[tuple[int, int, str], float] = field(default_factory=dict)  # (partition, epoch, job) -> loop time

    def __post_init__(self) -> None:
        self.quota = QuotaService(self.store)

    def handlers(self) -> dict[str, Any]:
        """The verbs of peers that are answered here."""
        return {
            "accept": self.on_accept, "results": self.on_results, "item": self.on_item,
            "reserve": self.quota.on_reserve, "waiting": self.quota.on_waiting,
        }  # fmt: skip

    def forget(self, partition: int) -> None:
        """A new ownership begins: nothing of the one before counts."""
        self.quota.forget(partition)
        for key in [key for key in self.first_seen if key[0] == partition]:
            del self.first_seen[key]

    def report(self) -> None:
        """Tells the holders of budgets what came to an end here; once a heartbeat."""
        self.quota.report()

    def failed(self, step: str, why: str, code: int) -> Err[Fault]:
        """A fault of this store."""
        return Err(Fault(step, self.store.settings.name, why, code))

    # --- accepting
    async def on_accept(self, body: Body) -> PeerResponse:
        """Verb `accept`: takes a job, and answers that it is kept only once it is covered.

        Refused (CROWD, FULL) only if nothing was sequenced and nothing that was sent here before may still be; CLASH if
        another job has the id; otherwise unknown (SLOW).
        """
        got = self.store.owned_partition(body["part"], "accept")
        if isinstance(got, Err):
            return got
        partition, (job, payload) = got.unwrap(), pack_items(body["lot"])
        limit = min(float(body.get("wait", DEFAULT_ACCEPT_S)), self.store.settings.bounds.recover)
        if job["id"] not in partition.view.jobs:
            refused = await self.take_once(partition, job, payload, limit)
            if refused is not None:
                return Err(refused)
        kept = partition.view.jobs.get(job["id"])
        if kept is None:
            return self.failed("accept", "not known yet", SLOW)
        if kept.digest != job_digest(job) and not self.is_the_same(kept, body["lot"]):
            return self.failed("accept", "a lot with this id and other content is here", CLASH)
        if await partition.wait(kept.seq, "", limit):
            self.wake(partition)
            return Ok({"id": job["id"], "state": "kept"})
        awaited = ", ".join(self.store.members_awaited(partition))
        return self.failed("accept", f"not covered yet, without the word of {awaited or 'nobody'}", SLOW)

    def is_the_same(self, kept: Job, job: Body) -> bool:
        """Is this the job that is kept, but for the name that its route has now, and for its client's name?

        A client that showed no key when the job was kept, or needs none now, has no name, and may be any; two names
        that differ are two clients.
        """
        if "route" not in kept.body:
            return False
        now_named, then_named = job.get("caller", ""), kept.body.get("caller", "")
        if now_named and then_named and now_named != then_named:
            return False
        names = {key: value for key, value in kept.body.items() if key in ("route", "caller")}
        content = {key: value for key, value in job.items() if key not in ("route", "caller")}
        again, _ = pack_items(names | content)
        return kept.digest == job_digest(again)

    async def take_once(self, partition: Partition, job: Body, payload: bytes, limit: float) -> Fault | None:
        """Takes a job, or waits for the task that does so already, for `limit` seconds at the longest."""
        key = (partition.id, job["id"])
        task = self.taking.get(key)
        if task is None:
            task = self.taking[key] = asyncio.create_task(self.take(partition, partition.epoch, job, payload, limit))
            task.add_done_callback(lambda _: self.taking.pop(key, None))
        done, _ = await asyncio.wait([task], timeout=limit)
        return task.result() if done else Fault("accept", self.store.settings.name, "not known yet", SLOW)

    async def take(self, partition: Partition, epoch: int, job: Body, payload: bytes, limit: float) -> Fault | None:
        """Sequences a job once its tokens are granted, if this store still owns the partition then; None if it did."""
        flaw = self.store.rejection(partition)
        if flaw is not None:
            return flaw
        tokens, key = sum(item["tokens"] for item in job["items"]), budget_key_of(job)
        pending = self.quota.pending_of(partition.id)
        pending[key] += tokens
        try:
            refused = await self.quota.acquire(partition, key, pending, tokens, limit)
            if refused is not None:
                return refused
            if partition.epoch != epoch:
                return Fault("accept", self.store.settings.name, "not the owner any more", MOVED)
            return self.sequence(partition, job, payload)
        finally:
            pending[key] -= tokens

    def sequence(self, partition: Partition, job: Body, payload: bytes) -> Fault | None:
        """Puts a job into the partition's records; FULL if the disk won't take it."""
        # Where its items may go is up to this revision of the configuration or a later one, never to one before.
        since = max(int(job.get("since", 0)), self.store.configuration_view.revision)
        try:
            self.store.append(partition, "lot", job | {"since": since}, vital=False, raw=payload)
        except FaultError as stop:
            fault = stop.fault
            return fault if fault.code == FULL else Fault("accept", self.store.settings.name, fault.why, SLOW)
        return None

    def wake(self, partition: Partition) -> None:
        """Tells the scheduler that there is something to take."""
        store = self.store
        name = store.owner_states[partition.id].scheduler
        address = store.configuration_view.addr(name) if name else ""
        if address:
            spawn(
                store.background_tasks,
                store.peer_links.request(address, "wake", {"part": partition.id}, store.settings.bounds.beat),
            )

    # --- reading
    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """The partition and the job that a request names; LACK if the job did not come by a route."""
        got = await self.store.read(body, step)
        if isinstance(got, Ok) and "route" not in got.unwrap()[1].body:
            return self.failed(step, "no such lot", LACK)
        return got

    async def on_results(self, body: Body) -> PeerResponse:
        """Verb `results`: covered results from a position on, held until there is one."""
        request = ResultsRequest.from_json(body)
        until = now() + request.hold_s
        while True:
            got = await self.read(body, "results")
            if isinstance(got, Err):
                return got
            partition, job = got.unwrap()
            rows, start = self.covered_rows(partition, job, request.start), request.start
            if rows or now() >= until or job.state != JobState.OPEN or start >= job.size:
                return Ok(ResultsResponse(job.size, rows, start + len(rows)).as_json())
            # Until the next one is covered; then it is read anew, and confirmed anew.
            seq = job.results[job.order[start]].seq if len(job.order) > start else partition.record_log.last + 1
            await partition.wait(seq, "", max(0.0, until - now()))

    def covered_rows(self, partition: Partition, job: Job, start: int) -> list[ResultRow]:
        """Covered results from a position on, as many as a page takes."""
        rows: list[ResultRow] = []
        size = 0
        for position in job.order[start : start + PAGE_ITEMS]:
            result = job.results[position]
            size += len(result.output) + ROW_BYTES
            if result.seq > partition.covered or (rows and size > PAGE_BYTES):
                break
            rows.append({"id": job.body["items"][position]["id"], "state": result.status, "text": result.output})
        return rows

    async def on_item(self, body: Body) -> PeerResponse:
        """Verb `item`: the body of an item that isn't listed yet, in base64; LACK if there is none that waits."""
        got = await self.read(body, "item")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        ids = [item["id"] for item in job.body["items"]]
        position = ids.index(body["item"]) if body["item"] in ids else -1
        listed = position in job.results and job.results[position].seq <= partition.covered
        if position < 0 or listed or job.state == JobState.ENDED:
            return self.failed("item", "no such item that waits", LACK)
        found = job.item_body(position)
        if found is None:
            # The last result is not covered yet.
            return self.failed("item", "not known yet", SLOW)
        return Ok({"body": base64.b64encode(found).decode()})

    # --- time
    def may_leave(self, partition: Partition, job: Job) -> bool:
        """May the job leave? Gives up what has expired, or whose route a configuration since its 202 has no more.

        Times count from when this owner saw the job first: later than it was sent, never earlier, whatever the wall
        clocks do.
        """
        store = self.store
        age = now() - self.first_seen.setdefault((partition.id, partition.epoch, job.id), now())
        if job.complete or job.state == JobState.ENDED:
            return age > self.retention() * RETENTION_SLACK
        known = store.configuration_view.revision >= job.body.get("since", 0)
        gone = known and self.quota.route(job.body["route"]) is None
        if (gone or age > job.body["expire"]) and job.seq <= partition.covered:
            self.abandon(partition, job)
        return False

    def retention(self) -> float:
        """Seconds that a job stays once it is complete or ended."""
        configuration = self.store.configuration_view.manifest
        keep = self.store.settings.bounds.keep
        return keep or (configuration.get("retention", DEFAULT_RETENTION_S) if configuration else DEFAULT_RETENTION_S)

    def abandon(self, partition: Partition, job: Job) -> None:
        """Gives up all items that have no result."""
        for position in range(job.size):
            if position not in job.results:
                status = str(ItemStatus.ABANDONED)
                self.store.append(partition, "result", {"id": job.id, "item": position, "status": status, "output": ""})

"""The owner's side of jobs that come by a route: accepting them under the route's quota, reading them, and expiry.

A record is *covered* once the members that have acknowledged it satisfy the partition's stability predicate: it is then
replicated durably. Keys and texts of messages call a job a `lot`.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from postpass.batch.abandonment import AbandonCause, log_abandoned
from postpass.batch.background import spawn
from postpass.batch.job import Job, JobState, budget_key_of, job_digest, pack_items
from postpass.batch.messages import ItemStatus, ResultRow, ResultsRequest, ResultsResponse
from postpass.batch.partition_access import PartitionAccess
from postpass.batch.quota_service import QuotaService
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.response_budget import ResponseBudget
from postpass.runtime.environment import now
from postpass.runtime.errors import CONFLICT, NO_SPACE, NOT_FOUND, NOT_RESPONSIBLE, TIMED_OUT, Fault, FaultError

PAGE_BYTES = 900_000  # bytes of text in one page of results
PAGE_ITEMS = 500  # most results on one page
ROW_BYTES = 128  # bytes that a row of a page takes beside its text
DEFAULT_ACCEPT_S = 5.0  # seconds that an edge waits for a job to be covered
DEFAULT_RETENTION_S = 3600.0  # unless the configuration has another
RETENTION_SLACK = 1.1  # a job stays this many times as long as its retention


@dataclass(eq=False)
class JobService:
    """Accepts and serves the jobs of routes in the partitions that are owned here.

    Invariants: a job is appended to the log (sequenced) only after the holder of its budget has granted its tokens; one
    task at a time tries to accept a job, and all requests that submit the same job wait for that task.
    """

    store: PartitionAccess
    accept_tasks: dict[tuple[int, str], asyncio.Task[Fault | None]] = field(default_factory=dict)  # (partition, job)
    first_seen: dict[tuple[int, int, str], float] = field(default_factory=dict)  # (partition, epoch, job) -> loop time

    def __post_init__(self) -> None:
        self.quota = QuotaService(self.store)

    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of the verbs that this service answers."""
        return {
            "accept": self.on_accept, "results": self.on_results, "item": self.on_item,
            "reserve": self.quota.on_reserve, "waiting": self.quota.on_waiting,
        }  # fmt: skip

    def forget(self, partition: int) -> None:
        """Drops the state of a partition when a new ownership begins: nothing from the one before is valid."""
        self.quota.forget(partition)
        for key in [key for key in self.first_seen if key[0] == partition]:
            del self.first_seen[key]

    def report(self) -> None:
        """Reports to the holders of budgets which tokens no longer wait here; called once a heartbeat."""
        self.quota.report()

    def failure(self, step: str, why: str, code: int) -> Err[Fault]:
        """Returns a fault in the name of this store."""
        return Err(Fault(step, self.store.settings.name, why, code))

    # --- accepting
    async def on_accept(self, body: Body) -> PeerResponse:
        """Verb `accept`: accepts a job, and responds that it is kept only once its record is covered.

        Refuses the job (TOO_MANY_REQUESTS, NO_SPACE) only if nothing was sequenced, and no earlier request for it can still be
        sequenced; responds CONFLICT if another job has the id; otherwise the outcome is unknown (TIMED_OUT).
        """
        lookup = self.store.owned_partition(body["part"], "accept")
        if isinstance(lookup, Err):
            return lookup
        partition, (job, payload) = lookup.unwrap(), pack_items(body["lot"])
        limit = min(float(body.get("wait", DEFAULT_ACCEPT_S)), self.store.settings.bounds.recover)
        if job["id"] not in partition.view.jobs:
            refusal = await self.accept_once(partition, job, payload, limit)
            if refusal is not None:
                return Err(refusal)
        existing = partition.view.jobs.get(job["id"])
        if existing is None:
            return self.failure("accept", "not known yet", TIMED_OUT)
        if existing.digest != job_digest(job) and not self.has_same_content(existing, body["lot"]):
            return self.failure("accept", "a lot with this id and other content is here", CONFLICT)
        if await partition.wait(existing.seq, "", limit):
            self.notify_scheduler(partition)
            return Ok({"id": job["id"], "state": "kept"})
        missing_members = ", ".join(self.store.members_awaited(partition))
        return self.failure("accept", f"not covered yet, without the word of {missing_members or 'nobody'}", TIMED_OUT)

    def has_same_content(self, existing: Job, job: Body) -> bool:
        """Returns whether this is the existing job, apart from the names of its route and its client.

        The route may have been renamed since. A client that showed no key when the job was accepted, or needs none now,
        has no name and may be any client; two names that differ are two clients.
        """
        if "route" not in existing.body:
            return False
        client_now, client_then = job.get("caller", ""), existing.body.get("caller", "")
        if client_now and client_then and client_now != client_then:
            return False
        names = {key: value for key, value in existing.body.items() if key in ("route", "caller")}
        content = {key: value for key, value in job.items() if key not in ("route", "caller")}
        resubmitted, _ = pack_items(names | content)
        return existing.digest == job_digest(resubmitted)

    async def accept_once(self, partition: Partition, job: Body, payload: bytes, limit: float) -> Fault | None:
        """Accepts a job, or waits for the task already doing so, for at most `limit` seconds; None on success."""
        key = (partition.id, job["id"])
        task = self.accept_tasks.get(key)
        if task is None:
            task = self.accept_tasks[key] = asyncio.create_task(
                self.accept_job(partition, partition.epoch, job, payload, limit)
            )
            task.add_done_callback(lambda _: self.accept_tasks.pop(key, None))
        done, _ = await asyncio.wait([task], timeout=limit)
        return task.result() if done else Fault("accept", self.store.settings.name, "not known yet", TIMED_OUT)

    async def accept_job(
        self, partition: Partition, epoch: int, job: Body, payload: bytes, limit: float
    ) -> Fault | None:
        """Appends a job once its tokens are granted, if this store then still owns the partition; None on success."""
        fault = self.store.rejection(partition)
        if fault is not None:
            return fault
        tokens, key = sum(item["tokens"] for item in job["items"]), budget_key_of(job)
        pending = self.quota.pending_of(partition.id)
        pending[key] += tokens
        try:
            refusal = await self.quota.acquire(partition, key, pending, tokens, limit)
            if refusal is not None:
                return refusal
            if partition.epoch != epoch:
                return Fault("accept", self.store.settings.name, "not the owner any more", NOT_RESPONSIBLE)
            return self.append_job(partition, job, payload)
        finally:
            pending[key] -= tokens

    def append_job(self, partition: Partition, job: Body, payload: bytes) -> Fault | None:
        """Appends a job to the partition's log; None on success, NO_SPACE if the disk can't store it."""
        # Its items may be placed only by this revision of the configuration or a later one, never by an earlier one.
        since = max(int(job.get("since", 0)), self.store.configuration_view.revision)
        try:
            self.store.append(partition, "lot", job | {"since": since}, vital=False, raw=payload)
        except FaultError as error:
            fault = error.fault
            return fault if fault.code == NO_SPACE else Fault("accept", self.store.settings.name, fault.why, TIMED_OUT)
        return None

    def notify_scheduler(self, partition: Partition) -> None:
        """Notifies the scheduler that the partition has items to lease."""
        store = self.store
        name = store.owner_states[partition.id].scheduler
        address = store.configuration_view.addr(name) if name else ""
        if address:
            spawn(
                store.background_tasks,
                store.peer_links.request(
                    address, "wake", {"part": partition.id}, store.settings.bounds.heartbeat_interval
                ),
            )

    # --- reading
    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """Returns the partition and the job that a request names; NOT_FOUND if the job did not come by a route."""
        lookup = await self.store.read(body, step)
        if isinstance(lookup, Ok) and "route" not in lookup.unwrap()[1].body:
            return self.failure(step, "no such lot", NOT_FOUND)
        return lookup

    async def on_results(self, body: Body) -> PeerResponse:
        """Verb `results`: responds with covered results from a position on; a long poll that waits for one."""
        request = ResultsRequest.from_json(body)
        deadline = now() + request.hold_s
        while True:
            lookup = await self.read(body, "results")
            if isinstance(lookup, Err):
                return lookup
            partition, job = lookup.unwrap()
            rows, start = self.covered_rows(partition, job, request.start), request.start
            if rows or now() >= deadline or job.state != JobState.OPEN or start >= job.size:
                return Ok(ResultsResponse(job.size, rows, start + len(rows)).as_json())
            # Wait until the next result is covered; then the job is read again, which confirms ownership again.
            seq = job.results[job.order[start]].seq if len(job.order) > start else partition.record_log.last + 1
            await partition.wait(seq, "", max(0.0, deadline - now()))

    def covered_rows(self, partition: Partition, job: Job, start: int) -> list[ResultRow]:
        """Returns covered results from a position on, as many as fit on a page."""
        rows: list[ResultRow] = []
        budget = ResponseBudget(PAGE_BYTES)
        for position in job.order[start : start + PAGE_ITEMS]:
            result = job.results[position]
            if result.seq > partition.covered or not budget.accept(len(result.output) + ROW_BYTES):
                break
            rows.append({"id": job.body["items"][position]["id"], "state": result.status, "text": result.output})
        return rows

    async def on_item(self, body: Body) -> PeerResponse:
        """Verb `item`: responds with the base64 body of an item without a covered result; NOT_FOUND if there is none."""
        lookup = await self.read(body, "item")
        if isinstance(lookup, Err):
            return lookup
        partition, job = lookup.unwrap()
        ids = [item["id"] for item in job.body["items"]]
        position = ids.index(body["item"]) if body["item"] in ids else -1
        listed = position in job.results and job.results[position].seq <= partition.covered
        if position < 0 or listed or job.state == JobState.ENDED:
            return self.failure("item", "no such item that waits", NOT_FOUND)
        item_bytes = job.item_body(position)
        if item_bytes is None:
            # The bodies are released, since all results are there, but the last one is not covered yet.
            return self.failure("item", "not known yet", TIMED_OUT)
        return Ok({"body": base64.b64encode(item_bytes).decode()})

    # --- expiry and retention
    def may_be_dropped(self, partition: Partition, job: Job) -> bool:
        """Returns whether the job's retention has passed.

        Abandons the job's items if it has expired, or if its route is missing from a configuration that is as new as
        the one under which the client got its 202, or newer. Times count from when this owner first saw the job: that
        is later than the job was sent, never earlier, whatever the wall clocks do.
        """
        store = self.store
        age = now() - self.first_seen.setdefault((partition.id, partition.epoch, job.id), now())
        if job.complete or job.state == JobState.ENDED:
            return age > self.retention() * RETENTION_SLACK
        revision_known = store.configuration_view.revision >= job.body.get("since", 0)
        route_removed = revision_known and self.quota.route(job.body["route"]) is None
        if (route_removed or age > job.body["expire"]) and job.seq <= partition.covered:
            self.abandon(partition, job, AbandonCause.ROUTE_REMOVED if route_removed else AbandonCause.EXPIRED)
        return False

    def retention(self) -> float:
        """Returns the seconds for which a job stays once it is complete or ended."""
        configuration = self.store.configuration_view.manifest
        override = self.store.settings.bounds.keep
        return override or (
            configuration.get("retention", DEFAULT_RETENTION_S) if configuration else DEFAULT_RETENTION_S
        )

    def abandon(self, partition: Partition, job: Job, cause: AbandonCause) -> None:
        """Records all items that have no result as abandoned."""
        log_abandoned(self.store.settings.name, job, job.size - len(job.results), cause)
        for position in range(job.size):
            if position not in job.results:
                status = str(ItemStatus.ABANDONED)
                self.store.append(partition, "result", {"id": job.id, "item": position, "status": status, "output": ""})

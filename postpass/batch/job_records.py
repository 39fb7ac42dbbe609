"""The owner's side of jobs: accepting jobs of classes, reading and ending any job; and claims of requests.

A record is *covered* once the members that have acknowledged it satisfy the stability predicate, which says whose
acknowledgements make a record durable. Keys and texts of messages call a job a `lot`, and a client a `caller`.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from postpass.batch.job import Job, JobState, job_digest, results_page
from postpass.batch.messages import ItemStatus
from postpass.replication.job_memory import JobMemory
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.errors import CONFLICT, NO_SPACE, NOT_FOUND, REJECTED, TIMED_OUT, Fault, FaultError

DEFAULT_SUBMIT_S = 5.0  # seconds that an edge waits until a job, or its end, is covered
DEFAULT_CLAIM_S = 3.0  # seconds that an edge waits until a claim is covered
PAGE_ITEMS = 500  # most results on one page


@dataclass(eq=False)
class JobRecords:
    """Handles requests about the jobs of partitions that are owned here; ownership is confirmed before each read."""

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck
    memory: JobMemory

    def failure(self, step: str, why: str, code: int) -> Err[Fault]:
        """Returns a fault in the name of this store."""
        return Err(Fault(step, self.table.settings.name, why, code))

    def class_predicate(self, name: str) -> str:
        """Returns the stability predicate that a class requires beyond the partition's own; empty if none."""
        configuration = self.table.configuration_view.manifest
        if configuration is None or name not in configuration["classes"]:
            return ""
        return configuration["classes"][name].get("predicate", "")

    # --- accepting
    async def on_submit(self, body: Body) -> PeerResponse:
        """Verb `submit`: accepts a job, and responds `kept` only once its record is covered.

        Refuses the job only if nothing was sequenced, or once the record of a rejection, which takes precedence over
        the job, is itself covered; responds CONFLICT if another job has the id; otherwise the outcome is unknown
        (TIMED_OUT).
        """
        job = body["lot"]
        lookup = self.leadership.owned_partition(body["part"], "submit")
        if isinstance(lookup, Err):
            return lookup
        partition = lookup.unwrap()
        limit = min(float(body.get("wait", DEFAULT_SUBMIT_S)), self.table.settings.bounds.recover)
        if job["id"] not in partition.view.jobs and job["id"] not in partition.view.rejected:
            refusal = self.rejection(partition)
            try:
                if refusal is None:
                    self.owner.append(partition, "lot", job, vital=False)
            except FaultError as error:
                if error.fault.code != NO_SPACE:
                    return Err(error.fault)
                refusal = error.fault
            if refusal is not None:
                return await self.reject(partition, body, refusal, limit)
        existing = partition.view.jobs.get(job["id"])
        if existing is None:
            return await self.rejection_response(partition, job["id"], limit)
        if existing.digest != job_digest(job):
            return self.failure("submit", "a lot with this id and other content is here", CONFLICT)
        if await partition.wait(existing.seq, self.class_predicate(job["class"]), limit):
            return Ok({"id": job["id"], "state": "kept"})
        return self.failure("submit", "not covered yet", TIMED_OUT)

    def rejection(self, partition: Partition) -> Fault | None:
        """Returns why no further job is accepted now; None if one is.

        Reasons are too many open jobs, here or at the mirrors, too many uncovered bytes, or mirrors whose disks are full.
        """
        name = self.table.settings.name
        open_jobs = sum(1 for job in partition.view.jobs.values() if job.state == JobState.OPEN and not job.complete)
        if open_jobs >= self.table.configuration_view.limit("open_lots"):
            return Fault("submit", name, f"{open_jobs} lots are open in this partition", REJECTED)
        if not self.memory.has_room():
            return Fault("submit", name, "the open lots take all the memory that is for them", REJECTED)
        last_covered = max(partition.covered, partition.record_log.base_seq)
        uncovered = sum(len(record.body) for record in partition.record_log.after(last_covered))
        if uncovered > self.table.settings.buffer_bytes // 2:
            return Fault("submit", name, "too much is not covered yet", REJECTED)
        mirrors = partition.mirrors
        writable = {mirror for mirror, state in mirrors.items() if not state.disk_full and not state.silent} | {name}
        if not partition.can_cover(writable) and any(state.disk_full for state in mirrors.values()):
            return Fault("submit", name, "the disks of the mirrors are full, or their memory for lots", NO_SPACE)
        return None

    async def reject(self, partition: Partition, body: Body, refusal: Fault, limit: float) -> PeerResponse:
        """Refuses a job: at once if it is new, or by a covered record if the client may have sent it before."""
        if not body.get("again"):
            return Err(refusal)
        try:
            record = self.owner.append(partition, "shed", {"id": body["lot"]["id"]})
        except FaultError:
            return self.failure("submit", "not known yet", TIMED_OUT)
        if not await partition.wait(record.seq, "", limit):
            return self.failure("submit", "not known yet", TIMED_OUT)
        why = refusal.why + "; this lot is refused, send it under another id"
        return Err(Fault(refusal.step, refusal.peer, why, refusal.code))

    async def rejection_response(self, partition: Partition, job_id: str, limit: float) -> PeerResponse:
        """Returns the response for a job that was refused for good before."""
        if await partition.wait(partition.view.rejected[job_id], "", limit):
            return self.failure("submit", "this lot was refused; send it under another id", REJECTED)
        return self.failure("submit", "not known yet", TIMED_OUT)

    # --- reading
    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """Returns a covered job of the client that asks, after confirming ownership.

        Returns:
            The partition and the job; or a fault: NOT_FOUND (unknown, lost, or of another client), REJECTED (refused),
            or TIMED_OUT (not known yet).
        """
        lookup = self.leadership.owned_partition(body["part"], step)
        if isinstance(lookup, Err):
            return lookup
        partition = lookup.unwrap()
        if not await self.leadership.confirm(partition):
            return self.failure(step, "could not be confirmed", TIMED_OUT)
        view, job_id = partition.view, body["id"]
        job = view.jobs.get(job_id)
        if job_id in view.rejected and view.rejected[job_id] <= partition.covered:
            return self.failure(step, "this lot was refused", REJECTED)
        if job_id in view.lost:
            return self.failure(step, "this lot was lost", NOT_FOUND)
        if job is None or job.body.get("caller", "") not in ("", body.get("caller", "")):
            loss_note = f"; this partition lost lots {view.losses} time(s)" if view.losses else ""
            return self.failure(step, f"no such lot of this caller{loss_note}", NOT_FOUND)
        if job.seq > partition.covered:
            return self.failure(step, "not known yet", TIMED_OUT)
        return Ok((partition, job))

    async def on_show(self, body: Body) -> PeerResponse:
        """Verb `show`: responds with the counts of a job's covered results, and its state: kept, done or ended."""
        lookup = await self.read(body, "show")
        if isinstance(lookup, Err):
            return lookup
        partition, job = lookup.unwrap()
        covered_results = [result for result in job.results.values() if result.seq <= partition.covered]
        done = sum(result.status == ItemStatus.DONE for result in covered_results)
        ended = job.state == JobState.ENDED and job.state_seq <= partition.covered
        return Ok({
            "id": job.id, "state": "ended" if ended else "done" if len(covered_results) == job.size else "kept",
            "class": job.body["class"], "items": job.size, "done": done, "failed": len(covered_results) - done,
            "due": job.body["due"], "caller": job.body.get("caller", ""), "losses": partition.view.losses,
        })  # fmt: skip

    async def on_page(self, body: Body) -> PeerResponse:
        """Verb `page`: responds with one page of covered results, in the order of their records."""
        lookup = await self.read(body, "page")
        if isinstance(lookup, Err):
            return lookup
        partition, job = lookup.unwrap()
        page = results_page(job, partition.covered, body["start"], min(body["most"], PAGE_ITEMS))
        return Ok({"id": job.id, "results": page.rows, "next": page.next_start, "whole": page.done})

    # --- ending, and claims
    async def on_finish(self, body: Body) -> PeerResponse:
        """Verb `finish`: ends a job, and responds once the end is covered."""
        lookup = await self.read(body, "end")
        if isinstance(lookup, Err):
            return lookup
        partition, job = lookup.unwrap()
        if job.state == JobState.OPEN and not job.complete:
            try:
                self.owner.append(partition, "end", {"id": job.id})
            except FaultError as error:
                return Err(error.fault)
        if not await partition.wait(max(job.state_seq, job.seq), "", float(body.get("wait", DEFAULT_SUBMIT_S))):
            return self.failure("end", "not known yet", TIMED_OUT)
        return Ok({"id": job.id, "state": "done" if job.complete and job.state == JobState.OPEN else "ended"})

    async def on_claim(self, body: Body) -> PeerResponse:
        """Verb `claim`: lets one edge run a request that may not be repeated: the first claim wins, once covered."""
        lookup = self.leadership.owned_partition(body["part"], "claim")
        if isinstance(lookup, Err):
            return lookup
        partition = lookup.unwrap()
        if body["key"] not in partition.view.claims:
            claim = {key: body[key] for key in ("key", "nonce", "edge")}
            try:
                self.owner.append(partition, "claim", claim)
            except FaultError as error:
                return Err(error.fault)
        winner = partition.view.claims[body["key"]]
        if not await partition.wait(winner["seq"], "", float(body.get("wait", DEFAULT_CLAIM_S))):
            return self.failure("claim", "not covered yet", TIMED_OUT)
        return Ok({"won": winner["nonce"] == body["nonce"]})

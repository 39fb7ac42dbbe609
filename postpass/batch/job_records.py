"""The owner's records of jobs: taking them, reading them, ending them; and claims of requests that run once."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from postpass.batch.job import Job, JobState, job_digest, results_page
from postpass.batch.messages import ItemStatus
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.errors import CLASH, FULL, LACK, REJECTED, SLOW, Fault, FaultError

DEFAULT_SUBMIT_S = 5.0  # seconds that an edge waits for a job to be kept, or to be ended
DEFAULT_CLAIM_S = 3.0  # seconds that an edge waits for a claim
PAGE_ITEMS = 500


@dataclass(eq=False)
class JobRecords:
    """Answers questions about the jobs of partitions that are owned here; reads are confirmed first."""

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck

    def failed(self, step: str, why: str, code: int) -> Err[Fault]:
        """A fault of this store."""
        return Err(Fault(step, self.table.settings.name, why, code))

    def class_predicate(self, name: str) -> str:
        """The predicate that a class asks for beyond the partition's own; empty if it asks for none."""
        configuration = self.table.configuration_view.manifest
        if configuration is None or name not in configuration["classes"]:
            return ""
        return configuration["classes"][name].get("predicate", "")

    # --- taking
    async def on_submit(self, body: Body) -> PeerResponse:
        """Takes a job: `kept` only once it is covered.

        Refused only if nothing was sequenced, or once a rejection that wins over the job is itself covered; CLASH if
        another job has the id; otherwise unknown (SLOW).
        """
        job = body["lot"]
        got = self.leadership.owned_partition(body["part"], "submit")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        limit = min(float(body.get("wait", DEFAULT_SUBMIT_S)), self.table.settings.bounds.recover)
        if job["id"] not in partition.view.jobs and job["id"] not in partition.view.rejected:
            flaw = self.rejection(partition)
            try:
                if flaw is None:
                    self.owner.append(partition, "lot", job, vital=False)
            except FaultError as stop:
                if stop.fault.code != FULL:
                    return Err(stop.fault)
                flaw = stop.fault
            if flaw is not None:
                return await self.reject(partition, body, flaw, limit)
        kept = partition.view.jobs.get(job["id"])
        if kept is None:
            return await self.rejected(partition, job["id"], limit)
        if kept.digest != job_digest(job):
            return self.failed("submit", "a lot with this id and other content is here", CLASH)
        if await partition.wait(kept.seq, self.class_predicate(job["class"]), limit):
            return Ok({"id": job["id"], "state": "kept"})
        return self.failed("submit", "not covered yet", SLOW)

    def rejection(self, partition: Partition) -> Fault | None:
        """Why no further job is taken now: too many are open, too much is uncovered, or mirrors are full; None if one is."""
        name = self.table.settings.name
        opened = sum(1 for job in partition.view.jobs.values() if job.state == JobState.OPEN and not job.complete)
        if opened >= self.table.configuration_view.limit("open_lots"):
            return Fault("submit", name, f"{opened} lots are open in this partition", REJECTED)
        first = max(partition.covered, partition.record_log.base_seq)
        uncovered = sum(len(record.body) for record in partition.record_log.after(first))
        if uncovered > self.table.settings.buffer_bytes // 2:
            return Fault("submit", name, "too much is not covered yet", REJECTED)
        mirrors = partition.mirrors
        writable = {mirror for mirror, state in mirrors.items() if not state.full and not state.silent} | {name}
        if not partition.can_cover(writable) and any(state.full for state in mirrors.values()):
            return Fault("submit", name, "the disks of the mirrors are full", FULL)
        return None

    async def reject(self, partition: Partition, body: Body, flaw: Fault, limit: float) -> PeerResponse:
        """Refuses a job: at once if it is new, and by a covered record if the client may have sent it before."""
        if not body.get("again"):
            return Err(flaw)
        try:
            record = self.owner.append(partition, "shed", {"id": body["lot"]["id"]})
        except FaultError:
            return self.failed("submit", "not known yet", SLOW)
        if not await partition.wait(record.seq, "", limit):
            return self.failed("submit", "not known yet", SLOW)
        why = flaw.why + "; this lot is refused, send it under another id"
        return Err(Fault(flaw.step, flaw.peer, why, flaw.code))

    async def rejected(self, partition: Partition, job_id: str, limit: float) -> PeerResponse:
        """The answer for a job that was refused for good before."""
        if await partition.wait(partition.view.rejected[job_id], "", limit):
            return self.failed("submit", "this lot was refused; send it under another id", REJECTED)
        return self.failed("submit", "not known yet", SLOW)

    # --- reading
    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """A covered job of the client that asks, after ownership was confirmed.

        Returns:
            The partition and the job; or LACK (unknown, lost, or of another client), REJECTED (refused), or SLOW (not
            known yet).
        """
        got = self.leadership.owned_partition(body["part"], step)
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        if not await self.leadership.confirm(partition):
            return self.failed(step, "could not be confirmed", SLOW)
        view, job_id = partition.view, body["id"]
        job = view.jobs.get(job_id)
        if job_id in view.rejected and view.rejected[job_id] <= partition.covered:
            return self.failed(step, "this lot was refused", REJECTED)
        if job_id in view.lost:
            return self.failed(step, "this lot was lost", LACK)
        if job is None or job.body.get("caller", "") not in ("", body.get("caller", "")):
            lost = f"; this partition lost lots {view.losses} time(s)" if view.losses else ""
            return self.failed(step, f"no such lot of this caller{lost}", LACK)
        if job.seq > partition.covered:
            return self.failed(step, "not known yet", SLOW)
        return Ok((partition, job))

    async def on_show(self, body: Body) -> PeerResponse:
        """Counts of a job's covered results, and its state: kept, done or ended."""
        got = await self.read(body, "show")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        shown = [result for result in job.results.values() if result.seq <= partition.covered]
        done = sum(result.status == ItemStatus.DONE for result in shown)
        ended = job.state == JobState.ENDED and job.state_seq <= partition.covered
        return Ok({
            "id": job.id, "state": "ended" if ended else "done" if len(shown) == job.size else "kept",
            "class": job.body["class"], "items": job.size, "done": done, "failed": len(shown) - done,
            "due": job.body["due"], "caller": job.body.get("caller", ""), "losses": partition.view.losses,
        })  # fmt: skip

    async def on_page(self, body: Body) -> PeerResponse:
        """One page of covered results, in the order of their records."""
        got = await self.read(body, "page")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        shown = results_page(job, partition.covered, body["start"], min(body["most"], PAGE_ITEMS))
        return Ok({"id": job.id, "results": shown.rows, "next": shown.next_start, "whole": shown.done})

    # --- ending, and claims
    async def on_finish(self, body: Body) -> PeerResponse:
        """Ends a job; answered once the end is covered."""
        got = await self.read(body, "end")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        if job.state == JobState.OPEN and not job.complete:
            try:
                self.owner.append(partition, "end", {"id": job.id})
            except FaultError as stop:
                return Err(stop.fault)
        if not await partition.wait(max(job.state_seq, job.seq), "", float(body.get("wait", DEFAULT_SUBMIT_S))):
            return self.failed("end", "not known yet", SLOW)
        return Ok({"id": job.id, "state": "done" if job.complete and job.state == JobState.OPEN else "ended"})

    async def on_claim(self, body: Body) -> PeerResponse:
        """One edge may run a request that may not be repeated: the first claim wins, once it is covered."""
        got = self.leadership.owned_partition(body["part"], "claim")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        if body["key"] not in partition.view.claims:
            claim = {key: body[key] for key in ("key", "nonce", "edge")}
            try:
                self.owner.append(partition, "claim", claim)
            except FaultError as stop:
                return Err(stop.fault)
        winner = partition.view.claims[body["key"]]
        if not await partition.wait(winner["seq"], "", float(body.get("wait", DEFAULT_CLAIM_S))):
            return self.failed("claim", "not covered yet", SLOW)
        return Ok({"won": winner["nonce"] == body["nonce"]})

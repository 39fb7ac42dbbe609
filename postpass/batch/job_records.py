"""The owner's records of jobs: taking them, reading them, ending them; and claims of requests that run once."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from postpass.batch.job import Job, digest, page
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.peer_links import Body, PeerResponse
from postpass.runtime.errors import CLASH, FULL, LACK, SHED, SLOW, Fault, Stop


@dataclass(eq=False)
class JobRecords:
    """Answers questions about the jobs of partitions that are owned here; reads are confirmed first."""

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck

    def class_predicate(self, name: str) -> str:
        """The predicate that a class asks for beyond the partition's own; empty if it asks for none."""
        configuration = self.table.configuration_view.manifest
        return (
            configuration["classes"][name].get("predicate", "")
            if configuration and name in configuration["classes"]
            else ""
        )

    async def on_submit(self, body: Body) -> PeerResponse:
        """Takes a job: `kept` only once it is covered; refused only if nothing was sequenced, or once a
        refusal that wins over the job is itself covered; otherwise unknown."""
        job = body["lot"]
        got = self.leadership.owned_partition(body["part"], "submit")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        limit = min(float(body.get("wait", 5.0)), self.table.settings.bounds.recover)
        have = partition.view.jobs.get(job["id"])
        if have is None and job["id"] not in partition.view.rejected:
            flaw = self.rejection(partition)
            if flaw is None:
                try:
                    self.owner.append(partition, "lot", job, vital=False)
                except Stop as bad:
                    if bad.fault.code != FULL:
                        return Err(bad.fault)
                    flaw = bad.fault
            if flaw is not None:
                return await self.reject(partition, body, flaw, limit)
            have = partition.view.jobs[job["id"]]
        if have is None:
            seq = partition.view.rejected[job["id"]]
            if await partition.wait(seq, "", limit):
                return Err(
                    Fault("submit", self.table.settings.name, "this lot was refused; send it under another id", SHED)
                )
            return Err(Fault("submit", self.table.settings.name, "not known yet", SLOW))
        if have.digest != digest(job):
            return Err(Fault("submit", self.table.settings.name, "a lot with this id and other content is here", CLASH))
        if await partition.wait(have.seq, self.class_predicate(job["class"]), limit):
            return Ok({"id": job["id"], "state": "kept"})
        return Err(Fault("submit", self.table.settings.name, "not covered yet", SLOW))

    def rejection(self, partition: Partition) -> Fault | None:
        """Why no further job is taken now: the limit of open jobs, too much uncovered, or full mirrors; None if one is."""
        opened = sum(1 for job in partition.view.jobs.values() if job.state == "open" and not job.complete)
        if opened >= self.table.configuration_view.limit("open_lots"):
            return Fault("submit", self.table.settings.name, f"{opened} lots are open in this partition", SHED)
        ahead = sum(
            len(r.body) for r in partition.record_log.after(max(partition.covered, partition.record_log.base_seq))
        )
        if ahead > self.table.settings.buffer_bytes // 2:
            return Fault("submit", self.table.settings.name, "too much is not covered yet", SHED)
        free = {n for n, f in partition.mirrors.items() if not f.full and not f.silent} | {self.table.settings.name}
        if not partition.can_cover(free) and any(f.full for f in partition.mirrors.values()):
            return Fault("submit", self.table.settings.name, "the disks of the mirrors are full", FULL)
        return None

    async def reject(self, partition: Partition, body: Body, flaw: Fault, limit: float) -> PeerResponse:
        """Refuses a job: at once if it is new, and by a covered record if the client may have sent it before."""
        if not body.get("again"):
            return Err(flaw)
        try:
            record = self.owner.append(partition, "shed", {"id": body["lot"]["id"]})
        except Stop:
            return Err(Fault("submit", self.table.settings.name, "not known yet", SLOW))
        if await partition.wait(record.seq, "", limit):
            return Err(
                Fault(flaw.step, flaw.peer, flaw.why + "; this lot is refused, send it under another id", flaw.code)
            )
        return Err(Fault("submit", self.table.settings.name, "not known yet", SLOW))

    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """A covered job of the client that asks, after ownership was confirmed.

        Returns:
            The partition and the job; or LACK (unknown, lost, or of another client), SHED (refused) or SLOW (not known yet).
        """
        got = self.leadership.owned_partition(body["part"], step)
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        if not await self.leadership.confirm(partition):
            return Err(Fault(step, self.table.settings.name, "could not be confirmed", SLOW))
        job = partition.view.jobs.get(body["id"])
        if body["id"] in partition.view.rejected and partition.view.rejected[body["id"]] <= partition.covered:
            return Err(Fault(step, self.table.settings.name, "this lot was refused", SHED))
        if body["id"] in partition.view.lost:
            return Err(Fault(step, self.table.settings.name, "this lot was lost", LACK))
        if job is None or job.body.get("caller", "") not in ("", body.get("caller", "")):
            lost = f"; this partition lost lots {partition.view.losses} time(s)" if partition.view.losses else ""
            return Err(Fault(step, self.table.settings.name, f"no such lot of this caller{lost}", LACK))
        if job.seq > partition.covered:
            return Err(Fault(step, self.table.settings.name, "not known yet", SLOW))
        return Ok((partition, job))

    async def on_show(self, body: Body) -> PeerResponse:
        """Counts of a job's covered results, and its state: kept, done or ended."""
        got = await self.read(body, "show")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        shown = [r for r in job.results.values() if r[0] <= partition.covered]
        ended = job.state == "ended" and job.state_seq <= partition.covered
        whole = len(shown) == job.size
        return Ok({
            "id": job.id, "state": "ended" if ended else "done" if whole else "kept", "class": job.body["class"],
            "items": job.size, "done": sum(r[1] == "done" for r in shown), "failed": sum(r[1] != "done" for r in shown),
            "due": job.body["due"], "caller": job.body.get("caller", ""), "losses": partition.view.losses,
        })  # fmt: skip

    async def on_page(self, body: Body) -> PeerResponse:
        """One page of covered results, in the order of their records."""
        got = await self.read(body, "page")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        rows, spot, done = page(job, partition.covered, body["start"], min(body["most"], 500))
        return Ok({"id": job.id, "results": rows, "next": spot, "whole": done})

    async def on_finish(self, body: Body) -> PeerResponse:
        """Ends a job; answered once the end is covered."""
        got = await self.read(body, "end")
        if isinstance(got, Err):
            return got
        partition, job = got.unwrap()
        if job.state == "open" and not job.complete:
            try:
                self.owner.append(partition, "end", {"id": job.id})
            except Stop as bad:
                return Err(bad.fault)
        if not await partition.wait(max(job.state_seq, job.seq), "", float(body.get("wait", 5.0))):
            return Err(Fault("end", self.table.settings.name, "not known yet", SLOW))
        return Ok({"id": job.id, "state": "done" if job.complete and job.state == "open" else "ended"})

    async def on_claim(self, body: Body) -> PeerResponse:
        """One gateway may run a request that may not be repeated: the first claim wins, once it is covered."""
        got = self.leadership.owned_partition(body["part"], "claim")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        if body["key"] not in partition.view.claims:
            try:
                self.owner.append(
                    partition, "claim", {"key": body["key"], "nonce": body["nonce"], "edge": body["edge"]}
                )
            except Stop as bad:
                return Err(bad.fault)
        won = partition.view.claims[body["key"]]
        if not await partition.wait(won["seq"], "", float(body.get("wait", 3.0))):
            return Err(Fault("claim", self.table.settings.name, "not covered yet", SLOW))
        return Ok({"won": won["nonce"] == body["nonce"]})

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

    def text_of(self, name: str) -> str:
        configuration = self.table.configuration_view.manifest
        return (
            configuration["classes"][name].get("predicate", "")
            if configuration and name in configuration["classes"]
            else ""
        )

    async def submit(self, body: Body) -> PeerResponse:
        """Takes a lot: `kept` only past the frontier; refused only if nothing was sequenced, or once a
        refusal that wins over the lot is itself covered; otherwise unknown."""
        lot = body["lot"]
        got = self.leadership.lead_of(body["part"], "submit")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        limit = min(float(body.get("wait", 5.0)), self.table.settings.bounds.recover)
        have = part.view.lots.get(lot["id"])
        if have is None and lot["id"] not in part.view.shed:
            flaw = self.no_room(part)
            if flaw is None:
                try:
                    self.owner.add(part, "lot", lot, vital=False)
                except Stop as bad:
                    if bad.fault.code != FULL:
                        return Err(bad.fault)
                    flaw = bad.fault
            if flaw is not None:
                return await self.shed(part, body, flaw, limit)
            have = part.view.lots[lot["id"]]
        if have is None:
            seq = part.view.shed[lot["id"]]
            if await part.wait(seq, "", limit):
                return Err(
                    Fault("submit", self.table.settings.name, "this lot was refused; send it under another id", SHED)
                )
            return Err(Fault("submit", self.table.settings.name, "not known yet", SLOW))
        if have.digest != digest(lot):
            return Err(Fault("submit", self.table.settings.name, "a lot with this id and other content is here", CLASH))
        if await part.wait(have.seq, self.text_of(lot["class"]), limit):
            return Ok({"id": lot["id"], "state": "kept"})
        return Err(Fault("submit", self.table.settings.name, "not covered yet", SLOW))

    def no_room(self, part: Partition) -> Fault | None:
        opened = sum(1 for lot in part.view.lots.values() if lot.state == "open" and not lot.whole)
        if opened >= self.table.configuration_view.limit("open_lots"):
            return Fault("submit", self.table.settings.name, f"{opened} lots are open in this partition", SHED)
        ahead = sum(len(r.body) for r in part.record_log.after(max(part.covered, part.record_log.base_seq)))
        if ahead > self.table.settings.buffer_bytes // 2:
            return Fault("submit", self.table.settings.name, "too much is not covered yet", SHED)
        free = {n for n, f in part.follows.items() if not f.full and not f.silent} | {self.table.settings.name}
        if not part.can_cover(free) and any(f.full for f in part.follows.values()):
            return Fault("submit", self.table.settings.name, "the disks of the mirrors are full", FULL)
        return None

    async def shed(self, part: Partition, body: Body, flaw: Fault, limit: float) -> PeerResponse:
        if not body.get("again"):
            return Err(flaw)
        try:
            rec = self.owner.add(part, "shed", {"id": body["lot"]["id"]})
        except Stop:
            return Err(Fault("submit", self.table.settings.name, "not known yet", SLOW))
        if await part.wait(rec.seq, "", limit):
            return Err(
                Fault(flaw.step, flaw.peer, flaw.why + "; this lot is refused, send it under another id", flaw.code)
            )
        return Err(Fault("submit", self.table.settings.name, "not known yet", SLOW))

    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        got = self.leadership.lead_of(body["part"], step)
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        if not await self.leadership.confirm(part):
            return Err(Fault(step, self.table.settings.name, "could not be confirmed", SLOW))
        lot = part.view.lots.get(body["id"])
        if body["id"] in part.view.shed and part.view.shed[body["id"]] <= part.covered:
            return Err(Fault(step, self.table.settings.name, "this lot was refused", SHED))
        if body["id"] in part.view.lost:
            return Err(Fault(step, self.table.settings.name, "this lot was lost", LACK))
        if lot is None or lot.body.get("caller", "") not in ("", body.get("caller", "")):
            lost = f"; this partition lost lots {part.view.losses} time(s)" if part.view.losses else ""
            return Err(Fault(step, self.table.settings.name, f"no such lot of this caller{lost}", LACK))
        if lot.seq > part.covered:
            return Err(Fault(step, self.table.settings.name, "not known yet", SLOW))
        return Ok((part, lot))

    async def show(self, body: Body) -> PeerResponse:
        got = await self.read(body, "show")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        shown = [r for r in lot.results.values() if r[0] <= part.covered]
        ended = lot.state == "ended" and lot.state_seq <= part.covered
        whole = len(shown) == lot.size
        return Ok({
            "id": lot.id, "state": "ended" if ended else "done" if whole else "kept", "class": lot.body["class"],
            "items": lot.size, "done": sum(r[1] == "done" for r in shown), "failed": sum(r[1] != "done" for r in shown),
            "due": lot.body["due"], "caller": lot.body.get("caller", ""), "losses": part.view.losses,
        })  # fmt: skip

    async def page(self, body: Body) -> PeerResponse:
        got = await self.read(body, "page")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        rows, spot, done = page(lot, part.covered, body["start"], min(body["most"], 500))
        return Ok({"id": lot.id, "results": rows, "next": spot, "whole": done})

    async def finish(self, body: Body) -> PeerResponse:
        got = await self.read(body, "end")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        if lot.state == "open" and not lot.whole:
            try:
                self.owner.add(part, "end", {"id": lot.id})
            except Stop as bad:
                return Err(bad.fault)
        if not await part.wait(max(lot.state_seq, lot.seq), "", float(body.get("wait", 5.0))):
            return Err(Fault("end", self.table.settings.name, "not known yet", SLOW))
        return Ok({"id": lot.id, "state": "done" if lot.whole and lot.state == "open" else "ended"})

    async def claim(self, body: Body) -> PeerResponse:
        """One edge may run a call that may not be repeated: the first claim wins, once it is covered."""
        got = self.leadership.lead_of(body["part"], "claim")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        if body["key"] not in part.view.claims:
            try:
                self.owner.add(part, "claim", {"key": body["key"], "nonce": body["nonce"], "edge": body["edge"]})
            except Stop as bad:
                return Err(bad.fault)
        won = part.view.claims[body["key"]]
        if not await part.wait(won["seq"], "", float(body.get("wait", 3.0))):
            return Err(Fault("claim", self.table.settings.name, "not covered yet", SLOW))
        return Ok({"won": won["nonce"] == body["nonce"]})

"""Elections: when a store runs for owner of a partition, what it asks of the others, and what it promises them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.catch_up import CatchUp
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition, head
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import RecordLog
from postpass.rpc.peer_links import IDL, Body, PeerResponse
from postpass.runtime.environment import hear, now
from postpass.runtime.errors import Stop


@dataclass(eq=False)
class Promises:
    """What a candidate has gathered for its epoch: who was asked, who promised, and the best log among theirs."""

    log: RecordLog
    asked: list[str] = field(default_factory=list)
    responses: dict[str, Body] = field(default_factory=dict)

    @property
    def voters(self) -> dict[str, str]:
        """Who promised, with the identity of the disk that did."""
        return {n: str(a["disk"]) for n, a in self.responses.items()}

    def end_of(self, name: str) -> tuple[int, int]:
        """The last epoch and the length of a voter's log: the higher, the more it has."""
        return self.responses[name]["last_epoch"], self.responses[name]["last"]


@dataclass(eq=False)
class Election:
    """Runs elections and answers those of others. `heights` is the daemon's own map, filled by `ask_heights`."""

    table: PartitionTable
    owner: PartitionOwner
    catch_up: CatchUp
    ask_heights: Callable[[], Awaitable[int]] | None = None
    ask_kept: Callable[[int], Awaitable[list[str]]] | None = None
    heights: dict[str, int] = field(default_factory=dict)

    def doubt(self, part: Partition) -> None:
        """Takes the duty if it stands empty and this is the first live one in the order."""
        order = self.table.configuration_view.order(part.id)
        crew = part.record_log.base.crew if isinstance(part.record_log.base, JobView) else {}
        ranks = order + [n for n in sorted(crew) if n not in order]
        ranks = [n for n in ranks if n != part.down]
        if self.table.settings.name not in ranks or part.trial or self.table.leaving:
            return
        b = self.table.settings.bounds
        if now() - part.heard > b.detect + ranks.index(self.table.settings.name) * b.stagger:
            self.stand_soon(part, 0)

    def stand_soon(self, part: Partition, hand: int) -> None:
        part.trial = True
        task = asyncio.create_task(self.stand(part, hand))
        self.table.trials.add(task)
        task.add_done_callback(lambda t: (self.table.trials.discard(t), setattr(part, "trial", False)))  # type: ignore[func-returns-value]

    async def poll(
        self, part: Partition, view: JobView, names: list[str], body: Body, have: dict[str, str] | None = None
    ) -> dict[str, Body]:
        """Asks for promises beside those in `have`; waits for the last ones only as long as it hasn't got enough."""

        def enough(got: dict[str, PeerResponse]) -> bool:
            voters = {n: str(g.unwrap()["disk"]) for n, g in got.items() if isinstance(g, Ok) and g.unwrap()["ok"]}
            return part.may_lead(view, (have or {}) | voters | {self.table.settings.name: self.table.disk_id})

        got = await hear(
            {n: self.table.ask(n, "promise", body) for n in names}, enough, self.table.settings.bounds.beat / 2
        )
        return {n: g.unwrap() for n, g in got.items() if isinstance(g, Ok)}

    async def collect_promises(self, part: Partition, epoch: int, body: Body) -> Promises | None:
        """Promises of all who have, or should have, a copy, and the best log among theirs; None if a higher epoch shows
        up or that log can't be fetched.

        Who is a member stands in the log: a candidate that is behind learns of some only from the log that it fetches,
        and then asks these as well. Without them it could neither lead nor let one lead that knows all members.
        """
        got = Promises(part.record_log)
        names = self.table.names(part, head(part.record_log))
        while names:
            answers = await self.poll(part, head(got.log), names, body, got.voters)
            part.promised = max([part.promised, *(a["promised"] for a in answers.values())])
            if part.promised != epoch or part.owning:
                return None
            got.asked += names
            got.responses |= {n: a for n, a in answers.items() if a["ok"]}
            best = max(got.responses, key=got.end_of, default="")
            if best and got.end_of(best) > (got.log.last_epoch, got.log.last):
                pulled = await self.catch_up.pull(part, best, got.responses[best], epoch)
                if pulled is None or part.promised != epoch:
                    return None
                got.log = pulled
            names = [n for n in self.table.names(part, head(got.log)) if n not in got.asked]
        return got

    async def stand(self, part: Partition, hand: int) -> None:
        b = self.table.settings.bounds
        view = head(part.record_log)
        names = self.table.names(part, view)
        base = {"part": part.id, "who": self.table.settings.name, "hand": hand}
        if not hand:
            tries = await self.poll(part, view, names, base | {"epoch": part.promised + 1, "probe": 1})
            part.promised = max([part.promised, *(a["promised"] for a in tries.values())])
            willing = {n: str(a["disk"]) for n, a in tries.items() if a["ok"]}
            if any(not a["ok"] for a in tries.values()) and not part.may_lead(
                view, willing | {self.table.settings.name: self.table.disk_id}
            ):
                part.heard = now() - b.detect + b.stagger
                return
        epoch = part.promised + 1
        part.promised = epoch
        try:
            await self.table.log.wait(self.table.write(part, [IDL.Entry(part=part.id, op="promise", epoch=epoch)]))
        except Stop:
            return
        got = await self.collect_promises(part, epoch, base | {"epoch": epoch, "probe": 0})
        back_off = now() - b.detect + b.stagger * self.table.environment.chance.random()
        if got is None or part.promised != epoch or part.owning:
            part.heard = max(part.heard, back_off)
            return
        staged = got.log
        view = head(staged)
        voters = got.voters | {self.table.settings.name: self.table.disk_id}
        must = set(self.table.names(part, view)) | set(view.crew)
        every = all(n in voters or not self.table.configuration_view.addr(n) for n in must)
        blank = staged.last == 0
        normal = part.may_lead(view, voters)
        if not normal and not every:
            part.heard = max(part.heard, back_off)
            return
        if blank and self.ask_heights is not None:
            # Nobody has anything. Was there never anything, or did all of it go? Others remember the epochs.
            await self.ask_heights()
            known = self.heights.get(str(part.id), 0)
            if part.promised != epoch or part.owning or known >= epoch:
                part.promised = max(part.promised, known)
                part.heard = max(part.heard, back_off)
                return
            blank = known == 0
        names_lost: list[str] = []
        if not normal and not blank and self.ask_kept is not None:
            names_lost = [n for n in await self.ask_kept(part.id) if n not in view.lots]
            if part.promised != epoch or part.owning:
                part.heard = max(part.heard, back_off)
                return
        try:
            self.catch_up.settle(part, staged)
            self.owner.rise(part, epoch, view, voters, blank, normal, names_lost)
        except Stop:
            part.step_down()
            part.heard = now()

    async def promise(self, body: Body) -> PeerResponse:
        """A promise not to accept anything below an epoch; synced before it is told."""
        part, epoch, b = self.table.part(body["part"]), body["epoch"], self.table.settings.bounds
        about = {"disk": self.table.disk_id, "promised": part.promised}
        handed = body.get("hand", 0) and body["hand"] == max(part.aligned, part.epoch)
        alive = part.owning or (part.met and now() - part.heard < b.detect * 0.9)
        if body["probe"]:
            return Ok(about | {"ok": bool(not alive or handed)})
        if epoch <= part.promised or (alive and not handed):
            return Ok(about | {"ok": False})
        part.promised = epoch
        if part.owning:
            self.table.fall(part, epoch)
        part.aligned = 0
        part.heard, part.met = now(), True
        try:
            await self.table.log.wait(self.table.write(part, [IDL.Entry(part=part.id, op="promise", epoch=epoch)]))
        except Stop as bad:
            return Err(bad.fault)
        if part.promised != epoch:
            return Ok(about | {"promised": part.promised, "ok": False})
        record_log = part.record_log
        return Ok({"disk": self.table.disk_id, "promised": epoch, "ok": True, "last": record_log.last, "last_epoch": record_log.last_epoch,
                   "marks": record_log.marks()})  # fmt: skip

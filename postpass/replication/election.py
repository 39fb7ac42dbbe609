"""Elections: when a store runs for owner of a partition, what it asks of the others, and what it promises them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.catch_up import CatchUp
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition, latest_view
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

    def log_end(self, name: str) -> tuple[int, int]:
        """The last epoch and the length of a voter's log: the higher, the more it has."""
        return self.responses[name]["last_epoch"], self.responses[name]["last"]


@dataclass(eq=False)
class Election:
    """Runs elections and answers those of others. `heights` is the daemon's own map, filled by `ask_heights`."""

    table: PartitionTable
    owner: PartitionOwner
    catch_up: CatchUp
    ask_epochs: Callable[[], Awaitable[int]] | None = None
    ask_kept_jobs: Callable[[int], Awaitable[list[str]]] | None = None
    known_epochs: dict[str, int] = field(default_factory=dict)

    def run_if_silent(self, partition: Partition) -> None:
        """Takes the duty if it stands empty and this is the first live one in the order."""
        order = self.table.configuration_view.order(partition.id)
        members = partition.record_log.base.crew if isinstance(partition.record_log.base, JobView) else {}
        ranks = order + [n for n in sorted(members) if n not in order]
        ranks = [n for n in ranks if n != partition.refused_owner]
        if self.table.settings.name not in ranks or partition.in_election or self.table.leaving:
            return
        bounds = self.table.settings.bounds
        if now() - partition.heard > bounds.detect + ranks.index(self.table.settings.name) * bounds.stagger:
            self.run_soon(partition, 0)

    def run_soon(self, partition: Partition, hand: int) -> None:
        partition.in_election = True
        task = asyncio.create_task(self.run_election(partition, hand))
        self.table.background_tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            self.table.background_tasks.discard(task)
            partition.in_election = False

        task.add_done_callback(ended)

    async def ask_promises(
        self, partition: Partition, view: JobView, names: list[str], body: Body, have: dict[str, str] | None = None
    ) -> dict[str, Body]:
        """Asks for promises beside those in `have`; waits for the last ones only as long as it hasn't got enough."""

        def enough(got: dict[str, PeerResponse]) -> bool:
            voters = {n: str(g.unwrap()["disk"]) for n, g in got.items() if isinstance(g, Ok) and g.unwrap()["ok"]}
            return partition.may_lead(view, (have or {}) | voters | {self.table.settings.name: self.table.disk_id})

        got = await hear(
            {n: self.table.ask(n, "promise", body) for n in names}, enough, self.table.settings.bounds.beat / 2
        )
        return {n: g.unwrap() for n, g in got.items() if isinstance(g, Ok)}

    async def collect_promises(self, partition: Partition, epoch: int, body: Body) -> Promises | None:
        """Promises of all who have, or should have, a copy, and the best log among theirs; None if a higher epoch shows
        up or that log can't be fetched.

        Who is a member stands in the log: a candidate that is behind learns of some only from the log that it fetches,
        and then asks these as well. Without them it could neither lead nor let one lead that knows all members.
        """
        got = Promises(partition.record_log)
        names = self.table.other_members(partition, latest_view(partition.record_log))
        while names:
            answers = await self.ask_promises(partition, latest_view(got.log), names, body, got.voters)
            partition.promised = max([partition.promised, *(a["promised"] for a in answers.values())])
            if partition.promised != epoch or partition.owning:
                return None
            got.asked += names
            got.responses |= {n: a for n, a in answers.items() if a["ok"]}
            best = max(got.responses, key=got.log_end, default="")
            if best and got.log_end(best) > (got.log.last_epoch, got.log.last):
                pulled = await self.catch_up.fetch_log(partition, best, got.responses[best], epoch)
                if pulled is None or partition.promised != epoch:
                    return None
                got.log = pulled
            names = [n for n in self.table.other_members(partition, latest_view(got.log)) if n not in got.asked]
        return got

    async def run_election(self, partition: Partition, hand: int) -> None:
        bounds = self.table.settings.bounds
        view = latest_view(partition.record_log)
        names = self.table.other_members(partition, view)
        base = {"part": partition.id, "who": self.table.settings.name, "hand": hand}
        if not hand:
            tries = await self.ask_promises(
                partition, view, names, base | {"epoch": partition.promised + 1, "probe": 1}
            )
            partition.promised = max([partition.promised, *(a["promised"] for a in tries.values())])
            willing = {n: str(a["disk"]) for n, a in tries.items() if a["ok"]}
            if any(not a["ok"] for a in tries.values()) and not partition.may_lead(
                view, willing | {self.table.settings.name: self.table.disk_id}
            ):
                partition.heard = now() - bounds.detect + bounds.stagger
                return
        epoch = partition.promised + 1
        partition.promised = epoch
        try:
            await self.table.log.wait(
                self.table.write(partition, [IDL.Entry(part=partition.id, op="promise", epoch=epoch)])
            )
        except Stop:
            return
        got = await self.collect_promises(partition, epoch, base | {"epoch": epoch, "probe": 0})
        back_off = now() - bounds.detect + bounds.stagger * self.table.environment.chance.random()
        if got is None or partition.promised != epoch or partition.owning:
            partition.heard = max(partition.heard, back_off)
            return
        staged = got.log
        view = latest_view(staged)
        voters = got.voters | {self.table.settings.name: self.table.disk_id}
        must = set(self.table.other_members(partition, view)) | set(view.crew)
        every = all(n in voters or not self.table.configuration_view.addr(n) for n in must)
        blank = staged.last == 0
        normal = partition.may_lead(view, voters)
        if not normal and not every:
            partition.heard = max(partition.heard, back_off)
            return
        if blank and self.ask_epochs is not None:
            # Nobody has anything. Was there never anything, or did all of it go? Others remember the epochs.
            await self.ask_epochs()
            known = self.known_epochs.get(str(partition.id), 0)
            if partition.promised != epoch or partition.owning or known >= epoch:
                partition.promised = max(partition.promised, known)
                partition.heard = max(partition.heard, back_off)
                return
            blank = known == 0
        names_lost: list[str] = []
        if not normal and not blank and self.ask_kept_jobs is not None:
            names_lost = [n for n in await self.ask_kept_jobs(partition.id) if n not in view.lots]
            if partition.promised != epoch or partition.owning:
                partition.heard = max(partition.heard, back_off)
                return
        try:
            self.catch_up.adopt(partition, staged)
            self.owner.become_owner(partition, epoch, view, voters, blank, normal, names_lost)
        except Stop:
            partition.step_down()
            partition.heard = now()

    async def on_promise(self, body: Body) -> PeerResponse:
        """A promise not to accept anything below an epoch; synced before it is told."""
        partition, epoch, bounds = self.table.partition(body["part"]), body["epoch"], self.table.settings.bounds
        about = {"disk": self.table.disk_id, "promised": partition.promised}
        handed = body.get("hand", 0) and body["hand"] == max(partition.aligned, partition.epoch)
        alive = partition.owning or (partition.contacted and now() - partition.heard < bounds.detect * 0.9)
        if body["probe"]:
            return Ok(about | {"ok": bool(not alive or handed)})
        if epoch <= partition.promised or (alive and not handed):
            return Ok(about | {"ok": False})
        partition.promised = epoch
        if partition.owning:
            self.table.step_down(partition, epoch)
        partition.aligned = 0
        partition.heard, partition.contacted = now(), True
        try:
            await self.table.log.wait(
                self.table.write(partition, [IDL.Entry(part=partition.id, op="promise", epoch=epoch)])
            )
        except Stop as bad:
            return Err(bad.fault)
        if partition.promised != epoch:
            return Ok(about | {"promised": partition.promised, "ok": False})
        record_log = partition.record_log
        return Ok({"disk": self.table.disk_id, "promised": epoch, "ok": True, "last": record_log.last, "last_epoch": record_log.last_epoch,
                   "marks": record_log.marks()})  # fmt: skip

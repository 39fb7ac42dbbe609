"""Elections: when a store runs for owner of a partition, what it asks of the others, and what it promises them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.catch_up import CatchUp
from postpass.replication.election_decision import Candidacy, Step, next_step
from postpass.replication.log_entries import promise_entry
from postpass.replication.messages import LogPosition, PromiseAnswer, PromiseRequest
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition, latest_view
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import RecordLog
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import gather_until, now
from postpass.runtime.errors import FaultError


@dataclass(eq=False)
class Promises:
    """What a candidate has gathered for its epoch: who was asked, who promised, and the best log among theirs."""

    log: RecordLog
    asked: list[str] = field(default_factory=list)
    responses: dict[str, PromiseAnswer] = field(default_factory=dict)

    @property
    def voters(self) -> dict[str, str]:
        """Who promised, with the identity of the disk that did."""
        return {n: a.disk for n, a in self.responses.items()}

    def log_end(self, name: str) -> LogPosition:
        """How much a voter's log holds."""
        position = self.responses[name].position
        assert position is not None
        return position


@dataclass(eq=False)
class Election:
    """Runs elections and answers those of others. `known_epochs` is the daemon's own map, filled by `ask_epochs`."""

    table: PartitionTable
    owner: PartitionOwner
    catch_up: CatchUp
    ask_epochs: Callable[[], Awaitable[int]] | None = None
    ask_kept_jobs: Callable[[int], Awaitable[list[str]]] | None = None
    known_epochs: dict[str, int] = field(default_factory=dict)

    def run_if_silent(self, partition: Partition) -> None:
        """Begins an election if the owner has been silent for long enough.

        Each member waits longer than those before it in the order, so that as a rule only the first live one runs.
        """
        order = self.table.configuration_view.order(partition.id)
        members = partition.record_log.base.members if isinstance(partition.record_log.base, JobView) else {}
        ranks = order + [n for n in sorted(members) if n not in order]
        ranks = [n for n in ranks if n != partition.refused_owner]
        if self.table.settings.name not in ranks or partition.in_election or self.table.leaving:
            return
        bounds = self.table.settings.bounds
        if now() - partition.heard > bounds.detect + ranks.index(self.table.settings.name) * bounds.stagger:
            self.run_soon(partition, 0)

    def run_soon(self, partition: Partition, handed_epoch: int) -> None:
        """Begins an election in the background; one at a time for each partition."""
        partition.in_election = True
        task = asyncio.create_task(self.run_election(partition, handed_epoch))
        self.table.background_tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            self.table.background_tasks.discard(task)
            partition.in_election = False

        task.add_done_callback(ended)

    async def ask_promises(
        self,
        partition: Partition,
        view: JobView,
        names: list[str],
        request: PromiseRequest,
        have: dict[str, str] | None = None,
    ) -> dict[str, PromiseAnswer]:
        """Asks for promises beside those in `have`; waits for the last ones only as long as it has not got enough."""

        def enough(answers: dict[str, PeerResponse]) -> bool:
            decoded = {n: PromiseAnswer.decode(a.unwrap()) for n, a in answers.items() if isinstance(a, Ok)}
            voters = {n: a.disk for n, a in decoded.items() if a.granted}
            return partition.may_lead(view, (have or {}) | voters | self.table.own_vote)

        body = request.encode()
        answers = await gather_until(
            {n: self.table.ask(n, "promise", body) for n in names}, enough, self.table.settings.bounds.beat / 2
        )
        return {n: PromiseAnswer.decode(a.unwrap()) for n, a in answers.items() if isinstance(a, Ok)}

    async def collect_promises(self, partition: Partition, request: PromiseRequest) -> Promises | None:
        """Promises of all who have, or should have, a copy, and the best log among theirs; None if a higher epoch shows
        up or that log can't be fetched.

        Who is a member is recorded in the log: a candidate that is behind learns of some only from the log that it
        fetches, and then asks these as well. Without them it could neither lead nor let one lead that knows all members.
        """
        promises, epoch = Promises(partition.record_log), request.epoch
        names = self.table.other_members(partition, latest_view(partition.record_log))
        while names:
            view = latest_view(promises.log)
            answers = await self.ask_promises(partition, view, names, request, promises.voters)
            partition.promised = max([partition.promised, *(a.promised for a in answers.values())])
            if partition.promised != epoch or partition.owning:
                return None
            promises.asked += names
            promises.responses |= {n: a for n, a in answers.items() if a.granted}
            best = max(promises.responses, key=promises.log_end, default="")
            if best and promises.log_end(best) > (promises.log.last_epoch, promises.log.last):
                fetched = await self.catch_up.fetch_log(partition, best, promises.responses[best], epoch)
                if fetched is None or partition.promised != epoch:
                    return None
                promises.log = fetched
            names = [
                n for n in self.table.other_members(partition, latest_view(promises.log)) if n not in promises.asked
            ]
        return promises

    async def run_election(self, partition: Partition, handed_epoch: int) -> None:
        """Runs for owner of a partition.

        Args:
            partition: The partition; its promise of the new epoch is synced before anyone is asked.
            handed_epoch: Epoch of the owner that handed the partition over, who need not be waited out; 0 if none did.
        """
        bounds = self.table.settings.bounds
        if not handed_epoch and not await self.has_prospect(partition):
            partition.heard = now() - bounds.detect + bounds.stagger
            return
        epoch = partition.promised + 1
        partition.promised = epoch
        try:
            await self.table.log.wait_synced(self.write_promise(partition, epoch))
        except FaultError:
            return
        request = PromiseRequest(partition.id, self.table.settings.name, handed_epoch, epoch, probe=False)
        promises = await self.collect_promises(partition, request)
        retry_at = now() - bounds.detect + bounds.stagger * self.table.environment.chance.random()
        if promises is None or not await self.try_to_lead(partition, epoch, promises):
            partition.heard = max(partition.heard, retry_at)

    async def has_prospect(self, partition: Partition) -> bool:
        """Would enough members promise? Asked first, so that a store that can't win does not raise the epoch."""
        view = latest_view(partition.record_log)
        probe = PromiseRequest(partition.id, self.table.settings.name, 0, partition.promised + 1, probe=True)
        answers = await self.ask_promises(partition, view, self.table.other_members(partition, view), probe)
        partition.promised = max([partition.promised, *(a.promised for a in answers.values())])
        if all(a.granted for a in answers.values()):
            return True
        willing = {n: a.disk for n, a in answers.items() if a.granted}
        return partition.may_lead(view, willing | self.table.own_vote)

    async def try_to_lead(self, partition: Partition, epoch: int, promises: Promises) -> bool:
        """Becomes owner if the decision says so; False if the candidate must back off."""
        view = latest_view(promises.log)
        voters = promises.voters | self.table.own_vote
        required = set(self.table.other_members(partition, view)) | set(view.members)
        candidacy = Candidacy(
            epoch=epoch,
            promised=partition.promised,
            owning=partition.owning,
            quorum=partition.may_lead(view, voters),
            all_answered=all(n in voters or not self.table.configuration_view.addr(n) for n in required),
            blank=promises.log.last == 0,
            known_epoch=None if self.ask_epochs is not None else 0,
            lost_jobs=None if self.ask_kept_jobs is not None else (),
        )
        step = next_step(candidacy)
        if step is Step.ASK_EPOCHS and self.ask_epochs is not None:
            await self.ask_epochs()
            known = self.known_epochs.get(str(partition.id), 0)
            candidacy = replace(candidacy, promised=partition.promised, owning=partition.owning, known_epoch=known)
            step = next_step(candidacy)
            if step is Step.BACK_OFF:
                partition.promised = max(partition.promised, known)
        if step is Step.ASK_KEPT_JOBS and self.ask_kept_jobs is not None:
            lost = tuple([n for n in await self.ask_kept_jobs(partition.id) if n not in view.jobs])
            candidacy = replace(candidacy, promised=partition.promised, owning=partition.owning, lost_jobs=lost)
            step = next_step(candidacy)
        if step is Step.BACK_OFF:
            return False
        try:
            self.catch_up.adopt(partition, promises.log)
            self.owner.become_owner(partition, epoch, view.losses, voters, step, list(candidacy.lost_jobs or ()))
        except FaultError:
            partition.step_down()
            partition.heard = now()
        return True

    def write_promise(self, partition: Partition, epoch: int) -> int:
        """Appends a promise to the log on disk; returns the place up to which it must be synced."""
        return self.table.write(partition, [promise_entry(partition.id, epoch)])

    async def on_promise(self, body: Body) -> PeerResponse:
        """A promise not to accept anything below an epoch; synced before it is told."""
        request, bounds = PromiseRequest.decode(body), self.table.settings.bounds
        partition, epoch, disk = self.table.partition(request.partition), request.epoch, self.table.disk_id
        promised_before = partition.promised
        handed = bool(request.handed_epoch) and request.handed_epoch == max(partition.aligned, partition.epoch)
        alive = partition.owning or (partition.contacted and now() - partition.heard < bounds.detect * 0.9)
        if request.probe:
            return Ok(PromiseAnswer(disk, promised_before, not alive or handed).encode())
        if epoch <= partition.promised or (alive and not handed):
            return Ok(PromiseAnswer(disk, promised_before, False).encode())
        partition.promised = epoch
        if partition.owning:
            self.table.step_down(partition, epoch)
        partition.aligned = 0
        partition.heard, partition.contacted = now(), True
        try:
            await self.table.log.wait_synced(self.write_promise(partition, epoch))
        except FaultError as bad:
            return Err(bad.fault)
        if partition.promised != epoch:
            return Ok(PromiseAnswer(disk, partition.promised, False).encode())
        record_log = partition.record_log
        position = LogPosition(record_log.last_epoch, record_log.last)
        return Ok(PromiseAnswer(disk, epoch, True, position, record_log.marks()).encode())

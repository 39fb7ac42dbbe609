"""Elections: when a store runs for owner of a partition, what it asks the other members, and what it promises to them."""

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
    """The promises that a candidate has collected for its epoch.

    Attributes:
        log: The most complete log among those of the candidate and of the members that promised.
        asked_members: Names of the members that were asked.
        responses: The answers of the members that promised, by name.
    """

    log: RecordLog
    asked_members: list[str] = field(default_factory=list)
    responses: dict[str, PromiseAnswer] = field(default_factory=dict)

    @property
    def voters(self) -> dict[str, str]:
        """The members that promised, with the identities of their disks."""
        return {n: a.disk for n, a in self.responses.items()}

    def log_position(self, name: str) -> LogPosition:
        """Returns the position of the last record in a voter's log."""
        position = self.responses[name].position
        assert position is not None
        return position


@dataclass(eq=False)
class Election:
    """Runs elections for owner, and answers the promise requests of other candidates.

    Attributes:
        table: The partitions of this store.
        owner: Takes up the partitions that were won.
        catch_up: Fetches the log of a voter that has more records.
        ask_epochs: Asks other daemons for the highest epochs that they remember; None if there is nobody to ask.
        ask_kept_jobs: Asks other daemons for the jobs that they know to be kept in a partition; None if there is nobody
        to ask. known_epochs: Highest known epoch by partition. It is the daemon's own map, which `ask_epochs` fills.
    """

    table: PartitionTable
    owner: PartitionOwner
    catch_up: CatchUp
    ask_epochs: Callable[[], Awaitable[int]] | None = None
    ask_kept_jobs: Callable[[int], Awaitable[list[str]]] | None = None
    known_epochs: dict[str, int] = field(default_factory=dict)

    def run_if_silent(self, partition: Partition) -> None:
        """Begins an election if nothing was heard of the owner for the detection time and this store's stagger.

        Each member waits `bounds.candidate_delay` seconds longer than the one before it in the agreed order, so that
        normally only the first live member runs.
        """
        order = self.table.configuration_view.order(partition.id)
        members = partition.record_log.base.members if isinstance(partition.record_log.base, JobView) else {}
        ranks = order + [n for n in sorted(members) if n not in order]
        ranks = [n for n in ranks if n != partition.refused_owner]
        if self.table.settings.name not in ranks or partition.in_election or self.table.leaving:
            return
        bounds = self.table.settings.bounds
        if (
            now() - partition.last_heard_at
            > bounds.detection_time + ranks.index(self.table.settings.name) * bounds.candidate_delay
        ):
            self.run_soon(partition, 0)

    def run_soon(self, partition: Partition, handed_epoch: int) -> None:
        """Begins an election in the background; `in_election` is set until it has ended.

        Args:
            partition: The partition.
            handed_epoch: Epoch of the owner that handed the partition over; 0 if none did.
        """
        partition.in_election = True
        task = asyncio.create_task(self.run_election(partition, handed_epoch))
        self.table.background_tasks.add(task)

        def clear_in_election(task: asyncio.Task[None]) -> None:
            self.table.background_tasks.discard(task)
            partition.in_election = False

        task.add_done_callback(clear_in_election)

    async def ask_promises(
        self,
        partition: Partition,
        view: JobView,
        names: list[str],
        request: PromiseRequest,
        known_voters: dict[str, str] | None = None,
    ) -> dict[str, PromiseAnswer]:
        """Asks members for promises; does not wait for the remaining answers once there are enough promises to lead.

        Args:
            partition: The partition.
            view: The jobs and members of the log to lead with, which determine how many promises are needed.
            names: Names of the members to ask.
            request: The request to send.
            known_voters: Members that promised before, with their disks.

        Returns:
            The answers that arrived, by name.
        """

        def has_quorum(answers: dict[str, PeerResponse]) -> bool:
            decoded = {n: PromiseAnswer.decode(a.unwrap()) for n, a in answers.items() if isinstance(a, Ok)}
            voters = {n: a.disk for n, a in decoded.items() if a.granted}
            return partition.may_lead(view, (known_voters or {}) | voters | self.table.own_vote)

        body = request.encode()
        answers = await gather_until(
            {n: self.table.ask(n, "promise", body) for n in names},
            has_quorum,
            self.table.settings.bounds.heartbeat_interval / 2,
        )
        return {n: PromiseAnswer.decode(a.unwrap()) for n, a in answers.items() if isinstance(a, Ok)}

    async def collect_promises(self, partition: Partition, request: PromiseRequest) -> Promises | None:
        """Collects the promises of all members that have, or should have, a copy, and the most complete log among theirs.

        The members are recorded in the log: a candidate that lags behind learns of some members only from the log that
        it fetches, and then asks these as well. Without them it could neither become owner nor leave the election to a
        candidate that knows all members.

        Returns:
            The promises; None if a higher epoch was promised meanwhile or the log could not be fetched.
        """
        promises, epoch = Promises(partition.record_log), request.epoch
        next_members = self.table.other_members(partition, latest_view(partition.record_log))
        while next_members:
            view = latest_view(promises.log)
            answers = await self.ask_promises(partition, view, next_members, request, promises.voters)
            partition.promised = max([partition.promised, *(a.promised for a in answers.values())])
            if partition.promised != epoch or partition.owning:
                return None
            promises.asked_members += next_members
            promises.responses |= {n: a for n, a in answers.items() if a.granted}
            best_voter = max(promises.responses, key=promises.log_position, default="")
            if best_voter and promises.log_position(best_voter) > (promises.log.last_epoch, promises.log.last):
                fetched_log = await self.catch_up.fetch_log(
                    partition, best_voter, promises.responses[best_voter], epoch
                )
                if fetched_log is None or partition.promised != epoch:
                    return None
                promises.log = fetched_log
            next_members = [
                n
                for n in self.table.other_members(partition, latest_view(promises.log))
                if n not in promises.asked_members
            ]
        return promises

    async def run_election(self, partition: Partition, handed_epoch: int) -> None:
        """Runs one election for owner of a partition; on failure the next one is delayed by up to `bounds.candidate_delay`.

        Args:
            partition: The partition; this store's own promise of the new epoch is synced before others are asked.
            handed_epoch: Epoch of the owner that handed the partition over, for whose silence the members need not
            wait;
                0 if none did.
        """
        bounds = self.table.settings.bounds
        if not handed_epoch and not await self.could_win(partition):
            partition.last_heard_at = now() - bounds.detection_time + bounds.candidate_delay
            return
        epoch = partition.promised + 1
        partition.promised = epoch
        try:
            await self.table.log.wait_synced(self.write_promise(partition, epoch))
        except FaultError:
            return
        request = PromiseRequest(partition.id, self.table.settings.name, handed_epoch, epoch, probe=False)
        promises = await self.collect_promises(partition, request)
        retry_at = now() - bounds.detection_time + bounds.candidate_delay * self.table.environment.chance.random()
        if promises is None or not await self.try_to_lead(partition, epoch, promises):
            partition.last_heard_at = max(partition.last_heard_at, retry_at)

    async def could_win(self, partition: Partition) -> bool:
        """Returns whether enough members would promise.

        This is asked first (a pre-vote), so that a store that can't win does not raise the epoch.
        """
        view = latest_view(partition.record_log)
        probe = PromiseRequest(partition.id, self.table.settings.name, 0, partition.promised + 1, probe=True)
        answers = await self.ask_promises(partition, view, self.table.other_members(partition, view), probe)
        partition.promised = max([partition.promised, *(a.promised for a in answers.values())])
        if all(a.granted for a in answers.values()):
            return True
        willing_voters = {n: a.disk for n, a in answers.items() if a.granted}
        return partition.may_lead(view, willing_voters | self.table.own_vote)

    async def try_to_lead(self, partition: Partition, epoch: int, promises: Promises) -> bool:
        """Becomes the owner if the election's decision allows it.

        Returns:
            False if the candidate has to back off; True if it became owner, or stepped down since its disk failed.
        """
        view = latest_view(promises.log)
        voters = promises.voters | self.table.own_vote
        required_members = set(self.table.other_members(partition, view)) | set(view.members)
        candidacy = Candidacy(
            epoch=epoch,
            promised=partition.promised,
            owning=partition.owning,
            quorum=partition.may_lead(view, voters),
            all_answered=all(n in voters or not self.table.configuration_view.addr(n) for n in required_members),
            blank=promises.log.last == 0,
            known_epoch=None if self.ask_epochs is not None else 0,
            lost_jobs=None if self.ask_kept_jobs is not None else (),
        )
        step = next_step(candidacy)
        if step is Step.ASK_EPOCHS and self.ask_epochs is not None:
            await self.ask_epochs()
            known_epoch = self.known_epochs.get(str(partition.id), 0)
            candidacy = replace(
                candidacy, promised=partition.promised, owning=partition.owning, known_epoch=known_epoch
            )
            step = next_step(candidacy)
            if step is Step.BACK_OFF:
                partition.promised = max(partition.promised, known_epoch)
        if step is Step.ASK_KEPT_JOBS and self.ask_kept_jobs is not None:
            lost_jobs = tuple([n for n in await self.ask_kept_jobs(partition.id) if n not in view.jobs])
            candidacy = replace(candidacy, promised=partition.promised, owning=partition.owning, lost_jobs=lost_jobs)
            step = next_step(candidacy)
        if step is Step.BACK_OFF:
            return False
        try:
            self.catch_up.adopt(partition, promises.log)
            self.owner.become_owner(partition, epoch, view.losses, voters, step, list(candidacy.lost_jobs or ()))
        except FaultError:
            partition.step_down()
            partition.last_heard_at = now()
        return True

    def write_promise(self, partition: Partition, epoch: int) -> int:
        """Appends a promise to the log on disk; returns the offset up to which the log must be synced."""
        return self.table.write(partition, [promise_entry(partition.id, epoch)])

    async def on_promise(self, body: Body) -> PeerResponse:
        """Answers a candidate that asks for the promise not to accept anything under a lower epoch (verb `promise`).

        The promise is refused if the owner is alive and has not handed the partition over. It is synced before the
        answer is sent. A probe is answered without promising anything.
        """
        request, bounds = PromiseRequest.decode(body), self.table.settings.bounds
        partition, epoch, disk = self.table.partition(request.partition), request.epoch, self.table.disk_id
        promised_before = partition.promised
        was_handed_over = bool(request.handed_epoch) and request.handed_epoch == max(
            partition.aligned_epoch, partition.epoch
        )
        owner_alive = partition.owning or (
            partition.contacted and now() - partition.last_heard_at < bounds.detection_time * 0.9
        )
        if request.probe:
            return Ok(PromiseAnswer(disk, promised_before, not owner_alive or was_handed_over).encode())
        if epoch <= partition.promised or (owner_alive and not was_handed_over):
            return Ok(PromiseAnswer(disk, promised_before, False).encode())
        partition.promised = epoch
        if partition.owning:
            self.table.step_down(partition, epoch)
        partition.aligned_epoch = 0
        partition.last_heard_at, partition.contacted = now(), True
        try:
            await self.table.log.wait_synced(self.write_promise(partition, epoch))
        except FaultError as error:
            return Err(error.fault)
        if partition.promised != epoch:
            return Ok(PromiseAnswer(disk, partition.promised, False).encode())
        record_log = partition.record_log
        position = LogPosition(record_log.last_epoch, record_log.last)
        return Ok(PromiseAnswer(disk, epoch, True, position, record_log.marks()).encode())

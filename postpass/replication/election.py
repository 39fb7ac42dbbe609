"""Elections: when a store runs for owner of a partition, what it asks the other members, and what it promises to them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field, replace

from result import Err, Ok

from postpass.batch.job import JobView
from postpass.replication.catch_up import CatchUp
from postpass.replication.election_decision import Candidacy, Step, enough_answered_to_found, next_step
from postpass.replication.log_entries import promise_entry
from postpass.replication.messages import LogPosition, PromiseAnswer, PromiseRequest
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition, latest_membership, latest_view
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
            to ask.
        refresh_configuration: Asks other daemons for a newer configuration, and takes it over; None if there is nobody
            to ask.
        known_epochs: Highest known epoch by partition. It is the daemon's own map, which `ask_epochs` fills.
    """

    table: PartitionTable
    owner: PartitionOwner
    catch_up: CatchUp
    ask_epochs: Callable[[], Awaitable[int]] | None = None
    ask_kept_jobs: Callable[[int], Awaitable[list[str]]] | None = None
    refresh_configuration: Callable[[], Awaitable[object]] | None = None
    known_epochs: dict[str, int] = field(default_factory=dict)

    def run_if_silent(self, partition: Partition) -> None:
        """Begins an election if nothing was heard of the owner for the detection time and this store's stagger.

        Each candidate waits `bounds.candidate_delay` seconds longer than the one before it, so that normally only the
        first live one runs.
        """
        bounds = self.table.settings.bounds
        silence = now() - partition.last_heard_at
        if partition.in_election or self.table.leaving or silence <= bounds.detection_time:
            return
        rank = self.rank(partition)
        if rank is not None and silence > bounds.detection_time + rank * bounds.candidate_delay:
            self.run_soon(partition, 0)

    def rank(self, partition: Partition) -> int | None:
        """Returns how many candidates run before this store; None if it is none itself.

        The members run first, in the agreed order, since they have the records; they are found in the log, since the
        configuration may name other stores already. Stores that are to become members follow: they know of the members
        only by the answers of others.
        """
        own_name = self.table.settings.name
        order = [n for n in self.table.configuration_view.order(partition.id) if n != partition.refused_owner]
        membership = latest_membership(partition.record_log)
        members = {*membership.members, *self.table.uncovered_members(partition, membership)}
        members.discard(partition.refused_owner)
        candidates = [n for n in order if n in members] + sorted(members - set(order))
        candidates += [n for n in order if n not in members]
        if own_name not in candidates:
            return None
        was_led = self.known_epochs.get(str(partition.id), 0) > 0
        # Without a log it isn't known how many members there are; there are normally as many as names in the order.
        unknown_members = len(order) if was_led and not members else 0
        return candidates.index(own_name) + unknown_members

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
        candidate that knows all members. If these don't suffice, all other stores are asked too, see `other_stores`.

        Returns:
            The promises; None if a higher epoch was promised meanwhile or the log could not be fetched.
        """
        promises = Promises(partition.record_log)
        while names := self.next_to_ask(partition, promises):
            if not await self.collect_more(partition, request, promises, names):
                return None
        return promises

    async def collect_more(
        self, partition: Partition, request: PromiseRequest, promises: Promises, names: list[str]
    ) -> bool:
        """Asks further stores for promises, and fetches the most complete log among theirs; returns False if a higher
        epoch was promised meanwhile or the log could not be fetched."""
        membership, epoch = latest_membership(promises.log), request.epoch
        answers = await self.ask_promises(partition, membership, names, request, promises.voters)
        partition.promised = max([partition.promised, *(a.promised for a in answers.values())])
        if partition.promised != epoch or partition.owning:
            return False
        promises.asked_members += names
        promises.responses |= {n: a for n, a in answers.items() if a.granted}
        best_voter = max(promises.responses, key=promises.log_position, default="")
        if best_voter and promises.log_position(best_voter) > (promises.log.last_epoch, promises.log.last):
            fetched_log = await self.catch_up.fetch_log(partition, best_voter, promises.responses[best_voter], epoch)
            if fetched_log is None or partition.promised != epoch:
                return False
            promises.log = fetched_log
        return True

    def next_to_ask(self, partition: Partition, promises: Promises) -> list[str]:
        """Returns the stores to ask next: the known members first; then, if their promises don't suffice, all others."""
        membership = latest_membership(promises.log)
        members = [n for n in self.table.other_members(partition, membership) if n not in promises.asked_members]
        if members or partition.may_lead(membership, promises.voters | self.table.own_vote):
            return members
        others = self.other_stores(partition, membership, promises.voters)
        return [n for n in others if n not in promises.asked_members]

    def other_stores(self, partition: Partition, membership: JobView, voters: Collection[str]) -> list[str]:
        """Returns the stores besides the known members that have to be asked before a candidate may lead without a quorum.

        The known members may all be new ones: the configuration may have moved the partition to them while its owner
        was silent, and the stores that have the records may be named in no log that was seen. Empty if a known member
        with records does not answer, since no answer of other stores makes up for that.
        """
        members = self.table.other_members(partition, membership)
        if membership.members and any(n not in voters and self.table.configuration_view.addr(n) for n in members):
            return []
        return [n for n in self.table.all_other_stores() if n not in members]

    async def run_election(self, partition: Partition, handed_epoch: int) -> None:
        """Runs one election for owner of a partition; on failure the next one is delayed by up to `bounds.candidate_delay`.

        Args:
            partition: The partition; this store's own promise of the new epoch is synced before others are asked.
            handed_epoch: Epoch of the owner that handed the partition over, for whose silence the members need not
                wait; 0 if none did.
        """
        bounds = self.table.settings.bounds
        if not handed_epoch and not await self.could_win(partition):
            # A store that has left without knowing it goes on asking, so it asks less often.
            is_wanted = self.table.settings.name in self.table.configuration_view.order(partition.id)
            retry_delay = bounds.candidate_delay if is_wanted else bounds.detection_time
            partition.last_heard_at = now() - bounds.detection_time + retry_delay
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
        membership = latest_membership(partition.record_log)
        probe = PromiseRequest(partition.id, self.table.settings.name, 0, partition.promised + 1, probe=True)
        members = self.table.other_members(partition, membership)
        answers = await self.ask_promises(partition, membership, members, probe)
        if not self.would_suffice(partition, membership, answers) and all(a.granted for a in answers.values()):
            others = self.other_stores(partition, membership, answers)
            answers |= await self.ask_promises(partition, membership, others, probe)
        partition.promised = max([partition.promised, *(a.promised for a in answers.values())])
        return all(a.granted for a in answers.values()) or self.would_suffice(partition, membership, answers)

    def would_suffice(self, partition: Partition, membership: JobView, answers: dict[str, PromiseAnswer]) -> bool:
        """Returns whether the promises that were given, or would be, suffice to lead."""
        willing_voters = {n: a.disk for n, a in answers.items() if a.granted}
        return partition.may_lead(membership, willing_voters | self.table.own_vote)

    async def try_to_lead(self, partition: Partition, epoch: int, promises: Promises) -> bool:
        """Becomes the owner if the election's decision allows it.

        Returns:
            False if the candidate has to back off; True if it became owner, or stepped down since its disk failed.
        """
        view = latest_view(promises.log)
        voters = promises.voters | self.table.own_vote
        candidacy = self.candidacy(partition, epoch, promises)
        step = next_step(candidacy)
        if step in (Step.ASK_EPOCHS, Step.ASK_KEPT_JOBS) and await self.are_stores_outdated(partition):
            return False  # other stores may have copies than those that were asked; the next election asks them
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
            first_members = {n: d for n, d in voters.items() if n in self.copy_holders(partition, view)}
            self.owner.become_owner(partition, epoch, view.losses, first_members, step, list(candidacy.lost_jobs or ()))
        except FaultError:
            partition.step_down()
            partition.last_heard_at = now()
        return True

    def copy_holders(self, partition: Partition, view: JobView) -> set[str]:
        """Returns the stores that have, or should have, a copy of the partition, including this one."""
        return {self.table.settings.name, *self.table.other_members(partition, view)}

    def candidacy(self, partition: Partition, epoch: int, promises: Promises) -> Candidacy:
        """Returns what is known of this candidate's election once the promises are collected."""
        membership = latest_membership(promises.log)
        voters = promises.voters | self.table.own_vote
        stores = self.table.all_other_stores() + self.table.other_members(partition, membership)
        unanswered = [n for n in dict.fromkeys(stores) if n not in voters and self.table.configuration_view.addr(n)]
        return Candidacy(
            epoch=epoch,
            promised=partition.promised,
            owning=partition.owning,
            quorum=partition.may_lead(membership, voters),
            all_answered=not unanswered,
            blank=promises.log.last == 0,
            known_epoch=None if self.ask_epochs is not None else 0,
            lost_jobs=None if self.ask_kept_jobs is not None else (),
            enough_to_found=enough_answered_to_found(
                len(unanswered),
                len(self.table.configuration_view.order(partition.id)),
                self.table.settings.disks_lost,
            ),
        )

    async def are_stores_outdated(self, partition: Partition) -> bool:
        """Takes over the newest configuration that other daemons have; returns whether it has other stores, or others
        that should have a copy, than the one that was in force here."""
        stores_before = (self.table.all_other_stores(), self.table.configuration_view.order(partition.id))
        if self.refresh_configuration is not None:
            await self.refresh_configuration()
        return stores_before != (self.table.all_other_stores(), self.table.configuration_view.order(partition.id))

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

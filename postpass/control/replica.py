"""Replication of the control state: appends to the backups, commits, and the confirmation that this member still
leads."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass.configuration.configuration import Configuration
from postpass.control.contact import Contact
from postpass.control.epochs import Acknowledgement, ReplicaSet
from postpass.control.journal import BaseMismatchError, Change, Image, JournalError
from postpass.control.member import INFINITY
from postpass.control.messages import APPEND, AppendAnswer, AppendRequest
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import gather_until, now
from postpass.runtime.errors import NO_SPACE, Fault, FaultError
from postpass.runtime.log_events import Event


class Replica(Contact):
    """Sends the state to the replicas as the primary, and handles appends as one of the replicas.

    Changes `replicated_state` (by a commit here, or by an append from another member), `committed` and
    `configuration_view` (once all holders have synced), `leader`, `leader_heard` and `leader_silent_since` (by appends
    of a granted epoch). Owns `backup_heard`, `voter_heard`, `departing_members` and `wiped_backups`, which change by
    the answers of other members. Decides whether an append is accepted, whether a state is durable at all holders, and
    whether this member was still the primary when a request arrived.
    """

    async def on_copy(self, body: Body) -> PeerResponse:
        """Handles an append from the primary, or from a candidate to its backups: a state to sync, or a heartbeat alone.
        Nothing of an epoch is accepted before the promise of that epoch is on disk."""
        request = AppendRequest.from_json(body)
        record = self.vote_record.accept(request.epoch, request.sender, request.granted)
        if record is None:
            return self.append_answer(request, False)
        if record.promised > self.promise_on_disk:
            promise_response = await self.promise(record)
            if isinstance(promise_response, Err):
                return promise_response
            if request.epoch < self.vote_record.promised:
                return self.append_answer(request, False)
        if request.granted:
            self.follow_leader(request.sender)
        if not request.is_heartbeat:
            try:
                is_synced = await (
                    self.sync_change(request) if request.change_json is not None else self.sync_full_state(request)
                )
            except FaultError as error:
                return Err(error.fault)
            if not is_synced or request.epoch < self.vote_record.promised:
                return self.append_answer(request, False)
            self.replicated_state = self.last_synced_state()
        if request.granted:
            self.learn_revision(request)
        return self.append_answer(request, True)

    def follow_leader(self, name: str) -> None:
        """Records that the primary of a granted epoch was heard, and wakes all tasks that wait for one."""
        self.leader_silent_since = now()
        # A message that waited in a socket while this process stood still proves contact for the time before that only.
        self.leader_heard = max(self.leader_heard, self.pause_detector.earliest_arrival())
        self.leader = name
        self.announce_leader()

    async def sync_full_state(self, request: AppendRequest) -> bool:
        """Syncs the complete state that was sent, unless this member has a newer one; returns whether it did."""
        received = request.state()
        if received.replica_set.voters.get(self.settings.name) != self.disk_id:
            # Meant for the disk that this member had before: the request may have been under way since then.
            return False
        if received.order < self.replicated_state.order:
            return False
        await self.write_journal(
            self.journal.replace(Image.of(received.epoch, received.state.revision, received.as_json()))
        )
        return True

    async def sync_change(self, request: AppendRequest) -> bool:
        """Syncs the change that was sent if its base is exactly the state of this member, and returns whether it did.
        If not, the sender sends the complete state."""
        try:
            change = request.change()
            if change.position.epoch != request.epoch:
                return False
            if change.base.epoch != request.epoch and not self.may_sync_proposal(change):
                return False
            await self.write_journal(self.journal.append(change))
        except JournalError as error:
            log_events.emit(Event.CHANGE_MISMATCH, self.settings.name, why=str(error)[:160])
            return False
        return True

    def may_sync_proposal(self, change: Change) -> bool:
        """Returns whether this member may sync the state with which a new epoch begins, sent as a change of the state
        that it has from an earlier epoch. The conditions are those of a complete state; raises JournalError if this
        member has another state."""
        image = self.journal.image
        if image is None:
            raise BaseMismatchError("no state is held here")
        proposal = ReplicatedState.from_json(image.apply(change).tree)
        is_own_disk = proposal.replica_set.voters.get(self.settings.name) == self.disk_id
        return is_own_disk and proposal.order >= self.replicated_state.order

    def learn_revision(self, request: AppendRequest) -> None:
        """Takes over the revision that the primary says is in force: publishes it, or starts to fetch it from the
        primary if this member has no copy of it."""
        revision = request.revision
        if revision <= self.configuration_view.revision:
            return
        if self.replicated_state.epoch == request.epoch and self.replicated_state.state.revision == revision:
            self.publish(self.replicated_state.state)
        elif address := self.peer_address(request.sender) or request.address:
            task = asyncio.create_task(self.follower.fetch(address))
            self.background_tasks.add(task)
            task.add_done_callback(self.background_tasks.discard)

    def append_answer(self, request: AppendRequest, accepted: bool) -> PeerResponse:
        """Returns the answer to an append; to a change it contains the position of this member's state."""
        image = self.journal.image
        position = image.position if request.change_json is not None and image is not None else None
        answer = AppendAnswer(accepted, request.epoch, self.vote_record.promised, self.disk_id, self.leaving, position)
        return Ok(answer.as_json())

    def append_limit(self, is_complete_state: bool) -> float:
        """Returns the time limit, in seconds, of an append."""
        # Where machines announce themselves, another backup is soon found, so an order doesn't wait long for this one.
        limit = self.settings.bounds.sync_request_limit / (2 if self.settings.announce else 1)
        return limit + self.state_transfer_time() if is_complete_state else limit

    async def append_to(
        self,
        replicated_state: ReplicatedState | None,
        epoch: int,
        member: str,
        change: Change | None = None,
        is_proposal: bool = False,
    ) -> Acknowledgement | None:
        """Sends a member the state, as a change if one is given. Without a state (`replicated_state` is None) the
        request is a heartbeat under the epoch.

        Returns the member's acknowledgement, or None if it gave none. A member that can't apply the change is sent the
        complete state, as long as this member leads the epoch or, with `is_proposal`, is the candidate for it.
        """
        address = self.peer_address(member)
        if not address:
            return None
        request = AppendRequest(
            epoch=epoch,
            sender=self.settings.name,
            revision=self.configuration_view.revision,
            address=self.settings.peer,
            granted=self.epoch == epoch,
            change_json=change.as_json() if change is not None else None,
            state_json=replicated_state.as_json() if change is None and replicated_state is not None else None,
        )
        limit = self.append_limit(request.state_json is not None)
        sent_at = now()
        response = await self.peer_links.request(address, APPEND, request.as_json(), limit)
        if isinstance(response, Err):
            return None
        answer, replica_set = AppendAnswer.from_json(response.unwrap(), epoch), self.replicated_state.replica_set
        if answer.promised > epoch and self.epoch == epoch:
            self.step_down(answer.promised)
        if epoch == self.epoch and member in replica_set.backups and replica_set.voters.get(member) != answer.disk:
            self.wiped_backups.add(member)
        elif change is not None and not (answer.accepted and answer.position == change.position):
            # The member has another state, or runs a release that knows complete states only and took this for a
            # heartbeat.
            is_still_sender = self.epoch == epoch or (is_proposal and self.vote_record.promised == epoch)
            return await self.append_to(replicated_state, epoch, member) if is_still_sender else None
        if not answer.accepted:
            return None
        (self.departing_members.add if answer.leaving else self.departing_members.discard)(member)
        acknowledgement = Acknowledgement(member, answer.disk, answer.epoch)
        if epoch == self.epoch and replica_set.is_valid_acknowledgement(acknowledgement):
            # From when the request was sent: the answer may have waited in a socket while this process stood still.
            self.voter_heard[member] = max(self.voter_heard.get(member, -INFINITY), sent_at)
            if member in replica_set.backups:
                self.backup_heard[member] = now()
        return acknowledgement

    async def append_to_backups(
        self,
        replicated_state: ReplicatedState | None,
        epoch: int,
        change: Change | None = None,
        is_proposal: bool = False,
    ) -> list[Acknowledgement]:
        """Sends the state, or a heartbeat alone, to all backups of the present replica set; returns the
        acknowledgements."""
        backups = self.replicated_state.replica_set.backups
        answers = await asyncio.gather(
            *(self.append_to(replicated_state, epoch, n, change, is_proposal) for n in backups)
        )
        return [a for a in answers if a is not None]

    async def append_to_all(
        self,
        replicated_state: ReplicatedState | None,
        epoch: int,
        change: Change | None = None,
        is_proposal: bool = False,
    ) -> bool:
        """Sends the state, or a heartbeat alone, to all backups; returns whether all of them acknowledged under this
        epoch, each by the disk that the replica set names."""
        replica_set = self.replicated_state.replica_set
        answers = await self.append_to_backups(replicated_state, epoch, change, is_proposal)
        return replica_set.epoch == epoch and replica_set.acknowledged_by_all_backups(answers)

    async def commit(self, state: State) -> bool:
        """Writes a state here and at all backups, and publishes it.

        Returns True once the state is synced by all holders and most voters have answered under this epoch since the
        call. False means that it is not known whether the state will take effect. Steps down if this member's disk
        stalls or stays full. Raises FaultError if the disk fails or is full.
        """
        epoch, replica_set = self.epoch, self.replicated_state.replica_set
        # The voters without a copy of the state are asked while the disks sync, so that their round trip adds no delay.
        voters_task = asyncio.create_task(self.collect_voter_acknowledgements(epoch, replica_set))
        try:
            async with asyncio.timeout(self.settings.bounds.detection_time):
                stored = await self.store(ReplicatedState(epoch, replica_set, state))
            if self.epoch != epoch:
                return False
            self.replicated_state = replicated_state = stored.replicated_state
            backups = await self.append_to_backups(replicated_state, epoch, stored.change)
            answers = [self.own_acknowledgement(epoch), *backups]
            if not replica_set.acknowledged_by_all_backups(answers):
                return False
            if not replica_set.confirmed_by(answers):
                answers += await voters_task
        except FaultError as error:
            if error.fault.code == NO_SPACE and self.disk_stays_full:
                # Nothing was written, and nothing will be as long as the disk is full; another member may lead
                # meanwhile.
                self.step_down("the disk is full")
            raise
        except TimeoutError:
            # While its disk stalls this member accepts no change; another member may lead meanwhile.
            self.step_down(epoch)
            return False
        finally:
            voters_task.cancel()
        if self.epoch != epoch or not replica_set.confirmed_by(answers):
            return False
        self.publish(replicated_state.state)
        # The backups learn that the state is committed before the operator is answered, and the other members are
        # notified: so it comes into force within its time limit even if this machine dies now, since the backups serve
        # it as well.
        for name in [n for n in self.members(state.manifest) if n not in replicated_state.replica_set]:
            task = asyncio.create_task(self.notify(name, epoch))
            self.background_tasks.add(task)
            task.add_done_callback(self.background_tasks.discard)
        await self.append_to_all(None, epoch)
        return True

    def own_acknowledgement(self, epoch: int) -> Acknowledgement:
        """Returns this member's own acknowledgement; its disk has synced what the others are asked to sync."""
        return Acknowledgement(self.settings.name, self.disk_id, epoch)

    async def collect_voter_acknowledgements(self, epoch: int, replica_set: ReplicaSet) -> list[Acknowledgement]:
        """Sends a heartbeat to the voters that are not holders, and returns the acknowledgements. Ends as soon as they
        would confirm the epoch together with the holders."""
        holders = [Acknowledgement(n, replica_set.voters.get(n, ""), epoch) for n in replica_set.holders]

        def has_quorum(responses: dict[str, Acknowledgement | None]) -> bool:
            return replica_set.confirmed_by([*holders, *(a for a in responses.values() if a is not None)])

        if has_quorum({}):
            return []
        requests = {n: self.append_to(None, epoch, n) for n in replica_set.voters if n not in replica_set}
        responses = await gather_until(requests, has_quorum, 0.0)
        return [a for a in responses.values() if a is not None]

    async def settle_replica_set(self) -> None:
        """Writes the state once more at all holders, now that its epoch is known to be granted and its replica set is
        settled: an election that continues from it needs no majority of the previous voters any more. Must be called
        with the lock held; raises FaultError if this member's disk fails."""
        stored = await self.store(self.replicated_state)
        self.replicated_state, epoch = stored.replicated_state, stored.replicated_state.epoch
        answers = await self.append_to_backups(stored.replicated_state, epoch, stored.change)
        if self.replicated_state.replica_set.acknowledged_by_all_backups(answers) and self.unsettled_epoch == epoch:
            self.unsettled_epoch = 0

    async def notify(self, name: str, epoch: int) -> None:
        """Sends one member a heartbeat, from which it learns the revision in force."""
        await self.append_to(None, epoch, name)

    async def send_heartbeats(self, epoch: int, configuration: Configuration) -> list[Acknowledgement]:
        """Sends a heartbeat, which is an append without a state, to all other members and returns the acknowledgements.
        Once most members have answered, the rest are waited for only a short time."""
        others = [n for n in self.members(configuration) if n != self.settings.name]

        def has_majority(responses: dict[str, Acknowledgement | None]) -> bool:
            return 2 * (1 + sum(a is not None for a in responses.values())) > len(others) + 1

        requests = {n: self.append_to(None, epoch, n) for n in others}
        responses = await gather_until(requests, has_majority, self.settings.bounds.sync_request_limit / 2)
        return [a for a in responses.values() if a is not None]

    async def ask_all(
        self, verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, Body]:
        """Sends a request to these members, which may include this one, and returns the answers by member; members that
        gave none are left out.

        Once most have answered, the others are waited for no longer than a heartbeat interval. `quick` uses shorter
        limits, for a member that leads while clients wait.
        """
        bounds = self.settings.bounds

        async def ask_member(name: str) -> PeerResponse:
            machine = configuration["machines"].get(name)
            if not machine or machine.get("gone"):
                return Err(Fault(verb, name, "gone"))
            if name == self.settings.name:
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.peer_links.request(
                machine["peer"], verb, body, bounds.heartbeat_interval / 2 if quick else bounds.sync_request_limit
            )

        def has_majority(responses: dict[str, PeerResponse]) -> bool:
            return 2 * sum(isinstance(g, Ok) for g in responses.values()) > len(names)

        responses = await gather_until(
            {n: ask_member(n) for n in names},
            has_majority,
            bounds.heartbeat_interval / 8 if quick else bounds.heartbeat_interval,
        )
        return {n: g.unwrap() for n, g in responses.items() if isinstance(g, Ok)}

    async def run_confirmation_round(self) -> list[Acknowledgement]:
        """Sends a heartbeat to all voters and backups, and returns the acknowledgements, this member's own included.
        Ends as soon as they confirm the epoch. All of them answer messages that were sent after the call, so if they
        confirm the epoch no other member led at the time of the call."""
        epoch, replica_set = self.epoch, self.replicated_state.replica_set
        own = self.own_acknowledgement(epoch)

        def has_quorum(responses: dict[str, Acknowledgement | None]) -> bool:
            return replica_set.confirmed_by([own, *(a for a in responses.values() if a is not None)])

        names = sorted({*replica_set.voters, *replica_set.backups} - {self.settings.name})
        responses = await gather_until({name: self.append_to(None, epoch, name) for name in names}, has_quorum, 0.0)
        return [own, *(a for a in responses.values() if a is not None)]

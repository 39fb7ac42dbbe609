"""Replication of the control state: append to the backups, commit, and confirm that this member still leads."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass.configuration.configuration import Configuration
from postpass.control.contact import Contact
from postpass.control.epochs import Acknowledgement, ReplicaSet
from postpass.control.journal import Change, Image, JournalError
from postpass.control.messages import APPEND, AppendAnswer, AppendRequest
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import gather_until, now
from postpass.runtime.errors import FULL, Fault, FaultError
from postpass.runtime.log_events import Event


class Replica(Contact):
    """Copies the state to the replicas, and answers as one of them.

    Changes `replicated_state` (a commit here, or an append of another), `committed` and `configuration_view` (once all
    holders synced), `leader`, `leader_heard` and `leader_silent_since` (by appends of a granted epoch). Owns
    `backup_heard`, `voter_heard`, `departing_members` and `wiped_backups`, which the answers of others change.
    Decides whether an append is accepted, whether a state is durable at all holders, and whether this member was still
    the primary when a request came.
    """

    async def on_copy(self, body: Body) -> PeerResponse:
        """From the primary, or from a candidate to its backups: the state to sync, or just a heartbeat under the epoch.
        Nothing of an epoch is accepted before the promise of that epoch is on disk."""
        request = AppendRequest.from_json(body)
        accepted = self.vote_record.accept(request.epoch, request.sender, request.granted)
        if accepted is None:
            return self.append_answer(request, False)
        if accepted.promised > self.promise_on_disk:
            promised = await self.promise(accepted)
            if isinstance(promised, Err):
                return promised
            if request.epoch < self.vote_record.promised:
                return self.append_answer(request, False)
        if request.granted:
            self.follow_leader(request.sender)
        if not request.is_heartbeat:
            try:
                is_synced = await (
                    self.take_change(request) if request.change_json is not None else self.take_state(request)
                )
            except FaultError as bad:
                return Err(bad.fault)
            if not is_synced or request.epoch < self.vote_record.promised:
                return self.append_answer(request, False)
            self.replicated_state = self.stored()
        if request.granted:
            self.learn_version(request)
        return self.append_answer(request, True)

    def follow_leader(self, name: str) -> None:
        """The primary of a granted epoch was heard."""
        self.leader_silent_since = self.leader_heard = now()
        self.leader = name
        self.announce_leader()

    async def take_state(self, request: AppendRequest) -> bool:
        """Syncs a whole state, unless a newer one is held."""
        new = request.state()
        if new.replica_set.voters.get(self.settings.name) != self.disk_id:
            # Meant for the disk that this member had before; it may have been under way since then.
            return False
        if new.order < self.replicated_state.order:
            return False
        await self.write_journal(self.journal.replace(Image.of(new.epoch, new.state.revision, new.raw())))
        return True

    async def take_change(self, request: AppendRequest) -> bool:
        """Syncs a change if exactly the state that it builds on is held here; if not, the primary sends the whole."""
        try:
            change = request.change()
            if change.base.epoch != request.epoch or change.position.epoch != request.epoch:
                return False
            await self.write_journal(self.journal.append(change))
        except JournalError as error:
            log_events.emit(Event.CHANGE_MISMATCH, self.settings.name, why=str(error)[:160])
            return False
        return True

    def learn_version(self, request: AppendRequest) -> None:
        """The primary tells the revision in force: publishes it, or fetches it if this member has no copy of it."""
        revision = request.revision
        if revision <= self.configuration_view.revision:
            return
        if self.replicated_state.epoch == request.epoch and self.replicated_state.state.revision == revision:
            self.publish(self.replicated_state.state)
        elif at := self.addr(request.sender) or request.address:
            task = asyncio.create_task(self.follower.fetch(at))
            self.fetches.add(task)
            task.add_done_callback(self.fetches.discard)

    def append_answer(self, request: AppendRequest, accepted: bool) -> PeerResponse:
        """The answer to an append; where a change came, with the position of the state that is held."""
        image = self.journal.image
        position = image.position if request.change_json is not None and image is not None else None
        answer = AppendAnswer(accepted, request.epoch, self.vote_record.promised, self.disk_id, self.leaving, position)
        return Ok(answer.as_json())

    async def append_to(
        self, replicated_state: ReplicatedState | None, epoch: int, to: str, change: Change | None = None
    ) -> Acknowledgement | None:
        """Sends the state, as a change where one is given, or a heartbeat alone; the member's acknowledgement, if any."""
        addr = self.addr(to)
        if not addr:
            return None
        request = AppendRequest(
            epoch=epoch,
            sender=self.settings.name,
            revision=self.configuration_view.revision,
            address=self.settings.peer,
            granted=self.epoch == epoch,
            change_json=change.as_json() if change is not None else None,
            state_json=replicated_state.raw() if change is None and replicated_state is not None else None,
        )
        # Where machines announce themselves another backup is soon found; an order doesn't wait long for this one.
        wait = self.settings.bounds.promise / (2 if self.settings.announce else 1)
        got = await self.peer_links.request(addr, APPEND, request.as_json(), wait)
        if isinstance(got, Err):
            return None
        answer, replica_set = AppendAnswer.from_json(got.unwrap(), epoch), self.replicated_state.replica_set
        if answer.promised > epoch and self.epoch == epoch:
            self.step_down(answer.promised)
        if epoch == self.epoch and to in replica_set.backups and replica_set.voters.get(to) != answer.disk:
            self.wiped_backups.add(to)
        elif change is not None and not (answer.accepted and answer.position == change.position):
            # It held another state, or is of a release that takes whole states only and took this for a heartbeat.
            return await self.append_to(replicated_state, epoch, to) if self.epoch == epoch else None
        if not answer.accepted:
            return None
        (self.departing_members.add if answer.leaving else self.departing_members.discard)(to)
        acknowledgement = Acknowledgement(to, answer.disk, answer.epoch)
        if epoch == self.epoch and replica_set.counts(acknowledgement):
            self.voter_heard[to] = now()
            if to in replica_set.backups:
                self.backup_heard[to] = now()
        return acknowledgement

    async def append_to_backups(
        self, replicated_state: ReplicatedState | None, epoch: int, change: Change | None = None
    ) -> list[Acknowledgement]:
        """Sends the state, or a heartbeat alone, to all backups of the present replica set; who acknowledged."""
        answers = await asyncio.gather(
            *(self.append_to(replicated_state, epoch, n, change) for n in self.replicated_state.replica_set.backups)
        )
        return [a for a in answers if a is not None]

    async def append_to_all(self, replicated_state: ReplicatedState | None, epoch: int) -> bool:
        """True once all backups of the epoch have acknowledged, each by the disk that the replica set names."""
        replica_set = self.replicated_state.replica_set
        answers = await self.append_to_backups(replicated_state, epoch)
        return replica_set.epoch == epoch and replica_set.copied_to_all(answers)

    async def commit(self, state: State) -> bool:
        """True once the state is synced here and at all backups, and most voters have answered under this epoch since."""
        epoch, replica_set = self.epoch, self.replicated_state.replica_set
        # The voters that keep no copy are asked while the disks sync, so that their round trip adds no delay.
        others = asyncio.create_task(self.answers_of_voters(epoch, replica_set))
        try:
            async with asyncio.timeout(self.settings.bounds.detect):
                stored = await self.store(ReplicatedState(epoch, replica_set, state))
            if self.epoch != epoch:
                return False
            self.replicated_state = replicated_state = stored.replicated_state
            backups = await self.append_to_backups(replicated_state, epoch, stored.change)
            answers = [self.own_acknowledgement(epoch), *backups]
            if not replica_set.copied_to_all(answers):
                return False
            if not replica_set.confirmed_by(answers):
                answers += await others
        except FaultError as bad:
            if bad.fault.code == FULL and self.disk_stays_full:
                # Nothing was written, and nothing will be while there is no room; another may lead meanwhile.
                self.step_down("the disk is full")
            raise
        except TimeoutError:
            # While its disk stalls this member takes no change; another may lead meanwhile.
            self.step_down(epoch)
            return False
        finally:
            others.cancel()
        if self.epoch != epoch or not replica_set.confirmed_by(answers):
            return False
        self.publish(replicated_state.state)
        # In force within its bound even if this machine dies now: the backups hand it out as well before the
        # operator is answered, and the other voters are told.
        for name in [n for n in self.members(state.manifest) if n not in replicated_state.replica_set]:
            task = asyncio.create_task(self.notify(name, epoch))
            self.fetches.add(task)
            task.add_done_callback(self.fetches.discard)
        await self.append_to_all(None, epoch)
        return True

    def own_acknowledgement(self, epoch: int) -> Acknowledgement:
        """That this member's own disk has synced what the others are asked for."""
        return Acknowledgement(self.settings.name, self.disk_id, epoch)

    async def answers_of_voters(self, epoch: int, replica_set: ReplicaSet) -> list[Acknowledgement]:
        """A round to the voters that are no holders; ends once they and the holders are a majority."""
        holders = [Acknowledgement(n, replica_set.voters.get(n, ""), epoch) for n in replica_set.holders]

        def enough(got: dict[str, Acknowledgement | None]) -> bool:
            return replica_set.confirmed_by([*holders, *(a for a in got.values() if a is not None)])

        if enough({}):
            return []
        asks = {n: self.append_to(None, epoch, n) for n in replica_set.voters if n not in replica_set}
        got = await gather_until(asks, enough, 0.0)
        return [a for a in got.values() if a is not None]

    async def settle(self) -> None:
        """Once more the state to the disks of all holders, now that its epoch is known to be granted: an election that
        rests on it needs no majority of the voters before any more. Called with the lock held."""
        stored = await self.store(self.replicated_state)
        self.replicated_state, epoch = stored.replicated_state, stored.replicated_state.epoch
        answers = await self.append_to_backups(stored.replicated_state, epoch, stored.change)
        if self.replicated_state.replica_set.copied_to_all(answers) and self.unsettled_epoch == epoch:
            self.unsettled_epoch = 0

    async def notify(self, name: str, epoch: int) -> None:
        """Sends one member a heartbeat, by which it learns the revision in force."""
        await self.append_to(None, epoch, name)

    async def heartbeat(self, epoch: int, configuration: Configuration) -> list[Acknowledgement]:
        """One round to all other members; those that are late are not waited for once most have answered."""
        others = [n for n in self.members(configuration) if n != self.settings.name]

        def enough(got: dict[str, Acknowledgement | None]) -> bool:
            return 2 * (1 + sum(a is not None for a in got.values())) > len(others) + 1

        asks = {n: self.append_to(None, epoch, n) for n in others}
        got = await gather_until(asks, enough, self.settings.bounds.promise / 2)
        return [a for a in got.values() if a is not None]

    async def ask_all(
        self, verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, Body]:
        """The answers of these members, this one among them, to a request; those that gave none are left out.

        Once most have answered, the others are waited for no longer than a heartbeat. `quick` takes shorter limits, where
        this member leads and clients wait.
        """
        bounds = self.settings.bounds

        async def one(name: str) -> PeerResponse:
            machine = configuration["machines"].get(name)
            if not machine or machine.get("gone"):
                return Err(Fault(verb, name, "gone"))
            if name == self.settings.name:
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.peer_links.request(
                machine["peer"], verb, body, bounds.beat / 2 if quick else bounds.promise
            )

        def enough(got: dict[str, PeerResponse]) -> bool:
            return 2 * sum(isinstance(g, Ok) for g in got.values()) > len(names)

        got = await gather_until({n: one(n) for n in names}, enough, bounds.beat / 8 if quick else bounds.beat)
        return {n: g.unwrap() for n, g in got.items() if isinstance(g, Ok)}

    async def confirmation_round(self) -> list[Acknowledgement]:
        """Answers under this epoch to messages sent from now on; ends once they confirm it."""
        epoch, replica_set = self.epoch, self.replicated_state.replica_set
        mine = self.own_acknowledgement(epoch)

        def enough(got: dict[str, Acknowledgement | None]) -> bool:
            return replica_set.confirmed_by([mine, *(a for a in got.values() if a is not None)])

        names = sorted({*replica_set.voters, *replica_set.backups} - {self.settings.name})
        got = await gather_until({name: self.append_to(None, epoch, name) for name in names}, enough, 0.0)
        return [mine, *(a for a in got.values() if a is not None)]

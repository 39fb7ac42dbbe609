"""Leadership over time: the heartbeat of a primary, the watch of the others, and handing over."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass.configuration.configuration import Configuration
from postpass.control.election_rules import Cause, ElectionReason, PreVotes, restart_turn
from postpass.control.epochs import Acknowledgement, in_touch
from postpass.control.member import INFINITY
from postpass.control.messages import ADOPT, AdoptAnswer, AdoptRequest
from postpass.control.registry import Registry
from postpass.membership.safe_change import gives_up_vote
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import FaultError
from postpass.runtime.log_events import Event


class Leadership(Registry):
    """Keeps this member a primary, or makes it one when there is none.

    Changes `epoch` (cleared when a majority is silent, or to hand over) and `leader_silent_since`, from which the watch
    counts. Decides when an election is due: after a restart, after silence, when a backup or voter is to be replaced, and
    when this member leaves.
    """

    async def tick(self) -> None:
        """The heartbeat of a primary, or the watch of any other member, at random intervals around a heartbeat's."""
        bounds = self.settings.bounds
        while True:
            await asyncio.sleep(bounds.beat * (0.8 + 0.4 * self.environment.chance.random()))
            configuration = self.known()
            if configuration is None or self.settings.name not in self.members(configuration):
                continue
            self.note_newcomers(configuration)
            try:
                if self.epoch:
                    await self.lead_heartbeat(configuration)
                elif not self.leaving or self.settings.name in self.vote_record.replica_set:
                    # One that holds the state may be the only one that can lead, also while it leaves.
                    await self.watch_for_leader(configuration)
            except FaultError as bad:
                log_events.emit(Event.TASK_FAILED, self.settings.name, step=bad.fault.step, why=bad.fault.why)

    async def lead_heartbeat(self, configuration: Configuration) -> None:
        """The primary's heartbeat to all members; steps down without a majority, and mends the replica set."""
        bounds, epoch, replica_set = self.settings.bounds, self.epoch, self.replicated_state.replica_set
        answers = await self.heartbeat(epoch, configuration)
        if self.epoch != epoch:
            return
        self.voter_heard[self.settings.name] = now()
        if not in_touch(replica_set.voters, self.voter_heard, now() - bounds.detect):
            self.step_down("no majority answers")
            return
        if configuration.get("announced"):
            self.machine_heartbeats |= dict.fromkeys([self.settings.name, *(a.member for a in answers)], now())
            self.spawn(self.reconcile())
        reason = self.flaw_of_replica_set(configuration, answers)
        if reason is not None:
            async with self.lock:
                if self.epoch == epoch:
                    await self.renew_replica_set(configuration, reason)
        elif self.unsettled_epoch == epoch and not self.lock.locked():
            async with self.lock:
                await self.settle()

    def flaw_of_replica_set(
        self, configuration: Configuration, answers: list[Acknowledgement]
    ) -> ElectionReason | None:
        """Why another replica set or other voters are wanted; None if they are not."""
        oldest = now() - self.settings.bounds.detect
        if (
            self.wiped_backups
            or self.backup_is_leaving(answers)
            or any(at < oldest for at in self.backup_heard.values())
        ):
            return ElectionReason(Cause.BACKUP_LOST)
        if self.better_replica_set(configuration, [a.member for a in answers]):
            return ElectionReason(Cause.TOO_FEW_BACKUPS)
        changed = self.voters_to_change(configuration, answers)
        return ElectionReason(Cause.VOTERS_CHANGE, tuple(changed)) if changed else None

    def backup_is_leaving(self, answers: list[Acknowledgement]) -> bool:
        """Was a backup told to leave, while another member could hold the state in its place?"""
        replica_set = self.replicated_state.replica_set
        others = [a for a in answers if a.member not in replica_set and a.member not in self.departing_members]
        return bool(others) and bool(self.departing_members & set(replica_set.backups))

    async def lead_after_restart(self) -> None:
        """After a start: where most have started as well and nobody has heard a primary since, there is none to wait for.

        The primary of the newest epoch runs for election at once. Each backup lets those before it, for a heartbeat, unless
        it is seen that they lost their disks; anyone else leaves it to the ordinary watch. A mistake costs an epoch and no
        more.
        """
        bounds, began, able_since = self.settings.bounds, now(), INFINITY
        while now() - began < bounds.detect and not (self.epoch or self.leaving) and self.leader_heard < began:
            configuration = self.known()
            if configuration is not None and self.may_lead_after_restart(configuration):
                prevotes = await self.collect_prevotes(configuration, True)
                if any(not answer.accepted for answer in prevotes.answers.values()):
                    return
                turn = restart_turn(self.settings.name, self.replicated_state.epoch, prevotes.answers)
                if turn is not None:
                    able_since = min(able_since, now())
                    if turn.is_first or now() - able_since > bounds.beat * turn.rank:
                        if await self.run_after_restart(configuration, prevotes, began):
                            return
            await asyncio.sleep(bounds.beat / 4 * (0.8 + 0.4 * self.environment.chance.random()))

    def may_lead_after_restart(self, configuration: Configuration) -> bool:
        """Does this member hold a state, and is it a member of the configuration it knows?"""
        return self.replicated_state.epoch > 0 and self.settings.name in self.members(configuration)

    async def run_after_restart(self, configuration: Configuration, prevotes: PreVotes, began: float) -> bool:
        """True once there is a primary since `began`: this one, or another that was heard meanwhile."""
        async with self.lock:
            if self.epoch or self.leader_heard >= began:
                return True
            reason = ElectionReason(Cause.RESTARTED)
            return isinstance(await self.run_election(configuration, reason, prevotes=prevotes), Ok)

    async def watch_for_leader(self, configuration: Configuration) -> None:
        """Takes over if no primary is heard: the holders of the state first, then in the agreed order."""
        bounds = self.settings.bounds
        ranked_members = sorted(
            self.members(configuration),
            key=lambda name: (name not in self.replicated_state.replica_set, self.members(configuration).index(name)),
        )
        rank = ranked_members.index(self.settings.name)
        if self.disk_was_full:
            # Behind all others: it could not take what it would be sent as the primary.
            rank += len(ranked_members)
        if (
            now() - self.leader_silent_since <= bounds.detect + rank * bounds.stagger
            or now() < self.candidate_until + rank * bounds.stagger
        ):
            return
        if self.replicated_state.epoch == 0 and self.configuration_view.manifest is None:
            return
        if self.disk_busy:
            # It could not sync its own promise, and would only hold up those that can.
            return
        async with self.lock:
            if self.epoch:
                return
            prevotes = await self.collect_prevotes(configuration)
            answers = prevotes.answers
            if not self.prevote_won(configuration, answers) or not self.may_try_to_lead(configuration, answers):
                self.leader_silent_since = now() - bounds.detect + bounds.stagger * self.environment.chance.random()
                return
            got = await self.run_election(configuration, ElectionReason(Cause.PRIMARY_LOST), prevotes=prevotes)
            if isinstance(got, Err):
                self.leader_silent_since = now() - bounds.detect + bounds.stagger * self.environment.chance.random()

    async def depart(self) -> None:
        """Goes only once others hold the state without this one, or once the time for leaving is over.

        A primary hands over to a backup, which takes a backup of its own; if none does, it first takes another backup.
        A backup waits until the primary, which hears of its leaving with the next heartbeat, has taken another one.
        """
        handed_over = False
        while self.epoch or self.needed():
            if self.epoch:
                handed_over = await self.hand_over()
            configuration = self.known()
            if configuration is None or self.members(configuration) == [self.settings.name]:
                return
            if not handed_over and self.settings.name == self.vote_record.replica_set.primary:
                async with self.lock:
                    got = await self.run_election(
                        configuration, ElectionReason(Cause.TOO_FEW_BACKUPS), change_voters=True
                    )
                if isinstance(got, Err):
                    await asyncio.sleep(self.settings.bounds.promise)
            await asyncio.sleep(self.settings.bounds.beat / 4)

    @property
    def leave_limit(self) -> float:
        """How long this member waits for others to hold what it holds; then it goes with its disk as it is."""
        return max(super().leave_limit, self.settings.bounds.grace * 0.75)

    def needed(self) -> bool:
        """Would the others miss the copy or the vote of this member, as the newest epoch that it granted has them?"""
        replica_set, configuration = self.vote_record.replica_set, self.known()
        if self.settings.name in replica_set:
            return True
        if configuration is None or self.settings.name not in replica_set.voters:
            return False
        return gives_up_vote(replica_set.voters, self.settings.name, replica_set.voters, self.topology(configuration))

    async def hand_over(self) -> bool:
        """Asks the backups to lead, instead of being missed; True once one does."""
        async with self.lock:
            epoch, addrs = (
                self.epoch,
                [addr for n in self.replicated_state.replica_set.backups if (addr := self.addr(n))],
            )
            if not epoch or not addrs:
                return False
            self.epoch = 0
            log_events.emit(Event.PRIMARY_STEPPED_DOWN, self.settings.name, epoch=epoch, seen="handed over")
        for addr in addrs:
            request = AdoptRequest(epoch)
            got = await self.peer_links.request(addr, ADOPT, request.as_json(), self.settings.bounds.promise)
            if isinstance(got, Ok) and AdoptAnswer.from_json(got.unwrap()).accepted:
                return True
        return False

    async def on_adopt(self, body: Body) -> PeerResponse:
        """The primary of an epoch leaves and won't write under it again: a backup may run for election at once."""
        request, configuration = AdoptRequest.from_json(body), self.known()
        async with self.lock:
            if (
                configuration is None
                or self.epoch
                or self.replicated_state.epoch != request.epoch
                or self.settings.name not in self.replicated_state.replica_set.backups
            ):
                return Ok(AdoptAnswer(False).as_json())
            got = await self.run_election(configuration, ElectionReason(Cause.HANDED_OVER), handover=True)
        return Ok(AdoptAnswer(isinstance(got, Ok)).as_json())

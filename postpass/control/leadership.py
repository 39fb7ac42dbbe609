"""Leadership over time: a primary's heartbeats, how other members notice that it is lost, and handing over."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass.configuration.configuration import Configuration
from postpass.control.election_rules import Cause, ElectionReason, PreVotes, restart_turn
from postpass.control.epochs import Acknowledgement, in_touch
from postpass.control.member import INFINITY
from postpass.control.messages import ADOPT, AdoptAnswer, AdoptRequest
from postpass.control.registry import Registry
from postpass.membership.safe_change import should_give_up_vote
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import FaultError
from postpass.runtime.log_events import Event


class Leadership(Registry):
    """Keeps this member the primary while it is one, and runs for election when there is none.

    Changes `epoch` (cleared when a majority doesn't answer, or to hand over) and `leader_silent_since`, the time from
    which the primary's silence is counted. Decides when an election is due: after a restart, after the primary was
    silent for too long, when a backup or voter is to be replaced, and when this member leaves.
    """

    async def tick(self) -> None:
        """Sends heartbeats as the primary, or checks as any other member that there is one.

        Runs forever, at random intervals of 0.8 to 1.2 times the heartbeat period.
        """
        bounds = self.settings.bounds
        while True:
            await asyncio.sleep(bounds.heartbeat_interval * (0.8 + 0.4 * self.environment.chance.random()))
            configuration = self.known_configuration()
            if configuration is None or self.settings.name not in self.members(configuration):
                continue
            self.note_newcomers(configuration)
            try:
                if self.epoch:
                    await self.heartbeat_as_primary(configuration)
                elif not self.leaving or self.settings.name in self.vote_record.replica_set:
                    # A member that holds the state may be the only one that can lead, even while it leaves.
                    await self.watch_for_leader(configuration)
            except FaultError as error:
                log_events.emit(Event.TASK_FAILED, self.settings.name, step=error.fault.step, why=error.fault.why)

    async def heartbeat_as_primary(self, configuration: Configuration) -> None:
        """Sends the primary's heartbeat to all members, then steps down if no majority answered.

        Otherwise starts `reconcile` where machines announce themselves, and renews the replica set if a backup or voter
        has to be replaced. If none has to be, and the change of voters that came with this epoch is not complete yet,
        tries to complete it.
        """
        bounds, epoch, replica_set = self.settings.bounds, self.epoch, self.replicated_state.replica_set
        answers = await self.send_heartbeats(epoch, configuration)
        if self.epoch != epoch:
            return
        self.voter_heard[self.settings.name] = now()
        if not in_touch(replica_set.voters, self.voter_heard, now() - bounds.detection_time):
            self.step_down("no majority answers")
            return
        if configuration.get("announced"):
            self.machine_heartbeats |= dict.fromkeys([self.settings.name, *(a.member for a in answers)], now())
            self.spawn(self.reconcile())
        reason = self.reason_to_renew_replica_set(configuration, answers)
        if reason is not None:
            async with self.lock:
                if self.epoch == epoch:
                    await self.renew_replica_set(configuration, reason)
        elif self.unsettled_epoch == epoch and not self.lock.locked():
            async with self.lock:
                await self.settle_replica_set()

    def reason_to_renew_replica_set(
        self, configuration: Configuration, answers: list[Acknowledgement]
    ) -> ElectionReason | None:
        """Returns why backups or voters have to be replaced; None if the replica set can stay as it is."""
        heard_after = now() - self.settings.bounds.detection_time
        if (
            self.wiped_backups
            or self.backup_is_leaving(answers)
            or any(heard_time < heard_after for heard_time in self.backup_heard.values())
        ):
            return ElectionReason(Cause.BACKUP_LOST)
        if self.can_improve_replica_set(configuration, [a.member for a in answers]):
            return ElectionReason(Cause.TOO_FEW_BACKUPS)
        changed_voters = self.voters_to_change(configuration, answers)
        return ElectionReason(Cause.VOTERS_CHANGE, tuple(changed_voters)) if changed_voters else None

    def backup_is_leaving(self, answers: list[Acknowledgement]) -> bool:
        """Returns whether a backup was told to leave while another member could hold the state in its place."""
        replica_set = self.replicated_state.replica_set
        replacements = [a for a in answers if a.member not in replica_set and a.member not in self.departing_members]
        return bool(replacements) and bool(self.departing_members & set(replica_set.backups))

    async def lead_after_restart(self) -> None:
        """Runs for election soon after a start, without waiting for the detection time, if most members started as well.

        If a majority answers and none of them has heard a primary since its start, there is no primary to wait for. The
        primary of the newest epoch runs at once. Each of its backups waits one heartbeat period for every holder of the
        state that ranks before it, unless those are seen to have lost their disks. All other members wait for
        `watch_for_leader`. If a member runs by mistake, that costs one epoch and nothing else.
        """
        bounds, started_at, eligible_since = self.settings.bounds, now(), INFINITY
        while (
            now() - started_at < bounds.detection_time
            and not (self.epoch or self.leaving)
            and self.leader_heard < started_at
        ):
            configuration = self.known_configuration()
            if configuration is not None and self.may_lead_after_restart(configuration):
                # The second argument, `quick`, selects shorter timeouts for the answers.
                prevotes = await self.collect_prevotes(configuration, True)
                if any(not answer.accepted for answer in prevotes.answers.values()):
                    # A member that doesn't accept hears another primary, so `watch_for_leader` is enough.
                    return
                turn = restart_turn(self.settings.name, self.replicated_state.epoch, prevotes.answers)
                if turn is not None:
                    eligible_since = min(eligible_since, now())
                    if turn.is_first or now() - eligible_since > bounds.heartbeat_interval * turn.rank:
                        if await self.run_after_restart(configuration, prevotes, started_at):
                            return
            await asyncio.sleep(bounds.heartbeat_interval / 4 * (0.8 + 0.4 * self.environment.chance.random()))

    def may_lead_after_restart(self, configuration: Configuration) -> bool:
        """Returns whether this member holds a state and is a control member of the configuration that it knows."""
        return self.replicated_state.epoch > 0 and self.settings.name in self.members(configuration)

    async def run_after_restart(self, configuration: Configuration, prevotes: PreVotes, started_at: float) -> bool:
        """Runs for election, unless this member already leads or has heard a primary since `started_at`.

        Returns whether there is a primary now: this member, or another one that was heard meanwhile.
        """
        async with self.lock:
            if self.epoch or self.leader_heard >= started_at:
                return True
            reason = ElectionReason(Cause.RESTARTED)
            return isinstance(await self.run_election(configuration, reason, prevotes=prevotes), Ok)

    async def watch_for_leader(self, configuration: Configuration) -> None:
        """Runs for election if no primary was heard for too long: holders of the state first, then the other members.

        Each member waits longer than the one that ranks before it, by `bounds.candidate_delay`; the members of the
        configuration have the same order everywhere.
        """
        bounds = self.settings.bounds
        ranked_members = sorted(
            self.members(configuration),
            key=lambda name: (name not in self.replicated_state.replica_set, self.members(configuration).index(name)),
        )
        rank = ranked_members.index(self.settings.name)
        if self.disk_was_recently_full:
            # Ranks behind all others, since as the primary it could not write the changes that it would be sent.
            rank += len(ranked_members)
        if (
            now() - self.leader_silent_since <= bounds.detection_time + rank * bounds.candidate_delay
            or now() < self.candidate_until + rank * bounds.candidate_delay
        ):
            return
        if self.replicated_state.epoch == 0 and self.configuration_view.manifest is None:
            return
        if self.disk_busy:
            # This member could not sync its own promise, and would only delay the members that can.
            return
        async with self.lock:
            if self.epoch:
                return
            prevotes = await self.collect_prevotes(configuration)
            answers = prevotes.answers
            if not self.prevote_won(configuration, answers) or not self.may_try_to_lead(configuration, answers):
                self.leader_silent_since = (
                    now() - bounds.detection_time + bounds.candidate_delay * self.environment.chance.random()
                )
                return
            result = await self.run_election(configuration, ElectionReason(Cause.PRIMARY_LOST), prevotes=prevotes)
            if isinstance(result, Err):
                self.leader_silent_since = (
                    now() - bounds.detection_time + bounds.candidate_delay * self.environment.chance.random()
                )

    async def depart(self) -> None:
        """Returns once the other members hold the state without this one, so that this process may end.

        A primary hands over to a backup, which then takes a backup of its own; if no backup takes over, the primary
        first takes another backup. A backup waits until the primary has replaced it; the primary learns with its next
        heartbeat that this member leaves. The time for all this is limited by `leave_limit`.
        """
        handed_over = False
        while self.epoch or self.others_need_this_member():
            if self.epoch:
                handed_over = await self.hand_over()
            configuration = self.known_configuration()
            if configuration is None or self.members(configuration) == [self.settings.name]:
                return
            if not handed_over and self.settings.name == self.vote_record.replica_set.primary:
                async with self.lock:
                    result = await self.run_election(
                        configuration, ElectionReason(Cause.TOO_FEW_BACKUPS), change_voters=True
                    )
                if isinstance(result, Err):
                    await asyncio.sleep(self.settings.bounds.sync_request_limit)
            await asyncio.sleep(self.settings.bounds.heartbeat_interval / 4)

    @property
    def leave_limit(self) -> float:
        """Seconds for which this member waits until others hold what it holds; then it ends in any case, its disk as it is."""
        return max(super().leave_limit, self.settings.bounds.grace * 0.75)

    def others_need_this_member(self) -> bool:
        """Returns whether the others still depend on this member's copy or vote, by the newest epoch that it granted."""
        replica_set, configuration = self.vote_record.replica_set, self.known_configuration()
        if self.settings.name in replica_set:
            return True
        if configuration is None or self.settings.name not in replica_set.voters:
            return False
        return should_give_up_vote(
            replica_set.voters, self.settings.name, replica_set.voters, self.topology(configuration)
        )

    async def hand_over(self) -> bool:
        """Stops leading and asks the backups, one after the other, to run for election; returns whether one now leads.

        Without that, the others would have to wait until they notice that the primary is gone.
        """
        async with self.lock:
            epoch, addresses = (
                self.epoch,
                [address for n in self.replicated_state.replica_set.backups if (address := self.peer_address(n))],
            )
            if not epoch or not addresses:
                return False
            self.epoch = 0
            log_events.emit(Event.PRIMARY_STEPPED_DOWN, self.settings.name, epoch=epoch, seen="handed over")
        for address in addresses:
            request = AdoptRequest(epoch)
            response = await self.peer_links.request(
                address, ADOPT, request.as_json(), self.settings.bounds.sync_request_limit
            )
            if isinstance(response, Ok) and AdoptAnswer.from_json(response.unwrap()).accepted:
                return True
        return False

    async def on_adopt(self, body: Body) -> PeerResponse:
        """Runs for election at once, as a backup, because the primary of the epoch leaves; answers whether it was elected.

        That is safe since the primary, before it asks, has stopped writing under this epoch.
        """
        request, configuration = AdoptRequest.from_json(body), self.known_configuration()
        async with self.lock:
            if (
                configuration is None
                or self.epoch
                or self.replicated_state.epoch != request.epoch
                or self.settings.name not in self.replicated_state.replica_set.backups
            ):
                return Ok(AdoptAnswer(False).as_json())
            result = await self.run_election(configuration, ElectionReason(Cause.HANDED_OVER), handover=True)
        return Ok(AdoptAnswer(isinstance(result, Ok)).as_json())

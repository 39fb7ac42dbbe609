"""Elections: how a member becomes the primary of a new epoch. The decisions are made by `election_rules`."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration
from postpass.configuration.configuration_check import check
from postpass.control import election_rules
from postpass.control.election_rules import (
    PREVOTE_TOO_OLD,
    Basis,
    Campaign,
    Cause,
    ElectionReason,
    Found,
    Placement,
    PreVotes,
    Rebuild,
    Refused,
)
from postpass.control.epochs import Acknowledgement, ReplicaSet, Voters, unheard_holders, votes
from postpass.control.messages import (
    GRANT,
    PREPARE,
    GrantRequest,
    PrepareRequest,
    PreVoteRequest,
    VoteAnswer,
    newest_replica_set,
)
from postpass.control.replica import Replica
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State, state_after_loss
from postpass.membership.safe_change import Topology, next_voters
from postpass.rpc.codec import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import SLOW, Fault
from postpass.runtime.log_events import Event

STEP = "stand"  # of the faults that an election ends with, as operators see it
DEPOSED = "a higher epoch was promised"


class ElectionLostError(Exception):
    """An election ended without a new epoch for this member; its text says why."""


@dataclass(frozen=True)
class KnownConfiguration:
    """A configuration that daemons hold, with its revision."""

    revision: int
    configuration: Configuration


class Election(Replica):
    """Runs elections, and renews the replica set of the epoch that this member leads.

    Sets `epoch`, `leader`, `leading_since` and `unsettled_epoch` once an election is won, always with `lock` held; a higher
    epoch that is seen may clear `epoch` at any await, so each step that rests on it looks again.
    Decides through `election_rules` whether this member may lead, from which state, and with which backups and voters.
    """

    def electorate(self, configuration: Configuration) -> list[str]:
        """All that may have a vote: the members of the configuration, and the voters of the epochs known here."""
        voters = [
            *self.replicated_state.replica_set.voters,
            *self.replicated_state.replica_set.previous_voters,
            *self.vote_record.replica_set.voters,
        ]
        return list(dict.fromkeys([*self.members(configuration), *voters]))

    def gone(self, configuration: Configuration) -> set[str]:
        """Those of the electorate that the configuration has no more, or declares gone."""
        machines = configuration["machines"]
        return {n for n in self.electorate(configuration) if n not in machines or machines[n].get("gone")}

    async def collect_prevotes(self, configuration: Configuration, quick: bool = False) -> PreVotes:
        """Who would back this member as the primary of a new epoch, and what each one holds; nothing is promised."""
        me, asked_at = self.settings.name, now()
        others = [n for n in self.electorate(configuration) if n != me]
        answers = await self.ask_for_votes(PREPARE, PreVoteRequest(me).as_json(), others, configuration, quick)
        return PreVotes(answers | {me: self.vote_answer(not self.hears_another_primary(me))}, asked_at)

    async def ask_for_votes(
        self, verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, VoteAnswer]:
        """The answers of these members to a request of an election; those that gave none are left out."""
        answers = await self.ask_all(verb, body, names, configuration, quick)
        return {name: VoteAnswer.from_json(answer) for name, answer in answers.items()}

    def prevote_won(self, configuration: Configuration, answers: Mapping[str, VoteAnswer]) -> bool:
        """Would enough members back this one? All that may have a vote must, where the voters are not enough."""
        return election_rules.prevote_won(set(self.electorate(configuration)) - self.gone(configuration), answers)

    async def collect_promises(
        self, configuration: Configuration, request: PrepareRequest, prevotes: PreVotes
    ) -> dict[str, VoteAnswer]:
        """Promises of those that answered the pre-vote. This member promises last, once enough others have: if it was frozen
        in between, the others hear another primary by now, and no epoch is spent."""
        me, body = self.settings.name, request.as_json()
        answers = await self.ask_for_votes(PREPARE, body, [n for n in prevotes.answers if n != me], configuration)
        if not self.prevote_won(configuration, answers | {me: self.vote_answer(True)}):
            return answers
        return answers | await self.ask_for_votes(PREPARE, body, [me], configuration)

    async def run_election(
        self,
        configuration: Configuration,
        reason: ElectionReason,
        first: State | None = None,
        prevotes: PreVotes | None = None,
        handover: bool = False,
        change_voters: bool = False,
    ) -> Result[None, Fault]:
        """Tries to become the primary of a new epoch. Called with the lock held.

        `first` is the state of a fleet that has none yet. A primary that hands over asks for the election itself, so the
        others still hear it: `handover` tells them. Where nobody waits for it, `change_voters` also makes the next safe
        change of voters, and settles it before the epoch is led. Raises FaultError if this member's disk fails.
        """
        try:
            if prevotes is None:
                prevotes = await self.collect_prevotes(configuration)
            if not handover and not self.prevote_won(configuration, prevotes.answers):
                raise ElectionLostError(election_rules.prevote_lost_why(prevotes.answers))
            campaign = await self.campaign(configuration, prevotes, handover)
            basis = self.basis_of(campaign, first)
            state = await self.first_state(configuration, campaign, basis)
            replica_set = self.replica_set_after(configuration, campaign, basis, reason, change_voters)
            await self.replicate_proposal(ReplicatedState(campaign.epoch, replica_set, state))
            granted = await self.collect_grants(configuration, replica_set, list(campaign.promises))
            await self.settle_voters_before()
        except ElectionLostError as lost:
            return Err(Fault(STEP, self.settings.name, str(lost), SLOW))
        self.take_lead(replica_set, granted, reason)
        self.report_election(campaign, basis, replica_set, reason)
        self.publish(self.replicated_state.state)
        # Who leads is told by the granted epoch alone; members that wait for a primary need not wait for the next heartbeat.
        self.spawn(self.announce_epoch(campaign.epoch, configuration))
        return Ok(None)

    async def campaign(self, configuration: Configuration, prevotes: PreVotes, handover: bool) -> Campaign:
        """Asks for promises of an epoch above all that the pre-vote told; raises ElectionLostError if too few give them, or
        if the pre-vote is older than the detection time: whoever heard no primary then may hear one now."""
        # Case: this process was frozen since. A primary that hands over is heard by all, and needs no pre-vote.
        if not handover and not prevotes.is_fresh(now(), self.settings.bounds.detect):
            raise ElectionLostError(PREVOTE_TOO_OLD)
        me = self.settings.name
        electorate, gone = self.electorate(configuration), self.gone(configuration)
        epoch = max(answer.promised for answer in prevotes.answers.values()) + 1
        answers = await self.collect_promises(configuration, PrepareRequest(me, epoch, handover), prevotes)
        highest = max((answer.promised for answer in answers.values()), default=epoch)
        promises = {n: answer for n, answer in answers.items() if answer.accepted and answer.promised == epoch}
        # Case: this one was outbid, or held its own promise back because too few others gave theirs.
        if me not in promises or highest > epoch:
            raise ElectionLostError(f"epoch {epoch} was not promised by enough; {highest} was seen")
        is_complete = all(n in promises for n in electorate if n not in gone)
        # The state is read only now: an append that was under way when this one promised may have been answered since.
        return Campaign(me, epoch, self.replicated_state, promises, is_complete)

    def basis_of(self, campaign: Campaign, first: State | None) -> Basis:
        """What the new epoch begins from; raises ElectionLostError if this member may not lead it."""
        basis = election_rules.decide(campaign, self.configuration_view.manifest is not None, first)
        if isinstance(basis, Refused):
            raise ElectionLostError(basis.why)
        return basis

    async def first_state(self, configuration: Configuration, campaign: Campaign, basis: Basis) -> State:
        """The state that the new epoch begins with; raises ElectionLostError if it must be rebuilt and can't be."""
        if isinstance(basis, Found):
            return basis.state
        if not isinstance(basis, Rebuild):
            return campaign.own.state
        newest = await self.newest_known(configuration)
        if newest is None:
            raise ElectionLostError("too few daemons confirm the newest edition")
        if unheard := self.unheard(newest.configuration, campaign.promises):
            raise ElectionLostError(f"{', '.join(unheard)} may hold the newest state")
        revision = max(newest.revision, basis.revision_floor) + 1
        return state_after_loss(revision, newest.configuration, basis.losses)

    def replica_set_after(
        self,
        configuration: Configuration,
        campaign: Campaign,
        basis: Basis,
        reason: ElectionReason,
        change_voters: bool,
    ) -> ReplicaSet:
        """Who keeps the state and who votes in the new epoch."""
        topology = self.topology(configuration) if change_voters else None
        members, placement = self.members(configuration), self.placement(configuration)
        voters, voters_before = election_rules.electorate_after(campaign, basis.unanimous, members, topology)
        backups = election_rules.choose_backups(campaign, voters, placement, reason)
        return ReplicaSet(campaign.epoch, campaign.candidate, backups, voters, voters_before)

    def placement(self, configuration: Configuration) -> Placement:
        """Where backups may stand, and how many there should be."""
        zones = {n: configuration["machines"][n]["area"] for n in self.members(configuration)}
        return Placement(zones, self.settings.zone, self.wanted_backups, self.settings.announce)

    def check_not_deposed(self, epoch: int) -> None:
        """Raises ElectionLostError if this member has promised a later epoch to another since."""
        if self.vote_record.promised != epoch:
            raise ElectionLostError(DEPOSED)

    async def replicate_proposal(self, proposal: ReplicatedState) -> None:
        """Syncs the proposed state here and at the new backups, before the epoch is granted: nothing is written in between.
        Raises ElectionLostError if one of them doesn't acknowledge it."""
        epoch, backups = proposal.epoch, proposal.replica_set.backups
        self.check_not_deposed(epoch)
        # As it is on disk, with its keys in the journal's order.
        stored = (await self.store(proposal)).replicated_state
        self.replicated_state = stored
        if not await self.append_to_all(stored, epoch):
            raise ElectionLostError(f"one of the backups {', '.join(backups)} did not take the state")

    async def collect_grants(
        self, configuration: Configuration, replica_set: ReplicaSet, promised: list[str]
    ) -> Voters:
        """The disks that granted the epoch; raises ElectionLostError if they make no majority, or another was promised."""
        request = GrantRequest(self.settings.name, replica_set)
        answers = await self.ask_for_votes(GRANT, request.as_json(), promised, configuration)
        grants = (answer.acknowledgement(name) for name, answer in answers.items() if answer.accepted)
        granted = votes(grants, replica_set.epoch)
        if not replica_set.elected_by(granted) or self.vote_record.promised != replica_set.epoch:
            raise ElectionLostError("too few granted the epoch")
        return granted

    async def settle_voters_before(self) -> None:
        """Where the granted epoch changes the voters: writes those before off, at all holders; raises ElectionLostError if a
        later epoch was promised meanwhile."""
        self.unsettled_epoch = 0
        proposal = self.replicated_state
        if not proposal.replica_set.previous_voters:
            return
        self.replicated_state = replace(proposal, replica_set=proposal.replica_set.settled())
        self.unsettled_epoch = proposal.epoch
        await self.settle()
        self.check_not_deposed(proposal.epoch)

    def take_lead(self, replica_set: ReplicaSet, granted: Voters, reason: ElectionReason) -> None:
        """From here on this member is the primary of a granted epoch."""
        self.epoch, self.leader = replica_set.epoch, self.settings.name
        self.backup_heard = dict.fromkeys(replica_set.backups, now())
        self.wiped_backups.clear()
        self.voter_heard = {n: now() for n, disk in replica_set.voters.items() if granted.get(n) == disk}
        self.announce_leader()
        if not reason.renews:
            self.leading_since, self.worker_heartbeats = now(), {}

    def report_election(
        self, campaign: Campaign, basis: Basis, replica_set: ReplicaSet, reason: ElectionReason
    ) -> None:
        """Logs the epoch that was won, whether state was lost for it, and which disks got a vote by it."""
        log_events.emit(
            Event.CONTROL_DATA_LOSS if isinstance(basis, Rebuild) else 130,
            self.settings.name,
            epoch=replica_set.epoch,
            backup=",".join(replica_set.backups),
            revision=self.replicated_state.state.revision,
            why=reason,
        )
        before = campaign.own.replica_set.voters
        for name in sorted(n for n, disk in replica_set.voters.items() if before.get(n) != disk):
            log_events.emit(Event.VOTER_ADMITTED, self.settings.name, joins=name)

    async def announce_epoch(self, epoch: int, configuration: Configuration) -> None:
        """One heartbeat at once, so that all members hear of a granted epoch."""
        await self.heartbeat(epoch, configuration)

    async def confirm_leadership(self) -> bool:
        """True if nobody else led when this was called: all holders and most voters answered under this epoch since. A backup
        that does not answer is replaced, and the new replica set asked. Called with the lock held."""
        for attempt in range(2):
            epoch, replica_set = self.epoch, self.replicated_state.replica_set
            if not epoch:
                return False
            answers = await self.confirmation_round()
            if self.epoch != epoch:
                return False
            if replica_set.confirmed_by(answers):
                return True
            configuration = self.known()
            if attempt or configuration is None or replica_set.copied_to_all(answers):
                return False
            await self.renew_replica_set(configuration, ElectionReason(Cause.BACKUP_LOST), quick=True)
        return False

    async def renew_replica_set(
        self, configuration: Configuration, reason: ElectionReason, quick: bool = False
    ) -> None:
        """Leads on under a new epoch, if most voters still hear no other primary. Called with the lock held."""
        epoch = self.epoch
        prevotes = await self.collect_prevotes(configuration, quick)
        if not epoch or self.epoch != epoch or not self.prevote_won(configuration, prevotes.answers):
            return
        self.epoch = 0
        got = await self.run_election(configuration, reason, prevotes=prevotes, change_voters=not quick)
        if isinstance(got, Ok):
            log_events.emit(
                Event.BACKUP_CHANGED,
                self.settings.name,
                backup=",".join(self.replicated_state.replica_set.backups),
                why=reason,
            )
        else:
            self.leader_silent_since = now() - self.settings.bounds.detect

    def topology(self, configuration: Configuration) -> Topology:
        """Where the machines stand, and what may be lost of them at once."""
        return Topology({n: m["area"] for n, m in configuration["machines"].items()}, self.settings.tolerance)

    def voters_to_change(self, configuration: Configuration, answers: list[Acknowledgement]) -> list[str]:
        """As primary: who would join or leave the voters by the next safe change, given who answered the heartbeat."""
        voters = self.replicated_state.replica_set.voters
        answered = {a.member: a.disk for a in answers} | {self.settings.name: self.disk_id}
        leaving = sorted(self.departing_members & set(answered))
        after = next_voters(voters, self.members(configuration), answered, self.topology(configuration), leaving)
        return sorted(n for n in {*voters, *after} if voters.get(n) != after.get(n))

    def unheard(self, configuration: Configuration, answers: Mapping[str, VoteAnswer]) -> list[str]:
        """Who might hold a newer state than those that answered, by the newest configuration in force."""
        newest = newest_replica_set(answers)
        known = {*self.electorate(configuration), *newest.voters, *newest.holders}
        dropped = {n for n in known if n not in configuration["machines"] or configuration["machines"][n].get("gone")}
        # Where machines announce themselves it was no operator that dropped them.
        declared_gone = set() if configuration.get("announced") else dropped
        return sorted(unheard_holders(newest, self.members(configuration), dropped, declared_gone, answers))

    @property
    def wanted_backups(self) -> int:
        """How many backups there should be: one more copy than may be lost, with the primary's own."""
        return max(1, self.settings.disks_lost)

    def better_replica_set(self, configuration: Configuration, answered: list[str]) -> bool:
        """Could there be more backups, or copies in more zones, with those that answered?"""
        return election_rules.better_backups(self.replicated_state.replica_set, answered, self.placement(configuration))

    async def newest_known(self, configuration: Configuration) -> KnownConfiguration | None:
        """The newest configuration that daemons hold; None unless most of them have been heard."""
        names = [n for n, m in configuration["machines"].items() if not m.get("gone") and n != self.settings.name]
        poll = {"after": 0, "wait": 0}
        got = await asyncio.gather(*(
            self.peer_links.request(configuration["machines"][n]["peer"], "follow", poll, self.settings.bounds.promise)
            for n in names
        ))  # fmt: skip
        answers = [g.unwrap() for g in got if isinstance(g, Ok)]
        if 2 * (len(answers) + 1) <= len(names) + 1:
            return None
        mine = self.configuration_view
        best = KnownConfiguration(mine.revision, mine.manifest) if mine.manifest else None
        for body in answers:
            is_newer = "snapshot" in body and (best is None or body["edition"] > best.revision)
            if is_newer and check(body["snapshot"]).is_ok():
                best = KnownConfiguration(body["edition"], body["snapshot"])
        return best

    def may_try_to_lead(self, configuration: Configuration, answers: Mapping[str, VoteAnswer]) -> bool:
        """Is it this one's turn to run for election?"""
        state_epoch, members = self.replicated_state.epoch, self.members(configuration)
        return election_rules.may_run(self.settings.name, self.disk_id, state_epoch, members, answers)

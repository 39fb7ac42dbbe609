"""Elections: the steps by which a member becomes the primary of a new epoch. The decisions are made by
`election_rules`."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration
from postpass.configuration.configuration_check import check_received
from postpass.control import election_rules
from postpass.control.election_rules import (
    PREVOTE_TOO_OLD,
    Basis,
    Campaign,
    Cause,
    ElectionReason,
    FoundFleet,
    Placement,
    PreVotes,
    Rebuild,
    Refused,
)
from postpass.control.epochs import Acknowledgement, ReplicaSet, Voters, acknowledging_disks, missing_holders
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
from postpass.runtime.errors import TIMED_OUT, Fault
from postpass.runtime.log_events import Event

STEP = "stand"  # the `step` of the faults that a lost election returns, as operators see it
DEPOSED = "a higher epoch was promised"


class ElectionLostError(Exception):
    """An election ended without a new epoch for this member; the text says why."""


@dataclass(frozen=True)
class KnownConfiguration:
    """A configuration that a daemon has, with its revision."""

    revision: int
    configuration: Configuration


class Election(Replica):
    """Runs elections, and replaces the replica set of the epoch that this member leads by that of a new epoch.

    Sets `epoch`, `leader`, `leading_since` and `unsettled_epoch` once an election is won, always with `lock` held. At
    any await `epoch` may be cleared because a higher epoch was seen, so each step that depends on it checks it again.
    Decides through `election_rules` whether this member may lead, with which state, and with which backups and voters.
    """

    def electorate(self, configuration: Configuration) -> list[str]:
        """Returns all members that may have a vote: those of the configuration, and the voters of the epochs known
        here."""
        voters = [
            *self.replicated_state.replica_set.voters,
            *self.replicated_state.replica_set.previous_voters,
            *self.vote_record.replica_set.voters,
        ]
        return list(dict.fromkeys([*self.members(configuration), *voters]))

    def gone_members(self, configuration: Configuration) -> set[str]:
        """Returns the members of the electorate that the configuration no longer has or declares gone."""
        machines = configuration["machines"]
        return {n for n in self.electorate(configuration) if n not in machines or machines[n].get("gone")}

    async def collect_prevotes(self, configuration: Configuration, quick: bool = False) -> PreVotes:
        """Asks the electorate whether it would support this member as the primary of a new epoch, and what state each
        member has. Nothing is promised."""
        own_name, requested_at = self.settings.name, now()
        others = [n for n in self.electorate(configuration) if n != own_name]
        answers = await self.ask_for_votes(PREPARE, PreVoteRequest(own_name).as_json(), others, configuration, quick)
        return PreVotes(answers | {own_name: self.vote_answer(not self.hears_another_primary(own_name))}, requested_at)

    async def ask_for_votes(
        self, verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, VoteAnswer]:
        """Sends these members a request of an election, and returns the answers by member; members that gave none are
        left out."""
        answers = await self.ask_all(verb, body, names, configuration, quick)
        return {name: VoteAnswer.from_json(answer) for name, answer in answers.items()}

    def prevote_won(self, configuration: Configuration, answers: Mapping[str, VoteAnswer]) -> bool:
        """Returns whether enough members would support this one. Where the voters that do are no majority, every member
        of the electorate that isn't gone must."""
        return election_rules.prevote_won(
            set(self.electorate(configuration)) - self.gone_members(configuration), answers
        )

    async def collect_promises(
        self, configuration: Configuration, request: PrepareRequest, prevotes: PreVotes
    ) -> dict[str, VoteAnswer]:
        """Asks the members that answered the pre-vote for promises, and returns their answers. This member promises
        last, and only once enough others have: if it was frozen in between, the others hear another primary by now, and
        this member's own promised epoch is not raised for nothing."""
        own_name, body = self.settings.name, request.as_json()
        answers = await self.ask_for_votes(PREPARE, body, [n for n in prevotes.answers if n != own_name], configuration)
        if not self.prevote_won(configuration, answers | {own_name: self.vote_answer(True)}):
            return answers
        return answers | await self.ask_for_votes(PREPARE, body, [own_name], configuration)

    async def run_election(
        self,
        configuration: Configuration,
        reason: ElectionReason,
        founding_state: State | None = None,
        prevotes: PreVotes | None = None,
        handover: bool = False,
        change_voters: bool = False,
    ) -> Result[None, Fault]:
        """Tries to become the primary of a new epoch; returns the fault that says why if it fails. Must be called with
        the lock held.

        `founding_state` is the initial state of a fleet that has none yet. `handover` says that the present primary
        requested the election to hand over its leadership, although the members still hear it. `change_voters` also
        makes the next safe change of voters, and settles it before this member leads the epoch; it is for elections
        that no client waits for. Raises FaultError if this member's disk fails.
        """
        try:
            if prevotes is None:
                prevotes = await self.collect_prevotes(configuration)
            if not handover and not self.prevote_won(configuration, prevotes.answers):
                raise ElectionLostError(election_rules.prevote_failure_reason(prevotes.answers))
            campaign = await self.campaign(configuration, prevotes, handover)
            basis = self.choose_basis(campaign, founding_state)
            state = await self.initial_state(configuration, campaign, basis)
            replica_set = self.choose_replica_set(configuration, campaign, basis, reason, change_voters)
            await self.replicate_proposal(ReplicatedState(campaign.epoch, replica_set, state))
            granted = await self.collect_grants(configuration, replica_set, list(campaign.promises))
            await self.settle_previous_voters()
        except ElectionLostError as error:
            return Err(Fault(STEP, self.settings.name, str(error), TIMED_OUT))
        self.become_primary(replica_set, granted, reason)
        self.report_election(campaign, basis, replica_set, reason)
        self.publish(self.replicated_state.state)
        # Members learn who leads only from a message of the granted epoch. It is sent at once, so that those that wait
        # for a primary don't have to wait for the next heartbeat.
        self.spawn(self.announce_epoch(campaign.epoch, configuration))
        return Ok(None)

    async def campaign(self, configuration: Configuration, prevotes: PreVotes, handover: bool) -> Campaign:
        """Asks for promises of an epoch above all epochs in the answers to the pre-vote. Raises ElectionLostError if
        too few members give the promise, or if the pre-vote is older than the detection time: a member that heard no
        primary then may hear one now."""
        # Case: this process was frozen after the pre-vote. At a handover all members hear the present primary, which
        # agrees to the election, so no pre-vote is needed.
        if not handover and not prevotes.is_fresh(now(), self.settings.bounds.detection_time):
            raise ElectionLostError(PREVOTE_TOO_OLD)
        candidate = self.settings.name
        electorate, gone_members = self.electorate(configuration), self.gone_members(configuration)
        epoch = max(answer.promised for answer in prevotes.answers.values()) + 1
        answers = await self.collect_promises(configuration, PrepareRequest(candidate, epoch, handover), prevotes)
        highest = max((answer.promised for answer in answers.values()), default=epoch)
        promises = {n: answer for n, answer in answers.items() if answer.accepted and answer.promised == epoch}
        # Case: a member has promised a higher epoch, or this one did not promise because too few others did.
        if candidate not in promises or highest > epoch:
            raise ElectionLostError(f"epoch {epoch} was not promised by enough; {highest} was seen")
        is_complete = all(n in promises for n in electorate if n not in gone_members)
        # The state is read only now: an append that was under way when this member promised may have been answered
        # since.
        return Campaign(candidate, epoch, self.replicated_state, promises, is_complete)

    def choose_basis(self, campaign: Campaign, founding_state: State | None) -> Basis:
        """Returns the basis of the new epoch's state; raises ElectionLostError if this member may not lead the epoch."""
        basis = election_rules.decide(campaign, self.configuration_view.manifest is not None, founding_state)
        if isinstance(basis, Refused):
            raise ElectionLostError(basis.why)
        return basis

    async def initial_state(self, configuration: Configuration, campaign: Campaign, basis: Basis) -> State:
        """Returns the state that the new epoch begins with; raises ElectionLostError if it must be rebuilt and can't
        be."""
        if isinstance(basis, FoundFleet):
            return basis.state
        if not isinstance(basis, Rebuild):
            return campaign.own.state
        newest = await self.newest_daemon_configuration(configuration)
        if newest is None:
            raise ElectionLostError("too few daemons confirm the newest edition")
        if missing := self.find_missing_holders(newest.configuration, campaign.promises):
            raise ElectionLostError(f"{', '.join(missing)} may hold the newest state")
        revision = max(newest.revision, basis.revision_floor) + 1
        return state_after_loss(revision, newest.configuration, basis.losses)

    def choose_replica_set(
        self,
        configuration: Configuration,
        campaign: Campaign,
        basis: Basis,
        reason: ElectionReason,
        change_voters: bool,
    ) -> ReplicaSet:
        """Returns the replica set of the new epoch: the members that store the state, and the voters."""
        topology = self.topology(configuration) if change_voters else None
        members, placement = self.members(configuration), self.placement(configuration)
        voters, previous_voters = election_rules.choose_electorate(campaign, basis.unanimous, members, topology)
        backups = election_rules.choose_backups(campaign, voters, placement, reason)
        return ReplicaSet(campaign.epoch, campaign.candidate, backups, voters, previous_voters)

    def placement(self, configuration: Configuration) -> Placement:
        """Returns where backups may be placed and how many there should be."""
        zones = {n: configuration["machines"][n]["area"] for n in self.members(configuration)}
        return Placement(zones, self.settings.zone, self.wanted_backups, self.settings.announce)

    def check_not_deposed(self, epoch: int) -> None:
        """Raises ElectionLostError if this member has promised a later epoch to another member since."""
        if self.vote_record.promised != epoch:
            raise ElectionLostError(DEPOSED)

    async def replicate_proposal(self, proposal: ReplicatedState) -> None:
        """Syncs the proposed state here and at the new backups. The epoch is granted only after that, and no other
        change is written in between. Raises ElectionLostError if one of the backups doesn't acknowledge the state.

        A backup that has the state on which the proposal builds is sent the change alone, which is small whatever the
        size of the state; the others are sent the complete state."""
        epoch, backups = proposal.epoch, proposal.replica_set.backups
        self.check_not_deposed(epoch)
        # The state as it is on disk, with its keys in the journal's order.
        stored = await self.store(proposal)
        self.replicated_state = stored.replicated_state
        if not await self.append_to_all(stored.replicated_state, epoch, stored.change, is_proposal=True):
            raise ElectionLostError(f"one of the backups {', '.join(backups)} did not take the state")

    async def collect_grants(
        self, configuration: Configuration, replica_set: ReplicaSet, promised: list[str]
    ) -> Voters:
        """Asks the members that gave the promise to grant the epoch, and returns the disks that did. Raises
        ElectionLostError if they are no majority, or if this member has promised a later epoch meanwhile."""
        request = GrantRequest(self.settings.name, replica_set)
        answers = await self.ask_for_votes(GRANT, request.as_json(), promised, configuration)
        grants = (answer.acknowledgement(name) for name, answer in answers.items() if answer.accepted)
        granted = acknowledging_disks(grants, replica_set.epoch)
        if not replica_set.elected_by(granted) or self.vote_record.promised != replica_set.epoch:
            raise ElectionLostError("too few granted the epoch")
        return granted

    async def settle_previous_voters(self) -> None:
        """Settles the replica set of the granted epoch if it names previous voters: writes it without them at all
        holders. Raises ElectionLostError if this member has promised a later epoch meanwhile."""
        self.unsettled_epoch = 0
        proposal = self.replicated_state
        if not proposal.replica_set.previous_voters:
            return
        self.replicated_state = replace(proposal, replica_set=proposal.replica_set.settled())
        self.unsettled_epoch = proposal.epoch
        await self.settle_replica_set()
        self.check_not_deposed(proposal.epoch)

    def become_primary(self, replica_set: ReplicaSet, granted: Voters, reason: ElectionReason) -> None:
        """Makes this member the primary of a granted epoch. Heartbeats of workers that it knew are dropped unless it
        was the primary before."""
        self.epoch, self.leader = replica_set.epoch, self.settings.name
        self.backup_heard = dict.fromkeys(replica_set.backups, now())
        self.wiped_backups.clear()
        self.voter_heard = {n: now() for n, disk in replica_set.voters.items() if granted.get(n) == disk}
        self.announce_leader()
        if not reason.keeps_primary:
            self.leading_since, self.worker_heartbeats = now(), {}

    def report_election(
        self, campaign: Campaign, basis: Basis, replica_set: ReplicaSet, reason: ElectionReason
    ) -> None:
        """Emits the events of a won election: the new epoch, whether the state was rebuilt, and which members got a
        vote for their disk."""
        log_events.emit(
            Event.CONTROL_DATA_LOSS if isinstance(basis, Rebuild) else 130,
            self.settings.name,
            epoch=replica_set.epoch,
            backup=",".join(replica_set.backups),
            revision=self.replicated_state.state.revision,
            why=reason,
        )
        voters_before = campaign.own.replica_set.voters
        for name in sorted(n for n, disk in replica_set.voters.items() if voters_before.get(n) != disk):
            log_events.emit(Event.VOTER_ADMITTED, self.settings.name, joins=name)

    async def announce_epoch(self, epoch: int, configuration: Configuration) -> None:
        """Sends a heartbeat at once, so that all members learn of a granted epoch."""
        await self.send_heartbeats(epoch, configuration)

    async def confirm_leadership(self) -> bool:
        """Returns True if no other member led when this was called: all holders and most voters have answered under
        this epoch since. If a backup does not answer it is replaced, and the new replica set is asked once more. Must
        be called with the lock held."""
        for attempt in range(2):
            epoch, replica_set = self.epoch, self.replicated_state.replica_set
            if not epoch:
                return False
            answers = await self.run_confirmation_round()
            if self.epoch != epoch:
                return False
            if replica_set.confirmed_by(answers):
                return True
            configuration = self.known_configuration()
            if attempt or configuration is None or replica_set.acknowledged_by_all_backups(answers):
                return False
            await self.renew_replica_set(configuration, ElectionReason(Cause.BACKUP_LOST), quick=True)
        return False

    async def renew_replica_set(
        self, configuration: Configuration, reason: ElectionReason, quick: bool = False
    ) -> None:
        """Runs for a new epoch with a new replica set, if most voters still hear no other primary. Must be called with
        the lock held. If the election is lost this member leads no longer, and may run again at once."""
        epoch = self.epoch
        prevotes = await self.collect_prevotes(configuration, quick)
        if not epoch or self.epoch != epoch or not self.prevote_won(configuration, prevotes.answers):
            return
        self.epoch = 0
        result = await self.run_election(configuration, reason, prevotes=prevotes, change_voters=not quick)
        if isinstance(result, Ok):
            log_events.emit(
                Event.BACKUP_CHANGED,
                self.settings.name,
                backup=",".join(self.replicated_state.replica_set.backups),
                why=reason,
            )
        else:
            self.leader_silent_since = now() - self.settings.bounds.detection_time

    def topology(self, configuration: Configuration) -> Topology:
        """Returns the zones of the machines, and which losses at the same time the fleet must tolerate."""
        return Topology({n: m["area"] for n, m in configuration["machines"].items()}, self.settings.tolerance)

    def voters_to_change(self, configuration: Configuration, answers: list[Acknowledgement]) -> list[str]:
        """Returns, at the primary, the members that would join or leave the voters by the next safe change, given the
        answers to the last heartbeat."""
        voters = self.replicated_state.replica_set.voters
        answered = {a.member: a.disk for a in answers} | {self.settings.name: self.disk_id}
        leaving = sorted(self.departing_members & set(answered))
        wanted_voters = next_voters(
            voters, self.members(configuration), answered, self.topology(configuration), leaving
        )
        return sorted(n for n in {*voters, *wanted_voters} if voters.get(n) != wanted_voters.get(n))

    def find_missing_holders(self, configuration: Configuration, answers: Mapping[str, VoteAnswer]) -> list[str]:
        """Returns the members that have not answered and may have a newer state than those that did, by the newest
        configuration in force."""
        newest = newest_replica_set(answers)
        known = {*self.electorate(configuration), *newest.voters, *newest.holders}
        dropped = {n for n in known if n not in configuration["machines"] or configuration["machines"][n].get("gone")}
        # Where machines announce themselves they are dropped automatically, so no operator has declared them gone.
        declared_gone = set() if configuration.get("announced") else dropped
        return sorted(missing_holders(newest, self.members(configuration), dropped, declared_gone, answers))

    @property
    def wanted_backups(self) -> int:
        """The number of backups that there should be: with the primary's own copy, one copy more than disks may be
        lost."""
        return max(1, self.settings.disks_lost)

    def can_improve_replica_set(self, configuration: Configuration, answered: list[str]) -> bool:
        """Returns whether the members that answered allow more backups, or copies in more zones."""
        return election_rules.better_backups(self.replicated_state.replica_set, answered, self.placement(configuration))

    async def newest_daemon_configuration(self, configuration: Configuration) -> KnownConfiguration | None:
        """Asks all daemons for the newest configuration that they have; returns None unless most of them answered."""
        daemons = [n for n, m in configuration["machines"].items() if not m.get("gone") and n != self.settings.name]
        request = {"after": 0, "wait": 0}
        responses = await asyncio.gather(*(
            self.peer_links.request(configuration["machines"][n]["peer"], "follow", request, self.settings.bounds.sync_request_limit)
            for n in daemons
        ))  # fmt: skip
        answers = [g.unwrap() for g in responses if isinstance(g, Ok)]
        if 2 * (len(answers) + 1) <= len(daemons) + 1:
            return None
        own_view = self.configuration_view
        newest = KnownConfiguration(own_view.revision, own_view.manifest) if own_view.manifest else None
        for body in answers:
            is_newer = "snapshot" in body and (newest is None or body["edition"] > newest.revision)
            if is_newer and check_received(body["snapshot"]).is_ok():
                newest = KnownConfiguration(body["edition"], body["snapshot"])
        return newest

    def may_try_to_lead(self, configuration: Configuration, answers: Mapping[str, VoteAnswer]) -> bool:
        """Returns whether this member may run for election, given the answers to its pre-vote."""
        state_epoch, members = self.replicated_state.epoch, self.members(configuration)
        return election_rules.may_run_for_election(self.settings.name, self.disk_id, state_epoch, members, answers)

"""The decisions of a candidate in an election: pure functions of the members' answers, without any I/O.

`decide` chooses the state that a new epoch begins with, `choose_electorate` its voters, and `choose_backups` the
members that store the state besides the primary. `Election` carries the decisions out. The quorum rules that they are
based on are in `epochs`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from postpass.control.epochs import (
    ReplicaSet,
    Voters,
    choose_across_zones,
    majority,
    may_campaign,
    may_lead,
    previous_voters,
    voters_after,
)
from postpass.control.messages import VoteAnswer, newest_replica_set
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State
from postpass.membership.safe_change import Topology, next_voters

FOUNDED_BY_ALL = "a fleet is founded only when all its control machines answer"
NO_MAJORITY = "too few voters answered that they hear no other primary"
NOTHING_TO_BEGIN_FROM = "nothing to begin from"
PREVOTE_TOO_OLD = "the pre-vote was too long ago"


class Cause(Enum):
    """Why an election is run, in the words that events use."""

    FOUNDED = "founded"
    PRIMARY_LOST = "primary lost"
    RESTARTED = "restarted"
    HANDED_OVER = "handed over"
    BACKUP_LOST = "backup lost"
    TOO_FEW_BACKUPS = "too few backups"
    VOTERS_CHANGE = "voters"


@dataclass(frozen=True)
class ElectionReason:
    """The cause of an election; for a change of voters also the members that join or leave."""

    cause: Cause
    members: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.cause.value} {list(self.members)}" if self.members else self.cause.value

    @property
    def keeps_primary(self) -> bool:
        """Whether the present primary stays the primary, under another epoch. What it knows from heartbeats stays valid
        then."""
        return self.cause in (Cause.BACKUP_LOST, Cause.TOO_FEW_BACKUPS, Cause.VOTERS_CHANGE)

    @property
    def replaces_primary(self) -> bool:
        """Whether the previous primary is lost or leaving. It is the last choice for a backup then."""
        return self.cause in (Cause.PRIMARY_LOST, Cause.HANDED_OVER)


# --- the pre-vote
@dataclass(frozen=True)
class PreVotes:
    """The answers to one pre-vote, and when it was requested, in seconds of the candidate's own monotonic clock.

    The answers say which members heard a primary at that time, and are valid for a short time only: a candidate that
    was frozen since then would ask for promises to which it is no longer entitled, and could depose a primary that most
    voters hear again.
    """

    answers: Mapping[str, VoteAnswer]
    requested_at: float

    def is_fresh(self, current_time: float, max_age: float) -> bool:
        """Returns whether promises may still be requested on the basis of these answers, which are valid for `max_age`
        seconds."""
        return current_time - self.requested_at <= max_age


def prevote_won(members: set[str], answers: Mapping[str, VoteAnswer]) -> bool:
    """Returns whether the pre-vote is won, by the voters of the newest epoch that an answer names."""
    prevotes = [answer.prevote(name) for name, answer in answers.items()]
    return may_campaign(members, newest_replica_set(answers).voters, prevotes)


def prevote_failure_reason(answers: Mapping[str, VoteAnswer]) -> str:
    """Returns why a candidate that lost the pre-vote can't go on. If no member that answered knows a fleet, the reason
    is that all members are needed to found one."""
    return FOUNDED_BY_ALL if all(answer.is_blank for answer in answers.values()) else NO_MAJORITY


def may_run_for_election(
    member: str, disk: str, state_epoch: int, members: Sequence[str], answers: Mapping[str, VoteAnswer]
) -> bool:
    """Returns whether a member that hears no primary may run for election. A member that can't lead must not, since it
    would only raise the epoch and so defeat the candidacy of a member that can."""
    newest = newest_replica_set(answers)
    # Case: it has the state of the newest epoch that was granted, or of a later one.
    if state_epoch >= newest.epoch:
        return True
    # Case: it is a holder of that epoch, and its disk is the one that the replica set names.
    if member in newest and newest.voters.get(member) == disk:
        return True
    eligible = [n for n, answer in answers.items() if n in newest and newest.voters.get(n) == answer.disk]
    # Case: all holders lost their disks. Then any member may go on, but only once all members have answered.
    return not eligible and all(n in answers for n in members)


@dataclass(frozen=True)
class RestartTurn:
    """When a holder of the state may run for election after a restart: at once if `is_first`, else after `rank`
    heartbeat intervals."""

    rank: int
    is_first: bool


def restart_turn(member: str, state_epoch: int, answers: Mapping[str, VoteAnswer]) -> RestartTurn | None:
    """Returns the turn of a member after most members have restarted, by its place among the holders of the newest
    epoch; None if it can't lead, or if too few voters have answered."""
    newest = newest_replica_set(answers)
    disks = {n: answer.disk for n, answer in answers.items()}
    eligible = [n for n in newest.holders if n in disks and newest.voters.get(n) == disks[n]]
    if not majority(newest.voters, disks) or member not in eligible or state_epoch != newest.epoch:
        return None
    rank = newest.holders.index(member)
    # The former primary goes first if its disk is still there. A holder that has not answered yet may still be
    # starting, so no later one is the first while an earlier one is missing.
    earlier_answered = all(n in disks for n in newest.holders[:rank])
    return RestartTurn(rank, is_first=member == eligible[0] and earlier_answered)


# --- the decision
@dataclass(frozen=True)
class Campaign:
    """What a candidate knows once enough members have promised it an epoch.

    `own` is the state on its disk, read after its own promise was synced. `promises` are the answers of the members that
    promised `epoch`, the candidate's own included, and `is_complete` says that no member of the electorate is missing.
    """

    candidate: str
    epoch: int
    own: ReplicatedState
    promises: Mapping[str, VoteAnswer]
    is_complete: bool

    @property
    def disks(self) -> Voters:
        """The disk of each member that gave the promise."""
        return {name: answer.disk for name, answer in self.promises.items()}

    @property
    def is_blank(self) -> bool:
        """Whether no member that gave the promise has ever granted an epoch or synced a state."""
        return all(answer.is_blank for answer in self.promises.values())

    @property
    def eligible_members(self) -> list[str]:
        """The holders of the newest granted replica set that have the state of its epoch or of a later one, on the disk
        that the replica set names.

        A later state was proposed but its epoch was not granted. Such a state may be used as well: it continues from
        the state of the granted epoch, since its proposer was a holder that could lead, and nothing was acknowledged
        under it.
        """
        newest = newest_replica_set(self.promises)
        return [
            name
            for name, answer in self.promises.items()
            if answer.state_epoch >= newest.epoch and name in newest and newest.voters.get(name) == answer.disk
        ]

    @property
    def leaving(self) -> list[str]:
        """The other members that were told to leave the fleet."""
        return [n for n, answer in self.promises.items() if answer.leaving and n != self.candidate]


@dataclass(frozen=True)
class Refused:
    """The candidate may not lead; `why` is the reason that the election's requester is given."""

    why: str


@dataclass(frozen=True)
class FoundFleet:
    """A new fleet begins with this state; all members have given the promise."""

    state: State
    unanimous: ClassVar[bool] = True


@dataclass(frozen=True)
class Resume:
    """The candidate continues from its own state. `unanimous` says that there is no majority of the previous voters for
    it, but that all members have given the promise."""

    unanimous: bool


@dataclass(frozen=True)
class Rebuild:
    """No copy of the state is left, so it is rebuilt from the newest configuration that daemons have, with a revision
    above `revision_floor`. Acknowledged changes may be lost; `losses` is the number of such events, which the state
    reports from then on."""

    revision_floor: int
    losses: int
    unanimous: ClassVar[bool] = True


Basis = FoundFleet | Resume | Rebuild


def decide(campaign: Campaign, fleet_is_known: bool, founding_state: State | None) -> Basis | Refused:
    """Returns the basis of the new epoch's state, or the reason why the candidate may not lead.

    `founding_state` is the state of a fleet that is to be founded; None if there is none. `fleet_is_known` says that the
    candidate has received a configuration by the feed, so that a fleet exists whatever the members' disks say.
    """
    if campaign.is_blank:
        return _decide_blank(campaign, fleet_is_known, founding_state)
    candidate, own = campaign.candidate, campaign.own
    granted_replica_sets = {n: answer.replica_set for n, answer in campaign.promises.items()}
    objection = may_lead(
        candidate, own.epoch, own.replica_set, granted_replica_sets, own.replica_set.voters, campaign.disks
    )
    # Case: the ordinary takeover. A majority of the voters gave the promise, and no later epoch may have been granted.
    if not objection:
        return Resume(unanimous=False)
    # Case: a member is missing that may have a newer state, or follow a primary that has.
    if not campaign.is_complete:
        return Refused(objection)
    eligible = campaign.eligible_members
    # Case: all members answered, and no disk has the state of the newest epoch any more.
    if not eligible:
        revision_floor = max(answer.state_revision for answer in campaign.promises.values())
        return Rebuild(revision_floor, own.state.losses + 1)
    # Case: another member can lead with that state, and goes first.
    if eligible[0] != candidate:
        return Refused(objection)
    # Case: the candidate answered that it has that state, but has an older one now.
    if own.epoch < newest_replica_set(campaign.promises).epoch:
        return Refused(objection)
    # Case: too many voters lost their disks for a majority, but all members answered and the candidate has the state.
    return Resume(unanimous=True)


def _decide_blank(campaign: Campaign, fleet_is_known: bool, founding_state: State | None) -> Basis | Refused:
    # Case: a member that did not answer may have the state of a fleet that was founded already.
    if not campaign.is_complete:
        return Refused(FOUNDED_BY_ALL)
    # Case: all members lost their disks, but daemons serve requests with a configuration.
    if fleet_is_known:
        return Rebuild(0, 1)
    # Case: a new fleet.
    if founding_state is not None:
        return FoundFleet(founding_state)
    return Refused(NOTHING_TO_BEGIN_FROM)


# --- the replica set of the new epoch
def choose_electorate(
    campaign: Campaign, unanimous: bool, members: Sequence[str], topology: Topology | None
) -> tuple[Voters, Voters]:
    """Returns the voters of the new epoch, and the previous voters that its replica set names until it is settled.

    If the basis is `unanimous`, there is no majority of the previous voters but all members have answered: their disks
    are the voters from then on. Otherwise the next safe change of voters is made if a `topology` is given.
    """
    if unanimous:
        return campaign.disks, {}
    own = campaign.own.replica_set
    wanted_voters = own.voters
    if topology is not None:
        wanted_voters = next_voters(own.voters, members, campaign.disks, topology, campaign.leaving)
    voters = voters_after(own, wanted_voters)
    return voters, previous_voters(own, voters)


@dataclass(frozen=True)
class Placement:
    """Where backups may be placed: the `zones` of the members in their agreed order, the primary's own zone, and the
    wanted number of backups. Zones are considered only if `spread` is set."""

    zones: Mapping[str, str]
    own_zone: str
    wanted: int
    spread: bool


def choose_backups(campaign: Campaign, voters: Voters, placement: Placement, reason: ElectionReason) -> tuple[str, ...]:
    """Returns the backups of the new epoch. Acknowledgements count by disk, so only members whose disk is among the
    voters can be backups. Members that leave the fleet are chosen only if there are no others."""
    members, disks = list(placement.zones), campaign.disks
    eligible = [n for n in members if n != campaign.candidate and n in disks and voters.get(n) == disks[n]]
    staying = [n for n in eligible if not campaign.promises[n].leaving]
    previous_primary = campaign.own.replica_set.primary
    ranked = sorted(
        staying or eligible,
        key=lambda name: (
            name == previous_primary and reason.replaces_primary,
            placement.spread and placement.zones[name] == placement.own_zone,
            members.index(name),
        ),
    )
    zones = placement.zones if placement.spread else {n: n for n in ranked}
    return choose_across_zones(ranked, zones, placement.own_zone, placement.wanted)


def better_backups(replica_set: ReplicaSet, answered: Sequence[str], placement: Placement) -> bool:
    """Returns whether the members that answered allow more backups, or copies in more zones, than the replica set
    has."""
    if len(replica_set.backups) < placement.wanted:
        return bool(set(answered) - set(replica_set.holders))
    if not placement.spread:
        return False
    zones = placement.zones
    if not set(replica_set.backups) <= set(zones):
        return True
    best_backups = choose_across_zones([*replica_set.backups, *answered], zones, placement.own_zone, placement.wanted)
    return _zone_count(best_backups, placement) > _zone_count(replica_set.backups, placement)


def _zone_count(backups: Sequence[str], placement: Placement) -> int:
    return len({placement.own_zone, *(placement.zones[n] for n in backups)})

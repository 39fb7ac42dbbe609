"""What a candidate decides in an election: pure functions over what the members answered, without any I/O.

`decide` says what a new epoch begins from, `electorate_after` who votes from then on, and `choose_backups` who keeps the
state beside the primary. `Election` carries the decisions out. The rules of quorum that they rest on are in `epochs`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from postpass.control.epochs import (
    ReplicaSet,
    Voters,
    backups_of,
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
    """Why an election is run, as events tell it."""

    FOUNDED = "founded"
    PRIMARY_LOST = "primary lost"
    RESTARTED = "restarted"
    HANDED_OVER = "handed over"
    BACKUP_LOST = "backup lost"
    TOO_FEW_BACKUPS = "too few backups"
    VOTERS_CHANGE = "voters"


@dataclass(frozen=True)
class ElectionReason:
    """A cause, with the members that it concerns where it is a change of voters."""

    cause: Cause
    members: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.cause.value} {list(self.members)}" if self.members else self.cause.value

    @property
    def renews(self) -> bool:
        """Does the present primary lead on, under another epoch? What it has heard stays true then."""
        return self.cause in (Cause.BACKUP_LOST, Cause.TOO_FEW_BACKUPS, Cause.VOTERS_CHANGE)

    @property
    def replaces_primary(self) -> bool:
        """Is the primary before gone or leaving? It is the last choice for a backup then."""
        return self.cause in (Cause.PRIMARY_LOST, Cause.HANDED_OVER)


# --- the pre-vote
@dataclass(frozen=True)
class PreVotes:
    """The answers to one pre-vote, and when it was asked, in seconds of the candidate's own monotonic clock.

    They say who heard a primary at that time, and are good for a short while only: a candidate that was frozen since would
    ask for promises that it was once entitled to, and could depose a primary that most voters hear again.
    """

    answers: Mapping[str, VoteAnswer]
    asked_at: float

    def is_fresh(self, moment: float, limit: float) -> bool:
        """May promises still be asked for on the strength of these answers? They are good for `limit` seconds."""
        return moment - self.asked_at <= limit


def prevote_won(members: set[str], answers: Mapping[str, VoteAnswer]) -> bool:
    """The rule of the pre-vote, by the voters of the newest epoch that an answer tells."""
    prevotes = [answer.prevote(name) for name, answer in answers.items()]
    return may_campaign(members, newest_replica_set(answers).voters, prevotes)


def prevote_lost_why(answers: Mapping[str, VoteAnswer]) -> str:
    """Why a candidate that lost the pre-vote can't go on: a fleet that nobody has founded needs all its members."""
    return FOUNDED_BY_ALL if all(answer.is_blank for answer in answers.values()) else NO_MAJORITY


def may_run(me: str, disk: str, state_epoch: int, members: Sequence[str], answers: Mapping[str, VoteAnswer]) -> bool:
    """May a member that misses the primary run for election? One that can't lead would only burn epochs of one that can."""
    newest = newest_replica_set(answers)
    # Case: it holds the state of the newest epoch that was granted, or a later one.
    if state_epoch >= newest.epoch:
        return True
    # Case: it is a holder of that epoch, and its disk is the one that the replica set names.
    if me in newest and newest.voters.get(me) == disk:
        return True
    able = [n for n, answer in answers.items() if n in newest and newest.voters.get(n) == answer.disk]
    # Case: all holders lost their disks. Then anyone may go on, once all have told so.
    return not able and all(n in answers for n in members)


@dataclass(frozen=True)
class RestartTurn:
    """When a holder of the state may run after a restart: at once if `is_first`, else after `rank` heartbeats."""

    rank: int
    is_first: bool


def restart_turn(me: str, state_epoch: int, answers: Mapping[str, VoteAnswer]) -> RestartTurn | None:
    """After a start of most members: this one's place among the holders of the newest epoch; None if it can't lead."""
    newest = newest_replica_set(answers)
    disks = {n: answer.disk for n, answer in answers.items()}
    able = [n for n in newest.holders if n in disks and newest.voters.get(n) == disks[n]]
    if not majority(newest.voters, disks) or me not in able or state_epoch != newest.epoch:
        return None
    rank = newest.holders.index(me)
    # The primary goes first if its disk is here; one that is not heard yet may be starting.
    earlier_answered = all(n in disks for n in newest.holders[:rank])
    return RestartTurn(rank, is_first=me == able[0] and earlier_answered)


# --- the decision
@dataclass(frozen=True)
class Campaign:
    """What a candidate knows once enough members have promised it an epoch.

    `own` is the state that it holds since its own promise was synced, `promises` are the answers of those that promised
    `epoch`, the candidate's own among them, and `is_complete` says that nobody of the electorate is missing.
    """

    candidate: str
    epoch: int
    own: ReplicatedState
    promises: Mapping[str, VoteAnswer]
    is_complete: bool

    @property
    def disks(self) -> Voters:
        """The disk of each member that promised."""
        return {name: answer.disk for name, answer in self.promises.items()}

    @property
    def is_blank(self) -> bool:
        """Has nobody that promised granted an epoch or synced a state?"""
        return all(answer.is_blank for answer in self.promises.values())

    @property
    def able(self) -> list[str]:
        """The holders of the newest replica set that answered with that epoch's state or a later one, on the disk that it
        names.

        A later state was proposed and not granted: it went on from this epoch's, since whoever proposed it was a holder
        that could lead, and nothing was acknowledged under it."""
        newest = newest_replica_set(self.promises)
        return [
            name
            for name, answer in self.promises.items()
            if answer.state_epoch >= newest.epoch and name in newest and newest.voters.get(name) == answer.disk
        ]

    @property
    def leaving(self) -> list[str]:
        """The other members that were told to leave."""
        return [n for n, answer in self.promises.items() if answer.leaving and n != self.candidate]


@dataclass(frozen=True)
class Refused:
    """The candidate may not lead; `why` is told to whoever asked."""

    why: str


@dataclass(frozen=True)
class Found:
    """The fleet is founded with this state; all members have promised."""

    state: State
    unanimous: ClassVar[bool] = True


@dataclass(frozen=True)
class Resume:
    """The candidate goes on from the state that it holds. `unanimous` if no majority of the voters before stands behind
    it, but all members have promised."""

    unanimous: bool


@dataclass(frozen=True)
class Rebuild:
    """No copy of the state is left: it is made anew from the newest configuration that daemons hold, with a revision
    above `revision_floor`. `losses` is told from then on: acknowledged changes may be gone."""

    revision_floor: int
    losses: int
    unanimous: ClassVar[bool] = True


Basis = Found | Resume | Rebuild


def decide(campaign: Campaign, fleet_is_known: bool, first: State | None) -> Basis | Refused:
    """What the new epoch begins from; `first` is the state of a fleet that is to be founded.

    `fleet_is_known` tells that a configuration is in force by the feed, whatever the members hold.
    """
    if campaign.is_blank:
        return _decide_blank(campaign, fleet_is_known, first)
    me, own = campaign.candidate, campaign.own
    granted = {n: answer.replica_set for n, answer in campaign.promises.items()}
    flaw = may_lead(me, own.epoch, own.replica_set, granted, own.replica_set.voters, campaign.disks)
    # Case: the ordinary takeover. A majority of the voters promised, and no later epoch may stand.
    if not flaw:
        return Resume(unanimous=False)
    # Case: someone is missing who may hold a newer state, or be led by one that does.
    if not campaign.is_complete:
        return Refused(flaw)
    able = campaign.able
    # Case: all are here, and no disk holds the newest epoch's state any more.
    if not able:
        floor = max(answer.state_revision for answer in campaign.promises.values())
        return Rebuild(floor, own.state.losses + 1)
    # Case: another one can lead with that state, and goes first.
    if able[0] != me:
        return Refused(flaw)
    # Case: this one told that it holds that state, and has an older one.
    if own.epoch < newest_replica_set(campaign.promises).epoch:
        return Refused(flaw)
    # Case: too many voters lost their disks for a majority, but all members are here and this one has the state.
    return Resume(unanimous=True)


def _decide_blank(campaign: Campaign, fleet_is_known: bool, first: State | None) -> Basis | Refused:
    # Case: a member that did not answer may hold the state of a fleet that was founded already.
    if not campaign.is_complete:
        return Refused(FOUNDED_BY_ALL)
    # Case: all members lost their disks, but daemons serve by a configuration.
    if fleet_is_known:
        return Rebuild(0, 1)
    # Case: a new fleet.
    if first is not None:
        return Found(first)
    return Refused(NOTHING_TO_BEGIN_FROM)


# --- the replica set of the new epoch
def electorate_after(
    campaign: Campaign, unanimous: bool, members: Sequence[str], topology: Topology | None
) -> tuple[Voters, Voters]:
    """The voters of the new epoch, and those before it that it carries along until it is settled.

    Without a majority of the voters before, all members have answered: those are the voters from here on. Where a
    `topology` is given, the next safe change of voters is made as well.
    """
    if unanimous:
        return campaign.disks, {}
    own = campaign.own.replica_set
    wanted = own.voters
    if topology is not None:
        wanted = next_voters(own.voters, members, campaign.disks, topology, campaign.leaving)
    voters = voters_after(own, wanted)
    return voters, previous_voters(own, voters)


@dataclass(frozen=True)
class Placement:
    """Where backups may stand: `zones` of the members in their agreed order, the primary's own zone, and how many are
    wanted. Only where `spread` is set do zones count."""

    zones: Mapping[str, str]
    own_zone: str
    wanted: int
    spread: bool


def choose_backups(campaign: Campaign, voters: Voters, placement: Placement, reason: ElectionReason) -> tuple[str, ...]:
    """The backups of the new epoch. Their acknowledgements count by their disks, so only members whose disk is among the
    voters can be backups; those that leave only if there are no others."""
    members, disks = list(placement.zones), campaign.disks
    able = [n for n in members if n != campaign.candidate and n in disks and voters.get(n) == disks[n]]
    staying = [n for n in able if not campaign.promises[n].leaving]
    before = campaign.own.replica_set.primary
    ranked = sorted(
        staying or able,
        key=lambda name: (
            name == before and reason.replaces_primary,
            placement.spread and placement.zones[name] == placement.own_zone,
            members.index(name),
        ),
    )
    zones = placement.zones if placement.spread else {n: n for n in ranked}
    return backups_of(ranked, zones, placement.own_zone, placement.wanted)


def better_backups(replica_set: ReplicaSet, answered: Sequence[str], placement: Placement) -> bool:
    """Could there be more backups, or copies in more zones, with those that answered?"""
    if len(replica_set.backups) < placement.wanted:
        return bool(set(answered) - set(replica_set.holders))
    if not placement.spread:
        return False
    zones = placement.zones
    if not set(replica_set.backups) <= set(zones):
        return True
    best = backups_of([*replica_set.backups, *answered], zones, placement.own_zone, placement.wanted)
    return _zone_count(best, placement) > _zone_count(replica_set.backups, placement)


def _zone_count(backups: Sequence[str], placement: Placement) -> int:
    return len({placement.own_zone, *(placement.zones[n] for n in backups)})

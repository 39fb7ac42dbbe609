"""Epochs of the control plane: the vote record that each member syncs to its disk, and the election rules as pure
functions.

Every election creates a new epoch, which names its primary, its backups and its voters. A vote belongs to a disk, not
to a machine: a member that lost its disk counts as another member of the same name.
"""

from __future__ import annotations

import json
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from typing import Any

Voters = dict[str, str]  # member name -> identity of its disk


@dataclass(frozen=True)
class Acknowledgement:
    """A member's positive answer to a request of an epoch.

    Invariant: it counts only for the disk that gave it, and only under the epoch that it was given for, since a member
    that lost its disk is another member of the same name.
    """

    member: str
    disk: str
    epoch: int


@dataclass(frozen=True)
class PreVote:
    """A member's answer to the question whether it would support a new primary. The answer promises nothing."""

    member: str
    disk: str
    hears_primary: bool  # whether the member hears a primary other than the candidate that asks


@dataclass(frozen=True)
class ReplicaSet:
    """The primary, the backups and the voters of one epoch.

    Invariant: an epoch names one primary and its backups and never changes them; each of them has synced a write before
    the write is answered.

    `previous_voters` are the voters of the preceding epoch where they differ from `voters`. An election by a member that
    holds the state of this epoch needs a majority of them as well, until the replica set is settled: until the primary,
    after this epoch was granted, has replicated a replica set without them.
    """

    epoch: int = 0
    primary: str = ""
    backups: tuple[str, ...] = ()
    voters: Voters = field(default_factory=dict)
    previous_voters: Voters = field(default_factory=dict)

    def __contains__(self, name: object) -> bool:
        return name == self.primary or name in self.backups

    @property
    def holders(self) -> tuple[str, ...]:
        """The members that store the state, the primary first, in the order in which they would lead."""
        return (self.primary, *self.backups)

    @property
    def backup(self) -> str:
        """The backup that would lead next; empty if there is none."""
        return self.backups[0] if self.backups else ""

    def is_valid_acknowledgement(self, acknowledgement: Acknowledgement) -> bool:
        """Returns whether the acknowledgement was given under this epoch, by the very disk that this replica set
        names."""
        return acknowledgement.epoch == self.epoch and self.voters.get(acknowledgement.member) == acknowledgement.disk

    def acknowledged_by_all_backups(self, acknowledgements: Iterable[Acknowledgement]) -> bool:
        """Returns whether all backups have acknowledged, each by the disk that this replica set names."""
        return set(self.backups) <= {a.member for a in acknowledgements if self.is_valid_acknowledgement(a)}

    def confirmed_by(self, acknowledgements: Iterable[Acknowledgement]) -> bool:
        """Returns whether a write may be acknowledged or a read is confirmed: all holders and a majority of the voters
        answered under this epoch.

        A primary of a later epoch needs promises from a majority of the voters. At least one voter is in both
        majorities, and had not given that promise when it answered here. So nobody led a later epoch when the request
        arrived for which these acknowledgements were collected.
        """
        acknowledging_members = {a.member for a in acknowledgements if self.is_valid_acknowledgement(a)}
        return set(self.holders) <= acknowledging_members and 2 * len(acknowledging_members) > len(self.voters)

    @property
    def electorates(self) -> list[Voters]:
        """The sets of voters; an election that continues from this replica set needs a majority of each of them."""
        return [self.voters, self.previous_voters] if self.previous_voters else [self.voters]

    def settled(self) -> ReplicaSet:
        """Returns this replica set without the previous voters, for use once its epoch is known to be granted."""
        return replace(self, previous_voters={})

    def elected_by(self, granted: Voters) -> bool:
        """Returns whether the disks that granted this epoch suffice to make its primary the leader."""
        return all(majority(voters, granted) for voters in self.electorates)

    def as_json(self) -> dict[str, Any]:
        """Returns the JSON object that members send and store on disk; it is a deep copy."""
        return asdict(self)

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> ReplicaSet:
        """Decodes a JSON object. Releases up to 0.2.0 have a single `backup`, and those before 0.3 no
        `previous_voters`."""
        backups = raw["backups"] if "backups" in raw else [raw["backup"]] if raw["backup"] else []
        return cls(raw["epoch"], raw["primary"], tuple(backups), raw["voters"], raw.get("previous_voters", {}))


@dataclass(frozen=True)
class VoteRecord:
    """What a member has promised and granted. It is synced to disk before any other process learns of it.

    `promised` is the highest epoch that the member promised, and `candidate` the member that it promised it to;
    `replica_set` is that of the last epoch that it granted.
    Invariants: `promised` never decreases; `replica_set.epoch` <= `promised`; an epoch is promised to one member only.
    """

    promised: int = 0
    candidate: str = ""
    replica_set: ReplicaSet = ReplicaSet()

    def prepare(self, epoch: int, candidate: str) -> VoteRecord | None:
        """Returns the record that promises `candidate` to accept nothing below `epoch`; None if that can't be promised,
        because a later epoch, or this one to another member, was promised."""
        if epoch > self.promised or (epoch == self.promised and candidate == self.candidate):
            return replace(self, promised=epoch, candidate=candidate)
        return None

    def accept(self, epoch: int, sender: str, granted: bool) -> VoteRecord | None:
        """Returns the record that must be on disk before a message from `sender` under `epoch` takes effect; None if the
        message must be refused.

        A primary whose epoch a majority `granted` is followed, whichever member that epoch was promised to here: no
        majority can grant the same epoch to another member. A message of a candidate is accepted only by members that
        promised the epoch to it.
        """
        if granted and epoch > self.promised:
            return replace(self, promised=epoch, candidate=sender)
        if epoch == self.promised and (granted or sender == self.candidate):
            return self
        return None

    def grant(self, replica_set: ReplicaSet, candidate: str) -> VoteRecord | None:
        """Returns the record that grants `candidate` the epoch of `replica_set`; None if a later epoch, or this one to
        another member, was promised."""
        if replica_set.epoch < self.promised or (replica_set.epoch == self.promised and candidate != self.candidate):
            return None
        return VoteRecord(replica_set.epoch, candidate, replica_set)

    def dump(self) -> bytes:
        """Encodes the record for the disk, with the keys of release 0.2.0."""
        body = {"promised": self.promised, "to": self.candidate, "pair": self.replica_set.as_json()}
        return json.dumps(body).encode()

    @classmethod
    def load(cls, data: bytes) -> VoteRecord:
        """Decodes what `dump` wrote; raises ValueError, KeyError or TypeError if the data is damaged."""
        raw = json.loads(data)
        return cls(raw["promised"], raw["to"], ReplicaSet.from_json(raw["pair"]))


def choose_across_zones(
    ranked: list[str], zone_of: Mapping[str, str], primary_zone: str, wanted: int
) -> tuple[str, ...]:
    """Returns the first `wanted` of the ranked members, or all if there are fewer. As long as there are unused zones,
    no two of them share a zone with each other or with `primary_zone`."""
    chosen: list[str] = []
    used_zones, remaining = {primary_zone}, list(ranked)
    while remaining and len(chosen) < wanted:
        name = min(remaining, key=lambda name: (zone_of[name] in used_zones, ranked.index(name)))
        remaining.remove(name)
        chosen.append(name)
        used_zones.add(zone_of[name])
    return tuple(chosen)


def majority(voters: Voters, disks: Voters) -> bool:
    """Returns whether the members that answered, each by the disk that has its vote, are more than half of the
    voters."""
    return 2 * sum(disks.get(n) == d for n, d in voters.items()) > len(voters)


def may_campaign(members: Iterable[str], voters: Voters, prevotes: Iterable[PreVote]) -> bool:
    """Returns whether the pre-vote is won: whether a member may ask for promises, and promise the epoch itself.

    It is won if a majority of the voters, by their disks, hear no other primary; so a primary that a majority hears is
    not deposed. Where too many disks are lost for that, or there were never any voters, all `members` must have
    answered so.
    """
    supporters = {a.member: a.disk for a in prevotes if not a.hears_primary}
    all_members = set(members)
    return majority(voters, supporters) or (bool(all_members) and all_members <= set(supporters))


def in_touch(voters: Voters, answered_at: Mapping[str, float], since: float) -> bool:
    """Returns whether most voters have answered the primary since that time. `answered_at` has the time at which each
    voter's disk last answered."""
    return 2 * sum(answered_at.get(name, -math.inf) >= since for name in voters) > len(voters)


def acknowledging_disks(acknowledgements: Iterable[Acknowledgement], epoch: int) -> Voters:
    """Returns the disks that acknowledged under this epoch, by member."""
    return {a.member: a.disk for a in acknowledgements if a.epoch == epoch}


def voters_after(current: ReplicaSet, wanted: Voters) -> Voters:
    """Returns the voters of an epoch that follows the replica set `current`. They may change only if that one is
    settled, so an epoch never depends on more than two sets of voters."""
    return current.voters if current.previous_voters else wanted


def previous_voters(current: ReplicaSet, voters: Voters) -> Voters:
    """Returns the previous voters that an epoch with these `voters` names when it follows the replica set `current`."""
    if current.previous_voters:
        return current.previous_voters
    return current.voters if voters != current.voters else {}


def missing_holders(
    newest: ReplicaSet,
    members: Iterable[str],
    dropped: Collection[str],
    declared_gone: Collection[str],
    answered: Collection[str],
) -> set[str]:
    """Returns the members that have not answered and may hold a newer state than any member that answered. The state
    may be rebuilt from the daemons' configuration only if there are none.

    `newest` is the newest replica set that an answer names, `members` are those of the newest configuration in force.
    All of these members and all voters must answer, except those that this configuration has `dropped`: every holder
    has that configuration, so none of them makes a dropped member a holder of a later epoch. A holder of `newest`
    itself must answer even if it is dropped, unless the operator has declared it gone.
    """
    required = ({*members, *newest.voters} - set(dropped)) | (set(newest.holders) - set(declared_gone))
    return required - {""} - set(answered)


def may_lead(
    candidate: str,
    state_epoch: int,
    own_replica_set: ReplicaSet,
    granted_replica_sets: dict[str, ReplicaSet],
    voters: Voters,
    promised_disks: Voters,
) -> str:
    """Decides whether `candidate` may lead a new epoch with the state of epoch `state_epoch` that it holds. Returns the
    empty string if it may, else the reason why not.

    `promised_disks` has the disk of each member that promised the new epoch, the candidate's own included.
    `own_replica_set` is the replica set of epoch `state_epoch`, and `granted_replica_sets` has the one that each
    answering voter last granted. The candidate's disk must be the one that its replica set names: another disk may hold
    an older state of the same epoch, since the primary never counted its acknowledgements.

    An epoch later than `state_epoch` prevents the takeover unless it is proved that no majority granted it. The members
    that answered and have not granted it can't do so any more, because they have promised a higher epoch. Majorities
    are needed of `voters` and, if `own_replica_set` is not settled, of its previous voters too.
    """
    if (
        state_epoch == 0
        or own_replica_set.epoch != state_epoch
        or candidate not in own_replica_set
        or own_replica_set.voters.get(candidate) != promised_disks.get(candidate)
    ):
        return "not of the pair whose state this is, or the state isn't whole"
    electorates = [voters, own_replica_set.previous_voters] if own_replica_set.previous_voters else [voters]
    if not all(majority(electorate, promised_disks) for electorate in electorates):
        return "no majority answered"
    later = {p.epoch: p for p in granted_replica_sets.values() if p.epoch > state_epoch}
    for replica_set in later.values():
        if any(
            may_have_been_granted(replica_set.epoch, electorate, granted_replica_sets, promised_disks)
            for electorate in electorates
        ):
            return f"epoch {replica_set.epoch} of {replica_set.primary} may stand"
    return ""


def may_have_been_granted(
    epoch: int, voters: Voters, granted_replica_sets: dict[str, ReplicaSet], promised_disks: Voters
) -> bool:
    """Returns whether a majority of these voters may have granted this epoch, by the answers of those that promised a
    later one."""
    answering_voters = {n for n, d in voters.items() if promised_disks.get(n) == d}
    # A voter that has granted a later epoch may have granted this one before.
    possible_granters = {
        n for n in answering_voters if n in granted_replica_sets and granted_replica_sets[n].epoch >= epoch
    }
    missing_voters = set(voters) - answering_voters
    return 2 * len(possible_granters | missing_voters) > len(voters)

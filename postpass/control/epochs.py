"""Epochs of the control plane: the record of votes that each member syncs, and the rules of election as pure functions."""

from __future__ import annotations

import json
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from typing import Any

Voters = dict[str, str]  # name -> disk


@dataclass(frozen=True)
class Acknowledgement:
    """A member's positive answer to a request of an epoch. Invariant: it counts only for the disk that gave it, and only
    under the epoch it was given for; a member that lost its disk is another member of the same name."""

    member: str
    disk: str
    epoch: int


@dataclass(frozen=True)
class PreVote:
    """What a member answers when it is asked whether it would back a new primary. It promises nothing by it."""

    member: str
    disk: str
    hears_primary: bool  # another one than whoever asks


@dataclass(frozen=True)
class ReplicaSet:
    """Invariant: an epoch names one primary and its backups, for good; every one of them has synced a write before it is
    answered.

    `previous_voters` are those of the epoch before, where they differ. Elections that rest on this replica set need a
    majority of them as well until it is settled: until the primary, once this epoch was granted, wrote them off.
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
        """Who keeps the state, in the order in which they lead."""
        return (self.primary, *self.backups)

    @property
    def backup(self) -> str:
        """The one that leads next."""
        return self.backups[0] if self.backups else ""

    def counts(self, answer: Acknowledgement) -> bool:
        """Was this answer given under this epoch, by the very disk that this replica set names?"""
        return answer.epoch == self.epoch and self.voters.get(answer.member) == answer.disk

    def copied_to_all(self, answers: Iterable[Acknowledgement]) -> bool:
        """Have all backups acknowledged?"""
        return set(self.backups) <= {a.member for a in answers if self.counts(a)}

    def confirmed_by(self, answers: Iterable[Acknowledgement]) -> bool:
        """The rule of acknowledging and of confirmed reads: all holders and most voters answered under this epoch.

        A later primary has promises of most voters, so one of those that answered here had not promised it yet when it
        did: nobody led a later epoch when the request that these answers follow came in.
        """
        counted = {a.member for a in answers if self.counts(a)}
        return set(self.holders) <= counted and 2 * len(counted) > len(self.voters)

    @property
    def electorates(self) -> list[Voters]:
        """The sets of voters of each of which an election that rests on this replica set needs a majority."""
        return [self.voters, self.previous_voters] if self.previous_voters else [self.voters]

    def settled(self) -> ReplicaSet:
        """This replica set, once its epoch is known to be granted."""
        return replace(self, previous_voters={})

    def elected_by(self, granted: Voters) -> bool:
        """Do the disks that granted this epoch make its primary the leader?"""
        return all(majority(voters, granted) for voters in self.electorates)

    def as_json(self) -> dict[str, Any]:
        """As members send it and as it stands on disk; shares nothing with this one."""
        return asdict(self)

    @classmethod
    def of(cls, raw: dict[str, Any]) -> ReplicaSet:
        """From JSON; releases up to 0.2.0 knew one backup, and none before 0.3 knew the voters of the epoch before."""
        backups = raw["backups"] if "backups" in raw else [raw["backup"]] if raw["backup"] else []
        return cls(raw["epoch"], raw["primary"], tuple(backups), raw["voters"], raw.get("previous_voters", {}))


@dataclass(frozen=True)
class VoteRecord:
    """What a member promised and granted; synced before it is told to anyone.

    `promised` is the highest epoch that was promised, to `candidate`; `replica_set` is the last one that was granted.
    Invariants: `promised` never falls; `replica_set.epoch` <= `promised`; one name holds the promise of one epoch.
    """

    promised: int = 0
    candidate: str = ""
    replica_set: ReplicaSet = ReplicaSet()

    def prepare(self, epoch: int, who: str) -> VoteRecord | None:
        """Promises to take nothing below `epoch`; None if that can't be promised."""
        if epoch > self.promised or (epoch == self.promised and who == self.candidate):
            return replace(self, promised=epoch, candidate=who)
        return None

    def accept(self, epoch: int, who: str, granted: bool) -> VoteRecord | None:
        """What must be on disk before a message of that epoch takes effect; None if it is refused.

        A primary whose epoch a majority granted is followed, whoever else asked here for a promise of that epoch: no
        majority can grant it to another. A candidate is heard only by those that promised the epoch to it.
        """
        if granted and epoch > self.promised:
            return replace(self, promised=epoch, candidate=who)
        if epoch == self.promised and (granted or who == self.candidate):
            return self
        return None

    def grant(self, replica_set: ReplicaSet, who: str) -> VoteRecord | None:
        """Grants an epoch with its replica set; None if a later epoch, or this one to another, was promised."""
        if replica_set.epoch < self.promised or (replica_set.epoch == self.promised and who != self.candidate):
            return None
        return VoteRecord(replica_set.epoch, who, replica_set)

    def dump(self) -> bytes:
        """The record by its keys on disk, which are those of release 0.2.0."""
        body = {"promised": self.promised, "to": self.candidate, "pair": self.replica_set.as_json()}
        return json.dumps(body).encode()

    @classmethod
    def load(cls, data: bytes) -> VoteRecord:
        """Reads what `dump` wrote; raises ValueError, KeyError or TypeError if it is damaged."""
        raw = json.loads(data)
        return cls(raw["promised"], raw["to"], ReplicaSet.of(raw["pair"]))


def backups_of(ranked: list[str], zone: Mapping[str, str], mine: str, want: int) -> tuple[str, ...]:
    """As many as are wanted, the better ranked first, no two of them or with `mine` in one zone while zones suffice."""
    out: list[str] = []
    used, rest = {mine}, list(ranked)
    while rest and len(out) < want:
        name = min(rest, key=lambda name: (zone[name] in used, ranked.index(name)))
        rest.remove(name)
        out.append(name)
        used.add(zone[name])
    return tuple(out)


def majority(voters: Voters, got: Voters) -> bool:
    """Do the answers, by the disks that have a vote, make more than half?"""
    return 2 * sum(got.get(n) == d for n, d in voters.items()) > len(voters)


def may_campaign(members: Iterable[str], voters: Voters, answers: Iterable[PreVote]) -> bool:
    """The rule of the pre-vote: may a member ask for promises, and promise itself?

    Most voters, by their disks, hear no other primary; so none that a majority hears is deposed. Where too many disks are
    lost for that, or there were never any voters, all `members` must have answered so.
    """
    willing = {a.member: a.disk for a in answers if not a.hears_primary}
    everyone = set(members)
    return majority(voters, willing) or (bool(everyone) and everyone <= set(willing))


def in_touch(voters: Voters, answered: Mapping[str, float], since: float) -> bool:
    """Has a primary had answers of most voters since that time? `answered` tells when each voter's disk last answered."""
    return 2 * sum(answered.get(name, -math.inf) >= since for name in voters) > len(voters)


def votes(answers: Iterable[Acknowledgement], epoch: int) -> Voters:
    """The disks that answered under this epoch, by member."""
    return {a.member: a.disk for a in answers if a.epoch == epoch}


def voters_after(own: ReplicaSet, wanted: Voters) -> Voters:
    """The voters of an epoch that follows the replica set `own`: they change only from a settled one, so no epoch rests
    on more than two sets of them."""
    return own.voters if own.previous_voters else wanted


def previous_voters(own: ReplicaSet, voters: Voters) -> Voters:
    """The voters before, which an epoch with these `voters` carries along when it follows the replica set `own`."""
    if own.previous_voters:
        return own.previous_voters
    return own.voters if voters != own.voters else {}


def unheard_holders(
    newest: ReplicaSet,
    members: Iterable[str],
    dropped: Collection[str],
    declared_gone: Collection[str],
    answered: Collection[str],
) -> set[str]:
    """Who might still come back with a newer state than any that answered. The state is rebuilt from daemons only if this
    is empty.

    `newest` is the newest replica set that an answer tells, `members` are those of the newest configuration in force.
    All of these and all voters must answer, but for those that this configuration has `dropped`: every holder has it, so
    none of them makes a dropped one a holder of a later epoch. A holder of `newest` itself must answer even so, unless
    the operator has declared it gone.
    """
    needed = ({*members, *newest.voters} - set(dropped)) | (set(newest.holders) - set(declared_gone))
    return needed - {""} - set(answered)


def may_lead(
    me: str, state_epoch: int, own: ReplicaSet, replica_sets: dict[str, ReplicaSet], voters: Voters, got: Voters
) -> str:
    """The rule of takeover: empty if `me` may go on from the state it holds of epoch `state_epoch`, else why not.

    `got` has the disk of each member that promised, `me` among them. A disk that the replica set doesn't name may hold
    an older state of the same epoch: the primary never counted its answers. `replica_sets` has what each answering
    voter last granted; `own` is the replica set of epoch `state_epoch`. A later epoch stands in the way unless it is proved
    that no majority granted it: those that answered and did not grant it have promised a higher one, so they never will. All of
    this holds for `voters` and for the voters before them, if `own` is not settled.
    """
    if state_epoch == 0 or own.epoch != state_epoch or me not in own or own.voters.get(me) != got.get(me):
        return "not of the pair whose state this is, or the state isn't whole"
    electorates = [voters, own.previous_voters] if own.previous_voters else [voters]
    if not all(majority(electorate, got) for electorate in electorates):
        return "no majority answered"
    later = {p.epoch: p for p in replica_sets.values() if p.epoch > state_epoch}
    for replica_set in later.values():
        if any(may_be_granted(replica_set.epoch, electorate, replica_sets, got) for electorate in electorates):
            return f"epoch {replica_set.epoch} of {replica_set.primary} may stand"
    return ""


def may_be_granted(epoch: int, voters: Voters, replica_sets: dict[str, ReplicaSet], got: Voters) -> bool:
    """Could a majority of these voters have granted this epoch, as far as those tell that promised a later one?"""
    valid = {n for n, d in voters.items() if got.get(n) == d}
    # One that has granted a later one may have granted this one before.
    granted = {n for n in valid if n in replica_sets and replica_sets[n].epoch >= epoch}
    missing = set(voters) - valid
    return 2 * len(granted | missing) > len(voters)

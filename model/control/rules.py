"""The product's decisions, as the model calls them.

`Rules` holds functions of the product and, apart from them, the few decisions that the product still takes inside its
coroutines: those are transcribed in `model.control.transcribed`. `Decisions` translates between the model's numbers and
the product's types, and remembers what was asked before; it decides nothing itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import NamedTuple

from model.control import transcribed
from model.control.state import NO_VOTE, NOBODY, Answer, Member, ModelReplicaSet
from postpass.control import epochs
from postpass.control.epochs import PreVote, ReplicaSet, VoteRecord, Voters


@dataclass(frozen=True)
class Rules:
    """Each decision of the protocol; tests put a faulty one in place of a product's function."""

    promise: Callable[[VoteRecord, int, str], VoteRecord | None] = VoteRecord.prepare
    grant: Callable[[VoteRecord, ReplicaSet, str], VoteRecord | None] = VoteRecord.grant
    may_campaign: Callable[[Iterable[str], Voters, Iterable[PreVote]], bool] = epochs.may_campaign
    may_lead: Callable[[str, int, ReplicaSet, dict[str, ReplicaSet], Voters, Voters], str] = epochs.may_lead
    without_majority: Callable[[transcribed.Heard], tuple[str, bool]] = transcribed.without_majority
    elected_by: Callable[[ReplicaSet, Voters], bool] = ReplicaSet.elected_by
    voters_after: Callable[[ReplicaSet, Voters], Voters] = epochs.voters_after
    previous_voters: Callable[[ReplicaSet, Voters], Voters] = epochs.previous_voters
    next_voters: Callable[[list[str], Voters, Voters, bool], Voters] = transcribed.next_voters
    takes_append: Callable[[transcribed.Offer], bool] = transcribed.takes_append
    acknowledges: Callable[[ReplicaSet, Voters], bool] = transcribed.confirmed
    confirms: Callable[[ReplicaSet, Voters], bool] = transcribed.confirmed
    whole: Callable[[ReplicaSet, Voters], bool] = transcribed.whole
    may_leave: Callable[[str, ReplicaSet, Voters, int], bool] = transcribed.may_leave
    remembers: Callable[[tuple[int, ...], int], bool] = transcribed.remembers


def name(member: int) -> str:
    """The product's name of a member; nobody has none."""
    return f"c{member + 1}" if member != NOBODY else ""


def _member_of(text: str) -> int:
    return int(text[1:]) - 1 if text else NOBODY


def _disk(member: int, disk: int) -> str:
    return f"d{member + 1}.{disk}"


def _disk_number(text: str) -> int:
    return int(text.partition(".")[2]) if text else NO_VOTE


@lru_cache(maxsize=1 << 16)
def pair_of(value: ModelReplicaSet) -> ReplicaSet:
    """The product's type for a replica set."""
    if value.primary == NOBODY:
        return ReplicaSet()
    backups = tuple(name(b) for b in value.backups)
    return ReplicaSet(value.epoch, name(value.primary), backups, _voters(value.voters), _voters(value.unsettled))


@dataclass(frozen=True)
class Candidacy:
    """What a candidate may do with the answers that it has: why not to lead, whether acknowledged orders are lost, and
    whether it leads without a majority of the voters before, since all have answered."""

    refusal: str
    loses_state: bool = False
    unopposed: bool = False


class Electorate(NamedTuple):
    """The voters of a new epoch and those before it, as a replica set has them."""

    voters: tuple[int, ...]
    unsettled: tuple[int, ...]


class Decisions:
    """The rules over the model's numbers, each answer computed once."""

    def __init__(self, rules: Rules, members: int) -> None:
        self.rules = rules
        self.members = members
        self.promised = lru_cache(maxsize=1 << 16)(self._promised)
        self.granted = lru_cache(maxsize=1 << 16)(self._granted)
        self.candidacy = lru_cache(maxsize=1 << 18)(self._candidacy)
        self.electorate_after = lru_cache(maxsize=1 << 16)(self._electorate_after)
        self.elected = lru_cache(maxsize=1 << 16)(self._elected)
        self.acknowledges = lru_cache(maxsize=1 << 16)(self._acknowledges)
        self.confirms = lru_cache(maxsize=1 << 16)(self._confirms)
        self.whole = lru_cache(maxsize=1 << 16)(self._whole)
        self.has_majority = lru_cache(maxsize=1 << 16)(self._has_majority)

    def _promised(
        self, promised: int, to: int, granted: ModelReplicaSet, epoch: int, who: int
    ) -> tuple[int, int] | None:
        before = VoteRecord(promised, name(to), pair_of(granted))
        after = self.rules.promise(before, epoch, name(who))
        return (after.promised, _member_of(after.candidate)) if after else None

    def _granted(
        self, promised: int, to: int, granted: ModelReplicaSet, proposal: ModelReplicaSet
    ) -> tuple[int, int, ModelReplicaSet] | None:
        before = VoteRecord(promised, name(to), pair_of(granted))
        after = self.rules.grant(before, pair_of(proposal), name(proposal.primary))
        if after is None:
            return None
        return (
            after.promised,
            _member_of(after.candidate),
            proposal if after.replica_set == pair_of(proposal) else granted,
        )

    def _candidacy(
        self, me: int, state_epoch: int, own: ModelReplicaSet, answers: tuple[Answer, ...], present: int
    ) -> Candidacy:
        all_answered = len(answers) == present
        pairs = {name(a.member): pair_of(a.granted) for a in answers}
        got = _disks(answers)
        if all(p.epoch == 0 for p in pairs.values()) and all(a.state_epoch == 0 for a in answers):
            return Candidacy("nothing to begin from")
        newest = max(pairs.values(), key=lambda p: p.epoch)
        # Whether they hear a primary is a matter of time, so any of them may have said that it does not.
        willing = [PreVote(member, disk, False) for member, disk in got.items()]
        everyone = list(got) if all_answered else [name(m) for m in range(self.members)]
        if not self.rules.may_campaign(everyone, newest.voters, willing):
            return Candidacy("the pre-vote is lost")
        pair = pair_of(own)
        refusal = self.rules.may_lead(name(me), state_epoch, pair, pairs, pair.voters, got)
        if not refusal:
            return Candidacy("")
        epochs_held = {name(a.member): a.state_epoch for a in answers}
        heard = transcribed.Heard(name(me), state_epoch, pair, all_answered, pairs, got, epochs_held)
        return Candidacy(*self.rules.without_majority(heard), unopposed=True)

    def _electorate_after(
        self, before: ModelReplicaSet, answers: tuple[Answer, ...], unopposed: bool, wanted: tuple[int, ...]
    ) -> Electorate:
        own, got = pair_of(before), _disks(answers)
        voters = self.rules.next_voters([name(m) for m in wanted], own.voters, got, unopposed)
        if unopposed:
            return Electorate(self._numbers(voters), ())
        voters = self.rules.voters_after(own, voters)
        previous = self.rules.previous_voters(own, voters)
        return Electorate(self._numbers(voters), self._numbers(previous) if previous else ())

    def _numbers(self, voters: Voters) -> tuple[int, ...]:
        return tuple([_disk_number(voters.get(name(m), "")) for m in range(self.members)])

    def _elected(self, proposal: ModelReplicaSet, grants: tuple[Answer, ...]) -> bool:
        return self.rules.elected_by(pair_of(proposal), _disks(grants))

    def _acknowledges(self, replica_set: ModelReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return self.rules.acknowledges(pair_of(replica_set), _disks(answers))

    def _confirms(self, replica_set: ModelReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return self.rules.confirms(pair_of(replica_set), _disks(answers))

    def _whole(self, replica_set: ModelReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return self.rules.whole(pair_of(replica_set), _disks(answers))

    def may_leave(self, me: int, replica_set: ModelReplicaSet, answers: tuple[Answer, ...], tolerate: int) -> bool:
        """May a member leave for good under this replica set, where these members answer?"""
        return self.rules.may_leave(name(me), pair_of(replica_set), _disks(answers), tolerate)

    def _has_majority(self, replica_set: ModelReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return epochs.majority(pair_of(replica_set).voters, _disks(answers))

    def takes_append(self, to: int, member: Member, epoch: int, proposal: ModelReplicaSet, length: int) -> bool:
        """Does a member take this state from the primary of `epoch`?"""
        named = proposal.voters[to] == member.disk
        have = (member.state_epoch, int(not member.replica_set.unsettled), len(member.log))
        sent = (proposal.epoch, int(not proposal.unsettled), length)
        offer = transcribed.Offer(member.promised, have, epoch, sent, named)
        return self.rules.takes_append(offer)


def _disks(answers: tuple[Answer, ...]) -> Voters:
    return {name(a.member): _disk(a.member, a.disk) for a in answers}


def _voters(disks: tuple[int, ...]) -> Voters:
    return {name(m): _disk(m, d) for m, d in enumerate(disks) if d != NO_VOTE}

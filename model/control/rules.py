"""The product's decisions, as the model calls them.

`Rules` holds functions of the product and, apart from them, the few decisions that the product still takes inside its
coroutines: those are transcribed in `model.control.transcribed`. `Decisions` translates between the model's numbers and
the product's types, and remembers what was asked before; it decides nothing itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache

from model.control import transcribed
from model.control.state import NO_VOTE, NOBODY, Answer, Member, ReplicaSet
from postpass.control import epochs
from postpass.control.epochs import Pair, PreVote, Voters, Witness


@dataclass(frozen=True)
class Rules:
    """Each decision of the protocol; tests put a faulty one in place of a product's function."""

    promise: Callable[[Witness, int, str], Witness | None] = Witness.look
    grant: Callable[[Witness, Pair, str], Witness | None] = Witness.grant
    may_campaign: Callable[[Iterable[str], Voters, Iterable[PreVote]], bool] = epochs.may_campaign
    may_lead: Callable[[str, int, Pair, dict[str, Pair], Voters, Voters], str] = epochs.may_lead
    majority: transcribed.Count = epochs.majority
    without_majority: Callable[[transcribed.Heard], tuple[str, bool]] = transcribed.without_majority
    wins: Callable[[transcribed.Ballot, transcribed.Count], bool] = transcribed.wins
    settles: bool = False  # Does an epoch carry the voters before it, until it is known that it was granted?
    next_voters: Callable[[list[str], Voters, Voters, bool], Voters] = transcribed.next_voters
    takes_append: Callable[[transcribed.Offer], bool] = transcribed.takes_append
    acknowledges: Callable[[Pair, Voters], bool] = transcribed.acknowledges
    confirms: Callable[[Pair, Voters], bool] = transcribed.confirms
    whole: Callable[[Pair, Voters], bool] = transcribed.whole
    may_leave: Callable[[str, Pair, Voters, int], bool] = transcribed.may_leave
    remembers: Callable[[tuple[int, ...], int], bool] = transcribed.remembers


def name(member: int) -> str:
    """The product's name of a member; nobody has none."""
    return f"c{member + 1}" if member != NOBODY else ""


def _member_of(text: str) -> int:
    return int(text[1:]) - 1 if text else NOBODY


def _disk(member: int, disk: int) -> str:
    return f"d{member + 1}.{disk}"


@lru_cache(maxsize=1 << 16)
def pair_of(value: ReplicaSet) -> Pair:
    """The product's type for a replica set."""
    if value.primary == NOBODY:
        return Pair()
    voters = {name(m): _disk(m, d) for m, d in enumerate(value.voters) if d != NO_VOTE}
    return Pair(value.epoch, name(value.primary), tuple(name(b) for b in value.backups), voters)


@dataclass(frozen=True)
class Candidacy:
    """What a candidate may do with the answers that it has: why not to lead, and whether acknowledged orders are lost."""

    refusal: str
    loses_state: bool
    all_answered: bool


class Decisions:
    """The rules over the model's numbers, each answer computed once."""

    def __init__(self, rules: Rules, members: int) -> None:
        self.rules = rules
        self.members = members
        self.promised = lru_cache(maxsize=1 << 16)(self._promised)
        self.granted = lru_cache(maxsize=1 << 16)(self._granted)
        self.candidacy = lru_cache(maxsize=1 << 18)(self._candidacy)
        self.voters_after = lru_cache(maxsize=1 << 16)(self._voters_after)
        self.elected = lru_cache(maxsize=1 << 16)(self._elected)
        self.acknowledges = lru_cache(maxsize=1 << 16)(self._acknowledges)
        self.confirms = lru_cache(maxsize=1 << 16)(self._confirms)
        self.whole = lru_cache(maxsize=1 << 16)(self._whole)
        self.has_majority = lru_cache(maxsize=1 << 16)(self._has_majority)

    def _promised(self, promised: int, to: int, granted: ReplicaSet, epoch: int, who: int) -> tuple[int, int] | None:
        before = Witness(promised, name(to), pair_of(granted))
        after = self.rules.promise(before, epoch, name(who))
        return (after.promised, _member_of(after.to)) if after else None

    def _granted(
        self, promised: int, to: int, granted: ReplicaSet, proposal: ReplicaSet
    ) -> tuple[int, int, ReplicaSet] | None:
        before = Witness(promised, name(to), pair_of(granted))
        after = self.rules.grant(before, pair_of(proposal), name(proposal.primary))
        if after is None:
            return None
        return after.promised, _member_of(after.to), proposal if after.pair == pair_of(proposal) else granted

    def _candidacy(
        self, me: int, state_epoch: int, own: ReplicaSet, answers: tuple[Answer, ...], present: int
    ) -> Candidacy:
        all_answered = len(answers) == present
        pairs = {name(a.member): pair_of(a.granted) for a in answers}
        got = _disks(answers)
        if all(p.epoch == 0 for p in pairs.values()) and all(a.state_epoch == 0 for a in answers):
            return Candidacy("nothing to begin from", False, all_answered)
        newest = max(pairs.values(), key=lambda p: p.epoch)
        # Whether they hear a primary is a matter of time, so any of them may have said that it does not.
        willing = [PreVote(member, disk, False) for member, disk in got.items()]
        everyone = list(got) if all_answered else [name(m) for m in range(self.members)]
        if not self.rules.may_campaign(everyone, newest.voters, willing):
            return Candidacy("the pre-vote is lost", False, all_answered)
        pair = pair_of(own)
        if own.unsettled and not self.rules.majority(_voters(own.unsettled), got):
            return Candidacy("no majority of the voters before answered", False, all_answered)
        refusal = self.rules.may_lead(name(me), state_epoch, pair, pairs, pair.voters, got)
        if not refusal:
            return Candidacy("", False, all_answered)
        epochs_held = {name(a.member): a.state_epoch for a in answers}
        heard = transcribed.Heard(name(me), refusal, all_answered, pairs, got, epochs_held)
        return Candidacy(*self.rules.without_majority(heard), all_answered)

    def _voters_after(
        self, before: tuple[int, ...], answers: tuple[Answer, ...], all_answered: bool, wanted: tuple[int, ...]
    ) -> tuple[int, ...]:
        voters = self.rules.next_voters([name(m) for m in wanted], _voters(before), _disks(answers), all_answered)
        disks = {_disk(a.member, a.disk): a.disk for a in answers}
        disks |= {_disk(m, d): d for m, d in enumerate(before)}
        return tuple([disks.get(voters.get(name(m), ""), NO_VOTE) for m in range(self.members)])

    def _elected(
        self, proposal: ReplicaSet, before: ReplicaSet, all_answered: bool, grants: tuple[Answer, ...]
    ) -> bool:
        unsettled = _voters(before.unsettled)
        ballot = transcribed.Ballot(
            _voters(proposal.voters), _voters(before.voters), unsettled, all_answered, _disks(grants)
        )
        return self.rules.wins(ballot, self.rules.majority)

    def _acknowledges(self, replica_set: ReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return self.rules.acknowledges(pair_of(replica_set), _disks(answers))

    def _confirms(self, replica_set: ReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return self.rules.confirms(pair_of(replica_set), _disks(answers))

    def _whole(self, replica_set: ReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return self.rules.whole(pair_of(replica_set), _disks(answers))

    def may_leave(self, me: int, replica_set: ReplicaSet, answers: tuple[Answer, ...], tolerate: int) -> bool:
        """May a member leave for good under this replica set, where these members answer?"""
        return self.rules.may_leave(name(me), pair_of(replica_set), _disks(answers), tolerate)

    def _has_majority(self, replica_set: ReplicaSet, answers: tuple[Answer, ...]) -> bool:
        return epochs.majority(pair_of(replica_set).voters, _disks(answers))

    def takes_append(self, to: int, member: Member, epoch: int, proposal: ReplicaSet, length: int) -> bool:
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

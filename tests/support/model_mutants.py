"""Faulty decisions that the model must find: each breaks one rule of the product's, and names what then goes wrong."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from unittest import mock

from model.control import transcribed
from model.control.invariants import EVERY, Invariant
from model.control.rules import Rules
from model.control.state import Size
from postpass.control import epochs
from postpass.control.epochs import PreVote, ReplicaSet, VoteRecord, Voters, majority, may_lead

SMALL = Size(members=3, epochs=2, bases=(0,), wipes=0, reads=0, restarts=False)


@dataclass(frozen=True)
class Mutant:
    """A rule with a fault, the size that shows it, and the invariant that it breaks.

    `after` are steps from which the search begins, where it would take long from the start.
    """

    name: str
    rules: Rules
    breaks: Invariant
    size: Size = SMALL
    checked: frozenset[Invariant] = field(default=EVERY)
    after: tuple[str, ...] = ()


def leaves_no_less_safe(me: str, replica_set: ReplicaSet, answered: Voters, tolerate: int) -> bool:
    """The leaver has neither a vote nor a copy, and the others bear the tolerated loss."""
    votes = sum(answered.get(n) == disk for n, disk in replica_set.voters.items())
    borne = 2 * (votes - tolerate) > len(replica_set.voters)
    return me not in replica_set.voters and me not in replica_set and borne


# The product's rules, and a leaver that waits until the rest bears the next loss.
REPAIRED = Rules(may_leave=leaves_no_less_safe)


def leads_by_new_voters(
    me: str, whole: int, own: ReplicaSet, pairs: dict[str, ReplicaSet], voters: Voters, got: Voters
) -> str:
    """Before release 0.3: whoever holds the state of an epoch that nobody granted needs its voters alone."""
    return may_lead(me, whole, own.settled(), pairs, voters, got)


def compares_later_epochs_by_new_voters(
    me: str, whole: int, own: ReplicaSet, pairs: dict[str, ReplicaSet], voters: Voters, got: Voters
) -> str:
    """The voters before must have answered, but may have granted a later epoch."""
    if own.previous_voters and not majority(own.previous_voters, got):
        return "no majority of the voters before answered"
    return may_lead(me, whole, own.settled(), pairs, voters, got)


def changes_any_voters(own: ReplicaSet, wanted: Voters) -> Voters:
    return wanted


def carries_last_voters(own: ReplicaSet, voters: Voters) -> Voters:
    return own.voters if voters != own.voters else {}


NEW_VOTERS_ALONE = replace(
    REPAIRED, may_lead=leads_by_new_voters, voters_after=changes_any_voters, previous_voters=carries_last_voters
)


def half(voters: Voters, got: Voters) -> bool:
    return 2 * sum(got.get(n) == d for n, d in voters.items()) >= len(voters)


def by_name(voters: Voters, got: Voters) -> bool:
    return 2 * sum(n in got for n in voters) > len(voters)


def anyone_campaigns(members: Iterable[str], voters: Voters, answers: Iterable[PreVote]) -> bool:
    return True


def may_lead_by(count: object) -> Rules:
    """The product's `may_lead` over another way of counting."""

    def rule(me: str, whole: int, own: ReplicaSet, pairs: dict[str, ReplicaSet], voters: Voters, got: Voters) -> str:
        with mock.patch.object(epochs, "majority", count):
            return may_lead(me, whole, own, pairs, voters, got)

    def elected_by(pair: ReplicaSet, granted: Voters) -> bool:
        with mock.patch.object(epochs, "majority", count):
            return pair.elected_by(granted)

    return replace(REPAIRED, may_lead=rule, elected_by=elected_by, may_campaign=anyone_campaigns)


def leads_past_later_epochs(
    me: str, whole: int, own: ReplicaSet, pairs: dict[str, ReplicaSet], voters: Voters, got: Voters
) -> str:
    return "" if whole and me in own and majority(voters, got) else "no majority answered"


def leads_without_the_state(
    me: str, whole: int, own: ReplicaSet, pairs: dict[str, ReplicaSet], voters: Voters, got: Voters
) -> str:
    return "" if majority(voters, got) else "no majority answered"


def promises_again(witness: VoteRecord, epoch: int, who: str) -> VoteRecord | None:
    return replace(witness, promised=epoch, candidate=who) if epoch >= witness.promised else None


def promises_anything(witness: VoteRecord, epoch: int, who: str) -> VoteRecord | None:
    return replace(witness, promised=epoch, candidate=who)


def grants_anything(witness: VoteRecord, pair: ReplicaSet, who: str) -> VoteRecord | None:
    promised, to = max((witness.promised, witness.candidate), (pair.epoch, who))
    return VoteRecord(promised, to, pair)


def takes_an_older_state(offer: transcribed.Offer) -> bool:
    return offer.epoch >= offer.promised and offer.names_my_disk


def always(replica_set: ReplicaSet, answered: Voters) -> bool:
    return True


def majority_alone(replica_set: ReplicaSet, answered: Voters) -> bool:
    return majority(replica_set.voters, answered)


def forgets(log: tuple[int, ...], order: int) -> bool:
    return False


def gives_up_while_one_is_silent(heard: transcribed.Heard) -> tuple[str, bool]:
    return transcribed.without_majority(replace(heard, all_answered=True))


def released_may_lead(
    me: str, whole: int, own: ReplicaSet, pairs: dict[str, ReplicaSet], voters: Voters, got: Voters
) -> str:
    """Release 0.2.0: whatever disk the state was meant for."""
    return may_lead(me, whole, own, pairs, voters, got | {me: own.voters.get(me, "")})


def released_takes_append(offer: transcribed.Offer) -> bool:
    """Release 0.2.0: whatever disk the state was meant for."""
    return offer.epoch >= offer.promised and offer.sent >= offer.have


def released_acknowledges(replica_set: ReplicaSet, answered: Voters) -> bool:
    """Release 0.2.0: by name, and without a majority."""
    return set(replica_set.backups) <= set(answered)


def released_whole(replica_set: ReplicaSet, answered: Voters) -> bool:
    """Release 0.2.0: the backups' disks were not looked at."""
    return all(replica_set.voters.get(n) == d for n, d in answered.items() if n not in replica_set)


def acknowledging(rule: object) -> Rules:
    """The product's rules with another way of acknowledging a write."""
    return replace(REPAIRED, acknowledges=rule)  # type: ignore[arg-type]


SECOND_EPOCH_PROPOSED = (
    "c2 asks for promises of epoch 2",
    "c3 promises epoch 2 to c2",
    "c2 proposes epoch 2 with the backups c3",
    "c3 syncs version 0 of epoch 2 from c2",
)

MUTANTS = [
    Mutant(
        "a majority is half of the voters", may_lead_by(half), Invariant.ONE_PRIMARY, SMALL._replace(members=4, bases=())
    ),
    Mutant("a vote counts by name, whatever the disk", may_lead_by(by_name), Invariant.ONE_PRIMARY, SMALL._replace(wipes=1)),
    Mutant(
        "may_lead passes over later epochs",
        replace(REPAIRED, may_lead=leads_past_later_epochs),
        Invariant.KEPT,
        SMALL._replace(epochs=3),
    ),
    Mutant("may_lead asks for no state", replace(REPAIRED, may_lead=leads_without_the_state), Invariant.KEPT, SMALL._replace(epochs=3)),
    Mutant("an epoch is promised to two", replace(REPAIRED, promise=promises_again), Invariant.ONE_PRIMARY),
    Mutant("a promise is lowered", replace(REPAIRED, promise=promises_anything), Invariant.ONE_PRIMARY, SMALL._replace(bases=()), after=SECOND_EPOCH_PROPOSED),
    Mutant("a grant passes over the promise", replace(REPAIRED, grant=grants_anything), Invariant.KEPT, SMALL._replace(epochs=3), after=SECOND_EPOCH_PROPOSED),
    Mutant("orders are given up while a member is silent", replace(REPAIRED, without_majority=gives_up_while_one_is_silent, may_campaign=anyone_campaigns), Invariant.NO_FALSE_LOSS, SMALL._replace(members=4, epochs=3, bases=())),
    Mutant("a backup takes an older state", replace(REPAIRED, takes_append=takes_an_older_state), Invariant.KEPT, SMALL._replace(epochs=3)),
    Mutant("a write is acknowledged by the primary alone", acknowledging(always), Invariant.MAJORITY),
    Mutant("a write is acknowledged by the primary alone: what is kept", acknowledging(always), Invariant.KEPT, checked=EVERY - {Invariant.MAJORITY}),
    Mutant("a backup is dropped without an epoch", acknowledging(majority_alone), Invariant.KEPT, SMALL._replace(members=4)),
    Mutant(
        "a write is acknowledged by the primary alone: two contents",
        acknowledging(always),
        Invariant.ONE_CONTENT,
        SMALL._replace(bases=(0, 0)),
        frozenset({Invariant.ONE_CONTENT}),
    ),
    Mutant(
        "a copy counts by name, whatever the disk",
        replace(acknowledging(released_acknowledges), takes_append=released_takes_append),
        Invariant.MAJORITY,
        SMALL._replace(wipes=1),
    ),
    Mutant("a read is confirmed by nobody", replace(REPAIRED, confirms=always), Invariant.FRESH_READ, SMALL._replace(reads=1), frozenset({Invariant.FRESH_READ})),
    Mutant("a taken order is forgotten", replace(REPAIRED, remembers=forgets), Invariant.NOT_REFUSED, SMALL._replace(bases=(0, 0))),
]  # fmt: skip

# A candidate of epoch 2 holds a promise that its giver has outlived, when a wiped voter of epoch 3 starts empty.
VOTER_WIPED_AFTER_ITS_GRANT = (
    "c2 asks for promises of epoch 2",
    "c1 promises epoch 2 to c2",
    "c1 asks for promises of epoch 3",
    "c3 promises epoch 3 to c1",
    "c1 proposes epoch 3 with the backups c3",
    "c3 syncs version 0 of epoch 3 from c1",
    "c3 grants epoch 3 to c1",
    "c3 loses its disk and starts empty",
)

EPOCH_LED_TWICE = (
    *VOTER_WIPED_AFTER_ITS_GRANT,
    "c1 leads epoch 3 with version 0",
    "c3 promises epoch 2 to c2",
    "c2 proposes epoch 2 with the backups c3",
    "c3 syncs version 0 of epoch 2 from c2",
    "c3 asks for promises of epoch 3",
    "c2 promises epoch 3 to c3",
    "c3 proposes epoch 3 with the backups c2",
    "c2 syncs version 0 of epoch 3 from c3",
    "c2 grants epoch 3 to c3",
    "c3 leads epoch 3 with version 0",
)

# The order that the primary of epoch 3 acknowledged is on its disk alone, since its backup is wiped; the candidate of epoch
# 2 has proposed the new disk as a voter.
ORDER_ACKNOWLEDGED_BEFORE_THE_WIPE = (
    *VOTER_WIPED_AFTER_ITS_GRANT[:-1],
    "c1 leads epoch 3 with version 0",
    "c1 takes order 0 as version 1",
    "c3 syncs version 1 of epoch 3 from c1",
    "c1 acknowledges order 0",
    "c3 loses its disk and starts empty",
    "c3 promises epoch 2 to c2",
    "c2 proposes epoch 2 with the backups c3",
)


def gives_up_a_later_state(heard: transcribed.Heard) -> tuple[str, bool]:
    """A state later than the newest granted epoch counts as none, as up to release 0.3."""
    newest = max(heard.granted.values(), key=lambda replica_set: replica_set.epoch)
    able = [n for n, epoch in heard.state_epochs.items() if epoch == newest.epoch and n in newest.holders]
    if heard.all_answered and not able:
        return "", True
    return transcribed.without_majority(heard)


# The rules of release 0.2.0: faults A and C and hazard 8 of the review, and two that the model found.
RELEASED = [
    Mutant(
        "A: a primary doesn't see that its backup has another disk",
        replace(REPAIRED, whole=released_whole),
        Invariant.BEARS_LOSS,
        SMALL._replace(wipes=2),
    ),
    Mutant(
        "C: a minority of primary and backup acknowledges",
        replace(REPAIRED, acknowledges=released_acknowledges),
        Invariant.MAJORITY,
        SMALL._replace(members=5),
    ),
    Mutant(
        "8: a member leaves whatever stays behind",
        replace(REPAIRED, may_leave=transcribed.may_leave),
        Invariant.BEARS_LOSS,
        SMALL._replace(wipes=1, leaves=1),
        frozenset({Invariant.BEARS_LOSS}),
    ),
    Mutant(
        "8: a member leaves while another is being repaired",
        replace(REPAIRED, may_leave=transcribed.may_leave),
        Invariant.LEAVER,
        SMALL._replace(wipes=1, leaves=1),
        frozenset({Invariant.LEAVER}),
    ),
    Mutant(
        "a wiped backup leads with a state that was meant for its former disk",
        replace(REPAIRED, may_lead=released_may_lead, takes_append=released_takes_append),
        Invariant.KEPT,
        SMALL._replace(wipes=1),
        frozenset({Invariant.KEPT}),
    ),
    Mutant(
        "a state later than the newest granted epoch counts as none",
        replace(REPAIRED, without_majority=gives_up_a_later_state),
        Invariant.NO_FALSE_LOSS,
        SMALL._replace(wipes=1, epochs=5, bases=()),
        after=VOTER_WIPED_AFTER_ITS_GRANT,
    ),
    Mutant(
        "the voters of an epoch that nobody granted elect a primary",
        NEW_VOTERS_ALONE,
        Invariant.ONE_PRIMARY,
        SMALL._replace(wipes=1, epochs=3, bases=()),
        after=VOTER_WIPED_AFTER_ITS_GRANT,
    ),
    Mutant(
        "the voters of an epoch that nobody granted elect a primary: what it acknowledges is lost",
        NEW_VOTERS_ALONE,
        Invariant.KEPT,
        SMALL._replace(wipes=1, epochs=4),
        frozenset({Invariant.KEPT}),
        EPOCH_LED_TWICE,
    ),
    Mutant(
        "a later epoch is looked for among the new voters alone",
        replace(REPAIRED, may_lead=compares_later_epochs_by_new_voters),
        Invariant.BEARS_LOSS,
        SMALL._replace(wipes=1, epochs=4),
        after=ORDER_ACKNOWLEDGED_BEFORE_THE_WIPE,
    ),
    Mutant(
        "a later epoch is looked for among the new voters alone: an acknowledged order is lost",
        replace(REPAIRED, may_lead=compares_later_epochs_by_new_voters),
        Invariant.KEPT,
        SMALL._replace(wipes=1, epochs=4),
        frozenset({Invariant.KEPT}),
        ORDER_ACKNOWLEDGED_BEFORE_THE_WIPE,
    ),
]

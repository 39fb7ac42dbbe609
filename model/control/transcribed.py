"""Decisions that the product takes inside its coroutines, written out as pure functions.

They are no part of the product. Each names the place it was taken from, and goes once the product has a function of its
own for it, which `model.control.rules` then calls instead. `without_majority` calls the product's `decide` already.
"""

from __future__ import annotations

from dataclasses import dataclass

from postpass.control.election_rules import Campaign, Rebuild, Refused, decide
from postpass.control.epochs import Acknowledgement, ReplicaSet, Voters
from postpass.control.messages import VoteAnswer
from postpass.control.state import ReplicatedState


def next_voters(everyone: list[str], before: Voters, answered: Voters, unopposed: bool) -> Voters:
    """The voters of a new epoch (`run_election`). The product makes one safe change an epoch; here all that answered by
    another disk change at once, which allows more."""
    if unopposed:
        return {n: answered[n] for n in everyone if n in answered}
    members = [n for n in everyone if n in answered or n in before]
    return {n: answered.get(n, before.get(n, "")) for n in members}


@dataclass(frozen=True)
class Offer:
    """A state that a primary or candidate sends to a backup, and what the backup has: epoch, whether that is settled,
    version."""

    promised: int
    have: tuple[int, int, int]
    epoch: int
    sent: tuple[int, int, int]
    names_my_disk: bool


def takes_append(offer: Offer) -> bool:
    """Does a backup take this state (`on_copy`)?"""
    return offer.names_my_disk and offer.epoch >= offer.promised and offer.sent >= offer.have


def confirmed(replica_set: ReplicaSet, answered: Voters) -> bool:
    """Do these answers, the primary's own among them, acknowledge a write (`commit`) or confirm the leadership for a read
    or a repeated order (`confirm_leadership`)?"""
    return replica_set.confirmed_by(Acknowledgement(m, disk, replica_set.epoch) for m, disk in answered.items())


def whole(replica_set: ReplicaSet, answered: Voters) -> bool:
    """Does a primary that has heard all members see no reason to raise an epoch (`heartbeat_as_primary`)?"""
    return answered == replica_set.voters


def remembers(log: tuple[int, ...], order: int) -> bool:
    """Is this order known as one that was taken (`document`, by the digests of `roster.State.orders`)?"""
    return order in log


def may_leave(me: str, replica_set: ReplicaSet, answered: Voters, tolerate: int) -> bool:
    """May a member leave for good (`depart`)? It hands over its leadership and goes, whatever stays behind."""
    return True


@dataclass(frozen=True)
class Heard:
    """What a candidate that `may_lead` refuses holds, and has heard from those that promised."""

    me: str
    own_epoch: int
    own_replica_set: ReplicaSet
    all_answered: bool
    granted: dict[str, ReplicaSet]
    disks: Voters
    state_epochs: dict[str, int]

    @property
    def campaign(self) -> Campaign:
        """The product's type for it, with the candidate first: of several that are able the product lets the first in
        the order of answers lead. Here any of them may, which allows more."""
        promises = {
            member: VoteAnswer(
                accepted=True,
                disk=self.disks[member],
                promised=0,
                replica_set=self.granted[member],
                state_epoch=self.state_epochs[member],
                state_revision=0,
                known_revision=0,
                leaving=False,
            )
            for member in sorted(self.granted, key=lambda name: name != self.me)
        }
        return Campaign(
            candidate=self.me,
            epoch=0,
            own=ReplicatedState(self.own_epoch, self.own_replica_set),
            promises=promises,
            is_complete=self.all_answered,
        )


def without_majority(heard: Heard) -> tuple[str, bool]:
    """Whether a candidate that `may_lead` refuses leads all the same: why not, and whether it then loses acknowledged
    orders."""
    basis = decide(heard.campaign, fleet_is_known=False, founding_state=None)
    if isinstance(basis, Refused):
        return basis.why, False
    return "", isinstance(basis, Rebuild)

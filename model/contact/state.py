"""States of the contact model: promises, primaries, who hears one, and which links are cut."""

from __future__ import annotations

from enum import StrEnum
from itertools import combinations
from typing import NamedTuple


class Invariant(StrEnum):
    """An invariant of the elections, told as what its breach shows."""

    DEPOSED = "a primary that a majority hears is deposed"
    BURNT = "a member that no majority answers raises an epoch"


EVERY = frozenset(Invariant)


class Member(NamedTuple):
    """`hears` is the epoch of the primary that was heard within the detection time, its own if it leads; 0: none.
    `cleared`: the pre-vote was won, and no promise was asked for yet; `stale`: links have changed since."""

    promised: int = 1
    leads: int = 0
    hears: int = 1
    cleared: bool = False
    stale: bool = False


class Cut(NamedTuple):
    """Members that are cut off from the others, though not from each other: what goes out, what comes in, or both."""

    members: tuple[int, ...] = ()
    outgoing: bool = False
    incoming: bool = False

    def blocks(self, sender: int, receiver: int) -> bool:
        """Is a message between these two lost?"""
        leaves = sender in self.members and receiver not in self.members
        enters = receiver in self.members and sender not in self.members
        return (leaves and self.outgoing) or (enters and self.incoming)


WHOLE = Cut()


class State(NamedTuple):
    """A state of the fleet; `cuts_left` bounds how often links fail."""

    members: tuple[Member, ...]
    cut: Cut
    cuts_left: int


class Size(NamedTuple):
    """How much is searched. `freezes`: a member may be frozen between its pre-vote and its election."""

    members: int = 3
    epochs: int = 3
    cuts: int = 1
    freezes: bool = False

    def flaws(self) -> list[str]:
        """What can't be searched, each with the name of its field."""
        out = [f"members: want 3 or more, got {self.members}"] if self.members < 3 else []
        out += [f"epochs: want 1 or more, got {self.epochs}"] if self.epochs < 1 else []
        return [*out, f"cuts: want 0 or more, got {self.cuts}"] if self.cuts < 0 else out


def founded(size: Size) -> State:
    """Member 0 leads epoch 1, and all hear it."""
    first = Member(leads=1)
    return State((first, *[Member()] * (size.members - 1)), WHOLE, size.cuts)


def cuts(size: Size) -> list[Cut]:
    """Every way to cut off one or two members: one way, the other way, both ways."""
    groups = [g for count in (1, 2) for g in combinations(range(size.members), count)]
    ways = ((True, False), (False, True), (True, True))
    return [Cut(group, outgoing, incoming) for group in groups for outgoing, incoming in ways]

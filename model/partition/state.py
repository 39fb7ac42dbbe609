"""States of the partition model: a replicated log, its members and its owner.

Named tuples of numbers for the sake of speed, as in `model.control.state`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

NOBODY = -1
NO_MEMBER = -1

LOT, MEMBERS, MARK = range(3)


class Invariant(StrEnum):
    """An invariant of a partition, told as what its breach shows."""

    ONE_OWNER = "an epoch has two owners"
    KEPT = "an owner lacks a record that was covered in an earlier epoch"
    BEARS_LOSS = "after tolerated losses no owner can be elected with all that was covered"
    NO_FALSE_LOSS = "an owner declares a loss after tolerated losses"


EVERY = frozenset(Invariant)


class Entry(NamedTuple):
    """A record: a lot, a change of members (a disk for each, or `NO_MEMBER`), or a mark that settles up to `settled`."""

    epoch: int
    kind: int
    members: tuple[int, ...] = ()
    settled: int = 0


Log = tuple[Entry, ...]


class Vote(NamedTuple):
    """A promise: whose, by which disk, and the log that it came with."""

    member: int
    disk: int
    log: Log


class Ack(NamedTuple):
    """What an owner knows of a mirror: up to which record a disk has synced its log."""

    member: int
    disk: int
    last: int


class Member(NamedTuple):
    """One store: its disk's content, then what it holds in memory. `owns` and `stands` are epochs."""

    disk: int = 0
    promised: int = 0
    log: Log = ()
    owns: int = 0
    mark: int = 0
    covered: int = 0
    acks: tuple[Ack, ...] = ()
    stands: int = 0
    votes: tuple[Vote, ...] = ()


class Request(NamedTuple):
    """A candidate's request for promises: delivered at any later time, repeated, or never."""

    epoch: int
    sender: int


class State(NamedTuple):
    """A state of the partition. From `covered` on it is the observer's record: the longest covered log and its epoch,
    the owner of each epoch, and the members wiped since the last repair was complete."""

    members: tuple[Member, ...]
    requests: tuple[Request, ...]
    covered: Log
    covered_in: int
    owners: tuple[int, ...]
    lost: tuple[int, ...]
    wipes_left: int
    lots_left: int


class Size(NamedTuple):
    """How much is searched."""

    members: int = 3
    epochs: int = 2
    lots: int = 1
    wipes: int = 1
    tolerate: int = 1

    def flaws(self) -> list[str]:
        """What can't be searched, each with the name of its field."""
        out = [f"members: want 3 or more, got {self.members}"] if self.members < 3 else []
        out += [f"epochs: want 1 or more, got {self.epochs}"] if self.epochs < 1 else []
        return [*out, f"lots, wipes: want 0 or more, got {self.lots}, {self.wipes}"] if min(self[2:4]) < 0 else out


def formed(size: Size) -> State:
    """A partition in its first epoch: member 0 owns it, and all have synced its first members and mark."""
    log = (Entry(1, MEMBERS, (0,) * size.members), Entry(1, MARK))
    acks = tuple(Ack(m, 0, 2) for m in range(1, size.members))
    owner = Member(0, 1, log, owns=1, mark=2, covered=2, acks=acks)
    mirrors = [Member(0, 1, log) for _ in range(size.members - 1)]
    owners = (NOBODY, 0, *[NOBODY] * (size.epochs - 1))
    return State((owner, *mirrors), (), log, 1, owners, (), size.wipes, size.lots)

"""States of the control model.

Named tuples of numbers, not dataclasses: they are as immutable, and hashing and comparing them is most of the search's
work. A member is its index, a disk the number of wipes before it.
"""

from __future__ import annotations

from typing import NamedTuple

NOBODY = -1
NO_VOTE = -1

Log = tuple[int, ...]  # The orders taken, in sequence; the version is the length.


class ModelReplicaSet(NamedTuple):
    """An epoch's primary and backups, and its voters: a disk for each member, or `NO_VOTE`.

    `unsettled` are the voters of the epoch before, where they differ, for as long as it is not known that this one was
    granted.
    """

    epoch: int
    primary: int
    backups: tuple[int, ...]
    voters: tuple[int, ...]
    unsettled: tuple[int, ...] = ()


BLANK = ModelReplicaSet(0, NOBODY, (), ())


class Answer(NamedTuple):
    """What a member told when it promised an epoch, or when it took an append or a grant."""

    member: int
    disk: int
    granted: ModelReplicaSet = BLANK
    state_epoch: int = 0


PREPARE, INSTALL, APPEND, CONFIRM = range(4)
READ = -1


class Round(NamedTuple):
    """What a member asks others at present, in memory only.

    PREPARE asks for promises, INSTALL gives a new epoch's state to its backups and asks for grants, APPEND writes an
    order, CONFIRM confirms the leadership for `order` (or `READ`), begun when `required` versions were acknowledged.
    """

    kind: int
    epoch: int
    answers: tuple[Answer, ...] = ()
    grants: tuple[Answer, ...] = ()
    proposal: ModelReplicaSet = BLANK
    order: int = READ
    required: int = 0


class Member(NamedTuple):
    """One control member: its disk's content, then `leads` and `round` in memory (at most one round at a time)."""

    disk: int = 0
    promised: int = 0
    promised_to: int = NOBODY
    granted: ModelReplicaSet = BLANK
    state_epoch: int = 0
    replica_set: ModelReplicaSet = BLANK
    log: Log = ()
    leads: int = 0
    round: tuple[Round, ...] = ()


class Message(NamedTuple):
    """A request that was sent: it may be delivered at any later time, any number of times, or never."""

    kind: int
    epoch: int
    sender: int
    proposal: ModelReplicaSet = BLANK
    log: Log = ()


GRANT = CONFIRM + 1  # The kind of message that asks for a grant; its answers belong to the INSTALL round.


class State(NamedTuple):
    """A state of the fleet. From `acknowledged` on it is the observer's record, which no member sees.

    `acknowledged_in` is the epoch of each acknowledged version. `outcomes` holds for each order a set of ACKNOWLEDGED and REFUSED; `lost` the members that were wiped since the
    fleet last found itself whole. `leaving` were asked to leave for good; `gone` have left.
    """

    members: tuple[Member, ...]
    messages: tuple[Message, ...]
    acknowledged: Log
    acknowledged_in: tuple[int, ...]
    outcomes: tuple[int, ...]
    primaries: tuple[int, ...]
    lost: tuple[int, ...]
    leaving: tuple[int, ...]
    gone: tuple[int, ...]
    wipes_left: int
    reads_left: int
    leaves_left: int


ACKNOWLEDGED, REFUSED = 1, 2


class Size(NamedTuple):
    """How much is searched. An order's base is the version that it builds on."""

    members: int = 3
    epochs: int = 2
    bases: tuple[int, ...] = (0, 0)
    wipes: int = 1
    reads: int = 1
    tolerate: int = 1
    leaves: int = 0
    restarts: bool = True

    def flaws(self) -> list[str]:
        """What can't be searched, each with the name of its field."""
        out = []
        if self.members < 3:
            out.append(f"members: want 3 or more, got {self.members}")
        if self.epochs < 1:
            out.append(f"epochs: want 1 or more, got {self.epochs}")
        if not 1 <= self.tolerate < self.members:
            out.append(f"tolerate: want 1 to {self.members - 1}, got {self.tolerate}")
        if min(self.wipes, self.reads, self.leaves) < 0:
            out.append(f"wipes, reads, leaves: want 0 or more, got {self.wipes}, {self.reads} and {self.leaves}")
        if any(not 0 <= base < len(self.bases) for base in self.bases):
            out.append(f"bases: want versions below the number of orders, got {self.bases}")
        return out


def founded(size: Size) -> State:
    """A fleet in its first epoch: member 0 leads, the next ones are its backups, and all have granted it. What it was
    founded with may still be delivered again."""
    backups = tuple(range(1, 1 + size.tolerate))
    first = ModelReplicaSet(1, 0, backups, (0,) * size.members)
    sent = (Message(PREPARE, 1, 0), Message(APPEND, 1, 0, first), Message(GRANT, 1, 0, first))
    members = [Member(0, 1, 0, first) for _ in range(size.members)]
    for holder in (0, *backups):
        members[holder] = members[holder]._replace(state_epoch=1, replica_set=first)
    members[0] = members[0]._replace(leads=1)
    return State(
        members=tuple(members), messages=sent, acknowledged=(), acknowledged_in=(), outcomes=(0,) * len(size.bases),
        primaries=(NOBODY, 0, *[NOBODY] * (size.epochs - 1)), lost=(), leaving=(), gone=(),
        wipes_left=size.wipes, reads_left=size.reads, leaves_left=size.leaves,
    )  # fmt: skip

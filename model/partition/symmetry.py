"""Stores are interchangeable: states that differ by their names alone are searched once."""

from __future__ import annotations

from functools import lru_cache
from itertools import permutations, product

from model.partition.state import NOBODY, Ack, Entry, Log, Member, Request, State, Vote

Names = tuple[int, ...]  # The new index of each member.


@lru_cache(maxsize=1 << 18)
def _log(log: Log, names: Names) -> Log:
    return tuple([_entry(entry, names) for entry in log])


@lru_cache(maxsize=1 << 16)
def _entry(entry: Entry, names: Names) -> Entry:
    if not entry.members:
        return entry
    moved = [0] * len(names)
    for old, new in enumerate(names):
        moved[new] = entry.members[old]
    return entry._replace(members=tuple(moved))


@lru_cache(maxsize=1 << 18)
def _member(member: Member, names: Names) -> Member:
    return member._replace(
        log=_log(member.log, names),
        acks=tuple(sorted([Ack(names[a.member], a.disk, a.last) for a in member.acks])),
        votes=tuple(sorted([Vote(names[v.member], v.disk, _log(v.log, names)) for v in member.votes])),
    )


def renamed(state: State, names: Names) -> State:
    """The same state under other names."""
    members = list(state.members)
    for old, new in enumerate(names):
        members[new] = _member(state.members[old], names)
    return state._replace(
        members=tuple(members),
        requests=tuple(sorted([Request(r.epoch, names[r.sender]) for r in state.requests])),
        covered=_log(state.covered, names),
        owners=tuple([names[o] if o != NOBODY else NOBODY for o in state.owners]),
        lost=tuple(sorted([names[m] for m in state.lost])),
    )


def _signature(state: State, index: int) -> tuple[object, ...]:
    """What tells a member apart without any names."""
    member = state.members[index]
    log = [(e.epoch, e.kind, e.settled, e.members[index] if e.members else 0) for e in member.log]
    return (
        member.disk, member.promised, log, member.owns, member.covered, member.stands, len(member.votes),
        len(member.acks), index in state.lost, [o == index for o in state.owners],
        [r.epoch for r in state.requests if r.sender == index],
    )  # fmt: skip


def canonical(state: State) -> State:
    """The least of the states that come of renaming, among the names that sort members by what tells them apart."""
    signed = sorted((_signature(state, index), index) for index in range(len(state.members)))
    groups: list[list[int]] = []
    for place, (signature, index) in enumerate(signed):
        if place and signature == signed[place - 1][0]:
            groups[-1].append(index)
        else:
            groups.append([index])
    orders = product(*(permutations(group) for group in groups))
    return min(renamed(state, _names([i for group in order for i in group])) for order in orders)


def _names(order: list[int]) -> Names:
    out = [0] * len(order)
    for new, old in enumerate(order):
        out[old] = new
    return tuple(out)

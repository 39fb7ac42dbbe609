"""Members are interchangeable: states that differ by their names alone are searched once."""

from __future__ import annotations

from functools import lru_cache
from itertools import permutations, product

from model.control.state import NOBODY, Answer, Member, Message, ModelReplicaSet, Round, State

Names = tuple[int, ...]  # The new index of each member.


@lru_cache(maxsize=1 << 18)
def _replica_set(value: ModelReplicaSet, names: Names) -> ModelReplicaSet:
    if value.primary == NOBODY:
        return value
    return ModelReplicaSet(
        value.epoch,
        names[value.primary],
        tuple([names[b] for b in value.backups]),
        _moved(value.voters, names),
        _moved(value.unsettled, names) if value.unsettled else (),
    )


def _moved(values: tuple[int, ...], names: Names) -> tuple[int, ...]:
    out = [0] * len(names)
    for old, new in enumerate(names):
        out[new] = values[old]
    return tuple(out)


def _sorted(members: tuple[int, ...], names: Names) -> tuple[int, ...]:
    return tuple(sorted([names[m] for m in members])) if members else ()


@lru_cache(maxsize=1 << 18)
def _answers(answers: tuple[Answer, ...], names: Names) -> tuple[Answer, ...]:
    renamed = [a._replace(member=names[a.member], granted=_replica_set(a.granted, names)) for a in answers]
    return tuple(sorted(renamed))


@lru_cache(maxsize=1 << 18)
def _round(value: Round, names: Names) -> Round:
    return value._replace(
        answers=_answers(value.answers, names),
        grants=_answers(value.grants, names),
        proposal=_replica_set(value.proposal, names),
    )


@lru_cache(maxsize=1 << 18)
def _member(value: Member, names: Names) -> Member:
    return Member(
        value.disk,
        value.promised,
        names[value.promised_to] if value.promised_to != NOBODY else NOBODY,
        _replica_set(value.granted, names),
        value.state_epoch,
        _replica_set(value.replica_set, names),
        value.log,
        value.leads,
        tuple([_round(r, names) for r in value.round]),
    )


@lru_cache(maxsize=1 << 18)
def _message(value: Message, names: Names) -> Message:
    return value._replace(sender=names[value.sender], proposal=_replica_set(value.proposal, names))


def renamed(state: State, names: Names) -> State:
    """The same state under other names."""
    members: list[Member] = list(state.members)
    for old, new in enumerate(names):
        members[new] = _member(state.members[old], names)
    return state._replace(
        members=tuple(members),
        messages=tuple(sorted([_message(m, names) for m in state.messages])),
        primaries=tuple([names[p] if p != NOBODY else NOBODY for p in state.primaries]),
        lost=_sorted(state.lost, names),
        leaving=_sorted(state.leaving, names),
        gone=_sorted(state.gone, names),
    )


@lru_cache(maxsize=1 << 18)
def _role(value: ModelReplicaSet, index: int) -> tuple[int, int, int]:
    if value.primary == NOBODY:
        return (0, 0, 0)
    rank = value.backups.index(index) + 1 if index in value.backups else 0
    return (value.epoch, int(value.primary == index), rank)


@lru_cache(maxsize=1 << 18)
def _signature(member: Member, index: int) -> tuple[object, ...]:
    """What tells a member apart without any names; equal for members that a renaming could exchange."""
    current = member.round[0] if member.round else None
    return (
        member.disk, member.promised, member.promised_to == index, member.state_epoch, member.log, member.leads,
        _role(member.granted, index), _role(member.replica_set, index),
        (current.kind, current.epoch, len(current.answers), len(current.grants), current.order) if current else (),
    )  # fmt: skip


def _record(state: State, index: int) -> tuple[bool, ...]:
    """What the observer's record says of a member."""
    return (
        index in state.lost, index in state.leaving, index in state.gone, *[p == index for p in state.primaries],
    )  # fmt: skip


def canonical(state: State) -> State:
    """The least of the states that come of renaming, among the names that sort members by what tells them apart."""
    signed = [(_signature(m, i), _record(state, i), i) for i, m in enumerate(state.members)]
    signed.sort()
    groups: list[list[int]] = []
    for place, entry in enumerate(signed):
        if place and entry[:2] == signed[place - 1][:2]:
            groups[-1].append(entry[2])
        else:
            groups.append([entry[2]])
    if len(groups) == len(signed):
        return renamed(state, _names([g[0] for g in groups]))
    orders = product(*(permutations(g) for g in groups))
    return min(renamed(state, _names([i for group in order for i in group])) for order in orders)


def _names(order: list[int]) -> Names:
    out = [0] * len(order)
    for new, old in enumerate(order):
        out[old] = new
    return tuple(out)

"""Tests of sim.linearizability: histories that it must accept, and each kind of violation that it must find."""

from __future__ import annotations

import random

import pytest

from sim import linearizability
from sim.linearizability import Attempt, Operation, Order, Outcome, Read, Undecided, check

TAKEN, REFUSED, UNKNOWN = Outcome.TAKEN, Outcome.REFUSED, Outcome.UNKNOWN
FIRST = Order(0, 1, "put first", "first")
SECOND = Order(1, 4, "patch second", "second")
RIVAL = Order(1, 4, "patch rival", "rival")
THIRD = Order(4, 5, "put third", "third")


def sent(order: Order, began: float, ended: float, outcome: Outcome = TAKEN) -> Attempt:
    return Attempt(order, began, ended, outcome)


def read(order: Order, began: float, ended: float) -> Read:
    return Read(order.version, order.content, began, ended)


START = [sent(FIRST, 0, 1), sent(SECOND, 2, 3)]

SOUND: dict[str, list[Operation]] = {
    "empty": [],
    "read before the first": [Read(0, "", 0, 1)],
    "one after the other": [*START, read(SECOND, 4, 5), sent(THIRD, 6, 7), read(THIRD, 8, 9)],
    "one of two wins": [*START, sent(RIVAL, 2, 3, REFUSED), read(SECOND, 4, 5)],
    "a read beside a write sees either": [
        sent(FIRST, 0, 1), sent(SECOND, 2, 9), read(FIRST, 3, 4), read(SECOND, 5, 6),
    ],
    "an unknown order that was taken": [sent(FIRST, 0, 1), sent(SECOND, 2, 3, UNKNOWN), read(SECOND, 4, 5)],
    "an unknown order that was not": [sent(FIRST, 0, 1), sent(SECOND, 2, 3, UNKNOWN), read(FIRST, 4, 5)],
    "an unknown order that is taken late": [
        sent(FIRST, 0, 1), sent(SECOND, 2, 3, UNKNOWN), read(FIRST, 4, 5), read(SECOND, 6, 7),
    ],
    "an unknown order that lost": [
        sent(FIRST, 0, 1), sent(SECOND, 2, 3, UNKNOWN), sent(RIVAL, 4, 5), sent(SECOND, 6, 7, REFUSED),
    ],
    "a resend of an old order": [*START, sent(THIRD, 4, 5), sent(FIRST, 6, 7), sent(SECOND, 6, 7), read(THIRD, 8, 9)],
    "a resend without a clear answer": [*START, sent(FIRST, 4, 5, UNKNOWN), read(SECOND, 6, 7)],
    "an invalid order is refused": [
        sent(FIRST, 0, 1), sent(Order(1, 9, "put bad", "bad", valid=False), 2, 3, REFUSED), read(FIRST, 4, 5),
    ],
}  # fmt: skip

BREACHES: dict[str, list[Operation]] = {
    "double acknowledgement on one base": [*START, sent(RIVAL, 2, 3)],
    "double acknowledgement of one number": [*START, sent(Order(1, 4, "put other", "other"), 4, 5)],
    "double acknowledgement, one unknown at first": [
        sent(FIRST, 0, 1), sent(SECOND, 2, 3, UNKNOWN), sent(RIVAL, 2, 3), sent(SECOND, 4, 5),
    ],
    "stale read": [*START, read(FIRST, 4, 5)],
    "stale read after a newer one": [
        sent(FIRST, 0, 1), sent(SECOND, 2, 9, UNKNOWN), read(SECOND, 4, 5), read(FIRST, 6, 7),
    ],
    "read of what nobody sent": [*START, Read(4, "odd", 4, 5)],
    "read of what was refused": [*START, sent(RIVAL, 4, 5, REFUSED), read(RIVAL, 6, 7)],
    "refused resend": [*START, sent(THIRD, 4, 5), sent(FIRST, 6, 7, REFUSED)],
    "refused resend of one that turned out to be taken": [
        sent(FIRST, 0, 1), sent(SECOND, 2, 3, UNKNOWN), read(SECOND, 4, 5), sent(SECOND, 6, 7, REFUSED),
    ],
    "refused without a reason": [sent(FIRST, 0, 1), sent(SECOND, 2, 3, REFUSED), read(FIRST, 4, 5)],
    "lost write": [*START, sent(RIVAL, 4, 5), read(RIVAL, 6, 7)],
    "lost write, found by the next order": [*START, sent(Order(1, 6, "put next", "next"), 4, 5)],
    "an invalid order is acknowledged": [sent(FIRST, 0, 1), sent(Order(1, 9, "put bad", "bad", valid=False), 2, 3)],
    "an old number is acknowledged": [*START, sent(Order(4, 3, "put low", "low"), 4, 5)],
    "a write that took effect before it was sent": [sent(FIRST, 0, 1), read(SECOND, 2, 3), sent(SECOND, 4, 5, UNKNOWN)],
}  # fmt: skip


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_history_passes(name: str) -> None:
    verdict = check(SOUND[name])
    assert verdict.linearizable, verdict


@pytest.mark.parametrize("name", BREACHES)
def test_a_breach_is_caught(name: str) -> None:
    verdict = check(BREACHES[name])
    assert not verdict.linearizable and verdict.stuck is not None
    assert "not linearizable" in str(verdict)


def random_history(chance: random.Random, orders: int, width: int) -> list[Operation]:
    """Returns the history of `width` operators on a correct register.

    Half of the answers are lost; each order is sent again until it has a clear answer.
    """
    register = linearizability.Register()
    history: list[Operation] = []
    clock = 0.0
    open_orders: list[Order] = []
    number = 0
    while number < orders or open_orders:
        while len(open_orders) < width and number < orders:
            number += 1
            version = register.version + chance.randint(1, 3)
            open_orders.append(Order(register.version, version, f"order {number}", f"content {number}"))
        order = chance.choice(open_orders)
        clock += 1
        began, at, ended = clock - chance.random() * 6, clock, clock + chance.random() * 6
        if register.takes(order):
            register = register.after(order)
        outcome = TAKEN if order.request in register.taken else REFUSED
        if chance.random() < 0.5:
            history.append(Attempt(order, began, ended, UNKNOWN))
        else:
            history.append(Attempt(order, began, ended, outcome))
            open_orders.remove(order)
        history.append(Read(register.version, register.content, at - chance.random(), at + chance.random()))
    return history


@pytest.mark.parametrize("seed", range(5))
def test_a_long_history_with_lost_answers_needs_few_states(seed: int) -> None:
    history = random_history(random.Random(seed), 400, 8)
    verdict = check(history)
    assert verdict.linearizable, verdict
    assert verdict.states < 4 * len(history)


@pytest.mark.parametrize("seed", range(5))
def test_one_wrong_answer_in_a_long_history_is_caught(seed: int) -> None:
    chance = random.Random(seed)
    history = random_history(chance, 400, 8)
    taken = [o for o in history if isinstance(o, Attempt) and o.outcome is TAKEN]
    victim = chance.choice(taken)
    late = max(o.ended for o in history) + 1
    refused = Attempt(victim.order, late, late + 1, REFUSED)
    assert not check([*history, refused]).linearizable
    stale = Read(victim.order.version, victim.order.content, late, late + 1)
    last = max(taken, key=lambda o: o.order.version)
    assert check([*history, stale]).linearizable == (victim.order.version == last.order.version)


def test_a_search_of_too_many_states_is_undecided(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(linearizability, "MAX_STATES", 1)
    with pytest.raises(Undecided):
        check(START)

"""Tests of sim.check."""

from __future__ import annotations

from sim.check import BAD, CHECKS, History, breaches


def test_each_check_catches_its_own_breach_and_no_other() -> None:
    assert set(BAD) == set(CHECKS)
    for name, events in BAD.items():
        assert set(breaches(History(events))) == {name}

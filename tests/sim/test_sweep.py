"""Tests of sim.sweep."""

from __future__ import annotations

import pytest

from sim.random_days import random_day
from sim.scenario import parse
from sim.sweep import run, run_announced


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_schedules_show_no_breach(seed: int) -> None:
    assert run(seed)[1] == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_days_of_announced_fleets_break_no_rule(seed: int) -> None:
    assert run_announced(seed)[1] == []


def test_a_random_day_is_the_same_for_the_same_seed_and_is_understood() -> None:
    for seed in range(1, 200):
        assert parse(random_day(seed), "x").plan is not None
    assert random_day(7) == random_day(7) != random_day(8)

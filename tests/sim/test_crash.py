"""Tests of sim.crash."""

from __future__ import annotations

import pytest

from sim.crash import PROGRAMMES, jobs, strike


@pytest.mark.parametrize("name", PROGRAMMES)
def test_a_spread_sample_of_crash_points_shows_no_breach(name: str) -> None:
    todo = jobs(name, 1, 1)
    picked = [todo[i * len(todo) // 8] for i in range(8)]
    assert [(j, f) for j, f in map(strike, picked) if f] == []

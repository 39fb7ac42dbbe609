"""Tests of sim.crash."""

from __future__ import annotations

import pytest

from sim.crash import PROGRAMMES, crash_trials, strike


@pytest.mark.parametrize("name", PROGRAMMES)
def test_a_spread_sample_of_crash_points_shows_no_breach(name: str) -> None:
    trials = crash_trials(name, 1, 1)
    selected = [trials[i * len(trials) // 8] for i in range(8)]
    assert [(trial, flaws) for trial, flaws in map(strike, selected) if flaws] == []

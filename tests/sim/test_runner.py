"""Tests of sim.runner."""

from __future__ import annotations

import re

import pytest

from postpass.runtime import log_events
from postpass.runtime.log_events import Event
from sim.runner import judge, play, play_day
from sim.scenario import FOLDER, parse, scenarios


@pytest.mark.parametrize(
    ("name", "seed"), [(scenario.name, seed) for scenario in scenarios() for seed in scenario.seeds]
)
def test_scenario(name: str, seed: int) -> None:
    scenario = parse((FOLDER / f"{name}.txt").read_text(), name)
    assert judge(scenario, play(scenario, seed)) == []


def test_what_is_not_understood_is_refused_with_its_line() -> None:
    for line in (
        "at 3 explode s1",
        "when nothing kill s1",
        "when kept 0 kill s1",
        "when kept explode s1",
        "when E999 kill s1",
    ):
        with pytest.raises(ValueError, match=re.escape(f"x:2: not understood: {line}")):
            parse(f"run 3\n{line}", "x")


def test_a_point_that_is_never_passed_fails_the_run_with_its_line() -> None:
    text = "load lot=4x2\nrun 3\nsettle 5\nwhen kept kill here for 1\nwhen E125 kill s1\nwhen took within 0.001 kill w1"
    assert [f for f in judge(parse(text, "x"), play(parse(text, "x"), 1)) if "never came" in f] == [
        "error: x:5: E125 never came so that its fault was caused",
        "error: x:6: took never came so that its fault was caused",
    ]


def test_events_of_an_earlier_run_are_not_counted_for_a_day() -> None:
    log_events.COUNTS[Event.PARTITION_DATA_LOSS] = 4
    scenario = parse((FOLDER / "announced" / "calm.txt").read_text(), "calm")
    assert play_day(scenario, 1).stats.get("event_125", 0) == 0

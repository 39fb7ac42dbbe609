"""Tests of sim.broken."""

from __future__ import annotations

import pytest

from sim.broken import CASES, MORE
from sim.runner import play
from sim.scenario import parse


@pytest.mark.parametrize("way", MORE)
def test_each_further_way_is_caught_and_the_sound_one_passes(way: str) -> None:
    line, patch, text = MORE[way]
    assert play(parse(text, way), 1).breaches.get(line) is None
    with pytest.MonkeyPatch.context() as mp:
        patch(mp)
        assert line in play(parse(text, way), 1).breaches


@pytest.mark.parametrize("line", CASES)
def test_each_broken_variant_is_caught(line: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, text = CASES[line]
    patch(monkeypatch)
    assert line in play(parse(text, line), 1).breaches


@pytest.mark.parametrize("line", CASES)
def test_the_sound_one_passes_the_same_run(line: str) -> None:
    assert play(parse(CASES[line][1], line), 1).breaches.get(line) is None

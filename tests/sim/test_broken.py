"""Tests of sim.broken."""

from __future__ import annotations

import pytest

from sim.broken import CASES, FURTHER_CASES
from sim.runner import play
from sim.scenario import parse


@pytest.mark.parametrize("name", FURTHER_CASES)
def test_each_further_variant_is_caught_and_the_unchanged_product_passes(name: str) -> None:
    line, patch, text = FURTHER_CASES[name]
    assert play(parse(text, name), 1).breaches.get(line) is None
    with pytest.MonkeyPatch.context() as mp:
        patch(mp)
        assert line in play(parse(text, name), 1).breaches


@pytest.mark.parametrize("line", CASES)
def test_each_broken_variant_is_caught(line: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, text = CASES[line]
    patch(monkeypatch)
    assert line in play(parse(text, line), 1).breaches


@pytest.mark.parametrize("line", CASES)
def test_the_unchanged_product_passes_the_same_run(line: str) -> None:
    assert play(parse(CASES[line][1], line), 1).breaches.get(line) is None

"""Scenarios of announced fleets, and the stand-ins that play in them."""

from __future__ import annotations

from pathlib import Path

import pytest

from sim.runner import judge, play_day
from sim.scenario import FOLDER, parse
from tests.support.naive_system import Memory

CALM = (FOLDER / "announced" / "calm.txt").read_text()


def test_every_scenario_is_understood() -> None:
    for path in sorted((FOLDER / "announced").glob("*.txt")):
        assert parse(path.read_text(), path.stem).plan is not None


def test_words_that_no_announced_fleet_has_are_refused_with_their_line() -> None:
    for line in ("announced sheds 4", "clients view", "at 3 explode edge:0", "clients lots 3"):
        with pytest.raises(ValueError, match=f"x:2: not understood: {line}"):
            parse(f"announced edges 4\n{line}", "x")


def test_a_calm_day_of_the_naive_system_repeats_itself() -> None:
    s = parse(CALM, "calm")
    one, two = (play_day(s, 3, compose=Memory().compose) for _ in range(2))
    assert judge(s, one) == []
    assert one.events == two.events


@pytest.mark.parametrize(
    "word", ["cut", "lost", "junk", "surplus", "extra", "repeat", "grey", "hang", "full", "sick", "dropidle"]
)
def test_the_naive_system_breaks_no_rule_while_a_worker_is_in_trouble(word: str) -> None:
    """It takes a new connection for each request, so what a worker sends beyond an answer harms nobody."""
    text = CALM + f"at 1 fault worker:llm:0 {word} 0.5 for 8\nat 1 fault worker:app:0 {word} 0.5 for 8\n"
    s = parse(text, word)
    got = play_day(s, 1, compose=Memory().compose)
    assert got.breaches == {} and got.errors == []


PATHS = sorted((FOLDER / "announced").glob("*.txt"))
# Seeds of each scenario on the product; the sweep and its runner take others.
SEEDS = (1, 2, 3)


@pytest.mark.parametrize(
    ("path", "seed"),
    [(p, n) for p in PATHS for n in sorted({*SEEDS, *parse(p.read_text(), p.stem).seeds})],
    ids=lambda x: x.stem if isinstance(x, Path) else str(x),
)
def test_the_product_keeps_every_rule_in_every_scenario(path: Path, seed: int) -> None:
    s = parse(path.read_text(), path.stem)
    assert judge(s, play_day(s, seed)) == []


@pytest.mark.parametrize("path", PATHS, ids=lambda p: p.stem)
def test_the_naive_system_keeps_every_rule_in_every_scenario(path: Path) -> None:
    """Its memory outlives every fault, so whatever a check finds here the check itself gets wrong."""
    s = parse(path.read_text(), path.stem)
    got = play_day(s, s.seeds[0], compose=Memory().compose)
    assert got.breaches == {} and got.errors == []

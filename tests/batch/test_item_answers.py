"""Properties of items' results, over all the failures of workers' responses to items."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from postpass.configuration.settings import Bounds
from tests.gateway.test_answers import THEMES, Theme, end_at, examples, plays, quick_collections
from tests.support.answers import Play
from tests.support.item_answers import ROUND_S, ROUNDS, ItemScene, judge_items, run_items, whole_text

__all__ = ["quick_collections"]
BOUNDS = Bounds()


def bounded(play: Play) -> Play:
    """Excludes a declared length shorter than the body: the worker has then declared the shorter text complete."""
    return replace(play, framing="chunked") if play.framing == "too short" else play


@st.composite
def item_scenes(draw: Any, theme: Theme) -> ItemScene:
    answers = st.lists(plays(theme).map(bounded), min_size=1, max_size=6).map(tuple)
    return ItemScene(
        tuple(draw(answers) for _ in range(draw(st.integers(1, 3)))),
        tuple(draw(st.lists(st.integers(1, 8), min_size=1, max_size=2))),
    )


@pytest.mark.parametrize("theme", THEMES)
def test_an_item_has_its_own_workers_whole_text_under_its_position_or_none(theme: str) -> None:
    @examples(60)
    @given(item_scenes(THEMES[theme]))
    def holds(scene: ItemScene) -> None:
        assert judge_items(run_items(scene)) == []

    holds()


def test_sound_workers_end_every_item() -> None:
    outcome = run_items(ItemScene(((), ()), (5, 3)))
    assert judge_items(outcome) == [] and len(outcome.results) == 8
    assert outcome.results["lot0", 4][0]["output"] == whole_text("lot0-4")


def test_the_request_before_may_have_been_of_the_same_item() -> None:
    # A search for failures found this: the check took the failure for that of another item.
    outcome = run_items(ItemScene(((Play(cut=74), Play("never", identity="previous")),), (1,)))
    assert judge_items(outcome) == [] and outcome.results["lot0", 0][0]["status"] == "abandoned"


def test_a_late_answer_to_another_item_is_no_text_of_this_one() -> None:
    # With eight items for three slots, the last one is sent on a connection on which a response arrives twice.
    outcome = run_items(ItemScene(((Play(surplus="repeat", surplus_delay=0.3),),), (8,)))
    assert judge_items(outcome) == [] and len(outcome.results) == 8
    assert len(outcome.record.runs) == 9


@pytest.mark.parametrize("kind", ["failure", "bare failure"])
@pytest.mark.parametrize("delay", [0.15, 0.25, 0.5, 2.0])
def test_a_second_late_failure_of_a_run_is_not_counted_for_the_next_run_of_its_item(kind: str, delay: float) -> None:
    # Issue 53: all runs of an item have the same id, and the next one went out on the connection of the run before.
    twice = Play(kind, surplus="repeat", surplus_delay=delay)
    outcome = run_items(ItemScene(((twice,),), (1,), tries=2))
    assert judge_items(outcome) == []
    assert [result["status"] for result in outcome.results["lot0", 0]] == ["done"]


@pytest.mark.parametrize("kind", ["full", "too many", "another"])
def test_a_second_late_rejection_is_no_proof_that_the_next_run_of_its_item_did_not_run(kind: str) -> None:
    # Issue 53: the item was placed again while the worker ran it.
    twice = Play(kind, surplus="repeat", surplus_delay=1.0)
    outcome = run_items(ItemScene(((twice, Play(delay=3.0)),), (1,)))
    assert judge_items(outcome) == [] and len(outcome.results) == 1
    assert sum(run.ran for run in outcome.record.runs) == 1


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_an_item_whose_answer_ends_at_any_byte_goes_on_elsewhere(framing: str) -> None:
    size = len(run_items(ItemScene(((Play(framing=framing),),), (1,))).record.runs[0].raw)
    for i in range(size):
        play = Play(framing=framing, cut=i, cut_end=end_at(i))
        rounds = 3 * ROUNDS if play.cut_end == "silence" else ROUNDS
        outcome = run_items(ItemScene(((play,), (play,)), (1,)), rounds=rounds)
        assert judge_items(outcome) == [] and len(outcome.results) == 1


@pytest.mark.parametrize("sent_share", [0.0, 0.1, 0.5, 0.9])
def test_an_item_whose_worker_falls_silent_within_its_answer_is_not_left_lying(sent_share: float) -> None:
    # Issue 47: the run lasted for its whole limit of two minutes, its lease was renewed, and no other worker got the item.
    size = len(run_items(ItemScene(((),), (1,))).record.runs[0].raw)
    silent = Play(cut=int(size * sent_share), cut_end="silence", silence_s=600.0)
    outcome = run_items(ItemScene(((silent,), ()), (2,)))
    assert judge_items(outcome) == [] and len(outcome.results) == 2


def test_items_wait_for_no_free_slot_behind_the_lost_answers_of_others() -> None:
    # Issue 50: each lost answer halved its worker's limit, down to the one item that was lost next; all others waited for that.
    lost = Play(cut=0, cut_end="silence", silence_s=600.0)
    outcome = run_items(ItemScene(((lost,) * 5, (lost,) * 5), (16,)))
    assert judge_items(outcome) == [] and len(outcome.results) >= 14


def test_an_item_whose_answers_are_lost_again_and_again_runs_again_within_the_recovery_bound() -> None:
    # Issue 50: the wait doubled with each lost answer, 6, 12, 24, 48 s.
    lost = Play(cut=0, cut_end="silence", silence_s=600.0)
    outcome = run_items(ItemScene(((lost,) * 4,), (1,)), rounds=8 * ROUNDS)
    assert judge_items(outcome) == [] and len(outcome.results) == 1
    sent = [run.sent for run in outcome.record.runs]
    assert all(again - before <= BOUNDS.recover for before, again in pairwise(sent)) and len(sent) == 5


def test_a_slow_worker_that_is_silent_for_less_than_the_limit_keeps_its_item() -> None:
    limit = BOUNDS.silence_limit
    slow = Play(delay=limit - 1.5 * BOUNDS.silence_check_interval)
    outcome = run_items(ItemScene(((slow,), ()), (1,)))
    assert judge_items(outcome) == [] and len(outcome.results) == 1
    assert len(outcome.record.runs) == 1


def test_an_item_that_later_ones_of_its_worker_overtake_is_given_up_sooner() -> None:
    silent = Play(cut=10, cut_end="silence", silence_s=600.0)
    alone, overtaken = (run_items(ItemScene(((silent,),), (items,))) for items in (1, 8))
    for outcome, limit in ((alone, BOUNDS.silence_limit), (overtaken, BOUNDS.overtaken_silence_limit)):
        assert judge_items(outcome) == []
        first, *_, again = [run.sent for run in outcome.record.runs if run.id == outcome.record.runs[0].id]
        assert limit <= again - first <= limit + 2 * BOUNDS.silence_check_interval + BOUNDS.scheduling_pause + ROUND_S


def test_an_item_ends_though_every_worker_is_slower_than_the_limit() -> None:
    slow = Play(delay=BOUNDS.silence_limit * 1.5)
    outcome = run_items(ItemScene(((slow,) * 4, (slow,) * 4), (1,)), rounds=400)
    assert judge_items(outcome) == [] and len(outcome.results) == 1
    assert len(outcome.record.runs) == 2  # the second one may be silent for twice as long

"""Properties of routing decisions over request mixes, fleet sizes and loads that no deployment has had so far."""

from __future__ import annotations

import math
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from postpass.routing import live_choice
from postpass.routing.item_choice import ItemWorker, choose_item_worker, free_item_slots
from postpass.routing.live_choice import EdgeView, Prompt, WorkerCandidate, used
from postpass.routing.load_picture import WorkerUse
from postpass.routing.options import DEFAULT_OPTIONS
from postpass.routing.prefixes import NO_PREFIX, Prefix

EXAMPLES = 60
EDGES = st.integers(3, 160)
WORKERS = st.integers(1, 690)
SLOTS = st.integers(4, 64)
SEEDS = st.integers(0, 1 << 30)


def choose_worker(
    candidates: list[WorkerCandidate], prompt: Prompt, view: EdgeView, chance: random.Random
) -> str | None:
    """Returns the name of the chosen worker."""
    choice = live_choice.choose_worker(candidates, prompt, view, chance)
    return choice.worker if choice else None


def fleet(workers: int, slots: int, busy: float, chance: random.Random) -> list[WorkerCandidate]:
    """Returns workers with about a fraction `busy` of their slots in use, unevenly."""
    candidates = []
    for n in range(workers):
        in_use = int(slots * busy * chance.uniform(0.5, 1.5))
        own = chance.randint(0, min(2, in_use))
        use = WorkerUse(in_use - own, chance.randint(0, 3), chance.choice((0, 500, 17_000)))
        candidates.append(WorkerCandidate(f"w{n}", slots, own, lag=chance.random() / 10, unread=own * 300, others=use))
    return candidates


@settings(max_examples=EXAMPLES, deadline=None)
@given(EDGES, WORKERS, SLOTS, st.floats(0.0, 1.4), st.integers(0, 30_000), SEEDS)
def test_no_full_worker_is_chosen_while_another_has_a_free_slot(
    edges: int, workers: int, slots: int, busy: float, tokens: int, seed: int
) -> None:
    chance = random.Random(seed)
    candidates = fleet(workers, slots, busy, chance)
    name = choose_worker(candidates, Prompt(NO_PREFIX, tokens), EdgeView(edges, 700.0), chance)
    chosen = next(c for c in candidates if c.name == name)
    assert used(chosen) < slots or all(used(c) >= slots for c in candidates)
    # A home may be used beyond its slots up to the overflow limit, and no further.
    prompt = Prompt(Prefix(b"k", tokens), tokens)
    name = choose_worker(candidates, prompt, EdgeView(edges, 700.0), chance)
    chosen = next(c for c in candidates if c.name == name)
    bound = slots * (1 + DEFAULT_OPTIONS.home_overflow)
    assert used(chosen) < bound or all(used(c) >= slots for c in candidates)


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.integers(2, 120), SLOTS, st.floats(0.1, 0.8), st.floats(0.0, 1.0), SEEDS)
def test_load_is_even_when_each_request_sees_those_before(
    workers: int, slots: int, busy: float, long_share: float, seed: int
) -> None:
    chance = random.Random(seed)
    counts: Counter[str] = Counter()
    names = [f"w{n}" for n in range(workers)]
    view = EdgeView(50, 700.0 + long_share * 16_000)
    for number in range(int(workers * slots * busy)):
        candidates = [WorkerCandidate(n, slots, 0, others=WorkerUse(counts[n])) for n in names]
        is_long = chance.random() < long_share
        prefix = Prefix(b"%d" % (number % 97), 13_300 if is_long else 172)
        chosen = choose_worker(candidates, Prompt(prefix, 17_000 if is_long else 715), view, chance)
        assert chosen is not None
        counts[chosen] += 1
    # No worker gets more than its slots and the overflow limit of homes.
    assert max(counts.values(), default=0) <= slots * (1 + DEFAULT_OPTIONS.home_overflow) + 1


@settings(max_examples=EXAMPLES, deadline=None)
@given(WORKERS, SLOTS, st.floats(0.0, 1.3), SEEDS)
def test_items_use_all_free_slots_but_the_reserve_and_are_spread_evenly(
    workers: int, slots: int, busy: float, seed: int
) -> None:
    chance = random.Random(seed)
    load = [
        ItemWorker(f"w{n}", slots, chance.randint(0, 2), int(slots * busy * chance.uniform(0.5, 1.5)))
        for n in range(workers)
    ]
    free_slots = free_item_slots(load)
    free = {w.name: max(0, w.slots - (w.live or 0) - w.items) for w in load}
    reserve = slots * workers * DEFAULT_OPTIONS.live_reserve
    assert all(0 <= free_slots[name] <= free[name] for name in free)
    # Work-conserving: all free slots beyond the reserve are assigned, and none of the reserve.
    minimum = 0 if any(w.items for w in load) else min(1, sum(free.values()))
    assert sum(free_slots.values()) == max(minimum, math.ceil(sum(free.values()) - reserve))
    given_to = [name for name, count in free_slots.items() if count]
    remaining = {name: free[name] - free_slots[name] for name in free}
    assert max((remaining[n] for n in given_to), default=0) - min((remaining[n] for n in given_to), default=0) <= 1
    assert (
        max((remaining[n] for n in remaining if n not in given_to), default=0)
        <= min((remaining[n] for n in given_to), default=slots) + 1
    )


@settings(max_examples=EXAMPLES, deadline=None)
@given(
    st.dictionaries(st.text("abcdef", min_size=1, max_size=4), st.integers(0, 9), max_size=30), st.binary(max_size=4)
)
def test_an_item_goes_to_a_worker_with_the_most_free_slots(free_slots: dict[str, int], key: bytes) -> None:
    name = choose_item_worker(free_slots, key)
    most = max(free_slots.values(), default=0)
    assert (name is None) == (most == 0)
    assert name is None or free_slots[name] == most


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.integers(2, 100), SLOTS, SEEDS)
def test_every_kind_finds_a_worker_whatever_the_others_ask_for(workers: int, slots: int, seed: int) -> None:
    chance = random.Random(seed)
    candidates = [
        WorkerCandidate(
            f"w{n}", slots, chance.randint(0, slots * 2), chance.random() < 0.5, chance.random() < 0.5,
            others=WorkerUse(chance.randint(0, slots), 0, chance.randint(0, 100_000)),
        )
        for n in range(workers)
    ]  # fmt: skip
    for tokens, shared in ((0, 0), (715, 172), (17_000, 13_300), (60_000, 40_000)):
        prompt = Prompt(Prefix(b"x", shared) if shared else NO_PREFIX, tokens)
        assert choose_worker(candidates, prompt, EdgeView(3, 3_000.0), chance) is not None

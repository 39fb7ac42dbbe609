"""Choosing a worker for a live request: prefix affinity, spreading, overflow, pool weights and limits of cold workers."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from postpass.configuration.configuration import Split
from postpass.routing import live_choice
from postpass.routing.cold_workers import COLD_SHARE, TokenBucket, cold_edges, cold_rate_per_edge
from postpass.routing.live_choice import (
    EdgeView,
    Prompt,
    Reason,
    WorkerCandidate,
    fair_slots_per_edge,
    pool_order,
)
from postpass.routing.load_picture import WorkerUse
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from postpass.routing.prefixes import NO_PREFIX, Prefix, parse_prefix

OWN_COUNTS = RoutingOptions(shared_load=False)
FEW_EDGES = EdgeView(8, 2700.0)
MANY_EDGES = EdgeView(50, 2700.0)
SHORT = Prompt(Prefix(b"hot", 172), 715)
CANDIDATES = [WorkerCandidate(f"w{i}", 32, 0) for i in range(6)]


def test_the_shared_parts_are_all_but_the_last() -> None:
    assert parse_prefix(b"5c1e:800,91bd:410,e440:250") == Prefix(b"5c1e,91bd", 1210)
    assert parse_prefix(b"5c1e:800") == NO_PREFIX == parse_prefix(b"")
    assert parse_prefix(b"a:x,b:1,c:2").tokens == 1


def choose_worker(
    candidates: list[WorkerCandidate], prompt: Prompt, view: EdgeView, chance: random.Random,
    options: RoutingOptions = DEFAULT_OPTIONS,
) -> str | None:  # fmt: skip
    """Returns the name of the chosen worker."""
    choice = live_choice.choose_worker(candidates, prompt, view, chance, options)
    return choice.worker if choice else None


def long_prompt(key: object, tokens: int = 17_000) -> Prompt:
    """Returns a prompt with a long shared prefix."""
    return Prompt(Prefix(f"{key}".encode(), 13_300), tokens)


def test_long_prefixes_go_to_their_home_and_elsewhere_when_it_is_loaded() -> None:
    chance = random.Random(1)
    homes = {k: choose_worker(CANDIDATES, long_prompt(k), MANY_EDGES, chance) for k in range(60)}
    assert all(choose_worker(CANDIDATES, long_prompt(k), MANY_EDGES, chance) == home for k, home in homes.items())
    assert len(set(homes.values())) == 6
    for options, view in ((RoutingOptions(), MANY_EDGES), (OWN_COUNTS, FEW_EDGES)):
        loaded = [WorkerCandidate(s.name, 32, 40 if s.name == homes[0] else 0) for s in CANDIDATES]
        others = {choose_worker(loaded, long_prompt(0), view, chance, options=options) for _ in range(50)}
        assert len(others) == 1 and homes[0] not in others
    # Adding a worker moves few prefixes to another home.
    more = [*CANDIDATES, WorkerCandidate("w6", 32, 0)]
    moved = sum(choose_worker(more, long_prompt(k), MANY_EDGES, chance) != home for k, home in homes.items())
    assert moved <= 20


def test_whether_a_prefix_is_long_depends_on_the_usual_prompt() -> None:
    chance = random.Random(8)
    seen = {choose_worker(CANDIDATES, SHORT, EdgeView(8, 300.0), chance, options=OWN_COUNTS) for _ in range(50)}
    assert len(seen) == 1
    assert (
        len(
            {choose_worker(CANDIDATES, long_prompt(1), EdgeView(8, 1e6), chance, options=OWN_COUNTS) for _ in range(50)}
        )
        == 6
    )


def test_short_prefixes_are_spread_and_go_to_the_less_loaded() -> None:
    chance = random.Random(2)
    seen = Counter(choose_worker(CANDIDATES, SHORT, FEW_EDGES, chance) for _ in range(600))
    assert len(seen) == 6 and max(seen.values()) < 150
    uneven = [WorkerCandidate("a", 32, 9), WorkerCandidate("b", 32, 1)]
    assert {choose_worker(uneven, SHORT, FEW_EDGES, chance) for _ in range(20)} == {"b"}


def test_avoided_and_full_workers_are_taken_only_if_there_is_nothing_else() -> None:
    chance = random.Random(3)
    unhealthy = [
        WorkerCandidate("a", 4, 0, avoided=True),
        WorkerCandidate("b", 4, 3, full=True),
        WorkerCandidate("c", 4, 9),
    ]
    assert choose_worker(unhealthy, SHORT, FEW_EDGES, chance) == "c"
    assert choose_worker(unhealthy[:2], SHORT, FEW_EDGES, chance) == "b"
    assert choose_worker(unhealthy[:1], SHORT, FEW_EDGES, chance) == "a"
    assert choose_worker([], SHORT, FEW_EDGES, chance) is None
    # With the switch off, no worker is avoided.
    health_off = RoutingOptions(health=False)
    assert choose_worker(unhealthy[:2], SHORT, FEW_EDGES, chance, options=health_off) == "a"


def test_weights_split_requests_by_id_and_other_pools_follow() -> None:
    split: list[Split] = [
        {"pool": "new", "weight": 1}, {"pool": "off", "weight": 0}, {"pool": "old", "weight": 3},
    ]  # fmt: skip
    seen = Counter(pool_order(split, b"%x" % i)[0] for i in range(4000))
    assert set(seen) == {"new", "old"} and 800 < seen["new"] < 1200
    assert sorted(pool_order(split, b"x")) == ["new", "old"]
    assert pool_order([], b"x") == []


def test_cold_workers_stay_below_their_bound_over_all_edges() -> None:
    for count in (3, 8, 80):
        edges = [f"e{i}" for i in range(count)]
        for rate in (1.0, 3.0, 10.0, 40.0):
            users = cold_edges("w", edges, rate)
            assert set(users) <= set(edges) and users == cold_edges("w", edges[::-1], rate)
            # The most in any second: the tokens in the buckets and those added meanwhile.
            burst = len(users) * (1 + cold_rate_per_edge(rate, len(users)))
            assert burst <= rate * 1.5 + 5
            assert abs(cold_rate_per_edge(rate, len(users)) * len(users) - COLD_SHARE * rate) < 1e-9


def test_a_bucket_fills_to_its_top() -> None:
    bucket = TokenBucket(1.0, 0.0).taken()
    assert bucket.filled(0.5, 1.0).level == 0.5 and bucket.filled(9.0, 1.0).level == 1.0
    assert fair_slots_per_edge(32, 8) == 6 and fair_slots_per_edge(32, 76) == 2


def test_what_others_have_at_a_worker_counts_as_load() -> None:
    chance = random.Random(5)
    uneven = [WorkerCandidate("a", 12, 0, others=WorkerUse(8, 3)), WorkerCandidate("b", 12, 1, others=WorkerUse(2))]
    assert {choose_worker(uneven, SHORT, MANY_EDGES, chance) for _ in range(20)} == {"b"}
    assert choose_worker(uneven, SHORT, MANY_EDGES, chance, options=OWN_COUNTS) == "a"
    # A full worker gets nothing while another one has a free slot, even if that one has many prompt tokens to process.
    reading = WorkerUse(0, 0, 90_000)
    full = [WorkerCandidate("a", 12, 0, others=WorkerUse(12)), WorkerCandidate("b", 12, 11, others=reading)]
    assert {choose_worker(full, SHORT, MANY_EDGES, chance) for _ in range(20)} == {"b"}


def test_among_workers_with_free_slots_the_one_with_least_to_read_is_taken() -> None:
    chance = random.Random(6)
    others = WorkerUse(0, 0, 500)
    reading = [WorkerCandidate("a", 12, 1, unread=17_000), WorkerCandidate("b", 12, 4, others=others)]
    assert {choose_worker(reading, SHORT, MANY_EDGES, chance) for _ in range(20)} == {"b"}


def test_a_home_is_passed_over_once_processing_the_prefix_elsewhere_is_sooner() -> None:
    chance = random.Random(7)
    home = choose_worker(CANDIDATES, long_prompt("k"), MANY_EDGES, chance)

    def reading(tokens: int, everywhere: bool = False) -> list[WorkerCandidate]:
        return [
            WorkerCandidate(c.name, 32, 0, others=WorkerUse(0, 0, tokens if everywhere or c.name == home else 0))
            for c in CANDIDATES
        ]

    assert choose_worker(reading(20_000), long_prompt("k"), MANY_EDGES, chance) == home
    second_home = {choose_worker(reading(30_000), long_prompt("k"), MANY_EDGES, chance) for _ in range(20)}
    assert len(second_home) == 1 and home not in second_home
    # If all workers have equally many tokens to process, the home is chosen.
    assert choose_worker(reading(30_000, everywhere=True), long_prompt("k"), MANY_EDGES, chance) == home


def test_a_choice_contains_its_reason_and_the_known_load_of_the_worker() -> None:
    chance = random.Random(9)
    busy = [WorkerCandidate("a", 12, 2, unread=300, others=WorkerUse(5, 4, 200))]
    choice = live_choice.choose_worker(busy, SHORT, MANY_EDGES, chance)
    assert choice == live_choice.Choice("a", Reason.LEAST_LOADED, 11, 500)
    full = [WorkerCandidate("a", 12, 2, others=WorkerUse(10, 4))]
    assert (choice := live_choice.choose_worker(full, SHORT, MANY_EDGES, chance)) and choice.reason is Reason.NONE_FREE
    assert (
        choice := live_choice.choose_worker(busy, long_prompt(1), MANY_EDGES, chance)
    ) and choice.reason is Reason.HOME


def test_a_worker_that_fails_for_most_edges_is_avoided_unless_most_workers_do() -> None:
    chance = random.Random(9)
    idle_but_failing = WorkerUse(failed=3, answered=1)
    busy = WorkerUse(6, 2, 4000, answered=5)
    some = [WorkerCandidate(f"w{i}", 12, 0, others=idle_but_failing if i < 2 else busy) for i in range(4)]
    assert {choose_worker(some, SHORT, MANY_EDGES, chance) for _ in range(60)} == {"w2", "w3"}
    # Without the reports, idle workers are chosen first.
    reports_off = RoutingOptions(shared_health=False)
    assert {choose_worker(some, SHORT, MANY_EDGES, chance, reports_off) for _ in range(60)} >= {"w0", "w1"}
    most = [WorkerCandidate(f"w{i}", 12, 0, others=idle_but_failing if i < 3 else busy) for i in range(4)]
    assert {choose_worker(most, SHORT, MANY_EDGES, chance) for _ in range(60)} >= {"w0", "w1", "w2"}
    # What an edge found itself counts too: if it avoids all others, a worker that is reported as failing is still chosen.
    rest = [replace(c, avoided=not c.others.fails_most) for c in some]
    assert {choose_worker(rest, SHORT, MANY_EDGES, chance) for _ in range(60)} == {"w0", "w1"}

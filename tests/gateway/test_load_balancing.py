"""Choosing a worker: affinity, spread, spill, weights, cold shares."""

from __future__ import annotations

import random
from collections import Counter

from postpass.configuration.configuration import Split
from postpass.gateway.load_balancing import (
    COLD_SHARE,
    NO_PREFIX,
    Bucket,
    Prefix,
    WorkerCandidate,
    choose_worker,
    cold_edges,
    cold_share,
    long_prompt_workers,
    own_share,
    pool_order,
    prefix_of,
)

CANDIDATES = [WorkerCandidate(f"w{i}", 32, 0) for i in range(6)]


def test_the_shared_parts_are_all_but_the_last() -> None:
    assert prefix_of(b"5c1e:800,91bd:410,e440:250") == Prefix(b"5c1e,91bd", 1210)
    assert prefix_of(b"5c1e:800") == NO_PREFIX == prefix_of(b"")
    assert prefix_of(b"a:x,b:1,c:2").tokens == 1


def test_long_prefixes_stay_home_and_spill_when_home_is_loaded() -> None:
    chance = random.Random(1)
    homes = {k: choose_worker(CANDIDATES, Prefix(b"%d" % k, 13300), 8, chance) for k in range(60)}
    assert all(choose_worker(CANDIDATES, Prefix(b"%d" % k, 13300), 8, chance) == h for k, h in homes.items())
    assert len(set(homes.values())) == 6
    loaded = [WorkerCandidate(s.name, 32, 40 if s.name == homes[0] else 0) for s in CANDIDATES]
    spill = {choose_worker(loaded, Prefix(b"0", 13300), 8, chance) for _ in range(50)}
    assert len(spill) == 1 and homes[0] not in spill
    # A worker more moves few keys.
    more = [*CANDIDATES, WorkerCandidate("w6", 32, 0)]
    moved = sum(choose_worker(more, Prefix(b"%d" % k, 13300), 8, chance) != h for k, h in homes.items())
    assert moved <= 20


def test_short_prefixes_are_spread_and_go_to_the_less_loaded() -> None:
    chance = random.Random(2)
    seen = Counter(choose_worker(CANDIDATES, Prefix(b"hot", 172), 8, chance) for _ in range(600))
    assert len(seen) == 6 and max(seen.values()) < 150
    uneven = [WorkerCandidate("a", 32, 9), WorkerCandidate("b", 32, 1)]
    assert {choose_worker(uneven, NO_PREFIX, 8, chance) for _ in range(20)} == {"b"}


def test_long_prompts_are_read_apart_from_short_streams() -> None:
    chance = random.Random(4)
    apart = long_prompt_workers([s.name for s in CANDIDATES])
    assert len(apart) == 4 and long_prompt_workers(["w"]) == frozenset() and len(long_prompt_workers(["v", "w"])) == 1
    long = {choose_worker(CANDIDATES, Prefix(b"%d" % k, 13300), 8, chance, 17000, apart) for k in range(200)}
    unshared = {choose_worker(CANDIDATES, NO_PREFIX, 8, chance, 17000, apart) for _ in range(200)}
    short = {choose_worker(CANDIDATES, Prefix(b"%d" % k, 172), 8, chance, 715, apart) for k in range(200)}
    assert long == unshared == apart and short == {s.name for s in CANDIDATES} - apart
    # Loaded ones spill to the other kind's workers rather than wait.
    busy = [WorkerCandidate(s.name, 32, 0 if s.name in apart else 32) for s in CANDIDATES]
    assert {choose_worker(busy, NO_PREFIX, 8, chance, 715, apart) for _ in range(200)} <= apart
    # Nor does it matter that none of its own kind is there.
    assert choose_worker([s for s in CANDIDATES if s.name in apart], NO_PREFIX, 8, chance, 715, apart) in apart


def test_avoided_and_full_workers_are_taken_only_if_there_is_nothing_else() -> None:
    chance = random.Random(3)
    odd = [WorkerCandidate("a", 4, 0, avoided=True), WorkerCandidate("b", 4, 3, full=True), WorkerCandidate("c", 4, 9)]
    assert choose_worker(odd, NO_PREFIX, 8, chance) == "c"
    assert choose_worker(odd[:2], NO_PREFIX, 8, chance) == "b"
    assert choose_worker(odd[:1], NO_PREFIX, 8, chance) == "a"
    assert choose_worker([], NO_PREFIX, 8, chance) is None


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
            # In any second: what the buckets hold and what flows into them.
            burst = len(users) * (1 + cold_share(rate, len(users)))
            assert burst <= rate * 1.5 + 5
            assert abs(cold_share(rate, len(users)) * len(users) - COLD_SHARE * rate) < 1e-9


def test_a_bucket_fills_to_its_top() -> None:
    bucket = Bucket(1.0, 0.0).taken()
    assert bucket.filled(0.5, 1.0).level == 0.5 and bucket.filled(9.0, 1.0).level == 1.0
    assert own_share(32, 8) == 6 and own_share(32, 76) == 2

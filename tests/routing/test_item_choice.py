"""The number of items that a worker gets, and the choice of the worker for the next one."""

from __future__ import annotations

from postpass.routing.item_choice import ITEM_SHARE, ItemWorker, choose_item_worker, free_item_slots
from postpass.routing.options import RoutingOptions


def test_items_leave_a_reserve_of_all_slots_and_fill_the_emptiest_workers_first() -> None:
    workers = [ItemWorker("a", 12, 0, 6), ItemWorker("b", 12, 0, 0), ItemWorker("c", 12, 4, 8)]
    free_slots = free_item_slots(workers, RoutingOptions(live_reserve=1 / 6))
    # 18 slots are free; 6 of them are the reserve and stay free.
    assert sum(free_slots.values()) == 12 and free_slots["c"] == 0 and free_slots["b"] > free_slots["a"]
    remaining = {w.name: w.slots - (w.live or 0) - w.items - free_slots[w.name] for w in workers}
    assert remaining["a"] - remaining["b"] in (-1, 0, 1)


def test_a_worker_gets_no_more_than_it_took_before_and_than_it_has_slots() -> None:
    workers = [ItemWorker("a", 12, 3, 0, limit=4.5), ItemWorker("b", 12, 0, 14), ItemWorker("c", 12, 2, 0, limit=0.0)]
    assert free_item_slots(workers, RoutingOptions(live_reserve=0.0)) == {"a": 1, "b": 0, "c": 0}


def test_while_nothing_is_known_of_live_requests_items_have_a_fixed_part() -> None:
    workers = [ItemWorker("a", 12, 2), ItemWorker("b", 1, 0)]
    assert free_item_slots(workers) == {"a": int(12 * ITEM_SHARE) - 2, "b": 1}
    known = [ItemWorker("a", 12, 2, 9)]
    assert free_item_slots(known, RoutingOptions(shared_load=False)) == {"a": int(12 * ITEM_SHARE) - 2}


def test_items_go_to_the_most_free_slots_and_among_equals_by_their_prefix() -> None:
    assert choose_item_worker({"a": 1, "b": 3, "c": 0}, b"x") == "b"
    even = dict.fromkeys("abcdef", 2)
    homes = {choose_item_worker(even, b"%d" % key) for key in range(60)}
    assert homes == set(even) and choose_item_worker(even, b"7") == choose_item_worker(even, b"7")
    assert choose_item_worker({"a": 0}, b"x") is None and choose_item_worker({}, b"x") is None


def test_one_item_may_run_however_small_the_pool_is() -> None:
    assert free_item_slots([ItemWorker("a", 1, 0, 0)]) == {"a": 1}
    busy = [ItemWorker("a", 10, 0, 9), ItemWorker("b", 10, 0, 10)]
    assert free_item_slots(busy, RoutingOptions(live_reserve=0.2)) == {"a": 1, "b": 0}
    assert free_item_slots([ItemWorker("a", 10, 1, 8)], RoutingOptions(live_reserve=0.2)) == {"a": 0}


def test_a_worker_that_fails_the_edges_gets_no_items_though_it_is_the_emptiest() -> None:
    workers = [ItemWorker("a", 12, 0, 0, failing=True), ItemWorker("b", 12, 0, 6), ItemWorker("c", 12, 0, 6)]
    free_slots = free_item_slots(workers, RoutingOptions(live_reserve=0.0))
    assert free_slots == {"a": 0, "b": 6, "c": 6}
    assert free_item_slots(workers, RoutingOptions(live_reserve=0.0, shared_health=False))["a"] == 12
    # If all workers are reported as failing, the reporters are likely to be cut off themselves, and are not believed.
    cut_off = [ItemWorker(name, 12, 0, 6, failing=True) for name in "abc"]
    assert sum(free_item_slots(cut_off, RoutingOptions(live_reserve=0.0)).values()) == 18

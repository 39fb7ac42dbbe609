"""A burst of items from one client doesn't make those of others late, and it still gets the capacity that they don't use."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from postpass.routing.fair_share import Demand, fair_serving_order, order_by_turns, split_by_fair_share
from postpass.routing.item_order import serving_order
from postpass.routing.options import RoutingOptions

BURST_CLIENT = "hot"
PER_JOB = 60
DUE_S = 10.0  # seconds from the submission of a job to its due time
RUN_S = 0.5  # seconds that an item takes
SLOTS = 40
RATE = SLOTS / RUN_S

Order = Callable[[list[Demand], float], list[Demand]]


def by_due(items: list[Demand], earliest: float) -> list[Demand]:
    """Orders items by due time alone, without shares."""
    return serving_order(items, lambda item: item.due, earliest)


def by_shares(items: list[Demand], earliest: float) -> list[Demand]:
    """Orders items by the function under test."""
    return fair_serving_order(items, lambda item: item, earliest, RATE)


def timely_fractions(order: Order, jobs: list[tuple[float, str]]) -> tuple[dict[str, float], float]:
    """Runs jobs, given by submission time and client, on a fixed number of slots.

    Returns the fraction of items that end by their due time: for each client, and of all items.
    """
    submitted, done_in_time = Counter[str](), Counter[str]()
    queue: list[Demand] = []
    arrivals = sorted(jobs)
    free_at = [0.0] * SLOTS
    clock = 0.0
    while arrivals or queue:
        clock = max(clock, free_at[0])
        if not queue:
            clock = max(clock, arrivals[0][0])
        while arrivals and arrivals[0][0] <= clock:
            at, client = arrivals.pop(0)
            queue += [Demand(at + DUE_S, client, 1, 1200)] * PER_JOB
            submitted[client] += PER_JOB
        queue = order(sorted(queue, key=lambda item: item.due), clock + RUN_S)
        # Start the items that have a slot now; the rest is ordered anew when one is free.
        while queue and free_at[0] <= clock:
            item = queue.pop(0)
            heapq.heapreplace(free_at, clock + RUN_S)
            done_in_time[item.client] += clock + RUN_S <= item.due
    return {
        client: done_in_time[client] / submitted[client] for client in submitted
    }, done_in_time.total() / submitted.total()


def submissions(burst_jobs: int) -> list[tuple[float, str]]:
    """Returns the jobs of 20 s: each of 10 clients submits one at even intervals, `BURST_CLIENT` `burst_jobs`."""
    others = [(0.1 + 2.0 * number, f"c{number}") for number in range(10)]
    return others + [(20.0 * number / max(1, burst_jobs), BURST_CLIENT) for number in range(burst_jobs)]


def test_a_burst_of_one_client_does_not_make_the_others_late() -> None:
    jobs = submissions(burst_jobs=60)  # with the others 4,200 items in 20 s, of which 1,600 can be done
    shares, _ = timely_fractions(by_due, jobs)
    assert min(share for client, share in shares.items() if client != BURST_CLIENT) < 0.5  # the scenario is an overload
    shares, _ = timely_fractions(by_shares, jobs)
    assert min(share for client, share in shares.items() if client != BURST_CLIENT) >= 0.98


def test_capacity_that_others_leave_goes_to_the_client_with_the_burst() -> None:
    jobs = submissions(burst_jobs=60)
    _, all_by_due = timely_fractions(by_due, jobs)
    shares, all_by_shares = timely_fractions(by_shares, jobs)
    assert all_by_shares >= all_by_due - 0.01 and shares[BURST_CLIENT] > 0.4


def test_a_client_that_submits_much_loses_nothing_while_all_can_be_done() -> None:
    jobs = submissions(burst_jobs=14)  # 1,440 items in 20 s
    assert timely_fractions(by_shares, jobs)[0] == timely_fractions(by_due, jobs)[0]


@pytest.mark.parametrize("option", ["fair_items", "overdue_last"])
def test_shares_can_be_switched_off(option: str) -> None:
    items = [Demand(1.0 + n, BURST_CLIENT if n < 9 else "c", 1, 10) for n in range(10)]
    options = RoutingOptions(**{option: False})
    served = fair_serving_order(items, lambda item: item, 1.0, 0.1, options)
    assert served == serving_order(items, lambda item: item.due, 1.0, options)


dues = st.lists(st.floats(0, 50), max_size=40)


@given(dues, st.floats(0, 50), st.floats(0, 10))
def test_with_a_single_client_the_order_is_by_due_time_alone(times: list[float], earliest: float, rate: float) -> None:
    items = [Demand(due, "", 1, number) for number, due in enumerate(sorted(times))]
    assert fair_serving_order(items, lambda item: item, earliest, rate) == by_due(items, earliest)


@given(st.lists(st.tuples(st.floats(0, 50), st.sampled_from("abc"), st.integers(0, 9)), max_size=40), st.floats(0, 9))
def test_every_entry_is_served_once_and_what_is_not_postponed_is_in_time(
    demands: list[tuple[float, str, int]], rate: float
) -> None:
    items = [Demand(due, client, size, size * 10) for due, client, size in sorted(demands)]
    served = fair_serving_order(items, lambda item: item, 5.0, rate)
    assert Counter(map(id, served)) == Counter(map(id, items))
    timely = [item for item in items if item.due >= 5.0]
    timely_positions, postponed = split_by_fair_share(timely, 5.0, rate)
    served_items = 0
    for number in timely_positions if postponed else []:
        served_items += timely[number].items
        assert 5.0 + (served_items - 1) / rate <= timely[number].due


@given(st.lists(st.tuples(st.floats(0, 50), st.sampled_from("abc"), st.integers(0, 9)), max_size=40), st.floats(0.1, 9))
def test_a_client_that_asks_for_no_more_than_its_equal_share_loses_nothing(
    demands: list[tuple[float, str, int]], rate: float
) -> None:
    items = [Demand(due, client, size, size * 10) for due, client, size in sorted(demands)]
    clients = {item.client for item in items}
    _, postponed = split_by_fair_share(items, 0.0, rate)
    for client in clients:
        own = [item for item in items if item.client == client]
        # The number of items that each client can start by each due time if all have equal shares.
        shares = [(item.due, (item.due * rate + 1) / len(clients)) for item in items]
        if all(sum(item.items for item in own if item.due <= due) <= share for due, share in shares):
            assert not [number for number in postponed if items[number].client == client]


def test_clients_take_turns_by_tokens() -> None:
    items = [Demand(0.0, BURST_CLIENT, 1, 10)] * 3 + [Demand(0.0, "c", 1, 25)] * 2
    assert [items[number].client for number in order_by_turns(range(5), items)] == [
        BURST_CLIENT,
        "c",
        BURST_CLIENT,
        BURST_CLIENT,
        "c",
    ]

"""One client's crowd of items doesn't make those of the others late, and takes nothing that is left over from it."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from postpass.routing.fair_share import Demand, fair_serving_order, in_turns, within_shares
from postpass.routing.item_order import serving_order
from postpass.routing.options import RoutingOptions

HOT = "hot"
PER_JOB = 60
DUE_S = 10.0  # after a job came
RUN_S = 0.5  # that an item takes
SLOTS = 40
RATE = SLOTS / RUN_S

Order = Callable[[list[Demand], float], list[Demand]]


def by_due(items: list[Demand], earliest: float) -> list[Demand]:
    """The order without shares."""
    return serving_order(items, lambda item: item.due, earliest)


def by_shares(items: list[Demand], earliest: float) -> list[Demand]:
    """The order under test."""
    return fair_serving_order(items, lambda item: item, earliest, RATE)


def in_time(order: Order, jobs: list[tuple[float, str]]) -> tuple[dict[str, float], float]:
    """Plays jobs, by when they come and of whom, on a fixed number of slots: the share of each client's items that end by
    their due time, and of all."""
    came, done = Counter[str](), Counter[str]()
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
            came[client] += PER_JOB
        queue = order(sorted(queue, key=lambda item: item.due), clock + RUN_S)
        # What has a slot now; the rest is ordered anew when one is free.
        while queue and free_at[0] <= clock:
            item = queue.pop(0)
            heapq.heapreplace(free_at, clock + RUN_S)
            done[item.client] += clock + RUN_S <= item.due
    return {client: done[client] / came[client] for client in came}, done.total() / came.total()


def day(hot_jobs: int) -> list[tuple[float, str]]:
    """20 s in which each of 10 clients hands in a job, at even distances, and the hot one so many between them."""
    others = [(0.1 + 2.0 * number, f"c{number}") for number in range(10)]
    return others + [(20.0 * number / max(1, hot_jobs), HOT) for number in range(hot_jobs)]


def test_the_crowd_of_one_client_does_not_make_the_others_late() -> None:
    jobs = day(hot_jobs=60)  # with the others 4,200 items in 20 s, of which 1,600 can be done
    shares, _ = in_time(by_due, jobs)
    assert min(share for client, share in shares.items() if client != HOT) < 0.5  # the scenario is a crowd
    shares, _ = in_time(by_shares, jobs)
    assert min(share for client, share in shares.items() if client != HOT) >= 0.98


def test_what_the_others_leave_goes_to_the_client_with_the_crowd() -> None:
    jobs = day(hot_jobs=60)
    _, before = in_time(by_due, jobs)
    shares, all_in_time = in_time(by_shares, jobs)
    assert all_in_time >= before - 0.01 and shares[HOT] > 0.4


def test_a_client_that_hands_in_much_loses_nothing_while_all_can_be_done() -> None:
    jobs = day(hot_jobs=14)  # 1,440 items in 20 s
    assert in_time(by_shares, jobs)[0] == in_time(by_due, jobs)[0]


@pytest.mark.parametrize("switched", ["fair_items", "overdue_last"])
def test_shares_can_be_switched_off(switched: str) -> None:
    items = [Demand(1.0 + n, HOT if n < 9 else "c", 1, 10) for n in range(10)]
    options = RoutingOptions(**{switched: False})
    fair = fair_serving_order(items, lambda item: item, 1.0, 0.1, options)
    assert fair == serving_order(items, lambda item: item.due, 1.0, options)


dues = st.lists(st.floats(0, 50), max_size=40)


@given(dues, st.floats(0, 50), st.floats(0, 10))
def test_with_a_single_client_the_order_is_by_due_time_alone(times: list[float], earliest: float, rate: float) -> None:
    items = [Demand(due, "", 1, number) for number, due in enumerate(sorted(times))]
    assert fair_serving_order(items, lambda item: item, earliest, rate) == by_due(items, earliest)


@given(st.lists(st.tuples(st.floats(0, 50), st.sampled_from("abc"), st.integers(0, 9)), max_size=40), st.floats(0, 9))
def test_every_entry_is_served_once_and_what_is_kept_can_be_done(
    asked: list[tuple[float, str, int]], rate: float
) -> None:
    items = [Demand(due, client, size, size * 10) for due, client, size in sorted(asked)]
    served = fair_serving_order(items, lambda item: item, 5.0, rate)
    assert Counter(map(id, served)) == Counter(map(id, items))
    timely = [item for item in items if item.due >= 5.0]
    kept, behind = within_shares(timely, 5.0, rate)
    before = 0
    for number in kept if behind else []:
        before += timely[number].items
        assert 5.0 + (before - 1) / rate <= timely[number].due


@given(st.lists(st.tuples(st.floats(0, 50), st.sampled_from("abc"), st.integers(0, 9)), max_size=40), st.floats(0.1, 9))
def test_a_client_that_asks_for_no_more_than_its_equal_share_loses_nothing(
    asked: list[tuple[float, str, int]], rate: float
) -> None:
    items = [Demand(due, client, size, size * 10) for due, client, size in sorted(asked)]
    clients = {item.client for item in items}
    _, behind = within_shares(items, 0.0, rate)
    for client in clients:
        own = [item for item in items if item.client == client]
        # What can be started by each due time, by equal shares.
        shares = [(item.due, (item.due * rate + 1) / len(clients)) for item in items]
        if all(sum(item.items for item in own if item.due <= due) <= share for due, share in shares):
            assert not [number for number in behind if items[number].client == client]


def test_clients_take_turns_by_tokens() -> None:
    items = [Demand(0.0, HOT, 1, 10)] * 3 + [Demand(0.0, "c", 1, 25)] * 2
    assert [items[number].client for number in in_turns(range(5), items)] == [HOT, "c", HOT, HOT, "c"]

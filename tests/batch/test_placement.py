"""The order in which items are placed, and the pools and workers that they are placed on."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from postpass.batch.capacity import RouteCapacity
from postpass.batch.leased_items import LeasedItem, LeasedItems, WaitReason
from postpass.batch.placement import Placement, fair_order, prompt_prefix, weighted_pool
from postpass.configuration.header_names import Dialect
from postpass.feed.configuration_view import ConfigurationView
from postpass.routing.load_picture import LoadReport
from postpass.runtime.environment import Environment, now
from postpass.worker_api.openai import Prompt

WALL = 999.0  # seconds of the wall clock


def item(job: str, number: int, due: float, client: str) -> LeasedItem:
    return LeasedItem(0, job, number, "lot", due, Prompt((), ""), client)


def test_items_due_in_the_same_second_take_turns_by_client() -> None:
    items = [item("x", n, 5.2, "greedy") for n in range(3)] + [item("y", 0, 5.4, "other"), item("z", 0, 4.9, "other")]
    assert [(i.job, i.position) for i in fair_order(items)] == [("z", 0), ("x", 0), ("x", 1), ("y", 0), ("x", 2)]


def test_a_pool_is_chosen_by_weight_and_always_the_same_for_a_key() -> None:
    split = [("a", 3), ("b", 1), ("c", 0)]
    chosen = [weighted_pool(f"i{n}", split) for n in range(400)]
    assert chosen == [weighted_pool(f"i{n}", split) for n in range(400)]
    counts = Counter(chosen)
    assert set(counts) == {"a", "b"} and 250 < counts["a"] < 350


def test_the_first_part_of_a_prompt_is_its_prefix() -> None:
    name = Dialect().prompt
    assert prompt_prefix({name.upper(): "p1:40,p2:9"}, Dialect()) == "p1"
    assert prompt_prefix({name: "p1:40"}, Dialect()) == "" == prompt_prefix({}, Dialect())


POOL, ROUTE_NAME = "pool", "jobs"


@dataclass(eq=False)
class CrowdedFleet:
    """A placement over identical workers; counts how often the workers' load was looked up."""

    workers: int
    slots: int
    lookups: int = 0
    started: list[LeasedItem] = field(default_factory=list)

    def __post_init__(self) -> None:
        servers = {f"w{n}": {"url": "", "slots": self.slots, "area": "a"} for n in range(self.workers)}
        route = {"kind": "lot", "split": [{"pool": POOL, "weight": 1}]}
        self.configuration: Any = {"pools": {POOL: {"servers": servers}}, "routes": {ROUTE_NAME: route}}
        self.items = LeasedItems(leases={0: math.inf})
        self.capacity = RouteCapacity(live_load=self.live_load)
        view = ConfigurationView("s1")
        view.revision = 1
        runner: Any = SimpleNamespace(workers=object(), dialect=Dialect(), start_request=self.start_request)
        settings: Any = None
        environment = Environment(wall=lambda: 0.0)
        self.placement = Placement(settings, environment, view, self.items, self.capacity, runner)

    def live_load(self) -> LoadReport:
        self.lookups += 1
        return {}

    def start_request(self, configuration: Any, route: Any, item: LeasedItem) -> None:
        self.started.append(item)
        self.capacity.take_slot(item.pool, item.worker)
        item.start_run("run", asyncio.sleep(math.inf), lambda _: None)

    def add_waiting(self, count: int) -> None:
        for number in range(count):
            waiting_item = item("x", number, 9.0, "")
            waiting_item.item_class = f"route:{ROUTE_NAME}"
            waiting_item.request = {"id": f"i{number}", "path": "/", "headers": {}, "body": "", "tokens": 1}
            self.items.add(waiting_item)

    async def place(self) -> None:
        self.placement.place_requests(self.configuration)
        await asyncio.sleep(0)


@pytest.mark.parametrize("waiting", [1, 30, 500])
def test_the_load_at_the_workers_is_looked_up_once_however_many_items_wait(waiting: int) -> None:
    async def main() -> None:
        fleet = CrowdedFleet(workers=5, slots=4)
        fleet.add_waiting(waiting)
        await fleet.place()
        assert fleet.lookups == 1
        assert len(fleet.started) == min(waiting, 18), "a tenth of the 20 slots is kept for live requests"
        per_worker = Counter(started_item.worker for started_item in fleet.started)
        assert max(per_worker.values()) <= 4

    asyncio.run(main())


def test_items_that_wait_for_a_slot_are_placed_once_one_is_free() -> None:
    async def main() -> None:
        fleet = CrowdedFleet(workers=2, slots=5)
        fleet.add_waiting(12)
        await fleet.place()
        assert len(fleet.started) == 9 and len(fleet.items.waiting()) == 3
        await fleet.place()
        assert len(fleet.started) == 9
        ended = fleet.started[0]
        fleet.items.drop(ended)
        fleet.capacity.limits[(POOL, ended.worker)].running -= 1
        await fleet.place()
        assert len(fleet.started) == 10 and fleet.started[-1].worker == ended.worker

    asyncio.run(main())


def test_an_item_that_is_passed_over_tells_why() -> None:
    async def main() -> None:
        fleet = CrowdedFleet(workers=1, slots=4)
        fleet.add_waiting(7)
        no_route, too_new, no_lease, paused, no_pool, *others = fleet.items
        no_route.item_class, too_new.since, no_lease.partition = "route:gone", 9, 7
        paused.not_before = now() + 60
        fleet.configuration["routes"]["elsewhere"] = {"kind": "lot", "split": [{"pool": "gone", "weight": 1}]}
        no_pool.item_class = "route:elsewhere"
        await fleet.place()
        assert [waiting.wait_reason for waiting in (no_route, too_new, no_lease, paused, no_pool)] == [
            WaitReason.NO_ROUTE, WaitReason.OLD_CONFIGURATION, WaitReason.LEASE_EXPIRED, WaitReason.PAUSED, WaitReason.NO_POOL,
        ]  # fmt: skip
        assert fleet.started == others
        fleet.add_waiting(12)
        await fleet.place()
        assert {waiting.wait_reason for waiting in fleet.items.waiting() if waiting.position > 6} == {
            WaitReason.NO_FREE_SLOT
        }

    asyncio.run(main())


class CountingCapacity(RouteCapacity):
    """Counts how often the free slots of a pool were looked up."""

    lookups = 0

    def free(self, configuration: Any, pool: str) -> dict[str, int]:
        self.lookups += 1
        return super().free(configuration, pool)


def requests(*clients: str, due: float = WALL + 10) -> LeasedItems:
    """Returns one waiting item of a route for each client, each due a little later than the one before."""
    items = LeasedItems(leases={0: 1e12})
    for number, client in enumerate(clients):
        item = LeasedItem(0, f"j{number}", 0, "route:r", due + number / 1000, Prompt((), ""), client)
        item.request = {"id": f"i{number}", "path": "/x", "headers": {}, "body": "", "tokens": 100}
        items.add(item)
    return items


def place_items(items: LeasedItems, workers: int, slots: int) -> tuple[list[str], CountingCapacity]:
    """Returns the jobs whose items a placement run starts, and the capacity that it used."""

    class Runner:
        workers = object()
        dialect = Dialect()

        def start_request(self, _configuration: Any, _route: Any, item: LeasedItem) -> None:
            capacity.take_slot(item.pool, item.worker)
            item.start_run("run", asyncio.sleep(1.0), lambda _: None)

    capacity = CountingCapacity(usual_seconds=0.5)

    async def run() -> tuple[list[str], CountingCapacity]:
        servers = {f"w{number}": {"slots": slots, "area": "a"} for number in range(workers)}
        split = [{"pool": "gpu", "weight": 1}]
        configuration: Any = {"pools": {"gpu": {"servers": servers}}, "routes": {"r": {"kind": "lot", "split": split}}}
        settings: Any = SimpleNamespace(name="e", zone="a")
        clock: Any = SimpleNamespace(wall=lambda: WALL)
        view: Any = SimpleNamespace(revision=1)
        runner: Any = Runner()
        Placement(settings, clock, view, items, capacity, runner).place_requests(configuration)
        running = items.running()
        for item in running:
            assert item.task is not None
            item.task.cancel()
        return [item.job for item in running], capacity

    return asyncio.run(run())


def test_a_round_asks_for_the_free_slots_of_a_pool_once_however_many_items_wait() -> None:
    started, capacity = place_items(requests(*[""] * 200), workers=4, slots=8)
    assert started == [f"j{number}" for number in range(4 * 6)]  # three quarters of the slots, nearest due first
    assert capacity.lookups == 1 and {limit.running for limit in capacity.limits.values()} == {6}


def test_the_items_of_one_client_do_not_wait_behind_the_crowd_of_another() -> None:
    clients = ["hot"] * 200 + ["small"] * 5
    # In 24 slots, with half a second for each, 205 items take about 4 seconds.
    assert place_items(requests(*clients), workers=4, slots=8)[0] == [f"j{number}" for number in range(24)]
    started = place_items(requests(*clients, due=WALL + 2), workers=4, slots=8)[0]
    assert set(started) == {f"j{number}" for number in [*range(19), *range(200, 205)]}


def count_in_time(items: LeasedItems) -> int:
    """Returns how many waiting items a scheduler with 24 slots counts as those that can be done in time."""
    servers = {f"w{number}": {"slots": 8, "area": "a"} for number in range(4)}
    split = [{"pool": "gpu", "weight": 1}]
    configuration: Any = {"pools": {"gpu": {"servers": servers}}, "routes": {"r": {"kind": "lot", "split": split}}}
    clock: Any = SimpleNamespace(wall=lambda: WALL)
    none: Any = None
    placement = Placement(none, clock, none, items, RouteCapacity(usual_seconds=0.5), none)

    async def count() -> int:
        return placement.count_in_time(configuration, items.waiting())

    return asyncio.run(count())


def test_what_is_beyond_the_share_of_a_client_does_not_keep_out_the_items_of_others() -> None:
    alone, together = requests(*["hot"] * 200, due=WALL + 2), requests(*["hot"] * 200, "small", due=WALL + 2)
    assert count_in_time(alone) == 200 and count_in_time(together) < 100
    assert count_in_time(requests(*["hot"] * 50, "small", due=WALL + 2)) == 51

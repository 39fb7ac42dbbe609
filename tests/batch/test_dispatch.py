"""The dispatch loop: how often rounds and the runs between them take place, and that neither blocks the other."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from result import Err, Ok

from postpass.batch.dispatch import RUNS_PER_POLL, Dispatcher
from postpass.batch.leased_items import LeasedItems
from postpass.batch.messages import TakeResponse
from postpass.configuration.settings import Bounds
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import TIMED_OUT, Fault
from sim.loop import SimLoop, run_sim

PARTITIONS = 3
ROUND_TRIP = 0.005  # seconds that an owner takes to respond
DURATION_S = 4.0
BOUNDS = Bounds()


@dataclass(eq=False)
class WokenScheduler:
    """A dispatcher whose owners have no items; records when each owner was asked, and when items were placed.

    The owners of partitions in `silent` don't respond.
    """

    request_times: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    placement_times: list[float] = field(default_factory=list)
    silent: frozenset[int] = frozenset()
    round_trip: float = ROUND_TRIP

    def __post_init__(self) -> None:
        configuration = {
            "parts": PARTITIONS, "classes": {}, "pools": {"pool": {"servers": {"w": {"slots": 4}}}},
            "routes": {"jobs": {"kind": "lot", "split": [{"pool": "pool", "weight": 1}]}},
        }  # fmt: skip
        view: Any = SimpleNamespace(manifest=configuration, fresh=True)
        settings: Any = SimpleNamespace(name="s1", bounds=BOUNDS)
        election: Any = SimpleNamespace(active=True, leaving=False, term=1)
        capacity: Any = SimpleNamespace(forget_removed=lambda _: None, free=lambda *_: {"w": 4})
        placement: Any = SimpleNamespace(
            runner=SimpleNamespace(workers=object()), earliest_due=0.0, place_prompts=lambda *_: None,
            place_requests=lambda _: self.placement_times.append(now()), count_in_time=lambda _, items: len(items),
        )  # fmt: skip
        owners: Any = SimpleNamespace(ask=self.ask)
        unused: Any = None
        self.dispatcher = Dispatcher(
            settings, Environment(), view, election, owners, LeasedItems(), unused, capacity, placement, unused,
            asyncio.Event(),
        )  # fmt: skip

    async def ask(self, partition: int, verb: str, body: Body, wait: float) -> PeerResponse:
        self.request_times[partition].append(now())
        if partition in self.silent:
            await asyncio.sleep(wait)
            return Err(Fault(verb, "o1", "no answer in time", TIMED_OUT))
        await asyncio.sleep(self.round_trip)
        return Ok(TakeResponse([], [], {}).as_json())

    async def run(self, wake_interval: float, woken_partitions: set[int]) -> None:
        """Runs the dispatch loop for `DURATION_S`, woken at each interval by the owners of these partitions."""
        task = asyncio.create_task(self.dispatcher.run())
        until = now() + DURATION_S
        while now() < until:
            self.dispatcher.woken_partitions |= woken_partitions
            self.dispatcher.wake.set()
            await asyncio.sleep(wake_interval)
        task.cancel()


def test_owners_that_wake_the_scheduler_all_the_time_keep_it_from_no_other_owners_lease() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler()
        await scheduler.run(ROUND_TRIP / 5, {0})
        for partition in range(PARTITIONS):
            times = [0.0, *scheduler.request_times[partition], DURATION_S]
            longest = max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
            assert longest < BOUNDS.item_lease / 2, (
                f"the lease of partition {partition} was not renewed for {longest} s"
            )

    run_sim(main, 1)


def test_however_often_the_scheduler_is_woken_it_places_items_a_bounded_number_of_times() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler()
        await scheduler.run(0.001, set())
        runs = DURATION_S / BOUNDS.scheduling_pause * (RUNS_PER_POLL + 2)
        assert len(scheduler.placement_times) <= runs
        assert len(scheduler.placement_times) >= runs / 2, "the loop must keep placing items"

    run_sim(main, 1)


def test_a_wake_up_after_a_quiet_time_is_served_at_once() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler()
        task = asyncio.create_task(scheduler.dispatcher.run())
        await asyncio.sleep(BOUNDS.scheduling_pause * 1.5)
        before = now()
        scheduler.placement_times.clear()
        scheduler.dispatcher.wake.set()
        await asyncio.sleep(0.001)
        assert scheduler.placement_times and scheduler.placement_times[0] - before < 0.001
        task.cancel()

    run_sim(main, 1)


def test_an_owner_that_gives_no_answer_keeps_no_items_of_others_from_free_slots() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler(silent=frozenset({1}))
        await scheduler.run(ROUND_TRIP * 2, {0})
        times = [0.0, *scheduler.placement_times, DURATION_S]
        longest = max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
        assert longest < BOUNDS.scheduling_pause / 2, f"nothing was placed for {longest} s"
        for partition in (0, 2):
            times = [0.0, *scheduler.request_times[partition], DURATION_S]
            longest = max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
            assert longest < BOUNDS.scheduling_pause * 1.5, (
                f"the lease of partition {partition} was not renewed for {longest} s"
            )

    run_sim(main, 1)


def test_an_owner_is_asked_no_second_time_before_it_answered_or_the_time_for_it_is_over() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler(silent=frozenset({1}))
        await scheduler.run(ROUND_TRIP * 2, {0, 1})
        times = scheduler.request_times[1]
        assert len(times) >= DURATION_S / (BOUNDS.scheduling_pause * 2) - 1
        assert all(
            later - earlier >= BOUNDS.scheduling_pause * 2 for earlier, later in zip(times, times[1:], strict=False)
        )

    run_sim(main, 1)


def test_an_owner_that_has_something_new_while_it_is_slow_to_answer_is_asked_again_right_after() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler(round_trip=BOUNDS.scheduling_pause / 3)
        task = asyncio.create_task(scheduler.dispatcher.run())
        while not scheduler.request_times[0]:
            await asyncio.sleep(ROUND_TRIP)
        await asyncio.sleep(BOUNDS.scheduling_pause / 4)
        scheduler.dispatcher.woken_partitions.add(0)
        scheduler.dispatcher.wake.set()
        await asyncio.sleep(BOUNDS.scheduling_pause / 4)
        assert len(scheduler.request_times[0]) == 2 and len(scheduler.request_times[1]) == 1
        task.cancel()

    run_sim(main, 1)


def test_a_loop_that_is_cancelled_asks_no_owner_any_more() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler(silent=frozenset({1}))
        before = asyncio.all_tasks()
        task = asyncio.create_task(scheduler.dispatcher.run())
        await asyncio.sleep(BOUNDS.scheduling_pause * 1.5)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert task.cancelled() and asyncio.all_tasks() == before

    run_sim(main, 1)


def test_what_a_round_started_has_begun_before_the_next_round_may_recall_it() -> None:
    async def main(loop: SimLoop) -> None:
        scheduler = WokenScheduler()
        begun: list[bool] = []
        seen: list[bool] = []

        async def item() -> None:
            begun.append(True)

        def place(*_: object) -> None:
            tasks.append(asyncio.create_task(item()))

        def forget(_: object) -> None:
            # A round starts with this, and it is rounds that recall items.
            seen.append(len(begun) == len(tasks))

        tasks: list[asyncio.Task[None]] = []
        fakes: Any = scheduler.dispatcher
        fakes.placement.place_requests = place
        fakes.route_capacity.forget_removed = forget
        scheduler.round_trip = BOUNDS.scheduling_pause * 2  # a round takes longer than the interval between rounds
        task = asyncio.create_task(scheduler.dispatcher.run())
        await asyncio.sleep(DURATION_S)
        task.cancel()
        assert len(seen) > 3 and all(seen)

    run_sim(main, 1)

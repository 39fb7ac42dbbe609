"""However the task of an item's run ends, the item waits again and its slot is free again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from postpass.batch.leased_items import LeasedItem
from postpass.batch.scheduler import Scheduler
from postpass.runtime import log_events
from sim.loop import Host, SimLoop, run_sim
from tests.support.answers import Record, StandInWorker
from tests.support.item_answers import ItemScene, Told, leased_items_of, scheduler

TASK_FAILED = 103


def with_one_worker(main: Callable[[Scheduler, LeasedItem, Told], Awaitable[None]]) -> None:
    """Runs `main` with a scheduler that holds one item and has one sound worker."""

    async def world(loop: SimLoop) -> None:
        told = Told(Record(), loop.errors)
        there, here = loop.add(Host("w1", ("127.0.1.1",), "a")), loop.add(Host("e", ("127.0.0.1",), "a"))
        await loop.create_task(StandInWorker("w1", (), told.record).serve("127.0.1.1"), context=there.context())
        item = leased_items_of(ItemScene((), (1,)))[0]

        async def run() -> None:
            item_scheduler = scheduler(told, ["w1"], 0)
            item_scheduler.items.add(item)
            await main(item_scheduler, item, told)

        await loop.create_task(run(), context=here.context())

    run_sim(world)


def place(item_scheduler: Scheduler) -> None:
    configuration = item_scheduler.configuration_view.manifest
    assert configuration is not None
    item_scheduler.placement.place_requests(configuration)


def slots_taken(item_scheduler: Scheduler) -> int:
    return sum(limit.running for limit in item_scheduler.route_capacity.limits.values())


def test_a_run_that_is_cancelled_before_its_first_step_keeps_neither_item_nor_slot() -> None:
    async def main(item_scheduler: Scheduler, item: LeasedItem, told: Told) -> None:
        place(item_scheduler)
        assert item.task is not None
        item.task.cancel()
        await asyncio.sleep(0.1)
        assert not item.is_running and slots_taken(item_scheduler) == 0
        place(item_scheduler)
        item_scheduler.items.drop(item)
        await asyncio.sleep(0.1)
        assert slots_taken(item_scheduler) == 0 and told.record.runs == []

    with_one_worker(main)


def test_a_run_that_ends_with_an_unexpected_error_keeps_neither_item_nor_slot() -> None:
    async def main(item_scheduler: Scheduler, item: LeasedItem, told: Told) -> None:
        async def fail(*_: Any) -> Any:
            raise ValueError("not expected")

        runner: Any = item_scheduler.runner
        send_request, runner.send_request = runner.send_request, fail
        failures = log_events.COUNTS[TASK_FAILED]
        place(item_scheduler)
        await asyncio.sleep(0.1)
        assert not item.is_running and slots_taken(item_scheduler) == 0
        assert log_events.COUNTS[TASK_FAILED] == failures + 1
        runner.send_request = send_request
        await asyncio.sleep(item_scheduler.settings.bounds.scheduling_pause)
        place(item_scheduler)
        await asyncio.sleep(1)
        assert len(told.results) == 1 and not item_scheduler.items

    with_one_worker(main)

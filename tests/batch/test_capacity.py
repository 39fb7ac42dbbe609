"""Tests of postpass.batch.capacity."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from postpass.batch.capacity import RouteCapacity, TakenSlot, batch_slots
from postpass.batch.run_progress import RunProgress
from postpass.routing.options import RoutingOptions
from sim.loop import SimLoop, run_sim

SLOTS = 4
WORKERS = ("w0", "w1", "w2")
CONFIGURATION: Any = {"pools": {"gpu": {"servers": {name: {"slots": SLOTS, "area": "a"} for name in WORKERS}}}}


def test_batch_takes_what_live_leaves_and_never_less_than_its_own() -> None:
    assert batch_slots(8, 1, 0, 0, True) == 8
    assert batch_slots(8, 1, 3, 1, True) == 4
    assert batch_slots(8, 1, 8, 2, True) == 1
    assert batch_slots(8, 1, 0, 0, False) == 0


class IdlePool:
    """Workers without live requests, and the runs of items that were begun there."""

    def __init__(self) -> None:
        self.capacity = RouteCapacity(live_load=dict, options=RoutingOptions(live_reserve=0.0))

    def free(self) -> tuple[int, ...]:
        free = self.capacity.free(CONFIGURATION, "gpu")
        return tuple(free[name] for name in WORKERS)

    def begin(self, worker: str) -> tuple[TakenSlot, RunProgress]:
        slot, progress = self.capacity.take_slot("gpu", worker), RunProgress.begin()
        slot.watch(progress)
        return slot, progress

    async def fall_silent(self, worker: str, runs: int = 1) -> None:
        """Begins runs that the worker leaves without a byte, and gives them up after a second."""
        begun = [self.begin(worker) for _ in range(runs)]
        await asyncio.sleep(1)
        for slot, progress in begun:
            slot.limit.record_silence(progress)
            slot.release()


def on_idle_pool(main: Callable[[IdlePool], Awaitable[None]]) -> None:
    async def world(_loop: SimLoop) -> None:
        pool = IdlePool()
        assert pool.free() == (SLOTS,) * 3
        await main(pool)

    run_sim(world)


def test_a_worker_that_sends_nothing_in_any_run_gets_one_trial_at_a_time() -> None:
    async def main(pool: IdlePool) -> None:
        _, earlier = pool.begin("w0")
        await pool.fall_silent("w0", runs=2)
        assert pool.free() == (1, SLOTS, SLOTS)
        await asyncio.sleep(1)
        slot, trial = pool.begin("w0")
        assert pool.free() == (0, SLOTS, SLOTS)
        trial.record_received()
        assert pool.free() == (SLOTS - 2, SLOTS, SLOTS)
        slot.release()
        assert pool.free() == (SLOTS - 1, SLOTS, SLOTS)

    on_idle_pool(main)


def test_a_lost_answer_takes_no_room_from_a_worker_that_answers_others() -> None:
    async def main(pool: IdlePool) -> None:
        _, other = pool.begin("w0")
        silent_slot, silent = pool.begin("w0")
        await asyncio.sleep(1)
        other.record_received()
        silent_slot.limit.record_silence(silent)
        silent_slot.release()
        assert pool.free() == (SLOTS - 1, SLOTS, SLOTS)

    on_idle_pool(main)


def test_where_most_workers_lose_answers_none_of_them_is_shut() -> None:
    async def main(pool: IdlePool) -> None:
        await pool.fall_silent("w0")
        await pool.fall_silent("w1", runs=SLOTS)
        assert pool.free() == (SLOTS,) * 3

    on_idle_pool(main)

"""What waiting items cost the stores, and running items the active scheduler."""

from __future__ import annotations

import asyncio
import gc
import logging as pylog
from dataclasses import replace

from bench.capacity.meter import Row, metered, resident_bytes
from bench.capacity.simulated_fleet import FOUNDING_LIMIT, active_schedulers, announced_fleet
from postpass.routing.options import DEFAULT_OPTIONS
from sim.announced import Sizes
from sim.hollow import hand_in, patient
from sim.loop import SimLoop, run_sim
from sim.workers import Engine

ITEMS_PER_JOB = 200
SETTLE = 6.0  # seconds
ACCEPTED = 202
DISK_LIMIT = 1 << 30  # bytes
WORKERS = 8  # that run the items of `running_row`
FILL = 12.0  # seconds until so many items run


def backlog_row(items: int, span: float = 6.0) -> Row:
    """What so many waiting items, in jobs of 200, cost the stores while hardly any can run."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=4, cores=3, zones=4, models=1, plains=2, slots=1)
        fleet = announced_fleet(loop, sizes, Engine(pace=1.0), disk_cap=DISK_LIMIT)
        kind = fleet.kinds["batch"] = replace(patient(fleet.kinds["batch"]), size=(5, 5), shared=(10, 50), own=50)
        await fleet.found_announced(FOUNDING_LIMIT)
        await asyncio.sleep(SETTLE)
        refused = 0
        before = resident_bytes()
        for _ in range(items // ITEMS_PER_JOB):
            status, _ = await fleet.out(hand_in(fleet, kind, fleet.clients.make_lot(kind, ITEMS_PER_JOB)))
            refused += status != ACCEPTED
        await asyncio.sleep(3.0)
        gc.collect()
        stores = [machine.name for machine in fleet.of("store")]
        with metered() as meter:
            await asyncio.sleep(span)
            cost = meter.cost(stores, span)
            verbs = meter.by_verb(stores, span)
        return {
            "waiting": items,
            "refused": refused,
            "memory": resident_bytes() - before,
            "stores_cpu_ms": cost["cpu_ms"] * len(stores),
            "sent": cost["sent"],
            "verbs": verbs,
        }

    row: Row = run_sim(main, 1)
    return row


def running_row(running: int, span: float = 6.0) -> Row:
    """What so many running items cost the one active scheduler; each has an event a second."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        slots = -(-running * 4 // 3 // WORKERS)
        sizes = Sizes(edges=2, stores=4, cores=3, zones=4, models=WORKERS, plains=2, slots=slots)
        fleet = announced_fleet(loop, sizes, Engine(pace=1.0, crowd=0.0))
        slow = patient(fleet.kinds["batch"], True)
        kind = fleet.kinds["batch"] = replace(slow, size=(40, 40), shared=(10, 50), own=50)
        await fleet.found_announced(FOUNDING_LIMIT)
        await asyncio.sleep(SETTLE)
        schedulers = active_schedulers(fleet)
        active = list(schedulers)
        # The reserve leaves room for just so many items; the half keeps rounding out of it.
        reserve = 1 - (running - 0.5) / (slots * WORKERS)
        for scheduler in schedulers.values():
            scheduler.route_capacity.options = replace(DEFAULT_OPTIONS, live_reserve=reserve)
        with metered() as meter:
            await asyncio.sleep(span)
            idle = meter.cost(active, span)
            for _ in range(-(-running // ITEMS_PER_JOB) + 1):
                await fleet.out(hand_in(fleet, kind, fleet.clients.make_lot(kind, ITEMS_PER_JOB)))
            await asyncio.sleep(FILL)
            meter.reset()
            await asyncio.sleep(span)
            cost = meter.cost(active, span)
        items = [item for scheduler in schedulers.values() for item in scheduler.items]
        return {
            "running": sum(item.is_running for item in items),
            "held": len(items),
            "cpu_ms": cost["cpu_ms"] - idle["cpu_ms"],
            "sent": cost["sent"] - idle["sent"],
        }

    row: Row = run_sim(main, 1)
    return row

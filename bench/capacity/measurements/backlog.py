"""What waiting and running items cost."""

from __future__ import annotations

import asyncio
import gc
import logging as pylog
from dataclasses import replace

from bench.capacity.meter import Row, metered, resident_bytes
from bench.capacity.simulated_fleet import active_schedulers
from sim.announced import AnnouncedFleet, Sizes
from sim.hollow import hand_in, patient
from sim.loop import SimLoop, run_sim
from sim.workers import Engine


def backlog_row(items: int, span: float = 6.0) -> Row:
    """What so many waiting items, in lots of 200, cost the stores while hardly any can run."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=4, cores=3, zones=4, models=1, plains=2, slots=1)
        fleet = AnnouncedFleet(
            loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=1.0), disk_cap=1 << 30
        )
        kind = fleet.kinds["batch"] = replace(patient(fleet.kinds["batch"]), size=(5, 5), shared=(10, 50), own=50)
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)
        refused = 0
        before = resident_bytes()

        for _ in range(items // 200):
            status, _ = await fleet.out(hand_in(fleet, kind, fleet.clients.make_lot(kind, 200)))
            refused += status != 202
        await asyncio.sleep(3.0)
        gc.collect()
        stores = [m.name for m in fleet.of("store")]
        with metered() as meter:
            await asyncio.sleep(span)
            cost = meter.cost(stores, span)
            verbs = meter.by_verb(stores, span)
        return {"waiting": items, "refused": refused, "memory": resident_bytes() - before, "stores_cpu_ms": cost["cpu_ms"] * len(stores),
                "sent": cost["sent"], "verbs": verbs}  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


def running_row(running: int, span: float = 6.0) -> Row:
    """What so many running items cost the one active scheduler; each has an event a second."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        # Three quarters of a worker's slots go to items.
        slots = -(-running * 4 // 3 // 8)
        sizes = Sizes(edges=2, stores=4, cores=3, zones=4, models=8, plains=2, slots=slots)
        fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=1.0, crowd=0.0))
        kind = fleet.kinds["batch"] = replace(
            patient(fleet.kinds["batch"], True), size=(40, 40), shared=(10, 50), own=50
        )
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)

        schedulers = active_schedulers(fleet)
        active = list(schedulers)
        with metered() as meter:
            await asyncio.sleep(span)
            quiet = meter.cost(active, span)
            for _ in range(-(-running // 200) + 1):
                await fleet.out(hand_in(fleet, kind, fleet.clients.make_lot(kind, 200)))
            await asyncio.sleep(12.0)
            meter.reset()
            await asyncio.sleep(span)
            cost = meter.cost(active, span)
        items = [item for scheduler in schedulers.values() for item in scheduler.items]
        return {"running": sum(item.is_running for item in items), "held": len(items), "cpu_ms": cost["cpu_ms"] - quiet["cpu_ms"],
                "sent": cost["sent"] - quiet["sent"]}  # fmt: skip

    row: Row = run_sim(main, 1)
    return row

"""What live requests cost at an edge."""

from __future__ import annotations

import asyncio
import logging as pylog
from dataclasses import replace

from bench.capacity.meter import Row, metered
from bench.capacity.simulated_fleet import FOUNDING_LIMIT, announced_fleet
from sim.announced import Sizes
from sim.loop import SimLoop, run_sim
from sim.workers import Engine

SETTLE = 4.0  # seconds
IDLE = 5.0  # seconds for which the edges are watched without requests


def stream_row(size: int, models: int = 8, rate: float = 12.0, span: float = 10.0) -> Row:
    """Resumable streams of so many events each; the processor time of the edges for them."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=4, cores=3, zones=2, models=models, plains=2, slots=32)
        fleet = announced_fleet(loop, sizes, Engine(pace=0.02, crowd=0.0))
        await fleet.found_announced(FOUNDING_LIMIT)
        await asyncio.sleep(SETTLE)
        edges = [machine.name for machine in fleet.of("edge")]
        ask = fleet.kinds["ask"]
        fleet.clients.kinds["ask"] = replace(ask, size=(size, size), shared=(30, 100), own=50, deadline=30.0)
        with metered() as meter:
            await asyncio.sleep(IDLE)
            idle = meter.cost(edges, 1.0)["cpu_ms"] * len(edges) / IDLE
            meter.reset()
            began = loop.clock
            await fleet.out(fleet.clients.load({"ask": rate}, (0.0, 1), span, lambda: 1.0))
            took = loop.clock - began
            spent = meter.cost(edges, 1.0)["cpu_ms"] * len(edges)
        served = [event for event in fleet.events if event["ev"] == "served"]
        return {
            "events": size,
            "workers": models,
            "requests": len(served),
            "good": sum(event["good"] for event in served),
            "cpu_ms": (spent - idle * took) / max(1, len(served)),
        }

    row: Row = run_sim(main, 1)
    return row

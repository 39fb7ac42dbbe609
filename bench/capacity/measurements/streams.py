"""What live requests cost at an edge."""

from __future__ import annotations

import asyncio
import logging as pylog
from dataclasses import replace

from bench.capacity.meter import Row, metered
from sim.announced import AnnouncedFleet, Sizes
from sim.loop import SimLoop, run_sim
from sim.workers import Engine


def stream_row(size: int, models: int = 8, rate: float = 12.0, span: float = 10.0) -> Row:
    """Resumable streams of so many events each; the processor time of the edges for them."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=4, cores=3, zones=2, models=models, plains=2, slots=32)
        fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=0.02, crowd=0.0))
        await fleet.found_announced(8.0)
        await asyncio.sleep(4.0)
        edges = [m.name for m in fleet.of("edge")]
        ask = fleet.kinds["ask"]
        fleet.clients.kinds["ask"] = replace(ask, size=(size, size), shared=(30, 100), own=50, deadline=30.0)
        with metered() as meter:
            await asyncio.sleep(5.0)
            idle = meter.cost(edges, 1.0)["cpu_ms"] * len(edges) / 5.0
            meter.reset()
            at = loop.clock
            await fleet.out(fleet.clients.load({"ask": rate}, (0.0, 1), span, lambda: 1.0))
            took = loop.clock - at
            spent = meter.cost(edges, 1.0)["cpu_ms"] * len(edges)
        done = [e for e in fleet.events if e["ev"] == "served"]
        return {"events": size, "workers": models, "requests": len(done), "good": sum(e["good"] for e in done),
                "cpu_ms": (spent - idle * took) / max(1, len(done))}  # fmt: skip

    row: Row = run_sim(main, 1)
    return row

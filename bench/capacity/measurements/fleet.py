"""What a quiet fleet costs by role, and one change of its configuration."""

from __future__ import annotations

import asyncio
import gc
import json
import logging as pylog
import os
import subprocess
import sys
import time
from typing import Any

from bench.capacity.meter import Row, metered, resident_bytes
from bench.capacity.simulated_fleet import active_schedulers, more_routes, roles, sizes_of
from sim.announced import AnnouncedFleet
from sim.loop import SimLoop, run_sim

CHANGES = 8


def fleet_row(daemons: int = 16, workers: int = 20, routes: int = 9, span: float = 6.0) -> Row:
    """One quiet fleet for `span` simulated seconds, then some changes of a route."""
    pylog.disable(pylog.CRITICAL)
    began = time.time()

    async def main(loop: SimLoop) -> Row:
        before = resident_bytes()
        fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=sizes_of(daemons, workers))
        whole = more_routes(fleet.first_config(), routes)
        fleet.first_config = lambda: whole  # type: ignore[method-assign]
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)
        gc.collect()
        memory = resident_bytes() - before
        with metered() as meter:
            crew = roles(fleet)
            await asyncio.sleep(span)
            rest = {k: meter.cost(v, span) | {"verbs": meter.by_verb(v, span)} for k, v in crew.items()}
            active = active_schedulers(fleet)
            stores = [{"store": n, "schedules": n in active} | meter.cost([n], span) for n in crew["store"]]
            meter.reset()
            at, told, answers = loop.clock, [], []
            for _ in range(CHANGES):
                asked = loop.clock
                answers.append(await fleet.out(fleet.operator.retime()))
                told.append(loop.clock - asked)
                await asyncio.sleep(0.7)
            if set(answers) != {200}:
                raise RuntimeError(f"changes were answered by {answers}")
            change = {k: meter.cost(v, CHANGES) for k, v in crew.items()}
            watched = (loop.clock - at) / CHANGES
        lead: Any = fleet.boxes[crew["primary"][0]].daemon
        configuration = lead.replicated_state.state.configuration
        return {
            "daemons": daemons, "workers": workers, "routes": routes, "known": sum(len(p["servers"]) for p in configuration["pools"].values()),
            "machines": len(configuration["machines"]), "edition": lead.replicated_state.state.revision, "manifest": len(json.dumps(configuration)),
            "state": len(lead.replicated_state.dump()), "memory": memory, "rest": rest, "stores": stores, "change": change, "change_span": watched, "told": max(told), "answers": answers, "seconds": round(time.time() - began, 1),
        }  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


def program_row() -> Row:
    """Resident memory of a process that has loaded the program of the platform's folder and does nothing."""
    code = "import sys; sys.path.append('platform'); import resident; print(open('/proc/self/statm').read().split()[1])"
    pages = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True).stdout
    return {"resident": int(pages) * os.sysconf("SC_PAGE_SIZE")}

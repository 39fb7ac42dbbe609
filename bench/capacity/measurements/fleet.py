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
from dataclasses import dataclass

from bench.capacity.meter import Meter, Row, metered, resident_bytes
from bench.capacity.simulated_fleet import (
    FOUNDING_LIMIT,
    active_schedulers,
    announced_fleet,
    fleet_sizes,
    primary_of,
    roles,
    set_route_count,
)
from sim.announced import AnnouncedFleet
from sim.loop import SimLoop, run_sim

CHANGES = 8
CHANGE_GAP = 0.7  # seconds from the answer to one change until the next
SETTLE = 6.0  # seconds
ACCEPTED = 200


def fleet_row(daemons: int = 16, workers: int = 20, routes: int = 9, span: float = 6.0) -> Row:
    """One quiet fleet for `span` simulated seconds, then some changes of a route."""
    pylog.disable(pylog.CRITICAL)
    began = time.time()

    async def main(loop: SimLoop) -> Row:
        before = resident_bytes()
        fleet = announced_fleet(loop, fleet_sizes(daemons, workers))
        set_route_count(fleet, routes)
        await fleet.found_announced(FOUNDING_LIMIT)
        await asyncio.sleep(SETTLE)
        gc.collect()
        memory = resident_bytes() - before
        with metered() as meter:
            members = roles(fleet)
            rest = await _rest(fleet, meter, members, span)
            changes = await _changes(loop, fleet, meter, members)
        return (
            {"daemons": daemons, "workers": workers, "routes": routes}
            | _state_sizes(fleet)
            | {"memory": memory}
            | rest
            | changes.as_row()
            | {"seconds": round(time.time() - began, 1)}
        )

    row: Row = run_sim(main, 1)
    return row


async def _rest(fleet: AnnouncedFleet, meter: Meter, members: dict[str, list[str]], span: float) -> Row:
    """What each role costs while nothing happens, and each store by itself."""
    await asyncio.sleep(span)
    rest = {role: meter.cost(names, span) | {"verbs": meter.by_verb(names, span)} for role, names in members.items()}
    active = active_schedulers(fleet)
    stores = [{"store": name, "schedules": name in active} | meter.cost([name], span) for name in members["store"]]
    return {"rest": rest, "stores": stores}


@dataclass(frozen=True)
class Changes:
    """What changes by an operator cost, and how they were answered. Times are in simulated seconds."""

    cost: Row  # of one change, by role
    span: float  # watched for each change
    latencies: list[float]
    answers: list[int]

    def as_row(self) -> Row:
        """As the report reads it."""
        return {
            "change": self.cost, "change_span": self.span, "told": max(self.latencies), "answers": self.answers,
        }  # fmt: skip


async def _changes(loop: SimLoop, fleet: AnnouncedFleet, meter: Meter, members: dict[str, list[str]]) -> Changes:
    meter.reset()
    began = loop.clock
    latencies: list[float] = []
    answers: list[int] = []
    for _ in range(CHANGES):
        asked = loop.clock
        answers.append(await fleet.out(fleet.operator.retime()))
        latencies.append(loop.clock - asked)
        await asyncio.sleep(CHANGE_GAP)
    if set(answers) != {ACCEPTED}:
        raise RuntimeError(f"changes were answered by {answers}")
    cost = {role: meter.cost(names, CHANGES) for role, names in members.items()}
    return Changes(cost, (loop.clock - began) / CHANGES, latencies, answers)


def _state_sizes(fleet: AnnouncedFleet) -> Row:
    """The size of control's state, by the primary."""
    replicated_state = primary_of(fleet).replicated_state
    assert replicated_state is not None  # a primary holds the state
    configuration = replicated_state.state.configuration
    assert configuration is not None  # the fleet is founded
    return {
        "known": sum(len(pool["servers"]) for pool in configuration["pools"].values()),
        "machines": len(configuration["machines"]),
        "edition": replicated_state.state.revision,
        "manifest": len(json.dumps(configuration)),
        "state": len(replicated_state.dump()),
    }


def program_row() -> Row:
    """Resident memory of a process that has loaded the program of the platform's folder and does nothing."""
    code = "import sys; sys.path.append('platform'); import resident; print(open('/proc/self/statm').read().split()[1])"
    pages = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True).stdout
    return {"resident": int(pages) * os.sysconf("SC_PAGE_SIZE")}

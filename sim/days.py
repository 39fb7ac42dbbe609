"""Runs days of announced fleets: a fleet is started, gets traffic and faults, is read back, and checked against the rules."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sim.announced import AnnouncedFleet, Compose, product
from sim.day_plan import Plan
from sim.deferred import Later, later_on
from sim.loop import SimLoop
from sim.rules import EVER, Day, breaches


async def run_day(
    loop: SimLoop, plan: Plan, seed: int, span: float, settle: float, script: Callable[[AnnouncedFleet, Later], Coroutine[Any, Any, None]],
    make: Callable[[Any], None] | None = None, compose: Compose = product, disk: int = 64 << 20, release: str = "",
    prepare: Callable[[AnnouncedFleet], None] | None = None,
) -> tuple[AnnouncedFleet, dict[str, list[str]]]:  # fmt: skip
    """Starts a fleet, sends it traffic while the script causes faults, reads all data back, and checks the history.

    Args:
        loop: the simulated event loop that it runs on.
        plan: the fleet and its load.
        seed: of all random draws.
        span: how long there is traffic, in seconds.
        settle: seconds that jobs then have to finish.
        script: causes faults and planned work while there is traffic.
        make: applies settings of the simulator to each new daemon.
        compose: builds the daemons of a machine.
        disk: the capacity of each disk, in bytes.
        release: the release that all machines run.
        prepare: called with the fleet before it starts.

    Returns:
        The fleet after the day, and the violations, by rule.
    """
    fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, seed, make=make, disk_cap=disk, sizes=plan.sizes, compose=compose,
                           platform_bounds=plan.bounds, release=release)  # fmt: skip
    if prepare is not None:
        prepare(fleet)

    for word, delay in plan.late.items():
        fleet.late[fleet.pick(word)] = delay
    await fleet.found_announced(plan.lead)
    fleet.traffic_began = loop.clock
    fleet.rates = dict(plan.rates)
    script_task = loop.create_task(script(fleet, later_on(loop)))
    probe_task = fleet.out(fleet.probe())
    await fleet.out(fleet.clients.load(plan.rates, plan.lots, span, lambda: fleet.traffic_factor))
    await script_task
    await asyncio.sleep(max(0.0, fleet.traffic_began + span - loop.clock))
    probe_task.cancel()
    fleet.log({"ev": "traffic_over"})
    await fleet.out(wait_for_all(fleet.operator.read_back(), fleet.clients.audit(settle)))
    await record_replicas(fleet)
    core, stores = (frozenset(machine.name for machine in fleet.of(kind, gone=True)) for kind in ("core", "store"))
    day = Day(fleet.events, fleet.limits, core, stores, fleet.closing_at or EVER)
    return fleet, breaches(day)


async def record_replicas(fleet: AnnouncedFleet) -> None:
    """Records the owner and records of each partition twice, a second apart."""
    for pause in (1.0, 0.0):
        fleet.log_replicas()
        await asyncio.sleep(pause)


async def wait_for_all(*coros: Coroutine[Any, Any, None]) -> None:
    """Runs several coroutines at the same time, and waits for all."""
    await asyncio.gather(*coros)

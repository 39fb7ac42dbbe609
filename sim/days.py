"""Days of announced fleets: founded, under traffic and faults, read back, and held against the rules."""

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
    """Founds a fleet, plays traffic with what the script causes, reads everything back, and holds the history against
    the rules.

    Args:
        loop: on which it runs.
        plan: the fleet and its load.
        seed: of all that is drawn by chance.
        span: for how many seconds there is traffic.
        settle: how many seconds jobs have afterwards to come to their end.
        script: causes faults and planned work while there is traffic.
        make: lays settings of the simulator on each new daemon.
        compose: builds the daemons of a machine.
        disk: the capacity of each disk, in bytes.
        release: that all machines run.
        prepare: is called with the fleet before it is founded.

    Returns:
        The fleet after the day, and what breaks the rules, by rule.
    """
    fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, seed, make=make, disk_cap=disk, sizes=plan.sizes, compose=compose,
                           platform_bounds=plan.bounds, release=release)  # fmt: skip
    if prepare is not None:
        prepare(fleet)

    for word, late in plan.late.items():
        fleet.late[fleet.pick(word)] = late
    await fleet.found_announced(plan.lead)
    fleet.began = loop.clock
    fleet.rates = dict(plan.rates)
    causes = loop.create_task(script(fleet, later_on(loop)))
    probes = fleet.out(fleet.probe())
    await fleet.out(fleet.clients.load(plan.rates, plan.lots, span, lambda: fleet.jump))
    await causes
    await asyncio.sleep(max(0.0, fleet.began + span - loop.clock))
    probes.cancel()
    fleet.log({"ev": "traffic_over"})
    await fleet.out(together(fleet.operator.read_back(), fleet.clients.audit(settle)))
    await look_at_replicas(fleet)
    core, stores = (frozenset(machine.name for machine in fleet.of(kind, gone=True)) for kind in ("core", "store"))
    day = Day(fleet.events, fleet.limits, core, stores, fleet.closing or EVER)
    return fleet, breaches(day)


async def look_at_replicas(fleet: AnnouncedFleet) -> None:
    """Records who owns which partition, with what, twice at a second's distance."""
    for pause in (1.0, 0.0):
        fleet.log_replicas()
        await asyncio.sleep(pause)


async def together(*coros: Coroutine[Any, Any, None]) -> None:
    """Waits for several at once."""
    await asyncio.gather(*coros)

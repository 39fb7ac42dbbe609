"""The main job: clients of all classes at a deployment's rates, meanwhile faults if asked for, and an audit at the end."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from enum import Enum

import aiohttp

from bench.clients import Callers, Load
from bench.fleet.faults import FaultInjector
from bench.fleet.processes import EDGE, Fleet
from bench.fleet.report import PROBE_RATE

START = 2.0  # seconds until the processes listen
AUDIT_LIMIT = 60.0  # seconds
PROBE_COUNT = 10_000_000  # the probes' requests are numbered from here on


class Trouble(Enum):
    """What is caused while the clients call, and how long they call before it, in seconds."""

    NONE = 0.0
    FAULTS = 3.0
    WIPE = 8.0


@dataclass(frozen=True)
class MainJob:
    """One run: for how many seconds the clients call if there is no trouble, and what is caused meanwhile."""

    fleet: Fleet
    seconds: float
    trouble: Trouble
    notes: list[str]

    async def run(self) -> None:
        """Starts the fleet, applies its configuration, and runs the clients to their end."""
        fleet = self.fleet
        fleet.start_all()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=2)) as session:
            await asyncio.sleep(START)
            await fleet.apply(session, fleet.configuration, 0)
            await fleet.wait_ready(session)
            # Fresh workers warm up before the crowd comes: the ramp is held against the load by scenarios.
            await asyncio.sleep(fleet.configuration["ramp"])
            clients, probes = self._clients(session)
            sampler = asyncio.create_task(fleet.sample(session))
            running = asyncio.gather(clients.run(1e9), probes.run(1e9))
            await self._cause_trouble(session)
            clients.until = probes.until = 0.0
            await running
            if self.trouble is not Trouble.WIPE:  # which may lose jobs
                await clients.audit(AUDIT_LIMIT)
                await probes.audit(AUDIT_LIMIT)
            sampler.cancel()

    def _clients(self, session: aiohttp.ClientSession) -> tuple[Callers, Callers]:
        """The deployment's clients; and probes, which are many small requests, so that a gap is measured and not set by
        the rate."""
        fleet, load = self.fleet, self.fleet.plan.load
        edges = list(fleet.urls(EDGE).values())
        live, batch = next(iter(load.live)), next(iter(load.lots))
        probe_load = Load({live: 5.0}, {}, {batch: (float(PROBE_RATE), 1)}, load.within, {live: 3})
        log = fleet.events.append
        clients = Callers(edges, session, random.Random(1), time.time, log, load)
        probes = Callers(edges, session, random.Random(2), time.time, log, probe_load, count=PROBE_COUNT)
        return clients, probes

    async def _cause_trouble(self, session: aiohttp.ClientSession) -> None:
        injector = FaultInjector(self.fleet, session, self.notes)
        await asyncio.sleep(self.trouble.value)
        match self.trouble:
            case Trouble.FAULTS:
                await injector.run_all()
            case Trouble.WIPE:
                await injector.wipe()
            case Trouble.NONE:
                await asyncio.sleep(self.seconds)

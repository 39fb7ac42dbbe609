"""The limits of tenants with the daemons of a small announced fleet, while machines are lost and traffic moves."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import pytest

from postpass.daemon.data_plane import DataPlane
from postpass.tenants.edge_shares import home_partition
from postpass.tenants.limits import ShareTimers
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.support.announced import Fleet
from tests.tenants.share_world import Terms, most_in_window

PARTITIONS = 8
TENANT = "huka270"
TERMS = Terms(60, 30)
USUAL_RATE = TERMS.rate / 1.6  # requests a second
FLOOD_FACTOR = 7.5  # times the usual rate


@dataclass(eq=False)
class RequestTimes:
    """The times at which requests were admitted, and at which rejected ones arrived."""

    ran: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)

    @property
    def refused_share(self) -> float:
        return len(self.refused) / (len(self.ran) + len(self.refused))


@dataclass(eq=False)
class Drill:
    """A fleet with a limited tenant, and the requests that were sent to it."""

    fleet: Fleet
    chance: random.Random
    phases: list[RequestTimes] = field(default_factory=list)

    async def start(self) -> None:
        fleet = self.fleet
        fleet.start()
        assert await fleet.until(lambda: fleet.joined() and len(fleet.owners()) == PARTITIONS, 20.0) >= 0
        fleet.first = False
        wanted = document(1) | {
            "tenants": [{"name": TENANT, "keys": ["a-key"], "rateS": TERMS.rate, "burst": TERMS.burst}]
        }
        assert (await fleet.ask("c1", lambda c: c.apply_document(wanted, 0))).is_ok()
        await asyncio.sleep(3.0)

    def renew(self) -> float:
        return ShareTimers.of(self.fleet.nodes["e1"].settings.bounds).renew

    def home(self) -> str:
        return self.fleet.owners()[home_partition(TENANT, PARTITIONS)]

    async def load(self, rate: float, edges: list[str], seconds: float) -> RequestTimes:
        """Sends requests at random times for some seconds, spread evenly over these edges."""
        times, deadline = RequestTimes(), self.fleet.loop.clock + seconds
        while True:
            await asyncio.sleep(self.chance.expovariate(rate))
            if self.fleet.loop.clock >= deadline:
                break
            self.send(self.chance.choice(edges), times)
        self.phases.append(times)
        return times

    def ran(self) -> list[float]:
        """Returns the times at which all requests of the scenario were admitted."""
        return [at for times in self.phases for at in times.ran]

    def send(self, edge: str, times: RequestTimes) -> None:
        node = self.fleet.nodes[edge]
        daemon = node.daemon
        if isinstance(daemon, DataPlane) and daemon.tenant_shares is not None and not node.host.dead:
            work = self.serve(daemon, times)
            asyncio.get_running_loop().create_task(work, context=node.host.context())

    async def serve(self, daemon: DataPlane, times: RequestTimes) -> None:
        assert daemon.relay is not None and daemon.relay.rate_limit is not None
        began_at = self.fleet.loop.clock
        retry_after = await daemon.relay.rate_limit.admit(TENANT)
        (times.refused if retry_after else times.ran).append(began_at if retry_after else self.fleet.loop.clock)


EDGES = ["e1", "e2", "e3", "e4"]


async def flooded(drill: Drill) -> None:
    """Three edges of four get many times the usual load: about as much as the limit runs."""
    assert (await drill.load(USUAL_RATE, EDGES, 6.0)).refused_share == 0
    flood = await drill.load(USUAL_RATE * FLOOD_FACTOR, EDGES[:3], 6.0)
    assert len(flood.ran) >= TERMS.rate * 6.0
    after = await drill.load(USUAL_RATE, EDGES, 2 * drill.renew())
    later = await drill.load(USUAL_RATE, EDGES, 6.0 - 2 * drill.renew())
    assert later.refused_share < 0.02
    refused = len(after.refused) + len(later.refused)
    assert refused / (refused + len(after.ran) + len(later.ran)) < 0.05


async def moving(drill: Drill) -> None:
    """All requests go to one edge, then to another."""
    assert (await drill.load(USUAL_RATE, EDGES, 6.0)).refused_share == 0
    for edge in EDGES[:3]:
        assert (await drill.load(USUAL_RATE, [edge], 4.0)).refused_share < 0.02


async def lost_home(drill: Drill) -> None:
    """The home loses power; the requests are still admitted."""
    await drill.load(USUAL_RATE, EDGES, 6.0)
    drill.fleet.kill(drill.home(), silent=True)
    assert (await drill.load(USUAL_RATE, EDGES, 10.0)).refused_share < 0.02


async def lost_edge(drill: Drill) -> None:
    """An edge loses power, and its requests go to another one."""
    await drill.load(USUAL_RATE, EDGES, 6.0)
    drill.fleet.kill("e1", silent=True)
    assert (await drill.load(USUAL_RATE, ["e2", "e2", "e3", "e4"], 6.0)).refused_share < 0.02


async def flood_as_the_home_is_lost(drill: Drill) -> None:
    """The edges get many times the usual load while the home and an edge lose power and the edge is started again."""
    await drill.load(USUAL_RATE * FLOOD_FACTOR, EDGES, 4.0)
    drill.fleet.kill(drill.home(), silent=True)
    drill.fleet.kill("e1", silent=True)
    await drill.load(USUAL_RATE * FLOOD_FACTOR, EDGES[1:], 2.0)
    drill.fleet.boot("e1")
    await drill.load(USUAL_RATE * FLOOD_FACTOR, EDGES, 8.0)


Scenario = Callable[[Drill], Coroutine[Any, Any, None]]


@pytest.mark.parametrize("scenario", [flooded, moving, lost_home, lost_edge, flood_as_the_home_is_lost])
def test_the_limit_holds_and_little_below_it_is_refused(scenario: Scenario) -> None:
    async def main(loop: SimLoop) -> list[float]:
        drill = Drill(Fleet(loop, stores=4, edges=4), random.Random(3))
        await drill.start()
        await scenario(drill)
        await asyncio.sleep(0.5)
        return drill.ran()

    assert most_in_window(run_sim(main, 3)) <= TERMS.max_per_window

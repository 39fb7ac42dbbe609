"""The share requests of an edge to homes, in a small simulated fleet."""

from __future__ import annotations

import asyncio

from postpass.tenants.messages import HoldingsRequest, ShareRequest
from sim.loop import SimLoop, run_sim
from tests.tenants.share_world import PARTITION, Terms, World


def test_a_grant_of_a_former_home_is_not_taken_once_a_later_one_has_asked() -> None:
    async def main(loop: SimLoop) -> None:
        world = World(loop, 1, {"t": Terms(60, 30)}, latency=0.02)
        await asyncio.sleep(2.0)
        edge = world.nodes["e0"].shares
        assert edge is not None
        world.send("e0", "t")
        while not edge.pending_requests:
            await asyncio.sleep(0.001)
        response = await edge.on_holdings(HoldingsRequest(PARTITION, 1, world.epoch + 1).as_json())
        assert response.unwrap()["shares"] == []
        await asyncio.wait(list(edge.tasks))
        assert edge.shares["t"].rate == 0.0
        assert world.ran["t"] == []

    run_sim(main, 1)


def test_an_edge_reports_its_shares_to_a_new_home() -> None:
    async def main(loop: SimLoop) -> None:
        world = World(loop, 1, {"t": Terms(60, 30)})
        await world.load("t", {"e0": 20.0}, 5.0)
        edge = world.nodes["e0"].shares
        assert edge is not None
        response = (await edge.on_holdings(HoldingsRequest(PARTITION, 1, 2).as_json())).unwrap()
        holding = ShareRequest.from_json(response["shares"][0])
        assert holding.rate > 20.0 and 0 < holding.remaining <= edge.timers.lease

    run_sim(main, 1)


def test_a_tenant_without_a_limit_asks_nobody_and_one_that_is_not_configured_runs_nothing() -> None:
    async def main(loop: SimLoop) -> None:
        world = World(loop, 1, {"t": Terms(0, 0)})
        await world.load("t", {"e0": 50.0}, 2.0)
        await world.load("else", {"e0": 50.0}, 2.0)
        assert not world.refused["t"] and world.ran["t"]
        assert not world.ran["else"] and world.refused["else"]
        assert world.messages["share"] == 0

    run_sim(main, 1)


def test_a_flood_of_requests_costs_few_share_requests() -> None:
    async def main(loop: SimLoop) -> None:
        world = World(loop, 1, {"t": Terms(10, 10)})
        await world.load("t", {"e0": 400.0, "e1": 400.0}, 10.0)
        edges, pauses = 2, 10.0 / world.bounds.leave * 20
        assert world.messages["share"] <= edges * pauses * 1.2

    run_sim(main, 1)

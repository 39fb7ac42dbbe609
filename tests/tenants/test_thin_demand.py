"""A tenant whose requests are spread over many edges: all are admitted below its limit, and no more than that above it."""

from __future__ import annotations

import random

import pytest

from postpass.tenants.limits import STARTING_EXTRA, tenant_limit
from sim.loop import SimLoop, run_sim
from tests.tenants.share_world import SLACK, Terms, World, most_in_window

EDGES = 40
FIRST_SECONDS = 5.0  # until the home is settled; requests of this time are not counted
SECONDS = 15.0


@pytest.mark.parametrize("burst", [0.5, 1.0], ids="burst {}".format)
@pytest.mark.parametrize("used_fraction", [0.3, 0.7], ids="{} of the limit used".format)
@pytest.mark.parametrize("rate", [4.0, 20.0, 80.0, 160.0], ids="{} requests a second".format)
def test_requests_below_the_limit_that_come_to_many_edges_are_admitted(
    rate: float, used_fraction: float, burst: float
) -> None:
    async def main(loop: SimLoop) -> tuple[int, int]:
        world = World(loop, 1, {"t": Terms(rate, rate * burst)}, EDGES)
        await world.load("t", {f"e{number}": rate * used_fraction / EDGES for number in range(EDGES)}, SECONDS)
        ran, refused = (
            sum(moment > FIRST_SECONDS for moment in times_by_tenant["t"])
            for times_by_tenant in (world.ran, world.refused)
        )
        return ran, refused

    ran, refused = run_sim(main, 1)
    assert refused <= max(2, ran * 0.02), f"{refused} refused, {ran} ran"


@pytest.mark.parametrize("seed", range(6))
def test_no_window_sees_more_than_the_limit_allows_though_tokens_are_at_many_edges(seed: int) -> None:
    terms, homes_begun = Terms(20, 10), 3
    limit = tenant_limit({"keys": [], "rate": terms.rate, "burst": terms.burst}, SLACK)
    assert limit is not None

    async def main(loop: SimLoop) -> int:
        world, chance = World(loop, seed, {"t": terms}, EDGES, loss=0.05 * (seed % 2)), random.Random(seed)
        for _ in range(EDGES):
            edge = f"e{chance.randrange(EDGES)}"
            loop.call_later(chance.uniform(1, SECONDS), world.freeze, edge, chance.uniform(0.05, 6))
            loop.call_later(
                chance.uniform(1, SECONDS), world.cut, f"e{chance.randrange(EDGES)}", chance.uniform(0.05, 6)
            )
        for _ in range(5):
            loop.call_later(chance.uniform(1, SECONDS), world.boot, f"e{chance.randrange(EDGES)}")
        for home in range(1, homes_begun):
            loop.call_later(chance.uniform(2, SECONDS), world.take_over, f"s{home}")
        # Every third second all requests go to a single edge, after tokens were spread over many.
        for second in range(int(SECONDS)):
            single_edge = second % 3 == 2
            edges = [f"e{chance.randrange(EDGES)}"] * single_edge or [f"e{number}" for number in range(EDGES)]
            await world.load("t", {edge: terms.rate * 4 / len(edges) for edge in edges}, 1.0)
        return most_in_window(world.ran["t"])

    worst = run_sim(main, seed)
    assert worst <= limit.rate * SLACK.window + limit.burst + homes_begun * SLACK.extra * STARTING_EXTRA

"""Jobs under a route's quota while the partition that holds its budget changes members and owners."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import pytest

from postpass.batch.job_api import JobApi
from postpass.configuration.configuration import partition_of
from postpass.daemon.data_plane import DataPlane
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

PARTITIONS = 8
RECOVER = 12.0  # `bounds.recover` of the fleet


def route_of_budget(number: int) -> str:
    """Returns the name of a route whose budget is held by the owner of this partition."""
    return next(name for n in range(1000) if partition_of(f"route:{(name := f'lots{n}')}", PARTITIONS) == number)


def configuration_with_route(route: str) -> dict[str, Any]:
    """Returns a configuration whose one route for jobs has this name."""
    configuration = document(1)
    configuration["routes"][2]["name"] = route
    return configuration


def job(number: int, turn: int) -> tuple[str, bytes]:
    """Returns the id of a job that belongs to this partition, and the body that a client sends."""
    name = next(n for k in range(1000) if partition_of(n := f"job{turn}-{k}", PARTITIONS) == number)
    item = {"id": f"{name}-0", "path": "/lots/x", "headers": {}, "body": base64.b64encode(b"t").decode(), "tokens": 9}
    return name, json.dumps({"items": [item]}).encode()


async def statuses(fleet: Fleet, route: str, turn: int) -> dict[int, int]:
    """Submits a job to each partition through an edge; returns the statuses by partition."""
    daemon = fleet.nodes["e1"].daemon
    assert isinstance(daemon, DataPlane) and daemon.edge is not None
    api, terms = JobApi(daemon.edge), daemon.edge.configuration["routes"][route]

    async def submit(number: int) -> int:
        name, data = job(number, turn)
        answer = await fleet.ask("e1", lambda _: api.accept(route, terms, name, data))
        if answer.status != 202:
            print("not kept", number, answer)
        return int(answer.status)

    results = await asyncio.gather(*(submit(number) for number in range(PARTITIONS)))
    return dict(enumerate(results))


async def retire(fleet: Fleet, name: str) -> None:
    """Retires a store: waits until its partitions have moved, then kills it for good."""
    assert (await fleet.ask("c1", lambda c: c.retire(name))).is_ok()
    while not (await fleet.ask("c1", lambda c: c.query_retirement(name))).unwrap()["done"]:
        await asyncio.sleep(0.1)
    fleet.kill(name, silent=True)


@pytest.mark.parametrize("budget", range(PARTITIONS))
def test_jobs_of_all_partitions_are_kept_after_the_budgets_owner_was_retired(budget: int) -> None:
    """Stores are added, the owner of the budget's partition is retired, and the next owner loses power.

    A store that used to be a member remembers an owner that no longer exists; it must still find the current one."""

    async def main(loop: SimLoop) -> tuple[dict[int, int], list[str]]:
        fleet = Fleet(loop, stores=4, edges=1)
        fleet.start()
        assert await fleet.until(lambda: fleet.joined() and len(fleet.owners()) == PARTITIONS, 20.0) >= 0
        fleet.first = False
        route = route_of_budget(budget)
        assert (await fleet.ask("c1", lambda c: c.apply_document(configuration_with_route(route), 0))).is_ok()
        await asyncio.sleep(2.0)
        assert set((await statuses(fleet, route, 0)).values()) == {202}
        retired = fleet.owners()[budget]
        for number, zone in enumerate(("a", "b"), 5):
            fleet.add(f"s{number}", "store", zone, f"10.1.{number}.1")
        await asyncio.sleep(4.0)
        await retire(fleet, retired)
        await asyncio.sleep(2.0)
        lost = fleet.owners()[budget]
        fleet.kill(lost, silent=True)
        await statuses(fleet, route, 1)  # any response is allowed during the failover
        fleet.boot(lost)
        assert await fleet.until(lambda: len(fleet.owners()) == PARTITIONS, RECOVER) >= 0
        await asyncio.sleep(2.0)
        owner_notes = [f"{n} is owned by {name}" for n, name in sorted(fleet.owners().items())]
        return await statuses(fleet, route, 2), [f"{retired} retired, {lost} lost", *owner_notes]

    answers, notes = run_sim(main, 1)
    assert set(answers.values()) == {202}, (answers, notes)

"""Jobs of tenants in a whole fleet: each tenant has the route's quota separately, also after owners are lost."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from postpass.batch.job_api import JobApi
from postpass.batch.messages import BudgetKey, ResultsRequest
from postpass.batch.quota import holder_of
from postpass.configuration.configuration import partition_of
from postpass.configuration.tenant_keys import key_digest
from postpass.runtime.environment import now
from sim.fleet import SimFleet
from tests.batch.test_job_service import ROUTE, FakeWorkers, job_json, run_with_fleet

QUOTA = ROUTE["quota"]
RECOVER_S = 15.0


async def add_tenants(fleet: SimFleet, api: JobApi) -> None:
    """Applies a configuration with two tenants, and waits until it is in force everywhere."""
    tenants = {name: {"keys": [key_digest(name.encode())], "rate": 0, "burst": 0} for name in ("firm", "other")}
    revision = api.edge.configuration_view.revision
    assert await fleet.apply({**fleet.configuration, "tenants": tenants}, revision) == revision + 1
    await asyncio.sleep(2.0)


async def submit(api: JobApi, tenant: str, job_id: str, tokens: int) -> int:
    """Submits a job of one item for a tenant through an edge; returns the status."""
    items = json.loads(job_json("a", tokens=tokens))["items"]
    job = api.job_body("r", ROUTE, job_id, items, tenant)
    partition = partition_of(job_id, api.edge.configuration["parts"])
    answer = await api.edge.owners.request(partition, "accept", {"lot": job}, now() + api.owner_timeout())
    return 202 if answer.is_ok() else api.not_accepted(job_id, answer.unwrap_err()).status


async def ask(api: JobApi, tenant: str, job_id: str, verb: str, body: dict[str, Any]) -> dict[str, Any]:
    """Returns an owner's response about a job of a tenant."""
    partition = partition_of(job_id, api.edge.configuration["parts"])
    request = body | {"id": job_id, "caller": tenant}
    return (await api.edge.owners.request(partition, verb, request, now() + api.owner_timeout())).unwrap()


def job_of(fleet: SimFleet, partition: int, turn: int) -> str:
    """Returns the id of a job that belongs to this partition."""
    parts = fleet.configuration["parts"]
    return next(name for n in range(1000) if partition_of(name := f"j{turn}-{n}", parts) == partition)


def test_each_tenant_has_its_own_quota_also_after_its_holder_was_lost() -> None:
    async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        workers.full = True  # so that no item is done, which would lower the count
        await add_tenants(fleet, apis[0])
        parts = fleet.configuration["parts"]
        holder = holder_of(BudgetKey("r", "firm"), parts)
        for turn, partition in enumerate(range(parts)):
            status = await submit(apis[turn % 2], "firm", job_of(fleet, partition, turn), 300)
            assert status == (202 if 300 * (turn + 1) <= QUOTA else 429)
        assert await submit(apis[1], "other", "o1", QUOTA) == 202
        assert await submit(apis[0], "other", "o2", 1) == 429
        fleet.kill(fleet.owner(holder), silent=True)
        until = now() + RECOVER_S
        while (status := await submit(apis[0], "firm", "late", 100)) not in (202, 429):
            assert now() < until, status
            await asyncio.sleep(0.2)
        assert status == (202 if 300 * min(parts, 3) + 100 <= QUOTA else 429)
        await asyncio.sleep(2.0)
        remaining = QUOTA - 300 * min(parts, 3) - 100
        assert await submit(apis[0], "firm", "more", remaining + 1) == 429
        assert await submit(apis[0], "other", "o3", 1) == 429

    run_with_fleet(check)


def test_a_job_that_ends_makes_room_for_its_tenant() -> None:
    async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        workers.full = True
        await add_tenants(fleet, apis[0])
        assert [await submit(apis[0], "firm", "a", 600), await submit(apis[1], "firm", "b", 600)] == [202, 429]
        assert await ask(apis[0], "firm", "a", "finish", {}) is not None
        await asyncio.sleep(1.0)
        assert await submit(apis[1], "firm", "b", 600) == 202
        workers.full = False
        while not (rows := await ask(apis[0], "firm", "b", "results", ResultsRequest(0, 1.0).as_json()))["results"]:
            assert rows["total"] == 1
        await asyncio.sleep(1.0)
        assert await submit(apis[1], "firm", "c", QUOTA) == 202

    run_with_fleet(check)

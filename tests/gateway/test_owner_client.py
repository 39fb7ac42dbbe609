"""Tests of postpass.gateway.owner_client: the search of an edge for the owners of partitions."""

from __future__ import annotations

import asyncio

import pytest

from postpass.batch.job_api import JobApi
from postpass.configuration.configuration import partition_of
from postpass.runtime.environment import now
from sim.fleet import SimFleet
from tests.batch.test_job_service import ROUTE, FakeWorkers, job_json, run_with_fleet

PARTITIONS = 4
TAKEOVER_S = 6.0


@pytest.mark.parametrize("partition", range(PARTITIONS))
def test_the_next_owner_is_found_while_the_machine_of_the_previous_one_is_unreachable(partition: int) -> None:
    """Nothing that is sent to that machine is refused: it is lost, so that each attempt ends only by its time limit."""

    async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        assert fleet.configuration["parts"] == PARTITIONS
        name = next(name for n in range(1000) if partition_of(name := f"l{n}", PARTITIONS) == partition)
        assert (await apis[0].accept("r", ROUTE, name, job_json("a")))[0] == 202
        previous_owner = fleet.owner(partition)
        fleet.kill(previous_owner, silent=True)
        await apis[0].results(name, 0, 0.0)  # this request may fail; its result is not checked
        await asyncio.sleep(TAKEOVER_S)
        assert fleet.owner(partition) not in ("", previous_owner)
        for api in apis:
            started_at = now()
            assert (await api.results(name, 0, 0.0)).is_ok()
            assert now() - started_at < fleet.boxes["e1"].daemon.settings.bounds.detection_time * 2  # type: ignore[union-attr]

    run_with_fleet(check)

"""Tests of sim.ailing."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from bench.plan import changed
from postpass.cli import fleet_client
from postpass.cli.fleet_client import CommandError, ExitCode
from sim.ailing import CASES, control_gone, run_doctor
from sim.fleet import SimConnector, SimFleet
from sim.interface import SendRequest, with_fleet


@pytest.mark.parametrize("name", CASES)
def test_the_doctor_finds_what_was_caused(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_client, "connector_factory", lambda: SimConnector(limit=0))
    cause, expected = CASES[name]

    async def check(world: SimFleet, send: SendRequest) -> None:
        await cause(world)
        found, _ = await run_doctor(world)
        assert found >= expected if expected else not found, found

    with_fleet(check)


def test_without_a_majority_of_control_the_manifest_cannot_be_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_client, "connector_factory", lambda: SimConnector(limit=0))

    async def check(world: SimFleet, send: SendRequest) -> None:
        await control_gone(world)
        with pytest.raises(CommandError) as raised:
            await run_doctor(world)
        assert raised.value.code == ExitCode.UNKNOWN

    with_fleet(check)


def test_operations_are_pending_until_they_are_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_client, "connector_factory", lambda: SimConnector(limit=0))

    async def check(world: SimFleet, send: SendRequest) -> None:
        configuration: dict[str, Any] = changed(world.configuration, "evacuated", ["b"])
        machine = {"area": "b", "peer": "127.2.7.7:7000", "http": "127.2.7.7:8000", "duties": ["store"]}
        configuration = changed(changed(configuration, "machines.s5", machine), "machines.s2.retire", True)
        await world.apply(configuration, 1)
        await asyncio.sleep(2)
        _, pending = await run_doctor(world)
        # The machine that should take over the copies isn't running yet: nothing leaves s2, and the status says so.
        assert pending[0] == "retire s2: pending, still a member of partitions [0, 1, 2, 3]"
        world.configuration = configuration
        world.add_box("s5", machine)
        world.start("s5")
        await asyncio.sleep(8)
        _, pending = await run_doctor(world)
        assert pending == ["retire s2: complete, no partition counts on it", "evacuate b: complete"]

    with_fleet(check)

"""Fleets whose stores start later than the other machines: what machines say of themselves until the stores are there."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sim.loop import HOST, SimLoop, run_sim
from tests.support.announced import Fleet

HTTP_PORT = 8000


def play(scene: Any, seed: int = 1, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        return await scene(Fleet(loop, **sizes))

    return run_sim(main, seed)


def delay_http(fleet: Fleet, name: str, seconds: float) -> None:
    """Has a machine listen for HTTP so much later than for peers, as where its modules take long to load."""
    listen = fleet.loop.create_server

    async def create_server(factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        owner = HOST.get()
        if owner is not None and owner.name == name and port == HTTP_PORT:
            await asyncio.sleep(seconds)
        return await listen(factory, host, port, **options)

    fleet.loop.create_server = create_server  # type: ignore[assignment, method-assign]


def listens(fleet: Fleet, name: str) -> bool:
    """Do both addresses that a machine announces accept connections?"""
    node = fleet.nodes.get(name)
    return node is not None and all(
        (host, int(port)) in fleet.loop.servers
        for host, _, port in (address.rpartition(":") for address in (node.settings.peer, node.settings.http))
    )


def registered(fleet: Fleet) -> set[str]:
    """The machines that the newest configuration anyone has contains."""
    views = [n.daemon.configuration_view for n in fleet.nodes.values() if n.daemon is not None]
    newest = max((v for v in views if v.manifest is not None), key=lambda v: v.revision, default=None)
    return set(newest.manifest["machines"]) if newest is not None and newest.manifest is not None else set()


@pytest.mark.parametrize("name", ["c1", "c4", "e1", "s1"])
def test_a_machine_is_registered_only_once_it_listens_at_all_its_addresses(name: str) -> None:
    """Guards against refused connections at an address that the configuration names already."""

    async def scene(fleet: Fleet) -> float:
        delay_http(fleet, name, 1.0)
        fleet.start()
        early: list[str] = []

        def all_joined() -> bool:
            early.extend(n for n in registered(fleet) - {"c1", "c2", "c3"} if not listens(fleet, n))
            return fleet.joined()

        joined_after = await fleet.until(all_joined, 10.0)
        assert early == []
        return joined_after

    assert play(scene, control=4) >= 0

"""Fleets whose stores start later than the other machines: what machines say of themselves until the stores are there."""

from __future__ import annotations

import asyncio
import contextvars
from dataclasses import replace
from typing import Any

import pytest

from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from sim.loop import HOST, SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.support.announced import AREAS, Fleet

HTTP_PORT = 8000
RECOVER_S = 12.0  # `bounds.recover` of the fleet


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


def add_store(fleet: Fleet, number: int) -> None:
    fleet.add(f"s{number}", "store", AREAS[(number - 1) % 4], f"10.1.{number}.1")


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


def ready_edges(fleet: Fleet) -> list[str]:
    daemons = {name: node.daemon for name, node in fleet.nodes.items() if node.settings.duties == ("edge",)}
    return [name for name, daemon in daemons.items() if isinstance(daemon, DataPlane) and daemon.ready() == ""]


async def apply_routes(fleet: Fleet) -> None:
    """Has control accept the operator's first document, without which no edge is ready."""
    assert await fleet.until(lambda: fleet.primary() is not None, 5.0) >= 0

    async def order(control: ControlPlane) -> Any:
        return await control.apply_document(document(1), 0)

    primary = fleet.primary()
    assert primary is not None
    assert (await fleet.ask(primary.settings.name, order)).is_ok()


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


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("late_s", [0.3, 1.0, 3.0])
def test_no_edge_of_a_new_fleet_is_ready_before_the_last_store_listens(late_s: float, seed: int) -> None:
    """Guards against edges that are ready while a store that is to keep copies refuses connections (`review/1`)."""

    async def scene(fleet: Fleet) -> float:
        fleet.stores = 3
        fleet.start()
        fleet.loop.call_later(late_s, add_store, fleet, 4, context=contextvars.Context())
        await apply_routes(fleet)
        early: list[str] = []

        def all_ready() -> bool:
            edges = ready_edges(fleet)
            early.extend(edges if not listens(fleet, "s4") else ())
            return len(edges) == fleet.edges

        ready_after = await fleet.until(all_ready, 10.0)
        assert early == []
        return ready_after

    assert play(scene, seed) >= 0


@pytest.mark.parametrize(("stores", "limit_s"), [(3, RECOVER_S / 2), (1, RECOVER_S / 2), (0, RECOVER_S / 2)])
def test_a_small_fleet_is_ready_in_bounded_time(stores: int, limit_s: float) -> None:
    """Guards against edges that wait for stores that will never come."""

    async def scene(fleet: Fleet) -> float:
        fleet.start()
        started_at = fleet.loop.clock
        await apply_routes(fleet)
        assert await fleet.until(lambda: len(ready_edges(fleet)) == fleet.edges, 2 * RECOVER_S) >= 0
        return fleet.loop.clock - started_at

    assert play(scene, stores=stores) <= limit_s + 0.1


def test_requests_are_answered_while_a_new_fleet_waits_for_its_stores() -> None:
    """Guards against live requests that are held back for stores."""

    async def scene(fleet: Fleet) -> None:
        fleet.start()
        await apply_routes(fleet)
        edge = fleet.nodes["e1"].daemon
        assert isinstance(edge, DataPlane)
        assert await fleet.until(lambda: edge.unready() == "", 2.0) >= 0
        assert edge.ready() == "too few stores yet"

    play(scene, stores=1)


@pytest.mark.parametrize("bootstrap", [True, False])
def test_an_edge_that_starts_again_does_not_wait_for_stores_that_are_down(bootstrap: bool) -> None:
    """Guards against live traffic that is held back because stores are down."""

    async def scene(fleet: Fleet) -> float:
        fleet.start()
        await apply_routes(fleet)
        assert await fleet.until(lambda: fleet.joined() and len(ready_edges(fleet)) == fleet.edges, 10.0) >= 0
        for number in range(1, 5):
            fleet.kill(f"s{number}", silent=True)
        fleet.kill("e1")
        fleet.nodes["e1"].settings = replace(fleet.nodes["e1"].settings, bootstrap=bootstrap)
        await asyncio.sleep(1.0)
        fleet.boot("e1")
        return await fleet.until(lambda: "e1" in ready_edges(fleet), RECOVER_S)

    assert 0 <= play(scene) < 1.0

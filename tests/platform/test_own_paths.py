"""Which requests an edge serves itself, and which go to a route: each row of the table in `docs/platform.md`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from postpass.batch.job_api import JobApi
from sim.fleet import SimFleet
from tests.batch.test_job_service import FakeWorkers, job_json, run_with_fleet
from tests.gateway.test_relay_keys import tenant
from tests.platform.test_job_keys import ITEM_PATH, JOB_PATH, Edge

LOTS = "lots"  # the name of the route of lots
# Configurations by the routes of the lot's host: prefixes of plain routes, and whether the route of lots is there.
CONFIGURATIONS: dict[str, tuple[bool, list[str]]] = {
    "app": (True, ["/app/"]),
    "root": (True, ["/"]),
    "dash": (True, ["/-/"]),
    "lots-path": (True, ["/-/lots/", "/-/items/"]),
    "lots-removed": (False, ["/app/"]),
    "lots-removed-root": (False, ["/"]),
    "no-route": (False, []),
}
TENANTS = {"t1": tenant("k1"), "t2": tenant("k2")}


class AppEdge(Edge):
    """An edge whose plain routes are answered here, with the name of the route."""

    def __init__(self, fleet: SimFleet, api: JobApi) -> None:
        super().__init__(fleet, api)
        self.lots_route: dict[str, Any] = dict(fleet.configuration["routes"]["r"])  # type: ignore[index]

        async def relay(name: str, route: Any, client: Any, scope: Any, receive: Any, send: Any) -> None:
            await self.relay.answer(send, 200, body=f"application {name}".encode())

        self.relay.relay = relay  # type: ignore[method-assign,assignment]

    async def use_routes(self, has_lots: bool, prefixes: list[str], tenants: Any = None) -> None:
        """Applies a configuration with these routes, and waits until it is in force at this edge."""
        old: Any = self.fleet.configuration
        plain = {prefix: {**self.lots_route, "kind": "idem", "prefix": prefix} for prefix in prefixes}
        routes = plain | ({LOTS: self.lots_route} if has_lots else {})
        configuration = {key: value for key, value in old.items() if key != "tenants"} | {"routes": routes}
        configuration |= {} if tenants is None else {"tenants": tenants}
        revision = await self.fleet.apply(configuration, self.view.revision)
        assert revision is not None
        while self.view.revision < revision:
            await asyncio.sleep(0.05)

    async def served_by(self, method: str, target: str, key: str = "") -> str:
        """What answers a request: the name of a route, or `job` or a status of the edge's own."""
        status, body, _ = await self.ask(method, target, key)
        if isinstance(body, bytes) and body.startswith(b"application "):
            return body.decode().removeprefix("application ")
        return "job" if status == 200 else str(status)


def run(check: Callable[[AppEdge], Awaitable[None]], tenants: Any = None) -> None:
    """Runs a check at an edge, for which the job `l1` with one open item was accepted."""

    async def with_edge(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        edge = AppEdge(fleet, apis[0])
        workers.full = True
        await edge.use_routes(True, ["/app/"], tenants)
        key = "" if tenants is None else "k1"
        assert await edge.status("POST", "/lot/x", key, job_json("a")) == 202
        await check(edge)

    run_with_fleet(with_edge)


# Guards against accepted jobs that can't be read, since a route at the root of their host takes the requests about them.
@pytest.mark.parametrize("name", CONFIGURATIONS)
def test_a_job_is_read_and_ended_whatever_routes_its_host_has(name: str) -> None:
    async def check(edge: AppEdge) -> None:
        await edge.use_routes(*CONFIGURATIONS[name])
        for method, target in (("GET", JOB_PATH), ("HEAD", JOB_PATH), ("GET", ITEM_PATH), ("DELETE", JOB_PATH)):
            assert await edge.served_by(method, target) == "job", (method, target)

    run(check)


@pytest.mark.parametrize("name", CONFIGURATIONS)
def test_the_paths_of_a_job_need_its_tenants_key_whatever_routes_its_host_has(name: str) -> None:
    async def check(edge: AppEdge) -> None:
        await edge.use_routes(*CONFIGURATIONS[name], TENANTS)
        for method, target in (("GET", JOB_PATH), ("GET", ITEM_PATH), ("DELETE", JOB_PATH)):
            assert [await edge.served_by(method, target, key) for key in ("", "k2", "k1")] == ["401", "404", "job"]

    run(check, TENANTS)


# Rows: a request, and what serves it at a host with a route at its root, and at one without.
ROWS = [
    ("GET", "/-/lots/unknown", "404", "404"),
    ("POST", "/-/lots/l1", "/", "404"),
    ("PUT", "/-/items/l1", "/", "404"),
    ("DELETE", "/-/items/l1", "/", "404"),
    ("GET", "/-/lots/", "/", "404"),
    ("GET", "/-/lots/l1/more", "/", "404"),
    ("GET", "/%2D/lots/l1", "/", "404"),
    ("GET", "/-/other", "/", "404"),
    ("GET", "/metrics", "/", ""),
    ("GET", "/health", "/", ""),
    ("GET", "/v1/status", "/", ""),
]


@pytest.mark.parametrize(("method", "target", "at_root", "elsewhere"), ROWS)
def test_other_paths_go_to_a_route_that_begins_them(method: str, target: str, at_root: str, elsewhere: str) -> None:
    async def check(edge: AppEdge) -> None:
        await edge.use_routes(True, ["/"])
        assert await edge.served_by(method, target) == at_root
        await edge.use_routes(True, ["/app/"])
        if elsewhere:
            assert await edge.served_by(method, target) == elsewhere

    run(check)

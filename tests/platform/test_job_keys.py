"""Jobs by the keys of tenants: the platform's pages of an edge, the owners behind it, and the items at workers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from prometheus_client import CollectorRegistry
from starlette.applications import Starlette

from postpass.batch.job_api import JobApi
from postpass.configuration.header_names import Dialect
from postpass.daemon.data_plane import DataPlane
from postpass.gateway.relay import Relay
from sim.announced import module
from sim.fleet import SimFleet
from tests.batch.test_job_service import FakeWorkers, job_json, run_with_fleet
from tests.gateway.test_relay_keys import tenant

TWO = {"t1": tenant("k1", "k2"), "t2": tenant("k3")}
LOT, ITEM = "/-/lots/l1", "/-/items/l1?id=i0a"


class Edge:
    """The pages of one edge as an ASGI app, and a client that calls them."""

    def __init__(self, fleet: SimFleet, api: JobApi) -> None:
        self.fleet = fleet
        edge = api.edge
        self.relay = Relay(edge.settings, edge.environment, edge.configuration_view, Dialect(), CollectorRegistry())
        pages = module("clients").JobRoutes(api, self.relay.authenticate_job_client)
        edge.extra_routes = pages.paths()
        self.relay.job_handler, self.relay.fallback = pages.post, Starlette(routes=edge.routes())
        self.view = edge.configuration_view

    async def configure(self, tenants: Any, **route: Any) -> None:
        """Puts other tenants in force at this edge and all daemons; None: there are none."""
        old: Any = self.fleet.configuration
        new = {key: value for key, value in old.items() if key != "tenants"}
        new["routes"] = {"r": old["routes"]["r"] | route}
        new |= {} if tenants is None else {"tenants": tenants}
        want = await self.fleet.apply(new, self.view.revision)
        assert want is not None
        while self.view.revision < want:
            await asyncio.sleep(0.05)

    async def ask(
        self, method: str, target: str, key: str = "", body: bytes = b"", named: str = ""
    ) -> tuple[int, Any, dict[str, str]]:
        """Status, JSON or bytes, and headers of the answer."""
        path, _, query = target.partition("?")
        headers = [(b"host", b"h.example"), (b"x-call-id", b"l1"), (b"postpass-attempt-id", b"l1")]
        headers += [(b"authorization", b"Bearer " + key.encode())] if key else []
        headers += [(b"x-caller", named.encode())] if named else []
        scope = {
            "type": "http", "http_version": "1.1", "method": method, "path": path, "raw_path": path.encode(), "root_path": "",
            "query_string": query.encode(), "headers": headers, "scheme": "http", "server": ("h.example", 80),
        }  # fmt: skip
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: Any) -> None:
            sent.append(message)

        await self.relay(scope, receive, send)  # type: ignore[arg-type]
        data = b"".join(message.get("body", b"") for message in sent[1:])
        got = {name.decode().lower(): value.decode() for name, value in sent[0]["headers"]}
        is_json = got.get("content-type") == "application/json"
        return sent[0]["status"], json.loads(data) if is_json else data, got

    async def status(self, method: str, target: str, key: str = "", body: bytes = b"") -> int:
        return (await self.ask(method, target, key, body))[0]

    async def states(self, key: str) -> list[str]:
        """The states of all items of the job, once there are results of all."""
        async with asyncio.timeout(10.0):
            while True:
                status, page, _ = await self.ask("GET", LOT, key)
                if status == 200 and len(page["results"]) == page["total"]:
                    return [row["state"] for row in page["results"]]
                await asyncio.sleep(0.1)


def play(check: Callable[[Edge, Edge, FakeWorkers], Awaitable[None]], tenants: Any = TWO, **route: Any) -> None:
    async def with_edges(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        one, two = Edge(fleet, apis[0]), Edge(fleet, apis[1])
        if tenants is not None:
            await one.configure(tenants, **route)
            while two.view.revision < one.view.revision:
                await asyncio.sleep(0.05)
        await check(one, two, workers)

    run_with_fleet(with_edges)


class Test_a_job:
    def test_is_its_tenants_at_every_edge_and_by_each_of_its_keys(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a", "b")) == 202
            assert await two.status("POST", "/lot/x", "k2", job_json("a", "b")) == 202  # the same one again
            assert await two.status("POST", "/lot/x", "k3", job_json("a", "b")) == 409
            assert [await two.status("GET", LOT, key) for key in ("k1", "k2", "k3")] == [200, 200, 404]
            assert [await two.status("GET", ITEM, key) for key in ("k1", "k2", "k3")] == [200, 200, 404]
            assert await one.status("DELETE", LOT, "k3") == 404
            workers.full = False
            assert await two.states("k2") == ["done", "done"] and len(workers.runs) == 2
            assert [await one.status("DELETE", LOT, key) for key in ("k1", "k2")] == [200, 200]

        play(check)

    def test_needs_a_known_key_for_each_call(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "k1", job_json("a")) == 202
            calls = [("POST", "/lot/x"), ("GET", LOT), ("GET", ITEM), ("DELETE", LOT)]
            for method, target in calls:
                for key in ("", "k4", "k1 k1", "t1"):
                    status, body, headers = await two.ask(method, target, key, job_json("a"))
                    assert (status, body, headers["www-authenticate"]) == (401, {"error": "no known key"}, "Bearer")
            assert await two.states("k1") == ["done"]

        play(check)

    def test_goes_on_when_the_key_that_brought_it_is_taken_away(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a", "b")) == 202
            await one.configure({"t1": tenant("k2"), "t2": tenant("k1")})
            workers.full = False
            assert [await one.status("GET", LOT, key) for key in ("k1", "k2", "k3")] == [404, 200, 401]
            assert await one.states("k2") == ["done", "done"]

        play(check)

    def test_goes_on_without_its_tenant_and_is_read_once_that_is_back(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a")) == 202
            await one.configure({"t2": TWO["t2"]})
            workers.full = False
            assert [await one.status("GET", LOT, key) for key in ("k1", "k3")] == [401, 404]
            await asyncio.sleep(2.0)
            assert len(workers.runs) == 1
            await one.configure({"t1": tenant("k5"), "t2": TWO["t2"]})
            assert await one.states("k5") == ["done"]

        play(check)

    def test_that_was_kept_before_there_were_tenants_is_read_by_any_of_them(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
            await one.configure(TWO)
            assert await one.status("GET", LOT) == 401
            assert await one.states("k3") == await one.states("k1") == ["done"]

        play(check, tenants=None)

    @pytest.mark.parametrize(
        ("before", "key_before", "after", "key_after"),
        [
            ((None, False), "", (TWO, False), "k1"),
            ((TWO, False), "k1", (None, False), ""),
            ((TWO, False), "k1", (TWO, True), "k1"),
            ((TWO, True), "k1", (TWO, False), "k1"),
        ],
        ids=["tenants came", "tenants went", "route became public", "route is public no more"],
    )
    def test_that_comes_again_is_the_same_though_its_client_needs_no_key_any_more_or_needs_one_now(
        self, before: tuple[Any, bool], key_before: str, after: tuple[Any, bool], key_after: str
    ) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            await one.configure(before[0], public=before[1])
            assert await one.status("POST", "/lot/x", key_before, job_json("a", "b")) == 202
            await one.configure(after[0], public=after[1])
            assert await one.status("POST", "/lot/x", key_after, job_json("a", "b")) == 202
            assert await one.status("POST", "/lot/x", key_after, job_json("a", "c")) == 409
            workers.full = False
            await asyncio.sleep(2.0)
            assert len(workers.runs) == 2

        play(check, tenants=None)

    def test_of_a_public_route_needs_no_key(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
            assert await two.states("") == await two.states("k4") == ["done"]
            assert await two.status("DELETE", LOT) == 200

        play(check, public=True)

    def test_is_answered_503_while_its_edge_is_not_ready_whatever_the_key(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            one.view.fresh = False
            one.relay.unready = lambda: "no fresh news yet"
            for method, target in (("POST", "/lot/x"), ("GET", LOT), ("GET", ITEM), ("DELETE", LOT)):
                status, _, headers = await one.ask(method, target, "k4", job_json("a"))
                assert status == 503 and float(headers["retry-after"]) > 0

        play(check)


class Test_the_pages_that_know_no_keys:
    def test_show_and_end_no_job_of_a_tenant(self) -> None:
        """They go by a name that clients give themselves."""

        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a")) == 202
            for method, target in (("GET", "/results"), ("GET", ""), ("DELETE", "")):
                status, body, _ = await two.ask(method, "/v1/lots/l1" + target, named="t1")
                assert status == 404 and "items" not in body and "results" not in body
            submitted = json.dumps({"class": "summary", "items": ["x"], "within": 60}).encode()
            assert await two.status("POST", "/v1/lots", body=submitted) == 404
            workers.full = False
            assert await two.states("k1") == ["done"]

        play(check)

    def test_serve_as_before_without_tenants(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
            assert await two.states("") == ["done"]
            assert await two.status("GET", "/v1/lots/l1/results") == 200

        play(check, tenants=None)


class Test_an_item:
    def test_goes_with_the_name_of_its_jobs_tenant_and_without_keys(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            request, heads = workers.request, list[Any]()

            async def noting(*of: Any, **more: Any) -> Any:
                heads.append([(name.lower(), value) for name, value in of[3]])
                return await request(*of, **more)

            workers.request = noting  # type: ignore[method-assign]
            body = json.loads(job_json("cut"))
            body["items"][0]["headers"] = {"X-Tenant": "t2", "Authorization": "Bearer k1", "x-model": "m"}
            assert await one.status("POST", "/lot/x", "k1", json.dumps(body).encode()) == 202
            assert await one.states("k1") == ["done"]
            assert len(heads) >= 2  # the first run was cut
            for head in heads:
                assert [value for name, value in head if name == b"x-tenant"] == [b"t1"]
                assert b"authorization" not in dict(head) and dict(head)[b"x-model"] == b"m"

        play(check)


def test_a_job_without_tenants_is_kept_as_before() -> None:
    async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
        assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
        kept = [
            job.body
            for box in one.fleet.boxes.values()
            if isinstance(box.daemon, DataPlane) and box.daemon.store is not None
            for partition in box.daemon.store.partitions.values()
            for job in partition.view.jobs.values()
        ]
        assert kept and not any("caller" in body for body in kept)

    play(check, tenants=None)

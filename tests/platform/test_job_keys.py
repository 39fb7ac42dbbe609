"""Tests of access to jobs by tenants' keys, through the platform's routes of an edge, the owners, and the workers."""

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

TWO_TENANTS = {"t1": tenant("k1", "k2"), "t2": tenant("k3")}
JOB_PATH, ITEM_PATH = "/-/lots/l1", "/-/items/l1?id=i0a"


class Edge:
    """One edge of a simulated fleet with the platform's routes for jobs, and a client that sends requests to it."""

    def __init__(self, fleet: SimFleet, api: JobApi) -> None:
        self.fleet = fleet
        edge = api.edge
        self.relay = Relay(edge.settings, edge.environment, edge.configuration_view, Dialect(), CollectorRegistry())
        job_routes = module("clients").JobRoutes(api, self.relay.authenticate_job_client)
        self.relay.own_pages = job_routes.own_pages()
        self.relay.job_handler, self.relay.fallback = job_routes.post, Starlette(routes=edge.routes())
        self.view = edge.configuration_view

    async def configure(self, tenants: Any, **route: Any) -> None:
        """Applies a configuration with these tenants (None: without tenants), and waits until it is in force at this edge."""
        old_configuration: Any = self.fleet.configuration
        new_configuration = {key: value for key, value in old_configuration.items() if key != "tenants"}
        new_configuration["routes"] = {"r": old_configuration["routes"]["r"] | route}
        new_configuration |= {} if tenants is None else {"tenants": tenants}
        revision = await self.fleet.apply(new_configuration, self.view.revision)
        assert revision is not None
        while self.view.revision < revision:
            await asyncio.sleep(0.05)

    async def ask(
        self, method: str, target: str, key: str = "", body: bytes = b"", client_name: str = ""
    ) -> tuple[int, Any, dict[str, str]]:
        """Sends a request; returns the status, the JSON or the bytes of the body, and the headers of the response."""
        path, _, query = target.partition("?")
        headers = [(b"host", b"h.example"), (b"x-call-id", b"l1"), (b"postpass-attempt-id", b"l1")]
        headers += [(b"authorization", b"Bearer " + key.encode())] if key else []
        headers += [(b"x-caller", client_name.encode())] if client_name else []
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
        response_headers = {name.decode().lower(): value.decode() for name, value in sent[0]["headers"]}
        is_json = response_headers.get("content-type") == "application/json"
        return sent[0]["status"], json.loads(data) if is_json else data, response_headers

    async def status(self, method: str, target: str, key: str = "", body: bytes = b"") -> int:
        return (await self.ask(method, target, key, body))[0]

    async def states(self, key: str) -> list[str]:
        """Returns the states of all items of the job, once all have results."""
        async with asyncio.timeout(10.0):
            while True:
                status, page, _ = await self.ask("GET", JOB_PATH, key)
                if status == 200 and len(page["results"]) == page["total"]:
                    return [row["state"] for row in page["results"]]
                await asyncio.sleep(0.1)


def run_with_two_edges(
    check: Callable[[Edge, Edge, FakeWorkers], Awaitable[None]], tenants: Any = TWO_TENANTS, **route: Any
) -> None:
    async def with_edges(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
        one, two = Edge(fleet, apis[0]), Edge(fleet, apis[1])
        if tenants is not None:
            await one.configure(tenants, **route)
            while two.view.revision < one.view.revision:
                await asyncio.sleep(0.05)
        await check(one, two, workers)

    run_with_fleet(with_edges)


class Test_a_job:
    def test_belongs_to_its_tenant_at_every_edge_and_by_each_of_the_tenants_keys(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a", "b")) == 202
            assert await two.status("POST", "/lot/x", "k2", job_json("a", "b")) == 202  # the same one again
            assert await two.status("POST", "/lot/x", "k3", job_json("a", "b")) == 409
            assert [await two.status("GET", JOB_PATH, key) for key in ("k1", "k2", "k3")] == [200, 200, 404]
            assert [await two.status("GET", ITEM_PATH, key) for key in ("k1", "k2", "k3")] == [200, 200, 404]
            assert await one.status("DELETE", JOB_PATH, "k3") == 404
            workers.full = False
            assert await two.states("k2") == ["done", "done"] and len(workers.runs) == 2
            assert [await one.status("DELETE", JOB_PATH, key) for key in ("k1", "k2")] == [200, 200]

        run_with_two_edges(check)

    def test_needs_a_known_key_for_each_request(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "k1", job_json("a")) == 202
            requests = [("POST", "/lot/x"), ("GET", JOB_PATH), ("GET", ITEM_PATH), ("DELETE", JOB_PATH)]
            for method, target in requests:
                for key in ("", "k4", "k1 k1", "t1"):
                    status, body, headers = await two.ask(method, target, key, job_json("a"))
                    assert (status, body, headers["www-authenticate"]) == (401, {"error": "no known key"}, "Bearer")
            assert await two.states("k1") == ["done"]

        run_with_two_edges(check)

    def test_continues_when_the_key_that_submitted_it_is_removed(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a", "b")) == 202
            await one.configure({"t1": tenant("k2"), "t2": tenant("k1")})
            workers.full = False
            assert [await one.status("GET", JOB_PATH, key) for key in ("k1", "k2", "k3")] == [404, 200, 401]
            assert await one.states("k2") == ["done", "done"]

        run_with_two_edges(check)

    def test_continues_without_its_tenant_and_is_readable_once_the_tenant_is_back(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a")) == 202
            await one.configure({"t2": TWO_TENANTS["t2"]})
            workers.full = False
            assert [await one.status("GET", JOB_PATH, key) for key in ("k1", "k3")] == [401, 404]
            await asyncio.sleep(2.0)
            assert len(workers.runs) == 1
            await one.configure({"t1": tenant("k5"), "t2": TWO_TENANTS["t2"]})
            assert await one.states("k5") == ["done"]

        run_with_two_edges(check)

    def test_that_was_accepted_before_there_were_tenants_is_readable_by_any_of_them(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
            await one.configure(TWO_TENANTS)
            assert await one.status("GET", JOB_PATH) == 401
            assert await one.states("k3") == await one.states("k1") == ["done"]

        run_with_two_edges(check, tenants=None)

    @pytest.mark.parametrize(
        ("before", "key_before", "after", "key_after"),
        [
            ((None, False), "", (TWO_TENANTS, False), "k1"),
            ((TWO_TENANTS, False), "k1", (None, False), ""),
            ((TWO_TENANTS, False), "k1", (TWO_TENANTS, True), "k1"),
            ((TWO_TENANTS, True), "k1", (TWO_TENANTS, False), "k1"),
        ],
        ids=["tenants came", "tenants went", "route became public", "route is public no more"],
    )
    def test_submitted_again_is_the_same_job_though_its_client_needs_no_key_any_more_or_needs_one_now(
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

        run_with_two_edges(check, tenants=None)

    def test_of_a_public_route_needs_no_key(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
            assert await two.states("") == await two.states("k4") == ["done"]
            assert await two.status("DELETE", JOB_PATH) == 200

        run_with_two_edges(check, public=True)

    def test_is_answered_503_while_its_edge_is_not_ready_whatever_the_key(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            one.view.fresh = False
            one.relay.unready = lambda: "no fresh news yet"
            for method, target in (("POST", "/lot/x"), ("GET", JOB_PATH), ("GET", ITEM_PATH), ("DELETE", JOB_PATH)):
                status, _, headers = await one.ask(method, target, "k4", job_json("a"))
                assert status == 503 and float(headers["retry-after"]) > 0

        run_with_two_edges(check)


class Test_the_routes_that_check_no_keys:
    def test_show_and_end_no_job_of_a_tenant(self) -> None:
        """These routes identify a client by a name that it chooses itself, so they must not give access to tenants' jobs."""

        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            workers.full = True
            assert await one.status("POST", "/lot/x", "k1", job_json("a")) == 202
            for method, target in (("GET", "/results"), ("GET", ""), ("DELETE", "")):
                status, body, _ = await two.ask(method, "/v1/lots/l1" + target, client_name="t1")
                assert status == 404 and "items" not in body and "results" not in body
            submitted = json.dumps({"class": "summary", "items": ["x"], "within": 60}).encode()
            assert await two.status("POST", "/v1/lots", body=submitted) == 404
            workers.full = False
            assert await two.states("k1") == ["done"]

        run_with_two_edges(check)

    def test_serve_as_before_without_tenants(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
            assert await two.states("") == ["done"]
            assert await two.status("GET", "/v1/lots/l1/results") == 200

        run_with_two_edges(check, tenants=None)


class Test_an_item:
    def test_is_sent_with_the_name_of_its_jobs_tenant_and_without_keys(self) -> None:
        async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
            request, item_headers = workers.request, list[Any]()

            async def recording_request(*arguments: Any, **options: Any) -> Any:
                item_headers.append([(name.lower(), value) for name, value in arguments[3]])
                return await request(*arguments, **options)

            workers.request = recording_request  # type: ignore[method-assign]
            body = json.loads(job_json("cut"))
            body["items"][0]["headers"] = {"X-Tenant": "t2", "Authorization": "Bearer k1", "x-model": "m"}
            assert await one.status("POST", "/lot/x", "k1", json.dumps(body).encode()) == 202
            assert await one.states("k1") == ["done"]
            assert len(item_headers) >= 2  # the first run was cut
            for headers in item_headers:
                assert [value for name, value in headers if name == b"x-tenant"] == [b"t1"]
                assert b"authorization" not in dict(headers) and dict(headers)[b"x-model"] == b"m"

        run_with_two_edges(check)


def test_a_job_without_tenants_is_stored_without_a_client() -> None:
    async def check(one: Edge, two: Edge, workers: FakeWorkers) -> None:
        assert await one.status("POST", "/lot/x", "", job_json("a")) == 202
        job_bodies = [
            job.body
            for box in one.fleet.boxes.values()
            if isinstance(box.daemon, DataPlane) and box.daemon.store is not None
            for partition in box.daemon.store.partitions.values()
            for job in partition.view.jobs.values()
        ]
        assert job_bodies and not any("caller" in body for body in job_bodies)

    run_with_two_edges(check, tenants=None)

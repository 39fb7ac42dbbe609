"""Tests of tenants' keys at the relay: which requests are authenticated, and what workers learn of the client."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from absl import logging

from postpass.configuration.tenant_keys import key_digest
from postpass.gateway.relay import Relay
from postpass.gateway.relayed_request import RelayedRequest
from tests.gateway.test_relay import (
    Head,
    Play,
    Scene,
    Worker,
    answer_ok,
    chunk,
    event,
    header_value,
    play,
    read_answer,
    route,
    stream_head,
)


def tenant(*keys: str, **fields: Any) -> dict[str, Any]:
    return {"keys": [key_digest(key.encode()) for key in keys], "rate": 0.0, "burst": 0.0} | fields


def tenants(**tenants_by_name: Any) -> Callable[[Any], Any]:
    return lambda configuration: configuration.update(tenants=tenants_by_name)


def play_with(
    main: Callable[[Scene], Awaitable[Any]], plays: dict[str, Play] | None = None, **tenants_by_name: Any
) -> Any:
    async def with_tenants(scene: Scene) -> Any:
        scene.change(tenants(**(tenants_by_name or {"t1": tenant("k1", "k2"), "t2": tenant("k3")})))
        scene.change(lambda configuration: configuration["routes"].update(open=route("once", "/p/", public=True)))
        return await main(scene)

    return play(plays or {"w1": answer_ok}, with_tenants)


def received_heads(scene: Scene) -> list[bytes]:
    return [head for worker in scene.workers for head in worker.seen]


def values(head: bytes, name: str) -> list[bytes]:
    return re.findall(rb"\r\n" + name.encode() + rb": ([^\r]*)", head, re.IGNORECASE)


class Connection:
    """One keep-alive connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls) -> Connection:
        return cls(*await asyncio.open_connection("127.0.0.1", 2))

    def send(self, *lines: str, path: str = "/o/x", body: bytes = b"") -> None:
        heads = ["host: shop.example", "x-call-id: c1", f"content-length: {len(body)}", *lines]
        self.writer.write(f"POST {path} HTTP/1.1\r\n".encode() + "\r\n".join(heads).encode() + b"\r\n\r\n" + body)

    async def ask(self, *lines: str, path: str = "/o/x", body: bytes = b"") -> tuple[int, Head]:
        self.send(*lines, path=path, body=body)
        return (await read_answer(self.reader))[:2]


def key(name: str) -> str:
    return f"authorization: Bearer {name}"


class Test_a_key:
    def test_authenticates_its_tenants_requests_and_is_not_forwarded(self) -> None:
        async def main(scene: Scene) -> None:
            for key_name in ("k1", "k2", "k3"):
                assert (await scene.ask("/o/x", authorization=f"Bearer {key_name}"))[0] == 200
            assert [values(head, "x-tenant") for head in received_heads(scene)] == [[b"t1"], [b"t1"], [b"t2"]]
            assert not any(values(head, "authorization") for head in received_heads(scene))

        play_with(main)

    @pytest.mark.parametrize(
        "lines",
        [
            [], [key("k4")], [key("")], [key("k1"), key("k1")], [key("k1"), key("k3")], ["authorization: k1"],
            ["authorization: Basic k1"], [key("k1 x")], [key("t1")], ["x-tenant: t1"], [key(key_digest(b"k1"))],
        ],
    )  # fmt: skip
    def test_that_is_missing_unknown_or_unclear_is_refused_and_nothing_runs(self, lines: list[str]) -> None:
        async def main(scene: Scene) -> None:
            connection = await Connection.open()
            for path in ("/o/x", "/i/x", "/s/x", "/r/x", "/l/x"):
                status, head = await connection.ask(*lines, path=path, body=b"body")
                assert (status, head["www-authenticate"], head["content-type"]) == (401, "Bearer", "application/json")
            assert scene.ran == [0]

        play_with(main)

    def test_is_read_whatever_the_case_of_its_scheme(self) -> None:
        async def main(scene: Scene) -> None:
            for scheme in ("bearer", "BEARER", "Bearer "):
                assert (await scene.ask("/o/x", Authorization=f"{scheme} k1"))[0] == 200

        play_with(main)

    def test_is_checked_only_if_a_route_matches_and_the_configuration_is_fresh(self) -> None:
        async def main(scene: Scene) -> None:
            assert (await scene.ask("/none"))[0] == 404
            assert (await scene.ask("/o/x", host="other.example"))[0] == 404
            scene.relay.unready = lambda: "no fresh news"
            status, head, _, _ = await scene.ask("/o/x", authorization="Bearer k4")
            assert status == 503 and float(head["retry-after"]) > 0

        play_with(main)

    def test_is_not_needed_on_a_public_route_nor_forwarded_there(self) -> None:
        async def main(scene: Scene) -> None:
            for lines in ([], [key("k1")], [key("k4")], ["x-tenant: t1"]):
                assert (await (await Connection.open()).ask(*lines, path="/p/x"))[0] == 200
            for head in received_heads(scene):
                assert values(head, "x-tenant") == values(head, "authorization") == []

        play_with(main)

    def test_is_not_needed_without_tenants_and_the_clients_header_is_forwarded_there(self) -> None:
        async def main(scene: Scene) -> None:
            assert (await scene.ask("/o/x", authorization="Basic mine", x_tenant="t1"))[0] == 200
            assert (
                values(received_heads(scene)[0], "authorization") == [b"Basic mine"]
                and values(received_heads(scene)[0], "x-tenant") == []
            )

        play({"w1": answer_ok}, main)

    def test_is_forwarded_as_its_tenants_name_whatever_name_the_client_gives(self) -> None:
        async def main(scene: Scene) -> None:
            for lines in (
                ["x-tenant: t2"], ["X-Tenant: t2", "x-tenant: t2"], ["x-tenant: t2", "connection: x-tenant, authorization"],
            ):  # fmt: skip
                assert (await (await Connection.open()).ask(key("k1"), *lines))[0] == 200
            assert [values(head, "x-tenant") for head in received_heads(scene)] == [[b"t1"]] * 3
            assert not any(values(head, "authorization") for head in received_heads(scene))

        play_with(main)


class Test_a_revision:
    def test_takes_a_key_away_from_a_client_on_its_open_connection(self) -> None:
        async def main(scene: Scene) -> None:
            connection, other = await Connection.open(), await Connection.open()
            assert (await connection.ask(key("k1")))[0] == 200
            scene.change(tenants(t1=tenant("k2"), t2=tenant("k3")))
            assert (await connection.ask(key("k1"), body=b"body"))[0] == 401
            assert (await connection.ask(key("k2")))[0] == 200 and (await other.ask(key("k3")))[0] == 200
            scene.change(tenants(t1=tenant("k1"), t2=tenant("k3")))
            assert (await connection.ask(key("k1")))[0] == 200
            assert scene.ran == [4]

        play_with(main)

    def test_adds_keys_and_moves_them_to_other_tenants(self) -> None:
        async def main(scene: Scene) -> None:
            connection = await Connection.open()
            assert (await connection.ask(key("k4")))[0] == 401
            scene.change(tenants(t1=tenant("k1", "k4"), t2=tenant("k2", "k3")))
            assert [(await connection.ask(key(name)))[0] for name in ("k4", "k2", "k1")] == [200] * 3
            assert [header_value(head, "x-tenant") for head in received_heads(scene)] == ["t1", "t2", "t1"]

        play_with(main)

    @pytest.mark.parametrize(
        ("after", "status"),
        [({"t1": tenant("k2")}, 401), ({}, 401), ({"t1": tenant("k2"), "t2": tenant("k1")}, 503), (None, 503)],
    )
    def test_stops_requests_that_were_authenticated_before_but_not_sent_yet(self, after: Any, status: int) -> None:
        async def main(scene: Scene) -> None:
            connection = await Connection.open()
            heads = ["POST /o/x HTTP/1.1", "host: shop.example", "x-call-id: c1", key("k1"), "content-length: 4"]
            connection.writer.write(("\r\n".join(heads) + "\r\n\r\n").encode())
            await asyncio.sleep(0.1)
            if after is None:
                scene.change(lambda configuration: configuration.pop("tenants"))
            else:
                scene.change(tenants(**after))
            connection.writer.write(b"body")
            actual_status, head, _, _ = await read_answer(connection.reader)
            assert actual_status == status and ("retry-after" in head) == (status == 503)
            assert scene.ran == [0]

        play_with(main)

    def test_stops_one_whose_worker_is_chosen_already(self) -> None:
        async def main(scene: Scene) -> None:
            choose = scene.relay.workers.choose

            def choose_and_withdraw(request: RelayedRequest) -> tuple[str, str] | None:
                choice = choose(request)
                scene.change(tenants(t1=tenant("k2")))
                return choice

            scene.relay.workers.choose = choose_and_withdraw  # type: ignore[method-assign]
            assert (await scene.ask("/i/x", authorization="Bearer k1"))[0] == 401
            assert scene.ran == [0]

        play_with(main)

    def test_that_takes_a_key_away_lets_a_response_that_has_begun_complete(self) -> None:
        async def broken(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(head) + chunk(event(0) + event(1)))
            await asyncio.sleep(0.1)
            writer.close()

        async def rest(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
            first_event = int(header_value(head, "last-event-id") or -1) + 1
            writer.write(stream_head(head) + b"".join(chunk(event(n)) for n in range(first_event, 5)) + b"0\r\n\r\n")

        async def main(scene: Scene) -> None:
            scene.change(lambda configuration: configuration["pools"]["p"]["servers"]["w2"].update(leave=True))
            task = asyncio.create_task(scene.ask("/r/x", authorization="Bearer k1"))
            await asyncio.sleep(0.05)
            scene.change(lambda configuration: configuration["pools"]["p"]["servers"]["w2"].pop("leave"))
            scene.change(tenants(t1=tenant("k2")))
            status, _, body, complete = await task
            assert (status, body, complete) == (200, b"".join(map(event, range(5))), True)
            assert [values(head, "x-tenant") for head in received_heads(scene)] == [[b"t1"], [b"t1"]]
            assert not any(values(head, "authorization") for head in received_heads(scene))

        play_with(main, {"w1": broken, "w2": rest})


class Test_the_rank:
    @pytest.mark.parametrize(
        ("own", "urgency"), [({}, "1"), ({"rank": 0}, "0"), ({"rank": 4}, "4"), ({"rank": 9}, "6")]
    )
    def test_of_a_tenant_replaces_that_of_the_route(self, own: dict[str, int], urgency: str) -> None:
        async def main(scene: Scene) -> None:
            await scene.ask("/r/x", authorization="Bearer k1", x_urgency="3")
            assert [value.decode() for value in values(received_heads(scene)[0], "x-urgency")] == [urgency]

        play_with(main, t1=tenant("k1", **own))


class FakeRateLimit:
    def __init__(self, wait_times: list[float]) -> None:
        self.wait_times, self.tenants = wait_times, list[str]()

    async def admit(self, tenant: str) -> float:
        self.tenants.append(tenant)
        return self.wait_times.pop(0)


class Test_the_rate_limit:
    def test_refuses_with_a_time_and_keeps_the_connection_though_the_body_was_not_read(self) -> None:
        async def main(scene: Scene) -> None:
            rate_limit = FakeRateLimit([2.0, 0.0, 2.0, 0.0])
            scene.relay.rate_limit = rate_limit
            connection = await Connection.open()
            status, head = await connection.ask(key("k1"), body=b"x" * 300_000)
            assert status == 429 and 1.5 <= float(head["retry-after"]) <= 2.5
            assert (await connection.ask(key("k3"), body=b"y" * 10))[0] == 200
            # Two pipelined requests; the body of the refused one, behind its response, must not be parsed as a request.
            connection.send(key("k1"), body=b"GET /o/z HTTP/1.1\r\n\r\n")
            connection.send(key("k3"), path="/o/y")
            assert [(await read_answer(connection.reader))[0] for _ in range(2)] == [429, 200]
            assert rate_limit.tenants == ["t1", "t2", "t1", "t2"] and scene.ran == [2]

        play_with(main)

    def test_is_not_asked_for_unknown_keys_public_routes_and_jobs(self) -> None:
        async def handler(*args: Any) -> None:
            tenant_names.append(args[2])
            await Relay.answer(scenes[0].relay, args[5], 202)

        async def main(scene: Scene) -> None:
            rate_limit = FakeRateLimit([])
            scene.relay.rate_limit, scene.relay.job_handler = rate_limit, handler
            scenes.append(scene)
            assert (await scene.ask("/o/x", authorization="Bearer k4"))[0] == 401
            assert (await scene.ask("/p/x", authorization="Bearer k1"))[0] == 200
            assert (await scene.ask("/l/x", authorization="Bearer k1"))[0] == 202
            assert (await scene.ask("/l/x", authorization="Bearer k4"))[0] == 401
            assert rate_limit.tenants == [] and tenant_names == ["t1"]

        scenes: list[Scene] = []
        tenant_names: list[str] = []
        play_with(main)


def test_no_key_appears_in_logs_or_metrics(caplog: pytest.LogCaptureFixture) -> None:
    async def closes_or_answers(worker: Worker, number: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        if b" /o/" in head:
            writer.close()
        else:
            await answer_ok(worker, number, head, writer)

    async def main(scene: Scene) -> None:
        for key_name in ("k1-secret", "unknown-secret", "k1-secret x"):
            for path in ("/o/x", "/i/x", "/r/x", "/l/x"):
                await scene.ask(path, authorization=f"Bearer {key_name}")
        scene.change(tenants(t1=tenant("k2-secret")))
        await scene.ask("/o/x", authorization="Bearer k1-secret")
        scene.relay.unready = lambda: "no news"
        await scene.ask("/o/x", authorization="Bearer k2-secret")
        metrics.extend(str(metric) for metric in scene.relay.requests.collect())

    metrics: list[str] = []
    logging.set_verbosity(logging.DEBUG)
    try:
        with caplog.at_level(1):
            play_with(main, {"w1": closes_or_answers}, t1=tenant("k1-secret"))
    finally:
        logging.set_verbosity(logging.INFO)
    assert "proxy-broken" in caplog.text and "proxy-rejected" in caplog.text  # the outcomes are logged
    assert "secret" not in caplog.text and "secret" not in "".join(metrics)

"""Tests of sim.interface."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from bench.plan import changed
from bench.words import plain, words
from postpass.gateway.gateway import Gateway
from sim.fleet import SimFleet
from sim.interface import (
    BAD_CALLS,
    BAD_LOTS,
    LOT,
    SendRequest,
    count_taken_requests,
    sum_last_record_numbers,
    with_fleet,
)
from sim.loop import Host


def test_bad_bodies_get_a_4xx_naming_field_and_rule_and_touch_nothing() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        before = sum_last_record_numbers(world)
        for path, cases in (("/v1/lots", BAD_LOTS), ("/v1/calls", BAD_CALLS)):
            for body, status, why in cases:
                response = await send("POST", path, body)
                assert response[0] == status and why in response[1]["error"]["why"], (str(body)[:80], response)
        for path, status in (("/nowhere", 404), ("/v1/lots/a%20b", 400), ("/v1/lots/none", 404), ("/v1/lots/none/results?start=-1", 400),
                             ("/v1/lots/none/results?most=x", 400)):  # fmt: skip
            assert (await send("GET", path))[0] == status, path
        assert (sum_last_record_numbers(world), count_taken_requests(world)) == (before, 0)

    with_fleet(check)


def test_a_lot_sent_again_is_the_same_lot_and_other_content_is_refused() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        lot = LOT | {"id": "mine"}
        assert (await send("POST", "/v1/lots", lot))[0] == 201
        await asyncio.sleep(1)
        assert (await send("POST", "/v1/lots", lot, to="e2"))[1]["state"] == "kept"
        assert (await send("POST", "/v1/lots", lot | {"items": ["c"]}))[0] == 409
        await asyncio.sleep(3)
        seen = (await send("GET", "/v1/lots/mine"))[1]
        assert (seen["state"], seen["items"], seen["done"]) == ("done", 2, 2)
        assert count_taken_requests(world) == 2
        page = (await send("GET", "/v1/lots/mine/results?most=1"))[1]
        assert (len(page["results"]), page["next"], page["whole"]) == (1, 1, False)
        assert (await send("DELETE", "/v1/lots/mine"))[1]["state"] == "done"

    with_fleet(check)


def test_a_lot_is_shown_to_its_caller_only() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        await send("POST", "/v1/lots", LOT | {"id": "mine"}, {"x-caller": "me"})
        assert (await send("GET", "/v1/lots/mine", headers={"x-caller": "you"}))[0] == 404
        assert (await send("DELETE", "/v1/lots/mine"))[0] == 404
        assert (await send("GET", "/v1/lots/mine/results", headers={"x-caller": "me"}))[0] == 200

    with_fleet(check)


def test_old_editions_and_bad_manifests_change_nothing() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        configuration = world.configuration
        response = await send("PUT", "/v1/manifest", configuration, to="c2")
        assert response[0] == 428 and "If-Match" in response[1]["error"]["why"]
        response = await send(
            "PUT", "/v1/manifest", changed(configuration, "name", "other"), {"if-match": '"7"'}, to="c3"
        )
        assert response[0] == 412 and response[2]["etag"] == '"1"'
        bad = changed(changed(configuration, "classes.ask.share", 2), "predicate", "MAX($ALLWNODES)")
        response = await send("PUT", "/v1/manifest", bad, {"if-match": '"1"'}, to="c1")
        assert response[0] == 400 and [f.split(":")[0] for f in response[1]["flaws"]] == [
            "classes.ask.share",
            "classes",
            "predicate",
        ]
        response = await send("PUT", "/v1/manifest", changed(configuration, "parts", 9), {"if-match": '"1"'}, to="c1")
        assert response[0] == 400 and "parts: stays 4" in response[1]["error"]["why"]
        response = await send(
            "PUT", "/v1/manifest", changed(configuration, "machines.s1.retire", True), {"if-match": '"1"'}, to="c1"
        )
        assert response[0] == 400 and "4 copies can't be held by 3 stores" in response[1]["error"]["why"]
        assert (await send("PUT", "/v1/manifest", configuration, {"if-match": '"7"'}, to="c1"))[1] == {"edition": 1}
        response = await send("GET", "/v1/manifest", to="c4")
        assert response[1] == configuration and response[2]["etag"] == '"1"'

    with_fleet(check)


def test_a_caller_who_goes_has_its_work_cancelled_at_the_worker() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        body = {"class": "ask", "own": "ask:1 long #n=400", "most": 400}
        async with world.session() as session:
            url = f"http://{world.configuration['machines']['e1']['http']}/v1/calls"
            response = await session.post(url, json=body)
            assert response.status == 200
            await response.content.readline()
            busy = [b.thing for n, b in world.boxes.items() if n.startswith("w") and b.thing.runs]
            assert len(busy) == 1
            response.close()
            await asyncio.sleep(0.2)
            assert not any(not r.gone for r in busy[0].runs)
        edge = world.boxes["e1"].daemon.edge  # type: ignore[union-attr]
        assert isinstance(edge, Gateway)
        assert edge.admission.in_flight.total() == 0
        assert edge.worker_load.state_of("gpu", busy[0].name).in_flight.total() == 0

    with_fleet(check)


def test_a_once_call_with_a_key_runs_once_whichever_edge_it_is_sent_to() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        body = {"class": "ask", "own": "ask:1 x", "once": True, "key": "k1"}
        responses = await asyncio.gather(
            send("POST", "/v1/calls", body, to="e1"), send("POST", "/v1/calls", body, to="e2")
        )
        assert sorted(r[0] for r in responses) == [200, 409]
        assert (await send("POST", "/v1/calls", body, to="e2"))[0] == 409
        assert count_taken_requests(world) == 1

    with_fleet(check)


def test_a_full_backlog_is_told_at_once_and_when_to_come_back() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        body = {"class": "ask", "own": "ask:1 x #n=300", "most": 300}

        async def send_and_time() -> tuple[float, int, Any]:
            began = world.loop.clock
            response = await send("POST", "/v1/calls", body)
            return world.loop.clock - began, response[0], response[2].get("retry-after")

        responses = await asyncio.gather(*(send_and_time() for _ in range(60)))
        refused = [g for g in responses if g[1] == 429]
        assert refused and all(g[0] < 0.1 and int(g[2]) >= 1 for g in refused)
        assert all(g[1] in (200, 429, 503, 504) for g in responses) and sum(g[1] == 200 for g in responses) >= 4

    with_fleet(check, workers=1)


def test_foreign_bytes_on_an_internal_port_have_no_effect() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        for name in ("s1", "c1", "e1"):
            host, port = world.configuration["machines"][name]["peer"].split(":")
            for data in (
                b"\x00" * 64,
                b"\xff\xff\xff\xff",
                b"\x7f\xff\xff\xffx",
                b"\x00\x00\x00\x08garbage!",
                b"GET / HTTP/1.0\r\n\r\n",
            ):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                assert await reader.read(10) == b""
                writer.close()
        assert (await send("POST", "/v1/lots", LOT))[0] == 201

    with_fleet(check)


def request_bytes(own: str, most: int = 64) -> bytes:
    body = json.dumps({"class": "ask", "own": own, "most": most}).encode()
    return b"POST /v1/calls HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body) + body


def test_pipelined_and_slow_callers_get_their_own_answers() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        host, port = world.configuration["machines"]["e1"]["http"].split(":")
        # Three requests at once on one connection: the answers are complete and in the order of the requests.
        prompts = [f"ask:{i} pipelined #n={5 + i}" for i in range(3)]
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(map(request_bytes, prompts)))
        text = b""
        while text.count(b"event: done") < 3:
            data = await reader.read(1 << 16)
            assert data, text
            text += data
        positions = [text.find(f'"{w}"'.encode()) for own in prompts for w in words(own)]
        assert -1 not in positions and positions == sorted(positions)
        # A client disconnects in the middle of its stream, and another one connects: it gets nothing of the first
        # answer.
        writer.write(request_bytes("ask:7 long #n=60"))
        await reader.readuntil(b"event: piece")
        writer.close()
        response = await send("POST", "/v1/calls", {"class": "ask", "own": "ask:8 next #n=4"})
        assert [w for w in words("ask:8 next #n=4") if w not in response[1]] == []
        assert words("ask:7 long #n=60")[0].split("-")[0] not in response[1]
        # A client that doesn't read delays nobody else, and gets its complete answer once it reads.
        reader, writer = await asyncio.open_connection(host, int(port), limit=1)
        writer.write(request_bytes("ask:9 slow #n=50"))
        await asyncio.sleep(0.2)
        assert (await send("POST", "/v1/calls", {"class": "ask", "own": "ask:10 x #n=4"}))[0] == 200
        await asyncio.sleep(3)
        slow = b""
        while b"event: done" not in slow:
            slow += await reader.read(64)
        positions = [slow.find(f'"{w}"'.encode()) for w in words("ask:9 slow #n=50")]
        assert -1 not in positions and positions == sorted(positions)

    with_fleet(check)


def test_a_plain_answer_cut_anywhere_never_looks_whole() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        thing = world.boxes["p1"].thing
        size = len(plain("/view/7"))
        seen = 0
        for kind in ("cut", "bare"):
            for place in range(0, size, max(1, size // 12)):
                thing.fault = f"{kind}:{place}"
                try:
                    status, text, _ = await send("GET", "/view/7")
                except aiohttp.ClientError:
                    seen += 1  # the client's library noticed that the answer was cut off
                    continue
                assert status in (502, 503, 504), (kind, place, status, text)
                seen += 1
        assert seen >= 24
        thing.fault = ""
        await asyncio.sleep(2)
        assert (await send("GET", "/view/7"))[1] == plain("/view/7").decode()

    with_fleet(check)


def test_a_plain_answer_without_a_length_is_refused() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        world.kill("p1")
        box = world.boxes["p1"]
        host = world.loop.add(Host("p1", box.ips, box.zone))

        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # A back end that sends no length: the end of the connection may be the end of the answer, or a cut.
            head = await reader.readuntil(b"\r\n\r\n")
            whole = b"content-length: 2\r\n\r\nok" if b"/health" in head else b"\r\nhalf of i"
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n" + whole)
            writer.close()

        world.loop.create_task(asyncio.start_server(handle_connection, box.ips[0], 9000), context=host.context())
        await asyncio.sleep(2)
        response = await send("GET", "/view/7")
        assert response[0] == 502 and "without a length" in response[1]["error"]["why"], response

    with_fleet(check)


def test_a_manifest_that_some_daemon_does_not_know_is_refused_by_its_name() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        older = world.boxes["e2"].daemon
        assert older is not None
        older.release_errors = lambda raw: (  # type: ignore[method-assign]
            ["pools.gpu.offsets: unknown key"] if "offsets" in raw["pools"]["gpu"] else []
        )
        new = changed(world.configuration, "pools.gpu.offsets", False)
        response = await send("PUT", "/v1/manifest", new, {"if-match": '"1"'}, to="c2")
        assert response[0] == 400
        assert response[1]["flaws"] == ["machines.e2: it does not know this manifest: pools.gpu.offsets: unknown key"]
        plain_one = changed(world.configuration, "classes.ask.deadline", 14)
        assert (await send("PUT", "/v1/manifest", plain_one, {"if-match": '"1"'}, to="c2"))[0] == 200
        older.release_errors = lambda raw: []  # type: ignore[method-assign]
        assert (await send("PUT", "/v1/manifest", new, {"if-match": '"2"'}, to="c3"))[0] == 200

    with_fleet(check)


def test_metrics_health_and_status_are_served() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        for name in ("e1", "s1", "c1"):
            assert (await send("GET", "/health", to=name))[1]["status"] == "serving"
            assert (await send("GET", "/ready", to=name))[0] == 200
            assert "postpass_edition 1.0" in (await send("GET", "/metrics", to=name))[1]
            assert (await send("GET", "/v1/status", to=name))[1]["edition"] == 1
        words = {"e1": "postpass_open_calls 0.0", "s1": "postpass_parts_owned 1.0", "c1": "postpass_control_leads 1.0"}
        for name, word in words.items():
            text = (await send("GET", "/metrics", to=name))[1]
            assert word in text and 'postpass_events_total{number="E100"}' in text

    with_fleet(check)

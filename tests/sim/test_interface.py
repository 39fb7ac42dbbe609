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
from sim.interface import BAD_CALLS, BAD_LOTS, LOT, Say, lasts, taken, with_fleet
from sim.loop import Host


def test_bad_bodies_get_a_4xx_naming_field_and_rule_and_touch_nothing() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        before = lasts(world)
        for path, cases in (("/v1/lots", BAD_LOTS), ("/v1/calls", BAD_CALLS)):
            for body, status, why in cases:
                got = await say("POST", path, body)
                assert got[0] == status and why in got[1]["error"]["why"], (str(body)[:80], got)
        for path, status in (("/nowhere", 404), ("/v1/lots/a%20b", 400), ("/v1/lots/none", 404), ("/v1/lots/none/results?start=-1", 400),
                             ("/v1/lots/none/results?most=x", 400)):  # fmt: skip
            assert (await say("GET", path))[0] == status, path
        assert (lasts(world), taken(world)) == (before, 0)

    with_fleet(check)


def test_a_lot_sent_again_is_the_same_lot_and_other_content_is_refused() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        lot = LOT | {"id": "mine"}
        assert (await say("POST", "/v1/lots", lot))[0] == 201
        await asyncio.sleep(1)
        assert (await say("POST", "/v1/lots", lot, to="e2"))[1]["state"] == "kept"
        assert (await say("POST", "/v1/lots", lot | {"items": ["c"]}))[0] == 409
        await asyncio.sleep(3)
        seen = (await say("GET", "/v1/lots/mine"))[1]
        assert (seen["state"], seen["items"], seen["done"]) == ("done", 2, 2)
        assert taken(world) == 2
        page = (await say("GET", "/v1/lots/mine/results?most=1"))[1]
        assert (len(page["results"]), page["next"], page["whole"]) == (1, 1, False)
        assert (await say("DELETE", "/v1/lots/mine"))[1]["state"] == "done"

    with_fleet(check)


def test_a_lot_is_shown_to_its_caller_only() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        await say("POST", "/v1/lots", LOT | {"id": "mine"}, {"x-caller": "me"})
        assert (await say("GET", "/v1/lots/mine", heads={"x-caller": "you"}))[0] == 404
        assert (await say("DELETE", "/v1/lots/mine"))[0] == 404
        assert (await say("GET", "/v1/lots/mine/results", heads={"x-caller": "me"}))[0] == 200

    with_fleet(check)


def test_old_editions_and_bad_manifests_change_nothing() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        configuration = world.configuration
        got = await say("PUT", "/v1/manifest", configuration, to="c2")
        assert got[0] == 428 and "If-Match" in got[1]["error"]["why"]
        got = await say("PUT", "/v1/manifest", changed(configuration, "name", "other"), {"if-match": '"7"'}, to="c3")
        assert got[0] == 412 and got[2]["etag"] == '"1"'
        bad = changed(changed(configuration, "classes.ask.share", 2), "predicate", "MAX($ALLWNODES)")
        got = await say("PUT", "/v1/manifest", bad, {"if-match": '"1"'}, to="c1")
        assert got[0] == 400 and [f.split(":")[0] for f in got[1]["flaws"]] == [
            "classes.ask.share",
            "classes",
            "predicate",
        ]
        got = await say("PUT", "/v1/manifest", changed(configuration, "parts", 9), {"if-match": '"1"'}, to="c1")
        assert got[0] == 400 and "parts: stays 4" in got[1]["error"]["why"]
        got = await say(
            "PUT", "/v1/manifest", changed(configuration, "machines.s1.retire", True), {"if-match": '"1"'}, to="c1"
        )
        assert got[0] == 400 and "4 copies can't be held by 3 stores" in got[1]["error"]["why"]
        assert (await say("PUT", "/v1/manifest", configuration, {"if-match": '"7"'}, to="c1"))[1] == {"edition": 1}
        got = await say("GET", "/v1/manifest", to="c4")
        assert got[1] == configuration and got[2]["etag"] == '"1"'

    with_fleet(check)


def test_a_caller_who_goes_has_its_work_cancelled_at_the_worker() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        body = {"class": "ask", "own": "ask:1 long #n=400", "most": 400}
        async with world.session() as session:
            url = f"http://{world.configuration['machines']['e1']['http']}/v1/calls"
            got = await session.post(url, json=body)
            assert got.status == 200
            await got.content.readline()
            busy = [b.thing for n, b in world.boxes.items() if n.startswith("w") and b.thing.runs]
            assert len(busy) == 1
            got.close()
            await asyncio.sleep(0.2)
            assert not any(not r.gone for r in busy[0].runs)
        edge = world.boxes["e1"].daemon.edge  # type: ignore[union-attr]
        assert isinstance(edge, Gateway)
        assert edge.admission.in_flight.total() == 0
        assert edge.worker_load.state_of("gpu", busy[0].name).in_flight.total() == 0

    with_fleet(check)


def test_a_once_call_with_a_key_runs_once_whichever_edge_it_is_sent_to() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        body = {"class": "ask", "own": "ask:1 x", "once": True, "key": "k1"}
        got = await asyncio.gather(say("POST", "/v1/calls", body, to="e1"), say("POST", "/v1/calls", body, to="e2"))
        assert sorted(g[0] for g in got) == [200, 409]
        assert (await say("POST", "/v1/calls", body, to="e2"))[0] == 409
        assert taken(world) == 1

    with_fleet(check)


def test_a_full_backlog_is_told_at_once_and_when_to_come_back() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        body = {"class": "ask", "own": "ask:1 x #n=300", "most": 300}

        async def one() -> tuple[float, int, Any]:
            began = world.loop.clock
            got = await say("POST", "/v1/calls", body)
            return world.loop.clock - began, got[0], got[2].get("retry-after")

        got = await asyncio.gather(*(one() for _ in range(60)))
        shed = [g for g in got if g[1] == 429]
        assert shed and all(g[0] < 0.1 and int(g[2]) >= 1 for g in shed)
        assert all(g[1] in (200, 429, 503, 504) for g in got) and sum(g[1] == 200 for g in got) >= 4

    with_fleet(check, workers=1)


def test_foreign_bytes_on_an_internal_port_harm_nobody() -> None:
    async def check(world: SimFleet, say: Say) -> None:
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
        assert (await say("POST", "/v1/lots", LOT))[0] == 201

    with_fleet(check)


def raw_call(own: str, most: int = 64) -> bytes:
    body = json.dumps({"class": "ask", "own": own, "most": most}).encode()
    return b"POST /v1/calls HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body) + body


def test_pipelined_and_slow_callers_get_their_own_answers() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        host, port = world.configuration["machines"]["e1"]["http"].split(":")
        # Three calls at once on one connection: answers come whole, in the order of the calls.
        asked = [f"ask:{i} pipelined #n={5 + i}" for i in range(3)]
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(map(raw_call, asked)))
        text = b""
        while text.count(b"event: done") < 3:
            data = await reader.read(1 << 16)
            assert data, text
            text += data
        spots = [text.find(f'"{w}"'.encode()) for own in asked for w in words(own)]
        assert -1 not in spots and spots == sorted(spots)
        # A caller leaves in the midst of its stream, another comes on a connection of its own: nothing of the first
        # reaches it.
        writer.write(raw_call("ask:7 long #n=60"))
        await reader.readuntil(b"event: piece")
        writer.close()
        got = await say("POST", "/v1/calls", {"class": "ask", "own": "ask:8 next #n=4"})
        assert [w for w in words("ask:8 next #n=4") if w not in got[1]] == []
        assert words("ask:7 long #n=60")[0].split("-")[0] not in got[1]
        # One that doesn't read holds nobody up, and gets the whole of it when it does.
        reader, writer = await asyncio.open_connection(host, int(port), limit=1)
        writer.write(raw_call("ask:9 slow #n=50"))
        await asyncio.sleep(0.2)
        assert (await say("POST", "/v1/calls", {"class": "ask", "own": "ask:10 x #n=4"}))[0] == 200
        await asyncio.sleep(3)
        slow = b""
        while b"event: done" not in slow:
            slow += await reader.read(64)
        spots = [slow.find(f'"{w}"'.encode()) for w in words("ask:9 slow #n=50")]
        assert -1 not in spots and spots == sorted(spots)

    with_fleet(check)


def test_a_plain_answer_cut_anywhere_never_looks_whole() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        thing = world.boxes["p1"].thing
        size = len(plain("/view/7"))
        seen = 0
        for kind in ("cut", "bare"):
            for place in range(0, size, max(1, size // 12)):
                thing.fault = f"{kind}:{place}"
                try:
                    status, text, _ = await say("GET", "/view/7")
                except aiohttp.ClientError:
                    seen += 1  # cut off in a way that the caller's library tells
                    continue
                assert status in (502, 503, 504), (kind, place, status, text)
                seen += 1
        assert seen >= 24
        thing.fault = ""
        await asyncio.sleep(2)
        assert (await say("GET", "/view/7"))[1] == plain("/view/7").decode()

    with_fleet(check)


def test_a_plain_answer_without_a_length_is_refused() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        world.kill("p1")
        box = world.boxes["p1"]
        host = world.loop.add(Host("p1", box.ips, box.zone))

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # A back end of the old kind: the end of the connection is the end of the answer, or a cut.
            head = await reader.readuntil(b"\r\n\r\n")
            whole = b"content-length: 2\r\n\r\nok" if b"/health" in head else b"\r\nhalf of i"
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n" + whole)
            writer.close()

        world.loop.create_task(asyncio.start_server(take, box.ips[0], 9000), context=host.context())
        await asyncio.sleep(2)
        got = await say("GET", "/view/7")
        assert got[0] == 502 and "without a length" in got[1]["error"]["why"], got

    with_fleet(check)


def test_a_manifest_that_some_daemon_does_not_know_is_refused_by_its_name() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        older = world.boxes["e2"].daemon
        assert older is not None
        older.release_errors = lambda raw: (  # type: ignore[method-assign]
            ["pools.gpu.offsets: unknown key"] if "offsets" in raw["pools"]["gpu"] else []
        )
        new = changed(world.configuration, "pools.gpu.offsets", False)
        got = await say("PUT", "/v1/manifest", new, {"if-match": '"1"'}, to="c2")
        assert got[0] == 400
        assert got[1]["flaws"] == ["machines.e2: it does not know this manifest: pools.gpu.offsets: unknown key"]
        plain_one = changed(world.configuration, "classes.ask.deadline", 14)
        assert (await say("PUT", "/v1/manifest", plain_one, {"if-match": '"1"'}, to="c2"))[0] == 200
        older.release_errors = lambda raw: []  # type: ignore[method-assign]
        assert (await say("PUT", "/v1/manifest", new, {"if-match": '"2"'}, to="c3"))[0] == 200

    with_fleet(check)


def test_metrics_health_and_status_are_there() -> None:
    async def check(world: SimFleet, say: Say) -> None:
        for name in ("e1", "s1", "c1"):
            assert (await say("GET", "/health", to=name))[1]["status"] == "serving"
            assert (await say("GET", "/ready", to=name))[0] == 200
            assert "postpass_edition 1.0" in (await say("GET", "/metrics", to=name))[1]
            assert (await say("GET", "/v1/status", to=name))[1]["edition"] == 1
        words = {"e1": "postpass_open_calls 0.0", "s1": "postpass_parts_owned 1.0", "c1": "postpass_control_leads 1.0"}
        for name, word in words.items():
            text = (await say("GET", "/metrics", to=name))[1]
            assert word in text and 'postpass_events_total{number="E100"}' in text

    with_fleet(check)

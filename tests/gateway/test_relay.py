"""Tests the relay between simulated workers and a client, on the simulated loop, through the real HTTP server."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from prometheus_client import CollectorRegistry

from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.configuration_check import check
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Bounds, Settings
from postpass.daemon.data_plane import DataPlane
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.relay import Relay
from postpass.gateway.worker_selection import OUTCOME_INTERVALS
from postpass.http_server.limits import ConnectionLimits
from postpass.http_server.readiness import serve_ready
from postpass.routing.load_picture import WorkerUse
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, serve_http
from sim.loop import Host, SimLoop, run_sim
from tests.support.http_limits import protocol_under

Head = dict[str, str]
Play = Callable[["Worker", int, bytes, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A simulated worker: stores the requests it receives in `seen`; `play` answers the nth of them."""

    def __init__(self, name: str, play: Play) -> None:
        self.name, self.play = name, play
        self.seen: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length_match = re.search(rb"content-length: (\d+)", head)
                body = await reader.readexactly(int(length_match[1])) if length_match else b""
                self.seen.append(head + body)
                await self.play(self, len(self.seen), head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


def header_value(head: bytes, name: str) -> str:
    value_match = re.search(rb"\r\n" + name.encode() + rb": ([^\r]*)", head)
    return value_match[1].decode() if value_match else ""


def reply(head: bytes, body: bytes = b"ok", status: str = "200 OK", *more: str, seal: bool = True) -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Call-Id: {header_value(head, 'x-call-id')}",
        f"Content-Length: {len(body)}",
        *more,
    ]
    lines += ["X-Seal: s1"] if seal else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(head: bytes) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Call-Id: {header_value(head, 'x-call-id')}\r\nX-Seal: s1\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(n: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (n, n)


async def answer_ok(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(reply(head))


def route(kind: Any, prefix: str, **more: Any) -> Route:
    base: Any = {
        "host": "Shop.example", "prefix": prefix, "kind": kind, "split": [{"pool": "p", "weight": 1}], "timeout": 5.0,
        "target": 0.4, "rank": 1, "tries": 2, "resumable": False, "gap": 0.0, "tokens": False, "quota": 0, "due": 0.0,
        "expire": 0.0,
    }  # fmt: skip
    return base | more  # type: ignore[no-any-return]


def relay_configuration(names: list[str]) -> Configuration:
    configuration: Configuration = {
        "name": "x", "areas": ["a"], "parts": 1, "copies": 1, "classes": {}, "ways": {}, "announced": True,
        "machines": {"e": {"area": "a", "peer": "127.0.0.1:1", "http": "127.0.0.1:2", "duties": ["edge"]}},
        "pools": {"p": {"kind": "plain", "servers": {
            n: {"url": f"http://127.0.1.{i + 1}:9", "area": "a", "slots": 4} for i, n in enumerate(names)}}},
        "routes": {
            "idem": route("idem", "/i/"), "once": route("once", "/o/"), "deep": route("once", "/o/deep/", tries=1),
            "stream": route("stream", "/s/"), "resume": route("stream", "/r/", resumable=True, tokens=True),
            "lot": route("lot", "/l/"),
        },
    }  # fmt: skip
    return check(configuration).unwrap()


class Scene:
    def __init__(
        self,
        loop: SimLoop,
        relay: Relay,
        configuration_view: ConfigurationView,
        workers: list[Worker],
        hosts: list[Host],
    ) -> None:
        self.loop, self.relay, self.configuration_view, self.workers, self.hosts = (
            loop,
            relay,
            configuration_view,
            workers,
            hosts,
        )

    @property
    def ran(self) -> list[int]:
        return [len(w.seen) for w in self.workers]

    def change(self, edit: Callable[[Any], Any]) -> None:
        import copy

        configuration = copy.deepcopy(self.configuration_view.manifest)
        edit(configuration)
        assert self.configuration_view.accept(self.configuration_view.revision + 1, configuration)

    async def ask(
        self, path: str, body: bytes = b"", method: str = "POST", host: str = "shop.example:80", **more: str
    ) -> tuple[int, Head, bytes, bool]:
        """Sends a request; returns status, headers and body of the answer, and whether it arrived completely."""
        reader, writer = await asyncio.open_connection("127.0.0.1", 2)
        heads = {"host": host, "x-call-id": "c1", "content-length": str(len(body))}
        heads |= {k.replace("_", "-"): v for k, v in more.items()}
        lines = "".join(f"{k}: {v}\r\n" for k, v in heads.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        answer = await read_answer(reader)
        writer.close()
        return answer


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, Head, bytes, bool]:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return 0, {}, b"", False
    first, *rest = raw.decode().strip().split("\r\n")
    head = {k.lower(): v for k, v in (line.split(": ", 1) for line in rest)}
    body = b""
    try:
        if "content-length" in head:
            body = await reader.readexactly(int(head["content-length"]))
        else:
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
    except (asyncio.IncompleteReadError, ValueError):
        return int(first.split()[1]), head, body, False
    return int(first.split()[1]), head, body, True


def play(
    plays: dict[str, Play], main: Callable[[Scene], Awaitable[Any]], limits: ConnectionLimits | None = None
) -> Any:
    async def world(loop: SimLoop) -> Any:
        edge_host = loop.add(Host("e", ("127.0.0.1",), "a"))
        client_host = loop.add(Host("c", ("127.0.0.9",), "a"))
        workers = [Worker(n, p) for n, p in plays.items()]
        hosts = []
        for i, worker in enumerate(workers):
            worker_host = loop.add(Host(worker.name, (f"127.0.1.{i + 1}",), "a"))
            hosts.append(worker_host)
            await loop.create_task(
                asyncio.start_server(worker.take, f"127.0.1.{i + 1}", 9), context=worker_host.context()
            )  # type: ignore[arg-type]
        settings = Settings("e", "a", "127.0.0.1:1", "127.0.0.1:2", ("127.0.0.1:1",), ("edge",), announce=True)
        configuration_view = ConfigurationView("e")
        assert configuration_view.accept(1, relay_configuration(list(plays)))
        relay = Relay(settings, Environment(), configuration_view, Dialect(), CollectorRegistry())
        bound = limits or ConnectionLimits(16384, 5.0, 15.0)
        stop = asyncio.Event()
        server = loop.create_task(
            serve_http(relay, "127.0.0.1", 2, stop, 5.0, protocol_under(lambda: bound, 3.0)),
            context=edge_host.context(),
        )
        await asyncio.sleep(0.01)
        try:
            scene = Scene(loop, relay, configuration_view, workers, hosts)
            result: Any = await loop.create_task(main(scene), context=client_host.context())  # type: ignore[arg-type]
            assert loop.errors == []
            assert all(h.in_flight == 0 for h in relay.workers.health_by_worker.values())
            return result
        finally:
            server.cancel()

    return run_sim(world)


def test_bytes_pass_untouched_and_connection_headers_do_not() -> None:
    async def main(scene: Scene) -> None:
        response = await scene.ask(
            "/i/a%2Fb//c?x=%20&&y", b"\x00body", x_other="1", te="trailers", connection="close, x-hop", x_hop="1",
            x_deadline_ms="900",
        )  # fmt: skip
        assert response[0] == 200 and response[2] == b"ok" and response[3]
        assert response[1]["x-seal"] == "s1" and response[1]["x-call-id"] == "c1"
        seen = scene.workers[0].seen[0]
        assert seen.startswith(b"POST /i/a%2Fb//c?x=%20&&y HTTP/1.1\r\n") and seen.endswith(b"\r\n\r\n\x00body")
        assert header_value(seen, "host") == "shop.example:80" and header_value(seen, "x-other") == "1"
        assert header_value(seen, "x-want-worker") == "w1" and 850 < int(header_value(seen, "x-deadline-ms")) <= 900
        assert not header_value(seen, "te") and not header_value(seen, "x-hop") and not header_value(seen, "connection")
        await scene.ask("/i/?", method="GET", x_call_id="c2")
        assert scene.workers[0].seen[1].startswith(b"GET /i/? HTTP/1.1\r\n")
        assert 4900 < int(header_value(scene.workers[0].seen[1], "x-deadline-ms")) <= 5000
        assert len(scene.workers[0].writers) == 1
        await scene.ask("/i/?", method="GET")  # the first one's id: a late answer to that could be taken for this one's
        assert len(scene.workers[0].writers) == 2

    play({"w1": answer_ok}, main)


def test_an_unmatched_request_gets_404_and_an_unready_edge_answers_503() -> None:
    async def main(scene: Scene) -> None:
        assert (await scene.ask("/none/"))[0] == 404
        assert (await scene.ask("/i/x", host="other.example"))[0] == 404
        assert (await scene.ask("/i"))[0] == 404
        assert (await scene.ask("/l/x"))[0] == 503
        scene.relay.unready = lambda: "no news"
        # Right after the start, control may be starting as well and be ready soon; later, only this edge isn't ready.
        for least, most, wait in ((0.37, 0.76, 0.5), (1.1, 2.1, 2.0), (0.37, 0.63, 0.0)):
            for path in ("/i/x", "/none/"):
                status, head, _, _ = await scene.ask(path)
                assert status == 503 and least < float(head["retry-after"]) < most
            await asyncio.sleep(wait)
        scene.relay.unready = lambda: ""
        scene.change(lambda m: m["routes"].pop("idem"))
        assert (await scene.ask("/i/x"))[0] == 404
        assert scene.ran == [0]

    play({"w1": answer_ok}, main)


def refusing(status: str, *more: str) -> Play:
    async def answer_play(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head, b"", status, *more, seal=False))

    return answer_play


CHUNKED = b"Transfer-Encoding: chunked"
FULL = refusing("503 Full", "X-Not-Run: 1")


def test_a_proof_that_it_did_not_run_lets_any_kind_go_elsewhere() -> None:
    for status, more in (("503 Full", ("X-Not-Run: 1",)), ("429 Slow", ("X-Not-Run: 1",)), ("421 Other", ())):

        async def main(scene: Scene) -> None:
            for path in ("/o/x", "/i/x", "/s/x", "/r/x"):
                assert (await scene.ask(path))[0] == 200
            assert scene.ran[2] == 4

        play({"w1": refusing(status, *more), "w2": refusing(status, *more), "w3": answer_ok}, main)


@pytest.mark.parametrize("wanted", [True, False])
def test_a_worker_with_other_weights_than_a_client_wants_is_not_avoided(wanted: bool) -> None:
    """A 421 means that the address belongs to another worker; it is avoided unless the client asked for a version."""
    headers: dict[str, Any] = {"x_want_version": "7"} if wanted else {}

    async def main(scene: Scene) -> None:
        assert (await scene.ask("/i/x", **headers))[0] == 503
        health = scene.relay.workers.health_by_worker
        assert [health[w].failures for w in ("w1", "w2")] == ([0, 0] if wanted else [1, 1])
        assert all((b"x-want-version: 7" in w.seen[0].lower()) is wanted for w in scene.workers)

    play({"w1": refusing("421 Other"), "w2": refusing("421 Other")}, main)


def test_a_refused_connection_proves_that_nothing_ran_and_its_worker_is_avoided() -> None:
    async def main(scene: Scene) -> None:
        scene.loop.kill(scene.hosts[0])
        for _ in range(6):
            assert (await scene.ask("/o/x"))[0] == 200
        assert scene.relay.workers.health_by_worker["w1"].failures <= 2

    play({"w1": answer_ok, "w2": answer_ok}, main)


def test_a_request_that_no_worker_takes_is_rejected_at_once_with_a_retry_delay() -> None:
    async def main(scene: Scene) -> None:
        before = scene.loop.clock
        status, head, _, _ = await scene.ask("/o/x")
        assert status == 503 and 0 < float(head["retry-after"]) <= 0.2
        assert scene.ran == [1, 1] and scene.loop.clock - before < 0.1

    play({"w1": FULL, "w2": FULL}, main)


def test_a_once_request_that_may_have_run_is_never_promised_nor_repeated() -> None:
    async def cut(_w: Worker, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.close()

    unproved_plays: list[Play] = [
        cut, refusing("503 Full"), refusing("429 Slow"), refusing("408 Late"), refusing("200 OK"),
        refusing("200 OK", "X-Seal: s1", "Content-Encoding: gzip"),
    ]  # fmt: skip

    async def main(scene: Scene) -> None:
        for path in ("/o/x", "/s/x"):
            assert (await scene.ask(path))[0] == 502
        assert sum(scene.ran) == 2

    for answer_play in unproved_plays:
        play({"w1": answer_play, "w2": answer_play}, main)


def test_a_success_that_says_that_it_did_not_run_is_not_passed_on() -> None:
    async def main(scene: Scene) -> None:
        assert (await scene.ask("/o/x"))[0] == 502 and sum(scene.ran) == 1

    for seal in ((), ("X-Seal: s1",)):
        answer_play = refusing("200 OK", "X-Not-Run: 1", *seal)
        play({"w1": answer_play, "w2": answer_play}, main)


def test_a_refusal_that_is_no_answer_in_the_protocol_proves_nothing() -> None:
    async def garbled(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head, b"", "503 Full", "X-Not-Run: 1").replace(b"Content-Length: 0", CHUNKED) + b"zz\r\n")

    async def main(scene: Scene) -> None:
        assert (await scene.ask("/o/x"))[0] == 502 and sum(scene.ran) == 1

    play({"w1": garbled, "w2": garbled}, main)


def test_a_refusal_whose_body_is_cut_or_late_is_a_proof() -> None:
    async def cut(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head, b"body", "421 Other")[:-2])
        writer.close()

    async def stalls(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head, b"body", "503 Full", "X-Not-Run: 1")[:-2])

    async def main(scene: Scene) -> None:
        for _ in range(4):
            assert (await scene.ask("/o/x"))[0] == 200
        assert scene.ran[1] == 4

    for answer_play in (cut, stalls):
        play({"w1": answer_play, "w2": answer_ok}, main)


def test_a_workers_408_is_a_refusal_like_the_others() -> None:
    async def main(scene: Scene) -> None:
        status, head, _, _ = await scene.ask("/o/x")
        assert status == 503 and float(head["retry-after"]) > 0 and scene.ran == [1, 1]

    play({"w1": refusing("408 Late", "X-Not-Run: 1"), "w2": refusing("408 Late", "X-Not-Run: 1")}, main)


def test_a_head_with_two_request_ids_is_not_passed_on() -> None:
    async def main(scene: Scene) -> None:
        assert (await scene.ask("/o/x"))[0] == 502 and sum(scene.ran) == 1

    play({"w1": refusing("200 OK", "X-Call-Id: c0", "X-Seal: s1")}, main)


def test_an_answer_without_a_length_is_not_passed_on() -> None:
    async def endless(_w: Worker, n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head).replace(b"Content-Length", b"Contejt-Length") + reply(head, b"surplus"))

    async def main(scene: Scene) -> None:
        assert (await scene.ask("/o/x"))[0] == 502

    play({"w1": endless}, main)


def test_an_answer_that_has_no_body_tells_no_length() -> None:
    async def main(scene: Scene) -> None:
        status, head, _, _ = await scene.ask("/o/x", method="HEAD")
        assert status == 204 and "content-length" not in head and "connection" not in head

    play({"w1": refusing("204 None", "X-Seal: s1")}, main)


def test_a_request_without_an_id_gets_no_answer_that_has_one() -> None:
    async def late(_w: Worker, n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        stale = b"c0" if n == 1 else b""
        writer.write(reply(head.replace(b"\r\n\r\n", b"\r\nx-call-id: " + stale + b"\r\n\r\n")))

    async def main(scene: Scene) -> None:
        async def ask() -> int:
            reader, writer = await asyncio.open_connection("127.0.0.1", 2)
            writer.write(b"POST /o/x HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 0\r\n\r\n")
            status = (await read_answer(reader))[0]
            writer.close()
            return status

        assert [await ask(), await ask()] == [502, 200]

    play({"w1": late}, main)


async def send(data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection("127.0.0.1", 2)
    writer.write(data)
    return reader, writer


ASK = b"POST /o/x HTTP/1.1\r\nhost: shop.example\r\nx-call-id: c1\r\ncontent-length: %d\r\n\r\n"


def test_junk_behind_a_request_leaves_its_answer_whole_and_ends_the_connection() -> None:
    async def slow(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        writer.write(reply(head, b"whole body")[:-5])
        await asyncio.sleep(0.2)
        writer.write(b" body")

    async def main(scene: Scene) -> None:
        for after in (0.0, 0.3):
            reader, writer = await send(ASK % 0)
            await asyncio.sleep(after)
            writer.write(b"\x00junk\r\n\r\n")
            status, head, body, complete = await read_answer(reader)
            assert (status, head["x-seal"], body, complete) == (200, "s1", b"whole body", True)
            assert await reader.read() == b""
        # Junk in place of a request, or of the rest of one, is answered with 400.
        reader, _ = await send(b"\x00junk\r\n\r\n")
        assert (await read_answer(reader))[0] == 400
        reader, _ = await send((ASK % 0).replace(b"content-length: 0", b"transfer-encoding: chunked") + b"zz\r\n")
        assert (await read_answer(reader))[0] == 400
        assert scene.ran == [2]

    play({"w1": slow}, main)


def test_a_request_that_stays_half_sent_does_not_cut_the_answer_before_it() -> None:
    async def slow(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1.0)
        writer.write(reply(head))

    async def main(scene: Scene) -> None:
        reader, writer = await send(ASK % 0)
        await asyncio.sleep(0.1)
        writer.write(b"POST /o/y HT")
        assert (await read_answer(reader))[0] == 200
        assert await reader.read() == b"" and scene.ran == [1]

    play({"w1": slow}, main, ConnectionLimits(300, 0.5, 1.0))


def test_each_rejection_has_a_retry_delay_and_is_sent_at_once() -> None:
    async def main(scene: Scene) -> None:
        async def refused(data: bytes, status: int, within: float) -> None:
            began = scene.loop.clock
            reader, writer = await send(data)
            answered_status, head, _, complete = await read_answer(reader)
            assert (answered_status, complete) == (status, True) and 0 < float(head["retry-after"]) < 2.1
            assert scene.loop.clock - began < within
            writer.close()

        request_bytes = ASK % 0
        await refused(request_bytes, 503, 0.1)  # all workers are full
        await refused(request_bytes.replace(b"x-call-id", b"x-deadline-ms: 0\r\nx-call-id"), 503, 0.1)
        await refused(request_bytes[:-9], 408, 0.6)  # the rest of the head never arrives
        late = (ASK % 9).replace(b"x-call-id", b"x-deadline-ms: 300\r\nx-call-id")
        await refused(late + b"half", 408, 0.4)  # the rest of the body never arrives
        await refused(request_bytes.replace(b"/o/x", b"/l/x"), 503, 0.1)  # there is no handler of jobs
        scene.relay.unready = lambda: "no news"
        for path in (b"/o/x", b"/none"):
            await refused(
                (ASK % 9).replace(b"/o/x", path), 503, 0.1
            )  # an edge that isn't ready answers before it has read the body
        scene.relay.unready = lambda: ""
        scene.change(lambda m: m["pools"]["p"]["servers"].clear())
        await refused(request_bytes, 503, 0.1)  # there is no worker

    play({"w1": FULL, "w2": refusing("429 Slow", "X-Not-Run: 1")}, main, ConnectionLimits(300, 0.5, 1.0))


def test_an_idempotent_request_goes_elsewhere_after_any_failure() -> None:
    async def cut(_w: Worker, n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head, b"whole body")[: -3 if n % 2 else -12])
        writer.close()

    async def main(scene: Scene) -> None:
        for _ in range(8):
            assert (await scene.ask("/i/x", x_deadline_ms="2000"))[:1] == (200,)
            await asyncio.sleep(2)

    for answer_play in (cut, refusing("500 Oops"), refusing("200 OK"), refusing("503 Full")):
        play({"w1": answer_play, "w2": answer_ok}, main)


def test_a_workers_own_failure_is_passed_on_when_nothing_is_left_to_try() -> None:
    async def main(scene: Scene) -> None:
        assert (await scene.ask("/i/x"))[0] == 500 and scene.ran == [1, 1]
        assert (await scene.ask("/o/x"))[0] == 500 and sum(scene.ran) == 3

    play({"w1": refusing("500 Oops"), "w2": refusing("500 Oops")}, main)


def test_a_worker_that_answers_with_failures_is_avoided_and_reported_to_others() -> None:
    async def main(scene: Scene) -> None:
        while not scene.workers[0].seen:
            await scene.ask("/o/x")
        failed = scene.ran[0]
        for _ in range(4):
            assert (await scene.ask("/o/x"))[0] == 200
        assert scene.ran[0] == failed
        reported_use = scene.relay.workers.own_use()
        assert reported_use["w1"] == WorkerUse(failed=1) and reported_use["w2"] == WorkerUse(answered=1)
        await asyncio.sleep(scene.relay.settings.bounds.load_exchange_interval * OUTCOME_INTERVALS * 2)
        assert scene.relay.workers.own_use() == {}

    play({"w1": refusing("500 Oops"), "w2": answer_ok}, main)


def test_an_answer_to_another_request_is_not_passed_on() -> None:
    async def late(_w: Worker, n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(reply(head.replace(b"c1", b"c0") if n == 1 else head))

    async def main(scene: Scene) -> None:
        assert (await scene.ask("/o/x"))[0] == 502
        assert (await scene.ask("/o/x"))[0] == 200
        assert len(scene.workers[0].writers) == 2

    play({"w1": late}, main)


def test_events_leave_at_once_and_a_cut_stream_never_looks_whole() -> None:
    async def stream(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(head))
        for n in range(3):
            await asyncio.sleep(0.5)
            writer.write(chunk(event(n)))
        if b"/s/whole" in head:
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(0.01)
            writer.close()

    async def main(scene: Scene) -> None:
        assert (await scene.ask("/s/cut"))[2:] == (event(0) + event(1) + event(2), False)
        assert (await scene.ask("/s/whole"))[2:] == (event(0) + event(1) + event(2), True)
        reader, writer = await asyncio.open_connection("127.0.0.1", 2)
        began = scene.loop.clock
        writer.write(b"POST /s/whole HTTP/1.1\r\nhost: shop.example\r\nx-call-id: c1\r\ncontent-length: 0\r\n\r\n")
        await reader.readuntil(b"id: 0")
        assert scene.loop.clock - began < 0.51
        writer.close()
        await asyncio.sleep(0.1)

    play({"w1": stream}, main)


def test_a_resumable_stream_goes_on_at_another_worker_inside_one_answer() -> None:
    async def broken(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(head) + chunk(event(0) + event(1) + event(2)[:4]))
        await asyncio.sleep(0.1)
        writer.close()

    async def rest(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        at = int(header_value(head, "last-event-id") or -1) + 1
        writer.write(stream_head(head).replace(b"s1", b"s2"))
        for n in range(at, 5):
            writer.write(chunk(event(n)))
        writer.write(b"0\r\n\r\n")

    async def main(scene: Scene) -> None:
        scene.change(lambda m: m["pools"]["p"]["servers"]["w2"].update(leave=True))
        task = asyncio.create_task(scene.ask("/r/x", x_prompt_prefix="a:5,b:6"))
        await asyncio.sleep(0.05)
        scene.change(lambda m: m["pools"]["p"]["servers"]["w2"].pop("leave"))
        status, head, body, complete = await task
        assert (status, head["x-seal"], body, complete) == (200, "s1", b"".join(map(event, range(5))), True)
        assert (
            header_value(scene.workers[1].seen[0], "last-event-id") == "1"
            and header_value(scene.workers[1].seen[0], "x-urgency") == "1"
        )

    play({"w1": broken, "w2": rest}, main)


def test_a_run_that_starts_at_another_event_is_not_joined() -> None:
    async def broken(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(head) + chunk(event(0) + event(1)))
        await asyncio.sleep(0.1)
        writer.close()

    async def main(scene: Scene) -> None:
        assert (await scene.ask("/r/x"))[2:] == (event(0) + event(1), False)
        assert scene.ran == [1, 1]

    play({"w1": broken, "w2": broken}, main)


def test_before_its_first_event_a_resumable_stream_is_simply_asked_for_again() -> None:
    async def empty(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(head) + chunk(b"id: 0\nda"))
        await asyncio.sleep(0.1)
        writer.close()

    async def complete_answer(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(head).replace(b"s1", b"s2") + chunk(event(0)) + b"0\r\n\r\n")

    async def main(scene: Scene) -> None:
        for _ in range(4):
            status, head, body, done = await scene.ask("/r/x")
            assert (status, head["x-seal"], body, done) == (200, "s2", event(0), True)
            await asyncio.sleep(2)

    play({"w1": empty, "w2": complete_answer}, main)


def test_a_request_is_cancelled_when_its_client_disconnects() -> None:
    async def slow(w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1)
        writer.write(reply(head))

    async def main(scene: Scene) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", 2)
        writer.write(b"POST /o/x HTTP/1.1\r\nhost: shop.example\r\nx-call-id: c1\r\ncontent-length: 0\r\n\r\n")
        await asyncio.sleep(0.2)
        assert scene.ran == [1] and scene.relay.connections.busy_count("127.0.1.1:9") == 1
        writer.close()
        await asyncio.sleep(0.2)
        assert scene.relay.connections.busy_count("127.0.1.1:9") == 0

    play({"w1": slow}, main)


def test_the_deadline_ends_what_a_worker_is_silent_on() -> None:
    async def silent(_w: Worker, _n: int, _head: bytes, _writer: asyncio.StreamWriter) -> None:
        return

    async def main(scene: Scene) -> None:
        before = scene.loop.clock
        assert (await scene.ask("/o/x", x_deadline_ms="800"))[0] == 504
        assert 0.8 <= scene.loop.clock - before < 1.2

    play({"w1": silent}, main)


def test_leaving_evacuated_and_changed_workers_get_nothing() -> None:
    async def main(scene: Scene) -> None:
        scene.change(lambda m: m["pools"]["p"]["servers"]["w1"].update(leave=True))
        assert (await scene.ask("/o/x"))[0] == 200 and scene.ran == [0, 1]
        scene.change(lambda m: m.update(evacuated=["a"]))
        status, head, _, _ = await scene.ask("/o/x")
        assert status == 503 and "retry-after" in head and scene.ran == [0, 1]
        scene.change(lambda m: (m.pop("evacuated"), m["pools"]["p"]["servers"]["w1"].pop("leave")))
        # If the worker leaves while the connection is being opened, nothing is written.
        task = asyncio.create_task(scene.ask("/o/deep/x"))
        while not any(scene.relay.connections.opened.values()):
            await asyncio.sleep(0.00005)
        scene.change(lambda m: m["pools"]["p"]["servers"].clear())
        assert (await task)[0] in (200, 503)

    play({"w1": answer_ok, "w2": answer_ok}, main)


def test_late_answers_and_rejections_are_logged() -> None:
    async def stalls(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(head) + chunk(event(0)))
        await asyncio.sleep(0.25)
        writer.write(chunk(event(1)) + b"0\r\n\r\n")

    async def main(scene: Scene) -> None:
        scene.change(lambda m: m["routes"]["stream"].update(gap=0.3))
        log_events.RECENT.clear()
        assert (await scene.ask("/s/x"))[0] == 200
        assert not [e for e in log_events.RECENT if e[0] == 172]
        scene.change(lambda m: m["routes"]["stream"].update(gap=0.2))
        assert (await scene.ask("/s/x", x_tokens="715,80"))[0] == 200
        log_lines = [text for number, text in log_events.RECENT if number == 172]
        assert len(log_lines) == 1 and "pause=0.25" in log_lines[0] and "tokens=715,80" in log_lines[0]
        scene.change(lambda m: m["pools"]["p"]["servers"].clear())
        for _ in range(5):
            assert (await scene.ask("/s/x"))[0] == 503
        assert len([e for e in log_events.RECENT if e[0] == 173]) == 1
        await asyncio.sleep(1)
        assert (await scene.ask("/s/x"))[0] == 503
        assert [e for e in log_events.RECENT if e[0] == 173][-1][1].endswith(": 5}")

    play({"w1": stalls}, main)


def test_a_cold_worker_gets_its_share_and_no_more() -> None:
    async def main(scene: Scene) -> None:
        scene.change(
            lambda m: (m["pools"]["p"].update(cold_rate=2.0), m["pools"]["p"]["servers"]["w1"].update(cold=True))
        )
        for _ in range(100):
            assert (await scene.ask("/o/x"))[0] == 200
            await asyncio.sleep(0.05)
        assert 0 < scene.ran[0] <= 1 + 0.7 * 2 * 6 and scene.ran[1] == 100 - scene.ran[0]

    play({"w1": answer_ok, "w2": answer_ok}, main)


def test_bodies_heads_and_slow_clients_are_bounded() -> None:
    async def main(scene: Scene) -> None:
        scene.change(lambda m: m.update(limits={"body_bytes": 10}))
        assert (await scene.ask("/o/x", b"x" * 10))[0] == 200
        assert (await scene.ask("/o/x", b"x" * 11))[0] == 413
        assert (await scene.ask("/o/x", x_long="y" * 400))[0] == 431
        assert (await scene.ask("/o/x", x_long="y" * 4000))[0] == 431
        reader, writer = await asyncio.open_connection("127.0.0.1", 2)
        writer.write(b"POST /o/x HTTP/1.1\r\nhost")
        assert (await read_answer(reader))[0] == 408
        reader, writer = await asyncio.open_connection("127.0.0.1", 2)
        assert await reader.read() == b""
        writer.write(b"")
        chunked = b"POST /o/x HTTP/1.1\r\nhost: shop.example\r\nx-call-id: c1\r\ntransfer-encoding: chunked\r\n\r\n"
        for size, status in ((3, 200), (30, 413)):
            reader, writer = await asyncio.open_connection("127.0.0.1", 2)
            writer.write(chunked + chunk(b"x" * size) + b"0\r\n\r\n")
            assert (await read_answer(reader))[0] == status
        assert scene.ran == [2]
        assert (
            scene.workers[0].seen[1].endswith(b"\r\n\r\nxxx")
            and header_value(scene.workers[0].seen[1], "content-length") == "3"
        )

    play({"w1": answer_ok}, main, ConnectionLimits(300, 0.5, 1.0))


def test_a_leaving_edge_sends_connection_close_with_its_answers() -> None:
    async def main(scene: Scene) -> None:
        assert "connection" not in (await scene.ask("/o/x"))[1]
        scene.relay.leaving = True
        assert (await scene.ask("/o/x"))[1]["connection"] == "close"
        assert (await scene.ask("/none"))[1]["connection"] == "close"

    play({"w1": answer_ok}, main)


def test_readiness_is_reported_at_any_path_that_ends_with_ready() -> None:
    async def world(loop: SimLoop) -> list[int]:
        edge_host = loop.add(Host("e", ("127.0.0.1",), "a"))
        is_ready = [True]
        task = loop.create_task(serve_ready("127.0.0.1:3", lambda: is_ready[0]), context=edge_host.context())
        await asyncio.sleep(0.01)

        async def ask(path: str) -> int:
            reader, writer = await asyncio.open_connection("127.0.0.1", 3)
            writer.write(f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
            status = (await read_answer(reader))[0]
            writer.close()
            return status

        async def main() -> list[int]:
            statuses = [await ask("/-/ready"), await ask("/ready"), await ask("/other")]
            is_ready[0] = False
            return [*statuses, await ask("/-/ready")]

        result = await loop.create_task(main(), context=edge_host.context())
        task.cancel()
        return result

    assert run_sim(world) == [200, 200, 404, 503]


def test_the_data_plane_of_an_announced_fleet_relays() -> None:
    async def world(loop: SimLoop) -> None:
        edge_host = loop.add(Host("e", ("127.0.0.1",), "a"))
        settings = Settings(
            "e", "a", "127.0.0.1:1", "127.0.0.1:2", ("127.0.0.8:1",), ("edge",), announce=True, ready="127.0.0.1:3",
            bounds=Bounds(grace=8.0),
        )  # fmt: skip
        worker = Worker("w1", answer_ok)
        worker_host = loop.add(Host("w1", ("127.0.1.1",), "a"))
        await loop.create_task(asyncio.start_server(worker.take, "127.0.1.1", 9), context=worker_host.context())  # type: ignore[arg-type]
        data = DataPlane(settings, Environment())
        data.configuration_view.accept(1, relay_configuration(["w1"]))
        task = loop.create_task(data.run(), context=edge_host.context())

        async def ask(path: str, port: int = 2) -> tuple[int, Head, bytes, bool]:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-call-id: c1\r\n\r\n".encode())
            response = await read_answer(reader)
            writer.close()
            return response

        async def main() -> None:
            await asyncio.sleep(0.1)
            assert (await ask("/i/x"))[0] == 503 and (await ask("/x/ready", 3))[0] == 503
            data.configuration_view.fresh = True
            # Control doesn't know this process yet, so the other edges don't count it.
            assert (await ask("/i/x"))[0] == 503 and (await ask("/x/ready", 3))[0] == 503
            known = relay_configuration(["w1"])
            known["machines"]["e"]["born"] = data.incarnation
            data.configuration_view.accept(2, known)
            assert (await ask("/i/x"))[0] == 200 and (await ask("/x/ready", 3))[0] == 200
            assert (await ask("/health"))[0] == 200 and (await ask("/none"))[0] == 404
            data.stop.set()
            await asyncio.sleep(0.1)
            # It reports at once that it isn't ready, but goes on serving until no new connections are sent to it.
            assert (await ask("/x/ready", 3))[0] == 503
            await asyncio.sleep(2.0)
            response = await ask("/i/x")
            assert response[0] == 200 and response[1]["connection"] == "close"
            await asyncio.wait_for(task, 6)

        await loop.create_task(main(), context=edge_host.context())

    run_sim(world)


@pytest.mark.parametrize("known", [False, True], ids=["no configuration", "not fresh"])
def test_an_edge_that_is_stopped_before_it_is_ready_answers_503(known: bool) -> None:
    async def world(loop: SimLoop) -> None:
        edge_host = loop.add(Host("e", ("127.0.0.1",), "a"))
        settings = Settings(
            "e", "a", "127.0.0.1:1", "127.0.0.1:2", ("127.0.0.8:1",), ("edge",), announce=True, bounds=Bounds(grace=8.0)
        )
        data = DataPlane(settings, Environment())
        if known:
            data.configuration_view.accept(1, relay_configuration(["w1"]))
        task = loop.create_task(data.run(), context=edge_host.context())

        async def main() -> None:
            await asyncio.sleep(0.1)
            data.stop.set()
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection("127.0.0.1", 2)
            writer.write(b"GET /i/x HTTP/1.1\r\nhost: shop.example\r\nx-call-id: c1\r\n\r\n")
            status, heads, _, _ = await read_answer(reader)
            writer.close()
            assert status == 503 and "retry-after" in heads
            await asyncio.wait_for(task, 6)

        await loop.create_task(main(), context=edge_host.context())

    run_sim(world)


def test_a_stream_continues_elsewhere_if_its_worker_dies_silently_but_not_if_it_only_stalls() -> None:
    async def long(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        at = int(header_value(head, "last-event-id") or -1) + 1
        writer.write(stream_head(head))
        for n in range(at, 20):
            writer.write(chunk(event(n)))
            # One long pause, as while a worker processes a long prompt.
            await asyncio.sleep(0.5 if n == 3 else 0.05)
        writer.write(b"0\r\n\r\n")

    for dark in (True, False):

        async def main(scene: Scene, dark: bool = dark) -> None:
            scene.change(lambda m: m["routes"]["resume"].update(gap=0.3))
            tasks = [asyncio.create_task(scene.ask("/r/x", x_call_id=f"c{i}")) for i in range(8)]
            await asyncio.sleep(0.7)
            if dark:
                scene.loop.kill(scene.hosts[0], silent=True)
            began = scene.loop.clock
            for task in tasks:
                status, _, body, complete = await task
                assert (status, body, complete) == (200, b"".join(map(event, range(20))), True)
            assert scene.loop.clock - began < 1.5
            first, second = scene.ran
            assert first + second == 8 + (first if dark else 0) and 0 < first < 8
            if dark:
                # The dead worker is avoided for a while; then one request at a time is tried there.
                before = scene.loop.clock
                for _ in range(10):
                    assert (await scene.ask("/i/x"))[0] == 200
                assert scene.loop.clock - before < 0.5

        async def both(w: Worker, n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
            await (long if b"/r/" in head else answer_ok)(w, n, head, writer)

        play({"w1": both, "w2": both}, main)


def test_an_edge_cut_off_from_all_workers_gives_up_no_exchange() -> None:
    async def slow(_w: Worker, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.6)
        writer.write(reply(head))

    async def main(scene: Scene) -> None:
        task = asyncio.create_task(scene.ask("/i/x"))
        await asyncio.sleep(0.1)
        scene.loop.net.cuts |= {pair for host in scene.hosts for pair in (("e", host.name), (host.name, "e"))}
        await asyncio.sleep(0.6)
        scene.loop.net.cuts.clear()
        assert (await task)[0] == 200 and sum(scene.ran) == 1

    play({"w1": slow, "w2": slow}, main)

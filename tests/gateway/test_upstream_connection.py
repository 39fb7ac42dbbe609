"""Requests to stand-in workers on the simulated loop: what is proved about each, and which connections are kept."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from postpass.gateway.connection_pool import ConnectionPool
from postpass.runtime.errors import FaultError
from sim.loop import Host, SimLoop, run_sim

Play = Callable[[int, int, bytes, asyncio.StreamWriter], Awaitable[None]]  # connection, request on it, head


class Worker:
    """Plays an answer to each request; counts connections and requests."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.connections = 0
        self.heads: list[bytes] = []

    async def serve(self) -> None:
        await asyncio.start_server(self.take, "w", 1)

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        mine = self.connections
        count = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                count += 1
                self.heads.append(head)
                await self.play(mine, count, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


def run(play: Play, main: Callable[[ConnectionPool, SimLoop, Worker], Awaitable[Any]]) -> Any:
    async def world(loop: SimLoop) -> Any:
        there, here = loop.add(Host("w", ("w",), "a")), loop.add(Host("e", ("e",), "a"))
        worker = Worker(play)
        await loop.create_task(worker.serve(), context=there.context())
        return await loop.create_task(main(ConnectionPool(), loop, worker), context=here.context())  # type: ignore[arg-type]

    return run_sim(world)


async def ask(links: ConnectionPool, gate: str = "", limit: float = 5.0, method: str = "GET", addr: str = "w:1") -> Any:
    """The body; else the fault's step, and whether it is proved that no byte left."""
    try:
        ex = await links.request(
            addr, method, b"/a%2fb?x", [(b"host", b"h")], b"", admission_check=lambda: gate, limit=limit
        )
        return ex.status, await ex.read()
    except FaultError as bad:
        return bad.fault.step, bad.fault.unsent


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def well(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(OK)


def test_one_connection_serves_many_requests_and_the_target_stays_raw() -> None:
    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for _ in range(5):
            assert await ask(links) == (200, b"ok")
        assert worker.connections == 1 and links.connections_opened == 1 and links.requests_sent == 5
        assert worker.heads[0] == b"GET /a%2fb?x HTTP/1.1\r\nhost: h\r\n\r\n"
        assert links.busy("w:1") == 0
        await asyncio.gather(*(ask(links) for _ in range(3)))
        assert worker.connections == 3

    run(well, main)


def test_refused_and_gated_requests_left_no_byte() -> None:
    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        assert await ask(links, addr="w:2") == ("connect", True)
        assert await ask(links, addr="nobody:2") == ("connect", True)
        assert links.opened == {} and links.idle == {}
        assert await ask(links, gate="it leaves") == ("gate", True)
        # The connection that was opened for it is kept.
        assert await ask(links) == (200, b"ok") and worker.connections == 1 and len(worker.heads) == 1

    run(well, main)


def test_more_connections_than_the_bound_are_not_opened() -> None:
    async def slow(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1)
        writer.write(OK)

    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        def go() -> Any:
            return links.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5, max_connections=2)

        got = await asyncio.gather(go(), go(), go(), return_exceptions=True)
        assert [isinstance(g, FaultError) and g.fault.unsent for g in got] == [False, False, True]

    run(slow, main)


def test_cut_answers_raise_and_never_look_whole() -> None:
    parts = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 O",
        b"",
        b"garbage garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n",
    ]

    async def play(c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(parts[c - 1])
        await asyncio.sleep(0.1)
        writer.close()

    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        got = [await ask(links) for _ in parts]
        # One without a length has no end that could be told from a cut: it is none from its head on.
        assert got == [("body", False)] * 2 + [("head", False)] * 4 + [("body", False)]
        assert links.opened == {} and worker.connections == len(parts)

    run(play, main)


def test_pieces_come_as_they_are_written_and_what_came_before_a_cut_is_handed_over() -> None:
    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for piece in (b"one", b"two"):
            await asyncio.sleep(0.5)
            writer.write(b"3\r\n" + piece + b"\r\n")
        await asyncio.sleep(0.5)
        writer.close()

    async def main(links: ConnectionPool, loop: SimLoop, _worker: Worker) -> None:
        ex = await links.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5)
        seen = []
        try:
            async for piece in ex.chunks():
                seen.append((piece, round(loop.clock, 1)))
        except FaultError as bad:
            seen.append((bad.fault.step.encode(), round(loop.clock, 1)))
        assert seen == [(b"one", 0.5), (b"two", 1.0), (b"body", 1.5)]

    run(play, main)


def test_surplus_bytes_close_the_connection_and_belong_to_nobody() -> None:
    async def play(c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        if c == 1:
            writer.write(OK + b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        elif c == 2:
            writer.write(OK + b"\x00junk")
        elif c == 3:
            writer.write(OK)
            await asyncio.sleep(0.1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        else:
            writer.write(OK)

    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for n in range(1, 4):
            assert await ask(links) == (200, b"ok") and worker.connections == n
            await asyncio.sleep(0.3)
        assert await ask(links) == (200, b"ok") and worker.connections == 4
        assert await ask(links) == (200, b"ok") and worker.connections == 4

    run(play, main)


def test_connections_are_not_used_past_what_the_worker_says() -> None:
    async def play(c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        more = {1: b"Keep-Alive: timeout=4\r\n", 2: b"Connection: close\r\n"}.get(c, b"")
        writer.write(b"HTTP/1.1 200 OK\r\n" + more + b"Content-Length: 2\r\n\r\nok")

    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        used = []
        for pause in (0, 2.5, 3.5, 0.1, 0.1, 0.6):
            await asyncio.sleep(pause)
            assert await ask(links) == (200, b"ok")
            used.append(worker.connections)
        assert used == [1, 1, 2, 3, 3, 4]

    run(play, main)


def test_a_kept_connection_that_breaks_is_no_proof() -> None:
    async def play(_c: int, n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        if n == 2:
            writer.close()
        else:
            writer.write(OK)

    async def main(links: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        assert await ask(links) == (200, b"ok")
        assert await ask(links) == ("head", False)

    run(play, main)


def test_silence_ends_at_the_limit_and_a_reader_that_leaves_breaks_off() -> None:
    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")

    async def main(links: ConnectionPool, loop: SimLoop, _worker: Worker) -> None:
        assert await ask(links, limit=2.0) == ("body", False) and round(loop.clock, 1) == 2.0
        ex = await links.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5)
        ex.close()
        assert links.opened == {} and await ex.next_chunk() == b"half"
        task = asyncio.create_task(ask(links))
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(play, main)


def test_a_slow_reader_holds_the_worker_up() -> None:
    size = 3 << 20

    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size >> 12):
            writer.write(b"x" * 4096)
            await writer.drain()

    async def main(links: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        ex = await links.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=50)
        await asyncio.sleep(5)
        assert ex._buffered_bytes < 1 << 20
        assert len(await ex.read()) == size
        assert await ask(links, limit=50) != ("head", False)

    run(play, main)


def test_interim_answers_head_requests_and_long_heads() -> None:
    async def play(_c: int, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"HEAD"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        elif head.startswith(b"PUT"):
            writer.write(b"HTTP/1.1 200 OK\r\n" + b"x: " + b"y" * 99_000)
        else:
            writer.write(b"HTTP/1.1 100 Continue\r\nx: y\r\n\r\n" + OK)

    async def main(links: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        assert await ask(links) == (200, b"ok")
        assert await ask(links, method="HEAD") == (200, b"")
        assert await ask(links, method="PUT") == ("head", False)
        ex = await links.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5)
        assert ex.headers == [(b"content-length", b"2")]

    run(play, main)


def test_an_answer_to_another_request_closes_its_connection() -> None:
    async def play(c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        mine = b"one" if c > 1 else b"two"
        writer.write(b"HTTP/1.1 200 OK\r\nX-Id: " + mine + b"\r\nContent-Length: 2\r\n\r\nok" * c)

    async def main(links: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for n in (1, 2):
            try:
                ex = await links.request(
                    "w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5, expect=(b"x-id", b"one")
                )
                assert n == 2 and ex.status == 200 and links.idle == {}
            except FaultError as bad:
                assert n == 1 and not bad.fault.unsent and links.opened == {}
        assert worker.connections == 2

    run(play, main)


def test_a_connection_is_given_up_after_some_times_what_one_usually_takes() -> None:
    async def main(links: ConnectionPool, loop: SimLoop, _worker: Worker) -> None:
        async def took() -> float:
            began = loop.clock
            assert await ask(links, addr="gone:1") == ("connect", True)
            return loop.clock - began

        loop.kill(loop.add(Host("gone", ("gone",), "a")), silent=True)
        assert abs(await took() - links.connect) < 0.01
        assert await ask(links) == (200, b"ok")
        assert 0.03 < await took() < 0.05
        # Far workers, or a slow machine: what is usual there counts.
        loop.net.near = 0.01
        for link in list(links.opened["w:1"]):
            link.drop()
        assert await ask(links) == (200, b"ok")
        assert 0.15 < await took() < 0.25

    run(well, main)


def test_connections_are_closed_in_the_order_in_which_they_were_opened() -> None:
    """Not in that of their addresses in memory, which differs from run to run."""

    async def silent(_c: int, _n: int, _head: bytes, _writer: asyncio.StreamWriter) -> None:
        return None

    async def main(links: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        closed: list[int] = []

        async def one(number: int) -> None:
            assert await ask(links) == ("close", False)
            closed.append(number)

        others = [object() for _ in range(1000)]  # holes between them are where connections may come to stand
        del others[::3]
        tasks = [asyncio.create_task(one(number)) for number in range(40)]
        await asyncio.sleep(0.5)
        links.close()
        await asyncio.gather(*tasks)
        assert closed == list(range(40))

    run(silent, main)

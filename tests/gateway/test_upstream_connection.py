"""Tests requests to simulated workers: what is proved about each, and which connections are kept."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.upstream_connection import MAX_HEAD_BYTES, MAX_REQUESTS
from postpass.runtime.errors import FaultError
from sim.loop import Host, SimLoop, run_sim

# Answers a request. Parameters: number of the connection, number of the request on it, head of the request, writer.
Play = Callable[[int, int, bytes, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A simulated worker: answers each request by `play`, counts connections, and stores the heads of requests."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.connections = 0
        self.heads: list[bytes] = []

    async def serve(self) -> None:
        await asyncio.start_server(self.take, "w", 1)

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        own_number = self.connections
        count = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                count += 1
                self.heads.append(head)
                await self.play(own_number, count, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


def run(play: Play, main: Callable[[ConnectionPool, SimLoop, Worker], Awaitable[Any]]) -> Any:
    async def world(loop: SimLoop) -> Any:
        worker_host, edge_host = loop.add(Host("w", ("w",), "a")), loop.add(Host("e", ("e",), "a"))
        worker = Worker(play)
        await loop.create_task(worker.serve(), context=worker_host.context())
        return await loop.create_task(main(ConnectionPool(), loop, worker), context=edge_host.context())  # type: ignore[arg-type]

    return run_sim(world)


async def ask(
    pool: ConnectionPool, objection: str = "", limit: float = 5.0, method: str = "GET", addr: str = "w:1"
) -> Any:
    """Sends a request. Returns status and body, or the fault's step and whether it is proved that no byte was sent."""
    try:
        exchange = await pool.request(
            addr, method, b"/a%2fb?x", [(b"host", b"h")], b"", admission_check=lambda: objection, limit=limit
        )
        return exchange.status, await exchange.read()
    except FaultError as error:
        return error.fault.step, error.fault.unsent


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def well(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(OK)


def test_one_connection_serves_many_requests_and_the_target_stays_raw() -> None:
    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for _ in range(5):
            assert await ask(pool) == (200, b"ok")
        assert worker.connections == 1 and pool.connections_opened == 1 and pool.requests_sent == 5
        assert worker.heads[0] == b"GET /a%2fb?x HTTP/1.1\r\nhost: h\r\n\r\n"
        assert pool.busy_count("w:1") == 0
        await asyncio.gather(*(ask(pool) for _ in range(3)))
        assert worker.connections == 3

    run(well, main)


def test_without_a_connection_or_admission_no_byte_is_sent() -> None:
    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        assert await ask(pool, addr="w:2") == ("connect", True)
        assert await ask(pool, addr="nobody:2") == ("connect", True)
        assert pool.opened == {} and pool.idle == {}
        assert await ask(pool, objection="it leaves") == ("gate", True)
        # The connection that was opened for it is kept.
        assert await ask(pool) == (200, b"ok") and worker.connections == 1 and len(worker.heads) == 1

    run(well, main)


def test_more_connections_than_the_bound_are_not_opened() -> None:
    async def slow(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1)
        writer.write(OK)

    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        def send_request() -> Any:
            return pool.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5, max_connections=2)

        results = await asyncio.gather(send_request(), send_request(), send_request(), return_exceptions=True)
        assert [isinstance(g, FaultError) and g.fault.unsent for g in results] == [False, False, True]

    run(slow, main)


def test_cut_answers_raise_and_never_look_complete() -> None:
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

    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        results = [await ask(pool) for _ in parts]
        # Without a length, the end of an answer can't be told from a cut, so it is rejected by its head.
        assert results == [("body", False)] * 2 + [("head", False)] * 4 + [("body", False)]
        assert pool.opened == {} and worker.connections == len(parts)

    run(play, main)


def test_pieces_come_as_they_are_written_and_what_came_before_a_cut_is_handed_over() -> None:
    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for piece in (b"one", b"two"):
            await asyncio.sleep(0.5)
            writer.write(b"3\r\n" + piece + b"\r\n")
        await asyncio.sleep(0.5)
        writer.close()

    async def main(pool: ConnectionPool, loop: SimLoop, _worker: Worker) -> None:
        exchange = await pool.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5)
        seen = []
        try:
            async for piece in exchange.chunks():
                seen.append((piece, round(loop.clock, 1)))
        except FaultError as error:
            seen.append((error.fault.step.encode(), round(loop.clock, 1)))
        assert seen == [(b"one", 0.5), (b"two", 1.0), (b"body", 1.5)]

    run(play, main)


def test_surplus_bytes_close_the_connection_and_are_discarded() -> None:
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

    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for n in range(1, 4):
            assert await ask(pool) == (200, b"ok") and worker.connections == n
            await asyncio.sleep(0.3)
        assert await ask(pool) == (200, b"ok") and worker.connections == 4
        assert await ask(pool) == (200, b"ok") and worker.connections == 4

    run(play, main)


def test_idle_connections_are_not_used_longer_than_the_worker_allows() -> None:
    async def play(c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        more = {1: b"Keep-Alive: timeout=4\r\n", 2: b"Connection: close\r\n"}.get(c, b"")
        writer.write(b"HTTP/1.1 200 OK\r\n" + more + b"Content-Length: 2\r\n\r\nok")

    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        used = []
        for pause in (0, 2.5, 3.5, 0.1, 0.1, 0.6):
            await asyncio.sleep(pause)
            assert await ask(pool) == (200, b"ok")
            used.append(worker.connections)
        assert used == [1, 1, 2, 3, 3, 4]

    run(play, main)


def test_a_reused_connection_that_breaks_does_not_prove_that_nothing_was_sent() -> None:
    async def play(_c: int, n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        if n == 2:
            writer.close()
        else:
            writer.write(OK)

    async def main(pool: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        assert await ask(pool) == (200, b"ok")
        assert await ask(pool) == ("head", False)

    run(play, main)


def test_a_silent_exchange_ends_at_the_limit_and_closing_one_aborts_it() -> None:
    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")

    async def main(pool: ConnectionPool, loop: SimLoop, _worker: Worker) -> None:
        assert await ask(pool, limit=2.0) == ("body", False) and round(loop.clock, 1) == 2.0
        exchange = await pool.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5)
        exchange.close()
        assert pool.opened == {} and await exchange.next_chunk() == b"half"
        task = asyncio.create_task(ask(pool))
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(play, main)


def test_a_slow_reader_pauses_the_worker() -> None:
    size = 3 << 20

    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size >> 12):
            writer.write(b"x" * 4096)
            await writer.drain()

    async def main(pool: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        exchange = await pool.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=50)
        await asyncio.sleep(5)
        assert exchange._buffered_bytes < 1 << 20
        assert len(await exchange.read()) == size
        assert await ask(pool, limit=50) != ("head", False)

    run(play, main)


def test_interim_answers_head_requests_and_long_heads() -> None:
    async def play(_c: int, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"HEAD"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        elif head.startswith(b"PUT"):
            writer.write(b"HTTP/1.1 200 OK\r\n" + b"x: " + b"y" * 99_000)
        else:
            writer.write(b"HTTP/1.1 100 Continue\r\nx: y\r\n\r\n" + OK)

    async def main(pool: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        assert await ask(pool) == (200, b"ok")
        assert await ask(pool, method="HEAD") == (200, b"")
        assert await ask(pool, method="PUT") == ("head", False)
        exchange = await pool.request("w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5)
        assert exchange.headers == [(b"content-length", b"2")]

    run(play, main)


def test_an_answer_to_another_request_closes_its_connection() -> None:
    async def play(c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        answer_id = b"one" if c > 1 else b"two"
        writer.write(b"HTTP/1.1 200 OK\r\nX-Id: " + answer_id + b"\r\nContent-Length: 2\r\n\r\nok" * c)

    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for n in (1, 2):
            try:
                exchange = await pool.request(
                    "w:1", "GET", b"/", [], b"", admission_check=lambda: "", limit=5, expect=(b"x-id", b"one")
                )
                assert n == 2 and exchange.status == 200 and pool.idle == {}
            except FaultError as error:
                assert n == 1 and not error.fault.unsent and pool.opened == {}
        assert worker.connections == 2

    run(play, main)


def test_connecting_is_abandoned_after_a_multiple_of_the_usual_time() -> None:
    async def main(pool: ConnectionPool, loop: SimLoop, _worker: Worker) -> None:
        async def seconds_to_fail() -> float:
            began = loop.clock
            assert await ask(pool, addr="gone:1") == ("connect", True)
            return loop.clock - began

        loop.kill(loop.add(Host("gone", ("gone",), "a")), silent=True)
        assert abs(await seconds_to_fail() - pool.connect_timeout) < 0.01
        assert await ask(pool) == (200, b"ok")
        assert 0.03 < await seconds_to_fail() < 0.05
        # With distant workers or a slow machine, the usual time there applies.
        loop.net.near = 0.01
        for connection in list(pool.opened["w:1"]):
            connection.abort()
        assert await ask(pool) == (200, b"ok")
        assert 0.15 < await seconds_to_fail() < 0.25

    run(well, main)


def test_connections_are_closed_in_the_order_in_which_they_were_opened() -> None:
    """The order must not depend on the connections' addresses in memory, which differ from run to run."""

    async def silent(_c: int, _n: int, _head: bytes, _writer: asyncio.StreamWriter) -> None:
        return None

    async def main(pool: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        closed: list[int] = []

        async def one(number: int) -> None:
            assert await ask(pool) == ("close", False)
            closed.append(number)

        others = [object() for _ in range(1000)]  # the gaps between them are places in memory for connections
        del others[::3]
        tasks = [asyncio.create_task(one(number)) for number in range(40)]
        await asyncio.sleep(0.5)
        pool.close()
        await asyncio.gather(*tasks)
        assert closed == list(range(40))

    run(silent, main)


async def echo(_c: int, _n: int, head: bytes, writer: asyncio.StreamWriter) -> None:
    own_id = next(line for line in head.split(b"\r\n") if line.startswith(b"x-id"))
    writer.write(b"HTTP/1.1 200 OK\r\n" + own_id + b"\r\nContent-Length: 2\r\n\r\nok")


async def ask_with_id(pool: ConnectionPool, request_id: bytes, max_connections: int = 0) -> int:
    """Returns the status of the answer to a request with an id, which the answer must have."""
    exchange = await pool.request(
        "w:1", "GET", b"/", [(b"x-id", request_id)], b"", admission_check=lambda: "", limit=5,
        max_connections=max_connections, expect=(b"x-id", request_id),
    )  # fmt: skip
    await exchange.read()
    return exchange.status


def test_a_request_whose_id_a_connection_has_carried_before_takes_another_connection() -> None:
    # Issue 53: a second, late answer to the earlier request would be taken for the answer to this one.
    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for request_id in (b"1", b"2", b"1", b"3", b"1", b"2"):
            assert await ask_with_id(pool, request_id) == 200
        # "2" goes out on the second connection, which had carried "1" and "3" alone.
        assert worker.connections == 3 and len(pool.idle["w:1"]) == 3

    run(echo, main)


def test_a_connection_for_an_id_that_comes_again_takes_the_place_of_the_one_unused_for_longest() -> None:
    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for _ in range(5):
            assert await ask_with_id(pool, b"1", max_connections=2) == 200
        assert worker.connections == 5 and len(pool.opened["w:1"]) == 2

    run(echo, main)


def test_a_connection_is_not_used_again_after_its_last_request() -> None:
    async def main(pool: ConnectionPool, _loop: SimLoop, worker: Worker) -> None:
        for number in range(2 * MAX_REQUESTS + 1):
            assert await ask_with_id(pool, b"%d" % number) == 200
        assert worker.connections == 3 and len(pool.opened["w:1"]) == 1

    run(echo, main)


CHUNKED_START = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"


@pytest.mark.parametrize(
    ("start", "piece"),
    [(b"0\r\n", b"x-trailer: t\r\n"), (b"0\r\nx-trailer: ", b"t" * 14), (b"2;name=", b"e" * 14)],
    ids=["trailers", "trailer line", "chunk extension"],
)
def test_an_answer_that_goes_on_without_its_body_is_ended(start: bytes, piece: bytes) -> None:
    sent = [0]

    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_START + start)
        while not writer.is_closing() and sent[0] < MAX_HEAD_BYTES * 50:
            writer.write(piece * 100)
            sent[0] += len(piece) * 100
            await writer.drain()
            await asyncio.sleep(0.0001)

    async def main(pool: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        assert await ask(pool) == ("body", False)
        assert pool.busy_count("w:1") == 0

    run(play, main)
    assert sent[0] < MAX_HEAD_BYTES * 50


def test_an_answer_with_trailers_is_complete() -> None:
    async def play(_c: int, _n: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_START + b"0\r\n" + b"x-trailer: t\r\n" * 100 + b"\r\n")

    async def main(pool: ConnectionPool, _loop: SimLoop, _worker: Worker) -> None:
        assert await ask(pool) == (200, b"ok")

    run(play, main)

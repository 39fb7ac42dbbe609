"""Tests of clients that read their responses slowly, or not at all."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from postpass.http_server.limits import ConnectionLimits
from postpass.runtime.environment import serve_http
from sim.loop import Host, SimLoop, run_sim
from tests.support.http_limits import protocol_under

LIMITS = ConnectionLimits(head_bytes=16384, head_s=5.0, idle_s=5.0)
BODY = b"b" * (2 << 20)
READ_BYTES = 32 << 10  # a stream reader reads on when it has given out as much as that, so in every other pause
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def app(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"%d" % len(BODY))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    for start in range(0, len(BODY), READ_BYTES):
        await send({"type": "http.response.body", "body": BODY[start : start + READ_BYTES], "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def received_by(pause_s: float) -> int:
    """Returns how many bytes arrive at a client that pauses so long between two reads."""

    async def world(loop: SimLoop) -> int:
        server_host, client_host = loop.add(Host("s", ("127.0.0.1",), "a")), loop.add(Host("c", ("127.0.0.9",), "a"))
        stop = asyncio.Event()
        serving = serve_http(app, "127.0.0.1", 2, stop, 5.0, protocol_under(lambda: LIMITS, 3.0))
        server = loop.create_task(serving, context=server_host.context())
        await asyncio.sleep(0.01)

        async def client() -> int:
            reader, writer = await asyncio.open_connection("127.0.0.1", 2, limit=READ_BYTES)
            writer.write(REQUEST)
            size = 0
            try:
                while data := await reader.read(READ_BYTES):
                    size += len(data)
                    await asyncio.sleep(pause_s)
            except ConnectionError:
                pass
            writer.close()
            return size

        size: int = await loop.create_task(client(), context=client_host.context())
        stop.set()
        await server
        return size

    return int(run_sim(world))


@pytest.mark.parametrize("pause_s", [0.0, 1.0, 2.0])
def test_a_client_that_goes_on_reading_gets_all_however_slowly(pause_s: float) -> None:
    assert received_by(pause_s) > len(BODY)


def test_a_client_that_reads_nothing_for_the_idle_time_is_disconnected() -> None:
    assert received_by(LIMITS.idle_s * 4) < len(BODY)

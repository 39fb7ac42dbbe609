"""The server's side of callers' connections: bounds on heads and idleness, the raw target, a word on readiness."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from postpass.gateway.upstream_connection import tune

READY = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
UNREADY = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nretry-after: 1\r\n\r\n"
ODD = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
RETRY_S = 0.2  # seconds after which a request whose head came too late may come again


@dataclass(frozen=True)
class HeadLimits:
    head_bytes: int
    head_s: float
    idle_s: float


def refusal(status: int) -> bytes:
    """An answer that ends its connection."""
    again = b"retry-after: %g\r\n" % RETRY_S if status == HTTPStatus.REQUEST_TIMEOUT else b""
    phrase = HTTPStatus(status).phrase.encode()
    return b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\n%sconnection: close\r\n\r\n" % (status, phrase, again)


def front(limits: Callable[[], HeadLimits], silence: float) -> type[HttpToolsProtocol]:
    """uvicorn's protocol under limits that may change at any time."""

    class Front(HttpToolsProtocol):
        """Invariant: `head_timer` runs only while part of a head has come, or nothing yet on a new connection."""

        def __init__(self, *args: Any, **more: Any) -> None:
            super().__init__(*args, **more)
            self.head_timer: asyncio.TimerHandle | None = None
            self.in_head = True
            self.size = 0
            self.refused = False

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)  # type: ignore[arg-type]
            sock = transport.get_extra_info("socket")
            if sock is not None:
                tune(sock, silence)
            self.head_timer = self.loop.call_later(limits().head_s, self.late)

        def connection_lost(self, exc: Exception | None) -> None:
            self.untime()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            if self.refused:
                return
            if self.in_head:
                self.size += len(data)
            super().data_received(data)
            if self.in_head and not self.refused and not self.transport.is_closing():
                if self.size > limits().head_bytes:
                    self.turn_away(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
                elif self.head_timer is None and self.size:
                    self.head_timer = self.loop.call_later(limits().head_s, self.late)

        def on_message_begin(self) -> None:
            self.in_head = True
            super().on_message_begin()

        def on_headers_complete(self) -> None:
            self.untime()
            self.in_head, self.size = False, 0
            bound = limits()
            size = len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers)
            if size > bound.head_bytes:
                self.turn_away(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
                return
            self.timeout_keep_alive = bound.idle_s  # type: ignore[assignment]
            self.scope["extensions"] = {"target": self.url}  # type: ignore[dict-item]
            super().on_headers_complete()

        def on_body(self, body: bytes) -> None:
            if not self.refused:
                super().on_body(body)

        def on_message_complete(self) -> None:
            if not self.refused:
                super().on_message_complete()
                self.in_head = True

        def untime(self) -> None:
            if self.head_timer is not None:
                self.head_timer.cancel()
                self.head_timer = None

        def late(self) -> None:
            self.head_timer = None
            if self.in_head and not self.transport.is_closing():
                if self.size:
                    self.turn_away(HTTPStatus.REQUEST_TIMEOUT)
                else:
                    self.transport.close()

        def send_400_response(self, msg: str) -> None:
            """Called by the library for bytes that are no request."""
            self.turn_away(HTTPStatus.BAD_REQUEST)

        def turn_away(self, status: int) -> None:
            """Takes no more of this connection. Answers at once and closes it, unless other answers are under way: these
            come to their end first, and then nothing stands behind them."""
            self.refused = True
            self.untime()
            cycle = self.cycle
            if cycle is not None and not cycle.response_complete:
                if not cycle.more_body:
                    # The last request that came whole: the connection closes with its answer.
                    cycle.keep_alive = False
                    return
                if cycle.response_started or self.pipeline:
                    self.transport.close()
                    return
            self.transport.write(refusal(status))
            self.transport.close()

    return Front


class ReadyPage(asyncio.Protocol):
    """Answers any path that ends in /ready: 200 if ready."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready
        self.seen = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.seen += data
        while b"\r\n\r\n" in self.seen:
            head, _, self.seen = self.seen.partition(b"\r\n\r\n")
            path = (head.split(b" ", 2) + [b"", b""])[1].partition(b"?")[0]
            if not path.endswith(b"/ready"):
                self.transport.write(ODD)
                self.transport.close()
                return
            self.transport.write(READY if self.ready() else UNREADY)
        if len(self.seen) > 8192:
            self.transport.close()


async def serve_ready(addr: str, ready: Callable[[], bool]) -> None:
    """Serves until cancelled."""
    host, _, port = addr.rpartition(":")
    server = await asyncio.get_running_loop().create_server(lambda: ReadyPage(ready), host, int(port))
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        server.close()

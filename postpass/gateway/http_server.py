"""The server's side of clients' connections: limits on heads and idleness, the raw target, and the page on readiness."""

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
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
READY_PATH = b"/ready"
READY_HEAD_BYTES = 8192  # of a request for the page on readiness
RETRY_S = 0.2  # seconds after which a request whose head came too late may come again
HEADER_OVERHEAD = 4  # bytes of a header line beside name and value


@dataclass(frozen=True)
class HeadLimits:
    """Limits on clients' requests: bytes of a head, seconds until it came completely, and seconds that a connection
    may be idle."""

    head_bytes: int
    head_s: float
    idle_s: float


def refusal(status: int) -> bytes:
    """An answer that ends its connection."""
    again = b"retry-after: %g\r\n" % RETRY_S if status == HTTPStatus.REQUEST_TIMEOUT else b""
    phrase = HTTPStatus(status).phrase.encode()
    return b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\n%sconnection: close\r\n\r\n" % (status, phrase, again)


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn's protocol of one connection, under limits that may change at any time. `limited_protocol` sets the two
    class attributes. Invariant: `head_timer` runs only while part of a head has come, or nothing yet on a new
    connection."""

    limits: Callable[[], HeadLimits]
    silence: float  # seconds until a peer that doesn't acknowledge is believed gone

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.head_timer: asyncio.TimerHandle | None = None
        self.in_head = True
        self.head_size = 0  # bytes that came since the last request's end
        self.refused = False  # nothing more is taken from this connection

    # --- of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop once the connection is open."""
        super().connection_made(transport)  # type: ignore[arg-type]
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune(sock, self.silence)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        if self.refused:
            return
        if self.in_head:
            self.head_size += len(data)
        super().data_received(data)
        if self.in_head and not self.refused and not self.transport.is_closing():
            if self.head_size > self.limits().head_bytes:
                self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            elif self.head_timer is None and self.head_size:
                self._start_head_timer()

    # --- of the parser
    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.in_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._stop_head_timer()
        self.in_head, self.head_size = False, 0
        limits = self.limits()
        size = len(self.url) + sum(len(n) + len(v) + HEADER_OVERHEAD for n, v in self.headers)
        if size > limits.head_bytes:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self.timeout_keep_alive = limits.idle_s  # type: ignore[assignment]
        self.scope["extensions"] = {"target": self.url}  # type: ignore[dict-item]
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        if not self.refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if not self.refused:
            super().on_message_complete()
            self.in_head = True

    # --- refusals
    def _start_head_timer(self) -> None:
        self.head_timer = self.loop.call_later(self.limits().head_s, self._head_timed_out)

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _head_timed_out(self) -> None:
        self.head_timer = None
        if self.in_head and not self.transport.is_closing():
            if self.head_size:
                self.refuse(HTTPStatus.REQUEST_TIMEOUT)
            else:
                self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Called by the library for bytes that are no request."""
        self.refuse(HTTPStatus.BAD_REQUEST)

    def refuse(self, status: int) -> None:
        """Takes no more of this connection. Answers at once and closes it, unless other answers are under way: these
        come to their end first, and then nothing stands behind them."""
        self.refused = True
        self._stop_head_timer()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if not cycle.more_body:
                # The last request that came completely: the connection closes with its answer.
                cycle.keep_alive = False
                return
            if cycle.response_started or self.pipeline:
                self.transport.close()
                return
        self.transport.write(refusal(status))
        self.transport.close()


def limited_protocol(current_limits: Callable[[], HeadLimits], silence_s: float) -> type[LimitedProtocol]:
    """The protocol class for a server. `current_limits` is asked with each head; `silence_s`: seconds until a peer
    that doesn't acknowledge is believed gone."""

    class ServerProtocol(LimitedProtocol):
        limits = staticmethod(current_limits)
        silence = silence_s

    return ServerProtocol


class ReadyPage(asyncio.Protocol):
    """Answers any path that ends in /ready: 200 if ready, else 503."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready
        self.received = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop once the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        assert self.transport is not None
        self.received += data
        while b"\r\n\r\n" in self.received:
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            path = (head.split(b" ", 2) + [b"", b""])[1].partition(b"?")[0]
            if not path.endswith(READY_PATH):
                self.transport.write(NOT_FOUND)
                self.transport.close()
                return
            self.transport.write(READY if self.ready() else UNREADY)
        if len(self.received) > READY_HEAD_BYTES:
            self.transport.close()


async def serve_ready(addr: str, ready: Callable[[], bool]) -> None:
    """Serves the page on readiness at HOST:PORT until cancelled."""
    host, _, port = addr.rpartition(":")
    server = await asyncio.get_running_loop().create_server(lambda: ReadyPage(ready), host, int(port))
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        server.close()

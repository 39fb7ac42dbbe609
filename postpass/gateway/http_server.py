"""The server side of clients' connections: limits on heads and idle time, the raw request target, and `/ready`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from postpass.gateway.upstream_connection import configure_socket

READY_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
UNREADY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nretry-after: 1\r\n\r\n"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
READY_PATH = b"/ready"
MAX_READY_REQUEST_BYTES = 8192  # the longest request for `/ready`
RETRY_AFTER_S = 0.2  # seconds after which a client may repeat a request whose head arrived too late
HEADER_OVERHEAD = 4  # bytes of a header line in addition to its name and value


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits on clients' requests and connections.

    Attributes:
        head_bytes: The largest size of a request's head.
        head_s: Seconds within which a head must arrive completely.
        idle_s: Seconds that a connection may be idle.
    """

    head_bytes: int
    head_s: float
    idle_s: float


def refusal_response(status: int) -> bytes:
    """Returns an encoded response without a body, after which the server closes the connection."""
    retry_header = b"retry-after: %g\r\n" % RETRY_AFTER_S if status == HTTPStatus.REQUEST_TIMEOUT else b""
    phrase = HTTPStatus(status).phrase.encode()
    return b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\n%sconnection: close\r\n\r\n" % (status, phrase, retry_header)


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn's protocol of one connection, under limits that may change at any time.

    `limited_protocol` sets the two class attributes. Invariant: `head_timer` runs only while a part of a head has arrived,
    or while nothing has arrived yet on a new connection.
    """

    limits: Callable[[], ConnectionLimits]
    peer_timeout_s: float  # seconds until a peer that doesn't acknowledge data is considered lost

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_timer: asyncio.TimerHandle | None = None
        self.in_head = True
        self.head_size = 0  # bytes that arrived since the end of the last request
        self.refused = False  # no more data of this connection is processed

    # --- callbacks of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is open. Starts the time limit for the first head."""
        super().connection_made(transport)  # type: ignore[arg-type]
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock, self.peer_timeout_s)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection is closed."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with new data. Enforces the limits on the size of a head and on its time."""
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

    # --- callbacks of the HTTP parser
    def on_message_begin(self) -> None:
        """Called by the parser at the beginning of a request."""
        self.in_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head. Refuses one that is too large; keeps the raw target in the scope."""
        self._stop_head_timer()
        self.in_head, self.head_size = False, 0
        limits = self.limits()
        size = len(self.url) + sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in self.headers)
        if size > limits.head_bytes:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self.timeout_keep_alive = limits.idle_s  # type: ignore[assignment]
        self.scope["extensions"] = {"target": self.url}  # type: ignore[dict-item]
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of a body."""
        if not self.refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        if not self.refused:
            super().on_message_complete()
            self.in_head = True

    # --- refusals
    def _start_head_timer(self) -> None:
        """Starts the time within which a head must arrive completely."""
        self.head_timer = self.loop.call_later(self.limits().head_s, self._head_timed_out)

    def _stop_head_timer(self) -> None:
        """Stops the time limit, if it is running."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _head_timed_out(self) -> None:
        """Refuses a head that is still incomplete; closes a connection on which nothing has arrived."""
        self.head_timer = None
        if self.in_head and not self.transport.is_closing():
            if self.head_size:
                self.refuse(HTTPStatus.REQUEST_TIMEOUT)
            else:
                self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Called by uvicorn if the data is not a valid request."""
        self.refuse(HTTPStatus.BAD_REQUEST)

    def refuse(self, status: int) -> None:
        """Refuses the request with the given status, and processes no more data of this connection.

        Sends the response at once and closes the connection, unless other responses are in progress, since nothing may be
        written into or behind these: if the last request arrived completely, the connection closes after its response; if it
        is still arriving, the connection closes without a further response.
        """
        self.refused = True
        self._stop_head_timer()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if not cycle.more_body:
                # This is the last request that arrived completely: the connection closes after its response.
                cycle.keep_alive = False
                return
            if cycle.response_started or self.pipeline:
                self.transport.close()
                return
        self.transport.write(refusal_response(status))
        self.transport.close()


def limited_protocol(current_limits: Callable[[], ConnectionLimits], timeout_s: float) -> type[LimitedProtocol]:
    """Returns the protocol class for a server.

    `current_limits` is called for each head; `timeout_s`: seconds until a peer that doesn't acknowledge data is considered
    lost.
    """

    class ServerProtocol(LimitedProtocol):
        limits = staticmethod(current_limits)
        peer_timeout_s = timeout_s

    return ServerProtocol


class ReadyProtocol(asyncio.Protocol):
    """Serves any path that ends in /ready: responds with 200 if ready, otherwise with 503."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready
        self.received = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with new data. Responds to all complete requests in what has arrived."""
        assert self.transport is not None
        self.received += data
        while b"\r\n\r\n" in self.received:
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            path = (head.split(b" ", 2) + [b"", b""])[1].partition(b"?")[0]
            if not path.endswith(READY_PATH):
                self.transport.write(NOT_FOUND_RESPONSE)
                self.transport.close()
                return
            self.transport.write(READY_RESPONSE if self.ready() else UNREADY_RESPONSE)
        if len(self.received) > MAX_READY_REQUEST_BYTES:
            self.transport.close()


async def serve_ready(addr: str, ready: Callable[[], bool]) -> None:
    """Serves `/ready` at the address HOST:PORT until cancelled. `ready` returns whether this process is ready."""
    host, _, port = addr.rpartition(":")
    server = await asyncio.get_running_loop().create_server(lambda: ReadyProtocol(ready), host, int(port))
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        server.close()

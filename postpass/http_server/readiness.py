"""The endpoint by which load balancers learn whether a process is ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READY_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
UNREADY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nretry-after: 1\r\n\r\n"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
READY_PATH = b"/ready"
MAX_READY_REQUEST_BYTES = 8192  # the longest request for `/ready`
MAX_UNREAD_BYTES = 64 << 10  # of responses that a client has not read
MAX_READY_CONNECTIONS = 64
READY_IDLE_S = 15.0  # without a complete request, after which a connection is closed


class ReadyConnections:
    """The open connections of one endpoint: if there are too many, the one without a request for longest is closed."""

    def __init__(self) -> None:
        self.by_last_request: dict[ReadyProtocol, None] = {}

    def add(self, connection: ReadyProtocol) -> None:
        """Adds a new connection."""
        if len(self.by_last_request) >= MAX_READY_CONNECTIONS:
            longest_idle = next(iter(self.by_last_request))
            self.discard(longest_idle)
            longest_idle.close_at_once()
        self.by_last_request[connection] = None

    def mark_used(self, connection: ReadyProtocol) -> None:
        """Records a complete request of a connection."""
        if connection in self.by_last_request:
            self.discard(connection)
            self.by_last_request[connection] = None

    def discard(self, connection: ReadyProtocol) -> None:
        """Removes a connection that is closed."""
        self.by_last_request.pop(connection, None)


class ReadyProtocol(asyncio.Protocol):
    """Serves any path that ends in /ready: responds with 200 if ready, otherwise with 503."""

    def __init__(self, ready: Callable[[], bool], connections: ReadyConnections) -> None:
        self.ready, self.connections = ready, connections
        self.received = b""
        self.transport: asyncio.Transport | None = None
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection is closed."""
        self.connections.discard(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with new data. Responds to all complete requests in what has arrived."""
        assert self.transport is not None
        self.received += data
        while b"\r\n\r\n" in self.received and not self.transport.is_closing():
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            self._respond(head)
        if len(self.received) > MAX_READY_REQUEST_BYTES or self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.transport.close()

    def _respond(self, head: bytes) -> None:
        """Responds to a request; closes the connection if it asks for something else."""
        assert self.transport is not None
        path = (head.split(b" ", 2) + [b"", b""])[1].partition(b"?")[0]
        if not path.endswith(READY_PATH):
            self.transport.write(NOT_FOUND_RESPONSE)
            self.transport.close()
            return
        self.transport.write(READY_RESPONSE if self.ready() else UNREADY_RESPONSE)
        self.connections.mark_used(self)
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(READY_IDLE_S, self.close_at_once)

    def close_at_once(self) -> None:
        """Closes the connection without waiting until what was written is sent."""
        if self.transport is not None:
            self.transport.abort()


async def serve_ready(addr: str, ready: Callable[[], bool]) -> None:
    """Serves `/ready` at the address HOST:PORT until cancelled. `ready` returns whether this process is ready."""
    host, _, port = addr.rpartition(":")
    connections = ReadyConnections()
    server = await asyncio.get_running_loop().create_server(
        lambda: ReadyProtocol(ready, connections), host, int(port), backlog=MAX_READY_CONNECTIONS
    )
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        server.close()

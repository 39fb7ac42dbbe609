"""The endpoint by which load balancers learn whether a process is ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READY_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
UNREADY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nretry-after: 1\r\n\r\n"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
READY_PATH = b"/ready"
MAX_READY_REQUEST_BYTES = 8192  # the longest request for `/ready`


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

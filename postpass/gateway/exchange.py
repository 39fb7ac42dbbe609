"""The answer to one request to a worker, as its reader sees it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import Protocol

from postpass.gateway.http_headers import Headers
from postpass.runtime.errors import Fault, FaultError

MAX_BODY_BYTES = 64 << 20  # the longest body that `Exchange.read` accepts unless told otherwise
MAX_BUFFERED_BYTES = 128 << 10  # of a body; beyond that, reading from the worker pauses until the reader has caught up


class AnswerSource(Protocol):
    """The connection that an answer comes by."""

    def pause(self) -> None:
        """Pauses reading from the worker."""

    def resume(self) -> None:
        """Resumes reading from the worker."""

    def fail(self, step: str, why: str) -> None:
        """Closes the connection, and ends its exchange with a fault."""


class Exchange:
    """The answer to one request. Owner: the task that reads it.

    Invariants: the reader gets it only once the head has arrived completely; `complete` is set only if the last byte of
    the body has arrived, and from then on the exchange no longer owns the connection; after a fault, only what was
    buffered before it is still returned.
    """

    __slots__ = ("addr", "status", "headers", "complete", "fault", "reused", "_connection", "_buffer", "_buffered_bytes",
                 "_waiter")  # fmt: skip

    def __init__(self, addr: str, connection: AnswerSource, reused: bool) -> None:
        self.addr = addr
        self.status = 0  # 0 until the head has arrived
        self.headers: Headers = []
        self.complete = False
        self.fault: Fault | None = None
        self.reused = reused  # whether the connection served another exchange before
        self._connection: AnswerSource | None = connection
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0  # in `_buffer`
        self._waiter: asyncio.Future[None] | None = None

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, by its name in lower case, or None if the header is missing."""
        return next((v for n, v in self.headers if n == name), None)

    @property
    def has_unread(self) -> bool:
        """Whether a part of the body is buffered that wasn't read yet."""
        return bool(self._buffer)

    async def next_chunk(self) -> bytes:
        """Returns what has arrived since the last time, in one piece, or b"" once the complete body was read.

        Waits if nothing has arrived. Raises FaultError if the answer was cut off.
        """
        while not self._buffer:
            if self.complete:
                return b""
            if self.fault is not None:
                raise FaultError(self.fault)
            await self.wait()
        data = self._buffer.popleft() if len(self._buffer) == 1 else b"".join(self._buffer)
        self._buffer.clear()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._connection is not None:
            self._connection.resume()
        self._buffered_bytes = 0
        return data

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives. Raises FaultError if the answer was cut off."""
        while data := await self.next_chunk():
            yield data

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Returns the complete body. Raises FaultError if it was cut off, or if it is longer than `max_bytes`."""
        parts: list[bytes] = []
        size = 0
        while data := await self.next_chunk():
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                self.close()
                raise FaultError(Fault("body", self.addr, f"more than {max_bytes} bytes"))
        return b"".join(parts)

    def close(self) -> None:
        """Aborts the exchange if it hasn't ended; does nothing after a complete answer."""
        if self._connection is not None:
            self._connection.fail("close", "broken off here")

    async def wait(self) -> None:
        """Returns once something has arrived, or the exchange has ended."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # --- used by the connection
    def wake(self) -> None:
        """Wakes the reader, because something has arrived or the exchange has ended."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def append_body(self, data: bytes) -> None:
        """Buffers a part of the body; pauses reading from the worker if the reader is far behind."""
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._connection is not None:
            self._connection.pause()

    def end(self, fault: Fault | None) -> None:
        """Ends the exchange: with a complete answer if `fault` is None, otherwise with that fault."""
        self._connection = None
        self.complete = fault is None
        self.fault = fault
        self.wake()

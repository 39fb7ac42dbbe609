"""One HTTP/1.1 connection to a worker, with proofs: whether a byte of a request left, and whether the whole answer came.

`UpstreamConnection` speaks the protocol, `Exchange` is the answer to one request as its reader sees it. The pool of
connections (`connection_pool`) opens, keeps and probes them.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Sequence
from enum import Enum, auto
from typing import Protocol

import httptools

from postpass.gateway.http_headers import Headers
from postpass.runtime.errors import BROKE, SLOW, Fault, FaultError

MAX_HEAD_BYTES = 64 << 10  # an answer with a longer head is broken
MAX_BODY_BYTES = 64 << 20  # that are read at once
MAX_BUFFERED_BYTES = 128 << 10  # of an answer's body, until the reader has caught up
DEFAULT_IDLE = 0.5  # seconds that a connection is kept if the worker doesn't say
IDLE_MARGIN = 0.25  # of what the worker says
BODILESS = (204, 304)  # statuses of answers that have no body, whatever length they tell
SWITCHING_PROTOCOLS = 101
GARBLED = "garbled"  # hint of a fault: the bytes that came are no answer in the protocol
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*\"?(\d+)")


def carries(headers: Headers, name: bytes, value: bytes) -> bool:
    """Is this the one value of a header? An empty one is as good as none, and two that differ are no value."""
    return {v for n, v in headers if n == name and v} == ({value} if value else set())


def has_known_end(headers: Headers) -> bool:
    """Does a head say where its body ends, by a length or by chunks?"""
    return any(n == b"content-length" or (n == b"transfer-encoding" and b"chunked" in v.lower()) for n, v in headers)


def tune(sock: socket.socket, silence: float) -> None:
    """A dead or cut-off peer is noticed after about `silence` seconds, also while nothing is written."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    every = max(1, round(silence / 3))
    for name, value in (
        ("TCP_USER_TIMEOUT", int(silence * 1000)),
        ("TCP_KEEPIDLE", every),
        ("TCP_KEEPINTVL", every),
        ("TCP_KEEPCNT", 2),
    ):
        if hasattr(socket, name):
            try:
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
            except OSError:
                pass


class Phase(Enum):
    """How much of an answer a connection has seen."""

    NOTHING = auto()  # or an interim answer alone
    HEAD = auto()  # a part of the head
    BODY = auto()  # the whole head
    END = auto()  # the whole answer


class Pool(Protocol):
    """What a connection needs of the pool that owns it."""

    silence: float
    last_received: float

    def put(self, connection: UpstreamConnection) -> None:
        """Keeps an idle connection."""

    def forget(self, connection: UpstreamConnection) -> None:
        """The connection is closed."""

    def schedule_probes(self, patience: float) -> None:
        """An exchange begins that may be silent for `patience` seconds."""


class Exchange:
    """One request's answer. Owner: the task that reads it. Invariants: the head came completely; `complete` only if
    the last byte of the body came, and then the connection is no longer ours; after a fault nothing more comes but
    what was buffered before it."""

    __slots__ = ("addr", "status", "headers", "complete", "fault", "reused", "_connection", "_buffer", "_size",
                 "_waiter")  # fmt: skip

    def __init__(self, addr: str, connection: UpstreamConnection, reused: bool) -> None:
        self.addr = addr
        self.status = 0  # 0 until the head came
        self.headers: Headers = []
        self.complete = False
        self.fault: Fault | None = None
        self.reused = reused  # the connection had carried another exchange before
        self._connection: UpstreamConnection | None = connection
        self._buffer: deque[bytes] = deque()
        self._size = 0  # bytes in the buffer
        self._waiter: asyncio.Future[None] | None = None

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header, by its name in lower case; None if there is none."""
        return next((v for n, v in self.headers if n == name), None)

    @property
    def has_unread(self) -> bool:
        """Has something come that wasn't taken yet?"""
        return bool(self._buffer)

    async def next_chunk(self) -> bytes:
        """What has come since the last time, in one piece; empty once the whole body came. Raises FaultError
        on a cut."""
        while not self._buffer:
            if self.complete:
                return b""
            if self.fault is not None:
                raise FaultError(self.fault)
            await self.wait()
        data = self._buffer.popleft() if len(self._buffer) == 1 else b"".join(self._buffer)
        self._buffer.clear()
        if self._size > MAX_BUFFERED_BYTES and self._connection is not None:
            self._connection.resume()
        self._size = 0
        return data

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body as it comes. Raises FaultError on a cut."""
        while data := await self.next_chunk():
            yield data

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """The whole body. Raises FaultError on a cut, or if it is longer than `max_bytes`."""
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
        """Breaks off what hasn't ended; nothing to do after a whole answer."""
        if self._connection is not None:
            self._connection.fail("close", "broken off here")

    async def wait(self) -> None:
        """Returns once something came, or the exchange ended."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    # --- for its connection
    def wake(self) -> None:
        """Something came: its reader goes on."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def take(self, data: bytes) -> None:
        """A part of the body came; the worker is held up if the reader is far behind."""
        self._buffer.append(data)
        self._size += len(data)
        if self._size > MAX_BUFFERED_BYTES and self._connection is not None:
            self._connection.pause()

    def end(self, fault: Fault | None) -> None:
        """The whole answer came, or a fault."""
        self._connection = None
        self.complete = fault is None
        self.fault = fault
        self.wake()


class UpstreamConnection(asyncio.Protocol):
    """One connection to a worker. Owner: its pool. Invariants: at most one exchange; bytes that come while there is
    none close it. Times are seconds of the loop's clock."""

    def __init__(self, addr: str, pool: Pool) -> None:
        self.addr, self.pool = addr, pool
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.idle_seconds = DEFAULT_IDLE  # that the worker surely keeps it open while idle
        self.usable_until = 0.0  # while idle
        self.last_received = 0.0  # when something last came, or the request went out
        self.patience = 0.0  # seconds of silence from which the worker is probed; 0: its answer is waited for
        self.bodiless = False  # the answer has no body, since the request's method is HEAD
        self.head_bytes = 0
        self.phase = Phase.NOTHING
        self.keep_alive = False
        self.surplus = False  # more came than the answer
        self.expect: tuple[bytes, bytes] | None = None  # a header that proves that the answer is ours
        self.foreign = False  # the head that came is of another request
        self.unsized = False  # the head that came doesn't say where its body ends

    # --- of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop once the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune(sock, self.pool.silence)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        if self.exchange is None:
            self.drop()
            return
        self.last_received = self.pool.last_received = asyncio.get_running_loop().time()
        if self.phase is Phase.NOTHING or self.phase is Phase.HEAD:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.phase is not Phase.END:
                self.fail(self.step(), f"not an answer: {error}", hint=GARBLED)
                return
            self.surplus = True
        if self.foreign:
            self.fail("head", "an answer to another request")
        elif self.unsized:
            self.fail("head", "an answer without a length", hint=GARBLED)
        elif self.phase is Phase.END:
            self.finish()
        elif self.phase is Phase.BODY:
            self.exchange.wake()
        elif self.head_bytes > MAX_HEAD_BYTES:
            self.fail("head", f"more than {MAX_HEAD_BYTES} bytes")

    def eof_received(self) -> bool:
        """Called by the loop."""
        self.fail(self.step(), "the worker closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self.fail(self.step(), f"the connection was lost: {exc}" if exc else "the connection was lost")

    # --- of the parser
    def on_message_begin(self) -> None:
        """Called by the parser."""
        if self.phase is Phase.END:
            self.surplus = True
        else:
            self.phase = Phase.HEAD

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if self.phase is Phase.HEAD and self.exchange is not None:
            self.exchange.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        exchange = self.exchange
        if self.phase is not Phase.HEAD or exchange is None:
            return
        status = self.parser.get_status_code()
        if 100 <= status < 200 and status != SWITCHING_PROTOCOLS:
            exchange.headers.clear()
            self.phase = Phase.NOTHING
            return
        self.keep_alive = self.parser.should_keep_alive()
        for name, value in exchange.headers:
            if name == b"keep-alive" and (found := KEEP_ALIVE_TIMEOUT.search(value)):
                self.idle_seconds = int(found[1]) * (1 - IDLE_MARGIN)
        if self.expect is not None and not carries(exchange.headers, *self.expect):
            # Ours may still come on this connection, which is not used again.
            self.foreign = True
            return
        if not (self.bodiless or status in BODILESS or has_known_end(exchange.headers)):
            # What follows would run on into whatever else comes, until the worker closes.
            self.unsized = True
            return
        exchange.status = status
        self.phase = Phase.BODY
        if self.bodiless and status not in BODILESS:
            # The parser waits for a body that never comes.
            self.phase, self.keep_alive = Phase.END, False

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self.phase is Phase.BODY and self.exchange is not None:
            self.exchange.take(data)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self.phase is Phase.BODY:
            self.phase = Phase.END

    # --- of the exchange
    def step(self) -> str:
        """Where a fault now arises: in the head of an answer or in its body."""
        return "body" if self.phase is Phase.BODY else "head"

    @property
    def head_came(self) -> bool:
        """Did the head come, but not yet the end?"""
        return self.phase is Phase.BODY

    def start(
        self,
        exchange: Exchange,
        data: Sequence[bytes],
        bodiless: bool,
        limit: float,
        expect: tuple[bytes, bytes] | None,
        patience: float,
    ) -> None:
        """Writes a request; see `ConnectionPool.request` for what the parameters mean."""
        assert self.transport is not None
        self.exchange, self.bodiless, self.expect = exchange, bodiless, expect
        self.phase, self.head_bytes, self.keep_alive, self.surplus = Phase.NOTHING, 0, False, False
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(limit, self._timed_out)
        self.last_received, self.patience = loop.time(), patience
        if patience:
            self.pool.schedule_probes(patience)
        self.transport.write(b"".join(data))

    def _timed_out(self) -> None:
        self.fail(self.step(), "no whole answer in time", SLOW)

    def finish(self) -> None:
        """The whole answer came: the connection is kept if nothing speaks against it."""
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        self._stop_timer()
        if self.keep_alive and not self.surplus and self.usable() and self.transport.get_write_buffer_size() == 0:  # type: ignore[union-attr]
            self.resume()
            self.pool.put(self)
        else:
            self.drop()
        exchange.end(None)

    def fail(self, step: str, why: str, code: int = BROKE, hint: str = "") -> None:
        """Closes the connection, and ends its exchange with a fault."""
        exchange, self.exchange = self.exchange, None
        self._stop_timer()
        self.drop()
        if exchange is not None:
            exchange.end(Fault(step, self.addr, why, code, hint))

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def drop(self) -> None:
        """Closes the connection; there must be no exchange."""
        self.pool.forget(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def usable(self) -> bool:
        """Is it open on this side?"""
        return self.transport is not None and not self.transport.is_closing()

    def pause(self) -> None:
        """Takes nothing more from the worker for now."""
        if self.usable():
            self.transport.pause_reading()  # type: ignore[union-attr]

    def resume(self) -> None:
        """Takes more from the worker."""
        if self.usable():
            self.transport.resume_reading()  # type: ignore[union-attr]

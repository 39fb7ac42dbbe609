"""One HTTP/1.1 connection to a worker, which can prove whether any byte of a request was sent and whether the complete
answer arrived.

`UpstreamConnection` implements the protocol; `exchange` has the answer to one request as its reader sees it. The connection
pool (`connection_pool`) opens, keeps and probes the connections.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence
from enum import Enum, auto
from typing import Protocol

import httptools

from postpass.gateway.exchange import Exchange
from postpass.gateway.http_headers import Headers
from postpass.runtime.errors import PEER_FAILED, TIMED_OUT, Fault
from postpass.runtime.sockets import configure_socket

MAX_HEAD_BYTES = (
    64 << 10
)  # a longer head of an answer is an error; so are as many bytes in a body that aren't part of it
DEFAULT_IDLE = 0.5  # seconds that an idle connection is kept if the worker doesn't specify a time
MAX_REQUESTS = 256  # after which a connection is not used again; bounds what it remembers of them
IDLE_MARGIN = 0.25  # share of the time specified by the worker that is left unused
BODILESS = (204, 304)  # statuses of answers without a body, whatever length their headers state
SWITCHING_PROTOCOLS = 101
GARBLED = "garbled"  # hint of a fault: the received bytes are not a valid HTTP answer
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*\"?(\d+)")


def has_only_value(headers: Headers, name: bytes, value: bytes) -> bool:
    """Returns whether `value` is the only value of a header.

    Empty values are ignored, so an empty `value` means that the header must be missing. Two different values never
    match.
    """
    return {v for n, v in headers if n == name and v} == ({value} if value else set())


def has_known_end(headers: Headers) -> bool:
    """Returns whether a head defines where its body ends, by a length or by chunked encoding."""
    return any(n == b"content-length" or (n == b"transfer-encoding" and b"chunked" in v.lower()) for n, v in headers)


class Phase(Enum):
    """How much of an answer a connection has received."""

    NOTHING = auto()  # nothing, or only an interim (1xx) answer
    HEAD = auto()  # part of the head
    BODY = auto()  # the complete head
    END = auto()  # the complete answer


class Pool(Protocol):
    """The interface of the pool that a connection belongs to."""

    silence_timeout: float
    last_received: float

    def keep_idle(self, connection: UpstreamConnection) -> None:
        """Keeps an idle connection for later requests."""

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a connection that is being closed."""

    def schedule_probes(self, patience: float) -> None:
        """Schedules a check for silent workers, for an exchange that may be silent for `patience` seconds."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a worker. Owner: its pool.

    Invariants: it has at most one exchange at a time; bytes that arrive while it has none close it; no two requests that
    it carries expect the same header of their answers. Times are seconds of the loop's clock.
    """

    def __init__(self, addr: str, pool: Pool) -> None:
        self.addr, self.pool = addr, pool
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.idle_seconds = DEFAULT_IDLE  # for which the worker is sure to keep it open while idle
        self.usable_until = 0.0  # while idle: until when it may be used again
        self.last_received = 0.0  # when something was last received, or when the request was sent
        self.patience = 0.0  # seconds of silence after which the worker is probed; 0: never, its answer is waited for
        self.bodiless = False  # the answer has no body, because the request's method is HEAD
        self.head_bytes = 0
        self.framing_bytes = 0  # received within the body since the last byte of the body itself: chunk sizes, trailers
        self.phase = Phase.NOTHING
        self.keep_alive = False
        self.has_surplus = False  # whether more bytes were received than the answer
        self.expect: tuple[bytes, bytes] | None = None  # the header that an answer to this request must have
        self.expected_before: set[int] = set()  # hashes of what all requests so far have expected
        self.answers_other_request = False  # whether the received head belongs to another request
        self.lacks_length = False  # whether the received head doesn't define where its body ends

    # --- methods of asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock, self.pool.silence_timeout)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop: parses what the worker sent, and ends the exchange at its end or on an error."""
        if self.exchange is None:
            self.abort()
            return
        self.last_received = self.pool.last_received = asyncio.get_running_loop().time()
        if self.phase is Phase.NOTHING or self.phase is Phase.HEAD:
            self.head_bytes += len(data)
        elif self.phase is Phase.BODY:
            self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.phase is not Phase.END:
                self.fail(self.fault_step(), f"not an answer: {error}", hint=GARBLED)
                return
            self.has_surplus = True
        if self.answers_other_request:
            self.fail("head", "an answer to another request")
        elif self.lacks_length:
            self.fail("head", "an answer without a length", hint=GARBLED)
        elif self.phase is Phase.END:
            self.finish()
        elif self.phase is Phase.BODY and self.framing_bytes > MAX_HEAD_BYTES:
            self.fail("body", f"more than {MAX_HEAD_BYTES} bytes without any of the body", hint=GARBLED)
        elif self.phase is Phase.BODY:
            self.exchange.wake()
        elif self.head_bytes > MAX_HEAD_BYTES:
            self.fail("head", f"more than {MAX_HEAD_BYTES} bytes")

    def eof_received(self) -> bool:
        """Called by the event loop: ends the exchange, because the worker closed the connection."""
        self.fail(self.fault_step(), "the worker closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop: ends the exchange, because the connection was lost."""
        self.fail(self.fault_step(), f"the connection was lost: {exc}" if exc else "the connection was lost")

    # --- callbacks of the parser
    def on_message_begin(self) -> None:
        """Called by the parser at the begin of an answer; a second one is surplus."""
        if self.phase is Phase.END:
            self.has_surplus = True
        else:
            self.phase = Phase.HEAD

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header."""
        if self.phase is Phase.HEAD and self.exchange is not None:
            self.exchange.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head: skips interim answers, and checks whose answer it is."""
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
            if name == b"keep-alive" and (timeout_match := KEEP_ALIVE_TIMEOUT.search(value)):
                self.idle_seconds = int(timeout_match[1]) * (1 - IDLE_MARGIN)
        if self.expect is not None and not has_only_value(exchange.headers, *self.expect):
            # The answer to this request may still follow; the connection is not used again.
            self.answers_other_request = True
            return
        if not (self.bodiless or status in BODILESS or has_known_end(exchange.headers)):
            # The body would include whatever else arrives until the worker closes the connection.
            self.lacks_length = True
            return
        exchange.status = status
        self.phase = Phase.BODY
        if self.bodiless and status not in BODILESS:
            # The parser would wait for a body that never arrives.
            self.phase, self.keep_alive = Phase.END, False

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of the body."""
        if self.phase is Phase.BODY and self.exchange is not None:
            self.framing_bytes = 0
            self.exchange.append_body(data)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of an answer."""
        if self.phase is Phase.BODY:
            self.phase = Phase.END

    # --- the exchange
    def may_carry(self, expect: tuple[bytes, bytes] | None) -> bool:
        """Returns whether an answer to an earlier request can't be mistaken for that to a request with `expect`.

        A worker may answer a request twice, the second time late. Two hashes that are equal by chance cost a connection.
        """
        return expect is None or hash(expect) not in self.expected_before

    def fault_step(self) -> str:
        """Returns the step that a fault at this moment belongs to: "head" or "body" of the answer."""
        return "body" if self.phase is Phase.BODY else "head"

    @property
    def head_complete(self) -> bool:
        """Whether the head has arrived completely, but not the end of the answer."""
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
        """Writes a request; `ConnectionPool.request` explains the parameters.

        `data` is the complete request in parts; `bodiless`: its answer has no body.
        """
        assert self.transport is not None
        self.exchange, self.bodiless, self.expect = exchange, bodiless, expect
        if expect is not None:
            self.expected_before.add(hash(expect))
        self.phase, self.head_bytes, self.framing_bytes = Phase.NOTHING, 0, 0
        self.keep_alive = self.has_surplus = False
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(limit, self._timed_out)
        self.last_received, self.patience = loop.time(), patience
        if patience:
            self.pool.schedule_probes(patience)
        self.transport.write(b"".join(data))

    def _timed_out(self) -> None:
        self.fail(self.fault_step(), "no whole answer in time", TIMED_OUT)

    def finish(self) -> None:
        """Ends the exchange with a complete answer. Keeps the connection for further requests if it is still usable."""
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        self._stop_timer()
        if self._is_reusable():
            self.resume()
            self.pool.keep_idle(self)
        else:
            self.abort()
        exchange.end(None)

    def _is_reusable(self) -> bool:
        """Returns whether the connection may carry another request after a complete answer."""
        return (
            self.keep_alive
            and not self.has_surplus
            and len(self.expected_before) < MAX_REQUESTS
            and self.is_open()
            and self.transport.get_write_buffer_size() == 0  # type: ignore[union-attr]
        )

    def fail(self, step: str, why: str, code: int = PEER_FAILED, hint: str = "") -> None:
        """Closes the connection, and ends its exchange, if there is one, with a fault."""
        exchange, self.exchange = self.exchange, None
        self._stop_timer()
        self.abort()
        if exchange is not None:
            exchange.end(Fault(step, self.addr, why, code, hint))

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def abort(self) -> None:
        """Closes the connection. It must have no exchange."""
        self.pool.remove(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def is_open(self) -> bool:
        """Returns whether the connection is open on this side."""
        return self.transport is not None and not self.transport.is_closing()

    def pause(self) -> None:
        """Pauses reading from the worker."""
        if self.is_open():
            self.transport.pause_reading()  # type: ignore[union-attr]

    def resume(self) -> None:
        """Resumes reading from the worker."""
        if self.is_open():
            self.transport.resume_reading()  # type: ignore[union-attr]

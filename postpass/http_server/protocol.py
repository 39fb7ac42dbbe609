"""The server side of clients' connections: uvicorn's protocol, under limits on size, time, memory and processor time."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus
from typing import Any

from starlette.requests import ClientDisconnect
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from postpass.http_server.limits import ServerLimit
from postpass.http_server.parse_queue import PIECE_BYTES
from postpass.http_server.read_control import ReadControl
from postpass.http_server.refusal import refusal_response
from postpass.http_server.request_host import has_clear_host
from postpass.http_server.request_memory import RequestMemory
from postpass.http_server.resources import ServerResources
from postpass.http_server.timer import Timer
from postpass.runtime.sockets import configure_socket

HEADER_OVERHEAD = 4  # bytes of a header line in addition to its name and value
READ_BYTES = 64 << 10  # the most that is received at once
HEAD_PIECE_BYTES = 4 << 10  # parsed at once while a head is expected, so that few pipelined requests are in it
PLAIN_BODY_FACTOR = 8  # bytes of a body with a length that cost as much to parse as one other byte
MAX_PIPELINED = 256  # requests that may be in one piece, in addition to the one in progress
BODY_TIME_FACTOR = 4  # multiple of the idle time within which a body must arrive completely
LINGER_S = 1.0  # in which the rest of a refused request is discarded, so that the client can read the refusal


class LimitedProtocol(HttpToolsProtocol):
    """uvicorn's protocol of one connection, under limits that may change at any time.

    `limited_protocol` sets `resources`. Invariants: `head_timer` runs only while a part of a head has arrived, or while nothing
    has arrived yet on a new connection; `body_timer` runs only while a body is arriving. Received bytes are parsed only
    while no complete request waits behind the one in progress; those that aren't parsed yet are in `unparsed`, and while
    there are any, nothing more is read.
    """

    resources: ServerResources

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_timer = Timer(self.loop, self._head_timed_out)
        self.body_timer = Timer(self.loop, self._body_timed_out)
        self.linger_timer = Timer(self.loop, self.close_at_once)
        self.write_timer = Timer(self.loop, self._write_timed_out)
        self.in_head = True
        self.head_size = 0  # bytes that arrived since the end of the last request
        self.body_left = 0  # bytes of a body with a length that haven't been parsed
        self.trailer_size = 0  # bytes of headers that arrived after the body
        self.framing_size = 0  # bytes that arrived within a body since the last byte of the body itself
        self.surplus_size = 0  # bytes of a body that arrived after the response to its request
        self.body_started_at = 0.0  # seconds of the loop's clock; when the arriving body was first waited for
        self.last_data_at = 0.0  # seconds of the loop's clock; set only while a body is arriving
        self.unread_size = 0  # bytes of responses that the client had not read when `write_timer` was started
        self.refused = False  # no more data of this connection is processed
        self.unparsed = memoryview(b"")
        self.unhandled: RequestResponseCycle | None = None  # its end is in the bytes that are just parsed
        self.memory = RequestMemory(self.resources.memory, self._evict)

    # --- callbacks of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is open. Starts the time limit for the first head."""
        super().connection_made(transport)  # type: ignore[arg-type]
        self.flow = ReadControl(self.transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # of asyncio's transport of a socket
        if not self.resources.connections.add(self):
            self.resources.log.record(ServerLimit.CONNECTIONS)
            self.close_at_once()
            return
        sock = transport.get_extra_info("socket")
        if sock is not None and self.resources.peer_timeout_s:
            configure_socket(sock, self.resources.peer_timeout_s)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection is closed."""
        self._stop_timers()
        self.write_timer.stop()
        self.linger_timer.stop()
        self.resources.connections.discard(self)
        self.unparsed = memoryview(b"")
        for cycle, _ in self.pipeline:
            self.memory.release(cycle)
        self.pipeline.clear()
        self.memory.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with new data. Parses it now, or in turn with other connections if it is long."""
        if self.refused or self.transport.is_closing():
            return
        if len(data) <= HEAD_PIECE_BYTES and not self.unparsed and not self.pipeline:
            self._parse(data)
            self._after_parsing()
            return
        self.unparsed = memoryview(bytes(self.unparsed) + data if self.unparsed else data)
        self.parse_received(PIECE_BYTES)

    def parse_received(self, max_bytes: int) -> int:
        """Parses up to so many of the received bytes; returns how many. The rest waits for its turn.

        Bytes of a body with a length cost little to parse, and count accordingly.
        """
        parsed = 0
        while self.unparsed and parsed < max_bytes and self._may_parse():
            size = self._piece_size(max_bytes - parsed)
            parsed += max(1, size // PLAIN_BODY_FACTOR) if self.body_left else size
            piece, self.unparsed = self.unparsed[:size], self.unparsed[size:]
            self._parse(piece)
        self._after_parsing()
        return parsed

    def _piece_size(self, max_bytes: int) -> int:
        """Returns how many bytes to parse at once, if so many may be parsed that aren't part of a body with a length."""
        if self.in_head:
            return min(HEAD_PIECE_BYTES, max_bytes)
        if self.body_left:
            return min(self.body_left, max_bytes * PLAIN_BODY_FACTOR, len(self.unparsed))
        return max_bytes

    def _may_parse(self) -> bool:
        return not self.pipeline and not self.refused and not self.transport.is_closing()

    def _parse(self, piece: bytes | memoryview) -> None:
        """Parses some bytes. Enforces the limits on the size of a head, and of what isn't part of a body behind it."""
        if self.in_head:
            self.head_size += len(piece)
        else:
            self.framing_size += len(piece)
        super().data_received(piece)  # type: ignore[arg-type]
        if self.refused or self.transport.is_closing() or not self._has_excess_bytes():
            return
        limits = self.resources.current_limits()
        if self.in_head and self.head_size > limits.head_bytes:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif not self.in_head and max(self.framing_size, self.trailer_size) > limits.head_bytes:
            self.resources.log.record(ServerLimit.FRAMING)
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self.surplus_size > limits.body_bytes:
            self.resources.log.record(ServerLimit.REFUSED_BODY)
            self.close_at_once()

    def _has_excess_bytes(self) -> bool:
        """Returns whether bytes have arrived that a limit applies to."""
        if self.in_head:
            return self.head_size > 0
        return bool(self.framing_size or self.trailer_size or self.surplus_size)

    def _after_parsing(self) -> None:
        """Brings the time limits, the memory and the queue up to date with what was parsed."""
        if self.refused or self.transport.is_closing():
            self._discard_unparsed()
            return
        self._update_timers()
        is_arriving = bool(self.unparsed or self.pipeline) or not self.in_head
        if not self.memory.account(len(self.unparsed), is_arriving):
            self.memory.evict()
        self.unhandled = None
        if self.refused or self.transport.is_closing():
            return
        self.flow.set_unparsed(bool(self.unparsed))  # type: ignore[attr-defined]
        if self.unparsed and not self.pipeline:
            self.resources.parse_queue.add(self)

    def _update_timers(self) -> None:
        """Starts the time limit of what is arriving; it stands still while received bytes wait to be parsed."""
        if self.unparsed:
            self._stop_timers()
        elif not self.in_head:
            self.last_data_at = self.loop.time()
            if not self.body_timer.is_running:
                self._start_body_timer()
        elif self.head_size and not self.head_timer.is_running:
            self._start_head_timer()

    # --- callbacks of the HTTP parser
    def on_message_begin(self) -> None:
        """Called by the parser at the beginning of a request."""
        self.in_head, self.body_left = True, 0
        self.resources.connections.mark_busy(self)
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header. One that follows after the body is counted, and is no header of the request."""
        if self.in_head:
            super().on_header(name, value)
            if self.headers[-1][0] == b"content-length":
                self.body_left = int(value)
        else:
            self.trailer_size += len(name) + len(value) + HEADER_OVERHEAD

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head. Keeps the raw target in the scope.

        Refuses a head that is too large, or that doesn't say clearly which host it is for.
        """
        if self.refused:
            return
        self.head_timer.stop()
        self.in_head, self.head_size = False, 0
        self.framing_size = self.trailer_size = self.surplus_size = 0
        self.body_started_at = 0.0
        limits = self.resources.current_limits()
        size = len(self.url) + sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in self.headers)
        if size > limits.head_bytes:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        if not has_clear_host(self.url, self.headers):
            self.refuse(HTTPStatus.BAD_REQUEST)
            return
        if len(self.pipeline) >= MAX_PIPELINED:
            self.resources.log.record(ServerLimit.PIPELINE)
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self.timeout_keep_alive = limits.idle_s  # type: ignore[assignment]
        self.scope["extensions"] = {"target": self.url}  # type: ignore[dict-item]
        super().on_headers_complete()
        self.memory.begin(self.cycle, size)

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of a body."""
        if self.refused:
            return
        self.framing_size = 0
        self.body_left = max(0, self.body_left - len(body))
        if self.cycle.response_complete:
            self.surplus_size += len(body)
            return
        self.memory.add_body(self.cycle, len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        if self.refused:
            return
        self.body_timer.stop()
        super().on_message_complete()
        self.in_head = True
        self.unhandled = self.cycle
        if self.cycle.response_complete and not self.pipeline:
            self.resources.connections.mark_idle(self)

    # --- requests in progress
    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Starts the handling of a request, whose memory is given back at the end of it."""
        super()._start_asgi_task(cycle, partial(self._handle_request, app, cycle))

    async def _handle_request(self, app: Any, cycle: RequestResponseCycle, scope: Any, receive: Any, send: Any) -> None:
        try:
            await app(scope, receive, send)
        except ClientDisconnect:
            if not cycle.disconnected:
                raise
        finally:
            self.memory.release(cycle)

    def on_response_complete(self) -> None:
        """Called by uvicorn at the end of a response. Goes on with the requests that were received behind its request."""
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if not self.in_head:
            # The body is still arriving, and nobody needs it any more.
            self._start_body_timer()
        elif not self.pipeline and not self.unparsed:
            self.resources.connections.mark_idle(self)
        if self.unparsed and not self.pipeline:
            self.resources.parse_queue.add(self)

    # --- memory
    def _discard_unparsed(self) -> None:
        self.unparsed = memoryview(b"")
        self.memory.discard_unparsed()

    def _evict(self) -> int:
        """Ends what is still arriving, because the memory is needed; returns the bytes of requests that go on.

        A request whose end has not been passed to its handler is refused, since it certainly does not run.
        """
        self.resources.log.record(ServerLimit.MEMORY)
        dropped = [cycle for cycle, _ in self.pipeline]
        unhandled = self.unhandled if self.in_head else self.cycle
        if unhandled is not None:
            dropped.append(unhandled)
        if unhandled is not None and not self.pipeline and not unhandled.response_started:
            self._refuse_unhandled(unhandled, HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.close_at_once()
        for cycle in dropped:
            self._abandon_request(cycle)
        self.unparsed = memoryview(b"")
        return self.memory.forget(dropped)

    # --- time limits
    def _start_head_timer(self) -> None:
        """Starts the time within which a head must arrive completely."""
        self.head_timer.start(self.resources.current_limits().head_s)

    def _head_timed_out(self) -> None:
        """Refuses a head that is still incomplete; closes a connection on which nothing has arrived."""
        if self.in_head and not self.transport.is_closing():
            if self.head_size:
                self.refuse(HTTPStatus.REQUEST_TIMEOUT)
            else:
                self.transport.close()

    def _start_body_timer(self) -> None:
        """Starts the time within which more of a body must arrive, or that in which an unwanted one must end."""
        self.body_started_at = self.body_started_at or self.loop.time()
        self.body_timer.start(self._body_time_left())

    def _body_time_left(self) -> float:
        """Returns the seconds within which more of the arriving body must arrive."""
        if self.cycle.response_complete:
            return LINGER_S
        idle_s = self.resources.current_limits().idle_s
        deadline = min(self.last_data_at + idle_s, self.body_started_at + idle_s * BODY_TIME_FACTOR)
        return deadline - self.loop.time()

    def _body_timed_out(self) -> None:
        """Refuses a body that is too late, unless something of it has arrived meanwhile and there is time left."""
        if self.in_head or self.transport.is_closing():
            return
        if self.cycle.response_complete:
            self.resources.log.record(ServerLimit.REFUSED_BODY)
            self.close_at_once()
            return
        time_left = self._body_time_left()
        if time_left > 0:
            self.body_timer.start(time_left)
            return
        self.resources.log.record(ServerLimit.BODY_TIME)
        self.refuse(HTTPStatus.REQUEST_TIMEOUT)

    def pause_writing(self) -> None:
        """Called by the transport when the client reads too slowly. Starts the time within which it must read on."""
        super().pause_writing()
        self._start_write_timer()

    def _start_write_timer(self) -> None:
        self.unread_size = self.transport.get_write_buffer_size()
        self.write_timer.start(self.resources.current_limits().idle_s)

    def resume_writing(self) -> None:
        """Called by the transport when the client has read on."""
        super().resume_writing()
        self.write_timer.stop()

    def _write_timed_out(self) -> None:
        """Closes the connection of a client that has read nothing of its response since the timer was started."""
        if self.transport.get_write_buffer_size() < self.unread_size:
            self._start_write_timer()
            return
        self.resources.log.record(ServerLimit.UNREAD_RESPONSE)
        self.close_at_once()

    def _stop_timers(self) -> None:
        self.head_timer.stop()
        self.body_timer.stop()

    # --- refusals
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
        self._stop_timers()
        self._discard_unparsed()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if not cycle.more_body:
                # This is the last request that arrived completely: the connection closes after its response.
                cycle.keep_alive = False
                return
            if cycle.response_started or self.pipeline:
                self.transport.close()
                return
            self._refuse_unhandled(cycle, status)
            return
        self.transport.write(refusal_response(status))
        self._close_after_linger()

    def _refuse_unhandled(self, cycle: RequestResponseCycle, status: int) -> None:
        """Refuses a request whose end has not been passed to its handler."""
        self.refused = True
        self._stop_timers()
        self._discard_unparsed()
        self._abandon_request(cycle)
        self.transport.write(refusal_response(status))
        self._close_after_linger()

    def _abandon_request(self, cycle: RequestResponseCycle) -> None:
        """Tells the handler of a request that its client has gone, and frees what has arrived of the body."""
        cycle.disconnected = True
        cycle.body = bytearray()
        cycle.message_event.set()

    def _close_after_linger(self) -> None:
        """Closes the connection once the client has read the refusal.

        If the connection were closed with unread bytes, the client would get a reset, perhaps before the refusal.
        """
        if not self.transport.can_write_eof():
            self.transport.close()
            return
        self.transport.write_eof()
        self.flow.resume_reading()
        self.flow.set_unparsed(False)  # type: ignore[attr-defined]
        self.linger_timer.start(LINGER_S)

    def close_at_once(self) -> None:
        """Closes the connection without waiting until what was written is sent."""
        self.transport.abort()


def limited_protocol(shared_resources: ServerResources) -> type[LimitedProtocol]:
    """Returns the protocol class for a server whose connections share these resources."""

    class ServerProtocol(LimitedProtocol):
        resources = shared_resources

    return ServerProtocol

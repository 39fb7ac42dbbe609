"""Passes a worker's answer on to the client, and joins the parts of an answer that several workers gave."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import Histogram

from postpass.gateway.attempts import AttemptState
from postpass.gateway.exchange import Exchange
from postpass.gateway.http_headers import RESPONSE_CONNECTION_HEADERS, end_to_end
from postpass.gateway.relayed_request import RelayedRequest
from postpass.gateway.upstream_connection import BODILESS
from postpass.runtime.environment import now
from postpass.runtime.errors import Fault, FaultError

READ_AHEAD = 64 << 10  # bytes of an idempotent request's answer that are buffered before any is passed on
REPEATED_STATUSES = (500, 502, 504)  # answers after which a repeatable request is sent to another worker


@dataclass(eq=False)
class AnswerDelivery:
    """Sends answers to clients. Owner: `Relay`. Invariant: no part of an answer is sent twice, and none after a gap.

    :ivar first_byte_seconds: time from the start of a request to the first byte of its answer, by route.
    :ivar is_leaving: returns whether this edge is about to shut down, so that connections are to be closed.
    """

    first_byte_seconds: Histogram
    is_leaving: Callable[[], bool]

    async def deliver(self, request: RelayedRequest, exchange: Exchange, on_first_piece: Callable[[], None]) -> None:
        """Passes the answer on. Raises FaultError if it is cut off, or if the request should be sent to another worker.

        `on_first_piece` is called when the first piece of the body arrives: the worker has then processed the prompt.
        """
        self._check_status(request, exchange)
        events = request.events if exchange.status == 200 else None
        if events is not None:
            events.resume()
        read_ahead = READ_AHEAD if request.route["kind"] == "idem" else 0
        buffered: list[bytes] = []
        size = 0
        while True:
            data = await exchange.next_chunk()
            if request.unread:
                on_first_piece()
            ended = exchange.complete and not exchange.has_unread
            if data and events is not None:
                try:
                    data = events.feed(data)
                except ValueError as error:
                    raise FaultError(Fault("join", exchange.addr, str(error))) from error
            if ended and events is not None and events.incomplete:
                data, events.incomplete = data + events.incomplete, b""
            if not ended and size < read_ahead:
                buffered.append(data)
                size += len(data)
                continue
            if buffered:
                data = b"".join([*buffered, data])
                buffered.clear()
                read_ahead = 0
            if not request.answer_begun and (data or ended or events is None):
                await self.send_head(request, exchange, events is not None)
            if ended:
                request.attempt_log = request.attempt_log.mark(AttemptState.DONE)
                request.record_piece(now())
                await request.send({"type": "http.response.body", "body": data})
                return
            if data:
                request.record_piece(now())
                await request.send({"type": "http.response.body", "body": data, "more_body": True})

    def _check_status(self, request: RelayedRequest, exchange: Exchange) -> None:
        """Raises FaultError if the answer's status alone shows that the request should be sent to another worker."""
        status, route = exchange.status, request.route
        may_repeat = request.repeatable and status in REPEATED_STATUSES and now() < request.deadline
        states = [a.state for a in request.attempt_log.attempts]
        # The current attempt counts as well, though it isn't marked as sent.
        run_count = sum(s not in (AttemptState.UNSENT, AttemptState.REJECTED) for s in states)
        if may_repeat and run_count < route["tries"]:
            raise FaultError(Fault("repeat", exchange.addr, f"it answered {status}"))
        if request.answer_begun and status != 200:
            raise FaultError(Fault("repeat", exchange.addr, f"it answered {status} in place of the rest"))

    async def send_head(self, request: RelayedRequest, exchange: Exchange, joined: bool) -> None:
        """Sends the head of the answer.

        `joined`: its body may be joined from several runs, so its length isn't known.
        """
        length_unknown = joined or exchange.status in BODILESS
        excluded = RESPONSE_CONNECTION_HEADERS | {b"content-length"} if length_unknown else RESPONSE_CONNECTION_HEADERS
        headers = end_to_end(exchange.headers, excluded)
        if self.is_leaving():
            headers.append((b"connection", b"close"))
        request.answer_begun = True
        self.first_byte_seconds.labels(request.route_name).observe(now() - request.started_at)
        await request.send({"type": "http.response.start", "status": exchange.status, "headers": headers})

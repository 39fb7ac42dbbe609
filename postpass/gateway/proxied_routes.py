"""Proxied routes: ordinary HTTP requests, forwarded to a back end.

A response that is cut off never looks complete to the client.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from result import Err
from starlette.requests import Request
from starlette.types import Receive, Scope, Send

from postpass.configuration.configuration import Class
from postpass.gateway.client_connection import ClientConnection
from postpass.gateway.edge_state import EdgeState
from postpass.gateway.http_errors import fault_response
from postpass.runtime import log_events
from postpass.runtime.deferred_import import DeferredModule
from postpass.runtime.environment import now
from postpass.runtime.errors import PEER_FAILED, REJECTED, TIMED_OUT, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.worker_api.openai import Prompt

if TYPE_CHECKING:
    import aiohttp
else:
    aiohttp = DeferredModule("aiohttp")

PROXIED_METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE"]
REPEATABLE_METHODS = ("GET", "HEAD")
MAX_ATTEMPTS = 3
DEFAULT_DEADLINE = 10.0  # seconds; used if the request class has no deadline
MIN_ATTEMPT_TIMEOUT = 0.01  # seconds; the shortest time limit of an attempt
CHUNK_BYTES = 16 << 10
FORWARDED_REQUEST_HEADERS = (b"accept", b"content-type", b"if-none-match", b"range", b"x-caller")
FORWARDED_RESPONSE_HEADERS = (
    "content-type", "content-length", "etag", "cache-control", "last-modified", "content-range", "content-encoding",
    "location",
)  # fmt: skip
BODILESS_STATUSES = (204, 304)
STATUS_BY_CODE = {REJECTED: 503, TIMED_OUT: 504}


class Outcome(Enum):
    """How one attempt ended."""

    DONE = auto()  # the client has the complete response
    RETRY = auto()  # the request may be sent to another worker
    FAILED = auto()  # it may have run and must not be sent again


@dataclass(eq=False, slots=True)
class ProxiedRequest:
    """One admitted request. Owned by the task of `ProxiedRoutes.run`."""

    class_name: str
    request_class: Class
    connection: ClientConnection
    body: bytes
    deadline: float  # in seconds of the event loop's clock
    last_fault: Fault

    @property
    def method(self) -> str:
        """The HTTP method."""
        return str(self.connection.scope["method"])

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.method in REPEATABLE_METHODS

    @property
    def target(self) -> str:
        """The path and the query string."""
        scope = self.connection.scope
        query = scope["query_string"].decode("latin-1")
        return str(scope["path"]) + (f"?{query}" if query else "")

    @property
    def headers(self) -> dict[str, str]:
        """The client's headers that are forwarded to the back end."""
        return {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in self.connection.scope["headers"]
            if name in FORWARDED_REQUEST_HEADERS
        }


@dataclass(eq=False)
class ProxiedRoutes:
    """An ASGI app that serves all paths under the prefixes in the configuration's `ways`."""

    edge: EdgeState

    def class_for(self, path: str) -> str:
        """Returns the request class of the longest prefix that matches a path; empty if none does."""
        routes = self.edge.configuration["ways"] if self.edge.configuration_view.manifest else {}
        matching_prefixes = [prefix for prefix in routes if path == prefix or path.startswith(prefix.rstrip("/") + "/")]
        return routes[max(matching_prefixes, key=len)] if matching_prefixes else ""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reads a request, admits it, and serves it until its response is complete."""
        edge, connection = self.edge, ClientConnection(scope, receive, send)
        if (not_ready := edge.not_ready_response()) is not None:
            await connection.respond(not_ready)
            return
        class_name = self.class_for(scope["path"])
        if not class_name:
            fault = Fault("find way", edge.settings.name, f"path: no way for {scope['path']!r:.80}")
            await connection.respond(fault_response(fault, 404))
            return
        request_class = edge.configuration["classes"][class_name]
        body = b""
        async for chunk in Request(scope, receive).stream():
            body += chunk
            if len(body) > edge.configuration_view.limit("body_bytes"):
                fault = Fault("read body", edge.settings.name, "(top): the body is too large")
                await connection.respond(fault_response(fault, 413))
                return
        timeout_s = request_class.get("deadline", DEFAULT_DEADLINE)
        admission_result = edge.admission.admit(class_name, timeout_s)
        if isinstance(admission_result, Err):
            edge.requests_total.labels(class_name, "shed").inc()
            fault = admission_result.unwrap_err()
            retry_after_s = max(1.0, edge.admission.expected_wait(class_name))
            await connection.respond(fault_response(fault, fault.code, retry_after_s=retry_after_s))
            return
        fault = Fault("pass", edge.settings.name, "not sent", REJECTED, unsent=True)
        await self.run(ProxiedRequest(class_name, request_class, connection, body, now() + timeout_s, fault))

    async def run(self, request: ProxiedRequest) -> None:
        """Serves one admitted request until its response is complete.

        Raises ConnectionError if the response is cut off, so that the HTTP server closes the connection and the
        response can't look complete.
        """
        edge, class_name = self.edge, request.class_name
        for _ in range(MAX_ATTEMPTS):
            try:
                prompt = Prompt((), request.connection.scope["path"])
                worker = await edge.admission.acquire(
                    class_name, prompt, "", max(MIN_ATTEMPT_TIMEOUT, request.deadline - now())
                )
            except FaultError as error:
                request.last_fault = error.fault
                break
            outcome = await self._attempt(request, worker)
            if outcome is Outcome.DONE:
                return
            if outcome is Outcome.FAILED:
                break
        edge.requests_total.labels(class_name, "error").inc()
        status = STATUS_BY_CODE.get(request.last_fault.code, 502)
        await request.connection.respond(fault_response(request.last_fault, status))

    async def _attempt(self, request: ProxiedRequest, worker: str) -> Outcome:
        """Sends the request to a worker that was acquired for it, and releases the worker.

        Raises ConnectionError if the response is cut off after a part of it was sent to the client.
        """
        edge, class_name, pool = self.edge, request.class_name, request.request_class["pool"]
        started_at = now()
        forwarder = ResponseForwarder(request)
        try:
            # If this process was frozen, the worker may have been acquired long ago: check right before the request is
            # sent whether it may still get new requests.
            exclusion_reason = edge.admission.exclusion_reason(pool, worker)
            if exclusion_reason:
                request.last_fault = Fault("pass", worker, exclusion_reason, REJECTED, unsent=True)
                return Outcome.RETRY
            url = edge.configuration["pools"][pool]["servers"][worker]["url"]
            async with (
                asyncio.timeout(max(MIN_ATTEMPT_TIMEOUT, request.deadline - now())),
                edge.session.request(
                    request.method, url + request.target, data=request.body or None, headers=request.headers,
                    allow_redirects=False,
                ) as response,
            ):  # fmt: skip
                forwarder.check_length(response)
                if response.status == 503 and request.repeatable:
                    request.last_fault = Fault("pass", url, "status 503", REJECTED)
                    return Outcome.RETRY
                await forwarder.forward(response)
            edge.admission.note_duration(class_name, now() - started_at)
            edge.requests_total.labels(class_name, "done").inc()
            return Outcome.DONE
        except (aiohttp.ClientError, OSError, TimeoutError, KeyError) as error:
            return self._outcome_of_failure(request, worker, error, forwarder.started)
        finally:
            edge.admission.release(class_name, pool, worker)

    def _outcome_of_failure(self, request: ProxiedRequest, worker: str, error: Exception, started: bool) -> Outcome:
        """Returns the outcome of an attempt that raised `error`.

        Raises ConnectionError if a part of the response was sent to the client.
        """
        edge = self.edge
        code = TIMED_OUT if isinstance(error, TimeoutError) else PEER_FAILED
        fault = request.last_fault = Fault("pass", worker, repr(error)[:120], code)
        if started:
            edge.requests_total.labels(request.class_name, "broken").inc()
            log_events.emit(
                Event.REQUEST_BROKEN,
                edge.settings.name,
                kind=request.class_name,
                step="pass",
                peer=worker,
                why=fault.why,
            )
            raise ConnectionError(str(fault)) from error
        unsent = isinstance(error, aiohttp.ClientConnectorError)
        if unsent:
            edge.worker_load.state_of(request.request_class["pool"], worker).unusable_reason = "refused"
        return Outcome.RETRY if request.repeatable or unsent else Outcome.FAILED


@dataclass(eq=False, slots=True)
class ResponseForwarder:
    """Forwards the response of one attempt to the client."""

    request: ProxiedRequest
    started: bool = False  # sending the head to the client has begun

    def check_length(self, response: aiohttp.ClientResponse) -> None:
        """Raises ClientPayloadError for a response without a length, which would end when its connection closes.

        Such a response looks the same when it is cut off.
        """
        length_headers = {"content-length", "transfer-encoding"} & {name.lower() for name in response.headers}
        if not length_headers and self.request.method != "HEAD" and response.status not in BODILESS_STATUSES:
            raise aiohttp.ClientPayloadError("an answer without a length")

    async def forward(self, response: aiohttp.ClientResponse) -> None:
        """Sends the head to the client and then the body, chunk by chunk."""
        headers = [
            (name.lower().encode(), value.encode("latin-1"))
            for name, value in response.headers.items()
            if name.lower() in FORWARDED_RESPONSE_HEADERS
        ]
        self.started = True
        connection = self.request.connection
        await connection.start(response.status, headers)
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            await connection.send({"type": "http.response.body", "body": chunk, "more_body": True})
        await connection.end(b"")

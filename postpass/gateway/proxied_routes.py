"""Proxied routes: an ordinary HTTP request passed to an ordinary back end, with the length of its answer kept honest."""

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
from postpass.runtime.errors import BROKE, REJECTED, SLOW, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.worker_api.openai import Prompt

if TYPE_CHECKING:
    import aiohttp
else:
    aiohttp = DeferredModule("aiohttp")

PROXIED_METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE"]
REPEATABLE_METHODS = ("GET", "HEAD")
MAX_ATTEMPTS = 3
DEFAULT_DEADLINE = 10.0  # seconds, where the class names none
LEAST_TIME = 0.01  # seconds that an attempt gets at the least
CHUNK_BYTES = 16 << 10
REQUEST_HEADERS = (b"accept", b"content-type", b"if-none-match", b"range", b"x-caller")  # that are passed on
RESPONSE_HEADERS = (
    "content-type", "content-length", "etag", "cache-control", "last-modified", "content-range", "content-encoding",
    "location",
)  # fmt: skip
BODILESS = (204, 304)
STATUS_BY_CODE = {REJECTED: 503, SLOW: 504}


class Outcome(Enum):
    """How one attempt ended."""

    DONE = auto()  # the client has the whole answer
    RETRY = auto()  # the request may be sent to another worker
    FAILED = auto()  # it may have run and must not be sent again


@dataclass(eq=False, slots=True)
class ProxiedRequest:
    """One admitted request. Owner: the task of `ProxiedRoutes.run`."""

    class_name: str
    request_class: Class
    connection: ClientConnection
    body: bytes
    until: float  # its deadline, in seconds of the loop's clock
    last_fault: Fault

    @property
    def method(self) -> str:
        """The HTTP method."""
        return str(self.connection.scope["method"])

    @property
    def repeatable(self) -> bool:
        """May it run more than once?"""
        return self.method in REPEATABLE_METHODS

    @property
    def target(self) -> str:
        """Path and query."""
        scope = self.connection.scope
        query = scope["query_string"].decode("latin-1")
        return str(scope["path"]) + (f"?{query}" if query else "")

    @property
    def headers(self) -> dict[str, str]:
        """The client's headers that the back end sees."""
        return {
            k.decode("latin-1"): v.decode("latin-1")
            for k, v in self.connection.scope["headers"]
            if k in REQUEST_HEADERS
        }


@dataclass(eq=False)
class ProxiedRoutes:
    """The handler of all paths that the configuration's `ways` name, as an ASGI app."""

    edge: EdgeState

    def class_for(self, path: str) -> str:
        """The request class of the longest route that a path falls to; empty if there is none."""
        routes = self.edge.configuration["ways"] if self.edge.configuration_view.manifest else {}
        fitting = [r for r in routes if path == r or path.startswith(r.rstrip("/") + "/")]
        return routes[max(fitting, key=len)] if fitting else ""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reads a request, admits it and serves it to its last answer."""
        edge, connection = self.edge, ClientConnection(scope, receive, send)
        if (lack := edge.unready()) is not None:
            await connection.respond(lack)
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
        deadline = request_class.get("deadline", DEFAULT_DEADLINE)
        admitted = edge.admission.admit(class_name, deadline)
        if isinstance(admitted, Err):
            edge.requests_total.labels(class_name, "shed").inc()
            fault = admitted.unwrap_err()
            retry_after_s = max(1.0, edge.admission.expected_wait(class_name))
            await connection.respond(fault_response(fault, fault.code, retry_after_s=retry_after_s))
            return
        fault = Fault("pass", edge.settings.name, "not sent", REJECTED, unsent=True)
        await self.run(ProxiedRequest(class_name, request_class, connection, body, now() + deadline, fault))

    async def run(self, request: ProxiedRequest) -> None:
        """Serves one admitted request to its last answer. Raises ConnectionError if the answer breaks off, so that
        the HTTP server closes the connection and it can't look whole."""
        edge, class_name = self.edge, request.class_name
        for _ in range(MAX_ATTEMPTS):
            try:
                prompt = Prompt((), request.connection.scope["path"])
                worker = await edge.admission.acquire(class_name, prompt, "", max(LEAST_TIME, request.until - now()))
            except FaultError as stop:
                request.last_fault = stop.fault
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
        """Sends the request to a worker that was acquired for it, and gives the worker back."""
        edge, class_name, pool = self.edge, request.class_name, request.request_class["pool"]
        began = now()
        answer = Answer(request)
        try:
            # After a freeze of this process the worker may have been acquired long ago: what bars it now is asked
            # right before the request goes.
            barred = edge.admission.barred(pool, worker)
            if barred:
                request.last_fault = Fault("pass", worker, barred, REJECTED, unsent=True)
                return Outcome.RETRY
            url = edge.configuration["pools"][pool]["servers"][worker]["url"]
            async with (
                asyncio.timeout(max(LEAST_TIME, request.until - now())),
                edge.session.request(
                    request.method, url + request.target, data=request.body or None, headers=request.headers,
                    allow_redirects=False,
                ) as response,
            ):  # fmt: skip
                answer.check_length(response)
                if response.status == 503 and request.repeatable:
                    request.last_fault = Fault("pass", url, "status 503", REJECTED)
                    return Outcome.RETRY
                await answer.pass_on(response)
            edge.admission.note_duration(class_name, now() - began)
            edge.requests_total.labels(class_name, "done").inc()
            return Outcome.DONE
        except (aiohttp.ClientError, OSError, TimeoutError, KeyError) as error:
            return self._failed(request, worker, error, answer.started)
        finally:
            edge.admission.release(class_name, pool, worker)

    def _failed(self, request: ProxiedRequest, worker: str, error: Exception, started: bool) -> Outcome:
        """What follows from a fault of an attempt. Raises ConnectionError if a part of the answer went out."""
        edge = self.edge
        code = SLOW if isinstance(error, TimeoutError) else BROKE
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
            edge.worker_load.state_of(request.request_class["pool"], worker).unusable = "refused"
        return Outcome.RETRY if request.repeatable or unsent else Outcome.FAILED


@dataclass(eq=False, slots=True)
class Answer:
    """The answer of one attempt on its way to the client."""

    request: ProxiedRequest
    started: bool = False  # its head went to the client, or began to

    def check_length(self, response: aiohttp.ClientResponse) -> None:
        """Raises ClientPayloadError for an answer whose end would be the connection's, which looks the same when it is
        cut."""
        sized = {"content-length", "transfer-encoding"} & {name.lower() for name in response.headers}
        if not sized and self.request.method != "HEAD" and response.status not in BODILESS:
            raise aiohttp.ClientPayloadError("an answer without a length")

    async def pass_on(self, response: aiohttp.ClientResponse) -> None:
        """Sends the head and, chunk by chunk, the body."""
        headers = [
            (name.lower().encode(), value.encode("latin-1"))
            for name, value in response.headers.items()
            if name.lower() in RESPONSE_HEADERS
        ]
        self.started = True
        connection = self.request.connection
        await connection.start(response.status, headers)
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            await connection.send({"type": "http.response.body", "body": chunk, "more_body": True})
        await connection.end(b"")

"""Live requests to model workers: admitted, sent to a worker of their class's pool, and streamed back as events."""

from __future__ import annotations

import asyncio
import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse
from starlette.types import Receive, Scope, Send

from postpass.configuration.configuration import Class
from postpass.gateway.attempts import CUT, Action, AttemptLog, AttemptState, Decision, next_live_attempt
from postpass.gateway.client_connection import ClientConnection
from postpass.gateway.edge_state import EdgeState
from postpass.gateway.http_errors import fault_response
from postpass.gateway.request_bodies import IDENTIFIER, IDENTIFIER_WANTED, LiveRequestBody, client_of, read_json
from postpass.gateway.worker_load import WorkerState
from postpass.rpc.codec import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import SLOW, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.worker_api.openai import Prompt, complete

MAX_ATTEMPTS = 3
NO_DEADLINE = 1e9  # seconds, where the client names none
DEFAULT_DEADLINE = 30.0  # seconds, where its class names none either
DEFAULT_TOKENS = 256
LEAST_TIME = 0.1  # seconds that a worker gets at the least between two pieces
STREAM_HEADERS = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]
REJECTED_HINT = "shed"  # hint of a fault: the worker answered that it took nothing


def sse_frame(event: str, number: int, body: Body) -> bytes:
    """One server-sent event with its number as id."""
    return f"id: {number}\nevent: {event}\ndata: {json.dumps(body, ensure_ascii=False)}\n\n".encode()


@dataclass(eq=False, slots=True)
class LiveRequest:
    """One admitted request. Owner: the task of `LiveRequests.run`. Invariant: `pieces` counts what went to the client,
    all of it from the attempt that is open, and `digest` is over the text of these."""

    class_name: str
    request_class: Class
    client: str
    prompt: Prompt
    once: bool  # it must not run twice
    began: float  # seconds of the loop's clock
    until: float  # its deadline, by the same clock
    connection: ClientConnection
    attempt_log: AttemptLog = field(default_factory=AttemptLog)
    last_fault: Fault = field(default_factory=lambda: Fault("call", "", "not sent"))
    pieces: int = 0
    digest: Any = field(default_factory=hashlib.sha256)

    def mark_sent(self) -> None:
        """The body's bytes are about to leave for the worker."""
        self.attempt_log = self.attempt_log.mark(AttemptState.SENT)


@dataclass(eq=False)
class LiveRequests:
    """The handler of `/v1/calls`. It is an ASGI app of its own, since it must know at once when the client goes."""

    edge: EdgeState

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reads a request and serves it to its last answer, or until the client goes."""
        connection = ClientConnection(scope, receive, send)
        http_request = Request(scope, receive)
        try:
            read = await self._read(http_request)
        except ClientDisconnect:
            return
        if isinstance(read, Err):
            await connection.respond(read.unwrap_err())
            return
        body, request_class = read.unwrap()
        work = asyncio.create_task(self.run(body, request_class, client_of(http_request), connection))
        gone = asyncio.create_task(connection.wait_for_disconnect())
        try:
            await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.edge.requests_total.labels(body["class"], "gone").inc()
                work.cancel()
            await work
        except asyncio.CancelledError:
            if not work.done():
                work.cancel()
        finally:
            gone.cancel()

    async def _read(self, request: Request) -> Result[tuple[Any, Class], JSONResponse]:
        """The checked body and its class, or the answer that says what is wrong. Raises ClientDisconnect."""
        edge = self.edge
        if (lack := edge.unready()) is not None:
            return Err(lack)
        max_bytes = edge.configuration_view.limit("body_bytes")
        read = await read_json(request, LiveRequestBody, max_bytes, edge.settings.name)
        if isinstance(read, Err):
            return read
        body = read.unwrap()
        return edge.find_class(body["class"], "live").map(lambda request_class: (body, request_class))

    async def run(self, body: Any, request_class: Class, client: str, connection: ClientConnection) -> None:
        """Serves one request whose body's fields have the right types, to its last answer."""
        edge = self.edge
        began = now()
        deadline = min(float(body.get("deadline", NO_DEADLINE)), request_class.get("deadline", DEFAULT_DEADLINE))
        flaw = self._flaw(body, deadline)
        if flaw:
            await connection.respond(fault_response(Fault("read body", edge.settings.name, flaw), 400))
            return
        request = LiveRequest(
            body["class"], request_class, client,
            Prompt(tuple(body.get("shared", [])), body["own"], body.get("most", DEFAULT_TOKENS)),
            bool(body.get("once", request_class.get("once", False))), began, began + deadline, connection,
            last_fault=Fault("call", edge.settings.name, "not sent"),
        )  # fmt: skip
        if not await self._admit(request, deadline):
            return
        if request.once and "key" in body and not await self._claim(request, body["key"]):
            return
        edge.retry_budget.earn()
        await self._finish(request, await self._run_attempts(request))

    def _flaw(self, body: Any, deadline: float) -> str:
        """What is wrong with the values of a body; empty if nothing is."""
        max_tokens = self.edge.configuration_view.limit("pieces")
        if not 1 <= body.get("most", DEFAULT_TOKENS) <= max_tokens:
            return f"most: want 1 to {max_tokens}"
        if "key" in body and not IDENTIFIER.fullmatch(body["key"]):
            return f"key: {IDENTIFIER_WANTED}"
        if deadline <= 0:
            return "deadline: is in the past"
        return ""

    async def _admit(self, request: LiveRequest, deadline: float) -> bool:
        """May the request wait for a worker? If not, the client has its answer. `deadline`: seconds."""
        edge, class_name = self.edge, request.class_name
        admitted = edge.admission.admit(class_name, deadline)
        if isinstance(admitted, Ok):
            return True
        edge.requests_total.labels(class_name, "shed").inc()
        fault = admitted.unwrap_err()
        retry_after_s = max(1.0, edge.admission.expected_wait(class_name))
        await request.connection.respond(fault_response(fault, fault.code, retry_after_s=retry_after_s, ran="never"))
        return False

    async def _claim(self, request: LiveRequest, key: str) -> bool:
        """Is this edge the first of all to take the key? If not, the client has its answer."""
        edge = self.edge
        claimed = await edge.owners.claim(key, min(request.until, now() + edge.settings.bounds.recover))
        if isinstance(claimed, Ok) and claimed.unwrap():
            return True
        edge.requests_total.labels(request.class_name, "claimed").inc()
        if isinstance(claimed, Ok):
            why = "a call with this key was taken before; it is not run again"
            response = fault_response(Fault("claim", edge.settings.name, why), 409, ran="unknown")
        else:
            # Not sent by this edge, now or later; whoever else holds the key is not known.
            response = fault_response(claimed.unwrap_err(), 503, ran="not by this call")
        await request.connection.respond(response)
        return False

    # --- attempts
    async def _run_attempts(self, request: LiveRequest) -> Decision:
        """Sends the request until it is done or must not be sent again."""
        edge, budget = self.edge, self.edge.retry_budget
        while True:
            may_retry = budget.available or not request.attempt_log.attempts
            decision = next_live_attempt(
                request.attempt_log, request.once, now(), request.until, MAX_ATTEMPTS, may_retry
            )
            if decision.action is not Action.SEND:
                return decision
            if request.attempt_log.attempts:
                budget.spend()
            try:
                worker = await edge.admission.acquire(
                    request.class_name, request.prompt, request.client, request.until - now()
                )
            except FaultError as stop:
                request.last_fault = stop.fault
                request.attempt_log = request.attempt_log.plan("").mark(AttemptState.UNSENT, stop.fault.why)
                continue
            await self._attempt(request, worker)

    async def _attempt(self, request: LiveRequest, worker: str) -> None:
        """Sends the request to a worker that was acquired for it, marks how that ended, and gives the worker back."""
        edge, class_name, pool = self.edge, request.class_name, request.request_class["pool"]
        request.attempt_log = request.attempt_log.plan(worker)
        worker_state = edge.worker_load.state_of(pool, worker)
        try:
            await self._stream(request, pool, worker, worker_state)
            request.attempt_log = request.attempt_log.mark(AttemptState.DONE)
            edge.admission.note_duration(class_name, now() - request.began)
        except FaultError as stop:
            self._note_fault(request, stop.fault, worker_state)
        except TimeoutError:
            fault = request.last_fault = Fault("call", worker, "its deadline passed", SLOW)
            last = request.attempt_log.last
            sent = last is not None and last.state in (AttemptState.SENT, AttemptState.FIRST)
            state = AttemptState.BROKEN if sent else AttemptState.UNSENT
            request.attempt_log = request.attempt_log.mark(state, (f"{CUT}: " if request.pieces else "") + fault.why)
        finally:
            edge.admission.release(class_name, pool, worker)

    async def _stream(self, request: LiveRequest, pool: str, worker: str, worker_state: WorkerState) -> None:
        """Passes the worker's pieces on to the client. Raises FaultError, or TimeoutError at the request's deadline."""
        edge, send = self.edge, request.connection.send
        server = edge.configuration["pools"][pool]["servers"].get(worker)
        if server is None:
            raise FaultError(Fault("seat", worker, "it left the manifest", unsent=True))
        model = worker_state.report.weights if worker_state.report else ""
        async with asyncio.timeout(request.until - now()):
            async for text in complete(
                edge.session, server["url"], model, request.prompt, lambda: edge.admission.barred(pool, worker),
                request.mark_sent, max(LEAST_TIME, request.until - now()), edge.configuration_view.limit("pieces"),
                edge.configuration["pools"][pool].get("offsets", True),
            ):  # fmt: skip
                count = request.pieces
                if count == 0:
                    request.attempt_log = request.attempt_log.mark(AttemptState.FIRST)
                    edge.first_piece_seconds.labels(request.class_name).observe(now() - request.began)
                    await request.connection.start(200, STREAM_HEADERS)
                request.digest.update(text.encode())
                data = sse_frame("piece", count, {"n": count, "text": text})
                await send({"type": "http.response.body", "body": data, "more_body": True})
                request.pieces = count + 1

    def _note_fault(self, request: LiveRequest, fault: Fault, worker_state: WorkerState) -> None:
        """Marks the open attempt by what its fault proves; a worker that can't be reached gets nothing new."""
        request.last_fault = fault
        if request.pieces:
            state, why = AttemptState.BROKEN, f"{CUT}: {fault.why}"
        elif fault.unsent:
            state, why = AttemptState.UNSENT, fault.why
        elif fault.hint == REJECTED_HINT:
            state, why = AttemptState.REJECTED, fault.why
        else:
            state, why = AttemptState.BROKEN, fault.why
        request.attempt_log = request.attempt_log.mark(state, why)
        if not fault.hint:
            worker_state.unusable = worker_state.unusable or (fault.why if fault.unsent else "")

    # --- the end
    async def _finish(self, request: LiveRequest, decision: Decision) -> None:
        """Ends the answer, or gives the client an error that says whether the request may have run."""
        edge, last, count = self.edge, request.last_fault, request.pieces
        edge.requests_total.labels(request.class_name, str(decision.action)).inc()
        if decision.action is Action.DONE:
            if count == 0:
                await request.connection.start(200, STREAM_HEADERS[:1])
            data = sse_frame("done", count, {"count": count, "sum": request.digest.hexdigest()[:16]})
            await request.connection.end(data)
            return
        log_events.emit(
            Event.REQUEST_BROKEN, edge.settings.name, kind=request.class_name, end=str(decision.action), step=last.step, peer=last.peer,
            why=decision.why, tries=len(request.attempt_log.attempts),
        )  # fmt: skip
        fault = Fault(last.step, last.peer, decision.why or last.why)
        if count:
            await request.connection.end(sse_frame("error", count, fault.as_json() | {"count": count}))
        elif request.attempt_log.never_ran:
            retry_after_s = max(1.0, edge.admission.expected_wait(request.class_name))
            await request.connection.respond(fault_response(fault, 503, ran="never", retry_after_s=retry_after_s))
        else:
            status = 504 if last.code == SLOW else 502
            await request.connection.respond(fault_response(fault, status, ran="unknown"))

"""Live requests to model workers: admission, sending to a worker of the class's pool, streaming back as events."""

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
from postpass.gateway.attempts import CUT_PREFIX, Action, AttemptLog, AttemptState, Decision, next_live_attempt
from postpass.gateway.client_connection import ClientConnection
from postpass.gateway.edge_state import EdgeState
from postpass.gateway.http_errors import fault_response
from postpass.gateway.request_bodies import IDENTIFIER, IDENTIFIER_RULE, LiveRequestBody, client_name_of, read_json
from postpass.gateway.worker_load import WorkerState
from postpass.rpc.codec import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import TIMED_OUT, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.worker_api.openai import Prompt, complete

MAX_ATTEMPTS = 3
NO_DEADLINE = 1e9  # seconds; used if the client gives no deadline
DEFAULT_DEADLINE = 30.0  # seconds; used if the request's class has no deadline either
DEFAULT_MAX_TOKENS = 256
MIN_PIECE_TIMEOUT = 0.1  # seconds; the shortest time limit for a worker between two pieces
STREAM_HEADERS = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]
REJECTED_HINT = "shed"  # hint of a fault: the worker answered that it didn't accept the request


def sse_frame(event: str, event_id: int, body: Body) -> bytes:
    """Returns one encoded server-sent event, whose data is `body` as JSON."""
    return f"id: {event_id}\nevent: {event}\ndata: {json.dumps(body, ensure_ascii=False)}\n\n".encode()


@dataclass(eq=False, slots=True)
class LiveRequest:
    """One admitted request. Owned by the task of `LiveRequests.run`.

    Invariant: `pieces_sent` counts the pieces that were sent to the client, all of which come from the current attempt,
    and `digest` is the digest of their text.
    """

    class_name: str
    request_class: Class
    client: str
    prompt: Prompt
    at_most_once: bool  # it must not run more than once
    started_at: float  # seconds of the event loop's clock
    deadline: float  # by the same clock
    connection: ClientConnection
    attempt_log: AttemptLog = field(default_factory=AttemptLog)
    last_fault: Fault = field(default_factory=lambda: Fault("call", "", "not sent"))
    pieces_sent: int = 0
    digest: Any = field(default_factory=hashlib.sha256)

    def mark_sent(self) -> None:
        """Records that the bytes of the body are about to be sent to the worker."""
        self.attempt_log = self.attempt_log.mark(AttemptState.SENT)


@dataclass(eq=False)
class LiveRequests:
    """The handler of `/v1/calls`. It is an ASGI app of its own, since it must notice a client's disconnect at once."""

    edge: EdgeState

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reads a request and serves it until its response is complete or the client disconnects."""
        connection = ClientConnection(scope, receive, send)
        http_request = Request(scope, receive)
        try:
            parse_result = await self._read_body(http_request)
        except ClientDisconnect:
            return
        if isinstance(parse_result, Err):
            await connection.respond(parse_result.unwrap_err())
            return
        body, request_class = parse_result.unwrap()
        serve_task = asyncio.create_task(self.run(body, request_class, client_name_of(http_request), connection))
        disconnect_task = asyncio.create_task(connection.wait_for_disconnect())
        try:
            await asyncio.wait([serve_task, disconnect_task], return_when=asyncio.FIRST_COMPLETED)
            if not serve_task.done():
                self.edge.requests_total.labels(body["class"], "gone").inc()
                serve_task.cancel()
            await serve_task
        except asyncio.CancelledError:
            if not serve_task.done():
                serve_task.cancel()
        finally:
            disconnect_task.cancel()

    async def _read_body(self, request: Request) -> Result[tuple[Any, Class], JSONResponse]:
        """Returns the validated body and its request class, or the error response for the client.

        Raises ClientDisconnect if the client disconnects before the end of the body.
        """
        edge = self.edge
        if (not_ready := edge.not_ready_response()) is not None:
            return Err(not_ready)
        max_bytes = edge.configuration_view.limit("body_bytes")
        parse_result = await read_json(request, LiveRequestBody, max_bytes, edge.settings.name)
        if isinstance(parse_result, Err):
            return parse_result
        body = parse_result.unwrap()
        return edge.find_class(body["class"], "live").map(lambda request_class: (body, request_class))

    async def run(self, body: Any, request_class: Class, client: str, connection: ClientConnection) -> None:
        """Serves one request until its response is complete. The fields of `body` must have the right types."""
        edge = self.edge
        started_at = now()
        timeout_s = min(float(body.get("deadline", NO_DEADLINE)), request_class.get("deadline", DEFAULT_DEADLINE))
        validation_error = self._validation_error(body, timeout_s)
        if validation_error:
            await connection.respond(fault_response(Fault("read body", edge.settings.name, validation_error), 400))
            return
        request = LiveRequest(
            body["class"], request_class, client,
            Prompt(tuple(body.get("shared", [])), body["own"], body.get("most", DEFAULT_MAX_TOKENS)),
            bool(body.get("once", request_class.get("once", False))), started_at, started_at + timeout_s, connection,
            last_fault=Fault("call", edge.settings.name, "not sent"),
        )  # fmt: skip
        if not await self._admit(request, timeout_s):
            return
        if request.at_most_once and "key" in body and not await self._claim(request, body["key"]):
            return
        edge.retry_budget.earn()
        await self._finish(request, await self._run_attempts(request))

    def _validation_error(self, body: Any, timeout_s: float) -> str:
        """Returns what is wrong with the values of a body; empty if they are valid.

        `timeout_s`: time until the request's deadline.
        """
        max_tokens = self.edge.configuration_view.limit("pieces")
        if not 1 <= body.get("most", DEFAULT_MAX_TOKENS) <= max_tokens:
            return f"most: want 1 to {max_tokens}"
        if "key" in body and not IDENTIFIER.fullmatch(body["key"]):
            return f"key: {IDENTIFIER_RULE}"
        if timeout_s <= 0:
            return "deadline: is in the past"
        return ""

    async def _admit(self, request: LiveRequest, timeout_s: float) -> bool:
        """Returns whether the request may wait for a worker; if not, the client has got its response.

        `timeout_s`: time until its deadline.
        """
        edge, class_name = self.edge, request.class_name
        admission_result = edge.admission.admit(class_name, timeout_s)
        if isinstance(admission_result, Ok):
            return True
        edge.requests_total.labels(class_name, "shed").inc()
        fault = admission_result.unwrap_err()
        retry_after_s = max(1.0, edge.admission.expected_wait(class_name))
        await request.connection.respond(fault_response(fault, fault.code, retry_after_s=retry_after_s, ran="never"))
        return False

    async def _claim(self, request: LiveRequest, key: str) -> bool:
        """Returns whether this edge is the first of all to claim the key; if not, the client has got its response."""
        edge = self.edge
        claim_result = await edge.owners.claim(key, min(request.deadline, now() + edge.settings.bounds.recover))
        if isinstance(claim_result, Ok) and claim_result.unwrap():
            return True
        edge.requests_total.labels(request.class_name, "claimed").inc()
        if isinstance(claim_result, Ok):
            why = "a call with this key was taken before; it is not run again"
            response = fault_response(Fault("claim", edge.settings.name, why), 409, ran="unknown")
        else:
            # This edge neither has sent the request nor will send it; whether another edge has claimed the key is
            # unknown.
            response = fault_response(claim_result.unwrap_err(), 503, ran="not by this call")
        await request.connection.respond(response)
        return False

    # --- attempts
    async def _run_attempts(self, request: LiveRequest) -> Decision:
        """Sends the request, to another worker if need be, until it is done or must not be sent again.

        Returns the decision that ended the attempts.
        """
        edge, budget = self.edge, self.edge.retry_budget
        while True:
            may_retry = budget.available or not request.attempt_log.attempts
            decision = next_live_attempt(
                request.attempt_log, request.at_most_once, now(), request.deadline, MAX_ATTEMPTS, may_retry
            )
            if decision.action is not Action.SEND:
                return decision
            if request.attempt_log.attempts:
                budget.spend()
            try:
                worker = await edge.admission.acquire(
                    request.class_name, request.prompt, request.client, request.deadline - now()
                )
            except FaultError as error:
                request.last_fault = error.fault
                # An attempt without a worker, since none was free in time.
                request.attempt_log = request.attempt_log.plan("").mark(AttemptState.UNSENT, error.fault.why)
                continue
            await self._attempt(request, worker)

    async def _attempt(self, request: LiveRequest, worker: str) -> None:
        """Sends the request to a worker that was acquired for it, records the outcome, and releases the worker."""
        edge, class_name, pool = self.edge, request.class_name, request.request_class["pool"]
        request.attempt_log = request.attempt_log.plan(worker)
        worker_state = edge.worker_load.state_of(pool, worker)
        try:
            await self._stream(request, pool, worker, worker_state)
            request.attempt_log = request.attempt_log.mark(AttemptState.DONE)
            edge.admission.note_duration(class_name, now() - request.started_at)
        except FaultError as error:
            self._note_fault(request, error.fault, worker_state)
        except TimeoutError:
            fault = request.last_fault = Fault("call", worker, "its deadline passed", TIMED_OUT)
            last_attempt = request.attempt_log.last
            sent = last_attempt is not None and last_attempt.state in (AttemptState.SENT, AttemptState.FIRST)
            state = AttemptState.BROKEN if sent else AttemptState.UNSENT
            request.attempt_log = request.attempt_log.mark(
                state, (f"{CUT_PREFIX}: " if request.pieces_sent else "") + fault.why
            )
        finally:
            edge.admission.release(class_name, pool, worker)

    async def _stream(self, request: LiveRequest, pool: str, worker: str, worker_state: WorkerState) -> None:
        """Streams the worker's pieces to the client. Raises FaultError, or TimeoutError at the request's deadline."""
        edge, send = self.edge, request.connection.send
        server = edge.configuration["pools"][pool]["servers"].get(worker)
        if server is None:
            raise FaultError(Fault("seat", worker, "it left the manifest", unsent=True))
        # The name of the model that the worker reports as loaded.
        model = worker_state.report.weights if worker_state.report else ""
        async with asyncio.timeout(request.deadline - now()):
            async for text in complete(
                edge.session, server["url"], model, request.prompt, lambda: edge.admission.exclusion_reason(pool,
                worker), request.mark_sent, max(MIN_PIECE_TIMEOUT, request.deadline - now()),
                edge.configuration_view.limit("pieces"), edge.configuration["pools"][pool].get("offsets", True),
            ):  # fmt: skip
                piece_number = request.pieces_sent
                if piece_number == 0:
                    request.attempt_log = request.attempt_log.mark(AttemptState.FIRST)
                    edge.first_piece_seconds.labels(request.class_name).observe(now() - request.started_at)
                    await request.connection.start(200, STREAM_HEADERS)
                request.digest.update(text.encode())
                data = sse_frame("piece", piece_number, {"n": piece_number, "text": text})
                await send({"type": "http.response.body", "body": data, "more_body": True})
                request.pieces_sent = piece_number + 1

    def _note_fault(self, request: LiveRequest, fault: Fault, worker_state: WorkerState) -> None:
        """Records the end of the current attempt, in the state that its fault proves.

        A worker that can't be reached gets no new requests.
        """
        request.last_fault = fault
        if request.pieces_sent:
            state, why = AttemptState.BROKEN, f"{CUT_PREFIX}: {fault.why}"
        elif fault.unsent:
            state, why = AttemptState.UNSENT, fault.why
        elif fault.hint == REJECTED_HINT:
            state, why = AttemptState.REJECTED, fault.why
        else:
            state, why = AttemptState.BROKEN, fault.why
        request.attempt_log = request.attempt_log.mark(state, why)
        if not fault.hint:
            worker_state.unusable_reason = worker_state.unusable_reason or (fault.why if fault.unsent else "")

    # --- the end of the response
    async def _finish(self, request: LiveRequest, decision: Decision) -> None:
        """Ends the response, or sends the client an error that says whether the request may have run."""
        edge, last_fault, piece_count = self.edge, request.last_fault, request.pieces_sent
        edge.requests_total.labels(request.class_name, str(decision.action)).inc()
        if decision.action is Action.DONE:
            if piece_count == 0:
                await request.connection.start(200, STREAM_HEADERS[:1])
            data = sse_frame("done", piece_count, {"count": piece_count, "sum": request.digest.hexdigest()[:16]})
            await request.connection.end(data)
            return
        log_events.emit(
            Event.REQUEST_BROKEN, edge.settings.name, kind=request.class_name, end=str(decision.action), step=last_fault.step, peer=last_fault.peer,
            why=decision.why, tries=len(request.attempt_log.attempts),
        )  # fmt: skip
        fault = Fault(last_fault.step, last_fault.peer, decision.why or last_fault.why)
        if piece_count:
            await request.connection.end(sse_frame("error", piece_count, fault.as_json() | {"count": piece_count}))
        elif request.attempt_log.never_ran:
            retry_after_s = max(1.0, edge.admission.expected_wait(request.class_name))
            await request.connection.respond(fault_response(fault, 503, ran="never", retry_after_s=retry_after_s))
        else:
            status = 504 if last_fault.code == TIMED_OUT else 502
            await request.connection.respond(fault_response(fault, status, ran="unknown"))

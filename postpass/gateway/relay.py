"""Relayed requests: bytes untouched to one worker of the route's pool, by a log of attempts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from result import Err, Result
from starlette.types import ASGIApp, Receive, Scope, Send

from postpass.configuration.configuration import Route, limit
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.answer_delivery import AnswerDelivery
from postpass.gateway.attempts import Action, AttemptState, Decision, KeyStanding, next_relayed_attempt
from postpass.gateway.body_reader import BodyRefusal, read_body
from postpass.gateway.client_identity import CHALLENGE, ClientIdentity, ClientKeys, KeyRefusal
from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.http_headers import (
    HeaderNames,
    Headers,
    header,
    parse_number,
)
from postpass.gateway.relayed_request import RelayedRequest, attempt_headers, build_request
from postpass.gateway.response_check import Proof, check_response
from postpass.gateway.upstream_connection import GARBLED, Exchange
from postpass.gateway.worker_health import FULL_FOR, WorkerHealth
from postpass.gateway.worker_selection import WorkerSelection
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import CROWD, SLOW, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.tenants.rate_limit import RateLimit

JobHandler = Callable[[str, Route, str, Scope, Receive, Send], Awaitable[None]]  # with the name of its tenant

REFUSAL_BYTES = 64 << 10  # of a refusal that are read, so that its connection can be kept
DEADLINE_SLACK = 0.2  # seconds beyond the deadline in which a worker's own answer to it may come
CONNECTION_SHARE = 0.9  # of a worker's connections that all senders together use
REASK_SHARE = 1 / 4  # of a route's target: until then other workers are asked, and then the client comes again
LEAST_RETRY_AFTER = 0.05  # seconds
READY_SOON, READY_LATE = 0.4, 1.4  # times `detect` since its start by which a process is ready: mostly, and at worst
FAILED_STATUSES = (500, 502)  # answers by which a worker says that it failed; 504 is for a deadline
REJECTION_LINES_S = 1.0  # seconds between two log lines on rejected requests


class Relay:
    """The ASGI app of an announced fleet's edge. Owner: the data plane's process.

    Invariants: a request is under way at one worker at the most; it goes to another only if that is proved safe; 408,
    421, 429 and 503 of ours go only to requests that no worker has taken."""

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        configuration_view: ConfigurationView,
        dialect: Dialect,
        registry: CollectorRegistry,
    ) -> None:
        self.settings, self.environment, self.configuration_view = settings, environment, configuration_view
        self.names = HeaderNames(dialect)
        self.fallback: ASGIApp = self.not_found  # serves what no route fits
        self.connections = ConnectionPool(connect=settings.bounds.leave / 8, silence=settings.bounds.leave * 1.5)
        self.leaving = False
        self.unready: Callable[[], str] = lambda: ""  # what is lacking to answer clients; empty if nothing is
        self.job_handler: JobHandler | None = None
        self.clients = ClientKeys(configuration_view)
        self.rate_limit: RateLimit | None = None  # of tenants
        self.workers = WorkerSelection(settings, environment, configuration_view)
        self.started = now()
        self.rejected: dict[str, int] = {}  # by cause, since the last log line on it
        self.next_rejection_line = 0.0  # seconds of the loop's clock
        self.requests = Counter(
            "postpass_relayed", "Relayed requests by route and end", ["route", "end"], registry=registry
        )
        first_byte_seconds = Histogram(
            "postpass_relayed_first_seconds", "Time to the first byte of an answer", ["route"], registry=registry
        )
        self.answers = AnswerDelivery(first_byte_seconds, lambda: self.leaving)
        self.choices = Counter(
            "postpass_worker_choices", "Workers chosen for relayed requests, by reason", ["reason"], registry=registry
        )
        Gauge("postpass_worker_connections", "Connections to workers that are open", registry=registry).set_function(
            lambda: sum(len(x) for x in self.connections.opened.values())
        )
        Gauge("postpass_worker_connections_made", "Connections ever opened to workers", registry=registry).set_function(
            lambda: self.connections.made
        )
        Gauge("postpass_relayed_open", "Relayed requests under way", registry=registry).set_function(
            lambda: sum(h.in_flight for h in self.workers.health_by_worker.values())
        )

    # --- ASGI
    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves a request by its route, or by the fallback if none fits."""
        if scope["type"] != "http":
            await self.fallback(scope, receive, send)
            return
        self.workers.refresh()
        found = self.workers.table.match(header(scope["headers"], b"host") or b"", scope["raw_path"])
        if found is None:
            await self.fallback(scope, receive, send)
            return
        name, route = found
        lack = self.unready()
        if lack:
            await self.reject(send, self.ready_in(), lack)
            return
        identity = self.clients.authenticate(route, scope["headers"])
        if isinstance(identity, Err):
            self.requests.labels(name, "401").inc()
            await self.refuse_key(send, identity.unwrap_err())
        elif route["kind"] != "lot":
            await self._relay_within_rate(name, route, identity.unwrap(), scope, receive, send)
        elif self.job_handler is None:
            await self.reject(send, 1.0, "no lots are taken here")
        else:
            await self.job_handler(name, route, identity.unwrap().tenant, scope, receive, send)

    async def _relay_within_rate(
        self, name: str, route: Route, client: ClientIdentity, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Relays a request if its tenant's rate allows it; its body isn't waited for before that is known."""
        wait = await self.rate_limit.admit(client.tenant) if client.tenant and self.rate_limit is not None else 0.0
        if wait > 0:
            self.requests.labels(name, "429").inc()
            await self.answer(send, 429, self.retry_after(wait))
        else:
            await self.relay(name, route, client, scope, receive, send)

    def job_client(self, scope: Scope) -> Result[ClientIdentity, KeyRefusal]:
        """Whose call about a job this is: it names its route by the host alone."""
        self.workers.refresh()
        headers: Headers = scope["headers"]
        routes = self.workers.table.routes_of(header(headers, b"host") or b"")
        return self.clients.authenticate_for_job(routes, headers)

    async def not_found(self, scope: Scope, receive: Receive, send: Send) -> None:
        """For what neither a route nor a page of ours fits."""
        lack = self.unready()
        if lack:
            await self.reject(send, self.ready_in(), lack)
        else:
            await self.answer(send, 404)

    async def answer(self, send: Send, status: int, *more: tuple[bytes, bytes], body: bytes = b"") -> None:
        """An answer of ours. `more`: further headers."""
        close = [(b"connection", b"close")] if self.leaving else []
        headers = [(b"content-length", b"%d" % len(body)), *more, *close]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def refuse_key(self, send: Send, refusal: KeyRefusal) -> None:
        """The answer to a client whose key isn't known: it has not run."""
        body = json.dumps({"error": refusal}).encode()
        await self.answer(send, 401, CHALLENGE, (b"content-type", b"application/json"), body=body)

    def ready_in(self) -> float:
        """Seconds until an edge that isn't ready should be: after a common restart the control plane is there at once,
        or else within `detect`."""
        detect, up = self.settings.bounds.detect, now() - self.started
        return max(0.5, detect * (READY_SOON if up < detect * READY_SOON / 2 else READY_LATE) - up)

    async def reject(self, send: Send, wait: float, why: str) -> None:
        """A promise: the request has not run and never will. `wait`: seconds after which it may come again."""
        self.rejected[why] = self.rejected.get(why, 0) + 1
        if now() >= self.next_rejection_line:
            # At most one line a second, so that a flood costs nothing more.
            self.next_rejection_line = now() + REJECTION_LINES_S
            log_events.emit(Event.PROXY_REJECTED, self.settings.name, why=self.rejected)
            self.rejected = {}
        await self.answer(send, 503, self.retry_after(wait))

    def retry_after(self, wait: float) -> tuple[bytes, bytes]:
        """The header that asks clients to come again after about `wait` seconds, not all at once."""
        return b"retry-after", b"%.3f" % (wait * (0.75 + 0.5 * self.environment.chance.random()))

    # --- one request
    async def relay(
        self, name: str, route: Route, client: ClientIdentity, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Reads a request of a route and serves it to its last answer, or until the client goes."""
        began = now()
        headers: Headers = scope["headers"]
        deadline_ms = parse_number(header(headers, self.names.deadline_ms))
        seconds = route["timeout"] if deadline_ms is None else min(route["timeout"], deadline_ms / 1000)
        until = began + seconds
        max_bytes = limit(self.configuration_view.manifest, "body_bytes") if self.configuration_view.manifest else 0
        announced = parse_number(header(headers, b"content-length")) or 0
        body = await read_body(receive, max_bytes, announced, until)
        if isinstance(body, BodyRefusal):
            await self._refuse_body(name, route, send, body)
            return
        request = build_request(self.names, name, route, client, scope, body, began, until, send)
        task = asyncio.current_task()
        assert task is not None
        watch = asyncio.create_task(self._watch_client(request, receive, task))
        try:
            await self.run(request)
        except asyncio.CancelledError:
            if not request.gone:
                raise
            self.requests.labels(name, "gone").inc()
        finally:
            watch.cancel()

    async def _refuse_body(self, name: str, route: Route, send: Send, refusal: BodyRefusal) -> None:
        if refusal is BodyRefusal.CLIENT_GONE:
            return
        status = int(refusal)
        self.requests.labels(name, str(status)).inc()
        late = refusal is BodyRefusal.TOO_LATE
        more = [self.retry_after(route["target"] * REASK_SHARE)] if late else []
        await self.answer(send, status, *more)

    async def _watch_client(self, request: RelayedRequest, receive: Receive, task: asyncio.Task[Any]) -> None:
        """Cancels the request's task when its client goes."""
        while (await receive())["type"] != "http.disconnect":
            pass
        request.gone = True
        task.cancel()

    async def run(self, request: RelayedRequest) -> None:
        """Sends the request until it is done or must not be sent again, and ends its answer."""
        decision = await self._run_attempts(request)
        self.requests.labels(request.route_name, str(decision.action)).inc()
        last = request.attempt_log.last
        worker = last.worker if last else ""
        if decision.action is Action.DONE:
            if request.late:
                self._note_late(request, worker)
            return
        if decision.action is Action.REJECT:
            wait = max(LEAST_RETRY_AFTER, request.route["target"] * REASK_SHARE)
            await self.reject(request.send, wait, decision.why)
            return
        if decision.action is Action.REFUSE_KEY:
            await self.refuse_key(request.send, KeyRefusal.UNKNOWN)
            return
        log_events.emit(
            Event.PROXY_BROKEN, self.settings.name, route=request.route_name, worker=worker, why=decision.why
        )
        if not request.begun:
            await self.answer(request.send, 504 if now() >= request.until else 502)
        # Otherwise nothing more is said, and the server closes the connection in the middle of the answer.

    def _note_late(self, request: RelayedRequest, worker: str) -> None:
        """Logs an answer that missed its aims, with why its worker was chosen and what was known of it then."""
        choice = request.choice
        log_events.emit(
            Event.PROXY_LATE, self.settings.name, route=request.route_name, worker=worker,
            first=f"{request.first_delay:.3f}", pause=f"{request.longest_pause:.3f}", tokens=request.tokens.decode(),
            shared=request.prefix.tokens, tries=len(request.attempt_log.attempts),
            chosen=choice.reason if choice else "", used=choice.used if choice else 0,
            unread=choice.unread if choice else 0, shared_load=self.workers.others_load() is not None,
        )  # fmt: skip

    async def _run_attempts(self, request: RelayedRequest) -> Decision:
        route = request.route
        ask_until = request.began + route["target"] * REASK_SHARE
        while True:
            standing = KeyStanding.HELD if request.begun else self.clients.standing(route, request.client)
            decision = next_relayed_attempt(
                request.attempt_log, repeatable=request.repeatable, resumable=request.can_resume, begun=request.begun,
                now=now(), ask_until=ask_until, until=request.until, max_runs=max(1, route["tries"]), standing=standing,
            )  # fmt: skip
            if decision.action is not Action.SEND:
                return decision
            chosen = self.workers.choose(request)
            if chosen is None:
                action = Action.REJECT if request.attempt_log.never_ran else Action.ERROR
                return Decision(action, "no worker is left")
            if request.choice is not None:
                self.choices.labels(request.choice.reason).inc()
            await self._attempt(request, *chosen)

    # --- one attempt
    async def _attempt(self, request: RelayedRequest, pool: str, name: str) -> None:
        """Sends the request to a worker, and marks what is proved by how that ended."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        addr = configuration["pools"][pool]["servers"][name]["url"].removeprefix("http://")
        worker_connections = configuration["pools"][pool].get("conns", 0)
        max_connections = (
            max(1, int(worker_connections * CONNECTION_SHARE / self.workers.senders)) if worker_connections else 0
        )
        health = self.workers.health(name)
        request.attempt_log = request.attempt_log.plan(name)
        seconds_left = request.until - now()
        headers = attempt_headers(self.names, request, name, seconds_left)
        health.in_flight += 1
        self._note_unread(request, health, request.prompt_tokens)
        exchange: Exchange | None = None
        sent = now()
        try:
            exchange = await self.connections.request(
                addr, request.method, request.target, headers, request.body,
                admission_check=lambda: self._check_admission(request, pool, name, addr),
                limit=seconds_left + DEADLINE_SLACK, max_connections=max_connections,
                expect=(self.names.request_id, request.request_id or b""), patience=request.patience,
            )  # fmt: skip
            if await self._is_answer(request, exchange, name, health):
                self._note_answer(request, exchange, name, health, now() - sent)
                await self.answers.deliver(request, exchange, lambda: self._note_unread(request, health, 0))
        except FaultError as stop:
            self._note_fault(request, stop.fault, name, health)
        finally:
            health.in_flight -= 1
            self._note_unread(request, health, 0)
            if exchange is not None:
                exchange.close()

    def _check_admission(self, request: RelayedRequest, pool: str, name: str, addr: str) -> str:
        """Asked right before the first byte leaves: what speaks against it now; empty if nothing does."""
        if not request.begun and self.clients.standing(request.route, request.client) is not KeyStanding.HELD:
            return "its client's key has changed"
        return self.workers.check_admission(request, pool, name, addr)

    def _note_unread(self, request: RelayedRequest, health: WorkerHealth, tokens: int) -> None:
        """So many tokens of the request's prompt may still have to be read at its worker."""
        health.unread += tokens - request.unread
        request.unread = tokens

    async def _is_answer(self, request: RelayedRequest, exchange: Exchange, name: str, health: WorkerHealth) -> bool:
        """Is the head the worker's own answer? If it proves that nothing ran, that is marked. Raises FaultError for a
        head that proves nothing."""
        checked = check_response(exchange.status, exchange.headers, self.names.answers)
        if checked.proof is Proof.ANSWER:
            return True
        if checked.proof is Proof.NONE:
            raise FaultError(Fault("head", exchange.addr, checked.why))
        await self.read_refusal(exchange)
        request.attempt_log = request.attempt_log.mark(AttemptState.REJECTED, f"{exchange.status}")
        if checked.proof is Proof.OTHER_WORKER:
            # Where the client wants a version of the weights, the same status says that this worker has another one.
            if not any(header == self.names.want_version for header, _ in request.headers):
                self._avoid(name, health, "another worker answers there")
        else:
            health.is_full(now())
        return False

    def _note_answer(
        self, request: RelayedRequest, exchange: Exchange, name: str, health: WorkerHealth, lag: float
    ) -> None:
        """The head of a worker's own answer came. One that fails at once would seem the least busy of all."""
        if exchange.status in FAILED_STATUSES and now() < request.until:
            self._avoid(name, health, f"it answered {exchange.status}")
        else:
            health.answered(now(), lag)

    def _note_fault(self, request: RelayedRequest, fault: Fault, name: str, health: WorkerHealth) -> None:
        if fault.unsent:
            request.attempt_log = request.attempt_log.mark(AttemptState.UNSENT, fault.why)
            at_fault = fault.step == "connect" and fault.code != CROWD
        else:
            request.attempt_log = request.attempt_log.mark(AttemptState.BROKEN, str(fault))
            at_fault = fault.step != "repeat" and now() < request.until
        if at_fault:
            self._avoid(name, health, fault.why, silent=fault.code == SLOW)

    def _avoid(self, name: str, health: WorkerHealth, why: str, silent: bool = False) -> None:
        if health.failed(now(), silent):
            log_events.emit(Event.WORKER_AVOIDED, self.settings.name, worker=name, why=why)

    async def read_refusal(self, exchange: Exchange) -> None:
        """Reads the body of a refusal, so that its connection can be kept. Its head stands if the rest is late or cut;
        raises FaultError if the rest shows that the bytes were no answer at all, since then the head proves nothing."""
        try:
            async with asyncio.timeout(FULL_FOR):
                await exchange.read(REFUSAL_BYTES)
        except TimeoutError:
            pass
        except FaultError as stop:
            if stop.fault.hint == GARBLED:
                raise

    def close(self) -> None:
        """Ends all exchanges and connections; the process is about to end."""
        self.connections.close()

"""Forwards requests unchanged to a worker of their route's pool, and decides on retries by the log of attempts."""

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
from postpass.gateway.attempts import Action, AttemptState, Decision, KeyStatus, next_relayed_attempt
from postpass.gateway.body_reader import BodyRefusal, read_body
from postpass.gateway.client_identity import CHALLENGE, ClientIdentity, ClientKeys, KeyRefusal
from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.exchange import Exchange
from postpass.gateway.http_headers import (
    HeaderNames,
    Headers,
    header,
    parse_number,
)
from postpass.gateway.own_paths import OwnPages
from postpass.gateway.relayed_request import RelayedRequest, attempt_headers, build_request
from postpass.gateway.response_check import Proof, check_response
from postpass.gateway.upstream_connection import GARBLED
from postpass.gateway.worker_health import FULL_SECONDS, WorkerHealth
from postpass.gateway.worker_selection import WorkerSelection
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import TIMED_OUT, TOO_MANY_REQUESTS, Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.tenants.rate_limit import RateLimit

# Handles a request of a job route. Parameters: the route's name, the route, the tenant's name, the ASGI arguments.
JobHandler = Callable[[str, Route, str, Scope, Receive, Send], Awaitable[None]]

MAX_REFUSAL_BYTES = 64 << 10  # of a rejection's body that are read, so that its connection can be kept
DEADLINE_SLACK = 0.2  # seconds after the deadline in which the worker's own answer about it may arrive
CONNECTION_SHARE = 0.9  # share of a worker's connections that all senders together use
WORKER_SEARCH_SHARE = 1 / 4  # of a route's target: for so long other workers are tried, then the client has to retry
MIN_RETRY_AFTER = 0.05  # seconds
# Multiples of `Bounds.detection_time` from its start until a process is ready: usually, and at worst.
USUAL_STARTUP, LONGEST_STARTUP = 0.4, 1.4
FAILED_STATUSES = (500, 502)  # by which a worker reports a failure of its own; 504 means that a deadline passed
REJECTION_LOG_INTERVAL = 1.0  # seconds between two log lines about rejected requests


class Relay:
    """The ASGI app of an edge in a fleet whose machines announce themselves. Owner: the data plane's process.

    Invariants: a request is in progress at one worker at most; it is sent to another only if that is proved to be safe;
    this edge answers 408, 421, 429 and 503 on its own only to requests that no worker has accepted.
    """

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
        self.fallback: ASGIApp = self.not_found  # serves requests that match no route
        self.connections = ConnectionPool(
            connect_timeout=settings.bounds.leave / 8, silence_timeout=settings.bounds.leave * 1.5
        )
        self.leaving = False  # set when this edge is about to shut down
        self.unready: Callable[[], str] = lambda: ""  # returns why this edge can't serve clients yet; empty if it can
        self.job_handler: JobHandler | None = None
        self.own_pages: OwnPages | None = None  # where clients read their jobs; served before the routes
        self.clients = ClientKeys(configuration_view)
        self.rate_limit: RateLimit | None = None  # rate limits of the tenants
        self.workers = WorkerSelection(settings, environment, configuration_view)
        self.started = now()
        self.rejected: dict[str, int] = {}  # number of rejections by reason, since the last log line
        self.next_rejection_log_at = 0.0  # seconds of the loop's clock
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
            lambda: self.connections.connections_opened
        )
        Gauge("postpass_relayed_open", "Relayed requests under way", registry=registry).set_function(
            lambda: sum(h.in_flight for h in self.workers.health_by_worker.values())
        )

    # --- ASGI
    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves a request by this edge's own pages, by its route, or by the fallback if neither matches."""
        if scope["type"] != "http":
            await self.fallback(scope, receive, send)
            return
        if self.own_pages is not None and self.own_pages.include(scope["method"], scope["raw_path"]):
            await self.own_pages.app(scope, receive, send)
            return
        self.workers.refresh()
        matched_route = self.workers.table.match(header(scope["headers"], b"host") or b"", scope["raw_path"])
        if matched_route is None:
            await self.fallback(scope, receive, send)
            return
        route_name, route = matched_route
        unready_reason = self.unready()
        if unready_reason:
            await self.reject(send, self.seconds_until_ready(), unready_reason)
            return
        identity = self.clients.authenticate(route, scope["headers"])
        if isinstance(identity, Err):
            self.requests.labels(route_name, "401").inc()
            await self.refuse_key(send, identity.unwrap_err())
        elif route["kind"] != "lot":
            await self._relay_within_rate(route_name, route, identity.unwrap(), scope, receive, send)
        elif self.job_handler is None:
            await self.reject(send, 1.0, "no lots are taken here")
        else:
            await self.job_handler(route_name, route, identity.unwrap().tenant, scope, receive, send)

    async def _relay_within_rate(
        self, route_name: str, route: Route, client: ClientIdentity, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Relays a request if its tenant's rate limit allows it. Its body isn't read before that is known."""
        retry_delay = (
            await self.rate_limit.admit(client.tenant) if client.tenant and self.rate_limit is not None else 0.0
        )
        if retry_delay > 0:
            self.requests.labels(route_name, "429").inc()
            await self.answer(send, 429, self.retry_after(retry_delay))
        else:
            await self.relay(route_name, route, client, scope, receive, send)

    def authenticate_job_client(self, scope: Scope) -> Result[ClientIdentity, KeyRefusal]:
        """Returns the client of a request about a job, or why its key is refused.

        Such a request identifies its route by the host alone.
        """
        self.workers.refresh()
        headers: Headers = scope["headers"]
        routes = self.workers.table.routes_of(header(headers, b"host") or b"")
        return self.clients.authenticate_for_job(routes, headers)

    async def not_found(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers a request that matches neither a route nor an endpoint of this edge."""
        unready_reason = self.unready()
        if unready_reason:
            await self.reject(send, self.seconds_until_ready(), unready_reason)
        else:
            await self.answer(send, 404)

    async def answer(self, send: Send, status: int, *extra_headers: tuple[bytes, bytes], body: bytes = b"") -> None:
        """Sends an answer of this edge's own. `extra_headers` follow after `Content-Length`."""
        close = [(b"connection", b"close")] if self.leaving else []
        headers = [(b"content-length", b"%d" % len(body)), *extra_headers, *close]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def refuse_key(self, send: Send, refusal: KeyRefusal) -> None:
        """Sends a 401 to a client whose key is refused. The request has not run."""
        body = json.dumps({"error": refusal}).encode()
        await self.answer(send, 401, CHALLENGE, (b"content-type", b"application/json"), body=body)

    def seconds_until_ready(self) -> float:
        """Returns the seconds until an edge that isn't ready is expected to be.

        After a common restart the control plane is available at once, otherwise within `Bounds.detection_time`.
        """
        detect, uptime = self.settings.bounds.detection_time, now() - self.started
        return max(0.5, detect * (USUAL_STARTUP if uptime < detect * USUAL_STARTUP / 2 else LONGEST_STARTUP) - uptime)

    async def reject(self, send: Send, retry_delay: float, why: str) -> None:
        """Sends a 503, which promises that the request has not run and never will.

        `retry_delay`: seconds after which the client may send it again; `why`: the reason for the log.
        """
        self.rejected[why] = self.rejected.get(why, 0) + 1
        if now() >= self.next_rejection_log_at:
            # At most one line per second, so that a flood of rejections adds no further cost.
            self.next_rejection_log_at = now() + REJECTION_LOG_INTERVAL
            log_events.emit(Event.PROXY_REJECTED, self.settings.name, why=self.rejected)
            self.rejected = {}
        await self.answer(send, 503, self.retry_after(retry_delay))

    def retry_after(self, retry_delay: float) -> tuple[bytes, bytes]:
        """Returns the header that asks clients to retry after about `retry_delay` seconds, but not all at once."""
        return b"retry-after", b"%.3f" % (retry_delay * (0.75 + 0.5 * self.environment.chance.random()))

    # --- handling a request
    async def relay(
        self, route_name: str, route: Route, client: ClientIdentity, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Reads a request of a route, and serves it until its answer ends or the client disconnects."""
        started_at = now()
        headers: Headers = scope["headers"]
        deadline_ms = parse_number(header(headers, self.names.deadline_ms))
        allowed_seconds = route["timeout"] if deadline_ms is None else min(route["timeout"], deadline_ms / 1000)
        deadline = started_at + allowed_seconds
        max_bytes = limit(self.configuration_view.manifest, "body_bytes") if self.configuration_view.manifest else 0
        declared_length = parse_number(header(headers, b"content-length")) or 0
        body = await read_body(receive, max_bytes, declared_length, deadline)
        if isinstance(body, BodyRefusal):
            await self._refuse_body(route_name, route, send, body)
            return
        request = build_request(self.names, route_name, route, client, scope, body, started_at, deadline, send)
        task = asyncio.current_task()
        assert task is not None
        disconnect_watch = asyncio.create_task(self._watch_client(request, receive, task))
        try:
            await self.run(request)
        except asyncio.CancelledError:
            if not request.client_gone:
                raise
            self.requests.labels(route_name, "gone").inc()
        finally:
            disconnect_watch.cancel()

    async def _refuse_body(self, route_name: str, route: Route, send: Send, refusal: BodyRefusal) -> None:
        """Answers a request whose body was refused, unless the client has disconnected."""
        if refusal is BodyRefusal.CLIENT_GONE:
            return
        status = int(refusal)
        self.requests.labels(route_name, str(status)).inc()
        timed_out = refusal is BodyRefusal.TOO_LATE
        extra_headers = [self.retry_after(route["target"] * WORKER_SEARCH_SHARE)] if timed_out else []
        await self.answer(send, status, *extra_headers)

    async def _watch_client(self, request: RelayedRequest, receive: Receive, task: asyncio.Task[Any]) -> None:
        """Cancels the request's task when its client disconnects."""
        while (await receive())["type"] != "http.disconnect":
            pass
        request.client_gone = True
        task.cancel()

    async def run(self, request: RelayedRequest) -> None:
        """Makes attempts until the request is done or must not be sent again, and ends its answer."""
        decision = await self._run_attempts(request)
        self.requests.labels(request.route_name, str(decision.action)).inc()
        last = request.attempt_log.last
        worker = last.worker if last else ""
        if decision.action is Action.DONE:
            if request.missed_target:
                self._log_late_answer(request, worker)
            return
        if decision.action is Action.REJECT:
            retry_delay = max(MIN_RETRY_AFTER, request.route["target"] * WORKER_SEARCH_SHARE)
            await self.reject(request.send, retry_delay, decision.why)
            return
        if decision.action is Action.REFUSE_KEY:
            await self.refuse_key(request.send, KeyRefusal.UNKNOWN)
            return
        log_events.emit(
            Event.PROXY_BROKEN, self.settings.name, route=request.route_name, worker=worker, why=decision.why
        )
        if not request.answer_begun:
            await self.answer(request.send, 504 if now() >= request.deadline else 502)
        # Otherwise nothing more is sent, and the server closes the connection in the middle of the answer.

    def _log_late_answer(self, request: RelayedRequest, worker: str) -> None:
        """Logs an answer that missed its targets, with why its worker was chosen and what was known about it then."""
        choice = request.choice
        log_events.emit(
            Event.PROXY_LATE, self.settings.name, route=request.route_name, worker=worker,
            first=f"{request.first_piece_delay:.3f}", pause=f"{request.longest_pause:.3f}", tokens=request.tokens.decode(),
            shared=request.prefix.tokens, tries=len(request.attempt_log.attempts),
            chosen=choice.reason if choice else "", used=choice.used if choice else 0,
            unread=choice.unread if choice else 0, shared_load=self.workers.others_load() is not None,
        )  # fmt: skip

    async def _run_attempts(self, request: RelayedRequest) -> Decision:
        """Makes attempts until one of them ends the request; returns the final decision."""
        route = request.route
        search_until = request.started_at + route["target"] * WORKER_SEARCH_SHARE
        while True:
            key_status = KeyStatus.VALID if request.answer_begun else self.clients.key_status(route, request.client)
            decision = next_relayed_attempt(
                request.attempt_log, repeatable=request.repeatable, resumable=request.can_resume,
                answer_begun=request.answer_begun, now=now(), search_until=search_until, deadline=request.deadline, max_runs=max(1, route["tries"]), key_status=key_status,
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

    # --- handling an attempt
    async def _attempt(self, request: RelayedRequest, pool_name: str, worker_name: str) -> None:
        """Sends the request to a worker, and records in the log of attempts what the outcome proves."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        addr = configuration["pools"][pool_name]["servers"][worker_name]["url"].removeprefix("http://")
        worker_connections = configuration["pools"][pool_name].get("conns", 0)
        max_connections = (
            max(1, int(worker_connections * CONNECTION_SHARE / self.workers.senders)) if worker_connections else 0
        )
        health = self.workers.health(worker_name)
        request.attempt_log = request.attempt_log.plan(worker_name)
        seconds_left = request.deadline - now()
        headers = attempt_headers(self.names, request, worker_name, seconds_left)
        health.in_flight += 1
        self._set_unread_tokens(request, health, request.prompt_tokens)
        exchange: Exchange | None = None
        sent_at = now()
        try:
            exchange = await self.connections.request(
                addr, request.method, request.target, headers, request.body,
                admission_check=lambda: self._check_admission(request, pool_name, worker_name, addr),
                limit=seconds_left + DEADLINE_SLACK, max_connections=max_connections,
                expect=(self.names.request_id, request.request_id or b""), patience=request.patience,
            )  # fmt: skip
            if await self._check_head(request, exchange, worker_name, health):
                self._record_answer(request, exchange, worker_name, health, now() - sent_at)
                await self.answers.deliver(request, exchange, lambda: self._set_unread_tokens(request, health, 0))
        except FaultError as error:
            self._record_fault(request, error.fault, worker_name, health)
        finally:
            health.in_flight -= 1
            self._set_unread_tokens(request, health, 0)
            if exchange is not None:
                exchange.close()

    def _check_admission(self, request: RelayedRequest, pool_name: str, worker_name: str, addr: str) -> str:
        """Returns why the request must not be sent now, or an empty string if it may.

        Called right before the first byte is sent.
        """
        if not request.answer_begun and self.clients.key_status(request.route, request.client) is not KeyStatus.VALID:
            return "its client's key has changed"
        return self.workers.check_admission(request, pool_name, worker_name, addr)

    def _set_unread_tokens(self, request: RelayedRequest, health: WorkerHealth, tokens: int) -> None:
        """Sets how many tokens of the request's prompt its worker may still have to process."""
        health.unread += tokens - request.unread
        request.unread = tokens

    async def _check_head(
        self, request: RelayedRequest, exchange: Exchange, worker_name: str, health: WorkerHealth
    ) -> bool:
        """Returns whether the head is the worker's own answer to the request.

        If it proves that the request did not run, that is recorded. Raises FaultError if the head proves nothing.
        """
        check_result = check_response(exchange.status, exchange.headers, self.names.response_names)
        if check_result.proof is Proof.ANSWER:
            return True
        if check_result.proof is Proof.NONE:
            raise FaultError(Fault("head", exchange.addr, check_result.why))
        await self.read_refusal(exchange)
        request.attempt_log = request.attempt_log.mark(AttemptState.REJECTED, f"{exchange.status}")
        if check_result.proof is Proof.OTHER_WORKER:
            # If the client asks for a version of the weights, the same status means that the worker has another one.
            if not any(header == self.names.want_version for header, _ in request.headers):
                self._avoid(worker_name, health, "another worker answers there")
        else:
            health.mark_full(now())
        return False

    def _record_answer(
        self, request: RelayedRequest, exchange: Exchange, worker_name: str, health: WorkerHealth, latency: float
    ) -> None:
        """Records the head of a worker's own answer.

        A worker that answers with a failure is avoided: since it fails at once, it would seem the least busy of all.
        """
        if exchange.status in FAILED_STATUSES and now() < request.deadline:
            self._avoid(worker_name, health, f"it answered {exchange.status}")
        else:
            health.record_answer(now(), latency)

    def _record_fault(self, request: RelayedRequest, fault: Fault, worker_name: str, health: WorkerHealth) -> None:
        """Records a failed attempt, and avoids the worker if the worker is the cause."""
        if fault.unsent:
            request.attempt_log = request.attempt_log.mark(AttemptState.UNSENT, fault.why)
            worker_at_fault = fault.step == "connect" and fault.code != TOO_MANY_REQUESTS
        else:
            request.attempt_log = request.attempt_log.mark(AttemptState.BROKEN, str(fault))
            worker_at_fault = fault.step != "repeat" and now() < request.deadline
        if worker_at_fault:
            self._avoid(worker_name, health, fault.why, silent=fault.code == TIMED_OUT)

    def _avoid(self, name: str, health: WorkerHealth, why: str, silent: bool = False) -> None:
        """Records a failure of a worker, so that it is avoided for a while; logs it if it counts."""
        if health.record_failure(now(), silent):
            log_events.emit(Event.WORKER_AVOIDED, self.settings.name, worker=name, why=why)

    async def read_refusal(self, exchange: Exchange) -> None:
        """Reads the body of a rejection, so that its connection can be kept.

        The head remains valid if the rest is late or cut off. Raises FaultError if the rest shows that the bytes were
        not a valid HTTP answer at all, since then the head proves nothing.
        """
        try:
            async with asyncio.timeout(FULL_SECONDS):
                await exchange.read(MAX_REFUSAL_BYTES)
        except TimeoutError:
            pass
        except FaultError as error:
            if error.fault.hint == GARBLED:
                raise

    def close(self) -> None:
        """Closes all connections and ends their exchanges, because the process is about to end."""
        self.connections.close()

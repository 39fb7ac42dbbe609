"""Relayed requests: bytes untouched to one worker of the route's pool, by a ledger of attempts."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from postpass.configuration.configuration import Configuration, Pool, Route, Server, limit
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.attempts import Action, AttemptLog, AttemptState, Decision, next_relayed_attempt
from postpass.gateway.load_balancing import (
    NOBODY,
    Bucket,
    Prefix,
    Seat,
    choose,
    cold_edges,
    cold_share,
    pool_order,
    prefix_of,
    readers,
)
from postpass.gateway.load_balancing import NONE as NO_PREFIX
from postpass.gateway.response_check import AnswerNames, Proof, verdict
from postpass.gateway.upstream_connection import BODILESS, GARBLED, Exchange, Headers, WorkerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import CROWD, SLOW, Fault, Stop

App = Callable[[Any, Any, Any], Awaitable[None]]

HOP = {b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"proxy-connection",
       b"proxy-authenticate", b"proxy-authorization", b"expect", b"content-length"}  # fmt: skip
HOP_BACK = HOP - {b"expect", b"content-length"}
AHEAD = 64 << 10  # bytes of a repeatable answer that are read before any is passed on
SLACK = 0.2  # seconds beyond the deadline in which a worker's own word on it may come
URGENT = 6  # live requests have an urgency of at most this; those of lots stand behind
FULL_FOR = 0.05  # seconds that a worker which turned a request away is tried last
AVOID_FIRST, AVOID_MOST = 0.1, 1.0  # seconds that a worker is avoided after a broken connection, doubling
SILENT_FIRST, SILENT_MOST = 1.0, 4.0  # the same where nothing came at all
PATIENCE = 1 / 3  # of the aim, or of the longest pause: silence from which a worker is knocked at
CONNS_PART = 0.9
READY_SOON, READY_LATE = 0.4, 1.4  # times `detect` since its start by which a process is ready: mostly, and at worst
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?=\n)")


# --- routes
@dataclass(frozen=True)
class Table:
    """Routes by host, the longest prefix first."""

    hosts: dict[bytes, tuple[tuple[bytes, str, Route], ...]]

    def match(self, host: bytes, path: bytes) -> tuple[str, Route] | None:
        for prefix, name, route in self.hosts.get(host.partition(b":")[0].lower(), ()):
            if path.startswith(prefix):
                return name, route
        return None


def table_of(configuration: Configuration) -> Table:
    rows: dict[bytes, list[tuple[bytes, str, Route]]] = {}
    for name, route in configuration.get("routes", {}).items():
        rows.setdefault(route["host"].partition(":")[0].lower().encode(), []).append(
            (route["prefix"].encode(), name, route)
        )
    return Table({h: tuple(sorted(r, key=lambda x: -len(x[0]))) for h, r in rows.items()})


# --- heads
def header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    for key, value in headers:
        if key == name:
            return value
    return None


def passed(headers: Sequence[tuple[bytes, bytes]], drop: set[bytes] | frozenset[bytes]) -> Headers:
    """Headers without those that concern one connection only, which `connection` may name too."""
    named = header(headers, b"connection")
    if named is not None:
        drop = drop | {n.strip().lower() for n in named.split(b",")}
    return [(n, v) for n, v in headers if n not in drop]


def whole_number(raw: bytes | None) -> int | None:
    return int(raw) if raw is not None and raw.isdigit() and len(raw) < 16 else None


class Names:
    """The dialect's names as bytes."""

    def __init__(self, d: Dialect) -> None:
        self.request_id, self.deadline_ms, self.want_worker = (
            d.request_id.encode(),
            d.deadline_ms.encode(),
            d.want_worker.encode(),
        )
        self.answers = AnswerNames.of(d)
        self.urgency = d.urgency.encode()
        self.prompt, self.last_event = d.prompt.encode(), d.last_event.encode()
        self.tokens = d.tokens.encode()
        self.drop = frozenset(HOP | {self.deadline_ms, self.want_worker})
        self.drop_urgent = frozenset(self.drop | {self.urgency})


# --- events of a stream
class Events:
    """Cuts the bytes of one run into whole events. Invariant: `last` is the id of the last event that was given out,
    over all runs; a run may not go on anywhere but right behind it."""

    def __init__(self, last: int | None) -> None:
        self.last = last
        self.rest = b""
        self.joined = True  # this run's first event was held against `last`

    def resume(self) -> None:
        self.rest, self.joined = b"", self.last is None

    def feed(self, data: bytes) -> bytes:
        """The whole events in what has come; raises ValueError if they don't go on where the last run ended."""
        data = self.rest + data if self.rest else data
        bare, full = data.rfind(b"\n\n"), data.rfind(b"\r\n\r\n")
        at = max(bare + 2 if bare >= 0 else 0, full + 4 if full >= 0 else 0)
        out, self.rest = data[:at], data[at:]
        if out:
            first = None if self.joined else EVENT_ID.search(out)
            if first is not None:
                if self.last is not None and int(first[1]) != self.last + 1:
                    raise ValueError(f"the new run begins at {int(first[1])}, after {self.last}")
                self.joined = True
            place = out.rfind(b"\nid:")
            tail = out[place + 1 :] if place >= 0 else out
            number = EVENT_ID.match(tail) or EVENT_ID.search(out)
            if number is not None:
                self.last = int(number[1])
        return out


# --- workers as this edge sees them
@dataclass(eq=False)
class WorkerHealth:
    """What this edge knows of one life of a worker by its own requests."""

    mine: int = 0
    fails: int = 0
    silent: bool = False  # the last failure was that nothing came
    avoid: float = -1.0  # until then
    full: float = -1.0  # until then
    lag: float = 0.0
    bucket: Bucket = Bucket(0.0, 0.0)


@dataclass(eq=False)
class Request:
    """One request on its way. Invariant: `begun` once anything of an answer has gone to the caller, and from then on
    only whole pieces of a run that joins on go after it."""

    name: str
    route: Route
    method: str
    target: bytes
    headers: Headers
    body: bytes
    request_id: bytes | None
    prefix: Prefix
    began: float
    until: float
    send: Any
    tokens: bytes = b""  # as the caller says: of the prompt, and the most out
    ledger: AttemptLog = field(default_factory=AttemptLog)
    begun: bool = False
    gone: bool = False
    events: Events | None = None
    first: float = -1.0  # seconds until the first piece of an answer went out; -1 before
    latest: float = 0.0  # when the last one did
    pause: float = 0.0  # the longest between two of them

    @property
    def repeatable(self) -> bool:
        return self.route["kind"] == "idem" or self.resumable

    @property
    def resumable(self) -> bool:
        return self.route["kind"] == "stream" and self.route["resumable"]

    def note(self, at: float) -> None:
        """A piece of the answer goes out."""
        if self.first < 0:
            self.first = at - self.began
        elif at - self.latest > self.pause:
            self.pause = at - self.latest
        self.latest = at

    @property
    def reads(self) -> int:
        """Tokens of its prompt."""
        return whole_number(self.tokens.partition(b",")[0].strip()) or 0

    @property
    def late(self) -> bool:
        gap = self.route["gap"]
        return self.first > self.route["target"] or (gap > 0 and self.pause > gap)

    @property
    def can_go_on(self) -> bool:
        return self.events is not None and self.events.last is not None


class Relay:
    """Invariants: a request is under way at one worker at the most; it goes to another only if that is proved safe;
    408, 421, 429 and 503 of ours go only to requests that no worker has taken."""

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        configuration_view: ConfigurationView,
        dialect: Dialect,
        registry: CollectorRegistry,
    ) -> None:
        self.settings, self.environment, self.configuration_view = settings, environment, configuration_view
        self.names = Names(dialect)
        self.inner: App = self.missing
        self.links = WorkerLinks(connect=settings.bounds.leave / 8, silence=settings.bounds.leave * 1.5)
        self.leaving = False
        self.unready: Callable[[], str] = lambda: ""
        self.lots: Callable[[str, Route, Any, Any, Any], Awaitable[None]] | None = None
        self.sights: dict[str, WorkerHealth] = {}
        self.table = Table({})
        self.revision = -1
        self.edges: list[str] = []
        self.started = now()
        self.refused: dict[str, int] = {}  # by cause, since the last line on it
        self.telling = 0.0  # not before then comes the next one
        self.readers: dict[str, frozenset[str]] = {}
        self.senders = 1
        self.requests = Counter(
            "postpass_relayed", "Relayed requests by route and end", ["route", "end"], registry=registry
        )
        self.first = Histogram(
            "postpass_relayed_first_seconds", "Time to the first byte of an answer", ["route"], registry=registry
        )
        Gauge("postpass_worker_connections", "Connections to workers that are open", registry=registry).set_function(
            lambda: sum(len(x) for x in self.links.opened.values())
        )
        Gauge("postpass_worker_connections_made", "Connections ever opened to workers", registry=registry).set_function(
            lambda: self.links.made
        )
        Gauge("postpass_relayed_open", "Relayed requests under way", registry=registry).set_function(
            lambda: sum(s.mine for s in self.sights.values())
        )

    # --- ASGI
    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            await self.inner(scope, receive, send)
            return
        configuration = self.configuration_view.manifest
        if configuration is not None and self.revision != self.configuration_view.revision:
            self.learn(configuration)
        found = self.table.match(header(scope["headers"], b"host") or b"", scope["raw_path"])
        if found is None:
            await self.inner(scope, receive, send)
            return
        name, route = found
        lack = self.unready()
        if lack:
            await self.refuse(send, self.soon(), lack)
            return
        if route["kind"] == "lot":
            if self.lots is None:
                await self.refuse(send, 1.0, "no lots are taken here")
            else:
                await self.lots(name, route, scope, receive, send)
            return
        await self.relay(name, route, scope, receive, send)

    async def missing(self, scope: Any, receive: Any, send: Any) -> None:
        """For what no route and no page of ours fits."""
        lack = self.unready()
        if lack:
            await self.refuse(send, self.soon(), lack)
        else:
            await self.answer(send, 404)

    async def answer(self, send: Any, status: int, *more: tuple[bytes, bytes]) -> None:
        close = [(b"connection", b"close")] if self.leaving else []
        await send(
            {"type": "http.response.start", "status": status, "headers": [(b"content-length", b"0"), *more, *close]}
        )
        await send({"type": "http.response.body", "body": b""})

    def soon(self) -> float:
        """Seconds until one that isn't ready should be: after a common restart control stands at once, or else in
        `detect`."""
        detect, up = self.settings.bounds.detect, now() - self.started
        return max(0.5, detect * (READY_SOON if up < detect * READY_SOON / 2 else READY_LATE) - up)

    async def refuse(self, send: Any, wait: float, why: str) -> None:
        """A promise: it has not run and never will."""
        self.refused[why] = self.refused.get(why, 0) + 1
        if now() >= self.telling:
            # At most one line a second, so that a flood costs nothing more.
            self.telling = now() + 1.0
            log_events.emit(173, self.settings.name, why=self.refused)
            self.refused = {}
        await self.answer(send, 503, self.retry_after(wait))

    def retry_after(self, wait: float) -> tuple[bytes, bytes]:
        """The header that asks callers to come again after about `wait` seconds, not all at once."""
        return b"retry-after", b"%.3f" % (wait * (0.75 + 0.5 * self.environment.chance.random()))

    async def relay(self, name: str, route: Route, scope: Any, receive: Any, send: Any) -> None:
        began = now()
        names = self.names
        headers: Headers = scope["headers"]
        given = whole_number(header(headers, names.deadline_ms))
        until = began + (route["timeout"] if given is None else min(route["timeout"], given / 1000))
        most = limit(self.configuration_view.manifest, "body_bytes") if self.configuration_view.manifest else 0
        body = await self.read(receive, most, whole_number(header(headers, b"content-length")) or 0, until)
        if isinstance(body, int):
            if body:
                self.requests.labels(name, str(body)).inc()
                await self.answer(send, body, *([self.retry_after(route["target"] / 4)] if body == 408 else []))
            return
        query = scope["query_string"]
        target = scope.get("extensions", {}).get("target") or scope["raw_path"] + (b"?" + query if query else b"")
        out = passed(headers, names.drop_urgent if route["tokens"] else names.drop)
        if body or header(headers, b"content-length") is not None or header(headers, b"transfer-encoding") is not None:
            out.append((b"content-length", b"%d" % len(body)))
        if route["tokens"]:
            out.append((names.urgency, b"%d" % min(max(route["rank"], 0), URGENT)))
        request = Request(
            name, route, scope["method"], target, out, body, header(headers, names.request_id),
            prefix_of(header(headers, names.prompt) or b"") if route["tokens"] else NO_PREFIX, began, until, send,
            header(headers, names.tokens) or b"",
        )  # fmt: skip
        if request.resumable:
            request.events = Events(whole_number(header(headers, names.last_event)))
        task = asyncio.current_task()
        assert task is not None
        watch = asyncio.create_task(self.watch(request, receive, task))
        try:
            await self.run(request)
        except asyncio.CancelledError:
            if not request.gone:
                raise
            self.requests.labels(name, "gone").inc()
        finally:
            watch.cancel()

    async def watch(self, request: Request, receive: Any, task: asyncio.Task[Any]) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        request.gone = True
        task.cancel()

    async def read(self, receive: Any, most: int, told: int, until: float) -> bytes | int:
        """The whole body, or the status that it is refused with; 0 if the caller has gone."""
        if told > most:
            return 413
        try:
            async with asyncio.timeout_at(until):
                first = await receive()
                if first["type"] == "http.disconnect":
                    return 0
                if not first.get("more_body"):
                    return first["body"] if len(first["body"]) <= most else 413
                parts, size = [first["body"]], len(first["body"])
                while True:
                    if size > most:
                        return 413
                    part = await receive()
                    if part["type"] == "http.disconnect":
                        return 0
                    parts.append(part["body"])
                    size += len(part["body"])
                    if not part.get("more_body"):
                        return b"".join(parts) if size <= most else 413
        except TimeoutError:
            return 408

    # --- placing
    def learn(self, configuration: Configuration) -> None:
        """Takes a new edition of the manifest in force."""
        self.table, self.revision = table_of(configuration), self.configuration_view.revision
        self.edges = sorted(
            n for n, m in configuration["machines"].items() if "edge" in m["duties"] and not m.get("gone")
        )
        self.senders = max(
            1,
            sum(
                bool({"edge", "sched"} & set(m["duties"]))
                for m in configuration["machines"].values()
                if not m.get("gone")
            ),
        )
        self.readers = {
            pool: readers([n for n, s in p["servers"].items() if not self.barred(configuration, s)])
            for pool, p in configuration["pools"].items()
        }
        known = {n for p in configuration["pools"].values() for n in p["servers"]}
        for name in [n for n, s in self.sights.items() if n not in known and not s.mine]:
            del self.sights[name]

    def sight(self, name: str) -> WorkerHealth:
        got = self.sights.get(name)
        if got is None:
            got = self.sights[name] = WorkerHealth(bucket=Bucket(1.0, now()))
        return got

    def barred(self, configuration: Configuration, server: Server) -> bool:
        return bool(server.get("leave")) or server["area"] in configuration.get("evacuated", ())

    def cold_rate(self, pool: Pool, name: str) -> float | None:
        """Requests a second that this edge may send to a cold worker; None: it may send none."""
        rate = pool.get("cold_rate", 0.0)
        if rate <= 0:
            return 1e9
        users = cold_edges(name, self.edges, rate)
        return cold_share(rate, len(users)) if self.settings.name in users else None

    def seats(self, configuration: Configuration, pool: Pool, tried: set[str]) -> list[Seat]:
        out: list[Seat] = []
        at = now()
        for name, server in pool["servers"].items():
            if name in tried or self.barred(configuration, server):
                continue
            sight = self.sight(name)
            if server.get("cold"):
                rate = self.cold_rate(pool, name)
                if rate is None or sight.bucket.filled(at, rate).level < 1:
                    continue
            out.append(Seat(name, server["slots"], sight.mine, sight.avoid > at, sight.full > at, sight.lag))
        return out

    def place(self, request: Request) -> tuple[str, str] | None:
        """Pool and worker for the next attempt."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        tried = {a.worker for a in request.ledger.attempts}
        for pool in pool_order(request.route["split"], request.request_id or b""):
            if pool in configuration["pools"]:
                seats = self.seats(configuration, configuration["pools"][pool], tried)
                name = choose(
                    seats,
                    request.prefix,
                    len(self.edges),
                    self.environment.chance,
                    request.reads,
                    self.readers.get(pool, NOBODY),
                )
                if name is not None:
                    return pool, name
        return None

    def gate(self, request: Request, pool: str, name: str, addr: str) -> str:
        """Asked right before the first byte leaves: what speaks against it by the manifest in force now."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        if self.revision != self.configuration_view.revision:
            self.learn(configuration)
        route = configuration.get("routes", {}).get(request.name)
        if route is None or all(s["pool"] != pool or s["weight"] <= 0 for s in route["split"]):
            return "the route no longer goes there"
        server = configuration["pools"].get(pool, {"servers": {}})["servers"].get(name)  # type: ignore[typeddict-item]
        if server is None or self.barred(configuration, server) or server["url"] != "http://" + addr:
            return "it is leaving"
        if server.get("cold"):
            rate = self.cold_rate(configuration["pools"][pool], name)
            sight = self.sight(name)
            if rate is None:
                return "it is cold"
            filled = sight.bucket.filled(now(), rate)
            if filled.level < 1:
                return "it is cold"
            sight.bucket = filled.taken()
        return ""

    # --- attempts
    async def run(self, request: Request) -> None:
        route = request.route
        hold = request.began + route["target"] / 4
        while True:
            move = next_relayed_attempt(
                request.ledger, repeatable=request.repeatable, resumable=request.can_go_on, begun=request.begun, now=now(),
                ask_until=hold, until=request.until, max_runs=max(1, route["tries"]),
            )  # fmt: skip
            if move.action is not Action.SEND:
                break
            placed = self.place(request)
            if placed is None:
                move = Decision(Action.REJECT if request.ledger.never_ran else Action.ERROR, "no worker is left")
                break
            await self.attempt(request, *placed)
        self.requests.labels(request.name, str(move.action)).inc()
        if move.action is Action.DONE:
            if request.late:
                log_events.emit(
                    172, self.settings.name, route=request.name, worker=request.ledger.last.worker if request.ledger.last else "",
                    first=f"{request.first:.3f}", pause=f"{request.pause:.3f}", tokens=request.tokens.decode(),
                    shared=request.prefix.tokens, tries=len(request.ledger.attempts),
                )  # fmt: skip
            return
        if move.action is Action.REJECT:
            await self.refuse(request.send, max(0.05, route["target"] / 4), move.why)
            return
        last = request.ledger.last
        log_events.emit(170, self.settings.name, route=request.name, worker=last.worker if last else "", why=move.why)
        if not request.begun:
            await self.answer(request.send, 504 if now() >= request.until else 502)
        # Otherwise nothing more is said, and the server closes the connection in the middle of the answer.

    async def attempt(self, request: Request, pool: str, name: str) -> None:
        configuration = self.configuration_view.manifest
        assert configuration is not None
        addr = configuration["pools"][pool]["servers"][name]["url"].removeprefix("http://")
        sight = self.sight(name)
        conns = configuration["pools"][pool].get("conns", 0)
        most = max(1, int(conns * CONNS_PART / self.senders)) if conns else 0
        request.ledger = request.ledger.plan(name)
        left = request.until - now()
        headers = [*request.headers, (self.names.want_worker, name.encode()),
                   (self.names.deadline_ms, b"%d" % max(1, int(left * 1000)))]  # fmt: skip
        if request.begun and request.events is not None and request.events.last is not None:
            headers = [h for h in headers if h[0] != self.names.last_event]
            headers.append((self.names.last_event, b"%d" % request.events.last))
        sight.mine += 1
        exchange: Exchange | None = None
        sent = now()
        try:
            exchange = await self.links.request(
                addr, request.method, request.target, headers, request.body,
                gate=lambda: self.gate(request, pool, name, addr), limit=left + SLACK, most=most,
                expect=(self.names.request_id, request.request_id or b""),
                patience=self.patience(request),
            )  # fmt: skip
            judged = verdict(exchange.status, exchange.headers, self.names.answers)
            if judged.proof in (Proof.NOT_RUN, Proof.OTHER_WORKER):
                await self.read_refusal(exchange)
                request.ledger = request.ledger.mark(AttemptState.REJECTED, f"{exchange.status}")
                if judged.proof is Proof.OTHER_WORKER:
                    self.avoid(name, sight, "another worker answers there")
                else:
                    sight.full = now() + FULL_FOR
                return
            if judged.proof is Proof.NONE:
                raise Stop(Fault("head", addr, judged.why))
            sight.fails, sight.silent, sight.lag = 0, False, 0.9 * sight.lag + 0.1 * (now() - sent)
            await self.deliver(request, exchange)
        except Stop as bad:
            if bad.fault.unsent:
                request.ledger = request.ledger.mark(AttemptState.UNSENT, bad.fault.why)
                if bad.fault.step == "connect" and bad.fault.code != CROWD:
                    self.avoid(name, sight, bad.fault.why, silent=bad.fault.code == SLOW)
            else:
                request.ledger = request.ledger.mark(AttemptState.BROKEN, str(bad.fault))
                if bad.fault.step != "repeat" and now() < request.until:
                    self.avoid(name, sight, bad.fault.why, silent=bad.fault.code == SLOW)
        finally:
            sight.mine -= 1
            if exchange is not None:
                exchange.close()

    async def read_refusal(self, exchange: Exchange) -> None:
        """Reads the body of a refusal, so that its connection can be kept. Its head stands if the rest is late or cut;
        raises Stop if the rest shows that the bytes were no answer at all, since then the head proves nothing."""
        try:
            async with asyncio.timeout(FULL_FOR):
                await exchange.read(AHEAD)
        except TimeoutError:
            pass
        except Stop as bad:
            if bad.fault.hint == GARBLED:
                raise

    def patience(self, request: Request) -> float:
        """How long nothing may come for a request that may be done elsewhere, so that this is still in time."""
        if not request.repeatable:
            return 0.0
        route = request.route
        return min(route["target"], route["gap"] or route["target"]) * PATIENCE

    def avoid(self, name: str, sight: WorkerHealth, why: str, silent: bool = False) -> None:
        """Leaves a worker alone for a moment that doubles: a longer one if it says nothing, which costs each that tries
        a wait. So where what was sent to it is given up, only the first of them counts."""
        if now() < sight.avoid and not (silent and not sight.silent):
            return
        log_events.emit(171, self.settings.name, worker=name, why=why)
        first, most = (SILENT_FIRST, SILENT_MOST) if silent else (AVOID_FIRST, AVOID_MOST)
        sight.avoid, sight.silent = now() + min(most, first * 2**sight.fails), silent
        sight.fails += 1

    async def deliver(self, request: Request, exchange: Exchange) -> None:
        """Passes the answer on; raises Stop if it is cut, or if it is better asked for elsewhere."""
        status = exchange.status
        ran = sum(a.state not in (AttemptState.UNSENT, AttemptState.REJECTED) for a in request.ledger.attempts)
        if request.repeatable and status in (500, 502, 504) and ran < request.route["tries"] and now() < request.until:
            raise Stop(Fault("repeat", exchange.addr, f"it answered {status}"))
        if request.begun and status != 200:
            raise Stop(Fault("repeat", exchange.addr, f"it answered {status} in place of the rest"))
        stream = request.events if status == 200 else None
        if stream is not None:
            stream.resume()
        ahead = AHEAD if request.route["kind"] == "idem" else 0
        held: list[bytes] = []
        size = 0
        while True:
            data = await exchange.next_chunk()
            end = exchange.whole and not exchange.held
            if data and stream is not None:
                try:
                    data = stream.feed(data)
                except ValueError as bad:
                    raise Stop(Fault("join", exchange.addr, str(bad))) from bad
            if end and stream is not None and stream.rest:
                data, stream.rest = data + stream.rest, b""
            if not end and size < ahead:
                held.append(data)
                size += len(data)
                continue
            if held:
                data = b"".join([*held, data])
                held.clear()
                ahead = 0
            if not request.begun and (data or end or stream is None):
                await self.begin(request, exchange, stream is not None)
            if end:
                request.ledger = request.ledger.mark(AttemptState.DONE)
                request.note(now())
                await request.send({"type": "http.response.body", "body": data})
                return
            if data:
                request.note(now())
                await request.send({"type": "http.response.body", "body": data, "more_body": True})

    async def begin(self, request: Request, exchange: Exchange, joined: bool) -> None:
        unsized = joined or exchange.status in BODILESS
        headers = passed(exchange.headers, HOP_BACK | {b"content-length"} if unsized else HOP_BACK)
        if self.leaving:
            headers.append((b"connection", b"close"))
        request.begun = True
        self.first.labels(request.name).observe(now() - request.began)
        await request.send({"type": "http.response.start", "status": exchange.status, "headers": headers})

    def close(self) -> None:
        self.links.close()

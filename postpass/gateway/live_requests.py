"""The edge duty: HTTP to callers. Live calls, plain ways, and lots on their way to their owners."""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import re
from collections import Counter as Tally
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict, cast

import aiohttp
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Mount, Route

from postpass.configuration.configuration import Class, Configuration, part_of
from postpass.configuration.schema import flaws
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.admission import AdmissionQueue, Waiter
from postpass.gateway.attempts import AttemptLog, next_move
from postpass.gateway.worker_load import DEAF, OVER, WorkerLoad
from postpass.rpc.codec import Body
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import BROKE, CLASH, CROWD, FULL, LACK, MOVED, SHED, SLOW, Fault, Stop
from postpass.worker_api.openai import Prompt, complete
from postpass.worker_api.plugins import Ask, Seat, fond_of, place, prefix

NAME = re.compile(r"[A-Za-z0-9._\-]{1,80}")
TRIES = 3
LEAVING = "this edge is leaving; use another edge"
EVACUATED = "this area is evacuated; use another edge"


class CallBody(TypedDict):
    own: str
    shared: NotRequired[list[str]]
    once: NotRequired[bool]
    key: NotRequired[str]
    deadline: NotRequired[float]
    most: NotRequired[int]


CallBody.__annotations__["class"] = "str"


class JobBody(TypedDict):
    items: list[str]
    id: NotRequired[str]
    shared: NotRequired[list[str]]
    due: NotRequired[float]
    within: NotRequired[float]


JobBody.__annotations__["class"] = "str"


def fault_response(flaw: Fault, code: int, **more: Any) -> JSONResponse:
    """One JSON shape for every refusal; where waiting helps, it says how long."""
    wait = more.pop("wait", 1 if code in (429, 503, 504, 507) else 0)
    heads = {"retry-after": str(max(1, math.ceil(wait)))} if wait else {}
    if flaw.why == LEAVING:
        heads["connection"] = "close"
    return JSONResponse({"error": flaw.as_json() | more}, code, headers=heads)


@dataclass(eq=False)
class Gateway:
    """Invariants: a call holds at most one seat; a seat is given back exactly once; backlogs are bounded
    by their class's `backlog`; pieces go to the caller only from the one attempt that is open."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    worker_load: WorkerLoad
    session: aiohttp.ClientSession
    registry: CollectorRegistry
    backlogs: dict[str, AdmissionQueue] = field(default_factory=dict)
    open: Tally[str] = field(default_factory=Tally)  # calls under way, by class
    pace: dict[str, float] = field(default_factory=dict)  # seconds a call takes, by class, smoothed
    owners: dict[int, str] = field(default_factory=dict)
    retries: float = 10.0
    leaving: bool = False
    # Serves what none of the pages here fits; if none is set, the plain ways do.
    rest: Any = None
    more: list[Any] = field(default_factory=list)  # further pages, which stand before the rest
    # The newest lots that callers were told are kept, with the time: should more be lost than is tolerated, their
    # names are not lost with them. Bounded.
    kept: deque[tuple[str, float]] = field(default_factory=lambda: deque(maxlen=4000))

    def __post_init__(self) -> None:
        reg = self.registry
        self.calls = Counter("postpass_calls", "Calls by class and end", ["kind", "end"], registry=reg)
        self.first = Histogram("postpass_first_piece_seconds", "Time to the first piece", ["kind"], registry=reg)
        self.lots = Counter("postpass_lots", "Lots handed in, by answer", ["end"], registry=reg)
        Gauge("postpass_backlog", "Calls waiting for a seat", registry=reg).set_function(
            lambda: sum(b.size for b in self.backlogs.values())
        )
        Gauge("postpass_open_calls", "Calls under way", registry=reg).set_function(lambda: self.open.total())

    def ways(self) -> list[Any]:
        return [
            Route("/v1/calls", LiveRequests(self), methods=["POST"]),
            Route("/v1/lots", self.http_send, methods=["POST"]),
            Route("/v1/lots/{lot}", self.http_lot, methods=["GET", "DELETE"]),
            Route("/v1/lots/{lot}/results", self.http_results, methods=["GET"]),
            *self.more,
            Mount("", self.rest)
            if self.rest is not None
            else Route("/{rest:path}", ProxiedRoutes(self), methods=["GET", "HEAD", "POST", "PUT", "DELETE"]),
        ]

    def tasks(self) -> list[Any]:
        return [self.pump_on()]

    def known(self, part: int) -> list[str]:
        """Lots of a partition that were called kept so lately that none of them can have left by the retention."""
        young = now() - self.configuration.get("retention", 3600.0)
        return [n for n, at in self.kept if at > young and part_of(n, self.configuration["parts"]) == part]

    # --- seats
    @property
    def configuration(self) -> Configuration:
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    def quota(self, kind: str) -> int:
        """This edge's part of a class's share of its pool."""
        c = self.configuration["classes"][kind]
        servers = self.configuration["pools"][c["pool"]]["servers"]
        total = sum(
            self.worker_load.cap(c["pool"], n) for n in servers if not self.worker_load.barred(c["pool"], n, self.stale)
        )
        edges = max(1, len(self.configuration_view.duty("edge")))
        return max(1, math.ceil(c["share"] * total * OVER / edges))

    @property
    def stale(self) -> float:
        return self.settings.bounds.probe * 4

    def may(self, kind: str) -> bool:
        """Is there room in the class's share here, or in one that it may borrow from?"""
        if self.open[kind] < self.quota(kind):
            return True
        c = self.configuration["classes"][kind]
        room, used = self.quota(kind), self.open[kind]
        for lender in c.get("borrows", []):
            waiting = self.backlogs[lender].size if lender in self.backlogs else 0
            keep = math.ceil(self.configuration["classes"][lender].get("reserve", 0.1) * self.quota(lender))
            if waiting == 0 and self.quota(lender) - self.open[lender] > keep:
                room += self.quota(lender) - keep
                used += self.open[lender]
        return used < room

    def seats(self, kind: str, fond: str) -> tuple[Seat, ...]:
        c = self.configuration["classes"][kind]
        pool = self.configuration["pools"][c["pool"]]
        edges = self.configuration_view.duty("edge")
        rank = edges.index(self.settings.name) if self.settings.name in edges else 0
        out: list[Seat] = []
        spare: list[Seat] = []
        quota = used = 0
        for name, server in pool["servers"].items():
            if self.worker_load.barred(c["pool"], name, self.stale):
                continue
            spot = self.worker_load.spot(c["pool"], name)
            mine = spot.mine.total()
            if pool["kind"] == "model":
                cap = self.worker_load.cap(c["pool"], name)
                free = self.worker_load.quota(c["pool"], name, rank, len(edges)) - mine
                load = (spot.seen.running + spot.seen.waiting if spot.seen else 0) + max(0, mine - spot.mine_seen)
                if load >= math.ceil(cap * OVER):
                    continue
            else:
                cap, load = server["slots"], mine
                free = max(1, math.ceil(server["slots"] * OVER / max(1, len(edges)))) - mine
            quota += free + mine
            used += mine
            if free >= 1:
                out.append(Seat(name, server["area"], free, max(cap, 1), load, name == fond))
            elif pool["kind"] != "model" or self.worker_load.warm(c["pool"], name) >= 1:
                spare.append(Seat(name, server["area"], 1, max(cap, 1), load, name == fond))
        if quota <= 0 and used == 0 and spare:
            # More edges than seats, and this one has a part of none that is up: one seat all the same, at the
            # server its own name tends to, so that edges left out don't all go to one. It adds at the most
            # one call an edge to the joint overrun, and none at a server whose reported load is at its bound.
            best = fond_of(self.settings.name, sorted(s.name for s in spare))
            return tuple(s for s in spare if s.name == best)
        return tuple(out)

    def pump(self) -> None:
        """Gives free seats to waiters, the classes of higher priority first."""
        if self.configuration_view.manifest is None:
            return
        kinds = sorted(
            self.backlogs, key=lambda k: -self.configuration["classes"].get(k, cast(Class, {})).get("priority", 0)
        )
        for kind in kinds:
            log = self.backlogs[kind]
            while (waiter := log.peek()) is not None:
                if kind not in self.configuration["classes"] or not self.may(kind):
                    break
                seats = self.seats(kind, waiter.fond)
                if not seats:
                    break
                c = self.configuration["classes"][kind]
                ask = Ask(kind, waiter.shared, waiter.size, waiter.zone)
                name = place(self.settings.name, c.get("place", ""), ask, seats)
                log.pop()
                self.open[kind] += 1
                self.worker_load.spot(c["pool"], name).mine[kind] += 1
                waiter.seat.set_result(name)

    async def pump_on(self) -> None:
        while True:
            freed = self.worker_load.freed
            await freed.wait()
            self.pump()

    def give_back(self, kind: str, pool: str, name: str) -> None:
        self.open[kind] -= 1
        self.worker_load.spot(pool, name).mine[kind] -= 1
        self.pump()

    def bound(self, kind: str) -> int:
        """How many may wait: by default four times what this edge may have under way when all servers are up."""
        c = self.configuration["classes"][kind]
        total = sum(s["slots"] for s in self.configuration["pools"][c["pool"]]["servers"].values())
        return c.get(
            "backlog",
            4 * max(1, math.ceil(c["share"] * total * OVER / max(1, len(self.configuration_view.duty("edge"))))),
        )

    def ahead(self, kind: str) -> float:
        """How long a new call would wait, by what calls have lately taken."""
        log = self.backlogs.get(kind)
        return (log.size if log else 0) * self.pace.get(kind, 0.1) / max(1, self.quota(kind))

    def let_in(self, kind: str, left: float) -> Result[None, Fault]:
        """Sheds early: a call that would wait past its deadline is told so now."""
        log = self.backlogs.setdefault(kind, AdmissionQueue())
        if self.leaving:
            return Err(Fault("let in", self.settings.name, LEAVING, SHED, hint="another edge"))
        if self.configuration_view.evacuated(self.settings.name):
            return Err(Fault("let in", self.settings.name, EVACUATED, SHED, hint="another edge"))
        if now() - self.configuration_view.heard > self.settings.bounds.deaf:
            return Err(Fault("let in", self.settings.name, DEAF, SHED, hint="another edge"))
        if log.size >= self.bound(kind):
            return Err(Fault("let in", self.settings.name, f"the backlog of {kind} is full ({log.size})", CROWD))
        if self.ahead(kind) > left:
            return Err(Fault("let in", self.settings.name, f"the wait for {kind} is past the deadline", SHED))
        return Ok(None)

    async def seat(self, kind: str, prompt: Prompt, client: str, left: float) -> str:
        """Waits for a seat; raises Stop if the deadline comes first."""
        c = self.configuration["classes"][kind]
        ask = Ask(kind, prompt.shared, len(prompt.text), self.settings.zone)
        key = prefix(self.settings.name, c.get("prefix", ""), ask)
        names = [
            n
            for n in sorted(self.configuration["pools"][c["pool"]]["servers"])
            if not self.worker_load.barred(c["pool"], n, self.stale)
        ]
        waiter = Waiter(client, fond_of(key, names), self.settings.zone, prompt.shared, len(prompt.text),
                        asyncio.get_running_loop().create_future())  # fmt: skip
        log = self.backlogs.setdefault(kind, AdmissionQueue())
        log.put(waiter)
        self.pump()
        try:
            async with asyncio.timeout(left):
                return await waiter.seat
        except TimeoutError as bad:
            why = "no server is up" if not names else "no server had room in time"
            raise Stop(Fault("seat", self.settings.name, why, SHED, unsent=True)) from bad
        finally:
            if not waiter.seat.done():
                waiter.seat.cancel()
            elif not waiter.seat.cancelled() and (task := asyncio.current_task()) is not None and task.cancelling():
                # The caller left between the seat's being given and its being taken.
                self.give_back(kind, c["pool"], waiter.seat.result())
            log.leave(waiter)

    # --- lots
    async def to_owner(self, part: int, verb: str, body: Body, until: float) -> Result[Body, Fault]:
        """Asks a partition's owner, wherever it is now, until `until`; what is asked may be asked again."""
        body = body | {"part": part}
        unsure = False
        tried: list[str] = []
        last = Fault(verb, self.settings.name, "no owner known", SLOW)
        b = self.settings.bounds
        while now() < until:
            order = self.configuration_view.order(part)
            names = [n for n in dict.fromkeys([self.owners.get(part, ""), *order]) if n and n not in tried]
            if not names:
                tried = []
                await asyncio.sleep(b.beat / 2 * (0.75 + 0.5 * self.environment.chance.random()))
                continue
            name = names[0]
            tried.append(name)
            addr = self.configuration_view.addr(name)
            if not addr:
                continue
            left = max(0.05, until - now())
            wait = min(left, b.detect * 2)
            got = await self.peer_links.call(
                addr, verb, body | {"wait": wait * 0.9} | ({"again": True} if unsure else {}), wait
            )
            if isinstance(got, Ok):
                self.owners[part] = name
                return got
            last = got.unwrap_err()
            if last.code == MOVED:
                self.owners.pop(part, None)
                if last.hint and last.hint not in tried and last.hint != name:
                    self.owners[part] = last.hint
                elif last.hint == name:
                    await asyncio.sleep(b.beat / 8)
                    tried.remove(name)
                continue
            if last.code in (BROKE, SLOW):
                self.owners.pop(part, None)
                unsure = unsure or not last.unsent
                if not last.unsent:
                    tried = [name] if last.code == BROKE else []
                    await asyncio.sleep(b.beat / 8)
                continue
            return Err(replace(last, unsure=unsure))
        return Err(Fault(verb, last.peer, last.why, SLOW, unsent=not unsure, unsure=unsure))

    def client(self, request: Request) -> str:
        return request.headers.get("x-caller", "")[:80]

    async def read(self, request: Request, kind: Any, most: int) -> Result[Any, JSONResponse]:
        data = b""
        me = self.settings.name
        async for part in request.stream():
            data += part
            if len(data) > most:
                return Err(fault_response(Fault("read body", me, f"(top): at most {most} bytes"), 413))
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as bad:
            return Err(fault_response(Fault("read body", me, f"(top): not JSON: {bad}"), 400))
        seen = flaws(kind, raw)
        if seen:
            return Err(fault_response(Fault("read body", me, seen[0]), 400, flaws=seen))
        return Ok(raw)

    def class_of(self, raw: Any, kinds: tuple[str, ...]) -> Result[Class, JSONResponse]:
        name = raw["class"]
        c = self.configuration["classes"].get(name)
        if c is None or c["kind"] not in kinds:
            known = ", ".join(n for n, x in self.configuration["classes"].items() if x["kind"] in kinds)
            return Err(
                fault_response(
                    Fault(
                        "read body",
                        self.settings.name,
                        f"class: unknown {kinds[0]} class {name!r:.40}; known are {known}",
                    ),
                    400,
                )
            )
        return Ok(c)

    def unready(self) -> JSONResponse | None:
        if self.configuration_view.manifest is None:
            return fault_response(Fault("let in", self.settings.name, "no manifest yet", hint="another edge"), 503)
        if not self.configuration_view.fresh:
            return fault_response(Fault("let in", self.settings.name, "no fresh news yet", hint="another edge"), 503)
        return None

    def lot_flaw(self, raw: Any) -> str:
        limit, wall = self.configuration_view.limit, self.environment.wall()
        if "id" in raw and not NAME.fullmatch(raw["id"]):
            return "id: want 1 to 80 of A-Z a-z 0-9 . _ -"
        if not raw["items"]:
            return "items: want at least one"
        if len(raw["items"]) > limit("lot_items"):
            return f"items: at most {limit('lot_items')}, got {len(raw['items'])}"
        big = next((i for i, t in enumerate(raw["items"]) if len(t.encode()) > limit("item_bytes")), None)
        if big is not None:
            return f"items[{big}]: at most {limit('item_bytes')} bytes"
        if sum(len(t.encode()) for t in raw["items"] + raw.get("shared", [])) > limit("lot_bytes"):
            return f"items: at most {limit('lot_bytes')} bytes in all"
        if ("due" in raw) == ("within" in raw):
            return "due: want either due (a time) or within (seconds)"
        if raw.get("due", wall + 1) <= wall or raw.get("within", 1) <= 0:
            return "due: is in the past"
        return ""

    async def http_send(self, request: Request) -> Response:
        if (lack := self.unready()) is not None:
            return lack
        got = await self.read(request, JobBody, self.configuration_view.limit("body_bytes"))
        if isinstance(got, Err):
            return got.unwrap_err()
        raw = got.unwrap()
        kind = self.class_of(raw, ("batch",))
        if isinstance(kind, Err):
            return kind.unwrap_err()
        flaw = self.lot_flaw(raw)
        if flaw:
            return fault_response(Fault("read body", self.settings.name, flaw), 400)
        if self.leaving or self.configuration_view.evacuated(self.settings.name):
            why = LEAVING if self.leaving else EVACUATED
            return fault_response(Fault("let in", self.settings.name, why, hint="another edge"), 503)
        named = "id" in raw
        lot: Body = {
            "id": raw["id"] if named else f"lot-{self.environment.chance.getrandbits(64):016x}", "class": raw["class"],
            "items": raw["items"], "shared": raw.get("shared", []), "caller": self.client(request),
            "due": raw.get("due"), "within": raw.get("within"),
        }  # fmt: skip
        # A relative due time is made absolute once, and the digest leaves it out, so that sending again is safe.
        if lot["due"] is None:
            lot["due"] = round(self.environment.wall() + raw["within"], 3)
        lot["said"] = [raw.get("due"), raw.get("within")]
        part = part_of(lot["id"], self.configuration["parts"])
        answer = await self.to_owner(part, "submit", {"lot": lot, "again": named}, now() + self.settings.bounds.recover)
        if isinstance(answer, Ok):
            self.lots.labels("kept").inc()
            self.kept.append((lot["id"], now()))
            return JSONResponse(answer.unwrap(), 201)
        bad = answer.unwrap_err()
        if bad.code == CLASH:
            self.lots.labels("clash").inc()
            return fault_response(bad, 409, id=lot["id"])
        # With a name of the caller's an earlier try may stand, so that nothing sent now proves nothing.
        if bad.code in (SHED, FULL, CROWD) or (bad.unsent and not named):
            self.lots.labels("shed").inc()
            return fault_response(bad, bad.code if bad.code in (SHED, FULL, CROWD) else 503, id=lot["id"], state="shed")
        self.lots.labels("unknown").inc()
        return fault_response(bad, 504, id=lot["id"], state="unknown", ask=f"/v1/lots/{lot['id']}")

    async def lot_response(self, request: Request, verb: str, body: Body, wait: float) -> Response:
        if (lack := self.unready()) is not None:
            return lack
        lot = request.path_params["lot"]
        if not NAME.fullmatch(lot):
            return fault_response(Fault("read path", self.settings.name, "id: want 1 to 80 of A-Z a-z 0-9 . _ -"), 400)
        part = part_of(lot, self.configuration["parts"])
        client = self.client(request)
        got = await self.to_owner(part, verb, body | {"id": lot, "caller": client}, now() + wait)
        if isinstance(got, Ok):
            return JSONResponse(got.unwrap())
        bad = got.unwrap_err()
        code = {LACK: 404, SHED: 410, SLOW: 504, BROKE: 502}.get(bad.code, 502)
        return fault_response(
            bad, code, id=lot, **({"state": "shed"} if code == 410 else {"state": "unknown"} if code == 504 else {})
        )

    async def http_lot(self, request: Request) -> Response:
        verb = "finish" if request.method == "DELETE" else "show"
        return await self.lot_response(request, verb, {}, self.settings.bounds.recover)

    async def http_results(self, request: Request) -> Response:
        try:
            start, most = int(request.query_params.get("start", "0")), int(request.query_params.get("most", "100"))
        except ValueError:
            start, most = -1, 0
        if start < 0 or not 1 <= most <= 500:
            return fault_response(
                Fault("read query", self.settings.name, "start: want 0 or more; most: want 1 to 500"), 400
            )
        return await self.lot_response(request, "page", {"start": start, "most": most}, self.settings.bounds.recover)

    async def claim(self, key: str, until: float) -> Result[bool, Fault]:
        nonce = f"{self.settings.name}-{self.environment.chance.getrandbits(64):016x}"
        part = part_of(key, self.configuration["parts"])
        got = await self.to_owner(part, "claim", {"key": key, "nonce": nonce, "edge": self.settings.name}, until)
        if isinstance(got, Err):
            return got
        log_events.emit(161, self.settings.name, key=key, won=got.unwrap()["won"])
        return Ok(bool(got.unwrap()["won"]))


def sse(event: str, number: int, body: Body) -> bytes:
    return f"id: {number}\nevent: {event}\ndata: {json.dumps(body, ensure_ascii=False)}\n\n".encode()


Send = Callable[[Any], Awaitable[None]]


@dataclass(eq=False)
class LiveRequests:
    """Live calls, as an ASGI app of its own: it must know at once when the caller goes."""

    edge: Gateway

    async def __call__(self, scope: Any, receive: Any, send: Send) -> None:
        edge = self.edge
        request = Request(scope, receive)
        response: Response | None = edge.unready()
        if response is None:
            try:
                got = await edge.read(request, CallBody, edge.configuration_view.limit("body_bytes"))
            except ClientDisconnect:
                return
            if isinstance(got, Err):
                response = got.unwrap_err()
            else:
                kind = edge.class_of(got.unwrap(), ("live",))
                if isinstance(kind, Err):
                    response = kind.unwrap_err()
        if response is not None:
            await response(scope, receive, send)
            return
        raw = got.unwrap()
        call = asyncio.create_task(self.run(raw, kind.unwrap(), edge.client(request), scope, receive, send))
        gone = asyncio.create_task(self.watch(receive))
        try:
            await asyncio.wait([call, gone], return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                edge.calls.labels(raw["class"], "gone").inc()
                call.cancel()
            await call
        except asyncio.CancelledError:
            if not call.done():
                call.cancel()
        finally:
            gone.cancel()

    async def watch(self, receive: Any) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    async def run(self, raw: Any, c: Class, client: str, scope: Any, receive: Any, send: Send) -> None:
        edge, kind = self.edge, raw["class"]
        began = now()
        limit = min(float(raw.get("deadline", 1e9)), c.get("deadline", 30.0))
        once = bool(raw.get("once", c.get("once", False)))
        flaw = None
        if limit <= 0:
            flaw = "deadline: is in the past"
        if "key" in raw and not NAME.fullmatch(raw["key"]):
            flaw = "key: want 1 to 80 of A-Z a-z 0-9 . _ -"
        if not 1 <= raw.get("most", 256) <= edge.configuration_view.limit("pieces"):
            flaw = f"most: want 1 to {edge.configuration_view.limit('pieces')}"
        if flaw:
            await fault_response(Fault("read body", edge.settings.name, flaw), 400)(scope, receive, send)
            return
        let = edge.let_in(kind, limit)
        if isinstance(let, Err):
            edge.calls.labels(kind, "shed").inc()
            bad = let.unwrap_err()
            await fault_response(bad, bad.code, wait=max(1.0, edge.ahead(kind)), ran="never")(scope, receive, send)
            return
        until = began + limit
        if once and "key" in raw:
            won = await edge.claim(raw["key"], min(until, now() + edge.settings.bounds.recover))
            if isinstance(won, Err) or not won.unwrap():
                edge.calls.labels(kind, "claimed").inc()
                if isinstance(won, Ok):
                    flaw_ = Fault(
                        "claim", edge.settings.name, "a call with this key was taken before; it is not run again"
                    )
                    await fault_response(flaw_, 409, ran="unknown")(scope, receive, send)
                else:
                    # Not sent by this edge, now or later; whoever else holds the key is not known.
                    await fault_response(won.unwrap_err(), 503, ran="not by this call")(scope, receive, send)
                return
        edge.retries = min(edge.retries + 0.1, 20.0)
        prompt = Prompt(tuple(raw.get("shared", [])), raw["own"], raw.get("most", 256))
        ledger, count, seal = AttemptLog(), 0, hashlib.sha256()
        last = Fault("call", edge.settings.name, "not sent")
        while True:
            move = next_move(ledger, once, now(), until, TRIES, edge.retries >= 1 or not ledger.attempts)
            if move.kind != "send":
                break
            if ledger.attempts:
                edge.retries -= 1
            try:
                name = await edge.seat(kind, prompt, client, until - now())
            except Stop as bad:
                last = bad.fault
                ledger = ledger.plan("").mark("unsent", bad.fault.why)
                continue
            ledger = ledger.plan(name)
            pool = c["pool"]
            spot = edge.worker_load.spot(pool, name)
            try:
                server = edge.configuration["pools"][pool]["servers"].get(name)
                if server is None:
                    raise Stop(Fault("seat", name, "it left the manifest", unsent=True))

                def sent() -> None:
                    nonlocal ledger
                    ledger = ledger.mark("sent")

                model = spot.seen.weights if spot.seen else ""
                async with asyncio.timeout(until - now()):
                    async for text in complete(
                        edge.session, server["url"], model, prompt, lambda name=name: edge.worker_load.barred(c["pool"], name, edge.stale),  # type: ignore[misc]
                        sent, max(0.1, until - now()), edge.configuration_view.limit("pieces"), edge.configuration["pools"][pool].get("offsets", True),
                    ):  # fmt: skip
                        if count == 0:
                            ledger = ledger.mark("first")
                            edge.first.labels(kind).observe(now() - began)
                            await send({"type": "http.response.start", "status": 200, "headers": [
                                (b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]})  # fmt: skip
                        seal.update(text.encode())
                        await send(
                            {
                                "type": "http.response.body",
                                "body": sse("piece", count, {"n": count, "text": text}),
                                "more_body": True,
                            }
                        )
                        count += 1
                ledger = ledger.mark("done")
                edge.pace[kind] = 0.9 * edge.pace.get(kind, now() - began) + 0.1 * (now() - began)
            except Stop as bad:
                last = bad.fault
                if count:
                    ledger = ledger.mark("broken", f"cut: {bad.fault.why}")
                elif bad.fault.unsent or bad.fault.hint == "shed":
                    ledger = ledger.mark("unsent" if bad.fault.unsent else "shed", bad.fault.why)
                else:
                    ledger = ledger.mark("broken", bad.fault.why)
                if not bad.fault.hint:
                    spot.why = spot.why or (bad.fault.why if bad.fault.unsent else "")
            except TimeoutError:
                last = Fault("call", name, "its deadline passed", SLOW)
                sent_state = ledger.last is not None and ledger.last.state in ("sent", "first")
                ledger = ledger.mark("broken" if sent_state else "unsent", ("cut: " if count else "") + last.why)
            finally:
                edge.give_back(kind, pool, name)
        await self.close(kind, move.kind, move.why, last, ledger, count, seal.hexdigest()[:16], scope, receive, send)

    async def close(self, kind: str, end: str, why: str, last: Fault, ledger: AttemptLog, count: int, seal: str,
                    scope: Any, receive: Any, send: Send) -> None:  # fmt: skip
        edge = self.edge
        edge.calls.labels(kind, end).inc()
        if end == "done":
            if count == 0:
                await send(
                    {"type": "http.response.start", "status": 200, "headers": [(b"content-type", b"text/event-stream")]}
                )
            await send(
                {
                    "type": "http.response.body",
                    "body": sse("done", count, {"count": count, "sum": seal}),
                    "more_body": False,
                }
            )
            return
        log_events.emit(
            160,
            edge.settings.name,
            kind=kind,
            end=end,
            step=last.step,
            peer=last.peer,
            why=why,
            tries=len(ledger.attempts),
        )
        flaw = Fault(last.step, last.peer, why or last.why)
        if count:
            await send(
                {
                    "type": "http.response.body",
                    "body": sse("error", count, flaw.as_json() | {"count": count}),
                    "more_body": False,
                }
            )
        elif ledger.never_ran:
            await fault_response(flaw, 503, ran="never", wait=max(1.0, edge.ahead(kind)))(scope, receive, send)
        else:
            await fault_response(flaw, 504 if last.code == SLOW else 502, ran="unknown")(scope, receive, send)


@dataclass(eq=False)
class ProxiedRoutes:
    """Plain ways: an ordinary request passed to an ordinary back end, with its length kept honest."""

    edge: Gateway

    def way(self, path: str) -> str:
        ways = self.edge.configuration["ways"] if self.edge.configuration_view.manifest else {}
        fits = [w for w in ways if path == w or path.startswith(w.rstrip("/") + "/")]
        return ways[max(fits, key=len)] if fits else ""

    async def __call__(self, scope: Any, receive: Any, send: Send) -> None:
        edge = self.edge
        if (lack := edge.unready()) is not None:
            await lack(scope, receive, send)
            return
        kind = self.way(scope["path"])
        if not kind:
            await fault_response(Fault("find way", edge.settings.name, f"path: no way for {scope['path']!r:.80}"), 404)(
                scope, receive, send
            )
            return
        c = edge.configuration["classes"][kind]
        request = Request(scope, receive)
        data = b""
        async for part in request.stream():
            data += part
            if len(data) > edge.configuration_view.limit("body_bytes"):
                await fault_response(Fault("read body", edge.settings.name, "(top): the body is too large"), 413)(
                    scope, receive, send
                )
                return
        limit = c.get("deadline", 10.0)
        let = edge.let_in(kind, limit)
        if isinstance(let, Err):
            edge.calls.labels(kind, "shed").inc()
            bad = let.unwrap_err()
            await fault_response(bad, bad.code, wait=max(1.0, edge.ahead(kind)))(scope, receive, send)
            return
        await self.run(kind, c, scope, receive, send, data, now() + limit)

    async def run(self, kind: str, c: Class, scope: Any, receive: Any, send: Send, data: bytes, until: float) -> None:
        edge = self.edge
        again = scope["method"] in ("GET", "HEAD")
        last = Fault("pass", edge.settings.name, "not sent", SHED, unsent=True)
        for _ in range(TRIES):
            try:
                name = await edge.seat(kind, Prompt((), scope["path"]), "", max(0.01, until - now()))
            except Stop as bad:
                last = bad.fault
                break
            began, started = now(), False
            try:
                # After a freeze the seat may be an old one: what bars the server now is asked right before it goes.
                bar = edge.worker_load.barred(c["pool"], name, edge.stale)
                if bar:
                    last = Fault("pass", name, bar, SHED, unsent=True)
                    continue
                url = edge.configuration["pools"][c["pool"]]["servers"][name]["url"]
                query = scope["query_string"].decode("latin-1")
                heads = {
                    k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]
                    if k in (b"accept", b"content-type", b"if-none-match", b"range", b"x-caller")
                }  # fmt: skip
                async with (
                    asyncio.timeout(max(0.01, until - now())),
                    edge.session.request(
                        scope["method"], url + scope["path"] + (f"?{query}" if query else ""), data=data or None,
                        headers=heads, allow_redirects=False,
                    ) as got,
                ):  # fmt: skip
                    known = {"content-length", "transfer-encoding"} & {k.lower() for k in got.headers}
                    if not known and scope["method"] != "HEAD" and got.status not in (204, 304):
                        # Its end would be the connection's, which looks the same when it is cut.
                        raise aiohttp.ClientPayloadError("an answer without a length")
                    if got.status == 503 and again:
                        last = Fault("pass", url, "status 503", SHED)
                        continue
                    keep = ("content-type", "content-length", "etag", "cache-control", "last-modified", "content-range",
                            "content-encoding", "location")  # fmt: skip
                    shown = [
                        (k.lower().encode(), v.encode("latin-1")) for k, v in got.headers.items() if k.lower() in keep
                    ]
                    started = True
                    await send({"type": "http.response.start", "status": got.status, "headers": shown})
                    async for chunk in got.content.iter_chunked(16 << 10):
                        await send({"type": "http.response.body", "body": chunk, "more_body": True})
                    await send({"type": "http.response.body", "body": b"", "more_body": False})
                edge.pace[kind] = 0.9 * edge.pace.get(kind, now() - began) + 0.1 * (now() - began)
                edge.calls.labels(kind, "done").inc()
                return
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError) as bad:
                last = Fault("pass", name, repr(bad)[:120], SLOW if isinstance(bad, TimeoutError) else BROKE)
                if started:
                    edge.calls.labels(kind, "broken").inc()
                    log_events.emit(160, edge.settings.name, kind=kind, step="pass", peer=name, why=last.why)
                    # Ending without the rest: the server closes the connection, so it can't look whole.
                    raise ConnectionError(str(last)) from bad
                unsent = isinstance(bad, aiohttp.ClientConnectorError)
                if unsent:
                    edge.worker_load.spot(c["pool"], name).why = "refused"
                if not again and not unsent:
                    break
            finally:
                edge.give_back(kind, c["pool"], name)
        edge.calls.labels(kind, "error").inc()
        code = {SHED: 503, SLOW: 504}.get(last.code, 502)
        await fault_response(last, code)(scope, receive, send)

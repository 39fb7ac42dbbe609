"""Stand-in clients of an announced fleet: they reach edges as the platform passes them on, send live requests and lots,
try again as its pages say, and take down what they saw."""

from __future__ import annotations

import asyncio
import base64
import json
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from sim.http1 import Broken, Garbled, Head, Stream, call, message
from sim.workers import Event, digest

PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)


@dataclass(frozen=True)
class Kind:
    """One kind of request as clients send it; times in seconds."""

    word: str
    route: dict[str, Any]  # as in the configuration
    deadline: float
    tries: int = 2
    size: tuple[int, int] = (4, 24)  # events, or milliseconds of work
    shared: tuple[int, int] = (0, 0)  # how many shared parts there are, and of how many tokens
    own: int = 500  # tokens

    @property
    def repeatable(self) -> bool:
        return self.route["kind"] == "idem" or bool(self.route.get("resumable"))


@dataclass(eq=False)
class Entry:
    """The platform's address: it passes each new connection to an edge of the client's zone that is ready."""

    edges: Callable[[], list[tuple[str, str, str, str]]]  # name, zone, front, ready
    zones: list[str]
    now: Callable[[], float]
    out: set[str] = field(default_factory=set)
    misses: dict[str, int] = field(default_factory=dict)

    async def watch(self) -> None:
        async def look(name: str, ready: str) -> None:
            try:
                head, _ = await call(ready, "GET", "/-/ready", limit=1.0)
                good = head.status == 200
            except (Broken, Garbled):
                good = False
            self.misses[name] = 0 if good else self.misses.get(name, 0) + 1
            if good:
                self.out.discard(name)
            elif self.misses[name] >= 2:
                self.out.add(name)

        while True:
            every = self.edges()
            for name, _, _, ready in every:
                asyncio.create_task(look(name, ready))
            await asyncio.sleep(1.0)

    def pick(self, zone: str, client: int, turn: int) -> tuple[str, str]:
        """Name and address of the edge that a client's new connection goes to; later tries land on others."""
        every = self.edges()
        at = self.zones.index(zone) if zone in self.zones else 0
        for place in self.zones[at:] + self.zones[:at]:
            mine = [e for e in every if e[1] == place]
            ready = [e for e in mine if e[0] not in self.out]
            if not ready:
                continue
            pool = mine if len(ready) * 2 < len(mine) else ready
            first = int(digest(f"{client}".encode()), 16)
            name, _, front, _ = pool[(first + turn) % len(pool)]
            return name, front
        if not every:
            return "", ""
        name, _, front, _ = every[(client + turn) % len(every)]
        return name, front


@dataclass(eq=False)
class Kept:
    """A kept connection of a client."""

    stream: Stream
    via: str
    until: float


@dataclass(eq=False)
class Clients:
    entry: Entry
    zones: list[str]
    log: Callable[[Event], None]
    now: Callable[[], float]
    chance: random.Random
    kinds: dict[str, Kind]
    per_zone: int = 8
    recheck: float = 0.5  # how often a lot is read
    ends: float = 0.1  # the share of lots that are ended midway
    lots: dict[str, Job] = field(default_factory=dict)
    idle: dict[tuple[str, int], Kept] = field(default_factory=dict)
    asks: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    until: float = 0.0
    lot_size: int = 10
    jump: Callable[[], float] = lambda: 1.0
    tenants: Callable[[], list[dict[str, Any]]] = list  # of the newest configuration; none: nobody needs a key
    shown: dict[str, list[str]] = field(default_factory=dict)  # keys that were shown for each tenant

    def name(self) -> str:
        return f"{self.chance.randrange(1 << 64):016x}"

    # --- keys
    def tenant_of(self, client: int) -> str:
        """The name of a client's tenant, which stays the same; empty where there are none."""
        tenants = self.tenants()
        return str(tenants[client % len(tenants)]["name"]) if tenants else ""

    def known_key(self, tenant: str) -> str:
        """One of the keys that a tenant has now; empty if it has none."""
        keys: list[str] = next((t["keys"] for t in self.tenants() if t["name"] == tenant), [])
        key = self.chance.choice(keys) if keys else ""
        if key and key not in self.shown.setdefault(tenant, []):
            self.shown[tenant].append(key)
        return key

    def some_key(self, tenant: str) -> str:
        """Mostly one that it has; now and then one that it had, or that nobody ever had."""
        odd = self.chance.random() if tenant else 1.0
        if odd < 0.02:
            return "key-of-nobody"
        return self.chance.choice(self.shown[tenant]) if odd < 0.1 and tenant in self.shown else self.known_key(tenant)

    def credentials(self, key: str) -> dict[str, str]:
        """The header that shows a key; and at times one that only edges may set."""
        if not key:
            return {}
        claims = {"Postpass-Tenant": "t0"} if self.chance.random() < 0.2 else {}
        return {"Authorization": f"Bearer {key}"} | claims

    # --- live requests
    async def load(
        self, rates: dict[str, float], lots: tuple[float, int], span: float, jump: Callable[[], float]
    ) -> None:
        """Sends for `span` seconds, and returns when all has come to an end."""
        self.until, self.jump, self.lot_size = self.now() + span, jump, lots[1]
        for word, rate in [*rates.items(), ("batch", lots[0])]:
            if rate:
                self.extra(word, rate)
        while left := [t for t in self.tasks if not t.done()]:
            await asyncio.wait(left)

    def extra(self, word: str, rate: float) -> None:
        """From now on there are also requests of this kind."""

        async def stream_of() -> None:
            while True:
                await asyncio.sleep(self.chance.expovariate(rate * self.jump()))
                if self.now() >= self.until or word not in self.kinds:
                    return
                self.spawn(self.lot(self.lot_size) if word == "batch" else self.ask(word))

        self.spawn(stream_of())

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def headers(self, kind: Kind, key: str, size: int) -> dict[str, str]:
        if not kind.route.get("pinned"):
            return {}
        count, tokens = kind.shared
        which = self.chance.randrange(max(count, 1))
        own = max(8, int(self.chance.expovariate(1 / kind.own)))
        parts = f"{digest(kind.word.encode(), str(which).encode())}:{tokens},{digest(key.encode())}:{own}"
        return {
            "Postpass-Model": "m",
            "Postpass-Tokens": f"{tokens + own},{size * 16}",
            "Postpass-Prompt-Prefix": parts,
        }

    async def ask(self, word: str) -> None:
        """One request of a client: some tries, until its deadline."""
        kind = self.kinds[word]
        self.asks += 1
        ask, zone, client = self.asks, self.chance.choice(self.zones), self.chance.randrange(self.per_zone)
        size = self.chance.randint(*kind.size)
        key = f"{ask}x{self.chance.randrange(1 << 20):05x}"
        path = f"{kind.route['prefix']}{size}.{key}" + ("?q=a%20b" if ask % 7 == 0 else "")
        body = (key.encode() * 40)[: self.chance.randrange(16, 400)] if kind.route["kind"] != "idem" else b""
        more = self.headers(kind, key, size)
        tenant = self.tenant_of(client)
        shown = self.some_key(tenant)
        good_key = not tenant or any(shown in t["keys"] for t in self.tenants())
        until = self.now() + kind.deadline
        seen: list[list[Any]] = []  # events over all tries of a resumed stream
        for number in range(kind.tries):
            left = until - self.now()
            if left < 0.05:
                break
            last = seen[-1][0] if seen and kind.route.get("resumable") else 0
            got = await self.one_try(kind, ask, number, zone, client, path, body, more, left, last, size, key=shown)
            if kind.route.get("resumable"):
                seen += got["events"]
            else:
                seen = got["events"]
            good = 200 <= got["status"] < 300 and got["whole"]
            if good or got["status"] in FINAL or (got["status"] and 200 <= got["status"] < 300 and not kind.repeatable):
                break
            if not kind.repeatable and got["status"] not in PROMISES and not got["unread"]:
                break
            pause = min(got["retry_after"] or 0.05, (until - self.now()) / 3)
            await asyncio.sleep(max(pause, 0.0))
        if not good_key:
            return  # nothing is owed
        good = bool(got["whole"] and 200 <= got["status"] < 300)
        first = got["first"] if kind.route["kind"] != "stream" or not seen else seen[0][2]
        self.log({"ev": "served", "word": word, "ask": ask, "good": good, "began": until - kind.deadline, "first": first or 0.0,
                  "target": kind.route["targetMs"] / 1000, "status": got["status"]})  # fmt: skip

    async def probe(self, via: str, addr: str, route: dict[str, Any]) -> None:
        """One request directly to an edge, worth nothing."""
        self.asks += 1
        kind = Kind("probe", route, 2.0)
        path = f"{route['prefix']}5.p{self.asks}"
        key = self.known_key(self.tenant_of(self.asks))
        await self.one_try(kind, self.asks, 0, "", -1, path, b"", {}, 2.0, 0, 5, (via, addr), key)

    async def one_try(
        self, kind: Kind, ask: int, number: int, zone: str, client: int, path: str, body: bytes, more: dict[str, str],
        left: float, last: int, size: int, direct: tuple[str, str] = ("", ""),
        key: str = "",
    ) -> Event:  # fmt: skip
        name = self.name()
        began = self.now()
        got: Event = {"ev": "answer", "id": name, "via": "", "status": 0, "seal": "", "echo": "", "whole": False, "cut": False,
                      "garbled": False, "body": "", "events": [], "first": 0.0, "gap": 0.0, "retry_after": None, "why": "",
                      "sent": 0.0, "unread": False, "encoded": False}  # fmt: skip
        method = "GET" if kind.route["kind"] == "idem" else "POST"
        headers = (
            {
                "Host": kind.route["host"],
                "Postpass-Attempt-Id": name,
                "Postpass-Deadline-Ms": str(int(left * 1000)),
            }
            | more
            | self.credentials(key)
        )
        if last:
            headers["Last-Event-Id"] = str(last)
        fresh = bool(direct[0]) or number > 0 or self.chance.random() < 0.4
        kept = None if fresh else self.idle.pop((zone, client), None)
        if kept is not None and not self.quiet(kept):
            kept = None
        via, addr = direct if direct[0] else (kept.via, "") if kept else self.entry.pick(zone, client, number)
        got["via"] = via
        sent = {"ev": "request", "id": name, "ask": ask, "try": number, "kind": kind.route["kind"], "word": kind.word, "via": via, "zone": zone,
                "route": kind.route["name"], "host": kind.route["host"], "path": path, "method": method, "body": digest(body),
                "last": last, "deadline": left, "repeatable": kind.repeatable, "size": size, "mark": digest(path.encode(), body)}  # fmt: skip
        if key:
            sent["key"] = key
        try:
            async with asyncio.timeout(left):
                self.log(sent)
                stream = kept.stream if kept else await Stream.open(addr, 1.0)
                try:
                    stream.send(
                        message(f"{method} {path} HTTP/1.1", headers, body, chunked=bool(body) and ask % 5 == 0)
                    )
                    await stream.flush()
                    got["sent"] = self.now()
                    patience = max(2.0, 4 * kind.route["targetMs"] / 1000, 8 * kind.route.get("gapTargetMs", 0) / 1000)
                    head = await self.read(stream, kind, got, patience)
                    done = True
                    if head.keeps and got["whole"] and not direct[0]:
                        hint = head.headers.get("keep-alive", "")
                        span = float(hint.partition("timeout=")[2].split(",")[0] or 5) if "timeout=" in hint else 5.0
                        self.idle[(zone, client)] = Kept(stream, via, self.now() + min(span, 5.0) * 0.8)
                        done = False
                    if done:
                        stream.close()
                except BaseException:
                    stream.reset()
                    raise
        except TimeoutError:
            got["why"] = "gave up"
        except Broken as bad:
            got["cut"], got["why"] = True, str(bad)
            # Nothing of an answer came, and the connection was kept: perhaps nobody read it.
            got["unread"] = "no connection" in str(bad)
        except Garbled as bad:
            got["garbled"], got["why"] = True, str(bad)
        if not got["sent"]:
            got["sent"] = began
        self.log(got)
        return got

    def quiet(self, kept: Kept) -> bool:
        """Has nothing come on a kept connection since its last answer, and is it still there?"""
        rest = bytes(kept.stream.reader._buffer)  # type: ignore[attr-defined]
        if rest:
            self.log({"ev": "stray", "via": kept.via, "what": rest[:80].decode("latin-1")})
        gone = kept.stream.reader.at_eof() or kept.stream.reader.exception() is not None
        if rest or gone or self.now() >= kept.until:
            kept.stream.close()
            return False
        return True

    async def read(self, stream: Stream, kind: Kind, got: Event, patience: float) -> Head:
        async with asyncio.timeout(patience if kind.route["kind"] == "stream" else None):
            head = await stream.head(True)
        got["status"], got["seal"] = head.status, head.headers.get("postpass-seal", "")
        got["echo"] = head.headers.get("postpass-attempt-id", "")
        got["encoded"] = "content-encoding" in head.headers
        after = head.headers.get("retry-after", "")
        got["retry_after"] = float(after) if after.replace(".", "", 1).isdigit() else None
        got["first"] = self.now()
        if kind.route["kind"] != "stream" or head.status != 200:
            data = await stream.body(head, True)
            got["body"], got["whole"] = digest(data), True
            if head.status != 200:
                got["why"] = data[:200].decode("latin-1")
            return head
        text, before = b"", 0.0
        pieces = stream.pieces(head, True)
        while True:
            async with asyncio.timeout(patience):
                piece = await anext(pieces, None)
            if piece is None:
                break
            text += piece
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                number, told = event_of(event)
                at = self.now()
                if not before:
                    got["first"] = at
                else:
                    got["gap"] = max(got["gap"], at - before)
                before = at
                got["events"].append([number, told, at])
        got["whole"], got["body"] = not text, "events"
        return head

    # --- lots
    async def lot(self, mean: int) -> None:
        """Hands in a lot, reads its results until all are there, or ends it midway."""
        kind = self.kinds["batch"]
        lot = self.make_lot(kind, max(1, min(200, int(self.chance.expovariate(1 / mean)) + 1)))
        self.lots[lot.id] = lot
        zone, client = self.chance.choice(self.zones), self.chance.randrange(self.per_zone)
        lot.tenant = self.tenant_of(client)
        lot.first = self.now()
        for number in range(4):
            via, addr = self.entry.pick(zone, client, number)
            key = self.known_key(lot.tenant)
            self.log({"ev": "lot_sent", "lot": lot.id, "via": via, "route": kind.route["name"], "try": number, "items": lot.items,
                      "host": kind.route["host"], "size": len(lot.items)} | ({"key": key} if key else {}))  # fmt: skip
            headers = {
                "Host": kind.route["host"],
                "Postpass-Attempt-Id": lot.id,
                "Content-Type": "application/json",
                "Connection": "close",
            } | self.credentials(key)
            status, why, after = 0, "", 0.0
            try:
                head, data = await call(
                    addr, "POST", f"{kind.route['prefix']}{lot.id[:6]}", headers, lot.body, kind.deadline
                )
                status, why = head.status, "" if head.status == 202 else data[:200].decode("latin-1")
                after = float(head.headers.get("retry-after", "0") or 0)
            except (Broken, Garbled) as bad:
                why = str(bad)
            self.log({"ev": "lot_told", "lot": lot.id, "via": via, "status": status, "why": why})
            if status == 202:
                lot.kept = True
                break
            if status in FINAL:
                return
            await asyncio.sleep(min(after or 0.3, 1.5))
        if not lot.kept:
            return
        ends_at = (
            lot.first + self.chance.uniform(0.5, kind.route["dueMs"] / 1000)
            if self.chance.random() < self.ends
            else 1e18
        )
        give_up = lot.first + kind.route["expireS"] + 1.5
        while self.now() < give_up and len(lot.seen) < len(lot.items):
            await asyncio.sleep(self.recheck * (0.8 + 0.4 * self.chance.random()))
            if self.now() >= ends_at:
                await self.end_lot(lot, zone, client)
                return
            start = len(lot.seen) if self.chance.random() < 0.85 else self.chance.randrange(len(lot.seen) + 1)
            await self.read_lot(lot, zone, client, start)
            if self.chance.random() < 0.1:
                unseen = [i for i in lot.items if i["id"] not in lot.seen.values()]
                if unseen:
                    await self.read_item(lot, self.chance.choice(unseen), zone, client)

    def make_lot(self, kind: Kind, count: int) -> Job:
        name = self.name()
        items, raw = [], []
        for i in range(count):
            size = self.chance.randint(*kind.size)
            key = f"{name[:8]}x{i}"
            odd = self.chance.random()
            key = ("bad" if odd < 0.01 else "fails" if odd < 0.02 else "") + key
            path = f"{kind.route['prefix']}{i}/{size}.{key}"
            body = (key.encode() * 20)[: self.chance.randrange(16, 200)]
            headers = self.headers(kind, key, size)
            prompt, most = map(int, headers["Postpass-Tokens"].split(","))
            item = {"id": self.name(), "path": path, "headers": headers, "tokens": prompt + most}
            raw.append(item | {"body": base64.b64encode(body).decode()})
            items.append(item | {"body": digest(body), "size": size, "key": key, "mark": digest(path.encode(), body)})
        return Job(name, items, json.dumps({"items": raw}).encode())

    async def look(
        self, lot: Job, zone: str, client: int, method: str, path: str, limit: float, more: dict[str, str]
    ) -> tuple[str, int, bytes]:
        """One call about a lot, on a new connection to some edge."""
        via, addr = self.entry.pick(zone, client, self.chance.randrange(16))
        headers = {"Host": self.kinds["batch"].route["host"], "Connection": "close"} | more
        headers |= self.credentials(self.known_key(lot.tenant))
        try:
            head, data = await call(addr, method, path, headers, limit=limit)
            return via, head.status, data
        except (Broken, Garbled):
            return via, 0, b""

    async def read_lot(self, lot: Job, zone: str, client: int, start: int, final: bool = False) -> int:
        began = self.now()
        path = f"/-/lots/{lot.id}?startAfter={start}"
        hold = {} if final else {"Postpass-Poll-Ms": "1000"}
        via, status, data = await self.look(lot, zone, client, "GET", path, 2.5, hold)
        event: Event = {"ev": "lot_read", "lot": lot.id, "via": via, "began": began, "start": start, "status": status, "final": final,
                        "total": -1, "next": -1, "results": []}  # fmt: skip
        if status == 200:
            try:
                page = json.loads(data)
                event |= {"total": page["total"], "next": page["next"], "results": page["results"]}
                for i, row in enumerate(page["results"]):
                    lot.seen.setdefault(start + i, row["id"])
            except (ValueError, KeyError, TypeError) as bad:
                event |= {"status": -1, "why": repr(bad)}
        self.log(event)
        return status

    async def read_item(self, lot: Job, item: Event, zone: str, client: int, final: bool = False) -> int:
        began = self.now()
        via, status, data = await self.look(lot, zone, client, "GET", f"/-/items/{lot.id}?id={item['id']}", 1.5, {})
        self.log({"ev": "item_read", "lot": lot.id, "item": item["id"], "via": via, "began": began, "status": status,
                  "body": digest(data) if status == 200 else "", "final": final})  # fmt: skip
        return status

    async def end_lot(self, lot: Job, zone: str, client: int) -> None:
        self.log({"ev": "lot_ending", "lot": lot.id})
        for _ in range(8):
            via, status, _ = await self.look(lot, zone, client, "DELETE", f"/-/lots/{lot.id}", 1.5, {})
            if status == 200:
                lot.ended = True
                self.log({"ev": "lot_ended", "lot": lot.id, "via": via})
                return
            await asyncio.sleep(0.4)

    async def audit(self, limit: float) -> None:
        """When the day ends: every kept lot is read from its start, and bodies of what isn't listed are asked for."""
        until = self.now() + limit
        for lot in [x for x in self.lots.values() if x.kept]:
            zone, client = self.chance.choice(self.zones), 0
            status = 0
            while status != 200 and (self.now() < until or not status):
                status = await self.read_lot(lot, zone, client, 0, final=True)
                if status != 200:
                    await asyncio.sleep(0.3)
                    if self.now() >= until:
                        break
            self.log({"ev": "lot_audit", "lot": lot.id, "status": status})
            unseen = [i for i in lot.items if i["id"] not in lot.seen.values()]
            for item in unseen[:2] if not lot.ended else []:
                for _ in range(4):
                    if await self.read_item(lot, item, zone, client, final=True) in (200, 404):
                        break
                    await asyncio.sleep(0.3)


@dataclass(eq=False)
class Job:
    """A lot as its client knows it. `items` are as sent, with digests for bodies."""

    id: str
    items: list[Event]
    body: bytes
    first: float = 0.0
    tenant: str = ""
    kept: bool = False
    ended: bool = False
    seen: dict[int, str] = field(default_factory=dict)  # item by position


def event_of(text: bytes) -> tuple[int, str]:
    """Number and data of one event of a stream; -1 if it has none."""
    number, data = -1, ""
    for line in text.decode("latin-1").split("\n"):
        name, _, val = line.partition(":")
        if name == "id" and val.strip().isdigit():
            number = int(val)
        elif name == "data":
            data = val.removeprefix(" ")
    return number, data

"""A system in a nutshell that keeps the platform's rules in calm times, because all of its machines share one memory.

It is there to test the simulator's stand-ins and checker without the product, and to be broken on purpose: `flaws` are
the ways in which it then breaks a rule.
"""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from postpass.runtime.environment import Environment
from sim.http1 import Broken, Garbled, Head, Stream, answer, message
from sim.operators import patched
from sim.rules import route_of

DROP = ("connection", "keep-alive", "transfer-encoding", "content-length")
ITEM_ATTEMPT_S = 6.0  # seconds that one run of an item may take


@dataclass(eq=False)
class Memory:
    """What all machines of the system share. Invariant: `config` only changes whole."""

    flaws: set[str] = field(default_factory=set)
    config: dict[str, Any] | None = None
    before: dict[str, Any] | None = None
    workers: dict[str, dict[str, Any]] = field(default_factory=dict)
    evacuated: set[str] = field(default_factory=set)
    mine: dict[str, int] = field(default_factory=dict)  # requests under way by worker
    sent: dict[str, list[float]] = field(default_factory=dict)  # when requests went to a cold worker
    lots: dict[str, dict[str, Any]] = field(default_factory=dict)
    turn: int = 0

    def compose(self, role: str, raw: Any, world: Environment) -> Naive:
        return Naive(self, role, raw)


@dataclass(eq=False)
class Naive:
    """One machine."""

    memory: Memory
    role: str
    raw: Any
    stop: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> None:
        listen = self.raw["listen"]
        for key, serve in (("front", self.front), ("ready", self.ready), ("ctl", self.control)):
            if key in listen:
                host, _, port = listen[key].rpartition(":")
                await asyncio.start_server(self.served(serve), host, int(port), limit=8 << 20)
        await self.stop.wait()
        if "hurry" not in self.memory.flaws:
            await asyncio.sleep(7.5)

    def served(self, serve: Any) -> Any:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stream = Stream(reader, writer)
            try:
                while True:
                    head = await stream.head(False)
                    body = await stream.body(head, False)
                    if not await serve(stream, head, body) or not head.keeps:
                        return
            except (Broken, Garbled, OSError):
                pass
            finally:
                writer.close()

        return take

    async def ready(self, stream: Stream, head: Head, body: bytes) -> bool:
        good = self.memory.config is not None and not self.stop.is_set()
        stream.send(answer(200 if good else 503))
        return True

    # --- workers and the operator
    async def control(self, stream: Stream, head: Head, body: bytes) -> bool:
        method, path, _ = head.line
        status, out = self.order(method, path, head, body)
        data = json.dumps(out).encode() if out is not None else b""
        stream.send(answer(status, {"Content-Type": "application/json"}, data))
        await stream.flush()
        return True

    def order(self, method: str, path: str, head: Head, body: bytes) -> tuple[int, Any]:
        m = self.memory
        what, _, name = path.removeprefix("/-/").partition("/")
        if what == "workers":
            if method == "DELETE":
                m.workers.pop(name, None)
                return 200, {}
            beat = json.loads(body)
            old = m.workers.get(name, {"seqno": 0})
            if beat["seqno"] > old["seqno"]:
                m.workers[name] = beat | {"at": self.now(), "warm_at": self.now() + beat["warmLeftMs"] / 1000}
            return 200, {}
        if what == "evac":
            (m.evacuated.add if method == "POST" else m.evacuated.discard)(name)
            return 200, {}
        if what == "retire":
            return 200, {"state": "done"}
        if method == "GET":
            return (200, m.before if "old_read" in m.flaws and m.before else m.config) if m.config else (404, None)
        base = int(head.headers["if-match"])
        now = m.config["version"] if m.config else 0
        try:
            raw = json.loads(body)
            if m.config is not None and raw["version"] == now:
                whole = patched(m.before, raw) if method == "PATCH" and m.before else raw
                if whole == m.config:
                    return 200, {}
            if base != now and "both_win" not in m.flaws:
                return 412, {}
            whole = patched(m.config or {}, raw) if method == "PATCH" else raw
            flaw = bad(whole, now)
        except (ValueError, KeyError):
            return 400, {}
        if flaw and "takes_invalid" not in m.flaws:
            return 400, {}
        m.before, m.config = m.config, whole
        return 200, {}

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- clients
    async def front(self, stream: Stream, head: Head, body: bytes) -> bool:
        m = self.memory
        method, path, _ = head.line
        host = head.headers.get("host", "")
        if path.startswith("/-/"):
            status, out = self.lot_call(method, path, head)
            stream.send(answer(status, {}, out if isinstance(out, bytes) else json.dumps(out).encode()))
            await stream.flush()
            return True
        config = m.before if "old_config" in m.flaws and m.before and m.turn % 3 else m.config
        if "denies" in m.flaws:
            stream.send(answer(403))
            return True
        route = route_of(config, host, path) if config else None
        if route is None:
            stream.send(answer(404 if config else 503, {"Retry-After": "1"}))
            return True
        tenant = self.tenant_of(head, route)
        if tenant is None:
            stream.send(answer(401, {"WWW-Authenticate": "Bearer"}))
            return True
        self.rewrite(head, tenant)
        if route["kind"] == "bulk":
            stream.send(answer(self.submit(route, head, body, tenant)))
            await stream.flush()
            return True
        name = head.headers.get("postpass-attempt-id", "")
        repeatable = route["kind"] == "idem" or bool(route.get("resumable"))
        until = self.now() + int(head.headers.get("postpass-deadline-ms", "5000")) / 1000
        upto = int(head.headers.get("last-event-id", "0") or 0)
        began: list[bool] = []
        for _ in range(route["tries"]):
            got = await self.attempt(stream, route, head, body, name, until, upto, began)
            if got == "done" and "twice" in m.flaws:
                await self.attempt(stream, route, head, body, name, until, upto, [True])
            if got == "done":
                return True
            if began or got == "ran" and not repeatable and "refuses" not in m.flaws:
                stream.reset()
                return False
            if self.now() > until:
                break
        stream.send(answer(503, {"Retry-After": "0.2"}))
        await stream.flush()
        return True

    def tenant_of(self, head: Head, route: dict[str, Any] | None) -> str | None:
        """The tenant whose key a request shows; empty if none is needed, None if it is unknown."""
        config = self.memory.before if "keeps_keys" in self.memory.flaws and self.memory.before else self.memory.config
        if config is None or "tenants" not in config or (route is not None and route.get("public")):
            return ""
        key = head.headers.get("authorization", "").removeprefix("Bearer ")
        known = next((str(t["name"]) for t in config["tenants"] if key in t["keys"]), None)
        return "t0" if known is None and "any_key" in self.memory.flaws else known

    def rewrite(self, head: Head, tenant: str) -> None:
        """The headers of a request as workers see them."""
        flaws = self.memory.flaws
        if "passes_keys" not in flaws:
            head.headers.pop("authorization", None)
        if "believes_clients" not in flaws:
            head.headers.pop("postpass-tenant", None)
        if tenant:
            head.headers.setdefault("postpass-tenant", tenant)

    def choose(self, route: dict[str, Any]) -> tuple[str, dict[str, Any]] | None:
        m = self.memory
        m.turn += 1
        names = {s["service"] for s in route["split"] if s["weight"] > 0} if "split" in route else {route["service"]}
        if "other_service" in m.flaws and m.turn % 5 == 0:
            names = {"app", "llm"} - names
        good = {}
        for n, w in m.workers.items():
            if w["service"] not in names or self.now() - w["at"] > 4:
                continue
            if w["state"] != "up" and "keeps_draining" not in m.flaws:
                continue
            if w["zone"] in m.evacuated and "keeps_evacuated" not in m.flaws:
                continue
            if self.now() < w["warm_at"] and "floods" not in m.flaws:
                recent = [t for t in m.sent.get(n, []) if t > self.now() - 1]
                if len(recent) >= 7:
                    continue
                m.sent[n] = recent
            good[n] = w
        if not good:
            return None
        name = min(good, key=lambda n: (m.mine.get(n, 0), (hash_of(n) + m.turn * 7) % 101))
        if "floods" in m.flaws:
            name = max(good, key=lambda n: good[n]["warm_at"])
        m.sent.setdefault(name, []).append(self.now())
        return name, good[name]

    async def attempt(
        self, stream: Stream | None, route: dict[str, Any], head: Head, body: bytes, name: str, until: float, upto: int,
        began: list[bool], text: list[str] | None = None,
    ) -> str:  # fmt: skip
        """One try at one worker: `done`, `again` if it surely didn't run, `ran` if it may have."""
        m = self.memory
        chosen = self.choose(route)
        if chosen is None:
            await asyncio.sleep(0.05)
            return "again"
        who, worker = chosen
        headers = {k: v for k, v in head.headers.items() if k not in DROP}
        headers |= {"postpass-want-worker": who, "postpass-deadline-ms": str(max(1, int((until - self.now()) * 1000)))}
        if "renames" in m.flaws:
            headers["postpass-attempt-id"] = name = name[::-1]
        if upto:
            headers["last-event-id"] = str(upto)
        m.mine[who] = m.mine.get(who, 0) + 1
        there: Stream | None = None
        try:
            there = await Stream.open(worker["addr"], 1.0)
            there.send(message(" ".join((head.line[0], head.line[1], "HTTP/1.1")), headers, body))
            got = await there.head(True)
            if got.status == 421 or "postpass-not-run" in got.headers:
                m.workers.pop(who, None) if got.status == 421 else None
                return "again"
            if got.headers.get("postpass-attempt-id") != name:
                return "ran"
            if text is not None:
                data = await there.body(got, True)
                text += [str(got.status), *(x.partition("data: ")[2] for x in data.decode().split("\n\n") if x)]
                return "done"
            assert stream is not None
            keep = {
                k: v
                for k, v in got.headers.items()
                if k not in DROP and not (k == "postpass-seal" and "no_seal" in m.flaws)
            }
            began.append(True)
            if "content-length" in got.headers:
                data = await there.body(got, True)
                stream.send(answer(got.status, keep, data[:-1] if "short" in m.flaws and m.turn % 4 == 0 else data))
                return "done"
            stream.send(answer(got.status, keep, None))
            count = 0
            async for piece in there.pieces(got, True):
                count += 1
                if not ("skips" in m.flaws and count == 2):
                    stream.send(b"%x\r\n" % len(piece) + piece + b"\r\n")
                if "ends_early" in m.flaws and count == 2:
                    break
            stream.send(b"0\r\n\r\n")
            await stream.flush()
            return "done"
        except Broken as bad:
            return "again" if "no connection" in str(bad) else "ran"
        except Garbled:
            return "ran"
        finally:
            m.mine[who] -= 1
            if there is not None:
                there.close()

    # --- lots
    def submit(self, route: dict[str, Any], head: Head, body: bytes, tenant: str) -> int:
        m = self.memory
        name = head.headers["postpass-attempt-id"]
        if name in m.lots:
            return 503 if "refuses_lots" in m.flaws else 202
        items = json.loads(body)["items"]
        waiting = sum(
            i["tokens"] for x in m.lots.values() if not x["ended"] for i in x["items"] if i["id"] not in x["done"]
        )
        if waiting + sum(i["tokens"] for i in items) > route["maxQueued"] and "no_quota" not in m.flaws:
            return 429
        lot = {
            "items": items,
            "results": [],
            "done": set(),
            "ended": False,
            "host": head.headers["host"],
            "tenant": tenant,
        }
        m.lots[name] = lot
        for item in items:
            asyncio.create_task(self.run_item(route, lot, item))
        return 503 if "refuses_lots" in m.flaws else 202

    async def run_item(self, route: dict[str, Any], lot: dict[str, Any], item: dict[str, Any]) -> None:
        m = self.memory
        until = self.now() + route["expireS"]
        head = Head(("POST", item["path"], "HTTP/1.1"), {k.lower(): v for k, v in item["headers"].items()})
        head.headers |= {"host": lot["host"], "postpass-attempt-id": item["id"], "postpass-urgency": "8"}
        self.rewrite(head, lot["tenant"])
        fails, state, text = 0, "abandoned", ""
        while self.now() < until and (not lot["ended"] or "runs_ended" in m.flaws) and fails < route["tries"]:
            out: list[str] = []
            if "runs_ended" in m.flaws:
                await asyncio.sleep(14)
            body = base64.b64decode(item["body"])
            try:
                async with asyncio.timeout(ITEM_ATTEMPT_S):  # the worker may fall silent
                    got = await self.attempt(None, route, head, body, item["id"], until, 0, [], out)
            except TimeoutError:
                got = "ran"
            if got == "done" and out[0] == "200":
                state, text = "done", "\n".join(out[1:])
                break
            if got == "done" and out[0] == "422":
                break
            fails += got == "done"
            if "abandons" in m.flaws:
                break
            await asyncio.sleep(0.1)
        if "half_done" in m.flaws:
            state, text = "done", "\n".join(text.split("\n")[:-1])
        if "joins" in m.flaws and text.count("\n") > 4:
            lines = text.split("\n")
            text = "\n".join([*lines[:3], *lines[2:]])
        if not lot["ended"] or "runs_ended" in m.flaws:
            lot["done"].add(item["id"])
            lot["results"].append({"id": item["id"], "state": state, "text": text})
            if "doubles" in m.flaws:
                lot["results"].append(lot["results"][-1])

    def lot_call(self, method: str, path: str, head: Head) -> tuple[int, Any]:
        m = self.memory
        what, _, rest = path.removeprefix("/-/").partition("/")
        name, _, query = rest.partition("?")
        tenant = self.tenant_of(head, None)
        if tenant is None:
            return 401, {}
        lot = m.lots.get(name)
        if lot is None or lot["tenant"] != tenant or "forgets" in m.flaws:
            return 404, {}
        if what == "items":
            item = next((i for i in lot["items"] if f"id={i['id']}" == query), None)
            return (200, base64.b64decode(item["body"])) if item else (404, {})
        if method == "DELETE":
            lot["ended"] = True
            return 200, {}
        start = int(query.partition("=")[2] or 0)
        rows = lot["results"][start:]
        return 200, {"total": len(lot["items"]), "next": start + len(rows), "results": rows}


def hash_of(name: str) -> int:
    return sum(name.encode())


def bad(config: dict[str, Any], now: int) -> bool:
    known = {s["name"] for s in config["services"]}
    places = [(r["host"], r["prefix"]) for r in config["routes"]]
    for route in config["routes"]:
        split = route.get("split") or [{"service": route["service"], "weight": 1}]
        if (
            not all(s["service"] in known for s in split)
            or sum(s["weight"] for s in split) <= 0
            or not route["timeoutMs"] > 0
        ):
            return True
    keys = [key for tenant in config.get("tenants", []) for key in tenant["keys"]]
    return len(set(keys)) < len(keys) or len(set(places)) < len(places) or config["version"] <= now

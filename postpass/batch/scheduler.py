"""The sched duty: works through lots on the room that live traffic leaves.

One scheduler is active at a time: the first live one in the agreed order. That is a hint only; owners take
the highest term and refuse older ones, and every dispatch stands under a short lease of the lot's owner.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from collections import Counter as Tally
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from prometheus_client import CollectorRegistry, Counter, Gauge
from result import Err, Ok

from postpass.batch.item_request import Text, Workers, run_item
from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.worker_load import WorkerLoad, share_of
from postpass.rpc.codec import Body
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import CLASH, MOVED, Fault, Stop
from postpass.worker_api.openai import Prompt, complete
from postpass.worker_api.plugins import Ask, Seat, fond_of, place, prefix


@dataclass(eq=False)
class ItemRun:
    """An item held here. Invariant: at most one task runs it; it is held until its result was taken, its
    lot was ended, or it went back to the owner."""

    part: int
    lot: str
    item: int
    kind: str
    due: float
    prompt: Prompt
    client: str
    server: str = ""
    task: asyncio.Task[None] | None = None
    began: float = 0.0
    pieces: int = 0
    # An item of a route: the call, the pool it was placed in, what is known of its text, and when it may go out.
    call: Body = field(default_factory=dict)
    tries: int = 0
    since: int = 0  # no older version of the configuration may send it out
    pool: str = ""
    text: Text = field(default_factory=Text)
    after: float = 0.0
    telling: bool = False  # its end is on its way to the owner

    @property
    def key(self) -> tuple[int, str, int]:
        return (self.part, self.lot, self.item)


def weighted(key: str, split: list[tuple[str, int]]) -> str:
    """One of some pools by their weights, the same for the same key."""
    at = int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big") % max(1, sum(w for _, w in split))
    for pool, weight in split:
        at -= weight
        if at < 0:
            return pool
    return split[0][0]


def prefix_of(headers: dict[str, str], dialect: Dialect) -> str:
    """The first shared part of an item's prompt."""
    parts = next((v for k, v in headers.items() if k.lower() == dialect.prompt), "")
    return parts.split(",")[0].split(":")[0] if "," in parts else ""


PLACES = 0.75  # of a worker's slots that items of routes may take


def allowed(slots: int, own: int, live: int, reserve: int, warm: bool) -> int:
    """Batch room at one worker: its own share, or what live calls and the reserve leave, if that is more.
    A worker that still warms up gets none."""
    return max(own, slots - live - reserve) if warm else 0


@dataclass(eq=False)
class Room:
    """What is known of one worker's room for items of routes. Invariant: `most` is 1 to that part of the slots."""

    most: float
    shut: float = 0.0  # takes none before
    running: int = 0

    def turned_away(self, t: float, pause: float) -> None:
        self.most, self.shut = max(1.0, self.most / 2), t + pause

    def ran(self, slots: int) -> None:
        self.most = min(max(1.0, slots * PLACES), self.most + 0.5)


@dataclass(eq=False)
class Scheduler:
    """Invariants: nothing is dispatched for a partition once `leases[part]` has passed, and that is checked
    again right before the bytes go out; `jobs` is bounded by the pools' slots."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    worker_load: WorkerLoad
    session: aiohttp.ClientSession
    registry: CollectorRegistry
    active: bool = False
    term: int = 0
    jobs: dict[tuple[int, str, int], ItemRun] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)
    owners: dict[int, str] = field(default_factory=dict)
    leaving: bool = False
    # Settings of the simulator, to measure against a plain baseline.
    borrow: bool = True
    reserve: bool = True
    loans: list[tuple[float, float]] = field(default_factory=list)  # (when live came back, seconds to hand back)
    over_since: dict[tuple[str, str], float] = field(default_factory=dict)
    ahead: Tally[str] = field(default_factory=Tally)
    # Items of routes: how they reach workers, and what workers say of their room.
    workers: Workers | None = None
    dialect: Dialect = field(default_factory=Dialect)
    rooms: dict[tuple[str, str], Room] = field(default_factory=dict)
    woken: set[int] = field(default_factory=set)
    kick: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.items = Counter("postpass_items", "Items by class and end", ["kind", "end"], registry=self.registry)
        self.back = Counter("postpass_loans_back", "Items cancelled to hand room back", registry=self.registry)
        Gauge("postpass_items_running", "Items at workers", registry=self.registry).set_function(
            lambda: sum(j.task is not None for j in self.jobs.values())
        )
        Gauge("postpass_sched_active", "1 while this daemon schedules", registry=self.registry).set_function(
            lambda: float(self.active)
        )

    def tasks(self) -> list[Any]:
        return [self.elect(), self.work()]

    # --- who schedules
    async def elect(self) -> None:
        """The first live one in the order schedules; it steps back as soon as one before it answers."""
        b = self.settings.bounds
        missed: Tally[str] = Tally()
        while True:
            await asyncio.sleep(b.beat * (0.8 + 0.4 * self.environment.chance.random()))
            order = self.configuration_view.duty("sched")
            if self.settings.name not in order:
                self.turn(False, "not in the order")
                continue
            before = order[: order.index(self.settings.name)]
            got = await asyncio.gather(
                *(self.peer_links.call(self.configuration_view.addr(n), "ping", {}, b.beat) for n in before)
            )
            for name, answer in zip(before, got, strict=True):
                alive = isinstance(answer, Ok) and not answer.unwrap()["ready"]
                missed[name] = 0 if alive else missed[name] + 1
                if isinstance(answer, Ok) and answer.unwrap()["leaving"]:
                    missed[name] = 1 << 20  # it has said so: nothing to wait for
            dead = all(missed[n] * b.beat >= b.detect / 2 for n in before)
            if self.active and before and any(missed[n] == 0 for n in before):
                self.turn(False, "one before it is back")
            elif not self.active and dead and not self.leaving:
                self.turn(True, "the first live one")

    def turn(self, on: bool, why: str) -> None:
        if on == self.active:
            return
        self.active = on
        log_events.emit(150 if on else 151, self.settings.name, why=why)
        if on:
            self.term += 1
        else:
            for job in list(self.jobs.values()):
                self.drop(job)
            self.leases.clear()

    def leave(self) -> None:
        """Takes and sends no more; what runs may come to its end."""
        self.leaving = True
        for job in [j for j in self.jobs.values() if j.task is None]:
            self.drop(job)

    async def drain(self) -> None:
        while running := [j.task for j in self.jobs.values() if j.task is not None]:
            await asyncio.wait(running)
        self.turn(False, "it is leaving")

    def drop(self, job: ItemRun) -> None:
        self.jobs.pop(job.key, None)
        if job.task is not None:
            job.task.cancel()

    # --- room
    def room(self, configuration: Configuration, kind: str) -> dict[str, int]:
        """How many items of a class each worker may run now, those running included."""
        c = configuration["classes"][kind]
        pool = configuration["pools"][c["pool"]]
        names = [
            n
            for n in sorted(pool["servers"])
            if not self.worker_load.barred(c["pool"], n, self.settings.bounds.probe * 4)
        ]
        total = sum(pool["servers"][n]["slots"] for n in names)
        own = math.floor(c["share"] * total)
        lent = any(configuration["classes"][x].get("lends") for x in c.get("borrows", [])) and self.borrow
        out = {}
        for i, name in enumerate(names):
            spot = self.worker_load.spot(c["pool"], name)
            slots = pool["servers"][name]["slots"]
            # Live use: what the worker reported, less what this scheduler ran there when it did.
            live = max(0, (spot.seen.running + spot.seen.waiting if spot.seen else 0) - spot.mine_seen)
            peak = max(0.0, spot.peak - spot.mine_seen)
            keep = math.ceil(c.get("reserve", 0.25) * max(live, peak)) if self.reserve else 0
            part = share_of(own, i, len(names))
            room = allowed(slots, part, live, keep, self.worker_load.warm(c["pool"], name) >= 1)
            out[name] = room if lent else min(room, part)
        return out

    def hand_back(self, configuration: Configuration, kind: str, room: dict[str, int]) -> None:
        """Where live calls came back, items are cancelled and put back: the latest due first, and among
        those the ones that got least far."""
        pool = configuration["classes"][kind]["pool"]
        for name, most in room.items():
            running = [j for j in self.jobs.values() if j.server == name and j.kind == kind and j.task is not None]
            spare = len(running) - most
            if spare <= 0:
                began = self.over_since.pop((pool, name), None)
                if began is not None:
                    self.loans.append((began, now() - began))
                    del self.loans[:-500]
                continue
            self.over_since.setdefault((pool, name), now())
            for job in sorted(running, key=lambda j: (-j.due, j.pieces))[:spare]:
                self.items.labels(kind, "put back").inc()
                self.back.inc()
                if job.task is not None:
                    job.task.cancel()
            log_events.emit(152, self.settings.name, server=name, items=spare)

    # --- the rounds
    @property
    def pace(self) -> float:
        """How often workers and owners are asked: four times within the shortest hand-back, and often
        enough for the leases."""
        configuration = self.configuration_view.manifest
        back = (
            [c.get("handback", 1.0) for c in configuration["classes"].values() if c["kind"] == "batch"]
            if configuration
            else []
        )
        return min([self.settings.bounds.poll, *(b / 4 for b in back)])

    async def work(self) -> None:
        polled = 0.0
        while True:
            pause, woken = self.pace * (0.9 + 0.2 * self.environment.chance.random()), True
            try:
                async with asyncio.timeout(max(0.0, polled + pause - now())):
                    await self.kick.wait()
            except TimeoutError:
                polled, woken = now(), False
            self.kick.clear()
            configuration = self.configuration_view.manifest
            if woken and configuration is not None and self.active and not self.leaving:
                await self.between(configuration)
                continue
            if configuration is None or not self.active or not self.configuration_view.fresh:
                continue
            if self.leaving:
                # Keeps the leases of what still runs here.
                await asyncio.gather(*(self.poll(part, {}) for part in {j.part for j in self.jobs.values()}))
                continue
            kinds = [n for n, c in configuration["classes"].items() if c["kind"] == "batch"]
            rooms = {k: self.room(configuration, k) for k in kinds}
            for kind in kinds:
                self.hand_back(configuration, kind, rooms[kind])
            want = {}
            for kind in kinds:
                free = sum(rooms[kind].values()) - sum(
                    j.kind == kind and j.task is not None for j in self.jobs.values()
                )
                ready = sum(j.kind == kind and j.task is None for j in self.jobs.values())
                want[kind] = max(0, free - ready)
            self.ahead.clear()
            want |= self.wants(configuration)
            self.woken.clear()
            await asyncio.gather(*(self.poll(part, want) for part in range(configuration["parts"])))
            if self.active:
                self.dispatch(configuration, rooms)
                self.place_calls(configuration)

    async def poll(self, part: int, want: dict[str, int]) -> None:
        """Renews the lease of a partition and takes items; the lease runs from when it was asked for."""
        b = self.settings.bounds
        asked = now()
        held = [[j.lot, j.item] for j in self.jobs.values() if j.part == part and not j.telling]
        got = await self.ask(
            part, "take", {"sched": self.settings.name, "term": self.term, "room": want, "held": held}, b.poll * 2
        )
        if isinstance(got, Err):
            flaw = got.unwrap_err()
            if flaw.code == CLASH and flaw.hint.isdigit():
                self.term = max(self.term, int(flaw.hint)) + 1
            return
        if not self.active:
            return
        answer = got.unwrap()
        self.leases[part] = asked + b.lease
        for lot in answer["stop"]:
            for job in [j for j in self.jobs.values() if j.lot == lot]:
                self.items.labels(job.kind, "ended").inc()
                self.drop(job)
        for kind, count in answer["ahead"].items():
            self.ahead[kind] += count
        for row in answer["items"]:
            job = ItemRun(
                part,
                row["lot"],
                row["item"],
                row["class"],
                row["due"],
                Prompt(tuple(row.get("shared", [])), row.get("text", "")),
                row["caller"],
                call=row.get("call", {}),
                tries=row.get("tries", 0),
                since=row.get("since", 0),
            )
            self.jobs.setdefault(job.key, job)

    async def ask(self, part: int, verb: str, body: Body, wait: float) -> Any:
        """One try at the owner as known, following one hint; the next round tries again."""
        order = self.configuration_view.order(part)
        name = self.owners.get(part) or (order[0] if order else "")
        got: Any = Err(Fault(verb, self.settings.name, "no owner known"))
        for _ in range(2):
            addr = self.configuration_view.addr(name)
            if not addr:
                self.owners.pop(part, None)
                return got
            got = await self.peer_links.call(addr, verb, body | {"part": part}, wait)
            if isinstance(got, Ok):
                self.owners[part] = name
                return got
            flaw = got.unwrap_err()
            if flaw.code == MOVED and flaw.hint and flaw.hint != name:
                name = flaw.hint
                continue
            if flaw.code != CLASH and order:
                here = order.index(name) if name in order else -1
                self.owners[part] = order[(here + 1) % len(order)]
            return got
        return got

    def dispatch(self, configuration: Configuration, rooms: dict[str, dict[str, int]]) -> None:
        """Nearest due first, and fair between callers among equals."""
        turn: Tally[str] = Tally()
        ready = []
        for job in sorted(
            (j for j in self.jobs.values() if j.task is None and not j.call), key=lambda j: (j.due, j.lot, j.item)
        ):
            turn[job.client] += 1
            ready.append((math.floor(job.due), turn[job.client], job.due, job.item, job))
        for *_, job in sorted(ready, key=lambda r: r[:4]):
            room = rooms.get(job.kind)
            if room is None or now() >= self.leases.get(job.part, 0.0):
                continue
            c = configuration["classes"][job.kind]
            pool = configuration["pools"][c["pool"]]
            load = Tally(j.server for j in self.jobs.values() if j.task is not None)
            ask = Ask(job.kind, job.prompt.shared, len(job.prompt.text), self.settings.zone)
            fond = fond_of(prefix(self.settings.name, c.get("prefix", ""), ask), sorted(room))
            seats = tuple(
                Seat(n, pool["servers"][n]["area"], room[n] - load[n], pool["servers"][n]["slots"], load[n], n == fond)
                for n in room
                if room[n] - load[n] >= 1
            )
            if not seats:
                continue
            job.server = place(self.settings.name, c.get("place", ""), ask, seats)
            job.began, job.pieces = now(), 0
            job.task = asyncio.create_task(self.run(configuration, c["pool"], job))

    # --- items of routes
    async def on_wake(self, body: Body) -> Any:
        self.woken.add(body["part"])
        self.kick.set()
        return Ok({})

    async def between(self, configuration: Configuration) -> None:
        """Between two rounds: asks only the owners that have said they have something, and fills places."""
        parts, self.woken = self.woken, set()
        want = self.wants(configuration)
        if parts and any(want.values()) and self.configuration_view.fresh:
            await asyncio.gather(*(self.poll(part, want) for part in parts))
        if self.active:
            self.place_calls(configuration)

    def free(self, configuration: Configuration, pool: str) -> dict[str, int]:
        """Places for items at each worker of a pool that may be sent to."""
        servers, out = configuration["pools"][pool]["servers"], {}
        for name, server in servers.items():
            if self.shut_out(configuration, pool, name):
                continue
            room = self.rooms.setdefault((pool, name), Room(max(1.0, server["slots"] * PLACES)))
            out[name] = max(0, int(room.most) - room.running) if now() >= room.shut else 0
        return out

    def shut_out(self, configuration: Configuration, pool: str, name: str) -> str:
        server = configuration["pools"][pool]["servers"].get(name) if pool in configuration["pools"] else None
        if server is None:
            return "it left the manifest"
        if server.get("leave") or server.get("cold"):
            return "it leaves" if server.get("leave") else "it is cold"
        return "its area is evacuated" if server["area"] in configuration.get("evacuated", []) else ""

    def wants(self, configuration: Configuration) -> dict[str, int]:
        """How many items of each route to ask for: what the free places take, and half as many again to go on with."""
        for key in [
            k
            for k in self.rooms
            if k[0] not in configuration["pools"] or k[1] not in configuration["pools"][k[0]]["servers"]
        ]:
            if self.rooms[key].running == 0:
                del self.rooms[key]
        if self.workers is None:
            return {}
        out = {}
        for name, route in configuration.get("routes", {}).items():
            if route["kind"] != "lot":
                continue
            pools = [s["pool"] for s in route["split"] if s["weight"] > 0]
            free = sum(sum(self.free(configuration, p).values()) for p in pools)
            whole = sum(x["slots"] for p in pools for x in configuration["pools"][p]["servers"].values()) // 4
            ready = sum(j.task is None for j in self.jobs.values() if j.kind == f"route:{name}")
            out[f"route:{name}"] = max(0, free + whole - ready)
        return out

    def place_calls(self, configuration: Configuration) -> None:
        """Nearest due first; the items of a lot, whose prompts begin alike, go to few workers."""
        ready = [j for j in self.jobs.values() if j.task is None and j.call and j.after <= now()]
        if not ready or self.workers is None:
            return
        free: dict[str, dict[str, int]] = {}
        for job in sorted(ready, key=lambda j: (j.due, j.lot, j.item)):
            route = configuration.get("routes", {}).get(job.kind.removeprefix("route:"))
            if route is None or self.configuration_view.revision < job.since or now() >= self.leases.get(job.part, 0.0):
                continue
            split = [
                (s["pool"], s["weight"])
                for s in route["split"]
                if s["weight"] > 0 and s["pool"] in configuration["pools"]
            ]
            if not split:
                continue
            job.pool = job.pool if job.pool in dict(split) else weighted(job.call["id"], split)
            rooms = free.setdefault(job.pool, self.free(configuration, job.pool))
            names = [n for n, f in rooms.items() if f > 0]
            if not names:
                continue
            key = prefix_of(job.call["headers"], self.dialect) or job.lot
            job.server = max(names, key=lambda n: hashlib.sha256(f"{key}/{n}".encode()).digest())
            rooms[job.server] -= 1
            job.began = now()
            self.rooms[(job.pool, job.server)].running += 1
            job.task = asyncio.create_task(self.run_call(configuration, route, job))

    def call_gate(self, job: ItemRun, pool: str, server: str) -> str:
        """Asked right before the bytes go out, also after a freeze."""
        configuration = self.configuration_view.manifest
        if not self.active or self.jobs.get(job.key) is not job:
            return "the item went back"
        if now() >= self.leases.get(job.part, 0.0):
            return "the lease has passed"
        if now() - self.configuration_view.heard > self.settings.bounds.deaf:
            return "no news for too long"
        if self.configuration_view.revision < job.since:
            return "the configuration known here is older than its lot"
        route = configuration.get("routes", {}).get(job.kind.removeprefix("route:")) if configuration else None
        if configuration is None or route is None or pool not in [s["pool"] for s in route["split"] if s["weight"] > 0]:
            return "the route goes elsewhere now"
        return self.shut_out(configuration, pool, server)

    async def run_call(self, configuration: Configuration, route: Route, job: ItemRun) -> None:
        assert self.workers is not None
        pool, server = job.pool, job.server
        spot = configuration["pools"][pool]["servers"][server]
        room, b = self.rooms[(pool, server)], self.settings.bounds
        end = ""
        try:
            end = await run_item(
                self.workers, self.dialect, dict(spot), server, route["host"], job.call, job.text,
                lambda: self.call_gate(job, pool, server), b.recover * 10,
            )  # fmt: skip
            room.ran(spot["slots"])
        except Stop as bad:
            if bad.fault.unsent or bad.fault.hint == "shed":
                room.turned_away(now(), b.poll)
                job.after = now() + b.poll / 4
            else:
                job.after = now() + b.poll
            end = "unsent" if bad.fault.unsent or bad.fault.hint == "shed" else "cut"
        except asyncio.CancelledError:
            job.task = None
            raise
        finally:
            room.running -= 1
            self.kick.set()
        self.items.labels(job.kind, end).inc()
        if end in ("unsent", "cut"):
            # It stays here, with its text so far, and goes on elsewhere.
            job.task = None
            return
        try:
            text = job.text.text if end == "done" else ""
            status = {"done": "done", "failed": "failed", "never": "abandoned"}[end]
            await self.tell(job, {"status": status, "output": text, "tries": job.tries,
                                  "sum": hashlib.sha256(text.encode()).hexdigest()[:16]})  # fmt: skip
        finally:
            self.jobs.pop(job.key, None)
            job.task = None

    def gate(self, job: ItemRun, pool: str) -> str:
        """Asked right before the bytes go out, also after a freeze."""
        if not self.active or self.jobs.get(job.key) is not job:
            return "the item went back"
        if now() >= self.leases.get(job.part, 0.0):
            return "the lease has passed"
        return self.worker_load.barred(pool, job.server, self.settings.bounds.probe * 4)

    async def run(self, configuration: Configuration, pool: str, job: ItemRun) -> None:
        spot = self.worker_load.spot(pool, job.server)
        spot.mine[job.kind] += 1
        out: list[str] = []
        try:
            url = configuration["pools"][pool]["servers"][job.server]["url"]
            model = spot.seen.weights if spot.seen else ""
            async for text in complete(
                self.session, url, model, job.prompt, lambda: self.gate(job, pool), lambda: None,
                self.settings.bounds.recover, self.configuration_view.limit("pieces"), configuration["pools"][pool].get("offsets", True),
            ):  # fmt: skip
                out.append(text)
                job.pieces += 1
            whole = "".join(out)
            end, body = (
                "done",
                {"status": "done", "output": whole, "sum": hashlib.sha256(whole.encode()).hexdigest()[:16]},
            )
        except Stop as bad:
            lost = bad.fault.unsent or bad.fault.hint == "shed"
            end, body = ("unsent" if lost else "broken"), {"status": "failed", "output": str(bad.fault)}
            if bad.fault.unsent:
                spot.why = spot.why or bad.fault.why
        except asyncio.CancelledError:
            job.task = None
            raise
        finally:
            spot.mine[job.kind] -= 1
        self.items.labels(job.kind, end).inc()
        try:
            if end != "unsent":
                await self.tell(job, body)
        finally:
            # What was not taken is handed out again by the owner, once it is no longer held here.
            self.jobs.pop(job.key, None)
            job.task = None

    async def tell(self, job: ItemRun, body: Body) -> None:
        """Brings a result to the owner, wherever it is now; it may be told again."""
        until = now() + self.settings.bounds.recover
        job.telling = True
        while now() < until:
            got = await self.ask(
                job.part, "done", {"id": job.lot, "item": job.item, **body}, self.settings.bounds.detect
            )
            if isinstance(got, Ok) or (body["status"] != "done" and got.unwrap_err().code != MOVED):
                return
            await asyncio.sleep(self.settings.bounds.poll / 2)

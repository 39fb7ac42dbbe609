"""Stand-in workers of an announced fleet: they beat, take requests by id, stream events, and fail by word.

What a worker answers follows from path and body alone, so that clients and the checker can work it out. The last part
of a path says what is asked for, `SIZE.KEY`: so many events (of a stream) or milliseconds of work (of a plain
request); a key that begins with `bad` can never be done, one that begins with `fails` fails each time.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from sim.http1 import Broken, Garbled, Head, Stream, answer, call, chunk, message

Event = dict[str, Any]


def digest(*parts: bytes) -> str:
    return hashlib.sha256(b"\0".join(parts)).hexdigest()[:12]


def asked_for(path: str) -> tuple[int, str]:
    """Size and key of a path's last part; 4 if it names no size."""
    size, _, key = path.split("?")[0].rsplit("/", 1)[-1].partition(".")
    return (int(size) if size.isdigit() else 4), key


def event_data(path: str, body: bytes, number: int, run: int) -> str:
    """Also tells the run that made it, so that joined runs can be seen."""
    return f"{digest(path.encode(), body)}.{number}.{run}"


def plain_body(path: str, body: bytes) -> bytes:
    mark = digest(path.encode(), body).encode()
    return mark * (1 + int(mark[:2], 16) % 40)


@dataclass(frozen=True)
class Engine:
    """How fast a worker is. Tokens of a prompt that were read before and are still kept aren't read again."""

    tokens_ms: float = 128.0  # prompt tokens read in a millisecond
    pace: float = 0.012  # between events, for one that runs alone
    crowd: float = 0.0006  # more for each other one that runs
    kept: int = 380_000  # tokens

    def read_s(self, tokens: int) -> float:
        return tokens / self.tokens_ms / 1000


@dataclass(frozen=True)
class Service:
    """One entry of the configuration's services, with what the stand-ins need besides."""

    name: str
    model: bool
    slots: int = 8
    queue: int = 24
    max_conns: int = 200
    warmup_s: float = 0.0
    cold_rate: float = 0.0

    def entry(self) -> dict[str, Any]:
        out: dict[str, Any] = {"name": self.name, "health": "/health", "maxConns": self.max_conns, "proto": "h1", "tls": False,
                               "warmupS": self.warmup_s, "coldRateS": self.cold_rate}  # fmt: skip
        if self.model:
            out["engine"] = {"slots": self.slots, "kvCap": Engine.kept, "kvTokBytes": 327680, "netMbps": 1.0e6, "interval": 16,
                             "models": [{"name": "m"}]}  # fmt: skip
        return out


@dataclass(eq=False)
class Waiting:
    urgency: int
    number: int
    gate: asyncio.Future[None]


@dataclass(eq=False)
class Worker:
    """One life of a worker. Invariants: at most `slots` requests run; `id` is never used again; what is turned away
    never runs."""

    service: Service
    addr: str
    zone: str
    log: Callable[[Event], None]
    directory: Callable[[], list[str]]  # addresses that serve control, as the platform lists them
    whose: Callable[[str], str]  # the machine with this address
    chance: random.Random
    ids: Iterator[int]  # of lives and runs, the same for all workers of a world
    beat_s: float = 1.2
    drain_s: float = 2.0
    cold: bool = False  # started during traffic
    engine: Engine = field(default_factory=Engine)
    fault: dict[str, float] = field(default_factory=dict)  # by word, the share of answers that it meets
    id: str = ""

    def __post_init__(self) -> None:
        self.id = f"i-{next(self.ids):04x}{self.chance.randrange(1 << 16):04x}"
        self.active = 0
        self.waiting: list[Waiting] = []
        self.conns = 0
        self.seqno = 0
        self.draining = False
        self.acked_leaving = asyncio.Event()
        self.poke = asyncio.Event()
        self.parts: OrderedDict[str, int] = OrderedDict()  # kept parts of prompts, by the chain up to them
        self.speed = self.chance.choice([1.0, 1.0, 1.3])
        self.open: dict[int, Event] = {}  # runs under way
        self.warm_at = 0.0
        self.reads = 0  # prompt tokens read
        self.spared = 0  # prompt tokens that were kept

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def met(self, word: str) -> bool:
        return word in self.fault and self.chance.random() < self.fault[word]

    def warm_left(self) -> float:
        return max(0.0, self.warm_at - self.now())

    # --- its life
    async def run(self) -> None:
        self.warm_at = self.now() + (self.service.warmup_s if self.cold else 0.0)
        self.log({"ev": "start", "worker": self.id, "service": self.service.name, "zone": self.zone, "addr": self.addr,
                  "slots": self.service.slots, "cold_rate": self.service.cold_rate, "warm_at": self.warm_at})  # fmt: skip
        host, _, port = self.addr.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=8 << 20)
        await self.beats()

    async def beats(self) -> None:
        kept, turn = "", self.chance.randrange(64)
        while True:
            fails, done = 0, False
            while not done:
                every = self.directory()
                addr = kept or every[turn % len(every)]
                done, kept = await self.beat(addr)
                if not done:
                    turn += 1
                    fails += 1
                    if fails % len(every) == 0:
                        await asyncio.sleep(0.2)
            self.poke.clear()
            try:
                await asyncio.wait_for(self.poke.wait(), self.beat_s * (0.9 + 0.2 * self.chance.random()))
            except TimeoutError:
                pass

    async def beat(self, addr: str) -> tuple[bool, str]:
        """One beat; whether it was acknowledged, and where the next may go."""
        self.seqno += 1
        draining = self.draining
        s = self.service
        body = {"service": s.name, "addr": self.addr, "zone": self.zone, "version": "v1", "slots": s.slots,
                "state": "draining" if draining else "up", "warmLeftMs": int(self.warm_left() * 1000), "seqno": self.seqno}  # fmt: skip
        if s.model:
            body |= {"phase": "mixed", "models": [{"name": "m", "version": 1, "loras": []}]}
        told = await self.control("PUT", addr, json.dumps(body).encode())
        if told is None:
            return False, ""
        by, answered = told
        self.log({"ev": "beat", "worker": self.id, "state": body["state"], "via": by})
        if draining:
            self.acked_leaving.set()
        try:
            return True, str(json.loads(answered).get("beatAddr", "")) if answered else ""
        except (ValueError, AttributeError):
            return True, ""

    async def control(self, method: str, addr: str, body: bytes = b"") -> tuple[str, bytes] | None:
        """One call to control, following 307 twice: who acknowledged it, and with what body."""
        path = f"/-/workers/{self.id}"
        began = self.now()
        for _ in range(3):
            try:
                left = 1.0 - (self.now() - began)
                head, data = await call(addr, method, path, {"Content-Type": "application/json"}, body, max(left, 0.01))
            except (Broken, Garbled):
                # A refusal comes at once: the next one is asked after the second has passed, or soon.
                await asyncio.sleep(min(0.1, max(0.0, 1.0 - (self.now() - began))))
                return None
            if head.status == 307 and "location" in head.headers:
                addr, _, rest = head.headers["location"].removeprefix("http://").partition("/")
                path = "/" + rest
                continue
            if 200 <= head.status < 300 and len(data) <= 4096:
                return self.whose(addr.rpartition(":")[0]), data
            await asyncio.sleep(0.1)
            return None
        return None

    async def leave(self) -> None:
        """A planned end: tells that it drains, serves on for a while, tells that it is gone, and ends."""
        self.draining = True
        self.poke.set()
        self.log({"ev": "drains", "worker": self.id})
        try:
            await asyncio.wait_for(self.acked_leaving.wait(), self.drain_s + 4.0)
            await asyncio.sleep(self.drain_s + 0.5)
        except TimeoutError:
            pass
        for addr in self.directory():
            told = await self.control("DELETE", addr)
            if told is not None:
                self.log({"ev": "gone", "worker": self.id, "via": told[0]})
                break
        while self.active:
            await asyncio.sleep(0.05)

    # --- requests
    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = Stream(reader, writer)
        self.conns += 1
        try:
            if self.conns > self.service.max_conns or (
                len(self.waiting) > self.service.queue * 3 // 4 and self.conns > self.service.max_conns // 2
            ):
                stream.reset()
                return
            while await self.one(stream):
                pass
        except (Broken, Garbled, TimeoutError):
            pass
        finally:
            self.conns -= 1
            writer.close()

    async def one(self, stream: Stream) -> bool:
        """One request of a connection; whether another may follow."""
        idle = 0.05 if "dropidle" in self.fault else 30.0
        head = await asyncio.wait_for(stream.head(False), idle)
        body = await stream.body(head, False)
        method, path, _ = head.line
        name = head.headers.get("postpass-attempt-id", "")
        last = self.draining or self.chance.random() < 0.005 or not head.keeps
        echo = {"Postpass-Attempt-Id": name} if name else {}
        echo |= {"Connection": "close"} if last else {"Keep-Alive": "timeout=30"}

        async def reply(status: int, more: dict[str, str], data: bytes = b"") -> bool:
            stream.send(answer(status, echo | more, data))
            await stream.flush()
            return not last

        if path == "/-/report":
            return await reply(200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode())
        if method == "GET" and path == "/health":
            well = not self.draining and not self.met("sick")
            more = {"Postpass-Worker": self.id, "Postpass-Warm-Ms": str(int(self.warm_left() * 1000))}
            self.log({"ev": "probe", "worker": self.id, "from": self.whose(stream.peer)})
            return await reply(200 if well else 503, more)
        seen = {"worker": self.id, "service": self.service.name, "zone": self.zone, "id": name, "from": self.whose(stream.peer),
                "method": method, "path": path, "body": digest(body), "host": head.headers.get("host", ""),
                "last": int(head.headers.get("last-event-id", "0") or 0), "warm_left": self.warm_left(),
                "tenant": head.headers.get("postpass-tenant", ""), "authorization": head.headers.get("authorization", "")}  # fmt: skip

        def reached(status: int) -> None:
            self.log({"ev": "reach", "status": status} | seen)

        want = head.headers.get("postpass-want-worker", "")
        if want and want != self.id:
            reached(421)
            return await reply(421, {"Postpass-Worker": self.id})
        not_run = {"Postpass-Not-Run": "1", "Postpass-Worker": self.id}
        if not name:
            reached(400)
            return await reply(400, not_run)
        if len(self.waiting) >= self.service.queue or self.met("full"):
            reached(503)
            return await reply(503, not_run)
        deadline = self.now() + int(head.headers.get("postpass-deadline-ms", "60000")) / 1000
        urgency = int(head.headers.get("postpass-urgency", "5"))
        entered = self.now()
        why = await self.enter(stream, urgency, deadline)
        seen["queued"] = self.now() - entered
        if why:
            # One whose connection closed in the queue is dropped: not run.
            reached(503 if why == "late" else 0)
            if why == "gone":
                raise Broken("the caller went")
            return await reply(503, not_run)
        number = next(self.ids)
        run = {"worker": self.id, "id": name, "run": number}
        reached(200)
        self.log({"ev": "ran", "last": seen["last"]} | run)
        end: Event = {
            "ev": "ended",
            "status": 0,
            "whole": False,
            "broke": False,
            "seal": "",
            "body": "",
            "upto": 0,
            "size": 0,
        } | run
        self.open[number] = end
        try:
            return await self.work(stream, head, body, echo, deadline, end, last)
        finally:
            del self.open[number]
            self.active -= 1
            self.admit()
            self.log(end | {"gone": self.gone(stream)})

    def die(self) -> None:
        """It crashes or goes dark: what runs here is broken off."""
        for end in self.open.values():
            self.log(end | {"broke": not end["whole"], "gone": False})
        self.log({"ev": "worker_down", "worker": self.id})

    def gone(self, stream: Stream) -> bool:
        return stream.reader.exception() is not None or stream.reader._eof  # type: ignore[attr-defined]

    async def enter(self, stream: Stream, urgency: int, deadline: float) -> str:
        """Waits for a slot: empty once it has one, else why it never will."""
        if self.active < self.service.slots and not self.waiting:
            self.active += 1
            return ""
        mine = Waiting(urgency, next(self.ids), asyncio.get_running_loop().create_future())
        self.waiting.append(mine)
        while not mine.gate.done():
            left = deadline - self.now()
            if left <= 0 or self.gone(stream):
                self.waiting.remove(mine)
                return "late" if left <= 0 else "gone"
            await asyncio.wait([mine.gate], timeout=min(left, 0.05))
        return ""

    def admit(self) -> None:
        while self.waiting and self.active < self.service.slots:
            first = min(self.waiting, key=lambda w: (w.urgency, w.number))
            self.waiting.remove(first)
            self.active += 1
            first.gate.set_result(None)

    def read_prompt(self, text: str) -> int:
        """How many tokens of a prompt have to be read now; from now on its parts are kept."""
        fresh, chain, whole = 0, "", True
        for part in filter(None, text.split(",")):
            name, _, size = part.partition(":")
            chain = f"{chain}/{name}"
            if whole and chain in self.parts:
                self.spared += int(size)
            else:
                whole = False
                fresh += int(size)
            self.parts[chain] = int(size)
            self.parts.move_to_end(chain)
        while sum(self.parts.values()) > self.engine.kept:
            self.parts.popitem(last=False)
        self.reads += fresh
        return fresh

    async def rest(self, stream: Stream, span: float, deadline: float) -> bool:
        """Works for a while; False if its caller goes or the deadline passes meanwhile."""
        until = self.now() + span
        while (left := until - self.now()) > 0:
            if self.gone(stream) or self.now() >= deadline:
                return False
            await asyncio.sleep(min(left, 0.05))
        return not self.gone(stream)

    async def work(
        self, stream: Stream, head: Head, body: bytes, echo: dict[str, str], deadline: float, end: Event, last: bool
    ) -> bool:
        path = head.line[1]
        size, key = asked_for(path)
        seal = f"{digest(self.id.encode(), str(end['run']).encode())}.{end['run']}"
        if self.met("hang"):
            await self.rest(stream, 1e6, deadline + 5)
            raise Broken("hung")

        async def fail(status: int) -> bool:
            end.update(status=status, whole=True)
            stream.send(answer(status, echo | {"Postpass-Worker": self.id}, b"no"))
            await stream.flush()
            return not last

        if self.met("grey") or key.startswith("fails"):
            return await fail(500)
        if key.startswith("bad"):
            return await fail(422)
        if not self.service.model:
            slow = 1.6 if self.warm_left() else 1.0
            if not await self.rest(stream, size / 1000 * self.speed * slow, deadline):
                if not self.gone(stream):
                    return await fail(504)
                raise Broken("the caller went")
            data = plain_body(path, body)
            end.update(status=200, seal=seal, body=digest(data), size=len(data))
            whole = message("HTTP/1.1 200 OK", echo | {"Postpass-Seal": seal}, data, chunked=self.chance.random() < 0.3)
            await self.part(stream, whole, end, [len(whole) // 3, len(whole) - 1])
            end["whole"] = True
            await stream.flush()
            await self.after(stream, whole)
            return not last
        fresh = self.read_prompt(head.headers.get("postpass-prompt-prefix", ""))
        cold = 1.5 if self.warm_left() else 1.0
        if not await self.rest(stream, (self.engine.read_s(fresh) + 0.004) * self.speed * cold, deadline):
            if not self.gone(stream):
                return await fail(504)
            raise Broken("the caller went")
        start = int(head.headers.get("last-event-id", "0") or 0)
        end.update(status=200, seal=seal, body="events", size=size, upto=start)
        stream.send(answer(200, echo | {"Postpass-Seal": seal, "Content-Type": "text/event-stream"}, None))
        made: list[float] = []
        end.update({"from": start, "made": made})
        broken = {
            word: start + 1 + self.chance.randrange(max(size - start, 1)) for word in ("cut", "lost") if self.met(word)
        }
        for number in range(start + 1, size + 1):
            if number > start + 1:
                pace = (self.engine.pace + self.engine.crowd * self.active) * self.speed
                if not await self.rest(stream, pace, deadline):
                    end["broke"] = not self.gone(stream)
                    raise Broken("the caller went, or its time")
            text = f"id: {number}\ndata: {event_data(path, body, number, end['run'])}\n\n".encode()
            if number in broken.values():
                end["broke"] = True
                stream.send(chunk(text)[: len(text) // 2])
                stream.reset()
                raise Broken("cut short on purpose")
            made.append(self.now())
            data = chunk(text)
            if self.chance.random() < 0.1:  # a piece may come in two packets
                stream.send(data[:7])
                await asyncio.sleep(0.0005)
                data = data[7:]
            stream.send(data)
            end["upto"] = number
        end["whole"] = True
        stream.send(b"0\r\n\r\n")
        await stream.flush()
        await self.after(stream, answer(200, echo | {"Postpass-Seal": seal}, b"late and extra"))
        return not last

    async def part(self, stream: Stream, whole: bytes, end: Event, spots: list[int]) -> None:
        """Sends an answer, or, with a fault, part of it, or what is none."""
        for word in ("lost", "cut", "junk"):
            if self.met(word):
                end["broke"] = True
                stream.send(
                    {"lost": b"", "cut": whole[: self.chance.choice(spots)], "junk": b"\x00\x17not an answer\r\n\r\n"}[
                        word
                    ]
                )
                await stream.flush()
                stream.reset() if word == "lost" else stream.close()
                raise Broken("by fault")
        stream.send(whole)

    async def after(self, stream: Stream, whole: bytes) -> None:
        """What may follow a complete answer at a worker in trouble."""
        if self.met("surplus"):
            stream.send(b"surplus bytes that belong to nothing")
        if self.met("extra"):
            if self.chance.random() < 0.5:
                await asyncio.sleep(0.005)
            stream.send(whole)

    def report(self) -> dict[str, Any]:
        return {"phase": "mixed", "models": [{"name": "m", "version": 1, "loras": []}], "busy": False, "seqno": self.seqno,
                "queued": len(self.waiting), "active": self.active, "kvUsed": 0, "kvTotal": self.engine.kept, "handles": 0}  # fmt: skip

"""Simulated workers of an announced fleet: they send heartbeats, serve requests, stream events, and misbehave on command.

A worker's answer is a function of path and body alone, so that clients and the checker can compute it. The last part of a
path says what is requested, `SIZE.KEY`: the number of events (of a stream) or milliseconds of work (of a plain request). A
key that begins with `bad` is refused as impossible (422), one that begins with `fails` fails each time (500).
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
LATEST_REPEAT_S = 1.5  # seconds after an answer within which it may come a second time: several retries of an item
HELD_OPEN_S = 1e6  # seconds for which a connection stays open after an answer that was withheld
EVER = 1e18  # seconds; later than any deadline


def digest(*parts: bytes) -> str:
    """Returns a short hash of some byte strings."""
    return hashlib.sha256(b"\0".join(parts)).hexdigest()[:12]


def requested_work(path: str) -> tuple[int, str]:
    """Returns the size and the key in a path's last part; the size is 4 if it names none."""
    size, _, key = path.split("?")[0].rsplit("/", 1)[-1].partition(".")
    return (int(size) if size.isdigit() else 4), key


def event_data(path: str, body: bytes, number: int, run: int) -> str:
    """Returns the data of one event of a stream.

    It includes the run that made the event, so that the checker sees where a stream was joined from several runs.
    """
    return f"{digest(path.encode(), body)}.{number}.{run}"


def plain_body(path: str, body: bytes) -> bytes:
    """Returns the body of the answer to a plain request."""
    mark = digest(path.encode(), body).encode()
    return mark * (1 + int(mark[:2], 16) % 40)


@dataclass(frozen=True)
class Engine:
    """The speed of a model worker. Prompt tokens that it has read before and still has in its cache aren't read again."""

    tokens_ms: float = 128.0  # prompt tokens read in a millisecond
    pace: float = 0.012  # seconds between two events, for a request that runs alone
    crowd: float = 0.0006  # seconds more for each running request
    kept: int = 380_000  # tokens that the cache holds

    def read_s(self, tokens: int) -> float:
        return tokens / self.tokens_ms / 1000


@dataclass(frozen=True)
class Service:
    """One entry of the configuration's services, and further parameters of its simulated workers."""

    name: str
    model: bool
    slots: int = 8
    queue: int = 24
    max_conns: int = 200
    warmup_s: float = 0.0
    cold_rate: float = 0.0

    def entry(self) -> dict[str, Any]:
        entry: dict[str, Any] = {"name": self.name, "health": "/health", "maxConns": self.max_conns, "proto": "h1", "tls": False,
                               "warmupS": self.warmup_s, "coldRateS": self.cold_rate}  # fmt: skip
        if self.model:
            entry["engine"] = {"slots": self.slots, "kvCap": Engine.kept, "kvTokBytes": 327680, "netMbps": 1.0e6, "interval": 16,
                             "models": [{"name": "m"}]}  # fmt: skip
        return entry


class AnswerWithheld(Broken):
    """A request was run to its end, and nothing of its answer was sent; its connection stays open."""


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits for a slot; `admitted` is done once it has one."""

    urgency: int
    number: int
    admitted: asyncio.Future[None]


@dataclass(eq=False)
class Worker:
    """One instance of a worker, from its start to its end.

    Invariants: at most `slots` requests run at a time; `id` is never used again; a request that is refused never runs.
    """

    service: Service
    addr: str
    zone: str
    log: Callable[[Event], None]
    directory: Callable[[], list[str]]  # addresses of control in the platform's list
    whose: Callable[[str], str]  # returns the machine with an address
    chance: random.Random
    ids: Iterator[int]  # of instances and runs, shared by all workers of a simulation
    heartbeat_s: float = 1.2
    drain_s: float = 2.0
    cold: bool = False  # started during traffic, and so has to warm up
    engine: Engine = field(default_factory=Engine)
    fault: dict[str, float] = field(default_factory=dict)  # by fault, the share of answers that have it
    id: str = ""

    def __post_init__(self) -> None:
        self.id = f"i-{next(self.ids):04x}{self.chance.randrange(1 << 16):04x}"
        self.active = 0
        self.waiting: list[QueuedRequest] = []
        self.conns = 0
        self.seqno = 0
        self.draining = False
        self.draining_acknowledged = asyncio.Event()
        self.heartbeat_now = asyncio.Event()
        self.cached_prefixes: OrderedDict[str, int] = (
            OrderedDict()
        )  # tokens of cached parts of prompts, by the prefix that ends with them
        self.speed = self.chance.choice([1.0, 1.0, 1.3])
        self.running: dict[int, Event] = {}  # event `ended` of each unfinished run, by run
        self.warm_at = 0.0
        self.tokens_read = 0  # prompt tokens that had to be read
        self.tokens_cached = 0  # prompt tokens that were cached

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def fault_strikes(self, word: str) -> bool:
        """Draws whether a fault strikes this time."""
        return word in self.fault and self.chance.random() < self.fault[word]

    def warm_left(self) -> float:
        """Returns the seconds until the worker is warm."""
        return max(0.0, self.warm_at - self.now())

    # --- start, heartbeats and end
    async def run(self) -> None:
        self.warm_at = self.now() + (self.service.warmup_s if self.cold else 0.0)
        self.log({"ev": "start", "worker": self.id, "service": self.service.name, "zone": self.zone, "addr": self.addr,
                  "slots": self.service.slots, "cold_rate": self.service.cold_rate, "warm_at": self.warm_at})  # fmt: skip
        host, _, port = self.addr.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=8 << 20)
        await self.send_heartbeats()

    async def send_heartbeats(self) -> None:
        """Sends heartbeats for ever; after a failure the next address of control is tried, after all of them a pause made."""
        next_addr, next_index = "", self.chance.randrange(64)
        while True:
            failures, acknowledged = 0, False
            while not acknowledged:
                control_addresses = self.directory()
                addr = next_addr or control_addresses[next_index % len(control_addresses)]
                acknowledged, next_addr = await self.send_heartbeat(addr)
                if not acknowledged:
                    next_index += 1
                    failures += 1
                    if failures % len(control_addresses) == 0:
                        await asyncio.sleep(0.2)
            self.heartbeat_now.clear()
            try:
                await asyncio.wait_for(self.heartbeat_now.wait(), self.heartbeat_s * (0.9 + 0.2 * self.chance.random()))
            except TimeoutError:
                pass

    async def send_heartbeat(self, addr: str) -> tuple[bool, str]:
        """Sends one heartbeat; returns whether it was acknowledged, and the address for the next one, if any."""
        self.seqno += 1
        draining = self.draining
        service = self.service
        body = {"service": service.name, "addr": self.addr, "zone": self.zone, "version": "v1", "slots": service.slots,
                "state": "draining" if draining else "up", "warmLeftMs": int(self.warm_left() * 1000), "seqno": self.seqno}  # fmt: skip
        if service.model:
            body |= {"phase": "mixed", "models": [{"name": "m", "version": 1, "loras": []}]}
        response = await self.request_control("PUT", addr, json.dumps(body).encode())
        if response is None:
            return False, ""
        acknowledged_by, response_body = response
        self.log({"ev": "beat", "worker": self.id, "state": body["state"], "via": acknowledged_by})
        if draining:
            self.draining_acknowledged.set()
        try:
            return True, str(json.loads(response_body).get("beatAddr", "")) if response_body else ""
        except (ValueError, AttributeError):
            return True, ""

    async def request_control(self, method: str, addr: str, body: bytes = b"") -> tuple[str, bytes] | None:
        """Sends one request to control, and follows a 307 redirect twice at most.

        Returns the machine that acknowledged it and the body of its answer; None if it failed.
        """
        path = f"/-/workers/{self.id}"
        began = self.now()
        for _ in range(3):
            try:
                time_left = 1.0 - (self.now() - began)
                head, data = await call(
                    addr, method, path, {"Content-Type": "application/json"}, body, max(time_left, 0.01)
                )
            except (Broken, Garbled):
                # A refused connection fails at once: then a pause is made before the next address, within the second that a try has.
                await asyncio.sleep(min(0.1, max(0.0, 1.0 - (self.now() - began))))
                return None
            if head.status == 307 and "location" in head.headers:
                addr, _, path_rest = head.headers["location"].removeprefix("http://").partition("/")
                path = "/" + path_rest
                continue
            if 200 <= head.status < 300 and len(data) <= 4096:
                return self.whose(addr.rpartition(":")[0]), data
            await asyncio.sleep(0.1)
            return None
        return None

    async def leave(self) -> None:
        """Ends as planned: announces that it drains, serves on for a while, announces that it is gone, and finishes its requests."""
        self.draining = True
        self.heartbeat_now.set()
        self.log({"ev": "drains", "worker": self.id})
        try:
            await asyncio.wait_for(self.draining_acknowledged.wait(), self.drain_s + 4.0)
            await asyncio.sleep(self.drain_s + 0.5)
        except TimeoutError:
            pass
        for addr in self.directory():
            acknowledged_by = await self.request_control("DELETE", addr)
            if acknowledged_by is not None:
                self.log({"ev": "gone", "worker": self.id, "via": acknowledged_by[0]})
                break
        while self.active:
            await asyncio.sleep(0.05)

    # --- requests
    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the requests of one connection."""
        stream = Stream(reader, writer)
        self.conns += 1
        try:
            if self.conns > self.service.max_conns or (
                len(self.waiting) > self.service.queue * 3 // 4 and self.conns > self.service.max_conns // 2
            ):
                stream.reset()
                return
            while await self.serve_request(stream):
                pass
        except AnswerWithheld:
            await self.work_for(stream, HELD_OPEN_S, EVER)
        except (Broken, Garbled, TimeoutError):
            pass
        finally:
            self.conns -= 1
            writer.close()

    async def serve_request(self, stream: Stream) -> bool:
        """Serves one request of a connection; returns whether another may follow."""
        idle = 0.05 if "dropidle" in self.fault else 30.0
        head = await asyncio.wait_for(stream.head(False), idle)
        if stream.late_answer:
            self.send_again(stream, stream.late_answer)
            stream.late_answer = b""
        body = await stream.body(head, False)
        method, path, _ = head.line
        attempt_id = head.headers.get("postpass-attempt-id", "")
        last_response = self.draining or self.chance.random() < 0.005 or not head.keeps
        echo = {"Postpass-Attempt-Id": attempt_id} if attempt_id else {}
        echo |= {"Connection": "close"} if last_response else {"Keep-Alive": "timeout=30"}

        async def reply(status: int, extra_headers: dict[str, str], data: bytes = b"") -> bool:
            response = answer(status, echo | extra_headers, data)
            stream.send(response)
            if "Postpass-Not-Run" in extra_headers:
                self.repeat_late(stream, response)
            await stream.flush()
            return not last_response

        if path == "/-/report":
            return await reply(200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode())
        if method == "GET" and path == "/health":
            healthy = not self.draining and not self.fault_strikes("sick")
            extra_headers = {"Postpass-Worker": self.id, "Postpass-Warm-Ms": str(int(self.warm_left() * 1000))}
            self.log({"ev": "probe", "worker": self.id, "from": self.whose(stream.peer)})
            return await reply(200 if healthy else 503, extra_headers)
        request_event = {"worker": self.id, "service": self.service.name, "zone": self.zone, "id": attempt_id, "from": self.whose(stream.peer),
                "method": method, "path": path, "body": digest(body), "host": head.headers.get("host", ""),
                "last": int(head.headers.get("last-event-id", "0") or 0), "warm_left": self.warm_left(),
                "tenant": head.headers.get("postpass-tenant", ""), "authorization": head.headers.get("authorization", "")}  # fmt: skip

        def log_reach(status: int) -> None:
            self.log({"ev": "reach", "status": status} | request_event)

        wanted_worker = head.headers.get("postpass-want-worker", "")
        if wanted_worker and wanted_worker != self.id:
            log_reach(421)
            return await reply(421, {"Postpass-Worker": self.id})
        not_run = {"Postpass-Not-Run": "1", "Postpass-Worker": self.id}
        if not attempt_id:
            log_reach(400)
            return await reply(400, not_run)
        if len(self.waiting) >= self.service.queue or self.fault_strikes("full"):
            log_reach(503)
            return await reply(503, not_run)
        deadline = self.now() + int(head.headers.get("postpass-deadline-ms", "60000")) / 1000
        urgency = int(head.headers.get("postpass-urgency", "5"))
        entered = self.now()
        why = await self.wait_for_slot(stream, urgency, deadline)
        request_event["queued"] = self.now() - entered
        if why:
            # A request whose connection closed while it was queued is dropped and not run.
            log_reach(503 if why == "late" else 0)
            if why == "gone":
                raise Broken("the client disconnected")
            return await reply(503, not_run)
        number = next(self.ids)
        run = {"worker": self.id, "id": attempt_id, "run": number}
        log_reach(200)
        self.log({"ev": "ran", "last": request_event["last"]} | run)
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
        self.running[number] = end
        try:
            return await self.work(stream, head, body, echo, deadline, end, last_response)
        finally:
            del self.running[number]
            self.active -= 1
            self.admit_next()
            self.log(end | {"gone": self.is_disconnected(stream)})

    def die(self) -> None:
        """Records the unfinished runs as broken off, when the worker crashes or goes silent."""
        for end in self.running.values():
            self.log(end | {"broke": not end["whole"], "gone": False})
        self.log({"ev": "worker_down", "worker": self.id})

    def is_disconnected(self, stream: Stream) -> bool:
        """Returns whether the client closed or lost its connection."""
        return stream.reader.exception() is not None or stream.reader._eof  # type: ignore[attr-defined]

    async def wait_for_slot(self, stream: Stream, urgency: int, deadline: float) -> str:
        """Waits for a slot. Returns an empty string once the request has one, otherwise why it gets none: `late` or `gone`."""
        if self.active < self.service.slots and not self.waiting:
            self.active += 1
            return ""
        queued_request = QueuedRequest(urgency, next(self.ids), asyncio.get_running_loop().create_future())
        self.waiting.append(queued_request)
        while not queued_request.admitted.done():
            time_left = deadline - self.now()
            if time_left <= 0 or self.is_disconnected(stream):
                self.waiting.remove(queued_request)
                return "late" if time_left <= 0 else "gone"
            await asyncio.wait([queued_request.admitted], timeout=min(time_left, 0.05))
        return ""

    def admit_next(self) -> None:
        """Gives free slots to queued requests, the lowest urgency number first and then the oldest."""
        while self.waiting and self.active < self.service.slots:
            first = min(self.waiting, key=lambda w: (w.urgency, w.number))
            self.waiting.remove(first)
            self.active += 1
            first.admitted.set_result(None)

    def read_prompt(self, text: str) -> int:
        """Adds the parts of a prompt to the cache, and returns how many of its tokens were not cached and have to be read."""
        unread_tokens, prefix, prefix_cached = 0, "", True
        for prompt_part in filter(None, text.split(",")):
            name, _, size = prompt_part.partition(":")
            prefix = f"{prefix}/{name}"
            if prefix_cached and prefix in self.cached_prefixes:
                self.tokens_cached += int(size)
            else:
                prefix_cached = False
                unread_tokens += int(size)
            self.cached_prefixes[prefix] = int(size)
            self.cached_prefixes.move_to_end(prefix)
        while sum(self.cached_prefixes.values()) > self.engine.kept:
            self.cached_prefixes.popitem(last=False)
        self.tokens_read += unread_tokens
        return unread_tokens

    async def work_for(self, stream: Stream, span: float, deadline: float) -> bool:
        """Works for `span` seconds; returns False if the client disconnects or the deadline passes before that."""
        end_at = self.now() + span
        while (time_left := end_at - self.now()) > 0:
            if self.is_disconnected(stream) or self.now() >= deadline:
                return False
            await asyncio.sleep(min(time_left, 0.05))
        return not self.is_disconnected(stream)

    async def work(
        self,
        stream: Stream,
        head: Head,
        body: bytes,
        echo: dict[str, str],
        deadline: float,
        end: Event,
        last_response: bool,
    ) -> bool:
        """Runs a request and sends its answer; completes the event `end`, and returns whether another request may follow.

        Raises:
            Broken: the answer was broken off, by the client, the deadline or a fault.
        """
        path = head.line[1]
        size, key = requested_work(path)
        seal = f"{digest(self.id.encode(), str(end['run']).encode())}.{end['run']}"
        if self.fault_strikes("hang"):
            await self.stay_silent(stream, end, deadline)

        async def fail(status: int) -> bool:
            end.update(status=status, whole=True)
            response = answer(status, echo | {"Postpass-Worker": self.id}, b"no")
            stream.send(response)
            self.repeat_late(stream, response)
            await stream.flush()
            return not last_response

        if self.fault_strikes("grey") or key.startswith("fails"):
            return await fail(500)
        if key.startswith("bad"):
            return await fail(422)
        if not self.service.model:
            slowdown = 1.6 if self.warm_left() else 1.0
            if not await self.work_for(stream, size / 1000 * self.speed * slowdown, deadline):
                if not self.is_disconnected(stream):
                    return await fail(504)
                raise Broken("the client disconnected")
            data = plain_body(path, body)
            end.update(status=200, seal=seal, body=digest(data), size=len(data))
            response = message(
                "HTTP/1.1 200 OK", echo | {"Postpass-Seal": seal}, data, chunked=self.chance.random() < 0.3
            )
            await self.send_answer(stream, response, end, [len(response) // 3, len(response) - 1])
            end["whole"] = True
            await stream.flush()
            self.repeat_late(stream, response)
            await self.send_surplus(stream, response)
            return not last_response
        unread_tokens = self.read_prompt(head.headers.get("postpass-prompt-prefix", ""))
        reading_slowdown = 1.5 if self.warm_left() else 1.0
        if not await self.work_for(
            stream, (self.engine.read_s(unread_tokens) + 0.004) * self.speed * reading_slowdown, deadline
        ):
            if not self.is_disconnected(stream):
                return await fail(504)
            raise Broken("the client disconnected")
        start = int(head.headers.get("last-event-id", "0") or 0)
        if self.fault_strikes("withheld"):
            await self.withhold_answer(stream, end, size - start, deadline)
        end.update(status=200, seal=seal, body="events", size=size, upto=start)
        stream.within_answer = True
        stream.send(answer(200, echo | {"Postpass-Seal": seal, "Content-Type": "text/event-stream"}, None))
        made: list[float] = []
        end.update({"from": start, "made": made})
        cut_after = {
            word: start + 1 + self.chance.randrange(max(size - start, 1))
            for word in ("cut", "lost")
            if self.fault_strikes(word)
        }
        silent_from = start + 1 + self.chance.randrange(max(size - start, 1)) if self.fault_strikes("mute") else 0
        for number in range(start + 1, size + 1):
            if number == silent_from:
                await self.stay_silent(stream, end, deadline)
            if number > start + 1:
                pace = (self.engine.pace + self.engine.crowd * self.active) * self.speed
                if not await self.work_for(stream, pace, deadline):
                    end["broke"] = not self.is_disconnected(stream)
                    raise Broken("the client disconnected, or its deadline passed")
            event_text = f"id: {number}\ndata: {event_data(path, body, number, end['run'])}\n\n".encode()
            if number in cut_after.values():
                end["broke"] = True
                stream.send(chunk(event_text)[: len(event_text) // 2])
                stream.reset()
                raise Broken("cut short on purpose")
            made.append(self.now())
            data = chunk(event_text)
            if self.chance.random() < 0.1:  # a chunk may arrive in two packets
                stream.send(data[:7])
                await asyncio.sleep(0.0005)
                data = data[7:]
            stream.send(data)
            end["upto"] = number
        end["whole"] = True
        stream.send(b"0\r\n\r\n")
        stream.within_answer = False
        await stream.flush()
        surplus = answer(200, echo | {"Postpass-Seal": seal}, b"late and extra")
        self.repeat_late(stream, surplus)
        await self.send_surplus(stream, surplus)
        return not last_response

    async def stay_silent(self, stream: Stream, end: Event, deadline: float) -> None:
        """Keeps the connection of a run open and sends nothing more, until the client disconnects.

        Raises:
            Broken: always, in the end.
        """
        self.log({"ev": "silent", "worker": self.id, "id": end["id"], "run": end["run"]})
        await self.work_for(stream, 1e6, deadline + 5)
        raise Broken("it fell silent")

    async def withhold_answer(self, stream: Stream, end: Event, events: int, deadline: float) -> None:
        """Runs a stream of so many events to its end, and sends nothing of it.

        Raises:
            AnswerWithheld: always, unless the client disconnects before.
        """
        await self.work_for(stream, events * self.engine.pace * self.speed, deadline)
        end["broke"] = True
        self.log({"ev": "silent", "worker": self.id, "id": end["id"], "run": end["run"]})
        raise AnswerWithheld("the answer is lost")

    async def send_answer(self, stream: Stream, response: bytes, end: Event, cut_positions: list[int]) -> None:
        """Sends an answer, or, if a fault strikes, nothing, a part of it, or bytes that are no answer.

        Raises:
            Broken: a fault struck.
        """
        for word in ("lost", "cut", "junk"):
            if self.fault_strikes(word):
                end["broke"] = True
                stream.send(
                    {
                        "lost": b"",
                        "cut": response[: self.chance.choice(cut_positions)],
                        "junk": b"\x00\x17not an answer\r\n\r\n",
                    }[word]
                )
                await stream.flush()
                stream.reset() if word == "lost" else stream.close()
                raise Broken("an injected fault")
        stream.send(response)

    async def send_surplus(self, stream: Stream, response: bytes) -> None:
        """Sends what a faulty worker may send after a complete answer."""
        if self.fault_strikes("surplus"):
            stream.send(b"surplus bytes that belong to nothing")
        if self.fault_strikes("extra"):
            if self.chance.random() < 0.5:
                await asyncio.sleep(0.005)
            stream.send(response)

    def repeat_late(self, stream: Stream, response: bytes) -> None:
        """Has a faulty worker send an answer a second time: as soon as the next request has come, or at some later time.

        It goes on serving its connection meanwhile.
        """
        if not self.fault_strikes("repeat"):
            return
        if self.chance.random() < 0.5:
            stream.late_answer = response
        else:
            delay = self.chance.uniform(0.0, LATEST_REPEAT_S)
            asyncio.get_running_loop().call_later(delay, self.send_again, stream, response)

    def send_again(self, stream: Stream, response: bytes) -> None:
        """Sends an answer again in the place of the next one, unless the connection ended or an answer is under way."""
        if not stream.within_answer and not stream.writer.is_closing():
            self.log({"ev": "repeated", "worker": self.id, "size": len(response)})
            stream.send(response)

    def report(self) -> dict[str, Any]:
        """Returns the body of the worker's load report."""
        return {"phase": "mixed", "models": [{"name": "m", "version": 1, "loras": []}], "busy": False, "seqno": self.seqno,
                "queued": len(self.waiting), "active": self.active, "kvUsed": 0, "kvTotal": self.engine.kept, "handles": 0}  # fmt: skip

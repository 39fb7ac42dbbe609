"""A byte-level stand-in worker, byte-level callers, and what must hold between them, in virtual time.

The relay, its connections to workers and the server that callers meet are the product's own. A worker answers each
request by a `Play`, which says how its bytes go wrong; a caller sends its requests by a `Connection`. Both write down
what they did in a `Record`, and `judge` holds what the callers got against what the workers ran.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry

from postpass.configuration.configuration import Configuration
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.relay import Relay
from postpass.http_server.limits import ConnectionLimits
from postpass.runtime.environment import Environment, serve_http
from sim.http1 import Broken, Garbled, Head, Stream
from sim.loop import Host, SimLoop, run_sim
from tests.gateway.test_relay import relay_configuration
from tests.support.http_limits import protocol_under

NAMES = Dialect()
PROMISES = (408, 421, 429, 503)
EVENTS = 6  # events of a whole stream
CALLER_PATIENCE = 6.0  # seconds after which a caller reads no further
ARRIVAL_S = 0.002  # seconds in which bytes under way have come
SETTLE = 3.0  # seconds in which what is late may still come
CUT_ENDS = ("reset", "close", "silence", "lost")  # the last is a reset that overtakes the bytes before it


@dataclass(frozen=True)
class Kind:
    """What a worker says, and whether it began the request."""

    status: int
    ran: bool = True
    sealed: bool = False
    not_run: bool = False


KINDS = {
    "success": Kind(200, sealed=True),
    "no content": Kind(204, sealed=True),
    "unsealed": Kind(200),
    "failure": Kind(500, sealed=True),
    "bare failure": Kind(500),
    "never": Kind(422, sealed=True),
    "full": Kind(503, ran=False, not_run=True),
    "too many": Kind(429, ran=False, not_run=True),
    "another": Kind(421, ran=False),
    "late": Kind(408, ran=False, not_run=True),
    "no id": Kind(400, ran=False, not_run=True),
    "unproved full": Kind(503),
    "unproved late": Kind(408),
    "unsealed and not run": Kind(200, not_run=True),
    "sealed and not run": Kind(200, sealed=True, not_run=True),
}
FRAMINGS = (
    "length",
    "chunked",
    "too long",
    "too short",
    "both",
    "two lengths",
    "no length",
    "bad chunk",
    "unended chunk",
)
IDENTITIES = ("own", "swapped", "previous", "missing", "two")
SURPLUS = ("junk", "stale success", "stale refusal", "repeat")
GARBLED_FRAMINGS = ("both", "two lengths", "bad chunk", "unended chunk")


@dataclass(frozen=True)
class Play:
    """How a worker answers one request. Positions in the bytes are taken modulo their number."""

    kind: str = "success"
    framing: str = "length"
    identity: str = "own"
    interim: int = 0  # answers 1xx before it
    splits: tuple[int, ...] = ()  # the bytes leave in pieces, cut at these
    delay: float = 0.0  # seconds before the first byte
    cut: int | None = None  # only so many bytes leave
    cut_end: str = "reset"
    silence_s: float = CALLER_PATIENCE  # seconds of silence if the bytes end in it
    flip: tuple[int, int] | None = None  # a bit of a byte of the head is turned
    surplus: str = ""
    surplus_delay: float = 0.0
    closes: bool = False
    encoded: bool = False

    @property
    def garbled(self) -> bool:
        return self.flip is not None or self.framing in GARBLED_FRAMINGS

    @property
    def ran(self) -> bool:
        """A refusal that is no answer in the protocol proves nothing, so the worker may as well have begun."""
        return KINDS[self.kind].ran or self.framing in GARBLED_FRAMINGS


@dataclass
class Run:
    """One request as it reached one worker."""

    worker: str
    id: str
    play: Play
    ran: bool
    seal: str
    body: bytes  # the body that its answer declares
    raw: bytes  # all bytes of the answer
    sent: float


def surplus_bytes(kind: str) -> bytes:
    if kind == "junk":
        return b"\x00\x17surplus bytes\r\n\r\n"
    status, more = ("200 OK", "X-Seal: stale") if kind == "stale success" else ("503 Full", "X-Not-Run: 1")
    return f"HTTP/1.1 {status}\r\nX-Call-Id: another\r\n{more}\r\nContent-Length: 5\r\n\r\nstale".encode()


@dataclass
class Record:
    """What workers did, by the ids of requests."""

    runs: list[Run] = field(default_factory=list)

    def of(self, request_id: str) -> list[Run]:
        return [r for r in self.runs if r.id == request_id]


def event(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()


def events(request_id: str, last: int = -1) -> bytes:
    return b"".join(event(request_id, n) for n in range(last + 1, EVENTS))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def framed(framing: str, body: bytes) -> tuple[list[str], bytes, bytes]:
    """Header lines, the bytes after the head, and the body that these declare."""
    half = len(body) // 2
    chunks = [chunk(p) for p in (body[:half], body[half:]) if p]
    declared = f"Content-Length: {len(body)}"
    match framing:
        case "chunked":
            return ["Transfer-Encoding: chunked"], b"".join(chunks) + b"0\r\n\r\n", body
        case "too long":
            return [f"Content-Length: {len(body) + 5}"], body, body
        case "too short":
            return [f"Content-Length: {half}"], body, body[:half]
        case "both":
            return [declared, "Transfer-Encoding: chunked"], b"".join(chunks) + b"0\r\n\r\n", body
        case "two lengths":
            return [declared, f"Content-Length: {half}"], body, body
        case "no length":
            return [], body, body
        case "bad chunk":
            return ["Transfer-Encoding: chunked"], b"".join(chunks[:1]) + b"zz\r\n" + b"".join(chunks[1:]), body
        case "unended chunk":
            return ["Transfer-Encoding: chunked"], b"".join(c[:-2] for c in chunks) + b"0\r\n\r\n", body
    return [declared], body, body


class StandInWorker:
    """Answers its n-th request by the n-th play, and soundly once there are no more."""

    def __init__(self, name: str, plays: Sequence[Play], record: Record) -> None:
        self.name, self.plays, self.record = name, plays, record
        self.count = 0
        self.previous = "another"  # id of the request before

    async def serve(self, ip: str) -> None:
        await asyncio.start_server(self.take, ip, 9)

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = Stream(reader, writer)
        try:
            while True:
                head = await stream.head(False)
                await stream.body(head, False)
                if not await self.answer(stream, head):
                    return
        except (Broken, Garbled):
            pass
        finally:
            writer.close()

    async def answer(self, stream: Stream, head: Head) -> bool:
        """Plays one answer; whether another request may follow on the connection."""
        play = self.plays[self.count] if self.count < len(self.plays) else Play()
        if head.headers.get(NAMES.want_worker) not in (None, self.name):
            play = Play("another")
        self.count += 1
        run = self.render(head, play)
        self.previous = run.id
        self.record.runs.append(run)
        await asyncio.sleep(play.delay)
        data = run.raw if play.cut is None else run.raw[: play.cut % len(run.raw)]
        await self.send(stream, data, play.splits)
        if play.cut is not None and play.cut_end == "silence":
            await asyncio.sleep(play.silence_s)
        if play.cut is not None or play.closes or play.framing == "no length":
            if play.cut_end == "lost":
                stream.reset()
                return False
            await asyncio.sleep(ARRIVAL_S)
            if play.cut_end == "reset":
                stream.reset()
            return False
        if play.surplus and play.framing != "too long":
            await asyncio.sleep(play.surplus_delay)
            stream.send(run.raw if play.surplus == "repeat" else surplus_bytes(play.surplus))
        return True

    async def send(self, stream: Stream, data: bytes, splits: tuple[int, ...]) -> None:
        begin = 0
        for end in [*sorted({s % len(data) for s in splits if data}), len(data)]:
            stream.send(data[begin:end])
            begin = end
            if end < len(data):
                await asyncio.sleep(0.001)

    def render(self, head: Head, play: Play) -> Run:
        name, kind = head.headers.get(NAMES.request_id, ""), KINDS[play.kind]
        seal = f"{self.name}.{self.count}"
        body, framing, content_type = f"{name}/{seal};".encode() * 3, play.framing, ""
        is_stream = head.line[1].startswith(("/s/", "/r/"))
        if kind.status == 200 and is_stream:
            body = events(name, int(head.headers.get(NAMES.last_event, "-1")))
            framing, content_type = "chunked" if framing == "length" else framing, "text/event-stream"
        if kind.status == 204:
            framing = "length"
        lines, data, declared = framed(framing, body)
        own, other = f"X-Call-Id: {name}", "X-Call-Id: another"
        identity = {
            "own": [own], "swapped": [other], "previous": [f"X-Call-Id: {self.previous}"], "missing": [],
            "two": [own, other],
        }  # fmt: skip
        lines = [f"HTTP/1.1 {kind.status} Word", *identity[play.identity], *lines]
        lines += [f"X-Seal: {seal}"] if kind.sealed else []
        lines += ["X-Not-Run: 1"] if kind.not_run else []
        lines += ["Content-Encoding: gzip"] if play.encoded else []
        lines += [f"Content-Type: {content_type}"] if content_type else []
        lines += ["Connection: close"] if play.closes else ["Keep-Alive: timeout=30"]
        front_bytes = b"HTTP/1.1 103 Early\r\nX-Call-Id: early\r\n\r\n" * play.interim
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if play.flip is not None:
            spot, bit = play.flip
            turned = bytearray(answer)
            turned[spot % len(turned)] ^= 1 << bit
            answer = bytes(turned)
        if head.line[0] == "HEAD" or kind.status == 204:
            declared = b""
        raw = front_bytes + answer + (b"" if head.line[0] == "HEAD" else data)
        now = asyncio.get_running_loop().time()
        return Run(self.name, name, play, play.ran, seal if kind.sealed else "", declared, raw, now)


@dataclass(frozen=True)
class Ask:
    """One request of a caller."""

    id: str
    path: str
    method: str = "POST"
    body: bytes = b"a request's body"
    chunked: bool = False
    deadline_ms: int = 1500

    @property
    def once(self) -> bool:
        return self.path.startswith(("/o/", "/s/"))

    @property
    def data(self) -> bytes:
        length = "transfer-encoding: chunked" if self.chunked else f"content-length: {len(self.body)}"
        head = (
            f"{self.method} {self.path} HTTP/1.1\r\nhost: shop.example\r\n{NAMES.request_id}: {self.id}\r\n"
            f"{NAMES.deadline_ms}: {self.deadline_ms}\r\n{length}\r\n\r\n"
        ).encode()
        return head + (chunk(self.body) + b"0\r\n\r\n" if self.chunked else self.body)


@dataclass(frozen=True)
class Connection:
    """What a caller sends on one connection: requests in a row, in pieces, perhaps only a part or with junk behind."""

    asks: tuple[Ask, ...]
    edge: int = 0
    splits: tuple[int, ...] = ()
    pause: float = 0.001  # seconds between the pieces
    cut: int | None = None  # only so many bytes leave
    junk: bool = False
    leaves: float | None = None  # seconds after which the caller closes the connection

    @property
    def proper(self) -> bytes:
        """What is sent of the requests."""
        data = b"".join(a.data for a in self.asks)
        return data if self.cut is None else data[: self.cut % len(data)]

    @property
    def data(self) -> bytes:
        return self.proper + b"\x00\x01junk junk\r\n\r\n" if self.junk else self.proper

    @property
    def whole_asks(self) -> int:
        """How many requests are sent to their last byte."""
        ends = itertools.accumulate(len(a.data) for a in self.asks)
        return sum(end <= len(self.proper) for end in ends)


@dataclass
class Answer:
    """One answer as a strict caller reads it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool

    def header(self, name: str) -> str | None:
        return next((v for n, v in self.headers if n == name), None)


class Unreadable(AssertionError):
    """The bytes that a caller got are no answers in the protocol."""


def read_answers(data: bytes, methods: Sequence[str]) -> list[Answer]:
    """All answers in what a connection brought. An answer that was broken off is not `whole`."""
    out: list[Answer] = []
    while data:
        method = methods[len(out)] if len(out) < len(methods) else "GET"
        answer, data = read_answer(data, method)
        if answer is not None:
            out.append(answer)
            if not answer.whole:
                break
    return out


def read_answer(data: bytes, method: str) -> tuple[Answer | None, bytes]:
    """The first answer and what follows it; none for an interim one."""
    head, mark, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    words = first.split(" ", 2)
    if not (b"HTTP/1.1 ".startswith(data[:9]) or words[0] == "HTTP/1.1"):
        raise Unreadable(f"no answer: {data[:80]!r}")
    if not mark:
        return Answer(0, [], b"", False), b""
    headers = [(n.lower(), v.strip()) for n, _, v in (line.partition(":") for line in lines)]
    answer = Answer(int(words[1]), headers, b"", True)
    if answer.status < 200:
        return None, rest
    if method == "HEAD" or answer.status in (204, 304):
        return answer, rest
    if answer.header("transfer-encoding") == "chunked":
        return read_chunks(answer, rest)
    size = int(answer.header("content-length") or "0")
    answer.body, answer.whole = rest[:size], len(rest) >= size
    return answer, rest[size:]


def read_chunks(answer: Answer, rest: bytes) -> tuple[Answer, bytes]:
    while True:
        line, mark, after = rest.partition(b"\r\n")
        if not mark:
            answer.whole = False
            return answer, b""
        size = int(line, 16)
        if len(after) < size + 2:
            answer.body += after[:size]
            answer.whole = False
            return answer, b""
        if after[size : size + 2] != b"\r\n":
            raise Unreadable(f"a chunk without its end: {after[size : size + 20]!r}")
        answer.body += after[:size]
        rest = after[size + 2 :]
        if size == 0:
            return answer, rest


async def call(connection: Connection, ip: str) -> bytes:
    """Sends what the connection says, and returns all that came back."""
    reader, writer = await asyncio.open_connection(ip, 2)
    data, got, begin = connection.data, b"", 0

    async def read() -> None:
        nonlocal got
        while piece := await reader.read(65536):
            got += piece

    reading = asyncio.create_task(read())
    for end in [*sorted({s % len(data) for s in connection.splits if data}), len(data)]:
        writer.write(data[begin:end])
        begin = end
        await asyncio.sleep(connection.pause)
    patience = CALLER_PATIENCE if connection.leaves is None else connection.leaves
    await asyncio.wait([reading], timeout=patience)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    writer.close()
    return got


@dataclass(frozen=True)
class Scene:
    """Two edges, workers with their plays, and callers that connect one after another."""

    plays: tuple[tuple[Play, ...], ...]
    connections: tuple[Connection, ...]
    gap: float = 0.05  # seconds between two callers
    reused_at: float | None = None  # when the first worker's address goes to a worker of another service
    seed: int = 0  # of delays, and of the choice of workers


@dataclass
class Outcome:
    record: Record
    got: list[tuple[Connection, bytes]]
    errors: list[str]


def run_scene(scene: Scene) -> Outcome:
    """Plays a scene to its end, late answers included."""

    async def world(loop: SimLoop) -> Outcome:
        record = Record()
        names = [f"w{i + 1}" for i in range(len(scene.plays))]
        hosts = []
        for i, (name, plays) in enumerate(zip(names, scene.plays, strict=True)):
            hosts.append(loop.add(Host(name, (f"127.0.1.{i + 1}",), "a")))
            worker = StandInWorker(name, plays, record)
            await loop.create_task(worker.serve(f"127.0.1.{i + 1}"), context=hosts[-1].context())
        servers = []
        for number in sorted({c.edge for c in scene.connections}):
            servers.append(await start_edge(loop, f"127.0.0.{1 + number}", tuple(names), scene.seed))
        client = loop.add(Host("c", ("127.0.0.9",), "a"))

        async def reuse(at: float) -> None:
            await asyncio.sleep(at)
            loop.kill(hosts[0])
            there = loop.add(Host("other", hosts[0].ips, "a"))
            await loop.create_task(StandInWorker("other", (), record).serve(hosts[0].ips[0]), context=there.context())

        async def one(number: int, connection: Connection) -> tuple[Connection, bytes]:
            await asyncio.sleep(number * scene.gap)
            return connection, await call(connection, f"127.0.0.{1 + connection.edge}")

        async def clients() -> list[tuple[Connection, bytes]]:
            return await asyncio.gather(*(one(i, c) for i, c in enumerate(scene.connections)))

        changes = [loop.create_task(reuse(scene.reused_at))] if scene.reused_at is not None else []
        got = await loop.create_task(clients(), context=client.context())
        await asyncio.sleep(SETTLE)
        for task in [*servers, *changes]:
            task.cancel()
        return Outcome(record, got, loop.errors)

    return run_sim(world, scene.seed)  # type: ignore[no-any-return]


@functools.cache
def configuration(workers: tuple[str, ...]) -> Configuration:
    return relay_configuration(list(workers))


async def start_edge(loop: SimLoop, ip: str, workers: tuple[str, ...], seed: int) -> asyncio.Task[None]:
    here = loop.add(Host(f"e{ip[-1]}", (ip,), "a"))
    settings = Settings("e", "a", f"{ip}:1", f"{ip}:2", ("127.0.0.1:1",), ("edge",), announce=True)
    configuration_view = ConfigurationView("e")
    assert configuration_view.accept(1, configuration(workers))
    relay = Relay(settings, Environment(chance=random.Random(seed)), configuration_view, NAMES, CollectorRegistry())
    bound = ConnectionLimits(16384, 5.0, 15.0)
    serving = serve_http(relay, ip, 2, asyncio.Event(), 5.0, protocol_under(lambda: bound, 3.0))
    task = loop.create_task(serving, context=here.context())
    await asyncio.sleep(0.01)
    return task


# --- what must hold
def judge(outcome: Outcome) -> list[str]:
    """Each breach in words; empty if all held."""
    breaches = [f"an error in the product: {e}" for e in outcome.errors]
    for connection, got in outcome.got:
        try:
            answers = read_answers(got, [a.method for a in connection.asks])
        except (Unreadable, ValueError) as bad:
            breaches.append(f"unreadable: {bad}")
            continue
        allowed = len(connection.asks) + (connection.junk or connection.cut is not None)
        if len(answers) > allowed:
            breaches.append(f"{len(answers)} answers to {allowed} requests")
        for ask, answer in zip(connection.asks, answers, strict=False):
            breaches += judge_answer(ask, answer, outcome.record)
        for ask, answer in zip(connection.asks[: connection.whole_asks], answers, strict=False):
            if answer.status == 400 and answer.header(NAMES.request_id) is None:
                breaches.append(f"{ask.id}, a proper request, got 400")
    for ask in [a for c, _ in outcome.got for a in c.asks]:
        workers = [r.worker for r in outcome.record.of(ask.id) if r.ran]
        if ask.once and len(workers) > 1:
            breaches.append(f"{ask.id} ran at {workers}")
    return breaches


def judge_answer(ask: Ask, answer: Answer, record: Record) -> list[str]:
    runs, out = record.of(ask.id), []
    told = f"{ask.id} got {answer.status}"
    for other in {v for n, v in answer.headers if n == NAMES.request_id} - {ask.id}:
        out.append(f"{told}: an answer to {other}")
    if answer.status in PROMISES:
        if any(r.ran for r in runs):
            out.append(f"{told} and ran")
        if answer.status != 421 and answer.header("retry-after") is None:
            out.append(f"{told} without Retry-After")
    seal = answer.header(NAMES.seal)
    if seal is None:
        if 200 <= answer.status < 300:
            out.append(f"{told} without a seal")
        return out
    mine = [r for r in runs if r.seal == seal or r.play.flip is not None]
    if not mine:
        return [*out, f"{told} with a seal of none of its runs: {seal}"]
    return out + [why for why in [judge_body(ask, answer, mine[0], runs)] if why]


def judge_body(ask: Ask, answer: Answer, run: Run, runs: list[Run]) -> str:
    """Of an answer with a worker's seal; `run` is the one that gave it."""
    told = f"{ask.id} got {answer.status}"
    if any(r.play.flip is not None for r in runs):
        # The worker garbled its own head: nobody can tell what it meant, but the bytes must be of this request.
        foreign = answer.body and not any(answer.body in r.raw + r.body + events(ask.id) for r in runs)
        return f"{told}: bytes of no run of its own: {answer.body!r}" if foreign else ""
    if answer.status != KINDS[run.play.kind].status:
        return f"{told} where its worker said {run.play.kind}"
    if ask.path.startswith("/r/") and answer.status == 200:
        # Later runs go on where the first was cut, and each says the same.
        if not events(ask.id).startswith(answer.body):
            return f"{told}: not its events: {answer.body!r}"
        whole = any(r.body.endswith(answer.body[-20:]) for r in runs)
        return f"{told}: cut, but looks whole: {answer.body!r}" if answer.whole and not whole else ""
    if not run.body.startswith(answer.body):
        return f"{told}: not its worker's body: {answer.body!r}"
    if answer.whole and (answer.body != run.body or cut_short(ask, run)):
        return f"{told}: cut, but looks whole: {answer.body!r}"
    return ""


def cut_short(ask: Ask, run: Run) -> bool:
    """Did the worker's answer end before its last byte?"""
    if ask.method == "HEAD" or run.play.kind == "no content":
        return False
    unwhole = run.play.framing in ("too long", "no length", *GARBLED_FRAMINGS)
    if run.play.framing == "too short":
        return False
    return unwhole or run.play.cut is not None

"""Stand-ins for the platform's operator, clients and workers, as the users' pages describe them."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from fleet import BEAT_MS, Record

SILENCE = 1.0  # seconds after which a caller goes on to another daemon


@dataclass
class Answer:
    """An answer over HTTP."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line of a message, and its headers by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return head[0], {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """The body that belongs to a head."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(
    addr: str, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b"", limit: float = SILENCE
) -> Answer:
    """One call on a new connection. Raises OSError, EOFError or TimeoutError if there is no whole answer."""
    host, _, port = addr.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = {"Host": host, "Content-Length": str(len(body))} | (headers or {})
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, found = await read_head(reader)
            return Answer(int(first.split()[1]), found, await read_body(reader, found))
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders to any daemon that serves control, and on to another one without a clear answer."""

    def __init__(self, daemons: list[str], record: Record) -> None:
        self.daemons, self.record = daemons, record

    async def order(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        first: str = "",
        limit: float = 4.0,
    ) -> Answer | None:
        """The clear answer to an order, which goes to `first` and then to others; None if none came in `limit` seconds."""
        data = b"" if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json"} | (headers or {}) if data else headers
        others = [d for d in self.daemons if d != first]
        random.shuffle(others)
        until, pause = time.monotonic() + limit, 0.05
        turn = [first, *others] if first else others
        while time.monotonic() < until:
            addr = turn.pop(0)
            turn.append(addr)
            self.record(f"operator sends {method} {path} to {addr}")
            try:
                got = await call(addr, method, path, sent, data)
            except (OSError, EOFError, TimeoutError) as error:
                self.record(f"operator has no answer from {addr}: {type(error).__name__}")
            else:
                self.record(f"operator is answered {got.status} by {addr} to {method} {path}")
                if got.status < 500 and got.status not in (408, 429):
                    return got
            await asyncio.sleep(pause)
            pause = min(pause * 2, 0.5)
        return None


@dataclass
class Arrival:
    """A request that a worker took."""

    at: float
    worker: str
    zone: str
    request: str
    path: str


@dataclass
class Worker:
    """One worker: beats at control, answers requests. `run` gives the pieces of an answer's stream, or None for a plain
    answer of 800 bytes."""

    name: str
    service: str
    zone: str
    addr: str
    control: list[str]
    record: Record
    slots: int = 24
    model: bool = False
    pieces: int = 6
    piece_seconds: float = 0.02
    state: str = "up"
    number: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    server: asyncio.Server | None = None
    last_busy: float = 0.0  # when it last worked on a request

    async def start(self) -> None:
        """Listens at the worker's address."""
        host, _, port = self.addr.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def beat(self) -> None:
        """Tells control of itself until cancelled."""
        while True:
            for addr in random.sample(self.control, len(self.control)):
                self.number += 1
                body: dict[str, Any] = {
                    "service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1", "slots": self.slots,
                    "state": self.state, "warmLeftMs": 0, "seqno": self.number,
                }  # fmt: skip
                if self.model:
                    body |= {"phase": "mixed", "models": [{"name": "m", "version": 1, "loras": []}]}
                head = {"Content-Type": "application/json"}
                try:
                    got = await call(addr, "PUT", f"/-/workers/{self.name}", head, json.dumps(body).encode())
                except (OSError, EOFError, TimeoutError):
                    continue
                if got.status < 300:
                    break
            await asyncio.sleep(BEAT_MS / 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split()
                await self._answer(method, path, headers, body, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request = headers.get("postpass-attempt-id", "")
        echo = f"Postpass-Attempt-Id: {request}\r\n" if request else ""
        if path == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nPostpass-Worker: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        if headers.get("postpass-want-worker", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 Other\r\n{echo}Postpass-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.arrivals.append(Arrival(time.monotonic(), self.name, self.zone, request, path))
        self.record(f"{self.name} in {self.zone} runs {request}")
        seal = f"{echo}Postpass-Seal: 1.{request}\r\n"
        self.last_busy = time.monotonic()
        if not self.model:
            await asyncio.sleep(0.02)
            writer.write(f"HTTP/1.1 200 OK\r\n{seal}Content-Length: 800\r\n\r\n".encode() + b"x" * 800)
            return
        begin = int(headers.get("last-event-id", "-1")) + 1
        head = f"HTTP/1.1 200 OK\r\n{seal}Postpass-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(begin, self.pieces):
            await asyncio.sleep(self.piece_seconds)
            self.last_busy = time.monotonic()
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def text(self, request: str) -> str:
        """The whole output of a request, as a lot's result gives it."""
        return "\n".join(f"{request} {number}" for number in range(self.pieces))


async def until(check: Callable[[], Awaitable[bool]], limit: float, pause: float = 0.1) -> bool:
    """True once `check` holds; False after `limit` seconds."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await check():
            return True
        await asyncio.sleep(pause)
    return False


async def is_ready(addr: str) -> bool:
    """Does a daemon say that it is ready?"""
    try:
        return (await call(addr, "GET", "/-/ready")).status == 200
    except (OSError, EOFError, TimeoutError):
        return False

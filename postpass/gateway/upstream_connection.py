"""HTTP/1.1 towards workers, with proofs: whether a byte of a request left, and whether the whole answer came."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field

import httptools

from postpass.configuration.settings import split
from postpass.runtime.errors import BROKE, CROWD, SLOW, Fault, Stop

Headers = list[tuple[bytes, bytes]]

HEAD_BYTES = 64 << 10  # an answer with a longer head is broken
HELD_BYTES = 128 << 10  # of an answer's body, until the reader has caught up
IDLE = 0.5  # seconds that a connection is kept if the worker doesn't say
MARGIN = 0.25  # of what the worker says
CONNECT_TIMES, CONNECT_LEAST = 8, 0.04  # of the usual time of a connection, and seconds: until one is given up
BODILESS = (204, 304)  # statuses of answers that have no body, whatever length they tell
GARBLED = "garbled"  # hint of a fault: the bytes that came are no answer in the protocol
TIMEOUT = re.compile(rb"timeout\s*=\s*\"?(\d+)")


def carries(headers: Headers, name: bytes, value: bytes) -> bool:
    """Is this the one value of a header? An empty one is as good as none, and two that differ are no value."""
    return {v for n, v in headers if n == name and v} == ({value} if value else set())


def tells_its_end(headers: Headers) -> bool:
    """Does a head say where its body ends, by a length or by chunks?"""
    return any(n == b"content-length" or (n == b"transfer-encoding" and b"chunked" in v.lower()) for n, v in headers)


class Exchange:
    """One request's answer. Invariants: the head is whole; `whole` only if the last byte of the body came, and then
    the connection is no longer ours; after a fault nothing more comes but what was held before it."""

    __slots__ = ("addr", "status", "headers", "whole", "fault", "reused", "_link", "_held", "_size", "_waiter")

    def __init__(self, addr: str, link: Link, reused: bool) -> None:
        self.addr = addr
        self.status = 0
        self.headers: Headers = []
        self.whole = False
        self.fault: Fault | None = None
        self.reused = reused
        self._link: Link | None = link
        self._held: deque[bytes] = deque()
        self._size = 0
        self._waiter: asyncio.Future[None] | None = None

    def header(self, name: bytes) -> bytes | None:
        return next((v for n, v in self.headers if n == name), None)

    @property
    def held(self) -> bool:
        """Has something come that wasn't taken yet?"""
        return bool(self._held)

    async def next_chunk(self) -> bytes:
        """What has come since the last time, in one piece; empty once the whole body came; raises Stop on a cut."""
        while not self._held:
            if self.whole:
                return b""
            if self.fault is not None:
                raise Stop(self.fault)
            await self._wait()
        out = self._held.popleft() if len(self._held) == 1 else b"".join(self._held)
        self._held.clear()
        if self._size > HELD_BYTES and self._link is not None:
            self._link.resume()
        self._size = 0
        return out

    async def chunks(self) -> AsyncIterator[bytes]:
        while data := await self.next_chunk():
            yield data

    async def read(self, most: int = 64 << 20) -> bytes:
        out: list[bytes] = []
        size = 0
        while data := await self.next_chunk():
            out.append(data)
            size += len(data)
            if size > most:
                self.close()
                raise Stop(Fault("body", self.addr, f"more than {most} bytes"))
        return b"".join(out)

    def close(self) -> None:
        """Breaks off what hasn't ended; nothing to do after a whole answer."""
        if self._link is not None:
            self._link.fail("close", "broken off here")

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _take(self, data: bytes) -> None:
        self._held.append(data)
        self._size += len(data)
        if self._size > HELD_BYTES and self._link is not None:
            self._link.pause()

    def _end(self, fault: Fault | None) -> None:
        self._link = None
        self.whole = fault is None
        self.fault = fault
        self._wake()


class Link(asyncio.Protocol):
    """One connection. Invariants: at most one exchange; bytes that come while there is none close it."""

    def __init__(self, addr: str, links: WorkerLinks) -> None:
        self.addr, self.links = addr, links
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.idle = IDLE
        self.until = 0.0  # usable while idle
        self.heard = 0.0  # when something last came, or the request went out
        self.patience = 0.0  # seconds of silence from which the worker is knocked at; 0: its answer is waited for
        self.bodiless = False
        self.head = 0
        self.phase = ""  # "" no answer yet, "head", "body", "end"
        self.keep = False
        self.surplus = False
        self.expect: tuple[bytes, bytes] | None = None
        self.foreign = False  # the head that came is of another request
        self.unsized = False  # the head that came doesn't say where its body ends

    # --- of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune(sock, self.links.silence)

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.drop()
            return
        self.heard = self.links.latest = asyncio.get_running_loop().time()
        if self.phase in ("", "head"):
            self.head += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as bad:
            if self.phase != "end":
                self.fail(self.step(), f"not an answer: {bad}", hint=GARBLED)
                return
            self.surplus = True
        if self.foreign:
            self.fail("head", "an answer to another request")
        elif self.unsized:
            self.fail("head", "an answer without a length", hint=GARBLED)
        elif self.phase == "end":
            self.finish()
        elif self.phase != "body" and self.head > HEAD_BYTES:
            self.fail("head", f"more than {HEAD_BYTES} bytes")
        elif self.phase == "body":
            self.exchange._wake()

    def eof_received(self) -> bool:
        self.fail(self.step(), "the worker closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(self.step(), f"the connection was lost: {exc}" if exc else "the connection was lost")

    # --- of the parser
    def on_message_begin(self) -> None:
        if self.phase == "end":
            self.surplus = True
        else:
            self.phase = "head"

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.phase == "head" and self.exchange is not None:
            self.exchange.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        ex = self.exchange
        if self.phase != "head" or ex is None:
            return
        status = self.parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            ex.headers.clear()
            self.phase = ""
            return
        ex.status = status
        self.keep = self.parser.should_keep_alive()
        for name, value in ex.headers:
            if name == b"keep-alive" and (found := TIMEOUT.search(value)):
                self.idle = int(found[1]) * (1 - MARGIN)
        if self.expect is not None and not carries(ex.headers, *self.expect):
            # Ours may still come on this connection, which is not used again.
            self.foreign = True
            ex.status = 0
            return
        if not (self.bodiless or status in BODILESS or tells_its_end(ex.headers)):
            # What follows would run on into whatever else comes, until the worker closes.
            self.unsized = True
            ex.status = 0
            return
        self.phase = "body"
        if self.bodiless and status not in BODILESS:
            # The parser waits for a body that never comes.
            self.phase, self.keep = "end", False

    def on_body(self, data: bytes) -> None:
        if self.phase == "body" and self.exchange is not None:
            self.exchange._take(data)

    def on_message_complete(self) -> None:
        if self.phase == "body":
            self.phase = "end"

    # --- of the exchange
    def step(self) -> str:
        return "body" if self.phase == "body" else "head"

    def start(
        self,
        exchange: Exchange,
        data: Sequence[bytes],
        bodiless: bool,
        limit: float,
        expect: tuple[bytes, bytes] | None,
        patience: float,
    ) -> None:
        assert self.transport is not None
        self.exchange, self.bodiless, self.expect = exchange, bodiless, expect
        self.phase, self.head, self.keep, self.surplus = "", 0, False, False
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(limit, self.late)
        self.heard, self.patience = loop.time(), patience
        if patience:
            self.links.watch(patience)
        self.transport.write(b"".join(data))

    def late(self) -> None:
        self.fail(self.step(), "no whole answer in time", SLOW)

    def finish(self) -> None:
        """The whole answer came: the connection is kept if nothing speaks against it."""
        ex, self.exchange = self.exchange, None
        assert ex is not None
        self.untime()
        if self.keep and not self.surplus and self.usable() and self.transport.get_write_buffer_size() == 0:  # type: ignore[union-attr]
            self.resume()
            self.links.put(self)
        else:
            self.drop()
        ex._end(None)

    def fail(self, step: str, why: str, code: int = BROKE, hint: str = "") -> None:
        ex, self.exchange = self.exchange, None
        self.untime()
        self.drop()
        if ex is not None:
            ex._end(Fault(step, self.addr, why, code, hint))

    def untime(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def drop(self) -> None:
        self.links.forget(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def pause(self) -> None:
        if self.usable():
            self.transport.pause_reading()  # type: ignore[union-attr]

    def resume(self) -> None:
        if self.usable():
            self.transport.resume_reading()  # type: ignore[union-attr]


def tune(sock: socket.socket, silence: float) -> None:
    """A dead or cut-off peer is noticed after about `silence` seconds, also while nothing is written."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    every = max(1, round(silence / 3))
    for name, value in (
        ("TCP_USER_TIMEOUT", int(silence * 1000)),
        ("TCP_KEEPIDLE", every),
        ("TCP_KEEPINTVL", every),
        ("TCP_KEEPCNT", 2),
    ):
        if hasattr(socket, name):
            try:
                sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
            except OSError:
                pass


@dataclass(eq=False)
class WorkerLinks:
    """Connections to workers by address. Invariants: `kept` are idle, the last used last; `opened` counts every
    connection of an address that is open or being opened, kept ones too."""

    connect: float = 0.5  # seconds until a connection attempt is given up
    silence: float = 3.0  # seconds until a peer that doesn't acknowledge is believed gone
    kept: dict[str, list[Link]] = field(default_factory=dict)
    opened: dict[str, set[Link]] = field(default_factory=dict)
    made: int = 0  # connections ever opened
    usual: float = 0.0  # seconds that a connection takes: the longest lately; 0 before the first
    latest: float = 0.0  # when something last came from any worker
    watching: asyncio.TimerHandle | None = None
    knocks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    knocked: dict[str, float] = field(default_factory=dict)  # when a knock was last answered
    sent: int = 0  # requests ever written

    def put(self, link: Link) -> None:
        now = asyncio.get_running_loop().time()
        link.until = now + link.idle
        kept = self.kept.setdefault(link.addr, [])
        while kept and kept[0].until < now:
            kept[0].drop()
        kept.append(link)

    def forget(self, link: Link) -> None:
        for table in (self.kept, self.opened):
            links = table.get(link.addr)
            if links is not None and link in links:
                links.remove(link)
                if not links:
                    del table[link.addr]

    def pick(self, addr: str) -> Link | None:
        """The kept connection that was used last, if there is one that the worker surely still holds open."""
        now = asyncio.get_running_loop().time()
        while kept := self.kept.get(addr):
            link = kept.pop()
            if not kept:
                del self.kept[addr]
            if link.until >= now and link.usable():
                return link
            link.drop()
        return None

    def busy(self, addr: str) -> int:
        return len(self.opened.get(addr, ())) - len(self.kept.get(addr, ()))

    async def open(self, addr: str, limit: float) -> Link:
        host, port = split(addr)
        link = Link(addr, self)
        self.opened.setdefault(addr, set()).add(link)
        self.made += 1
        loop = asyncio.get_running_loop()
        began = loop.time()
        most = min(self.connect, max(CONNECT_LEAST, self.usual * CONNECT_TIMES)) if self.usual else self.connect
        try:
            async with asyncio.timeout(min(limit, most)):
                await loop.create_connection(lambda: link, host, port)
            self.usual = max(loop.time() - began, self.usual * 0.9)
        except (OSError, TimeoutError) as bad:
            link.drop()
            slow = isinstance(bad, TimeoutError)
            raise Stop(Fault("connect", addr, str(bad) or "no answer", SLOW if slow else BROKE, unsent=True)) from bad
        except BaseException:
            link.drop()
            raise
        return link

    async def request(
        self,
        addr: str,
        method: str,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        *,
        gate: Callable[[], str],
        limit: float,
        most: int = 0,
        expect: tuple[bytes, bytes] | None = None,
        patience: float = 0.0,
    ) -> Exchange:
        """Sends one request and returns when the head of its answer came. `gate` is asked right before the first byte
        is written; what it says, if anything, is why not. `limit`: seconds for the whole exchange, body included.
        `most`: connections that this process may have to that address; 0: no bound. `expect`: a header that the answer
        must carry with just this value, or lack if it is empty, or else it belongs to another request. `patience`: for
        an exchange that may be given up and done elsewhere, how long nothing may come before the worker is knocked at.
        Raises Stop; its fault is `unsent` only if it is proved that no byte left."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit
        link = self.pick(addr)
        reused = link is not None
        if link is None:
            if most and len(self.opened.get(addr, ())) >= most:
                raise Stop(Fault("connect", addr, f"{most} connections are open", CROWD, unsent=True))
            link = await self.open(addr, limit)
        why = gate()
        if why:
            if link.usable():
                self.put(link)
            raise Stop(Fault("gate", addr, why, CROWD, unsent=True))
        left = until - loop.time()
        if not link.usable() or left <= 0:
            link.drop()
            raise Stop(Fault("connect", addr, "closed before a byte was written", unsent=True))
        head = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
        for name, value in headers:
            head += (name, b": ", value, b"\r\n")
        head += (b"\r\n", body)
        ex = Exchange(addr, link, reused)
        self.sent += 1
        link.start(ex, head, method == "HEAD", left, expect, patience)
        try:
            while not ex.whole and ex.fault is None and link.phase != "body":
                await ex._wait()
        except BaseException:
            ex.close()
            raise
        if ex.fault is not None and not ex.status:
            raise Stop(ex.fault)
        return ex

    # --- workers that say nothing
    def watch(self, patience: float) -> None:
        if self.watching is None:
            self.watching = asyncio.get_running_loop().call_later(patience / 2, self.look)

    def look(self) -> None:
        """Knocks where an exchange that may be done elsewhere has been silent for its patience."""
        self.watching = None
        loop = asyncio.get_running_loop()
        at, least = loop.time(), 0.0
        for addr, links in self.opened.items():
            for link in links:
                if link.exchange is None or not link.patience:
                    continue
                least = min(least or link.patience, link.patience)
                silent = max(link.heard, self.knocked.get(addr, 0.0))
                if at - silent >= link.patience and addr not in self.knocks:
                    self.knocks[addr] = loop.create_task(self.knock(addr, link.heard))
        self.knocked = {a: t for a, t in self.knocked.items() if a in self.opened}
        if least:
            self.watch(least)

    async def knock(self, addr: str, since: float) -> None:
        """Silence may be work, so a new connection is asked for: a worker that is there takes or resets it. Where not
        even that comes though others were heard, what may be done elsewhere is given up here."""
        loop = asyncio.get_running_loop()
        try:
            link = await self.open(addr, self.connect)
            link.until = 0.0
            self.put(link)
            self.knocked[addr] = loop.time()
        except Stop as bad:
            if bad.fault.code != SLOW or self.latest <= since:
                # A reset tells that somebody is there; and if nobody at all was heard, this side may be cut off.
                self.knocked[addr] = loop.time()
                return
            for link in list(self.opened.get(addr, ())):
                if link.exchange is None:
                    link.drop()
                elif link.patience and link.heard <= since:
                    link.fail(link.step(), "nothing came, and no connection was taken", SLOW)
        finally:
            del self.knocks[addr]

    def close(self) -> None:
        if self.watching is not None:
            self.watching.cancel()
        for task in self.knocks.values():
            task.cancel()
        for links in list(self.opened.values()):
            for link in list(links):
                link.fail("close", "this process ends")

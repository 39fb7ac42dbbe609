"""Links between postpass's own processes: thrift's framed transport and binary protocol, by library.

The library's asyncio client takes one call at a time and bounds no frame, so the calls are told apart
by sequence id here and each frame's length is checked before it is read.
"""

from __future__ import annotations

import asyncio
import json
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import thriftpy2
from result import Err, Ok, Result
from thriftpy2.contrib.aio.transport.framed import TAsyncFramedTransport
from thriftpy2.protocol import TBinaryProtocol
from thriftpy2.protocol.binary import TBinaryProtocolFactory
from thriftpy2.thrift import TApplicationException, TMessageType
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.utils import deserialize, serialize

from postpass.configuration.settings import split
from postpass.runtime import log_events
from postpass.runtime.errors import BROKE, SLOW, Fault
from postpass.runtime.ordered_set import OrderedSet

IDL: Any = thriftpy2.load(str(Path(__file__).parent / "idl" / "peer.thrift"), module_name="postpass_peer_thrift")
PACKET = 8 << 10
FRAME = 8 << 20  # the longest frame that is taken
# Wire numbers that this release speaks. One grows when a message changes in a way that the other side can't skip; then
# the release speaks both until every daemon does.
SPEAKS = (1, 1)
RELEASE = "0.2.0"
_FACTORY = TBinaryProtocolFactory()

Body = dict[str, Any]
PeerResponse = Result[Body, Fault]
Handler = Callable[[Any], Awaitable[Any]]


def pack(thing: Any) -> bytes:
    return bytes(serialize(thing, _FACTORY))


def unpack(kind: Any, data: bytes) -> Any:
    return deserialize(kind(), data, _FACTORY)


class _Stream:
    """What the library's transports ask of a socket, over asyncio's streams."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self, size: int) -> bytes:
        data = await self.reader.read(size)
        if not data:
            raise EOFError("the peer closed")
        return data

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def flush(self) -> None:
        await self.writer.drain()

    def close(self) -> None:
        self.writer.close()


class Frames(TAsyncFramedTransport):  # type: ignore[misc]
    """The library's framed transport with a bound on what a peer may announce."""

    def __init__(self, stream: _Stream) -> None:
        super().__init__(stream)
        self.stream = stream

    async def next(self) -> bytes:
        head = await self.stream.reader.readexactly(4)
        (size,) = struct.unpack("!i", head)
        if not 0 < size <= FRAME:
            raise ValueError(f"a frame of {size} bytes; 1 to {FRAME} are taken")
        return await self.stream.reader.readexactly(size)


def _message(name: str, kind: int, seq: int, thing: Any) -> bytes:
    buf = TMemoryBuffer()
    prot = TBinaryProtocol(buf)
    prot.write_message_begin(name, kind, seq)
    prot.write_struct(thing)
    prot.write_message_end()
    return bytes(buf.getvalue())


def _oneway(name: str) -> bool:
    return bool(getattr(IDL.Peer, name + "_result").oneway)


@dataclass(eq=False)
class Link:
    """One connection towards a peer. Invariant: what is written leaves in the order of the calls."""

    addr: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    seq: int = 0
    waits: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    closed: bool = False
    pump: asyncio.Task[None] | None = None
    heard: float = -1.0

    @classmethod
    async def open(cls, addr: str, wait: float, speaks: tuple[int, int] = SPEAKS) -> Result[Link, Fault]:
        host, port = split(addr)
        try:
            reader, writer = await _connect(host, port, wait)
        except (TimeoutError, OSError) as bad:
            # Only a refusal proves that no process listens there.
            hint = "refused" if isinstance(bad, ConnectionRefusedError) else ""
            return Err(Fault("connect", addr, str(bad) or "no answer in time", hint=hint, unsent=True))
        link = cls(addr, reader, writer)
        link.pump = asyncio.create_task(link._read())
        got = await link.hi(wait, speaks)
        return Ok(link) if got is None else Err(got)

    async def hi(self, wait: float, speaks: tuple[int, int]) -> Fault | None:
        """Tells which wire numbers this side speaks; None if the other speaks one of them."""
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.waits[self.put("hi", IDL.Hi(low=speaks[0], high=speaks[1], release=RELEASE))] = future
        try:
            got = await asyncio.wait_for(future, wait)
        except TimeoutError:
            self.close("no word on its wire numbers in time")
            return Fault("hi", self.addr, "no answer in time", unsent=True)
        if isinstance(got, Fault):
            return Fault("hi", self.addr, f"{got.why} before it told its wire numbers", unsent=True)
        bad = getattr(got, "fault", None)
        if bad is None and getattr(got, "success", None) is not None:
            return None
        why = bad.why if bad is not None else str(getattr(got, "message", "it knows no wire numbers"))
        log_events.emit(106, self.addr, step="hi", why=why)
        self.close(why)
        return Fault("hi", self.addr, why, unsent=True)

    async def _read(self) -> None:
        why = "the peer closed"
        try:
            frames = Frames(_Stream(self.reader, self.writer))
            while True:
                data = await frames.next()
                self.heard = asyncio.get_running_loop().time()
                prot = TBinaryProtocol(TMemoryBuffer(data))
                name, kind, seq = prot.read_message_begin()
                wait = self.waits.pop(seq, None)
                if kind == TMessageType.EXCEPTION:
                    thing = TApplicationException()
                else:
                    thing = getattr(IDL.Peer, name + "_result")()
                prot.read_struct(thing)
                if wait is not None and not wait.done():
                    wait.set_result(thing)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except Exception as bad:  # foreign bytes: the link is closed, the daemon goes on
            why = f"unreadable answer: {bad!r:.80}"
            log_events.emit(102, self.addr, step="read answer", why=why)
        self.close(why)

    def close(self, why: str = "closed here") -> None:
        if not self.closed:
            self.closed = True
            self.writer.close()
            if self.pump is not None and self.pump is not asyncio.current_task():
                self.pump.cancel()
        for wait in self.waits.values():
            if not wait.done():
                wait.set_result(Fault("read answer", self.addr, why))
        self.waits.clear()

    def put(self, name: str, *vals: Any) -> int:
        """Hands a message to the connection without waiting for anything."""
        args = getattr(IDL.Peer, name + "_args")()
        for spec, val in zip(args.thrift_spec.values(), vals, strict=True):
            setattr(args, spec[1], val)
        self.seq = (self.seq + 1) & 0x7FFFFFFF
        kind = TMessageType.ONEWAY if _oneway(name) else TMessageType.CALL
        data = _message(name, kind, self.seq, args)
        self.writer.write(struct.pack("!i", len(data)) + data)
        return self.seq

    async def drain(self) -> None:
        await self.writer.drain()

    async def call(self, name: str, body: Body, wait: float) -> Result[Body, Fault]:
        if self.closed:
            return Err(Fault(name, self.addr, "the link is closed", unsent=True))
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        asked = asyncio.get_running_loop().time()
        seq = self.put(name, json.dumps(body, separators=(",", ":")))
        self.waits[seq] = future
        try:
            async with asyncio.timeout(wait):
                await self.drain()
                got = await future
        except (TimeoutError, ConnectionError) as bad:
            self.waits.pop(seq, None)
            if isinstance(bad, ConnectionError):
                self.close(str(bad))
                return Err(Fault(name, self.addr, str(bad)))
            if self.heard < asked:
                # Not a word since the call went out: the peer may be another process by now, or the way to
                # it was cut for so long that this connection would sleep on after the cut heals.
                self.close("it does not answer")
            return Err(Fault(name, self.addr, f"no answer within {wait:g} s", SLOW))
        finally:
            self.waits.pop(seq, None)
        if isinstance(got, Fault):
            return Err(Fault(name, self.addr, got.why))
        if isinstance(got, TApplicationException):
            return Err(Fault(name, self.addr, str(got.message)))
        if getattr(got, "fault", None) is not None:
            f = got.fault
            return Err(Fault(f.step, f.peer, f.why, f.code, f.hint or ""))
        if not isinstance(got.success, str):
            return Err(Fault(name, self.addr, "an empty answer"))
        try:
            return Ok(json.loads(got.success))
        except ValueError:
            return Err(Fault(name, self.addr, "an answer that is not JSON"))


async def _connect(host: str, port: int, wait: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Tries anew before the system would send a lost opening packet again, which takes it seconds; each try lasts longer,
    so that a slow way is no hindrance."""
    for share in (8, 4):
        try:
            return await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 20), wait / share)
        except TimeoutError:
            pass
    return await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 20), wait * 5 / 8)


@dataclass(eq=False)
class PeerLinks:
    """Links by address, opened when first wanted. Invariant: at most one open link an address."""

    links: dict[str, Link] = field(default_factory=dict)
    opening: dict[str, asyncio.Task[Result[Link, Fault]]] = field(default_factory=dict)

    async def link(self, addr: str, wait: float) -> Result[Link, Fault]:
        link = self.links.get(addr)
        if link is not None and not link.closed:
            return Ok(link)
        task = self.opening.get(addr)
        if task is None or task.done():
            task = asyncio.create_task(self._open(addr, wait))
            self.opening[addr] = task
        try:
            got = await asyncio.wait_for(asyncio.shield(task), wait)
        except TimeoutError:
            return Err(Fault("connect", addr, "no answer in time", unsent=True))
        self.opening.pop(addr, None)
        return got

    async def _open(self, addr: str, wait: float) -> Result[Link, Fault]:
        """Opening takes up to twice `wait`, so whoever asked may have given up: the link is kept for the next one. One
        that nobody held would live until the garbage collector found it, a moment that differs from run to run."""
        got = await Link.open(addr, wait)
        if isinstance(got, Ok):
            old = self.links.get(addr)
            if old is None or old.closed:
                self.links[addr] = got.unwrap()
        return got

    async def call(self, addr: str, name: str, body: Body, wait: float) -> Result[Body, Fault]:
        got = await self.link(addr, wait)
        if isinstance(got, Err):
            return got
        return await got.unwrap().call(name, body, wait)

    def drop(self, addr: str) -> None:
        link = self.links.pop(addr, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        for addr in list(self.links):
            self.drop(addr)


@dataclass(eq=False)
class PeerServer:
    """Takes links from peers. Invariant: oneway messages of a link are handled in order, one at a time."""

    who: str
    handlers: dict[str, Handler]
    server: asyncio.AbstractServer | None = None
    tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)
    links: OrderedSet[asyncio.StreamWriter] = field(default_factory=OrderedSet)

    async def listen(self, addr: str) -> None:
        host, port = split(addr)
        self.server = await asyncio.start_server(self._take, host, port, limit=1 << 20)

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.links):
            writer.close()
        for task in list(self.tasks):
            task.cancel()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = str(writer.get_extra_info("peername"))
        self.links.add(writer)
        frames = Frames(_Stream(reader, writer))
        met = False
        try:
            while True:
                data = await frames.next()
                prot = TBinaryProtocol(TMemoryBuffer(data))
                name, kind, seq = prot.read_message_begin()
                if name not in IDL.Peer.thrift_services:
                    raise ValueError(f"unknown message {name!r:.40}")
                args = getattr(IDL.Peer, name + "_args")()
                prot.read_struct(args)
                val = getattr(args, args.thrift_spec[1][1])
                if val is None:
                    raise ValueError(f"{name} without its argument")
                if name == "hi":
                    met = self.meets(val, seq, writer)
                    continue
                if not met:
                    raise ValueError(f"{name} before any wire number was agreed on: another release, or no postpass")
                if _oneway(name):
                    if name in self.handlers:
                        await self.handlers[name](val)
                else:
                    task = asyncio.create_task(self._respond(name, seq, val, writer))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception as bad:
            log_events.emit(102, self.who, step="read message", peer=peer, why=f"{bad!r:.120}")
        finally:
            self.links.discard(writer)
            writer.close()

    def meets(self, there: Any, seq: int, writer: asyncio.StreamWriter) -> bool:
        """Responds to the first message; False if there is no wire number that both speak."""
        (low, high), out = SPEAKS, IDL.Peer.hi_result()
        if there.low is not None and there.high is not None and there.low <= high and there.high >= low:
            out.success = IDL.Hi(low=low, high=high, release=RELEASE)
        else:
            why = (
                f"this is release {RELEASE} with wire numbers {low} to {high}; "
                f"the other is {there.release} with {there.low} to {there.high}"
            )
            out.fault = IDL.Fault(step="hi", peer=self.who, why=why, code=BROKE, hint="")
            log_events.emit(106, self.who, step="hi", peer=str(writer.get_extra_info("peername")), why=why)
        data = _message("hi", TMessageType.REPLY, seq, out)
        writer.write(struct.pack("!i", len(data)) + data)
        return out.fault is None

    async def _respond(self, name: str, seq: int, val: str, writer: asyncio.StreamWriter) -> None:
        out = getattr(IDL.Peer, name + "_result")()
        try:
            handler = self.handlers.get(name)
            if handler is None:
                got: Result[Body, Fault] = Err(Fault(name, self.who, "no such duty here", BROKE))
            else:
                body = json.loads(val)
                if not isinstance(body, dict):
                    raise ValueError("not an object")
                got = await handler(body)
        except (KeyError, TypeError, ValueError) as bad:
            got = Err(Fault(name, self.who, f"{bad!r:.160}", BROKE))
            log_events.emit(104, self.who, step=name, peer=str(writer.get_extra_info("peername")), why=f"{bad!r:.160}")
        if isinstance(got, Ok):
            out.success = json.dumps(got.unwrap(), separators=(",", ":"))
        else:
            f = got.unwrap_err()
            out.fault = IDL.Fault(step=f.step, peer=f.peer, why=f.why, code=f.code, hint=f.hint)
        try:
            data = _message(name, TMessageType.REPLY, seq, out)
            writer.write(struct.pack("!i", len(data)) + data)
            await writer.drain()
        except (ConnectionError, RuntimeError):
            pass

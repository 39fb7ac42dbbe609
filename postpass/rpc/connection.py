"""One connection to a peer: handshake, requests with deadlines, and messages that get no response.

The library's asyncio client takes one request at a time; here any number share a connection, and a response is matched
to its request by the sequence number.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result
from thriftpy2.protocol import TBinaryProtocol
from thriftpy2.thrift import TApplicationException, TMessageType
from thriftpy2.transport import TMemoryBuffer

from postpass.configuration.settings import split_address
from postpass.rpc import codec
from postpass.rpc.codec import HANDSHAKE, IDL, WIRE_VERSIONS, Body, PeerResponse
from postpass.rpc.framing import FRAME_HEAD, STREAM_BUFFER_BYTES, BoundedFrames, Stream
from postpass.runtime import log_events
from postpass.runtime.errors import SLOW, Fault
from postpass.runtime.log_events import Event

MAXIMUM_SEQUENCE = 0x7FFFFFFF
# Parts of the time limit that the tries to connect may take, one after the other; they add up to all of it. The system
# would send a lost opening packet again only after seconds. Each try lasts longer, so a slow network is no hindrance.
EARLY_CONNECT_SHARES = (8, 4)
LAST_CONNECT_EIGHTHS = 5


@dataclass(eq=False)
class Link:
    """A connection that this process opened. It belongs to whoever called `open`, who closes it.

    States: open, then closed for good (`closed`); every request that waits at that moment gets a fault.
    Invariant: what is written leaves in the order of the calls.

    Attributes:
        address: IP:PORT of the peer.
        sequence: number of the last message sent; response and request are matched by it.
        pending: requests without a response, by sequence number.
        reader_task: the task that reads responses; it ends with the connection.
        last_received: when the last frame arrived, on the loop's clock; -1 before the first.
    """

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sequence: int = 0
    pending: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    closed: bool = False
    reader_task: asyncio.Task[None] | None = None
    last_received: float = -1.0

    @classmethod
    async def open(
        cls, address: str, limit: float, wire_versions: tuple[int, int] = WIRE_VERSIONS
    ) -> Result[Link, Fault]:
        """Connects and agrees on a wire version. `limit`, in seconds, holds for each of the two.

        The fault is always `unsent`; its hint is "refused" if it is proved that no process listens at the address.
        """
        host, port = split_address(address)
        try:
            reader, writer = await _connect(host, port, limit)
        except (TimeoutError, OSError) as error:
            hint = "refused" if isinstance(error, ConnectionRefusedError) else ""
            return Err(Fault("connect", address, str(error) or "no answer in time", hint=hint, unsent=True))
        link = cls(address, reader, writer)
        link.reader_task = asyncio.create_task(link._read_responses())
        fault = await link._shake_hands(limit, wire_versions)
        return Ok(link) if fault is None else Err(fault)

    async def _shake_hands(self, limit: float, wire_versions: tuple[int, int]) -> Fault | None:
        """Says which wire versions this side speaks; None if the peer speaks one of them. Else the link is closed."""
        low, high = wire_versions
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.pending[self.put(HANDSHAKE, IDL.Hi(low=low, high=high, release=codec.RELEASE))] = future
        try:
            result = await asyncio.wait_for(future, limit)
        except TimeoutError:
            self.close("no word on its wire numbers in time")
            return Fault(HANDSHAKE, self.address, "no answer in time", unsent=True)
        if isinstance(result, Fault):
            return Fault(HANDSHAKE, self.address, f"{result.why} before it told its wire numbers", unsent=True)
        refusal = getattr(result, "fault", None)
        if refusal is None and getattr(result, "success", None) is not None:
            return None
        why = refusal.why if refusal is not None else str(getattr(result, "message", "it knows no wire numbers"))
        log_events.emit(Event.WIRE_VERSION_MISMATCH, self.address, step=HANDSHAKE, why=why)
        self.close(why)
        return Fault(HANDSHAKE, self.address, why, unsent=True)

    async def _read_responses(self) -> None:
        why = "the peer closed"
        try:
            frames = BoundedFrames(Stream(self.reader, self.writer))
            while True:
                data = await frames.next()
                self.last_received = asyncio.get_running_loop().time()
                protocol = TBinaryProtocol(TMemoryBuffer(data))
                name, kind, sequence = protocol.read_message_begin()
                future = self.pending.pop(sequence, None)
                if kind == TMessageType.EXCEPTION:
                    result = TApplicationException()
                else:
                    result = getattr(IDL.Peer, name + "_result")()
                protocol.read_struct(result)
                if future is not None and not future.done():
                    future.set_result(result)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except Exception as error:  # foreign bytes: the link is closed, the daemon goes on
            why = f"unreadable answer: {error!r:.80}"
            log_events.emit(Event.LINK_CLOSED, self.address, step="read answer", why=why)
        self.close(why)

    def close(self, why: str = "closed here") -> None:
        """Closes the connection, at once and for good; requests that wait get a fault that says why."""
        if not self.closed:
            self.closed = True
            self.writer.close()
            if self.reader_task is not None and self.reader_task is not asyncio.current_task():
                self.reader_task.cancel()
        for future in self.pending.values():
            if not future.done():
                future.set_result(Fault("read answer", self.address, why))
        self.pending.clear()

    def put(self, name: str, *arguments: Any) -> int:
        """Hands a message to the connection without waiting for anything; returns its sequence number."""
        record = getattr(IDL.Peer, name + "_args")()
        for spec, argument in zip(record.thrift_spec.values(), arguments, strict=True):
            setattr(record, spec[1], argument)
        self.sequence = (self.sequence + 1) & MAXIMUM_SEQUENCE
        kind = TMessageType.ONEWAY if codec.is_oneway(name) else TMessageType.CALL
        data = codec.encode_message(name, kind, self.sequence, record)
        self.writer.write(FRAME_HEAD.pack(len(data)) + data)
        return self.sequence

    async def drain(self) -> None:
        """Waits until the connection takes more; raises ConnectionError if it is lost."""
        await self.writer.drain()

    async def request(self, name: str, body: Body, limit: float) -> PeerResponse:
        """Sends a request and waits for its response, at most `limit` seconds.

        The fault is the peer's own if it responded with one; `unsent` if the link was closed already; it has the code
        SLOW if there was no response in time. The peer may have handled the request in that case, and in all others.
        """
        if self.closed:
            return Err(Fault(name, self.address, "the link is closed", unsent=True))
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        started = asyncio.get_running_loop().time()
        sequence = self.put(name, codec.encode_body(body))
        self.pending[sequence] = future
        try:
            async with asyncio.timeout(limit):
                await self.drain()
                result = await future
        except ConnectionError as error:
            self.pending.pop(sequence, None)  # before the link closes, which would answer it with a fault
            self.close(str(error))
            return Err(Fault(name, self.address, str(error)))
        except TimeoutError:
            self.pending.pop(sequence, None)
            if self.last_received < started:
                # Nothing came since the request went out: the peer may be another process by now, or the network was
                # cut for so long that this connection would sleep on after the cut heals.
                self.close("it does not answer")
            return Err(Fault(name, self.address, f"no answer within {limit:g} s", SLOW))
        finally:
            self.pending.pop(sequence, None)
        return self._response_of(name, result)

    def _response_of(self, name: str, result: Any) -> PeerResponse:
        """What a result struct, or what stands in its place, says."""
        if isinstance(result, Fault):
            return Err(Fault(name, self.address, result.why))
        if isinstance(result, TApplicationException):
            return Err(Fault(name, self.address, str(result.message)))
        if getattr(result, "fault", None) is not None:
            return Err(codec.decode_fault(result.fault))
        if not isinstance(result.success, str):
            return Err(Fault(name, self.address, "an empty answer"))
        try:
            return Ok(json.loads(result.success))
        except ValueError:
            return Err(Fault(name, self.address, "an answer that is not JSON"))


async def _connect(host: str, port: int, limit: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connects within `limit` seconds. Raises TimeoutError or OSError."""
    for share in EARLY_CONNECT_SHARES:
        try:
            return await asyncio.wait_for(asyncio.open_connection(host, port, limit=STREAM_BUFFER_BYTES), limit / share)
        except TimeoutError:
            pass
    last = limit * LAST_CONNECT_EIGHTHS / 8
    return await asyncio.wait_for(asyncio.open_connection(host, port, limit=STREAM_BUFFER_BYTES), last)

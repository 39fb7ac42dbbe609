"""One connection to a peer: the handshake, requests with time limits, and messages that get no response.

The thrift library's asyncio client allows one request at a time. Here any number of requests share a connection, and a
response is matched to its request by the sequence number.
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
from postpass.rpc.codec import FRAGMENT, HANDSHAKE, IDL, WIRE_VERSIONS, Body, PeerResponse
from postpass.rpc.fragments import FragmentAssembler, MessageWriter
from postpass.rpc.framing import MAXIMUM_FRAME_BYTES, STREAM_BUFFER_BYTES, BoundedFrames, Stream, too_long
from postpass.runtime import log_events
from postpass.runtime.errors import TIMED_OUT, Fault
from postpass.runtime.log_events import Event

MAXIMUM_SEQUENCE = 0x7FFFFFFF
ENVELOPE_BYTES = 4 << 10  # at most, of a message beside its text
# The longest text of a request in one frame. What it holds, such as the item of a job, still fits into a response with
# other keys.
MAXIMUM_REQUEST_BYTES = MAXIMUM_FRAME_BYTES - ENVELOPE_BYTES
# Divisors of the time limit for the early attempts to connect (1/8 and 1/4 of it); the last attempt takes the remaining
# 5/8. There are several attempts because the operating system repeats a lost SYN packet only after seconds. Each
# attempt lasts longer than the one before, so that one of them succeeds on a slow network too.
EARLY_CONNECT_DIVISORS = (8, 4)
LAST_CONNECT_EIGHTHS = 5


@dataclass(eq=False)
class Link:
    """A connection that this process opened. The code that called `open` owns it, and closes it.

    It is open at first, and once closed stays so (`closed`); all requests that are pending then get a fault.
    Invariant: messages are sent in the order in which they were written.

    Attributes:
        address: IP:PORT of the peer.
        sequence: number of the last message sent; a response has the number of its request.
        pending: requests without a response, by sequence number.
        reader_task: the task that reads responses; it ends with the connection.
        last_received: when the last frame arrived, on the loop's clock; -1 before the first.
        messages: writes the messages of this link.
    """

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sequence: int = 0
    pending: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    closed: bool = False
    reader_task: asyncio.Task[None] | None = None
    last_received: float = -1.0
    messages: MessageWriter = field(init=False)

    def __post_init__(self) -> None:
        self.messages = MessageWriter(self.writer)

    @classmethod
    async def open(
        cls, address: str, limit: float, wire_versions: tuple[int, int] = WIRE_VERSIONS
    ) -> Result[Link, Fault]:
        """Connects and agrees on a wire version; `limit` is the time limit of each of the two steps, in seconds.

        A fault is always `unsent`; its hint is "refused" if the connection was refused, which proves that no process
        listens at the address.
        """
        host, port = split_address(address)
        try:
            reader, writer = await _connect(host, port, limit)
        except (TimeoutError, OSError) as error:
            hint = "refused" if isinstance(error, ConnectionRefusedError) else ""
            return Err(Fault("connect", address, str(error) or "no answer in time", hint=hint, unsent=True))
        link = cls(address, reader, writer)
        link.reader_task = asyncio.create_task(link._read_responses())
        fault = await link._negotiate_version(limit, wire_versions)
        return Ok(link) if fault is None else Err(fault)

    async def _negotiate_version(self, limit: float, wire_versions: tuple[int, int]) -> Fault | None:
        """Tells the peer which wire versions this side speaks.

        Returns None if the peer speaks one of them; otherwise it closes the link and returns the fault.
        """
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
            self.messages.agree(min(high, result.success.high or low))
            return None
        why = refusal.why if refusal is not None else str(getattr(result, "message", "it knows no wire numbers"))
        log_events.emit(Event.WIRE_VERSION_MISMATCH, self.address, step=HANDSHAKE, why=why)
        self.close(why)
        return Fault(HANDSHAKE, self.address, why, unsent=True)

    async def _read_responses(self) -> None:
        why = "the peer closed"
        try:
            frames, assembler = BoundedFrames(Stream(self.reader, self.writer)), FragmentAssembler()
            while True:
                data = await frames.next()
                self.last_received = asyncio.get_running_loop().time()
                self._read_message(data, assembler)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except Exception as error:  # invalid bytes: the link is closed, and the daemon goes on
            why = f"unreadable answer: {error!r:.80}"
            log_events.emit(Event.LINK_CLOSED, self.address, step="read answer", why=why)
        self.close(why)

    def _read_message(self, data: bytes, assembler: FragmentAssembler) -> None:
        """Hands a response to the request that waits for it, or adds a fragment to the response that it belongs to."""
        protocol = TBinaryProtocol(TMemoryBuffer(data))
        verb, kind, sequence = protocol.read_message_begin()
        if verb == FRAGMENT:
            arguments = IDL.Peer.fragment_args()
            protocol.read_struct(arguments)
            message = assembler.add(arguments.fragment)
            if message is not None:
                self._read_message(message, FragmentAssembler())
            return
        future = self.pending.pop(sequence, None)
        result = TApplicationException() if kind == TMessageType.EXCEPTION else getattr(IDL.Peer, verb + "_result")()
        protocol.read_struct(result)
        if future is not None and not future.done():
            future.set_result(result)

    def close(self, why: str = "closed here") -> None:
        """Closes the connection at once; all pending requests get a fault with this reason."""
        if not self.closed:
            self.closed = True
            self.writer.close()
            if self.reader_task is not None and self.reader_task is not asyncio.current_task():
                self.reader_task.cancel()
        for future in self.pending.values():
            if not future.done():
                future.set_result(Fault("read answer", self.address, why))
        self.pending.clear()

    def put(self, verb: str, *arguments: Any) -> int:
        """Writes a message that fits into a frame to the connection's buffer, without waiting; returns its sequence number."""
        self.messages.put(self._encode(verb, *arguments))
        return self.sequence

    def _encode(self, verb: str, *arguments: Any) -> bytes:
        """Returns a new message, which has the next sequence number."""
        record = getattr(IDL.Peer, verb + "_args")()
        for spec, argument in zip(record.thrift_spec.values(), arguments, strict=True):
            setattr(record, spec[1], argument)
        self.sequence = (self.sequence + 1) & MAXIMUM_SEQUENCE
        kind = TMessageType.ONEWAY if codec.is_oneway(verb) else TMessageType.CALL
        return codec.encode_message(verb, kind, self.sequence, record)

    async def drain(self) -> None:
        """Waits until the connection's buffer has space again. Raises ConnectionError if the connection is lost."""
        await self.writer.drain()

    async def request(self, verb: str, body: Body, limit: float) -> PeerResponse:
        """Sends a request, named by its verb, and returns its response, which may take at most `limit` seconds.

        If the peer responded with a fault, that is returned. A fault is `unsent` if the link was closed before the
        request, and has the code TIMED_OUT if there was no response in time. Unless it is `unsent`, the peer may have
        handled the request.
        """
        if self.closed:
            return Err(Fault(verb, self.address, "the link is closed", unsent=True))
        text = codec.encode_body(body)
        if len(text) > self.messages.maximum_bytes - ENVELOPE_BYTES:
            # It would close the link, and end all other requests on it.
            return Err(Fault(verb, self.address, too_long(len(text), self.messages.maximum_bytes), unsent=True))
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        sent_at = asyncio.get_running_loop().time()
        message, sequence = self._encode(verb, text), self.sequence
        self.pending[sequence] = future
        try:
            async with asyncio.timeout(limit):
                await self.messages.send(message)
                result = await future
        except ConnectionError as error:
            self.pending.pop(sequence, None)  # before the link closes, which would answer it with a fault
            self.close(str(error))
            return Err(Fault(verb, self.address, str(error)))
        except TimeoutError:
            self.pending.pop(sequence, None)
            if self.last_received < sent_at:
                # Nothing was received since the request was sent. The peer may have been replaced by another process,
                # or the network was cut for so long that TCP would go on waiting before it retransmits after the cut
                # ends.
                self.close("it does not answer")
            return Err(Fault(verb, self.address, f"no answer within {limit:g} s", TIMED_OUT))
        finally:
            self.pending.pop(sequence, None)
        return self._decode_result(verb, result)

    def _decode_result(self, verb: str, result: Any) -> PeerResponse:
        """Returns the response in a result struct, or in the fault or exception that was received instead of one."""
        if isinstance(result, Fault):
            return Err(Fault(verb, self.address, result.why))
        if isinstance(result, TApplicationException):
            return Err(Fault(verb, self.address, str(result.message)))
        if getattr(result, "fault", None) is not None:
            return Err(codec.decode_fault(result.fault))
        if not isinstance(result.success, str):
            return Err(Fault(verb, self.address, "an empty answer"))
        try:
            return Ok(json.loads(result.success))
        except ValueError:
            return Err(Fault(verb, self.address, "an answer that is not JSON"))


async def _connect(host: str, port: int, limit: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a TCP connection within `limit` seconds, in several attempts. Raises TimeoutError or OSError."""
    for divisor in EARLY_CONNECT_DIVISORS:
        try:
            return await asyncio.wait_for(
                asyncio.open_connection(host, port, limit=STREAM_BUFFER_BYTES), limit / divisor
            )
        except TimeoutError:
            pass
    last_limit = limit * LAST_CONNECT_EIGHTHS / 8
    return await asyncio.wait_for(asyncio.open_connection(host, port, limit=STREAM_BUFFER_BYTES), last_limit)

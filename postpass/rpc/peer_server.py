"""The server side of links: accepts connections of peers and passes their messages to the handlers of this process."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from result import Err, Ok
from thriftpy2.protocol import TBinaryProtocol
from thriftpy2.thrift import TMessageType
from thriftpy2.transport import TMemoryBuffer

from postpass.configuration.settings import split_address
from postpass.rpc import codec
from postpass.rpc.codec import (
    HANDSHAKE,
    IDL,
    WIRE_VERSIONS,
    HandshakeRequiredError,
    MissingArgumentError,
    PeerResponse,
    UnknownMessageError,
)
from postpass.rpc.framing import (
    FRAME_HEAD,
    MAXIMUM_FRAME_BYTES,
    MAXIMUM_HANDSHAKE_BYTES,
    STREAM_BUFFER_BYTES,
    BoundedFrames,
    Stream,
    too_long,
)
from postpass.rpc.link_table import LinkTable
from postpass.runtime import log_events
from postpass.runtime.byte_semaphore import ByteSemaphore
from postpass.runtime.errors import PEER_FAILED, Fault
from postpass.runtime.log_events import Event
from postpass.runtime.ordered_set import OrderedSet

HANDSHAKE_TIMEOUT_S = 10.0
LARGE_FRAME_BYTES = 64 << 10  # a longer frame is read only once there is memory for it
LARGE_FRAME_TIMEOUT_S = 30.0  # in which a large frame must arrive completely
LARGE_FRAME_SHARE = Fraction(1, 8)  # of the memory of the process
DEFAULT_LARGE_FRAME_MEMORY = 32 << 20  # bytes

# Takes the body of a request and returns a `PeerResponse`, or takes the argument of a oneway message.
Handler = Callable[[Any], Awaitable[Any]]


def large_frame_memory(memory_bytes: int) -> ByteSemaphore:
    """Returns the memory for large messages of a process with so much memory: one message of any size always fits."""
    return ByteSemaphore(max(MAXIMUM_FRAME_BYTES, int(memory_bytes * LARGE_FRAME_SHARE)))


@dataclass(frozen=True, slots=True)
class Message:
    """A message of a peer; its argument has the type that the IDL gives for the verb."""

    verb: str
    sequence: int
    argument: Any


def _decode_message(data: bytes) -> Message:
    """Returns the message in a frame. Raises ProtocolError if it is invalid."""
    protocol = TBinaryProtocol(TMemoryBuffer(data))
    verb, _, sequence = protocol.read_message_begin()
    if verb not in IDL.Peer.thrift_services:
        raise UnknownMessageError(f"unknown message {verb!r:.40}")
    record = getattr(IDL.Peer, verb + "_args")()
    protocol.read_struct(record)
    argument = getattr(record, record.thrift_spec[1][1])
    if argument is None:
        raise MissingArgumentError(f"{verb} without its argument")
    return Message(verb, sequence, argument)


@dataclass(eq=False)
class PeerServer:
    """Accepts links from peers. Invariant: oneway messages of a link are handled in order, one at a time.

    The requests of a link are handled concurrently, each in its own task.

    Attributes:
        process: the name of this process, for events and faults.
        handlers: the handler of each message, by the message's name (verb); requests without a handler are refused.
        tasks: the tasks of the requests that are being handled.
        links: the open connections.
        handshake_timeout_s: the time within which a peer must make its handshake.
        large_frames: the memory for large messages that are arriving or being handled.
    """

    process: str
    handlers: dict[str, Handler]
    server: asyncio.AbstractServer | None = None
    tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)
    links: LinkTable = field(default_factory=LinkTable)
    handshake_timeout_s: float = HANDSHAKE_TIMEOUT_S
    large_frames: ByteSemaphore = field(default_factory=lambda: ByteSemaphore(DEFAULT_LARGE_FRAME_MEMORY))

    async def listen(self, address: str) -> None:
        """Starts accepting links at an address (IP:PORT). Raises OSError if the address isn't available."""
        host, port = split_address(address)
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=STREAM_BUFFER_BYTES, backlog=self.links.listen_queue
        )

    async def close(self) -> None:
        """Stops listening, closes all links and cancels the requests that are being handled."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.links.links):
            writer.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link until either side closes it; invalid bytes close it too."""
        peer = _peer_name(writer)
        if not self.links.add(writer):
            log_events.emit(Event.LINK_CLOSED, self.process, step="accept", peer=peer, why="too many links")
            writer.transport.abort()
            return
        try:
            await self._read_messages(BoundedFrames(Stream(reader, writer)), writer)
        except (asyncio.IncompleteReadError, ConnectionError, EOFError, asyncio.CancelledError):
            pass
        except TimeoutError:
            log_events.emit(Event.LINK_CLOSED, self.process, step="read message", peer=peer, why="not in time")
        except Exception as error:
            log_events.emit(Event.LINK_CLOSED, self.process, step="read message", peer=peer, why=f"{error!r:.120}")
        finally:
            self.links.discard(writer)
            writer.close()

    async def _read_messages(self, frames: BoundedFrames, writer: asyncio.StreamWriter) -> None:
        """Reads messages until the link ends. Raises ProtocolError for an invalid one."""
        agreed = False
        while True:
            if not agreed:
                async with asyncio.timeout(self.handshake_timeout_s):
                    message = _decode_message(await frames.next(MAXIMUM_HANDSHAKE_BYTES))
                if message.verb != HANDSHAKE:
                    why = f"{message.verb} before any wire number was agreed on: another release, or no postpass"
                    raise HandshakeRequiredError(why)
                agreed = self._answer_handshake(message.argument, message.sequence, writer)
                if agreed:
                    self.links.mark_agreed(writer)
                continue
            size = await frames.next_size()
            if size <= LARGE_FRAME_BYTES:
                await self._handle(_decode_message(await frames.read(size)), writer)
            else:
                await self._read_large_message(size, frames, writer)

    async def _read_large_message(self, size: int, frames: BoundedFrames, writer: asyncio.StreamWriter) -> None:
        """Reads and handles a message once there is memory for it, which is given back when it is handled."""
        granted = await self.large_frames.acquire(size)
        task: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(LARGE_FRAME_TIMEOUT_S):
                data = await frames.read(size)
            task = await self._handle(_decode_message(data), writer)
        finally:
            if task is None:
                self.large_frames.release(granted)
            else:
                task.add_done_callback(lambda _: self.large_frames.release(granted))

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> asyncio.Task[None] | None:
        """Handles a oneway message now, and a request in a task, which it returns."""
        if message.verb == HANDSHAKE:
            self._answer_handshake(message.argument, message.sequence, writer)
        elif not codec.is_oneway(message.verb):
            task = asyncio.create_task(self._respond(message.verb, message.sequence, message.argument, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return task
        elif message.verb in self.handlers:
            await self.handlers[message.verb](message.argument)
        return None

    def _answer_handshake(self, offer: Any, sequence: int, writer: asyncio.StreamWriter) -> bool:
        """Responds to a handshake; returns False if there is no wire version that both sides speak."""
        (low, high), result = WIRE_VERSIONS, IDL.Peer.hi_result()
        if offer.low is not None and offer.high is not None and offer.low <= high and offer.high >= low:
            result.success = IDL.Hi(low=low, high=high, release=codec.RELEASE)
        else:
            why = (
                f"this is release {codec.RELEASE} with wire numbers {low} to {high}; "
                f"the other is {offer.release} with {offer.low} to {offer.high}"
            )
            result.fault = codec.encode_fault(Fault(HANDSHAKE, self.process, why, PEER_FAILED))
            log_events.emit(Event.WIRE_VERSION_MISMATCH, self.process, step=HANDSHAKE, peer=_peer_name(writer), why=why)
        data = codec.encode_message(HANDSHAKE, TMessageType.REPLY, sequence, result)
        writer.write(FRAME_HEAD.pack(len(data)) + data)
        return result.fault is None

    async def _respond(self, verb: str, sequence: int, argument: str, writer: asyncio.StreamWriter) -> None:
        """Handles a request and sends the response, which is dropped if the link is closed by then."""
        result = getattr(IDL.Peer, verb + "_result")()
        try:
            handler = self.handlers.get(verb)
            if handler is None:
                response: PeerResponse = Err(Fault(verb, self.process, "no such duty here", PEER_FAILED))
            else:
                body = json.loads(argument)
                if not isinstance(body, dict):
                    raise ValueError("not an object")
                response = await handler(body)
        except (KeyError, TypeError, ValueError) as error:
            response = Err(Fault(verb, self.process, f"{error!r:.160}", PEER_FAILED))
            log_events.emit(
                Event.HANDLER_FAILED, self.process, step=verb, peer=_peer_name(writer), why=f"{error!r:.160}"
            )
        if isinstance(response, Ok):
            result.success = codec.encode_body(response.unwrap())
        else:
            result.fault = codec.encode_fault(response.unwrap_err())
        try:
            data = codec.encode_message(verb, TMessageType.REPLY, sequence, result)
            if len(data) > MAXIMUM_FRAME_BYTES:
                data = self._encode_too_long(verb, sequence, len(data))
            writer.write(FRAME_HEAD.pack(len(data)) + data)
            await writer.drain()
        except (ConnectionError, RuntimeError):
            pass

    def _encode_too_long(self, verb: str, sequence: int, size: int) -> bytes:
        """Returns the message that takes the place of a response which is too long for a frame.

        The response itself would close the link, and end all other requests on it.
        """
        why = too_long(size)
        log_events.emit(Event.HANDLER_FAILED, self.process, step=verb, why=why)
        result = getattr(IDL.Peer, verb + "_result")()
        result.fault = codec.encode_fault(Fault(verb, self.process, why, PEER_FAILED))
        return codec.encode_message(verb, TMessageType.REPLY, sequence, result)


def _peer_name(writer: asyncio.StreamWriter) -> str:
    """Returns the remote address of a link, for events."""
    return str(writer.get_extra_info("peername"))

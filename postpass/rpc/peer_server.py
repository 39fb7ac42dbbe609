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
    FRAGMENT,
    HANDSHAKE,
    IDL,
    WIRE_VERSIONS,
    HandshakeRequiredError,
    MissingArgumentError,
    PeerResponse,
    UnknownMessageError,
)
from postpass.rpc.fragments import FragmentAssembler, MessageWriter
from postpass.rpc.framing import (
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
# A longer frame is read only once there is memory for it. Those of fragments are shorter, since the memory for the whole
# message is asked for with its first fragment.
LARGE_FRAME_BYTES = 64 << 10
LARGE_FRAME_TIMEOUT_S = 30.0  # in which a large frame, or all fragments of a message, must arrive
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
class AcceptedLink:
    """A link that a peer opened, with the message that is arriving on it in fragments.

    Invariant: while the beginning of such a message is in `assembler`, `granted` bytes of `memory` are taken for it; they
    pass to the handling of the message once it is complete.
    """

    memory: ByteSemaphore
    writer: asyncio.StreamWriter
    messages: MessageWriter = field(init=False)
    assembler: FragmentAssembler = field(default_factory=FragmentAssembler)
    granted: int = 0
    expiry: asyncio.TimerHandle | None = None  # when the message that is arriving is given up

    def __post_init__(self) -> None:
        self.messages = MessageWriter(self.writer)

    @property
    def peer_name(self) -> str:
        """The remote address, for events."""
        return str(self.writer.get_extra_info("peername"))

    async def add_fragment(self, fragment: Any) -> bytes | None:
        """Returns the message that this fragment completes, or None. Waits for the memory of a message that begins.

        Raises MessageSizeError for a message that is empty or too long.
        """
        if fragment.offset == 0:
            self.discard_fragments()
        message = self.assembler.add(fragment)
        if self.assembler.is_receiving and fragment.offset == 0:
            # Nothing else of this link is read meanwhile, so that no second message can wait here.
            self.granted = await self.memory.acquire(fragment.size)
            self.expiry = asyncio.get_running_loop().call_later(LARGE_FRAME_TIMEOUT_S, self.discard_fragments)
        return message

    def take_granted(self) -> int:
        """Returns the bytes of memory that are taken for a message that is complete; the caller has to release them."""
        granted, self.granted = self.granted, 0
        self._stop_expiry()
        return granted

    def discard_fragments(self) -> None:
        """Forgets a message that stayed incomplete, and gives its memory back."""
        self._stop_expiry()
        self.assembler.discard()
        self.memory.release(self.granted)
        self.granted = 0

    def _stop_expiry(self) -> None:
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None


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
        link = AcceptedLink(self.large_frames, writer)
        if not self.links.add(writer):
            log_events.emit(Event.LINK_CLOSED, self.process, step="accept", peer=link.peer_name, why="too many links")
            writer.transport.abort()
            return
        try:
            await self._read_messages(BoundedFrames(Stream(reader, writer)), link)
        except (asyncio.IncompleteReadError, ConnectionError, EOFError, asyncio.CancelledError):
            pass
        except TimeoutError:
            self._report_closed_link(link, "not in time")
        except Exception as error:
            self._report_closed_link(link, f"{error!r:.120}")
        finally:
            link.discard_fragments()
            self.links.discard(writer)
            writer.close()

    def _report_closed_link(self, link: AcceptedLink, why: str) -> None:
        log_events.emit(Event.LINK_CLOSED, self.process, step="read message", peer=link.peer_name, why=why)

    async def _read_messages(self, frames: BoundedFrames, link: AcceptedLink) -> None:
        """Reads messages until the link ends. Raises ProtocolError for an invalid one."""
        await self._read_handshake(frames, link)
        while True:
            size = await frames.next_size()
            if size > LARGE_FRAME_BYTES:
                await self._read_large_message(size, frames, link)
                continue
            message = _decode_message(await frames.read(size))
            if message.verb == FRAGMENT:
                await self._add_fragment(message.argument, link)
            else:
                await self._handle(message, link)

    async def _read_handshake(self, frames: BoundedFrames, link: AcceptedLink) -> None:
        """Reads messages until a wire version is agreed on. Raises ProtocolError for any message but a handshake."""
        agreed = False
        while not agreed:
            async with asyncio.timeout(self.handshake_timeout_s):
                message = _decode_message(await frames.next(MAXIMUM_HANDSHAKE_BYTES))
            if message.verb != HANDSHAKE:
                why = f"{message.verb} before any wire number was agreed on: another release, or no postpass"
                raise HandshakeRequiredError(why)
            agreed = self._answer_handshake(message.argument, message.sequence, link)
        self.links.mark_agreed(link.writer)

    async def _read_large_message(self, size: int, frames: BoundedFrames, link: AcceptedLink) -> None:
        """Reads and handles a message once there is memory for it, which is given back when it is handled."""
        granted = await self.large_frames.acquire(size)
        message: Message | None = None
        try:
            async with asyncio.timeout(LARGE_FRAME_TIMEOUT_S):
                message = _decode_message(await frames.read(size))
        finally:
            if message is None:
                self.large_frames.release(granted)
        await self._handle_large(message, granted, link)

    async def _add_fragment(self, fragment: Any, link: AcceptedLink) -> None:
        """Adds a fragment to the message that it belongs to, and handles the message if it is complete."""
        data = await link.add_fragment(fragment)
        if data is None:
            return
        granted = link.take_granted()
        try:
            message = _decode_message(data)
        except Exception:
            self.large_frames.release(granted)
            raise
        await self._handle_large(message, granted, link)

    async def _handle_large(self, message: Message, granted: int, link: AcceptedLink) -> None:
        """Handles a message for which so many bytes of memory are taken; they are given back when it is handled."""
        task: asyncio.Task[None] | None = None
        try:
            task = await self._handle(message, link)
        finally:
            if task is None:
                self.large_frames.release(granted)
            else:
                task.add_done_callback(lambda _: self.large_frames.release(granted))

    async def _handle(self, message: Message, link: AcceptedLink) -> asyncio.Task[None] | None:
        """Handles a oneway message now, and a request in a task, which it returns."""
        if message.verb == HANDSHAKE:
            self._answer_handshake(message.argument, message.sequence, link)
        elif not codec.is_oneway(message.verb):
            task = asyncio.create_task(self._respond(message, link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return task
        elif message.verb in self.handlers:
            await self.handlers[message.verb](message.argument)
        return None

    def _answer_handshake(self, offer: Any, sequence: int, link: AcceptedLink) -> bool:
        """Responds to a handshake with the range up to the highest version of both; returns False if they have none in
        common."""
        (low, high), result = WIRE_VERSIONS, IDL.Peer.hi_result()
        if offer.low is not None and offer.high is not None and offer.low <= high and offer.high >= low:
            result.success = IDL.Hi(low=low, high=min(high, offer.high), release=codec.RELEASE)
            link.messages.agree(offer.high)
        else:
            why = (
                f"this is release {codec.RELEASE} with wire numbers {low} to {high}; "
                f"the other is {offer.release} with {offer.low} to {offer.high}"
            )
            result.fault = codec.encode_fault(Fault(HANDSHAKE, self.process, why, PEER_FAILED))
            log_events.emit(Event.WIRE_VERSION_MISMATCH, self.process, step=HANDSHAKE, peer=link.peer_name, why=why)
        link.messages.put(codec.encode_message(HANDSHAKE, TMessageType.REPLY, sequence, result))
        return result.fault is None

    async def _respond(self, request: Message, link: AcceptedLink) -> None:
        """Handles a request and sends the response, which is dropped if the link is closed by then."""
        verb = request.verb
        result = getattr(IDL.Peer, verb + "_result")()
        try:
            response = await self._response_to(request)
        except Exception as error:  # the peer gets an answer, and the link and the daemon go on
            response = Err(Fault(verb, self.process, f"{error!r:.160}", PEER_FAILED))
            log_events.emit(Event.HANDLER_FAILED, self.process, step=verb, peer=link.peer_name, why=f"{error!r:.160}")
        if isinstance(response, Ok):
            result.success = codec.encode_body(response.unwrap())
        else:
            result.fault = codec.encode_fault(response.unwrap_err())
        try:
            data = codec.encode_message(verb, TMessageType.REPLY, request.sequence, result)
            if len(data) > link.messages.maximum_bytes:
                data = self._encode_too_long(verb, request.sequence, too_long(len(data), link.messages.maximum_bytes))
            await link.messages.send(data)
        except (ConnectionError, RuntimeError):
            pass

    async def _response_to(self, request: Message) -> PeerResponse:
        """Returns the response of the handler. Raises whatever error the handler meets, as if it can't read the request."""
        handler = self.handlers.get(request.verb)
        if handler is None:
            return Err(Fault(request.verb, self.process, "no such duty here", PEER_FAILED))
        body = json.loads(request.argument)
        if not isinstance(body, dict):
            raise ValueError("not an object")
        response: PeerResponse = await handler(body)
        return response

    def _encode_too_long(self, verb: str, sequence: int, why: str) -> bytes:
        """Returns the message that takes the place of a response which is too long for the peer.

        The response itself would close the link, and end all other requests on it.
        """
        log_events.emit(Event.HANDLER_FAILED, self.process, step=verb, why=why)
        result = getattr(IDL.Peer, verb + "_result")()
        result.fault = codec.encode_fault(Fault(verb, self.process, why, PEER_FAILED))
        return codec.encode_message(verb, TMessageType.REPLY, sequence, result)

"""Messages that are too long for a frame: written in fragments, and put together again by the receiver.

A message in fragments leaves gaps in which shorter messages of the same link are sent, so that heartbeats don't wait for
it. Its fragments fit into short frames, which need no memory of their own beside that of the whole message.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from thriftpy2.thrift import TMessageType

from postpass.rpc.codec import FRAGMENT, FRAGMENTS_VERSION, IDL, WIRE_VERSIONS, ProtocolError, encode_message
from postpass.rpc.framing import FRAME_HEAD, MAXIMUM_FRAME_BYTES

FRAGMENT_BYTES = 60 << 10  # of the message in one fragment, whose frame is then a short one
MAXIMUM_MESSAGE_BYTES = 64 << 20  # of a message in fragments


class MessageSizeError(ProtocolError):
    """A peer announced a message in fragments that is empty or longer than is accepted."""


def fragments_of(message: bytes) -> Iterator[Any]:
    """Returns the fragments of a message, in order."""
    for offset in range(0, len(message), FRAGMENT_BYTES):
        yield IDL.Fragment(size=len(message), offset=offset, data=message[offset : offset + FRAGMENT_BYTES])


@dataclass(eq=False)
class MessageWriter:
    """Writes messages to one connection. Invariant: the fragments of one message are never mixed with those of another.

    :ivar takes_fragments: whether the peer speaks a wire version that has fragments; known after the handshake.
    """

    writer: asyncio.StreamWriter
    takes_fragments: bool = False
    fragments_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def agree(self, peer_version: int) -> None:
        """Notes the highest wire version that the peer speaks."""
        self.takes_fragments = min(peer_version, WIRE_VERSIONS[1]) >= FRAGMENTS_VERSION

    @property
    def maximum_bytes(self) -> int:
        """The bytes that a message to this peer may have."""
        return MAXIMUM_MESSAGE_BYTES if self.takes_fragments else MAXIMUM_FRAME_BYTES

    def put(self, message: bytes) -> None:
        """Writes a message that fits into a frame to the connection's buffer, without waiting."""
        self.writer.write(FRAME_HEAD.pack(len(message)) + message)

    async def send(self, message: bytes) -> None:
        """Writes a message, and waits until the connection's buffer has space again.

        Raises ConnectionError if the connection is lost. A message whose sending is cancelled stays incomplete; the
        receiver discards it.
        """
        if len(message) <= MAXIMUM_FRAME_BYTES:
            self.put(message)
            await self.writer.drain()
            return
        async with self.fragments_lock:
            for fragment in fragments_of(message):
                arguments = getattr(IDL.Peer, FRAGMENT + "_args")(fragment=fragment)
                self.put(encode_message(FRAGMENT, TMessageType.ONEWAY, 0, arguments))
                await self.writer.drain()


@dataclass(eq=False)
class FragmentAssembler:
    """Puts the fragments that arrive on one connection together.

    Invariant: `received` is the beginning of one message of `size` bytes; it is empty between messages.
    """

    received: bytearray = field(default_factory=bytearray)
    size: int = 0

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a message has arrived."""
        return self.size > 0

    def add(self, fragment: Any) -> bytes | None:
        """Returns the message if this fragment is its last one, and None otherwise.

        A fragment that begins a message discards an earlier one that stayed incomplete; one that continues no message is
        dropped. Raises MessageSizeError if the message is empty or too long.
        """
        if not 0 < fragment.size <= MAXIMUM_MESSAGE_BYTES:
            raise MessageSizeError(f"a message of {fragment.size} bytes; 1 to {MAXIMUM_MESSAGE_BYTES} are taken")
        if fragment.offset == 0:
            self.received, self.size = bytearray(), fragment.size
        if not self.is_receiving or (fragment.size, fragment.offset) != (self.size, len(self.received)):
            return None
        self.received += fragment.data
        if len(self.received) > self.size:
            raise MessageSizeError(f"a message of {self.size} bytes, of which more arrived")
        if len(self.received) < self.size:
            return None
        message = bytes(self.received)
        self.discard()
        return message

    def discard(self) -> None:
        """Forgets what has arrived of an incomplete message."""
        self.received, self.size = bytearray(), 0

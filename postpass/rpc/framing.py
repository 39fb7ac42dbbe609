"""Frames on a byte stream: a length of four bytes, followed by a message of that length.

The framing is thrift's own. The library's transport accepts any length that a peer announces, so its upper limit is
checked here, before any byte of the message is read.
"""

from __future__ import annotations

import asyncio
import struct

from thriftpy2.contrib.aio.transport.framed import TAsyncFramedTransport

from postpass.rpc.codec import ProtocolError

FRAME_HEAD = struct.Struct("!i")  # the length of the message that follows
MAXIMUM_FRAME_BYTES = 8 << 20
MAXIMUM_HANDSHAKE_BYTES = 4 << 10  # of a frame on a link without a handshake
STREAM_BUFFER_BYTES = 1 << 20  # received bytes of a connection that asyncio buffers before it stops reading


class FrameSizeError(ProtocolError):
    """A peer announced a frame that is empty or longer than is accepted."""


def too_long(size: int, maximum: int = MAXIMUM_FRAME_BYTES) -> str:
    """Returns the reason why a message of so many bytes is not sent."""
    holder = "a frame holds" if maximum == MAXIMUM_FRAME_BYTES else "the longest message has"
    return f"a message of {size} bytes; {holder} {maximum}"


class Stream:
    """The socket interface that the thrift library's transports use, on top of asyncio's streams."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self, size: int) -> bytes:
        """Reads up to `size` bytes. Raises EOFError if the peer has closed the connection."""
        data = await self.reader.read(size)
        if not data:
            raise EOFError("the peer closed")
        return data

    def write(self, data: bytes) -> None:
        """Writes bytes to the connection's buffer."""
        self.writer.write(data)

    async def flush(self) -> None:
        """Waits until the connection's buffer has space again."""
        await self.writer.drain()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class BoundedFrames(TAsyncFramedTransport):  # type: ignore[misc]
    """The library's framed transport, with an upper limit on the frame length that a peer may announce."""

    def __init__(self, stream: Stream) -> None:
        super().__init__(stream)
        self.stream = stream

    async def next(self, max_bytes: int = MAXIMUM_FRAME_BYTES) -> bytes:
        """Reads and returns the next message, which has `max_bytes` at most.

        Raises FrameSizeError for an invalid length, and asyncio.IncompleteReadError if the peer has closed the
        connection.
        """
        return await self.read(await self.next_size(max_bytes))

    async def next_size(self, max_bytes: int = MAXIMUM_FRAME_BYTES) -> int:
        """Reads and returns the length of the next message, which has to be read then. Raises like `next`."""
        head = await self.stream.reader.readexactly(FRAME_HEAD.size)
        (size,) = FRAME_HEAD.unpack(head)
        if not 0 < size <= max_bytes:
            raise FrameSizeError(f"a frame of {size} bytes; 1 to {max_bytes} are taken")
        return int(size)

    async def read(self, size: int) -> bytes:
        """Reads and returns the message whose length was read before. Raises asyncio.IncompleteReadError like `next`."""
        return await self.stream.reader.readexactly(size)

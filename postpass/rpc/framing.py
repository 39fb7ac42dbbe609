"""Frames over a stream: a length of four bytes, then a message.

The framing is thrift's own. The library's transport takes any length that a peer announces, so the bound is checked here
before a byte of the message is read.
"""

from __future__ import annotations

import asyncio
import struct

from thriftpy2.contrib.aio.transport.framed import TAsyncFramedTransport

from postpass.rpc.codec import ProtocolError

FRAME_HEAD = struct.Struct("!i")  # length of the message
MAXIMUM_FRAME_BYTES = 8 << 20
STREAM_BUFFER_BYTES = 1 << 20  # what asyncio buffers of a connection before it stops reading


class FrameSizeError(ProtocolError):
    """A peer announced a frame that is empty or longer than `MAXIMUM_FRAME_BYTES`."""


class Stream:
    """What the library's transports ask of a socket, over asyncio's streams."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self, size: int) -> bytes:
        """Up to `size` bytes; raises EOFError once the peer has closed."""
        data = await self.reader.read(size)
        if not data:
            raise EOFError("the peer closed")
        return data

    def write(self, data: bytes) -> None:
        """Hands bytes to the connection."""
        self.writer.write(data)

    async def flush(self) -> None:
        """Waits until the connection takes more."""
        await self.writer.drain()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class BoundedFrames(TAsyncFramedTransport):  # type: ignore[misc]
    """The library's framed transport with a bound on what a peer may announce."""

    def __init__(self, stream: Stream) -> None:
        super().__init__(stream)
        self.stream = stream

    async def next(self) -> bytes:
        """The next message. Raises FrameSizeError, and asyncio.IncompleteReadError once the peer has closed."""
        head = await self.stream.reader.readexactly(FRAME_HEAD.size)
        (size,) = FRAME_HEAD.unpack(head)
        if not 0 < size <= MAXIMUM_FRAME_BYTES:
            raise FrameSizeError(f"a frame of {size} bytes; 1 to {MAXIMUM_FRAME_BYTES} are taken")
        return await self.stream.reader.readexactly(size)

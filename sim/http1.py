"""A small HTTP/1.1 implementation for the simulated clients and workers, which controls every byte sent and received.

It shares no code with the product, which parses with a library, so that each side notices the errors of the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

READ_LIMIT_BYTES = 8 << 20


class Garbled(Exception):
    """The received bytes are not a valid HTTP message."""


class Broken(Exception):
    """The connection failed, or it ended before the message was complete."""


@dataclass
class Head:
    """The first line of a message, split into its three parts, and its headers by name in lower case."""

    line: tuple[str, str, str]
    headers: dict[str, str]

    @property
    def status(self) -> int:
        return int(self.line[1])

    @property
    def keeps(self) -> bool:
        """Returns whether the connection stays open after the message."""
        return "close" not in self.headers.get("connection", "").lower()


@dataclass(eq=False)
class Stream:
    """One connection.

    Invariant: nothing is read past the end of a message; later bytes stay in the reader.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    buffer: bytearray = field(default_factory=bytearray)
    within_answer: bool = False  # whether a part of an answer was sent here, but not its end
    late_answer: bytes = b""  # to be sent once more when the next request comes

    @classmethod
    async def open(cls, addr: str, limit: float = 1.0) -> Stream:
        """Connects within `limit` seconds; raises `Broken` if that fails."""
        host, _, port = addr.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=READ_LIMIT_BYTES), limit
            )
        except (OSError, TimeoutError) as error:
            raise Broken(f"no connection: {error}") from error
        return cls(reader, writer)

    @property
    def peer(self) -> str:
        """Returns the IP address of the other side, or an empty string."""
        address = self.writer.get_extra_info("peername")
        return str(address[0]) if address else ""

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def flush(self) -> None:
        """Waits until the send buffer has drained; raises `Broken` if the connection failed."""
        try:
            await self.writer.drain()
        except (OSError, ConnectionError) as error:
            raise Broken(repr(error)) from error

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """Aborts the connection."""
        self.writer.transport.abort()

    async def _line(self) -> bytes:
        """Reads a line with its line end. Raises `Broken` or `Garbled`."""
        try:
            return await self.reader.readuntil(b"\r\n")
        except asyncio.IncompleteReadError as error:
            raise Broken(f"ended after {error.partial[:40]!r}") from error
        except (OSError, ConnectionError) as error:
            raise Broken(repr(error)) from error
        except asyncio.LimitOverrunError as error:
            raise Garbled("the line is too long") from error

    async def _exactly(self, size: int) -> bytes:
        """Reads `size` bytes; raises `Broken` if the connection ends earlier."""
        try:
            return await self.reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            raise Broken(f"ended {size - len(error.partial)} bytes early") from error
        except (OSError, ConnectionError) as error:
            raise Broken(repr(error)) from error

    async def head(self, answer: bool) -> Head:
        """Reads the head of a response if `answer` is set, else of a request. Raises `Broken` or `Garbled`."""
        first = (await self._line()).decode("latin-1").rstrip("\r\n")
        first_word, _, rest = first.partition(" ")
        second_word, _, third_word = rest.partition(" ")
        is_valid = (
            first_word == "HTTP/1.1" and second_word.isdigit() and len(second_word) == 3
            if answer
            else third_word == "HTTP/1.1"
        )
        if not is_valid:
            raise Garbled(f"invalid first line: {first!r:.60}")
        headers: dict[str, str] = {}
        while (line := await self._line()) != b"\r\n":
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or name != name.strip():
                raise Garbled(f"invalid header: {line!r:.60}")
            headers[name.lower()] = value.strip()
        return Head((first_word, second_word, third_word), headers)

    async def pieces(self, head: Head, answer: bool) -> AsyncIterator[bytes]:
        """Yields the body: each chunk of a chunked one, any other as a whole. Raises `Broken` if it ends early, or `Garbled`."""
        if answer and (head.status in (204, 304) or head.status < 200):
            return
        if "chunked" in head.headers.get("transfer-encoding", "").lower():
            while True:
                line = (await self._line()).split(b";")[0].strip()
                try:
                    size = int(line, 16)
                except ValueError as error:
                    raise Garbled(f"invalid chunk size: {line!r:.40}") from error
                if size == 0:
                    while await self._line() != b"\r\n":
                        pass
                    return
                data = await self._exactly(size)
                if await self._exactly(2) != b"\r\n":
                    raise Garbled("no line end after the chunk")
                yield data
        elif "content-length" in head.headers:
            remaining = int(head.headers["content-length"])
            if remaining:
                yield await self._exactly(remaining)
        elif answer:
            raise Garbled("the response has no length")

    async def body(self, head: Head, answer: bool) -> bytes:
        """Reads the body of a response if `answer` is set, else of a request. Raises `Broken` or `Garbled`."""
        return b"".join([piece async for piece in self.pieces(head, answer)])


def message(first: str, headers: dict[str, str], body: bytes | None = b"", chunked: bool = False) -> bytes:
    """Returns the bytes of a message.

    Args:
        first: the first line.
        headers: all headers but those that give the length.
        body: the body; None for the head alone, after which the caller sends chunks.
        chunked: whether the body is sent in two chunks rather than with a length.
    """
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    if body is None or chunked:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if body is None:
        return head
    if chunked:
        middle = len(body) // 2
        return head + b"".join(chunk(p) for p in (body[:middle], body[middle:]) if p) + b"0\r\n\r\n"
    return head + body


def chunk(data: bytes) -> bytes:
    """Returns a chunk of the chunked transfer encoding."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed",
           413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
           500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}  # fmt: skip


def answer(status: int, headers: dict[str, str] | None = None, body: bytes | None = b"") -> bytes:
    """Returns the bytes of a response; with `body` None only its head, see `message`."""
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers or {}, body)


async def call(
    addr: str, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b"", limit: float = 1.0
) -> tuple[Head, bytes]:
    """Sends one request on a connection of its own; returns the head and the body of the response.

    Raises:
        Broken: the connection failed or ended early, or no complete response came within `limit` seconds.
        Garbled: the response is not valid HTTP.
    """
    stream = await Stream.open(addr, limit)
    try:
        async with asyncio.timeout(limit):
            stream.send(
                message(f"{method} {path} HTTP/1.1", {"Host": addr, "Connection": "close"} | (headers or {}), body)
            )
            await stream.flush()
            head = await stream.head(True)
            return head, await stream.body(head, True)
    except TimeoutError as error:
        raise Broken("silence") from error
    finally:
        stream.close()

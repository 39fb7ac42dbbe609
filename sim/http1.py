"""A small HTTP/1.1 for the stand-ins, byte by byte, so that they see and send exactly what they mean to.

It shares nothing with the product, which reads by library: what one side gets wrong the other must notice.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

LIMIT = 8 << 20


class Garbled(Exception):
    """Bytes that are no message of the protocol."""


class Broken(Exception):
    """The connection ended before the message did."""


@dataclass
class Head:
    """The first line of a message and its headers, names in lower case."""

    line: tuple[str, str, str]
    headers: dict[str, str]

    @property
    def status(self) -> int:
        return int(self.line[1])

    @property
    def keeps(self) -> bool:
        return "close" not in self.headers.get("connection", "").lower()


@dataclass(eq=False)
class Stream:
    """One connection. Invariant: nothing is read past the end of a message; what is left over stays in the reader."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    buffer: bytearray = field(default_factory=bytearray)

    @classmethod
    async def open(cls, addr: str, limit: float = 1.0) -> Stream:
        host, _, port = addr.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=LIMIT), limit)
        except (OSError, TimeoutError) as bad:
            raise Broken(f"no connection: {bad}") from bad
        return cls(reader, writer)

    @property
    def peer(self) -> str:
        name = self.writer.get_extra_info("peername")
        return str(name[0]) if name else ""

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def flush(self) -> None:
        try:
            await self.writer.drain()
        except (OSError, ConnectionError) as bad:
            raise Broken(repr(bad)) from bad

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        self.writer.transport.abort()

    async def _line(self) -> bytes:
        try:
            return await self.reader.readuntil(b"\r\n")
        except asyncio.IncompleteReadError as bad:
            raise Broken(f"ended after {bad.partial[:40]!r}") from bad
        except (OSError, ConnectionError) as bad:
            raise Broken(repr(bad)) from bad
        except asyncio.LimitOverrunError as bad:
            raise Garbled("a line without end") from bad

    async def _exactly(self, size: int) -> bytes:
        try:
            return await self.reader.readexactly(size)
        except asyncio.IncompleteReadError as bad:
            raise Broken(f"ended {size - len(bad.partial)} bytes early") from bad
        except (OSError, ConnectionError) as bad:
            raise Broken(repr(bad)) from bad

    async def head(self, answer: bool) -> Head:
        first = (await self._line()).decode("latin-1").rstrip("\r\n")
        one, _, rest = first.partition(" ")
        two, _, three = rest.partition(" ")
        proper = one == "HTTP/1.1" and two.isdigit() and len(two) == 3 if answer else three == "HTTP/1.1"
        if not proper:
            raise Garbled(f"{first!r:.60}")
        headers: dict[str, str] = {}
        while (line := await self._line()) != b"\r\n":
            name, mark, val = line.decode("latin-1").partition(":")
            if not mark or name != name.strip():
                raise Garbled(f"a header {line!r:.60}")
            headers[name.lower()] = val.strip()
        return Head((one, two, three), headers)

    async def pieces(self, head: Head, answer: bool) -> AsyncIterator[bytes]:
        """The body in the pieces it comes in; raises `Broken` if it ends early."""
        if answer and (head.status in (204, 304) or head.status < 200):
            return
        if "chunked" in head.headers.get("transfer-encoding", "").lower():
            while True:
                line = (await self._line()).split(b";")[0].strip()
                try:
                    size = int(line, 16)
                except ValueError as bad:
                    raise Garbled(f"a chunk of {line!r:.40}") from bad
                if size == 0:
                    while await self._line() != b"\r\n":
                        pass
                    return
                data = await self._exactly(size)
                if await self._exactly(2) != b"\r\n":
                    raise Garbled("a chunk without end")
                yield data
        elif "content-length" in head.headers:
            left = int(head.headers["content-length"])
            if left:
                yield await self._exactly(left)
        elif answer:
            raise Garbled("an answer without a length")

    async def body(self, head: Head, answer: bool) -> bytes:
        return b"".join([piece async for piece in self.pieces(head, answer)])


def message(first: str, headers: dict[str, str], body: bytes | None = b"", chunked: bool = False) -> bytes:
    """A whole message; with `body` None only its head, for what follows in chunks."""
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    if body is None or chunked:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if body is None:
        return head
    if chunked:
        half = len(body) // 2
        return head + b"".join(chunk(p) for p in (body[:half], body[half:]) if p) + b"0\r\n\r\n"
    return head + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed",
           413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
           500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}  # fmt: skip


def answer(status: int, headers: dict[str, str] | None = None, body: bytes | None = b"") -> bytes:
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers or {}, body)


async def call(
    addr: str, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b"", limit: float = 1.0
) -> tuple[Head, bytes]:
    """One request on a connection of its own. Raises `Broken` or `Garbled`; silence longer than `limit` is `Broken`."""
    stream = await Stream.open(addr, limit)
    try:
        async with asyncio.timeout(limit):
            stream.send(
                message(f"{method} {path} HTTP/1.1", {"Host": addr, "Connection": "close"} | (headers or {}), body)
            )
            await stream.flush()
            head = await stream.head(True)
            return head, await stream.body(head, True)
    except TimeoutError as bad:
        raise Broken("silence") from bad
    finally:
        stream.close()

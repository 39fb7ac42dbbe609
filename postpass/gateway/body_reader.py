"""Reads the whole body of a relayed request before any of it is sent to a worker."""

from __future__ import annotations

import asyncio
from enum import IntEnum

from starlette.types import Receive


class BodyRefusal(IntEnum):
    """Why a body wasn't read: the status of the answer, or that there is nobody to answer."""

    CLIENT_GONE = 0
    TOO_LATE = 408
    TOO_LARGE = 413


async def read_body(receive: Receive, max_bytes: int, announced: int, until: float) -> bytes | BodyRefusal:
    """The body, or why there is none. `announced`: its length by the head, 0 if it isn't told; `until`: seconds of the
    loop's clock."""
    if announced > max_bytes:
        return BodyRefusal.TOO_LARGE
    try:
        async with asyncio.timeout_at(until):
            first = await receive()
            if first["type"] == "http.disconnect":
                return BodyRefusal.CLIENT_GONE
            if not first.get("more_body"):
                body: bytes = first["body"]
                return body if len(body) <= max_bytes else BodyRefusal.TOO_LARGE
            return await _read_rest(receive, max_bytes, first["body"])
    except TimeoutError:
        return BodyRefusal.TOO_LATE


async def _read_rest(receive: Receive, max_bytes: int, first: bytes) -> bytes | BodyRefusal:
    parts, size = [first], len(first)
    while size <= max_bytes:
        part = await receive()
        if part["type"] == "http.disconnect":
            return BodyRefusal.CLIENT_GONE
        parts.append(part["body"])
        size += len(part["body"])
        if not part.get("more_body"):
            return b"".join(parts) if size <= max_bytes else BodyRefusal.TOO_LARGE
    return BodyRefusal.TOO_LARGE

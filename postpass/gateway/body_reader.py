"""Reads the complete body of a relayed request before any of it is sent to a worker."""

from __future__ import annotations

import asyncio
from enum import IntEnum

from starlette.types import Receive


class BodyRefusal(IntEnum):
    """Why a body wasn't read. The value is the status of the response; 0 if there is no client any more to respond to."""

    CLIENT_GONE = 0
    TOO_LATE = 408
    TOO_LARGE = 413


async def read_body(receive: Receive, max_bytes: int, content_length: int, deadline: float) -> bytes | BodyRefusal:
    """Returns the body, or why it wasn't read.

    `content_length`: its length according to the head, 0 if the head has none; `deadline`: seconds of the event loop's clock.
    """
    if content_length > max_bytes:
        return BodyRefusal.TOO_LARGE
    try:
        async with asyncio.timeout_at(deadline):
            first_message = await receive()
            if first_message["type"] == "http.disconnect":
                return BodyRefusal.CLIENT_GONE
            if not first_message.get("more_body"):
                body: bytes = first_message["body"]
                return body if len(body) <= max_bytes else BodyRefusal.TOO_LARGE
            return await _read_rest(receive, max_bytes, first_message["body"])
    except TimeoutError:
        return BodyRefusal.TOO_LATE


async def _read_rest(receive: Receive, max_bytes: int, first_chunk: bytes) -> bytes | BodyRefusal:
    """Reads the rest of a body after its first chunk; returns the complete body, or why it wasn't read."""
    chunks, size = [first_chunk], len(first_chunk)
    while size <= max_bytes:
        message = await receive()
        if message["type"] == "http.disconnect":
            return BodyRefusal.CLIENT_GONE
        chunks.append(message["body"])
        size += len(message["body"])
        if not message.get("more_body"):
            return b"".join(chunks) if size <= max_bytes else BodyRefusal.TOO_LARGE
    return BodyRefusal.TOO_LARGE

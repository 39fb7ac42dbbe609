"""Tests of postpass.rpc.framing."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from postpass.rpc.framing import FRAME_HEAD, MAXIMUM_FRAME_BYTES, BoundedFrames, FrameSizeError, Stream


def next_frame(data: bytes) -> bytes:
    async def read() -> bytes:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        writer: Any = None
        return await BoundedFrames(Stream(reader, writer)).next()

    return asyncio.run(read())


def test_a_frame_is_its_length_and_a_message() -> None:
    assert next_frame(b"\0\0\0\3abcdef") == b"abc"


@pytest.mark.parametrize("size", [0, -1, MAXIMUM_FRAME_BYTES + 1])
def test_an_invalid_length_is_rejected_before_the_message_is_read(size: int) -> None:
    with pytest.raises(FrameSizeError, match=f"a frame of {size} bytes"):
        next_frame(FRAME_HEAD.pack(size))


def test_a_truncated_frame_is_detected() -> None:
    with pytest.raises(asyncio.IncompleteReadError):
        next_frame(b"\0\0\0\3ab")

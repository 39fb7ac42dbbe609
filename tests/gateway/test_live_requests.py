"""Tests of postpass.gateway.live_requests."""

from __future__ import annotations

from postpass.gateway.live_requests import sse_frame


def test_sse_frames_are_numbered() -> None:
    assert (
        sse_frame("piece", 0, {"n": 0, "text": "é"}) == 'id: 0\nevent: piece\ndata: {"n": 0, "text": "é"}\n\n'.encode()
    )

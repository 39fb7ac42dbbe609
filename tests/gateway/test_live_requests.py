"""Tests of postpass.gateway.live_requests."""

from __future__ import annotations

from postpass.configuration.schema import flaws
from postpass.gateway.live_requests import CallBody, JobBody, sse


def test_sse_frames_are_numbered() -> None:
    assert sse("piece", 0, {"n": 0, "text": "é"}) == 'id: 0\nevent: piece\ndata: {"n": 0, "text": "é"}\n\n'.encode()


def test_bodies_are_checked_by_field() -> None:
    assert flaws(CallBody, {"class": "ask", "own": "x"}) == []
    assert flaws(CallBody, {"own": "x"}) == ["class: missing, want a string"]
    assert [f.split(":")[0] for f in flaws(JobBody, {"class": "lot", "items": [1], "odd": 2})] == ["odd", "items[0]"]

"""Tests of postpass.gateway.request_bodies."""

from __future__ import annotations

from postpass.configuration.schema import flaws
from postpass.gateway.request_bodies import JobRequestBody, LiveRequestBody


def test_bodies_are_checked_by_field() -> None:
    assert flaws(LiveRequestBody, {"class": "ask", "own": "x"}) == []
    assert flaws(LiveRequestBody, {"own": "x"}) == ["class: missing, want a string"]
    assert [f.split(":")[0] for f in flaws(JobRequestBody, {"class": "lot", "items": [1], "odd": 2})] == [
        "odd",
        "items[0]",
    ]

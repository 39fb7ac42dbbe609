"""Tests of postpass.gateway.request_bodies."""

from __future__ import annotations

from postpass.configuration.schema import validation_errors
from postpass.gateway.request_bodies import JobRequestBody, LiveRequestBody


def test_bodies_are_checked_by_field() -> None:
    assert validation_errors(LiveRequestBody, {"class": "ask", "own": "x"}) == []
    assert validation_errors(LiveRequestBody, {"own": "x"}) == ["class: missing, want a string"]
    assert [
        error.split(":")[0] for error in validation_errors(JobRequestBody, {"class": "lot", "items": [1], "odd": 2})
    ] == [
        "odd",
        "items[0]",
    ]

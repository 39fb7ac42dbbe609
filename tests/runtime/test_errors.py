"""Tests of postpass.runtime.errors."""

from __future__ import annotations

import json

from postpass.runtime.errors import NO_SPACE, ErrorCode, Fault


def test_fault_names_step_and_peer() -> None:
    fault = Fault("submit", "s1", "no disk", NO_SPACE)
    assert str(fault) == "submit at s1: no disk"
    assert fault.as_json() == {"step": "submit", "peer": "s1", "why": "no disk"}


def test_codes_are_formatted_as_their_numbers() -> None:
    assert sorted(ErrorCode) == [400, 404, 409, 412, 421, 429, 500, 502, 503, 504, 507]
    assert [f"{ErrorCode.NO_SPACE}", str(ErrorCode.NO_SPACE), json.dumps(ErrorCode.NO_SPACE)] == ["507"] * 3

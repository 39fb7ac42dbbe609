"""Tests of postpass.runtime.errors."""

from __future__ import annotations

from postpass.runtime.errors import FULL, Fault


def test_fault_names_step_and_peer() -> None:
    flaw = Fault("submit", "s1", "no disk", FULL)
    assert str(flaw) == "submit at s1: no disk"
    assert flaw.as_json() == {"step": "submit", "peer": "s1", "why": "no disk"}

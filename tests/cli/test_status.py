"""Tests of postpass.cli.status."""

from __future__ import annotations

from typing import Any

from postpass.cli import status
from postpass.cli.status_page import FleetStatus
from tests.support.status_pages import sound_fleet


def pending(pages: dict[str, Any]) -> list[str]:
    return status.pending(FleetStatus.from_json(pages))


def overview(pages: dict[str, Any]) -> list[str]:
    return status.overview(FleetStatus.from_json(pages))


def test_pending_operations_say_why_and_complete_ones_that_they_are() -> None:
    seen = sound_fleet()
    assert pending(seen) == []
    seen["manifest"]["machines"]["s4"]["retire"] = True
    assert pending(seen) == ["retire s4: pending, still a member of partitions [0, 1, 2, 3]"]
    for p in seen["machines"]["s1"]["store"]["parts"]:
        p["crew"] = {n: d for n, d in p["crew"].items() if n != "s4"}
    rows = seen["machines"]["s1"]["store"]["parts"]
    rows[2]["complete"] = False
    assert pending(seen) == ["retire s4: pending, not all members of partitions [2] have synced that it left"]
    rows[2]["complete"] = True
    assert pending(seen) == ["retire s4: complete, no partition counts on it"]
    seen["manifest"]["evacuated"] = ["a"]
    assert pending(seen)[1].startswith("evacuate a: pending, 0 edges")
    seen["machines"]["e1"]["edition"] = 2
    assert pending(seen)[2] == "edition 3: pending at e1"
    assert any("LOSSES" not in line for line in overview(seen))
    assert "next tolerated loss: could be borne" in overview(seen)

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


def test_pending_operations_show_what_they_wait_for_and_complete_ones_are_shown_as_complete() -> None:
    pages = sound_fleet()
    assert pending(pages) == []
    pages["manifest"]["machines"]["s4"]["retire"] = True
    assert pending(pages) == ["retire s4: pending, still a member of partitions [0, 1, 2, 3]"]
    for p in pages["machines"]["s1"]["store"]["parts"]:
        p["crew"] = {n: d for n, d in p["crew"].items() if n != "s4"}
    rows = pages["machines"]["s1"]["store"]["parts"]
    rows[2]["complete"] = False
    assert pending(pages) == ["retire s4: pending, not all members of partitions [2] have synced that it left"]
    rows[2]["complete"] = True
    assert pending(pages) == ["retire s4: complete, no partition counts on it"]
    pages["manifest"]["evacuated"] = ["a"]
    assert pending(pages)[1].startswith("evacuate a: pending, 0 edges")
    pages["machines"]["e1"]["edition"] = 2
    assert pending(pages)[2] == "edition 3: pending at e1"
    assert any("LOSSES" not in line for line in overview(pages))
    assert "next tolerated loss: could be borne" in overview(pages)

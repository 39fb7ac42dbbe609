"""Tests of postpass.runtime.log_events."""

from __future__ import annotations

from pathlib import Path

from postpass.runtime.log_events import catalogue


def test_the_catalogue_in_the_docs_is_this_one() -> None:
    page = Path(__file__).parent.parent.parent / "docs" / "events.md"
    assert page.read_text() == catalogue(), "write it anew: python -m postpass.runtime.log_events"

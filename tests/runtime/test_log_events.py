"""Tests of postpass.runtime.log_events."""

from __future__ import annotations

from pathlib import Path

import pytest
from absl import logging

from postpass.runtime.log_events import CATALOGUE, COUNTS, DESCRIPTIONS, RECENT, Event, catalogue, emit

# Operators search their logs by these numbers, so the meaning of a number never changes.
EVENTS_OF_0_2_0 = {100: "started", 101: "stopping", 102: "link-closed", 103: "task-failed", 104: "handler-failed", 105: "handing-over", 106: "wire-unmet", 107: "seeds", 108: "settings-bad", 110: "disk-new", 111: "disk-torn", 112: "disk-damaged", 113: "disk-failed", 114: "disk-full", 120: "owner", 121: "owner-lost", 122: "mirror-silent", 123: "mirror-refill", 124: "members", 125: "loss", 126: "handed-on", 130: "primary", 131: "primary-lost", 132: "backup", 133: "control-loss", 134: "voter", 135: "founded", 136: "joined", 137: "dropped", 138: "ordered", 140: "manifest", 141: "manifest-shed", 142: "fresh", 143: "deaf", 144: "in-force", 145: "change-unfit", 150: "sched-on", 151: "sched-off", 152: "loan-back", 153: "worker", 154: "plug-failed", 160: "call-broken", 161: "claim", 170: "relay-broken", 171: "worker-avoided", 172: "relay-late", 173: "relay-refused"}  # fmt: skip


def test_the_page_of_events_agrees_with_the_catalogue() -> None:
    page = Path(__file__).parent.parent.parent / "docs" / "events.md"
    assert page.read_text() == catalogue(), "regenerate the page: python -m postpass.runtime.log_events"


def test_numbers_and_former_names_are_those_of_the_release() -> None:
    assert {n: CATALOGUE[n].former_name for n in EVENTS_OF_0_2_0} == EVENTS_OF_0_2_0


def test_each_event_has_a_description_and_a_name_of_its_own() -> None:
    assert DESCRIPTIONS.keys() == set(Event) == CATALOGUE.keys()
    assert len({entry.name for entry in CATALOGUE.values()}) == len(Event)


def test_a_member_and_its_number_are_the_same_event(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(logging, "warning", lambda text, *parts: lines.append(text % parts))
    before = COUNTS[113]
    emit(Event.DISK_FAILED, "s1", why="x")
    emit(113, "s1", why="x")
    assert lines == ["E113 disk-failed s1 why=x"] * 2 and COUNTS[113] == before + 2
    assert list(RECENT)[-2:] == [(113, "s1 why=x")] * 2

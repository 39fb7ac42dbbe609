"""Tests of postpass.worker_api.plugins."""

from __future__ import annotations

from typing import Any

from postpass.runtime import log_events
from postpass.worker_api.plugins import SEATS, Ask, Seat, first, fond_of, least, place, prefix


def test_least_loaded_near_and_fond() -> None:
    ask = Ask("ask", ("s",), 1, "x")
    assert least(ask, SEATS) == "c"
    assert least(ask, (Seat("a", "x", 2, 4, 2, fond=True), *SEATS[1:])) == "a"
    assert least(ask, (Seat("a", "x", 1, 4, 3, fond=True), *SEATS[1:])) == "c"


def test_a_plug_in_that_raises_or_answers_nonsense_harms_no_call(monkeypatch: Any) -> None:
    import sys

    ask = Ask("ask", ("s",), 1, "x")
    before = log_events.COUNTS[154]
    plugins = sys.modules[place.__module__]
    monkeypatch.setattr(
        plugins, "find", lambda kind, name: {"nonsense": lambda *_: "nowhere", "raises": lambda *_: 1 / 0}[name]
    )
    assert place("e1", "nonsense", ask, SEATS) == place("e1", "raises", ask, SEATS) == "c"
    assert prefix("e1", "raises", ask) == first(ask)
    assert log_events.COUNTS[154] == before + 3
    monkeypatch.setattr(plugins, "find", lambda kind, name: lambda _ask, seats: seats[0].name)
    assert place("e1", "mine", ask, SEATS) == "a"


def test_prefix_keys_move_little() -> None:
    names = [f"w{i}" for i in range(9)]
    keys = [f"k{i}" for i in range(300)]
    moved = sum(fond_of(k, names) != fond_of(k, names[:-1]) for k in keys)
    assert 0 < moved < 70
    assert all(fond_of(k, names) == "w8" for k in keys if fond_of(k, names) != fond_of(k, names[:-1]))

"""Tests of postpass.worker_api.plugins."""

from __future__ import annotations

from typing import Any

from postpass.runtime import log_events
from postpass.worker_api.plugins import (
    Ask,
    Candidate,
    PlacementRequest,
    Seat,
    affinity_key,
    affinity_worker,
    first_part_key,
    least_loaded,
    place,
)

CANDIDATES = (Candidate("a", "x", 2, 4, 2), Candidate("b", "y", 3, 4, 1), Candidate("c", "x", 3, 4, 1))


def test_the_default_placement_considers_load_zone_and_the_preferred_worker() -> None:
    request = PlacementRequest("ask", ("s",), 1, "x")
    assert least_loaded(request, CANDIDATES) == "c"
    assert least_loaded(request, (Candidate("a", "x", 2, 4, 2, preferred=True), *CANDIDATES[1:])) == "a"
    assert least_loaded(request, (Candidate("a", "x", 1, 4, 3, preferred=True), *CANDIDATES[1:])) == "c"


def test_the_default_replaces_a_plug_in_that_raises_or_returns_an_invalid_result(monkeypatch: Any) -> None:
    import sys

    request = PlacementRequest("ask", ("s",), 1, "x")
    earlier_count = log_events.COUNTS[154]
    plugins = sys.modules[place.__module__]
    monkeypatch.setattr(
        plugins, "find", lambda kind, name: {"nonsense": lambda *_: "nowhere", "raises": lambda *_: 1 / 0}[name]
    )
    assert place("e1", "nonsense", request, CANDIDATES) == place("e1", "raises", request, CANDIDATES) == "c"
    assert affinity_key("e1", "raises", request) == first_part_key(request)
    assert log_events.COUNTS[154] == earlier_count + 3
    monkeypatch.setattr(plugins, "find", lambda kind, name: lambda _request, candidates: candidates[0].name)
    assert place("e1", "mine", request, CANDIDATES) == "a"


def test_older_names_of_the_public_types_still_work() -> None:
    assert Ask is PlacementRequest and Seat is Candidate
    request, candidate = Ask("ask", (), 1, "x"), Seat("a", "y", 1, 4, 3, True)
    assert (request.area, candidate.area, candidate.fond) == ("x", "y", True)


def test_few_affinity_keys_move_when_a_worker_is_removed() -> None:
    names = [f"w{i}" for i in range(9)]
    keys = [f"k{i}" for i in range(300)]
    moved = sum(affinity_worker(k, names) != affinity_worker(k, names[:-1]) for k in keys)
    assert 0 < moved < 70
    assert all(
        affinity_worker(k, names) == "w8" for k in keys if affinity_worker(k, names) != affinity_worker(k, names[:-1])
    )

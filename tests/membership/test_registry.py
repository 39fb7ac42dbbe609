"""Tests of postpass.membership.registry."""

from __future__ import annotations

from postpass.membership.registry import Entry, State, edit, founded, settled
from postpass.membership.safe_change import Tolerance


def test_copies_follow_the_stores_that_are_heard() -> None:
    def fleet(*names: str, copies: int) -> State:
        entries: list[Entry] = [
            {"name": n, "area": "a", "peer": f"{n}:1", "http": f"{n}:2", "duties": ["store"], "born": 1, "disk": n}
            for n in names
        ]
        return edit(State(manifest=founded(entries, ["a"], 1)), copies=copies)

    four = fleet("s1", "s2", "s3", "s4", copies=3)
    assert settled(four, Tolerance(1, 1), False, ["s1", "s2", "s3", "s4"]) is four  # not while they still come
    assert settled(four, Tolerance(1, 1), True, ["s2", "s3", "s4"]) is four  # one is gone, and may be dropped for that
    assert settled(four, Tolerance(1, 1), True, ["s1", "s2", "s3", "s4"]).configuration["copies"] == 4
    more = fleet("s1", "s2", "s3", "s4", copies=4)
    assert settled(more, Tolerance(1, 1), True, ["s2", "s3"]) is more  # a silence lowers nothing
    assert settled(fleet("s1", "s2", "s3", copies=4), Tolerance(1, 1), True, []).configuration["copies"] == 3

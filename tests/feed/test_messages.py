"""Tests of postpass.feed.messages: the feed's messages, and the rotation of its followers."""

from __future__ import annotations

from postpass.feed.messages import MAX_HOLD_S, Poll, Rotation, Stale


def test_messages_are_read_as_they_were_written() -> None:
    poll, stale = Poll(7, 1.5, "e1"), Stale(6, ("10.0.0.1:7000",))
    assert Poll.from_json(poll.as_json()) == poll
    assert "who" not in Poll(7).as_json()
    assert Poll.from_json({"after": 1, "wait": 99}).hold == MAX_HOLD_S
    assert Stale.from_json(stale.as_json()) == stale
    assert Stale.from_json({"edition": 6}) is None


def test_a_follower_tries_every_source_before_it_pauses() -> None:
    rotation, sources = Rotation(), ["a", "b"]
    first = rotation.next(sources)
    rotation.failed_at(first, ["c", "a"])
    assert not rotation.exhausted(sources)
    second = rotation.next(sources)
    rotation.failed_at(second)
    third = rotation.next(sources)
    rotation.failed_at(third)
    assert {first, second, third} == {"a", "b", "c"} and rotation.exhausted(sources)
    pauses = [rotation.pause(0.5) for _ in range(4)]
    assert pauses == [0.125, 0.25, 0.5, 0.5]
    rotation.answered()
    assert rotation.next([]) == "" and rotation.pause(0.5) == 0.125

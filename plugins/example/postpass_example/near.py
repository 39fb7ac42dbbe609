"""Places a class in the caller's own area as long as a server there has room; else where load is least."""

from __future__ import annotations

from postpass.plug import Ask, Seat


def near(ask: Ask, seats: tuple[Seat, ...]) -> str:
    here = [s for s in seats if s.area == ask.area]
    return min(here or seats, key=lambda s: (s.load / s.slots, s.name)).name


def test_stays_near_while_there_is_room() -> None:
    ask = Ask("ask", (), 10, "b")
    far, close = Seat("w1", "a", 4, 4, 0), Seat("w2", "b", 1, 4, 3)
    assert near(ask, (far, close)) == "w2"
    assert near(ask, (far,)) == "w1"

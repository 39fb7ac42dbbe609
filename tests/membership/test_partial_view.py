"""Tests of postpass.membership.partial_view."""

from __future__ import annotations

import random

from postpass.membership.partial_view import MemberRecord, PartialView


def _card(name: str, beat: int = 0, inc: int = 1) -> MemberRecord:
    return MemberRecord(
        name=name, peer=f"{name}:1", area="a", duties=[], inc=inc, beat=beat, edition=0, release="1", disk=""
    )


def test_shuffles_join_everyone_and_views_stay_bounded() -> None:
    chance = random.Random(4)
    circles = {f"n{i}": PartialView(_card(f"n{i}"), random.Random(i)) for i in range(60)}
    for name, c in circles.items():
        c.take([_card(f"n{i}") for i in range(3) if f"n{i}" != name])
    for _ in range(60):
        for name in chance.sample(sorted(circles), 60):
            c = circles[name]
            c.word()
            neighbour, offer = c.begin()
            if neighbour is not None:
                given = offer[1:]
                c.take(circles[neighbour.card["name"]].respond(offer), given)
    assert all(len(c.neighbours) <= 8 and n not in c.neighbours for n, c in circles.items())
    seen, edge = {"n5"}, ["n5"]
    while edge:
        edge = [m for n in edge for m in circles[n].neighbours if m not in seen and not seen.add(m)]  # type: ignore[func-returns-value]
    assert len(seen) == 60


def test_the_dead_stay_out_until_they_show_a_newer_word() -> None:
    c = PartialView(_card("me"), random.Random(1))
    c.take([_card("x", 5)])
    c.bury("x")
    c.take([_card("x", 5), _card("x", 4)])
    assert "x" not in c.neighbours
    c.take([_card("x", 6)])
    assert "x" in c.neighbours
    c.bury("x")
    c.take([_card("x", 0, inc=2)])
    assert c.neighbours["x"].card["inc"] == 2

"""Tests of postpass.membership.partial_view."""

from __future__ import annotations

import random

from postpass.membership.partial_view import Card, Circle


def _card(name: str, beat: int = 0, inc: int = 1) -> Card:
    return Card(name=name, peer=f"{name}:1", area="a", duties=[], inc=inc, beat=beat, edition=0, release="1", disk="")


def test_shuffles_join_everyone_and_views_stay_bounded() -> None:
    chance = random.Random(4)
    circles = {f"n{i}": Circle(_card(f"n{i}"), random.Random(i)) for i in range(60)}
    for name, c in circles.items():
        c.take([_card(f"n{i}") for i in range(3) if f"n{i}" != name])
    for _ in range(60):
        for name in chance.sample(sorted(circles), 60):
            c = circles[name]
            c.word()
            mate, offer = c.begin()
            if mate is not None:
                given = offer[1:]
                c.take(circles[mate.card["name"]].respond(offer), given)
    assert all(len(c.mates) <= 8 and n not in c.mates for n, c in circles.items())
    seen, edge = {"n5"}, ["n5"]
    while edge:
        edge = [m for n in edge for m in circles[n].mates if m not in seen and not seen.add(m)]  # type: ignore[func-returns-value]
    assert len(seen) == 60


def test_the_dead_stay_out_until_they_show_a_newer_word() -> None:
    c = Circle(_card("me"), random.Random(1))
    c.take([_card("x", 5)])
    c.bury("x")
    c.take([_card("x", 5), _card("x", 4)])
    assert "x" not in c.mates
    c.take([_card("x", 6)])
    assert "x" in c.mates
    c.bury("x")
    c.take([_card("x", 0, inc=2)])
    assert c.mates["x"].card["inc"] == 2

"""Tests of postpass.membership.partial_view."""

from __future__ import annotations

import random

from postpass.membership.partial_view import MemberRecord, PartialView


def _record(name: str, beat: int = 0, inc: int = 1) -> MemberRecord:
    return MemberRecord(
        name=name, peer=f"{name}:1", area="a", duties=[], inc=inc, beat=beat, edition=0, release="1", disk=""
    )


def test_shuffles_join_everyone_and_views_stay_bounded() -> None:
    chance = random.Random(4)
    circles = {f"n{i}": PartialView(_record(f"n{i}"), random.Random(i)) for i in range(60)}
    for name, c in circles.items():
        c.merge([_record(f"n{i}") for i in range(3) if f"n{i}" != name])
    for _ in range(60):
        for name in chance.sample(sorted(circles), 60):
            c = circles[name]
            c.next_own_record()
            neighbour, offer = c.begin_shuffle()
            if neighbour is not None:
                given = offer[1:]
                c.merge(circles[neighbour.record["name"]].answer_shuffle(offer), given)
    assert all(len(c.neighbours) <= 8 and n not in c.neighbours for n, c in circles.items())
    seen, edge = {"n5"}, ["n5"]
    while edge:
        edge = [m for n in edge for m in circles[n].neighbours if m not in seen and not seen.add(m)]  # type: ignore[func-returns-value]
    assert len(seen) == 60


def test_the_dead_stay_out_until_they_show_a_newer_word() -> None:
    c = PartialView(_record("me"), random.Random(1))
    c.merge([_record("x", 5)])
    c.remove_dead("x")
    c.merge([_record("x", 5), _record("x", 4)])
    assert "x" not in c.neighbours
    c.merge([_record("x", 6)])
    assert "x" in c.neighbours
    c.remove_dead("x")
    c.merge([_record("x", 0, inc=2)])
    assert c.neighbours["x"].record["inc"] == 2

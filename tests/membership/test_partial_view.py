"""Tests of postpass.membership.partial_view."""

from __future__ import annotations

import random

from postpass.membership.partial_view import MemberRecord, PartialView


def _record(name: str, beat: int = 0, inc: int = 1) -> MemberRecord:
    return MemberRecord(
        name=name, peer=f"{name}:1", area="a", duties=[], inc=inc, beat=beat, edition=0, release="1", disk=""
    )


def test_shuffles_connect_all_daemons_and_views_stay_bounded() -> None:
    chance = random.Random(4)
    views = {f"n{i}": PartialView(_record(f"n{i}"), random.Random(i)) for i in range(60)}
    for name, view in views.items():
        view.merge([_record(f"n{i}") for i in range(3) if f"n{i}" != name])
    for _ in range(60):
        for name in chance.sample(sorted(views), 60):
            view = views[name]
            view.next_own_record()
            neighbour, offer = view.begin_shuffle()
            if neighbour is not None:
                given = offer[1:]
                view.merge(views[neighbour.record["name"]].answer_shuffle(offer), given)
    assert all(len(view.neighbours) <= 8 and n not in view.neighbours for n, view in views.items())
    reached, frontier = {"n5"}, ["n5"]
    while frontier:
        frontier = [m for n in frontier for m in views[n].neighbours if m not in reached and not reached.add(m)]  # type: ignore[func-returns-value]
    assert len(reached) == 60


def test_a_dead_daemon_is_added_again_only_by_a_newer_record() -> None:
    view = PartialView(_record("me"), random.Random(1))
    view.merge([_record("x", 5)])
    view.remove_dead("x")
    view.merge([_record("x", 5), _record("x", 4)])
    assert "x" not in view.neighbours
    view.merge([_record("x", 6)])
    assert "x" in view.neighbours
    view.remove_dead("x")
    view.merge([_record("x", 0, inc=2)])
    assert view.neighbours["x"].record["inc"] == 2

"""Tests of postpass.feed.configuration_view."""

from __future__ import annotations

import asyncio

from postpass.configuration.configuration import small
from postpass.feed.configuration_view import KEPT, News


def test_a_daemon_never_goes_back_an_edition() -> None:
    async def run() -> None:
        news = News("x")
        assert news.take(3, small()) and not news.take(2, small()) and not news.take(3, small())
        assert not news.take(4, {"name": "bad"}) and news.edition == 3
        assert not await news.wait(3, 0.01) and await news.wait(2, 0.01)

    asyncio.run(run())


def test_evacuated_members_stand_last() -> None:
    news = News("x", small(), 1)
    assert news.order(0)[0] == "s1"
    news.manifest = small() | {"evacuated": ["a"]}  # type: ignore[assignment]
    assert news.order(0)[-1] == "s1" and news.evacuated("s1")


def test_followers_take_changes_from_their_place_or_a_snapshot() -> None:
    main, near, late = News("m"), News("n"), News("l")
    main.take(1, small())
    assert near.follow(main.since(0)) and near.edition == 1
    for edition in range(2, KEPT + 9):
        main.take(edition, small() | {"name": f"e{edition}"})
        assert "changes" in main.since(near.edition) and near.follow(main.since(near.edition))
    assert near.manifest == main.manifest
    late.take(1, small())
    assert "snapshot" in main.since(1) and late.follow(main.since(1)) and late.edition == main.edition
    odd = main.since(main.edition - 1)
    near.edition -= 1
    odd["changes"][0]["seal"] = "other"
    assert not near.follow(odd)

"""Tests of postpass.feed.configuration_view."""

from __future__ import annotations

import asyncio

from postpass.feed.configuration_view import MAX_CHANGES, ConfigurationView
from tests.support.sample_configuration import small_configuration


def test_a_daemon_never_goes_back_an_edition() -> None:
    async def run() -> None:
        configuration_view = ConfigurationView("x")
        assert (
            configuration_view.accept(3, small_configuration())
            and not configuration_view.accept(2, small_configuration())
            and not configuration_view.accept(3, small_configuration())
        )
        assert not configuration_view.accept(4, {"name": "bad"}) and configuration_view.revision == 3
        assert not await configuration_view.wait(3, 0.01) and await configuration_view.wait(2, 0.01)

    asyncio.run(run())


def test_evacuated_members_stand_last() -> None:
    configuration_view = ConfigurationView("x", small_configuration(), 1)
    assert configuration_view.order(0)[0] == "s1"
    configuration_view.manifest = small_configuration() | {"evacuated": ["a"]}  # type: ignore[assignment]
    assert configuration_view.order(0)[-1] == "s1" and configuration_view.evacuated("s1")


def test_followers_take_changes_from_their_place_or_a_snapshot() -> None:
    main, near, late = ConfigurationView("m"), ConfigurationView("n"), ConfigurationView("l")
    main.accept(1, small_configuration())
    assert near.apply_answer(main.changes_since(0)) and near.revision == 1
    for revision in range(2, MAX_CHANGES + 9):
        main.accept(revision, small_configuration() | {"name": f"e{revision}"})
        assert "changes" in main.changes_since(near.revision) and near.apply_answer(main.changes_since(near.revision))
    assert near.manifest == main.manifest
    late.accept(1, small_configuration())
    assert (
        "snapshot" in main.changes_since(1)
        and late.apply_answer(main.changes_since(1))
        and late.revision == main.revision
    )
    odd = main.changes_since(main.revision - 1)
    near.revision -= 1
    odd["changes"][0]["seal"] = "other"
    assert not near.apply_answer(odd)

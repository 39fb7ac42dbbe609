"""Tests of postpass.feed.configuration_view."""

from __future__ import annotations

import asyncio

from postpass.feed.configuration_view import MAX_CHANGES, ConfigurationView
from tests.support.sample_configuration import small_configuration


def test_a_view_never_goes_back_to_an_older_revision() -> None:
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


def test_members_in_evacuated_zones_come_last() -> None:
    configuration_view = ConfigurationView("x", small_configuration(), 1)
    assert configuration_view.order(0)[0] == "s1"
    configuration_view.manifest = small_configuration() | {"evacuated": ["a"]}  # type: ignore[assignment]
    assert configuration_view.order(0)[-1] == "s1" and configuration_view.evacuated("s1")


def test_followers_get_the_changes_since_their_revision_or_a_snapshot() -> None:
    source, follower, outdated = ConfigurationView("m"), ConfigurationView("n"), ConfigurationView("l")
    source.accept(1, small_configuration())
    assert follower.apply_answer(source.changes_since(0)) and follower.revision == 1
    for revision in range(2, MAX_CHANGES + 9):
        source.accept(revision, small_configuration() | {"name": f"e{revision}"})
        assert "changes" in source.changes_since(follower.revision) and follower.apply_answer(
            source.changes_since(follower.revision)
        )
    assert follower.manifest == source.manifest
    outdated.accept(1, small_configuration())
    assert (
        "snapshot" in source.changes_since(1)
        and outdated.apply_answer(source.changes_since(1))
        and outdated.revision == source.revision
    )
    answer = source.changes_since(source.revision - 1)
    follower.revision -= 1
    answer["changes"][0]["seal"] = "other"
    assert not follower.apply_answer(answer)

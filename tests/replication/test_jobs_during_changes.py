"""Jobs that are handed in and read all the while, as stores are added and struck, are found by every later reader."""

from __future__ import annotations

import pytest

from postpass.replication.leadership_check import LeadershipCheck
from tests.replication.jobs_during_changes import play


@pytest.mark.parametrize("seed", [5, 10])
def test_jobs_that_are_handed_in_during_changes_are_not_lost(seed: int) -> None:
    """Guards against blank stores that declare accepted jobs lost; both seeds lost some before all stores were asked."""
    search = play(seed)
    assert search.breaches == []
    assert len(search.accepted) > 200 and search.reads > 2000


def test_the_search_finds_an_owner_that_answers_reads_without_confirmation(monkeypatch: pytest.MonkeyPatch) -> None:
    """A frozen owner that wakes answers the reads that wait at it, though another one has accepted jobs since."""

    async def confirm(*_: object) -> bool:
        return True

    monkeypatch.setattr(LeadershipCheck, "confirm", confirm)
    assert any("has no Acceptance" in breach for seed in (2, 3) for breach in play(seed).breaches)

"""A second loss while members change: nothing acknowledged is lost, and the fleet serves again."""

from __future__ import annotations

import pytest

from tests.membership_drill import Drill, Loss, play


@pytest.mark.parametrize("owner", ["s1", "s2", "s3"])
def test_an_owner_that_loses_its_disk_in_a_retirement_hinders_no_other(owner: str) -> None:
    """It comes back blank and first in the order, and doesn't know that the store being emptied is a member still."""
    drill = Drill("retire s4", Loss("wipe", owner, after=0.0, down=0.15), last_wipe="s2" if owner != "s2" else "s3")
    verdict = play(drill)
    assert verdict.flaws == [], verdict.notes


@pytest.mark.parametrize("kind", ["power", "wipe", "freeze", "cut"])
@pytest.mark.parametrize(("stores", "quiet"), [(4, True), (5, False)])
def test_a_store_is_done_only_when_the_others_bear_the_next_loss(kind: str, stores: int, quiet: bool) -> None:
    """One of those that stay is away when the retirement begins; the emptied store's disk goes at `done`."""
    loss = Loss(kind, "s3", after=0.0, down=6.0)
    verdict = play(Drill("retire s4", loss, last_wipe="s2", stores=stores, quiet=quiet))
    assert verdict.flaws == [], verdict.notes


@pytest.mark.parametrize("kind", ["power", "wipe", "cut"])
def test_right_after_done_another_store_may_be_lost(kind: str) -> None:
    loss = Loss(kind, "owner", after=0.0, down=3.0, since="done")
    verdict = play(Drill("retire s4", loss, last_wipe="s2"))
    assert verdict.flaws == [], verdict.notes


@pytest.mark.parametrize("kind", ["kill", "wipe", "cut"])
def test_a_replaced_store_is_dropped_also_when_the_new_one_came_first(kind: str) -> None:
    """Else its copies would be missing for good, and the next lost disk would leave no majority."""
    verdict = play(Drill("planned s1", Loss(kind, "joined", after=0.5, down=1.0), last_wipe="s3", stores=3))
    assert verdict.flaws == [], verdict.notes

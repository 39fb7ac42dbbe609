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

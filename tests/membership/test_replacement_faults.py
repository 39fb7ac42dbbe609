"""A second loss while members change: nothing acknowledged is lost, and the fleet serves again."""

from __future__ import annotations

import pytest

from tests.support.membership_drill import KINDS, SYNC, Drill, Loss, play, points_of


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


@pytest.mark.parametrize(
    ("step", "victim", "kind", "control"),
    [
        ("planned primary", "backup", "power", 3),
        ("planned primary", "backup", "wipe", 3),
        ("planned backup", "primary", "wipe", 4),
        ("planned witness", "primary", "power", 4),
    ],
)
def test_a_control_member_leaves_only_when_others_hold_what_it_holds(
    step: str, victim: str, kind: str, control: int
) -> None:
    """The new member first, then SIGTERM of the old one in the moment in which another is lost."""
    verdict = play(Drill(step, Loss(kind, victim, after=SYNC, down=1.0), control=control, last_wipe="primary"))
    assert verdict.flaws == [], verdict.notes


def spread(points: list[int], count: int) -> list[int]:
    """So many of them, evenly."""
    return [points[i * len(points) // count] for i in range(count)] if points else []


@pytest.mark.parametrize("kind", KINDS)
def test_a_second_loss_at_any_step_of_a_retirement_is_borne(kind: str) -> None:
    """A retirement is no loss, so that one machine may be lost at each of its points; all points by the command
    `python -m tests.support.membership_drill`, a spread sample here."""
    for victim, point in zip(("owner", "mirror"), spread(points_of("retire s4"), 2), strict=True):
        verdict = play(Drill("retire s4", Loss(kind, victim, 0.0, 1.0), point=point, last_wipe="s2"))
        assert verdict.flaws == [], (point, verdict.notes)


@pytest.mark.parametrize("first", KINDS)
def test_another_machine_may_be_lost_once_the_first_is_back_for_the_time_in_which_it_counts_again(first: str) -> None:
    for role, victim, kind in (("primary", "backup", "wipe"), ("owner", "mirror", "wipe")):
        drill = Drill(f"{first} {role} 0.15", Loss(kind, victim, 0.15 + SYNC, 3.0), last_wipe="primary")
        verdict = play(drill)
        assert verdict.flaws == [], verdict.notes


def test_two_may_be_lost_at_once_where_two_are_tolerated() -> None:
    for step, victim in (("wipe primary 0.5", "backup"), ("wipe owner 0.5", "mirror"), ("refill mirror", "owner")):
        verdict = play(Drill(step, Loss("wipe", victim, 0.1, 1.0), control=5, stores=6, lost=2))
        assert verdict.flaws == [], verdict.notes


@pytest.mark.parametrize(
    ("step", "seed"), [*(("wipe s2 1.0", n) for n in range(1, 7)), *(("replace s2", n) for n in range(1, 4))]
)
@pytest.mark.parametrize("stores", [3, 4])
def test_an_owner_may_be_lost_the_moment_a_repair_is_complete(stores: int, step: str, seed: int) -> None:
    """Then power fails for all: each log that is left must prove by itself that the change of members is covered."""
    drill = Drill(step, power_at_complete=True, last_wipe="last owner", stores=stores, quiet=True, seed=seed)
    verdict = play(drill)
    assert verdict.repaired and verdict.flaws == [], verdict.notes

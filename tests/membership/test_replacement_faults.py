"""A second loss while members change: no acknowledged data is lost, and the fleet serves again."""

from __future__ import annotations

import pytest

from tests.support.membership_drill import KINDS, SYNC, Drill, Loss, play, points_of


@pytest.mark.parametrize("owner", ["s1", "s2", "s3"])
def test_an_owner_that_loses_its_disk_in_a_retirement_blocks_no_other_owner(owner: str) -> None:
    """The owner returns with an empty disk, is first in the order, and doesn't know that the retiring store is a member still."""
    drill = Drill("retire s4", Loss("wipe", owner, after=0.0, down=0.15), last_wipe="s2" if owner != "s2" else "s3")
    result = play(drill)
    assert result.flaws == [], result.notes


@pytest.mark.parametrize("kind", ["power", "wipe", "freeze", "cut"])
@pytest.mark.parametrize(("stores", "quiet"), [(4, True), (5, False)])
def test_a_store_is_retired_only_when_the_others_survive_the_next_loss(kind: str, stores: int, quiet: bool) -> None:
    """One of the remaining stores is away when the retirement begins; the disk of the emptied store is removed at `done`."""
    loss = Loss(kind, "s3", after=0.0, down=6.0)
    result = play(Drill("retire s4", loss, last_wipe="s2", stores=stores, quiet=quiet))
    assert result.flaws == [], result.notes


@pytest.mark.parametrize("kind", ["power", "wipe", "cut"])
def test_right_after_done_another_store_may_be_lost(kind: str) -> None:
    loss = Loss(kind, "owner", after=0.0, down=3.0, since="done")
    result = play(Drill("retire s4", loss, last_wipe="s2"))
    assert result.flaws == [], result.notes


@pytest.mark.parametrize("kind", ["kill", "wipe", "cut"])
def test_a_replaced_store_is_dropped_also_when_the_new_one_came_first(kind: str) -> None:
    """Otherwise its copies would be missing for good, and the loss of another disk would leave no majority."""
    result = play(Drill("planned s1", Loss(kind, "joined", after=0.5, down=1.0), last_wipe="s3", stores=3))
    assert result.flaws == [], result.notes


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
    """The new member is started first; then the old one gets SIGTERM at the same moment at which another one is lost."""
    result = play(Drill(step, Loss(kind, victim, after=SYNC, down=1.0), control=control, last_wipe="primary"))
    assert result.flaws == [], result.notes


def spread(points: list[int], count: int) -> list[int]:
    """Returns `count` of the points, evenly spread."""
    return [points[i * len(points) // count] for i in range(count)] if points else []


@pytest.mark.parametrize("kind", KINDS)
def test_a_second_loss_at_any_step_of_a_retirement_is_survived(kind: str) -> None:
    """A retirement doesn't count as a loss, so that one machine may be lost at each of its points.

    This test takes a sample of the points; the command `python -m tests.support.membership_drill` runs all of them.
    """
    for victim, point in zip(("owner", "mirror"), spread(points_of("retire s4"), 2), strict=True):
        result = play(Drill("retire s4", Loss(kind, victim, 0.0, 1.0), point=point, last_wipe="s2"))
        assert result.flaws == [], (point, result.notes)


@pytest.mark.parametrize("first", KINDS)
def test_another_machine_may_be_lost_once_the_first_is_back_for_the_time_in_which_it_counts_again(first: str) -> None:
    for role, victim, kind in (("primary", "backup", "wipe"), ("owner", "mirror", "wipe")):
        drill = Drill(f"{first} {role} 0.15", Loss(kind, victim, 0.15 + SYNC, 3.0), last_wipe="primary")
        result = play(drill)
        assert result.flaws == [], result.notes


def test_two_may_be_lost_at_once_where_two_are_tolerated() -> None:
    for step, victim in (("wipe primary 0.5", "backup"), ("wipe owner 0.5", "mirror"), ("refill mirror", "owner")):
        result = play(Drill(step, Loss("wipe", victim, 0.1, 1.0), control=5, stores=6, lost=2))
        assert result.flaws == [], result.notes


@pytest.mark.parametrize(
    ("step", "seed"), [*(("wipe s2 1.0", n) for n in range(1, 7)), *(("replace s2", n) for n in range(1, 4))]
)
@pytest.mark.parametrize("stores", [3, 4])
def test_an_owner_may_be_lost_the_moment_a_repair_is_complete(stores: int, step: str, seed: int) -> None:
    """Then the power of all fails: each remaining log must prove by itself that the change of members is covered."""
    drill = Drill(step, power_at_complete=True, last_wipe="last owner", stores=stores, quiet=True, seed=seed)
    result = play(drill)
    assert result.repaired and result.flaws == [], result.notes

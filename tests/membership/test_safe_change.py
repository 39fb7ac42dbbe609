"""Safe changes of members: the rules by themselves, checked for all combinations in small fleets."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from postpass.membership.safe_change import (
    Change,
    Margin,
    Presence,
    Situation,
    Tolerance,
    Topology,
    copies_survive,
    is_safe,
    keeps_majority_after_loss,
    machine_to_drop,
    majority_of,
    margin,
    next_change,
    next_voters,
    safe_copies,
)

INFINITY = float("inf")
ONE = Tolerance(1, 1)
TWO = Tolerance(2, 1)


def topology(zones: str, tolerance: Tolerance = ONE) -> Topology:
    """Returns a topology of machines m1, m2, … whose zones are named by one letter each."""
    return Topology({f"m{i}": zone for i, zone in enumerate(zones, 1)}, tolerance)


def disks(*names: str) -> dict[str, str]:
    return {name: f"disk of {name}" for name in names}


def situation(current: str, wanted: str, ready: str, zones: str, tolerance: Tolerance = ONE) -> Situation:
    """Returns a situation, with members given by their numbers: `situation("123", "124", "1234", "abca")`."""

    def named(numbers: str) -> list[str]:
        return [f"m{n}" for n in numbers]

    ready_disks = disks(*named(ready))
    return Situation(disks(*named(current)), named(wanted), ready_disks, list(ready_disks), topology(zones, tolerance))


def test_margin_counts_what_the_worst_loss_leaves_above_a_majority() -> None:
    names = ["m1", "m2", "m3", "m4"]
    assert margin(names, names, topology("abcd")) == Margin(0, 0)
    assert margin(names, names, topology("abca")) == Margin(0, -1)
    assert margin(names, names[1:], topology("abcd")) == Margin(-1, -1)
    assert not keeps_majority_after_loss(names, names, topology("abcd", TWO))
    assert keeps_majority_after_loss([*names, "m5"], [*names, "m5"], topology("abcda", TWO))


def test_copies_survive_only_if_the_worst_loss_leaves_one() -> None:
    assert not copies_survive([], topology("abc")) and not copies_survive(["m1"], topology("abc"))
    assert copies_survive(["m1", "m2"], topology("abc")) and not copies_survive(["m1", "m2"], topology("aab"))
    assert not copies_survive(["m1", "m2"], topology("abc", TWO))


def test_a_new_member_takes_the_place_of_one_that_is_gone() -> None:
    change = next_change(situation("123", "234", "234", "abca"))
    assert change == Change(disks("m2", "m3", "m4"), ("m4",), ("m1",))


def test_a_member_with_a_new_disk_is_counted_by_that_disk_once_it_is_ready() -> None:
    filling = Situation(disks("m1", "m2", "m3"), ["m1", "m2", "m3"], disks("m1", "m2"), ["m3"], topology("abc"))
    assert next_change(filling) is None
    ready = disks("m1", "m2") | {"m3": "new"}
    change = next_change(Situation(filling.current, filling.wanted, ready, list(ready), topology("abc")))
    assert change is not None and change.members == disks("m1", "m2") | {"m3": "new"}


def test_a_live_member_stays_while_another_is_away_and_leaves_once_it_is_back() -> None:
    assert next_change(situation("1234", "123", "124", "abcd")) is None
    assert next_change(situation("1234", "123", "1234", "abcd")) == Change(disks("m1", "m2", "m3"), leaves=("m4",))


def test_a_dead_member_leaves_even_while_the_wanted_ones_are_incomplete() -> None:
    assert next_change(situation("1234", "1235", "123", "abcdd")) == Change(disks("m1", "m2", "m3"), leaves=("m4",))


def test_a_member_that_is_being_filled_is_not_dead() -> None:
    before_change = situation("1234", "1235", "123", "abcdd")
    filling = Situation(
        before_change.current,
        before_change.wanted,
        before_change.ready,
        ["m1", "m2", "m3", "m4"],
        before_change.topology,
    )
    assert next_change(filling) is None


def test_the_owner_itself_does_not_leave() -> None:
    before_change = situation("1234", "123", "1234", "abcd")
    assert next_change(before_change, must_stay="m4") is None


@pytest.mark.parametrize("tolerance", [ONE, TWO])
@pytest.mark.parametrize("zones", ["abcdab", "aabbcc", "abcabc", "aaaaaa"])
def test_every_wanted_set_is_reached_and_each_step_is_safe(zones: str, tolerance: Tolerance) -> None:
    """From any 3 to 5 members to any wanted ones, all ready: the changes come to an end, and each of them is safe."""
    for current, wanted in itertools.product(_subsets(3, 5), _subsets(3, 5)):
        members, steps = current, 0
        while set(members) != set(wanted):
            before_change = situation(members, wanted, "123456", zones, tolerance)
            change = next_change(before_change)
            assert change is not None, (members, wanted)
            assert len(change.joins) + len(change.leaves) <= 2 and is_safe(before_change, change)
            members = "".join(sorted(name[1:] for name in change.members))
            steps += 1
            assert steps <= 6, (current, wanted)


def _subsets(min_size: int, max_size: int) -> Iterator[str]:
    for size in range(min_size, max_size + 1):
        yield from map("".join, itertools.combinations("123456", size))


@pytest.mark.parametrize("zones", ["abcdab", "abcabc"])
def test_with_one_away_no_change_lets_the_next_loss_take_the_majority_that_there_was(zones: str) -> None:
    """Whichever machine is away and whichever are wanted: if a loss was survivable before a change, one is after it."""
    zones_of_machines = topology(zones)
    for current, wanted, away in itertools.product(_subsets(3, 5), _subsets(3, 4), "123456"):
        ready = "123456".replace(away, "")
        before_change = situation(current, wanted, ready, zones)
        change = next_change(before_change)
        if change is None or not keeps_majority_after_loss(
            before_change.current, before_change.live, zones_of_machines
        ):
            continue
        if not keeps_majority_after_loss(before_change.wanted, before_change.wanted, zones_of_machines):
            # The wanted members can't survive a loss: a retirement that leaves these is refused, and the number of copies
            # is chosen so that this doesn't occur.
            continue
        live = {name for name in change.members if name in before_change.ready}
        assert keeps_majority_after_loss(change.members, live, zones_of_machines), (current, wanted, away, change)
        assert len(live) >= majority_of(len(change.members))


def test_four_copies_in_three_zones_survive_less_than_three() -> None:
    assert safe_copies(list("abcd"), 4, ONE) == 4
    assert safe_copies(list("abca"), 4, ONE) == 3
    assert safe_copies(list("abcda"), 4, ONE) == 4
    assert safe_copies(list("abcdabcd"), 5, TWO) == 5
    assert safe_copies(list("aaaa"), 4, ONE) == 4  # no number of copies survives the loss of the only zone
    assert safe_copies([], 4, ONE) == 0


def presence(zone: str = "a", **more: float) -> Presence:
    duties = frozenset(["control"])
    known, silent, born = more.get("known", INFINITY), more.get("silent", 0.0), int(more.get("born", 1))
    return Presence(duties, zone, silent, known, born)


def dropped(machines: dict[str, Presence]) -> str | None:
    return machine_to_drop(machines, lambda _: 3, 2.5)


def test_a_silent_machine_is_dropped_once_another_has_replaced_it() -> None:
    rest = {"m2": presence("b"), "m3": presence("c")}
    assert dropped(rest | {"m1": presence(silent=4), "m4": presence(known=3)}) == "m1"
    # It is not silent for long enough; the other one is in another zone; too few would remain.
    assert dropped(rest | {"m1": presence(silent=2), "m4": presence(known=1)}) is None
    assert dropped(rest | {"m1": presence(silent=4), "m4": presence("d", known=3)}) is None
    assert dropped({"m2": presence("b"), "m1": presence(silent=4), "m4": presence(known=3)}) is None


def test_a_planned_replacement_starts_the_new_machine_before_the_old_one_goes() -> None:
    rest = {"m2": presence("b"), "m3": presence("c")}
    assert dropped(rest | {"m1": presence(silent=6), "m4": presence(known=12)}) == "m1"
    assert dropped(rest | {"m1": presence(silent=6), "m4": presence(known=20)}) is None  # joined too long before
    assert dropped(rest | {"m1": presence(silent=3), "m4": presence(known=8)}) is None  # frozen or cut off for a moment
    assert dropped(rest | {"m1": presence(silent=4), "m4": presence(known=60, born=2)}) is None
    assert dropped(rest | {"m1": presence(silent=6), "m4": presence(known=60, born=2)}) == "m1"
    assert dropped(rest | {"m1": presence(silent=6, born=2), "m4": presence(known=60)}) is None


def test_a_leaving_voter_gives_up_its_vote_if_the_others_then_survive_the_next_loss() -> None:
    names = [f"m{i}" for i in range(1, 6)]

    def after(count: int) -> set[str]:
        voters = disks(*names[:count])
        return set(next_voters(voters, names[:count], voters, topology("abcda"), ["m1"]))

    assert after(4) == {"m2", "m3", "m4"}
    # Of three voters, its vote may still be needed; of five, its absence is tolerated anyway.
    assert after(3) == {"m1", "m2", "m3"} and after(5) == set(names)
    # Once it is back, it becomes a voter again.
    back = next_voters(disks("m2", "m3", "m4"), names[:4], disks(*names[:4]), topology("abcd"))
    assert set(back) == set(names[:4])


def test_one_machine_is_dropped_at_a_time() -> None:
    rest = {"m2": presence("b"), "m3": presence("c"), "m6": presence("d")}
    gone = {"m1": presence(silent=4), "m5": presence(silent=4)}
    assert dropped(rest | gone | {"m4": presence(known=3)}) == "m1"


def test_with_no_wanted_members_known_nobody_leaves() -> None:
    assert next_change(situation("1234", "", "1234", "abcd")) is None

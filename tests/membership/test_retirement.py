"""When a store may be retired, and how many copies the remaining stores keep."""

from __future__ import annotations

from postpass.configuration.configuration import members
from postpass.membership.machine_registry import initial_configuration, with_machine
from postpass.membership.operator_changes import retirement_refusal, with_retiring_store, without_emptied_store
from postpass.membership.registry import MachineAnnouncement, State, with_parts
from postpass.membership.safe_change import Tolerance


def fleet(copies: int, **zones: str) -> State:
    entries: list[MachineAnnouncement] = [
        {"name": n, "area": a, "peer": f"{n}:1", "http": f"{n}:2", "duties": ["store"], "born": 1, "disk": n}
        for n, a in zones.items()
    ]
    return with_parts(State(manifest=initial_configuration(entries, sorted(set(zones.values())), 1)), copies=copies)


def entry(name: str, disk: str, born: int) -> MachineAnnouncement:
    return {
        "name": name,
        "area": "a",
        "peer": f"{name}:1",
        "http": f"{name}:2",
        "duties": ["store"],
        "born": born,
        "disk": disk,
    }


def refusal_code(state: State, name: str, tolerance: Tolerance) -> int:
    """Returns the code of the fault with which a retirement is refused; 0 if it is accepted."""
    flaw = retirement_refusal(state, name, tolerance)
    return flaw.code if flaw is not None else 0


def test_the_last_spare_store_may_go_with_one_copy_fewer() -> None:
    four = fleet(4, s1="a", s2="b", s3="c", s4="d")
    assert retirement_refusal(four, "s4", Tolerance(1, 1)) is None
    three = with_retiring_store(four, "s4", Tolerance(1, 1))
    assert three.configuration["copies"] == 3 and set(members(three.configuration, 0)) == {"s1", "s2", "s3"}
    # Retiring one more would leave two stores, and no majority after a loss. Ordering the same retirement again is accepted.
    assert (
        refusal_code(three, "s3", Tolerance(1, 1)) == 409 and retirement_refusal(three, "s4", Tolerance(1, 1)) is None
    )


def test_with_a_spare_store_the_copies_stay() -> None:
    five = fleet(4, s1="a", s2="b", s3="c", s4="d", s5="a")
    assert (
        retirement_refusal(five, "s5", Tolerance(1, 1)) is None
        and with_retiring_store(five, "s5", Tolerance(1, 1)).configuration["copies"] == 4
    )


def test_two_of_three_copies_in_one_zone_would_be_too_few() -> None:
    four = fleet(4, s1="a", s2="a", s3="c", s4="d")
    assert refusal_code(four, "s4", Tolerance(1, 1)) == 409
    assert retirement_refusal(four, "s2", Tolerance(1, 1)) is None
    assert retirement_refusal(four, "s4", Tolerance(1, 0)) is None


def test_the_tolerated_loss_determines_how_many_stores_must_remain() -> None:
    five = fleet(5, s1="a", s2="b", s3="c", s4="d", s5="e")
    assert refusal_code(five, "s5", Tolerance(2, 1)) == 409 and retirement_refusal(five, "s5", Tolerance(1, 1)) is None
    assert refusal_code(five, "nobody", Tolerance(1, 1)) == 404


def test_an_emptied_store_cannot_rejoin_but_one_of_its_name_with_another_disk_can() -> None:
    four = without_emptied_store(
        with_retiring_store(fleet(4, s1="a", s2="b", s3="c", s4="d", s5="a"), "s5", Tolerance(1, 1)), "s5"
    )
    assert "s5" in four.retired and retirement_refusal(four, "s5", Tolerance(1, 1)) is None
    assert with_machine(four, entry("s5", "s5", 2)) is four
    five = with_machine(four, entry("s5", "new", 2))
    assert "s5" in five.configuration["machines"] and "s5" not in five.retired
    # It has copies again: its retirement is a new order, and isn't completed at once.
    again = with_retiring_store(five, "s5", Tolerance(1, 1))
    assert again.configuration["machines"]["s5"].get("retire") and "s5" not in again.retired


def test_fewer_copies_if_a_retirement_would_leave_two_in_one_zone() -> None:
    """Four copies with two of them in one zone don't survive the loss of that zone; three copies do."""
    five = fleet(4, s1="a", s2="b", s3="c", s4="d", s5="a")
    retiring = with_retiring_store(five, "s4", Tolerance(1, 1))
    assert retirement_refusal(five, "s4", Tolerance(1, 1)) is None and retiring.configuration["copies"] == 3
    assert all({"s2", "s3"} < set(members(retiring.configuration, part)) for part in range(8))

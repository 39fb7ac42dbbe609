"""The codec of the control state."""

from __future__ import annotations

from postpass.control.epochs import Pair
from postpass.control.state import Held
from postpass.membership.registry import State


def test_held_state_knows_when_it_is_damaged() -> None:
    held = Held(3, Pair(3, "c1", ("c2",), {"c1": "d"}), State(7, None, 1))
    assert Held.load(held.dump()) == held
    try:
        Held.load(held.dump().replace(b'edition\\":7', b'edition\\":8'))
    except ValueError as bad:
        assert "sum" in str(bad)
    else:
        raise AssertionError("damage was not seen")


def test_a_settled_state_is_later_than_any_proposal_of_its_epoch() -> None:
    voters = {"c1": "d1", "c2": "d2"}
    proposed = Pair(3, "c1", ("c2",), voters, {"c1": "d1", "c2": "old"})
    order = [
        Held(2, Pair(2, "c1", ("c2",), voters), State(9, None)),
        Held(3, proposed, State(7, None)),
        Held(3, proposed.settled(), State(7, None)),
        Held(3, proposed.settled(), State(8, None)),
    ]
    assert [held.order for held in order] == sorted({held.order for held in order})
    assert all(Held.load(held.dump()) == held for held in order)

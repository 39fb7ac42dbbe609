"""The codec of the control state."""

from __future__ import annotations

from postpass.control.epochs import ReplicaSet
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State


def test_held_state_knows_when_it_is_damaged() -> None:
    held = ReplicatedState(3, ReplicaSet(3, "c1", ("c2",), {"c1": "d"}), State(7, None, 1))
    assert ReplicatedState.load(held.dump()) == held
    try:
        ReplicatedState.load(held.dump().replace(b'edition\\":7', b'edition\\":8'))
    except ValueError as bad:
        assert "sum" in str(bad)
    else:
        raise AssertionError("damage was not seen")


def test_a_settled_state_is_later_than_any_proposal_of_its_epoch() -> None:
    voters = {"c1": "d1", "c2": "d2"}
    proposed = ReplicaSet(3, "c1", ("c2",), voters, {"c1": "d1", "c2": "old"})
    order = [
        ReplicatedState(2, ReplicaSet(2, "c1", ("c2",), voters), State(9, None)),
        ReplicatedState(3, proposed, State(7, None)),
        ReplicatedState(3, proposed.settled(), State(7, None)),
        ReplicatedState(3, proposed.settled(), State(8, None)),
    ]
    assert [held.order for held in order] == sorted({held.order for held in order})
    assert all(ReplicatedState.load(held.dump()) == held for held in order)

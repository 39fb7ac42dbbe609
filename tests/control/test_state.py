"""The encoding and the order of control states."""

from __future__ import annotations

from postpass.control.epochs import ReplicaSet
from postpass.control.state import ReplicatedState
from postpass.membership.registry import State


def test_a_damaged_state_file_is_detected() -> None:
    state = ReplicatedState(3, ReplicaSet(3, "c1", ("c2",), {"c1": "d"}), State(7, None, 1))
    assert ReplicatedState.load(state.dump()) == state
    try:
        ReplicatedState.load(state.dump().replace(b'edition\\":7', b'edition\\":8'))
    except ValueError as error:
        assert "checksum" in str(error)
    else:
        raise AssertionError("the damage was not detected")


def test_a_settled_state_is_later_than_any_proposal_of_its_epoch() -> None:
    voters = {"c1": "d1", "c2": "d2"}
    proposed = ReplicaSet(3, "c1", ("c2",), voters, {"c1": "d1", "c2": "old"})
    ascending = [
        ReplicatedState(2, ReplicaSet(2, "c1", ("c2",), voters), State(9, None)),
        ReplicatedState(3, proposed, State(7, None)),
        ReplicatedState(3, proposed.settled(), State(7, None)),
        ReplicatedState(3, proposed.settled(), State(8, None)),
    ]
    assert [state.order for state in ascending] == sorted({state.order for state in ascending})
    assert all(ReplicatedState.load(state.dump()) == state for state in ascending)

"""How a configuration order changes the state, including a state read from the state file of the last release."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from postpass.configuration.accepted_orders import ConfigurationOrder
from postpass.configuration.tenant_keys import key_digest
from postpass.control.configuration import ConfigurationChange
from postpass.control.state import ReplicatedState
from postpass.membership.machine_registry import initial_configuration
from postpass.membership.registry import State, state_after_loss
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter

REMEMBERED = 1_000


def change_of(sent: Any, base: int, is_patch: bool = False, remembered: int = REMEMBERED) -> ConfigurationChange:
    return ConfigurationChange("c1", adapter("configuration").TRANSLATOR, remembered, sent, base, is_patch)


def state_after(versions: int, remembered: int = REMEMBERED) -> State:
    """The state after so many orders, each of which raises the version by one."""
    state = State(manifest=initial_configuration([], ["a"], 1))
    for version in range(1, versions + 1):
        state = change_of(document(version), version - 1, remembered=remembered)(state).unwrap()
    return state


def status_code(state: State, sent: Any, base: int, is_patch: bool = False) -> int:
    """The status code with which an order is answered: 200 if it was accepted before, 201 if it is accepted now."""
    result = change_of(sent, base, is_patch)(state)
    if result.is_err():
        return result.unwrap_err().code
    return 200 if result.unwrap() is state else 201


def reloaded(state: State) -> State:
    """The state after it was written to a disk and read again."""
    return ReplicatedState.load(ReplicatedState(1, state=state).dump()).state


def test_every_order_is_known_again_after_a_restart() -> None:
    state = reloaded(state_after(300))
    assert {status_code(state, document(version), version - 1) for version in range(1, 301)} == {200}
    assert status_code(state, document(300) | {"limits": {}}, 299) == 412
    assert (
        status_code(state, document(300), 4) == 200
    )  # it names a wrong base, but this very configuration was accepted
    assert status_code(state, document(301), 300) == 201


def test_a_change_is_known_by_its_base_and_a_whole_document_by_its_contents() -> None:
    state = state_after(3)
    patch = {"version": 5, "remove": {"routes": ["r2"]}}
    taken = change_of(patch, 3, is_patch=True)(state).unwrap()
    later = change_of(document(9), 5)(taken).unwrap()
    assert status_code(later, patch, 3, is_patch=True) == 200
    assert status_code(later, patch, 2, is_patch=True) == 412 == status_code(later, patch, 9 - 1, is_patch=True)
    assert status_code(later, patch, 9, is_patch=True) == 400  # its version is not above the newest


def test_the_state_of_the_last_release_is_read_and_its_orders_are_known() -> None:
    """That release stored the digests of the last 16 orders. These are acknowledged again; whether older ones were
    accepted is unknown."""
    original = state_after(20)
    digests = [ConfigurationOrder.of(document(version)).digest for version in range(5, 21)]
    state = reloaded(replace(original, orders=digests))
    for later in (state, change_of(document(22), 20)(state).unwrap()):
        assert {status_code(later, document(version), version - 1) for version in range(5, 21)} == {200}
        assert {status_code(later, document(version), version - 1) for version in range(1, 5)} == {504}
    assert status_code(state, document(22), 20) == 201
    assert status_code(state, document(20), 99) == 200 and status_code(state, document(2) | {"limits": {}}, 20) == 400


def test_the_state_of_a_release_without_a_memory_is_read() -> None:
    raw = {k: v for k, v in vars(state_after(3)).items() if k != "orders"}
    state = State(**raw)
    assert status_code(state, document(4), 3) == 201 and status_code(state, document(4), 1) == 412


def test_an_order_from_before_the_memory_is_neither_acknowledged_nor_refused() -> None:
    state = state_after(200, remembered=20)
    known = [status_code(state, document(version), version - 1) for version in range(1, 201)]
    assert set(known[-20:]) == {200} and set(known[:100]) == {504}
    assert (
        status_code(state, document(3), 200) == 400
    )  # invalid: an order whose base is the newest version was never accepted
    assert status_code(state, document(3) | {"routes": 7}, 2) == 400


def test_after_a_loss_an_older_order_is_neither_acknowledged_nor_refused() -> None:
    state = state_after_loss(9, state_after(7).configuration, 1)
    assert status_code(state, document(7), 6) == 504 and status_code(state, document(8), 7) == 201
    assert status_code(state, document(8), 6) == 412


def test_tenants_come_change_and_go_with_the_document() -> None:
    with_keys = document(2) | {
        "tenants": [{"name": "a", "keys": ["one", "two"], "rateS": 5}, {"name": "b", "keys": []}]
    }
    state = change_of(with_keys, 1)(state_after(1)).unwrap()
    assert state.configuration["tenants"] == {
        "a": {"keys": [key_digest(b"one"), key_digest(b"two")], "rate": 5.0, "burst": 0.0},
        "b": {"keys": [], "rate": 0.0, "burst": 0.0},
    }
    assert state.source == with_keys
    patch = {"version": 3, "upsert": {"tenants": [{"name": "b", "keys": ["two"]}, {"name": "a", "keys": ["one"]}]}}
    moved = change_of(patch, 2, is_patch=True)(state).unwrap()
    assert [tenant["keys"] for tenant in moved.configuration["tenants"].values()] == [
        [key_digest(b"one")],
        [key_digest(b"two")],
    ]
    assert (
        status_code(moved, patch, 2, is_patch=True) == 200
        and status_code(moved, patch | {"version": 4}, 2, is_patch=True) == 412
    )
    without = change_of(document(9), 3)(moved).unwrap()
    assert "tenants" not in without.configuration and "tenants" not in without.source


def test_an_invalid_tenant_is_refused_whole_or_patched_and_no_fault_shows_a_key() -> None:
    key = "h5mgjy5rcpihhacrudde"
    state = change_of(document(2) | {"tenants": [{"name": "a", "keys": [key]}]}, 1)(state_after(1)).unwrap()
    for sent, base, is_patch in (
        ({"version": 3, "upsert": {"tenants": [{"name": "b", "keys": [key]}]}}, 2, True),
        ({"version": 3, "upsert": {"tenants": [{"name": "b", "keys": key}]}}, 2, True),
        ({"version": 3, "upsert": {"tenants": {"b": [key]}}}, 2, True),
        (document(3) | {"tenants": [{"name": "a", "keys": [key]}, {"name": "b", "keys": [key]}]}, 2, False),
        (document(3) | {"tenants": [key]}, 2, False),
        ([{"name": "a", "keys": [key]}], 2, False),
    ):
        fault = change_of(sent, base, is_patch)(state).unwrap_err()
        assert fault.code == 400 and key not in str(fault.as_json()), fault


def test_what_an_order_leaves_alone_is_shared_with_the_state_before() -> None:
    tenants = [{"name": f"t{i}", "keys": [f"key{i}"]} for i in range(9)]
    before = change_of(document(2) | {"tenants": tenants}, 1)(state_after(1)).unwrap().configuration
    state = State(manifest=before, source=document(2) | {"tenants": tenants})
    patch = {"version": 3, "upsert": {"tenants": [{"name": "t4", "keys": []}]}}
    now = change_of(patch, 2, is_patch=True)(state).unwrap().configuration
    assert [name for name in now["tenants"] if now["tenants"][name] is not before["tenants"][name]] == ["t4"]
    assert all(now[part] is before[part] for part in ("routes", "pools", "machines", "limits"))  # type: ignore[literal-required]

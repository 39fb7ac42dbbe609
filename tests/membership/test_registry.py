"""Tests of postpass.membership.registry."""

from __future__ import annotations

from typing import Any

import pytest

from postpass.control.state import state_as_json, state_from_json
from postpass.membership.machine_registry import (
    announcement_errors,
    initial_configuration,
    machine_of,
    with_adjusted_copies,
)
from postpass.membership.registry import MachineAnnouncement, State, with_parts
from postpass.membership.safe_change import Tolerance


def test_the_number_of_copies_follows_the_stores_that_send_heartbeats() -> None:
    def fleet(*names: str, copies: int) -> State:
        entries: list[MachineAnnouncement] = [
            {"name": n, "area": "a", "peer": f"{n}:1", "http": f"{n}:2", "duties": ["store"], "born": 1, "disk": n}
            for n in names
        ]
        return with_parts(State(manifest=initial_configuration(entries, ["a"], 1)), copies=copies)

    four = fleet("s1", "s2", "s3", "s4", copies=3)
    assert (
        with_adjusted_copies(four, Tolerance(1, 1), False, ["s1", "s2", "s3", "s4"]) is four
    )  # stores are still joining
    assert (
        with_adjusted_copies(four, Tolerance(1, 1), True, ["s2", "s3", "s4"]) is four
    )  # one store is silent and may be dropped
    assert with_adjusted_copies(four, Tolerance(1, 1), True, ["s1", "s2", "s3", "s4"]).configuration["copies"] == 4
    all_copies = fleet("s1", "s2", "s3", "s4", copies=4)
    assert (
        with_adjusted_copies(all_copies, Tolerance(1, 1), True, ["s2", "s3"]) is all_copies
    )  # silent stores don't lower the number
    assert (
        with_adjusted_copies(fleet("s1", "s2", "s3", copies=4), Tolerance(1, 1), True, []).configuration["copies"] == 3
    )


def test_the_state_keeps_its_keys_on_disk_and_their_order() -> None:
    keys = ["edition", "manifest", "losses", "source", "orders", "aside", "left", "retired"]
    assert list(state_as_json(State())) == keys
    body: dict[str, Any] = dict(zip(keys, (3, None, 1, "text", ["o"], {"p": {}}, ["w"], {"s": "d"}), strict=True))
    assert state_as_json(state_from_json(body)) == body


@pytest.mark.parametrize("value", [None, False, 2.5, "text", [1], {"deep": []}], ids=repr)
def test_additional_keys_in_an_announcement_of_a_later_release_are_ignored(value: Any) -> None:
    entry: Any = {
        "name": "s1", "area": "a", "peer": "10.0.0.1:1", "http": "10.0.0.1:2", "duties": ["store"], "born": 1, "disk": "d",
    }  # fmt: skip
    assert announcement_errors(entry | {"later": value}, ["a"]) == []
    assert machine_of(entry | {"later": value}) == machine_of(entry)
    incomplete = {key: part for key, part in entry.items() if key != "born"}
    assert announcement_errors(incomplete | {"later": value}, ["a"])[0].startswith("entry: want name, ")

"""What a change of one tenant costs at the primary and at a follower, by the number of tenants that it leaves alone."""

from __future__ import annotations

import json
from typing import Any

from bench.capacity.meter import Row, timed
from bench.capacity.simulated_fleet import announced_fleet
from postpass.control.configuration import ConfigurationChange
from postpass.control.journal import Image
from postpass.control.state import state_as_json
from postpass.feed.configuration_view import ConfigurationView
from postpass.membership.machine_registry import initial_configuration
from postpass.membership.registry import State
from sim.announced import Sizes, module
from sim.loop import SimLoop

REMEMBERED = 1_000
KEYS = 2  # of each tenant


def tenant_row(tenants: int) -> Row:
    """One patch of one of so many tenants: milliseconds of processor time of each step, and bytes that are sent."""
    document = announced_fleet(SimLoop(1), Sizes()).first_config() | {"tenants": [_tenant(i) for i in range(tenants)]}
    founded = State(1, initial_configuration([], ["zone-a"], 1))
    whole = _change(document, 0, is_patch=False)
    state = whole(founded).unwrap()
    changed = _tenant(tenants // 2) | {"keys": ["another"]}
    patch = _change({"version": 9, "upsert": {"tenants": [changed]}}, document["version"], is_patch=True)
    after = patch(state).unwrap()
    image = Image.of(1, 1, state_as_json(state))
    view = ConfigurationView("e1")
    view.accept(1, state.configuration)
    view.accept(2, after.configuration)
    answer = view.changes_since(1)
    return {
        "tenants": tenants,
        "whole_ms": timed(lambda: _change(document, 0, is_patch=False)(founded)) * 1e3,
        "patch_ms": timed(lambda: patch(state)) * 1e3,
        "journal_ms": timed(lambda: image.change_to(1, 2, state_as_json(after))) * 1e3,
        "journal_bytes": len(json.dumps(image.change_to(1, 2, state_as_json(after))[0].as_json())),
        "follow_ms": timed(lambda: _follower(state).apply_answer(answer)) * 1e3 - timed(lambda: _follower(state)) * 1e3,
        "feed_bytes": len(json.dumps(answer)),
    }


def _tenant(number: int) -> Row:
    keys = [f"key{number:08x}{i:08x}" for i in range(KEYS)]
    return {"name": f"tenant{number}", "keys": keys, "prio": 1, "burst": 63}


def _change(sent: Any, base: int, is_patch: bool) -> ConfigurationChange:
    return ConfigurationChange("c1", module("configuration").TRANSLATOR, REMEMBERED, sent, base, is_patch)


def _follower(state: State) -> ConfigurationView:
    """A follower that has the configuration of a state, with its checksum known."""
    view = ConfigurationView("e2")
    view.accept(1, state.configuration)
    return view

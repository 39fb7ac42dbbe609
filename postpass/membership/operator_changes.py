"""What operators ask of an announced fleet: its configuration, evacuations of zones, and the retirement of stores.

Pure functions over `State`, called by the primary of control (`postpass.control.orders`).
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple, cast

from postpass.configuration.configuration import Configuration, Machine, Pool, Server, with_duty
from postpass.configuration.json_delta import reusing
from postpass.membership.machine_registry import without_machines
from postpass.membership.registry import OperatorConfiguration, State, with_parts
from postpass.membership.safe_change import Tolerance, copies_bear_loss, safe_copies
from postpass.runtime.errors import CLASH, LACK


class RetirementFlaw(NamedTuple):
    """Why a store can't be emptied: the code of the fault, and the reason for the operator."""

    code: int
    reason: str


def with_configuration(state: State, configured: OperatorConfiguration, source: Any, orders: list[str]) -> State:
    """The state with the operator's part of the configuration, and the workers that are there.

    Workers of a pool that is gone become unassigned, and those that waited for a pool that is now there join it.
    `source` is the document that `configured` was read from, `orders` the memory of accepted orders. What stays as it
    was is shared with the present state, so that the rest of the change costs no more than its own size.
    """
    groups = {**{n: p["servers"] for n, p in state.configuration["pools"].items()}, **state.unassigned}
    pools = {n: cast(Pool, {**p, "servers": groups.get(n, {})}) for n, p in configured["pools"].items()}
    unassigned = {n: group for n, group in groups.items() if n not in pools and group}
    parts = {**configured, "pools": pools}
    kept = {key: part for key, part in state.configuration.items() if key != "tenants"}
    changed = cast(Configuration, reusing(state.configuration, {**kept, **parts}))
    return replace(state, manifest=changed, source=source, unassigned=unassigned, orders=orders)


def with_zone_evacuated(state: State, zone: str) -> State:
    """The state in which nothing new goes to a zone."""
    zones = state.configuration.get("evacuated", [])
    return state if zone in zones else with_parts(state, evacuated=[*zones, zone])


def with_zone_returned(state: State, zone: str) -> State:
    """The state after an evacuation is taken back: the zone's workers count as cold until they say otherwise."""
    zones = state.configuration.get("evacuated", [])
    if zone not in zones:
        return state

    def cooled(group: dict[str, Server]) -> dict[str, Server]:
        return {w: cast(Server, {**s, "cold": True}) if s["area"] == zone else s for w, s in group.items()}

    pools = {n: cast(Pool, {**p, "servers": cooled(p["servers"])}) for n, p in state.configuration["pools"].items()}
    new = with_parts(state, evacuated=[other for other in zones if other != zone], pools=pools)
    return replace(new, unassigned={n: cooled(group) for n, group in state.unassigned.items()})


def remaining_store_zones(configuration: Configuration, name: str) -> list[str]:
    """The zones of the stores that are there once `name` is emptied, one for each store."""
    machines = configuration["machines"]
    return [
        machines[n]["area"] for n in with_duty(configuration, "store") if n != name and not machines[n].get("retire")
    ]


def retirement_flaw(state: State, name: str, tolerance: Tolerance) -> RetirementFlaw | None:
    """Why a store can't be emptied; None if it can, or if that was asked for already.

    Where no store is spare, fewer copies do as long as what may be lost at once can still be lost.
    """
    if name in state.retired:
        return None
    configuration = state.configuration
    if name not in with_duty(configuration, "store"):
        return RetirementFlaw(LACK, f"no store {name!r:.60}")
    if configuration["machines"][name].get("retire"):
        return None
    zones = remaining_store_zones(configuration, name)
    copies = safe_copies(zones, configuration["copies"], tolerance)
    if copies < configuration["copies"] and not copies_bear_loss(zones, copies, tolerance):
        reason = f"the {len(zones)} stores that would stay can't bear the loss of what may be lost at once"
        return RetirementFlaw(CLASH, reason)
    return None


def with_retiring_store(state: State, name: str, tolerance: Tolerance) -> State:
    """The state in which a store is to be emptied; there are fewer copies if the rest bears more with fewer."""
    present = state.configuration["machines"].get(name)
    if present is None or present.get("retire"):
        return state
    machines = {**state.configuration["machines"], name: cast(Machine, {**present, "retire": True})}
    zones = remaining_store_zones(state.configuration, name)
    copies = safe_copies(zones, state.configuration["copies"], tolerance)
    return with_parts(state, machines=machines, copies=copies)


def without_emptied_store(state: State, name: str) -> State:
    """The state without a store that holds nothing any more; it doesn't come back with the same disk."""
    if name in state.retired:
        return state
    disk = state.configuration["machines"].get(name, cast(Machine, {})).get("disk", "")
    return replace(without_machines(state, [name]), retired={**state.retired, name: disk})

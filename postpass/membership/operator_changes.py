"""Changes that operators order in an announced fleet: its configuration, evacuations of zones, and retirements of stores.

Pure functions of `State`, used by the primary of control (`postpass.control.orders`).
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple, cast

from postpass.configuration.configuration import Configuration, Machine, Pool, Server, with_duty
from postpass.configuration.json_delta import reusing
from postpass.membership.machine_registry import without_machines
from postpass.membership.registry import OperatorConfiguration, State, with_parts
from postpass.membership.safe_change import Tolerance, copies_keep_majority, safe_copies
from postpass.runtime.errors import CONFLICT, NOT_FOUND


class RetirementRefusal(NamedTuple):
    """Why a store can't be retired: the code of the fault, and the reason as shown to the operator."""

    code: int
    reason: str


def with_configuration(state: State, configured: OperatorConfiguration, source: Any, orders: list[str]) -> State:
    """Returns the state with a new operator's part of the configuration, and the workers that there are.

    Workers of a pool that was removed become unassigned, and unassigned workers of a pool that was added join it.
    `source` is the document from which `configured` was read, `orders` the memory of accepted orders. Unchanged parts
    are shared with the present state, so that the cost of the rest of the change depends only on what has changed.
    """
    groups = {**{n: p["servers"] for n, p in state.configuration["pools"].items()}, **state.unassigned}
    pools = {n: cast(Pool, {**p, "servers": groups.get(n, {})}) for n, p in configured["pools"].items()}
    unassigned = {n: group for n, group in groups.items() if n not in pools and group}
    parts = {**configured, "pools": pools}
    kept_parts = {key: part for key, part in state.configuration.items() if key != "tenants"}
    new_configuration = cast(Configuration, reusing(state.configuration, {**kept_parts, **parts}))
    return replace(state, manifest=new_configuration, source=source, unassigned=unassigned, orders=orders)


def with_zone_evacuated(state: State, zone: str) -> State:
    """Returns the state in which a zone is evacuated: no new work goes there."""
    zones = state.configuration.get("evacuated", [])
    return state if zone in zones else with_parts(state, evacuated=[*zones, zone])


def with_zone_returned(state: State, zone: str) -> State:
    """Returns the state after an evacuation has ended: the zone's workers count as cold until they announce otherwise."""
    zones = state.configuration.get("evacuated", [])
    if zone not in zones:
        return state

    def with_zone_cold(group: dict[str, Server]) -> dict[str, Server]:
        """Returns the workers with those of the zone marked as cold."""
        return {w: cast(Server, {**s, "cold": True}) if s["area"] == zone else s for w, s in group.items()}

    pools = {
        n: cast(Pool, {**p, "servers": with_zone_cold(p["servers"])}) for n, p in state.configuration["pools"].items()
    }
    new = with_parts(state, evacuated=[other for other in zones if other != zone], pools=pools)
    return replace(new, unassigned={n: with_zone_cold(group) for n, group in state.unassigned.items()})


def remaining_store_zones(configuration: Configuration, name: str) -> list[str]:
    """Returns the zones of the stores that remain once the store `name` is retired, one for each store."""
    machines = configuration["machines"]
    return [
        machines[n]["area"] for n in with_duty(configuration, "store") if n != name and not machines[n].get("retire")
    ]


def retirement_refusal(state: State, name: str, tolerance: Tolerance) -> RetirementRefusal | None:
    """Returns the reason for refusing to retire a store; None if it can be retired, or if that was ordered already.

    If the remaining stores are too few for the number of copies, fewer copies are acceptable as long as these still
    survive the tolerated loss.
    """
    if name in state.retired:
        return None
    configuration = state.configuration
    if name not in with_duty(configuration, "store"):
        return RetirementRefusal(NOT_FOUND, f"no store {name!r:.60}")
    if configuration["machines"][name].get("retire"):
        return None
    zones = remaining_store_zones(configuration, name)
    copies = safe_copies(zones, configuration["copies"], tolerance)
    if copies < configuration["copies"] and not copies_keep_majority(zones, copies, tolerance):
        reason = f"the {len(zones)} stores that would stay can't bear the loss of what may be lost at once"
        return RetirementRefusal(CONFLICT, reason)
    return None


def with_retiring_store(state: State, name: str, tolerance: Tolerance) -> State:
    """Returns the state in which a store is being retired.

    The number of copies is lowered if the remaining stores tolerate the loss only with fewer copies.
    """
    present = state.configuration["machines"].get(name)
    if present is None or present.get("retire"):
        return state
    machines = {**state.configuration["machines"], name: cast(Machine, {**present, "retire": True})}
    zones = remaining_store_zones(state.configuration, name)
    copies = safe_copies(zones, state.configuration["copies"], tolerance)
    return with_parts(state, machines=machines, copies=copies)


def without_emptied_store(state: State, name: str) -> State:
    """Returns the state without a store that was emptied; the store can't join again with the same disk."""
    if name in state.retired:
        return state
    disk = state.configuration["machines"].get(name, cast(Machine, {})).get("disk", "")
    return replace(without_machines(state, [name]), retired={**state.retired, name: disk})

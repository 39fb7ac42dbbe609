"""Machines of an announced fleet: how they join, when one is dropped, and how many copies the stores keep.

Pure functions over `State`, called by the primary of control (`postpass.control.registry`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from postpass.configuration.configuration import Configuration, Machine, with_duty
from postpass.configuration.settings import address_errors
from postpass.membership.registry import MachineAnnouncement, State, with_parts
from postpass.membership.safe_change import Presence, Tolerance, machine_to_drop, safe_copies

MIN_CONTROL_MACHINES = 3  # control machines that stay when one that is silent is dropped
INITIAL_PARTITIONS = 8  # partitions of a fleet that founds itself
MIN_WANTED_COPIES = 4
EDGE_PATIENCE = 4  # how long an edge may be silent before it is dropped, as a multiple of the patience
DUTIES = frozenset({"edge", "sched", "store", "control"})


def announcement_flaws(announcement: Any, zones: Iterable[str]) -> list[str]:
    """What is wrong with a machine's announcement as it came from the peer, each flaw as one line.

    Keys that a later release has added are no flaw.
    """
    fields = MachineAnnouncement.__annotations__
    if not isinstance(announcement, dict) or not set(announcement) >= set(fields):
        return [f"entry: want {', '.join(fields)}, got {announcement!r:.80}"]
    out = address_errors("peer", str(announcement["peer"])) + address_errors("http", str(announcement["http"]))
    if not announcement["name"] or not isinstance(announcement["name"], str):
        out.append(f"name: want a name, got {announcement['name']!r:.40}")
    if announcement["area"] not in zones:
        out.append(f"area: unknown area {announcement['area']!r:.40}")
    if not isinstance(announcement["born"], int) or not isinstance(announcement["disk"], str):
        out.append("born, disk: want a whole number and a string")
    if not set(announcement["duties"]) <= DUTIES:
        out.append(f"duties: unknown one in {announcement['duties']!r:.80}")
    return out


def machine_of(announcement: MachineAnnouncement) -> Machine:
    """The configuration's record of a machine that announced itself so; one without a disk has no `disk`."""
    made: Machine = {
        "area": announcement["area"], "peer": announcement["peer"], "http": announcement["http"],
        "duties": announcement["duties"], "born": announcement["born"],
    }  # fmt: skip
    return {**made, "disk": announcement["disk"]} if announcement["disk"] else made


def wanted_copies(machines_lost: int) -> int:
    """How many copies a fleet should keep that tolerates the loss of so many machines at once."""
    return max(MIN_WANTED_COPIES, 2 * machines_lost + 1)


def initial_configuration(
    announcements: Iterable[MachineAnnouncement], zones: Iterable[str], machines_lost: int
) -> Configuration:
    """The first configuration of a fleet: nothing but the control machines that found it."""
    return {
        "name": "announced", "announced": True, "version": 0, "areas": list(zones),
        "machines": {a["name"]: machine_of(a) for a in announcements}, "parts": INITIAL_PARTITIONS,
        "copies": wanted_copies(machines_lost), "classes": {}, "pools": {}, "ways": {}, "routes": {}, "evacuated": [],
    }  # fmt: skip


def with_machine(state: State, announcement: MachineAnnouncement) -> State:
    """The state with a machine as it announced itself."""
    configuration, name = state.configuration, announcement["name"]
    present = configuration["machines"].get(name)
    if present is not None and present.get("born", 0) > announcement["born"]:
        # A later start of it was heard: this announcement was delayed.
        return state
    if name in state.retired and state.retired[name] == announcement["disk"]:
        # It was emptied to be taken away; with the same disk it doesn't come back.
        return state
    new = machine_of(announcement)
    if present is not None and present.get("retire"):
        new["retire"] = True
    if present == new:
        return state
    if name in state.retired:
        # Another disk: a new machine of that name, whose retirement has not been asked for.
        state = replace(state, retired={n: disk for n, disk in state.retired.items() if n != name})
    # Two machines can't share an address: whichever had it before is there no more.
    rest = {n: m for n, m in configuration["machines"].items() if n == name or m["peer"] != new["peer"]}
    return with_parts(state, machines=rest | {name: new})


def without_machines(state: State, names: Iterable[str]) -> State:
    """The state without these machines; names that it doesn't hold are passed over."""
    machines = state.configuration["machines"]
    removed = set(names) & set(machines)
    if not removed:
        return state
    return with_parts(state, machines={n: m for n, m in machines.items() if n not in removed})


def is_registered(configuration: Configuration | None, announcement: MachineAnnouncement) -> bool:
    """Does the configuration hold this very start of a machine, as it announces itself?"""
    present = configuration["machines"].get(announcement["name"]) if configuration else None
    if present is None:
        return False
    return {key: value for key, value in present.items() if key != "retire"} == machine_of(announcement)


def machines_to_drop(
    configuration: Configuration, silent: Mapping[str, float], met: Mapping[str, float], clock: float, patience: float
) -> list[str]:
    """Machines that are gone for good.

    An edge is dropped for its silence alone. A machine with a disk is dropped once another one has come for it: one at
    a time, and neither fewer control machines than three nor fewer stores than copies stay.

    Parameters: `silent` tells for how many seconds a machine was not heard; `met` when its name was first heard, by the
    same clock as `clock`, the present time; `patience` for how many seconds a machine may be silent.
    """
    machines = configuration["machines"]
    edges = {n for n, m in machines.items() if set(m["duties"]) == {"edge"}}
    silent_edges = [n for n in machines if n in edges and silent.get(n, 0.0) > EDGE_PATIENCE * patience]
    present = {
        n: Presence(
            frozenset(m["duties"]), m["area"], silent.get(n, 0.0), clock - met.get(n, float("-inf")), m.get("born", 0)
        )
        for n, m in machines.items()
        if n not in edges
    }

    def least(machine: Presence) -> int:
        return configuration["copies"] if "store" in machine.duties else MIN_CONTROL_MACHINES

    gone = machine_to_drop(present, least, patience)
    return [*silent_edges, gone] if gone is not None else silent_edges


def with_adjusted_copies(state: State, tolerance: Tolerance, no_new_stores: bool, heard: Iterable[str]) -> State:
    """The state with as many copies as its stores should keep, once none has joined for a while (`no_new_stores`).

    - More copies: up to what is wanted, by the stores that are heard, since one that is gone for good holds no copy.
    - Fewer copies: only in a fleet that has stayed small, or whose zones would bear less with more copies. All stores
      count here, so that a silence lowers nothing.
    """
    configuration = state.configuration
    stores = {
        n: configuration["machines"][n]["area"]
        for n in with_duty(configuration, "store")
        if not configuration["machines"][n].get("retire")
    }
    if not no_new_stores or not stores:
        return state
    most = wanted_copies(tolerance.machines)
    copies_of_heard = safe_copies([zone for n, zone in stores.items() if n in set(heard)], most, tolerance)
    if configuration["copies"] < copies_of_heard:
        return with_parts(state, copies=copies_of_heard)
    copies_of_all = safe_copies(list(stores.values()), most, tolerance)
    return with_parts(state, copies=copies_of_all) if copies_of_all < configuration["copies"] else state

"""Machines of an announced fleet: how they join, when they are dropped, and how many copies the stores keep.

Pure functions of `State`, used by the primary of control (`postpass.control.registry`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from postpass.configuration.configuration import Configuration, Machine, with_duty
from postpass.configuration.settings import address_errors
from postpass.membership.registry import MachineAnnouncement, State, with_parts
from postpass.membership.safe_change import Presence, Tolerance, machine_to_drop, safe_copies

MIN_CONTROL_MACHINES = 3  # a silent control machine is dropped only if at least so many others remain
INITIAL_PARTITIONS = 8  # number of partitions of a fleet that founds itself
MIN_WANTED_COPIES = 4  # the least number of copies that a fleet tries to keep
EDGE_PATIENCE = 4  # how long an edge may be silent before it is dropped, as a multiple of the patience
DUTIES = frozenset({"edge", "sched", "store", "control"})


def announcement_errors(announcement: Any, zones: Iterable[str]) -> list[str]:
    """Returns what is wrong with a machine's announcement as it came from the peer, one line for each error.

    Additional keys, which a later release may have, are no error.
    """
    fields = MachineAnnouncement.__annotations__
    if not isinstance(announcement, dict) or not set(announcement) >= set(fields):
        return [f"entry: want {', '.join(fields)}, got {announcement!r:.80}"]
    errors = address_errors("peer", str(announcement["peer"])) + address_errors("http", str(announcement["http"]))
    if not announcement["name"] or not isinstance(announcement["name"], str):
        errors.append(f"name: want a name, got {announcement['name']!r:.40}")
    if announcement["area"] not in zones:
        errors.append(f"area: unknown area {announcement['area']!r:.40}")
    if not isinstance(announcement["born"], int) or not isinstance(announcement["disk"], str):
        errors.append("born, disk: want a whole number and a string")
    if not set(announcement["duties"]) <= DUTIES:
        errors.append(f"duties: unknown one in {announcement['duties']!r:.80}")
    return errors


def machine_of(announcement: MachineAnnouncement) -> Machine:
    """Returns the configuration's record of a machine with this announcement; without a disk it has no key `disk`."""
    record: Machine = {
        "area": announcement["area"], "peer": announcement["peer"], "http": announcement["http"],
        "duties": announcement["duties"], "born": announcement["born"],
    }  # fmt: skip
    return {**record, "disk": announcement["disk"]} if announcement["disk"] else record


def wanted_copies(machines_lost: int) -> int:
    """Returns how many copies a fleet should keep that tolerates the loss of so many machines at once."""
    return max(MIN_WANTED_COPIES, 2 * machines_lost + 1)


def initial_configuration(
    announcements: Iterable[MachineAnnouncement], zones: Iterable[str], machines_lost: int
) -> Configuration:
    """Returns the first configuration of a fleet, which contains only the control machines that found it."""
    return {
        "name": "announced", "announced": True, "version": 0, "areas": list(zones),
        "machines": {a["name"]: machine_of(a) for a in announcements}, "parts": INITIAL_PARTITIONS,
        "copies": wanted_copies(machines_lost), "classes": {}, "pools": {}, "ways": {}, "routes": {}, "evacuated": [],
    }  # fmt: skip


def with_machine(state: State, announcement: MachineAnnouncement) -> State:
    """Returns the state with a machine as it announced itself.

    The same state is returned for an announcement that is unchanged, out of date, or from a store that was retired.
    """
    configuration, name = state.configuration, announcement["name"]
    present = configuration["machines"].get(name)
    if present is not None and present.get("born", 0) > announcement["born"]:
        # The announcement was delayed: the machine has been started again since, and has announced that.
        return state
    if name in state.retired and state.retired[name] == announcement["disk"]:
        # The store was emptied for its removal; with the same disk it can't join again.
        return state
    new = machine_of(announcement)
    if present is not None and present.get("retire"):
        new["retire"] = True
    if present == new:
        return state
    if name in state.retired:
        # It has another disk, so that it is a new machine of that name, whose retirement has not been ordered.
        state = replace(state, retired={n: disk for n, disk in state.retired.items() if n != name})
    # Two machines can't share an address, so that the machine which had this address before is gone.
    other_machines = {n: m for n, m in configuration["machines"].items() if n == name or m["peer"] != new["peer"]}
    return with_parts(state, machines=other_machines | {name: new})


def without_machines(state: State, names: Iterable[str]) -> State:
    """Returns the state without these machines; unknown names are ignored."""
    machines = state.configuration["machines"]
    removed = set(names) & set(machines)
    if not removed:
        return state
    return with_parts(state, machines={n: m for n, m in machines.items() if n not in removed})


def is_registered(configuration: Configuration | None, announcement: MachineAnnouncement) -> bool:
    """Returns whether the configuration contains the machine exactly as announced, including this start of its process."""
    present = configuration["machines"].get(announcement["name"]) if configuration else None
    if present is None:
        return False
    return {key: value for key, value in present.items() if key != "retire"} == machine_of(announcement)


def machines_to_drop(
    configuration: Configuration,
    silent_for: Mapping[str, float],
    first_heard_at: Mapping[str, float],
    now: float,
    patience: float,
) -> list[str]:
    """Returns the machines that are to be dropped since they are gone for good.

    An edge is dropped merely because it is silent for long. A machine with a disk is dropped once another one has replaced it:
    one at a time, and only if at least three control machines and as many stores as copies remain.

    Args:
        configuration: the present configuration.
        silent_for: seconds since the last heartbeat of a machine, by name.
        first_heard_at: when a machine's name was first heard, by the same clock as `now`.
        now: the present time.
        patience: seconds for which a machine may be silent.
    """
    machines = configuration["machines"]
    edges = {n for n, m in machines.items() if set(m["duties"]) == {"edge"}}
    silent_edges = [n for n in machines if n in edges and silent_for.get(n, 0.0) > EDGE_PATIENCE * patience]
    present = {
        n: Presence(
            frozenset(m["duties"]),
            m["area"],
            silent_for.get(n, 0.0),
            now - first_heard_at.get(n, float("-inf")),
            m.get("born", 0),
        )
        for n, m in machines.items()
        if n not in edges
    }

    def min_remaining(machine: Presence) -> int:
        """Returns how many machines with the same duties must remain."""
        return configuration["copies"] if "store" in machine.duties else MIN_CONTROL_MACHINES

    gone_machine = machine_to_drop(present, min_remaining, patience)
    return [*silent_edges, gone_machine] if gone_machine is not None else silent_edges


def with_adjusted_copies(
    state: State, tolerance: Tolerance, no_new_stores: bool, live_machines: Iterable[str]
) -> State:
    """Returns the state with the number of copies that its stores should keep.

    Nothing changes as long as stores join (`no_new_stores` is False). `live_machines` are those that sent heartbeats lately.

    - The number is raised, up to the wanted one, by the stores that are heard, since a store that is gone for good has no
      copy.
    - It is lowered only in a fleet that has stayed small, or whose zones would tolerate less with more copies. All stores
      count here, so that the number isn't lowered because some of them are silent.
    """
    configuration = state.configuration
    stores = {
        n: configuration["machines"][n]["area"]
        for n in with_duty(configuration, "store")
        if not configuration["machines"][n].get("retire")
    }
    if not no_new_stores or not stores:
        return state
    max_copies = wanted_copies(tolerance.machines)
    copies_of_heard = safe_copies(
        [zone for n, zone in stores.items() if n in set(live_machines)], max_copies, tolerance
    )
    if configuration["copies"] < copies_of_heard:
        return with_parts(state, copies=copies_of_heard)
    copies_of_all = safe_copies(list(stores.values()), max_copies, tolerance)
    return with_parts(state, copies=copies_of_all) if copies_of_all < configuration["copies"] else state

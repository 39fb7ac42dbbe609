"""The operators' actions in scenarios, by verb: changes of the configuration, and reads of it."""

from __future__ import annotations

from typing import Any

from bench.plan import changed
from sim.check import Event
from sim.deferred import Later
from sim.faults import Action
from sim.fleet import SimFleet
from sim.values import parse_value

Change = tuple[str, Any]  # a dotted path in the configuration, and its new value
VERSION_CONFLICT = -412  # result of an apply that was based on an older version than the one in force
ATTEMPTS = 10  # of a single operator
SHORT_ATTEMPTS = 6  # of operators that race, and of changes that may fail


def apply(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """apply PATH=VALUE...: one change of the configuration."""
    fleet.out(apply_change(fleet, [parse_change(word) for word in words]))


def race(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """race PATH=VALUE...: an operator for each change; all start from the same version, each at another control machine."""
    for i, word in enumerate(words):
        fleet.out(apply_in_turn(fleet, parse_change(word), f"op{i + 1}", i))


def add_routes(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """routes N: adds N routes in one change."""
    configuration = fleet.configuration
    for i in range(int(words[0])):
        configuration = changed(configuration, "ways", configuration["ways"] | {f"/r{fleet.revision}-{i}": "view"})
    fleet.out(fleet.apply(configuration, fleet.revision, tries=SHORT_ATTEMPTS))


def add_machine(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """add NAME ZONE DUTY: starts an empty machine at a new address and adds it to the configuration."""
    name, zone, duties = words
    machine = new_machine(fleet, zone, duties.split("+"))
    fleet.add_box(name, machine)
    configuration = changed(fleet.configuration, f"machines.{name}", machine)
    start_and_apply(fleet, name, configuration)


def replace_machine(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """replace OLD NEW: kills the old machine, declares it gone, and puts an empty one in its place."""
    old, new = fleet.pick(words[0]), words[1]
    old_entry = fleet.configuration["machines"][old]
    machine = new_machine(fleet, old_entry["area"], old_entry["duties"])
    fleet.kill(old, silent=True)
    fleet.add_box(new, machine)
    configuration = changed(fleet.configuration, f"machines.{old}.gone", True)
    start_and_apply(fleet, new, changed(configuration, f"machines.{new}", machine))


def new_machine(fleet: SimFleet, zone: str, duties: list[str]) -> dict[str, Any]:
    """Returns the configuration entry of a new machine, at an address that was never used."""
    number = fleet.configuration["areas"].index(zone) + 1
    address = f"127.{number}.7.{len(fleet.boxes)}"
    return {"area": zone, "peer": f"{address}:7000", "http": f"{address}:8000", "duties": duties}


def start_and_apply(fleet: SimFleet, name: str, configuration: dict[str, Any]) -> None:
    """Starts a machine and applies the configuration that contains it."""
    fleet.configuration = configuration
    fleet.start(name)
    fleet.out(fleet.apply(configuration, fleet.revision, tries=SHORT_ATTEMPTS))


def read(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """read: reads the configuration back."""
    fleet.out(fleet.read_back())


def parse_change(text: str) -> Change:
    """Parses PATH=VALUE."""
    path, value = text.split("=", 1)
    return path, parse_value(value)


async def apply_in_turn(fleet: SimFleet, change: Change, operator: str, first_control: int) -> None:
    """Makes a change as one of several operators.

    An operator whose change is refused reads the configuration in force and applies its change to that one.
    """
    configuration, base = fleet.configuration, fleet.revision
    for control_index in range(first_control, first_control + SHORT_ATTEMPTS):
        via = fleet.controls()[control_index % len(fleet.controls())]
        if await fleet.apply(changed(configuration, *change), base, operator, via) > 0:
            return
        current = await fleet.get(via)
        if current is not None:
            configuration, base = current


async def apply_change(fleet: SimFleet, changes: list[Change]) -> None:
    """Makes changes as the only operator, and records for the checker which servers and zones they take out or put back."""
    configuration = fleet.configuration
    for path, value in changes:
        configuration = changed(configuration, path, value)
    # What a change permits again may happen as soon as it is sent; what it forbids is forbidden only once it is answered.
    marks = [mark for path, value in changes for mark in marks_of(fleet, path, value)]
    log_marks(fleet, marks, ("stay", "return"))
    result = await fleet.apply(configuration, fleet.revision, tries=ATTEMPTS)
    if result == VERSION_CONFLICT:
        # As an operator would do: base the change on the version that is in force now.
        fleet.revision = [event["edition"] for event in fleet.events if event["ev"] == "applied"][-1]
        result = await fleet.apply(configuration, fleet.revision, tries=ATTEMPTS)
    if result > 0:
        log_marks(fleet, marks, ("leave", "evacuated"))


def log_marks(fleet: SimFleet, marks: list[Event], kinds: tuple[str, ...]) -> None:
    """Records those marks that are of one of some kinds."""
    for mark in marks:
        if mark["ev"] in kinds:
            fleet.log(mark)


def marks_of(fleet: SimFleet, path: str, value: Any) -> list[Event]:
    """Returns events for the checker that say which servers and zones a change takes out or puts back."""
    if path.endswith(".leave"):
        return [{"ev": "leave" if value else "stay", "server": path.split(".")[-2]}]
    if path == "evacuated":
        zones = fleet.configuration["areas"]
        return [{"ev": "evacuated" if zone in (value or []) else "return", "area": zone} for zone in zones]
    return []


CHANGES: dict[str, Action] = {
    "apply": apply,
    "race": race,
    "routes": add_routes,
    "add": add_machine,
    "replace": replace_machine,
    "read": read,
}

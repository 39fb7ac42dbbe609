"""What operators do in scenarios, by verb: changes of the configuration, and reads of it."""

from __future__ import annotations

from typing import Any

from bench.plan import changed
from sim.check import Event
from sim.deferred import Later
from sim.faults import Action
from sim.fleet import SimFleet
from sim.values import parse_value

Change = tuple[str, Any]  # a path with dots, and the value that is set there
LOST = -412  # what an apply gives that was made from an older version than is in force
TRIES = 10
TRIES_IN_TURN = 6  # of operators who race, and of changes that may fail


def apply(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """apply PATH=VALUE...: one change of the configuration."""
    fleet.out(apply_change(fleet, [parse_change(word) for word in words]))


def race(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """race PATH=VALUE...: as many operators, each with a change of its own, made from the same version, at a control
    machine of its own."""
    for i, word in enumerate(words):
        fleet.out(apply_in_turn(fleet, parse_change(word), f"op{i + 1}", i))


def add_routes(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """routes N: N more routes in one change."""
    configuration = fleet.configuration
    for i in range(int(words[0])):
        configuration = changed(configuration, "ways", configuration["ways"] | {f"/r{fleet.revision}-{i}": "view"})
    fleet.out(fleet.apply(configuration, fleet.revision, tries=TRIES_IN_TURN))


def add_machine(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """add NAME ZONE DUTY: an empty machine at a new address, started and put in the configuration."""
    name, zone, duties = words
    machine = new_machine(fleet, zone, duties.split("+"))
    fleet.add_box(name, machine)
    configuration = changed(fleet.configuration, f"machines.{name}", machine)
    start_and_apply(fleet, name, configuration)


def replace_machine(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """replace OLD NEW: the old machine is declared gone, an empty one takes its place."""
    old, new = fleet.pick(words[0]), words[1]
    gone = fleet.configuration["machines"][old]
    machine = new_machine(fleet, gone["area"], gone["duties"])
    fleet.kill(old, silent=True)
    fleet.add_box(new, machine)
    configuration = changed(fleet.configuration, f"machines.{old}.gone", True)
    start_and_apply(fleet, new, changed(configuration, f"machines.{new}", machine))


def new_machine(fleet: SimFleet, zone: str, duties: list[str]) -> dict[str, Any]:
    """The entry of a machine at an address that was never used."""
    number = fleet.configuration["areas"].index(zone) + 1
    address = f"127.{number}.7.{len(fleet.boxes)}"
    return {"area": zone, "peer": f"{address}:7000", "http": f"{address}:8000", "duties": duties}


def start_and_apply(fleet: SimFleet, name: str, configuration: dict[str, Any]) -> None:
    """Starts a machine and applies the configuration that has it."""
    fleet.configuration = configuration
    fleet.start(name)
    fleet.out(fleet.apply(configuration, fleet.revision, tries=TRIES_IN_TURN))


def read(fleet: SimFleet, words: list[str], span: float, later: Later) -> None:
    """read: reads the configuration back."""
    fleet.out(fleet.read_back())


def parse_change(text: str) -> Change:
    """PATH=VALUE."""
    path, value = text.split("=", 1)
    return path, parse_value(value)


async def apply_in_turn(fleet: SimFleet, change: Change, operator: str, first: int) -> None:
    """Makes a change as one of several operators: who loses gets the configuration anew and makes the change from there."""
    configuration, base = fleet.configuration, fleet.revision
    for i in range(first, first + TRIES_IN_TURN):
        via = fleet.controls()[i % len(fleet.controls())]
        if await fleet.apply(changed(configuration, *change), base, operator, via) > 0:
            return
        seen = await fleet.get(via)
        if seen is not None:
            configuration, base = seen


async def apply_change(fleet: SimFleet, changes: list[Change]) -> None:
    """Makes a change as the only operator, and records for the checker what it says of servers and zones."""
    configuration = fleet.configuration
    for path, value in changes:
        configuration = changed(configuration, path, value)
    # What is allowed again may come as soon as the operator asks for it; what is forbidden, once it is answered.
    marks = [mark for path, value in changes for mark in marks_of(fleet, path, value)]
    log_marks(fleet, marks, ("stay", "return"))
    got = await fleet.apply(configuration, fleet.revision, tries=TRIES)
    if got == LOST:
        # As an operator does: looks at what is in force now, and makes the change from there.
        fleet.revision = [event["edition"] for event in fleet.events if event["ev"] == "applied"][-1]
        got = await fleet.apply(configuration, fleet.revision, tries=TRIES)
    if got > 0:
        log_marks(fleet, marks, ("leave", "evacuated"))


def log_marks(fleet: SimFleet, marks: list[Event], kinds: tuple[str, ...]) -> None:
    """Records the marks of some kinds."""
    for mark in marks:
        if mark["ev"] in kinds:
            fleet.log(mark)


def marks_of(fleet: SimFleet, path: str, value: Any) -> list[Event]:
    """What a change of the configuration says of servers and zones, for the checker."""
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

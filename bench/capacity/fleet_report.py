"""The report on quiet fleets and changes: tables by size, slopes, and the size to design for against its bounds.

The fleets that were measured form three series, along daemons, workers and routes, which share the size `ORIGIN`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from bench.capacity.meter import Row
from bench.capacity.simulated_fleet import store_count
from bench.capacity.slopes import Slope, extrapolate, slope, verdict
from bench.capacity.tables import table
from bench.capacity.target import Target

Size = tuple[int, int, int]  # daemons, workers, routes
Value = Callable[[Row], float]
StoreTraffic = tuple[int, dict[str, float]]  # how many stores, and the bytes a second that one sends, by verb

HEARTBEAT_MS = 300.0  # a heartbeat of control under the simulated bounds, where a fleet must recover in 12 s
ROLES = ("edge", "store", "primary", "backup", "witness")
CONTROL_ROLES = ("primary", "backup", "witness")
ORIGIN: Size = (16, 20, 9)
AXES = range(len(ORIGIN))
STORE_VERBS = ("ping", "hello", "carry", "ack", "take", "shuffle")


def size_of(row: Row) -> Size:
    """The size of the fleet that a row was measured on."""
    return row["daemons"], row["workers"], row["routes"]


def slopes_by_axis(rows: Sequence[Row], value: Value) -> tuple[list[Slope], float]:
    """The slopes over daemons, workers and routes, and the value at the size that they share."""
    series = [[row for row in rows if _on_axis(size_of(row), axis)] for axis in AXES]
    lines = [slope([(float(size_of(row)[axis]), value(row)) for row in some]) for axis, some in enumerate(series)]
    return lines, next(value(row) for row in rows if size_of(row) == ORIGIN)


def _on_axis(size: Size, axis: int) -> bool:
    return all(i == axis or size[i] == ORIGIN[i] for i in AXES)


def value_at(rows: Sequence[Row], value: Value, size: Size) -> float:
    """The value at a size that was not measured, by the slopes."""
    lines, origin = slopes_by_axis(rows, value)
    return extrapolate(origin, [(line, size[axis] - ORIGIN[axis]) for axis, line in enumerate(lines)])


def at_rest(role: str, what: str, row: Row) -> float:
    """What one process of a role costs a second."""
    return float(row["rest"][role][what])


def changed_by(role: str, what: str, row: Row) -> float:
    """What one change costs beyond what the time that it was watched for costs at rest."""
    return float(row["change"][role][what] - row["rest"][role][what] * row["change_span"])


def fleet_report(rows: Sequence[Row]) -> list[str]:
    """The lines of the report on the rows of quiet fleets."""
    target = Target()
    size = (target.daemons, target.workers, target.routes)
    rows = sorted(rows, key=size_of)
    return [
        *_rest_lines(rows),
        *_store_lines(rows, store_count(target.daemons)),
        *_change_lines(rows),
        *_slope_lines(rows, size),
        "## Against the bounds",
        "",
        *table(["what", "at the size", "bound", "verdict"], _bound_rows(rows, size, target)),
    ]


def _rest_lines(rows: Sequence[Row]) -> list[str]:
    heads = ["daemons", "workers", "routes", *(f"{role}: cpu ms, sent, received, messages" for role in ROLES)]
    costs = [[*size_of(row), *(_rest_cell(row["rest"][role]) for role in ROLES)] for row in rows]
    sent = [
        [row["daemons"], row["workers"], *(_verbs_cell(row["rest"][role]["verbs"]) for role in ROLES)]
        for row in _few_routes(rows)
    ]
    return [
        "## Quiet fleets", "", "Processor ms, bytes and messages a second of one process.", "",
        *table(heads, costs),
        "Bytes a second that one process sends, by message:", "",
        *table(["daemons", "workers", *ROLES], sent),
    ]  # fmt: skip


def _rest_cell(cost: Row) -> str:
    return f"{cost['cpu_ms']:.2f}, {cost['sent']:.0f}, {cost['received']:.0f}, {cost['messages']:.1f}"


def _verbs_cell(sent: dict[str, float]) -> str:
    return ", ".join(f"{verb} {size:.0f}" for verb, size in sent.items())


def _few_routes(rows: Sequence[Row]) -> list[Row]:
    return [row for row in rows if row["routes"] == ORIGIN[2]]


def _store_lines(rows: Sequence[Row], target_stores: int) -> list[str]:
    quiet = [row for row in rows if size_of(row)[1:] == ORIGIN[1:]]
    costs = [(store_count(row["daemons"]), row["rest"]["store"]) for row in quiet]
    cells = [
        [stores, *(cost["verbs"].get(verb, 0.0) for verb in STORE_VERBS), cost["cpu_ms"] * stores]
        for stores, cost in costs
    ]
    schedulers = [[row["daemons"], row["workers"], *_scheduler_cells(row["stores"])] for row in _few_routes(rows)]
    heads = [
        "daemons",
        "workers",
        "the one that schedules: cpu ms",
        "it sends",
        "the others: cpu ms, mean",
        "the highest",
    ]
    sent = store_sent([(stores, cost["verbs"]) for stores, cost in costs], target_stores)
    return [
        "Stores: bytes a second that one sends, by message; the partitions are eight whatever the size.", "",
        *table(["stores", *STORE_VERBS, "all stores, cpu ms"], cells),
        *table(heads, schedulers),
        f"Laid out to {target_stores} stores, bytes a second that a mean one sends: {_verbs_cell(sent)}, in all "
        f"{sum(sent.values()):.0f}. The last in the order of schedulers pings all others: by construction twice the mean.", "",
    ]  # fmt: skip


def _scheduler_cells(stores: Sequence[Row]) -> list[Any]:
    active = next((store for store in stores if store["schedules"]), None)
    others = [store["cpu_ms"] for store in stores if not store["schedules"]]
    own = [active["cpu_ms"], active["sent"]] if active else ["none", "none"]
    return [*own, sum(others) / len(others), max(others)]


def store_sent(measured: Sequence[StoreTraffic], stores: int) -> dict[str, float]:
    """What a mean store of so many sends: pings grow with the stores, shuffles don't, and what belongs to partitions, of
    which there are always as many, is shared by all."""
    largest, verbs = max(measured, key=lambda traffic: traffic[0])
    pings = slope([(float(count), sent.get("ping", 0.0)) for count, sent in measured]).at(stores)
    fixed = {"ping": pings, "shuffle": verbs.get("shuffle", 0.0)}
    return {verb: fixed.get(verb, size * largest / stores) for verb, size in verbs.items()}


def _change_lines(rows: Sequence[Row]) -> list[str]:
    heads = [
        "daemons", "workers", "routes", "told", "manifest", "control state", "resident memory of all",
        *(f"{role}: cpu ms, sent, received" for role in ROLES),
    ]  # fmt: skip
    cells = [
        [*size_of(row), row["told"], row["manifest"], row["state"], row["memory"], *(_change_cell(role, row) for role in ROLES)]
        for row in rows
    ]  # fmt: skip
    return [
        "## One change of a route", "",
        "Beyond what the same time costs at rest; of one process, mean of eight. `told`: the longest time until the operator had its 200, s.", "",
        *table(heads, cells),
    ]  # fmt: skip


def _change_cell(role: str, row: Row) -> str:
    cpu, sent, received = (changed_by(role, what, row) for what in ("cpu_ms", "sent", "received"))
    return f"{cpu:.2f}, {sent:.0f}, {received:.0f}"


def _slope_lines(rows: Sequence[Row], size: Size) -> list[str]:
    # One fleet that belongs to no series tells how well the slopes foretell.
    check = next((row for row in rows if all(size_of(row)[i] != ORIGIN[i] for i in AXES)), None)
    cells = []
    for name, value in _sloped_values():
        lines, origin = slopes_by_axis(rows, value)
        foretold = f"{value_at(rows, value, size_of(check)):.4g} / {value(check):.4g}" if check else ""
        slopes = [f"{line.each:.3g} ({line.fit:.2f})" for line in lines]
        cells.append([name, origin, *slopes, foretold, value_at(rows, value, size)])
    heads = [
        "what", "at 16, 20, 9", "a daemon (fit)", "a worker (fit)", "a route (fit)",
        "foretold / measured at 64, 100, 100", "at the size",
    ]  # fmt: skip
    title = f"## Slopes, laid out to {size[0]} daemons, {size[1]} workers, {size[2]} routes"
    return [title, "", *table(heads, cells)]


def _sloped_values() -> list[tuple[str, Value]]:
    values: list[tuple[str, Value]] = []
    for role in ROLES:
        if role == "store":  # its parts grow each in its own way, see `store_sent`
            continue
        rates = ("cpu_ms", "sent", "received", "messages")
        values += [(f"{role}, {what} a second", partial(at_rest, role, what)) for what in rates]
        values += [(f"{role}, {what} a change", partial(changed_by, role, what)) for what in ("cpu_ms", "sent")]
    return [
        *values,
        ("manifest, bytes", lambda row: float(row["manifest"])),
        ("control state as dumped, bytes", lambda row: float(row["state"])),
        ("resident memory of all, bytes", lambda row: float(row["memory"])),
        ("told, s", lambda row: float(row["told"])),
    ]


def _bound_rows(rows: Sequence[Row], size: Size, target: Target) -> list[list[Any]]:
    """What control costs a daemon, and what a control machine has to do, each with its bound."""

    def rest(role: str, what: str) -> float:
        return value_at(rows, partial(at_rest, role, what), size)

    memory_of_daemon = slopes_by_axis(rows, lambda row: float(row["memory"]))[0][0].each
    quiet = [row for row in rows if size_of(row)[1:] == ORIGIN[1:]]
    traffic = [(store_count(row["daemons"]), row["rest"]["store"]["verbs"]) for row in quiet]
    sent_by_store = sum(store_sent(traffic, store_count(size[0])).values())
    longest_change = max(row["told"] for row in rows)
    cpu_of_change = value_at(rows, partial(changed_by, "primary", "cpu_ms"), size)
    bounds: list[tuple[str, float, float]] = [
        ("edge: processor ms a second", rest("edge", "cpu_ms"), target.cpu * 1e3),
        ("edge: bytes sent a second", rest("edge", "sent"), target.traffic),
        ("edge: bytes received a second", rest("edge", "received"), target.traffic),
        ("edge: both", rest("edge", "sent") + rest("edge", "received"), target.traffic),
        ("a daemon: bytes of memory beyond the program's own", memory_of_daemon, target.memory),
        ("a mean store: bytes sent a second", sent_by_store, target.traffic),
        *((f"{role}: processor ms a second, of one core", rest(role, "cpu_ms"), 1e3) for role in CONTROL_ROLES),
        ("an operator's change in force, s (longest measured)", longest_change, target.in_force),
        ("primary: processor ms of a change, of a control beat", cpu_of_change, HEARTBEAT_MS),
    ]
    return [[name, value, bound, verdict(value, bound)] for name, value, bound in bounds]

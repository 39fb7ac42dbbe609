"""The report on quiet fleets and changes, laid out to the size to design for."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from bench.capacity.meter import Row
from bench.capacity.simulated_fleet import stores_of
from bench.capacity.slopes import Slope, joint, slope, verdict
from bench.capacity.tables import table
from bench.capacity.target import Target

BEAT_MS = 300.0  # a beat of the product's under the simulated bounds, where a fleet must recover in 12 s
CONTROL_ROLES = ("edge", "store", "primary", "backup", "witness")
REST = (16, 20, 9)  # the size that the three series of fleets share


def key_of(row: Row) -> tuple[int, int, int]:
    return row["daemons"], row["workers"], row["routes"]


def lines_of(rows: Sequence[Row], value: Callable[[Row], float]) -> tuple[list[Slope], float]:
    """The slopes over daemons, workers and routes, and the value at the size that they share."""
    series = [[r for r in rows if all(i == axis or key_of(r)[i] == REST[i] for i in range(3))] for axis in range(3)]
    lines = [slope([(float(key_of(r)[axis]), value(r)) for r in some]) for axis, some in enumerate(series)]
    return lines, next(value(r) for r in rows if key_of(r) == REST)


def laid_out(rows: Sequence[Row], value: Callable[[Row], float], size: tuple[int, int, int]) -> float:
    lines, rest = lines_of(rows, value)
    return joint([(line, size[i] - REST[i]) for i, line in enumerate(lines)], rest)


def at_rest(role: str, what: str, row: Row) -> float:
    return float(row["rest"][role][what])


def changed_by(role: str, what: str, row: Row) -> float:
    """What one change costs beyond what the time it was watched for costs at rest."""
    return float(row["change"][role][what] - row["rest"][role][what] * row["change_span"])


def fleet_report(rows: Sequence[Row]) -> list[str]:
    t = Target()
    size = (t.daemons, t.workers, t.routes)
    out = ["## Quiet fleets", "", "Processor ms, bytes and messages a second of one process.", ""]
    heads = ["daemons", "workers", "routes", *(f"{r}: cpu ms, sent, received, messages" for r in CONTROL_ROLES)]
    rows = sorted(rows, key=key_of)
    cells = [
        [*key_of(r), *(f"{r['rest'][x]['cpu_ms']:.2f}, {r['rest'][x]['sent']:.0f}, {r['rest'][x]['received']:.0f}, {r['rest'][x]['messages']:.1f}" for x in CONTROL_ROLES)]
        for r in rows
    ]  # fmt: skip
    out += table(heads, cells)
    out += ["Bytes a second that one process sends, by message:", ""]
    out += table(["daemons", "workers", *CONTROL_ROLES],
                 [[r["daemons"], r["workers"], *(", ".join(f"{k} {v:.0f}" for k, v in r["rest"][x]["verbs"].items()) for x in CONTROL_ROLES)] for r in rows if r["routes"] == 9])  # fmt: skip
    quiet = [r for r in rows if r["workers"] == 20 and r["routes"] == 9]
    spots = [(stores_of(r["daemons"]), r["rest"]["store"]) for r in quiet]
    verbs = ("ping", "hello", "carry", "ack", "take", "shuffle")
    out += ["Stores: bytes a second that one sends, by message; the partitions are eight whatever the size.", ""]
    out += table(["stores", *verbs, "all stores, cpu ms"], [[n, *(x["verbs"].get(v, 0.0) for v in verbs), x["cpu_ms"] * n] for n, x in spots])  # fmt: skip
    cells = []
    for r in (r for r in rows if r["routes"] == 9):
        one = next((x for x in r["stores"] if x["schedules"]), None)
        others = [x["cpu_ms"] for x in r["stores"] if not x["schedules"]]
        cells.append(
            [
                r["daemons"],
                r["workers"],
                one["cpu_ms"] if one else "none",
                one["sent"] if one else "none",
                sum(others) / len(others),
                max(others),
            ]
        )
    heads = [
        "daemons",
        "workers",
        "the one that schedules: cpu ms",
        "it sends",
        "the others: cpu ms, mean",
        "the highest",
    ]
    out += table(heads, cells)
    n = stores_of(t.daemons)
    laid = store_sent([(k, x["verbs"]) for k, x in spots], n)
    out += [f"Laid out to {n} stores, bytes a second that a mean one sends: {', '.join(f'{k} {v:.0f}' for k, v in laid.items())}, in all "
            f"{sum(laid.values()):.0f}. The last in the order of schedulers pings all others: by construction twice the mean.", ""]  # fmt: skip
    out += [
        "## One change of a route",
        "",
        "Beyond what the same time costs at rest; of one process, mean of eight. `told`: the longest time until the operator had its 200, s.",
        "",
    ]
    out += table(["daemons", "workers", "routes", "told", "manifest", "control state", "resident memory of all", *(f"{x}: cpu ms, sent, received" for x in CONTROL_ROLES)],
                 [[*key_of(r), r["told"], r["manifest"], r["state"], r["memory"],
                   *(f"{changed_by(x, 'cpu_ms', r):.2f}, {changed_by(x, 'sent', r):.0f}, {changed_by(x, 'received', r):.0f}" for x in CONTROL_ROLES)] for r in rows])  # fmt: skip
    out += [f"## Slopes, laid out to {size[0]} daemons, {size[1]} workers, {size[2]} routes", ""]
    cells = []
    wants: list[tuple[str, Callable[[Row], float]]] = []
    for role in (r for r in CONTROL_ROLES if r != "store"):  # a store's parts grow each in its own way, see above
        wants += [
            (f"{role}, {x} a second", partial(at_rest, role, x)) for x in ("cpu_ms", "sent", "received", "messages")
        ]
        wants += [(f"{role}, {x} a change", partial(changed_by, role, x)) for x in ("cpu_ms", "sent")]
    wants += [("manifest, bytes", lambda r: float(r["manifest"])), ("control state as dumped, bytes", lambda r: float(r["state"])),
              ("resident memory of all, bytes", lambda r: float(r["memory"])), ("told, s", lambda r: float(r["told"]))]  # fmt: skip
    check = next((r for r in rows if sum(key_of(r)[i] != REST[i] for i in range(3)) == 3), None)
    for name, value in wants:
        lines, rest = lines_of(rows, value)
        found = [f"{laid_out(rows, value, key_of(check)):.4g} / {value(check):.4g}"] if check else [""]
        cells.append([name, rest, *(f"{x.each:.3g} ({x.fit:.2f})" for x in lines), *found, laid_out(rows, value, size)])
    out += table(
        [
            "what",
            "at 16, 20, 9",
            "a daemon (fit)",
            "a worker (fit)",
            "a route (fit)",
            "foretold / measured at 64, 100, 100",
            "at the size",
        ],
        cells,
    )
    return out + ["## Against the bounds", "", *table(["what", "at the size", "bound", "verdict"], against(rows, size))]


def store_sent(spots: Sequence[tuple[int, dict[str, float]]], stores: int) -> dict[str, float]:
    """What a mean store of so many sends: pings grow with the stores, shuffles don't, and what belongs to partitions, of
    which there are always as many, is shared by all."""
    last, verbs = max(spots, key=lambda s: s[0])
    pings = slope([(float(n), x.get("ping", 0.0)) for n, x in spots]).at(stores)
    return {k: pings if k == "ping" else v if k == "shuffle" else v * last / stores for k, v in verbs.items()}


def against(rows: Sequence[Row], size: tuple[int, int, int]) -> list[list[Any]]:
    """What control costs a daemon, and what a control machine has to do, each with its bound."""
    t = Target()

    def each(role: str, what: str) -> float:
        return laid_out(rows, partial(at_rest, role, what), size)

    memory = lines_of(rows, lambda r: float(r["memory"]))[0][0].each
    spots = [(stores_of(r["daemons"]), r["rest"]["store"]["verbs"]) for r in rows if key_of(r)[1:] == REST[1:]]
    found: list[tuple[str, float, float]] = [
        ("edge: processor ms a second", each("edge", "cpu_ms"), t.cpu * 1e3), ("edge: bytes sent a second", each("edge", "sent"), t.traffic),
        ("edge: bytes received a second", each("edge", "received"), t.traffic),
        ("edge: both", each("edge", "sent") + each("edge", "received"), t.traffic),
        ("a daemon: bytes of memory beyond the program's own", memory, t.memory),
        ("a mean store: bytes sent a second", sum(store_sent(spots, stores_of(size[0])).values()), t.traffic),
        *((f"{x}: processor ms a second, of one core", each(x, "cpu_ms"), 1e3) for x in ("primary", "backup", "witness")),
        ("an operator's change in force, s (longest measured)", max(r["told"] for r in rows), t.in_force),
        ("primary: processor ms of a change, of a control beat", laid_out(rows, partial(changed_by, "primary", "cpu_ms"), size), BEAT_MS),
    ]  # fmt: skip
    return [[name, value, bound, verdict(value, bound)] for name, value, bound in found]

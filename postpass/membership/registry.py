"""Who is there and what is wanted, as control keeps it for an announced fleet: pure functions from what machines, workers
and operators say to the next state. A function that changes nothing returns the very state it was given."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict, cast

from result import Result

from postpass.configuration import accepted_orders
from postpass.configuration.configuration import Configuration, Limits, Machine, Pool, Route, Server, with_duty
from postpass.configuration.settings import address_errors
from postpass.membership.safe_change import Presence, Tolerance, copies_bear_loss, machine_to_drop, safe_copies

LEAST_CONTROL = 3  # control machines that stay when one that is silent is dropped
PARTS = 8  # partitions of a fleet that founds itself
LEFT = 512  # lives of workers that are known to have ended, so that a late word doesn't bring them back


class Entry(TypedDict):
    """What a machine says of itself when it announces itself. `born` grows with every start of its process."""

    name: str
    area: str
    peer: str
    http: str
    duties: list[Any]
    born: int
    disk: str


class Standing(TypedDict):
    """What a worker says of itself. Invariant: one id is one life; `leave`, once said, is never taken back."""

    pool: str
    url: str
    area: str
    slots: int
    leave: NotRequired[bool]
    cold: NotRequired[bool]


class Terms(TypedDict):
    """The operator's part of the manifest; its pools have no servers."""

    version: int
    routes: dict[str, Route]
    pools: dict[str, Pool]
    limits: Limits


@dataclass(frozen=True)
class Translator:
    """How the operator's own document is read: as terms, and with a change laid on it; else every flaw as one line."""

    terms: Callable[[Any], Result[Terms, list[str]]]
    patched: Callable[[Any, Any], Result[Any, list[str]]]


@dataclass(frozen=True)
class State:
    """Control state. Invariant: `edition` grows by one with every write, and never falls; `losses` counts
    how often acknowledged state may have been lost.

    Of announced fleets only: `source` is the operator's document as sent, or as changed since; `orders` is the
    memory of accepted orders (`taken_orders`); `aside` holds workers by the pools that they name and that no terms have; `left` are workers
    that said they end; `retired` are emptied stores, by name, with the disk that was emptied."""

    revision: int = 0
    manifest: Configuration | None = None
    losses: int = 0
    source: Any = None
    orders: list[str] = field(default_factory=list)
    aside: dict[str, dict[str, Server]] = field(default_factory=dict)
    left: list[str] = field(default_factory=list)
    retired: dict[str, str] = field(default_factory=dict)

    @property
    def configuration(self) -> Configuration:
        assert self.manifest is not None
        return self.manifest


def edit(state: State, **parts: Any) -> State:
    """The state with some parts of its manifest put in place of the present ones."""
    return replace(state, manifest=cast(Configuration, {**state.configuration, **parts}))


def recovered(revision: int, manifest: Configuration, losses: int) -> State:
    """The state after a loss, from a manifest that daemons held: no order up to its version is known any more."""
    orders = accepted_orders.forgotten_up_to(manifest.get("version", 0))
    return State(revision, manifest, losses, orders=orders)


# --- machines
def entry_flaws(entry: Any, zones: Iterable[str]) -> list[str]:
    if not isinstance(entry, dict) or set(entry) != set(Entry.__annotations__):
        return [f"entry: want {', '.join(Entry.__annotations__)}, got {entry!r:.80}"]
    out = address_errors("peer", str(entry["peer"])) + address_errors("http", str(entry["http"]))
    if not entry["name"] or not isinstance(entry["name"], str):
        out.append(f"name: want a name, got {entry['name']!r:.40}")
    if entry["area"] not in zones:
        out.append(f"area: unknown area {entry['area']!r:.40}")
    if not isinstance(entry["born"], int) or not isinstance(entry["disk"], str):
        out.append("born, disk: want a whole number and a string")
    if not set(entry["duties"]) <= {"edge", "sched", "store", "control"}:
        out.append(f"duties: unknown one in {entry['duties']!r:.80}")
    return out


def machine(entry: Entry) -> Machine:
    made: Machine = {
        "area": entry["area"], "peer": entry["peer"], "http": entry["http"], "duties": entry["duties"],
        "born": entry["born"],
    }  # fmt: skip
    return {**made, "disk": entry["disk"]} if entry["disk"] else made


def wanted_copies(lost: int) -> int:
    return max(4, 2 * lost + 1)


def founded(entries: Iterable[Entry], zones: Iterable[str], lost: int) -> Configuration:
    """The first manifest: nothing but the control machines that found the fleet."""
    return {
        "name": "announced", "announced": True, "version": 0, "areas": list(zones),
        "machines": {e["name"]: machine(e) for e in entries}, "parts": PARTS, "copies": wanted_copies(lost),
        "classes": {}, "pools": {}, "ways": {}, "routes": {}, "evacuated": [],
    }  # fmt: skip


def joined(state: State, entry: Entry) -> State:
    """A machine's word is taken unless a later start of it was heard, or it was emptied to be taken away."""
    configuration, name = state.configuration, entry["name"]
    have = configuration["machines"].get(name)
    if have is not None and have.get("born", 0) > entry["born"]:
        return state
    if name in state.retired and state.retired[name] == entry["disk"]:
        return state
    new = machine(entry)
    if have is not None and have.get("retire"):
        new["retire"] = True
    if have == new:
        return state
    if name in state.retired:
        # Another disk: a new machine of that name, whose retirement has not been asked for.
        state = replace(state, retired={n: d for n, d in state.retired.items() if n != name})
    # Whoever had this address is there no more.
    rest = {n: m for n, m in configuration["machines"].items() if n == name or m["peer"] != new["peer"]}
    return edit(state, machines=rest | {name: new})


def dropped(state: State, names: Iterable[str]) -> State:
    out = set(names) & set(state.configuration["machines"])
    return (
        edit(state, machines={n: m for n, m in state.configuration["machines"].items() if n not in out})
        if out
        else state
    )


def placed(configuration: Configuration | None, entry: Entry) -> bool:
    """Is this very life of a machine known?"""
    have = configuration["machines"].get(entry["name"]) if configuration else None
    return have is not None and {k: v for k, v in have.items() if k != "retire"} == machine(entry)


def replaced(
    configuration: Configuration, silent: Mapping[str, float], met: Mapping[str, float], clock: float, patience: float
) -> list[str]:
    """Machines gone for good. `silent` tells for how long a machine was not heard, `met` when a name was first heard.

    An edge is dropped for its silence alone, a machine with a disk once another one has come for it: at most one at a
    time, and neither fewer control machines than three nor fewer stores than copies stay.
    """
    edges = {n for n, m in configuration["machines"].items() if set(m["duties"]) == {"edge"}}
    out = [n for n in configuration["machines"] if n in edges and silent.get(n, 0.0) > 4 * patience]
    present = {
        n: Presence(
            frozenset(m["duties"]), m["area"], silent.get(n, 0.0), clock - met.get(n, float("-inf")), m.get("born", 0)
        )
        for n, m in configuration["machines"].items()
        if n not in edges
    }

    def least(machine: Presence) -> int:
        return configuration["copies"] if "store" in machine.duties else LEAST_CONTROL

    gone = machine_to_drop(present, least, patience)
    return [*out, gone] if gone is not None else out


def settled(state: State, tolerance: Tolerance, late: bool, heard: Iterable[str]) -> State:
    """`copies` follows the stores there are, once no new one has come for a while (`late`): up to what is wanted by those
    that are heard, since one that is gone for good holds no copy; and below it only in a fleet that has stayed small, or
    whose areas would bear less with more copies."""
    configuration = state.configuration
    stores = {
        n: configuration["machines"][n]["area"]
        for n in with_duty(configuration, "store")
        if not configuration["machines"][n].get("retire")
    }
    if not late or not stores:
        return state
    most = wanted_copies(tolerance.machines)
    there = safe_copies([zone for n, zone in stores.items() if n in set(heard)], most, tolerance)
    if configuration["copies"] < there:
        return edit(state, copies=there)
    every = safe_copies(list(stores.values()), most, tolerance)
    return edit(state, copies=every) if every < configuration["copies"] else state


# --- workers
def find(state: State, who: str) -> tuple[str, Server] | None:
    for name, pool in state.configuration["pools"].items():
        if who in pool["servers"]:
            return name, pool["servers"][who]
    return next(((name, group[who]) for name, group in state.aside.items() if who in group), None)


def everyone(state: State) -> dict[str, Server]:
    out: dict[str, Server] = {}
    for group in (*(p["servers"] for p in state.configuration["pools"].values()), *state.aside.values()):
        out.update(group)
    return out


def server(standing: Standing) -> Server:
    made: Server = {"url": standing["url"], "area": standing["area"], "slots": standing["slots"]}
    if standing.get("leave"):
        made["leave"] = True
    if standing.get("cold"):
        made["cold"] = True
    return made


def unchanged(configuration: Configuration | None, who: str, standing: Standing) -> bool:
    """Does the manifest say of this worker what it says of itself?"""
    pool = configuration["pools"].get(standing["pool"]) if configuration else None
    have = pool["servers"].get(who) if pool else None
    return have is not None and have == server(standing)


def _without(state: State, names: Iterable[str]) -> State:
    out = set(names)
    for name, pool in state.configuration["pools"].items():
        if out & set(pool["servers"]):
            rest: Pool = {**pool, "servers": {w: s for w, s in pool["servers"].items() if w not in out}}
            state = edit(state, pools={**state.configuration["pools"], name: rest})
    if any(out & set(group) for group in state.aside.values()):
        aside = {n: {w: s for w, s in g.items() if w not in out} for n, g in state.aside.items()}
        state = replace(state, aside={n: g for n, g in aside.items() if g})
    return state


def _ended(state: State, names: Iterable[str]) -> State:
    new = [n for n in names if n not in state.left]
    return replace(state, left=[*state.left, *new][-LEFT:]) if new else state


def standing_flaws(standing: Standing, zones: Sequence[str]) -> list[str]:
    """What the manifest could not take of a worker's word, each with its path. No areas: they aren't known."""
    host = standing["url"].removeprefix("http://")
    out = [] if standing["url"].startswith("http://") else [f"url: want http://IP:PORT, got {standing['url']!r:.60}"]
    out += address_errors("url", host)
    if zones and standing["area"] not in zones:
        out.append(f"area: unknown area {standing['area']!r:.60}")
    if standing["slots"] < 1:
        out.append(f"slots: want at least 1, got {standing['slots']}")
    return out if standing["pool"] else [*out, "pool: want a name, got an empty string"]


def stood(state: State, who: str, standing: Standing) -> State:
    """A worker's word of itself."""
    if who in state.left:
        return state
    have = find(state, who)
    new = server(standing)
    if have is not None and have[1].get("leave"):
        new["leave"] = True
    if have == (standing["pool"], new):
        return state
    # Another life had this address: it is over.
    before = [w for w, s in everyone(state).items() if s["url"] == new["url"] and w != who]
    if before:
        state = _ended(_without(state, before), before)
    if have is not None and have[0] != standing["pool"]:
        state = _without(state, [who])
    pools = state.configuration["pools"]
    if standing["pool"] in pools:
        pool = pools[standing["pool"]]
        made: Pool = {**pool, "servers": {**pool["servers"], who: new}}
        return edit(state, pools={**pools, standing["pool"]: made})
    group = {**state.aside.get(standing["pool"], {}), who: new}
    return replace(state, aside={**state.aside, standing["pool"]: group})


def ended(state: State, names: Iterable[str]) -> State:
    """Workers that said they end: whatever comes of them later is late."""
    names = list(names)
    return _ended(_without(state, names), names)


def expired(state: State, names: Iterable[str]) -> State:
    """Workers that are not heard any more; one that was leaving doesn't come back, any other may."""
    names = list(names)
    every = everyone(state)
    return _ended(_without(state, names), [n for n in names if n in every and every[n].get("leave")])


# --- the operator
def configured(state: State, terms: Terms, source: Any, orders: list[str]) -> State:
    """The operator's terms with the workers that are there: those of pools that went stand aside."""
    every = {**{n: p["servers"] for n, p in state.configuration["pools"].items()}, **state.aside}
    pools = {n: cast(Pool, {**p, "servers": every.get(n, {})}) for n, p in terms["pools"].items()}
    aside = {n: g for n, g in every.items() if n not in pools and g}
    new = edit(state, version=terms["version"], routes=terms["routes"], pools=pools, limits=terms["limits"])
    return replace(new, source=source, aside=aside, orders=orders)


def evacuated(state: State, zone: str) -> State:
    now = state.configuration.get("evacuated", [])
    return state if zone in now else edit(state, evacuated=[*now, zone])


def returned(state: State, zone: str) -> State:
    """An evacuation is taken back: the area's workers count as cold until they say otherwise."""
    now = state.configuration.get("evacuated", [])
    if zone not in now:
        return state

    def chill(group: dict[str, Server]) -> dict[str, Server]:
        return {w: cast(Server, {**s, "cold": True}) if s["area"] == zone else s for w, s in group.items()}

    pools = {n: cast(Pool, {**p, "servers": chill(p["servers"])}) for n, p in state.configuration["pools"].items()}
    new = edit(state, evacuated=[a for a in now if a != zone], pools=pools)
    return replace(new, aside={n: chill(g) for n, g in state.aside.items()})


def staying(configuration: Configuration, name: str) -> list[str]:
    """The areas of the stores that are there once `name` is emptied."""
    machines = configuration["machines"]
    return [
        machines[n]["area"] for n in with_duty(configuration, "store") if n != name and not machines[n].get("retire")
    ]


def retire_flaw(state: State, name: str, tolerance: Tolerance) -> tuple[int, str] | None:
    """Why a store can't be emptied, with the code of the fault; None if it can. Where no store is spare, fewer copies do as
    long as what may be lost at once can still be lost."""
    if name in state.retired:
        return None
    configuration = state.configuration
    if name not in with_duty(configuration, "store"):
        return 404, f"no store {name!r:.60}"
    if configuration["machines"][name].get("retire"):
        return None
    stay = staying(configuration, name)
    copies = safe_copies(stay, configuration["copies"], tolerance)
    if copies < configuration["copies"] and not copies_bear_loss(stay, copies, tolerance):
        return 409, f"the {len(stay)} stores that would stay can't bear the loss of what may be lost at once"
    return None


def retiring(state: State, name: str, tolerance: Tolerance) -> State:
    """The store is to be emptied; there are fewer copies if those that stay bear more with fewer."""
    have = state.configuration["machines"].get(name)
    if have is None or have.get("retire"):
        return state
    machines = {**state.configuration["machines"], name: cast(Machine, {**have, "retire": True})}
    copies = safe_copies(staying(state.configuration, name), state.configuration["copies"], tolerance)
    return edit(state, machines=machines, copies=copies)


def emptied(state: State, name: str) -> State:
    """A store that holds nothing any more goes, and doesn't come back with the same disk."""
    if name in state.retired:
        return state
    disk = state.configuration["machines"].get(name, cast(Machine, {})).get("disk", "")
    return replace(dropped(state, [name]), retired={**state.retired, name: disk})

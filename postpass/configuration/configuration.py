"""The whole desired state, in one file, applied as a whole: typed dictionaries and their checks."""

from __future__ import annotations

import hashlib
import json
from importlib.metadata import entry_points
from typing import Any, Literal, NotRequired, TypedDict, cast

from result import Err, Ok, Result

from postpass.configuration.schema import flaws
from postpass.configuration.settings import addr_flaws
from postpass.replication.stability import DEFAULT, PredicateScope, build, covers, loss_flaw


class Machine(TypedDict):
    area: str
    peer: str
    http: str
    duties: list[Literal["edge", "sched", "store", "control"]]
    # retire: its copies move elsewhere, then it is reported empty. gone: declared lost for good.
    retire: NotRequired[bool]
    gone: NotRequired[bool]
    # In an announced fleet: the incarnation that announced itself last, and the identity of its disk.
    born: NotRequired[int]
    disk: NotRequired[str]


class Server(TypedDict):
    url: str
    area: str
    slots: int
    weights: NotRequired[str]
    leave: NotRequired[bool]
    # In an announced fleet: still slow after its start, or again.
    cold: NotRequired[bool]


class Pool(TypedDict):
    kind: Literal["model", "plain"]
    servers: dict[str, Server]
    weights: NotRequired[str]
    # Are model servers asked for the place of each piece? Yes if left out.
    offsets: NotRequired[bool]
    # Terms of a pool that relayed calls use.
    health: NotRequired[str]  # path
    conns: NotRequired[int]  # connections a server takes from all daemons together
    cold_rate: NotRequired[float]  # calls a second that a cold server takes from all together; 0: no such bound
    kv: NotRequired[int]  # tokens of memory of a model server; 0 or left out: not a model


class Split(TypedDict):
    pool: str
    weight: int


class Route(TypedDict):
    """Requests for a host under a prefix go, bytes untouched, to a worker of one of its pools. Times in seconds."""

    host: str
    prefix: str
    kind: Literal["idem", "once", "stream", "lot"]
    split: list[Split]
    timeout: float  # the longest a call is held
    target: float  # inside which an answer (for a stream its first piece, for a lot its acceptance) is worth most
    rank: int  # 0 is the highest
    tries: int  # workers that one call may go to; failures that an item may have
    resumable: bool
    gap: float  # the longest pause between pieces that is still in time; 0: none told
    tokens: bool  # calls tell the parts of their prompt
    quota: int  # tokens that may wait in lots; 0: no bound
    due: float  # after a lot came
    expire: float


class Class(TypedDict):
    kind: Literal["live", "batch", "plain"]
    pool: str
    share: float
    priority: NotRequired[int]
    deadline: NotRequired[float]
    lends: NotRequired[bool]
    borrows: NotRequired[list[str]]
    handback: NotRequired[float]
    reserve: NotRequired[float]
    backlog: NotRequired[int]
    once: NotRequired[bool]
    predicate: NotRequired[str]
    place: NotRequired[str]
    prefix: NotRequired[str]


class Limits(TypedDict, total=False):
    body_bytes: int
    item_bytes: int
    lot_items: int
    lot_bytes: int
    pieces: int
    open_lots: int
    head_bytes: int
    head_ms: int
    idle_ms: int


class Configuration(TypedDict):
    name: str
    areas: list[str]
    machines: dict[str, Machine]
    parts: int
    copies: int
    classes: dict[str, Class]
    pools: dict[str, Pool]
    ways: dict[str, str]  # path prefix -> plain class
    predicate: NotRequired[str]
    evacuated: NotRequired[list[str]]
    retention: NotRequired[float]
    limits: NotRequired[Limits]
    ramp: NotRequired[float]
    # Of announced fleets: the operator's own number, and the relayed routes by name.
    announced: NotRequired[bool]
    version: NotRequired[int]
    routes: NotRequired[dict[str, Route]]


LIMITS: dict[str, int] = {
    "body_bytes": 4 << 20, "item_bytes": 64 << 10, "lot_items": 5000, "lot_bytes": 2 << 20,
    "pieces": 4096, "open_lots": 2000, "head_bytes": 16 << 10, "head_ms": 5000, "idle_ms": 15000,
}  # fmt: skip


def limit(configuration: Configuration, name: str) -> int:
    return int(cast(dict[str, int], configuration.get("limits", {})).get(name, LIMITS[name]))


def with_duty(configuration: Configuration, duty: str) -> list[str]:
    """Machines with a duty, in the manifest's order: the agreed order of duties."""
    return [n for n, m in configuration["machines"].items() if duty in m["duties"] and not m.get("gone")]


def members(configuration: Configuration, part: int) -> tuple[str, ...]:
    """Who should keep a partition: in distinct areas while there are enough, in an agreed order that
    the partition's number turns, so that ownership is spread. In an announced fleet nobody, until as many stores as
    it takes have announced themselves."""
    pool = [n for n in with_duty(configuration, "store") if not configuration["machines"][n].get("retire")]
    if not pool or (configuration.get("announced") and len(pool) < configuration["copies"]):
        return ()
    ranked = sorted(pool, key=lambda n: hashlib.sha256(f"{part}/{n}".encode()).digest())
    first = {configuration["machines"][n]["area"]: n for n in reversed(ranked)}
    heads = [n for n in ranked if first[configuration["machines"][n]["area"]] == n]
    chosen = (heads + [n for n in ranked if n not in heads])[: configuration["copies"]]
    # Turn the manifest's order by the partition's number: owners spread evenly over few stores.
    kept = [n for n in pool if n in chosen]
    turn = part % len(kept)
    return tuple(kept[turn:] + kept[:turn])


def scene(configuration: Configuration, names: tuple[str, ...], me: str) -> PredicateScope:
    zones = tuple((n, configuration["machines"][n]["area"] if n in configuration["machines"] else "") for n in names)
    return PredicateScope(names, zones, me)


def part_of(lot: str, parts: int) -> int:
    return int.from_bytes(hashlib.sha256(lot.encode()).digest()[:8], "big") % parts


def plugs(kind: str) -> set[str]:
    return {e.name for e in entry_points(group=f"postpass.{kind}")}


def deep_flaws(configuration: Configuration) -> list[str]:
    """What the shapes can't say."""
    out: list[str] = []
    zones, machines, pools = configuration["areas"], configuration["machines"], configuration["pools"]
    if not zones:
        out.append("areas: want at least one")
    for name, m in machines.items():
        path = f"machines.{name}"
        out += addr_flaws(f"{path}.peer", m["peer"]) + addr_flaws(f"{path}.http", m["http"])
        if m["area"] not in zones:
            out.append(f"{path}.area: unknown area {m['area']}")
    seen: dict[str, str] = {}
    for name, m in machines.items():
        for key in ("peer", "http"):
            addr = m[key]  # type: ignore[literal-required]
            if addr in seen and not m.get("gone"):
                out.append(f"machines.{name}.{key}: {addr} is also {seen[addr]}")
            elif not m.get("gone"):
                seen[addr] = f"machines.{name}.{key}"
    evacuated = configuration.get("evacuated", [])
    out += [f"evacuated[{i}]: unknown area {a}" for i, a in enumerate(evacuated) if a not in zones]
    if zones and set(zones) <= set(evacuated) and not configuration.get("announced"):
        out.append("evacuated: the last area can't be evacuated; nothing would serve")
    for name, pool in pools.items():
        for who, s in pool["servers"].items():
            path = f"pools.{name}.servers.{who}"
            if s["area"] not in zones:
                out.append(f"{path}.area: unknown area {s['area']}")
            if s["slots"] < 1:
                out.append(f"{path}.slots: want at least 1, got {s['slots']}")
            host = s["url"].removeprefix("http://")
            if not s["url"].startswith("http://") or addr_flaws("", host):
                out.append(f"{path}.url: want http://IP:PORT, got {s['url']!r:.60}")
        live = [s for s in pool["servers"].values() if not s.get("leave") and s["area"] not in evacuated]
        if pool["servers"] and not live and not configuration.get("announced"):
            out.append(f"pools.{name}: every server leaves or stands in an evacuated area")
    shares: dict[str, float] = {}
    for name, c in configuration["classes"].items():
        path = f"classes.{name}"
        if c["pool"] not in pools:
            out.append(f"{path}.pool: unknown pool {c['pool']}")
        elif (pools[c["pool"]]["kind"] == "plain") != (c["kind"] == "plain"):
            out.append(f"{path}.pool: a {c['kind']} class can't use the {pools[c['pool']]['kind']} pool {c['pool']}")
        if not 0 <= c["share"] <= 1:
            out.append(f"{path}.share: want 0 to 1, got {c['share']}")
        shares[c["pool"]] = shares.get(c["pool"], 0) + c["share"]
        for i, other in enumerate(c.get("borrows", [])):
            lender = configuration["classes"].get(other)
            if lender is None:
                out.append(f"{path}.borrows[{i}]: unknown class {other}")
            elif not lender.get("lends"):
                out.append(f"{path}.borrows[{i}]: class {other} does not lend")
            elif lender["pool"] != c["pool"]:
                out.append(f"{path}.borrows[{i}]: class {other} is in pool {lender['pool']}, not {c['pool']}")
        room = [configuration["classes"][o]["share"] for o in c.get("borrows", []) if o in configuration["classes"]]
        if c["share"] == 0 and c["kind"] != "plain" and not any(room):
            out.append(f"{path}.share: 0, and no class that it borrows from has a share: it would never run")
        for key, low in (("deadline", 0), ("handback", 0), ("backlog", 0), ("reserve", -1e-9)):
            if key in c and not cast(float, c[key]) > low:  # type: ignore[literal-required]
                out.append(f"{path}.{key}: want more than {max(low, 0)}, got {c[key]}")  # type: ignore[literal-required]
        if c.get("once") and c["kind"] != "live":
            out.append(f"{path}.once: only a live class can promise it; items of lots may run more than once")
        for kind in ("place", "prefix"):
            if kind in c and c[kind] not in plugs(kind):  # type: ignore[literal-required]
                out.append(f"{path}.{kind}: no plug-in {c[kind]!r} is installed; there are {sorted(plugs(kind))}")  # type: ignore[literal-required]
    out += [f"classes: shares of pool {p} add up to {s:g}, above 1" for p, s in shares.items() if s > 1 + 1e-9]
    for path, name in configuration["ways"].items():
        if not path.startswith("/"):
            out.append(f"ways.{path}: want a path that begins with /")
        if path.startswith("/v1/") or path in ("/health", "/ready", "/metrics"):
            out.append(f"ways.{path}: this path is postpass's own")
        if name not in configuration["classes"] or configuration["classes"][name]["kind"] != "plain":
            out.append(f"ways.{path}: want a plain class, got {name}")
    if "retention" in configuration and not configuration["retention"] > 0:
        out.append(f"retention: want more than 0, got {configuration['retention']}")
    if "ramp" in configuration and not configuration["ramp"] >= 0:
        out.append(f"ramp: want 0 or more, got {configuration['ramp']}")
    out += [
        f"limits.{k}: want at least 1, got {v}" for k, v in configuration.get("limits", {}).items() if cast(int, v) < 1
    ]
    for name, route in configuration.get("routes", {}).items():
        out += route_flaws(f"routes.{name}", route, configuration)
    taken: dict[tuple[str, str], str] = {}
    for name, route in configuration.get("routes", {}).items():
        other = taken.setdefault((route["host"].lower(), route["prefix"]), name)
        if other != name:
            out.append(f"routes.{name}.prefix: {route['host']}{route['prefix']} is also that of {other}")
    return out + ([] if configuration.get("announced") else store_flaws(configuration))


def route_flaws(path: str, route: Route, configuration: Configuration) -> list[str]:
    out = [
        f"{path}.split[{i}].pool: unknown pool {s['pool']}"
        for i, s in enumerate(route["split"])
        if s["pool"] not in configuration["pools"]
    ]
    if any(s["weight"] < 0 for s in route["split"]) or sum(s["weight"] for s in route["split"]) <= 0:
        out.append(f"{path}.split: want weights of 0 or more that add up to more than 0")
    if not route["timeout"] > 0:
        out.append(f"{path}.timeout: want more than 0, got {route['timeout']}")
    if not (route["prefix"].startswith("/") and route["prefix"].endswith("/")):
        out.append(f"{path}.prefix: want a path that begins and ends with a slash, got {route['prefix']!r:.60}")
    if not route["host"]:
        out.append(f"{path}.host: want a host, got an empty string")
    return out


def store_flaws(configuration: Configuration) -> list[str]:
    """Promises of the copies: the predicates must survive one disk or one area."""
    if not any(c["kind"] == "batch" or c.get("once") for c in configuration["classes"].values()):
        return []
    stores = [n for n in with_duty(configuration, "store") if not configuration["machines"][n].get("retire")]
    if not 1 <= configuration["parts"] <= 1024:
        return [f"parts: want 1 to 1024, got {configuration['parts']}"]
    if not 1 <= configuration["copies"] <= 7:
        return [f"copies: want 1 to 7, got {configuration['copies']}"]
    if len(stores) < configuration["copies"]:
        return [f"copies: {configuration['copies']} copies can't be held by {len(stores)} stores that stay"]
    main = configuration.get("predicate", DEFAULT)
    texts = {"predicate": main} | {
        f"classes.{n}.predicate": c["predicate"] for n, c in configuration["classes"].items() if "predicate" in c
    }
    out: dict[str, str] = {}  # the first flaw of each path
    for part in range(min(configuration["parts"], 64)):
        crew = members(configuration, part)
        for path, text in texts.items():
            for me in crew:
                place = scene(configuration, crew, me)
                flaw = loss_flaw(text, place)
                if flaw:
                    out.setdefault(path, flaw)
                    break
                base = build(main, place)
                if path != "predicate" and isinstance(base, Ok) and weaker(text, main, place):
                    out.setdefault(path, "weaker than the default predicate; a class may only ask for more")
                    break
    return [f"{path}: {flaw}" for path, flaw in out.items()]


def weaker(text: str, main: str, place: PredicateScope) -> bool:
    import itertools

    one, two = build(text, place).unwrap(), build(main, place).unwrap()
    return any(
        covers(one, c) and not covers(two, c)
        for n in range(len(place.nodes) + 1)
        for c in itertools.combinations(place.nodes, n)
    )


def shape(configuration: Configuration) -> set[str]:
    """The keys that a manifest uses, and the plug-ins: what an older daemon may not know."""
    groups: list[tuple[str, Any]] = [
        ("", [configuration]), ("machines.", configuration["machines"].values()), ("pools.", configuration["pools"].values()), ("limits.", [configuration.get("limits", {})]),
        ("servers.", [s for p in configuration["pools"].values() for s in p["servers"].values()]), ("classes.", configuration["classes"].values()),
    ]  # fmt: skip
    plugged = {f"{k}={c[k]}" for c in configuration["classes"].values() for k in ("place", "prefix") if k in c}  # type: ignore[literal-required]
    return {f"{name}{key}" for name, things in groups for thing in things for key in thing} | plugged


def check(raw: Any) -> Result[Configuration, list[str]]:
    seen = flaws(Configuration, raw)
    if seen:
        return Err(seen)
    configuration = cast(Configuration, raw)
    seen = deep_flaws(configuration)
    return Err(seen) if seen else Ok(configuration)


def dump(configuration: Configuration) -> str:
    return json.dumps(configuration, separators=(",", ":"), ensure_ascii=False)


def small() -> Configuration:
    """A whole manifest for tests."""
    zones = ["a", "b", "c", "d"]
    machines: dict[str, Machine] = {
        f"s{i}": {"area": zones[i - 1], "peer": f"127.{i}.0.1:7000", "http": f"127.{i}.0.1:8000", "duties": ["store"]}
        for i in range(1, 5)
    }
    return {
        "name": "small", "areas": zones, "machines": machines, "parts": 4, "copies": 4, "ways": {"/view": "view"},
        "classes": {
            "ask": {"kind": "live", "pool": "gpu", "share": 0.75, "lends": True},
            "lot": {"kind": "batch", "pool": "gpu", "share": 0.25, "borrows": ["ask"]},
            "view": {"kind": "plain", "pool": "app", "share": 1},
        },
        "pools": {
            "gpu": {"kind": "model", "servers": {"w1": {"url": "http://127.1.1.1:9000", "area": "a", "slots": 4}}},
            "app": {"kind": "plain", "servers": {"p1": {"url": "http://127.1.1.2:9000", "area": "a", "slots": 4}}},
        },
    }  # fmt: skip

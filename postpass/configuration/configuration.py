"""The desired state of a fleet, in one document that is applied as a whole: its types, and what follows from it alone.

The fields of the typed dictionaries are the keys of the document. `configuration_check` validates it.
"""

from __future__ import annotations

import hashlib
import json
from importlib.metadata import entry_points
from typing import Any, Literal, NotRequired, TypedDict, cast

from postpass.replication.stability import PredicateScope


class Machine(TypedDict):
    """A machine with its zone (`area`), its addresses (IP:PORT) and its duties.

    :ivar peer: the address for links between processes.
    :ivar http: the address for clients and operators.
    :ivar retire: its replicas move elsewhere, then it is reported empty.
    :ivar gone: declared lost for good.
    :ivar born: in an announced fleet, the incarnation that announced itself last.
    :ivar disk: in an announced fleet, the identity of its disk.
    """

    area: str
    peer: str
    http: str
    duties: list[Literal["edge", "sched", "store", "control"]]
    retire: NotRequired[bool]
    gone: NotRequired[bool]
    born: NotRequired[int]
    disk: NotRequired[str]


class Server(TypedDict):
    """A worker: `slots` requests at a time at `url`, http://IP:PORT.

    :ivar area: its zone.
    :ivar weights: the weights of the model that it should serve; those of the pool if left out.
    :ivar leave: it takes no new requests, and may be stopped once those under way are over.
    :ivar cold: in an announced fleet, it is still slow after its start, or again.
    """

    url: str
    area: str
    slots: int
    weights: NotRequired[str]
    leave: NotRequired[bool]
    cold: NotRequired[bool]


class Pool(TypedDict):
    """Workers that can stand in for each other.

    :ivar weights: the weights of the model that its workers should serve; any if left out.
    :ivar offsets: whether model servers are asked for the place of each piece; yes if left out.
    :ivar health: of a pool for relayed requests, the path of its workers' health checks.
    :ivar conns: the connections that a worker takes from all daemons together.
    :ivar cold_rate: the requests a second that a cold worker takes from all daemons together; 0: no such bound.
    :ivar kv: the tokens that the memory of a model server holds; 0 or left out: not a model server.
    """

    kind: Literal["model", "plain"]
    servers: dict[str, Server]
    weights: NotRequired[str]
    offsets: NotRequired[bool]
    health: NotRequired[str]
    conns: NotRequired[int]
    cold_rate: NotRequired[float]
    kv: NotRequired[int]


class Split(TypedDict):
    """A part of a route's requests, by weight."""

    pool: str
    weight: int


class Route(TypedDict):
    """Requests for a host under a prefix go, bytes untouched, to a worker of one of its pools. Times in seconds."""

    host: str
    prefix: str
    kind: Literal["idem", "once", "stream", "lot"]
    split: list[Split]
    timeout: float  # the longest a request is held
    target: float  # inside which an answer (for a stream its first piece, for a job its acceptance) is worth most
    rank: int  # 0 is the highest
    tries: int  # workers that one request may go to; failures that an item may have
    resumable: bool
    gap: float  # the longest pause between pieces that is still in time; 0: no such target
    tokens: bool  # requests name the parts of their prompt
    quota: int  # tokens that may wait in jobs; 0: no bound
    due: float  # after a job was accepted
    expire: float
    public: NotRequired[bool]  # requests need no key, though there are tenants


class Tenant(TypedDict):
    """A client organisation: the keys that its clients show, and how much they may ask together.

    :ivar keys: digests of its keys (`tenant_keys.key_digest`); the keys themselves never leave the operator's document.
    :ivar rate: requests a second over all edges together; 0: no limit.
    :ivar burst: requests beyond that at once.
    :ivar rank: takes the place of the routes' rank; left out: theirs stands.
    """

    keys: list[str]
    rate: float
    burst: float
    rank: NotRequired[int]


class Class(TypedDict):
    """A kind of requests or batch items: its pool, its share of it, and its own bounds, in seconds where they are times.

    :ivar share: of the pool's capacity, 0 to 1.
    :ivar priority: orders classes at an edge.
    :ivar deadline: seconds that a live request may take.
    :ivar lends: whether others may use what it doesn't use of its share.
    :ivar borrows: the classes from which it may use such capacity.
    :ivar handback: seconds inside which lent capacity is to go back.
    :ivar reserve: seconds of recent live arrivals behind which capacity is kept free.
    :ivar backlog: how many requests may wait in the admission queue of one edge.
    :ivar once: a request is run at most once; only for live classes.
    :ivar predicate: the stability predicate of its records, where it asks for more than the configuration's.
    :ivar place: the plug-in that places its items on workers.
    :ivar prefix: the plug-in that finds the prefix which items have in common.
    """

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
    """The most that clients may send; `LIMITS` has the defaults. Bytes, numbers, or milliseconds (`_ms`)."""

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
    """The desired state of a fleet. The names of the keys are those of the file and of links.

    :ivar areas: the zones.
    :ivar parts: the number of partitions.
    :ivar copies: the number of replicas of each partition.
    :ivar ways: a plain class for each path prefix that is passed on to plain back ends.
    :ivar predicate: the stability predicate of records; that of `replication.stability` if left out.
    :ivar evacuated: zones that are to serve nothing.
    :ivar retention: seconds for which the results of an ended job are kept.
    :ivar limits: the most that clients may send.
    :ivar ramp: seconds after its start over which a worker's capacity grows to all its slots.
    :ivar announced: the machines announce themselves instead of being listed.
    :ivar version: in an announced fleet, the operator's own number.
    :ivar routes: in an announced fleet, the relayed routes by name.
    :ivar tenants: by name; where there are any, requests on routes that aren't public need a key of one.
    """

    name: str
    areas: list[str]
    machines: dict[str, Machine]
    parts: int
    copies: int
    classes: dict[str, Class]
    pools: dict[str, Pool]
    ways: dict[str, str]
    predicate: NotRequired[str]
    evacuated: NotRequired[list[str]]
    retention: NotRequired[float]
    limits: NotRequired[Limits]
    ramp: NotRequired[float]
    announced: NotRequired[bool]
    version: NotRequired[int]
    routes: NotRequired[dict[str, Route]]
    tenants: NotRequired[dict[str, Tenant]]


LIMITS: dict[str, int] = {
    "body_bytes": 4 << 20, "item_bytes": 64 << 10, "lot_items": 5000, "lot_bytes": 2 << 20,
    "pieces": 4096, "open_lots": 2000, "head_bytes": 16 << 10, "head_ms": 5000, "idle_ms": 15000,
}  # fmt: skip


def limit(configuration: Configuration, name: str) -> int:
    """A limit by its name, or its default."""
    return int(cast(dict[str, int], configuration.get("limits", {})).get(name, LIMITS[name]))


def with_duty(configuration: Configuration, duty: str) -> list[str]:
    """Machines with a duty, in the configuration's order: the agreed order of duties."""
    return [n for n, m in configuration["machines"].items() if duty in m["duties"] and not m.get("gone")]


def members(configuration: Configuration, part: int) -> tuple[str, ...]:
    """Who should keep a partition: in distinct zones while there are enough, in an agreed order that
    the partition's number rotates, so that ownership is spread. In an announced fleet nobody, until as many stores as
    it takes have announced themselves."""
    pool = [n for n in with_duty(configuration, "store") if not configuration["machines"][n].get("retire")]
    if not pool or (configuration.get("announced") and len(pool) < configuration["copies"]):
        return ()
    ranked = sorted(pool, key=lambda name: hashlib.sha256(f"{part}/{name}".encode()).digest())
    first = {configuration["machines"][n]["area"]: n for n in reversed(ranked)}
    heads = [n for n in ranked if first[configuration["machines"][n]["area"]] == n]
    chosen = (heads + [n for n in ranked if n not in heads])[: configuration["copies"]]
    # Rotates the configuration's order by the partition's number: owners spread evenly over few stores.
    kept = [n for n in pool if n in chosen]
    offset = part % len(kept)
    return tuple(kept[offset:] + kept[:offset])


def predicate_scope(configuration: Configuration, names: tuple[str, ...], me: str) -> PredicateScope:
    """The replicas of a partition with their zones, as predicates see them from one of them."""
    zones = tuple((n, configuration["machines"][n]["area"] if n in configuration["machines"] else "") for n in names)
    return PredicateScope(names, zones, me)


def partition_of(job_id: str, parts: int) -> int:
    """The partition that keeps a job."""
    return int.from_bytes(hashlib.sha256(job_id.encode()).digest()[:8], "big") % parts


def quota_of(configuration: Configuration | None, route: str) -> int:
    """Tokens that may wait in the jobs of a route; 0 if there is no bound, or no such route."""
    terms = configuration.get("routes", {}).get(route) if configuration else None
    return terms.get("quota", 0) if terms else 0


def installed_plugins(kind: str) -> set[str]:
    """Names of the plug-ins of a kind that are installed."""
    return {e.name for e in entry_points(group=f"postpass.{kind}")}


def used_keys(configuration: Configuration) -> set[str]:
    """The keys that a configuration uses, and the plug-ins: what an older daemon may not know."""
    groups: list[tuple[str, Any]] = [
        ("", [configuration]), ("machines.", configuration["machines"].values()), ("pools.", configuration["pools"].values()), ("limits.", [configuration.get("limits", {})]),
        ("routes.", configuration.get("routes", {}).values()), ("tenants.", configuration.get("tenants", {}).values()),
        ("servers.", [s for p in configuration["pools"].values() for s in p["servers"].values()]), ("classes.", configuration["classes"].values()),
    ]  # fmt: skip
    plugged = {f"{k}={c[k]}" for c in configuration["classes"].values() for k in ("place", "prefix") if k in c}  # type: ignore[literal-required]
    return {f"{name}{key}" for name, things in groups for thing in things for key in thing} | plugged


def dump(configuration: Configuration) -> str:
    """The configuration as JSON text."""
    return json.dumps(configuration, separators=(",", ":"), ensure_ascii=False)

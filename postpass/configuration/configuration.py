"""The configuration of a fleet: the types of its document, and values that are derived from the document alone.

The configuration is the desired state of the fleet. It is one document, which is always applied as a whole. The fields
of the typed dictionaries are the keys of that document; `configuration_check` validates it.
"""

from __future__ import annotations

import hashlib
import json
from importlib.metadata import entry_points
from typing import Any, Literal, NotRequired, TypedDict, cast

from postpass.replication.stability import PredicateScope


class Machine(TypedDict):
    """A machine with its zone (`area`), its addresses (IP:PORT) and the duties that it performs.

    :ivar peer: the address for links between postpass's own processes.
    :ivar http: the address for clients and operators.
    :ivar retire: whether its replicas are to move to other machines; once they have, it is reported as empty.
    :ivar gone: whether the operator declared it permanently lost.
    :ivar born: in an announced fleet, the incarnation (start) of the machine that announced itself last.
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
    """A worker, which serves up to `slots` concurrent requests at `url` (http://IP:PORT).

    :ivar area: its zone.
    :ivar weights: the model weights that it should serve; those of the pool if left out.
    :ivar leave: whether it is leaving: it gets no new requests, and may be stopped once its open requests have ended.
    :ivar cold: in an announced fleet, whether it is still slow after its start, or has become slow again.
    """

    url: str
    area: str
    slots: int
    weights: NotRequired[str]
    leave: NotRequired[bool]
    cold: NotRequired[bool]


class Pool(TypedDict):
    """A set of interchangeable workers.

    :ivar weights: the model weights that its workers should serve; any if left out.
    :ivar offsets: whether model servers are asked for the offset of each streamed piece in the text; yes if left out.
    :ivar health: in a pool for relayed requests, the path of its workers' health checks.
    :ivar conns: the most connections that a worker accepts from all daemons together.
    :ivar cold_rate: the most requests a second that a cold worker accepts from all daemons together; 0 for no limit.
    :ivar kv: the number of tokens that fit into a model server's KV cache; 0 or left out if it is no model server.
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
    """A share of a route's requests, proportional to `weight`, that goes to one pool."""

    pool: str
    weight: int


class Route(TypedDict):
    """A relayed route: requests for a host whose path has a prefix are passed, unmodified, to a worker of its pools.

    Times are in seconds.
    """

    host: str
    prefix: str
    kind: Literal["idem", "once", "stream", "lot"]
    split: list[Split]
    timeout: float  # the longest time for which a request is kept open
    target: float  # a response within it has full value (the first piece of a stream, the acceptance of a job)
    rank: int  # priority; 0 is the highest
    tries: int  # the most workers that one request is sent to, and the most failed runs of a batch item
    resumable: bool
    gap: float  # the target for the longest pause between two pieces of a stream; 0: no such target
    tokens: bool  # requests carry a header with the parts of their prompt
    quota: int  # the most tokens that may wait in the route's jobs; 0: no limit
    due: float  # time after its acceptance at which a job is due
    expire: float  # time after its acceptance at which a job expires
    public: NotRequired[bool]  # requests need no tenant key, even if there are tenants


class Tenant(TypedDict):
    """A client organisation: the keys that its clients present, and the rate limit that they share.

    :ivar keys: digests of its keys (`tenant_keys.key_digest`); the keys themselves never leave the operator's document.
    :ivar rate: the most requests a second, over all edges together; 0 for no limit.
    :ivar burst: how many requests may exceed the rate at once.
    :ivar rank: replaces the rank of the routes; if left out, each route's own rank applies.
    """

    keys: list[str]
    rate: float
    burst: float
    rank: NotRequired[int]


class Class(TypedDict):
    """A class of live requests, batch items or plain requests: its pool, its share of the pool and its own limits.

    :ivar share: its share of the pool's capacity, 0 to 1.
    :ivar priority: the order of the classes at an edge.
    :ivar deadline: the longest time, in seconds, that a live request may take.
    :ivar lends: whether other classes may use the unused part of its share.
    :ivar borrows: the classes whose unused capacity it may use.
    :ivar handback: the time, in seconds, within which lent capacity must be returned.
    :ivar reserve: capacity is kept free for the live requests that arrived within this many recent seconds.
    :ivar backlog: the most requests that may wait in the admission queue of one edge.
    :ivar once: whether a request is run at most once; only for live classes.
    :ivar predicate: the stability predicate of its records, if it is stricter than the configuration's.
    :ivar place: the name of the plug-in that places its items on workers.
    :ivar prefix: the name of the plug-in that computes a key of the prefix that items have in common.
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
    """Upper limits on what clients send, in bytes, counts or milliseconds (`_ms`); `LIMITS` has the defaults."""

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
    """The desired state of a fleet. The field names are the keys in the operator's file and in messages between peers.

    :ivar areas: the zones.
    :ivar parts: the number of partitions.
    :ivar copies: the number of replicas of each partition.
    :ivar ways: for each path prefix that is passed on to plain back ends, the plain class that its requests belong to.
    :ivar predicate: the stability predicate of records: which acknowledgements make a record durable. If left out, the
        default of `replication.stability` applies.
    :ivar evacuated: the zones that must not serve anything.
    :ivar retention: seconds for which the results of an ended job are kept.
    :ivar limits: upper limits on what clients send.
    :ivar ramp: seconds after its start during which a worker's capacity grows to all its slots.
    :ivar announced: whether machines announce themselves instead of being listed by the operator.
    :ivar version: in an announced fleet, the version number that the operator gave the configuration.
    :ivar routes: in an announced fleet, the relayed routes by name.
    :ivar tenants: the tenants by name; if there are any, a request on a route that isn't public needs a tenant's key.
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


MAX_CONFIGURATION_BYTES = 4 << 20  # of a configuration that is accepted over HTTP
LIMITS: dict[str, int] = {
    "body_bytes": 4 << 20, "item_bytes": 64 << 10, "lot_items": 5000, "lot_bytes": 2 << 20,
    "pieces": 4096, "open_lots": 2000, "head_bytes": 16 << 10, "head_ms": 5000, "idle_ms": 15000,
}  # fmt: skip


def limit(configuration: Configuration, name: str) -> int:
    """Returns the limit `name` of a configuration, or its default."""
    return int(cast(dict[str, int], configuration.get("limits", {})).get(name, LIMITS[name]))


def with_duty(configuration: Configuration, duty: str) -> list[str]:
    """Returns the machines with a duty that aren't declared gone, in the order of the configuration.

    All daemons use this order to agree on which machine acts first.
    """
    return [n for n, m in configuration["machines"].items() if duty in m["duties"] and not m.get("gone")]


def members(configuration: Configuration, part: int) -> tuple[str, ...]:
    """Returns the stores that should hold the replicas of partition number `part`, the preferred owner first.

    They are in distinct zones as long as there are enough zones. Every daemon computes the same order, which is rotated
    by the partition's number so that ownership is spread over the stores. The result is empty if there are no stores,
    and in an announced fleet until as many stores as there are replicas (`copies`) have announced themselves.
    """
    eligible_stores = [n for n in with_duty(configuration, "store") if not configuration["machines"][n].get("retire")]
    if not eligible_stores or (configuration.get("announced") and len(eligible_stores) < configuration["copies"]):
        return ()
    ranked = sorted(eligible_stores, key=lambda name: hashlib.sha256(f"{part}/{name}".encode()).digest())
    best_by_zone = {configuration["machines"][n]["area"]: n for n in reversed(ranked)}
    zone_firsts = [n for n in ranked if best_by_zone[configuration["machines"][n]["area"]] == n]
    chosen = (zone_firsts + [n for n in ranked if n not in zone_firsts])[: configuration["copies"]]
    # Rotates the configuration's order by the partition's number, so that owners spread evenly even over few stores.
    replicas = [n for n in eligible_stores if n in chosen]
    offset = part % len(replicas)
    return tuple(replicas[offset:] + replicas[:offset])


def predicate_scope(configuration: Configuration, names: tuple[str, ...], me: str) -> PredicateScope:
    """Returns the replicas of a partition with their zones, for a predicate that is evaluated at the replica `me`."""
    zones = tuple((n, configuration["machines"][n]["area"] if n in configuration["machines"] else "") for n in names)
    return PredicateScope(names, zones, me)


def partition_of(job_id: str, parts: int) -> int:
    """Returns the number of the partition that stores a job; `parts` is the number of partitions."""
    return int.from_bytes(hashlib.sha256(job_id.encode()).digest()[:8], "big") % parts


def quota_of(configuration: Configuration | None, route: str) -> int:
    """Returns how many tokens may wait in the jobs of a route; 0 if there is no limit, or no such route."""
    route_settings = configuration.get("routes", {}).get(route) if configuration else None
    return route_settings.get("quota", 0) if route_settings else 0


def installed_plugins(kind: str) -> set[str]:
    """Returns the names of the installed plug-ins of a kind (`place` or `prefix`)."""
    return {e.name for e in entry_points(group=f"postpass.{kind}")}


def used_keys(configuration: Configuration) -> set[str]:
    """Returns the keys and plug-ins that a configuration uses, some of which an older daemon may not know."""
    groups: list[tuple[str, Any]] = [
        ("", [configuration]), ("machines.", configuration["machines"].values()), ("pools.", configuration["pools"].values()), ("limits.", [configuration.get("limits", {})]),
        ("routes.", configuration.get("routes", {}).values()), ("tenants.", configuration.get("tenants", {}).values()),
        ("servers.", [s for p in configuration["pools"].values() for s in p["servers"].values()]), ("classes.", configuration["classes"].values()),
    ]  # fmt: skip
    chosen_plugins = {f"{k}={c[k]}" for c in configuration["classes"].values() for k in ("place", "prefix") if k in c}  # type: ignore[literal-required]
    return {f"{name}{key}" for name, objects in groups for thing in objects for key in thing} | chosen_plugins


def dump(configuration: Configuration) -> str:
    """Returns the configuration as compact JSON text."""
    return json.dumps(configuration, separators=(",", ":"), ensure_ascii=False)

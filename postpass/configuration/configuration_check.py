"""Validation of a fleet's configuration. Each error is one line: the path of a key, and what is expected there.

A document that an operator submits is held to all rules. One that was stored, or that another daemon sent, is held only to
the rules of all releases that may have accepted it (`check_received`): a new rule refuses new documents alone.

There are two steps: the document's shape is checked against the types in `configuration`; if it fits, what types can't
express is checked, by one function for each part of the document. To add a key: add it to its type in `configuration`,
with a comment that names its unit; if some values of that type are invalid, add a check to the function of its part
here, and a case to `tests/configuration/test_configuration.py`. Settings of a single process are checked in `settings`.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from itertools import combinations
from typing import Any, cast

from result import Err, Ok, Result

from postpass.configuration.configuration import (
    Class,
    Configuration,
    Pool,
    Route,
    Tenant,
    installed_plugins,
    members,
    predicate_scope,
    with_duty,
)
from postpass.configuration.route_host import RouteHost
from postpass.configuration.schema import validation_errors
from postpass.configuration.settings import address_errors
from postpass.configuration.tenant_keys import DIGEST_DIGITS, is_digest
from postpass.replication.stability import DEFAULT_PREDICATE, PredicateScope, compile_predicate, covers, loss_flaw

SHARE_TOLERANCE = 1e-9  # shares are added up as floating-point fractions, which round
MAXIMUM_PARTITIONS = 1024
MAXIMUM_COPIES = 7
CHECKED_PARTITIONS = 64  # placements repeat themselves; further partitions are not checked
OWN_PREFIX = "/v1/"
OWN_PATHS = ("/health", "/ready", "/metrics")
# Keys of a class, each with the number that its value must exceed.
CLASS_MINIMA = (("deadline", 0), ("handback", 0), ("backlog", 0), ("reserve", -SHARE_TOLERANCE))


# Returns what two hosts have in common if they are the same host.
HostIdentity = Callable[[str], Hashable]


def check(raw: Any) -> Result[Configuration, list[str]]:
    """Returns the configuration that an operator submits, or all errors of the first validation step that finds any."""
    return _checked(raw, RouteHost.parse, any_integer=False)


def check_received(raw: Any) -> Result[Configuration, list[str]]:
    """Returns a configuration that was accepted before, perhaps by an earlier release, or its errors as `check` does."""
    return _checked(raw, str.lower, any_integer=True)


def _checked(raw: Any, host_identity: HostIdentity, any_integer: bool) -> Result[Configuration, list[str]]:
    errors = validation_errors(Configuration, raw, any_integer=any_integer)
    if errors:
        return Err(errors)
    configuration = cast(Configuration, raw)
    errors = semantic_errors(configuration, host_identity)
    return Err(errors) if errors else Ok(configuration)


def semantic_errors(configuration: Configuration, host_identity: HostIdentity = RouteHost.parse) -> list[str]:
    """Returns the errors of a configuration that has the right shape; empty if it is valid."""
    return [
        *([] if configuration["areas"] else ["areas: want at least one"]),
        *_machine_errors(configuration),
        *_duplicate_addresses(configuration),
        *_evacuation_errors(configuration),
        *(e for name, pool in configuration["pools"].items() for e in _pool_errors(name, pool, configuration)),
        *(e for name, spec in configuration["classes"].items() for e in _class_errors(name, spec, configuration)),
        *_share_sum_errors(configuration),
        *_path_errors(configuration),
        *_number_errors(configuration),
        *(
            e
            for name, route in configuration.get("routes", {}).items()
            for e in _route_errors(f"routes.{name}", route, configuration)
        ),
        *_duplicate_routes(configuration, host_identity),
        *_tenant_errors(configuration.get("tenants", {})),
        *([] if configuration.get("announced") else _store_errors(configuration)),
    ]


def _machine_errors(configuration: Configuration) -> list[str]:
    errors: list[str] = []
    for name, machine in configuration["machines"].items():
        path = f"machines.{name}"
        errors += address_errors(f"{path}.peer", machine["peer"]) + address_errors(f"{path}.http", machine["http"])
        if machine["area"] not in configuration["areas"]:
            errors.append(f"{path}.area: unknown area {machine['area']}")
    return errors


def _duplicate_addresses(configuration: Configuration) -> list[str]:
    """Returns an error for each address that two machines have; machines that are declared gone don't count."""
    errors: list[str] = []
    path_by_address: dict[str, str] = {}
    for name, machine in configuration["machines"].items():
        if machine.get("gone"):
            continue
        for key, address in (("peer", machine["peer"]), ("http", machine["http"])):
            path = f"machines.{name}.{key}"
            if address in path_by_address:
                errors.append(f"{path}: {address} is also {path_by_address[address]}")
            else:
                path_by_address[address] = path
    return errors


def _evacuation_errors(configuration: Configuration) -> list[str]:
    zones, evacuated = configuration["areas"], configuration.get("evacuated", [])
    errors = [f"evacuated[{i}]: unknown area {zone}" for i, zone in enumerate(evacuated) if zone not in zones]
    if zones and set(zones) <= set(evacuated) and not configuration.get("announced"):
        errors.append("evacuated: the last area can't be evacuated; nothing would serve")
    return errors


def _pool_errors(name: str, pool: Pool, configuration: Configuration) -> list[str]:
    errors: list[str] = []
    for worker, server in pool["servers"].items():
        path = f"pools.{name}.servers.{worker}"
        if server["area"] not in configuration["areas"]:
            errors.append(f"{path}.area: unknown area {server['area']}")
        if server["slots"] < 1:
            errors.append(f"{path}.slots: want at least 1, got {server['slots']}")
        host = server["url"].removeprefix("http://")
        if not server["url"].startswith("http://") or address_errors("", host):
            errors.append(f"{path}.url: want http://IP:PORT, got {server['url']!r:.60}")
    evacuated = configuration.get("evacuated", [])
    remaining = [s for s in pool["servers"].values() if not s.get("leave") and s["area"] not in evacuated]
    if pool["servers"] and not remaining and not configuration.get("announced"):
        errors.append(f"pools.{name}: every server leaves or stands in an evacuated area")
    return errors


def _class_errors(name: str, spec: Class, configuration: Configuration) -> list[str]:
    path, pools = f"classes.{name}", configuration["pools"]
    errors: list[str] = []
    if spec["pool"] not in pools:
        errors.append(f"{path}.pool: unknown pool {spec['pool']}")
    elif (pools[spec["pool"]]["kind"] == "plain") != (spec["kind"] == "plain"):
        pool_kind = pools[spec["pool"]]["kind"]
        errors.append(f"{path}.pool: a {spec['kind']} class can't use the {pool_kind} pool {spec['pool']}")
    if not 0 <= spec["share"] <= 1:
        errors.append(f"{path}.share: want 0 to 1, got {spec['share']}")
    errors += _borrowing_errors(path, spec, configuration)
    values = cast(dict[str, Any], spec)
    for key, minimum in CLASS_MINIMA:
        if key in values and not values[key] > minimum:
            errors.append(f"{path}.{key}: want more than {max(minimum, 0)}, got {values[key]}")
    if spec.get("once") and spec["kind"] != "live":
        errors.append(f"{path}.once: only a live class can promise it; items of lots may run more than once")
    for kind in ("place", "prefix"):
        if kind in values and values[kind] not in installed_plugins(kind):
            errors.append(
                f"{path}.{kind}: no plug-in {values[kind]!r} is installed; there are {sorted(installed_plugins(kind))}"
            )
    return errors


def _borrowing_errors(path: str, spec: Class, configuration: Configuration) -> list[str]:
    errors: list[str] = []
    classes, borrows = configuration["classes"], spec.get("borrows", [])
    for i, other in enumerate(borrows):
        lender = classes.get(other)
        if lender is None:
            errors.append(f"{path}.borrows[{i}]: unknown class {other}")
        elif not lender.get("lends"):
            errors.append(f"{path}.borrows[{i}]: class {other} does not lend")
        elif lender["pool"] != spec["pool"]:
            errors.append(f"{path}.borrows[{i}]: class {other} is in pool {lender['pool']}, not {spec['pool']}")
    can_borrow = any(classes[other]["share"] for other in borrows if other in classes)
    if spec["share"] == 0 and spec["kind"] != "plain" and not can_borrow:
        errors.append(f"{path}.share: 0, and no class that it borrows from has a share: it would never run")
    return errors


def _share_sum_errors(configuration: Configuration) -> list[str]:
    shares: dict[str, float] = {}
    for spec in configuration["classes"].values():
        shares[spec["pool"]] = shares.get(spec["pool"], 0) + spec["share"]
    return [
        f"classes: shares of pool {pool} add up to {share:g}, above 1"
        for pool, share in shares.items()
        if share > 1 + SHARE_TOLERANCE
    ]


def _path_errors(configuration: Configuration) -> list[str]:
    """Returns the errors of the path prefixes that are passed on to plain back ends."""
    errors: list[str] = []
    for path, name in configuration["ways"].items():
        if not path.startswith("/"):
            errors.append(f"ways.{path}: want a path that begins with /")
        if path.startswith(OWN_PREFIX) or path in OWN_PATHS:
            errors.append(f"ways.{path}: this path is postpass's own")
        if name not in configuration["classes"] or configuration["classes"][name]["kind"] != "plain":
            errors.append(f"ways.{path}: want a plain class, got {name}")
    return errors


def _number_errors(configuration: Configuration) -> list[str]:
    errors: list[str] = []
    if "retention" in configuration and not configuration["retention"] > 0:
        errors.append(f"retention: want more than 0, got {configuration['retention']}")
    if "ramp" in configuration and not configuration["ramp"] >= 0:
        errors.append(f"ramp: want 0 or more, got {configuration['ramp']}")
    limits = cast(dict[str, int], configuration.get("limits", {}))
    return errors + [f"limits.{key}: want at least 1, got {value}" for key, value in limits.items() if value < 1]


def _duplicate_routes(configuration: Configuration, host_identity: HostIdentity) -> list[str]:
    errors: list[str] = []
    name_by_target: dict[tuple[Hashable, str], str] = {}
    for name, route in configuration.get("routes", {}).items():
        other = name_by_target.setdefault((host_identity(route["host"]), route["prefix"]), name)
        if other != name:
            errors.append(f"routes.{name}.prefix: {route['host']}{route['prefix']} is also that of {other}")
    return errors


def _route_errors(path: str, route: Route, configuration: Configuration) -> list[str]:
    errors = [
        f"{path}.split[{i}].pool: unknown pool {s['pool']}"
        for i, s in enumerate(route["split"])
        if s["pool"] not in configuration["pools"]
    ]
    if any(s["weight"] < 0 for s in route["split"]) or sum(s["weight"] for s in route["split"]) <= 0:
        errors.append(f"{path}.split: want weights of 0 or more that add up to more than 0")
    if not route["timeout"] > 0:
        errors.append(f"{path}.timeout: want more than 0, got {route['timeout']}")
    if not (route["prefix"].startswith("/") and route["prefix"].endswith("/")):
        errors.append(f"{path}.prefix: want a path that begins and ends with a slash, got {route['prefix']!r:.60}")
    if not route["host"]:
        errors.append(f"{path}.host: want a host, got an empty string")
    return errors


def _tenant_errors(tenants: dict[str, Tenant]) -> list[str]:
    """Returns the errors of tenants. None quotes an entry of `keys`, which may be a key given instead of its digest."""
    errors: list[str] = []
    tenant_by_digest: dict[str, str] = {}
    for name, tenant in tenants.items():
        path = f"tenants.{name}"
        if not name:
            errors.append("tenants: want a name, got an empty string")
        for key, value in (("rate", tenant["rate"]), ("burst", tenant["burst"])):
            if value < 0:
                errors.append(f"{path}.{key}: want 0 or more, got {value}")
        for i, digest in enumerate(tenant["keys"]):
            if not is_digest(digest):
                errors.append(f"{path}.keys[{i}]: want a digest of {DIGEST_DIGITS} hexadecimal digits")
            holder = tenant_by_digest.setdefault(digest, name)
            if holder != name:
                errors.append(f"{path}.keys[{i}]: is also a key of {holder}")
    return errors


def _store_errors(configuration: Configuration) -> list[str]:
    """Returns the errors of stores, replicas and predicates.

    Each predicate must make sure that a record survives the loss of one disk or one zone.
    """
    if not any(c["kind"] == "batch" or c.get("once") for c in configuration["classes"].values()):
        return []
    stores = [n for n in with_duty(configuration, "store") if not configuration["machines"][n].get("retire")]
    if not 1 <= configuration["parts"] <= MAXIMUM_PARTITIONS:
        return [f"parts: want 1 to {MAXIMUM_PARTITIONS}, got {configuration['parts']}"]
    if not 1 <= configuration["copies"] <= MAXIMUM_COPIES:
        return [f"copies: want 1 to {MAXIMUM_COPIES}, got {configuration['copies']}"]
    if len(stores) < configuration["copies"]:
        return [f"copies: {configuration['copies']} copies can't be held by {len(stores)} stores that stay"]
    default_predicate = configuration.get("predicate", DEFAULT_PREDICATE)
    predicates = {"predicate": default_predicate} | {
        f"classes.{n}.predicate": c["predicate"] for n, c in configuration["classes"].items() if "predicate" in c
    }
    errors: dict[str, str] = {}  # the first error of each path
    for partition in range(min(configuration["parts"], CHECKED_PARTITIONS)):
        replicas = members(configuration, partition)
        for path, text in predicates.items():
            for replica in replicas:
                scope = predicate_scope(configuration, replicas, replica)
                error = loss_flaw(text, scope)
                if error:
                    errors.setdefault(path, error)
                    break
                compiled_default = compile_predicate(default_predicate, scope)
                if (
                    path != "predicate"
                    and isinstance(compiled_default, Ok)
                    and _is_weaker(text, default_predicate, scope)
                ):
                    errors.setdefault(path, "weaker than the default predicate; a class may only ask for more")
                    break
    return [f"{path}: {error}" for path, error in errors.items()]


def _is_weaker(predicate: str, default: str, scope: PredicateScope) -> bool:
    """Returns whether some set of replicas satisfies a predicate, but not the default one."""
    compiled, compiled_default = (
        compile_predicate(predicate, scope).unwrap(),
        compile_predicate(default, scope).unwrap(),
    )
    return any(
        covers(compiled, copies) and not covers(compiled_default, copies)
        for size in range(len(scope.nodes) + 1)
        for copies in combinations(scope.nodes, size)
    )

"""Keys of tenants, as the configurations of a day have them."""

from __future__ import annotations

from collections.abc import Iterable

from sim.rules.configurations import Version, route_of
from sim.rules.history import Event

NOBODY = ""  # the tenant of a request that needs no key


def tenant_by(version: Version, request: Event) -> str | None:
    """The tenant whose request it is by one version: NOBODY if it needs no key, None if its key is no tenant's.

    Args:
        version: one with a configuration.
        request: a live request, or a job, with `host`, `path` and, if its client showed one, `key`.
    """
    if "tenants" not in version.config:
        return NOBODY
    route = route_of(version.config, request["host"], request["path"])
    if route is not None and route.get("public"):
        return NOBODY
    key = request.get("key", "")
    return next((tenant["name"] for tenant in version.config["tenants"] if key in tenant["keys"]), None)


def tenants_by(versions: Iterable[Version], request: Event) -> set[str]:
    """The tenants whose request it may be by some versions; none if its key is no tenant's in any."""
    found = (tenant_by(version, request) for version in versions if version.config)
    return {name for name in found if name is not None}


def refused_by(version: Version, request: Event) -> bool:
    """Does a version have a route for a request, but not its key?"""
    routed = route_of(version.config, request["host"], request["path"]) is not None
    return routed and tenant_by(version, request) is None

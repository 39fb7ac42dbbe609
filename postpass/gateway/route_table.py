"""The routes of the configuration in force, as relayed requests are matched against them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from postpass.configuration.configuration import Configuration, Route


class RouteEntry(NamedTuple):
    """One route with the prefix of paths that it serves."""

    prefix: bytes
    name: str
    route: Route


@dataclass(frozen=True)
class RouteTable:
    """Routes by host in lower case and without a port, the longest prefix first."""

    hosts: dict[bytes, tuple[RouteEntry, ...]]

    def routes_of(self, host: bytes) -> tuple[Route, ...]:
        """All routes of a host."""
        return tuple(entry.route for entry in self._entries(host))

    def _entries(self, host: bytes) -> tuple[RouteEntry, ...]:
        return self.hosts.get(host.partition(b":")[0].lower(), ())

    def match(self, host: bytes, path: bytes) -> tuple[str, Route] | None:
        """Name and route of the longest prefix of a raw path; None if no route fits."""
        for prefix, name, route in self._entries(host):
            if path.startswith(prefix):
                return name, route
        return None


def route_table_of(configuration: Configuration) -> RouteTable:
    """The table of a configuration's routes."""
    hosts: dict[bytes, list[RouteEntry]] = {}
    for name, route in configuration.get("routes", {}).items():
        host = route["host"].partition(":")[0].lower().encode()
        hosts.setdefault(host, []).append(RouteEntry(route["prefix"].encode(), name, route))
    return RouteTable(
        {host: tuple(sorted(entries, key=lambda entry: -len(entry.prefix))) for host, entries in hosts.items()}
    )

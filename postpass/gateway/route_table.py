"""The table of the configured routes, against which relayed requests are matched."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from postpass.configuration.configuration import Configuration, Route


class RouteEntry(NamedTuple):
    """One route, its name, and the prefix of the paths that it serves."""

    prefix: bytes
    name: str
    route: Route


@dataclass(frozen=True)
class RouteTable:
    """The routes of each host, the longest prefix first. Hosts are in lower case and without a port."""

    hosts: dict[bytes, tuple[RouteEntry, ...]]

    def routes_of(self, host: bytes) -> tuple[Route, ...]:
        """Returns all routes of a host."""
        return tuple(entry.route for entry in self._entries(host))

    def _entries(self, host: bytes) -> tuple[RouteEntry, ...]:
        """Returns the entries of a host, which may be written in any case and with a port."""
        return self.hosts.get(host.partition(b":")[0].lower(), ())

    def match(self, host: bytes, path: bytes) -> tuple[str, Route] | None:
        """Returns the name and the route of the longest prefix that matches a raw path; None if no route matches."""
        for prefix, name, route in self._entries(host):
            if path.startswith(prefix):
                return name, route
        return None


def route_table_of(configuration: Configuration) -> RouteTable:
    """Returns the table of a configuration's routes."""
    hosts: dict[bytes, list[RouteEntry]] = {}
    for name, route in configuration.get("routes", {}).items():
        host = route["host"].partition(":")[0].lower().encode()
        hosts.setdefault(host, []).append(RouteEntry(route["prefix"].encode(), name, route))
    return RouteTable(
        {host: tuple(sorted(entries, key=lambda entry: -len(entry.prefix))) for host, entries in hosts.items()}
    )

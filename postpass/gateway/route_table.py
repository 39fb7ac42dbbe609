"""The table of the configured routes, against which relayed requests are matched."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.route_host import ENCODING_ERRORS, RouteHost


class RouteEntry(NamedTuple):
    """One route, its name, and the prefix of the paths that it serves."""

    prefix: bytes
    name: str
    route: Route


@dataclass(frozen=True)
class RouteTable:
    """The routes of each host, the longest prefix first.

    A host without a port serves requests for its name at any port that no route of that name has.
    """

    hosts: dict[RouteHost, tuple[RouteEntry, ...]]

    def routes_of(self, host: bytes) -> tuple[Route, ...]:
        """Returns all routes that serve a request's host."""
        return tuple(entry.route for entry in self._entries(host))

    def _entries(self, host: bytes) -> tuple[RouteEntry, ...]:
        """Returns the entries that serve a request's host, as its header gives it."""
        requested = RouteHost.parse(host)
        entries = self.hosts.get(requested)
        return self.hosts.get(requested.without_port, ()) if entries is None else entries

    def match(self, host: bytes, path: bytes) -> tuple[str, Route] | None:
        """Returns the name and the route of the longest prefix that matches a raw path; None if no route matches."""
        for prefix, name, route in self._entries(host):
            if path.startswith(prefix):
                return name, route
        return None


def route_table_of(configuration: Configuration) -> RouteTable:
    """Returns the table of a configuration's routes.

    Earlier releases accepted routes of the same prefix whose hosts are the same. Of these the first by name serves, at
    all edges alike.
    """
    hosts: dict[RouteHost, list[RouteEntry]] = {}
    for name, route in configuration.get("routes", {}).items():
        entry = RouteEntry(route["prefix"].encode(errors=ENCODING_ERRORS), name, route)
        hosts.setdefault(RouteHost.parse(route["host"]), []).append(entry)
    return RouteTable(
        {
            host: tuple(sorted(entries, key=lambda entry: (-len(entry.prefix), entry.name)))
            for host, entries in hosts.items()
        }
    )

"""The configurations that the operator sent on a day, and which of them may be in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from sim.rules.history import EVER, Event, History


@dataclass(frozen=True)
class Version:
    """A configuration as it was sent.

    Attributes:
        number: its version.
        config: the document, or None for a request that had none.
        sent: when it was sent, in seconds.
        acked: when it was first acknowledged, or EVER.
        refused: it may never be in force: it was invalid, or lost, and no answer was unclear.
    """

    number: int
    config: Any
    sent: float
    acked: float
    refused: bool


def route_of(config: Any, host: str, path: str) -> Event | None:
    """The route of a configuration with the longest prefix for a host and a path; the first of several."""
    path = path.split("?")[0]
    fitting = [r for r in config["routes"] if r["host"].lower() == host.lower() and path.startswith(r["prefix"])]
    return max(fitting, key=lambda route: len(route["prefix"]), default=None)


def services_of(route: Event) -> set[str]:
    """The services that a route may send a request to."""
    if "split" in route:
        return {share["service"] for share in route["split"] if share["weight"] > 0}
    return {route["service"]}


def allows(versions: Iterable[Version], host: str, path: str, service: str) -> bool:
    """Does any of the versions send such a request to that service?"""
    routes = (route_of(version.config, host, path) for version in versions)
    return any(route is not None and service in services_of(route) for route in routes)


@dataclass(eq=False)
class Configurations:
    """All versions of a day."""

    history: History

    @cached_property
    def answers(self) -> dict[int, Event]:
        """The last answer to each change."""
        return {event["change"]: event for event in self.history.of("changed")}

    @cached_property
    def versions(self) -> list[Version]:
        """The versions in the order in which they were sent."""
        return [self.version(event) for event in self.history.of("change")]

    def version(self, change: Event) -> Version:
        """One change with what its answer says."""
        answer = self.answers.get(change["change"])
        acked, lost = EVER, False
        if answer is not None:
            acked = answer["t"] if answer["status"] == 200 else EVER
            lost = not answer["unclear"] and 400 <= answer["status"] < 500
        return Version(change["version"], change["config"], change["t"], acked, not change["valid"] or lost)

    def due(self, sent: float) -> int:
        """The version that must be in force everywhere for a request sent then; 0 for none."""
        wait = self.history.seconds("applyMs")
        return max((v.number for v in self.versions if v.acked + wait <= sent), default=0)

    def possible(self, sent: float, until: float, at_least: int = 0) -> list[Version]:
        """The versions that may be in force for a request sent then and handled until then."""
        least = max(self.due(sent), at_least)
        return [v for v in self.versions if v.config and not v.refused and v.sent <= until and v.number >= least]

    def route_named(self, name: str) -> Event:
        """The last configuration of a route."""
        return next(r for v in reversed(self.versions) if v.config for r in v.config["routes"] if r["name"] == name)

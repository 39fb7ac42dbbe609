"""The recorded events of a simulated day, and the bounds that the platform gives."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

Event = dict[str, Any]
EVER = 1e18  # seconds; later than any event


@dataclass(eq=False)
class History:
    """What was recorded on a day. Invariant: events are in the order of time.

    Attributes:
        events: what clients, workers, the operator and the fleet recorded; `ev` names the kind, `t` is in seconds.
        bounds: the limits of the platform by name; those that end in `Ms` are in milliseconds.
        core: names of the machines with the control plane.
        stores: names of the machines that hold jobs.
        closing: when the closing fault struck, in seconds.
    """

    events: list[Event]
    bounds: dict[str, Any]
    core: frozenset[str] = frozenset()
    stores: frozenset[str] = frozenset()
    closing: float = EVER

    def of(self, *kinds: str) -> list[Event]:
        """The events of some kinds, in the order of time."""
        return [event for event in self.events if event["ev"] in kinds]

    def seconds(self, name: str) -> float:
        """A bound in seconds."""
        return float(self.bounds[name]) / (1000 if name.endswith("Ms") else 1)


def dispatched_at(event: Event) -> float:
    """When a request left for its worker: the time of its arrival without what it waited in the worker's listen queue."""
    return float(event["t"] - event.get("queued", 0.0))

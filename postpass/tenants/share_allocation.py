"""How a tenant's limit is divided between edges: pure functions of the demand at each edge."""

from __future__ import annotations

from collections.abc import Mapping

GROWTH = 1.3  # multiple of its demand that an edge gets if the limit allows it
HEADROOM = 1 / 16  # fraction of the limit that each edge gets in addition if the limit allows it


def wanted_rate(demand: float, capacity: float) -> float:
    """Returns the rate that an edge gets if the limit allows it: its demand, and spare rate for the demand to grow."""
    return demand * GROWTH + capacity * HEADROOM


def max_min_fair(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Divides a capacity by max-min fairness, and returns the share of each name.

    No share is larger than its demand, and what small demands don't use is divided evenly among the others.
    """
    shares: dict[str, float] = {}
    remaining, unserved = capacity, len(demands)
    for name, demand in sorted(demands.items(), key=lambda entry: (entry[1], entry[0])):
        shares[name] = min(demand, max(0.0, remaining) / unserved)
        remaining -= shares[name]
        unserved -= 1
    return shares


def fair_rate(name: str, demands: Mapping[str, float], capacity: float) -> float:
    """Returns the rate that an edge should have.

    This is its max-min fair share and, if all demands fit into the capacity, its part of what they leave free, up to
    `wanted_rate`. An edge without demand gets 0.
    """
    shares = max_min_fair(demands, capacity)
    spare = capacity - sum(shares.values())
    if spare <= 0:
        return shares[name]
    wanted_extra = {
        other: max(0.0, wanted_rate(demand, capacity) - shares[other]) if demand else 0.0
        for other, demand in demands.items()
    }
    total = sum(wanted_extra.values())
    return shares[name] + wanted_extra[name] * min(1.0, spare / total) if total > 0 else shares[name]

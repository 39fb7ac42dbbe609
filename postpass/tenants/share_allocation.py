"""Who gets how much of a tenant's limit: pure functions of the demand at each edge."""

from __future__ import annotations

from collections.abc import Mapping

GROWTH = 1.3  # times its demand is what an edge gets where there is room
HEADROOM = 1 / 16  # of the limit that each edge gets on top where there is room


def wanted_rate(demand: float, capacity: float) -> float:
    """What an edge would have where there is room: its demand, and room for it to grow."""
    return demand * GROWTH + capacity * HEADROOM


def max_min_fair(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Divides a capacity: nobody gets more than its demand, and what the small ones leave goes to the others evenly."""
    shares: dict[str, float] = {}
    left, waiting = capacity, len(demands)
    for name, demand in sorted(demands.items(), key=lambda entry: (entry[1], entry[0])):
        shares[name] = min(demand, max(0.0, left) / waiting)
        left -= shares[name]
        waiting -= 1
    return shares


def fair_rate(name: str, demands: Mapping[str, float], capacity: float) -> float:
    """The rate that an edge should have: its max-min fair part of the demands and, if all demands fit, its part of the
    room that they leave, up to the rate that it wants. None without demand."""
    shares = max_min_fair(demands, capacity)
    room = capacity - sum(shares.values())
    if room <= 0:
        return shares[name]
    missing = {
        other: max(0.0, wanted_rate(demand, capacity) - shares[other]) if demand else 0.0
        for other, demand in demands.items()
    }
    total = sum(missing.values())
    return shares[name] + missing[name] * min(1.0, room / total) if total > 0 else shares[name]

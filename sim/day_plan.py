"""What the text files of announced fleets say besides faults and expectations.

announced edges 4 stores 4 cores 4 zones 4 lost 1   the fleet; also zones_lost, models, plains, slots, cold (rate), tenants
clients view 12 order 4 ask 20 review 2 lots 0.5x10 requests a second by kind; lots a second, of so many items
lead 12                                             seconds from the first start to the traffic
bounds NAME VALUE                                   other bounds of the platform
late WHO 5                                          machines that start so many seconds later than the others
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from sim.announced import Sizes

SIZES = frozenset(
    {"edges", "stores", "cores", "zones", "lost", "zones_lost", "models", "plains", "slots", "cold", "tenants"}
)
KINDS = frozenset({"view", "order", "ask", "review", "lots"})


@dataclass
class Plan:
    """What a text file says of an announced fleet, besides faults and expectations."""

    sizes: Sizes = field(default_factory=Sizes)
    rates: dict[str, float] = field(default_factory=lambda: {"view": 6.0, "order": 3.0, "ask": 8.0, "review": 1.0})
    lots: tuple[float, int] = (0.0, 0)
    lead: float = 12.0
    bounds: dict[str, float] = field(default_factory=dict)
    late: dict[str, float] = field(default_factory=dict)  # machines that start later than the others


class NotUnderstoodError(ValueError):
    """A line has words that it can't have."""


def pairs(words: list[str]) -> dict[str, str]:
    """Words and the values after them.

    Raises:
        NotUnderstoodError: the last word has no value.
    """
    if len(words) % 2:
        raise NotUnderstoodError("want pairs of a word and a value")
    return dict(zip(words[::2], words[1::2], strict=True))


def known_pairs(words: list[str], known: frozenset[str]) -> dict[str, str]:
    """Pairs of which each word is known.

    Raises:
        NotUnderstoodError: one is not.
    """
    found = pairs(words)
    if not found.keys() <= known:
        raise NotUnderstoodError(f"not known: {sorted(found.keys() - known)}")
    return found


def numbers(words: list[str]) -> dict[str, float]:
    """Pairs of a word and a number."""
    return {word: float(value) for word, value in pairs(words).items()}


def read_sizes(plan: Plan, words: list[str]) -> None:
    """announced CLASS COUNT..."""
    found = known_pairs(words, SIZES)
    sizes: dict[str, Any] = {word: float(text) if word == "cold" else int(text) for word, text in found.items()}
    plan.sizes = replace(plan.sizes, **sizes)


def read_clients(plan: Plan, words: list[str]) -> None:
    """clients KIND RATE... lots RATExITEMS"""
    found = known_pairs(words, KINDS)
    rate, _, size = found.pop("lots", "0x0").partition("x")
    plan.lots = (float(rate), int(size))
    plan.rates = {word: float(text) for word, text in found.items()}


def read_lead(plan: Plan, words: list[str]) -> None:
    """lead SECONDS"""
    plan.lead = float(words[0])


def read_bounds(plan: Plan, words: list[str]) -> None:
    """bounds NAME VALUE..."""
    plan.bounds |= numbers(words)


def read_late(plan: Plan, words: list[str]) -> None:
    """late WHO SECONDS..."""
    plan.late |= numbers(words)


READERS: dict[str, Callable[[Plan, list[str]], None]] = {
    "announced": read_sizes,
    "clients": read_clients,
    "lead": read_lead,
    "bounds": read_bounds,
    "late": read_late,
}


def read_line(plan: Plan, head: str, words: list[str]) -> bool:
    """Takes one line of a scenario that only announced fleets have; False if it isn't one, or isn't understood."""
    if head not in READERS:
        return False
    try:
        READERS[head](plan, words)
    except (ValueError, IndexError):
        return False
    return True

"""The lines of the scenario files of announced fleets other than faults and expectations.

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
    """The fleet, its load and its settings, as a scenario file of an announced fleet gives them."""

    sizes: Sizes = field(default_factory=Sizes)
    rates: dict[str, float] = field(default_factory=lambda: {"view": 6.0, "order": 3.0, "ask": 8.0, "review": 1.0})
    lots: tuple[float, int] = (0.0, 0)  # jobs a second, and their mean number of items
    lead: float = 12.0  # seconds from the first start to the traffic
    bounds: dict[str, float] = field(default_factory=dict)
    late: dict[str, float] = field(default_factory=dict)  # by machine: seconds by which its first start is delayed


class NotUnderstoodError(ValueError):
    """A line of a scenario has words that are not valid there."""


def pairs(words: list[str]) -> dict[str, str]:
    """Returns the values in a list that alternates words and values, by word.

    Raises:
        NotUnderstoodError: the last word has no value.
    """
    if len(words) % 2:
        raise NotUnderstoodError("each word must be followed by a value")
    return dict(zip(words[::2], words[1::2], strict=True))


def known_pairs(words: list[str], known: frozenset[str]) -> dict[str, str]:
    """Returns the values by word, as `pairs` does, where only some words are allowed.

    Raises:
        NotUnderstoodError: another word occurs, or the last word has no value.
    """
    values = pairs(words)
    if not values.keys() <= known:
        raise NotUnderstoodError(f"unknown words: {sorted(values.keys() - known)}")
    return values


def numbers(words: list[str]) -> dict[str, float]:
    """Returns the numbers in a list that alternates words and numbers, by word."""
    return {word: float(value) for word, value in pairs(words).items()}


def read_sizes(plan: Plan, words: list[str]) -> None:
    """announced CLASS COUNT..."""
    counts = known_pairs(words, SIZES)
    sizes: dict[str, Any] = {word: float(text) if word == "cold" else int(text) for word, text in counts.items()}
    plan.sizes = replace(plan.sizes, **sizes)


def read_clients(plan: Plan, words: list[str]) -> None:
    """clients KIND RATE... lots RATExITEMS"""
    rates = known_pairs(words, KINDS)
    rate, _, size = rates.pop("lots", "0x0").partition("x")
    plan.lots = (float(rate), int(size))
    plan.rates = {word: float(text) for word, text in rates.items()}


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
    """Reads a line that only scenarios of announced fleets have into the plan.

    Returns False if `head` begins no such line, or if the line is not valid.
    """
    if head not in READERS:
        return False
    try:
        READERS[head](plan, words)
    except (ValueError, IndexError):
        return False
    return True

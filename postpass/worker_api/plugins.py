"""Plug-ins: ways to place a class and ways to reuse a prefix, found by entry points.

Each is a pure function over frozen values. One that raises or answers nonsense is logged and the default
is taken: calls are not harmed by it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from importlib.metadata import entry_points
from typing import Any

from postpass.runtime import log_events


@dataclass(frozen=True)
class Seat:
    """A server as a way of placing sees it. Invariant: it may take a call now; `free` >= 1."""

    name: str
    zone: str
    free: int
    slots: int
    load: int
    fond: bool = False  # the way of prefix reuse points here


@dataclass(frozen=True)
class Ask:
    """A call as plug-ins see it."""

    kind: str
    shared: tuple[str, ...]
    size: int
    zone: str


Place = Callable[[Ask, tuple[Seat, ...]], str]  # the name of one of the seats
Prefix = Callable[[Ask], str]  # a key: calls with the same key tend to the same server


def least(ask: Ask, seats: tuple[Seat, ...]) -> str:
    """The fond server unless it is much more loaded than the least loaded; the own area breaks ties."""
    best = min(seats, key=lambda s: (s.load / s.slots, s.zone != ask.zone, s.name))
    fond = next((s for s in seats if s.fond), None)
    if fond is not None and fond.load / fond.slots <= best.load / best.slots + 0.25:
        return fond.name
    return best.name


def first(ask: Ask) -> str:
    """The first shared part, which callers of one kind have in common."""
    return hashlib.sha256(ask.shared[0].encode()).hexdigest()[:16] if ask.shared else ""


@lru_cache(maxsize=64)
def find(kind: str, name: str) -> Any:
    return next(e.load() for e in entry_points(group=f"postpass.{kind}") if e.name == name)


def place(who: str, name: str, ask: Ask, seats: tuple[Seat, ...]) -> str:
    if name:
        try:
            got = find("place", name)(ask, seats)
            if got in {s.name for s in seats}:
                return str(got)
            log_events.emit(154, who, plug=name, why=f"answered {got!r:.40}")
        except Exception as bad:
            log_events.emit(154, who, plug=name, why=repr(bad)[:120])
    return least(ask, seats)


def prefix(who: str, name: str, ask: Ask) -> str:
    if name:
        try:
            got = find("prefix", name)(ask)
            if isinstance(got, str):
                return got
            log_events.emit(154, who, plug=name, why=f"answered {got!r:.40}")
        except Exception as bad:
            log_events.emit(154, who, plug=name, why=repr(bad)[:120])
    return first(ask)


def fond_of(key: str, names: list[str]) -> str:
    """Rendezvous: the server that a key tends to; few keys move when servers come or go."""
    return max(names, key=lambda n: hashlib.sha256(f"{key}/{n}".encode()).digest()) if key and names else ""


SEATS = (Seat("a", "x", 2, 4, 2), Seat("b", "y", 3, 4, 1), Seat("c", "x", 3, 4, 1))

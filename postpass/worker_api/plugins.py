"""Plug-ins of operators: how requests of a class are placed on workers, and which requests go to the same worker.

They are found by the entry points `postpass.place` and `postpass.prefix`, and named in the configuration's classes.
Each is a pure function over frozen values. Where one raises, or answers something that can't be used, this is logged
and the default is taken, so that no request is harmed.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from importlib.metadata import entry_points
from typing import Any

from postpass.runtime import log_events
from postpass.runtime.log_events import Event

AFFINITY_MARGIN = 0.25  # of its slots by which the preferred worker may be more loaded than the least loaded one


@dataclass(frozen=True)
class Candidate:
    """A worker that a plug-in may choose. Invariant: it may take a request now; `free` >= 1.

    `area` and `fond` are the older names of `zone` and `preferred`, and stay for one release.
    """

    name: str
    zone: str
    free: int  # requests that it may still take from this process
    slots: int
    load: int  # requests under way there, as far as known
    preferred: bool = False  # the affinity key points here

    @property
    def area(self) -> str:
        """The older name of `zone`."""
        return self.zone

    @property
    def fond(self) -> bool:
        """The older name of `preferred`."""
        return self.preferred


@dataclass(frozen=True)
class PlacementRequest:
    """A request as plug-ins see it. `area` is the older name of `zone`, and stays for one release."""

    kind: str  # its class
    shared: tuple[str, ...]  # the shared parts of its prompt
    size: int  # characters of its prompt
    zone: str  # of the process that places it

    @property
    def area(self) -> str:
        """The older name of `zone`."""
        return self.zone


# The older names of the public types; they stay for one release.
Seat = Candidate
Ask = PlacementRequest

Place = Callable[[PlacementRequest, tuple[Candidate, ...]], str]  # the name of one of the candidates
Prefix = Callable[[PlacementRequest], str]  # an affinity key: requests with the same key tend to the same worker


def least_loaded(request: PlacementRequest, candidates: tuple[Candidate, ...]) -> str:
    """The default placement: the preferred worker unless it is much more loaded than the least loaded one; of equally
    loaded ones, one in the request's own zone."""
    best = min(candidates, key=lambda worker: (worker.load / worker.slots, worker.zone != request.zone, worker.name))
    preferred = next((c for c in candidates if c.preferred), None)
    if preferred is not None and preferred.load / preferred.slots <= best.load / best.slots + AFFINITY_MARGIN:
        return preferred.name
    return best.name


def first_part_key(request: PlacementRequest) -> str:
    """The default affinity key: a digest of the first shared part, which clients of one kind have in common."""
    return hashlib.sha256(request.shared[0].encode()).hexdigest()[:16] if request.shared else ""


@lru_cache(maxsize=64)
def find(kind: str, name: str) -> Any:
    """The plug-in of an entry point. Raises StopIteration if none of this name is installed."""
    return next(e.load() for e in entry_points(group=f"postpass.{kind}") if e.name == name)


def place(who: str, name: str, request: PlacementRequest, candidates: tuple[Candidate, ...]) -> str:
    """The worker that the plug-in `name` chooses, or the default's choice. `who`: this process, for the log."""
    if name:
        try:
            chosen = find("place", name)(request, candidates)
            if chosen in {c.name for c in candidates}:
                return str(chosen)
            log_events.emit(Event.PLUGIN_FAILED, who, plug=name, why=f"answered {chosen!r:.40}")
        except Exception as error:
            log_events.emit(Event.PLUGIN_FAILED, who, plug=name, why=repr(error)[:120])
    return least_loaded(request, candidates)


def affinity_key(who: str, name: str, request: PlacementRequest) -> str:
    """The key that the plug-in `name` gives a request, or the default's. `who`: this process, for the log."""
    if name:
        try:
            key = find("prefix", name)(request)
            if isinstance(key, str):
                return key
            log_events.emit(Event.PLUGIN_FAILED, who, plug=name, why=f"answered {key!r:.40}")
        except Exception as error:
            log_events.emit(Event.PLUGIN_FAILED, who, plug=name, why=repr(error)[:120])
    return first_part_key(request)


def affinity_worker(key: str, names: list[str]) -> str:
    """The worker that a key points to, by rendezvous hashing: few keys move when workers come or go. Empty without a
    key or workers."""
    return max(names, key=lambda name: hashlib.sha256(f"{key}/{name}".encode()).digest()) if key and names else ""

"""Operators' plug-ins, which place the requests of a class on workers and choose which requests share a worker.

They are found by the entry points `postpass.place` and `postpass.prefix`, and named in the configuration's classes.
Each is a pure function of immutable values. If one raises an exception or returns an invalid result, that is logged and
the default is used, so that no request fails because of a plug-in.
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

AFFINITY_MARGIN = 0.25  # how much higher the preferred worker's load may be than the least load, as a fraction of slots


@dataclass(frozen=True)
class Candidate:
    """A worker that a plug-in may choose. Invariant: it can accept a request now; `free` >= 1.

    `area` and `fond` are the older names of `zone` and `preferred`, and stay for one release.
    """

    name: str
    zone: str
    free: int  # number of further requests that it may get from this process
    slots: int
    load: int  # number of requests that it is serving, as far as this process knows
    preferred: bool = False  # whether the request's affinity key maps to this worker

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

    kind: str  # the name of its class
    shared: tuple[str, ...]  # the parts of its prompt that it shares with other requests
    size: int  # length of its prompt, in characters
    zone: str  # the zone of the process that places it

    @property
    def area(self) -> str:
        """The older name of `zone`."""
        return self.zone


# The older names of the public types; they stay for one release.
Seat = Candidate
Ask = PlacementRequest

Place = Callable[[PlacementRequest, tuple[Candidate, ...]], str]  # returns the name of one of the candidates
Prefix = Callable[[PlacementRequest], str]  # returns an affinity key: requests with the same key prefer the same worker


def least_loaded(request: PlacementRequest, candidates: tuple[Candidate, ...]) -> str:
    """Returns the default placement: the preferred worker, unless another one has a much lower load.

    In that case, and if there is no preferred worker, it is the least loaded one; among equally loaded ones, one in the
    request's own zone.
    """
    best = min(candidates, key=lambda worker: (worker.load / worker.slots, worker.zone != request.zone, worker.name))
    preferred = next((c for c in candidates if c.preferred), None)
    if preferred is not None and preferred.load / preferred.slots <= best.load / best.slots + AFFINITY_MARGIN:
        return preferred.name
    return best.name


def first_part_key(request: PlacementRequest) -> str:
    """Returns the default affinity key: a digest of the first shared part, which clients of one kind have in common.

    It is empty for a request without shared parts.
    """
    return hashlib.sha256(request.shared[0].encode()).hexdigest()[:16] if request.shared else ""


@lru_cache(maxsize=64)
def find(kind: str, name: str) -> Any:
    """Returns the plug-in of a kind (`place` or `prefix`). Raises StopIteration if none of this name is installed."""
    return next(e.load() for e in entry_points(group=f"postpass.{kind}") if e.name == name)


def place(who: str, name: str, request: PlacementRequest, candidates: tuple[Candidate, ...]) -> str:
    """Returns the name of the worker that the plug-in `name` chooses, or else the default's choice.

    `who` is the name of this process, for the log.
    """
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
    """Returns the affinity key that the plug-in `name` computes for a request, or else the default key.

    `who` is the name of this process, for the log.
    """
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
    """Returns the worker to which an affinity key maps, by rendezvous hashing.

    Few keys move to another worker when workers are added or removed. The result is empty without a key or workers.
    """
    return max(names, key=lambda name: hashlib.sha256(f"{key}/{name}".encode()).digest()) if key and names else ""

"""Which worker a live request goes to."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from postpass.configuration.configuration import Split
from postpass.routing.load_picture import IDLE, WorkerUse, believed
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from postpass.routing.prefixes import NO_PREFIX, Prefix, rendezvous

EDGE_OVERCOMMIT = 1.5  # times its even share of a worker's slots that one edge may use before it likes the worker less
LONG_PREFIX = 0.4  # times the tokens of a prompt as they usually are, from which a prefix has homes


@dataclass(frozen=True, slots=True)
class WorkerCandidate:
    """A worker as one edge sees it. Invariants: it isn't leaving, evacuated, or cold without capacity for one more.

    :ivar in_flight: requests of this edge under way there.
    :ivar avoided: it refused or reset connections lately.
    :ivar full: it turned a request away lately.
    :ivar lag: smoothed seconds until the first byte, as this edge saw it.
    :ivar unread: prompt tokens that this edge sent there and that were not answered yet.
    :ivar others: what others have there, as last heard.
    """

    name: str
    slots: int
    in_flight: int
    avoided: bool = False
    full: bool = False
    lag: float = 0.0
    unread: int = 0
    others: WorkerUse = IDLE


class Reason(StrEnum):
    """Why a worker was chosen. The values are a label of the metrics and stand in log events."""

    HOME = "home"  # its prefix was read there before
    LEAST_LOADED = "least loaded"  # of some with free slots
    NONE_FREE = "none free"  # the least loaded of some, but no worker was known to have a free slot


@dataclass(frozen=True, slots=True)
class Choice:
    """The worker for a request, and what was known of it: requests and items there, and prompt tokens still to read."""

    worker: str
    reason: Reason
    used: int
    unread: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What is known of a request's prompt: its shared parts, and all its tokens."""

    prefix: Prefix = NO_PREFIX
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class EdgeView:
    """What an edge knows besides the workers.

    :ivar edges: how many edges there are.
    :ivar usual_tokens: tokens of a prompt, smoothed over the requests that it saw.
    """

    edges: int
    usual_tokens: float = 0.0


def pool_order(split: Sequence[Split], request_id: bytes) -> list[str]:
    """The pool that this request's id falls to by weight, then the others that have any."""
    shares = [s for s in split if s["weight"] > 0]
    total = sum(s["weight"] for s in shares)
    if not total:
        return []
    at = zlib.crc32(request_id) % total
    for i, share in enumerate(shares):
        at -= share["weight"]
        if at < 0:
            return [s["pool"] for s in shares[i:] + shares[:i]]
    return []


def own_share(slots: int, edges: int) -> int:
    """Requests that one edge has at a worker before it likes it less, if it knows its own alone. At least two: an edge's
    own count says little where there are more edges than slots."""
    return max(2, math.ceil(slots * EDGE_OVERCOMMIT / max(1, edges)))


def choose_worker(
    candidates: Sequence[WorkerCandidate],
    prompt: Prompt,
    view: EdgeView,
    chance: random.Random,
    options: RoutingOptions = DEFAULT_OPTIONS,
) -> Choice | None:
    """The worker for a request; None if there is none.

    Long shared prefixes go to their homes, unless these are loaded; all else goes to the least loaded of a few at random.
    """
    good = _healthy(candidates, options)
    if not good:
        return None
    if prompt.prefix.tokens and prompt.prefix.tokens >= view.usual_tokens * LONG_PREFIX:
        home = _home(good, [c.name for c in candidates], prompt.prefix, view, options)
        if home is not None:
            return _choice(home, Reason.HOME, options)
    free = [c for c in good if _has_room(c, view, options)]
    compared = free or good
    sampled = chance.sample(compared, min(options.sampled, len(compared)))
    best = min(sampled, key=lambda candidate: load(candidate, options))
    return _choice(best, Reason.LEAST_LOADED if free else Reason.NONE_FREE, options)


def _choice(candidate: WorkerCandidate, reason: Reason, options: RoutingOptions) -> Choice:
    return Choice(candidate.name, reason, used(candidate, options), unread(candidate, options))


def _healthy(candidates: Sequence[WorkerCandidate], options: RoutingOptions) -> list[WorkerCandidate]:
    """The candidates that are neither avoided nor full; where there are none, those that are not avoided, or all."""
    if not options.health:
        return list(candidates)
    good = [c for c in candidates if not c.avoided and not c.full]
    if options.shared_health and options.shared_load:
        good = _without_reported(good, candidates)
    return good or [c for c in candidates if not c.avoided] or list(candidates)


def _without_reported(good: list[WorkerCandidate], candidates: Sequence[WorkerCandidate]) -> list[WorkerCandidate]:
    """Those of the good candidates that don't fail the others; all of them if none is left."""
    if not believed(sum(c.others.fails_most for c in candidates), len(candidates)):
        return good
    return [c for c in good if not c.others.fails_most] or good


def _has_room(candidate: WorkerCandidate, view: EdgeView, options: RoutingOptions) -> bool:
    """Is a slot free there, as far as is known?"""
    if options.shared_load:
        return used(candidate, options) < candidate.slots
    return candidate.in_flight < own_share(candidate.slots, view.edges)


def _home(
    good: Sequence[WorkerCandidate], names: Sequence[str], prefix: Prefix, view: EdgeView, options: RoutingOptions
) -> WorkerCandidate | None:
    """The first home of a prefix where it is read sooner than anew elsewhere; None if there is none."""
    by_name = {c.name: c for c in good}
    least = min((unread(c, options) for c in good), default=0)
    # Over all that may be used, not over those with room: a worker that is briefly avoided keeps its keys.
    for name in rendezvous(prefix.key, names, options.prefix_homes):
        home = by_name.get(name)
        if home is None or not _takes_one_more(home, view, options):
            continue
        if unread(home, options) - least <= prefix.tokens * options.home_patience:
            return home
    return None


def _takes_one_more(home: WorkerCandidate, view: EdgeView, options: RoutingOptions) -> bool:
    """May a home get one more? It may wait a little for a slot, since reading its prefix anew takes longer."""
    if options.shared_load:
        return used(home, options) < home.slots * (1 + options.home_overflow)
    return _has_room(home, view, options)


def used(candidate: WorkerCandidate, options: RoutingOptions = DEFAULT_OPTIONS) -> int:
    """Requests and items there, as far as is known."""
    return candidate.in_flight + (candidate.others.requests if options.shared_load else 0)


def unread(candidate: WorkerCandidate, options: RoutingOptions = DEFAULT_OPTIONS) -> int:
    """Prompt tokens there that are still to be read, as far as is known."""
    if not options.unread_tokens:
        return 0
    return candidate.unread + (candidate.others.unread if options.shared_load else 0)


def load(candidate: WorkerCandidate, options: RoutingOptions = DEFAULT_OPTIONS) -> tuple[float, float, float]:
    """Orders candidates, the least loaded first."""
    part = used(candidate, options) / max(1, candidate.slots)
    lag = candidate.lag if options.lag else 0.0
    if not options.unread_tokens:
        return part, lag, 0.0
    return max(part, options.crowded), float(unread(candidate, options)), part

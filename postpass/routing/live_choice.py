"""Choosing a worker for a live request."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from postpass.configuration.configuration import Split
from postpass.routing.load_picture import IDLE, WorkerUse, are_failures_credible
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from postpass.routing.prefixes import NO_PREFIX, Prefix, rendezvous

EDGE_OVERCOMMIT = 1.5  # times its even share of a worker's slots that one edge may use before it prefers other workers
LONG_PREFIX = 0.4  # times the usual tokens of a prompt; a prefix of at least so many tokens has homes


@dataclass(frozen=True, slots=True)
class WorkerCandidate:
    """A worker to which one edge may send a request, as this edge sees it.

    Invariants: the worker isn't leaving, isn't in an evacuated zone, and if it is cold it may still get one more request.

    :ivar in_flight: number of this edge's requests that are in progress there.
    :ivar avoided: whether it refused or reset connections lately.
    :ivar full: whether it rejected a request lately because it had no free slot.
    :ivar lag: smoothed seconds until the first byte of a response, as measured by this edge.
    :ivar unread: prompt tokens that this edge sent there and for which no response has begun yet.
    :ivar others: the load that other edges and the scheduler put on it, as last reported.
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
    """The reason why a worker was chosen. The values are used as a label of metrics and in log events."""

    HOME = "home"  # the worker is a home of the prompt's prefix, which it has probably processed before
    LEAST_LOADED = "least loaded"  # the least loaded of some workers that have free slots
    NONE_FREE = "none free"  # the least loaded of some workers, none of which was known to have a free slot


@dataclass(frozen=True, slots=True)
class Choice:
    """The worker that was chosen for a request, and its load as known at that moment.

    :ivar used: number of requests and items there.
    :ivar unread: prompt tokens that it has still to process.
    """

    worker: str
    reason: Reason
    used: int
    unread: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What is known of a request's prompt: its shared prefix, and the number of all its tokens."""

    prefix: Prefix = NO_PREFIX
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class EdgeView:
    """What an edge knows apart from the workers.

    :ivar edges: number of edges in the fleet.
    :ivar usual_tokens: moving average of the tokens of a prompt over the requests of this edge.
    """

    edges: int
    usual_tokens: float = 0.0


def pool_order(split: Sequence[Split], request_id: bytes) -> list[str]:
    """Returns the pools in the order in which a request should try them.

    The first one is selected by the request's id in proportion to the weights; the other pools with a weight above 0 follow.
    """
    shares = [s for s in split if s["weight"] > 0]
    total = sum(s["weight"] for s in shares)
    if not total:
        return []
    remaining_weight = zlib.crc32(request_id) % total
    for i, share in enumerate(shares):
        remaining_weight -= share["weight"]
        if remaining_weight < 0:
            return [s["pool"] for s in shares[i:] + shares[:i]]
    return []


def fair_slots_per_edge(slots: int, edges: int) -> int:
    """Returns how many requests one edge may have at a worker before it prefers others, if it knows only its own requests.

    The number is at least two, since an edge's own count says little where there are more edges than slots.
    """
    return max(2, math.ceil(slots * EDGE_OVERCOMMIT / max(1, edges)))


def choose_worker(
    candidates: Sequence[WorkerCandidate],
    prompt: Prompt,
    view: EdgeView,
    rng: random.Random,
    options: RoutingOptions = DEFAULT_OPTIONS,
) -> Choice | None:
    """Returns the worker for a request; None if there are no candidates.

    Requests with a long shared prefix go to a home of the prefix unless its homes are loaded too much; all others go to the
    least loaded of a few workers that are sampled at random.
    """
    healthy = _healthy(candidates, options)
    if not healthy:
        return None
    if prompt.prefix.tokens and prompt.prefix.tokens >= view.usual_tokens * LONG_PREFIX:
        home = _home_for_prefix(healthy, [c.name for c in candidates], prompt.prefix, view, options)
        if home is not None:
            return _choice_of(home, Reason.HOME, options)
    free = [c for c in healthy if _has_room(c, view, options)]
    compared = free or healthy
    sampled = rng.sample(compared, min(options.sampled, len(compared)))
    best = min(sampled, key=lambda candidate: load(candidate, options))
    return _choice_of(best, Reason.LEAST_LOADED if free else Reason.NONE_FREE, options)


def _choice_of(candidate: WorkerCandidate, reason: Reason, options: RoutingOptions) -> Choice:
    return Choice(candidate.name, reason, used(candidate, options), unread(candidate, options))


def _healthy(candidates: Sequence[WorkerCandidate], options: RoutingOptions) -> list[WorkerCandidate]:
    """Returns the candidates that are neither avoided nor full; if there are none, those not avoided; else all of them."""
    if not options.health:
        return list(candidates)
    healthy = [c for c in candidates if not c.avoided and not c.full]
    if options.shared_health and options.shared_load:
        healthy = _without_reported_failures(healthy, candidates)
    return healthy or [c for c in candidates if not c.avoided] or list(candidates)


def _without_reported_failures(
    healthy: list[WorkerCandidate], candidates: Sequence[WorkerCandidate]
) -> list[WorkerCandidate]:
    """Returns those of `healthy` that don't fail for most other edges; all of `healthy` if none would be left."""
    if not are_failures_credible(sum(c.others.fails_most for c in candidates), len(candidates)):
        return healthy
    return [c for c in healthy if not c.others.fails_most] or healthy


def _has_room(candidate: WorkerCandidate, view: EdgeView, options: RoutingOptions) -> bool:
    """Returns whether a slot is free there, as far as this edge knows."""
    if options.shared_load:
        return used(candidate, options) < candidate.slots
    return candidate.in_flight < fair_slots_per_edge(candidate.slots, view.edges)


def _home_for_prefix(
    healthy: Sequence[WorkerCandidate], names: Sequence[str], prefix: Prefix, view: EdgeView, options: RoutingOptions
) -> WorkerCandidate | None:
    """Returns the first home of a prefix that can take one more request and isn't too busy; None if there is none.

    A home is too busy if processing the prompts that wait there takes longer than processing the prefix anew elsewhere.
    """
    by_name = {c.name: c for c in healthy}
    least_unread = min((unread(c, options) for c in healthy), default=0)
    # Homes are chosen among all candidates, not only among the healthy ones, so that a worker that is avoided for a short
    # time keeps its prefixes.
    for name in rendezvous(prefix.key, names, options.prefix_homes):
        home = by_name.get(name)
        if home is None or not _takes_one_more(home, view, options):
            continue
        if unread(home, options) - least_unread <= prefix.tokens * options.home_patience:
            return home
    return None


def _takes_one_more(home: WorkerCandidate, view: EdgeView, options: RoutingOptions) -> bool:
    """Returns whether a home may get one more request.

    The request may wait there a little for a slot, since processing the prefix anew elsewhere takes longer.
    """
    if options.shared_load:
        return used(home, options) < home.slots * (1 + options.home_overflow)
    return _has_room(home, view, options)


def used(candidate: WorkerCandidate, options: RoutingOptions = DEFAULT_OPTIONS) -> int:
    """Returns the number of requests and items there, as far as this edge knows."""
    return candidate.in_flight + (candidate.others.requests if options.shared_load else 0)


def unread(candidate: WorkerCandidate, options: RoutingOptions = DEFAULT_OPTIONS) -> int:
    """Returns the prompt tokens that the worker has still to process, as far as this edge knows."""
    if not options.unread_tokens:
        return 0
    return candidate.unread + (candidate.others.unread if options.shared_load else 0)


def load(candidate: WorkerCandidate, options: RoutingOptions = DEFAULT_OPTIONS) -> tuple[float, float, float]:
    """Returns a sort key that orders candidates by load, the least loaded first."""
    used_fraction = used(candidate, options) / max(1, candidate.slots)
    lag = candidate.lag if options.lag else 0.0
    if not options.unread_tokens:
        return used_fraction, lag, 0.0
    return max(used_fraction, options.crowded), float(unread(candidate, options)), used_fraction

"""Limits on the requests that a cold worker (one that is new or has just started) gets, and the edges that may send them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from postpass.routing.prefixes import rendezvous

MAX_COLD_EDGES = 6  # edges that may send requests to the same cold worker
COLD_SHARE = 0.7  # fraction of a cold worker's allowed rate that these edges use together


def cold_edges(worker: str, edges: Sequence[str], rate: float) -> list[str]:
    """Returns the edges that may send requests to a cold worker, the same whichever edge computes them.

    There are so few of them that one request from each at the same moment stays far below the worker's limit. `rate` is
    the requests a second that the worker may get.
    """
    return rendezvous(worker.encode(), edges, max(1, min(MAX_COLD_EDGES, int(rate))))


def cold_rate_per_edge(rate: float, edge_count: int) -> float:
    """Returns the requests a second that one of the edges may send to a cold worker.

    `rate` is the worker's own limit, `edge_count` the number of edges that may send to it.
    """
    return COLD_SHARE * rate / max(1, edge_count)


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """A token bucket with `level` tokens at the time `at`.

    Invariant: `level` is at most the capacity (`most`) that the bucket was last filled with.
    """

    level: float
    at: float

    def filled(self, now: float, rate: float, most: float = 1.0) -> TokenBucket:
        """Returns the bucket as of `now`, after it was filled at `rate` tokens a second up to a capacity of `most`."""
        return TokenBucket(min(most, self.level + max(0.0, now - self.at) * rate), max(now, self.at))

    def taken(self) -> TokenBucket:
        """Returns the bucket with one token fewer."""
        return TokenBucket(self.level - 1, self.at)

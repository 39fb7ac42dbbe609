"""How many requests a cold worker gets, and from which edges."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from postpass.routing.prefixes import rendezvous

MAX_COLD_EDGES = 6  # edges that may use the same cold worker
COLD_SHARE = 0.7  # of its rate that they use together


def cold_edges(worker: str, edges: Sequence[str], rate: float) -> list[str]:
    """Which edges may use a cold worker: so few that one request each at once stays far below its bound."""
    return rendezvous(worker.encode(), edges, max(1, min(MAX_COLD_EDGES, int(rate))))


def cold_share(rate: float, users: int) -> float:
    """Requests a second that one of these edges may send there."""
    return COLD_SHARE * rate / max(1, users)


@dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket. Invariant: `level` is at most `most`, as of the time `at`."""

    level: float
    at: float

    def filled(self, now: float, rate: float, most: float = 1.0) -> Bucket:
        """As of `now`, at `rate` tokens a second."""
        return Bucket(min(most, self.level + max(0.0, now - self.at) * rate), max(now, self.at))

    def taken(self) -> Bucket:
        """With one token less."""
        return Bucket(self.level - 1, self.at)

"""Which worker a relayed request goes to: pure functions over frozen values, so that policies can be compared."""

from __future__ import annotations

import hashlib
import math
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from postpass.configuration.configuration import Split

EDGE_OVERCOMMIT = 1.5  # times its even share of a worker's slots that one edge may use before it likes the worker less
LONG_PREFIX = 1000  # shared tokens from which it pays to go where they were read before
HOMES_PER_PREFIX = 2  # workers that requests with the same long prefix go to
LONG_PROMPT = 4000  # tokens of a prompt from which it goes to the workers that read long ones
LONG_PROMPT_SHARE = 0.6  # of a pool's workers read long prompts
NO_WORKERS: frozenset[str] = frozenset()
MAX_COLD_EDGES = 6  # edges that may use the same cold worker
COLD_SHARE = 0.7  # of its rate that they use together


@dataclass(frozen=True, slots=True)
class WorkerCandidate:
    """A worker as one edge sees it. Invariants: it isn't leaving, evacuated, or cold without capacity for one more."""

    name: str
    slots: int
    in_flight: int  # requests of this edge under way there
    avoided: bool = False  # it refused or reset connections lately
    full: bool = False  # it turned a request away lately
    lag: float = 0.0  # smoothed seconds until the first byte, as this edge saw it


@dataclass(frozen=True, slots=True)
class Prefix:
    """The shared parts at the start of a prompt."""

    key: bytes
    tokens: int


NO_PREFIX = Prefix(b"", 0)


def prefix_of(parts: bytes) -> Prefix:
    """The prefix of a header "ID:TOKENS,ID:TOKENS": all parts but the last, which is the request's own."""
    shared = parts.split(b",")[:-1]
    if not shared:
        return NO_PREFIX
    tokens = 0
    for part in shared:
        count = part.rpartition(b":")[2].strip()
        tokens += int(count) if count.isdigit() else 0
    return Prefix(b",".join(p.partition(b":")[0].strip() for p in shared), tokens)


def rendezvous(key: bytes, names: Sequence[str], most: int) -> list[str]:
    """The first names of an order that depends on the key alone: a name more or less moves few keys."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(key + b"\0" + name.encode(), digest_size=8).digest()

    return sorted(names, key=weight)[:most]


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
    """Requests that one edge has at a worker before it likes it less. At least two: an edge's own count says little
    where there are more edges than slots."""
    return max(2, math.ceil(slots * EDGE_OVERCOMMIT / max(1, edges)))


def long_prompt_workers(names: Sequence[str]) -> frozenset[str]:
    """The workers of a pool that read long prompts: while one is read, no other request there gets on."""
    if len(names) <= 1:
        return NO_WORKERS
    return frozenset(rendezvous(b"readers", names, max(1, round(len(names) * LONG_PROMPT_SHARE))))


def choose_worker(
    candidates: Sequence[WorkerCandidate],
    prefix: Prefix,
    edges: int,
    chance: random.Random,
    prompt_tokens: int = 0,
    long_prompt_names: frozenset[str] = NO_WORKERS,
) -> str | None:
    """The worker for a request; None if there is none.

    Requests with long prompts and the others keep to their own workers unless those are loaded, long shared prefixes
    to their homes among them; all else goes to the less loaded of two at random. `edges`: how many edges there are;
    `long_prompt_names`: the workers that read long prompts.
    """
    good = [c for c in candidates if not c.avoided and not c.full]
    good = good or [c for c in candidates if not c.avoided] or list(candidates)
    if not good:
        return None
    is_long = prompt_tokens >= LONG_PROMPT
    if prefix.tokens >= LONG_PREFIX:
        own = [c.name for c in candidates if (c.name in long_prompt_names) == is_long]
        by_name = {c.name: c for c in good}
        # Over all that may be used, not over the good: a worker that is briefly avoided keeps its keys.
        for name in rendezvous(prefix.key, own or [c.name for c in candidates], HOMES_PER_PREFIX):
            home = by_name.get(name)
            if home is not None and home.in_flight < own_share(home.slots, edges):
                return name
    free = [c for c in good if c.in_flight < own_share(c.slots, edges)]
    preferred = [c for c in free if (c.name in long_prompt_names) == is_long] or free or good
    return min(chance.sample(preferred, min(2, len(preferred))), key=load).name


def load(candidate: WorkerCandidate) -> tuple[float, float]:
    """Orders candidates, the least loaded first: by the part of the slots in use, then by lag."""
    return candidate.in_flight / max(1, candidate.slots), candidate.lag


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

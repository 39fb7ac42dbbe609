"""Which worker an item of a job goes to, and how many items one may run."""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from postpass.routing.load_picture import believed
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions

ITEM_SHARE = 0.75  # of a worker's slots that items may take while nothing is known of live requests there
LIVE_RESERVE = 1 / 10  # of all slots of a pool that is kept free for live requests to come


@dataclass(frozen=True, slots=True)
class ItemWorker:
    """A worker as the scheduler sees it.

    :ivar items: items that run there.
    :ivar live: live requests there, as last heard from the edges; None if nothing was heard.
    :ivar limit: how many items it takes, by what it said to those before.
    :ivar failing: it failed most of the edges that tried it lately.
    """

    name: str
    slots: int
    items: int
    live: int | None = None
    limit: float = math.inf
    failing: bool = False


def item_rooms(workers: Sequence[ItemWorker], options: RoutingOptions = DEFAULT_OPTIONS) -> dict[str, int]:
    """How many more items each worker may be sent now.

    What live requests leave is handed out slot by slot, the emptiest worker first, until only the reserve is left; one item
    may run in any case, so that none waits for ever in a small pool. While nothing is known of live requests, each worker
    gives items a fixed part of its slots.
    """
    if not options.shared_load or any(worker.live is None for worker in workers):
        return {w.name: max(0, math.floor(min(w.limit, max(1.0, w.slots * ITEM_SHARE))) - w.items) for w in workers}
    if options.shared_health and believed(sum(w.failing for w in workers), len(workers)):
        # One that fails has nothing to do, and would be the emptiest of all.
        workers = [replace(w, limit=0.0) if w.failing else w for w in workers]
    free = {w.name: max(0, w.slots - (w.live or 0) - w.items) for w in workers}
    reserve = sum(w.slots for w in workers) * options.live_reserve
    spare = math.ceil(sum(free.values()) - reserve)
    least = 0 if any(worker.items for worker in workers) else 1
    return _handed_out(workers, free, max(spare, least))


def _handed_out(workers: Sequence[ItemWorker], free: Mapping[str, int], spare: int) -> dict[str, int]:
    """Hands out so many free slots, the emptiest worker first. Where a part of its slots is free counts, not how many."""
    rooms = {worker.name: 0 for worker in workers}
    bounds = {w.name: min(free[w.name], max(0, math.floor(min(w.limit, w.slots)) - w.items)) for w in workers}
    heap = [(-free[w.name] / max(1, w.slots), w.name, w.slots) for w in workers if bounds[w.name] > 0]
    heapq.heapify(heap)
    for _ in range(spare):
        if not heap:
            break
        _, name, slots = heap[0]
        rooms[name] += 1
        if rooms[name] < bounds[name]:
            heapq.heapreplace(heap, (-(free[name] - rooms[name]) / max(1, slots), name, slots))
        else:
            heapq.heappop(heap)
    return rooms


def choose_item_worker(rooms: Mapping[str, int], key: bytes, options: RoutingOptions = DEFAULT_OPTIONS) -> str | None:
    """The worker for an item whose prompt begins with the prefix `key`: one with the most room; None if none has any."""
    names = [name for name, room in rooms.items() if room > 0]
    if not names:
        return None
    if not options.spread_items:
        return max(names, key=lambda name: _affinity(key, name))
    return max(names, key=lambda name: (rooms[name], _affinity(key, name)))


def _affinity(key: bytes, name: str) -> bytes:
    return hashlib.blake2b(key + b"/" + name.encode(), digest_size=8).digest()

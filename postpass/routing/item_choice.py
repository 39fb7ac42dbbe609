"""Choosing a worker for an item of a job, and the number of items that each worker may run."""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from postpass.routing.load_picture import are_failures_credible
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions

ITEM_SHARE = 0.75  # fraction of a worker's slots that items may use while its number of live requests is unknown
LIVE_RESERVE = 1 / 10  # fraction of all slots of a pool that is kept free for live requests to come


@dataclass(frozen=True, slots=True)
class ItemWorker:
    """A worker as the scheduler sees it.

    :ivar items: number of items that it runs.
    :ivar live: number of its live requests, as last reported by the edges; None if there is no report.
    :ivar limit: how many items it accepts, estimated from its responses to earlier items.
    :ivar failing: whether it failed for most of the edges that sent requests to it lately.
    """

    name: str
    slots: int
    items: int
    live: int | None = None
    limit: float = math.inf
    failing: bool = False


def free_item_slots(workers: Sequence[ItemWorker], options: RoutingOptions = DEFAULT_OPTIONS) -> dict[str, int]:
    """Returns how many more items each worker may be sent now, by the worker's name.

    Slots that live requests don't use are assigned to items one by one, the emptiest worker first, until only the reserve is
    left; one item may run in any case, so that no item waits forever in a small pool. While the number of live requests is
    unknown for any worker, items may use a fixed fraction of each worker's slots.
    """
    if not options.shared_load or any(worker.live is None for worker in workers):
        return {w.name: max(0, math.floor(min(w.limit, max(1.0, w.slots * ITEM_SHARE))) - w.items) for w in workers}
    if options.shared_health and are_failures_credible(sum(w.failing for w in workers), len(workers)):
        # A failing worker has no work, and would otherwise count as the emptiest of all.
        workers = [replace(w, limit=0.0) if w.failing else w for w in workers]
    free = {w.name: max(0, w.slots - (w.live or 0) - w.items) for w in workers}
    reserve = sum(w.slots for w in workers) * options.live_reserve
    spare = math.ceil(sum(free.values()) - reserve)
    minimum = 0 if any(worker.items for worker in workers) else 1
    return _distribute_slots(workers, free, max(spare, minimum))


def _distribute_slots(workers: Sequence[ItemWorker], free: Mapping[str, int], spare: int) -> dict[str, int]:
    """Assigns `spare` free slots to items, and returns how many of them are on each worker.

    The emptiest worker comes first: the one with the largest fraction of its slots free, not the largest number.
    """
    free_slots = {worker.name: 0 for worker in workers}
    limits = {w.name: min(free[w.name], max(0, math.floor(min(w.limit, w.slots)) - w.items)) for w in workers}
    heap = [(-free[w.name] / max(1, w.slots), w.name, w.slots) for w in workers if limits[w.name] > 0]
    heapq.heapify(heap)
    for _ in range(spare):
        if not heap:
            break
        _, name, slots = heap[0]
        free_slots[name] += 1
        if free_slots[name] < limits[name]:
            heapq.heapreplace(heap, (-(free[name] - free_slots[name]) / max(1, slots), name, slots))
        else:
            heapq.heappop(heap)
    return free_slots


def choose_item_worker(
    free_slots: Mapping[str, int], key: bytes, options: RoutingOptions = DEFAULT_OPTIONS
) -> str | None:
    """Returns the worker for an item whose prompt begins with the prefix `key`; None if no worker has a free slot.

    `free_slots` is the number of slots that items may use, by worker. A worker with the most free slots is chosen; among
    equals the prefix decides, so that items with the same prefix go to the same worker.
    """
    names = [name for name, count in free_slots.items() if count > 0]
    if not names:
        return None
    if not options.spread_items:
        return max(names, key=lambda name: _affinity(key, name))
    return max(names, key=lambda name: (free_slots[name], _affinity(key, name)))


def _affinity(key: bytes, name: str) -> bytes:
    """Returns a hash by which the workers are ranked for a prefix (rendezvous hashing)."""
    return hashlib.blake2b(key + b"/" + name.encode(), digest_size=8).digest()

"""How many items of jobs may run at each worker.

Items of a class run on slots that live requests lend and take back; items of a route run on a part of the slots that
follows how often the worker rejects them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import Counter

from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.configuration.configuration import Class, Configuration
from postpass.configuration.settings import Settings
from postpass.gateway.worker_load import WorkerLoad, share_of
from postpass.routing.item_choice import ItemWorker, item_rooms
from postpass.routing.item_order import usual_seconds
from postpass.routing.load_picture import IDLE, LoadReport
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from postpass.runtime import log_events
from postpass.runtime.environment import now

PROBES_UNTIL_STALE = 4  # what was heard of a worker counts for so many probing intervals
DEFAULT_RESERVE = 0.25  # of the live load that is kept free for its growth
LOANS_KEPT = 500  # loans that the figures of the simulator are taken from
LOAN_RECALLED = 152  # number of the log event
GROWTH = 0.5  # slots by which a worker's limit grows with each item that ran


def batch_slots(slots: int, own: int, live: int, reserve: int, warm: bool) -> int:
    """Slots for items at one worker: the class's own share, or what live requests and the reserve leave if that is more.

    A worker that still warms up gets none.
    """
    return max(own, slots - live - reserve) if warm else 0


@dataclass(eq=False)
class ClassCapacity:
    """Slots for the items of classes: lent by live requests, and handed back to them.

    `borrows` and `reserves` are switched off by the simulator, to measure against a plain baseline. `loans` are pairs
    of the loop time when live requests came back, and the seconds until their slots were free.
    """

    settings: Settings
    worker_load: WorkerLoad
    items: LeasedItems
    ended_items: Counter
    recalled_items: Counter
    borrows: bool = True
    reserves: bool = True
    loans: list[tuple[float, float]] = field(default_factory=list)
    over_since: dict[tuple[str, str], float] = field(default_factory=dict)  # (pool, worker) -> loop time

    def slots(self, configuration: Configuration, item_class: str) -> dict[str, int]:
        """How many items of a class each worker may run now, those running included."""
        terms = configuration["classes"][item_class]
        servers = configuration["pools"][terms["pool"]]["servers"]
        stale = self.settings.bounds.probe * PROBES_UNTIL_STALE
        names = [name for name in sorted(servers) if not self.worker_load.barred(terms["pool"], name, stale)]
        own = math.floor(terms["share"] * sum(servers[name]["slots"] for name in names))
        lent = self.borrows and any(configuration["classes"][c].get("lends") for c in terms.get("borrows", []))
        out = {}
        for i, name in enumerate(names):
            share = share_of(own, i, len(names))
            free = self.slots_at(terms, name, servers[name]["slots"], share)
            out[name] = free if lent else min(free, share)
        return out

    def slots_at(self, terms: Class, worker: str, slots: int, share: int) -> int:
        """How many items of a class with these terms a worker with `slots` may run, if live requests lend theirs."""
        spot = self.worker_load.state_of(terms["pool"], worker)
        # Live use: what the worker reported, less what this scheduler ran there when it did.
        live = max(0, (spot.report.running + spot.report.waiting if spot.report else 0) - spot.in_flight_at_poll)
        peak = max(0.0, spot.peak_use - spot.in_flight_at_poll)
        reserve = math.ceil(terms.get("reserve", DEFAULT_RESERVE) * max(live, peak)) if self.reserves else 0
        return batch_slots(slots, share, live, reserve, self.worker_load.warm_part(terms["pool"], worker) >= 1)

    def hand_back(self, configuration: Configuration, item_class: str, slots: dict[str, int]) -> None:
        """Cancels items where live requests came back; they are put back, and run again later.

        The items due last go first, and among those the ones that got least far.
        """
        pool = configuration["classes"][item_class]["pool"]
        for worker, most in slots.items():
            running = [i for i in self.items.running() if i.worker == worker and i.item_class == item_class]
            surplus = len(running) - most
            if surplus <= 0:
                self.note_returned(pool, worker)
                continue
            self.over_since.setdefault((pool, worker), now())
            for item in sorted(running, key=lambda i: (-i.due, i.pieces))[:surplus]:
                self.recall(item)
            log_events.emit(LOAN_RECALLED, self.settings.name, server=worker, items=surplus)

    def note_returned(self, pool: str, worker: str) -> None:
        """Notes how long a loan took to come back, if one was recalled at this worker."""
        began = self.over_since.pop((pool, worker), None)
        if began is not None:
            self.loans.append((began, now() - began))
            del self.loans[:-LOANS_KEPT]

    def recall(self, item: LeasedItem) -> None:
        """Cancels the run of an item, which stays held here."""
        self.ended_items.labels(item.item_class, "put back").inc()
        self.recalled_items.inc()
        if item.task is not None:
            item.task.cancel()


@dataclass(eq=False)
class WorkerLimit:
    """How many items of routes one worker takes, by what it said to those before. Invariant: `most` is 1 to its slots."""

    most: float
    closed_until: float = 0.0  # loop time in seconds
    running: int = 0

    def rejected(self, pause: float) -> None:
        """The worker rejected an item: halves the limit, and sends it none for `pause` seconds."""
        self.most, self.closed_until = max(1.0, self.most / 2), now() + pause

    def completed(self, slots: int) -> None:
        """The worker, which has so many slots, ran an item: raises the limit."""
        self.most = min(max(1.0, float(slots)), self.most + GROWTH)

    @property
    def allowed(self) -> float:
        """How many items may run there now; none for a moment after a rejection."""
        return self.most if now() >= self.closed_until else 0.0


@dataclass(eq=False)
class RouteCapacity:
    """Slots for the items of routes: what live requests leave, and what the workers said to those before.

    `live_load` tells what others have at each worker; None while nothing was heard.
    """

    limits: dict[tuple[str, str], WorkerLimit] = field(default_factory=dict)  # (pool, worker) -> limit
    live_load: Callable[[], LoadReport | None] = lambda: None
    options: RoutingOptions = DEFAULT_OPTIONS
    usual_seconds: float = 0.0  # that a run takes, smoothed; 0 before the first

    def note_run(self, seconds: float) -> None:
        """An item was done, after so many seconds at its worker."""
        self.usual_seconds = usual_seconds(self.usual_seconds, seconds)

    def free(self, configuration: Configuration, pool: str) -> dict[str, int]:
        """How many more items each worker of a pool that may be sent to gets now."""
        load = self.live_load()
        workers = []
        for name, server in configuration["pools"][pool]["servers"].items():
            if self.barred(configuration, pool, name):
                continue
            slots = server["slots"]
            limit = self.limits.setdefault((pool, name), WorkerLimit(max(1.0, float(slots))))
            others = None if load is None else load.get(name, IDLE)
            live, failing = (None, False) if others is None else (others.requests, others.fails_most)
            workers.append(ItemWorker(name, slots, limit.running, live, limit.allowed, failing))
        return item_rooms(workers, self.options)

    def barred(self, configuration: Configuration, pool: str, worker: str) -> str:
        """Why a worker gets no items; empty if it may."""
        server = configuration["pools"][pool]["servers"].get(worker) if pool in configuration["pools"] else None
        if server is None:
            return "it left the manifest"
        if server.get("leave") or server.get("cold"):
            return "it leaves" if server.get("leave") else "it is cold"
        return "its area is evacuated" if server["area"] in configuration.get("evacuated", []) else ""

    def forget_removed(self, configuration: Configuration) -> None:
        """Forgets idle workers that the configuration doesn't name any more."""
        pools = configuration["pools"]
        removed = [key for key in self.limits if key[0] not in pools or key[1] not in pools[key[0]]["servers"]]
        for key in removed:
            if self.limits[key].running == 0:
                del self.limits[key]

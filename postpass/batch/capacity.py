"""Computes how many items of jobs may run at each worker.

Items of a class run on slots that live requests lend and take back; items of a route run on a part of the slots that
shrinks when the worker rejects one and grows with each that ran.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import Counter

from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.batch.run_progress import RunProgress
from postpass.configuration.configuration import Class, Configuration
from postpass.configuration.settings import Settings
from postpass.gateway.worker_load import WorkerLoad, integer_share
from postpass.routing.item_choice import ItemWorker, free_item_slots
from postpass.routing.item_order import usual_seconds
from postpass.routing.load_picture import IDLE, LoadReport, are_failures_credible
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.ordered_set import OrderedSet

PROBES_UNTIL_STALE = 4  # probing intervals after which a worker's last report counts as stale
DEFAULT_RESERVE = 0.25  # share of the live load that is kept free on top of it, for its growth
MAX_RECORDED_LOANS = 500  # latest loans kept; measurements in the simulator read them
LOAN_RECALLED = 152  # number of the log event
LIMIT_INCREASE = 0.5  # slots by which a worker's limit grows with each completed item


def batch_slots(slots: int, own_slots: int, live: int, reserve: int, warm: bool) -> int:
    """Returns the slots for items at one worker: the class's own share, or what live use and reserve leave, if more.

    A worker that is still warming up gets none.
    """
    return max(own_slots, slots - live - reserve) if warm else 0


@dataclass(eq=False)
class ClassCapacity:
    """Slots for the items of classes: lent by live requests, and handed back to them.

    The simulator switches off `borrows` and `reserves`, to measure against a plain baseline. `loans` are pairs of the
    loop time when live requests needed their slots again, and the seconds until these were free.
    """

    settings: Settings
    worker_load: WorkerLoad
    items: LeasedItems
    ended_items: Counter
    recalled_items: Counter
    borrows: bool = True
    reserves: bool = True
    loans: list[tuple[float, float]] = field(default_factory=list)
    # (pool, worker) -> loop time since when more items run there than allowed
    surplus_since: dict[tuple[str, str], float] = field(default_factory=dict)

    def slots(self, configuration: Configuration, item_class: str) -> dict[str, int]:
        """Returns how many items of a class each worker may run now, including those that run."""
        class_config = configuration["classes"][item_class]
        servers = configuration["pools"][class_config["pool"]]["servers"]
        stale_after_s = self.settings.bounds.probe_interval * PROBES_UNTIL_STALE
        names = [
            name
            for name in sorted(servers)
            if not self.worker_load.barred_reason(class_config["pool"], name, stale_after_s)
        ]
        own_slots = math.floor(class_config["share"] * sum(servers[name]["slots"] for name in names))
        may_borrow = self.borrows and any(
            configuration["classes"][c].get("lends") for c in class_config.get("borrows", [])
        )
        slots_by_worker = {}
        for i, name in enumerate(names):
            share = integer_share(own_slots, i, len(names))
            free = self.slots_at(class_config, name, servers[name]["slots"], share)
            slots_by_worker[name] = free if may_borrow else min(free, share)
        return slots_by_worker

    def slots_at(self, class_config: Class, worker: str, slots: int, share: int) -> int:
        """Returns how many items of a class with these terms a worker may run, if live requests lend it their slots."""
        worker_state = self.worker_load.state_of(class_config["pool"], worker)
        # Slots used by live requests: what the worker reported, less the items that this scheduler ran there then.
        live = max(
            0,
            (worker_state.report.running + worker_state.report.waiting if worker_state.report else 0)
            - worker_state.in_flight_at_poll,
        )
        peak = max(0.0, worker_state.peak_use - worker_state.in_flight_at_poll)
        reserve = math.ceil(class_config.get("reserve", DEFAULT_RESERVE) * max(live, peak)) if self.reserves else 0
        return batch_slots(slots, share, live, reserve, self.worker_load.warm_part(class_config["pool"], worker) >= 1)

    def hand_back(self, configuration: Configuration, item_class: str, slots: dict[str, int]) -> None:
        """Cancels items at workers whose slots live requests need again; they wait here, and run again later.

        The items with the latest due times are cancelled first, and among equals those with the least output so far.
        """
        pool = configuration["classes"][item_class]["pool"]
        for worker, allowed in slots.items():
            running = [i for i in self.items.running() if i.worker == worker and i.item_class == item_class]
            surplus = len(running) - allowed
            if surplus <= 0:
                self.record_loan(pool, worker)
                continue
            self.surplus_since.setdefault((pool, worker), now())
            for item in sorted(running, key=lambda i: (-i.due, i.pieces))[:surplus]:
                self.recall(item)
            log_events.emit(LOAN_RECALLED, self.settings.name, server=worker, items=surplus)

    def record_loan(self, pool: str, worker: str) -> None:
        """Records how long it took to free the borrowed slots of a worker, if items were recalled there."""
        recalled_at = self.surplus_since.pop((pool, worker), None)
        if recalled_at is not None:
            self.loans.append((recalled_at, now() - recalled_at))
            del self.loans[:-MAX_RECORDED_LOANS]

    def recall(self, item: LeasedItem) -> None:
        """Cancels the run of an item; its lease is kept, and it waits to be placed again."""
        self.ended_items.labels(item.item_class, "put back").inc()
        self.recalled_items.inc()
        if item.task is not None:
            item.task.cancel()


@dataclass(eq=False)
class WorkerLimit:
    """The number of items of routes that one worker may run, adapted to whether it rejected or ran previous ones.

    `latest_done_start` is the loop time, in seconds, at which the youngest of its runs that ended as done began.
    `ended_runs_sign` is when the worker last sent something in a run that has ended, and `suspected_at` when a run was last
    given up although the worker had sent nothing in any other run since; both are loop times in seconds.
    Invariant: `max_items` is between 1 and the worker's number of slots.
    """

    max_items: float
    closed_until: float = 0.0  # loop time in seconds
    running: int = 0
    latest_done_start: float = -math.inf
    open_runs: OrderedSet[RunProgress] = field(default_factory=OrderedSet)
    ended_runs_sign: float = -math.inf
    suspected_at: float = -math.inf

    def rejected(self, pause: float) -> None:
        """Halves the limit after the worker rejected an item, and closes it to items for `pause` seconds."""
        self.max_items, self.closed_until = max(1.0, self.max_items / 2), now() + pause

    def completed(self, slots: int) -> None:
        """Raises the limit, up to the worker's slots, after it ran an item."""
        self.max_items = min(max(1.0, float(slots)), self.max_items + LIMIT_INCREASE)

    def record_done(self, started_at: float) -> None:
        """Records that a run that began at the loop time `started_at` ended as done."""
        self.latest_done_start = max(self.latest_done_start, started_at)

    def has_overtaken(self, progress: RunProgress) -> bool:
        """Returns whether the worker has done a run that began after it last sent something in this one."""
        return self.latest_done_start > progress.received_at

    @property
    def allowed(self) -> float:
        """The number of items that may run there now; 0 during the pause after a rejection."""
        return self.max_items if now() >= self.closed_until else 0.0

    @property
    def last_sign(self) -> float:
        """The loop time, in seconds, at which the worker last sent something in any run."""
        return max([self.ended_runs_sign, *(run.received_at for run in self.open_runs if run.has_received)])

    def record_silence(self, progress: RunProgress) -> None:
        """Suspects the worker after a run that was given up, unless it has sent something in another run meanwhile.

        Silence says nothing about how many items the worker can run, so `max_items` stays as it is.
        """
        if self.last_sign <= progress.received_at:
            self.suspected_at = now()

    @property
    def is_suspect(self) -> bool:
        """Whether the worker has sent nothing since it was suspected of being stuck."""
        # Most workers never were: then nothing is computed from their runs, however many these are.
        return self.suspected_at > -math.inf and self.suspected_at > self.last_sign

    @property
    def allowed_while_suspect(self) -> float:
        """The number of items that may run there while it is suspect: one trial, beside the runs from before."""
        earlier_runs = sum(run.started_at < self.suspected_at for run in self.open_runs)
        return min(self.allowed, 1.0 + earlier_runs)


@dataclass(eq=False)
class TakenSlot:
    """A slot that an item of a route takes at a worker, until it is released. It is released once."""

    limit: WorkerLimit
    is_taken: bool = True
    progress: RunProgress | None = None  # of the item's run, once it has begun

    def watch(self, progress: RunProgress) -> None:
        """Counts what the worker sends in this run among its signs of life."""
        self.progress = progress
        self.limit.open_runs.add(progress)

    def release(self) -> None:
        """Gives the slot back."""
        assert self.is_taken
        self.is_taken = False
        self.limit.running -= 1
        if self.progress is None:
            return
        self.limit.open_runs.discard(self.progress)
        if self.progress.has_received:
            self.limit.ended_runs_sign = max(self.limit.ended_runs_sign, self.progress.received_at)


@dataclass(eq=False)
class RouteCapacity:
    """Slots for the items of routes: those that live requests leave, within each worker's `WorkerLimit`.

    `live_load` returns the load that others put on each worker; None while nothing is known of it.
    """

    limits: dict[tuple[str, str], WorkerLimit] = field(default_factory=dict)  # (pool, worker) -> limit
    live_load: Callable[[], LoadReport | None] = lambda: None
    options: RoutingOptions = DEFAULT_OPTIONS
    usual_seconds: float = 0.0  # smoothed duration of a run; 0 before the first

    def record_run(self, seconds: float) -> None:
        """Updates `usual_seconds` with the duration of a run that ended."""
        self.usual_seconds = usual_seconds(self.usual_seconds, seconds)

    def take_slot(self, pool: str, worker: str) -> TakenSlot:
        """Takes a slot of a worker, which `free` has returned."""
        limit = self.limits[(pool, worker)]
        limit.running += 1
        return TakenSlot(limit)

    def free(self, configuration: Configuration, pool: str) -> dict[str, int]:
        """Returns how many more items each worker of a pool may get now; barred workers are left out."""
        servers = configuration["pools"][pool]["servers"]
        limits = {
            name: self.limits.setdefault((pool, name), WorkerLimit(max(1.0, float(server["slots"]))))
            for name, server in servers.items()
            if not self.barred(configuration, pool, name)
        }
        # If most workers seem to be stuck, it is likelier that answers are lost on their way.
        suspects_count = are_failures_credible(sum(limit.is_suspect for limit in limits.values()), len(limits))
        load = self.live_load()
        workers = []
        for name, limit in limits.items():
            allowed = limit.allowed_while_suspect if suspects_count and limit.is_suspect else limit.allowed
            other_load = None if load is None else load.get(name, IDLE)
            live, failing = (None, False) if other_load is None else (other_load.requests, other_load.fails_most)
            workers.append(ItemWorker(name, servers[name]["slots"], limit.running, live, allowed, failing))
        return free_item_slots(workers, self.options)

    def barred(self, configuration: Configuration, pool: str, worker: str) -> str:
        """Returns why a worker may get no items; empty if it may get some."""
        server = configuration["pools"][pool]["servers"].get(worker) if pool in configuration["pools"] else None
        if server is None:
            return "it left the manifest"
        if server.get("leave") or server.get("cold"):
            return "it leaves" if server.get("leave") else "it is cold"
        return "its area is evacuated" if server["area"] in configuration.get("evacuated", []) else ""

    def forget_removed(self, configuration: Configuration) -> None:
        """Drops the limits of idle workers that are no longer in the configuration."""
        pools = configuration["pools"]
        removed = [key for key in self.limits if key[0] not in pools or key[1] not in pools[key[0]]["servers"]]
        for key in removed:
            if self.limits[key].running == 0:
                del self.limits[key]

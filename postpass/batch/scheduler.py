"""The scheduler of a daemon: runs the items of jobs on the slots that live requests leave free.

It wires the election, which decides whether this scheduler is active; the dispatch loop, which leases items from the
owners of partitions; the capacity of the workers; the placement; and the runner, which runs each item at a worker. The
election tries to have one scheduler active at a time, but two may be for a while; the owners' leases and terms then
keep the two from running the same items.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Counter, Gauge
from result import Ok

from postpass.batch.capacity import ClassCapacity, RouteCapacity
from postpass.batch.dispatch import Dispatcher
from postpass.batch.item_run import ItemRunner
from postpass.batch.leased_items import LeasedItems
from postpass.batch.leased_items_status import least_progress, most_silent_run, register_leased_items_gauges
from postpass.batch.owner_client import OwnerClient
from postpass.batch.placement import Placement
from postpass.batch.run_names import RunNames
from postpass.batch.scheduler_election import SchedulerElection
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.worker_load import WorkerLoad
from postpass.routing.load_picture import LoadReport, WorkerUse
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import Environment

if TYPE_CHECKING:
    import aiohttp


@dataclass(eq=False)
class Scheduler:
    """The parts of a scheduler, and its interface to the daemon.

    States: standby, active, leaving (see `SchedulerElection`).
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    worker_load: WorkerLoad
    session: aiohttp.ClientSession
    registry: CollectorRegistry
    dialect: Dialect = field(default_factory=Dialect)
    items: LeasedItems = field(default_factory=LeasedItems)
    route_capacity: RouteCapacity = field(default_factory=RouteCapacity)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        ended_items, recalled_items = self.register_metrics()
        self.election = SchedulerElection(
            self.settings, self.environment, self.configuration_view, self.peer_links, self.items.drop_all
        )
        self.owners = OwnerClient(self.settings, self.configuration_view, self.peer_links)
        self.class_capacity = ClassCapacity(self.settings, self.worker_load, self.items, ended_items, recalled_items)
        self.runner = ItemRunner(
            self.settings, self.configuration_view, self.worker_load, self.session, self.election, self.owners,
            self.items, self.route_capacity, ended_items, self.wake,
            RunNames.of_process(self.settings.name, self.environment.wall()), self.dialect,
        )  # fmt: skip
        self.placement = Placement(
            self.settings, self.environment, self.configuration_view, self.items, self.route_capacity, self.runner
        )
        self.dispatcher = Dispatcher(
            self.settings, self.environment, self.configuration_view, self.election, self.owners, self.items,
            self.class_capacity, self.route_capacity, self.placement, ended_items, self.wake,
        )  # fmt: skip

    def register_metrics(self) -> tuple[Counter, Counter]:
        """Registers the scheduler's metrics.

        Returns the counter of runs by how they ended, and that of recalled items, whose runs were cancelled to give
        their slots back to live requests.
        """
        ended_items = Counter("postpass_items", "Items by class and end", ["kind", "end"], registry=self.registry)
        recalled_items = Counter("postpass_loans_back", "Items cancelled to hand room back", registry=self.registry)
        Gauge("postpass_items_running", "Items at workers", registry=self.registry).set_function(
            lambda: len(self.items.running())
        )
        Gauge("postpass_items_waiting", "Items held that wait for a slot", registry=self.registry).set_function(
            lambda: len(self.items.waiting())
        )
        register_leased_items_gauges(self.registry, self.items)
        Gauge("postpass_sched_active", "1 while this daemon schedules", registry=self.registry).set_function(
            lambda: float(self.active)
        )
        return ended_items, recalled_items

    @property
    def active(self) -> bool:
        """Whether this scheduler leases and runs items."""
        return self.election.active

    @property
    def poll_interval(self) -> float:
        """Seconds between two polls of workers and owners."""
        return self.dispatcher.poll_interval

    def tasks(self) -> list[Any]:
        """Returns the coroutines that the daemon runs until it stops."""
        return [self.election.run(), self.dispatcher.run()]

    async def on_wake(self, body: Body) -> PeerResponse:
        """Verb `wake`: the owner of partition `part` has new items."""
        self.dispatcher.woken_partitions.add(body["part"])
        self.wake.set()
        return Ok({})

    def own_use(self) -> LoadReport:
        """Returns how many items of routes run here, by worker."""
        counts: dict[str, int] = {}
        for (_, worker), limit in self.route_capacity.limits.items():
            if limit.running:
                counts[worker] = counts.get(worker, 0) + limit.running
        return {worker: WorkerUse(items=items) for worker, items in counts.items()}

    def on_load_update(self) -> None:
        """Wakes the dispatch loop after news of the workers' load, since a waiting item may find a slot now."""
        if self.active and any(item.request is not None for item in self.items.waiting()):
            self.wake.set()

    def leave(self) -> None:
        """Stops taking and starting items; running ones may finish."""
        self.election.leaving = True
        for item in self.items.waiting():
            self.items.drop(item)

    async def drain(self) -> None:
        """Waits until nothing runs here any more, then becomes a standby."""
        while running := [item.task for item in self.items if item.task is not None]:
            await asyncio.wait(running)
        self.election.set_active(False, "it is leaving")

    def status(self) -> Body:
        """Returns the scheduler's state for operators, by the keys of the daemon's status."""
        return {
            "active": self.active,
            "term": self.election.term,
            "held": len(self.items),
            "running": len(self.items.running()),
            "most_silent": most_silent_run(self.items),
            "least_progress": least_progress(self.items),
        }

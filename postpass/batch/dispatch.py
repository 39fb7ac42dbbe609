"""The dispatch loop: leases items from the owners of partitions, and places them on the workers' free slots."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from prometheus_client import Counter
from result import Err

from postpass.batch.capacity import ClassCapacity, RouteCapacity
from postpass.batch.free_slots import Slots
from postpass.batch.leased_items import ROUTE_CLASS, LeasedItem, LeasedItems
from postpass.batch.messages import TakeRequest, TakeResponse
from postpass.batch.owner_client import OwnerClient
from postpass.batch.placement import Placement
from postpass.batch.scheduler_election import SchedulerElection
from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import CONFLICT

POLLS_PER_HAND_BACK = 4  # rounds within the time in which a class hands back slots
DEFAULT_HAND_BACK = 1.0  # seconds within which a class hands back its slots to live requests
SLOTS_PER_PREFETCHED_ITEM = 4  # one further item is leased for this many slots of a route's pools
RUNS_PER_POLL = 16  # the most runs between two rounds in the longest interval between rounds
# That interval is this many times as long as placement waits for the responses of owners.
WAITS_PER_POLL = 8


@dataclass(eq=False)
class Dispatcher:
    """Leases and places items in rounds, and in between whenever a worker has a free slot or an owner has new items.

    A round recalls items where live requests came back, sends a lease request to all owners, and starts the items that
    they grant. `woken_partitions` holds the partitions whose owners have said since their last lease request that they
    have new items; `wake` is set with it. Runs between rounds keep a minimum interval, so that their cost does not grow
    with how often a worker or an owner wakes the loop. An owner that is slow to respond does not delay the items of
    others: its request stays in `lease_requests` and continues in the background, and its response wakes the loop.

    Invariant: at most one lease request to the owner of a partition is in flight.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    election: SchedulerElection
    owners: OwnerClient
    items: LeasedItems
    class_capacity: ClassCapacity
    route_capacity: RouteCapacity
    placement: Placement
    ended_items: Counter
    wake: asyncio.Event
    woken_partitions: set[int] = field(default_factory=set)
    lease_requests: dict[int, asyncio.Task[None]] = field(default_factory=dict)  # the request in flight, by partition

    @property
    def poll_interval(self) -> float:
        """Seconds between two rounds: several fit in the shortest hand-back time, and leases are renewed in time."""
        configuration = self.configuration_view.manifest
        classes = configuration["classes"].values() if configuration else []
        hand_backs = [
            class_config.get("handback", DEFAULT_HAND_BACK)
            for class_config in classes
            if class_config["kind"] == "batch"
        ]
        return min([self.settings.bounds.scheduling_pause, *(seconds / POLLS_PER_HAND_BACK for seconds in hand_backs)])

    async def run(self) -> None:
        """Runs rounds until it is cancelled; then cancels the lease requests in flight."""
        try:
            await self.run_rounds()
        finally:
            for lease_task in self.lease_requests.values():
                lease_task.cancel()

    async def run_rounds(self) -> None:
        """Runs rounds, and a run between two rounds whenever the loop is woken."""
        last_round = last_run = 0.0
        while True:
            pause = self.poll_interval * (0.9 + 0.2 * self.environment.chance.random())
            was_woken = await self.wait_until_woken(last_round + pause)
            if was_woken:
                # Whatever else wakes the loop during this minimum interval is served by the same run.
                await asyncio.sleep(last_run + self.settings.bounds.scheduling_pause / RUNS_PER_POLL - now())
            else:
                last_round = now()
            last_run = now()
            self.wake.clear()
            configuration = self.configuration_view.manifest
            if configuration is None or not self.election.active:
                continue
            if was_woken and not self.election.leaving:
                await self.run_between_rounds(configuration)
            elif self.configuration_view.fresh:
                await self.run_round(configuration)

    async def wait_until_woken(self, until: float) -> bool:
        """Waits to be woken, at most until the loop time `until`; returns whether it was woken before then.

        Once that time has come, a wake-up is ignored, so that it can't delay a round, which renews all leases. Yields
        to the event loop in any case, so that the tasks which the last run created begin.
        """
        if now() >= until:
            await asyncio.sleep(0)
            return False
        try:
            async with asyncio.timeout(max(0.0, until - now())):
                await self.wake.wait()
        except TimeoutError:
            return False
        return True

    async def run_round(self, configuration: Configuration) -> None:
        """Leases from all owners and starts items; a scheduler that is leaving only renews leases of running items."""
        if self.election.leaving:
            await self.lease_all(self.items.partitions(), {})
            return
        batch_classes = [
            name for name, class_config in configuration["classes"].items() if class_config["kind"] == "batch"
        ]
        slots = {name: self.class_capacity.slots(configuration, name) for name in batch_classes}
        for name in batch_classes:
            self.class_capacity.hand_back(configuration, name, slots[name])
        wanted = {name: self.wanted_of_class(name, slots[name]) for name in batch_classes}
        wanted |= self.wanted_of_routes(configuration)
        self.woken_partitions.clear()
        await self.lease_all(range(configuration["parts"]), wanted)
        if self.election.active:
            self.placement.place_prompts(configuration, slots)
            self.placement.place_requests(configuration)

    async def run_between_rounds(self, configuration: Configuration) -> None:
        """Leases only from owners that reported new items, and fills free slots with items of routes."""
        # An owner that reported new items while a request to it is in flight is asked again after that request ends.
        in_flight = {partition for partition in self.woken_partitions if partition in self.lease_requests}
        partitions, self.woken_partitions = self.woken_partitions - in_flight, in_flight
        if partitions and self.configuration_view.fresh:
            wanted = self.wanted_of_routes(configuration)
            if any(wanted.values()):
                await self.lease_all(partitions, wanted)
        if self.election.active:
            self.placement.place_requests(configuration)

    def wanted_of_class(self, item_class: str, slots: Slots) -> int:
        """Returns how many items of a class to request."""
        return max(0, sum(slots.values()) - sum(item.item_class == item_class for item in self.items))

    def wanted_of_routes(self, configuration: Configuration) -> dict[str, int]:
        """Returns how many items of each route to request: as many as slots are free, and some in advance."""
        self.route_capacity.forget_removed(configuration)
        if self.placement.runner.workers is None:
            return {}
        routes = configuration.get("routes", {}).items()
        return {
            f"{ROUTE_CLASS}{name}": self.wanted_of_route(configuration, name, route)
            for name, route in routes
            if route["kind"] == "lot"
        }

    def wanted_of_route(self, configuration: Configuration, name: str, route: Route) -> int:
        """Returns how many items of one route to request."""
        pools = [part["pool"] for part in route["split"] if part["weight"] > 0]
        free = sum(sum(self.route_capacity.free(configuration, pool).values()) for pool in pools)
        slots = sum(server["slots"] for pool in pools for server in configuration["pools"][pool]["servers"].values())
        waiting = [item for item in self.items.waiting() if item.item_class == f"{ROUTE_CLASS}{name}"]
        in_time = self.placement.count_in_time(configuration, waiting)
        # Waiting items that are late anyway, or beyond their client's share, must not keep out the others, however many
        # they are; but the number of items held here is bounded.
        return max(0, min(free + slots // SLOTS_PER_PREFETCHED_ITEM - in_time, free + slots - len(waiting)))

    async def lease_all(self, partitions: Iterable[int], wanted: dict[str, int]) -> None:
        """Requests leases from the owners of some partitions concurrently, except where a request is in flight.

        Waits for a fraction of the polling interval; a response that comes later wakes the loop.
        """
        lease_tasks = [
            self.start_lease_request(partition, wanted)
            for partition in partitions
            if partition not in self.lease_requests
        ]
        if not lease_tasks:
            return
        finished, unfinished = await asyncio.wait(
            lease_tasks, timeout=self.settings.bounds.scheduling_pause / WAITS_PER_POLL
        )
        for lease_task in finished:
            lease_task.result()
        for lease_task in unfinished:
            lease_task.add_done_callback(lambda _: self.wake.set())

    def start_lease_request(self, partition: int, wanted: dict[str, int]) -> asyncio.Task[None]:
        """Starts the lease request to the owner of a partition."""
        lease_task = self.lease_requests[partition] = asyncio.create_task(self.lease(partition, wanted))
        lease_task.add_done_callback(lambda _: self.lease_requests.pop(partition, None))
        return lease_task

    async def lease(self, partition: int, wanted: dict[str, int]) -> None:
        """Renews the lease of a partition and takes items; asks again at once while more wait than one response holds."""
        remaining = dict(wanted)
        while (take_response := await self.take(partition, remaining)) is not None and take_response.more:
            for grant in take_response.items:
                remaining[grant.item_class] -= 1
            self.wake.set()  # what has come is placed while the rest is requested
            # Without an item in the response nothing would be different the next time.
            if not take_response.items or not any(count > 0 for count in remaining.values()):
                return

    async def take(self, partition: int, wanted: dict[str, int]) -> TakeResponse | None:
        """Renews the lease of a partition and takes items, once; the lease runs from the time of the request.

        An owner that knows of a scheduler with a higher term refuses; the next request then has a term above that.
        Returns the owner's response; None if there was none, or if this scheduler is not the active one any more.
        """
        bounds = self.settings.bounds
        requested_at = now()
        request = TakeRequest(self.settings.name, self.election.term, wanted, self.items.unreported(partition))
        answer = await self.owners.ask(partition, "take", request.as_json(), bounds.scheduling_pause * 2)
        if isinstance(answer, Err):
            fault = answer.unwrap_err()
            if fault.code == CONFLICT and fault.hint.isdigit():
                self.election.exceed_term(int(fault.hint))
            return None
        if not self.election.active:
            return None
        self.items.leases[partition] = requested_at + bounds.item_lease
        take_response = TakeResponse.from_json(answer.unwrap())
        for job in take_response.stopped_jobs:
            for item in self.items.items_of_job(job):
                self.ended_items.labels(item.item_class, "ended").inc()
                self.items.drop(item)
        for grant in take_response.items:
            self.items.add(LeasedItem.from_grant(partition, grant))
        return take_response

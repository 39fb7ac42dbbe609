"""The dispatch loop: leases items from the owners of partitions, and hands them to the workers' free slots."""

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
from postpass.runtime.errors import CLASH

POLLS_PER_HAND_BACK = 4
DEFAULT_HAND_BACK = 1.0  # seconds within which a class hands back slots
AHEAD = 4  # one in so many slots of a route's pools is leased ahead, to go on with
RUNS_PER_POLL = 16  # at most so many runs between rounds in the longest pause between two rounds
WAITS_PER_POLL = 8  # that pause is so many times as long as owners' answers hold up the placing of items


@dataclass(eq=False)
class Dispatcher:
    """Works in rounds, and between them whenever a worker has a free slot or an owner has new items.

    A round recalls items where live requests came back, asks all owners, and starts what came. `woken` holds the
    partitions whose owners have said since the last question that they have something; `wake` is set with it. Runs
    between rounds keep a pause, so that what they cost does not grow with how often a worker or an owner wakes this.
    An owner that is slow to answer holds up no other's items: its question goes on by itself, in `asking`, and its answer
    wakes this. Invariant: of the questions to the owner of a partition one is under way at the most.
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
    woken: set[int] = field(default_factory=set)
    asking: dict[int, asyncio.Task[None]] = field(default_factory=dict)  # the question under way, by partition

    @property
    def poll_interval(self) -> float:
        """Seconds between two rounds: several within the shortest hand-back, and often enough for the leases."""
        configuration = self.configuration_view.manifest
        classes = configuration["classes"].values() if configuration else []
        hand_backs = [terms.get("handback", DEFAULT_HAND_BACK) for terms in classes if terms["kind"] == "batch"]
        return min([self.settings.bounds.poll, *(seconds / POLLS_PER_HAND_BACK for seconds in hand_backs)])

    async def run(self) -> None:
        """Runs rounds until it is cancelled."""
        try:
            await self.run_rounds()
        finally:
            for question in self.asking.values():
                question.cancel()

    async def run_rounds(self) -> None:
        """Runs rounds, and between them what wakes this."""
        last_round = last_run = 0.0
        while True:
            pause = self.poll_interval * (0.9 + 0.2 * self.environment.chance.random())
            woken = await self.woken_before(last_round + pause)
            if woken:
                # Whatever wakes this during the pause is served by the same run.
                await asyncio.sleep(last_run + self.settings.bounds.poll / RUNS_PER_POLL - now())
            else:
                last_round = now()
            last_run = now()
            self.wake.clear()
            configuration = self.configuration_view.manifest
            if configuration is None or not self.election.active:
                continue
            if woken and not self.election.leaving:
                await self.run_between_rounds(configuration)
            elif self.configuration_view.fresh:
                await self.run_round(configuration)

    async def woken_before(self, until: float) -> bool:
        """Waits to be woken, at the longest until that loop time; False if nothing came before it.

        Once that time has come a wake-up counts no more: a round, which renews all leases, is not put off by one. What the
        last run started begins in any case: a task that is cancelled before it began would never give its item back.
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
        """Asks all owners and starts items; a scheduler that leaves only keeps the leases of what still runs here."""
        if self.election.leaving:
            await self.lease_all(self.items.partitions(), {})
            return
        batch_classes = [name for name, terms in configuration["classes"].items() if terms["kind"] == "batch"]
        slots = {name: self.class_capacity.slots(configuration, name) for name in batch_classes}
        for name in batch_classes:
            self.class_capacity.hand_back(configuration, name, slots[name])
        wanted = {name: self.wanted_of_class(name, slots[name]) for name in batch_classes}
        wanted |= self.wanted_of_routes(configuration)
        self.woken.clear()
        await self.lease_all(range(configuration["parts"]), wanted)
        if self.election.active:
            self.placement.place_prompts(configuration, slots)
            self.placement.place_requests(configuration)

    async def run_between_rounds(self, configuration: Configuration) -> None:
        """Asks only the owners that have said they have something, and fills free slots with items of routes."""
        # Who has said so while its question is under way is asked again once that has come to its end.
        being_asked = {partition for partition in self.woken if partition in self.asking}
        partitions, self.woken = self.woken - being_asked, being_asked
        if partitions and self.configuration_view.fresh:
            wanted = self.wanted_of_routes(configuration)
            if any(wanted.values()):
                await self.lease_all(partitions, wanted)
        if self.election.active:
            self.placement.place_requests(configuration)

    def wanted_of_class(self, item_class: str, slots: Slots) -> int:
        """How many items of a class to ask for."""
        return max(0, sum(slots.values()) - sum(item.item_class == item_class for item in self.items))

    def wanted_of_routes(self, configuration: Configuration) -> dict[str, int]:
        """How many items of each route to ask for: what the free slots take, and some more to go on with."""
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
        """How many items of one route to ask for."""
        pools = [part["pool"] for part in route["split"] if part["weight"] > 0]
        free = sum(sum(self.route_capacity.free(configuration, pool).values()) for pool in pools)
        slots = sum(server["slots"] for pool in pools for server in configuration["pools"][pool]["servers"].values())
        waiting = [item for item in self.items.waiting() if item.item_class == f"{ROUTE_CLASS}{name}"]
        in_time = self.placement.kept_in_time(configuration, waiting)
        # Those that are late anyway, or beyond their client's share, must not keep out the others, however many they are;
        # but what is held has a bound.
        return max(0, min(free + slots // AHEAD - in_time, free + slots - len(waiting)))

    async def lease_all(self, partitions: Iterable[int], wanted: dict[str, int]) -> None:
        """Asks the owners of some partitions at once, but for those that are being asked, and waits for most answers."""
        questions = [self.ask_owner(partition, wanted) for partition in partitions if partition not in self.asking]
        if not questions:
            return
        answered, late = await asyncio.wait(questions, timeout=self.settings.bounds.poll / WAITS_PER_POLL)
        for question in answered:
            question.result()
        for question in late:
            question.add_done_callback(lambda _: self.wake.set())

    def ask_owner(self, partition: int, wanted: dict[str, int]) -> asyncio.Task[None]:
        """Starts the question to the owner of a partition."""
        question = self.asking[partition] = asyncio.create_task(self.lease(partition, wanted))
        question.add_done_callback(lambda _: self.asking.pop(partition, None))
        return question

    async def lease(self, partition: int, wanted: dict[str, int]) -> None:
        """Renews the lease of a partition and takes items; the lease runs from when it was asked for.

        An owner that has heard of a scheduler with a higher term refuses; the next question has a higher one.
        """
        bounds = self.settings.bounds
        asked = now()
        request = TakeRequest(self.settings.name, self.election.term, wanted, self.items.unreported(partition))
        answer = await self.owners.ask(partition, "take", request.as_json(), bounds.poll * 2)
        if isinstance(answer, Err):
            fault = answer.unwrap_err()
            if fault.code == CLASH and fault.hint.isdigit():
                self.election.outbid(int(fault.hint))
            return
        if not self.election.active:
            return
        self.items.leases[partition] = asked + bounds.lease
        taken = TakeResponse.from_json(answer.unwrap())
        for job in taken.stopped_jobs:
            for item in self.items.of_job(job):
                self.ended_items.labels(item.item_class, "ended").inc()
                self.items.drop(item)
        for grant in taken.items:
            self.items.add(LeasedItem.granted(partition, grant))

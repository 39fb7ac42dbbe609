"""Which worker gets which of the items that wait, and the start of their runs."""

from __future__ import annotations

import asyncio
import hashlib
import math
from collections import Counter
from dataclasses import dataclass

from postpass.batch.capacity import RouteCapacity
from postpass.batch.free_slots import FreeSlots, Slots
from postpass.batch.item_run import ItemRunner
from postpass.batch.leased_items import LeasedItem, LeasedItems, nearest_due
from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.routing.fair_share import Demand, fair_serving_order, has_single_client, within_shares
from postpass.routing.item_choice import choose_item_worker
from postpass.runtime.environment import Environment, now
from postpass.worker_api.plugins import Candidate, PlacementRequest, affinity_key, affinity_worker, place


def weighted_pool(key: str, split: list[tuple[str, int]]) -> str:
    """One of some pools by their weights, the same for the same key."""
    total = sum(weight for _, weight in split)
    point = int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big") % max(1, total)
    for pool, weight in split:
        point -= weight
        if point < 0:
            return pool
    return split[0][0]


def pools_of_jobs(configuration: Configuration) -> list[str]:
    """The pools that routes of jobs go to, each once."""
    parts = [
        part for route in configuration.get("routes", {}).values() if route["kind"] == "lot" for part in route["split"]
    ]
    pools = dict.fromkeys(part["pool"] for part in parts if part["weight"] > 0)
    return [pool for pool in pools if pool in configuration["pools"]]


def prompt_prefix(headers: dict[str, str], dialect: Dialect) -> str:
    """The first shared part of an item's prompt; empty if its headers don't tell one."""
    parts = next((value for name, value in headers.items() if name.lower() == dialect.prompt), "")
    return parts.split(",")[0].split(":")[0] if "," in parts else ""


def item_demand(item: LeasedItem) -> Demand:
    """What an item of a route asks for in a queue."""
    return Demand(item.due, item.client, 1, item.request["tokens"] if item.request is not None else 0)


def fair_order(items: list[LeasedItem]) -> list[LeasedItem]:
    """Nearest due first, to the second; among equals, the clients take turns."""
    turn: Counter[str] = Counter()
    ranked = []
    for item in sorted(items, key=nearest_due):
        turn[item.client] += 1
        ranked.append((math.floor(item.due), turn[item.client], item.due, item.item, item))
    return [row[-1] for row in sorted(ranked, key=lambda row: row[:4])]


@dataclass(eq=False)
class Placement:
    """Places waiting items on workers that have a free slot; an item that finds none goes on waiting."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    items: LeasedItems
    capacity: RouteCapacity
    runner: ItemRunner

    def place_prompts(self, configuration: Configuration, slots: dict[str, Slots]) -> None:
        """Starts items of classes; `slots` tells for each class how many items a worker may run, those running included."""
        for item in fair_order([i for i in self.items.waiting() if i.request is None]):
            class_slots = slots.get(item.item_class)
            if class_slots is None or self.items.lease_expired(item.partition):
                continue
            worker = self.prompt_worker(configuration, item, class_slots)
            if worker is None:
                continue
            item.worker, item.pieces = worker, 0
            pool = configuration["classes"][item.item_class]["pool"]
            item.task = asyncio.create_task(self.runner.run_prompt(configuration, pool, item))

    def prompt_worker(self, configuration: Configuration, item: LeasedItem, slots: Slots) -> str | None:
        """The worker that the class's plug-ins choose for an item; None if none has a free slot."""
        terms = configuration["classes"][item.item_class]
        servers = configuration["pools"][terms["pool"]]["servers"]
        load = Counter(i.worker for i in self.items.running())
        ask = PlacementRequest(item.item_class, item.prompt.shared, len(item.prompt.text), self.settings.zone)
        affine = affinity_worker(affinity_key(self.settings.name, terms.get("prefix", ""), ask), sorted(slots))
        candidates = tuple(
            Candidate(name, servers[name]["area"], free, servers[name]["slots"], load[name], name == affine)
            for name in slots
            if (free := slots[name] - load[name]) >= 1
        )
        return place(self.settings.name, terms.get("place", ""), ask, candidates) if candidates else None

    def place_requests(self, configuration: Configuration) -> None:
        """Starts items of routes, nearest due first, those that can't be done in time behind."""
        waiting = [i for i in self.items.waiting() if i.request is not None and i.not_before <= now()]
        if not waiting or self.runner.workers is None:
            return
        free, pools = self.free_slots(configuration), pools_of_jobs(configuration)
        if not free.any_in(pools):
            return
        by_due = sorted(waiting, key=nearest_due)
        rate = self.starting_rate(free, pools)
        for item in fair_serving_order(by_due, item_demand, self.earliest_due, rate, self.capacity.options):
            if not free.any_in(pools):
                return
            route = configuration.get("routes", {}).get(item.route)
            if route is None or self.configuration_view.revision < item.since:
                continue
            if not self.items.lease_expired(item.partition) and self.choose_pool(configuration, route, item):
                self.start_request(configuration, route, item, free)

    def free_slots(self, configuration: Configuration) -> FreeSlots:
        """The workers' free slots, for one placement run."""
        return FreeSlots(lambda pool: self.capacity.free(configuration, pool))

    def starting_rate(self, free: FreeSlots, pools: list[str]) -> float:
        """How many items of routes start in a second while there are enough; 0 before one was done."""
        if self.capacity.usual_seconds <= 0:
            return 0.0
        running = sum(limit.running for limit in self.capacity.limits.values())
        return (running + sum(sum(free.of(pool).values()) for pool in pools)) / self.capacity.usual_seconds

    def kept_in_time(self, configuration: Configuration, items: list[LeasedItem]) -> int:
        """How many of some waiting items can be done in time, within the shares of their clients."""
        earliest = self.earliest_due
        demands = [item_demand(item) for item in sorted(items, key=nearest_due) if item.due >= earliest]
        if not self.capacity.options.fair_items or has_single_client(demands):
            return len(demands)
        rate = self.starting_rate(self.free_slots(configuration), pools_of_jobs(configuration))
        return len(within_shares(demands, earliest, rate)[0])

    def start_request(self, configuration: Configuration, route: Route, item: LeasedItem, free: FreeSlots) -> None:
        """Starts an item of a route at a worker that has a free slot, which it takes; it goes on waiting if none has."""
        worker = self.request_worker(item, free.of(item.pool))
        if worker is None:
            return
        item.worker = worker
        free.take(item.pool, worker)
        self.capacity.limits[(item.pool, worker)].running += 1
        item.task = asyncio.create_task(self.runner.run_request(configuration, route, item))

    @property
    def earliest_due(self) -> float:
        """The first due time that an item of a route can meet which starts now, in seconds of the wall clock."""
        return self.environment.wall() + self.capacity.usual_seconds

    def choose_pool(self, configuration: Configuration, route: Route, item: LeasedItem) -> bool:
        """Places an item in a pool of its route, where it stays as long as the route goes there; False if there is none."""
        split = [
            (part["pool"], part["weight"])
            for part in route["split"]
            if part["weight"] > 0 and part["pool"] in configuration["pools"]
        ]
        if not split or item.request is None:
            return False
        if item.pool not in dict(split):
            item.pool = weighted_pool(item.request["id"], split)
        return True

    def request_worker(self, item: LeasedItem, rooms: Slots) -> str | None:
        """The worker for an item; None if none has room."""
        if item.request is None:
            return None
        key = prompt_prefix(item.request["headers"], self.runner.dialect) or item.job
        return choose_item_worker(rooms, key.encode(), self.capacity.options)

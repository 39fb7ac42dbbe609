"""Assigns waiting items to workers, and starts their runs."""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from dataclasses import dataclass

from postpass.batch.capacity import RouteCapacity
from postpass.batch.free_slots import FreeSlots, Slots
from postpass.batch.item_run import ItemRunner
from postpass.batch.leased_items import LeasedItem, LeasedItems, WaitReason, due_order
from postpass.configuration.configuration import Configuration, Route
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.routing.fair_share import Demand, fair_serving_order, has_single_client, split_by_fair_share
from postpass.routing.item_choice import choose_item_worker
from postpass.runtime.environment import Environment, now
from postpass.worker_api.plugins import Candidate, PlacementRequest, affinity_key, affinity_worker, place


def weighted_pool(key: str, split: list[tuple[str, int]]) -> str:
    """Returns one of the pools, chosen by their weights; always the same one for the same key."""
    total = sum(weight for _, weight in split)
    remaining = int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big") % max(1, total)
    for pool, weight in split:
        remaining -= weight
        if remaining < 0:
            return pool
    return split[0][0]


def pools_of_jobs(configuration: Configuration) -> list[str]:
    """Returns the pools that routes of jobs send items to, each once."""
    split_entries = [
        part for route in configuration.get("routes", {}).values() if route["kind"] == "lot" for part in route["split"]
    ]
    pools = dict.fromkeys(part["pool"] for part in split_entries if part["weight"] > 0)
    return [pool for pool in pools if pool in configuration["pools"]]


def prompt_prefix(headers: dict[str, str], dialect: Dialect) -> str:
    """Returns the first shared part of an item's prompt; empty if its headers don't name one."""
    prompt_parts = next((value for name, value in headers.items() if name.lower() == dialect.prompt), "")
    return prompt_parts.split(",")[0].split(":")[0] if "," in prompt_parts else ""


def item_demand(item: LeasedItem) -> Demand:
    """Returns the demand of an item of a route, for sharing slots fairly."""
    return Demand(item.due, item.client, 1, item.request["tokens"] if item.request is not None else 0)


def fair_order(items: list[LeasedItem]) -> list[LeasedItem]:
    """Returns items by due time, rounded down to a second; within a second, the clients take turns."""
    turns: Counter[str] = Counter()
    ranked = []
    for item in sorted(items, key=due_order):
        turns[item.client] += 1
        ranked.append((math.floor(item.due), turns[item.client], item.due, item.position, item))
    return [row[-1] for row in sorted(ranked, key=lambda row: row[:4])]


@dataclass(eq=False)
class Placement:
    """Places waiting items on workers that have a free slot; an item that finds none keeps waiting."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    items: LeasedItems
    capacity: RouteCapacity
    runner: ItemRunner

    def place_prompts(self, configuration: Configuration, slots: dict[str, Slots]) -> None:
        """Starts items of classes; `slots` has by class how many items each worker may run, including running ones."""
        for item in fair_order([i for i in self.items.waiting() if i.request is None]):
            class_slots = slots.get(item.item_class)
            if class_slots is None or self.items.lease_expired(item.partition):
                continue
            worker = self.worker_for_prompt(configuration, item, class_slots)
            if worker is None:
                continue
            item.worker, item.pieces = worker, 0
            pool = configuration["classes"][item.item_class]["pool"]
            self.runner.start_prompt(configuration, pool, item)

    def worker_for_prompt(self, configuration: Configuration, item: LeasedItem, slots: Slots) -> str | None:
        """Returns the worker that the class's plug-ins choose for an item; None if none has a free slot."""
        class_config = configuration["classes"][item.item_class]
        servers = configuration["pools"][class_config["pool"]]["servers"]
        load = Counter(i.worker for i in self.items.running())
        request = PlacementRequest(item.item_class, item.prompt.shared, len(item.prompt.text), self.settings.zone)
        affine_worker = affinity_worker(
            affinity_key(self.settings.name, class_config.get("prefix", ""), request), sorted(slots)
        )
        candidates = tuple(
            Candidate(name, servers[name]["area"], free, servers[name]["slots"], load[name], name == affine_worker)
            for name in slots
            if (free := slots[name] - load[name]) >= 1
        )
        return place(self.settings.name, class_config.get("place", ""), request, candidates) if candidates else None

    def place_requests(self, configuration: Configuration) -> None:
        """Starts items of routes, by due time; those that can't be done in time come last."""
        waiting = [i for i in self.items.waiting() if i.request is not None and i.not_before <= now()]
        if not waiting or self.runner.workers is None:
            return
        for item in waiting:
            item.passed_over = WaitReason.NO_FREE_SLOT
        free, pools = self.free_slots(configuration), pools_of_jobs(configuration)
        if not free.any_in(pools):
            return
        by_due = sorted(waiting, key=due_order)
        rate = self.starting_rate(free, pools)
        for item in fair_serving_order(by_due, item_demand, self.earliest_due, rate, self.capacity.options):
            if not free.any_in(pools):
                return
            route = configuration.get("routes", {}).get(item.route)
            if route is None:
                item.passed_over = WaitReason.NO_ROUTE
            elif self.configuration_view.revision < item.since:
                item.passed_over = WaitReason.OLD_CONFIGURATION
            elif self.items.lease_expired(item.partition):
                item.passed_over = WaitReason.LEASE_EXPIRED
            elif not self.choose_pool(configuration, route, item):
                item.passed_over = WaitReason.NO_POOL
            else:
                self.start_request(configuration, route, item, free)

    def free_slots(self, configuration: Configuration) -> FreeSlots:
        """Returns the workers' free slots, for one placement run."""
        return FreeSlots(lambda pool: self.capacity.free(configuration, pool))

    def starting_rate(self, free: FreeSlots, pools: list[str]) -> float:
        """Returns how many items of routes start per second while enough are waiting; 0 before the first was done."""
        if self.capacity.usual_seconds <= 0:
            return 0.0
        running = sum(limit.running for limit in self.capacity.limits.values())
        return (running + sum(sum(free.of(pool).values()) for pool in pools)) / self.capacity.usual_seconds

    def count_in_time(self, configuration: Configuration, items: list[LeasedItem]) -> int:
        """Returns how many of some waiting items can be done in time, within their clients' fair shares."""
        earliest = self.earliest_due
        demands = [item_demand(item) for item in sorted(items, key=due_order) if item.due >= earliest]
        if not self.capacity.options.fair_items or has_single_client(demands):
            return len(demands)
        rate = self.starting_rate(self.free_slots(configuration), pools_of_jobs(configuration))
        return len(split_by_fair_share(demands, earliest, rate)[0])

    def start_request(self, configuration: Configuration, route: Route, item: LeasedItem, free: FreeSlots) -> None:
        """Starts an item of a route at a worker with a free slot, and takes the slot; without one the item waits."""
        worker = self.worker_for_request(item, free.of(item.pool))
        if worker is None:
            return
        item.worker = worker
        free.take(item.pool, worker)
        self.runner.start_request(configuration, route, item)

    @property
    def earliest_due(self) -> float:
        """The earliest due time, in wall-clock seconds, that an item of a route can meet if it starts now."""
        return self.environment.wall() + self.capacity.usual_seconds

    def choose_pool(self, configuration: Configuration, route: Route, item: LeasedItem) -> bool:
        """Assigns an item to a pool of its route; returns whether there is one.

        The item keeps its pool as long as the route sends items there.
        """
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

    def worker_for_request(self, item: LeasedItem, slots: Slots) -> str | None:
        """Returns the worker for an item; None if none has a free slot.

        Among workers with equally many free slots, items with the same shared prompt prefix go to the same one; so do
        items of the same job if their headers name no prefix. A worker that fell silent in a run of the item is taken
        only if no other has a free slot.
        """
        if item.request is None:
            return None
        item_affinity_key = prompt_prefix(item.request["headers"], self.runner.dialect) or item.job
        slots = {worker: free for worker, free in slots.items() if worker not in item.silent_workers} or slots
        return choose_item_worker(slots, item_affinity_key.encode(), self.capacity.options)

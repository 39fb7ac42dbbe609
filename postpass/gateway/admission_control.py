"""Admission of requests at one edge: which request gets a worker of its class's pool, and when.

A request is admitted to the queue of its class or rejected (`admit`), waits there (`acquire`), is given a worker by
`dispatch`, and gives it back (`release`). All edges take part in the same pools without asking each other: each uses
its share of every class's share of a pool, and its share of every worker.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field
from typing import cast

from result import Err, Ok, Result

from postpass.configuration.configuration import Class, Configuration
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.admission_queue import AdmissionQueue, Waiter
from postpass.gateway.http_errors import EVACUATED, LEAVING
from postpass.gateway.worker_load import ISOLATED, OVERCOMMIT, WorkerLoad
from postpass.runtime.environment import now
from postpass.runtime.errors import CROWD, REJECTED, Fault, FaultError
from postpass.worker_api.openai import Prompt
from postpass.worker_api.plugins import Candidate, PlacementRequest, affinity_key, affinity_worker, place

STALE_POLLS = 4  # polls of a worker that may fail to come before it gets nothing new
QUEUE_ROUNDS = 4  # requests that wait, times those that may be under way: the default bound of a queue
DEFAULT_RESERVE = 0.1  # of a class's quota that it doesn't lend
DEFAULT_SECONDS = 0.1  # that a request is believed to take before any was measured


@dataclass(eq=False)
class AdmissionControl:
    """Invariants: a request holds at most one worker, and gives it back exactly once; queues are bounded by
    `queue_limit`; `in_flight` counts the requests that hold a worker, by class."""

    settings: Settings
    configuration_view: ConfigurationView
    worker_load: WorkerLoad
    queues: dict[str, AdmissionQueue] = field(default_factory=dict)  # by class
    in_flight: Counter[str] = field(default_factory=Counter)
    service_seconds: dict[str, float] = field(default_factory=dict)  # that a request takes, by class, smoothed
    leaving: bool = False  # this edge takes no new requests

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here; there must be one."""
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    @property
    def report_max_age(self) -> float:
        """Seconds after which a worker whose report wasn't renewed gets nothing new."""
        return self.settings.bounds.probe * STALE_POLLS

    def barred(self, pool: str, worker: str) -> str:
        """Why a worker gets nothing new; empty if it may."""
        return self.worker_load.barred(pool, worker, self.report_max_age)

    # --- shares
    def quota(self, class_name: str) -> int:
        """Requests that this edge may have under way: its part of the class's share of its pool."""
        request_class = self.configuration["classes"][class_name]
        pool = request_class["pool"]
        workers = self.configuration["pools"][pool]["servers"]
        slots = sum(self.worker_load.usable_slots(pool, w) for w in workers if not self.barred(pool, w))
        edges = max(1, len(self.configuration_view.duty("edge")))
        return max(1, math.ceil(request_class["share"] * slots * OVERCOMMIT / edges))

    def has_capacity(self, class_name: str) -> bool:
        """May one more request of the class be under way here, in its own share or in one that it may borrow?"""
        if self.in_flight[class_name] < self.quota(class_name):
            return True
        capacity, used = self.quota(class_name), self.in_flight[class_name]
        for lender in self.configuration["classes"][class_name].get("borrows", []):
            waiting = self.queues[lender].size if lender in self.queues else 0
            reserve = self.configuration["classes"][lender].get("reserve", DEFAULT_RESERVE)
            kept_back = math.ceil(reserve * self.quota(lender))
            if waiting == 0 and self.quota(lender) - self.in_flight[lender] > kept_back:
                capacity += self.quota(lender) - kept_back
                used += self.in_flight[lender]
        return used < capacity

    def candidates(self, class_name: str, preferred: str) -> tuple[Candidate, ...]:
        """The workers that may take one more request of this edge. `preferred`: the one that its affinity key points
        to."""
        pool_name = self.configuration["classes"][class_name]["pool"]
        pool = self.configuration["pools"][pool_name]
        edges = self.configuration_view.duty("edge")
        rank = edges.index(self.settings.name) if self.settings.name in edges else 0
        found: list[Candidate] = []
        spare: list[Candidate] = []
        quota = used = 0
        for name, server in pool["servers"].items():
            if self.barred(pool_name, name):
                continue
            state = self.worker_load.state_of(pool_name, name)
            mine = state.in_flight.total()
            if pool["kind"] == "model":
                slots = self.worker_load.usable_slots(pool_name, name)
                free = self.worker_load.quota(pool_name, name, rank, len(edges)) - mine
                reported = state.report.running + state.report.waiting if state.report else 0
                load = reported + max(0, mine - state.in_flight_at_poll)
                if load >= math.ceil(slots * OVERCOMMIT):
                    continue
            else:
                slots, load = server["slots"], mine
                free = max(1, math.ceil(server["slots"] * OVERCOMMIT / max(1, len(edges)))) - mine
            quota += free + mine
            used += mine
            if free >= 1:
                found.append(Candidate(name, server["area"], free, max(slots, 1), load, name == preferred))
            elif pool["kind"] != "model" or self.worker_load.warm_part(pool_name, name) >= 1:
                spare.append(Candidate(name, server["area"], 1, max(slots, 1), load, name == preferred))
        if quota <= 0 and used == 0 and spare:
            # More edges than slots, and this one has a share of no worker that is up: it may use one slot all the
            # same, at the worker its own name points to, so that edges left out don't all go to one. It adds at the
            # most one request an edge to the joint overrun, and none at a worker whose reported load is at its bound.
            chosen = affinity_worker(self.settings.name, sorted(c.name for c in spare))
            return tuple(c for c in spare if c.name == chosen)
        return tuple(found)

    # --- dispatch
    def dispatch(self) -> None:
        """Gives free slots to waiting requests, the classes of higher priority first."""
        if self.configuration_view.manifest is None:
            return
        classes = self.configuration["classes"]
        by_priority = sorted(self.queues, key=lambda name: -classes.get(name, cast(Class, {})).get("priority", 0))
        for class_name in by_priority:
            queue = self.queues[class_name]
            while (waiter := queue.peek()) is not None:
                if class_name not in classes or not self.has_capacity(class_name):
                    break
                candidates = self.candidates(class_name, waiter.preferred_worker)
                if not candidates:
                    break
                request_class = classes[class_name]
                request = PlacementRequest(class_name, waiter.shared, waiter.size, waiter.zone)
                worker = place(self.settings.name, request_class.get("place", ""), request, candidates)
                queue.pop()
                self.in_flight[class_name] += 1
                self.worker_load.state_of(request_class["pool"], worker).in_flight[class_name] += 1
                waiter.worker.set_result(worker)

    async def dispatch_loop(self) -> None:
        """Dispatches whenever the state of the workers has been read anew."""
        while True:
            freed = self.worker_load.freed
            await freed.wait()
            self.dispatch()

    def release(self, class_name: str, pool: str, worker: str) -> None:
        """Gives a worker back, and its slot to the next request."""
        self.in_flight[class_name] -= 1
        self.worker_load.state_of(pool, worker).in_flight[class_name] -= 1
        self.dispatch()

    def note_duration(self, class_name: str, seconds: float) -> None:
        """A request was done in so many seconds."""
        self.service_seconds[class_name] = 0.9 * self.service_seconds.get(class_name, seconds) + 0.1 * seconds

    # --- the queue
    def queue_limit(self, class_name: str) -> int:
        """How many may wait: by default four times what this edge may have under way when all workers are up."""
        request_class = self.configuration["classes"][class_name]
        slots = sum(s["slots"] for s in self.configuration["pools"][request_class["pool"]]["servers"].values())
        edges = max(1, len(self.configuration_view.duty("edge")))
        default = QUEUE_ROUNDS * max(1, math.ceil(request_class["share"] * slots * OVERCOMMIT / edges))
        return request_class.get("backlog", default)

    def expected_wait(self, class_name: str) -> float:
        """Seconds that a new request would wait, by what requests have lately taken."""
        queue = self.queues.get(class_name)
        waiting = queue.size if queue else 0
        return waiting * self.service_seconds.get(class_name, DEFAULT_SECONDS) / max(1, self.quota(class_name))

    def admit(self, class_name: str, seconds_left: float) -> Result[None, Fault]:
        """Rejects early: a request that would wait past its deadline is told so now."""
        queue = self.queues.setdefault(class_name, AdmissionQueue())
        name = self.settings.name
        if self.leaving:
            return Err(Fault("let in", name, LEAVING, REJECTED, hint="another edge"))
        if self.configuration_view.evacuated(name):
            return Err(Fault("let in", name, EVACUATED, REJECTED, hint="another edge"))
        if now() - self.configuration_view.last_contact > self.settings.bounds.deaf:
            return Err(Fault("let in", name, ISOLATED, REJECTED, hint="another edge"))
        if queue.size >= self.queue_limit(class_name):
            return Err(Fault("let in", name, f"the backlog of {class_name} is full ({queue.size})", CROWD))
        if self.expected_wait(class_name) > seconds_left:
            return Err(Fault("let in", name, f"the wait for {class_name} is past the deadline", REJECTED))
        return Ok(None)

    async def acquire(self, class_name: str, prompt: Prompt, client: str, seconds_left: float) -> str:
        """Waits for a worker and returns its name; it must be given back by `release`.

        Raises FaultError with an `unsent` fault if none is free within `seconds_left`.
        """
        request_class = self.configuration["classes"][class_name]
        pool = request_class["pool"]
        zone, size = self.settings.zone, len(prompt.text)
        request = PlacementRequest(class_name, prompt.shared, size, zone)
        key = affinity_key(self.settings.name, request_class.get("prefix", ""), request)
        workers = [w for w in sorted(self.configuration["pools"][pool]["servers"]) if not self.barred(pool, w)]
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiter = Waiter(client, affinity_worker(key, workers), zone, prompt.shared, size, future)
        queue = self.queues.setdefault(class_name, AdmissionQueue())
        queue.put(waiter)
        self.dispatch()
        try:
            async with asyncio.timeout(seconds_left):
                return await waiter.worker
        except TimeoutError as error:
            why = "no server is up" if not workers else "no server had room in time"
            raise FaultError(Fault("seat", self.settings.name, why, REJECTED, unsent=True)) from error
        finally:
            if not waiter.worker.done():
                waiter.worker.cancel()
            elif not waiter.worker.cancelled() and (task := asyncio.current_task()) is not None and task.cancelling():
                # The client left between the worker's being given and its being taken.
                self.release(class_name, pool, waiter.worker.result())
            queue.discard(waiter)

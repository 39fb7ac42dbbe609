"""Admission of requests at one edge: which request gets a worker of its class's pool, and when.

A request is admitted to the queue of its class or rejected (`admit`), waits there (`acquire`), is assigned a worker by
`dispatch`, and releases it at its end (`release`). All edges use the same pools without coordinating with each other:
each edge uses its share of every class's share of a pool, and its share of every worker.
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
from postpass.runtime.errors import REJECTED, TOO_MANY_REQUESTS, Fault, FaultError
from postpass.worker_api.openai import Prompt
from postpass.worker_api.plugins import Candidate, PlacementRequest, affinity_key, affinity_worker, place

MAX_MISSED_POLLS = 4  # polls of a worker that may be missed before it gets no new requests
QUEUE_LIMIT_FACTOR = 4  # the default limit of a queue, as a multiple of the requests that may be in flight
DEFAULT_RESERVED_FRACTION = 0.1  # part of a class's quota that it doesn't lend
DEFAULT_SERVICE_SECONDS = 0.1  # seconds; the assumed duration of a request before any was measured


@dataclass(eq=False)
class AdmissionControl:
    """Admits the requests of one edge and assigns workers to them.

    Invariants: a request holds at most one worker, and releases it exactly once; no queue is longer than its
    `queue_limit`; `in_flight` counts the requests that hold a worker, by class.
    """

    settings: Settings
    configuration_view: ConfigurationView
    worker_load: WorkerLoad
    queues: dict[str, AdmissionQueue] = field(default_factory=dict)  # by class
    in_flight: Counter[str] = field(default_factory=Counter)
    # By class, the moving average of a request's duration.
    service_seconds: dict[str, float] = field(default_factory=dict)
    leaving: bool = False  # this edge takes no new requests

    @property
    def configuration(self) -> Configuration:
        """The configuration in force at this edge. There must be one."""
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    @property
    def report_max_age(self) -> float:
        """The age in seconds from which a worker's report is too old for it to get new requests."""
        return self.settings.bounds.probe_interval * MAX_MISSED_POLLS

    def exclusion_reason(self, pool: str, worker: str) -> str:
        """Returns why a worker may get no new requests; empty if it may."""
        return self.worker_load.barred_reason(pool, worker, self.report_max_age)

    # --- shares
    def quota(self, class_name: str) -> int:
        """Returns how many requests of a class this edge may have in flight: its part of the class's share of the pool."""
        request_class = self.configuration["classes"][class_name]
        pool = request_class["pool"]
        workers = self.configuration["pools"][pool]["servers"]
        slots = sum(
            self.worker_load.usable_slots(pool, worker) for worker in workers if not self.exclusion_reason(pool, worker)
        )
        edges = max(1, len(self.configuration_view.duty("edge")))
        return max(1, math.ceil(request_class["share"] * slots * OVERCOMMIT / edges))

    def has_capacity(self, class_name: str) -> bool:
        """Returns whether one more request of the class may be in flight at this edge.

        Besides its own quota, a class may use that of the classes listed in its `borrows`, except for the reserved part
        of it. A class lends only while none of its own requests wait.
        """
        if self.in_flight[class_name] < self.quota(class_name):
            return True
        capacity, in_use = self.quota(class_name), self.in_flight[class_name]
        for lender in self.configuration["classes"][class_name].get("borrows", []):
            waiting = self.queues[lender].size if lender in self.queues else 0
            reserved_fraction = self.configuration["classes"][lender].get("reserve", DEFAULT_RESERVED_FRACTION)
            reserved = math.ceil(reserved_fraction * self.quota(lender))
            if waiting == 0 and self.quota(lender) - self.in_flight[lender] > reserved:
                capacity += self.quota(lender) - reserved
                in_use += self.in_flight[lender]
        return in_use < capacity

    def candidates(self, class_name: str, preferred: str) -> tuple[Candidate, ...]:
        """Returns the workers that may get one more request of this edge.

        `preferred`: the worker that the request's affinity key maps to.
        """
        pool_name = self.configuration["classes"][class_name]["pool"]
        pool = self.configuration["pools"][pool_name]
        edges = self.configuration_view.duty("edge")
        edge_rank = edges.index(self.settings.name) if self.settings.name in edges else 0
        available: list[Candidate] = []
        fallback_candidates: list[Candidate] = []
        quota = in_use = 0
        for name, server in pool["servers"].items():
            if self.exclusion_reason(pool_name, name):
                continue
            state = self.worker_load.state_of(pool_name, name)
            own_in_flight = state.in_flight.total()
            if pool["kind"] == "model":
                slots = self.worker_load.usable_slots(pool_name, name)
                free_slots = self.worker_load.quota(pool_name, name, edge_rank, len(edges)) - own_in_flight
                reported_load = state.report.running + state.report.waiting if state.report else 0
                load = reported_load + max(0, own_in_flight - state.in_flight_at_poll)
                if load >= math.ceil(slots * OVERCOMMIT):
                    continue
            else:
                slots, load = server["slots"], own_in_flight
                free_slots = max(1, math.ceil(server["slots"] * OVERCOMMIT / max(1, len(edges)))) - own_in_flight
            quota += free_slots + own_in_flight
            in_use += own_in_flight
            if free_slots >= 1:
                available.append(Candidate(name, server["area"], free_slots, max(slots, 1), load, name == preferred))
            elif pool["kind"] != "model" or self.worker_load.warm_part(pool_name, name) >= 1:
                fallback_candidates.append(Candidate(name, server["area"], 1, max(slots, 1), load, name == preferred))
        if quota <= 0 and in_use == 0 and fallback_candidates:
            # There are more edges than slots, and this edge's share of every worker that is up is zero. It may still
            # use one slot, at the worker that its own name maps to, so that the edges without a share don't all choose
            # the same worker. This exceeds the workers' joint capacity by at most one request for each such edge, and
            # never at a worker whose reported load has reached its limit.
            chosen = affinity_worker(self.settings.name, sorted(candidate.name for candidate in fallback_candidates))
            return tuple(candidate for candidate in fallback_candidates if candidate.name == chosen)
        return tuple(available)

    # --- dispatch
    def dispatch(self) -> None:
        """Assigns free slots to waiting requests, the classes of higher priority first."""
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
        """Dispatches each time new reports of the workers have been read. Runs until cancelled."""
        while True:
            freed = self.worker_load.polled
            await freed.wait()
            self.dispatch()

    def release(self, class_name: str, pool: str, worker: str) -> None:
        """Releases a worker, and assigns its slot to the next waiting request."""
        self.in_flight[class_name] -= 1
        self.worker_load.state_of(pool, worker).in_flight[class_name] -= 1
        self.dispatch()

    def note_duration(self, class_name: str, seconds: float) -> None:
        """Records how long a completed request took."""
        self.service_seconds[class_name] = 0.9 * self.service_seconds.get(class_name, seconds) + 0.1 * seconds

    # --- the queue
    def queue_limit(self, class_name: str) -> int:
        """Returns how many requests of a class may wait.

        The default is four times as many as this edge may have in flight while all workers are up.
        """
        request_class = self.configuration["classes"][class_name]
        slots = sum(
            server["slots"] for server in self.configuration["pools"][request_class["pool"]]["servers"].values()
        )
        edges = max(1, len(self.configuration_view.duty("edge")))
        default = QUEUE_LIMIT_FACTOR * max(1, math.ceil(request_class["share"] * slots * OVERCOMMIT / edges))
        return request_class.get("backlog", default)

    def expected_wait(self, class_name: str) -> float:
        """Returns how many seconds a new request would wait, estimated from the duration of recent requests."""
        queue = self.queues.get(class_name)
        waiting = queue.size if queue else 0
        return waiting * self.service_seconds.get(class_name, DEFAULT_SERVICE_SECONDS) / max(1, self.quota(class_name))

    def admit(self, class_name: str, seconds_left: float) -> Result[None, Fault]:
        """Admits a request to the queue of its class, or returns the fault for which it is rejected.

        A request that is expected to wait past its deadline is rejected now, not at its deadline.
        """
        queue = self.queues.setdefault(class_name, AdmissionQueue())
        name = self.settings.name
        if self.leaving:
            return Err(Fault("let in", name, LEAVING, REJECTED, hint="another edge"))
        if self.configuration_view.evacuated(name):
            return Err(Fault("let in", name, EVACUATED, REJECTED, hint="another edge"))
        if now() - self.configuration_view.last_contact > self.settings.bounds.isolation_time:
            return Err(Fault("let in", name, ISOLATED, REJECTED, hint="another edge"))
        if queue.size >= self.queue_limit(class_name):
            return Err(Fault("let in", name, f"the backlog of {class_name} is full ({queue.size})", TOO_MANY_REQUESTS))
        if self.expected_wait(class_name) > seconds_left:
            return Err(Fault("let in", name, f"the wait for {class_name} is past the deadline", REJECTED))
        return Ok(None)

    async def acquire(self, class_name: str, prompt: Prompt, client: str, seconds_left: float) -> str:
        """Waits for a worker and returns its name. The worker must be released with `release`.

        Raises FaultError with an `unsent` fault if no worker is free within `seconds_left`.
        """
        request_class = self.configuration["classes"][class_name]
        pool = request_class["pool"]
        zone, size = self.settings.zone, len(prompt.text)
        request = PlacementRequest(class_name, prompt.shared, size, zone)
        key = affinity_key(self.settings.name, request_class.get("prefix", ""), request)
        workers = [
            worker
            for worker in sorted(self.configuration["pools"][pool]["servers"])
            if not self.exclusion_reason(pool, worker)
        ]
        worker_future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiter = Waiter(client, affinity_worker(key, workers), zone, prompt.shared, size, worker_future)
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
                # The client disconnected after a worker was assigned and before this task took it.
                self.release(class_name, pool, waiter.worker.result())
            queue.discard(waiter)

"""Leases of items: a partition's owner leases waiting items to the one active scheduler, and records the results.

Only items of *covered* jobs are leased: those whose record is acknowledged as the partition's stability predicate
requires, and so replicated durably.
"""

from __future__ import annotations

import base64
import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import islice

from result import Err, Ok

from postpass.batch.abandonment import AbandonCause, log_abandoned_item, log_failure_counted
from postpass.batch.job import Job, JobState, JobView, item_class_of
from postpass.batch.messages import ItemGrant, ItemKey, ItemResult, ItemStatus, TakeRequest, TakeResponse
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.routing.fair_share import Demand, fair_serving_order
from postpass.routing.item_order import usual_seconds
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.response_budget import ResponseBudget
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD_REQUEST, CONFLICT, TIMED_OUT, Fault, FaultError
from postpass.worker_api.openai import Prompt

DEFAULT_TRIES = 5  # failures after which an item of a class is given up
GRANT_BYTES = 512  # of an item in a response, beside its texts, body and headers
OWNER_LEASE_FACTOR = 2  # an owner holds an item as leased for this many times the duration that a scheduler relies on


@dataclass(eq=False)
class Lease:
    """The lease of one item to a scheduler.

    Attributes:
        scheduler: Name of the scheduler that runs the item.
        expires_at: Monotonic time in seconds at which the item may be leased again, unless the lease is renewed.
        granted_at: Monotonic time in seconds at which the item was leased, as far as this owner knows.
    """

    scheduler: str
    expires_at: float
    granted_at: float


@dataclass(eq=False)
class OwnerState:
    """The state that an owner keeps in memory for leasing out items.

    Invariant: an item is leased to one scheduler at a time. Losing all of this costs repeated work, but breaks
    no promise to a client.

    Attributes:
        leases: The leases by item.
        term: Highest term under which a scheduler has asked.
        scheduler: Name of the scheduler of that term.
        usual_seconds: Smoothed seconds from an item's lease to its result; 0 before the first result.
        done_at: When this owner first saw a job ended, or a rejection, claim or loss, in monotonic seconds. The
            retention counts from then.
    """

    leases: dict[ItemKey, Lease] = field(default_factory=dict)
    term: int = 0
    scheduler: str = ""
    done_at: dict[str, float] = field(default_factory=dict)
    usual_seconds: float = 0.0

    def renew(self, request: TakeRequest, expires_at: float) -> None:
        """Renews the leases of the items that the scheduler says it holds, or creates them if this owner has none."""
        for key in request.leased:
            existing = self.leases.get(key)
            self.leases[key] = Lease(request.scheduler, expires_at, existing.granted_at if existing else now())

    def end_lease(self, key: ItemKey, status: str) -> None:
        """Removes the lease of an item that has a result; an item that is done updates `usual_seconds`."""
        lease = self.leases.pop(key, None)
        if lease is not None and status == ItemStatus.DONE:
            self.usual_seconds = usual_seconds(self.usual_seconds, now() - lease.granted_at)

    def oldest_lease(self) -> Body | None:
        """Returns the item that has been leased for longest, and to whom; None if none is leased.

        Keys: job, item (its position), scheduler, leased_s (seconds).
        """
        if not self.leases:
            return None
        key, lease = min(self.leases.items(), key=lambda entry: entry[1].granted_at)
        return {
            "job": key.job, "item": key.position, "scheduler": lease.scheduler,
            "leased_s": round(now() - lease.granted_at, 3),
        }  # fmt: skip

    def release_expired(self, view: JobView, request: TakeRequest, current_time: float) -> None:
        """Drops leases of jobs that no longer exist, and unrenewed ones that expired or belong to another scheduler."""
        renewed = set(request.leased)
        for key, lease in list(self.leases.items()):
            expired = lease.expires_at < current_time or lease.scheduler != request.scheduler
            if key.job not in view.jobs or (key not in renewed and expired):
                del self.leases[key]


def result_to_record(job: Job, position: int, result: ItemResult) -> ItemResult | None:
    """Returns the result to record for an item; None if it is tried again, and only the failure is to be counted."""
    of_route = "route" in job.body
    # An item of a route is reported as abandoned only if a worker said that it can never be done.
    if result.status == ItemStatus.DONE or (result.status == ItemStatus.ABANDONED and of_route):
        return result
    if job.failures(position) + 1 < (DEFAULT_TRIES if result.tries is None else result.tries):
        return None
    return ItemResult(ItemStatus.ABANDONED, "") if of_route else ItemResult(ItemStatus.FAILED, result.output)


def item_grant(job: Job, position: int) -> ItemGrant:
    """Returns an item with all that a scheduler needs to run it."""
    body, item_class = job.body, item_class_of(job.body)
    client = body.get("caller", "")
    if "route" not in body:
        prompt = Prompt(tuple(body.get("shared", [])), body["items"][position])
        return ItemGrant(job.id, position, item_class, body["due"], client, prompt)
    encoded = base64.b64encode(job.item_body(position) or b"").decode()
    return ItemGrant(
        job.id, position, item_class, body["due"], client,
        request=body["items"][position] | {"body": encoded}, tries=body["tries"], since=body.get("since", 0),
    )  # fmt: skip


def grant_bytes(job: Job, position: int) -> int:
    """Returns about how many bytes an item takes in a response: texts are escaped there, and bodies are base64."""
    item = job.body["items"][position]
    if "route" not in job.body:
        return GRANT_BYTES + len(json.dumps([*job.body.get("shared", []), item]))
    body_size: int = item["size"]
    return GRANT_BYTES + 4 * -(-body_size // 3) + len(json.dumps(item))


def job_demand(job: Job, leased: int) -> Demand:
    """Returns the demand of a job's items that wait and are not leased. For classes, clients are not distinguished."""
    waiting = max(0, job.size - len(job.results) - leased)
    client = job.body.get("caller", "") if "route" in job.body else ""
    return Demand(float(job.body["due"]), client, waiting, round(waiting * job.mean_tokens))


def ended_jobs(view: JobView, leased: list[ItemKey]) -> list[str]:
    """Returns those jobs of the leased items whose items need not run any more."""
    jobs = {name: view.jobs.get(name) for name in sorted({key.job for key in leased})}
    return [name for name, job in jobs.items() if job is None or job.state != JobState.OPEN or job.complete]


@dataclass(eq=False)
class Leases:
    """Leases out items of owned partitions.

    Owns an `OwnerState` for each partition, which is replaced by a new one whenever this store becomes the owner.
    """

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck
    owner_states: defaultdict[int, OwnerState] = field(default_factory=lambda: defaultdict(OwnerState))

    async def on_take(self, body: Body) -> PeerResponse:
        """Verb `take`: leases items of covered, open jobs in serving order to the scheduler of the highest term.

        A scheduler with a lower term is refused with CONFLICT, and the highest term as hint.
        """
        lookup = self.leadership.owned_partition(body["part"], "take")
        if isinstance(lookup, Err):
            return lookup
        partition, request = lookup.unwrap(), TakeRequest.from_json(body)
        state, current_time = self.owner_states[partition.id], now()
        if (request.term, request.scheduler) < (state.term, state.scheduler):
            why = f"scheduler {state.scheduler} has term {state.term}"
            return Err(Fault("take", self.table.settings.name, why, CONFLICT, str(state.term)))
        state.term, state.scheduler = request.term, request.scheduler
        expires_at = current_time + self.table.settings.bounds.item_lease * OWNER_LEASE_FACTOR
        # Before the first await: if a result arrives while this waits, its lease must not be created again afterwards.
        state.renew(request, expires_at)
        # The response starts a lease at the scheduler, so only a store that is still the owner may send it.
        if not await self.leadership.confirm(partition):
            return Err(Fault("take", self.table.settings.name, "could not be confirmed", TIMED_OUT))
        state.release_expired(partition.view, request, current_time)
        return Ok(self.grant(partition, state, request, expires_at).as_json())

    def grant(self, partition: Partition, state: OwnerState, request: TakeRequest, expires_at: float) -> TakeResponse:
        """Leases as many items of each class as are wanted and fit into a response, until the loop time `expires_at`.

        Where they don't fit, the scheduler asks again at once, so that the serving order is the same.
        """
        view = partition.view
        jobs = [
            job
            for job in view.jobs.values()
            if job.state == JobState.OPEN and not job.complete and job.seq <= partition.covered
        ]
        wanted, waiting = dict(request.wanted), dict.fromkeys(request.wanted, 0)
        budget = ResponseBudget()
        leased = Counter(key.job for key in state.leases if key.position not in view.jobs[key.job].results)
        grants = []
        if any(wanted.values()):
            jobs = self.in_serving_order(jobs, state, leased)
        for job in jobs:
            item_class = item_class_of(job.body)
            # Counted without listing them: the cost of a poll must not grow with the number of waiting items.
            waiting[item_class] = waiting.get(item_class, 0) + job.size - len(job.results) - leased[job.id]
            available_positions = (
                i for i in range(job.size) if i not in job.results and (job.id, i) not in state.leases
            )
            for position in list(islice(available_positions, max(wanted.get(item_class, 0), 0))):
                if not budget.accept(grant_bytes(job, position)):
                    break
                state.leases[ItemKey(job.id, position)] = Lease(request.scheduler, expires_at, now())
                grants.append(item_grant(job, position))
                wanted[item_class] -= 1
        return TakeResponse(grants, ended_jobs(view, request.leased), waiting, budget.exhausted)

    def in_serving_order(self, jobs: list[Job], state: OwnerState, leased: Counter[str]) -> list[Job]:
        """Returns jobs in the order in which their items are leased; `leased` has the number of leased items by job."""
        by_due = sorted(jobs, key=lambda job: (job.body["due"], job.seq))
        earliest = self.table.environment.wall() + state.usual_seconds
        # Items end per second: in the usual time of one item, as many end as are leased at a time.
        rate = leased.total() / state.usual_seconds if state.usual_seconds > 0 else 0.0
        return fair_serving_order(by_due, lambda job: job_demand(job, leased[job.id]), earliest, rate)

    async def on_done(self, body: Body) -> PeerResponse:
        """Verb `done`: records an item's result, unless it has one already; only a complete output is reported as done.

        Responds whether the result was recorded; BAD_REQUEST if the output doesn't match its checksum.
        """
        lookup = self.leadership.owned_partition(body["part"], "done")
        if isinstance(lookup, Err):
            return lookup
        partition, key = lookup.unwrap(), ItemKey(body["id"], body["item"])
        state = self.owner_states[partition.id]
        job = partition.view.jobs.get(key.job)
        state.end_lease(key, body["status"])
        if job is None or job.state != JobState.OPEN or key.position in job.results:
            return Ok({"taken": False})
        result = ItemResult.from_json(body)
        if result.status == ItemStatus.DONE and not result.intact:
            return Err(Fault("done", self.table.settings.name, "the output doesn't match its sum", BAD_REQUEST))
        if result.status == ItemStatus.FAILED and result.run in job.failed_runs(key.position):
            # The report of a run comes again: every failure counts once, whoever owned the partition when it first came.
            return Ok({"taken": False})
        recorded = result_to_record(job, key.position, result)
        try:
            if recorded is None:
                run = {"run": result.run} if result.run else {}
                self.owner.append(partition, "mark", {"failed": [key.job, key.position]} | run)
                log_failure_counted(self.table.settings.name, job, key.position, result)
                return Ok({"taken": False})
            self.owner.append(partition, "result", ItemResult(recorded.status, recorded.output).as_json(key))
        except FaultError as error:
            return Err(error.fault)
        if recorded.status != ItemStatus.DONE:
            cause = AbandonCause.IMPOSSIBLE if result.status == ItemStatus.ABANDONED else AbandonCause.FAILURES
            log_abandoned_item(self.table.settings.name, job, key.position, result, cause)
        return Ok({"taken": True})

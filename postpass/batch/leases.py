"""Leases of items: an owner hands out what waits to the one scheduler, and takes the results."""

from __future__ import annotations

import base64
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import islice

from result import Err, Ok

from postpass.batch.job import Job, JobState, JobView, item_class_of
from postpass.batch.messages import ItemGrant, ItemKey, ItemResult, ItemStatus, TakeRequest, TakeResponse
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.routing.fair_share import Demand, fair_serving_order
from postpass.routing.item_order import usual_seconds
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, CLASH, SLOW, Fault, FaultError
from postpass.worker_api.openai import Prompt

DEFAULT_TRIES = 5  # failures that an item of a class may have
LEASES_KEPT = 2  # an owner counts an item as leased for so many times the bound that a scheduler goes by


@dataclass(eq=False)
class Lease:
    """One item in the hands of a scheduler.

    Attributes:
        scheduler: Name of the scheduler that runs the item.
        until: Monotonic time in seconds at which the item may be handed out again, unless it is renewed.
        since: Monotonic time in seconds at which it was handed out, as far as this owner knows.
    """

    scheduler: str
    until: float
    since: float


@dataclass(eq=False)
class OwnerState:
    """What an owner keeps in memory to hand out items.

    Invariant: an item is leased to one scheduler at a time. Losing all of this costs repeated work, never a promise.

    Attributes:
        leases: The items that schedulers run.
        term: Highest term of a scheduler that has asked.
        scheduler: Name of the scheduler of that term.
        usual_seconds: How long it takes from a lease to the item's result, smoothed; 0 before the first.
        done_at: When this owner first saw a job ended, or a rejection, claim or loss, in monotonic seconds; for retention.
    """

    leases: dict[ItemKey, Lease] = field(default_factory=dict)
    term: int = 0
    scheduler: str = ""
    done_at: dict[str, float] = field(default_factory=dict)
    usual_seconds: float = 0.0

    def renew(self, request: TakeRequest, until: float) -> None:
        """Leases what a scheduler says that it holds."""
        for key in request.leased:
            known = self.leases.get(key)
            self.leases[key] = Lease(request.scheduler, until, known.since if known else now())

    def end_lease(self, key: ItemKey, status: str) -> None:
        """The item's result came; learns how long one that was done took."""
        lease = self.leases.pop(key, None)
        if lease is not None and status == ItemStatus.DONE:
            self.usual_seconds = usual_seconds(self.usual_seconds, now() - lease.since)

    def release_expired(self, view: JobView, request: TakeRequest, moment: float) -> None:
        """Forgets leases of jobs that are gone, and those not renewed that expired or were another scheduler's."""
        renewed = set(request.leased)
        for key, lease in list(self.leases.items()):
            lost = lease.until < moment or lease.scheduler != request.scheduler
            if key.job not in view.jobs or (key not in renewed and lost):
                del self.leases[key]


def outcome(job: Job, position: int, result: ItemResult) -> ItemResult | None:
    """What is recorded of an item's result; None if the item is tried again, and the failure is to be counted."""
    of_route = "route" in job.body
    # A worker said of an abandoned item of a route that it can never be done.
    if result.status == ItemStatus.DONE or (result.status == ItemStatus.ABANDONED and of_route):
        return result
    if job.failures(position) + 1 < (DEFAULT_TRIES if result.tries is None else result.tries):
        return None
    return ItemResult(ItemStatus.ABANDONED, "") if of_route else ItemResult(ItemStatus.FAILED, result.output)


def item_grant(job: Job, position: int) -> ItemGrant:
    """An item as a scheduler needs it."""
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


def job_demand(job: Job, leased: int) -> Demand:
    """What the items of a job that wait, and are not leased, ask for. Those of classes are not told apart by client."""
    waiting = max(0, job.size - len(job.results) - leased)
    client = job.body.get("caller", "") if "route" in job.body else ""
    return Demand(float(job.body["due"]), client, waiting, round(waiting * job.mean_tokens))


def ended_jobs(view: JobView, leased: list[ItemKey]) -> list[str]:
    """The jobs of some leased items whose items need not run any more."""
    jobs = {name: view.jobs.get(name) for name in sorted({key.job for key in leased})}
    return [name for name, job in jobs.items() if job is None or job.state != JobState.OPEN or job.complete]


@dataclass(eq=False)
class Leases:
    """Hands out items of owned partitions. Owns an `OwnerState` for each; it is dropped when an ownership begins."""

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck
    owner_states: defaultdict[int, OwnerState] = field(default_factory=lambda: defaultdict(OwnerState))

    async def on_take(self, body: Body) -> PeerResponse:
        """Hands out items of covered, open jobs, in their serving order, to the one scheduler of the highest term.

        A lower one is refused: CLASH, with the highest term as hint.
        """
        got = self.leadership.owned_partition(body["part"], "take")
        if isinstance(got, Err):
            return got
        partition, request = got.unwrap(), TakeRequest.from_json(body)
        state, moment = self.owner_states[partition.id], now()
        if (request.term, request.scheduler) < (state.term, state.scheduler):
            why = f"scheduler {state.scheduler} has term {state.term}"
            return Err(Fault("take", self.table.settings.name, why, CLASH, str(state.term)))
        state.term, state.scheduler = request.term, request.scheduler
        until = moment + self.table.settings.bounds.lease * LEASES_KEPT
        # Before anything is waited for: an item whose end is told right after this question is leased no longer.
        state.renew(request, until)
        # The answer starts a lease at the scheduler: only an owner that is one now may give it.
        if not await self.leadership.confirm(partition):
            return Err(Fault("take", self.table.settings.name, "could not be confirmed", SLOW))
        state.release_expired(partition.view, request, moment)
        return Ok(self.grant(partition, state, request, until).as_json())

    def grant(self, partition: Partition, state: OwnerState, request: TakeRequest, until: float) -> TakeResponse:
        """Leases as many items of each class as are wanted, until that loop time."""
        view = partition.view
        jobs = [
            job
            for job in view.jobs.values()
            if job.state == JobState.OPEN and not job.complete and job.seq <= partition.covered
        ]
        wanted, waiting = dict(request.wanted), dict.fromkeys(request.wanted, 0)
        leased = Counter(key.job for key in state.leases if key.item not in view.jobs[key.job].results)
        grants = []
        by_due = sorted(jobs, key=lambda job: (job.body["due"], job.seq))
        earliest = self.table.environment.wall() + state.usual_seconds
        # As many are leased at a time as end in the usual time.
        rate = leased.total() / state.usual_seconds if state.usual_seconds > 0 else 0.0
        for job in fair_serving_order(by_due, lambda job: job_demand(job, leased[job.id]), earliest, rate):
            item_class = item_class_of(job.body)
            # Counted, not listed: what a poll costs must not grow with all items that wait.
            waiting[item_class] = waiting.get(item_class, 0) + job.size - len(job.results) - leased[job.id]
            free = (i for i in range(job.size) if i not in job.results and (job.id, i) not in state.leases)
            for position in list(islice(free, max(wanted.get(item_class, 0), 0))):
                state.leases[ItemKey(job.id, position)] = Lease(request.scheduler, until, now())
                grants.append(item_grant(job, position))
                wanted[item_class] -= 1
        return TakeResponse(grants, ended_jobs(view, request.leased), waiting)

    async def on_done(self, body: Body) -> PeerResponse:
        """Records an item's result; only a whole output comes here as done. The first one wins.

        Answers whether it was taken; BAD if the output doesn't fit its checksum.
        """
        got = self.leadership.owned_partition(body["part"], "done")
        if isinstance(got, Err):
            return got
        partition, key = got.unwrap(), ItemKey(body["id"], body["item"])
        state = self.owner_states[partition.id]
        job = partition.view.jobs.get(key.job)
        state.end_lease(key, body["status"])
        if job is None or job.state != JobState.OPEN or key.item in job.results:
            return Ok({"taken": False})
        result = ItemResult.from_json(body)
        if result.status == ItemStatus.DONE and not result.intact:
            return Err(Fault("done", self.table.settings.name, "the output doesn't match its sum", BAD))
        recorded = outcome(job, key.item, result)
        try:
            if recorded is None:
                self.owner.append(partition, "mark", {"failed": [key.job, key.item]})
                return Ok({"taken": False})
            self.owner.append(partition, "result", ItemResult(recorded.status, recorded.output).as_json(key))
        except FaultError as stop:
            return Err(stop.fault)
        return Ok({"taken": True})

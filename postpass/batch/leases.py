"""Leases of items: an owner hands out what waits to the one scheduler, and takes the results."""

from __future__ import annotations

import base64
import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import islice

from result import Err, Ok

from postpass.batch.job import Job, kind_of
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.rpc.peer_links import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, CLASH, SLOW, Fault, Stop

ItemKey = tuple[str, int]  # a job and the number of one of its items


@dataclass(eq=False)
class Lease:
    """One item in the hands of a scheduler.

    Attributes:
        scheduler: Name of the scheduler that runs the item.
        until: Monotonic time in seconds at which the item may be handed out again, unless it is renewed.
    """

    scheduler: str
    until: float


@dataclass(eq=False)
class OwnerState:
    """What an owner keeps in memory to hand out items.

    Invariant: an item is leased to one scheduler at a time. Losing all of this costs repeated work, never a promise.

    Attributes:
        leases: The items that schedulers run.
        tries: How often an item has failed under this ownership.
        term: Highest term of a scheduler that has asked.
        scheduler: Name of the scheduler of that term.
        done_at: When this owner first saw a job ended, or a refusal, claim or loss, in monotonic seconds; for retention.
    """

    leases: dict[ItemKey, Lease] = field(default_factory=dict)
    tries: Counter[ItemKey] = field(default_factory=Counter)
    term: int = 0
    scheduler: str = ""
    done_at: dict[str, float] = field(default_factory=dict)


def item_row(job: Job, number: int, kind: str) -> Body:
    """An item as a scheduler gets it."""
    row = {
        "lot": job.id,
        "item": number,
        "class": kind,
        "due": job.body["due"],
        "caller": job.body.get("caller", ""),
    }
    item = job.body["items"][number]
    if "route" in job.body:
        encoded = base64.b64encode(job.item_body(number) or b"").decode()
        row |= {"call": item | {"body": encoded}, "tries": job.body["tries"]}
        row["since"] = job.body.get("since", 0)
    else:
        row |= {"text": item, "shared": job.body.get("shared", [])}
    return row


@dataclass(eq=False)
class Leases:
    """Hands out items of owned partitions. Owns an `OwnerState` for each; it is dropped when an ownership begins."""

    table: PartitionTable
    owner: PartitionOwner
    leadership: LeadershipCheck
    owner_states: defaultdict[int, OwnerState] = field(default_factory=lambda: defaultdict(OwnerState))

    async def on_take(self, body: Body) -> PeerResponse:
        """Hands out items of covered, open jobs, nearest due time first, to the one scheduler of the
        highest term; a lower one is refused."""
        got = self.leadership.owned_partition(body["part"], "take")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        state, moment = self.owner_states[partition.id], now()
        if (body["term"], body["sched"]) < (state.term, state.scheduler):
            return Err(
                Fault(
                    "take",
                    self.table.settings.name,
                    f"scheduler {state.scheduler} has term {state.term}",
                    CLASH,
                    str(state.term),
                )
            )
        if (body["term"], body["sched"]) != (state.term, state.scheduler):
            state.term, state.scheduler = body["term"], body["sched"]
        # Before anything is waited for: an item whose end is told right after this question is leased no longer.
        held = {(job, item) for job, item in body["held"]}
        until = moment + self.table.settings.bounds.lease * 2
        for key in held:
            state.leases[key] = Lease(body["sched"], until)
        # The answer starts a lease at the scheduler: only an owner that is one now may give it.
        if not await self.leadership.confirm(partition):
            return Err(Fault("take", self.table.settings.name, "could not be confirmed", SLOW))
        self.drop_leases(partition, state, held, body["sched"], moment)
        items, ahead = self.lease_items(partition, state, dict(body["room"]), body["sched"], until)
        return Ok({"items": items, "stop": self.ended_jobs(partition, held), "ahead": ahead})

    def drop_leases(
        self, partition: Partition, state: OwnerState, held: set[ItemKey], scheduler: str, moment: float
    ) -> None:
        """Drops leases of jobs that are gone, and those that the scheduler does not name and that ran out or were
        another's."""
        for key in [
            k
            for k, lease in state.leases.items()
            if k[0] not in partition.view.jobs
            or (k not in held and (lease.until < moment or lease.scheduler != scheduler))
        ]:
            del state.leases[key]

    def ended_jobs(self, partition: Partition, held: set[ItemKey]) -> list[str]:
        """Jobs among those held by the scheduler of which nothing is to be run any more."""
        jobs = partition.view.jobs
        return [
            name
            for name in sorted({name for name, _ in held})
            if name not in jobs or jobs[name].state != "open" or jobs[name].complete
        ]

    def lease_items(
        self, partition: Partition, state: OwnerState, need: dict[str, int], scheduler: str, until: float
    ) -> tuple[list[Body], dict[str, int]]:
        """Leases waiting items, as many of each class as the scheduler has room for.

        Returns:
            The items, and the number of items that wait, by class.
        """
        jobs = sorted(
            (
                job
                for job in partition.view.jobs.values()
                if job.state == "open" and not job.complete and job.seq <= partition.covered
            ),
            key=lambda job: (job.body["due"], job.seq),
        )
        leased = Counter(name for name, item in state.leases if item not in partition.view.jobs[name].results)
        items: list[Body] = []
        ahead = dict.fromkeys(need, 0)
        for job in jobs:
            kind = kind_of(job.body)
            # Counted, not listed: what a poll costs must not grow with all items that wait.
            ahead[kind] = ahead.get(kind, 0) + job.size - len(job.results) - leased[job.id]
            free = (i for i in range(job.size) if i not in job.results and (job.id, i) not in state.leases)
            for i in list(islice(free, max(need.get(kind, 0), 0))):
                state.leases[(job.id, i)] = Lease(scheduler, until)
                items.append(item_row(job, i, kind))
                need[kind] -= 1
        return items, ahead

    async def on_done(self, body: Body) -> PeerResponse:
        """Records an item's result; only a whole output comes here as done. The first one wins."""
        got = self.leadership.owned_partition(body["part"], "done")
        if isinstance(got, Err):
            return got
        partition, key = got.unwrap(), (body["id"], body["item"])
        state = self.owner_states[partition.id]
        job = partition.view.jobs.get(body["id"])
        state.leases.pop(key, None)
        if job is None or job.state != "open" or body["item"] in job.results:
            return Ok({"taken": False})
        status, output = body["status"], body["output"]
        if status == "done" and hashlib.sha256(output.encode()).hexdigest()[:16] != body["sum"]:
            return Err(Fault("done", self.table.settings.name, "the output doesn't match its sum", BAD))
        if status == "abandoned" and "route" in job.body:
            pass  # a worker said that it can never be done
        elif status != "done":
            state.tries[key] += 1
            if state.tries[key] < int(body.get("tries", 5)):
                return Ok({"taken": False})
            status = "abandoned" if "route" in job.body else "failed"
            output = "" if "route" in job.body else output
        try:
            self.owner.append(
                partition, "result", {"id": body["id"], "item": body["item"], "status": status, "output": output}
            )
        except Stop as bad:
            return Err(bad.fault)
        state.tries.pop(key, None)
        return Ok({"taken": True})

"""What one job costs, from its acceptance to its last result."""

from __future__ import annotations

import asyncio
import logging as pylog
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from bench.capacity.meter import Meter, Row, metered
from bench.capacity.simulated_fleet import FOUNDING_LIMIT, active_schedulers, announced_fleet
from postpass.batch import job_api
from postpass.configuration.configuration import partition_of
from postpass.membership.machine_registry import INITIAL_PARTITIONS
from postpass.replication.partition import Partition
from sim.announced import AnnouncedFleet, Sizes
from sim.clients import Job
from sim.hollow import hand_in
from sim.loop import SimLoop, run_sim
from sim.workers import Engine

SIZES = Sizes(edges=2, stores=8, cores=3, zones=4, models=8, plains=2, slots=32)
SETTLE = 6.0  # seconds
QUIET = 4.0  # seconds for which the stores are watched without jobs
LIMIT = 35.0  # seconds until all results are there
POLL = 0.05  # seconds
NO_ITEM_LIMIT = 10**9
ACCEPTED = 202


def lot_row(items: int, lifted: bool = False) -> Row:
    """One job of so many items of two events each, from its acceptance until every result is there; `lifted`: without
    the platform's limit on the items of a job."""
    pylog.disable(pylog.CRITICAL)
    if lifted:
        job_api.find_job_error.__defaults__ = (NO_ITEM_LIMIT,)

    async def main(loop: SimLoop) -> Row:
        fleet = announced_fleet(loop, SIZES, Engine(pace=0.005, crowd=0.0))
        fleet.kinds["batch"] = replace(fleet.kinds["batch"], size=(2, 2), shared=(10, 50), own=50)
        await fleet.found_announced(FOUNDING_LIMIT)
        await asyncio.sleep(SETTLE)
        active = list(active_schedulers(fleet))
        with metered() as meter:
            run = JobRun(loop, fleet, meter, active, _job_apart(fleet, items, active), items)
            outcome = await run.measure()
        return {"items": items, "lifted": lifted, "body": len(run.job.body)} | outcome

    row: Row = run_sim(main, 1)
    return row


def _job_apart(fleet: AnnouncedFleet, items: int, active: Sequence[str]) -> Job:
    """A job whose owner doesn't schedule, so that the costs of both are told apart."""
    owners = {p.id: name for name, store in fleet.stores() for p in store.partitions.values() if p.owning}
    while True:
        job = fleet.clients.make_lot(fleet.kinds["batch"], items)
        if owners[partition_of(job.id, INITIAL_PARTITIONS)] not in active:
            return job


@dataclass(eq=False)
class JobRun:
    """One job, handed in and watched to its end. `idle` is the processor time of each host in a second without jobs, in
    nanoseconds."""

    loop: SimLoop
    fleet: AnnouncedFleet
    meter: Meter
    active: Sequence[str]  # names of the stores that schedule
    job: Job
    items: int
    idle: dict[str, float] = field(default_factory=dict)

    async def measure(self) -> Row:
        """What it cost by role, or how it was refused."""
        await asyncio.sleep(QUIET)
        self.idle = {name: spent / QUIET for name, spent in self.meter.cpu.items()}
        self.meter.reset()
        began = self.loop.clock
        status, body = await self.fleet.out(hand_in(self.fleet, self.fleet.kinds["batch"], self.job))
        if status != ACCEPTED:
            return {"status": status, "why": body[:120].decode("latin-1")}
        accepted = {"status": status, "accepted_s": self.loop.clock - began}
        accept_cpu, accept_sent = Counter(self.meter.cpu), Counter(self.meter.sent)
        while self.loop.clock - began < LIMIT and self.items not in self._result_counts():
            await asyncio.sleep(POLL)
        took = self.loop.clock - began
        stores = [machine.name for machine in self.fleet.of("store")]
        return (
            accepted
            | {"whole_s": took, "done": max(self._result_counts(), default=0)}
            | {
                "accept_edge_ms": accept_cpu[self.fleet.fronts()[0][0]] / 1e6,
                "accept_stores_ms": sum(accept_cpu[name] for name in stores) / 1e6,
                "accept_sent": sum(accept_sent[name] for name in stores),
            }
            | self._cost_by_role(took)
            | {"stores_ms": self._spent(stores, took), "stores_sent": sum(self.meter.sent[name] for name in stores)}
        )

    def _partitions(self) -> list[tuple[str, Partition]]:
        """All replicas of partitions, with the names of their stores."""
        return [(name, p) for name, store in self.fleet.stores() for p in store.partitions.values()]

    def _owned(self) -> list[tuple[str, Partition]]:
        return [(name, p) for name, p in self._partitions() if p.owning and self.job.id in p.view.jobs]

    def _result_counts(self) -> list[int]:
        """How many results each owner of the job has; there are two owners for a while where one is replaced."""
        return [len(partition.view.jobs[self.job.id].order) for _, partition in self._owned()]

    def _cost_by_role(self, took: float) -> Row:
        partition_id = partition_of(self.job.id, INITIAL_PARTITIONS)
        mirrors = [
            name for name, p in self._partitions() if not p.owning and p.id == partition_id and name not in self.active
        ]
        return {
            "owner_ms": self._spent([name for name, _ in self._owned()], took),
            "sched_ms": self._spent(self.active, took),
            "mirror_ms": self._spent(mirrors, took) / max(1, len(mirrors)),
        }

    def _spent(self, names: Sequence[str], took: float) -> float:
        """Milliseconds of processor time beyond what the same time costs without jobs."""
        return sum(self.meter.cpu[name] - self.idle.get(name, 0.0) * took for name in names) / 1e6

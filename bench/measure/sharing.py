"""What jobs cost live clients, how much of the free slots they use, and how fast borrowed slots come back."""

from __future__ import annotations

import asyncio
import logging as pylog
import multiprocessing
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from bench.clients import Load
from bench.deploy import DEPLOYMENTS
from bench.measure.pages import spread, write_page
from bench.plan import changed, grid
from postpass.batch.scheduler import Scheduler
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.process import Daemon
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim
from sim.run_statistics import rank

PROCESSES = 8
NEVER = 1e18
CROWDED_JOBS = 1.5  # more jobs on a crowded day than there is more live traffic
SAMPLE_PAUSE = 0.1  # seconds
AUDIT_LIMIT = 60.0  # seconds
AS_IT_IS, NO_JOBS, NO_RESERVE, NO_BORROWING = "as it is", "no lots", "no reserve", "no borrowing"
VARIANTS = (NO_JOBS, AS_IT_IS, NO_RESERVE, NO_BORROWING)
Row = dict[str, float]


@dataclass(frozen=True)
class Sharing:
    """One deployment at a scale of its live traffic, with or without jobs, under one setting of the scheduler."""

    deployment: str
    variant: str
    seed: int
    seconds: float
    scale: int

    @property
    def title(self) -> str:
        """The deployment with its scale."""
        return f"{self.deployment} x{self.scale}" if self.scale > 1 else self.deployment

    @property
    def load(self) -> Load:
        """A crowded day has `scale` times the live traffic, and jobs half as often again on top."""
        load = DEPLOYMENTS[self.deployment].load
        if self.scale > 1:
            live = {kind: rate * self.scale for kind, rate in load.live.items()}
            jobs = {kind: (rate * self.scale * CROWDED_JOBS, items) for kind, (rate, items) in load.lots.items()}
            load = Load(live, load.plain, jobs, load.within, load.pieces)
        if self.variant == NO_JOBS:
            load = Load(load.live, load.plain, {}, pieces=load.pieces)
        return load


def share_run(sharing: Sharing) -> Row:
    """Runs the clients of a deployment, and reads what became of their requests and jobs."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        return await SharingRun(loop, sharing).measure()

    row: Row = run_sim(main, sharing.seed)
    return row


@dataclass(eq=False)
class SharingRun:
    """One run. `schedulers` has each one that was opened, and `busy` samples of the share of slots in use."""

    loop: SimLoop
    sharing: Sharing
    schedulers: list[Scheduler] = field(default_factory=list)
    busy: list[float] = field(default_factory=list)

    async def measure(self) -> Row:
        """Times in seconds, shares of one, and counts."""
        plan = DEPLOYMENTS[self.sharing.deployment]
        self.loop.net.far = plan.delay / 1000
        configuration = changed(changed(plan.manifest, "machines", grid(4, 4, 4, 2)), "parts", 4)
        fleet = SimFleet(self.loop, configuration, self.sharing.seed, make=self._set_up)
        await fleet.found()
        await asyncio.sleep(configuration["ramp"])
        load = self.sharing.load
        sampler = self.loop.create_task(self._sample(fleet))
        await fleet.out(self._run_clients(fleet, load))
        sampler.cancel()
        return self._request_figures(fleet, next(iter(plan.load.live))) | self._job_figures(fleet)

    def _set_up(self, daemon: Daemon) -> None:
        """Sets the variant on the scheduler of a daemon that is to be opened."""
        if not isinstance(daemon, DataPlane):
            return
        original = daemon.open

        async def opened() -> None:
            await original()
            if daemon.scheduler is not None:
                daemon.scheduler.class_capacity.borrows = self.sharing.variant != NO_BORROWING
                daemon.scheduler.class_capacity.reserves = self.sharing.variant != NO_RESERVE
                self.schedulers.append(daemon.scheduler)

        daemon.open = opened  # type: ignore[method-assign]

    async def _sample(self, fleet: SimFleet) -> None:
        while True:
            await asyncio.sleep(SAMPLE_PAUSE)
            workers = [box.thing for name, box in fleet.boxes.items() if name.startswith("w") and box.up]
            running = sum(len([run for run in worker.runs if not run.gone]) for worker in workers)
            self.busy.append(running / sum(worker.slots for worker in workers))

    async def _run_clients(self, fleet: SimFleet, load: Load) -> None:
        async with fleet.session() as session:
            clients = fleet.make_clients(load, session)
            await clients.run(self.sharing.seconds)
            await clients.audit(AUDIT_LIMIT)

    def _request_figures(self, fleet: SimFleet, main_kind: str) -> Row:
        requests = [event for event in fleet.events if event["ev"] == "call"]
        first = [e["first"] - e["began"] for e in requests if e["first"] and e["kind"] == main_kind]
        hits = sum(box.thing.hits for name, box in fleet.boxes.items() if name.startswith("w"))
        return {
            "first_p50": rank(first, 0.5),
            "first_p95": rank(first, 0.95),
            "first_p99": rank(first, 0.99),
            "done": sum(event["end"] == "done" for event in requests) / max(1, len(requests)),
            "busy": sum(self.busy) / len(self.busy),
            "hits": hits / max(1, sum(event["ev"] == "took" for event in fleet.events)),
        }

    def _job_figures(self, fleet: SimFleet) -> Row:
        jobs = [event for event in fleet.events if event["ev"] == "lot"]
        whole: dict[str, float] = {}
        for event in fleet.events:
            if event["ev"] == "page" and event["whole"]:
                whole.setdefault(event["id"], event["t"])
        spans = [whole[job["id"]] - job["began"] for job in jobs if job["id"] in whole]
        handed_back = [span for scheduler in self.schedulers for _, span in scheduler.class_capacity.loans]
        return {
            "lots": len(jobs),
            "in_time": sum(whole.get(job["id"], NEVER) <= job["due"] for job in jobs),
            "lot_p50": rank(spans, 0.5),
            "lot_p95": rank(spans, 0.95),
            "back_worst": max(handed_back, default=0.0),
            "back_n": len(handed_back),
        }


def sharing(out: str = "", seeds: int = 2, seconds: float = 8.0) -> None:
    """What lots cost live callers, how much idle room they use, how fast loans come back; both deployments."""
    runs = [
        Sharing(deployment, variant, seed, seconds, scale)
        for seed in range(1, seeds + 1)
        for deployment in ("kompressorlab", "couriers")
        for scale in (1, 2)
        for variant in VARIANTS
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
        rows = pool.map(share_run, runs, chunksize=1)
    by_variant: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for run, row in zip(runs, rows, strict=True):
        by_variant[(run.title, run.variant)].append(row)
    lines = [
        "# Sharing of workers, measured", "",
        f"Made by `python -m bench.measure sharing`: simulated time, {seconds:g} s of the callers' full load, {seeds} seeds; callers draw as",
        "they go, so that variants of a seed differ a little in load. The deployments' own workers, four edges (half of today's, to keep the run",
        "short). The upper median over seeds, with the range.",
        "`x2` is a crowded day: twice the live traffic, three times the lots. `no reserve` and `no borrowing` are settings of the simulator, as plain baselines.", "",
        "| deployment | variant | first piece p50, ms | p95, ms | p99, ms | calls done | slots in use | prefix found in cache | lots in time | lot whole p50, s | p95, s | loans handed back, worst s |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
        *(_variant_row(title, variant, some) for (title, variant), some in by_variant.items()),
    ]  # fmt: skip
    write_page(lines, out)


def _variant_row(title: str, variant: str, rows: list[Row]) -> str:
    def over_seeds(key: str, factor: float = 1.0, unit: str = "") -> str:
        return spread([row[key] * factor for row in rows]) + unit

    def total(key: str) -> float:
        return sum(row[key] for row in rows)

    cells: list[Any] = [
        title,
        variant,
        *(over_seeds(key, 1e3) for key in ("first_p50", "first_p95", "first_p99")),
        *(over_seeds(key, 100, " %") for key in ("done", "busy", "hits")),
        f"{total('in_time'):g} of {total('lots'):g}",
        over_seeds("lot_p50"),
        over_seeds("lot_p95"),
        f"{max(row['back_worst'] for row in rows):.2f} ({total('back_n'):g} times)",
    ]
    return f"| {' | '.join(cells)} |"

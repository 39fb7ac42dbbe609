"""Time until a job is accepted: by predicate, with a slow mirror, against plainer ways to replicate, and when a machine
dies."""

from __future__ import annotations

import asyncio
import logging as pylog
import multiprocessing
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from typing import Any, NamedTuple
from unittest.mock import patch

from bench.measure.pages import milliseconds, write_page
from bench.plan import manifest
from postpass.configuration import configuration_check
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.process import Daemon
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim

PROCESSES = 7
SEEDS = (1, 2, 3)
SHORT_LINK, LONG_LINK = 0.0005, 0.0015  # seconds between zones
SLOW_LINK = 0.02
POWER_LOST, POWER_BACK = 6.0, 14.0  # seconds from the start
RATES = (20, 100, 200)  # jobs a second
ACCEPTED = 201
ITEM_TEXT = "x" * 200
MAJORITY = "majority (default)"
PREDICATES = {
    "one disk": "MAX($ALLWNODES.persisted)",
    "two areas": "KTH_MAX(2, $ALLWNODES.persisted)",
    MAJORITY: "KTH_MAX(SIZEOF($ALLWNODES)/2+1, $ALLWNODES.persisted)",
    "all": "MIN($ALLWNODES.persisted)",
}


class AcceptedJob(NamedTuple):
    """When a job was handed in, from the start of the load, and the time until it was accepted; in seconds."""

    handed_in: float
    took: float

    @property
    def at(self) -> float:
        """When it was accepted."""
        return self.handed_in + self.took


# --- what is done to a fleet
def slow_mirror(fleet: SimFleet) -> None:
    """Slows the links of one store."""
    fleet.loop.net.slow["s4"] = SLOW_LINK


def mirror_dies(fleet: SimFleet) -> None:
    """Takes the power of a store that owns nothing."""
    _lose_power(fleet, next(name for name, _ in fleet.stores() if name != fleet.owner(0)))


def owner_dies(fleet: SimFleet) -> None:
    """Takes the power of the owner."""
    _lose_power(fleet, fleet.owner(0))


def _lose_power(fleet: SimFleet, name: str) -> None:
    fleet.loop.call_later(POWER_LOST, fleet.power, name)
    fleet.loop.call_later(POWER_BACK, fleet.start, name)


def sync_each_record(daemon: Daemon) -> None:
    """Turns off the group commit of a store's log."""
    if isinstance(daemon, DataPlane) and daemon.store is not None:
        original, store = daemon.open, daemon.store

        async def opened() -> None:
            await original()
            store.log.group_commit = False

        daemon.open = opened  # type: ignore[method-assign]


def wait_for_each_reply(daemon: Daemon) -> None:
    """Lets a store wait for a mirror's reply before it sends the next record."""
    if isinstance(daemon, DataPlane) and daemon.store is not None:
        daemon.store.streams.wait_for_acknowledgements = True


FAULTS: dict[str, Callable[[SimFleet], None]] = {
    "slow": slow_mirror, "a mirror": mirror_dies, "the owner": owner_dies,
}  # fmt: skip
SETUPS: dict[str, Callable[[Daemon], None]] = {"wait": wait_for_each_reply, "each": sync_each_record}


# --- one run
@dataclass(frozen=True)
class LoadRun:
    """One run under a steady load: `series` is the table that it belongs to, `fault` and `setup` are keys of FAULTS and
    SETUPS, or empty."""

    series: str
    link: float = LONG_LINK
    rate: float = 20
    fault: str = ""
    setup: str = ""
    predicate: str = MAJORITY
    seconds: float = 8.0
    items: int = 8
    seed: int = 1


def accepted_jobs(run: LoadRun) -> list[AcceptedJob]:
    """The jobs that were accepted, with workers that do nothing else."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> list[AcceptedJob]:
        loop.net.far = run.link
        configuration = manifest(edges=1, scheds=1, workers=1, parts=1)
        configuration["predicate"] = PREDICATES[run.predicate]
        fleet = SimFleet(loop, configuration, run.seed, make=SETUPS.get(run.setup))
        await fleet.found()
        if fault := FAULTS.get(run.fault):
            fault(fleet)
        start = loop.clock
        load = SteadyLoad(loop, fleet, run, [])
        await fleet.out(load.hand_in_all())
        return [AcceptedJob(job.handed_in - start, job.took) for job in load.accepted]

    # The weaker predicates are refused at apply, rightly; for the comparison that check is put aside.
    with patch.object(configuration_check, "loss_flaw", lambda *_: ""):
        jobs: list[AcceptedJob] = run_sim(main, run.seed)
    return jobs


@dataclass(eq=False)
class SteadyLoad:
    """Jobs handed in at a rate. `accepted` has them by the loop's clock."""

    loop: SimLoop
    fleet: SimFleet
    run: LoadRun
    accepted: list[AcceptedJob]

    async def hand_in_all(self) -> None:
        """Hands jobs in until the time of the run is over, and waits for all answers."""
        chance = random.Random(self.run.seed)
        tasks: list[asyncio.Task[None]] = []
        async with self.fleet.session() as session:
            until = self.loop.clock + self.run.seconds
            while self.loop.clock < until:
                await asyncio.sleep(chance.expovariate(self.run.rate))
                tasks.append(asyncio.create_task(self._hand_in(session, len(tasks))))
            await asyncio.gather(*tasks)

    async def _hand_in(self, session: Any, number: int) -> None:
        began = self.loop.clock
        items = [f"lot:{number}:{i} {ITEM_TEXT}" for i in range(self.run.items)]
        body = {"id": f"m{number}", "class": "lot", "items": items, "within": 900}
        url = f"http://{self.fleet.configuration['machines']['e1']['http']}/v1/lots"
        async with session.post(url, json=body) as answer:
            await answer.read()
            if answer.status == ACCEPTED:
                self.accepted.append(AcceptedJob(began, self.loop.clock - began))


# --- all runs
RUNS = [
    *(
        LoadRun("predicate", link, fault=fault, predicate=predicate, seed=seed)
        for link in (SHORT_LINK, LONG_LINK)
        for predicate in PREDICATES
        for fault in ("", "slow")
        for seed in SEEDS
    ),
    *(
        LoadRun("rate", rate=rate, setup=setup, seconds=5.0, items=2, seed=seed)
        for rate in RATES
        for setup in ("", "wait", "each")
        for seed in SEEDS
    ),
    *(LoadRun("dies", fault=fault, seconds=20.0, seed=seed) for fault in ("a mirror", "the owner") for seed in SEEDS),
]
Results = dict[LoadRun, list[AcceptedJob]]


def stabilizer(out: str = "") -> None:
    """Time to kept by predicate, with a slow mirror; against waiting for each reply; group sync; stalls."""
    with multiprocessing.Pool(PROCESSES) as pool:
        results = dict(zip(RUNS, pool.map(accepted_jobs, RUNS, chunksize=1), strict=True))
    lines = [
        "# Stabilizer, measured", "",
        "Made by `python -m bench.measure stabilizer`: simulated time, three seeds each, one partition on four stores in four",
        "areas, a sync takes 1 to 3 ms. Time from a caller's handing a lot in (8 items) to `kept`, in ms, p50 / p95.",
        "The first two predicates do not survive the tolerated losses and are refused at apply; they stand here for comparison.", "",
        *_predicate_lines(results),
        *_rate_lines(results),
        *_death_lines(results),
    ]  # fmt: skip
    write_page(lines, out)


def _times(results: Results, series: str, **fields: Any) -> list[float]:
    """The times of all runs of a series that have these fields."""
    chosen = [
        jobs
        for run, jobs in results.items()
        if run.series == series and all(getattr(run, name) == value for name, value in fields.items())
    ]
    return [job.took for jobs in chosen for job in jobs]


def _predicate_lines(results: Results) -> list[str]:
    lines = [
        "## By predicate",
        "",
        "| links | predicate | all mirrors well | one mirror 20 ms slower |",
        "|---|---|---|---|",
    ]
    for link, place in ((SHORT_LINK, "0.5 ms between areas"), (LONG_LINK, "1.5 ms")):
        for name in PREDICATES:
            times = [_times(results, "predicate", link=link, predicate=name, fault=fault) for fault in ("", "slow")]
            lines.append(f"| {place} | {name} | {' | '.join(map(milliseconds, times))} |")
    return [*lines, ""]


def _rate_lines(results: Results) -> list[str]:
    lines = [
        "## Streaming against waiting for each reply, and group sync", "",
        "Lots of two items, links of 1.5 ms, 5 s of load; a lot that is not kept in 12 s is not counted.", "",
        "| lots a second | streaming, group sync | a reply awaited before the next record | a sync for each record |", "|---|---|---|---|",
    ]  # fmt: skip
    for rate in RATES:
        times = [_times(results, "rate", rate=rate, setup=setup) for setup in ("", "wait", "each")]
        lines.append(f"| {rate} | {' | '.join(f'{milliseconds(some)} ({len(some)} kept)' for some in times)} |")
    return [*lines, ""]


def _death_lines(results: Results) -> list[str]:
    lines = [
        "## When a machine dies", "", "Power lost at 6 s, back at 14 s; the longest time in which no lot was kept, by what died.", "",
        "| what | seed 1 | seed 2 | seed 3 | time to kept p50 / p95, ms: before, during, after |", "|---|---|---|---|---|",
    ]  # fmt: skip
    for fault in ("a mirror", "the owner"):
        runs = [jobs for run, jobs in results.items() if run.series == "dies" and run.fault == fault]
        phases: dict[str, list[float]] = defaultdict(list)
        for job in (job for jobs in runs for job in jobs):
            phases[_phase(job)].append(job.took)
        gaps = " | ".join(f"{_longest_gap(jobs):.2f} s" for jobs in runs)
        times = "; ".join(milliseconds(phases[phase]) for phase in ("before", "during", "after"))
        lines.append(f"| {fault} | {gaps} | {times} |")
    return lines


def _phase(job: AcceptedJob) -> str:
    if job.handed_in < POWER_LOST:
        return "before"
    return "during" if job.handed_in < POWER_BACK else "after"


def _longest_gap(jobs: list[AcceptedJob]) -> float:
    return max(later - earlier for earlier, later in pairwise(sorted(job.at for job in jobs)))

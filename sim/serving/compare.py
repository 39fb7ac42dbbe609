"""Policies against each other over paired seeds: mean and spread of each figure, and a plot."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from sim.serving.fleet import EmulatedFleet, Policy
from sim.serving.request import Request
from sim.serving.workload import Workload


@dataclass(frozen=True)
class KindFigures:
    """One kind of request in one run. Shares of all that were asked for; times in milliseconds until the first event, or
    for items until the last."""

    in_time: float
    late: float
    lost: float
    median: float
    p95: float
    p99: float


@dataclass(frozen=True)
class RunFigures:
    """One run.

    :ivar worth: earned of what was owed.
    :ivar read_again: prompt tokens read beyond the first time at any worker, of all that were read.
    :ivar spread: the busiest worker's load over the mean.
    :ivar turned_away: requests that a full worker turned away.
    """

    worth: float
    read_again: float
    spread: float
    turned_away: int
    kinds: dict[str, KindFigures]


def play(workload: Workload, policy: Policy, seed: int) -> RunFigures:
    """Plays a workload under a policy and a seed."""
    fleet = EmulatedFleet(workload, policy, seed)
    fleet.run()
    requests = fleet.requests
    owed = sum(request.kind.worth for request in requests)
    read = sum(request.read for request in requests)
    first_time = sum(request.own for request in requests if request.read)
    subjects = {request.key: request.shared for request in requests if request.read}
    again = read - first_time - sum(subjects.values())
    by_kind = {k.name: [r for r in requests if r.kind.name == k.name] for k in workload.kinds}
    return RunFigures(
        sum(earned(request) for request in requests) / owed,
        max(0, again) / max(1, read),
        busiest_over_mean(fleet),
        fleet.turned_away,
        {name: kind_figures(found) for name, found in by_kind.items() if found},
    )


def busiest_over_mean(fleet: EmulatedFleet) -> float:
    """The busiest worker's slot seconds over the mean."""
    busy = [worker.busy for worker in fleet.workers]
    return max(busy) / max(1e-9, statistics.mean(busy))


def earned(request: Request) -> float:
    """The worth of one request's outcome."""
    if request.in_time:
        return request.kind.worth
    return request.kind.late_worth if request.done >= 0 else 0.0


def kind_figures(requests: Sequence[Request]) -> KindFigures:
    """The figures of one kind."""
    items = requests[0].kind.items is not None
    done = [r for r in requests if r.done >= 0]
    times = sorted(((r.done if items else r.first) - r.arrived) * 1000 for r in done) or [float("nan")]

    def quantile(part: float) -> float:
        return times[min(len(times) - 1, int(part * len(times)))]

    in_time = sum(r.in_time for r in done) / len(requests)
    lost = 1 - len(done) / len(requests)
    return KindFigures(in_time, 1 - in_time - lost, lost, quantile(0.5), quantile(0.95), quantile(0.99))


def play_all(
    workload: Workload, policies: Sequence[Policy], seeds: Iterable[int], jobs: int
) -> dict[str, list[RunFigures]]:
    """Plays each policy under each seed, several at once."""
    chosen = list(seeds)
    with ProcessPoolExecutor(jobs) as pool:
        futures = {p.name: [pool.submit(play, workload, p, seed) for seed in chosen] for p in policies}
        return {name: [future.result() for future in found] for name, found in futures.items()}


def table(results: dict[str, list[RunFigures]]) -> str:
    """A row a policy: worth with its spread and the paired difference to the first policy, then each kind."""
    first = next(iter(results.values()))
    lines = []
    for name, runs in results.items():
        worth = [run.worth for run in runs]
        differences = [run.worth - base.worth for run, base in zip(runs, first, strict=True)]
        spread = statistics.stdev(differences) if len(runs) > 1 else 0.0
        kinds = "  ".join(
            f"{kind} {mean(r.kinds[kind].in_time for r in runs if kind in r.kinds):.3f} "
            f"lost {mean(r.kinds[kind].lost for r in runs if kind in r.kinds):.4f} "
            f"p50 {mean(r.kinds[kind].median for r in runs if kind in r.kinds):.0f} "
            f"p95 {mean(r.kinds[kind].p95 for r in runs if kind in r.kinds):.0f} "
            f"p99 {mean(r.kinds[kind].p99 for r in runs if kind in r.kinds):.0f}"
            for kind in runs[0].kinds
        )
        lines.append(
            f"{name:<22} worth {mean(worth):.3f} ({mean(differences):+.3f} sd {spread:.3f})  again "
            f"{mean(r.read_again for r in runs):.2f} spread {mean(r.spread for r in runs):.2f} "
            f"away {mean(r.turned_away for r in runs):.0f}  {kinds}"
        )
    return "\n".join(lines)


def mean(values: Iterable[float]) -> float:
    """The mean; not a number if there is none."""
    found = list(values)
    return statistics.mean(found) if found else float("nan")


def plot(results: dict[str, list[RunFigures]], path: str) -> None:
    """Draws the share in time of each kind by policy, with the spread over seeds."""
    from matplotlib import pyplot

    names = list(results)
    kinds = list(results[names[0]][0].kinds)
    figure, axes = pyplot.subplots(1, len(kinds), figsize=(4 * len(kinds), 0.4 * len(names) + 1.5), sharey=True)
    for axis, kind in zip([axes] if len(kinds) == 1 else axes, kinds, strict=True):
        shares = [[run.kinds[kind].in_time for run in results[name] if kind in run.kinds] for name in names]
        axis.boxplot(shares, vert=False)
        axis.set_yticks(range(1, len(names) + 1), names)
        axis.set_title(f"{kind}: share in time")
        axis.grid(axis="x")
    figure.tight_layout()
    figure.savefig(path)

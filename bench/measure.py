"""Measurements on simulated time: counts and virtual seconds, the same on every machine.

python -m bench.measure stabilizer|sharing|bounds|size [--out docs/reports/X.md]
"""

from __future__ import annotations

import asyncio
import logging as pylog
import multiprocessing
import random
import sys
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import patch

import fire

from bench.clients import Load
from bench.plan import changed, grid, manifest
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.process import Daemon
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim
from sim.runner import parse, play, rank

ONE = "MAX($ALLWNODES.persisted)"
MAJORITY = "KTH_MAX(SIZEOF($ALLWNODES)/2+1, $ALLWNODES.persisted)"
ALL = "MIN($ALLWNODES.persisted)"
TWO_AREAS = "KTH_MAX(2, $ALLWNODES.persisted)"


def ms(vals: list[float]) -> str:
    return f"{rank(vals, 0.5) * 1e3:.1f} / {rank(vals, 0.95) * 1e3:.1f}"


def spread(vals: list[float], unit: str = "") -> str:
    """Median and the range over seeds."""
    return f"{rank(vals, 0.5):.3g}{unit} ({min(vals):.3g} to {max(vals):.3g})" if vals else "none"


# --- Stabilizer


def kept_times(seed: int, far: float, rate: float, hook: Callable[[SimFleet], None] | None = None, make: Any = None,
               predicate: str = MAJORITY, seconds: float = 20.0, size: int = 8) -> list[tuple[float, float]]:  # fmt: skip
    """(when handed in, time to kept) of lots under a steady load, with workers that do nothing else."""

    async def main(loop: SimLoop) -> list[tuple[float, float]]:
        loop.net.far = far
        configuration = manifest(edges=1, scheds=1, workers=1, parts=1)
        configuration["predicate"] = predicate
        fleet = SimFleet(loop, configuration, seed, make=make)
        await fleet.found()
        out: list[tuple[float, float]] = []
        if hook is not None:
            hook(fleet)

        async def send(session: Any, i: int) -> None:
            began = loop.clock
            items = [f"lot:{i}:{k} " + "x" * 200 for k in range(size)]
            body = {"id": f"m{i}", "class": "lot", "items": items, "within": 900}
            url = f"http://{fleet.configuration['machines']['e1']['http']}/v1/lots"
            async with session.post(url, json=body) as got:
                await got.read()
                if got.status == 201:
                    out.append((began, loop.clock - began))

        async def outside() -> None:
            chance = random.Random(seed)
            tasks: list[asyncio.Task[None]] = []
            async with fleet.session() as session:
                until = loop.clock + seconds
                while loop.clock < until:
                    await asyncio.sleep(chance.expovariate(rate))
                    tasks.append(asyncio.create_task(send(session, len(tasks))))
                await asyncio.gather(*tasks)

        start = loop.clock
        await fleet.out(outside())
        return [(t - start, d) for t, d in out]

    # The weaker predicates are refused at apply, rightly; for the comparison that check is put aside.
    with patch("postpass.configuration.configuration_check.loss_flaw", lambda *_: ""):
        got: list[tuple[float, float]] = run_sim(main, seed)
    return got


def slow_mirror(fleet: SimFleet) -> None:
    fleet.loop.net.slow["s4"] = 0.02


def no_group(daemon: Daemon) -> None:
    if isinstance(daemon, DataPlane) and daemon.store is not None:
        original, store = daemon.open, daemon.store

        async def opened() -> None:
            await original()
            store.log.group_commit = False

        daemon.open = opened  # type: ignore[method-assign]


def wait_each(daemon: Daemon) -> None:
    if isinstance(daemon, DataPlane) and daemon.store is not None:
        daemon.store.streams.wait_each = True


def mirror_dies(fleet: SimFleet) -> None:
    name = next(n for n, _ in fleet.stores() if n != fleet.owner(0))
    fleet.loop.call_later(6.0, fleet.power, name)
    fleet.loop.call_later(14.0, fleet.start, name)


def owner_dies(fleet: SimFleet) -> None:
    name = fleet.owner(0)
    fleet.loop.call_later(6.0, fleet.power, name)
    fleet.loop.call_later(14.0, fleet.start, name)


Kept = list[tuple[float, float]]
HOOKS: dict[str, Callable[[SimFleet], None]] = {"slow": slow_mirror, "a mirror": mirror_dies, "the owner": owner_dies}
MAKES: dict[str, Callable[[Daemon], None]] = {"wait": wait_each, "each": no_group}
PREDICATES = {"one disk": ONE, "two areas": TWO_AREAS, "majority (default)": MAJORITY, "all": ALL}


@dataclass(frozen=True)
class Job:
    word: str
    far: float = 0.0015
    rate: float = 20
    hook: str = ""
    make: str = ""
    predicate: str = "majority (default)"
    seconds: float = 8.0
    size: int = 8
    seed: int = 1


def kept_job(job: Job) -> tuple[Job, Kept]:
    pylog.disable(pylog.CRITICAL)
    got = kept_times(
        job.seed,
        job.far,
        job.rate,
        HOOKS.get(job.hook),
        MAKES.get(job.make),
        PREDICATES[job.predicate],
        job.seconds,
        job.size,
    )
    return job, got


def is_pred(far: float, predicate: str, hook: str, job: Job) -> bool:
    return (job.word, job.far, job.predicate, job.hook) == ("pred", far, predicate, hook)


def is_rate(rate: float, make: str, job: Job) -> bool:
    return (job.word, job.rate, job.make) == ("rate", rate, make)


def stabilizer(out: str = "") -> None:
    """Time to kept by predicate, with a slow mirror; against waiting for each reply; group sync; stalls."""
    seeds = (1, 2, 3)
    jobs = [
        Job("pred", far, hook=h, predicate=p, seed=s)
        for far in (0.0005, 0.0015)
        for p in PREDICATES
        for h in ("", "slow")
        for s in seeds
    ]
    jobs += [
        Job("rate", rate=r, make=m, seconds=5.0, size=2, seed=s)
        for r in (20, 100, 200)
        for m in ("", "wait", "each")
        for s in seeds
    ]
    jobs += [Job("dies", hook=h, seconds=20.0, seed=s) for h in ("a mirror", "the owner") for s in seeds]
    with multiprocessing.Pool(7) as pool:
        got = dict(pool.map(kept_job, jobs, chunksize=1))

    def times(pick: Callable[[Job], bool]) -> list[float]:
        return [d for job, rows in got.items() if pick(job) for _, d in rows]

    lines = [
        "# Stabilizer, measured", "",
        "Made by `python -m bench.measure stabilizer`: simulated time, three seeds each, one partition on four stores in four",
        "areas, a sync takes 1 to 3 ms. Time from a caller's handing a lot in (8 items) to `kept`, in ms, p50 / p95.",
        "The first two predicates do not survive the tolerated losses and are refused at apply; they stand here for comparison.", "",
        "## By predicate", "", "| links | predicate | all mirrors well | one mirror 20 ms slower |", "|---|---|---|---|",
    ]  # fmt: skip
    for far, place in ((0.0005, "0.5 ms between areas"), (0.0015, "1.5 ms")):
        for p in PREDICATES:
            cells = [ms(times(partial(is_pred, far, p, h))) for h in ("", "slow")]
            lines.append(f"| {place} | {p} | {' | '.join(cells)} |")
    lines += ["", "## Streaming against waiting for each reply, and group sync", "",
              "Lots of two items, links of 1.5 ms, 5 s of load; a lot that is not kept in 12 s is not counted.", "",
              "| lots a second | streaming, group sync | a reply awaited before the next record | a sync for each record |", "|---|---|---|---|"]  # fmt: skip
    for rate in (20, 100, 200):
        cells = []
        for m in ("", "wait", "each"):
            vals = times(partial(is_rate, rate, m))
            cells.append(f"{ms(vals)} ({len(vals)} kept)")
        lines.append(f"| {rate} | {' | '.join(cells)} |")
    lines += ["", "## When a machine dies", "", "Power lost at 6 s, back at 14 s; the longest time in which no lot was kept, by what died.", "",
              "| what | seed 1 | seed 2 | seed 3 | time to kept p50 / p95, ms: before, during, after |", "|---|---|---|---|---|"]  # fmt: skip
    for h in ("a mirror", "the owner"):
        gaps, spans = [], defaultdict(list)
        for job, rows in got.items():
            if job.word == "dies" and job.hook == h:
                done = sorted(t + d for t, d in rows)
                gaps.append(max(b - a for a, b in zip(done, done[1:], strict=False)))
                for t, d in rows:
                    spans["before" if t < 6 else "during" if t < 14 else "after"].append(d)
        cells = [f"{g:.2f} s" for g in gaps]
        lines.append(
            f"| {h} | {' | '.join(cells)} | {'; '.join(ms(spans[k]) for k in ('before', 'during', 'after'))} |"
        )
    put(lines, out)


def put(lines: list[str], out: str) -> None:
    text = "\n".join(lines) + "\n"
    print(text)
    if out:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        Path(out).write_text(text)


# --- sharing of workers


def share_run(job: tuple[str, str, int, float, int]) -> tuple[str, str, dict[str, float]]:
    """One deployment at a scale, with or without lots, under one setting of the scheduler."""
    from bench.deploy import DEPLOYMENTS

    name, variant, seed, seconds, scale = job
    pylog.disable(pylog.CRITICAL)
    plan = DEPLOYMENTS[name]

    def make(daemon: Daemon) -> None:
        if isinstance(daemon, DataPlane):
            original = daemon.open

            async def opened() -> None:
                await original()
                if daemon.scheduler is not None:
                    daemon.scheduler.class_capacity.borrows = variant != "no borrowing"
                    daemon.scheduler.class_capacity.reserves = variant != "no reserve"
                    SCHEDS.append(daemon.scheduler)

            daemon.open = opened  # type: ignore[method-assign]

    SCHEDS: list[Any] = []

    async def main(loop: SimLoop) -> dict[str, float]:
        loop.net.far = plan.delay / 1000
        configuration = changed(changed(plan.manifest, "machines", grid(4, 4, 4, 2)), "parts", 4)
        fleet = SimFleet(loop, configuration, seed, make=make)
        await fleet.found()
        await asyncio.sleep(configuration["ramp"])
        load = plan.load
        if scale > 1:
            # A crowded day: as much more live traffic, and lots half as often again on top.
            load = Load({k: r * scale for k, r in load.live.items()}, load.plain,
                        {k: (r * scale * 1.5, n) for k, (r, n) in load.lots.items()}, load.within, load.pieces)  # fmt: skip
        if variant == "no lots":
            load = Load(load.live, load.plain, {}, pieces=load.pieces)
        busy: list[float] = []

        async def look() -> None:
            while True:
                await asyncio.sleep(0.1)
                things = [b.thing for n, b in fleet.boxes.items() if n.startswith("w") and b.up]
                busy.append(sum(len([r for r in t.runs if not r.gone]) for t in things) / sum(t.slots for t in things))

        watch = loop.create_task(look())

        async def outside() -> None:
            async with fleet.session() as session:
                clients = fleet.make_clients(load, session)
                await clients.run(seconds)
                await clients.audit(60)

        await fleet.out(outside())
        watch.cancel()
        calls = [e for e in fleet.events if e["ev"] == "call"]
        main_kind = next(iter(plan.load.live))
        first = [e["first"] - e["began"] for e in calls if e["first"] and e["kind"] == main_kind]
        lots = [e for e in fleet.events if e["ev"] == "lot"]
        whole: dict[str, float] = {}
        for e in fleet.events:
            if e["ev"] == "page" and e["whole"]:
                whole.setdefault(e["id"], e["t"])
        spans = [whole[e["id"]] - e["began"] for e in lots if e["id"] in whole]
        back = [span for s in SCHEDS for _, span in s.class_capacity.loans]
        return {
            "first_p50": rank(first, 0.5), "first_p95": rank(first, 0.95), "first_p99": rank(first, 0.99),
            "done": sum(e["end"] == "done" for e in calls) / max(1, len(calls)), "busy": sum(busy) / len(busy),
            "hits": sum(b.thing.hits for n, b in fleet.boxes.items() if n.startswith("w")) / max(1, sum(e["ev"] == "took" for e in fleet.events)),
            "lots": len(lots), "in_time": sum(whole.get(e["id"], 1e18) <= e["due"] for e in lots),
            "lot_p50": rank(spans, 0.5), "lot_p95": rank(spans, 0.95), "back_worst": max(back, default=0.0), "back_n": len(back),
        }  # fmt: skip

    return f"{name}{f' x{scale}' if scale > 1 else ''}", variant, run_sim(main, seed)


VARIANTS = ("no lots", "as it is", "no reserve", "no borrowing")


def sharing(out: str = "", seeds: int = 2, seconds: float = 8.0) -> None:
    """What lots cost live callers, how much idle room they use, how fast loans come back; both deployments."""
    jobs = [
        (d, v, s, seconds, x)
        for s in range(1, seeds + 1)
        for d in ("kompressorlab", "couriers")
        for x in (1, 2)
        for v in VARIANTS
    ]
    with multiprocessing.Pool(8) as pool:
        got = pool.map(share_run, jobs, chunksize=1)
    by: dict[tuple[str, str], list[dict[str, float]]] = defaultdict(list)
    for name, variant, row in got:
        by[(name, variant)].append(row)
    lines = [
        "# Sharing of workers, measured", "",
        f"Made by `python -m bench.measure sharing`: simulated time, {seconds:g} s of the callers' full load, {seeds} seeds; callers draw as",
        "they go, so that variants of a seed differ a little in load. The deployments' own workers, four edges (half of today's, to keep the run",
        "short). The upper median over seeds, with the range.",
        "`x2` is a crowded day: twice the live traffic, three times the lots. `no reserve` and `no borrowing` are settings of the simulator, as plain baselines.", "",
        "| deployment | variant | first piece p50, ms | p95, ms | p99, ms | calls done | slots in use | prefix found in cache | lots in time | lot whole p50, s | p95, s | loans handed back, worst s |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]  # fmt: skip
    for (name, variant), rows in by.items():

        def col(key: str, factor: float = 1.0, rows: list[dict[str, float]] = rows) -> str:
            return spread([r[key] * factor for r in rows])

        lots = f"{sum(r['in_time'] for r in rows):g} of {sum(r['lots'] for r in rows):g}"
        lines.append(f"| {name} | {variant} | {col('first_p50', 1e3)} | {col('first_p95', 1e3)} | {col('first_p99', 1e3)} | {col('done', 100)} % | "
                     f"{col('busy', 100)} % | {col('hits', 100)} % | {lots} | {col('lot_p50')} | {col('lot_p95')} | {max(r['back_worst'] for r in rows):.2f} ({sum(r['back_n'] for r in rows):g} times) |")  # fmt: skip
    put(lines, out)


# --- bounds


BOUNDS = {
    "ended lot (3 s)": ("fleet edges=2 scheds=2 workers=1 slots=4\nload lot=1x40 ends=1 within=60\nrun 14\nsettle 0.1\nat 4 freeze sched for 2\nat 9 kill owner:0 for 4", "end"),
    "leaving worker (2 s)": ("fleet edges=3 workers=3\nload ask=12 lot=1x8\nrun 12\nat 3 apply pools.gpu.servers.w1.leave=true\nat 2.9 cut e1 control for 6\nsettle 20", "leave"),
    "evacuated area (5 s)": ("fleet edges=3 workers=4\nload ask=12 lot=1x8\nrun 14\nat 3 apply evacuated=[b]\nat 2.9 cut e1 control for 6\nsettle 20", "evacuated"),
    "manifest (2 s)": ("fleet edges=4 workers=1\nload ask=1\nrun 16\nat 2 cut e1 control for 12\nat 3 apply classes.ask.deadline=14\nat 6 apply classes.ask.deadline=13\nat 6.05 freeze primary for 4\nat 12 apply classes.ask.deadline=12", "manifest"),
    "recovery, owner's power (12 s)": ("fleet edges=2 workers=2\nload lot=8x2 within=60\nrun 20\nat 5 power owner:0 for 9", "kept"),
    "recovery, three disks lost (12 s)": ("fleet edges=2 workers=2\nload lot=8x2 within=60\nrun 24\nexcused\nat 5 wipe s1 s2 s3 for 1.5", "kept"),
    "recovery, control's pair wiped (12 s)": ("fleet edges=2 workers=1\nload ask=1\nrun 22\nexcused\nat 4 wipe primary backup for 1\nat 4.5 apply classes.ask.deadline=14", "control"),
}  # fmt: skip


def bound_run(job: tuple[str, int]) -> tuple[str, float, int]:
    """The worst value of one bound in one run, and how many breaches the checker saw."""
    name, seed = job
    text, kind = BOUNDS[name]
    r = play(parse(text, name), seed)
    ev = r.events
    worst = 0.0
    if kind == "end":
        ended = {e["id"]: e["t"] for e in ev if e["ev"] == "ended" and e["state"] == "ended"}
        worst = max(
            (
                e["t"] - ended[e["tag"].split(":")[1]]
                for e in ev
                if e["ev"] == "took" and e["tag"].split(":")[1] in ended
            ),
            default=0.0,
        )
    elif kind == "leave":
        at = next((e["t"] for e in ev if e["ev"] == "leave"), 1e18)
        worst = max((e["t"] - at for e in ev if e["ev"] == "took" and e["worker"] == "w1" and e["t"] > at), default=0.0)
    elif kind == "evacuated":
        at = next((e["t"] for e in ev if e["ev"] == "evacuated"), 1e18)
        worst = max((e["t"] - at for e in ev if e["ev"] == "took" and e["area"] == "b" and e["t"] > at), default=0.0)
    elif kind == "manifest":
        for done in (e for e in ev if e["ev"] == "applied" and e["answer"] in (200, 202) and e["edition"] > 1):
            late = [
                e["t"] - done["t"]
                for e in ev
                if e["ev"] == "runs" and e["fit"] and e["t"] > done["t"] and e["edition"] < done["edition"]
            ]
            worst = max([worst, *late])
    elif kind == "kept":
        worst = r.stats["kept_gap"]
    else:
        began = next(e["began"] for e in ev if e["ev"] == "applied" and e["base"] > 0)
        worst = (
            next(
                (e["t"] for e in ev if e["ev"] == "applied" and e["base"] > 0 and e["answer"] in (200, 202, 412)),
                began + 99,
            )
            - began
        )
    return name, max(worst, 0.0), sum(map(len, r.breaches.values()))


def bounds(out: str = "", seeds: int = 40) -> None:
    """Each bound of the brief on simulated time: the worst value over many seeds."""
    with multiprocessing.Pool(6) as pool:
        got = pool.map(bound_run, [(n, s) for n in BOUNDS for s in range(1, seeds + 1)], chunksize=4)
    lines = [
        "# The brief's bounds, on simulated time", "",
        f"Made by `python -m bench.measure bounds`: {seeds} seeds each. `worst` is the latest moment at which the old state was still seen.",
        "Editions are sampled every 0.25 s. Lots that were ended: the scheduler is frozen and an owner killed meanwhile. Leaving and",
        "evacuation: an edge is cut off from control. Manifest: an edge is cut off from control, and the primary freezes 0.05 s after a",
        "write begins. Recovery of lots: the longest time in which no lot was kept, at 8 lots a second.", "",
        "| bound | median, s | worst, s | breaches seen |", "|---|---|---|---|",
    ]  # fmt: skip
    for name in BOUNDS:
        vals = [v for n, v, _ in got if n == name]
        lines.append(f"| {name} | {rank(vals, 0.5):.2f} | {max(vals):.2f} | {sum(b for n, _, b in got if n == name)} |")
    put(lines, out)


# --- size


def size_run(job: tuple[int, int, bool]) -> tuple[int, int, bool, dict[str, float]]:
    """Traffic of a quiet fleet of many daemons and routes, and of one change of the manifest."""
    from postpass.gateway import worker_load
    from postpass.rpc import codec

    edges, routes, shared = job
    worker_load.MAX_POLLING_EDGES = 16 if shared else 10**6
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> dict[str, float]:
        sent: dict[str, list[int]] = defaultdict(list)
        original = codec.encode_message

        def message(name: str, kind: int, sequence: int, record: Any) -> bytes:
            data = original(name, kind, sequence, record)
            sent[name].append(len(data))
            return data

        codec.encode_message = message
        try:
            stores = 4 if edges < 100 else 8
            configuration = manifest(edges=edges, stores=stores, scheds=2, workers=4, parts=8)
            configuration["ways"] = {f"/r{i}": "view" for i in range(routes)}
            fleet = SimFleet(loop, configuration, 1)
            await fleet.found()
            await asyncio.sleep(4)
            sent.clear()
            ran = loop.ran
            workers = [b.thing for n, b in fleet.boxes.items() if n.startswith("w")]
            polls = sum(w.polls for w in workers)
            await asyncio.sleep(5)
            rest = {k: (len(v) / 5, sum(v) / 5) for k, v in sent.items()}
            steps = (loop.ran - ran) / 5
            polled = (sum(w.polls for w in workers) - polls) / 5 / len(workers)
            sent.clear()
            began = loop.clock
            await fleet.out(fleet.apply(changed(configuration, "ways./extra", "view"), 1))
            while any(b.daemon and b.daemon.configuration_view.revision < 2 for b in fleet.boxes.values()):
                await asyncio.sleep(0.01)
            spread_time = loop.clock - began
            await asyncio.sleep(1)
            many = len(fleet.configuration["machines"])
            return {
                "daemons": many, "polled": polled, "msgs": sum(a for a, _ in rest.values()) / many, "bytes": sum(b for _, b in rest.values()) / many,
                "shuffle": rest.get("shuffle", (0, 0))[1] / many, "follow": rest.get("follow", (0, 0))[1] / many,
                "ack": rest.get("ack", (0, 0))[1], "carry": rest.get("carry", (0, 0))[1], "steps": steps, "spread": spread_time,
                "change": sum(sent.get("follow", [])) / many, "copy": sum(sent.get("copy", [])),
            }  # fmt: skip
        finally:
            codec.encode_message = original

    return edges, routes, shared, run_sim(main, 1)


def size(out: str = "") -> None:
    """How feed, membership and acknowledgements grow with daemons and routes."""
    jobs = [(300, 1, True), (300, 1, False), (120, 600, True), (120, 1, True), (120, 1, False)]
    jobs += [(40, 600, True), (40, 1, True), (40, 1, False), (8, 600, True), (8, 1, True)]
    with multiprocessing.Pool(6) as pool:
        got = pool.map(size_run, jobs, chunksize=1)
    lines = [
        "# Size: what grows with daemons and routes", "",
        "Made by `python -m bench.measure size`: a quiet simulated fleet, 5 s; then one route is added. Bytes are of messages between",
        "own processes. Per daemon and second, but for the copies' traffic (acks, stream), which is the whole fleet's.", "",
        "| daemons | routes | readings of the servers | polls a worker gets a second | messages | bytes | of it shuffles | of it feed | acks, all | stream, all | one change: everywhere after, s | feed bytes a daemon for it | pair's copy, bytes |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]  # fmt: skip
    for _, routes, shared, r in got:
        lines.append(f"| {r['daemons']:g} | {routes} | {'two an area' if shared else 'every edge'} | {r['polled']:.1f} | {r['msgs']:.1f} | {r['bytes']:.0f} | {r['shuffle']:.0f} | {r['follow']:.0f} | {r['ack']:.0f} | "
                     f"{r['carry']:.0f} | {r['spread']:.2f} | {r['change']:.0f} | {r['copy']:.0f} |")  # fmt: skip
    put(lines, out)


if __name__ == "__main__":
    sys.exit(fire.Fire({"stabilizer": stabilizer, "sharing": sharing, "bounds": bounds, "size": size}))

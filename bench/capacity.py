"""What each role costs as the fleet grows: the very same daemons, many of them in one process on simulated time, with the
processor time of each one's own callbacks; slopes from a few sizes, laid out to a size to design for.

python -m bench.capacity measure [--out docs/reports/capacity.md]    everything, three processes at a time
python -m bench.capacity fleet --daemons 32 --workers 100 --routes 9  one row of it, as JSON
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging as pylog
import math
import multiprocessing
import os
import random
import subprocess
import sys
import time
import tracemalloc
from asyncio import events as loop_events
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any, cast

import fire

from postpass.batch import job_api
from postpass.batch.job import Job, JobView, job_digest, pack_items
from postpass.batch.job_service import JobService
from postpass.configuration.configuration import partition_of
from postpass.control.daemon import ControlPlane
from postpass.control.epochs import ReplicaSet
from postpass.control.state import ReplicatedState
from postpass.gateway.load_balancing import Prefix, WorkerCandidate, choose_worker, long_prompt_workers
from postpass.membership.machine_registry import INITIAL_PARTITIONS
from postpass.membership.registry import State
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record
from postpass.rpc import codec
from sim.announced import AnnouncedFleet, Sizes, module
from sim.clients import Clients, Kind
from sim.hollow import hand_in, patient, taken_lot
from sim.loop import HOST, Pipe, SimLoop, run_sim
from sim.workers import Engine

Row = dict[str, Any]
CONTROL = 5  # control machines of the size to design for


# --- the size to design for, and what is held against it


@dataclass(frozen=True)
class Target:
    """The size to design for. Invariant: rates are of the peak, a second; counts are of the whole fleet."""

    daemons: int = 360
    workers: int = 690
    models: int = 12
    routes: int = 600  # not told: tenants share routes by their hosts; taken as a tenth of the 6,400
    requests: float = 5700.0
    tokens: float = 2.6e6
    items: float = 170e6 / 86400
    lots: float = 30000 / 86400
    longest_lot: int = 700_000
    changes: float = 1400 / 86400
    cpu: float = 0.02  # of a core that control may cost a daemon
    memory: float = 128e6
    traffic: float = 3000.0  # bytes a second that control may cost a daemon
    in_force: float = 18.0


@dataclass(frozen=True)
class Slope:
    """A straight line through measured points. `fit` is the share of the variance it explains."""

    base: float
    each: float
    fit: float

    def at(self, x: float) -> float:
        return self.base + self.each * x


def slope(points: Sequence[tuple[float, float]]) -> Slope:
    """Least squares. One size alone gives no slope."""
    if len({x for x, _ in points}) < 2:
        raise ValueError(f"slope: want two sizes at the least, got {sorted({x for x, _ in points})}")
    n = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    over = sum((x - mean_x) ** 2 for x, _ in points)
    each = sum((x - mean_x) * (y - mean_y) for x, y in points) / over
    base = mean_y - each * mean_x
    left = sum((y - base - each * x) ** 2 for x, y in points)
    whole = sum((y - mean_y) ** 2 for _, y in points)
    return Slope(base, each, 1 - left / whole if whole else 1.0)


def growth(points: Sequence[tuple[float, float]]) -> float:
    """The power by which the value grows between the two largest sizes: 1 for a line, 2 for a square, which a straight
    line through sizes far apart would hide."""
    (x1, y1), (x2, y2) = sorted(points)[-2:]
    if not 0 < x1 < x2 or y1 <= 0 or y2 <= 0:
        raise ValueError(f"growth: want two sizes and values above 0, got {sorted(points)[-2:]}")
    return math.log(y2 / y1) / math.log(x2 / x1)


def between(points: Sequence[tuple[float, float]], x: float) -> float:
    """On the straight line between the two measured sizes around `x`; nothing beyond them."""
    ranked = sorted(points)
    for (x1, y1), (x2, y2) in zip(ranked, ranked[1:], strict=False):
        if x1 <= x <= x2 and x1 < x2:
            return y1 + (y2 - y1) * (x - x1) / (x2 - x1)
    raise ValueError(f"between: {x:g} lies outside {ranked[0][0]:g} to {ranked[-1][0]:g}")


def joint(lines: Sequence[tuple[Slope, float]], rest: float) -> float:
    """Several lines through one common size whose value is `rest`: what each adds on the way from there to its size."""
    return rest + sum(line.each * step for line, step in lines)


def verdict(value: float, bound: float, slack: float = 0.7) -> str:
    """`holds`, `near` beyond a part of the bound, `bends` beyond it, with how often it goes into the bound."""
    if bound <= 0:
        raise ValueError(f"verdict: want a bound above 0, got {bound}")
    part = value / bound
    return f"{'holds' if part <= slack else 'near' if part <= 1 else 'bends'} ({part:.2g})"


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    def cell(x: Any) -> str:
        return f"{x:.3g}" if isinstance(x, float) and abs(x) < 1000 else f"{x:.0f}" if isinstance(x, float) else str(x)

    return [
        f"| {' | '.join(heads)} |",
        "|" + "---|" * len(heads),
        *(f"| {' | '.join(map(cell, r))} |" for r in rows),
        "",
    ]


# --- the meter


@dataclass(eq=False)
class Meter:
    """By host, since the last reset. Invariant: processor time is of the host's own callbacks; the simulated network's
    share is in it, the kernel's sockets are not."""

    cpu: Counter[str] = field(default_factory=Counter)  # nanoseconds
    sent: Counter[str] = field(default_factory=Counter)  # bytes
    received: Counter[str] = field(default_factory=Counter)
    messages: Counter[tuple[str, str]] = field(default_factory=Counter)  # (host, what), between own processes
    sizes: Counter[tuple[str, str]] = field(default_factory=Counter)

    def reset(self) -> None:
        for count in (self.cpu, self.sent, self.received, self.messages, self.sizes):
            count.clear()

    def cost(self, names: Sequence[str], span: float) -> Row:
        """Means over these hosts, a second."""
        n = max(1, len(names)) * span
        return {
            "cpu_ms": sum(self.cpu[x] for x in names) / n / 1e6, "sent": sum(self.sent[x] for x in names) / n,
            "received": sum(self.received[x] for x in names) / n,
            "messages": sum(v for (x, _), v in self.messages.items() if x in set(names)) / n,
        }  # fmt: skip

    def by_verb(self, names: Sequence[str], span: float) -> dict[str, float]:
        """Bytes a second that one of these sends, by what they are."""
        out: Counter[str] = Counter()
        for (name, verb), size in self.sizes.items():
            if name in set(names):
                out[verb] += size
        return {k: round(v / max(1, len(names)) / span, 1) for k, v in out.most_common(6)}


@contextmanager
def metered() -> Iterator[Meter]:
    meter, run, send, message = Meter(), loop_events.Handle._run, Pipe._send, codec.encode_message

    def measured(handle: Any) -> Any:
        began = time.thread_time_ns()
        out = run(handle)
        host = handle._context.get(HOST)
        if host is not None:
            meter.cpu[host.name] += time.thread_time_ns() - began
        return out

    def sending(pipe: Pipe, data: bytes | None) -> None:
        meter.sent[pipe.host.name] += len(data or b"")
        meter.received[pipe.there.name] += len(data or b"")
        send(pipe, data)

    def told(name: str, kind: int, sequence: int, record: Any) -> bytes:
        data = message(name, kind, sequence, record)
        host = HOST.get()
        if host is not None:
            meter.messages[(host.name, name)] += 1
            meter.sizes[(host.name, name)] += len(data)
        return data

    loop_events.Handle._run = measured  # type: ignore[assignment,method-assign]
    Pipe._send = sending  # type: ignore[assignment,method-assign]
    codec.encode_message = told
    # Else a collection over all processes of the fleet would be charged to whichever of them happened to cause it.
    gc.collect()
    gc.freeze()
    try:
        yield meter
    finally:
        gc.unfreeze()
        loop_events.Handle._run = run  # type: ignore[method-assign]
        Pipe._send = send  # type: ignore[method-assign]
        codec.encode_message = message


def resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def more_routes(config: Row, count: int) -> Row:
    routes = list(config["routes"])
    like = routes[0]
    for i in range(len(routes), count):
        routes.append(like | {"name": f"r-more{i}", "prefix": f"/more{i}/", "host": f"tenant{i % 64}.example"})
    return config | {"routes": routes}


def schedules(fleet: AnnouncedFleet, name: str) -> bool:
    scheduler = cast(Any, fleet.boxes[name].daemon).scheduler
    return scheduler is not None and bool(scheduler.active)


def roles(fleet: AnnouncedFleet) -> dict[str, list[str]]:
    """Who has which role now."""
    control = {n: b.daemon for n, b in fleet.boxes.items() if isinstance(b.daemon, ControlPlane)}
    lead = max((c.epoch, n) for n, c in control.items())[1]
    backups = [n for n in control if n in control[lead].replicated_state.replica_set.backups]  # type: ignore[union-attr]
    return {
        "edge": [m.name for m in fleet.of("edge")], "store": [m.name for m in fleet.of("store")], "primary": [lead],
        "backup": backups, "witness": [n for n in control if n != lead and n not in backups],
    }  # fmt: skip


def stores_of(daemons: int) -> int:
    return max(4, daemons // 8)


def sizes_of(daemons: int, workers: int) -> Sizes:
    stores = stores_of(daemons)
    return Sizes(edges=daemons - stores - CONTROL, stores=stores, cores=CONTROL, zones=5, models=workers - 4, plains=2)


# --- a quiet fleet, and one change


CHANGES = 8


def fleet_row(daemons: int = 16, workers: int = 20, routes: int = 9, span: float = 6.0) -> Row:
    """One quiet fleet for `span` simulated seconds, then some changes of a route."""
    pylog.disable(pylog.CRITICAL)
    began = time.time()

    async def main(loop: SimLoop) -> Row:
        before = resident_bytes()
        fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=sizes_of(daemons, workers))
        whole = more_routes(fleet.first_config(), routes)
        fleet.first_config = lambda: whole  # type: ignore[method-assign]
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)
        gc.collect()
        memory = resident_bytes() - before
        with metered() as meter:
            crew = roles(fleet)
            await asyncio.sleep(span)
            rest = {k: meter.cost(v, span) | {"verbs": meter.by_verb(v, span)} for k, v in crew.items()}
            stores = [{"store": n, "schedules": schedules(fleet, n)} | meter.cost([n], span) for n in crew["store"]]
            meter.reset()
            at, told, answers = loop.clock, [], []
            for _ in range(CHANGES):
                asked = loop.clock
                answers.append(await fleet.out(fleet.operator.retime()))
                told.append(loop.clock - asked)
                await asyncio.sleep(0.7)
            if set(answers) != {200}:
                raise RuntimeError(f"changes were answered by {answers}")
            change = {k: meter.cost(v, CHANGES) for k, v in crew.items()}
            watched = (loop.clock - at) / CHANGES
        lead: Any = fleet.boxes[crew["primary"][0]].daemon
        configuration = lead.replicated_state.state.configuration
        return {
            "daemons": daemons, "workers": workers, "routes": routes, "known": sum(len(p["servers"]) for p in configuration["pools"].values()),
            "machines": len(configuration["machines"]), "edition": lead.replicated_state.state.revision, "manifest": len(json.dumps(configuration)),
            "state": len(lead.replicated_state.dump()), "memory": memory, "rest": rest, "stores": stores, "change": change, "change_span": watched, "told": max(told), "answers": answers, "seconds": round(time.time() - began, 1),
        }  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


def program_row() -> Row:
    """Resident memory of a process that has loaded the program of the platform's folder and does nothing."""
    code = "import sys; sys.path.append('platform'); import resident; print(open('/proc/self/statm').read().split()[1])"
    pages = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True).stdout
    return {"resident": int(pages) * os.sysconf("SC_PAGE_SIZE")}


# --- live requests at an edge


def stream_row(size: int, models: int = 8, rate: float = 12.0, span: float = 10.0) -> Row:
    """Resumable streams of so many events each; the processor time of the edges for them."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=4, cores=3, zones=2, models=models, plains=2, slots=32)
        fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=0.02, crowd=0.0))
        await fleet.found_announced(8.0)
        await asyncio.sleep(4.0)
        edges = [m.name for m in fleet.of("edge")]
        ask = fleet.kinds["ask"]
        fleet.clients.kinds["ask"] = replace(ask, size=(size, size), shared=(30, 100), own=50, deadline=30.0)
        with metered() as meter:
            await asyncio.sleep(5.0)
            idle = meter.cost(edges, 1.0)["cpu_ms"] * len(edges) / 5.0
            meter.reset()
            at = loop.clock
            await fleet.out(fleet.clients.load({"ask": rate}, (0.0, 1), span, lambda: 1.0))
            took = loop.clock - at
            spent = meter.cost(edges, 1.0)["cpu_ms"] * len(edges)
        done = [e for e in fleet.events if e["ev"] == "served"]
        return {"events": size, "workers": models, "requests": len(done), "good": sum(e["good"] for e in done),
                "cpu_ms": (spent - idle * took) / max(1, len(done))}  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


# --- lots


def lot_row(items: int, lifted: bool = False) -> Row:
    """One lot of so many items of two events each, from its acceptance until every result is there; `lifted`: without
    the platform's limit on the items of a lot."""
    pylog.disable(pylog.CRITICAL)
    if lifted:
        job_api.job_flaw.__defaults__ = (10**9,)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=8, cores=3, zones=4, models=8, plains=2, slots=32)
        fleet = AnnouncedFleet(
            loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=0.005, crowd=0.0)
        )
        fleet.kinds["batch"] = replace(fleet.kinds["batch"], size=(2, 2), shared=(10, 50), own=50)
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)
        clients: Clients = fleet.clients
        kind: Kind = fleet.kinds["batch"]
        scheds = [(m.name, cast(Any, fleet.boxes[m.name].daemon)) for m in fleet.of("store")]
        active = [n for n, d in scheds if d.scheduler is not None and d.scheduler.active]
        owned = {p.id: n for n, s in fleet.stores() for p in s.partitions.values() if p.owning}
        while True:  # one whose owner doesn't schedule, so that both are told apart
            lot = clients.make_lot(kind, items)
            if owned[partition_of(lot.id, INITIAL_PARTITIONS)] not in active:
                break
        with metered() as meter:
            await asyncio.sleep(4.0)
            quiet = {n: v / 4.0 for n, v in meter.cpu.items()}
            meter.reset()
            at = loop.clock
            status, data = await fleet.out(hand_in(fleet, kind, lot))
            accepted, accept_cpu, sent = loop.clock - at, Counter(meter.cpu), Counter(meter.sent)
            if status != 202:
                return {
                    "items": items,
                    "lifted": lifted,
                    "body": len(lot.body),
                    "status": status,
                    "why": data[:120].decode("latin-1"),
                }

            def results() -> list[int]:
                views = [
                    p.view.jobs[lot.id]
                    for _, s in fleet.stores()
                    for p in s.partitions.values()
                    if p.owning and lot.id in p.view.jobs
                ]
                return [len(x.order) for x in views]

            while loop.clock - at < 35.0 and not any(n == items for n in results()):
                await asyncio.sleep(0.05)
            whole = loop.clock - at
        owner = [n for n, s in fleet.stores() for p in s.partitions.values() if p.owning and lot.id in p.view.jobs]
        mirrors = [
            n
            for n, s in fleet.stores()
            for p in s.partitions.values()
            if not p.owning and p.id == partition_of(lot.id, INITIAL_PARTITIONS) and n not in active
        ]
        stores = [m.name for m in fleet.of("store")]

        def spent(names: Sequence[str]) -> float:
            return sum(meter.cpu[n] - quiet.get(n, 0.0) * whole for n in names) / 1e6

        return {
            "items": items, "lifted": lifted, "body": len(lot.body), "status": status, "accepted_s": accepted, "whole_s": whole, "done": max(results(), default=0),
            "accept_edge_ms": accept_cpu[fleet.fronts()[0][0]] / 1e6, "accept_stores_ms": sum(accept_cpu[n] for n in stores) / 1e6,
            "accept_sent": sum(sent[n] for n in stores), "owner_ms": spent(owner), "sched_ms": spent(active), "mirror_ms": spent(mirrors) / max(1, len(mirrors)),
            "stores_ms": spent(stores), "stores_sent": sum(meter.sent[n] for n in stores),
        }  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


def backlog_row(items: int, span: float = 6.0) -> Row:
    """What so many waiting items, in lots of 200, cost the stores while hardly any can run."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        sizes = Sizes(edges=2, stores=4, cores=3, zones=4, models=1, plains=2, slots=1)
        fleet = AnnouncedFleet(
            loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=1.0), disk_cap=1 << 30
        )
        kind = fleet.kinds["batch"] = replace(patient(fleet.kinds["batch"]), size=(5, 5), shared=(10, 50), own=50)
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)
        refused = 0
        before = resident_bytes()

        for _ in range(items // 200):
            status, _ = await fleet.out(hand_in(fleet, kind, fleet.clients.make_lot(kind, 200)))
            refused += status != 202
        await asyncio.sleep(3.0)
        gc.collect()
        stores = [m.name for m in fleet.of("store")]
        with metered() as meter:
            await asyncio.sleep(span)
            cost = meter.cost(stores, span)
            verbs = meter.by_verb(stores, span)
        return {"waiting": items, "refused": refused, "memory": resident_bytes() - before, "stores_cpu_ms": cost["cpu_ms"] * len(stores),
                "sent": cost["sent"], "verbs": verbs}  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


def running_row(running: int, span: float = 6.0) -> Row:
    """What so many running items cost the one active scheduler; each has an event a second."""
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        # Three quarters of a worker's slots go to items.
        slots = -(-running * 4 // 3 // 8)
        sizes = Sizes(edges=2, stores=4, cores=3, zones=4, models=8, plains=2, slots=slots)
        fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=sizes, engine=Engine(pace=1.0, crowd=0.0))
        kind = fleet.kinds["batch"] = replace(
            patient(fleet.kinds["batch"], True), size=(40, 40), shared=(10, 50), own=50
        )
        await fleet.found_announced(8.0)
        await asyncio.sleep(6.0)

        scheds = {m.name: cast(Any, fleet.boxes[m.name].daemon).scheduler for m in fleet.of("store")}
        active = [n for n, s in scheds.items() if s is not None and s.active]
        with metered() as meter:
            await asyncio.sleep(span)
            quiet = meter.cost(active, span)
            for _ in range(-(-running // 200) + 1):
                await fleet.out(hand_in(fleet, kind, fleet.clients.make_lot(kind, 200)))
            await asyncio.sleep(12.0)
            meter.reset()
            await asyncio.sleep(span)
            cost = meter.cost(active, span)
        jobs = [j for n in active for j in scheds[n].jobs.values()]
        return {"running": sum(j.task is not None for j in jobs), "held": len(jobs), "cpu_ms": cost["cpu_ms"] - quiet["cpu_ms"],
                "sent": cost["sent"] - quiet["sent"]}  # fmt: skip

    row: Row = run_sim(main, 1)
    return row


# --- single functions


def timed(work: Callable[[], Any], least: float = 0.15) -> float:
    """Processor seconds of one run of it."""
    count, began = 0, time.process_time()
    while True:
        work()
        count += 1
        spent = time.process_time() - began
        if spent >= least:
            return spent / count


def memory_row(items: int) -> Row:
    """A lot at an owner: memory of its record and view, before and after its results, and what works on all of it cost."""
    raw = taken_lot(items)
    gc.collect()
    tracemalloc.start()
    body, bodies = pack_items(raw)
    record = json.dumps(body, separators=(",", ":")).encode() + b"\0" + bodies
    del body, bodies
    gc.collect()
    tracemalloc.reset_peak()
    start = tracemalloc.get_traced_memory()[0] - len(record)
    view = JobView()
    view.fold(Record(1, 1, "lot", record))
    gc.collect()
    waiting = tracemalloc.get_traced_memory()[0] - start
    results = [
        Record(
            2 + i, 1, "result", json.dumps({"id": raw["id"], "item": i, "status": "ok", "output": "y" * 300}).encode()
        )
        for i in range(items)
    ]
    for rec in results:
        view.fold(rec)
    gc.collect()
    ended = tracemalloc.get_traced_memory()[0] - start
    tracemalloc.stop()
    lot: Job = view.jobs[raw["id"]]
    waits = JobView()
    waits.fold(Record(1, 1, "lot", record))
    part, asked = Partition(0, "s1", "d", view=waits), JobService(cast(Any, None))
    open_lot = replace(lot, results={}, order=[], payload=b"x" * (100 * items))
    some = range(0, items, max(1, items // 20))
    each = timed(lambda: [open_lot.item_body(i) for i in some]) / len(some)
    return {"items": items, "record": len(record), "waiting": waiting, "ended": ended, "fold_ms": timed(lambda: JobView().fold(Record(1, 1, "lot", record))) * 1e3,
            "dump_ms": timed(view.dump) * 1e3, "digest_ms": timed(lambda: job_digest(lot.body | {"sum": "x"})) * 1e3, "packed_ms": timed(lambda: pack_items(raw)) * 1e3,
            "item_body_us": each * 1e6, "count_ms": timed(lambda: asked.quota.count(part, "r-batch")) * 1e3}  # fmt: skip


def manifest_row(workers: int, routes: int = 9) -> Row:
    """What is done with the whole state at each write, and with the operator's document at each change."""
    chance = random.Random(1)
    kinds = AnnouncedFleet(SimLoop(1), {"machines": {}, "pools": {}}, 1, sizes=Sizes())
    doc = more_routes(kinds.first_config(), routes)
    translator = module("configuration").TRANSLATOR
    terms = translator.terms(doc).unwrap()
    servers: Row = {
        f"i-{i:04x}{chance.randrange(1 << 16):04x}": {"url": f"http://10.{i % 5}.9.{i % 250}:8080", "area": f"zone-{'abcde'[i % 5]}", "slots": 8}
        for i in range(workers)
    }  # fmt: skip
    machines: Row = {
        f"edge-zone-{'abcde'[i % 5]}-{i}": {"area": f"zone-{'abcde'[i % 5]}", "peer": f"10.1.1.{i}:7660", "http": f"10.1.1.{i}:8144", "duties": ["edge"], "born": i}
        for i in range(Target().daemons)
    }  # fmt: skip
    pools = terms["pools"]
    first = next(iter(pools))
    configuration: Any = {"name": "announced", "announced": True, "machines": machines, "areas": [], "parts": 8, "copies": 4, "classes": {}, "ways": {}, **terms,
                "pools": pools | {first: pools[first] | {"servers": servers}}}  # fmt: skip
    held = ReplicatedState(1, ReplicaSet(1, "c1", ("c2",), {}), State(1, configuration, source=doc))
    candidates = [WorkerCandidate(f"i-{i:04x}", 8, i % 3) for i in range(workers)]
    apart = long_prompt_workers([c.name for c in candidates])
    hot = Prefix(b"a", 2000)
    return {
        "workers": workers, "routes": routes, "state": len(held.dump()), "dump_ms": timed(held.dump) * 1e3, "terms_ms": timed(lambda: translator.terms(doc)) * 1e3,
        "choose_us": timed(lambda: choose_worker(candidates, Prefix(b"", 0), 8, chance, 100, apart)) * 1e6,
        "choose_prefix_us": timed(lambda: choose_worker(candidates, hot, 8, chance, 100, apart)) * 1e6, "readers_us": timed(lambda: long_prompt_workers([c.name for c in candidates])) * 1e6,
    }  # fmt: skip


# --- all of it


def job(what: tuple[str, tuple[Any, ...]]) -> tuple[str, Row]:
    name, args = what
    made: dict[str, Callable[..., Row]] = {
        "fleet": fleet_row, "stream": stream_row, "lot": lot_row, "memory": memory_row, "manifest": manifest_row,
        "backlog": backlog_row, "running": running_row,
        "program": program_row,
    }  # fmt: skip
    try:
        return name, made[name](*args)
    except Exception as bad:
        return name, {"args": args, "failed": f"{type(bad).__name__}: {bad}"}


JOBS: list[tuple[str, tuple[Any, ...]]] = [
    *(("fleet", (16, n, 9)) for n in (690, 300, 100)),
    *(("fleet", (n, 20, 9)) for n in (128, 64, 32, 16)),
    *(("fleet", (16, 20, n)) for n in (600, 100)),
    *(("stream", (n,)) for n in (10, 40, 160)),
    *(("stream", (10, n)) for n in (100, 300, 690)),
    ("fleet", (64, 100, 100)),
    ("program", ()),
    *(("lot", (n,)) for n in (10, 50, 200, 1000)),
    *(("lot", (n, True)) for n in (1000, 3000, 12000)),
    *(("backlog", (n,)) for n in (0, 2000, 6000, 12000)),
    *(("running", (n,)) for n in (24, 96, 384, 1536)),
    *(("memory", (n,)) for n in (10, 100, 1000, 10000)),
    *(("manifest", (n, 9)) for n in (20, 100, 300, 690)),
    *(("manifest", (690, n)) for n in (100, 600, 2000, 6400)),
]


def gather(only: str | Sequence[str] = "") -> dict[str, list[Row]]:
    names = only.split(",") if isinstance(only, str) else list(only)  # fire reads a list with commas as one
    jobs = [j for j in JOBS if not only or j[0] in names]
    out: dict[str, list[Row]] = {}
    with multiprocessing.get_context("spawn").Pool(3, maxtasksperchild=1) as pool:
        for name, row in pool.imap(job, jobs, chunksize=1):
            print(name, json.dumps(row), file=sys.stderr, flush=True)
            out.setdefault(name, []).append(row)
    return out


def measure(out: str = "", only: str | Sequence[str] = "", raw: str = "") -> None:
    """All rows, as JSON lines to `raw`; tables and slopes to `out`."""
    got = gather(only)
    if raw:
        Path(raw).write_text("".join(json.dumps([k, r]) + "\n" for k, rows in got.items() for r in rows))
    text = "\n".join(report(got)) + "\n"
    print(text)
    if out:
        Path(out).write_text(text)


BEAT_MS = 300.0  # a beat of the product's under the simulated bounds, where a fleet must recover in 12 s
CONTROL_ROLES = ("edge", "store", "primary", "backup", "witness")
REST = (16, 20, 9)  # the size that the three series of fleets share


def key_of(row: Row) -> tuple[int, int, int]:
    return row["daemons"], row["workers"], row["routes"]


def lines_of(rows: Sequence[Row], value: Callable[[Row], float]) -> tuple[list[Slope], float]:
    """The slopes over daemons, workers and routes, and the value at the size that they share."""
    series = [[r for r in rows if all(i == axis or key_of(r)[i] == REST[i] for i in range(3))] for axis in range(3)]
    lines = [slope([(float(key_of(r)[axis]), value(r)) for r in some]) for axis, some in enumerate(series)]
    return lines, next(value(r) for r in rows if key_of(r) == REST)


def laid_out(rows: Sequence[Row], value: Callable[[Row], float], size: tuple[int, int, int]) -> float:
    lines, rest = lines_of(rows, value)
    return joint([(line, size[i] - REST[i]) for i, line in enumerate(lines)], rest)


def at_rest(role: str, what: str, row: Row) -> float:
    return float(row["rest"][role][what])


def changed_by(role: str, what: str, row: Row) -> float:
    """What one change costs beyond what the time it was watched for costs at rest."""
    return float(row["change"][role][what] - row["rest"][role][what] * row["change_span"])


def fleet_report(rows: Sequence[Row]) -> list[str]:
    t = Target()
    size = (t.daemons, t.workers, t.routes)
    out = ["## Quiet fleets", "", "Processor ms, bytes and messages a second of one process.", ""]
    heads = ["daemons", "workers", "routes", *(f"{r}: cpu ms, sent, received, messages" for r in CONTROL_ROLES)]
    rows = sorted(rows, key=key_of)
    cells = [
        [*key_of(r), *(f"{r['rest'][x]['cpu_ms']:.2f}, {r['rest'][x]['sent']:.0f}, {r['rest'][x]['received']:.0f}, {r['rest'][x]['messages']:.1f}" for x in CONTROL_ROLES)]
        for r in rows
    ]  # fmt: skip
    out += table(heads, cells)
    out += ["Bytes a second that one process sends, by message:", ""]
    out += table(["daemons", "workers", *CONTROL_ROLES],
                 [[r["daemons"], r["workers"], *(", ".join(f"{k} {v:.0f}" for k, v in r["rest"][x]["verbs"].items()) for x in CONTROL_ROLES)] for r in rows if r["routes"] == 9])  # fmt: skip
    quiet = [r for r in rows if r["workers"] == 20 and r["routes"] == 9]
    spots = [(stores_of(r["daemons"]), r["rest"]["store"]) for r in quiet]
    verbs = ("ping", "hello", "carry", "ack", "take", "shuffle")
    out += ["Stores: bytes a second that one sends, by message; the partitions are eight whatever the size.", ""]
    out += table(["stores", *verbs, "all stores, cpu ms"], [[n, *(x["verbs"].get(v, 0.0) for v in verbs), x["cpu_ms"] * n] for n, x in spots])  # fmt: skip
    cells = []
    for r in (r for r in rows if r["routes"] == 9):
        one = next((x for x in r["stores"] if x["schedules"]), None)
        others = [x["cpu_ms"] for x in r["stores"] if not x["schedules"]]
        cells.append(
            [
                r["daemons"],
                r["workers"],
                one["cpu_ms"] if one else "none",
                one["sent"] if one else "none",
                sum(others) / len(others),
                max(others),
            ]
        )
    heads = [
        "daemons",
        "workers",
        "the one that schedules: cpu ms",
        "it sends",
        "the others: cpu ms, mean",
        "the highest",
    ]
    out += table(heads, cells)
    n = stores_of(t.daemons)
    laid = store_sent([(k, x["verbs"]) for k, x in spots], n)
    out += [f"Laid out to {n} stores, bytes a second that a mean one sends: {', '.join(f'{k} {v:.0f}' for k, v in laid.items())}, in all "
            f"{sum(laid.values()):.0f}. The last in the order of schedulers pings all others: by construction twice the mean.", ""]  # fmt: skip
    out += [
        "## One change of a route",
        "",
        "Beyond what the same time costs at rest; of one process, mean of eight. `told`: the longest time until the operator had its 200, s.",
        "",
    ]
    out += table(["daemons", "workers", "routes", "told", "manifest", "control state", "resident memory of all", *(f"{x}: cpu ms, sent, received" for x in CONTROL_ROLES)],
                 [[*key_of(r), r["told"], r["manifest"], r["state"], r["memory"],
                   *(f"{changed_by(x, 'cpu_ms', r):.2f}, {changed_by(x, 'sent', r):.0f}, {changed_by(x, 'received', r):.0f}" for x in CONTROL_ROLES)] for r in rows])  # fmt: skip
    out += [f"## Slopes, laid out to {size[0]} daemons, {size[1]} workers, {size[2]} routes", ""]
    cells = []
    wants: list[tuple[str, Callable[[Row], float]]] = []
    for role in (r for r in CONTROL_ROLES if r != "store"):  # a store's parts grow each in its own way, see above
        wants += [
            (f"{role}, {x} a second", partial(at_rest, role, x)) for x in ("cpu_ms", "sent", "received", "messages")
        ]
        wants += [(f"{role}, {x} a change", partial(changed_by, role, x)) for x in ("cpu_ms", "sent")]
    wants += [("manifest, bytes", lambda r: float(r["manifest"])), ("control state as dumped, bytes", lambda r: float(r["state"])),
              ("resident memory of all, bytes", lambda r: float(r["memory"])), ("told, s", lambda r: float(r["told"]))]  # fmt: skip
    check = next((r for r in rows if sum(key_of(r)[i] != REST[i] for i in range(3)) == 3), None)
    for name, value in wants:
        lines, rest = lines_of(rows, value)
        found = [f"{laid_out(rows, value, key_of(check)):.4g} / {value(check):.4g}"] if check else [""]
        cells.append([name, rest, *(f"{x.each:.3g} ({x.fit:.2f})" for x in lines), *found, laid_out(rows, value, size)])
    out += table(
        [
            "what",
            "at 16, 20, 9",
            "a daemon (fit)",
            "a worker (fit)",
            "a route (fit)",
            "foretold / measured at 64, 100, 100",
            "at the size",
        ],
        cells,
    )
    return out + ["## Against the bounds", "", *table(["what", "at the size", "bound", "verdict"], against(rows, size))]


def store_sent(spots: Sequence[tuple[int, dict[str, float]]], stores: int) -> dict[str, float]:
    """What a mean store of so many sends: pings grow with the stores, shuffles don't, and what belongs to partitions, of
    which there are always as many, is shared by all."""
    last, verbs = max(spots, key=lambda s: s[0])
    pings = slope([(float(n), x.get("ping", 0.0)) for n, x in spots]).at(stores)
    return {k: pings if k == "ping" else v if k == "shuffle" else v * last / stores for k, v in verbs.items()}


def against(rows: Sequence[Row], size: tuple[int, int, int]) -> list[list[Any]]:
    """What control costs a daemon, and what a control machine has to do, each with its bound."""
    t = Target()

    def each(role: str, what: str) -> float:
        return laid_out(rows, partial(at_rest, role, what), size)

    memory = lines_of(rows, lambda r: float(r["memory"]))[0][0].each
    spots = [(stores_of(r["daemons"]), r["rest"]["store"]["verbs"]) for r in rows if key_of(r)[1:] == REST[1:]]
    found: list[tuple[str, float, float]] = [
        ("edge: processor ms a second", each("edge", "cpu_ms"), t.cpu * 1e3), ("edge: bytes sent a second", each("edge", "sent"), t.traffic),
        ("edge: bytes received a second", each("edge", "received"), t.traffic),
        ("edge: both", each("edge", "sent") + each("edge", "received"), t.traffic),
        ("a daemon: bytes of memory beyond the program's own", memory, t.memory),
        ("a mean store: bytes sent a second", sum(store_sent(spots, stores_of(size[0])).values()), t.traffic),
        *((f"{x}: processor ms a second, of one core", each(x, "cpu_ms"), 1e3) for x in ("primary", "backup", "witness")),
        ("an operator's change in force, s (longest measured)", max(r["told"] for r in rows), t.in_force),
        ("primary: processor ms of a change, of a control beat", laid_out(rows, partial(changed_by, "primary", "cpu_ms"), size), BEAT_MS),
    ]  # fmt: skip
    return [[name, value, bound, verdict(value, bound)] for name, value, bound in found]


def lots_report(got: dict[str, list[Row]]) -> list[str]:
    t = Target()
    out: list[str] = []
    if rows := [r for r in got.get("lot", []) if "failed" not in r]:
        heads = ["items", "lifted", "body", "status", "accepted_s", "whole_s", "accept_edge_ms", "accept_stores_ms", "accept_sent", "owner_ms", "sched_ms", "mirror_ms", "stores_ms", "stores_sent", "why"]  # fmt: skip
        out += [
            "## One lot, from acceptance to its last result",
            "",
            *table(heads, [[r.get(h, "") for h in heads] for r in rows]),
        ]
        kept = [r for r in rows if r["status"] == 202]
        cells = []
        for what in (
            "accept_edge_ms",
            "accept_stores_ms",
            "owner_ms",
            "sched_ms",
            "mirror_ms",
            "stores_ms",
            "stores_sent",
        ):
            line = slope([(r["items"], r[what]) for r in kept])
            cells.append([what, line.base, line.each, f"{line.fit:.3f}", line.each * t.items])
        out += table(["what", "a lot", "an item", "fit", f"a second at {t.items:.0f} items a second"], cells)
    for name, x, title, values in (
        ("backlog", "waiting", "Waiting items", ("stores_cpu_ms", "memory", "sent")), ("running", "running", "Running items, at the active scheduler", ("cpu_ms", "sent")),
        ("memory", "items", "A lot at an owner, and functions over all of it", ("record", "waiting", "ended", "fold_ms", "dump_ms", "packed_ms", "item_body_us", "count_ms")),
    ):  # fmt: skip
        if rows := [r for r in got.get(name, []) if "failed" not in r]:
            heads = [h for h in rows[0] if h != "verbs"]
            out += [f"## {title}", "", *table(heads, [[r.get(h, "") for h in heads] for r in rows])]
            lines = {v: slope([(r[x], r[v]) for r in rows]) for v in values}
            powers = {v: growth([(r[x], r[v]) for r in rows]) for v in values}
            heads = ["what", "base", f"each ({x})", "fit", "power between the two largest"]
            out += table(heads, [[v, s.base, s.each, f"{s.fit:.3f}", powers[v]] for v, s in lines.items()])
    return out


def report(got: dict[str, list[Row]]) -> list[str]:
    t = Target()
    out = [
        "# Capacity, measured", "",
        "Made by `python -m bench.capacity measure`: the product's daemons, composed as on the platform, many in one process on",
        "simulated time; five zones, five control machines, an eighth of the daemons stores (four at the least), the rest edges.",
        "Workers' heartbeats come every 1.2 s. Processor time is of the callbacks of one process of the fleet (thread clock); it holds the",
        "simulated network's own work and not the kernel's, and of Python's collector what objects made meanwhile cost. The machine was",
        "shared with other work.", "",
    ]  # fmt: skip
    if failed := [(k, r) for k, rows in got.items() for r in rows if "failed" in r]:
        out += ["Not measured, since the run failed:", "", *(f"- {k}: {json.dumps(r)}" for k, r in failed), ""]
    if rows := [r for r in got.get("fleet", []) if "failed" not in r]:
        out += fleet_report(rows)
    if rows := got.get("stream", []):
        line = slope([(r["events"], r["cpu_ms"]) for r in rows if r["workers"] == 8])
        heads = ["events", "workers", "requests", "good", "cpu_ms"]
        out += [
            "## Streams at an edge",
            "",
            "`cpu_ms`: of an edge, for one request.",
            "",
            *table(heads, [[r[h] for h in heads] for r in rows]),
        ]
        pool = t.workers / t.models
        wide = [(float(r["workers"]), float(r["cpu_ms"])) for r in rows if r["events"] == 10]
        more, most = between(wide, pool) - between(wide, 8), between(wide, t.workers) - between(wide, 8)
        out += [f"A request {line.base:.3f} ms, an event {line.each:.4f} ms (fit {line.fit:.3f}); a request more {more:.3f} ms where a pool has {pool:.0f} workers "
                f"({t.workers} workers, {t.models} models), {most:.3f} ms where one pool has all {t.workers}.", ""]  # fmt: skip
        line = replace(line, base=line.base + more)
        both = t.requests * line.base
        out += table(["at the peak", "cores"], [["requests alone", both / 1e3], ["with an event a token", (both + t.tokens * line.each) / 1e3],
                                               ["with an event for 16 tokens", (both + t.tokens / 16 * line.each) / 1e3]])  # fmt: skip
    out += lots_report(got)
    if rows := [r for r in got.get("program", []) if "failed" not in r]:
        out += [
            f"A process that has loaded the platform's program and does nothing: {rows[0]['resident']} bytes resident.",
            "",
        ]
    if rows := [r for r in got.get("manifest", []) if "failed" not in r]:
        heads = list(rows[0])
        out += ["## Over the whole manifest, 360 machines", "", *table(heads, [[r[h] for h in heads] for r in rows])]
    return out


def state(routes: int = 60) -> Row:
    """What a change of control's state costs."""
    from bench.control_state import state_row

    return state_row(routes)


def catch_up(missed: int = 100, routes: int = 60) -> Row:
    """How soon a control member that missed changes holds the state again."""
    from bench.control_state import catch_up_row

    return catch_up_row(missed, routes)


def state_disk(routes: int = 60, writes: int = 300) -> Row:
    """How long a write of control's state takes on a real disk, whole and as a change."""
    from bench.control_state import disk_row

    return disk_row(routes, writes)


if __name__ == "__main__":
    sys.exit(fire.Fire({"measure": measure, "program": program_row, "fleet": fleet_row, "stream": stream_row, "lot": lot_row, "memory": memory_row,
                        "manifest": manifest_row, "backlog": backlog_row, "running": running_row,
                        "state": state, "catch_up": catch_up, "state_disk": state_disk}))  # fmt: skip

"""What control's replicated state costs: processor time, bytes on disk and on the wire for a change, by the number of
routes; how soon a member that missed changes holds the state again; and how much of the disk the state takes.

python -m bench.capacity state --routes 600
python -m bench.capacity catch_up --missed 1000
python -m bench.capacity state_disk --routes 600
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging as pylog
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast

from bench.capacity.meter import Meter, Row, metered
from bench.capacity.simulated_fleet import more_routes, roles
from postpass.configuration.json_delta import patch
from postpass.control.daemon import ControlPlane
from postpass.control.journal import Image, StateJournal, Tree
from postpass.membership.registry import WorkerAnnouncement
from postpass.runtime.disk import RealDisk
from postpass.storage.data_directory import open_data_directory
from sim.announced import AnnouncedFleet, Sizes
from sim.disk import SimDisk
from sim.loop import HOST, SimLoop, run_sim

SIZES = Sizes(edges=2, stores=4, cores=3, zones=3, models=4, plains=2)
CHANGES = 20
GAP = 0.1  # seconds from one change to the next
SETTLE = 3.0
COPY_VERB = "copy"


@contextmanager
def written_bytes() -> Iterator[Counter[str]]:
    """Bytes that each host writes to its disk."""
    count: Counter[str] = Counter()
    append, write = SimDisk.append, SimDisk.write

    def note(data: bytes) -> None:
        host = HOST.get()
        if host is not None:
            count[host.name] += len(data)

    def appending(disk: SimDisk, name: str, data: bytes) -> None:
        note(data)
        append(disk, name, data)

    async def writing(disk: SimDisk, name: str, data: bytes) -> None:
        note(data)
        await write(disk, name, data)

    SimDisk.append, SimDisk.write = appending, writing  # type: ignore[method-assign,assignment]
    try:
        yield count
    finally:
        SimDisk.append, SimDisk.write = append, write  # type: ignore[method-assign]


@dataclass(eq=False)
class WorkerChanges:
    """Changes of one worker's slots, asked of one control member in its own place."""

    fleet: AnnouncedFleet
    count: int = 1

    async def make(self, via: str) -> bool:
        self.count += 1
        box = self.fleet.boxes[via]
        control = cast(ControlPlane, box.daemon)
        assert box.host is not None and control.configuration_view.manifest is not None
        pool = next(iter(control.configuration_view.manifest["pools"]))
        standing: WorkerAnnouncement = {
            "pool": pool,
            "url": "http://10.99.0.1:9000",
            "area": "zone-a",
            "slots": self.count,
        }
        call = control.record_worker_heartbeat("measured", standing, self.count)
        got = await asyncio.get_running_loop().create_task(call, context=box.host.context())
        return got.is_ok() and "edition" in got.unwrap()


def control_members(fleet: AnnouncedFleet) -> list[ControlPlane]:
    return [b.daemon for b in fleet.boxes.values() if isinstance(b.daemon, ControlPlane)]


def primary_of(fleet: AnnouncedFleet) -> ControlPlane:
    return max(control_members(fleet), key=lambda c: c.epoch)


def disk_in_use(fleet: AnnouncedFleet, name: str) -> int:
    disk = fleet.boxes[name].disk
    assert disk is not None
    return sum(len(data) for data in disk.files.values())


async def founded(loop: SimLoop, routes: int) -> AnnouncedFleet:
    fleet = AnnouncedFleet(loop, {"machines": {}, "pools": {}}, 1, sizes=SIZES)
    whole = more_routes(fleet.first_config(), routes)
    fleet.first_config = lambda: whole  # type: ignore[method-assign]
    await fleet.found_announced(8.0)
    await asyncio.sleep(SETTLE)
    return fleet


def cost_of_a_change(meter: Meter, written: Counter[str], members: dict[str, list[str]], rest: Row, span: float) -> Row:
    """By role: beyond what the same time costs at rest."""
    out: Row = {}
    for role in ("primary", "backup"):
        name = members[role][0]
        out[role] = {
            "cpu_ms": round((meter.cpu[name] / 1e6 - rest[role]["cpu_ms"] * span) / CHANGES, 3),
            "disk_bytes": round((written[name] - rest[role]["disk_bytes"] * span) / CHANGES),
            "copy_bytes": round((meter.sizes[(name, COPY_VERB)] - rest[role]["copy_bytes"] * span) / CHANGES),
        }
    return out


async def at_rest(meter: Meter, written: Counter[str], members: dict[str, list[str]], span: float) -> Row:
    meter.reset()
    written.clear()
    await asyncio.sleep(span)
    return {
        role: {
            "cpu_ms": meter.cpu[members[role][0]] / 1e6 / span,
            "disk_bytes": written[members[role][0]] / span,
            "copy_bytes": meter.sizes[(members[role][0], COPY_VERB)] / span,
        }
        for role in ("primary", "backup")
    }


async def measured_changes(
    loop: SimLoop,
    meter: Meter,
    written: Counter[str],
    members: dict[str, list[str]],
    rest: Row,
    make: Callable[[], Any],
) -> Row:
    meter.reset()
    written.clear()
    began, took = loop.clock, []
    for _ in range(CHANGES):
        asked = loop.clock
        done = await make()
        if done not in (True, 200):
            raise RuntimeError(f"a change was answered by {done!r}")
        took.append(loop.clock - asked)
        await asyncio.sleep(GAP)
    row = cost_of_a_change(meter, written, members, rest, loop.clock - began)
    took.sort()
    return row | {"p50_ms": round(took[len(took) // 2] * 1e3, 2), "longest_ms": round(took[-1] * 1e3, 2)}


def state_row(routes: int = 60) -> Row:
    """One change of a worker, and one of a route by an operator, at the primary and at its backup."""
    pylog.disable(pylog.CRITICAL)
    began = time.time()

    async def main(loop: SimLoop) -> Row:
        fleet = await founded(loop, routes)
        changes = WorkerChanges(fleet)
        members = roles(fleet)
        with metered() as meter, written_bytes() as written:
            rest = await at_rest(meter, written, members, 4.0)
            via = members["primary"][0]
            by_worker = await measured_changes(loop, meter, written, members, rest, lambda: changes.make(via))
            by_operator = await measured_changes(
                loop, meter, written, members, rest, lambda: fleet.out(fleet.operator.retime())
            )
        return {"routes": routes, "worker": by_worker, "operator": by_operator}

    row: Row = run_sim(main, 1)
    return row | {"seconds": round(time.time() - began, 1)}


def catch_up_row(missed: int = 100, routes: int = 60, limit: float = 20.0) -> Row:
    """The backup loses its power, misses so many changes and is back: the time until it follows, and the disk that the
    state takes at the primary by then."""
    pylog.disable(pylog.CRITICAL)
    began = time.time()

    async def main(loop: SimLoop) -> Row:
        fleet = await founded(loop, routes)
        changes = WorkerChanges(fleet)
        name = roles(fleet)["backup"][0]
        fleet.kill(name, silent=True)
        made = 0
        while made < missed:
            made += await changes.make(primary_of(fleet).settings.name)
            await asyncio.sleep(0.001)
        lead = primary_of(fleet)
        disk = disk_in_use(fleet, lead.settings.name)
        box = fleet.boxes[name]
        assert box.disk is not None
        box.disk.power_off()
        fleet.start(name)
        back = loop.clock
        follows = -1.0
        while loop.clock - back < limit and follows < 0:
            await asyncio.sleep(0.001)
            daemon = box.daemon
            if (
                isinstance(daemon, ControlPlane)
                and daemon.configuration_view.revision >= lead.configuration_view.revision > 0
            ):
                follows = loop.clock - back
        return {"missed": missed, "routes": routes, "follows_s": round(follows, 3), "disk_bytes": disk}

    row: Row = run_sim(main, 1)
    return row | {"seconds": round(time.time() - began, 1)}


def state_tree(routes: int) -> Tree:
    """A state of the shape that control keeps, with so many routes."""
    like = {
        "host": "x.example",
        "kind": "stream",
        "split": [{"pool": "llm", "weight": 100}],
        "timeout": 5.0,
        "tries": 2,
    }
    named = {f"r{n}": {**like, "prefix": f"/{n}/"} for n in range(routes)}
    servers = {f"w{n}": {"url": f"http://10.0.0.{n}:9000", "area": "a", "slots": 8} for n in range(20)}
    manifest = {"routes": named, "pools": {"llm": {"servers": servers}}}
    source = {"routes": [{"name": name, **route} for name, route in named.items()]}
    return {"whole": 1, "pair": {"epoch": 1}, "state": {"edition": 1, "manifest": manifest, "source": source}}


def with_slots(tree: Tree, version: int) -> Tree:
    slots = ["state", "manifest", "pools", "llm", "servers", "w1", "slots"]
    changed: Tree = patch(tree, [[["state", "edition"], version], [slots, version]])
    return changed


def percentiles(times: list[float]) -> Row:
    ranked = sorted(times)
    return {
        "p50_ms": round(ranked[len(ranked) // 2] * 1e3, 3),
        "p99_ms": round(ranked[len(ranked) * 99 // 100] * 1e3, 3),
    }


def disk_row(routes: int = 60, writes: int = 300) -> Row:
    """On a real disk, in turns: a change as 0.2.0 wrote it, the whole state into a new file, and as a record of the log."""

    async def main(folder: str) -> Row:
        whole_disk, log_disk = RealDisk(Path(folder) / "whole"), RealDisk(Path(folder) / "log")
        data_directory = await open_data_directory("bench", log_disk, random.Random(1), 1 << 16, 0)
        journal = await StateJournal.open("bench", log_disk, data_directory.log, data_directory.entries)
        tree = state_tree(routes)
        image = await journal.replace(Image.of(1, 1, tree))
        whole: list[float] = []
        log: list[float] = []
        for version in range(2, writes + 2):
            began = time.perf_counter()
            body = json.dumps(with_slots(tree, version), separators=(",", ":"))
            total = hashlib.sha256(body.encode()).hexdigest()
            await whole_disk.write("state", json.dumps({"sum": total, "body": body}).encode())
            whole.append(time.perf_counter() - began)
            began = time.perf_counter()
            change, _ = image.change_to(1, version, with_slots(image.tree, version))
            image = await journal.append(change)
            log.append(time.perf_counter() - began)
            await journal.compact_if_due()
        return {"routes": routes, "writes": writes, "whole": percentiles(whole), "log": percentiles(log)}

    with TemporaryDirectory() as folder:
        return asyncio.run(main(folder))

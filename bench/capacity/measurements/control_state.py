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
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import cast

from bench.capacity.meter import Meter, Row, metered
from bench.capacity.simulated_fleet import FOUNDING_LIMIT, announced_fleet, primary_of, roles, set_route_count
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
COPY_VERB = "copy"  # by which the primary sends the state
REST = 4.0  # seconds for which the fleet is watched without changes
STATE_ROLES = ("primary", "backup")
ACCEPTED = 200
POLL = 0.001  # seconds
NEVER = -1.0


@contextmanager
def written_bytes() -> Iterator[Counter[str]]:
    """Bytes that each host writes to its disk."""
    count: Counter[str] = Counter()
    append, write = SimDisk.append, SimDisk.write

    def count_bytes(data: bytes) -> None:
        host = HOST.get()
        if host is not None:
            count[host.name] += len(data)

    def counted_append(disk: SimDisk, name: str, data: bytes) -> None:
        count_bytes(data)
        append(disk, name, data)

    async def counted_write(disk: SimDisk, name: str, data: bytes) -> None:
        count_bytes(data)
        await write(disk, name, data)

    SimDisk.append, SimDisk.write = counted_append, counted_write  # type: ignore[method-assign,assignment]
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
        """Asks the control member `via` for the next change; tells whether it was taken."""
        self.count += 1
        box = self.fleet.boxes[via]
        control = cast(ControlPlane, box.daemon)
        configuration = control.configuration_view.manifest
        assert box.host is not None and configuration is not None  # it runs in a fleet that is founded
        pool = next(iter(configuration["pools"]))
        announcement: WorkerAnnouncement = {
            "pool": pool,
            "url": "http://10.99.0.1:9000",
            "area": "zone-a",
            "slots": self.count,
        }
        heartbeat = control.record_worker_heartbeat("measured", announcement, self.count)
        answer = await asyncio.get_running_loop().create_task(heartbeat, context=box.host.context())
        return answer.is_ok() and "edition" in answer.unwrap()


def disk_in_use(fleet: AnnouncedFleet, name: str) -> int:
    """Bytes of all files on a machine's disk."""
    disk = fleet.boxes[name].disk
    assert disk is not None
    return sum(len(data) for data in disk.files.values())


async def founded(loop: SimLoop, routes: int) -> AnnouncedFleet:
    """A settled fleet with so many routes."""
    fleet = announced_fleet(loop, SIZES)
    set_route_count(fleet, routes)
    await fleet.found_announced(FOUNDING_LIMIT)
    await asyncio.sleep(SETTLE)
    return fleet


@dataclass(frozen=True)
class StateCost:
    """What one member spends: milliseconds of processor time, bytes to its disk, and bytes of the state to others."""

    cpu_ms: float
    disk_bytes: float
    copy_bytes: float

    def scaled(self, factor: float) -> StateCost:
        """That many times as much."""
        return StateCost(self.cpu_ms * factor, self.disk_bytes * factor, self.copy_bytes * factor)

    def beyond(self, other: StateCost) -> StateCost:
        """What it is more than another cost."""
        return StateCost(
            self.cpu_ms - other.cpu_ms, self.disk_bytes - other.disk_bytes, self.copy_bytes - other.copy_bytes
        )

    def as_row(self) -> Row:
        """As it is written as JSON."""
        return {
            "cpu_ms": round(self.cpu_ms, 3), "disk_bytes": round(self.disk_bytes), "copy_bytes": round(self.copy_bytes),
        }  # fmt: skip


@dataclass(eq=False)
class StateMeter:
    """What a primary and its backup spend on the replicated state, in a fleet that keeps its roles meanwhile.

    `rest` is what the two cost in a second without changes; `measure_rest` sets it.
    """

    loop: SimLoop
    meter: Meter
    written: Counter[str]  # bytes, by host
    members: dict[str, list[str]]  # names by role
    rest: dict[str, StateCost] = field(default_factory=dict)

    async def measure_rest(self, span: float) -> None:
        """Watches the fleet for `span` seconds without changes."""
        self._reset()
        await asyncio.sleep(span)
        self.rest = {role: self._cost(role).scaled(1 / span) for role in STATE_ROLES}

    async def measure_changes(self, make: Callable[[], Awaitable[bool | int]]) -> Row:
        """What one change costs by role beyond what the same time costs at rest, and how long it takes.

        Raises:
          RuntimeError: a change was not taken.
        """
        self._reset()
        began = self.loop.clock
        latencies: list[float] = []
        for _ in range(CHANGES):
            asked = self.loop.clock
            answer = await make()
            if answer not in (True, ACCEPTED):
                raise RuntimeError(f"a change was answered by {answer!r}")
            latencies.append(self.loop.clock - asked)
            await asyncio.sleep(GAP)
        span = self.loop.clock - began
        costs = {role: self._cost(role).beyond(self.rest[role].scaled(span)) for role in STATE_ROLES}
        row: Row = {role: cost.scaled(1 / CHANGES).as_row() for role, cost in costs.items()}
        latencies.sort()
        median, longest = latencies[len(latencies) // 2], latencies[-1]
        return row | {"p50_ms": round(median * 1e3, 2), "longest_ms": round(longest * 1e3, 2)}

    def _reset(self) -> None:
        self.meter.reset()
        self.written.clear()

    def _cost(self, role: str) -> StateCost:
        name = self.members[role][0]
        return StateCost(self.meter.cpu[name] / 1e6, self.written[name], self.meter.sizes[(name, COPY_VERB)])


def state_row(routes: int = 60) -> Row:
    """One change of a worker, and one of a route by an operator, at the primary and at its backup."""
    pylog.disable(pylog.CRITICAL)
    began = time.time()

    async def main(loop: SimLoop) -> Row:
        fleet = await founded(loop, routes)
        changes = WorkerChanges(fleet)
        members = roles(fleet)
        with metered() as meter, written_bytes() as written:
            state_meter = StateMeter(loop, meter, written, members)
            await state_meter.measure_rest(REST)
            primary = members["primary"][0]
            by_worker = await state_meter.measure_changes(lambda: changes.make(primary))
            by_operator = await state_meter.measure_changes(lambda: fleet.out(fleet.operator.retime()))
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
        backup = roles(fleet)["backup"][0]
        fleet.kill(backup, silent=True)
        made = 0
        while made < missed:
            made += await changes.make(primary_of(fleet).settings.name)
            await asyncio.sleep(POLL)
        primary = primary_of(fleet)
        disk_bytes = disk_in_use(fleet, primary.settings.name)
        box = fleet.boxes[backup]
        assert box.disk is not None  # control members have one
        box.disk.power_off()
        fleet.start(backup)
        started = loop.clock
        follows = NEVER
        while loop.clock - started < limit and follows == NEVER:
            await asyncio.sleep(POLL)
            if _follows(box.daemon, primary):
                follows = loop.clock - started
        return {"missed": missed, "routes": routes, "follows_s": round(follows, 3), "disk_bytes": disk_bytes}

    row: Row = run_sim(main, 1)
    return row | {"seconds": round(time.time() - began, 1)}


def _follows(daemon: object, primary: ControlPlane) -> bool:
    """Does a control member know the primary's newest configuration?"""
    if not isinstance(daemon, ControlPlane):
        return False
    return daemon.configuration_view.revision >= primary.configuration_view.revision > 0


def state_tree(routes: int) -> Tree:
    """A state of the shape that control keeps, with so many routes."""
    route = {
        "host": "x.example",
        "kind": "stream",
        "split": [{"pool": "llm", "weight": 100}],
        "timeout": 5.0,
        "tries": 2,
    }
    routes_by_name = {f"r{n}": {**route, "prefix": f"/{n}/"} for n in range(routes)}
    servers = {f"w{n}": {"url": f"http://10.0.0.{n}:9000", "area": "a", "slots": 8} for n in range(20)}
    manifest = {"routes": routes_by_name, "pools": {"llm": {"servers": servers}}}
    source = {"routes": [{"name": name, **fields} for name, fields in routes_by_name.items()]}
    return {"whole": 1, "pair": {"epoch": 1}, "state": {"edition": 1, "manifest": manifest, "source": source}}


def with_slots(tree: Tree, version: int) -> Tree:
    """The state after a change of one worker's slots."""
    slots = ["state", "manifest", "pools", "llm", "servers", "w1", "slots"]
    changed: Tree = patch(tree, [[["state", "edition"], version], [slots, version]])
    return changed


def percentiles(times: list[float]) -> Row:
    """Median and 99th percentile of times in seconds, in milliseconds."""
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

"""How feed, membership and acknowledgements grow with daemons and routes."""

from __future__ import annotations

import asyncio
import logging as pylog
import multiprocessing
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from bench.measure.pages import write_page
from bench.plan import changed, manifest
from postpass.gateway import worker_load
from postpass.rpc import codec
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim

PROCESSES = 6
SETTLE = 4.0  # seconds
QUIET = 5.0  # seconds for which the fleet is watched at rest
POLL = 0.01  # seconds
SHARING_EDGES = 16  # from so many edges on, not each of them asks the workers for their load
ALL_EDGES = 10**6
Row = dict[str, float]


@dataclass(frozen=True)
class FleetSize:
    """A fleet to be measured. `shared`: two edges of a zone ask the workers for their load, and not each of them."""

    edges: int
    routes: int
    shared: bool

    @property
    def configuration(self) -> dict[str, Any]:
        """As it is founded with."""
        stores = 4 if self.edges < 100 else 8
        configuration = manifest(edges=self.edges, stores=stores, scheds=2, workers=4, parts=8)
        return configuration | {"ways": {f"/r{i}": "view" for i in range(self.routes)}}


@dataclass(eq=False)
class SentMessages:
    """The sizes in bytes of all messages between the fleet's own processes, by verb."""

    sizes: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def bytes_of(self, verb: str) -> int:
        """All bytes of a verb."""
        return sum(self.sizes.get(verb, []))

    @property
    def count(self) -> int:
        """All messages."""
        return sum(map(len, self.sizes.values()))

    @property
    def total(self) -> int:
        """All bytes."""
        return sum(map(sum, self.sizes.values()))


@contextmanager
def counted_messages() -> Iterator[SentMessages]:
    """Counts what the processes of this simulated fleet send each other."""
    sent, original = SentMessages(), codec.encode_message

    def encode(verb: str, kind: int, sequence: int, record: Any) -> bytes:
        data = original(verb, kind, sequence, record)
        sent.sizes[verb].append(len(data))
        return data

    codec.encode_message = encode
    try:
        yield sent
    finally:
        codec.encode_message = original


def size_run(size: FleetSize) -> Row:
    """Traffic of a quiet fleet of many daemons and routes, and of one change of the configuration."""
    worker_load.MAX_POLLING_EDGES = SHARING_EDGES if size.shared else ALL_EDGES
    pylog.disable(pylog.CRITICAL)

    async def main(loop: SimLoop) -> Row:
        with counted_messages() as sent:
            fleet = SimFleet(loop, size.configuration, 1)
            await fleet.found()
            await asyncio.sleep(SETTLE)
            rest = await _measure_rest(loop, fleet, sent)
            change = await _measure_change(loop, fleet, sent, changed(size.configuration, "ways./extra", "view"))
        return {"daemons": len(fleet.configuration["machines"])} | rest | change

    row: Row = run_sim(main, 1)
    return row


async def _measure_rest(loop: SimLoop, fleet: SimFleet, sent: SentMessages) -> Row:
    """Per second: of a worker, of a daemon, and of all daemons for what belongs to the replicas."""
    daemons = len(fleet.configuration["machines"])
    workers = [box.thing for name, box in fleet.boxes.items() if name.startswith("w")]
    sent.sizes.clear()
    steps, polls = loop.ran, sum(worker.polls for worker in workers)
    await asyncio.sleep(QUIET)
    return {
        "polled": (sum(worker.polls for worker in workers) - polls) / QUIET / len(workers),
        "msgs": sent.count / QUIET / daemons,
        "bytes": sent.total / QUIET / daemons,
        "shuffle": sent.bytes_of("shuffle") / QUIET / daemons,
        "follow": sent.bytes_of("follow") / QUIET / daemons,
        "ack": sent.bytes_of("ack") / QUIET,
        "carry": sent.bytes_of("carry") / QUIET,
        "steps": (loop.ran - steps) / QUIET,
    }


async def _measure_change(loop: SimLoop, fleet: SimFleet, sent: SentMessages, configuration: dict[str, Any]) -> Row:
    """Until all daemons know a change, and the bytes for it: of the feed to a daemon, and of the state to the backup."""
    sent.sizes.clear()
    began = loop.clock
    await fleet.out(fleet.apply(configuration, 1))
    while any(box.daemon and box.daemon.configuration_view.revision < 2 for box in fleet.boxes.values()):
        await asyncio.sleep(POLL)
    everywhere_after = loop.clock - began
    await asyncio.sleep(1)
    daemons = len(fleet.configuration["machines"])
    return {"spread": everywhere_after, "change": sent.bytes_of("follow") / daemons, "copy": sent.bytes_of("copy")}


SIZES = [
    FleetSize(300, 1, True), FleetSize(300, 1, False), FleetSize(120, 600, True), FleetSize(120, 1, True),
    FleetSize(120, 1, False), FleetSize(40, 600, True), FleetSize(40, 1, True), FleetSize(40, 1, False),
    FleetSize(8, 600, True), FleetSize(8, 1, True),
]  # fmt: skip


def size(out: str = "") -> None:
    """How feed, membership and acknowledgements grow with daemons and routes."""
    with multiprocessing.Pool(PROCESSES) as pool:
        rows = pool.map(size_run, SIZES, chunksize=1)
    lines = [
        "# Size: what grows with daemons and routes", "",
        "Made by `python -m bench.measure size`: a quiet simulated fleet, 5 s; then one route is added. Bytes are of messages between",
        "own processes. Per daemon and second, but for the copies' traffic (acks, stream), which is the whole fleet's.", "",
        "| daemons | routes | readings of the servers | polls a worker gets a second | messages | bytes | of it shuffles | of it feed | acks, all | stream, all | one change: everywhere after, s | feed bytes a daemon for it | pair's copy, bytes |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|",
        *(_size_row(measured, row) for measured, row in zip(SIZES, rows, strict=True)),
    ]  # fmt: skip
    write_page(lines, out)


def _size_row(measured: FleetSize, row: Row) -> str:
    readings = "two an area" if measured.shared else "every edge"
    traffic = " | ".join(f"{row[key]:.0f}" for key in ("bytes", "shuffle", "follow", "ack", "carry"))
    return (
        f"| {row['daemons']:g} | {measured.routes} | {readings} | {row['polled']:.1f} | {row['msgs']:.1f} | {traffic} | "
        f"{row['spread']:.2f} | {row['change']:.0f} | {row['copy']:.0f} |"
    )

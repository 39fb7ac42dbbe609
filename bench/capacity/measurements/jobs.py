"""What jobs cost: one from its acceptance to its last result."""

from __future__ import annotations

import asyncio
import logging as pylog
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

from bench.capacity.meter import Row, metered
from bench.capacity.simulated_fleet import active_schedulers
from postpass.batch import job_api
from postpass.configuration.configuration import partition_of
from postpass.membership.machine_registry import INITIAL_PARTITIONS
from sim.announced import AnnouncedFleet, Sizes
from sim.clients import Clients, Kind
from sim.hollow import hand_in
from sim.loop import SimLoop, run_sim
from sim.workers import Engine


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
        active = list(active_schedulers(fleet))
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

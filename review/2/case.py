"""A machine of control freezes with an operator's order in its hands, and carries it out when it wakes."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet import BOUNDS, LIMITS, ZONES, Fleet, Machine, Record, has_build  # noqa: E402
from standins import Answer, Operator, Worker, call, is_ready, until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "ficu95.example", "/pudu11/"
FREEZE_S = 3.5  # as the site qvra-postpass has it for machines of the system
EVAC_S, CONTACT_S = BOUNDS["evacMs"] / 1000, BOUNDS["contactMs"] / 1000
WATCH_S = 8.0  # for which arrivals are judged
GAP_S = 0.05  # between two requests to one edge


def configuration() -> dict[str, object]:
    """One route to one service, with the fields of the sheet."""
    return {
        "version": 3,
        "routes": [{
            "name": "r-alarm", "host": HOST, "prefix": PREFIX, "kind": "idem", "timeoutMs": 1500, "targetMs": 125,
            "prio": 2, "service": "alarmtavle", "tries": 2, "pinned": False, "resumable": False,
        }],
        "services": [{
            "name": "alarmtavle", "health": "/health", "maxConns": 110, "proto": "h1", "tls": False, "warmupS": 0.0,
            "coldRateS": 0.0,
        }],
        "limits": LIMITS,
    }  # fmt: skip


class Traffic:
    """Clients that ask all edges all the time."""

    def __init__(self, edges: list[Machine], record: Record) -> None:
        self.edges, self.record, self.sent = edges, record, 0

    async def run(self, edge: Machine) -> None:
        """Asks one edge until cancelled."""
        while True:
            self.sent += 1
            head = {
                "Host": HOST,
                "Postpass-Attempt-Id": f"{edge.name}-{self.sent}",
                "Postpass-Deadline-Ms": "1500",
                "Connection": "close",
            }
            try:
                got = await call(edge.front, "GET", f"{PREFIX}{self.sent}", head, limit=1.5)
                self.record(f"{head['Postpass-Attempt-Id']} is answered {got.status}")
            except (OSError, EOFError, TimeoutError) as error:
                self.record(f"{head['Postpass-Attempt-Id']} has no answer: {type(error).__name__}")
            await asyncio.sleep(GAP_S)


async def is_primary(machine: Machine) -> bool:
    """Does this machine of control lead? Only to choose which one freezes."""
    return bool((await call(machine.ctl, "GET", "/v1/status")).json()["control"]["leads"])


async def run(fleet: Fleet, record: Record) -> int:
    """The exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    cores = [fleet.add("core", zone) for zone in ZONES]
    stores = [fleet.add("store", zone) for zone in ZONES]
    edges = [fleet.add("edge", zone) for zone in ZONES]
    for machine in [*cores, *stores, *edges]:
        machine.start()
    control = [m.ctl for m in cores]
    workers = [
        Worker(f"i-{i}", "alarmtavle", zone, f"{fleet.next_ip()}:{fleet.port + 19}", control, record, slots=6)
        for i, zone in enumerate(ZONES)
    ]
    for worker in workers:
        await worker.start()
    background = [asyncio.create_task(worker.beat()) for worker in workers]
    operator = Operator(control, record)
    try:
        taken = await operator.order("PUT", "/-/config", configuration(), {"If-Match": "0"}, limit=20)
        if taken is None or taken.status != 200:
            return 2
        for edge in edges:
            if not await until(lambda edge=edge: is_ready(edge.ready), 20):  # type: ignore[misc]
                return 2
        traffic = Traffic(edges, record)
        background += [asyncio.create_task(traffic.run(edge)) for edge in edges]
        await asyncio.sleep(3)
        if not all(worker.arrivals for worker in workers):
            return 2
        return await evacuate_thrice(cores, workers, operator, record)
    finally:
        for task in background:
            task.cancel()
        for worker in workers:
            if worker.server is not None:
                worker.server.close()


def done(answer: Answer | None) -> bool:
    """Was an order acknowledged?"""
    return answer is not None and 200 <= answer.status < 300


async def evacuate_thrice(cores: list[Machine], workers: list[Worker], operator: Operator, record: Record) -> int:
    """Evacuates a zone, takes that back, and evacuates it again; meanwhile a machine of control stands still."""
    # The machine that stands still is one of the zone that is evacuated: all the trouble is in one zone.
    victim = [core for core in cores if not await is_primary(core)][0]
    away, path = victim.zone, f"/-/evac/{victim.zone}"
    if not done(await operator.order("POST", path)):
        return 2
    await asyncio.sleep(3)
    if TROUBLE:
        record(f"{victim.name} at {victim.ctl} freezes")
        victim.freeze()
    froze = time.monotonic()
    await asyncio.sleep(0.2)
    if not done(await operator.order("DELETE", path, first=victim.ctl)):
        return 2
    await asyncio.sleep(0.5)
    if not done(await operator.order("POST", path, first=next(c.ctl for c in cores if c is not victim))):
        return 2
    acknowledged = time.monotonic()
    record(f"the evacuation of {away} is acknowledged and not taken back from here on")
    await asyncio.sleep(max(0.0, froze + FREEZE_S - time.monotonic()))
    if TROUBLE:
        victim.thaw()
        record(f"{victim.name} goes on")
    woke = time.monotonic()
    # From here on all machines are in touch, and the evacuation binds them.
    binds = max(acknowledged + EVAC_S, woke + CONTACT_S) + 0.5
    await asyncio.sleep(binds + WATCH_S - time.monotonic())
    late = [a for w in workers if w.zone == away for a in w.arrivals if a.at > binds]
    elsewhere = sum(a.at > binds for w in workers if w.zone != away for a in w.arrivals)
    for arrival in late:
        record(
            f"too late: {arrival.worker} in {away} ran {arrival.request}, {arrival.at - acknowledged:.2f} s after the acknowledgement"
        )
    record(
        f"{len(late)} requests ran in {away} and {elsewhere} elsewhere, later than {binds - acknowledged:.2f} s after it"
    )
    if not elsewhere:
        return 2
    return 1 if late else 0


def main() -> int:
    """Runs the case."""
    if not has_build():
        return 2
    record, fleet = Record(HERE / "record.txt"), Fleet(net=37)
    try:
        status = asyncio.run(run(fleet, record))
        record(f"exit status {status}")
        return status
    finally:
        fleet.close(os.environ.get("KEEP_LOGS", ""))
        record.close()


if __name__ == "__main__":
    sys.exit(main())

"""A store machine is killed while lots wait: what waits in a partition is never handed out again."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet import BOUNDS, LIMITS, ZONES, Fleet, Machine, Record, has_build  # noqa: E402
from standins import Operator, Worker, call, is_ready, until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "ficu95.example", "/pule252/"
LOTS, LOTS_A_SECOND = 4, 2.0  # twice the usual number, for two seconds
PARTITIONS = 8  # of a fleet that founds itself; all lots of this test fall to the first one, by their ids
ITEMS, BODY_BYTES, TOKENS = 30, 100_000, 940  # 4.0 MB in all; `maxBodyBytes` and 200 items are the limits
WORKERS, SLOTS, PIECES = 9, 24, 42  # of the sheet
PIECE_S = 0.1  # between two pieces; the sheet's aim allows for 0.3
FINISH_S, CALM_S, QUIET_S = BOUNDS["finishS"], 5.0, 3.0  # the figures of the rule
LONGER_S = 10.0  # that the test waits beyond `finishS`, so that all has been calm for long
EXPIRE_S = 40.0


def configuration() -> dict[str, object]:
    """One route for lots, with the fields of the sheet."""
    return {
        "version": 3,
        "routes": [{
            "name": "r-lots", "host": HOST, "prefix": PREFIX, "kind": "bulk", "timeoutMs": 8000, "targetMs": 400, "prio": 2,
            "service": "llm-pulje", "tries": 3, "pinned": True, "resumable": True, "gapTargetMs": 300,
            "maxQueued": 1200000, "dueMs": 10000, "expireS": EXPIRE_S,
        }],
        "services": [{
            "name": "llm-pulje", "health": "/health", "maxConns": 210, "proto": "h1", "tls": False, "warmupS": 3.0,
            "coldRateS": 20.0,
            "engine": {
                "slots": SLOTS, "kvCap": 379754, "kvTokBytes": 327680, "netMbps": 1100000.0, "interval": 16,
                "models": [{"name": "m"}],
            },
        }],
        "limits": LIMITS,
    }  # fmt: skip


def lot_id() -> str:
    """A lot's id at random, among those that fall to the first partition: one in eight does."""
    while True:
        lot = f"{random.getrandbits(64):016x}"
        if int.from_bytes(hashlib.sha256(lot.encode()).digest()[:8], "big") % PARTITIONS == 0:
            return lot


class Client:
    """Hands lots in, as the pages say: again at another daemon after 429, 503, a silence or a cut."""

    def __init__(self, edges: list[Machine], record: Record) -> None:
        self.edges, self.record = edges, record
        self.accepted: dict[str, float] = {}  # lot -> when it was sent first

    async def hand_in(self) -> None:
        """One lot, to its 202 or until a few tries were made."""
        lot, sent = lot_id(), time.monotonic()
        items = [
            {
                "id": f"{lot[:14]}{i:02x}", "path": f"{PREFIX}3/{i}", "tokens": TOKENS,
                "headers": {"Postpass-Model": "m", "Postpass-Tokens": "540,400"},
                "body": base64.b64encode(os.urandom(BODY_BYTES)).decode(),
            }
            for i in range(ITEMS)
        ]  # fmt: skip
        head = {"Host": HOST, "Postpass-Attempt-Id": lot, "Content-Type": "application/json"}
        body = json.dumps({"items": items}).encode()
        assert len(body) < LIMITS["maxBodyBytes"]
        for _ in range(4):
            edge = random.choice(self.edges)
            try:
                got = await call(edge.front, "POST", f"{PREFIX}{lot[:6]}", head, body, limit=4.0)
            except (OSError, EOFError, TimeoutError) as error:
                self.record(f"lot {lot} sent to {edge.name}: no answer ({type(error).__name__})")
                continue
            self.record(f"lot {lot} of {len(body)} bytes sent to {edge.name}: {got.status}")
            if got.status == 202:
                self.accepted[lot] = sent
                return
            await asyncio.sleep(0.3)

    async def run(self) -> None:
        """Hands lots in at random moments, and waits for all answers."""
        sending = []
        for _ in range(LOTS):
            sending.append(asyncio.create_task(self.hand_in()))
            await asyncio.sleep(random.expovariate(LOTS_A_SECOND))
        await asyncio.gather(*sending)

    async def listed(self, lot: str) -> list[str] | None:
        """The states of a lot's results so far; None if no daemon answers."""
        for edge in random.sample(self.edges, len(self.edges)):
            try:
                got = await call(edge.front, "GET", f"/-/lots/{lot}?startAfter=0", {"Host": HOST}, limit=3.0)
            except (OSError, EOFError, TimeoutError):
                continue
            if got.status == 200:
                return [row["state"] for row in got.json()["results"]]
        return None


async def scheduler_of(stores: list[Machine]) -> Machine | None:
    """The store whose scheduler is active, by the status pages; only to choose the machine that is killed."""
    for store in stores:
        host, port = store.peer.rsplit(":", 1)
        if (await call(f"{host}:{int(port) + 1}", "GET", "/v1/status")).json()["sched"]["active"]:
            return store
    return None


async def run(fleet: Fleet, record: Record) -> int:
    """The exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    cores = [fleet.add("core", zone) for zone in ZONES]
    stores = [fleet.add("store", zone) for zone in ZONES]
    edges = [fleet.add("edge", zone) for zone in ZONES]
    for machine in [*cores, *stores, *edges]:
        machine.start()
    control = [m.ctl for m in cores]
    workers = [
        Worker(
            f"i-{i}", "llm-pulje", ZONES[i % 4], f"{fleet.next_ip()}:{fleet.port + 19}", control, record, slots=SLOTS,
            model=True, pieces=PIECES, piece_seconds=PIECE_S,
        )
        for i in range(WORKERS)
    ]  # fmt: skip
    for worker in workers:
        await worker.start()
    background = [asyncio.create_task(worker.beat()) for worker in workers]
    try:
        taken = await Operator(control, record).order("PUT", "/-/config", configuration(), {"If-Match": "0"}, limit=20)
        if taken is None or taken.status != 200:
            return 2
        for edge in edges:
            if not await until(lambda edge=edge: is_ready(edge.ready), 20):  # type: ignore[misc]
                return 2
        await asyncio.sleep(4)
        return await kill_scheduler(stores, workers, Client(edges, record), record)
    finally:
        for task in background:
            task.cancel()
        for worker in workers:
            if worker.server is not None:
                worker.server.close()


async def kill_scheduler(stores: list[Machine], workers: list[Worker], client: Client, record: Record) -> int:
    """Hands in lots, kills a store once all of them are in, and looks at the lots well after `finishS`."""
    await client.run()
    ended = time.monotonic()
    record(f"{len(client.accepted)} lots of {ITEMS} items were accepted")
    victim = await scheduler_of(stores)
    if victim is None:
        return 2
    if TROUBLE:
        victim.kill()
        record(f"{victim.name} is killed")
        await asyncio.sleep(1)
        victim.bootstrap = False
        victim.start()
        record(f"{victim.name} is started again")
    finished: list[float] = []
    counts: dict[str, int] = {}
    while time.monotonic() < ended + FINISH_S + LONGER_S:
        await asyncio.sleep(0.5)
        for lot in client.accepted:
            states = await client.listed(lot)
            if states is not None and len(states) > counts.get(lot, 0):
                counts[lot] = len(states)
                finished.append(time.monotonic())
    for store in stores:
        record(f"{store.name} has used {store.peak_mb():.0f} MB of memory at the most")
    at = time.monotonic()
    last_run = max((w.last_busy for w in workers), default=0.0)
    last_listed = max(finished, default=0.0)
    seen = f"{at - last_listed:.2f} s ago" if finished else "never"
    record(f"workers were last busy {at - last_run:.2f} s ago, a result was last seen: {seen}")
    left = 0
    for lot, sent in client.accepted.items():
        states = await client.listed(lot) or []
        record(f"lot {lot}, sent {at - sent:.1f} s ago: {len(states)} of {ITEMS} items are listed")
        left += ITEMS - len(states)
        assert time.monotonic() - sent < EXPIRE_S
    record(f"{left} items of accepted lots are neither done nor abandoned")
    if len(client.accepted) < LOTS:
        return 2
    return 1 if left and at - last_run > CALM_S and at - last_listed > QUIET_S else 0


def main() -> int:
    """Runs the case."""
    if not has_build():
        return 2
    record, fleet = Record(HERE / "record.txt"), Fleet(net=38)
    try:
        status = asyncio.run(run(fleet, record))
        record(f"exit status {status}")
        return status
    finally:
        fleet.close(os.environ.get("KEEP_LOGS", ""))
        record.close()


if __name__ == "__main__":
    sys.exit(main())

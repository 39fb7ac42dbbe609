"""Four store machines are added while an old one stands still: lots that are accepted meanwhile are lost."""

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
FREEZE_S = 3.5  # the longest that the site files let a machine stand still
HOST, PREFIX = "ficu95.example", "/pule252/"
LOTS_A_SECOND, ITEMS = 5.8, 5  # six times the usual number of lots, as in the site's bursts; small ones
BEFORE_S, LOTS_S = 8.0, 16.0  # lots before the trouble, and lots in all
CALM_S = 15.0  # from when the frozen machine goes on until lots are read: over contactMs and recoverS
SETTLE_S = BOUNDS["settleMs"] / 1000


def configuration() -> dict[str, object]:
    """One route for lots, with the fields of the sheet."""
    return {
        "version": 3,
        "routes": [{
            "name": "r-lots", "host": HOST, "prefix": PREFIX, "kind": "bulk", "timeoutMs": 8000, "targetMs": 400, "prio": 2,
            "service": "llm-pulje", "tries": 3, "pinned": True, "resumable": True, "gapTargetMs": 300,
            "maxQueued": 1200000, "dueMs": 10000, "expireS": 40,
        }],
        "services": [{
            "name": "llm-pulje", "health": "/health", "maxConns": 210, "proto": "h1", "tls": False, "warmupS": 3.0,
            "coldRateS": 20.0,
            "engine": {
                "slots": 24, "kvCap": 379754, "kvTokBytes": 327680, "netMbps": 1100000.0, "interval": 16,
                "models": [{"name": "m"}],
            },
        }],
        "limits": LIMITS,
    }  # fmt: skip


class Client:
    """Hands lots in, as the pages say: again at another daemon after 429, 503, a silence or a cut."""

    def __init__(self, edges: list[Machine], record: Record) -> None:
        self.edges, self.record = edges, record
        self.accepted: dict[str, float] = {}  # lot -> time of its 202
        self.read: dict[str, int] = {}  # lot -> how many results were read

    async def hand_in(self) -> None:
        """One lot, to its 202 or until a few tries were made."""
        lot = f"{random.getrandbits(64):016x}"
        items = [
            {
                "id": f"{lot[:14]}{i:02x}", "path": f"{PREFIX}3/{i}", "tokens": 940,
                "headers": {"Postpass-Model": "m", "Postpass-Tokens": "540,400"},
                "body": base64.b64encode(os.urandom(60)).decode(),
            }
            for i in range(ITEMS)
        ]  # fmt: skip
        head = {"Host": HOST, "Postpass-Attempt-Id": lot, "Content-Type": "application/json"}
        body = json.dumps({"items": items}).encode()
        for _ in range(4):
            edge = random.choice(self.edges)
            try:
                got = await call(edge.front, "POST", f"{PREFIX}{lot[:6]}", head, body, limit=4.0)
            except (OSError, EOFError, TimeoutError) as error:
                self.record(f"lot {lot} sent to {edge.name}: no answer ({type(error).__name__})")
                continue
            self.record(f"lot {lot} sent to {edge.name}: {got.status}")
            if got.status == 202:
                self.accepted[lot] = time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def run(self) -> None:
        """Hands lots in at random moments, and waits for all answers."""
        until_time, sending = time.monotonic() + LOTS_S, []
        while time.monotonic() < until_time:
            sending.append(asyncio.create_task(self.hand_in()))
            await asyncio.sleep(random.expovariate(LOTS_A_SECOND))
        await asyncio.gather(*sending)

    async def look(self, lot: str, edge: Machine) -> tuple[int, int]:
        """The status of an answer about a lot, and how many results it gives; 0 for no answer."""
        try:
            got = await call(edge.front, "GET", f"/-/lots/{lot}?startAfter=0", {"Host": HOST}, limit=3.0)
        except (OSError, EOFError, TimeoutError):
            return 0, 0
        return got.status, len(got.json()["results"]) if got.status == 200 else 0


async def owners(stores: list[Machine]) -> dict[int, Machine]:
    """Which store owns each partition, by their status pages; only to choose the machine that stands still."""
    found = {}
    for store in stores:
        host, port = store.peer.rsplit(":", 1)
        for row in (await call(f"{host}:{int(port) + 1}", "GET", "/v1/status")).json()["store"]["parts"]:
            if row["owning"] and row["ready"]:
                found[row["part"]] = store
    return found


def moved_at_once(partitions: int, old: list[Machine], new: list[Machine]) -> list[int]:
    """The partitions whose wanted members are all new: of the two stores in each zone the one with the lower hash."""

    def is_new(part: int, zone: str) -> bool:
        def rank(store: Machine) -> bytes:
            return hashlib.sha256(f"{part}/{store.name}".encode()).digest()

        both = [s for s in [*old, *new] if s.zone == zone]
        return min(both, key=rank) in new

    return [part for part in range(partitions) if all(is_new(part, zone) for zone in ZONES)]


async def run(fleet: Fleet, record: Record) -> int:
    """The exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    cores = [fleet.add("core", zone) for zone in ZONES]
    stores = [fleet.add("store", zone) for zone in ZONES]
    edges = [fleet.add("edge", zone) for zone in ZONES]
    for machine in [*cores, *stores, *edges]:
        machine.start()
    control = [m.ctl for m in cores]
    workers = [
        Worker(f"i-{i}", "llm-pulje", zone, f"{fleet.next_ip()}:{fleet.port + 19}", control, record, model=True)
        for i, zone in enumerate(ZONES)
    ]
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

        async def all_owned() -> bool:
            return len(await owners(stores)) == PARTITIONS

        if not await until(all_owned, 15):
            return 2
        await asyncio.sleep(3)
        return await add_stores(fleet, stores, edges, record)
    finally:
        for task in background:
            task.cancel()
        for worker in workers:
            record(f"{worker.name} ran {len(worker.arrivals)} items")
            if worker.server is not None:
                worker.server.close()


PARTITIONS = 8  # of a fleet that founds itself
NEW_NUMBER = int(os.environ.get("NEW_NUMBER", "5"))  # the added machines are store-ZONE-NEW_NUMBER


async def add_stores(fleet: Fleet, stores: list[Machine], edges: list[Machine], record: Record) -> int:
    """Adds a store in each zone while one that owns a partition stands still; then reads all lots that were accepted."""
    new = [fleet.add("store", zone, NEW_NUMBER) for zone in ZONES]
    for store in new:
        store.bootstrap = False
    moved = moved_at_once(PARTITIONS, stores, new)
    record(f"partitions whose wanted members will all be new machines: {moved}")
    if not moved:
        return 2
    victim = (await owners(stores))[moved[0]]
    client = Client(edges, record)
    lots = asyncio.create_task(client.run())
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        record(f"{victim.name} freezes, and four stores are added")
        victim.freeze()
        for store in new:
            store.start()
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        victim.thaw()
        record(f"{victim.name} goes on")
    await lots
    record(f"{len(client.accepted)} lots were accepted")
    await asyncio.sleep(CALM_S)
    lost: set[str] = set()
    for lot, accepted in sorted(client.accepted.items(), key=lambda entry: entry[1]):
        assert time.monotonic() - accepted > SETTLE_S
        answers = [await client.look(lot, edge) for edge in edges]
        record(f"lot {lot} read at all edges: {answers}")
        if any(status in (404, 410) for status, _ in answers):
            lost.add(lot)
    record(f"{len(lost)} of {len(client.accepted)} accepted lots are answered 404 or 410")
    if len(client.accepted) < 10:
        return 2
    return 1 if lost else 0


def main() -> int:
    """Runs the case."""
    if not has_build():
        return 2
    record, fleet = Record(HERE / "record.txt"), Fleet(net=36)
    try:
        status = asyncio.run(run(fleet, record))
        record(f"exit status {status}")
        return status
    finally:
        fleet.close(os.environ.get("KEEP_LOGS", ""))
        record.close()


if __name__ == "__main__":
    sys.exit(main())

"""The floor: the servers as one daemon sees them, and how much it may place on each."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from result import Ok

from postpass.configuration.configuration import Configuration, Server
from postpass.configuration.settings import split
from postpass.feed.configuration_view import ConfigurationView
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import Fault, Stop
from postpass.worker_api.openai import Report, report

CACHE = 0.95  # a worker whose KV cache is fuller than this gets nothing new
DEAF = "this daemon hears no other, so it may be out of date"
FEW = 16  # up to so many edges each reads the servers itself; beyond, two of each area do it for all
OVER = 1.5  # how far all edges together may overrun a warm worker's slots


@dataclass(eq=False)
class Spot:
    """One server. Invariants: `mine` is what this daemon has under way there, by class; a poll that began before
    `broke` says nothing of the process that is there now."""

    seen: Report | None = None
    at: float = -1e9
    why: str = "not polled yet"
    fails: int = 0
    mine: Counter[str] = field(default_factory=Counter)
    mine_seen: int = 0  # of mine, when it was last polled
    peak: float = 0.0  # recent live use, fading; the reserve follows it
    told: str = ""
    broke: float = -1e9  # when a connection to it last broke: it may be another process since


def share_of(total: int, rank: int, many: int) -> int:
    """Splits a whole number over `many` so that the shares add up to it exactly."""
    return total // many + (1 if rank % many < total % many else 0) if many else total


@dataclass(eq=False)
class WorkerLoad:
    who: str
    environment: Environment
    configuration_view: ConfigurationView
    session: aiohttp.ClientSession
    deaf: float = 1e18  # who hears no other daemon for so long may place nothing
    peer_links: PeerLinks | None = None
    spots: dict[tuple[str, str], Spot] = field(default_factory=dict)
    freed: asyncio.Event = field(default_factory=asyncio.Event)

    def spot(self, pool: str, name: str) -> Spot:
        return self.spots.setdefault((pool, name), Spot())

    def signal(self) -> None:
        self.freed.set()
        self.freed = asyncio.Event()

    def readers(self) -> list[str]:
        """The edges of this area that read the servers themselves; with few edges, all of them do."""
        configuration = self.configuration_view.manifest
        if configuration is None or self.peer_links is None:
            return [self.who]
        edges = self.configuration_view.duty("edge")
        if len(edges) <= FEW or self.who not in edges:
            return [self.who]
        here = configuration["machines"][self.who]["area"]
        return [n for n in edges if configuration["machines"][n]["area"] == here][:2]

    def shown(self) -> list[dict[str, Any]]:
        return [
            {"pool": p, "name": n, "why": s.why, "old": round(now() - s.at, 3), "seen": vars(s.seen) if s.seen else None, "peak": s.peak}
            for (p, n), s in self.spots.items()
        ]  # fmt: skip

    async def copy(self, limit: float) -> bool:
        """Takes over what a reader of this area has read; False if none of them answers."""
        assert self.peer_links is not None
        for name in self.readers():
            addr = self.configuration_view.addr(name)
            asked = now()
            got = await self.peer_links.call(addr, "floor", {}, limit) if addr else None
            if not isinstance(got, Ok):
                continue
            for row in got.unwrap()["spots"]:
                spot = self.spot(row["pool"], row["name"])
                at = asked - row["old"]
                if at > spot.at:
                    spot.at, spot.why, spot.peak = at, row["why"], row["peak"]
                    spot.seen = Report(**row["seen"]) if row["seen"] else None
                    spot.mine_seen = spot.mine.total()
            self.signal()
            return True
        return False

    async def watch(self, every: float, kinds: tuple[str, ...] = ("model", "plain")) -> None:
        """Polls each server; a poll that fails is told once, by its change."""
        polls: dict[tuple[str, str], asyncio.Task[None]] = {}
        trips: dict[tuple[str, str], asyncio.Task[None]] = {}
        while True:
            configuration = self.configuration_view.manifest
            if configuration is not None:
                want = {
                    (p, n): s
                    for p, pool in configuration["pools"].items()
                    if pool["kind"] in kinds
                    for n, s in pool["servers"].items()
                }
                for key in [k for k in self.spots if k not in want and not self.spots[k].mine.total()]:
                    del self.spots[key]
                copied = self.who not in self.readers() and await self.copy(every)
                for key, server in want.items():
                    if copied:
                        break
                    if key not in polls or polls[key].done():
                        polls[key] = asyncio.create_task(self.poll(configuration, *key, server, every * 2))
                for key, server in want.items():
                    if kinds[0] == configuration["pools"][key[0]]["kind"] and (key not in trips or trips[key].done()):
                        trips[key] = asyncio.create_task(self.trip(configuration, *key, server, every * 2))
                for key in [k for k in trips if k not in want]:
                    trips.pop(key).cancel()
                polls = {k: t for k, t in polls.items() if k in want or not t.done()}
            await asyncio.sleep(every * (0.9 + 0.2 * self.environment.chance.random()))

    async def trip(self, configuration: Configuration, pool: str, name: str, server: Server, limit: float) -> None:
        """A connection on which nothing is said: when it ends, the process there may have been restarted, faster
        perhaps than polls come by, and is cold. Nothing new goes there until it has been asked anew."""
        spot = self.spot(pool, name)
        host, port = split(server["url"].removeprefix("http://"))
        writer = None
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(host, port)
            await reader.read(1)
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        if writer is not None:
            spot.broke, spot.why = now(), spot.why or "its connection ended; it is asked anew"
            await self.poll(configuration, pool, name, server, limit)

    async def poll(self, configuration: Configuration, pool: str, name: str, server: Server, limit: float) -> None:
        spot = self.spot(pool, name)
        asked = now()
        try:
            if configuration["pools"][pool]["kind"] == "model":
                got = await report(self.session, server["url"], limit, spot.seen)
                if asked < spot.broke:
                    return
                want = server.get("weights") or configuration["pools"][pool].get("weights", "")
                spot.why = f"weights {got.weights}, want {want}" if want and got.weights != want else ""
                spot.seen = got
                live = got.running + got.waiting
                spot.peak = max(float(live), spot.peak * 0.9)
            else:
                async with asyncio.timeout(limit), self.session.get(f"{server['url']}/health") as answer:
                    if answer.status != 200:
                        raise Stop(Fault("health", server["url"], f"status {answer.status}"))
                spot.why = ""
            spot.at, spot.fails, spot.mine_seen = asked, 0, spot.mine.total()
        except (Stop, aiohttp.ClientError, OSError, TimeoutError) as bad:
            spot.fails += 1
            spot.why = str(bad) or repr(bad)
        if spot.why != spot.told:
            spot.told = spot.why
            log_events.emit(153, self.who, pool=pool, server=name, state=spot.why or "up")
        self.signal()

    def barred(self, pool: str, name: str, stale: float) -> str:
        """Why a server gets nothing new; empty if it may."""
        configuration = self.configuration_view.manifest
        server = configuration["pools"].get(pool, {"servers": {}})["servers"].get(name) if configuration else None  # type: ignore[call-overload]
        if configuration is None or server is None:
            return "not in the manifest"
        if now() - self.configuration_view.last_contact > self.deaf:
            return DEAF
        if server.get("leave"):
            return "leaving"
        if server["area"] in configuration.get("evacuated", []):
            return f"area {server['area']} is evacuated"
        spot = self.spot(pool, name)
        if spot.why:
            return spot.why
        if now() - spot.at > stale:
            return "not heard of lately"
        if spot.seen is not None and spot.seen.cache > CACHE:
            return "its KV cache is full"
        return ""

    def warm(self, pool: str, name: str) -> float:
        """How much of a server may be used: grows from little to all of it while it warms up."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        ramp = configuration.get("ramp", 10.0)
        seen = self.spot(pool, name).seen
        if seen is None or ramp <= 0 or seen.start <= 0:
            return 1.0
        return min(1.0, max(0.0, (self.environment.wall() - seen.start) / ramp))

    def cap(self, pool: str, name: str) -> int:
        """Slots that may be used now, by all together."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        slots = configuration["pools"][pool]["servers"][name]["slots"]
        return max(1, math.floor(slots * self.warm(pool, name)))

    def quota(self, pool: str, name: str, rank: int, edges: int) -> int:
        """What one edge of many may have under way at a server without asking the others. Invariant: the
        quotas of all edges add up to cap while it warms up, and to ceil(cap * OVER) once it is warm."""
        cap = self.cap(pool, name)
        configuration = self.configuration_view.manifest
        assert configuration is not None
        total = math.ceil(cap * OVER) if self.warm(pool, name) >= 1 else cap
        # Where one server's remainder ends the next one's begins, so that no edge is left out while another
        # has two more than it.
        servers = configuration["pools"][pool]["servers"]
        before = sum(math.ceil(s["slots"] * OVER) % edges for n, s in servers.items() if n < name)
        return share_of(total, (rank - before) % edges, edges)

"""The load of workers as one process sees it: what they report of themselves, and how much may be placed on each.

Workers of a fleet that isn't announced are polled (`WorkerLoad.poll_loop`). Where there are many edges, a few of each
zone poll for all, and the others copy what these have read.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from result import Ok

from postpass.configuration.configuration import Configuration, Server
from postpass.configuration.settings import split_address
from postpass.feed.configuration_view import ConfigurationView
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.deferred_import import DeferredModule
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import Fault, FaultError
from postpass.runtime.log_events import Event
from postpass.worker_api.openai import Report, report

if TYPE_CHECKING:
    import aiohttp
else:
    aiohttp = DeferredModule("aiohttp")

MAX_CACHE_USE = 0.95  # a worker whose KV cache is fuller than this gets nothing new
ISOLATED = "this daemon hears no other, so it may be out of date"
MAX_POLLING_EDGES = 16  # up to so many edges each polls the workers itself
POLLING_EDGES_PER_ZONE = 2  # beyond that, so many of each zone do it for all
WIRE_KEYS = {"revision": "edition"}  # keys between daemons, by the name of the field
FIELDS = {key: name for name, key in WIRE_KEYS.items()}
OVERCOMMIT = 1.5  # how far all edges together may overrun a warm worker's slots
PEAK_DECAY = 0.9  # of the peak use, with each poll
DEFAULT_RAMP = 10.0  # seconds in which a worker warms up, where the configuration doesn't say
NEVER = -1e9


class WorkerId(NamedTuple):
    """A worker by its pool and its name there."""

    pool: str
    name: str


@dataclass(eq=False)
class WorkerState:
    """One worker as this process sees it. Owner: `WorkerLoad`; whoever places requests counts them in `in_flight`.

    Invariants: `in_flight` is what this process has under way there, by class; a poll that began before `broken_at`
    says nothing of the process that is there now. Times are seconds of the loop's clock."""

    report: Report | None = None
    polled_at: float = NEVER
    unusable: str = "not polled yet"  # why it gets nothing new by its own state; empty if it may
    failures: int = 0  # polls that failed since the last that didn't
    in_flight: Counter[str] = field(default_factory=Counter)
    in_flight_at_poll: int = 0
    peak_use: float = 0.0  # recent live use, fading; the reserve of batch classes follows it
    logged: str = ""  # the newest `unusable` that was logged
    broken_at: float = NEVER  # when a connection to it last broke: it may be another process since

    def note_report(self, found: Report, wanted_weights: str) -> None:
        """The worker was read. `wanted_weights`: the model that it should serve; empty if any will do."""
        mismatch = wanted_weights and found.weights != wanted_weights
        self.unusable = f"weights {found.weights}, want {wanted_weights}" if mismatch else ""
        self.report = found
        self.peak_use = max(float(found.running + found.waiting), self.peak_use * PEAK_DECAY)


def share_of(total: int, rank: int, many: int) -> int:
    """Splits a whole number over `many` so that the shares add up to it exactly."""
    return total // many + (1 if rank % many < total % many else 0) if many else total


def report_as_json(report: Report) -> dict[str, Any]:
    """A worker's report as daemons send it to each other; `revision` goes by its key on the wire."""
    return {WIRE_KEYS.get(name, name): value for name, value in vars(report).items()}


def report_from_json(raw: dict[str, Any]) -> Report:
    """Reads what `report_as_json` wrote."""
    return Report(**{FIELDS.get(key, key): value for key, value in raw.items()})


@dataclass(eq=False)
class WorkerLoad:
    """The workers of all pools. Owner: the data plane's process; edge and scheduler have one each, since what the edge
    places is live traffic to the scheduler."""

    who: str  # this process's name
    environment: Environment
    configuration_view: ConfigurationView
    session: aiohttp.ClientSession
    isolated_after: float = 1e18  # seconds; who hears no other daemon for so long may place nothing
    peer_links: PeerLinks | None = None  # without it nothing is copied from other edges
    workers: dict[WorkerId, WorkerState] = field(default_factory=dict)
    freed: asyncio.Event = field(default_factory=asyncio.Event)  # set, and replaced, when a worker was polled

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here; there must be one."""
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    def state_of(self, pool: str, name: str) -> WorkerState:
        """What is known of a worker."""
        worker = WorkerId(pool, name)
        state = self.workers.get(worker)
        if state is None:
            state = self.workers[worker] = WorkerState()
        return state

    def signal(self) -> None:
        """Wakes whoever waits for `freed`."""
        self.freed.set()
        self.freed = asyncio.Event()

    # --- what workers report
    def polling_edges(self) -> list[str]:
        """The edges of this zone that poll the workers themselves; with few edges, all of them do."""
        configuration = self.configuration_view.manifest
        if configuration is None or self.peer_links is None:
            return [self.who]
        edges = self.configuration_view.duty("edge")
        if len(edges) <= MAX_POLLING_EDGES or self.who not in edges:
            return [self.who]
        machines = configuration["machines"]
        zone = machines[self.who]["area"]
        return [n for n in edges if machines[n]["area"] == zone][:POLLING_EDGES_PER_ZONE]

    def as_json(self) -> list[dict[str, Any]]:
        """What was read of all workers, for other edges."""
        return [
            {
                "pool": worker.pool, "name": worker.name, "why": state.unusable, "old": round(now() - state.polled_at, 3),
                "seen": report_as_json(state.report) if state.report else None, "peak": state.peak_use,
            }
            for worker, state in self.workers.items()
        ]  # fmt: skip

    async def copy_from_peer(self, limit: float) -> bool:
        """Takes over what a polling edge of this zone has read; False if none of them answers within `limit` seconds
        each."""
        assert self.peer_links is not None
        for name in self.polling_edges():
            addr = self.configuration_view.addr(name)
            asked = now()
            answer = await self.peer_links.request(addr, "floor", {}, limit) if addr else None
            if not isinstance(answer, Ok):
                continue
            for row in answer.unwrap()["spots"]:
                state = self.state_of(row["pool"], row["name"])
                polled_at = asked - row["old"]
                if polled_at > state.polled_at:
                    state.polled_at, state.unusable, state.peak_use = polled_at, row["why"], row["peak"]
                    state.report = report_from_json(row["seen"]) if row["seen"] else None
                    state.in_flight_at_poll = state.in_flight.total()
            self.signal()
            return True
        return False

    async def poll_loop(self, every: float, kinds: tuple[str, ...] = ("model", "plain")) -> None:
        """Polls each worker of the pools of some kinds about every `every` seconds; one whose state changes is logged
        once. Workers of the first kind are watched by a connection as well."""
        polls: dict[WorkerId, asyncio.Task[None]] = {}
        watches: dict[WorkerId, asyncio.Task[None]] = {}
        while True:
            configuration = self.configuration_view.manifest
            if configuration is not None:
                wanted = {
                    WorkerId(pool_name, name): server
                    for pool_name, pool in configuration["pools"].items()
                    if pool["kind"] in kinds
                    for name, server in pool["servers"].items()
                }
                for gone in [w for w, s in self.workers.items() if w not in wanted and not s.in_flight.total()]:
                    del self.workers[gone]
                copied = self.who not in self.polling_edges() and await self.copy_from_peer(every)
                if not copied:
                    for worker, server in wanted.items():
                        if worker not in polls or polls[worker].done():
                            polls[worker] = asyncio.create_task(self._poll(configuration, worker, server, every * 2))
                for worker, server in wanted.items():
                    watched = configuration["pools"][worker.pool]["kind"] == kinds[0]
                    if watched and (worker not in watches or watches[worker].done()):
                        watches[worker] = asyncio.create_task(
                            self._watch_connection(configuration, worker, server, every * 2)
                        )
                for worker in [w for w in watches if w not in wanted]:
                    watches.pop(worker).cancel()
                polls = {w: t for w, t in polls.items() if w in wanted or not t.done()}
            await asyncio.sleep(every * (0.9 + 0.2 * self.environment.chance.random()))

    async def _watch_connection(
        self, configuration: Configuration, worker: WorkerId, server: Server, limit: float
    ) -> None:
        """A connection on which nothing is said: when it ends, the process there may have been restarted, faster
        perhaps than polls come by, and is cold. Nothing new goes there until it has been asked anew."""
        state = self.state_of(*worker)
        host, port = split_address(server["url"].removeprefix("http://"))
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
            state.broken_at, state.unusable = now(), state.unusable or "its connection ended; it is asked anew"
            await self._poll(configuration, worker, server, limit)

    async def _poll(self, configuration: Configuration, worker: WorkerId, server: Server, limit: float) -> None:
        state = self.state_of(*worker)
        asked = now()
        try:
            if configuration["pools"][worker.pool]["kind"] == "model":
                found = await report(self.session, server["url"], limit, state.report)
                if asked < state.broken_at:
                    return
                state.note_report(
                    found, server.get("weights") or configuration["pools"][worker.pool].get("weights", "")
                )
            else:
                await self._check_health(server["url"], limit)
                state.unusable = ""
            state.polled_at, state.failures, state.in_flight_at_poll = asked, 0, state.in_flight.total()
        except (FaultError, aiohttp.ClientError, OSError, TimeoutError) as error:
            state.failures += 1
            state.unusable = str(error) or repr(error)
        if state.unusable != state.logged:
            state.logged = state.unusable
            log_events.emit(
                Event.WORKER_STATE_CHANGED, self.who, pool=worker.pool, server=worker.name, state=state.unusable or "up"
            )
        self.signal()

    async def _check_health(self, url: str, limit: float) -> None:
        """Raises FaultError if a back end of a plain pool doesn't say that it is well."""
        async with asyncio.timeout(limit), self.session.get(f"{url}/health") as response:
            if response.status != 200:
                raise FaultError(Fault("health", url, f"status {response.status}"))

    # --- what may be placed on them
    def barred(self, pool: str, name: str, max_age: float) -> str:
        """Why a worker gets nothing new; empty if it may. `max_age`: seconds for which a poll counts."""
        configuration = self.configuration_view.manifest
        server = configuration["pools"].get(pool, {"servers": {}})["servers"].get(name) if configuration else None  # type: ignore[call-overload]
        if configuration is None or server is None:
            return "not in the manifest"
        if now() - self.configuration_view.last_contact > self.isolated_after:
            return ISOLATED
        if server.get("leave"):
            return "leaving"
        if server["area"] in configuration.get("evacuated", []):
            return f"area {server['area']} is evacuated"
        state = self.state_of(pool, name)
        if state.unusable:
            return state.unusable
        if now() - state.polled_at > max_age:
            return "not heard of lately"
        if state.report is not None and state.report.cache > MAX_CACHE_USE:
            return "its KV cache is full"
        return ""

    def warm_part(self, pool: str, name: str) -> float:
        """Which part of a worker may be used: grows from little to all of it while it warms up."""
        ramp = self.configuration.get("ramp", DEFAULT_RAMP)
        found = self.state_of(pool, name).report
        if found is None or ramp <= 0 or found.start <= 0:
            return 1.0
        return min(1.0, max(0.0, (self.environment.wall() - found.start) / ramp))

    def usable_slots(self, pool: str, name: str) -> int:
        """Slots that may be used now, by all together."""
        slots = self.configuration["pools"][pool]["servers"][name]["slots"]
        return max(1, math.floor(slots * self.warm_part(pool, name)))

    def quota(self, pool: str, name: str, rank: int, edges: int) -> int:
        """What one edge of many may have under way at a worker without asking the others. Invariant: the quotas of all
        edges add up to `usable_slots` while it warms up, and to that times `OVERCOMMIT`, rounded up, once it is warm.
        """
        slots = self.usable_slots(pool, name)
        total = math.ceil(slots * OVERCOMMIT) if self.warm_part(pool, name) >= 1 else slots
        # Where one worker's remainder ends the next one's begins, so that no edge is left out while another has two
        # more than it.
        servers = self.configuration["pools"][pool]["servers"]
        before = sum(math.ceil(s["slots"] * OVERCOMMIT) % edges for n, s in servers.items() if n < name)
        return share_of(total, (rank - before) % edges, edges)

"""The load of workers as one process sees it: what they report about themselves, and how much each may be given.

Workers are polled (`WorkerLoad.poll_loop`) in fleets whose machines are listed rather than announce themselves. If
there are many edges, a few in each zone poll for all, and the others copy their results.
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

MAX_CACHE_USE = 0.95  # a worker whose KV cache is fuller than this share gets no new requests
ISOLATED = "this daemon hears no other, so it may be out of date"
MAX_POLLING_EDGES = 16  # with up to so many edges, each polls the workers itself
POLLING_EDGES_PER_ZONE = 2  # with more edges, so many in each zone poll for all
WIRE_KEYS = {"revision": "edition"}  # keys in messages between daemons that differ from the field's name, by that name
FIELD_NAMES_BY_WIRE_KEY = {key: name for name, key in WIRE_KEYS.items()}
OVERCOMMIT = 1.5  # limit of all edges' quotas together, as a multiple of a warm worker's slots
PEAK_DECAY = 0.9  # factor for the peak use with each poll
DEFAULT_RAMP = 10.0  # seconds that a worker takes to warm up, unless the configuration specifies it
NEVER = -1e9  # stands for the time of an event that hasn't happened yet


class WorkerId(NamedTuple):
    """Identifies a worker by its pool and its name in that pool."""

    pool: str
    name: str


@dataclass(eq=False)
class WorkerState:
    """The state of one worker as this process sees it.

    Owner: `WorkerLoad`; the code that places requests counts them in `in_flight`. Invariants: `in_flight` is the number
    of requests that this process has in progress there, by class; the result of a poll that started before `broken_at`
    is ignored, because it may be about an earlier process. Times are seconds of the loop's clock.
    """

    report: Report | None = None
    polled_at: float = NEVER
    unusable_reason: str = "not polled yet"  # why it gets no new requests, by its own state; empty if it may
    failures: int = 0  # polls that failed since the last successful one
    in_flight: Counter[str] = field(default_factory=Counter)
    in_flight_at_poll: int = 0  # requests of this process in progress there at the last poll
    peak_use: float = 0.0  # decaying peak of recent live use, which sets the reserve of batch classes
    logged_reason: str = ""  # the last value of `unusable_reason` that was logged
    broken_at: float = NEVER  # when a connection to it last broke; it may have been restarted since

    def note_report(self, new_report: Report, wanted_weights: str) -> None:
        """Stores a worker's report. `wanted_weights`: the model that it should serve; empty if it may serve any."""
        mismatch = wanted_weights and new_report.weights != wanted_weights
        self.unusable_reason = f"weights {new_report.weights}, want {wanted_weights}" if mismatch else ""
        self.report = new_report
        self.peak_use = max(float(new_report.running + new_report.waiting), self.peak_use * PEAK_DECAY)


def integer_share(total: int, position: int, shares: int) -> int:
    """Returns one of the `shares` into which `total` is split so that they add up to it exactly; 0 shares: all."""
    return total // shares + (1 if position % shares < total % shares else 0) if shares else total


def report_as_json(report: Report) -> dict[str, Any]:
    """Returns a worker's report as daemons send it to each other; `revision` is sent under its key in `WIRE_KEYS`."""
    return {WIRE_KEYS.get(name, name): value for name, value in vars(report).items()}


def report_from_json(raw: dict[str, Any]) -> Report:
    """Reads a report written by `report_as_json`."""
    return Report(**{FIELD_NAMES_BY_WIRE_KEY.get(key, key): value for key, value in raw.items()})


@dataclass(eq=False)
class WorkerLoad:
    """The workers of all pools, as one process sees them.

    Owner: the data plane's process. Its edge and its scheduler have one each, because the scheduler treats the requests
    placed by the edge as live traffic.
    """

    own_name: str  # this process's name
    environment: Environment
    configuration_view: ConfigurationView
    session: aiohttp.ClientSession
    isolated_after: float = 1e18  # seconds without contact to other daemons after which this process may place nothing
    peer_links: PeerLinks | None = None  # None: nothing is copied from other edges
    workers: dict[WorkerId, WorkerState] = field(default_factory=dict)
    polled: asyncio.Event = field(default_factory=asyncio.Event)  # set and replaced whenever a worker was polled

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here. There must be one."""
        assert self.configuration_view.manifest is not None
        return self.configuration_view.manifest

    def state_of(self, pool: str, name: str) -> WorkerState:
        """Returns the state of a worker, and creates it if the worker is new here."""
        worker = WorkerId(pool, name)
        state = self.workers.get(worker)
        if state is None:
            state = self.workers[worker] = WorkerState()
        return state

    def wake_waiters(self) -> None:
        """Wakes all tasks that wait for `polled`."""
        self.polled.set()
        self.polled = asyncio.Event()

    # --- polling
    def polling_edges(self) -> list[str]:
        """Returns the edges of this zone that poll the workers; with few edges, each of them polls for itself."""
        configuration = self.configuration_view.manifest
        if configuration is None or self.peer_links is None:
            return [self.own_name]
        edges = self.configuration_view.duty("edge")
        if len(edges) <= MAX_POLLING_EDGES or self.own_name not in edges:
            return [self.own_name]
        machines = configuration["machines"]
        zone = machines[self.own_name]["area"]
        return [n for n in edges if machines[n]["area"] == zone][:POLLING_EDGES_PER_ZONE]

    def as_json(self) -> list[dict[str, Any]]:
        """Returns the states of all workers as other edges copy them."""
        return [
            {
                "pool": worker.pool, "name": worker.name, "why": state.unusable_reason, "old": round(now() - state.polled_at, 3),
                "seen": report_as_json(state.report) if state.report else None, "peak": state.peak_use,
            }
            for worker, state in self.workers.items()
        ]  # fmt: skip

    async def copy_from_peer(self, limit: float) -> bool:
        """Copies the states of the workers from a polling edge of this zone.

        Returns False if none of these edges answers, with `limit` seconds for each.
        """
        assert self.peer_links is not None
        for name in self.polling_edges():
            addr = self.configuration_view.addr(name)
            requested_at = now()
            response = await self.peer_links.request(addr, "floor", {}, limit) if addr else None
            if not isinstance(response, Ok):
                continue
            for row in response.unwrap()["spots"]:
                state = self.state_of(row["pool"], row["name"])
                polled_at = requested_at - row["old"]
                if polled_at > state.polled_at:
                    state.polled_at, state.unusable_reason, state.peak_use = polled_at, row["why"], row["peak"]
                    state.report = report_from_json(row["seen"]) if row["seen"] else None
                    state.in_flight_at_poll = state.in_flight.total()
            self.wake_waiters()
            return True
        return False

    async def poll_loop(self, interval: float, kinds: tuple[str, ...] = ("model", "plain")) -> None:
        """Polls each worker of the pools of some kinds about every `interval` seconds, until it is cancelled.

        Each change of a worker's state is logged once. Workers of the first kind are also watched by an idle
        connection.
        """
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
                for removed_worker in [
                    w for w, s in self.workers.items() if w not in wanted and not s.in_flight.total()
                ]:
                    del self.workers[removed_worker]
                copied = self.own_name not in self.polling_edges() and await self.copy_from_peer(interval)
                if not copied:
                    for worker, server in wanted.items():
                        if worker not in polls or polls[worker].done():
                            polls[worker] = asyncio.create_task(self._poll(configuration, worker, server, interval * 2))
                for worker, server in wanted.items():
                    is_watched = configuration["pools"][worker.pool]["kind"] == kinds[0]
                    if is_watched and (worker not in watches or watches[worker].done()):
                        watches[worker] = asyncio.create_task(
                            self._watch_connection(configuration, worker, server, interval * 2)
                        )
                for worker in [w for w in watches if w not in wanted]:
                    watches.pop(worker).cancel()
                polls = {w: t for w, t in polls.items() if w in wanted or not t.done()}
            await asyncio.sleep(interval * (0.9 + 0.2 * self.environment.chance.random()))

    async def _watch_connection(
        self, configuration: Configuration, worker: WorkerId, server: Server, limit: float
    ) -> None:
        """Watches a worker by an idle connection, and polls the worker when that ends.

        The worker may then have been restarted, possibly between two polls, and would be cold. It gets no new requests
        until it has been polled again.
        """
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
            state.broken_at, state.unusable_reason = (
                now(),
                state.unusable_reason or "its connection ended; it is asked anew",
            )
            await self._poll(configuration, worker, server, limit)

    async def _poll(self, configuration: Configuration, worker: WorkerId, server: Server, limit: float) -> None:
        state = self.state_of(*worker)
        requested_at = now()
        try:
            if configuration["pools"][worker.pool]["kind"] == "model":
                new_report = await report(self.session, server["url"], limit, state.report)
                if requested_at < state.broken_at:
                    return
                state.note_report(
                    new_report, server.get("weights") or configuration["pools"][worker.pool].get("weights", "")
                )
            else:
                await self._check_health(server["url"], limit)
                state.unusable_reason = ""
            state.polled_at, state.failures, state.in_flight_at_poll = requested_at, 0, state.in_flight.total()
        except (FaultError, aiohttp.ClientError, OSError, TimeoutError) as error:
            state.failures += 1
            state.unusable_reason = str(error) or repr(error)
        if state.unusable_reason != state.logged_reason:
            state.logged_reason = state.unusable_reason
            log_events.emit(
                Event.WORKER_STATE_CHANGED,
                self.own_name,
                pool=worker.pool,
                server=worker.name,
                state=state.unusable_reason or "up",
            )
        self.wake_waiters()

    async def _check_health(self, url: str, limit: float) -> None:
        """Raises FaultError if a worker of a plain pool doesn't report that it is healthy."""
        async with asyncio.timeout(limit), self.session.get(f"{url}/health") as response:
            if response.status != 200:
                raise FaultError(Fault("health", url, f"status {response.status}"))

    # --- how much may be placed on workers
    def barred_reason(self, pool: str, name: str, max_age: float) -> str:
        """Returns why a worker gets no new requests, or an empty string if it may.

        `max_age`: seconds for which a poll is valid.
        """
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
        if state.unusable_reason:
            return state.unusable_reason
        if now() - state.polled_at > max_age:
            return "not heard of lately"
        if state.report is not None and state.report.cache > MAX_CACHE_USE:
            return "its KV cache is full"
        return ""

    def warm_part(self, pool: str, name: str) -> float:
        """Returns the share of a worker that may be used, which grows from 0 to 1 while it warms up."""
        ramp = self.configuration.get("ramp", DEFAULT_RAMP)
        newest_report = self.state_of(pool, name).report
        if newest_report is None or ramp <= 0 or newest_report.start <= 0:
            return 1.0
        return min(1.0, max(0.0, (self.environment.wall() - newest_report.start) / ramp))

    def usable_slots(self, pool: str, name: str) -> int:
        """Returns how many of a worker's slots all processes together may use now."""
        slots = self.configuration["pools"][pool]["servers"][name]["slots"]
        return max(1, math.floor(slots * self.warm_part(pool, name)))

    def quota(self, pool: str, name: str, rank: int, edges: int) -> int:
        """Returns how many requests one of the edges may have in progress at a worker without asking the others.

        `rank` is the position of this edge, `edges` their number. Invariant: the quotas of all edges add up to
        `usable_slots` while the worker warms up, and to that times `OVERCOMMIT`, rounded up, once it is warm.
        """
        slots = self.usable_slots(pool, name)
        total = math.ceil(slots * OVERCOMMIT) if self.warm_part(pool, name) >= 1 else slots
        # The remainder of one worker starts at the edge where that of the previous worker ended, so that no edge is
        # left out while another has two more than it.
        servers = self.configuration["pools"][pool]["servers"]
        offset = sum(math.ceil(s["slots"] * OVERCOMMIT) % edges for n, s in servers.items() if n < name)
        return integer_share(total, (rank - offset) % edges, edges)

"""The data plane: one process a machine, with the duties its config lists."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
from prometheus_client import Gauge
from result import Ok, Result

from postpass.batch.scheduler import Scheduler
from postpass.configuration.configuration import LIMITS, limit
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.daemon.process import Daemon, Task
from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.gateway import Gateway
from postpass.gateway.http_server import HeadLimits, limited_protocol, serve_ready
from postpass.gateway.relay import Relay
from postpass.gateway.worker_load import WorkerLoad
from postpass.replication.partition import Partition
from postpass.replication.store import Store
from postpass.rpc.codec import RELEASE, Body
from postpass.runtime.environment import Environment
from postpass.runtime.errors import Fault

LEAVE_NOTICED = 2.5  # seconds until nobody passes new connections to an edge that says that it isn't ready


@dataclass(eq=False)
class DataPlane(Daemon):
    """Invariant: a duty that the config doesn't list has no object here."""

    edge: Gateway | None = None
    scheduler: Scheduler | None = None
    store: Store | None = None
    session: aiohttp.ClientSession | None = None
    relay: Relay | None = None
    links: ConnectionPool | None = None

    def __init__(
        self, settings: Settings, environment: Environment, release: str = "", dialect: Dialect | None = None
    ) -> None:
        super().__init__(settings, environment, release or RELEASE)
        self.dialect = dialect or Dialect()
        self.edge = self.scheduler = self.store = self.session = self.relay = self.links = None
        if "store" in settings.duties:
            self.store = Store(settings, environment, self.configuration_view, self.peer_links)
            self.store.owner.announce_epochs = self.rise_to
            election = self.store.election
            election.ask_kept_jobs, election.ask_epochs, election.known_epochs = (
                self.ask_kept,
                self.ask_heights,
                self.heights,
            )

    def gauges(self, store: Store) -> None:
        def gauge(name: str, text: str, read: Callable[[], float]) -> None:
            Gauge(f"postpass_{name}", text, registry=self.registry).set_function(read)

        def owned() -> list[Partition]:
            return [p for p in store.partitions.values() if p.owning]

        gauge("parts_owned", "Partitions owned here", lambda: len(owned()))
        gauge("records_not_covered", "Records of owned partitions beyond the frontier",
              lambda: sum(p.record_log.last - p.covered for p in owned()))  # fmt: skip
        gauge("mirror_lag_records", "How far the furthest mirror is behind",
              lambda: max((p.record_log.last - p.acknowledgements.get(n, f.disk, "persisted") for p in owned() for n, f in p.mirrors.items()), default=0))  # fmt: skip
        gauge("lots_open", "Lots that are not finished", lambda: sum(
            int(x.state == "open" and not x.complete) for p in owned() for x in p.view.jobs.values()))  # fmt: skip
        gauge("losses", "How often more was lost than is tolerated", lambda: sum(p.view.losses for p in owned()))
        gauge(
            "tape_bytes",
            "Memory of records not yet folded away",
            lambda: sum(p.record_log.size for p in store.partitions.values()),
        )
        gauge("disk_free_bytes", "Room left for the data folder", lambda: store.log.disk.space()[0])
        gauge("takeovers", "Partitions taken over since the start", lambda: store.counts["takeovers"])
        gauge("refills", "Snapshots sent to mirrors since the start", lambda: store.counts["refills"])

    async def open(self) -> None:
        if self.store is not None:
            await self.store.open()
            self.gauges(self.store)
            self.partial_view.me["disk"] = self.store.disk_id
        if {"edge", "sched"} & set(self.settings.duties):
            self.session = self.environment.session()
            floor = WorkerLoad(
                self.settings.name,
                self.environment,
                self.configuration_view,
                self.session,
                self.settings.bounds.deaf,
                peer_links=self.peer_links,
            )
            self.worker_load = floor
            if "edge" in self.settings.duties:
                self.edge = Gateway(
                    self.settings,
                    self.environment,
                    self.configuration_view,
                    self.peer_links,
                    floor,
                    self.session,
                    self.registry,
                )
                if self.settings.announce:
                    self.relay = Relay(
                        self.settings, self.environment, self.configuration_view, self.dialect, self.registry
                    )
                    self.edge.fallback = self.relay.not_found
            if "sched" in self.settings.duties:
                # Its own floor: what the edge of the same machine places is live traffic to the scheduler.
                self.batch = WorkerLoad(
                    self.settings.name,
                    self.environment,
                    self.configuration_view,
                    self.session,
                    self.settings.bounds.deaf,
                )
                self.scheduler = Scheduler(
                    self.settings, self.environment, self.configuration_view, self.peer_links, self.batch, self.session, self.registry,
                    dialect=self.dialect,
                )  # fmt: skip
                if self.settings.announce:
                    self.scheduler.runner.workers = self.links = ConnectionPool()

    def handlers(self) -> dict[str, Any]:
        mine: dict[str, Any] = {"floor": self.on_floor} if "edge" in self.settings.duties else {}
        if self.scheduler is not None:
            mine |= {"wake": self.scheduler.on_wake}
        return mine | (self.store.handlers() if self.store is not None else {})

    async def on_floor(self, _body: Body) -> Result[Body, Fault]:
        """What this edge has read off the servers, for edges of its area that don't ask them themselves."""
        return Ok({"spots": self.worker_load.as_json()})

    async def depart(self) -> None:
        """New calls go to other edges at once; the schedule, then the partitions, go to whoever comes next. Kept
        connections get a moment in which their next call is told to go elsewhere, rather than being cut."""
        if self.edge is not None:
            self.edge.leave()
        if self.relay is not None:
            self.relay.leaving = True
        if self.scheduler is not None:
            self.scheduler.leave()
        if self.store is not None:
            await self.store.leave()
        if self.edge is not None:
            # Who passes connections on asks once a second and takes two misses to notice.
            await asyncio.sleep(self.settings.bounds.hand if self.relay is None else LEAVE_NOTICED)
        if self.scheduler is not None:
            await self.scheduler.drain()

    def kept_lots(self, part: int) -> list[str]:
        return (
            self.edge.remembered_jobs(part)
            if self.edge is not None and self.configuration_view.manifest is not None
            else []
        )

    def ready(self) -> str:
        if self.leaving:
            return "it is leaving"
        lack = super().ready() or ("" if self.configuration_view.fresh else "no fresh news yet")
        configuration = self.configuration_view.manifest
        if not lack and self.relay is not None and configuration is not None and not configuration.get("routes"):
            lack = "no routes yet"
        return lack

    def unready(self) -> str:
        """What is lacking to answer callers: one that leaves still does."""
        return "" if self.leaving else self.ready()

    def app(self) -> Any:
        inner = super().app()
        if self.relay is None:
            return inner
        self.relay.fallback, self.relay.unready = inner, self.unready
        return self.relay

    @property
    def drain(self) -> float:
        grace = self.settings.bounds.grace
        return self.settings.bounds.drain if grace == 0 else max(1.0, grace - LEAVE_NOTICED - 1.0)

    def protocol(self) -> Any:
        if self.relay is None:
            return "httptools"
        configuration_view = self.configuration_view

        def limits() -> HeadLimits:
            configuration = configuration_view.manifest
            if configuration is None:
                return HeadLimits(LIMITS["head_bytes"], LIMITS["head_ms"] / 1000, LIMITS["idle_ms"] / 1000)
            return HeadLimits(
                limit(configuration, "head_bytes"),
                limit(configuration, "head_ms") / 1000,
                limit(configuration, "idle_ms") / 1000,
            )

        return limited_protocol(limits, self.settings.bounds.recover / 2)

    def ways(self) -> list[Any]:
        return self.edge.routes() if self.edge is not None else []

    def tasks(self) -> list[Task]:
        out: list[Task] = [self.freshen()]
        if self.store is not None:
            out += self.store.tasks()
        if self.edge is not None:
            out += self.edge.tasks()
            # Workers of an announced fleet are not asked for their state: it costs them, and control tells it.
            out += [] if self.settings.announce else [self.worker_load.poll_loop(self.settings.bounds.probe)]
            out += [serve_ready(self.settings.ready, lambda: not self.ready())] if self.settings.ready else []
        if self.scheduler is not None:
            out += self.scheduler.tasks() + ([] if self.settings.announce else [self.watch_batch()])
        return out

    async def watch_batch(self) -> None:
        """The scheduler polls on its own, at its own pace: loans must go back in time."""
        assert self.scheduler is not None
        await self.batch.poll_loop(self.scheduler.poll_interval, ("model",))

    async def run(self) -> None:
        try:
            await super().run()
        finally:
            if self.store is not None:
                self.store.fail()
            if self.session is not None:
                await self.session.close()
            if self.relay is not None:
                self.relay.close()
            if self.links is not None:
                self.links.close()

    async def more_status(self) -> Body:
        out: Body = {}
        if self.store is not None:
            out["store"] = (await self.store.on_parts({})).unwrap()
        if self.edge is not None:
            stale = self.edge.admission.report_max_age
            out["servers"] = {
                f"{p}/{n}": {
                    "barred": self.worker_load.barred(p, n, stale), "mine": s.in_flight.total(), "weights": s.report.weights if s.report else "",
                    "running": s.report.running if s.report else 0, "waiting": s.report.waiting if s.report else 0,
                }
                for (p, n), s in sorted(self.worker_load.workers.items())
            }  # fmt: skip
        if self.scheduler is not None:
            out["sched"] = self.scheduler.status()
        return out

"""The data plane: one process on each machine, which runs the duties that its settings list (edge, sched, store)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from prometheus_client import Gauge
from result import Ok
from starlette.routing import BaseRoute

from postpass.batch.scheduler import Scheduler
from postpass.configuration.configuration import LIMITS, limit
from postpass.configuration.header_names import Dialect
from postpass.configuration.settings import Settings
from postpass.daemon.data_plane_status import duty_status, register_store_gauges
from postpass.daemon.process import Daemon, Task
from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.gateway import Gateway
from postpass.gateway.load_exchange import LoadExchange
from postpass.gateway.relay import Relay
from postpass.gateway.worker_load import WorkerLoad
from postpass.http_server.limits import ConnectionLimits
from postpass.http_server.readiness import serve_ready
from postpass.replication.store import Store
from postpass.routing.load_picture import LoadReport, sum_reports
from postpass.rpc.codec import RELEASE, Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import Environment, now
from postpass.tenants.edge_shares import EdgeShares
from postpass.tenants.messages import HOLDINGS

if TYPE_CHECKING:
    import aiohttp

UNREADY_DETECTION_DELAY = (
    2.5  # seconds until load balancers send no new connections to an edge that reports that it isn't ready
)
GRACE_RESERVE = 1.0  # seconds of the grace period that are reserved for closing


@dataclass(eq=False)
class DataPlane(Daemon):
    """The daemon of a machine that serves requests, schedules jobs or stores records.

    Invariant: the attribute of a duty that the settings don't list is None. `open` sets `session`, `worker_load` and
    `batch_worker_load` for the duties that use them; they don't exist before.
    """

    edge: Gateway | None = None
    scheduler: Scheduler | None = None
    store: Store | None = None
    session: aiohttp.ClientSession | None = None
    relay: Relay | None = None
    connection_pool: ConnectionPool | None = None
    load_exchange: LoadExchange | None = None
    tenant_shares: EdgeShares | None = None

    def __init__(
        self, settings: Settings, environment: Environment, release: str = "", dialect: Dialect | None = None
    ) -> None:
        super().__init__(settings, environment, release or RELEASE)
        self.dialect = dialect or Dialect()
        self.edge = self.scheduler = self.store = self.session = self.relay = self.connection_pool = None
        self.load_exchange = self.tenant_shares = None
        if "store" in settings.duties:
            self.store = Store(settings, environment, self.configuration_view, self.peer_links)
            self.store.owner.announce_epochs = self.gossip.raise_epochs
            self.store.election.ask_kept_jobs = self.ask_kept_jobs
            self.store.election.ask_epochs = self.gossip.ask_epochs
            self.store.election.known_epochs = self.gossip.partition_epochs
            self.store.election.refresh_configuration = self.refresh_configuration

    async def refresh_configuration(self) -> None:
        """Asks all machines for their revision of the configuration, and takes over the newest."""
        await self.follower.poll_revisions(self.configuration_view.addresses_of_others())

    async def open(self) -> None:
        """Recovers the store from its disk, and creates the objects of the other duties."""
        if self.store is not None:
            await self.store.open()
            register_store_gauges(self.registry, self.store)
            self.partial_view.own_record["disk"] = self.store.disk_id
        duties = self.settings.duties
        if {"edge", "sched"} & set(duties):
            deferred = self.settings.announce
            self.session = self.environment.deferred_session() if deferred else self.environment.session()
            self.worker_load = self._new_worker_load(self.session, self.peer_links)
            if "edge" in duties:
                self._open_edge(self.session)
            if "sched" in duties:
                self._open_scheduler(self.session)
            if self.settings.announce:
                self._open_load_exchange()

    def _new_worker_load(self, session: aiohttp.ClientSession, peer_links: PeerLinks | None) -> WorkerLoad:
        """Returns the load of the workers as one duty sees it; with `peer_links` it is shared between edges."""
        return WorkerLoad(
            self.settings.name,
            self.environment,
            self.configuration_view,
            session,
            self.settings.bounds.isolation_time,
            peer_links=peer_links,
        )

    def _open_edge(self, session: aiohttp.ClientSession) -> None:
        """Creates the gateway and, in an announced fleet, the relay in front of it."""
        self.edge = Gateway(
            self.settings, self.environment, self.configuration_view, self.peer_links, self.worker_load, session,
            self.registry,
        )  # fmt: skip
        if self.settings.announce:
            self.relay = Relay(self.settings, self.environment, self.configuration_view, self.dialect, self.registry)
            self.edge.fallback = self.relay.not_found
            self.tenant_shares = EdgeShares(
                self.settings, self.configuration_view, self.peer_links, self.registry, str(self.incarnation)
            )
            self.relay.rate_limit = self.tenant_shares

    def _open_scheduler(self, session: aiohttp.ClientSession) -> None:
        """Creates the scheduler.

        It has a view of the workers' load of its own, because what the edge of the same machine sends to a worker is
        live traffic from the scheduler's point of view.
        """
        self.batch_worker_load = self._new_worker_load(session, None)
        self.scheduler = Scheduler(
            self.settings, self.environment, self.configuration_view, self.peer_links, self.batch_worker_load, session,
            self.registry, dialect=self.dialect,
        )  # fmt: skip
        if self.settings.announce:
            self.scheduler.runner.workers = self.connection_pool = ConnectionPool()

    def _open_load_exchange(self) -> None:
        """Makes the edge and the scheduler of an announced fleet take into account what all processes have at the workers."""
        exchange = LoadExchange(self.settings, self.configuration_view, self.peer_links, self.own_use)
        self.load_exchange = exchange
        Gauge(
            "postpass_load_picture_age_seconds", "Age of what is known of the load of others", registry=self.registry
        ).set_function(lambda: exchange.age)
        if self.relay is not None:
            self.relay.workers.others_load = self.load_besides_edge
        if self.scheduler is not None:
            self.scheduler.route_capacity.live_load = self.load_besides_scheduler
            exchange.on_update = self.scheduler.on_load_update
            if self.relay is None:
                exchange.is_needed = lambda: self.scheduler is not None and self.scheduler.active

    def own_use(self) -> LoadReport:
        """Returns what the edge and the scheduler of this process have running at each worker."""
        edge = self.relay.workers.own_use() if self.relay is not None else {}
        scheduler = self.scheduler.own_use() if self.scheduler is not None else {}
        return sum_reports([edge, scheduler]) if edge and scheduler else edge or scheduler

    def load_besides_edge(self) -> LoadReport | None:
        """Returns the load at the workers apart from that of this process's edge; None if it isn't known."""
        exchange = self.load_exchange
        if exchange is None or not exchange.is_fresh:
            return None
        scheduler = self.scheduler.own_use() if self.scheduler is not None else {}
        return sum_reports([exchange.others, scheduler]) if scheduler else exchange.others

    def load_besides_scheduler(self) -> LoadReport | None:
        """Returns the load at the workers apart from that of this process's scheduler; None if it isn't known."""
        exchange = self.load_exchange
        if exchange is None or not exchange.is_fresh:
            return None
        edge = self.relay.workers.own_use() if self.relay is not None else {}
        return sum_reports([exchange.others, edge]) if edge else exchange.others

    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of the duties for requests of peers, by verb."""
        handlers_by_verb: dict[str, Any] = {"floor": self.on_floor} if "edge" in self.settings.duties else {}
        if self.scheduler is not None:
            handlers_by_verb |= {"wake": self.scheduler.on_wake}
        if self.tenant_shares is not None:
            handlers_by_verb |= {HOLDINGS: self.tenant_shares.on_holdings}
        return handlers_by_verb | (self.store.handlers() if self.store is not None else {})

    async def on_floor(self, body: Body) -> PeerResponse:
        """Answers a peer's question about the load of the workers.

        The response is what this edge has read from the workers, for edges of its zone that don't poll them themselves.
        In an announced fleet a peer reports its own load under the key `use`, and receives the load of all.
        """
        if self.load_exchange is not None and "use" in body:
            return await self.load_exchange.on_report(body)
        return Ok({"spots": self.worker_load.as_json()})

    async def depart(self) -> None:
        """Hands over the work of this daemon: new requests at once to other edges, then scheduling to the next scheduler,
        then the owned partitions to other stores.

        Afterwards it waits a moment, so that clients with open connections receive an answer that sends their next
        request elsewhere, instead of having the connection closed in the middle of a request.
        """
        if self.edge is not None:
            self.edge.leave()
        if self.relay is not None:
            self.relay.leaving = True
        if self.scheduler is not None:
            self.scheduler.leave()
        if self.store is not None:
            await self.store.leave()
        if self.edge is not None:
            # A load balancer checks readiness once a second, and needs two failed checks to notice.
            await asyncio.sleep(self.settings.bounds.leave_notice if self.relay is None else UNREADY_DETECTION_DELAY)
        if self.scheduler is not None:
            await self.scheduler.drain()

    def recently_accepted_jobs(self, part: int) -> list[str]:
        """Returns the names of the partition's jobs that this edge has lately reported to a client as accepted."""
        if self.edge is None or self.configuration_view.manifest is None:
            return []
        return self.edge.recently_accepted_jobs(part)

    def ready(self) -> str:
        """Returns why this daemon isn't ready to serve; empty if it is."""
        if self.leaving:
            return "it is leaving"
        reason = self.unready()
        return reason if reason or not self.awaits_stores() else "too few stores yet"

    def awaits_stores(self) -> bool:
        """Returns whether this is an edge of a fleet that is being founded and in which no partition has members yet.

        Load balancers need not send it jobs that nobody could keep; requests that reach it are answered all the same. It does
        not wait after a later start of its process, nor for longer than for its registration with control: a fleet may have
        no stores.
        """
        return (
            "edge" in self.settings.duties
            and self.settings.announce
            and self.settings.bootstrap
            and now() - self.started_at < self.start_time_limit
            and not self.configuration_view.order(0)
        )

    def unready(self) -> str:
        """Returns why this daemon can't answer clients; empty if it can.

        A daemon that is leaving still answers them, unless it never became ready: without a configuration that is known
        to be up to date it can't distinguish a request that no route matches from one whose route it doesn't know yet.
        """
        reason = super().ready() or ("" if self.configuration_view.fresh else "no fresh news yet")
        configuration = self.configuration_view.manifest
        if not reason and self.relay is not None and configuration is not None and not configuration.get("routes"):
            reason = "no routes yet"
        return reason

    def app(self) -> Any:
        """Returns the ASGI application; in an announced fleet the relay handles requests first and falls back to it."""
        application = super().app()
        if self.relay is None:
            return application
        self.relay.fallback, self.relay.unready = application, self.unready
        return self.relay

    @property
    def drain(self) -> float:
        """How many seconds requests in progress may take once nothing new is accepted.

        If there is a grace period, it is what the other steps of an orderly exit leave of it.
        """
        grace = self.settings.bounds.grace
        return (
            self.settings.bounds.drain_time if grace == 0 else max(1.0, grace - UNREADY_DETECTION_DELAY - GRACE_RESERVE)
        )

    @property
    def has_exclusive_duties(self) -> bool:
        """Whether others wait for this daemon until they know that it has failed: those of a store's partitions do."""
        return self.store is not None

    @property
    def peer_timeout(self) -> float:
        """Seconds until a client that doesn't acknowledge data is considered lost; 0 for the system's default."""
        return self.settings.bounds.recover / 2 if self.relay is not None else 0.0

    def connection_limits(self) -> ConnectionLimits:
        """Returns the present limits of clients' connections: the configuration's, or the defaults while there is none."""
        if self.relay is None:
            return super().connection_limits()
        configuration = self.configuration_view.manifest
        if configuration is None:
            return ConnectionLimits(
                LIMITS["head_bytes"], LIMITS["head_ms"] / 1000, LIMITS["idle_ms"] / 1000, LIMITS["body_bytes"]
            )
        return ConnectionLimits(
            limit(configuration, "head_bytes"),
            limit(configuration, "head_ms") / 1000,
            limit(configuration, "idle_ms") / 1000,
            limit(configuration, "body_bytes"),
        )

    def http_routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes for clients."""
        return self.edge.routes() if self.edge is not None else []

    def tasks(self) -> list[Task]:
        """Returns the tasks of the duties, which run for as long as the process does."""
        coroutines: list[Task] = [self.follower.prove_fresh()]
        if self.store is not None:
            coroutines += self.store.tasks()
        if self.edge is not None:
            coroutines += self.edge.tasks()
            # Workers of an announced fleet aren't polled: polls cost them capacity, and control reports their state.
            coroutines += (
                [] if self.settings.announce else [self.worker_load.poll_loop(self.settings.bounds.probe_interval)]
            )
            coroutines += [serve_ready(self.settings.ready, lambda: not self.ready())] if self.settings.ready else []
        if self.load_exchange is not None:
            coroutines.append(self.load_exchange.run())
        if self.tenant_shares is not None:
            coroutines.append(self.tenant_shares.run())
        if self.scheduler is not None:
            coroutines += self.scheduler.tasks() + ([] if self.settings.announce else [self.watch_batch()])
        return coroutines

    async def watch_batch(self) -> None:
        """Polls the workers at the scheduler's own interval, so that slots lent to jobs return to live requests in time."""
        assert self.scheduler is not None
        await self.batch_worker_load.poll_loop(self.scheduler.poll_interval, ("model",))

    async def run(self) -> None:
        """Runs the daemon until it has stopped, then closes the connections and files of the duties."""
        try:
            await super().run()
        finally:
            if self.store is not None:
                self.store.revoke_disk_identity()
            if self.session is not None:
                await self.session.close()
            if self.relay is not None:
                self.relay.close()
            if self.connection_pool is not None:
                self.connection_pool.close()
            if self.load_exchange is not None:
                self.load_exchange.close()
            if self.tenant_shares is not None:
                self.tenant_shares.close()

    async def duty_status_fields(self) -> Body:
        """Returns the fields that the duties add to the status page."""
        return await duty_status(self.store, self.edge, self.scheduler)

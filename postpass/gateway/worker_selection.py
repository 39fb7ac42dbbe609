"""Chooses the worker for a relayed request, by the configuration in force and what this edge knows of the workers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from absl import logging

from postpass.configuration.configuration import Configuration, Pool, Server
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.relayed_request import RelayedRequest
from postpass.gateway.route_table import RouteTable, route_table_of
from postpass.gateway.worker_health import WorkerHealth
from postpass.routing.cold_workers import TokenBucket, cold_edges, cold_rate_per_edge
from postpass.routing.live_choice import (
    EdgeView,
    Prompt,
    WorkerCandidate,
    choose_worker,
    pool_order,
)
from postpass.routing.load_picture import IDLE, LoadReport, WorkerUse
from postpass.routing.options import DEFAULT_OPTIONS, RoutingOptions
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.log_events import Event

UNLIMITED_RATE = 1e9  # requests per second
OUTCOME_INTERVALS = 10  # intervals of the load exchange during which others are told how an attempt at a worker ended
PROMPT_WEIGHT = 1 / 64  # weight of the newest prompt in the smoothed number of tokens per prompt


@dataclass(eq=False)
class WorkerSelection:
    """Chooses workers for relayed requests. Owner: `Relay`.

    Holds what is derived from the configuration in force until the next one, and the health of the workers by name.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    revision: int = -1  # of the configuration that `table`, `edges` and `senders` are derived from
    table: RouteTable = field(default_factory=lambda: RouteTable({}))
    edges: list[str] = field(default_factory=list)  # all edges that aren't gone, sorted
    senders: int = 1  # processes that send requests to workers: edges and schedulers
    health_by_worker: dict[str, WorkerHealth] = field(default_factory=dict)
    usual_tokens_by_pool: dict[str, float] = field(default_factory=dict)  # smoothed number of tokens per prompt
    others_load: Callable[[], LoadReport | None] = lambda: None  # load of other processes by worker; None if unknown
    options: RoutingOptions = DEFAULT_OPTIONS

    def refresh(self) -> None:
        """Applies the configuration in force if it is a new revision.

        If an unexpected error prevents that, what was derived from the former revision stays, and requests are served by it.
        """
        configuration, revision = self.configuration_view.manifest, self.configuration_view.revision
        if configuration is None or self.revision == revision:
            return
        try:
            self.apply_configuration(configuration)
        except Exception as error:
            self.revision = revision
            log_events.emit(Event.ROUTES_NOT_APPLIED, self.settings.name, revision=revision, why=f"{error!r:.160}")
            logging.exception("routes of revision %d not applied", revision)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Derives routes, edges and senders from a new revision of the configuration, and forgets removed workers."""
        table = route_table_of(configuration)
        machines = {n: m for n, m in configuration["machines"].items() if not m.get("gone")}
        self.edges = sorted(n for n, m in machines.items() if "edge" in m["duties"])
        self.senders = max(1, sum(bool({"edge", "sched"} & set(m["duties"])) for m in machines.values()))
        self.table, self.revision = table, self.configuration_view.revision
        configured_workers = {n for p in configuration["pools"].values() for n in p["servers"]}
        for name in [n for n, h in self.health_by_worker.items() if n not in configured_workers and not h.in_flight]:
            del self.health_by_worker[name]

    def health(self, name: str) -> WorkerHealth:
        """Returns the health of a worker. A worker that is new here may get one request at once, even if it is cold."""
        worker_health = self.health_by_worker.get(name)
        if worker_health is None:
            worker_health = self.health_by_worker[name] = WorkerHealth(bucket=TokenBucket(1.0, now()))
        return worker_health

    def is_barred(self, configuration: Configuration, server: Server) -> bool:
        """Returns whether a worker gets no new requests, because it is leaving or its zone is evacuated."""
        return bool(server.get("leave")) or server["area"] in configuration.get("evacuated", ())

    def cold_rate(self, pool: Pool, name: str) -> float | None:
        """Returns how many requests per second this edge may send to a cold worker, or None if it may send none.

        `name` is the worker. It is cold while it is still slow after its start, or slow again.
        """
        rate = pool.get("cold_rate", 0.0)
        if rate <= 0:
            return UNLIMITED_RATE
        permitted_edges = cold_edges(name, self.edges, rate)
        return cold_rate_per_edge(rate, len(permitted_edges)) if self.settings.name in permitted_edges else None

    def own_use(self) -> LoadReport:
        """Returns the load that this edge puts on each worker, and how its recent attempts at them ended."""
        current_time, window = now(), self.settings.bounds.load_exchange_interval * OUTCOME_INTERVALS
        return {
            name: WorkerUse(health.in_flight, 0, health.unread, *health.outcome(current_time, window))
            for name, health in self.health_by_worker.items()
            if health.in_flight or current_time - health.tried_at <= window
        }

    def candidates(
        self, configuration: Configuration, pool: Pool, tried: set[str], others: LoadReport
    ) -> list[WorkerCandidate]:
        """Returns the workers of a pool that may get a request which was already tried at those in `tried`."""
        candidates: list[WorkerCandidate] = []
        current_time = now()
        for name, server in pool["servers"].items():
            if name in tried or self.is_barred(configuration, server):
                continue
            health = self.health(name)
            if server.get("cold"):
                rate = self.cold_rate(pool, name)
                if rate is None or health.bucket.filled(current_time, rate).level < 1:
                    continue
            is_avoided, is_full = health.avoid_until > current_time, health.full_until > current_time
            candidates.append(
                WorkerCandidate(
                    name, server["slots"], health.in_flight, is_avoided, is_full, health.lag, health.unread,
                    others.get(name, IDLE),
                )
            )  # fmt: skip
        return candidates

    def choose(self, request: RelayedRequest) -> tuple[str, str] | None:
        """Returns the pool and the worker for the next attempt, or None if no worker is left."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        tried = {a.worker for a in request.attempt_log.attempts}
        others = self.others_load()
        options = replace(self.options, shared_load=False) if others is None else self.options
        prompt = Prompt(request.prefix, request.prompt_tokens)
        for pool_name in pool_order(request.route["split"], request.request_id or b""):
            if pool_name not in configuration["pools"]:
                continue
            candidates = self.candidates(configuration, configuration["pools"][pool_name], tried, others or {})
            view = EdgeView(len(self.edges), self.update_usual_tokens(pool_name, prompt.tokens))
            choice = choose_worker(candidates, prompt, view, self.environment.chance, options)
            if choice is not None:
                request.choice = choice
                return pool_name, choice.worker
        return None

    def update_usual_tokens(self, pool: str, tokens: int) -> float:
        """Adds a prompt to the smoothed number of tokens per prompt of a pool, and returns the new value."""
        usual = self.usual_tokens_by_pool.get(pool, float(tokens))
        usual += (tokens - usual) * PROMPT_WEIGHT
        self.usual_tokens_by_pool[pool] = usual
        return usual

    def check_admission(self, request: RelayedRequest, pool_name: str, worker_name: str, addr: str) -> str:
        """Returns why the request must not be sent by the configuration in force now, or an empty string if it may be.

        Called right before the first byte is sent. Counts the request against a cold worker's rate.
        """
        configuration = self.configuration_view.manifest
        assert configuration is not None
        self.refresh()
        route = configuration.get("routes", {}).get(request.route_name)
        if route is None or all(s["pool"] != pool_name or s["weight"] <= 0 for s in route["split"]):
            return "the route no longer goes there"
        server = configuration["pools"].get(pool_name, {"servers": {}})["servers"].get(worker_name)  # type: ignore[typeddict-item]
        if server is None or self.is_barred(configuration, server) or server["url"] != "http://" + addr:
            return "it is leaving"
        if server.get("cold"):
            rate = self.cold_rate(configuration["pools"][pool_name], worker_name)
            health = self.health(worker_name)
            if rate is None:
                return "it is cold"
            filled = health.bucket.filled(now(), rate)
            if filled.level < 1:
                return "it is cold"
            health.bucket = filled.taken()
        return ""

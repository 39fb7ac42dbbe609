"""Which worker a relayed request goes to, by the configuration in force and what this edge knows of the workers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

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
from postpass.runtime.environment import Environment, now

UNLIMITED_RATE = 1e9  # requests a second
OUTCOME_INTERVALS = 10  # of the load exchange, for which others are told how a worker was found
PROMPT_WEIGHT = 1 / 64  # of the newest prompt in the tokens that one usually has


@dataclass(eq=False)
class WorkerSelection:
    """What is derived from a configuration until the next one, and the health of workers by name. Owner: `Relay`."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    revision: int = -1  # of the configuration that the following was derived from
    table: RouteTable = field(default_factory=lambda: RouteTable({}))
    edges: list[str] = field(default_factory=list)  # all that aren't gone, sorted
    senders: int = 1  # processes that send requests to workers: edges and schedulers
    health_by_worker: dict[str, WorkerHealth] = field(default_factory=dict)
    usual_tokens_by_pool: dict[str, float] = field(default_factory=dict)  # of a prompt, smoothed
    others_load: Callable[[], LoadReport | None] = lambda: None  # what others have at workers; None if not known
    options: RoutingOptions = DEFAULT_OPTIONS

    def refresh(self) -> None:
        """Learns the configuration in force if it is a new one."""
        configuration = self.configuration_view.manifest
        if configuration is not None and self.revision != self.configuration_view.revision:
            self.learn(configuration)

    def learn(self, configuration: Configuration) -> None:
        """Takes a new revision of the configuration in force."""
        self.table, self.revision = route_table_of(configuration), self.configuration_view.revision
        machines = {n: m for n, m in configuration["machines"].items() if not m.get("gone")}
        self.edges = sorted(n for n, m in machines.items() if "edge" in m["duties"])
        self.senders = max(1, sum(bool({"edge", "sched"} & set(m["duties"])) for m in machines.values()))
        known = {n for p in configuration["pools"].values() for n in p["servers"]}
        for name in [n for n, h in self.health_by_worker.items() if n not in known and not h.in_flight]:
            del self.health_by_worker[name]

    def health(self, name: str) -> WorkerHealth:
        """What is known of a worker; one that is new here may get one request at once even if it is cold."""
        found = self.health_by_worker.get(name)
        if found is None:
            found = self.health_by_worker[name] = WorkerHealth(bucket=TokenBucket(1.0, now()))
        return found

    def barred(self, configuration: Configuration, server: Server) -> bool:
        """Does a worker get nothing new, since it leaves or its zone is evacuated?"""
        return bool(server.get("leave")) or server["area"] in configuration.get("evacuated", ())

    def cold_rate(self, pool: Pool, name: str) -> float | None:
        """Requests a second that this edge may send to a cold worker; None: it may send none."""
        rate = pool.get("cold_rate", 0.0)
        if rate <= 0:
            return UNLIMITED_RATE
        users = cold_edges(name, self.edges, rate)
        return cold_rate_per_edge(rate, len(users)) if self.settings.name in users else None

    def own_use(self) -> LoadReport:
        """What this edge has at each worker, and how it found those that it tried lately."""
        at, window = now(), self.settings.bounds.exchange * OUTCOME_INTERVALS
        return {
            name: WorkerUse(health.in_flight, 0, health.unread, *health.outcome(at, window))
            for name, health in self.health_by_worker.items()
            if health.in_flight or at - health.tried_at <= window
        }

    def candidates(
        self, configuration: Configuration, pool: Pool, tried: set[str], others: LoadReport
    ) -> list[WorkerCandidate]:
        """The workers of a pool that may get a request which was tried at those of `tried`."""
        found: list[WorkerCandidate] = []
        at = now()
        for name, server in pool["servers"].items():
            if name in tried or self.barred(configuration, server):
                continue
            health = self.health(name)
            if server.get("cold"):
                rate = self.cold_rate(pool, name)
                if rate is None or health.bucket.filled(at, rate).level < 1:
                    continue
            avoided, full = health.avoid_until > at, health.full_until > at
            found.append(
                WorkerCandidate(
                    name, server["slots"], health.in_flight, avoided, full, health.lag, health.unread,
                    others.get(name, IDLE),
                )
            )  # fmt: skip
        return found

    def choose(self, request: RelayedRequest) -> tuple[str, str] | None:
        """Pool and worker for the next attempt; None if no worker is left."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        tried = {a.worker for a in request.attempt_log.attempts}
        others = self.others_load()
        options = replace(self.options, shared_load=False) if others is None else self.options
        prompt = Prompt(request.prefix, request.prompt_tokens)
        for pool in pool_order(request.route["split"], request.request_id or b""):
            if pool not in configuration["pools"]:
                continue
            candidates = self.candidates(configuration, configuration["pools"][pool], tried, others or {})
            view = EdgeView(len(self.edges), self.usual_tokens(pool, prompt.tokens))
            choice = choose_worker(candidates, prompt, view, self.environment.chance, options)
            if choice is not None:
                request.choice = choice
                return pool, choice.worker
        return None

    def usual_tokens(self, pool: str, tokens: int) -> float:
        """Tokens that a prompt for a pool usually has, with one more prompt seen."""
        usual = self.usual_tokens_by_pool.get(pool, float(tokens))
        usual += (tokens - usual) * PROMPT_WEIGHT
        self.usual_tokens_by_pool[pool] = usual
        return usual

    def check_admission(self, request: RelayedRequest, pool: str, name: str, addr: str) -> str:
        """Asked right before the first byte leaves: what speaks against it by the configuration in force now; empty
        if nothing does. Counts the request against a cold worker's rate."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        self.refresh()
        route = configuration.get("routes", {}).get(request.route_name)
        if route is None or all(s["pool"] != pool or s["weight"] <= 0 for s in route["split"]):
            return "the route no longer goes there"
        server = configuration["pools"].get(pool, {"servers": {}})["servers"].get(name)  # type: ignore[typeddict-item]
        if server is None or self.barred(configuration, server) or server["url"] != "http://" + addr:
            return "it is leaving"
        if server.get("cold"):
            rate = self.cold_rate(configuration["pools"][pool], name)
            health = self.health(name)
            if rate is None:
                return "it is cold"
            filled = health.bucket.filled(now(), rate)
            if filled.level < 1:
                return "it is cold"
            health.bucket = filled.taken()
        return ""

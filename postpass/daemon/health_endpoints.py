"""The HTTP pages and the metrics that every daemon has for operators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import CounterMetricFamily
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.membership.partial_view import PartialView
from postpass.rpc.codec import Body
from postpass.runtime import log_events
from postpass.runtime.environment import now

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"


class EventCounts:
    """The numbered events of the log, as a metric."""

    def collect(self) -> Iterator[CounterMetricFamily]:
        """The counts at this moment, in the order of their numbers."""
        family = CounterMetricFamily("postpass_events", "Events logged, by number", labels=["number"])
        for number, count in sorted(log_events.COUNTS.items()):
            family.add_metric([f"E{number:03d}"], count)
        yield family


@dataclass(frozen=True)
class DaemonMetrics:
    """The counters of every daemon: `shuffles` with neighbours and `polls` of the feed, each by its end."""

    shuffles: Counter
    polls: Counter

    @classmethod
    def register(
        cls, registry: CollectorRegistry, revision: Callable[[], float], neighbours: Callable[[], float]
    ) -> DaemonMetrics:
        """Registers all metrics of a daemon, in the order in which the page shows them."""
        edition = Gauge("postpass_edition", "Edition of the manifest in force", registry=registry)
        edition.set_function(revision)
        in_view = Gauge("postpass_neighbours", "Neighbours in the partial view", registry=registry)
        in_view.set_function(neighbours)
        registry.register(EventCounts())
        return cls(
            Counter("postpass_shuffles", "Shuffles with neighbours", ["end"], registry=registry),
            Counter("postpass_feed_polls", "Polls of the feed", ["end"], registry=registry),
        )


class ObservedDaemon(Protocol):
    """What the pages read of a daemon; `postpass.daemon.process.Daemon` is one."""

    settings: Settings
    release: str
    leaving: bool
    started: float
    registry: CollectorRegistry
    configuration_view: ConfigurationView
    partial_view: PartialView

    @property
    def name_clash(self) -> str:
        """Another process that goes by the same name; empty if none is known."""
        ...

    def ready(self) -> str:
        """Empty if the daemon is ready to serve; else what is lacking."""
        ...

    async def more_status(self) -> Body:
        """What the duties of the daemon add to the status page."""
        ...


class HealthEndpoints:
    """The pages `/health`, `/ready`, `/metrics` and `/v1/status` of one daemon."""

    def __init__(self, daemon: ObservedDaemon) -> None:
        self.daemon = daemon

    def routes(self) -> list[BaseRoute]:
        """The HTTP routes of the pages."""
        return [
            Route("/health", self.health),
            Route("/ready", self.ready),
            Route("/metrics", self.metrics),
            Route("/v1/status", self.status),
        ]

    async def health(self, _request: Request) -> Response:
        """Answers as long as the process runs."""
        daemon = self.daemon
        return JSONResponse({"name": daemon.settings.name, "status": "serving", "release": daemon.release})

    async def ready(self, _request: Request) -> Response:
        """200 if the daemon is ready to serve, else 503 with what is lacking."""
        lack = self.daemon.ready()
        headers = {"retry-after": "1"} if lack else {}
        return JSONResponse({"ready": not lack, "lack": lack}, 503 if lack else 200, headers=headers)

    async def metrics(self, _request: Request) -> Response:
        """The metrics of the process, as Prometheus reads them."""
        return PlainTextResponse(generate_latest(self.daemon.registry), media_type=METRICS_MEDIA_TYPE)

    async def status(self, _request: Request) -> Response:
        """What `postpassctl status` shows: what each daemon tells, then what its duties add."""
        daemon, settings, view = self.daemon, self.daemon.settings, self.daemon.configuration_view
        return JSONResponse({
            "name": settings.name, "area": settings.zone, "peer": settings.peer, "http": settings.http,
            "duties": list(settings.duties), "release": daemon.release, "edition": view.revision,
            "fresh": view.fresh, "leaving": daemon.leaving, "deaf": view.is_isolated(settings.bounds.isolation_time),
            "up": round(now() - daemon.started, 3), "ready": daemon.ready(), "clash": daemon.name_clash,
            "neighbours": sorted(daemon.partial_view.neighbours), **await daemon.more_status(),
        })  # fmt: skip

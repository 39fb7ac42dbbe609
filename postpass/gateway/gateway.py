"""The edge duty: HTTP to clients. Live requests, proxied routes, and jobs on their way to their owners."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from starlette.routing import BaseRoute, Mount, Route
from starlette.types import ASGIApp

from postpass.gateway.edge_state import EdgeState
from postpass.gateway.job_routes import JobRoutes
from postpass.gateway.live_requests import LiveRequests
from postpass.gateway.proxied_routes import PROXIED_METHODS, ProxiedRoutes


@dataclass(eq=False)
class Gateway(EdgeState):
    """The state of an edge with its HTTP routes. Owner: the data plane's process."""

    fallback: ASGIApp | None = None  # serves what none of the routes fits; without it the proxied routes do
    extra_routes: list[BaseRoute] = field(default_factory=list)  # these stand before the fallback

    def routes(self) -> list[BaseRoute]:
        """All HTTP routes of this edge; the first that fits serves a request."""
        jobs = JobRoutes(self)
        rest: BaseRoute
        if self.fallback is not None:
            rest = Mount("", self.fallback)
        else:
            rest = Route("/{rest:path}", ProxiedRoutes(self), methods=PROXIED_METHODS)
        return [
            Route("/v1/calls", LiveRequests(self), methods=["POST"]),
            Route("/v1/lots", jobs.submit, methods=["POST"]),
            Route("/v1/lots/{lot}", jobs.show_or_end, methods=["GET", "DELETE"]),
            Route("/v1/lots/{lot}/results", jobs.results, methods=["GET"]),
            *self.extra_routes,
            rest,
        ]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """What runs as long as the process does."""
        return [self.admission.dispatch_loop()]

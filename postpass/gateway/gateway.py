"""The edge duty: serves HTTP to clients, that is live requests, proxied routes, and jobs, which go to their owners."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from starlette.routing import BaseRoute, Mount, Route
from starlette.types import ASGIApp

from postpass.gateway.edge_state import EdgeState
from postpass.gateway.job_routes import JobRoutes
from postpass.gateway.live_requests import LiveRequests
from postpass.gateway.proxied_routes import PROXIED_METHODS, ProxiedRoutes


@dataclass(eq=False)
class Gateway(EdgeState):
    """The state of an edge, and the HTTP routes that it serves. Owned by the process of the data plane."""

    fallback: ASGIApp | None = None  # serves requests that no route matches; without it, the proxied routes do

    def routes(self) -> list[BaseRoute]:
        """Returns all HTTP routes of this edge, in matching order: the first that matches serves a request."""
        job_routes = JobRoutes(self)
        fallback_route: BaseRoute
        if self.fallback is not None:
            fallback_route = Mount("", self.fallback)
        else:
            fallback_route = Route("/{rest:path}", ProxiedRoutes(self), methods=PROXIED_METHODS)
        return [
            Route("/v1/calls", LiveRequests(self), methods=["POST"]),
            Route("/v1/lots", job_routes.submit, methods=["POST"]),
            Route("/v1/lots/{lot}", job_routes.show_or_end, methods=["GET", "DELETE"]),
            Route("/v1/lots/{lot}/results", job_routes.results, methods=["GET"]),
            fallback_route,
        ]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the background tasks, which run for the lifetime of the process."""
        return [self.admission.dispatch_loop()]

"""Places a class in the client's own zone as long as a worker there has capacity; else where load is least."""

from __future__ import annotations

from postpass.worker_api.plugins import Candidate, PlacementRequest


def near(request: PlacementRequest, candidates: tuple[Candidate, ...]) -> str:
    """The least loaded worker of the request's own zone, or of all if none there may take it."""
    here = [c for c in candidates if c.zone == request.zone]
    return min(here or candidates, key=lambda worker: (worker.load / worker.slots, worker.name)).name

"""Places requests in the client's own zone as long as a worker there has capacity, else on the least loaded worker."""

from __future__ import annotations

from postpass.worker_api.plugins import Candidate, PlacementRequest


def near(request: PlacementRequest, candidates: tuple[Candidate, ...]) -> str:
    """Returns the least loaded worker in the request's own zone, or of all zones if none there can accept a request."""
    here = [c for c in candidates if c.zone == request.zone]
    return min(here or candidates, key=lambda worker: (worker.load / worker.slots, worker.name)).name

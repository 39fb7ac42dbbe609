"""Lets only those requests prefer the same worker that have all shared parts in common, not just the first."""

from __future__ import annotations

import hashlib

from postpass.worker_api.plugins import PlacementRequest


def all_shared(request: PlacementRequest) -> str:
    """Returns a digest of all shared parts; empty if there are none."""
    return hashlib.sha256("\n".join(request.shared).encode()).hexdigest()[:16] if request.shared else ""

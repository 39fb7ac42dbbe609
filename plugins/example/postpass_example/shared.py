"""Reuses a prefix only by requests that have every shared part in common, not just the first."""

from __future__ import annotations

import hashlib

from postpass.worker_api.plugins import PlacementRequest


def all_shared(request: PlacementRequest) -> str:
    """A digest of all shared parts; empty without any."""
    return hashlib.sha256("\n".join(request.shared).encode()).hexdigest()[:16] if request.shared else ""

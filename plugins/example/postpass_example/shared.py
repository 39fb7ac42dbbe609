"""Reuses a prefix only by calls that have every shared part in common, not just the first."""

from __future__ import annotations

import hashlib

from postpass.worker_api.plugins import Ask


def all_shared(ask: Ask) -> str:
    return hashlib.sha256("\n".join(ask.shared).encode()).hexdigest()[:16] if ask.shared else ""

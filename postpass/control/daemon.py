"""The control daemon: one process a control machine."""

from __future__ import annotations

from postpass.control.api import Api


class ControlPlane(Api):
    """Always keeps epochs, and at times the state as primary or backup: the primary syncs, writes to the backups, which sync, and
    only then answers."""

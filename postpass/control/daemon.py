"""The control daemon, of which one process runs on each control machine."""

from __future__ import annotations

from postpass.control.api import Api


class ControlPlane(Api):
    """A complete control member: always a voter, at times the primary or a backup.

    The primary syncs a change to its disk, sends it to the backups, which sync it too, and only then acknowledges it.

    This is the last class of a chain, each derived from the one before: ControlMember (votes and disk) <- Contact (the
    lease) <- Replica (replication) <- Election <- Writer (the queue of changes) <- Feed (confirmed reads) <- Registry
    (machines and workers) <- Leadership (when to run for election) <- Orders (of operators) <- Api (verbs and HTTP).
    """

"""The control daemon: one process a control machine."""

from __future__ import annotations

from postpass.control.api import Api


class ControlPlane(Api):
    """A control member as it runs: always a voter, at times primary or backup. The primary syncs a change, sends it to the
    backups, which sync it, and only then answers.

    The end of the chain: ControlMember (votes and disk) <- Contact (the lease) <- Replica (replication) <- Election <-
    Writer (the queue of changes) <- Feed (confirmed reads) <- Registry (machines and workers) <- Leadership (when to run)
    <- Orders (of operators) <- Api (verbs and HTTP).
    """

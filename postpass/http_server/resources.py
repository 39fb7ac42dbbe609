"""What the connections of one server share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from postpass.http_server.connection_table import ConnectionTable
from postpass.http_server.limit_log import LimitLog
from postpass.http_server.limits import MIN_LARGEST_BODIES, ConnectionLimits, ResourceLimits
from postpass.http_server.memory_budget import MemoryBudget
from postpass.http_server.parse_queue import ParseQueue


@dataclass(frozen=True, eq=False)
class ServerResources:
    """The shared resources of one server. Owner: the daemon.

    :ivar current_limits: returns the limits of each connection, which may change at any time.
    :ivar peer_timeout_s: seconds until a peer that doesn't acknowledge data is considered lost; 0 for the system's default.
    :ivar listen_queue: the longest queue of connections that aren't accepted yet.
    """

    current_limits: Callable[[], ConnectionLimits]
    peer_timeout_s: float
    listen_queue: int
    memory: MemoryBudget
    parse_queue: ParseQueue
    connections: ConnectionTable
    log: LimitLog

    @classmethod
    def create(
        cls,
        current_limits: Callable[[], ConnectionLimits],
        peer_timeout_s: float,
        resource_limits: ResourceLimits,
        log: LimitLog | None = None,
    ) -> ServerResources:
        """Returns the resources of a new server."""

        def memory_capacity() -> int:
            return max(resource_limits.request_bytes, current_limits().body_bytes * MIN_LARGEST_BODIES)

        return cls(
            current_limits,
            peer_timeout_s,
            resource_limits.listen_queue,
            MemoryBudget(memory_capacity),
            ParseQueue(),
            ConnectionTable(resource_limits.connections),
            log or LimitLog(),
        )

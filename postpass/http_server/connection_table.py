"""The open connections of a server: no more than a limit, those that are idle for longest give way to new ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol


class ClosableConnection(Protocol):
    """A connection that can be closed to make room."""

    def close_at_once(self) -> None:
        """Closes the connection without waiting for anything."""
        ...


@dataclass(eq=False)
class ConnectionTable:
    """Owner: the server's resources. Invariant: `idle` is a part of `connections`, those that are idle for longest first.

    :ivar limit: the number of connections that may be open.
    """

    limit: int
    connections: set[ClosableConnection] = field(default_factory=set)
    idle: dict[ClosableConnection, None] = field(default_factory=dict)

    def add(self, connection: ClosableConnection) -> bool:
        """Adds a new connection, which is idle; returns False if it has to be closed because there is no room."""
        if len(self.connections) >= self.limit:
            longest_idle = next(iter(self.idle), None)
            if longest_idle is None:
                return False
            self.discard(longest_idle)
            longest_idle.close_at_once()
        self.connections.add(connection)
        self.idle[connection] = None
        return True

    def mark_idle(self, connection: ClosableConnection) -> None:
        """Records that a connection has no request any more."""
        if connection in self.connections:
            self.idle[connection] = None

    def mark_busy(self, connection: ClosableConnection) -> None:
        """Records that a request has begun on a connection."""
        self.idle.pop(connection, None)

    def discard(self, connection: ClosableConnection) -> None:
        """Removes a connection that is closed."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)

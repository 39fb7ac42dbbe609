"""Shares the processor among connections with much to parse: a bounded number of bytes in each turn of the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

PIECE_BYTES = 16 << 10  # parsed of one connection before the next one has its turn
TURN_BYTES = 32 << 10  # parsed in one turn of the event loop, of all connections in the queue


class ParsingConnection(Protocol):
    """A connection with received bytes that aren't parsed yet."""

    def parse_received(self, max_bytes: int) -> int:
        """Parses up to so many bytes; returns how many. Joins the queue again if there are more."""
        ...


@dataclass(eq=False)
class ParseQueue:
    """The connections that wait for their turn. Owner: the server's resources. Invariant: each is in it once at most."""

    waiting: deque[ParsingConnection] = field(default_factory=deque)
    members: set[ParsingConnection] = field(default_factory=set)
    is_scheduled: bool = False

    def add(self, connection: ParsingConnection) -> None:
        """Adds a connection at the end, unless it waits already."""
        if connection not in self.members:
            self.members.add(connection)
            self.waiting.append(connection)
            self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Parses one turn's worth of bytes."""
        self.is_scheduled = False
        remaining = TURN_BYTES
        for _ in range(len(self.waiting)):
            if remaining <= 0:
                break
            connection = self.waiting.popleft()
            self.members.discard(connection)
            remaining -= connection.parse_received(min(PIECE_BYTES, remaining))
        if self.waiting:
            self._schedule()

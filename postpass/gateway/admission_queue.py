"""The bounded queue of one request class: fair between clients, first come first served within one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field


@dataclass(eq=False)
class Waiter:
    """A request that waits for a worker. Invariant: `worker` is resolved at most once, with a worker's name."""

    client: str
    preferred_worker: str  # where its affinity key points to; empty if it has none
    zone: str
    shared: tuple[str, ...]  # the shared parts of its prompt
    size: int  # characters of its prompt
    worker: asyncio.Future[str]


@dataclass(eq=False)
class AdmissionQueue:
    """Invariants: `size` counts the waiters in `lines`; a client without a waiter has no line; `turn` holds each
    client that has one, once. Who calls `put` keeps to the bound."""

    lines: dict[str, deque[Waiter]] = field(default_factory=dict)  # by client, the oldest first
    turn: deque[str] = field(default_factory=deque)  # clients, the next one first
    size: int = 0

    def put(self, waiter: Waiter) -> None:
        """Appends a waiter to its client's line."""
        if waiter.client not in self.lines:
            self.lines[waiter.client] = deque()
            self.turn.append(waiter.client)
        self.lines[waiter.client].append(waiter)
        self.size += 1

    def peek(self) -> Waiter | None:
        """The next waiter; drops those that gave up. None if nobody waits."""
        while self.turn:
            line = self.lines[self.turn[0]]
            while line and line[0].worker.done():
                line.popleft()
                self.size -= 1
            if line:
                return line[0]
            del self.lines[self.turn.popleft()]
        return None

    def pop(self) -> Waiter:
        """Takes the waiter that `peek` showed; its client goes to the end of the turn."""
        waiter = self.peek()
        assert waiter is not None
        client = self.turn.popleft()
        self.lines[client].popleft()
        self.size -= 1
        if self.lines[client]:
            self.turn.append(client)
        else:
            del self.lines[client]
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Removes a waiter that no longer waits, if it still stands here."""
        line = self.lines.get(waiter.client)
        if line and waiter in line:
            line.remove(waiter)
            self.size -= 1

"""A bounded backlog of one class: fair between callers, first come first served within one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field


@dataclass(eq=False)
class Waiter:
    """Invariant: `seat` is resolved at most once, with a server's name."""

    client: str
    fond: str
    zone: str
    shared: tuple[str, ...]
    size: int
    seat: asyncio.Future[str]


@dataclass(eq=False)
class AdmissionQueue:
    """Invariants: `size` counts the waiters in `lines`; a caller with none has no line; `turn` holds each
    caller that has one, once."""

    lines: dict[str, deque[Waiter]] = field(default_factory=dict)
    turn: deque[str] = field(default_factory=deque)
    size: int = 0

    def put(self, waiter: Waiter) -> None:
        if waiter.client not in self.lines:
            self.lines[waiter.client] = deque()
            self.turn.append(waiter.client)
        self.lines[waiter.client].append(waiter)
        self.size += 1

    def peek(self) -> Waiter | None:
        while self.turn:
            line = self.lines[self.turn[0]]
            while line and line[0].seat.done():
                line.popleft()
                self.size -= 1
            if line:
                return line[0]
            del self.lines[self.turn.popleft()]
        return None

    def pop(self) -> Waiter:
        """Takes the one that `peek` showed; its caller goes to the end of the turn."""
        waiter = self.peek()
        assert waiter is not None
        name = self.turn.popleft()
        self.lines[name].popleft()
        self.size -= 1
        if self.lines[name]:
            self.turn.append(name)
        else:
            del self.lines[name]
        return waiter

    def leave(self, waiter: Waiter) -> None:
        line = self.lines.get(waiter.client)
        if line and waiter in line:
            line.remove(waiter)
            self.size -= 1

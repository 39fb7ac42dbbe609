"""The bounded queue of one request class: round robin between clients, first come first served for each client."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field


@dataclass(eq=False)
class Waiter:
    """A request that waits for a worker. Invariant: `worker` gets a result at most once, the name of a worker."""

    client: str
    preferred_worker: str  # the one that its affinity key maps to; empty if it has none
    zone: str
    shared: tuple[str, ...]  # the shared parts of its prompt
    size: int  # characters of its prompt
    worker: asyncio.Future[str]


@dataclass(eq=False)
class AdmissionQueue:
    """The waiting requests of one class.

    Invariants: `size` is the number of waiters in `waiters_by_client`; a client without a waiter has no entry there;
    `rotation` contains each client that has an entry, exactly once. The queue has no limit of its own: whoever uses `put`
    must check the limit before.
    """

    waiters_by_client: dict[str, deque[Waiter]] = field(default_factory=dict)  # the oldest waiter of each client first
    # Clients in the order in which they are served, the next one first.
    rotation: deque[str] = field(default_factory=deque)
    size: int = 0

    def put(self, waiter: Waiter) -> None:
        """Appends a waiter to those of its client."""
        if waiter.client not in self.waiters_by_client:
            self.waiters_by_client[waiter.client] = deque()
            self.rotation.append(waiter.client)
        self.waiters_by_client[waiter.client].append(waiter)
        self.size += 1

    def peek(self) -> Waiter | None:
        """Returns the next waiter, or None if nobody waits. Removes waiters that no longer wait."""
        while self.rotation:
            client_waiters = self.waiters_by_client[self.rotation[0]]
            while client_waiters and client_waiters[0].worker.done():
                client_waiters.popleft()
                self.size -= 1
            if client_waiters:
                return client_waiters[0]
            del self.waiters_by_client[self.rotation.popleft()]
        return None

    def pop(self) -> Waiter:
        """Removes and returns the waiter that `peek` returns; its client moves to the end of the rotation."""
        waiter = self.peek()
        assert waiter is not None
        client = self.rotation.popleft()
        self.waiters_by_client[client].popleft()
        self.size -= 1
        if self.waiters_by_client[client]:
            self.rotation.append(client)
        else:
            del self.waiters_by_client[client]
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Removes a waiter that no longer waits, if it is still in the queue."""
        client_waiters = self.waiters_by_client.get(waiter.client)
        if client_waiters and waiter in client_waiters:
            client_waiters.remove(waiter)
            self.size -= 1

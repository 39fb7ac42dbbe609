"""What the requests of one connection take of the server's budget of memory."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from postpass.http_server.memory_budget import MemoryBudget, MemoryUsage

REQUEST_BYTES = 8 << 10  # memory of a request in addition to its head and body


class RequestMemory:
    """The memory of one connection's requests. Owner: the connection.

    What is received is added up while it is parsed, and taken from the budget by `account` afterwards.
    """

    def __init__(self, budget: MemoryBudget, evict: Callable[[], int]) -> None:
        self.budget = budget
        self.usage = MemoryUsage(evict)
        self.sizes: dict[RequestResponseCycle, int] = {}  # of the requests that aren't done
        self.new_bytes = 0  # of `sizes`, those that aren't accounted for
        self.unparsed_bytes = 0  # received bytes that aren't parsed, as they were accounted for

    def begin(self, request: RequestResponseCycle, head_bytes: int) -> None:
        """Adds a request whose head is complete."""
        self.sizes[request] = REQUEST_BYTES + head_bytes
        self.new_bytes += REQUEST_BYTES + head_bytes

    def add_body(self, request: RequestResponseCycle, size: int) -> None:
        """Adds a part of a request's body."""
        if request in self.sizes:
            self.sizes[request] += size
            self.new_bytes += size

    def account(self, unparsed_bytes: int, is_arriving: bool) -> bool:
        """Takes what was received from the budget; returns False if there is no room.

        `is_arriving`: there is a request that hasn't arrived completely, or waits behind another one.
        """
        size = self.new_bytes + unparsed_bytes - self.unparsed_bytes
        self.new_bytes, self.unparsed_bytes = 0, unparsed_bytes
        if is_arriving:
            self.budget.mark_evictable(self.usage)
        else:
            self.budget.mark_complete(self.usage)
        if size <= 0:
            self.budget.release(self.usage, -size)
            return True
        return self.budget.take(self.usage, size)

    def release(self, request: RequestResponseCycle) -> None:
        """Gives back the memory of a request that is done or dropped."""
        self.budget.release(self.usage, self.sizes.pop(request, 0))

    def discard_unparsed(self) -> None:
        """Gives back the memory of received bytes that aren't going to be parsed."""
        self.budget.release(self.usage, self.unparsed_bytes)
        self.unparsed_bytes = 0

    def forget(self, requests: Iterable[RequestResponseCycle]) -> int:
        """Drops requests and unparsed bytes without giving their memory back; returns the bytes of the other requests."""
        for request in requests:
            self.sizes.pop(request, None)
        self.new_bytes = self.unparsed_bytes = 0
        return sum(self.sizes.values())

    def evict(self) -> None:
        """Evicts this connection itself, because there is no room for what it has received."""
        self.budget.mark_complete(self.usage)
        remaining = self.usage.evict()
        self.budget.release(self.usage, self.usage.size - remaining)

    def close(self) -> None:
        """Records that nothing more arrives."""
        self.discard_unparsed()
        self.budget.mark_complete(self.usage)

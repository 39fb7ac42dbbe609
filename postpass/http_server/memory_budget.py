"""The memory that all connections of a server may take together for requests which are arriving or being handled."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from fractions import Fraction

LARGE_BYTES = 64 << 10  # a connection that takes more is large
LARGE_SHARE = Fraction(3, 4)  # of the budget that large connections may take, so that small requests still fit


@dataclass(eq=False)
class MemoryUsage:
    """What one connection takes of the budget. Owner: the connection.

    :ivar evict: closes the connection, frees what it can, and returns the bytes that are still taken.
    :ivar size: the bytes that are taken.
    """

    evict: Callable[[], int]
    size: int = 0

    @property
    def is_large(self) -> bool:
        """Whether the connection takes more than a small request does."""
        return self.size > LARGE_BYTES


@dataclass(eq=False)
class MemoryBudget:
    """The budget of one server. Owner: the server's resources.

    Invariants: `used` is the sum of the sizes of all usages, and `large_used` that of the large ones. `evictable` has the
    connections whose requests are still arriving, those that have received nothing for longest first.

    :ivar capacity: returns the bytes that all connections may take together; it may change.
    """

    capacity: Callable[[], int]
    used: int = 0
    large_used: int = 0
    evictable: dict[MemoryUsage, None] = field(default_factory=dict)

    def take(self, usage: MemoryUsage, size: int) -> bool:
        """Takes so many bytes more for a connection that has just received something.

        If that is more than the budget, connections that have received nothing for longest make room. Returns False if they
        can't, and this connection has to be closed.
        """
        self._resize(usage, usage.size + size)
        capacity = self.capacity()
        while self.used > capacity:
            if not self._evict_first(usage, only_large=False):
                return False
        while usage.is_large and self.large_used > capacity * LARGE_SHARE:
            if not self._evict_first(usage, only_large=True):
                return False
        return True

    def release(self, usage: MemoryUsage, size: int) -> None:
        """Gives so many bytes of a connection back."""
        self._resize(usage, max(0, usage.size - size))

    def mark_evictable(self, usage: MemoryUsage) -> None:
        """Records that a connection whose request is still arriving has received something."""
        self.evictable.pop(usage, None)
        self.evictable[usage] = None

    def mark_complete(self, usage: MemoryUsage) -> None:
        """Records that the requests of a connection have arrived completely, or that it is closed."""
        self.evictable.pop(usage, None)

    def _resize(self, usage: MemoryUsage, size: int) -> None:
        if usage.is_large:
            self.large_used -= usage.size
        self.used += size - usage.size
        usage.size = size
        if usage.is_large:
            self.large_used += usage.size

    def _evict_first(self, exempt: MemoryUsage, only_large: bool) -> bool:
        """Evicts the first connection but `exempt`; returns False if there is none."""
        for usage in self.evictable:
            if usage is not exempt and (usage.is_large or not only_large):
                del self.evictable[usage]
                self._resize(usage, usage.evict())
                return True
        return False

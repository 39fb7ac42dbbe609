"""A semaphore that counts bytes: work on large data waits until there is memory for it, in the order of arrival."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass(eq=False)
class ByteSemaphore:
    """Invariant: `used` never exceeds `capacity`, and nobody waits while the first of those who wait would fit.

    :ivar capacity: the bytes that may be in use at once; whoever asks for more gets all of them.
    """

    capacity: int
    used: int = 0
    waiting: deque[tuple[int, asyncio.Future[None]]] = field(default_factory=deque)

    @asynccontextmanager
    async def taken(self, size: int) -> AsyncIterator[None]:
        """Waits for so many bytes, and has them until the end of the block."""
        granted = await self.acquire(size)
        try:
            yield
        finally:
            self.release(granted)

    async def acquire(self, size: int) -> int:
        """Waits for so many bytes; returns how many have to be released in the end."""
        size = min(size, self.capacity)
        if not self.waiting and self.used + size <= self.capacity:
            self.used += size
            return size
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (size, future)
        self.waiting.append(entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(size)
            else:
                self._withdraw(entry)
            raise
        return size

    def _withdraw(self, entry: tuple[int, asyncio.Future[None]]) -> None:
        """Takes a cancelled entry out of the queue, unless `_grant` has passed over it already, and lets the next one pass."""
        if entry in self.waiting:
            self.waiting.remove(entry)
        self._grant()

    def release(self, size: int) -> None:
        """Gives back what `acquire` returned."""
        self.used -= size
        self._grant()

    def _grant(self) -> None:
        while self.waiting and self.used + self.waiting[0][0] <= self.capacity:
            size, future = self.waiting.popleft()
            if not future.cancelled():
                self.used += size
                future.set_result(None)

"""Ends the run of an item whose worker has sent nothing for too long, though its connection is still open."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from postpass.batch.run_progress import RunProgress


@dataclass(eq=False)
class SilenceWatch:
    """Compares the silence of a run with a limit in regular checks, and expires a timeout once it is reached.

    Silence is counted in checks, not read off the clock: while this process stands still, what the worker sends waits
    unread, and only one check is made afterwards.

    :ivar limit: returns the limit in seconds; called at each check.
    :ivar interval: seconds between two checks.
    """

    progress: RunProgress
    limit: Callable[[], float]
    interval: float
    timeout: asyncio.Timeout
    silent_checks: int = 0
    last_seen: float = 0.0  # `progress.received_at` at the last check
    timer: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Schedules the next check."""
        self.timer = asyncio.get_running_loop().call_later(self.interval, self.check)

    def check(self) -> None:
        """Expires the timeout if the limit is reached; schedules the next check otherwise."""
        if self.progress.received_at != self.last_seen:
            self.last_seen, self.silent_checks = self.progress.received_at, 0
        else:
            self.silent_checks += 1
        if self.silent_checks * self.interval >= self.limit():
            self.timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self.schedule()

    def stop(self) -> None:
        """Makes no further check."""
        if self.timer is not None:
            self.timer.cancel()


@asynccontextmanager
async def end_if_silent(progress: RunProgress, limit: Callable[[], float], interval: float) -> AsyncIterator[None]:
    """Cancels what runs within, and raises TimeoutError, once a run has been silent for `limit()` seconds."""
    async with asyncio.timeout(None) as timeout:
        watch = SilenceWatch(progress, limit, interval, timeout)
        watch.schedule()
        try:
            yield
        finally:
            watch.stop()

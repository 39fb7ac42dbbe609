"""Counts the clients that meet a limit of the HTTP server, and logs them, at most once in a second."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from prometheus_client import Counter

from postpass.http_server.limits import ServerLimit
from postpass.runtime import log_events
from postpass.runtime.log_events import Event

LOG_INTERVAL_S = 1.0


@dataclass(eq=False)
class LimitLog:
    """Owner: the HTTP server's resources.

    :ivar process: the name of this process, for events.
    :ivar counter: counts the clients by limit; None where no metrics are kept.
    :ivar unlogged: the clients since the last log line, by limit.
    """

    process: str = ""
    counter: Counter | None = None
    unlogged: dict[ServerLimit, int] = field(default_factory=dict)
    next_log_at: float = 0.0  # seconds of the loop's clock

    def record(self, limit: ServerLimit) -> None:
        """Records that a client met a limit."""
        if self.counter is not None:
            self.counter.labels(limit.value).inc()
        self.unlogged[limit] = self.unlogged.get(limit, 0) + 1
        now = asyncio.get_running_loop().time()
        if now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_S
        counts = " ".join(f"{name.value}:{count}" for name, count in self.unlogged.items())
        self.unlogged.clear()
        log_events.emit(Event.CLIENT_LIMITED, self.process, limits=counts)

"""Notices that this process stood still: frozen, without processor time, or blocked by a long computation.

While a process stands still, messages wait in its sockets. When it goes on it can't tell when they arrived, so a message
that is read then proves nothing about the present, and its sender may have given up long ago.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from postpass.runtime.environment import now


@dataclass(eq=False)
class PauseDetector:
    """Compares the times at which the event loop runs. Times are monotonic, in seconds.

    Attributes:
        interval: Seconds between two runs.
        threshold: Seconds without a run from which on the process counts as having stood still. For as long after it
            goes on, what it reads may have waited in a socket.
        last_run: When the event loop last ran here; None before `run` has begun.
        paused_at: When it had last run before the last pause.
        resumed_at: When it went on after the last pause.
    """

    interval: float
    threshold: float
    last_run: float | None = None
    paused_at: float = -math.inf
    resumed_at: float = -math.inf

    def observe(self) -> None:
        """Records that the event loop runs now. After a pause, sockets are read before timers run, so each question
        begins with this."""
        current_time = now()
        if self.last_run is not None and current_time - self.last_run > self.threshold:
            self.paused_at, self.resumed_at = self.last_run, current_time
        self.last_run = current_time

    async def run(self) -> None:
        """Observes the event loop until it is cancelled."""
        self.last_run = now()
        while True:
            await asyncio.sleep(self.interval)
            self.observe()

    def earliest_arrival(self) -> float:
        """Returns the earliest time at which a message that is read now may have arrived."""
        if self.last_run is None:
            return now()
        self.observe()
        return self.paused_at if self.has_just_resumed else now()

    @property
    def has_just_resumed(self) -> bool:
        """Whether what is read now may have waited in a socket during a pause."""
        if self.last_run is None:
            return False
        self.observe()
        return now() - self.resumed_at < self.threshold

    def has_paused_since(self, since: float) -> bool:
        """Returns whether the process stood still after a time."""
        if self.last_run is None:
            return False
        self.observe()
        return self.resumed_at >= since

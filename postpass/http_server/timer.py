"""A timer that can be stopped and started again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Timer:
    """Calls a function after a delay, unless it is stopped before."""

    def __init__(self, loop: asyncio.AbstractEventLoop, action: Callable[[], None]) -> None:
        self._loop, self._action = loop, action
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the function is going to be called."""
        return self._handle is not None

    def start(self, delay_s: float) -> None:
        """Starts the timer; if it is running, only the new delay counts."""
        self.stop()
        self._handle = self._loop.call_later(delay_s, self._expire)

    def stop(self) -> None:
        """Stops the timer if it is running."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _expire(self) -> None:
        self._handle = None
        self._action()

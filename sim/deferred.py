"""Schedules functions at a later simulated time, outside all machines."""

from __future__ import annotations

import contextvars
from collections.abc import Callable

from sim.loop import SimLoop

Later = Callable[[float, Callable[[], object]], None]


def later_on(loop: SimLoop) -> Later:
    """Returns a function that calls another one after a number of simulated seconds.

    The call runs in the context of no machine, so that it is made even if the current machine is killed or frozen.
    """

    def later(delay: float, action: Callable[[], object]) -> None:
        loop.call_later(delay, action, context=contextvars.Context())

    return later

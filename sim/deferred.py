"""Doing something later in simulated time, outside all machines."""

from __future__ import annotations

import contextvars
from collections.abc import Callable

from sim.loop import SimLoop

Later = Callable[[float, Callable[[], object]], None]


def later_on(loop: SimLoop) -> Later:
    """What calls a function after so many seconds, in the context of no machine."""

    def later(wait: float, then: Callable[[], object]) -> None:
        loop.call_later(wait, then, context=contextvars.Context())

    return later

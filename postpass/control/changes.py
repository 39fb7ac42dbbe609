"""The queue entry of a change of the control state that waits to be written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from postpass.membership.registry import State
from postpass.runtime.errors import Fault

# Computes the new state from the current one, or the reason why the change is refused.
StateUpdate = Callable[[State], Result[State, Fault]]


@dataclass(eq=False)
class QueuedChange:
    """A change of the state that waits to be written together with others.

    `outcome` is resolved with the revision that contains the change once it is durable, or with the reason why it
    failed. Invariant: `update` is idempotent; on a state that has the change already it gives the same state.
    """

    update: StateUpdate
    outcome: asyncio.Future[Result[int, Fault]]

"""Changes of the control state that wait to be written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from postpass.membership.registry import State
from postpass.runtime.errors import Fault

Fold = Callable[[State], Result[State, Fault]]


@dataclass(eq=False)
class Edit:
    """A change of the state that waits to be written, with others. Invariant: `fold` gives the same when it is laid on a
    state that has it already."""

    fold: Fold
    done: asyncio.Future[Result[int, Fault]]

"""Tasks that nobody waits for."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def spawn(tasks: set[asyncio.Task[Any]], coroutine: Coroutine[Any, Any, Any]) -> None:
    """Runs a coroutine in a task that is kept in `tasks` until it ends, since the loop alone wouldn't keep it."""
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)

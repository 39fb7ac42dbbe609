"""Background tasks that nothing awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def spawn(tasks: set[asyncio.Task[Any]], coroutine: Coroutine[Any, Any, Any]) -> None:
    """Runs a coroutine as a task, kept in `tasks` until it ends: the event loop alone holds only a weak reference."""
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)

"""Why an owner records an item as abandoned, and the log line that tells it."""

from __future__ import annotations

from enum import StrEnum

from postpass.batch.job import Job
from postpass.batch.messages import ItemResult
from postpass.runtime import log_events
from postpass.runtime.log_events import Event


class AbandonCause(StrEnum):
    """Why items are recorded as abandoned, by its value in the log."""

    IMPOSSIBLE = "a worker answered that it can never be done"
    FAILURES = "it failed as often as its route allows"
    EXPIRED = "its job expired"
    ROUTE_REMOVED = "its route was removed"


def log_abandoned(process: str, job: Job, count: int, cause: AbandonCause) -> None:
    """Logs that all `count` items of a job that have no result are recorded as abandoned."""
    log_events.emit(Event.ITEM_ABANDONED, process, job=job.id, items=count, why=cause)


def log_abandoned_item(process: str, job: Job, position: int, result: ItemResult, cause: AbandonCause) -> None:
    """Logs that an item is recorded as abandoned because of the run that a scheduler reported."""
    log_events.emit(
        Event.ITEM_ABANDONED, process, job=job.id, item=position, run=result.run,
        failures=job.failures(position) + (cause is AbandonCause.FAILURES), why=cause,
    )  # fmt: skip


def log_failure_counted(process: str, job: Job, position: int, result: ItemResult) -> None:
    """Logs that a failed run of an item was counted, and that the item is tried again."""
    log_events.emit(
        Event.ITEM_FAILURE_COUNTED, process, job=job.id, item=position, run=result.run, failures=job.failures(position)
    )

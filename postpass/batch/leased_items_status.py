"""What operators see of the items that a scheduler holds: which has run, been silent and waited for longest."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Gauge

from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.rpc.codec import Body
from postpass.runtime.environment import now


def running_seconds(item: LeasedItem) -> float:
    """Returns for how many seconds an item has run; 0 if it doesn't run."""
    return item.progress.running_s if item.is_running and item.progress is not None else 0.0


def silent_seconds(item: LeasedItem) -> float:
    """Returns for how many seconds the worker of a running item has sent nothing; 0 if it doesn't run."""
    return item.progress.silent_s if item.is_running and item.progress is not None else 0.0


def waiting_seconds(item: LeasedItem) -> float:
    """Returns for how many seconds an item has been held without a run; 0 while it runs."""
    return 0.0 if item.is_running else now() - item.waiting_since


def most_silent_run(items: LeasedItems) -> Body | None:
    """Returns the running item whose worker has sent nothing for longest; None if none runs.

    Keys: job, item (its position), worker, running_s and silent_s (seconds).
    """
    item = max(items.running(), key=silent_seconds, default=None)
    if item is None:
        return None
    return {
        "job": item.job, "item": item.position, "worker": item.worker,
        "running_s": round(running_seconds(item), 3), "silent_s": round(silent_seconds(item), 3),
    }  # fmt: skip


def register_leased_items_gauges(registry: CollectorRegistry, items: LeasedItems) -> None:
    """Registers the gauges of the items that a scheduler holds; computed when the metrics page is requested."""
    for name, description, seconds in (
        ("item_run_seconds_max", "For how long the oldest run of an item has lasted", running_seconds),
        ("item_silence_seconds_max", "For how long a worker has sent nothing in the run of an item", silent_seconds),
        ("item_wait_seconds_max", "For how long an item has been held without a run", waiting_seconds),
    ):
        Gauge(f"postpass_{name}", description, registry=registry).set_function(
            lambda seconds=seconds: max((seconds(item) for item in items), default=0.0)
        )

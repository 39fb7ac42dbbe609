"""What operators see of the items that a scheduler holds: which has run, been silent and waited for longest, and which
has made no progress for longest, with the reason.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Gauge

from postpass.batch.leased_items import LeasedItem, LeasedItems, WaitReason
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


def idle_seconds(item: LeasedItem) -> float:
    """Returns for how many seconds an item has made no progress, waiting or running, over all its runs here."""
    return now() - item.progressed_at


def item_state(item: LeasedItem) -> str:
    """Returns what an item does: `reporting` its result to its owner, `running`, or `waiting`."""
    if item.reporting:
        return "reporting"
    return "running" if item.is_running else "waiting"


def least_progress(items: LeasedItems) -> Body | None:
    """Returns the item that has made no progress for longest; None if none is held.

    Keys: job, item (its position), state (see `item_state`), reason (why it waits; empty unless it does), worker (of its
    present or last run), silent_runs, idle_s (seconds).
    """
    item = max(items, key=idle_seconds, default=None)
    if item is None:
        return None
    state = item_state(item)
    return {
        "job": item.job, "item": item.position, "state": state, "worker": item.worker, "silent_runs": item.silent_runs,
        "reason": str(item.wait_reason) if state == "waiting" else "", "idle_s": round(idle_seconds(item), 3),
    }  # fmt: skip


def longest_wait(items: LeasedItems, reason: WaitReason) -> float:
    """Returns the longest time, in seconds, for which an item has been held without a run and now waits for a reason."""
    return max((waiting_seconds(item) for item in items.waiting() if item.wait_reason == reason), default=0.0)


def register_leased_items_gauges(registry: CollectorRegistry, items: LeasedItems) -> None:
    """Registers the gauges of the items that a scheduler holds; computed when the metrics page is requested."""
    for name, description, seconds in (
        ("item_run_seconds_max", "For how long the oldest run of an item has lasted", running_seconds),
        ("item_silence_seconds_max", "For how long a worker has sent nothing in the run of an item", silent_seconds),
        ("item_wait_seconds_max", "For how long an item has been held without a run", waiting_seconds),
        ("item_idle_seconds_max", "For how long an item has made no progress, waiting or running", idle_seconds),
    ):
        Gauge(f"postpass_{name}", description, registry=registry).set_function(
            lambda seconds=seconds: max((seconds(item) for item in items), default=0.0)
        )
    waits = Gauge(
        "postpass_item_wait_reason_seconds_max", "Longest wait of an item, by its reason", ["reason"], registry=registry
    )
    for reason in WaitReason:
        waits.labels(str(reason)).set_function(lambda reason=reason: longest_wait(items, reason))

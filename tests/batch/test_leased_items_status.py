"""What operators see of leased items tells apart a silent run, a run whose worker sends, and an item that waits."""

from __future__ import annotations

import asyncio

from prometheus_client import CollectorRegistry

from postpass.batch.leased_items import LeasedItem, LeasedItems, WaitReason
from postpass.batch.leased_items_status import least_progress, most_silent_run, register_leased_items_gauges
from postpass.runtime.environment import now
from postpass.worker_api.openai import Prompt
from sim.loop import SimLoop, run_sim

NAMES = ("wait", "run", "silence")


def leased(items: LeasedItems, position: int) -> LeasedItem:
    item = LeasedItem(0, "j", position, "route:r", 0.0, Prompt((), ""), "", worker=f"w{position}", waiting_since=now(), earlier_progress_at=now())  # fmt: skip
    items.add(item)
    return item


def test_a_silent_run_is_told_apart_from_a_long_one_and_from_an_item_that_waits() -> None:
    async def main(_loop: SimLoop) -> None:
        items, registry = LeasedItems(), CollectorRegistry()
        register_leased_items_gauges(registry, items)

        def seconds() -> tuple[float, ...]:
            values = [registry.get_sample_value(f"postpass_item_{name}_seconds_max") for name in NAMES]
            return tuple(round(value or 0.0, 3) for value in values)

        assert seconds() == (0, 0, 0) and most_silent_run(items) is None
        silent, sending, _waiting = (leased(items, position) for position in range(3))
        await asyncio.sleep(1)
        for item in (silent, sending):
            item.start_run("run", asyncio.sleep(60), lambda _: None)
        await asyncio.sleep(5)
        assert sending.progress is not None
        sending.progress.record_received()
        await asyncio.sleep(3)
        assert seconds() == (9, 8, 8)
        assert most_silent_run(items) == {"job": "j", "item": 0, "worker": "w0", "running_s": 8, "silent_s": 8}
        items.drop(silent)
        assert seconds() == (9, 8, 3) and sending.progress.longest_pause == 5
        sending.end_run()
        assert seconds() == (9, 0, 0)
        items.drop_all()

    run_sim(main)


def test_the_longest_time_without_progress_counts_over_all_runs_and_has_its_reason() -> None:
    async def main(_loop: SimLoop) -> None:
        items, registry = LeasedItems(), CollectorRegistry()
        register_leased_items_gauges(registry, items)
        assert least_progress(items) is None
        item = leased(items, 0)
        for _ in range(2):
            item.start_run("run", asyncio.sleep(3), lambda _: None)
            await asyncio.sleep(4)
        assert least_progress(items) == {
            "job": "j", "item": 0, "state": "waiting", "reason": "not considered yet", "worker": "w0", "silent_runs": 0, "idle_s": 8,
        }  # fmt: skip
        item.passed_over = WaitReason.LEASE_EXPIRED
        shown = {"reason": str(WaitReason.LEASE_EXPIRED)}
        assert registry.get_sample_value("postpass_item_wait_reason_seconds_max", shown) == 1
        assert registry.get_sample_value("postpass_item_idle_seconds_max") == 8
        item.start_run("run", asyncio.sleep(3), lambda _: None)
        assert item.progress is not None
        item.progress.record_received()
        await asyncio.sleep(2)
        shown_item = least_progress(items)
        assert shown_item is not None and (shown_item["state"], shown_item["reason"], shown_item["idle_s"]) == (
            "running",
            "",
            2,
        )
        items.drop_all()

    run_sim(main)

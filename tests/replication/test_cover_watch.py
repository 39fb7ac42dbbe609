"""A frontier that stands still is told, with whose acknowledgements are missing."""

from __future__ import annotations

from typing import Any

from postpass.replication.partition import Partition
from postpass.replication.store import Store
from postpass.runtime import log_events
from postpass.runtime.log_events import Event
from sim.loop import SimLoop, run_sim
from tests.support.announced import Fleet

DETECT = 12.0 / 8  # `bounds.detect` of the fleet


def store_of(fleet: Fleet, name: str) -> Store:
    store = fleet.store(name)
    assert store is not None
    return store


def stop_acknowledging(store: Store, number: int) -> None:
    """The store follows on, but its disk syncs no further record of a partition."""
    partition, plain = store.partitions[number], store.acknowledger.acknowledgement
    persisted = partition.persisted

    def acknowledgement(asked: Partition, full: bool) -> Any:
        told = plain(asked, full)
        if asked is partition:
            told.persisted = min(told.persisted, persisted)
        return told

    store.acknowledger.acknowledgement = acknowledgement  # type: ignore[method-assign, assignment]


async def hand_in(fleet: Fleet, owner: str, number: int) -> Any:
    """Hands a job in at the owner, which waits for one second."""
    job = {"id": "job", "class": "plain", "items": ["x"], "due": 9e9, "caller": ""}
    ask = {"part": number, "lot": job, "wait": 1.0}
    return await fleet.ask(owner, lambda d: d.store.jobs.on_submit(ask))


async def owned_fleet(loop: SimLoop) -> tuple[Fleet, Partition]:
    """A fleet, and a partition that its first store owns."""
    fleet = Fleet(loop)
    fleet.start()
    assert await fleet.until(fleet.joined, 20.0) >= 0
    assert await fleet.until(lambda: any(p.ready for p in store_of(fleet, "s1").partitions.values()), 10.0) >= 0
    await fleet.until(lambda: False, 3.0)
    return fleet, next(p for p in store_of(fleet, "s1").partitions.values() if p.ready)


def test_records_that_are_not_covered_for_the_detection_time_are_told_with_who_is_awaited() -> None:
    async def main(loop: SimLoop) -> tuple[Any, Any, float, list[str]]:
        fleet, partition = await owned_fleet(loop)
        for name in ("s2", "s3", "s4"):
            stop_acknowledging(store_of(fleet, name), partition.id)
        log_events.RECENT.clear()
        answer = await hand_in(fleet, "s1", partition.id)
        await fleet.until(lambda: False, DETECT + 1.0)
        store = store_of(fleet, "s1")
        rows = (await store.on_parts({})).unwrap()["parts"]
        row = next(r for r in rows if r["part"] == partition.id)
        told = [text for number, text in log_events.RECENT if number == Event.COVER_STALLED]
        return answer, row["awaited"], store.cover_watch.longest(), told

    answer, awaited, longest, told = run_sim(main, 1)
    assert answer.is_err()
    assert awaited == ["s2", "s3", "s4"]
    assert longest >= DETECT
    assert len(told) == 1 and "awaited=s2,s3,s4" in told[0]


def test_a_frontier_that_moves_is_not_told() -> None:
    async def main(loop: SimLoop) -> tuple[Any, float, list[str]]:
        fleet, partition = await owned_fleet(loop)
        stop_acknowledging(store_of(fleet, "s4"), partition.id)
        log_events.RECENT.clear()
        answer = await hand_in(fleet, "s1", partition.id)
        await fleet.until(lambda: False, DETECT + 1.0)
        told = [text for number, text in log_events.RECENT if number == Event.COVER_STALLED]
        return answer, store_of(fleet, "s1").cover_watch.longest(), told

    answer, longest, told = run_sim(main, 1)
    assert answer.is_ok() and longest == 0.0 and told == []

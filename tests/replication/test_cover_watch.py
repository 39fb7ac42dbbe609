"""Tests of postpass.replication.cover_watch: a stalled frontier is reported with the members whose acknowledgements are
missing."""

from __future__ import annotations

from typing import Any

from postpass.replication.partition import Partition
from postpass.replication.store import Store
from postpass.runtime import log_events
from postpass.runtime.log_events import Event
from sim.loop import SimLoop, run_sim
from tests.support.announced import Fleet

DETECT = 12.0 / 8  # `bounds.detection_time` of the fleet


def store_of(fleet: Fleet, name: str) -> Store:
    store = fleet.store(name)
    assert store is not None
    return store


def stop_acknowledging(store: Store, number: int) -> None:
    """Makes a store acknowledge no further record of a partition as synced, while it goes on following the owner."""
    partition, original = store.partitions[number], store.acknowledger.acknowledgement
    persisted = partition.persisted

    def acknowledgement(requested: Partition, full: bool) -> Any:
        message = original(requested, full)
        if requested is partition:
            message.persisted = min(message.persisted, persisted)
        return message

    store.acknowledger.acknowledgement = acknowledgement  # type: ignore[method-assign, assignment]


async def submit_job(fleet: Fleet, owner: str, number: int) -> Any:
    """Submits a job to the owner, which waits for one second until it is covered; returns the owner's response."""
    job = {"id": "job", "class": "plain", "items": ["x"], "due": 9e9, "caller": ""}
    request = {"part": number, "lot": job, "wait": 1.0}
    return await fleet.ask(owner, lambda d: d.store.jobs.on_submit(request))


async def owned_fleet(loop: SimLoop) -> tuple[Fleet, Partition]:
    """Returns a fleet, and a partition that its first store owns."""
    fleet = Fleet(loop)
    fleet.start()
    assert await fleet.until(fleet.joined, 20.0) >= 0
    assert await fleet.until(lambda: any(p.ready for p in store_of(fleet, "s1").partitions.values()), 10.0) >= 0
    await fleet.until(lambda: False, 3.0)
    return fleet, next(p for p in store_of(fleet, "s1").partitions.values() if p.ready)


def test_records_uncovered_for_the_detection_time_are_reported_with_the_awaited_members() -> None:
    async def main(loop: SimLoop) -> tuple[Any, Any, float, list[str]]:
        fleet, partition = await owned_fleet(loop)
        for name in ("s2", "s3", "s4"):
            stop_acknowledging(store_of(fleet, name), partition.id)
        log_events.RECENT.clear()
        response = await submit_job(fleet, "s1", partition.id)
        await fleet.until(lambda: False, DETECT + 1.0)
        store = store_of(fleet, "s1")
        rows = (await store.on_parts({})).unwrap()["parts"]
        row = next(r for r in rows if r["part"] == partition.id)
        reports = [text for number, text in log_events.RECENT if number == Event.COVER_STALLED]
        return response, row["awaited"], store.cover_watch.longest_stall(), reports

    response, awaited, longest, reports = run_sim(main, 1)
    assert response.is_err()
    assert awaited == ["s2", "s3", "s4"]
    assert longest >= DETECT
    assert len(reports) == 1 and "awaited=s2,s3,s4" in reports[0]


def test_an_advancing_frontier_is_not_reported() -> None:
    async def main(loop: SimLoop) -> tuple[Any, float, list[str]]:
        fleet, partition = await owned_fleet(loop)
        stop_acknowledging(store_of(fleet, "s4"), partition.id)
        log_events.RECENT.clear()
        response = await submit_job(fleet, "s1", partition.id)
        await fleet.until(lambda: False, DETECT + 1.0)
        reports = [text for number, text in log_events.RECENT if number == Event.COVER_STALLED]
        return response, store_of(fleet, "s1").cover_watch.longest_stall(), reports

    response, longest, reports = run_sim(main, 1)
    assert response.is_ok() and longest == 0.0 and reports == []

"""The items that a scheduler holds; the leases of an owner, and what it records of results."""

from __future__ import annotations

import asyncio

from postpass.batch.job import Job, JobView
from postpass.batch.leased_items import LeasedItem, LeasedItems
from postpass.batch.leases import Lease, OwnerState, result_to_record
from postpass.batch.messages import ItemKey, ItemResult, ItemStatus, TakeRequest
from postpass.worker_api.openai import Prompt
from sim.loop import SimLoop, run_sim

OF_CLASS = Job("x", 1, {"class": "lot", "items": ["a", "b"]}, "")
OF_ROUTE = Job("y", 2, {"route": "r", "items": [{}, {}]}, "")
KEY = ItemKey("x", 0)


def test_an_item_is_held_once_until_it_is_dropped() -> None:
    items = LeasedItems()
    first, again = (LeasedItem(0, "x", 0, "lot", 1.0, Prompt((), ""), "") for _ in range(2))
    items.add(first)
    items.add(again)
    assert len(items) == 1 and items.holds(first) and not items.holds(again)
    first.reporting = True
    assert items.unreported(0) == [] and items.waiting() == [first]
    items.leases[0] = 1e18
    items.drop_all()
    assert len(items) == 0 and items.leases == {} and not items.holds(first)


def test_an_item_of_a_class_fails_after_its_tries_with_the_reason() -> None:
    job, results = OF_CLASS.copy(), []
    for _ in range(5):
        results.append(result_to_record(job, KEY.position, ItemResult(ItemStatus.FAILED, "why")))
        job.count_failure(KEY.position)
    assert results == [None] * 4 + [ItemResult(ItemStatus.FAILED, "why")]
    assert OF_CLASS.failures(KEY.position) == 0 and job.failures(KEY.position + 1) == 0


def test_an_item_of_a_route_is_abandoned_after_its_own_tries_or_when_a_worker_says_never() -> None:
    job = OF_ROUTE.copy()
    failed, never = ItemResult(ItemStatus.FAILED, "why", 2), ItemResult(ItemStatus.ABANDONED, "", 2)
    assert result_to_record(job, KEY.position, failed) is None
    job.count_failure(KEY.position)
    abandoned = result_to_record(job, KEY.position, failed)
    assert abandoned == ItemResult(ItemStatus.ABANDONED, "") and result_to_record(job, KEY.position, never) == never


def test_leases_stay_while_they_are_renewed_or_last_and_their_scheduler_is_the_same() -> None:
    view = JobView(jobs={"x": OF_CLASS})
    state = OwnerState(
        {
            ItemKey("x", 0): Lease("e1", 1.0, 0.0), ItemKey("x", 1): Lease("e1", 9.0, 0.0), ItemKey("x", 2): Lease("e2",
            9.0, 0.0), ItemKey("gone", 0): Lease("e1", 9.0, 0.0), ItemKey("x", 3): Lease("e1", 1.0, 0.0),
        }
    )  # fmt: skip
    request = TakeRequest("e1", 1, {}, [ItemKey("x", 0)])
    state.renew(request, 7.0)
    state.release_expired(view, request, 5.0)
    assert {key: lease.expires_at for key, lease in state.leases.items()} == {("x", 0): 7.0, ("x", 1): 9.0}


def test_an_owner_learns_how_long_items_take_from_the_lease_to_the_result() -> None:
    async def main(_loop: SimLoop) -> None:
        state = OwnerState()
        request = TakeRequest("e1", 1, {}, [KEY, ItemKey("x", 1)])
        state.renew(request, 9.0)
        await asyncio.sleep(2.0)
        # A lease that is renewed began when the item was handed out.
        state.renew(request, 11.0)
        state.end_lease(ItemKey("x", 1), ItemStatus.FAILED)
        assert state.usual_seconds == 0.0
        state.end_lease(KEY, ItemStatus.DONE)
        state.end_lease(KEY, ItemStatus.DONE)
        assert state.usual_seconds == 2.0 and not state.leases

    run_sim(main, 1)

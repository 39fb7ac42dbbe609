"""The dispatch loop while an owner gives no answer."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok

from postpass.batch.dispatch import Dispatcher
from postpass.batch.leased_items import LeasedItems
from postpass.batch.messages import ItemGrant, TakeResponse
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BROKE, Fault
from sim.loop import SimLoop, run_sim

PARTITIONS = 4
DARK = 2  # the partition whose owner doesn't answer
POLL_S = 0.25
CONFIGURATION: Any = {"parts": PARTITIONS, "classes": {}, "routes": {}}


class Owners:
    """Owners that lease an item each, but for one that is waited for in vain."""

    async def ask(self, partition: int, verb: str, body: Body, wait: float) -> PeerResponse:
        if partition == DARK:
            await asyncio.sleep(wait)
            return Err(Fault(verb, "s2", "no answer", BROKE))
        await asyncio.sleep(0.001)
        request: Any = {"id": f"i{partition}", "path": "/x", "headers": {}, "body": "", "tokens": 1}
        grant = ItemGrant(f"j{partition}", 0, "route:r", 9.0, "", request=request)
        return Ok(TakeResponse([grant], []).as_json())


class Placed:
    """Notes when each item was first offered to the workers."""

    def __init__(self, items: LeasedItems) -> None:
        self.items, self.at = items, dict[str, float]()
        self.runner = SimpleNamespace(workers=None)

    def place_prompts(self, *_: Any) -> None: ...

    def place_requests(self, _: Any) -> None:
        for item in self.items:
            self.at.setdefault(item.job, now())


@pytest.mark.parametrize("between_rounds", [False, True])
def test_items_of_the_other_owners_are_started_while_one_does_not_answer(between_rounds: bool) -> None:
    async def main(_: SimLoop) -> None:
        none: Any = None
        settings: Any = SimpleNamespace(name="e1", bounds=SimpleNamespace(poll=POLL_S, lease=1.0))
        election: Any = SimpleNamespace(active=True, leaving=False, term=1)
        view: Any = SimpleNamespace(fresh=True)
        items = LeasedItems()
        owners: Any = Owners()
        placed: Any = Placed(items)
        capacity: Any = SimpleNamespace(forget_removed=lambda _: None)
        dispatcher = Dispatcher(
            settings, none, view, election, owners, items, none, capacity, placed, none, asyncio.Event()
        )
        began = now()
        if between_rounds:
            await dispatcher.lease_and_place(CONFIGURATION, {0, DARK}, {"route:r": 1})
        else:
            await dispatcher.run_round(CONFIGURATION)
        assert now() - began >= POLL_S * 2 and len(items) == (1 if between_rounds else PARTITIONS - 1)
        assert all(at - began <= POLL_S / 4 for at in placed.at.values()) and len(placed.at) == len(items)

    run_sim(main, 1)


def test_a_loop_that_is_cancelled_asks_no_owner_any_more() -> None:
    async def main(_: SimLoop) -> None:
        none: Any = None
        settings: Any = SimpleNamespace(name="e1", bounds=SimpleNamespace(poll=POLL_S, lease=1.0))
        election: Any = SimpleNamespace(active=True, leaving=False, term=1)
        items = LeasedItems()
        owners: Any = Owners()
        placed: Any = Placed(items)
        dispatcher = Dispatcher(
            settings, none, none, election, owners, items, none, none, placed, none, asyncio.Event()
        )
        before = asyncio.all_tasks()
        round_ = asyncio.create_task(dispatcher.lease_and_place(CONFIGURATION, {0, DARK}, {}))
        await asyncio.sleep(POLL_S)
        round_.cancel()
        await asyncio.wait([round_])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert round_.cancelled() and asyncio.all_tasks() == before

    run_sim(main, 1)

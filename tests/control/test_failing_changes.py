"""Changes that meet an unexpected error: each fails alone, and nothing of it is kept."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from result import Ok, Result

from postpass.membership.registry import State, with_parts
from postpass.runtime import log_events
from postpass.runtime.errors import CHANGE_FAILED, Fault
from postpass.runtime.log_events import Event
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.support.announced import Fleet


def raises(_: State) -> Result[State, Fault]:
    raise OverflowError("too large")


def with_name(name: Any) -> Callable[[State], Result[State, Fault]]:
    def update(state: State) -> Result[State, Fault]:
        pools = {**state.configuration["pools"], name: {"kind": "plain", "servers": {}}}
        return Ok(with_parts(state, pools=pools))

    return update


def with_source(source: Any) -> Callable[[State], Result[State, Fault]]:
    return lambda state: Ok(replace(state, source=source))


FAILING: dict[str, Callable[[State], Result[State, Fault]]] = {
    "the update raises": raises,
    "half a character in a key": with_name("\ud83d"),
    "no JSON": with_source({"routes": object()}),
    "no state": lambda state: Ok(None),  # type: ignore[arg-type]
}


# Guards against a primary that ends since one order or heartbeat can't be applied, and the next primary with it.
@pytest.mark.parametrize("update", FAILING.values(), ids=FAILING.keys())
def test_a_change_that_meets_an_unexpected_error_fails_alone(update: Callable[[State], Result[State, Fault]]) -> None:
    async def main(loop: SimLoop) -> None:
        fleet = Fleet(loop, control=3, stores=4, edges=1)
        fleet.start()
        assert await fleet.until(fleet.joined, 10) >= 0
        assert (await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))).is_ok()
        primary = fleet.primary()
        assert primary is not None
        name, failed_before = primary.settings.name, log_events.COUNTS[Event.CHANGE_FAILED]
        updates = [with_name("before"), update, with_name("after")]

        async def change_together() -> list[Any]:
            async with asyncio.timeout(10):
                return await asyncio.gather(*(primary.change(one, 0.01) for one in updates))

        before, failed, after = await loop.create_task(change_together(), context=fleet.nodes[name].host.context())
        assert before.is_ok() and after.is_ok() and before.unwrap() == after.unwrap()
        assert failed.unwrap_err().code == CHANGE_FAILED
        assert log_events.COUNTS[Event.CHANGE_FAILED] == failed_before + 1
        state = primary.committed.state
        assert {"before", "after"} <= set(state.configuration["pools"]) and state.source == document(3)
        assert "\ud83d" not in state.configuration["pools"]
        assert fleet.primary() is primary and not fleet.nodes[name].host.dead
        assert (await fleet.ask("c2", lambda c: c.apply_document(document(4), 3))).is_ok()

    run_sim(main)

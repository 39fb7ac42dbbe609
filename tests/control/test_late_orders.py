"""Orders and messages that outlive their senders: what was acknowledged since is not undone by them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from result import Err

from postpass.control.daemon import ControlPlane
from postpass.runtime.errors import REJECTED
from sim.loop import SimLoop, run_sim
from tests.support.announced import Fleet

FREEZE_S = 3.5
ZONE = "a"
ANNOUNCEMENT: Any = {"pool": "p", "url": "http://10.4.1.1:80", "area": "a", "slots": 1, "leave": False, "cold": False}


async def founded(loop: SimLoop) -> tuple[Fleet, str, list[str]]:
    """A founded fleet, its primary, and the other control members."""
    fleet = Fleet(loop, control=4)
    fleet.start()
    assert await fleet.until(fleet.joined, 10) >= 0
    fleet.first = False
    await fleet.until(lambda: False, 2.0)
    primary = fleet.primary()
    assert primary is not None
    return fleet, primary.settings.name, sorted(n for n in fleet.nodes if n[0] == "c" and n != primary.settings.name)


def evacuated(fleet: Fleet) -> list[str]:
    primary = fleet.primary()
    assert primary is not None
    return primary.committed.state.configuration.get("evacuated", [])


async def evacuate(fleet: Fleet, member: str, away: bool) -> None:
    """Sends an order that is acknowledged."""
    assert (await fleet.ask(member, lambda c: c.evacuate(ZONE, away))).is_ok()


@pytest.mark.parametrize("freeze_s", [1.4, FREEZE_S])
@pytest.mark.parametrize("role", ["witness", "primary"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_frozen_member_does_not_carry_out_an_order_that_was_sent_to_it_long_before(
    role: str, freeze_s: float, seed: int
) -> None:
    """A member that woke carried out an order that its sender had given up, and opened an evacuated zone again."""

    async def main(loop: SimLoop) -> tuple[list[str], Any]:
        fleet, primary, others = await founded(loop)
        victim, other = (primary, others[0]) if role == "primary" else (others[-1], primary)
        await evacuate(fleet, other, True)
        loop.freeze(fleet.nodes[victim].host)
        # It lies in the member's socket: the task begins when the member goes on.
        late = asyncio.ensure_future(fleet.ask(victim, lambda c: c.evacuate(ZONE, False)))

        async def give_the_next_orders() -> None:
            for away in (False, True):
                while (await fleet.ask(other, lambda c, away=away: c.evacuate(ZONE, away))).is_err():
                    await asyncio.sleep(0.1)

        orders = asyncio.ensure_future(give_the_next_orders())
        await asyncio.sleep(freeze_s)
        loop.thaw(fleet.nodes[victim].host)
        answer = await late
        await orders
        await asyncio.sleep(3.0)
        return evacuated(fleet), answer

    zones, answer = run_sim(main, seed)
    assert zones == [ZONE]
    assert answer.unwrap_err().code == REJECTED


def order_with_a_sender(
    act: Callable[[Fleet, str, list[str]], Awaitable[None]], stays: bool, seed: int = 1
) -> tuple[list[str], Any]:
    """A zone is evacuated and an order opens it, through a member that isn't the primary; `act` happens after the member
    got the fence, and the sender of the order waits for its answer once more if it `stays`.

    Returns the zones that are evacuated in the end, and the answer.
    """

    async def main(loop: SimLoop) -> tuple[list[str], Any]:
        fleet, primary, others = await founded(loop)
        await evacuate(fleet, primary, True)
        checks = 0

        async def is_waiting() -> bool:
            nonlocal checks
            checks += 1
            if checks == 1:
                await act(fleet, primary, others)
                return True
            return stays

        answer = await fleet.ask(others[0], lambda c: c.evacuate(ZONE, False, is_sender_waiting=is_waiting))
        await asyncio.sleep(2.0)
        return evacuated(fleet), answer

    zones, answer = run_sim(main, seed)
    return zones, answer


async def nothing(fleet: Fleet, primary: str, others: list[str]) -> None:
    """Nothing happens."""


async def open_and_evacuate(fleet: Fleet, primary: str, others: list[str]) -> None:
    """The sender gives up, and sends the order elsewhere, and the next one."""
    await evacuate(fleet, others[1], False)
    await evacuate(fleet, others[1], True)


def test_an_order_whose_sender_waits_is_carried_out() -> None:
    zones, answer = order_with_a_sender(nothing, stays=True)
    assert (zones, answer.is_ok()) == ([], True)


def test_an_order_that_is_held_up_on_its_way_to_the_primary_undoes_no_later_one() -> None:
    """No clock tells how long an order took: the primary refuses it since others were accepted after it was sent."""
    zones, answer = order_with_a_sender(open_and_evacuate, stays=False)
    assert zones == [ZONE]
    assert answer.unwrap_err().code == REJECTED


def test_an_order_that_lost_a_race_is_sent_again_while_its_sender_waits() -> None:
    """Two operators at once: both may be confirmed, one after the other."""
    zones, answer = order_with_a_sender(open_and_evacuate, stays=True)
    assert (zones, answer.is_ok()) == ([], True)


def test_an_order_whose_sender_has_given_up_is_not_sent() -> None:
    async def main(loop: SimLoop) -> tuple[list[str], Any]:
        fleet, primary, others = await founded(loop)
        await evacuate(fleet, primary, True)

        async def has_given_up() -> bool:
            return False

        answer = await fleet.ask(others[0], lambda c: c.evacuate(ZONE, False, is_sender_waiting=has_given_up))
        return evacuated(fleet), answer

    zones, answer = run_sim(main, 1)
    assert zones == [ZONE]
    assert answer.unwrap_err().code == REJECTED


def test_a_fence_of_a_deposed_primary_does_not_count_at_its_successor() -> None:
    """The count of orders begins again with each epoch, so the epoch is a part of the fence."""

    async def main(loop: SimLoop) -> tuple[list[str], Any, Any]:
        fleet, primary, others = await founded(loop)
        fence = (await fleet.ask(others[0], lambda c: c.forward("order", {"what": "fence"}))).unwrap()
        fleet.kill(primary, silent=True)
        assert await fleet.until(lambda: fleet.primary() is not None, 12.0) >= 0
        successor = fleet.primary()
        assert successor is not None
        await evacuate(fleet, successor.settings.name, True)
        body = {"what": "return", "area": ZONE} | fence
        answer = await fleet.ask(successor.settings.name, lambda c: c.on_order(body))
        unfenced = await fleet.ask(successor.settings.name, lambda c: c.on_order({"what": "evacuate", "area": ZONE}))
        return evacuated(fleet), answer, unfenced

    zones, answer, unfenced = run_sim(main, 1)
    assert zones == [ZONE]
    assert isinstance(answer, Err)
    assert unfenced.is_ok()  # as a member of an earlier release forwards it


def test_an_order_gets_through_a_takeover_while_its_sender_waits() -> None:
    async def main(loop: SimLoop) -> bool:
        fleet, primary, others = await founded(loop)
        fleet.kill(primary, silent=True)

        async def order() -> None:
            while (await fleet.ask(others[0], lambda c: c.evacuate(ZONE, True))).is_err():
                await asyncio.sleep(0.05)

        await asyncio.wait_for(order(), 12.0)
        return evacuated(fleet) == [ZONE]

    assert run_sim(main, 1)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_heartbeats_that_waited_in_a_socket_prove_no_contact(seed: int) -> None:
    """A member that woke counted the heartbeats of before as heard just now, and served what it knew as up to date."""

    async def main(loop: SimLoop) -> tuple[bool, bool]:
        fleet, _, others = await founded(loop)
        member = fleet.nodes[others[0]]
        assert isinstance(member.daemon, ControlPlane)
        loop.freeze(member.host)
        await asyncio.sleep(FREEZE_S)
        loop.thaw(member.host)
        await asyncio.sleep(0.01)
        at_once = member.daemon.in_touch()
        await asyncio.sleep(1.5)
        return at_once, member.daemon.in_touch()

    assert run_sim(main, seed) == (False, True)


@pytest.mark.parametrize("ended", [False, True])
def test_a_workers_message_that_waited_in_a_socket_is_not_taken(ended: bool) -> None:
    """The worker has long told another member, and may have ended or be another one at that address since."""

    async def main(loop: SimLoop) -> tuple[Any, Any]:
        fleet, _, others = await founded(loop)

        def send(control: ControlPlane) -> Any:
            return control.report_worker_ended("w") if ended else control.record_worker_heartbeat("w", ANNOUNCEMENT, 3)

        loop.freeze(fleet.nodes[others[0]].host)
        late = asyncio.ensure_future(fleet.ask(others[0], send))
        await asyncio.sleep(FREEZE_S)
        loop.thaw(fleet.nodes[others[0]].host)
        answer = await late
        await asyncio.sleep(2.0)
        return answer, await fleet.ask(others[0], send)

    late, later = run_sim(main, 1)
    assert late.unwrap_err().code == REJECTED
    assert later.is_ok()

"""The largest configuration, and the loss of any member of control: it is read back and changed within `recover`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from postpass.control.election_rules import Cause, ElectionReason
from sim.loop import SimLoop, run_sim
from tests.control.test_state_recovery import Fault, member_with_role
from tests.support.announced import Fleet
from tests.support.large_documents import ACCENTED, PLAIN, document_of, route

RECOVER_S = 12.0  # `Bounds.recover`
VERSION = 3


def play(scene: Callable[[Fleet], Awaitable[None]], text: str, seed: int = 1) -> None:
    """Plays a scene in a fleet that has taken the largest document."""

    async def main(loop: SimLoop) -> None:
        fleet = Fleet(loop, control=4, stores=4, edges=1)
        fleet.start()
        assert await fleet.until(fleet.joined, 10) >= 0
        assert (await fleet.ask("c1", lambda c: c.apply_document(document_of(VERSION, text), 0))).is_ok()
        fleet.first = False
        await scene(fleet)

    run_sim(main, seed)


async def version_read(fleet: Fleet) -> int:
    """The newest version that a control machine answers with; -1 if none does."""
    for control in fleet.controls():
        result = await fleet.ask(control.settings.name, lambda c: c.read_document())
        if result.is_ok() and result.unwrap()["source"] is not None:
            return int(result.unwrap()["source"]["version"])
    return -1


async def change(fleet: Fleet, base: int) -> bool:
    name = fleet.controls()[0].settings.name
    patch: Any = {"version": base + 1, "upsert": {"routes": [route(0)]}}
    return bool((await fleet.ask(name, lambda c: c.patch_document(patch, base))).is_ok())


async def until_changed(fleet: Fleet, base: int) -> None:
    """Waits until the version is read, and a change of it taken, which both have to happen within the bound."""
    began = fleet.loop.clock
    while await version_read(fleet) < base or not await change(fleet, base):
        assert fleet.loop.clock - began < RECOVER_S
        await asyncio.sleep(0.2)
    assert fleet.loop.clock - began < RECOVER_S


# Guards against control that never has a primary again: a new epoch sent the whole state in one frame, which it exceeded.
@pytest.mark.parametrize(
    ("role", "kind", "text"),
    [
        ("primary", "killed", PLAIN),
        ("primary", "wiped", PLAIN),
        ("primary", "power", ACCENTED),
        ("backup", "killed", PLAIN),
        ("backup", "wiped", ACCENTED),
    ],
)
def test_control_is_back_after_the_loss_of_a_holder(role: str, kind: str, text: str) -> None:
    async def scene(fleet: Fleet) -> None:
        name = member_with_role(fleet, role)
        Fault(kind).inject(fleet, name)
        await until_changed(fleet, VERSION)
        Fault(kind).repair(fleet, name)
        await until_changed(fleet, VERSION + 1)
        leader = fleet.primary()
        assert leader is not None and leader.replicated_state.state.losses == 0

    play(scene, text)


def test_a_holder_that_comes_back_is_sent_the_change_of_the_epoch_alone() -> None:
    """The complete state of a large fleet costs seconds on a slow machine, and a holder has it already."""

    async def scene(fleet: Fleet) -> None:
        primary, backup = member_with_role(fleet, "primary"), member_with_role(fleet, "backup")
        sent = [0]
        control: Any = fleet.nodes[backup].daemon
        original = control.sync_full_state

        async def counted(request: Any) -> bool:
            sent[0] += 1
            return bool(await original(request))

        control.sync_full_state = counted
        leader: Any = fleet.primary()
        reason = ElectionReason(Cause.BACKUP_LOST)
        async with leader.lock:
            await fleet.ask(primary, lambda c: c.renew_replica_set(c.known_configuration(), reason))
        assert leader.epoch and leader.replicated_state.replica_set.backups == (backup,)
        assert sent == [0]

    play(scene, PLAIN)

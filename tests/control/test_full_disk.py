"""A control member whose disk is full at some write: nothing that was acknowledged is lost, and it serves again once there
is room."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from postpass.control.daemon import ControlPlane
from sim.disk import SimDisk
from tests.control.test_leadership import RECOVERY_TIME, leader, play, readable, settle
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

# Bytes that are left on the disk: none, less than any record, and enough for some of them.
ROOM = (0, 30, 400, 3000)
WHOLE = 64 << 20
ORDERS = 12


@dataclass(eq=False)
class Orders:
    """An operator that changes the configuration again and again; `version` is the newest that was acknowledged."""

    fleet: Fleet
    version: int = 3
    sent: int = 3
    unclear: list[int] = field(default_factory=list)

    async def send(self, pause: float = 0.3) -> bool:
        """Sends one change to whoever leads, as often as it takes two seconds at the most. Was it acknowledged?"""
        self.sent += 1
        began = self.fleet.loop.clock
        while self.fleet.loop.clock - began < 2.0:
            lead = self.fleet.primary()
            if lead is not None:
                base, number = self.version, self.sent
                got = await self.fleet.ask(
                    lead.settings.name, lambda c, n=number, b=base: c.apply_document(document(n), b)
                )
                if got.is_ok():
                    self.version = number
                    return True
                fault = got.unwrap_err()
                if fault.code == 412:
                    # One without a clear answer has come to be.
                    assert int(fault.hint) in [*self.unclear, number], (fault, self.unclear)
                    self.version = int(fault.hint)
                    return self.version == number
            await asyncio.sleep(pause)
        self.unclear.append(self.sent)
        return False


def disk_of(fleet: Fleet, name: str) -> SimDisk:
    """The disk of a machine."""
    disk = fleet.nodes[name].disk
    assert disk is not None
    return disk


def fill(disk: SimDisk, room: int) -> None:
    """Leaves so many bytes."""
    disk.cap = disk.cap - disk.space()[0] + room


def named(primary: ControlPlane, role: str) -> str:
    """The member of a role, among four with one backup."""
    holders = primary.replicated_state.replica_set.holders
    if role == "witness":
        return next(n for n in sorted(primary.replicated_state.replica_set.voters) if n not in holders)
    return holders[0] if role == "primary" else holders[1]


@pytest.mark.parametrize("room", ROOM)
@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_a_full_disk_loses_nothing_and_costs_no_member_for_good(role: str, room: int) -> None:
    async def scene(fleet: Fleet) -> tuple[int, list[bool], int]:
        primary = await settle(fleet)
        name = named(primary, role)
        fill(disk_of(fleet, name), room)
        orders = Orders(fleet)
        while_full = [await orders.send() for _ in range(ORDERS)]
        disk_of(fleet, name).cap = WHOLE
        assert await fleet.until(lambda: fleet.primary() is not None, RECOVERY_TIME) >= 0
        await asyncio.sleep(2.0)
        after = [await orders.send() for _ in range(3)]
        assert after == [True] * 3, (role, room, while_full)
        acknowledged = orders.version
        # Power fails for all, and what was acknowledged is there.
        for machine, node in fleet.nodes.items():
            fleet.kill(machine, silent=True)
            if node.disk is not None:
                node.disk.power_off()
        await asyncio.sleep(1.0)
        for machine in fleet.nodes:
            fleet.boot(machine)
        assert await fleet.until(lambda: fleet.primary() is not None, RECOVERY_TIME) >= 0
        assert await readable(fleet, acknowledged) >= 0
        return (
            leader(fleet).replicated_state.state.losses,
            while_full,
            len(leader(fleet).replicated_state.replica_set.voters),
        )

    losses, while_full, voters = play(scene, control=4)
    assert losses == 0 and voters == 4
    if role == "witness":
        assert while_full == [True] * ORDERS
    else:
        # Another member takes its place: orders are acknowledged again, though its disk is full still.
        assert while_full[-1], while_full

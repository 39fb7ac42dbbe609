"""A control member whose disk becomes full: nothing that was acknowledged is lost, and the member serves again once its
disk has space."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from postpass.control.daemon import ControlPlane
from sim.disk import SimDisk
from tests.control.test_leadership import RECOVERY_TIME, leader, play, readable, settle
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

# Bytes that are free on the disk: none, fewer than any record needs, and enough for a few records.
FREE_BYTES = (0, 30, 400, 3000)
DISK_CAPACITY = 64 << 20
ORDER_COUNT = 12


@dataclass(eq=False)
class Orders:
    """An operator that changes the configuration repeatedly; `version` is the newest one that was acknowledged, and
    `unanswered` are the versions whose outcome is unknown."""

    fleet: Fleet
    version: int = 3
    sent: int = 3
    unanswered: list[int] = field(default_factory=list)

    async def send(self, pause: float = 0.3) -> bool:
        """Sends one change to the primary, with retries for at most two seconds; returns whether it was acknowledged."""
        self.sent += 1
        started_at = self.fleet.loop.clock
        while self.fleet.loop.clock - started_at < 2.0:
            primary = self.fleet.primary()
            if primary is not None:
                base, number = self.version, self.sent
                result = await self.fleet.ask(
                    primary.settings.name, lambda c, n=number, b=base: c.apply_document(document(n), b)
                )
                if result.is_ok():
                    self.version = number
                    return True
                fault = result.unwrap_err()
                if fault.code == 412:
                    # An earlier order whose outcome was unknown has taken effect.
                    assert int(fault.hint) in [*self.unanswered, number], (fault, self.unanswered)
                    self.version = int(fault.hint)
                    return self.version == number
            await asyncio.sleep(pause)
        self.unanswered.append(self.sent)
        return False


def disk_of(fleet: Fleet, name: str) -> SimDisk:
    """The disk of a machine."""
    disk = fleet.nodes[name].disk
    assert disk is not None
    return disk


def leave_free_bytes(disk: SimDisk, free_bytes: int) -> None:
    """Lowers the capacity of a disk so that only so many bytes are free."""
    disk.cap = disk.cap - disk.space()[0] + free_bytes


def member_with_role(primary: ControlPlane, role: str) -> str:
    """The name of the member with this role, in a fleet of four control members with one backup."""
    holders = primary.replicated_state.replica_set.holders
    if role == "witness":
        return next(n for n in sorted(primary.replicated_state.replica_set.voters) if n not in holders)
    return holders[0] if role == "primary" else holders[1]


@pytest.mark.parametrize("free_bytes", FREE_BYTES)
@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_a_full_disk_loses_nothing_and_costs_no_member_for_good(role: str, free_bytes: int) -> None:
    async def scene(fleet: Fleet) -> tuple[int, list[bool], int]:
        primary = await settle(fleet)
        name = member_with_role(primary, role)
        leave_free_bytes(disk_of(fleet, name), free_bytes)
        orders = Orders(fleet)
        while_full = [await orders.send() for _ in range(ORDER_COUNT)]
        disk_of(fleet, name).cap = DISK_CAPACITY
        assert await fleet.until(lambda: fleet.primary() is not None, RECOVERY_TIME) >= 0
        await asyncio.sleep(2.0)
        after = [await orders.send() for _ in range(3)]
        assert after == [True] * 3, (role, free_bytes, while_full)
        acknowledged = orders.version
        # All machines lose power; after that everything acknowledged is still there.
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
        assert while_full == [True] * ORDER_COUNT
    else:
        # Another member replaces it: orders are acknowledged again although its disk is still full.
        assert while_full[-1], while_full

"""Tests of postpass.replication.handover on simulated time: the member that is to take over may fail meanwhile."""

from __future__ import annotations

import pytest

from postpass.replication.partition import Partition
from sim.loop import SimLoop, run_sim
from tests.support.announced import Fleet

PARTITIONS = 8
DETECT = 12.0 / 8  # `bounds.detection_time` of the fleet


async def settled_fleet(loop: SimLoop) -> Fleet:
    """Returns a fleet of four stores, each of which owns two partitions and has followed the others for a while."""
    fleet = Fleet(loop)
    fleet.start()
    assert await fleet.until(lambda: fleet.joined() and len(fleet.owners()) == PARTITIONS, 20.0) >= 0
    await fleet.until(lambda: False, 3.0)
    fleet.first = False
    return fleet


def partition_of(fleet: Fleet, name: str) -> Partition:
    """Returns a partition that a store owns."""
    store = fleet.store(name)
    assert store is not None
    return next(p for p in store.partitions.values() if p.ready)


async def longest_without_owner(fleet: Fleet, number: int, seconds: float) -> float:
    """Returns the longest time, within some seconds from now, during which a partition had no ready owner."""
    longest, last_owned_at, started_at = 0.0, fleet.loop.clock, fleet.loop.clock

    def observe() -> bool:
        nonlocal longest, last_owned_at
        if number in fleet.owners():
            last_owned_at = fleet.loop.clock
        longest = max(longest, fleet.loop.clock - last_owned_at)
        return fleet.loop.clock - started_at >= seconds

    await fleet.until(observe, seconds + 1)
    return longest


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_owner_does_not_step_down_for_a_member_that_lost_power(seed: int) -> None:
    """The member acknowledged a moment ago, and has lost power since: if the owner stepped down for it, the partition would
    have no owner until an election by timeout."""

    async def main(loop: SimLoop) -> float:
        fleet = await settled_fleet(loop)
        number = partition_of(fleet, "s1").id
        # The zone of the owner is evacuated, and the store that is first in the order then has just lost power.
        successor = next(
            n for n in ("s2", "s3", "s4", "s1") if n != "s1" and n == order_without(fleet, number, "s1")[0]
        )
        await fleet.ask("c1", lambda c: c.evacuate("a", True))
        fleet.kill(successor, silent=True)
        return await longest_without_owner(fleet, number, 4.0)

    assert run_sim(main, seed) < DETECT / 2


def order_without(fleet: Fleet, number: int, name: str) -> list[str]:
    """Returns the agreed order of a partition's members without one of them."""
    store = fleet.store(name)
    assert store is not None
    return [n for n in store.configuration_view.order(number) if n != name]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_owner_that_stepped_down_runs_at_once_if_the_member_does_not_take_over(seed: int) -> None:
    """The member answers that it would run for owner, and then can't: the store that stepped down for it runs itself."""

    async def main(loop: SimLoop) -> tuple[bool, float, str]:
        fleet = await settled_fleet(loop)
        partition = partition_of(fleet, "s1")
        successor = order_without(fleet, partition.id, "s1")[0]
        store = fleet.store(successor)
        assert store is not None
        store.mirror.take_over = lambda partition, epoch: False  # type: ignore[method-assign]
        stepped_down = await fleet.ask("s1", lambda d: d.store.handover.hand_over(partition, successor))
        duration = await fleet.until(lambda: partition.id in fleet.owners(), DETECT)
        return stepped_down, duration, fleet.owners().get(partition.id, "")

    stepped_down, duration, owner = run_sim(main, seed)
    assert stepped_down and owner == "s1"
    assert 0 <= duration < DETECT / 4


def test_a_member_that_follows_another_epoch_or_leaves_is_not_handed_a_partition() -> None:
    async def main(loop: SimLoop) -> tuple[bool, bool, bool]:
        fleet = await settled_fleet(loop)
        partition = partition_of(fleet, "s1")
        successor = order_without(fleet, partition.id, "s1")[0]
        store = fleet.store(successor)
        assert store is not None
        copy = store.partitions[partition.id]
        aligned, copy.aligned_epoch = copy.aligned_epoch, 0
        other_epoch = await fleet.ask("s1", lambda d: d.store.handover.hand_over(partition, successor))
        copy.aligned_epoch, store.table.leaving = aligned, True
        leaving = await fleet.ask("s1", lambda d: d.store.handover.hand_over(partition, successor))
        return other_epoch, leaving, partition.ready

    assert run_sim(main, 1) == (False, False, True)

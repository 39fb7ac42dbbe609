"""Handing a partition on while the member that is to have it may be lost, on simulated time."""

from __future__ import annotations

import pytest

from postpass.replication.partition import Partition
from sim.loop import SimLoop, run_sim
from tests.support.announced import Fleet

PARTITIONS = 8
DETECT = 12.0 / 8  # `bounds.detect` of the fleet


async def settled_fleet(loop: SimLoop) -> Fleet:
    """A fleet of four stores, each of which owns two partitions and has followed the others for a while."""
    fleet = Fleet(loop)
    fleet.start()
    assert await fleet.until(lambda: fleet.joined() and len(fleet.owners()) == PARTITIONS, 20.0) >= 0
    await fleet.until(lambda: False, 3.0)
    fleet.first = False
    return fleet


def partition_of(fleet: Fleet, name: str) -> Partition:
    """A partition that a store owns."""
    store = fleet.store(name)
    assert store is not None
    return next(p for p in store.partitions.values() if p.ready)


async def longest_without_owner(fleet: Fleet, number: int, seconds: float) -> float:
    """The longest stretch in which no ready owner of a partition was up."""
    longest, since, clock = 0.0, fleet.loop.clock, fleet.loop.clock

    def look() -> bool:
        nonlocal longest, since
        if number in fleet.owners():
            since = fleet.loop.clock
        longest = max(longest, fleet.loop.clock - since)
        return fleet.loop.clock - clock >= seconds

    await fleet.until(look, seconds + 1)
    return longest


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_owner_does_not_step_down_for_a_member_that_lost_power(seed: int) -> None:
    """It was heard a moment ago, and is dark by now: the partition must not be without an owner for its sake."""

    async def main(loop: SimLoop) -> float:
        fleet = await settled_fleet(loop)
        number = partition_of(fleet, "s1").id
        # The zone of the owner is evacuated, and the store that is first in the order then has just lost power.
        heir = next(n for n in ("s2", "s3", "s4", "s1") if n != "s1" and n == order_without(fleet, number, "s1")[0])
        await fleet.ask("c1", lambda c: c.evacuate("a", True))
        fleet.kill(heir, silent=True)
        return await longest_without_owner(fleet, number, 4.0)

    assert run_sim(main, seed) < DETECT / 2


def order_without(fleet: Fleet, number: int, name: str) -> list[str]:
    """The agreed order of a partition's members, but for one."""
    store = fleet.store(name)
    assert store is not None
    return [n for n in store.configuration_view.order(number) if n != name]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_owner_goes_on_if_the_word_that_it_stepped_down_is_not_taken(seed: int) -> None:
    """The member said that it would run, and then can't: the one that stepped down runs itself, at once."""

    async def main(loop: SimLoop) -> tuple[bool, float, str]:
        fleet = await settled_fleet(loop)
        partition = partition_of(fleet, "s1")
        heir = order_without(fleet, partition.id, "s1")[0]
        store = fleet.store(heir)
        assert store is not None
        store.mirror.take_over = lambda partition, epoch: False  # type: ignore[method-assign]
        handed = await fleet.ask("s1", lambda d: d.store.handover.hand_over(partition, heir))
        took = await fleet.until(lambda: partition.id in fleet.owners(), DETECT)
        return handed, took, fleet.owners().get(partition.id, "")

    handed, took, owner = run_sim(main, seed)
    assert handed and owner == "s1"
    assert 0 <= took < DETECT / 4


def test_a_member_that_follows_another_epoch_or_leaves_is_not_handed_a_partition() -> None:
    async def main(loop: SimLoop) -> tuple[bool, bool, bool]:
        fleet = await settled_fleet(loop)
        partition = partition_of(fleet, "s1")
        heir = order_without(fleet, partition.id, "s1")[0]
        store = fleet.store(heir)
        assert store is not None
        copy = store.partitions[partition.id]
        aligned, copy.aligned = copy.aligned, 0
        other_epoch = await fleet.ask("s1", lambda d: d.store.handover.hand_over(partition, heir))
        copy.aligned, store.table.leaving = aligned, True
        leaving = await fleet.ask("s1", lambda d: d.store.handover.hand_over(partition, heir))
        return other_epoch, leaving, partition.ready

    assert run_sim(main, 1) == (False, False, True)

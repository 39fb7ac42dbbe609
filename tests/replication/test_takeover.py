"""Tests of how soon partitions have owners again after restarts and failures, on simulated time."""

from __future__ import annotations

from postpass.daemon.data_plane import DataPlane
from postpass.replication.store import Store
from sim.loop import SimLoop, run_sim
from tests.support.announced import Fleet


def stores(fleet: Fleet) -> list[Store]:
    daemons = [n.daemon for n in fleet.nodes.values()]
    return [d.store for d in daemons if isinstance(d, DataPlane) and d.store is not None]


def owned(fleet: Fleet) -> bool:
    ready = [p.id for s in stores(fleet) for p in s.partitions.values() if p.ready]
    return sorted(ready) == list(range(8))


def takeovers(fleet: Fleet) -> int:
    return sum(s.counts["takeovers"] for s in stores(fleet))


class Test_owners_after_a_start:
    def test_are_elected_at_once_when_all_were_down(self) -> None:
        async def main(loop: SimLoop) -> tuple[float, float, int]:
            fleet = Fleet(loop)
            fleet.start()
            assert await fleet.until(lambda: fleet.joined() and owned(fleet), 20.0) >= 0
            fleet.first = False
            for name in list(fleet.nodes):
                fleet.kill(name)
            for name in fleet.nodes:
                fleet.boot(name)
            known = await fleet.until(
                lambda: [s.configuration_view.manifest is not None for s in stores(fleet)] == [True] * 4, 10.0
            )
            duration = await fleet.until(lambda: owned(fleet), 10.0)
            return known, duration, takeovers(fleet)

        known, duration, changes = run_sim(main, 3)
        detect = 12.0 / 8
        assert 0 <= known < 3.0
        assert 0 <= duration < detect / 2  # no store waits for the detection time
        assert changes == 8  # and no store takes a partition over that it hands over again at once

    def test_do_not_replace_a_live_owner_when_one_store_restarts(self) -> None:
        async def main(loop: SimLoop) -> tuple[int, int]:
            fleet = Fleet(loop)
            fleet.start()
            assert await fleet.until(lambda: fleet.joined() and owned(fleet), 20.0) >= 0
            await fleet.until(lambda: False, 3.0)
            fleet.first = False
            fleet.kill("s1")
            fleet.boot("s1")
            restarted = fleet.nodes["s1"].daemon
            await fleet.until(lambda: False, 4.0)
            assert isinstance(restarted, DataPlane) or restarted is None
            store = stores(fleet)[0]
            return store.counts["takeovers"], sum(p.ready for p in store.partitions.values())

        store_takeovers, ready = run_sim(main, 4)
        assert (store_takeovers, ready) == (2, 2)  # the two that it owned before, and no other

    def test_are_elected_at_once_when_the_owners_machine_refuses_connections(self) -> None:
        async def main(loop: SimLoop) -> tuple[float, int]:
            fleet = Fleet(loop)
            fleet.start()
            assert await fleet.until(lambda: fleet.joined() and owned(fleet), 20.0) >= 0
            await fleet.until(lambda: False, 3.0)
            before = takeovers(fleet)
            by_killed_store = stores(fleet)[0].counts["takeovers"]
            fleet.kill("s1")
            assert not owned(fleet)
            duration = await fleet.until(lambda: owned(fleet), 10.0)
            return duration, takeovers(fleet) - (before - by_killed_store)

        duration, changes = run_sim(main, 5)
        assert 0 <= duration < 0.3  # an election by timeout takes 1.5 s of silence, and 0.5 s more for each rank
        assert changes == 2

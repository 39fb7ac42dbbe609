"""How soon partitions have owners again, on simulated time."""

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
    def test_stand_at_once_when_all_were_down(self) -> None:
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
            took = await fleet.until(lambda: owned(fleet), 10.0)
            return known, took, takeovers(fleet)

        known, took, changes = run_sim(main, 3)
        detect = 12.0 / 8
        assert 0 <= known < 3.0
        assert 0 <= took < detect / 2  # nobody waits out a silence
        assert changes == 8  # and nobody takes what is handed back at once

    def test_leave_a_living_owner_alone_when_one_store_comes_back(self) -> None:
        async def main(loop: SimLoop) -> tuple[int, int]:
            fleet = Fleet(loop)
            fleet.start()
            assert await fleet.until(lambda: fleet.joined() and owned(fleet), 20.0) >= 0
            await fleet.until(lambda: False, 3.0)
            fleet.first = False
            fleet.kill("s1")
            fleet.boot("s1")
            back = fleet.nodes["s1"].daemon
            await fleet.until(lambda: False, 4.0)
            assert isinstance(back, DataPlane) or back is None
            mine = stores(fleet)[0]
            return mine.counts["takeovers"], sum(p.ready for p in mine.partitions.values())

        taken, ready = run_sim(main, 4)
        assert (taken, ready) == (2, 2)  # its own two again, and no other

    def test_stand_at_once_when_the_owners_machine_refuses_connections(self) -> None:
        async def main(loop: SimLoop) -> tuple[float, int]:
            fleet = Fleet(loop)
            fleet.start()
            assert await fleet.until(lambda: fleet.joined() and owned(fleet), 20.0) >= 0
            await fleet.until(lambda: False, 3.0)
            before = takeovers(fleet)
            mine = stores(fleet)[0].counts["takeovers"]
            fleet.kill("s1")
            assert not owned(fleet)
            took = await fleet.until(lambda: owned(fleet), 10.0)
            return took, takeovers(fleet) - (before - mine)

        took, changes = run_sim(main, 5)
        assert 0 <= took < 0.3  # of a silence of 1.5 s, and 0.5 s more for each rank
        assert changes == 2

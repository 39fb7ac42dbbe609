"""Stores are added while the owners of partitions are silent: what was accepted before is neither lost nor said to be."""

from __future__ import annotations

import contextvars
import random
from dataclasses import dataclass, field

import pytest

from postpass.configuration.configuration import members
from sim.disk import SimDisk
from sim.loop import SimLoop, run_sim
from tests.support.announced import AREAS, Fleet

JOBS = 24  # accepted before the stores are added; three for each partition
FREEZE_S = 3.5
POWER_S = 5.0
RECOVER_S = 12.0  # `bounds.recover` of the fleet


@dataclass(eq=False)
class Run:
    """A founded fleet with accepted jobs, whose stores are added to and struck."""

    fleet: Fleet
    kept: dict[str, int] = field(default_factory=dict)  # job -> partition

    async def begin(self) -> None:
        """Founds the fleet, and hands in the jobs."""
        self.fleet.start()
        assert await self.fleet.until(lambda: self.fleet.joined() and self.all_owned(), 20.0) >= 0
        self.fleet.first = False
        for number in range(JOBS):
            await self.submit(f"job{number}", number % 8)
        assert len(self.kept) == JOBS

    def all_owned(self) -> bool:
        return sorted(self.fleet.owners()) == list(range(8))

    async def submit(self, job: str, number: int) -> None:
        """Hands a job in at the owner of a partition."""
        body = {"id": job, "class": "plain", "items": ["x"], "due": 9e9, "caller": ""}
        request = {"part": number, "lot": body, "wait": 3.0}
        owner = self.fleet.owners()[number]
        answer = await self.fleet.ask(owner, lambda daemon: daemon.store.jobs.on_submit(request))
        if answer.is_ok():
            self.kept[job] = number

    def names(self, count: int, generation: int) -> list[str]:
        """The names of stores that are added."""
        return [f"n{generation}-{i}" for i in range(count)]

    def add_stores(self, count: int, generation: int) -> list[str]:
        """Adds empty stores, one in each zone in turn."""
        names = self.names(count, generation)
        seeds = [c.settings.peer for c in self.fleet.controls()][:3]
        for i, name in enumerate(names):
            self.fleet.add(name, "store", AREAS[i % 4], f"10.3.{10 * generation + i}.1", seeds=seeds)
        return names

    def later(self, delay: float, act: object) -> None:
        """Runs a function at a later time, outside any host."""
        self.fleet.loop.call_later(delay, act, context=contextvars.Context())  # type: ignore[arg-type]

    def strike(self, kind: str, name: str, seconds: float = FREEZE_S) -> None:
        """Has a store stand still for a time: frozen or cut off for `seconds`, killed, or without power. Its disk is sound."""
        node, loop = self.fleet.nodes[name], self.fleet.loop
        if kind == "freeze":
            loop.freeze(node.host)
            self.later(seconds, lambda: loop.thaw(node.host))
        elif kind == "cut":
            ways = {way for other in self.fleet.nodes if other != name for way in ((name, other), (other, name))}
            loop.net.cuts.update(ways)
            self.later(seconds, lambda: loop.net.cuts.difference_update(ways))
        else:
            self.fleet.kill(name, silent=kind == "power")
            if kind == "power" and node.disk is not None:
                node.disk.power_off()
            self.later(POWER_S, lambda: self.fleet.boot(name))

    def losses(self) -> int:
        """How often owners say that covered records were lost."""
        stores = [store for name in self.fleet.nodes if (store := self.fleet.store(name)) is not None]
        return sum(p.view.losses for store in stores for p in store.partitions.values() if p.ready)

    def missing(self) -> list[str]:
        """The accepted jobs that the owner of their partition does not have."""
        owners = self.fleet.owners()
        stores = {number: self.fleet.store(name) for number, name in owners.items()}
        return [
            job
            for job, number in self.kept.items()
            if (store := stores.get(number)) is None or job not in store.partitions[number].view.jobs
        ]

    async def check(self) -> None:
        """Waits until all partitions are owned; nothing is missing, and no loss was told."""
        assert await self.fleet.until(self.all_owned, RECOVER_S) >= 0
        assert self.missing() == []
        assert self.losses() == 0


def moved_to_new_stores(fleet: Fleet) -> list[int]:
    """The partitions whose wanted members are new stores alone."""
    configuration = fleet.controls()[0].configuration_view.manifest
    assert configuration is not None
    return [n for n in range(8) if all(name.startswith("n") for name in members(configuration, n))]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("kind", ["freeze", "power", "kill", "cut"])
def test_new_stores_ask_those_that_have_the_records(kind: str, seed: int) -> None:
    """New, blank stores that were the only ones asked declared all of a partition's accepted jobs lost."""

    async def main(loop: SimLoop) -> list[int]:
        run = Run(Fleet(loop))
        await run.begin()
        owners = run.fleet.owners()
        for name in sorted(set(owners.values()))[:1]:
            run.strike(kind, name)
        run.add_stores(8, 1)
        await run.fleet.until(lambda: False, POWER_S + RECOVER_S)
        moved = moved_to_new_stores(run.fleet)
        await run.check()
        return moved

    assert run_sim(main, seed)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", ["power", "freeze"])
def test_all_old_stores_are_silent_while_others_replace_them(kind: str, seed: int) -> None:
    """A silent store that was replaced was dropped, and then counted as gone for good with its records."""

    async def main(loop: SimLoop) -> None:
        run = Run(Fleet(loop))
        await run.begin()
        for name in ("s1", "s2", "s3", "s4"):
            run.strike(kind, name)
        run.add_stores(4, 1)
        await run.fleet.until(lambda: False, POWER_S + RECOVER_S)
        await run.check()

    run_sim(main, seed)


@pytest.mark.parametrize("seed", [1, 2])
def test_two_changes_follow_each_other_while_stores_are_silent(seed: int) -> None:
    async def main(loop: SimLoop) -> None:
        run = Run(Fleet(loop))
        await run.begin()
        run.strike("power", "s1")
        run.add_stores(4, 1)
        await run.fleet.until(lambda: False, 2.0)
        run.strike("freeze", "s2")
        run.add_stores(4, 2)
        await run.fleet.until(lambda: False, POWER_S + 2 * RECOVER_S)
        await run.check()

    run_sim(main, seed)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_store_that_was_renamed_is_asked_by_its_new_name(seed: int) -> None:
    """Its machine starts again at the same address, with its disk, under another name, while another store is frozen."""

    async def main(loop: SimLoop) -> None:
        run = Run(Fleet(loop))
        await run.begin()
        old = run.fleet.nodes["s2"]
        run.fleet.kill("s2")
        seeds = [c.settings.peer for c in run.fleet.controls()][:3]
        run.fleet.add("n-renamed", "store", "b", "10.1.2.1", disk=old.disk, seeds=seeds)
        run.strike("freeze", "s1")
        await run.fleet.until(lambda: False, POWER_S + RECOVER_S)
        await run.check()

    run_sim(main, seed)


def test_a_loss_of_all_copies_is_told_and_jobs_are_taken_again() -> None:
    """All stores lose their disks at once while new ones are added: there is nothing left to ask for."""

    async def main(loop: SimLoop) -> None:
        run = Run(Fleet(loop))
        await run.begin()
        await run.fleet.until(lambda: False, 3.0)
        for name in ("s1", "s2", "s3", "s4"):
            run.strike("kill", name)
            run.fleet.nodes[name].disk = SimDisk(random.Random(name))
        run.add_stores(4, 1)
        assert await run.fleet.until(lambda: run.losses() == 8 and run.all_owned(), POWER_S + RECOVER_S) >= 0
        await run.submit("again", 0)
        assert "again" in run.kept

    run_sim(main, 1)


@pytest.mark.parametrize("stores", [4, 5, 8])
def test_partitions_form_though_a_store_is_down(stores: int) -> None:
    """A store dies right after it has joined: no partition had a record that it alone could have."""

    async def main(loop: SimLoop) -> float:
        fleet = Fleet(loop, stores=stores)
        fleet.start()
        assert await fleet.until(fleet.joined, 20.0) >= 0
        assert not fleet.owners()
        fleet.kill("s3")
        return await fleet.until(lambda: sorted(fleet.owners()) == list(range(8)), RECOVER_S)

    assert run_sim(main, 1) >= 0

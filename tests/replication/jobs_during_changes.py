"""Jobs are handed in and read all the while, as stores are added and old ones are struck: a search for lost jobs.

    python -m tests.replication.jobs_during_changes FIRST COUNT

plays the seeds from FIRST on in simulated time, and prints what each broke. Each seed draws how many stores there are and how
many are added and when, which stores are frozen, cut off, killed or without power and when, and the jobs.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from postpass.configuration.configuration import Configuration, Machine, members
from postpass.replication.partition import Partition
from postpass.runtime.errors import NOT_FOUND
from sim.exit_status import ExitStatus, verdict_of
from sim.loop import SimLoop, run_sim
from tests.replication.test_added_stores import FREEZE_S, POWER_S, Run
from tests.support.announced import AREAS, Fleet

BEFORE_S = 2.0  # jobs are handed in for so long before the first change
CHANGES_S = 6.0  # in which the changes begin
AFTER_S = 12.0  # jobs are handed in for so long after the last change: `bounds.recover` of the fleet
SETTLE_S = 1.0  # from when an accepted job must be found
TRIES = 4  # of a client that gets no clear answer
PAUSE_S = 0.3  # between two tries
MAX_FREEZE_S = 8.0  # longer than it takes to elect another owner that accepts jobs
KINDS = ("freeze", "power", "kill", "cut")


@dataclass(frozen=True)
class Acceptance:
    """Who accepted a job, under which epoch, and when."""

    job: str
    partition: int
    store: str
    epoch: int
    at: float


@dataclass(eq=False)
class Search:
    """A run whose clients hand jobs in, and read them, at every store that believes to own their partition."""

    run: Run
    chance: random.Random
    accepted: dict[str, Acceptance] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    timeline: list[str] = field(default_factory=list)
    reads: int = 0
    ended: bool = False

    @property
    def fleet(self) -> Fleet:
        return self.run.fleet

    def note(self, text: str) -> None:
        self.timeline.append(f"{self.fleet.loop.clock:7.3f} {text}")

    def believers(self, number: int) -> list[tuple[str, Partition]]:
        """The stores that regard themselves as the owner of a partition, whether or not they are."""
        stores = [(n, s) for n in self.fleet.nodes if (s := self.fleet.store(n)) is not None]
        return [(n, s.partitions[number]) for n, s in stores if number in s.partitions and s.partitions[number].owning]

    async def submit_at(self, name: str, partition: Partition, job: str) -> bool:
        """Hands a job in at a store; returns whether it was accepted."""
        body = {"id": job, "class": "plain", "items": ["x"], "due": 9e9, "caller": ""}
        request = {"part": partition.id, "lot": body, "wait": 3.0}
        answer = await self.fleet.ask(name, lambda daemon: daemon.store.jobs.on_submit(request))
        if answer.is_err():
            return False
        if job not in self.accepted:
            self.accepted[job] = Acceptance(job, partition.id, name, partition.epoch, self.fleet.loop.clock)
            self.run.kept[job] = partition.id
        return True

    async def client(self, job: str) -> None:
        """Hands a job in under one id, at any believer, until one has accepted it; sometimes goes on though one has."""
        number = self.chance.randrange(8)
        for _ in range(TRIES):
            believers = self.believers(number)
            if believers:
                name, partition = self.chance.choice(believers)
                task = asyncio.create_task(self.submit_at(name, partition, job))
                done, _ = await asyncio.wait([task], timeout=4.0)
                if done and task.result() and self.chance.random() < 0.9:
                    return
            await asyncio.sleep(PAUSE_S)

    async def clients(self) -> None:
        """Starts a client at random moments until the search has ended."""
        number = 0
        while not self.ended:
            number += 1
            self.spawn(self.client(f"j{number}"))
            await asyncio.sleep(self.chance.expovariate(12.0))

    async def readers(self) -> None:
        """Reads accepted jobs all the while at every believer, the newest more often than the others.

        Reads at a store that is frozen wait there, and are answered when it wakes.
        """
        while not self.ended:
            await asyncio.sleep(self.chance.expovariate(20.0))
            accepted = list(self.accepted.values())
            chosen = self.chance.sample(accepted, min(3, len(accepted))) + accepted[-30::10]
            for acceptance in chosen:
                for name, _ in self.believers(acceptance.partition):
                    self.spawn(self.read_at(name, acceptance))

    async def read_at(self, name: str, acceptance: Acceptance) -> None:
        """Reads a job at a store; the answer that it isn't there is a breach if the job was accepted a while before."""
        request = {"part": acceptance.partition, "id": acceptance.job, "caller": ""}
        answer = await self.fleet.ask(name, lambda daemon: daemon.store.jobs.read(request, "show"))
        self.reads += answer.is_ok()
        is_settled = self.fleet.loop.clock - acceptance.at > SETTLE_S
        if answer.is_err() and answer.unwrap_err().code == NOT_FOUND and is_settled:
            self.breaches.append(f"{self.fleet.loop.clock:7.3f} {name} has no {acceptance}")

    def spawn(self, coroutine: Any) -> None:
        """Runs a client in the background; what it does at a machine that dies is never answered."""
        asyncio.create_task(coroutine)

    def later(self, delay: float, act: Callable[[], object], text: str) -> None:
        """Does something at a later time, and notes it."""

        def begin() -> None:
            self.note(text)
            act()

        self.run.later(delay, begin)

    def draw_changes(self) -> None:
        """Draws when stores are added, and which are struck, before that, after that and at the same time."""
        chance, strike_at = self.chance, self.chance.uniform(0.0, CHANGES_S / 2)
        add_at = max(0.0, strike_at + chance.choice([0.0, 0.0, chance.uniform(-1.5, 3.0)]))
        count, kind = chance.choice([1, 3, 4, 4, 8, 8, 8]), chance.choice(KINDS)
        for name in self.draw_victims(count):
            self.later(strike_at, lambda name=name: self.strike(kind, name), f"{kind} {name}")  # type: ignore[misc]
        self.later(add_at, lambda: self.add(count, 1), f"add {count}")
        if chance.random() < 0.5:
            again_at = strike_at + POWER_S + chance.uniform(0.2, 3.0)
            again = chance.choice(KINDS)
            self.later(again_at, lambda: self.strike_any(again), f"{again} another")
        if chance.random() < 0.3:
            more = chance.randint(1, 4)
            self.later(add_at + chance.uniform(0.1, 4.0), lambda: self.add(more, 2), f"add {more} more")

    def draw_victims(self, added: int) -> list[str]:
        """Draws the owner that is struck first, often of a partition that moves to new stores alone; now and then all owners.

        Args:
            added: Number of stores that are added.
        """
        owners = self.fleet.owners()
        if self.chance.random() < 0.1:
            return sorted(set(owners.values()))
        moved = self.moved_to_new_stores(added)
        if moved and self.chance.random() < 0.7:
            return [owners[self.chance.choice(moved)]]
        return [owners[self.chance.randrange(8)]]

    def moved_to_new_stores(self, added: int) -> list[int]:
        """Returns the partitions whose wanted members are new stores alone once `added` stores have joined."""
        configuration = self.fleet.controls()[0].configuration_view.manifest
        assert configuration is not None
        any_store = next(m for m in configuration["machines"].values() if "store" in m["duties"])
        new: dict[str, Machine] = {
            name: {**any_store, "area": zone} for name, zone in zip(self.run.names(added, 1), itertools.cycle(AREAS))
        }
        grown: Configuration = {**configuration, "machines": configuration["machines"] | new}
        return [number for number in range(8) if set(members(grown, number)) <= set(new)]

    def add(self, count: int, generation: int) -> None:
        self.run.add_stores(count, generation)

    def strike(self, kind: str, name: str) -> None:
        """Strikes a store that runs; it stands still for a time that is drawn if it is frozen or cut off."""
        if not self.fleet.nodes[name].host.dead:
            self.run.strike(kind, name, self.chance.uniform(FREEZE_S, MAX_FREEZE_S))

    def strike_any(self, kind: str) -> None:
        """Strikes a store that owns a partition now."""
        owners = sorted(set(self.fleet.owners().values()))
        if owners:
            name = self.chance.choice(owners)
            self.note(f"{kind} {name}")
            self.strike(kind, name)

    async def play(self) -> None:
        """Plays one run, and notes what was broken at its end."""
        await self.run.begin()
        self.run.kept.clear()
        self.spawn(self.clients())
        self.spawn(self.readers())
        await asyncio.sleep(BEFORE_S)
        self.draw_changes()
        await asyncio.sleep(CHANGES_S + POWER_S + AFTER_S)
        self.ended = True
        await asyncio.sleep(2 * AFTER_S)
        missing = self.run.missing()
        if not self.run.all_owned():
            self.breaches.append(f"owned in the end: {self.fleet.owners()}")
        if missing:
            self.breaches.append(f"missing in the end: {[self.accepted[job] for job in missing][:4]}")
        if self.run.losses():
            self.breaches.append(f"{self.run.losses()} losses were told")


def play(seed: int) -> Search:
    """Plays a seed; returns the search with what it found."""

    async def main(loop: SimLoop) -> Search:
        chance = random.Random(f"jobs during changes {seed}")
        fleet = Fleet(loop, stores=chance.choice([4, 4, 4, 5, 6, 8]))
        search = Search(Run(fleet), chance)
        await search.play()
        return search

    result: Search = run_sim(main, seed)
    return result


def main(first: int, count: int) -> int:
    """Plays seeds; returns `BROKEN` if any of them broke something, else `HELD`."""
    broken = 0
    for seed in range(first, first + count):
        search = play(seed)
        broken += bool(search.breaches)
        print(f"seed {seed}: {len(search.accepted)} accepted, {search.reads} read, {len(search.breaches)} breaches")
        for line in [*search.timeline, *search.breaches] if search.breaches else []:
            print("   ", line)
        sys.stdout.flush()
    print(f"{broken} of {count} seeds broke something")
    return ExitStatus.BROKEN if broken else ExitStatus.HELD


if __name__ == "__main__":
    sys.exit(verdict_of(lambda: main(int(sys.argv[1]), int(sys.argv[2]))))

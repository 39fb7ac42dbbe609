"""Heartbeats and ends of workers that come late, repeated or out of order, while the next worker runs at the address."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest

from postpass.control.daemon import ControlPlane
from sim.loop import SimLoop, run_sim
from tests.control.test_announced_control import worker_announcement
from tests.control.test_state_recovery import member_with_role
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

BEAT_S = 1.2  # the period of heartbeats in `Fleet`
PATIENCE_S = 1.0  # in which a worker wants an acknowledgement, before it calls the next machine
DEAD_S = 3.5 * BEAT_S  # after which a silent worker is dropped


@dataclass(eq=False)
class Worker:
    """One life of a worker, which sends heartbeats as the platform's workers do, to one control machine after the other."""

    fleet: Fleet
    name: str
    number: int = 1  # of its address
    pool: str = "llm"
    seqno: int = 0
    acknowledged: int = 0
    task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.create_task(self.run())

    def crash(self) -> None:
        assert self.task is not None
        self.task.cancel()

    async def run(self) -> None:
        turn = 0
        while True:
            for _ in range(3):
                turn += 1
                self.seqno += 1
                if await self.send(self.seqno, turn):
                    self.acknowledged += 1
                    break
            await asyncio.sleep(BEAT_S)

    async def send(self, seqno: int, turn: int = 0) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        names = [control.settings.name for control in self.fleet.controls()]
        if not names:
            return False
        announcement = worker_announcement(self.number, pool=self.pool)

        async def record(control: ControlPlane | None) -> bool:
            """Returns whether a machine that is there, and is still there when it answers, took the heartbeat."""
            if control is None:
                return False
            return bool((await control.record_worker_heartbeat(self.name, announcement, seqno)).is_ok())

        call = asyncio.ensure_future(self.fleet.ask(names[turn % len(names)], record))
        # Not cancelled in the end: in the place of a process that was killed meanwhile it would never be.
        done, _ = await asyncio.wait({call}, timeout=PATIENCE_S)
        return bool(done) and call.result()

    def is_listed(self) -> bool:
        """Whether an edge knows it in its pool."""
        view = self.fleet.nodes["e1"].daemon.configuration_view  # type: ignore[union-attr]
        return view.manifest is not None and self.name in view.manifest["pools"][self.pool]["servers"]


def play(scene: Callable[[Fleet], Awaitable[None]], seed: int = 1) -> None:
    async def main(loop: SimLoop) -> None:
        fleet = Fleet(loop, control=3, stores=4, edges=1)
        fleet.start()
        assert await fleet.until(fleet.joined, 10) >= 0
        assert (await fleet.ask("c1", lambda c: c.apply_document(document(1), 0))).is_ok()
        fleet.first = False
        await scene(fleet)

    run_sim(main, seed)


async def started(worker: Worker) -> Worker:
    worker.start()
    assert await worker.fleet.until(worker.is_listed, 3 * BEAT_S) >= 0
    return worker


# Guards against a living worker that gets no work for the rest of its life, though its heartbeats are acknowledged.
@pytest.mark.parametrize("delay", [0.3, 2.0, DEAD_S + 1.5])
@pytest.mark.parametrize("copies", [1, 3])
@pytest.mark.parametrize("pool", ["llm", "app"])
def test_a_late_heartbeat_of_a_dead_worker_does_not_end_the_next_one(delay: float, copies: int, pool: str) -> None:
    async def scene(fleet: Fleet) -> None:
        first = await started(Worker(fleet, "first", pool=pool))
        first.crash()
        await asyncio.sleep(delay)
        second = await started(Worker(fleet, "second"))
        await asyncio.sleep(0.5)
        for _ in range(copies):
            first.seqno += 1
            await first.send(first.seqno)
        assert await fleet.until(second.is_listed, 2 * BEAT_S) >= 0
        for _ in range(40):
            await asyncio.sleep(0.2)
            assert second.is_listed()
        assert not first.is_listed()

    play(scene)


def test_one_late_heartbeat_does_not_take_the_address_of_a_worker_that_was_heard_just_now() -> None:
    async def scene(fleet: Fleet) -> None:
        first = await started(Worker(fleet, "first"))
        first.crash()
        await asyncio.sleep(DEAD_S + 1)
        second = await started(Worker(fleet, "second"))
        assert not await first.send(first.seqno + 1)
        for _ in range(20):
            assert second.is_listed() and not first.is_listed()
            await asyncio.sleep(0.1)

    play(scene)


def test_a_worker_that_starts_again_at_once_takes_its_address_once_the_former_one_is_silent() -> None:
    async def scene(fleet: Fleet) -> None:
        first = await started(Worker(fleet, "first"))
        first.crash()
        second = Worker(fleet, "second")
        second.start()
        assert await fleet.until(second.is_listed, 1.5 * BEAT_S + BEAT_S + 0.2) >= 0
        assert not first.is_listed()

    play(scene)


def test_a_worker_that_announced_its_end_stays_ended() -> None:
    async def scene(fleet: Fleet) -> None:
        first = await started(Worker(fleet, "first"))
        first.crash()
        await fleet.ask("c1", lambda c: c.report_worker_ended("first"))
        for delay in (0.1, 1.0, DEAD_S):
            await asyncio.sleep(delay)
            first.seqno += 1
            await first.send(first.seqno)
            await asyncio.sleep(0.5)
            assert not first.is_listed()

    play(scene)


def test_a_worker_that_was_leaving_is_not_added_again_after_its_address_was_taken() -> None:
    """Its earlier heartbeats, which may still come, say that it serves."""

    async def scene(fleet: Fleet) -> None:
        first = await started(Worker(fleet, "first"))
        first.crash()
        leaving = worker_announcement(1, leave=True)
        await fleet.ask("c1", lambda c: c.record_worker_heartbeat("first", leaving, first.seqno + 5))
        second = Worker(fleet, "second")
        second.start()
        assert await fleet.until(second.is_listed, 3 * BEAT_S) >= 0
        second.crash()
        await asyncio.sleep(2 * DEAD_S)
        await first.send(first.seqno + 6)
        await asyncio.sleep(1.0)
        assert not first.is_listed()

    play(scene)


async def disturb(fleet: Fleet, chance: random.Random, turn: asyncio.Lock) -> None:
    """Kills the primary, and starts it again after a while; one at a time, since the fleet tolerates one loss."""
    async with turn:
        name = member_with_role(fleet, "primary") if fleet.primary() is not None else "c1"
        fleet.kill(name, silent=chance.random() < 0.5)
        await asyncio.sleep(chance.uniform(0.5, 4.0))
        fleet.boot(name)
        assert await fleet.until(lambda: fleet.primary() is not None, 12) >= 0


@pytest.mark.parametrize("seed", range(8))
def test_the_worker_that_goes_on_sending_heartbeats_is_listed_after_any_mix(seed: int) -> None:
    """Lives end by crashes and by reports of their end; heartbeats of former lives come up to eight seconds late."""

    async def scene(fleet: Fleet) -> None:
        chance = random.Random(f"late heartbeats {seed}")
        lives: list[Worker] = []
        ended: set[str] = set()
        disturbances: list[asyncio.Task[Any]] = []
        turn = asyncio.Lock()
        for number in range(6):
            worker = Worker(fleet, f"life-{number}", pool=chance.choice(["llm", "app"]))
            worker.start()
            lives.append(worker)
            for _ in range(chance.randrange(4)):
                await asyncio.sleep(chance.uniform(0.0, 1.5))
                former = chance.choice(lives)
                if former is not worker:
                    former.seqno += 1
                    number_sent, via = former.seqno - chance.randrange(2), chance.randrange(3)
                    disturbances.append(asyncio.create_task(former.send(number_sent, via)))  # type: ignore[arg-type]
            if chance.random() < 0.4:
                disturbances.append(asyncio.create_task(disturb(fleet, chance, turn)))
                await asyncio.sleep(chance.uniform(0.0, 2.0))
            if number == 5:
                break
            worker.crash()
            if chance.random() < 0.3:
                ended.add(worker.name)
                live = chance.choice(fleet.controls()).settings.name
                call = fleet.ask(
                    live, lambda c, name=worker.name: c.report_worker_ended(name) if c else asyncio.sleep(0)
                )
                disturbances.append(asyncio.create_task(call))
            await asyncio.sleep(chance.uniform(0.0, 5.0))
        # A call in the place of a process that was killed meanwhile never ends.
        for task in (await asyncio.wait(disturbances, timeout=30))[0] if disturbances else ():
            task.result()
        assert await fleet.until(lambda: fleet.primary() is not None, 12) >= 0
        last = lives[-1]
        assert await fleet.until(last.is_listed, 10 * BEAT_S + 3 * BEAT_S) >= 0
        await asyncio.sleep(10 * BEAT_S)
        assert last.is_listed()
        assert not any(worker.is_listed() for worker in lives[:-1])

    play(scene, seed)

"""Control members cut off for twenty seconds under load.

Operators change the configuration, workers drain, edges restart, and a zone is evacuated.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.control.test_leadership import (
    CUT_TIME,
    RECOVERY_TIME,
    isolate,
    leader,
    play,
    readable,
    settle,
    worker_announcement,
)
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

ORDER_PAUSE = 0.4  # seconds between two attempts of a client
OPERATORS = 2


class LoadedRun:
    """Clients at work, and what they saw.

    Invariant: `accepted` has the contents that were acknowledged for each version; no version has two.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.stopped = fleet, False
        self.accepted: dict[int, int] = {}  # version -> the operator whose document was acknowledged
        self.acknowledged_at: list[float] = []
        self.drained: set[str] = set()

    async def operate(self, number: int) -> None:
        """Changes the configuration by compare-and-set on the newest version read, at one member after the other."""
        attempt = number
        while not self.stopped:
            name = f"c{attempt % self.fleet.control + 1}"
            attempt += 1
            highest_before = self.highest()
            response = await self.fleet.ask(name, lambda c: c.read_document())
            if response.is_ok():
                base = response.unwrap()["version"]
                assert base >= highest_before, (
                    name,
                    base,
                    highest_before,
                    "a confirmed read is older than what was acknowledged",
                )
                await self.send_order(name, number, base)
            await asyncio.sleep(ORDER_PAUSE)

    async def send_order(self, name: str, number: int, base: int) -> None:
        # No two operators use the same version, so that a version shows which operator's document it is.
        version = base + 1 + (base + 1 + number) % OPERATORS
        response = await self.fleet.ask(name, lambda c: c.apply_document(document(version), base))
        if response.is_ok():
            assert all(not base < accepted < version for accepted in self.accepted), (base, version, self.accepted)
            assert self.accepted.setdefault(version, number) == number, version
            self.acknowledged_at.append(self.fleet.loop.clock)

    def highest(self) -> int:
        return max(self.accepted, default=3)

    async def drain(self, number: int) -> None:
        """Sends a worker's heartbeats, then drains it; tries the members in turn until one acknowledges it."""
        worker, started_at, seqno = f"w{number}", self.fleet.loop.clock, 0
        while not self.stopped and worker not in self.drained:
            leaves = self.fleet.loop.clock - started_at > 2 * number
            for attempt in range(self.fleet.control):
                seqno += 1
                name, seqno_and_leaves = f"c{(number + attempt) % self.fleet.control + 1}", (seqno, leaves)

                async def send_heartbeat(c: Any, seqno_and_leaves: tuple[int, bool] = seqno_and_leaves) -> Any:
                    return await c.record_worker_heartbeat(
                        worker,
                        worker_announcement(number, **({"leave": True} if seqno_and_leaves[1] else {})),
                        seqno_and_leaves[0],
                    )

                response = await self.fleet.ask(name, send_heartbeat)
                if response.is_ok():
                    if leaves:
                        self.drained.add(worker)
                    break
            await asyncio.sleep(1.2)

    async def restart_edges(self) -> None:
        while not self.stopped:
            for name in ("e1", "e2"):
                await asyncio.sleep(4)
                self.fleet.kill(name)
                await asyncio.sleep(0.5)
                self.fleet.boot(name)

    async def evacuate(self) -> None:
        """Evacuates a zone until that is acknowledged, then opens it again until that is."""
        for away in (True, False):
            attempt = 0
            await asyncio.sleep(5)
            while not self.stopped:
                attempt += 1
                name = f"c{attempt % self.fleet.control + 1}"
                if (await self.fleet.ask(name, lambda c, away=away: c.evacuate("b", away))).is_ok():
                    break
                await asyncio.sleep(ORDER_PAUSE)


@pytest.mark.parametrize("control", [3, 4, 5])
@pytest.mark.parametrize("role", ["primary", "backup", "witness", "primary and backup"])
@pytest.mark.parametrize("direction", ["both", "in", "out"])
def test_a_cut_of_twenty_seconds_under_load_breaks_no_rule(control: int, role: str, direction: str) -> None:
    async def scene(fleet: Fleet) -> None:
        primary = await settle(fleet)
        holders = primary.replicated_state.replica_set.holders
        witness = next(n for n in primary.replicated_state.replica_set.voters if n not in holders)
        isolated_by_role = {
            "primary": holders[:1],
            "backup": holders[1:],
            "witness": (witness,),
            "primary and backup": holders,
        }
        run = LoadedRun(fleet)
        tasks = [asyncio.create_task(run.operate(n)) for n in range(OPERATORS)]
        tasks += [asyncio.create_task(run.drain(n)) for n in range(1, 9)]
        tasks += [asyncio.create_task(run.restart_edges()), asyncio.create_task(run.evacuate())]
        await asyncio.sleep(2)
        isolate(fleet, isolated_by_role[role], direction)
        cut_at = fleet.loop.clock
        await asyncio.sleep(CUT_TIME + 2)
        accepted_late = [t for t in run.acknowledged_at if t > cut_at + RECOVERY_TIME]
        members_outside = control - len(isolated_by_role[role])
        if (
            role != "primary and backup"
            and 2 * members_outside > control
            or (role, control) == ("primary and backup", 3)
        ):
            assert accepted_late, "the majority took no orders in time"
        fleet.loop.net.cuts.clear()
        healed_at = fleet.loop.clock
        assert await fleet.until(lambda: any(t > healed_at for t in run.acknowledged_at), RECOVERY_TIME) >= 0
        await asyncio.sleep(6)
        run.stopped = True
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            assert result is None or isinstance(result, asyncio.CancelledError), result
        assert await readable(fleet, run.highest()) >= 0
        assert max(c.replicated_state.state.losses for c in fleet.controls()) == 0
        pool = leader(fleet).replicated_state.state.configuration["pools"]["llm"]["servers"]
        assert len(run.drained) == 8, run.drained
        assert all(w not in pool or pool[w].get("leave") for w in run.drained), pool

    play(scene, seed=control, control=control)

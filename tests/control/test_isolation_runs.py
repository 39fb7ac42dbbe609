"""Control members cut off for twenty seconds while operators write, workers drain, edges restart and a zone is evacuated."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.control.test_leadership import CUT_TIME, RECOVERY_TIME, isolate, leader, play, readable, settle, standing
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

ORDER_PAUSE = 0.4
OPERATORS = 2


class Day:
    """What callers saw. Invariant: `taken` has the content acknowledged for each version; no version has two."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.over = fleet, False
        self.taken: dict[int, int] = {}  # version -> the operator whose document was acknowledged
        self.acknowledged_at: list[float] = []
        self.drained: set[str] = set()

    async def operate(self, number: int) -> None:
        """Compare-and-set on the newest version that was read, at one member after the other."""
        turn = number
        while not self.over:
            name = f"c{turn % self.fleet.control + 1}"
            turn += 1
            before = self.highest()
            read = await self.fleet.ask(name, lambda c: c.read_source())
            if read.is_ok():
                base = read.unwrap()["version"]
                assert base >= before, (name, base, before, "a confirmed read is older than what was acknowledged")
                await self.order(name, number, base)
            await asyncio.sleep(ORDER_PAUSE)

    async def order(self, name: str, number: int, base: int) -> None:
        # Each operator's versions are its own, so that a version tells whose document it is.
        version = base + 1 + (base + 1 + number) % OPERATORS
        got = await self.fleet.ask(name, lambda c: c.apply_source(document(version), base))
        if got.is_ok():
            assert all(not base < taken < version for taken in self.taken), (base, version, self.taken)
            assert self.taken.setdefault(version, number) == number, version
            self.acknowledged_at.append(self.fleet.loop.clock)

    def highest(self) -> int:
        return max(self.taken, default=3)

    async def drain(self, number: int) -> None:
        """A worker that beats, then drains; tries the members in turn until one acknowledges it."""
        who, began, seqno = f"w{number}", self.fleet.loop.clock, 0
        while not self.over and who not in self.drained:
            leaves = self.fleet.loop.clock - began > 2 * number
            for turn in range(self.fleet.control):
                seqno += 1
                name, beat = f"c{(number + turn) % self.fleet.control + 1}", (seqno, leaves)

                async def call(c: Any, beat: tuple[int, bool] = beat) -> Any:
                    return await c.record_worker_heartbeat(
                        who, standing(number, **({"leave": True} if beat[1] else {})), beat[0]
                    )

                got = await self.fleet.ask(name, call)
                if got.is_ok():
                    if leaves:
                        self.drained.add(who)
                    break
            await asyncio.sleep(1.2)

    async def restart_edges(self) -> None:
        while not self.over:
            for name in ("e1", "e2"):
                await asyncio.sleep(4)
                self.fleet.kill(name)
                await asyncio.sleep(0.5)
                self.fleet.boot(name)

    async def evacuate(self) -> None:
        """Until it is acknowledged, then back."""
        for away in (True, False):
            turn = 0
            await asyncio.sleep(5)
            while not self.over:
                turn += 1
                name = f"c{turn % self.fleet.control + 1}"
                if (await self.fleet.ask(name, lambda c, away=away: c.evacuate("b", away))).is_ok():
                    break
                await asyncio.sleep(ORDER_PAUSE)


@pytest.mark.parametrize("control", [3, 4, 5])
@pytest.mark.parametrize("role", ["primary", "backup", "witness", "primary and backup"])
@pytest.mark.parametrize("way", ["both", "in", "out"])
def test_a_cut_of_twenty_seconds_under_load_breaks_no_rule(control: int, role: str, way: str) -> None:
    async def scene(f: Fleet) -> None:
        lead = await settle(f)
        holders = lead.replicated_state.replica_set.holders
        witness = next(n for n in lead.replicated_state.replica_set.voters if n not in holders)
        inside = {"primary": holders[:1], "backup": holders[1:], "witness": (witness,), "primary and backup": holders}
        day = Day(f)
        tasks = [asyncio.create_task(day.operate(n)) for n in range(OPERATORS)]
        tasks += [asyncio.create_task(day.drain(n)) for n in range(1, 9)]
        tasks += [asyncio.create_task(day.restart_edges()), asyncio.create_task(day.evacuate())]
        await asyncio.sleep(2)
        isolate(f, inside[role], way)
        cut = f.loop.clock
        await asyncio.sleep(CUT_TIME + 2)
        during = [t for t in day.acknowledged_at if t > cut + RECOVERY_TIME]
        outside = control - len(inside[role])
        if role != "primary and backup" and 2 * outside > control or (role, control) == ("primary and backup", 3):
            assert during, "the majority took no orders in time"
        f.loop.net.cuts.clear()
        healed = f.loop.clock
        assert await f.until(lambda: any(t > healed for t in day.acknowledged_at), RECOVERY_TIME) >= 0
        await asyncio.sleep(6)
        day.over = True
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            assert result is None or isinstance(result, asyncio.CancelledError), result
        assert await readable(f, day.highest()) >= 0
        assert max(c.replicated_state.state.losses for c in f.controls()) == 0
        pool = leader(f).replicated_state.state.configuration["pools"]["llm"]["servers"]
        assert len(day.drained) == 8, day.drained
        assert all(w not in pool or pool[w].get("leave") for w in day.drained), pool

    play(scene, seed=control, control=control)

"""Tests of postpass.runtime.pause_detector, in a simulated process that is frozen."""

from __future__ import annotations

import asyncio

import pytest

from postpass.runtime.environment import now
from postpass.runtime.pause_detector import PauseDetector
from sim.loop import Host, SimLoop, run_sim

INTERVAL, THRESHOLD = 0.1, 0.5


def play(freeze_s: float, look_after: float) -> tuple[bool, bool, float]:
    """Freezes a process, and looks at its detector `look_after` seconds after it goes on.

    Returns whether it has just resumed, whether it has paused since before that, and how long ago a message that is read
    at that moment may have arrived.
    """

    async def main(loop: SimLoop) -> tuple[bool, bool, float]:
        host = loop.add(Host("h1", ("10.9.9.1",), "a"))
        detector = PauseDetector(INTERVAL, THRESHOLD)
        loop.create_task(detector.run(), context=host.context())
        await asyncio.sleep(2.0)
        before = now()
        if freeze_s:
            loop.freeze(host)
            await asyncio.sleep(freeze_s)
            loop.thaw(host)
        await asyncio.sleep(look_after)

        async def look() -> tuple[bool, bool, float]:
            return detector.has_just_resumed, detector.has_paused_since(before), now() - detector.earliest_arrival()

        return await loop.create_task(look(), context=host.context())

    resumed, paused, age = run_sim(main, 1)
    return resumed, paused, age


@pytest.mark.parametrize("freeze_s", [0.0, 0.3])
def test_a_process_that_runs_is_not_paused(freeze_s: float) -> None:
    assert play(freeze_s, 0.0) == (False, False, 0.0)


def test_what_is_read_after_a_pause_may_have_arrived_at_its_beginning() -> None:
    resumed, paused, age = play(3.5, 0.0)
    assert resumed and paused
    assert 3.5 <= age <= 3.5 + INTERVAL


def test_a_pause_is_over_once_what_waited_has_been_read() -> None:
    resumed, paused, age = play(3.5, THRESHOLD + 0.01)
    assert (resumed, paused, age) == (False, True, 0.0)


def test_nothing_counts_as_a_pause_before_the_process_runs() -> None:
    async def main(loop: SimLoop) -> bool:
        detector = PauseDetector(INTERVAL, THRESHOLD)
        await asyncio.sleep(5.0)
        return detector.has_just_resumed or detector.has_paused_since(0.0) or detector.earliest_arrival() != now()

    assert not run_sim(main, 1)

"""Tests of bench.lag."""

from __future__ import annotations

import asyncio

from bench.lag import Line


def test_a_line_keeps_order_and_delays() -> None:
    async def run() -> list[int]:
        loop, out = asyncio.get_running_loop(), []  # type: ignore[var-annotated]
        line = Line(loop, 0.0)
        done = loop.create_future()
        for i in range(5):
            line.put(out.append, i)
        line.put(done.set_result, None)
        await done
        return out

    assert asyncio.run(run()) == [0, 1, 2, 3, 4]

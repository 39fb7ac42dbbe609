"""Tests of postpass.gateway.admission_queue."""

from __future__ import annotations

import asyncio

from postpass.gateway.admission_queue import AdmissionQueue, Waiter


def test_one_callers_crowd_does_not_hold_back_another() -> None:
    async def run() -> list[str]:
        loop, log = asyncio.get_running_loop(), AdmissionQueue()
        for name in ["x"] * 5 + ["y", "z", "y"]:
            log.put(Waiter(name, "", "", (), 1, loop.create_future()))
        gone = log.lines["x"][1]
        log.discard(gone)
        log.lines["z"][0].worker.cancel()
        out = []
        while log.peek():
            out.append(log.pop().client)
        assert log.size == 0 and not log.lines and not log.turn
        return out

    assert asyncio.run(run()) == ["x", "y", "x", "y", "x", "x"]

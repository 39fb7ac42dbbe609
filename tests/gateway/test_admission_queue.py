"""Tests of postpass.gateway.admission_queue."""

from __future__ import annotations

import asyncio

from postpass.gateway.admission_queue import AdmissionQueue, Waiter


def test_many_waiters_of_one_client_do_not_delay_another_client() -> None:
    async def run() -> list[str]:
        loop, queue = asyncio.get_running_loop(), AdmissionQueue()
        for name in ["x"] * 5 + ["y", "z", "y"]:
            queue.put(Waiter(name, "", "", (), 1, loop.create_future()))
        discarded = queue.waiters_by_client["x"][1]
        queue.discard(discarded)
        queue.waiters_by_client["z"][0].worker.cancel()
        clients = []
        while queue.peek():
            clients.append(queue.pop().client)
        assert queue.size == 0 and not queue.waiters_by_client and not queue.rotation
        return clients

    assert asyncio.run(run()) == ["x", "y", "x", "y", "x", "x"]

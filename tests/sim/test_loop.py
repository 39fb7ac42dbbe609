"""Tests of sim.loop."""

from __future__ import annotations

import asyncio
from typing import Any

from sim.loop import Host, SimLoop, run_sim


def test_time_is_virtual_and_frozen_hosts_wake_late() -> None:
    async def main(loop: SimLoop) -> list[tuple[str, float]]:
        seen: list[tuple[str, float]] = []
        hosts = [loop.add(Host(n, (n,), "a")) for n in ("x", "y", "z")]

        async def sleep_and_record(name: str) -> None:
            await asyncio.sleep(1)
            seen.append((name, loop.clock))

        for host in hosts:
            loop.create_task(sleep_and_record(host.name), context=host.context())
        loop.freeze(hosts[0])
        loop.kill(hosts[1])
        await asyncio.sleep(5)
        loop.thaw(hosts[0])
        await asyncio.sleep(3)
        return seen

    # The task of the frozen host had not begun: it begins when the host is thawed at 5 s, and sleeps for 1 s from then.
    assert run_sim(main) == [("z", 1.0), ("x", 6.0)]


def test_bytes_cross_in_order_after_a_cut_and_resets_follow_a_kill() -> None:
    async def main(loop: SimLoop) -> list[Any]:
        sender_host, receiver_host = (loop.add(Host(n, (n,), n)) for n in ("x", "y"))
        seen: list[Any] = []

        async def serve() -> None:
            async def handle_connection(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
                while data := await reader.read(100):
                    seen.append((data, round(loop.clock)))

            await asyncio.start_server(handle_connection, "y", 1)

        async def send_and_read() -> None:
            reader, writer = await asyncio.open_connection("y", 1)
            writer.write(b"one")
            await asyncio.sleep(1)
            loop.net.cuts.add(("x", "y"))
            writer.write(b"two")
            await asyncio.sleep(2)
            loop.net.cuts.clear()
            await asyncio.sleep(2)
            loop.kill(receiver_host)
            try:
                seen.append(await reader.read(1))
            except ConnectionResetError:
                seen.append("reset")

        await loop.create_task(serve(), context=receiver_host.context())
        await loop.create_task(send_and_read(), context=sender_host.context())
        return seen

    assert run_sim(main) == [(b"one", 0), (b"two", 4), "reset"]  # retransmitted 0.2 + 0.4 + 0.8 + 1.6 s later

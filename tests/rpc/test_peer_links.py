"""Tests of postpass.rpc.peer_links."""

from __future__ import annotations

import asyncio
import struct
from typing import Any

from result import Err, Ok, Result
from thriftpy2.thrift import TMessageType

from postpass.rpc.codec import IDL, WIRE_VERSIONS, Body, encode_message
from postpass.rpc.connection import Link
from postpass.rpc.peer_links import PeerLinks
from postpass.rpc.peer_server import PeerServer
from postpass.runtime.errors import SLOW, Fault


def test_releases_without_a_common_wire_number_are_refused_by_both_numbers() -> None:
    from sim.loop import Host, SimLoop, run_sim

    async def main(loop: SimLoop) -> list[Any]:
        one, two = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))
        heard: list[int] = []

        async def serve() -> None:
            async def carry(packet: Any) -> None:
                heard.append(packet.seq)

            await PeerServer("two", {"carry": carry}).listen("2:7")

        async def call() -> list[Any]:
            good = (await Link.open("2:7", 1, (WIRE_VERSIONS[1], WIRE_VERSIONS[1] + 5))).unwrap()
            good.put("carry", IDL.Packet(part=0, seq=1))
            bad = (await Link.open("2:7", 1, (WIRE_VERSIONS[1] + 1, WIRE_VERSIONS[1] + 2))).unwrap_err()
            # One that speaks first without a wire number, as releases before 0.2.0 did, is cut off.
            reader, writer = await asyncio.open_connection("2", 7)
            data = encode_message(
                "carry", TMessageType.ONEWAY, 1, IDL.Peer.carry_args(packet=IDL.Packet(part=0, seq=2))
            )
            writer.write(struct.pack("!i", len(data)) + data)
            return [
                bad.step,
                bad.peer,
                "wire numbers 1 to 1" in bad.why and "2 to 3" in bad.why,
                await reader.read(),
                heard,
            ]

        await loop.create_task(serve(), context=two.context())
        return await loop.create_task(call(), context=one.context())

    assert run_sim(main) == ["hi", "2:7", True, b"", [1]]


def test_calls_share_a_link_and_foreign_bytes_close_only_their_own() -> None:
    from sim.loop import Host, SimLoop, run_sim

    async def main(loop: SimLoop) -> list[Any]:
        one, two = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))
        cast: list[int] = []

        async def serve() -> None:
            async def show(body: Body) -> Result[Body, Fault]:
                await asyncio.sleep(body["t"])
                return Ok({"t": body["t"]}) if body["t"] < 3 else Err(Fault("show", "2", "late", 504))

            async def carry(packet: Any) -> None:
                await asyncio.sleep(0.1 if packet.seq == 1 else 0)
                cast.append(packet.seq)

            await PeerServer("two", {"show": show, "carry": carry}).listen("2:7")

        async def call() -> list[Any]:
            lines = PeerLinks()
            slow, fast = asyncio.create_task(lines.request("2:7", "show", {"t": 2}, 9)), None
            fast = await lines.request("2:7", "show", {"t": 1}, 9)
            link = lines.links["2:7"]
            [link.put("carry", IDL.Packet(part=0, seq=n)) for n in (1, 2, 3)]
            reader, writer = await asyncio.open_connection("2", 7)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            foreign = await reader.read()
            late = await lines.request("2:7", "show", {"t": 3}, 9)
            over = await lines.request("2:7", "show", {"t": 2}, 1)
            lack = await lines.request("2:7", "grant", {}, 1)
            return [fast, await slow, foreign, late, over.unwrap_err().code, lack.unwrap_err().why, cast]

        await loop.create_task(serve(), context=two.context())
        return await loop.create_task(call(), context=one.context())

    assert run_sim(main) == [
        Ok({"t": 1}), Ok({"t": 2}), b"", Err(Fault("show", "2", "late", 504)), SLOW, "no such duty here", [1, 2, 3],
    ]  # fmt: skip


def test_a_link_that_opens_after_its_caller_gave_up_is_kept_for_the_next() -> None:
    """Held by nobody, it would be closed whenever the garbage collector came by, which differs from run to run."""
    from sim.loop import Host, SimLoop, run_sim

    async def main(loop: SimLoop) -> None:
        one, two = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))
        loop.net.near = 0.25

        async def serve() -> None:
            async def show(_body: Body) -> Result[Body, Fault]:
                return Ok({})

            await PeerServer("two", {"show": show}).listen("2:7")

        async def call() -> None:
            links = PeerLinks()
            late = await links.request("2:7", "show", {}, 1.0)
            assert isinstance(late, Err) and late.unwrap_err().unsent
            await asyncio.sleep(2.0)
            kept = links.links["2:7"]
            assert not kept.closed
            assert await links.request("2:7", "show", {}, 1.0) == Ok({}) and links.links["2:7"] is kept

        await loop.create_task(serve(), context=two.context())
        await loop.create_task(call(), context=one.context())

    run_sim(main)

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
from postpass.runtime.errors import TIMED_OUT, Fault


def test_releases_without_a_common_wire_version_get_a_fault_with_both_version_ranges() -> None:
    from sim.loop import Host, SimLoop, run_sim

    async def main(loop: SimLoop) -> list[Any]:
        client, server = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))
        received_sequences: list[int] = []

        async def serve() -> None:
            async def carry(packet: Any) -> None:
                received_sequences.append(packet.seq)

            await PeerServer("two", {"carry": carry}).listen("2:7")

        async def send_requests() -> list[Any]:
            low, high = WIRE_VERSIONS
            accepted_link = (await Link.open("2:7", 1, (high, high + 5))).unwrap()
            accepted_link.put("carry", IDL.Packet(part=0, seq=1))
            fault = (await Link.open("2:7", 1, (high + 1, high + 2))).unwrap_err()
            # A peer that sends another message before the handshake, as releases before 0.2.0 did, is disconnected.
            reader, writer = await asyncio.open_connection("2", 7)
            data = encode_message(
                "carry", TMessageType.ONEWAY, 1, IDL.Peer.carry_args(packet=IDL.Packet(part=0, seq=2))
            )
            writer.write(struct.pack("!i", len(data)) + data)
            return [
                fault.step,
                fault.peer,
                f"wire numbers {low} to {high}" in fault.why and f"{high + 1} to {high + 2}" in fault.why,
                await reader.read(),
                received_sequences,
            ]

        await loop.create_task(serve(), context=server.context())
        return await loop.create_task(send_requests(), context=client.context())

    assert run_sim(main) == ["hi", "2:7", True, b"", [1]]


def test_requests_share_a_link_and_invalid_bytes_close_only_their_own_link() -> None:
    from sim.loop import Host, SimLoop, run_sim

    async def main(loop: SimLoop) -> list[Any]:
        client, server = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))
        received_sequences: list[int] = []

        async def serve() -> None:
            async def show(body: Body) -> Result[Body, Fault]:
                await asyncio.sleep(body["t"])
                return Ok({"t": body["t"]}) if body["t"] < 3 else Err(Fault("show", "2", "late", 504))

            async def carry(packet: Any) -> None:
                await asyncio.sleep(0.1 if packet.seq == 1 else 0)
                received_sequences.append(packet.seq)

            await PeerServer("two", {"show": show, "carry": carry}).listen("2:7")

        async def send_requests() -> list[Any]:
            peer_links = PeerLinks()
            slow_request, fast_response = asyncio.create_task(peer_links.request("2:7", "show", {"t": 2}, 9)), None
            fast_response = await peer_links.request("2:7", "show", {"t": 1}, 9)
            link = peer_links.links["2:7"]
            [link.put("carry", IDL.Packet(part=0, seq=n)) for n in (1, 2, 3)]
            reader, writer = await asyncio.open_connection("2", 7)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            rest = await reader.read()
            late_response = await peer_links.request("2:7", "show", {"t": 3}, 9)
            timed_out = await peer_links.request("2:7", "show", {"t": 2}, 1)
            unknown = await peer_links.request("2:7", "grant", {}, 1)
            return [
                fast_response,
                await slow_request,
                rest,
                late_response,
                timed_out.unwrap_err().code,
                unknown.unwrap_err().why,
                received_sequences,
            ]

        await loop.create_task(serve(), context=server.context())
        return await loop.create_task(send_requests(), context=client.context())

    assert run_sim(main) == [
        Ok({"t": 1}), Ok({"t": 2}), b"", Err(Fault("show", "2", "late", 504)), TIMED_OUT, "no such duty here", [1, 2, 3],
    ]  # fmt: skip


def test_a_link_that_opens_after_its_request_timed_out_is_kept_for_the_next_request() -> None:
    """Without a reference, the garbage collector would close the link at a moment that differs from run to run."""
    from sim.loop import Host, SimLoop, run_sim

    async def main(loop: SimLoop) -> None:
        client, server = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))
        loop.net.near = 0.25

        async def serve() -> None:
            async def show(_body: Body) -> Result[Body, Fault]:
                return Ok({})

            await PeerServer("two", {"show": show}).listen("2:7")

        async def send_requests() -> None:
            links = PeerLinks()
            late_response = await links.request("2:7", "show", {}, 1.0)
            assert isinstance(late_response, Err) and late_response.unwrap_err().unsent
            await asyncio.sleep(2.0)
            stored_link = links.links["2:7"]
            assert not stored_link.closed
            assert await links.request("2:7", "show", {}, 1.0) == Ok({}) and links.links["2:7"] is stored_link

        await loop.create_task(serve(), context=server.context())
        await loop.create_task(send_requests(), context=client.context())

    run_sim(main)

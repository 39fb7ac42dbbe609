"""Messages in fragments: put together again exactly, whatever is lost or given up in between, and their memory is freed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from postpass.rpc import peer_server
from postpass.rpc.codec import IDL, Body, PeerResponse
from postpass.rpc.connection import Link
from postpass.rpc.fragments import (
    FRAGMENT_BYTES,
    MAXIMUM_MESSAGE_BYTES,
    FragmentAssembler,
    MessageSizeError,
    fragments_of,
)
from postpass.rpc.framing import MAXIMUM_FRAME_BYTES
from postpass.rpc.peer_server import LARGE_FRAME_BYTES, PeerServer
from postpass.runtime.byte_semaphore import ByteSemaphore
from sim.loop import Host, SimLoop, run_sim

LONG = {"text": "x" * (MAXIMUM_FRAME_BYTES + 1)}
CAPACITY = MAXIMUM_FRAME_BYTES + (1 << 20)  # memory for one long message, and not for two


@given(st.lists(st.tuples(st.integers(1, 5 * FRAGMENT_BYTES), st.integers(0, 6)), max_size=6))
def test_complete_messages_come_out_and_those_given_up_do_not(plan: list[tuple[int, int]]) -> None:
    assembler, complete, expected = FragmentAssembler(), [], []
    for number, (size, sent) in enumerate(plan):
        message = bytes([number]) * size
        pieces = list(fragments_of(message))
        complete += [m for m in map(assembler.add, pieces[:sent]) if m is not None]
        expected += [message] if sent >= len(pieces) else []
    assert complete == expected


def test_a_fragment_that_continues_nothing_is_dropped() -> None:
    first, second, third = fragments_of(b"m" * (2 * FRAGMENT_BYTES + 1))
    assembler = FragmentAssembler()
    assert assembler.add(second) is None and not assembler.is_receiving
    assert assembler.add(first) is None and assembler.add(third) is None and assembler.add(third) is None
    assert assembler.add(second) is None
    assert assembler.add(third) == b"m" * (2 * FRAGMENT_BYTES + 1)


@pytest.mark.parametrize("size", [-1, 0, MAXIMUM_MESSAGE_BYTES + 1])
def test_a_size_that_is_not_accepted_is_an_error(size: int) -> None:
    with pytest.raises(MessageSizeError):
        FragmentAssembler().add(IDL.Fragment(size=size, offset=0, data=b"m"))


def test_more_bytes_than_announced_are_an_error() -> None:
    with pytest.raises(MessageSizeError):
        FragmentAssembler().add(IDL.Fragment(size=3, offset=0, data=b"four"))


def test_the_frame_of_a_fragment_is_a_short_one() -> None:
    """A long one would wait for memory of its own, behind the memory of the message that it is part of."""
    assert FRAGMENT_BYTES + (1 << 10) <= LARGE_FRAME_BYTES


class Peers:
    """A server with little memory, and clients on hosts of their own."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop = loop
        self.hosts = {name: loop.add(Host(name, (name,), "a")) for name in ("1", "2", "3")}
        self.taken: list[int] = []
        self.server = PeerServer("two", {"take": self.take}, large_frames=ByteSemaphore(CAPACITY))

    async def take(self, body: Body) -> PeerResponse:
        self.taken.append(len(body.get("text", "")))
        return Ok(body)

    async def ask(self, name: str, link: Link, body: Body, limit: float) -> PeerResponse:
        return await self.loop.create_task(link.request("take", body, limit), context=self.hosts[name].context())

    async def open(self, name: str) -> Link:
        opened = await self.loop.create_task(Link.open("2:7", 3.0), context=self.hosts[name].context())
        return opened.unwrap()


def play(scene: Callable[[Peers], Awaitable[None]]) -> None:
    async def main(loop: SimLoop) -> None:
        peers = Peers(loop)
        await loop.create_task(peers.server.listen("2:7"), context=peers.hosts["2"].context())
        await scene(peers)
        await asyncio.sleep(1.0)  # the last response may have arrived just before its task ends
        assert peers.server.large_frames.used == 0

    run_sim(main)


def test_two_peers_whose_messages_fit_only_one_after_the_other() -> None:
    async def scene(peers: Peers) -> None:
        links = {name: await peers.open(name) for name in ("1", "3")}
        answers = await asyncio.gather(*(peers.ask(name, link, LONG, 20.0) for name, link in links.items()))
        assert [answer.unwrap() for answer in answers] == [LONG, LONG]

    play(scene)


def test_two_long_requests_of_one_link_are_not_mixed() -> None:
    async def scene(peers: Peers) -> None:
        link = await peers.open("1")
        other = {"text": "y" * (MAXIMUM_FRAME_BYTES + 2)}
        answers = await asyncio.gather(*(peers.ask("1", link, body, 20.0) for body in (LONG, other, LONG)))
        assert [answer.unwrap() for answer in answers] == [LONG, other, LONG]

    play(scene)


def test_a_request_that_is_given_up_leaves_its_link_and_the_memory_free() -> None:
    async def scene(peers: Peers) -> None:
        link = await peers.open("1")
        request = asyncio.ensure_future(peers.ask("1", link, LONG, 20.0))
        while not peers.server.large_frames.used:
            await asyncio.sleep(0.0001)
        request.cancel()
        await asyncio.sleep(1.0)
        assert (await peers.ask("1", link, {"text": "short"}, 3.0)).is_ok()
        assert (await peers.ask("1", link, LONG, 20.0)).unwrap() == LONG
        assert peers.taken[-2:] == [5, len(LONG["text"])]

    play(scene)


def test_the_memory_of_a_message_whose_rest_never_comes_is_free_in_time() -> None:
    async def scene(peers: Peers) -> None:
        link = await peers.open("1")
        first: Any = next(fragments_of(b"m" * CAPACITY))
        link.put("fragment", first)
        await asyncio.sleep(1.0)
        assert peers.server.large_frames.used == CAPACITY
        await asyncio.sleep(peer_server.LARGE_FRAME_TIMEOUT_S)
        assert peers.server.large_frames.used == 0
        assert (await peers.ask("1", link, LONG, 20.0)).unwrap() == LONG

    play(scene)


def test_the_memory_of_a_message_is_free_once_its_link_is_lost() -> None:
    async def scene(peers: Peers) -> None:
        link = await peers.open("1")
        link.put("fragment", next(fragments_of(b"m" * CAPACITY)))
        await asyncio.sleep(1.0)
        link.close()
        await asyncio.sleep(1.0)
        assert (await peers.ask("3", await peers.open("3"), LONG, 20.0)).unwrap() == LONG

    play(scene)

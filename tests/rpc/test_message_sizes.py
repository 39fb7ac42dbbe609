"""Messages fit into frames: what a message may grow with is bounded, and one that is too long ends nothing else."""

from __future__ import annotations

import asyncio
import copy
import json
from typing import Any

import pytest
from result import Ok

from postpass.control.messages import AppendRequest
from postpass.control.state import ReplicatedState
from postpass.membership import operator_changes
from postpass.membership.machine_registry import initial_configuration
from postpass.membership.registry import State
from postpass.rpc.codec import IDL, Body, PeerResponse, encode_body
from postpass.rpc.connection import MAXIMUM_REQUEST_BYTES
from postpass.rpc.framing import MAXIMUM_FRAME_BYTES
from postpass.rpc.peer_links import PeerLinks
from postpass.rpc.peer_server import PeerServer
from sim.loop import Host, SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter

LARGEST_DOCUMENT = 4 << 20  # bytes of a configuration that control accepts over HTTP

FIXED = "a few fields, or as many as there are members of a partition or of control"
PACKETS = "split into packets"
PIECES = "as many rows as fit, then the requester asks again (`ResponseBudget`)"
ONE_JOB = "one job, whose bytes the edge has bounded"
FLEET = "a few dozen bytes for each machine, worker or tenant"
STATE = "the whole configuration: bounded by nothing but what operators send"
BOUNDS = {
    "hi": FIXED, "carry": PACKETS, "ack": FIXED, "ping": STATE, "shuffle": FIXED, "follow": STATE, "floor": FLEET,
    "look": FIXED, "grant": FIXED, "copy": STATE, "adopt": FIXED, "apply": STATE, "read": STATE, "join": FIXED,
    "beat": FIXED, "order": STATE, "hear": FLEET, "promise": FIXED, "hello": FIXED, "fetch": PIECES, "submit": ONE_JOB,
    "show": FIXED, "page": PIECES, "finish": FIXED, "take": PIECES, "done": ONE_JOB, "claim": FIXED, "parts": FLEET,
    "accept": ONE_JOB, "results": PIECES, "item": ONE_JOB, "reserve": FLEET, "waiting": FLEET, "wake": FIXED,
    "share": FLEET, "holdings": FLEET,
}  # fmt: skip


def test_each_message_has_a_bound_and_six_have_none_but_the_configuration() -> None:
    """A new message has to be entered here, with what bounds it."""
    assert sorted(BOUNDS) == sorted(IDL.Peer.thrift_services)
    assert sum(bound is STATE for bound in BOUNDS.values()) == 6


def exchange(request: Body, response: Body) -> tuple[PeerResponse, PeerResponse, int]:
    """Sends a request while another one is pending on the same link.

    Returns the response to it, that to the other one, and how many links there were.
    """

    async def main(loop: SimLoop) -> tuple[PeerResponse, PeerResponse, int]:
        client, server = (loop.add(Host(n, (n,), "a")) for n in ("1", "2"))

        async def serve() -> PeerServer:
            async def take(_: Body) -> PeerResponse:
                return Ok(response)

            async def show(_: Body) -> PeerResponse:
                await asyncio.sleep(0.5)
                return Ok({"slow": 1})

            peer_server = PeerServer("two", {"take": take, "show": show})
            await peer_server.listen("2:7")
            return peer_server

        async def ask() -> tuple[PeerResponse, PeerResponse]:
            links = PeerLinks()
            slow = asyncio.create_task(links.request("2:7", "show", {}, 3.0))
            await asyncio.sleep(0.1)
            answer = await links.request("2:7", "take", request, 3.0)
            return answer, await slow

        peer_server = await loop.create_task(serve(), context=server.context())
        answer, slow = await loop.create_task(ask(), context=client.context())
        return answer, slow, len(peer_server.links)

    answer, slow, links = run_sim(main)
    return answer, slow, links


TOO_LONG = {"text": "x" * MAXIMUM_FRAME_BYTES}


@pytest.mark.parametrize(("request_body", "response"), [({}, TOO_LONG), (TOO_LONG, {})], ids=["response", "request"])
def test_a_message_that_is_too_long_is_a_fault_of_its_own_and_ends_no_other_request(
    request_body: Body, response: Body
) -> None:
    """It closed the link, and each request that was pending on it got a fault."""
    answer, slow, links = exchange(request_body, response)
    assert "bytes; a frame holds" in answer.unwrap_err().why
    assert slow.unwrap() == {"slow": 1}
    assert links == 1


def test_a_message_just_below_the_bound_gets_through() -> None:
    answer, _, _ = exchange({"text": "x" * (MAXIMUM_REQUEST_BYTES - 20)}, {"text": "x" * (MAXIMUM_REQUEST_BYTES - 20)})
    assert answer.is_ok()


def state_of(routes: int) -> tuple[int, int]:
    """Returns the bytes of an operator's document with so many routes, and of the request that brings a new backup the
    whole state with it."""
    wanted: Any = document(1)
    first = wanted["routes"][1]
    wanted["routes"] = [copy.deepcopy(first) | {"name": f"r{n}", "prefix": f"/prefix{n}/"} for n in range(routes)]
    state = State(1, initial_configuration([], ["a"], 1))
    configured = adapter("configuration").TRANSLATOR.terms(wanted).unwrap()
    state = operator_changes.with_configuration(state, configured, wanted, [])
    request = AppendRequest(1, "c1", 1, "", True, state_json=ReplicatedState(1, state=state).as_json())
    return len(json.dumps(wanted)), len(encode_body(request.as_json()))


def test_the_state_of_a_fleet_of_the_size_in_two_years_reaches_a_new_backup() -> None:
    _, request = state_of(6_400)
    assert request < MAXIMUM_REQUEST_BYTES


def test_the_state_with_the_largest_document_reaches_a_new_backup() -> None:
    """A document that is accepted but can't be copied would leave the state with one copy."""
    document_of_1000, request_of_1000 = state_of(1_000)
    routes = LARGEST_DOCUMENT * 1_000 // document_of_1000
    document_bytes, request = state_of(routes)
    assert document_bytes < LARGEST_DOCUMENT * 1.05
    assert request_of_1000 < MAXIMUM_REQUEST_BYTES
    assert request < MAXIMUM_REQUEST_BYTES

"""Messages fit into frames or come in fragments: what one may grow with is bounded, and one that is too long ends nothing
else."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

import pytest
from result import Ok

from postpass.control.messages import AppendRequest
from postpass.control.state import ReplicatedState
from postpass.membership import operator_changes
from postpass.membership.machine_registry import initial_configuration
from postpass.membership.registry import State
from postpass.rpc import fragments
from postpass.rpc.codec import FRAGMENTS_VERSION, IDL, WIRE_VERSIONS, Body, PeerResponse, encode_body
from postpass.rpc.connection import ENVELOPE_BYTES, MAXIMUM_REQUEST_BYTES, Link
from postpass.rpc.fragments import MAXIMUM_MESSAGE_BYTES
from postpass.rpc.framing import MAXIMUM_FRAME_BYTES
from postpass.rpc.peer_server import PeerServer
from sim.loop import Host, SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter
from tests.support.large_documents import ACCENTED, PLAIN, document_of

FIXED = "a few fields, or as many as there are members of a partition or of control"
PACKETS = "split into packets"
PIECES = "as many rows as fit, then the requester asks again (`ResponseBudget`)"
ONE_JOB = "one job, whose bytes the edge has bounded"
FLEET = "a few dozen bytes for each machine, worker or tenant"
STATE = "the whole configuration: bounded by nothing but what operators send"
BOUNDS = {
    "hi": FIXED, "fragment": PACKETS, "carry": PACKETS, "ack": FIXED, "ping": STATE, "shuffle": FIXED, "follow": STATE, "floor": FLEET,
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


def exchange(
    request: Body, response: Body, wire_versions: tuple[int, int] = WIRE_VERSIONS
) -> tuple[PeerResponse, PeerResponse, int]:
    """Sends a request while another one is pending on the same link, from a peer of these wire versions.

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
            link = (await Link.open("2:7", 3.0, wire_versions)).unwrap()
            slow = asyncio.create_task(link.request("show", {}, 3.0))
            await asyncio.sleep(0.1)
            answer = await link.request("take", request, 3.0)
            return answer, await slow

        peer_server = await loop.create_task(serve(), context=server.context())
        answer, slow = await loop.create_task(ask(), context=client.context())
        return answer, slow, len(peer_server.links)

    answer, slow, links = run_sim(main)
    return answer, slow, links


LONGER_THAN_A_FRAME = {"text": "x" * MAXIMUM_FRAME_BYTES}
BEFORE_FRAGMENTS = (1, FRAGMENTS_VERSION - 1)


@pytest.mark.parametrize("wire_versions", [BEFORE_FRAGMENTS, WIRE_VERSIONS], ids=["one-frame", "fragments"])
@pytest.mark.parametrize("is_response", [True, False], ids=["response", "request"])
def test_a_message_that_is_too_long_is_a_fault_of_its_own_and_ends_no_other_request(
    is_response: bool, wire_versions: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """It closed the link, and each request that was pending on it got a fault."""
    monkeypatch.setattr(fragments, "MAXIMUM_MESSAGE_BYTES", 2 * MAXIMUM_FRAME_BYTES)
    too_long = {"text": "x" * (MAXIMUM_FRAME_BYTES if wire_versions == BEFORE_FRAGMENTS else 2 * MAXIMUM_FRAME_BYTES)}
    answer, slow, links = exchange(*(({}, too_long) if is_response else (too_long, {})), wire_versions)
    holder = "a frame holds" if wire_versions == BEFORE_FRAGMENTS else "the longest message has"
    assert f"bytes; {holder}" in answer.unwrap_err().why
    assert slow.unwrap() == {"slow": 1}
    assert links == 1


# Guards against a state or document that is longer than a frame, and so reaches no other process at all.
@pytest.mark.parametrize(
    ("request_body", "response"),
    [({}, LONGER_THAN_A_FRAME), (LONGER_THAN_A_FRAME, {}), (LONGER_THAN_A_FRAME, LONGER_THAN_A_FRAME)],
    ids=["response", "request", "both"],
)
def test_a_message_that_is_longer_than_a_frame_gets_through_beside_others(request_body: Body, response: Body) -> None:
    answer, slow, links = exchange(request_body, response)
    assert answer.unwrap() == response
    assert slow.unwrap() == {"slow": 1}
    assert links == 1


def test_a_message_just_below_the_bound_gets_through() -> None:
    answer, _, _ = exchange({"text": "x" * (MAXIMUM_REQUEST_BYTES - 20)}, {"text": "x" * (MAXIMUM_REQUEST_BYTES - 20)})
    assert answer.is_ok()


def state_with(source: Any) -> Body:
    """The request that brings a new backup the whole state with an operator's document."""
    state = State(1, initial_configuration([], ["a"], 1))
    configured = adapter("configuration").TRANSLATOR.terms(source).unwrap()
    state = operator_changes.with_configuration(state, configured, source, [])
    return AppendRequest(1, "c1", 1, "", True, state_json=ReplicatedState(1, state=state).as_json()).as_json()


def test_the_state_of_a_fleet_of_the_size_in_two_years_reaches_a_new_backup() -> None:
    source: Any = document(1)
    first = source["routes"][1]
    source["routes"] = [copy.deepcopy(first) | {"name": f"r{n}", "prefix": f"/prefix{n}/"} for n in range(6_400)]
    assert len(encode_body(state_with(source))) < MAXIMUM_REQUEST_BYTES


@pytest.mark.parametrize("text", [PLAIN, ACCENTED])
def test_the_state_with_the_largest_document_reaches_a_new_backup(text: str) -> None:
    """A document that is accepted but can't be copied would leave the state with one copy."""
    request = state_with(document_of(1, text))
    assert len(encode_body(request)) > MAXIMUM_REQUEST_BYTES
    answer, _, _ = exchange(request, {})
    assert answer.is_ok()


def test_six_messages_with_the_largest_state_twice_are_still_shorter_than_the_longest_message() -> None:
    """Whatever else of `STATE` a message carries, the two forms of a document are less than the state's request."""
    assert 2 * len(encode_body(state_with(document_of(1, ACCENTED)))) < MAXIMUM_MESSAGE_BYTES - ENVELOPE_BYTES

"""Crowds of clients at one edge. The numbers of members and the sizes are fixed: they stay as they are."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

import pytest

from tests.crowds.clients import HOST, Member, in_pieces, open_crowd, ordinary_request, request_head, run_crowd
from tests.crowds.deployment import FRONT_PORT, MAX_BODY_BYTES, MAX_FDS, READY_PORT, Machine
from tests.crowds.judgement import assert_serves

LIVE, JOBS = "/live/crowd", "/jobs/crowd"
TRAILER_BYTES = 64 << 20  # of one member
TRAILER_LINE_BYTES = 32 << 20  # of one member
TRAILER_LINE_MEMBERS = 4
BODY_MEMBERS = 200
SMALL_CHUNK_MEMBERS = 120
PIPELINE_MEMBERS = 8
PIPELINE_BYTES = 4 << 20  # of one member
IDLE_MEMBERS = MAX_FDS * 2
REFUSED_BYTES = 64 << 20  # that one member goes on to send after a refusal
CLOSE_LIMIT_S = 120.0  # in which a connection ends that a limit on time must end; far above that limit


def front(edge: Machine) -> str:
    return f"{edge.ip}:{FRONT_PORT}"


def close_all(members: list[Member]) -> None:
    for member in members:
        member.close()


def judge(edge: Machine, members: list[Member]) -> None:
    """Lets the crowd send; judges the edge while the crowd stays open, and once it has gone."""
    try:
        run_crowd(members)
        assert_serves(edge)
    finally:
        close_all(members)
    assert_serves(edge)


def chunked_head(path: str, number: int) -> bytes:
    return request_head(path, number, "Transfer-Encoding: chunked")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def test_trailers_without_end(edge: Machine) -> None:
    line = b"x-trailer: " + b"t" * 67 + b"\r\n"
    block = line * 800

    def pieces(number: int) -> Iterable[bytes]:
        start = chunked_head(LIVE, number) + chunk(b"body") + b"0\r\n"
        return itertools.chain([start], itertools.repeat(block, TRAILER_BYTES // len(block)))

    judge(edge, open_crowd(front(edge), 1, pieces))


def test_a_trailer_line_without_end(edge: Machine) -> None:
    def pieces(number: int) -> Iterable[bytes]:
        start = chunked_head(LIVE, number) + chunk(b"body") + b"0\r\nx-trailer: "
        return itertools.chain([start], itertools.repeat(b"t" * (64 << 10), TRAILER_LINE_BYTES // (64 << 10)))

    judge(edge, open_crowd(front(edge), TRAILER_LINE_MEMBERS, pieces))


def whole_body(path: str, number: int) -> Iterable[bytes]:
    """Sends a body of the largest size, with a length, and stops one byte short."""
    head = request_head(path, number, f"Content-Length: {MAX_BODY_BYTES}")
    return [head + b"b" * (MAX_BODY_BYTES - 1)]


def body_in_pieces(path: str, number: int) -> Iterable[bytes]:
    return in_pieces(b"".join(whole_body(path, number)))


def large_chunks(path: str, number: int) -> Iterable[bytes]:
    half = b"b" * (MAX_BODY_BYTES // 2)
    return [chunked_head(path, number) + chunk(half) + b"%x\r\n" % len(half) + half[:-1]]


def small_chunks(path: str, number: int) -> Iterable[bytes]:
    block = chunk(b"bb") * 4096
    count = MAX_BODY_BYTES // (2 * 4096)
    start, rest = [chunked_head(path, number)], chunk(b"bb") * 4095
    return itertools.chain(start, itertools.repeat(block, count - 1), [rest])


SHAPES: dict[str, Callable[[str, int], Iterable[bytes]]] = {
    "whole": whole_body,
    "in-pieces": body_in_pieces,
    "large-chunks": large_chunks,
}


@pytest.mark.parametrize("shape", list(SHAPES))
@pytest.mark.parametrize("path", [LIVE, JOBS], ids=["live", "jobs"])
def test_bodies_of_the_largest_size_that_stop_short(edge: Machine, path: str, shape: str) -> None:
    judge(edge, open_crowd(front(edge), BODY_MEMBERS, lambda number: SHAPES[shape](path, number)))


@pytest.mark.parametrize("path", [LIVE, JOBS], ids=["live", "jobs"])
def test_bodies_in_very_small_chunks_that_stop_short(edge: Machine, path: str) -> None:
    judge(edge, open_crowd(front(edge), SMALL_CHUNK_MEMBERS, lambda number: small_chunks(path, number)))


def test_pipelined_requests_whose_sender_does_not_read(edge: Machine) -> None:
    request = f"GET /live/p HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    block = request * 1000

    def pieces(number: int) -> Iterable[bytes]:
        return itertools.repeat(block, PIPELINE_BYTES // len(block))

    members = open_crowd(front(edge), PIPELINE_MEMBERS, pieces, reads=False)
    for member in members:
        member.limit_s = 5.0  # the server may stop reading; then this member stays as it is
    judge(edge, members)


def test_idle_connections(edge: Machine) -> None:
    members = open_crowd(front(edge), IDLE_MEMBERS, lambda number: [])
    judge(edge, members)


def test_idle_connections_at_the_readiness_check(edge: Machine) -> None:
    members = open_crowd(f"{edge.ip}:{READY_PORT}", IDLE_MEMBERS, lambda number: [])
    judge(edge, members)


def test_a_sender_that_goes_on_after_a_refusal(edge: Machine) -> None:
    head = request_head(LIVE, 0, f"Content-Length: {REFUSED_BYTES}")
    piece = b"b" * (64 << 10)
    members = open_crowd(
        front(edge), 1, lambda number: itertools.chain([head], itertools.repeat(piece, REFUSED_BYTES // len(piece)))
    )
    try:
        run_crowd(members)
        assert members[0].closed_by_server, "everything was read on after the refusal"
        assert_serves(edge)
    finally:
        close_all(members)


@pytest.mark.parametrize("path", [LIVE, JOBS, "/v1/calls", "/v1/lots"], ids=["live", "jobs", "calls", "lots"])
def test_a_body_that_stops_short_is_ended(edge: Machine, path: str) -> None:
    head = request_head(path, 0, "Content-Length: 100", "Postpass-Deadline-Ms: 600000")
    members = open_crowd(front(edge), 1, lambda number: [head + b"b" * 99])
    try:
        run_crowd(members)
        assert members[0].wait_for_close(CLOSE_LIMIT_S), "the connection stays open"
        assert_serves(edge)
    finally:
        close_all(members)


@pytest.mark.parametrize("shape", ["length", "one-byte chunks"])
def test_one_body_of_the_largest_size_is_served_in_calm(edge: Machine, shape: str) -> None:
    body = b"b" * MAX_BODY_BYTES
    if shape == "length":
        assert ordinary_request(front(edge), 1, body).status == 200
        return
    data = chunked_head(LIVE, 1) + chunk(b"b") * MAX_BODY_BYTES + b"0\r\n\r\n"
    (member,) = open_crowd(front(edge), 1, lambda number: in_pieces(data), reads=False)
    run_crowd([member])
    member.socket.settimeout(CLOSE_LIMIT_S)
    assert member.socket.recv(1 << 16).startswith(b"HTTP/1.1 200 ")
    member.close()

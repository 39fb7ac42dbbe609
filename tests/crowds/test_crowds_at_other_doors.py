"""Crowds at control, at the ports of peers, and of whole jobs, which reach the stores. Numbers and sizes are fixed."""

from __future__ import annotations

import base64
import json
import struct
import time

import pytest

from tests.crowds.clients import HOST, call, call_as_json, in_pieces, open_crowd, request_head, run_crowd
from tests.crowds.deployment import CONTROL_PORT, FRONT_PORT, PEER_PORT, Deployment, Machine, configuration
from tests.crowds.judgement import assert_serves, assert_within_limits

ORDER_BYTES = 4 << 20  # the largest order that control accepts
ORDER_MEMBERS = 60
FRAME_BYTES = 8 << 20  # the largest frame that peers accept
FRAME_MEMBERS = 40
JOB_MEMBERS = 150
JOB_ITEMS = 200
ITEM_BYTES = 3500  # of its body, before base64: the whole job is close to the largest body
IDLE_MEMBERS = 600


def job(number: int) -> bytes:
    """Returns a whole legal job of almost the largest size."""
    body = base64.b64encode(b"i" * ITEM_BYTES).decode()
    items = [
        {"id": f"i{number}-{i}", "path": "/jobs/item", "headers": {}, "body": body, "tokens": 10}
        for i in range(JOB_ITEMS)
    ]
    return json.dumps({"items": items}).encode()


def assert_all_within_limits(deployment: Deployment) -> None:
    for machine in deployment.machines:
        if machine.alive():
            assert_within_limits(machine)


def test_whole_legal_jobs_at_once(deployment: Deployment, edge: Machine) -> None:
    def pieces(number: int) -> list[bytes]:
        data = job(number)
        head = request_head(f"/jobs/{number}", number, f"Content-Length: {len(data)}", "Content-Type: application/json")
        return [head + data]

    members = open_crowd(f"{edge.ip}:{FRONT_PORT}", JOB_MEMBERS, pieces)
    try:
        run_crowd(members)
        statuses = []
        for member in members:
            member.socket.settimeout(60.0)
            try:
                head = member.socket.recv(1 << 12)
            except OSError:
                head = b""
            statuses.append(int(head.split()[1]) if head.startswith(b"HTTP/1.1 ") else 0)
        assert_all_within_limits(deployment)
    finally:
        for member in members:
            member.close()
    assert_serves(edge)
    headers = {"Host": HOST}
    for number, status in enumerate(statuses):
        if status == 202:
            answer = call(f"{edge.ip}:{FRONT_PORT}", "GET", f"/-/lots/crowd-{number}?startAfter=0", headers=headers)
            assert answer.status in (200, 503), f"job {number} was accepted, then answered with {answer.status}"
    assert_all_within_limits(deployment)


def test_orders_of_the_largest_size_that_stop_short(deployment: Deployment, edge: Machine) -> None:
    core = deployment.of("core")[0]

    def pieces(number: int) -> list[bytes]:
        head = f"PUT /-/config HTTP/1.1\r\nHost: control\r\nIf-Match: 3\r\nContent-Length: {ORDER_BYTES}\r\n\r\n"
        return list(in_pieces(head.encode() + b" " * (ORDER_BYTES - 1)))

    members = open_crowd(f"{core.ip}:{CONTROL_PORT}", ORDER_MEMBERS, pieces)
    try:
        run_crowd(members)
        assert_within_limits(core)
        order = configuration()
        answer = call_as_json(f"{core.ip}:{CONTROL_PORT}", "PUT", "/-/config", order, {"If-Match": "0"})
        assert answer.status == 200, f"the order in force, sent again, got {answer.status}"
    finally:
        for member in members:
            member.close()
    assert_within_limits(core)
    assert_serves(edge)


@pytest.mark.parametrize("role", ["edge", "store", "core"])
def test_frames_before_any_handshake(deployment: Deployment, edge: Machine, role: str) -> None:
    machine = edge if role == "edge" else deployment.of(role)[0]
    data = struct.pack("!i", FRAME_BYTES) + b"f" * (FRAME_BYTES - 1)
    members = open_crowd(f"{machine.ip}:{PEER_PORT}", FRAME_MEMBERS, lambda number: in_pieces(data))
    try:
        run_crowd(members)
        assert_within_limits(machine)
    finally:
        for member in members:
            member.close()
    assert_within_limits(machine)
    assert_serves(edge)


@pytest.mark.parametrize(("role", "port"), [("core", CONTROL_PORT), ("core", PEER_PORT), ("store", PEER_PORT)])
def test_idle_connections(deployment: Deployment, edge: Machine, role: str, port: int) -> None:
    machine = deployment.of(role)[1]
    members = open_crowd(f"{machine.ip}:{port}", IDLE_MEMBERS, lambda number: [])
    try:
        run_crowd(members)
        time.sleep(1.0)  # the connections stay open for a while
        assert_within_limits(machine)
    finally:
        for member in members:
            member.close()
    assert_serves(edge)

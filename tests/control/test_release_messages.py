"""The typed messages of control decode what the previous release recorded, and encode it to the same bytes."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from postpass.control.messages import (
    AppendAnswer,
    AppendRequest,
    GrantRequest,
    HeartbeatReport,
    HeartbeatReportAnswer,
    VoteAnswer,
    prepare_request_from_json,
)
from postpass.control.order_messages import OrderAnswer, WorkerHeartbeat, order_of
from postpass.control.read_messages import ReadRequest, RevisionAnswer, SourceAnswer
from postpass.rpc.codec import Body
from tests.support.peer_frames import CALL, REPLY, Frame

RECORDED = Path(__file__).parents[1] / "data" / "ce9bbc7" / "frames.json"
FRAMES = [Frame.from_json(raw) for raw in json.loads(RECORDED.read_text())]
FORWARDING_KEYS = ("passed", "relayed")  # set by a member that forwards a message; not part of the message itself


def append_answer_of(body: Body) -> AppendAnswer:
    """Decodes a recorded answer; it contains the epoch, so the epoch of the request is not used."""
    return AppendAnswer.from_json(body, 0)


def read_answer_of(body: Body) -> Any:
    """Decodes the answer to a recorded read, which asks for a revision or for the document."""
    if "source" in body:
        return SourceAnswer(body["edition"], body["source"], body["version"])
    return RevisionAnswer.from_json(body)


@pytest.mark.parametrize(
    ("verb", "direction", "decode"),
    [
        ("look", CALL, prepare_request_from_json),
        ("look", REPLY, VoteAnswer.from_json),
        ("grant", CALL, GrantRequest.from_json),
        ("grant", REPLY, VoteAnswer.from_json),
        ("copy", CALL, AppendRequest.from_json),
        ("copy", REPLY, append_answer_of),
        ("hear", CALL, HeartbeatReport.from_json),
        ("hear", REPLY, HeartbeatReportAnswer.from_json),
        ("order", CALL, order_of),
        ("order", REPLY, OrderAnswer.from_json),
        ("beat", CALL, WorkerHeartbeat.from_json),
        ("beat", REPLY, RevisionAnswer.from_json),
        ("join", REPLY, RevisionAnswer.from_json),
        ("read", CALL, ReadRequest.from_json),
        ("read", REPLY, read_answer_of),
    ],
)
def test_a_recorded_message_is_read_and_written_as_it_was(
    verb: str, direction: str, decode: Callable[[Body], Any]
) -> None:
    frames = [f for f in FRAMES if f.verb == verb and f.direction == direction and f.value.get("fault") is None]
    assert frames, f"no {verb} {direction} is recorded"
    for frame in frames:
        body = frame.body["json"]
        forwarding = {key: body[key] for key in FORWARDING_KEYS if key in body}
        written = decode(body).as_json() | forwarding
        assert json.dumps(written, separators=(",", ":")).encode() in frame.data

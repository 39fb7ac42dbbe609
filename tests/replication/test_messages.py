"""Tests of postpass.replication.messages: the JSON keys and their order stay as peers of other releases expect them."""

from __future__ import annotations

import json

import pytest

from postpass.replication.messages import (
    BasePiece,
    FetchAnswer,
    FetchRequest,
    Hello,
    HelloAnswer,
    LogPosition,
    PromiseAnswer,
    PromiseRequest,
)
from postpass.replication.record_log import Record
from postpass.rpc.codec import Body

Message = PromiseRequest | PromiseAnswer | Hello | HelloAnswer | FetchRequest | FetchAnswer
WIRE: list[tuple[Message, str]] = [
    (FetchRequest(3, 7, 4, 0), '{"part": 3, "epoch": 7, "after": 4, "at": 0}'),
    (FetchAnswer([Record(5, 6, "mark", b"{}")]), '{"recs": [[5, 6, "mark", "e30="]]}'),
    (FetchAnswer([], BasePiece(4, 6, 9, b"abc")), '{"recs": [], "base": [4, 6, 9, "YWJj"]}'),
    (PromiseRequest(3, "s1", 0, 7, True), '{"part": 3, "who": "s1", "hand": 0, "epoch": 7, "probe": 1}'),
    (PromiseRequest(3, "s1", 6, 7, False), '{"part": 3, "who": "s1", "hand": 6, "epoch": 7, "probe": 0}'),
    (PromiseAnswer("d1", 7, False), '{"disk": "d1", "promised": 7, "ok": false}'),
    (
        PromiseAnswer("d1", 7, True, LogPosition(6, 9), [(0, 0), (6, 4)]),
        '{"disk": "d1", "promised": 7, "ok": true, "last": 9, "last_epoch": 6, "marks": [[0, 0], [6, 4]]}',
    ),
    (Hello(3, 7, "s1"), '{"part": 3, "epoch": 7, "who": "s1"}'),
    (Hello(3, 7, "s1", failed_disk="d2"), '{"part": 3, "epoch": 7, "who": "s1", "spoiled": "d2"}'),
    (Hello(3, 7, "s1", confirm=True), '{"part": 3, "epoch": 7, "who": "s1", "confirm": 1}'),
    (Hello(3, 7, "s1", handover=True), '{"part": 3, "epoch": 7, "who": "s1", "hand": 1}'),
    (Hello(3, 7, "s1", handover_offer=True), '{"part": 3, "epoch": 7, "who": "s1", "offer": 1}'),
    (HelloAnswer("d1", 7, False), '{"disk": "d1", "promised": 7, "ok": false}'),
    (
        HelloAnswer("d1", 7, True, 0, [(0, 0)]),
        '{"disk": "d1", "promised": 7, "ok": true, "last": 0, "marks": [[0, 0]]}',
    ),
]


@pytest.mark.parametrize(("message", "wire"), WIRE)
def test_messages_keep_their_keys_and_order(message: Message, wire: str) -> None:
    body: Body = message.encode()
    assert json.dumps(body) == wire
    assert type(message).decode(json.loads(wire)) == message

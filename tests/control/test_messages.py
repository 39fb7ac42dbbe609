"""The messages between control members: their keys on the wire, in the order of release 0.2.0."""

from __future__ import annotations

import json
from typing import Any

import pytest

from postpass.control.epochs import ReplicaSet
from postpass.control.journal import Change, JournalError, Position
from postpass.control.messages import (
    AdoptAnswer,
    AdoptRequest,
    AppendAnswer,
    AppendRequest,
    GrantRequest,
    HeartbeatReport,
    HeartbeatReportAnswer,
    PrepareRequest,
    PreVoteRequest,
    VoteAnswer,
    prepare_request_from_json,
)

REPLICA_SET = ReplicaSet(3, "c1", ("c2",), {"c1": "d1"}, {"c1": "d0"})
REPLICA_SET_JSON = (
    '{"epoch": 3, "primary": "c1", "backups": ["c2"], "voters": {"c1": "d1"}, "previous_voters": {"c1": "d0"}}'
)
VOTE_ANSWER = VoteAnswer(True, "d1", 4, REPLICA_SET, 3, 7, 6, False)
POSITION = Position(3, 7, "00ab")
CHANGE = Change(Position(3, 6, "00aa"), POSITION, [])


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (PreVoteRequest("c1"), '{"probe": 1, "who": "c1"}'),
        (PrepareRequest("c1", 4), '{"epoch": 4, "who": "c1"}'),
        (PrepareRequest("c1", 4, handover=True), '{"epoch": 4, "who": "c1", "handover": 1}'),
        (GrantRequest("c1", REPLICA_SET), f'{{"pair": {REPLICA_SET_JSON}, "who": "c1"}}'),
        (
            VOTE_ANSWER,
            f'{{"disk": "d1", "promised": 4, "pair": {REPLICA_SET_JSON}, "whole": 3, "edition": 7, "news": 6, "leaving": false, "ok": true}}',
        ),
        (
            AppendRequest(3, "c1", 7, "h:1", granted=True),
            '{"epoch": 3, "who": "c1", "edition": 7, "at": "h:1", "granted": true}',
        ),
        (
            AppendRequest(3, "c1", 7, "h:1", granted=False, state_json={"whole": 3}),
            '{"epoch": 3, "who": "c1", "edition": 7, "at": "h:1", "granted": false, "held": {"whole": 3}}',
        ),
        (
            AppendRequest(3, "c1", 7, "h:1", granted=True, change_json=CHANGE.as_json()),
            '{"epoch": 3, "who": "c1", "edition": 7, "at": "h:1", "granted": true, '
            '"change": {"base": [3, 6, "00aa"], "position": [3, 7, "00ab"], "delta": []}}',
        ),
        (
            AppendAnswer(True, 3, 4, "d1", leaving=False),
            '{"ok": true, "epoch": 3, "promised": 4, "disk": "d1", "leaving": false}',
        ),
        (
            AppendAnswer(True, 3, 4, "d1", leaving=True, position=POSITION),
            '{"ok": true, "epoch": 3, "promised": 4, "disk": "d1", "leaving": true, "holds": [3, 7, "00ab"]}',
        ),
        (AdoptRequest(3), '{"epoch": 3}'),
        (AdoptAnswer(False), '{"ok": false}'),
        (
            HeartbeatReport({"w1": 0.5}, {"e1": 0.25}, "c2"),
            '{"beats": {"w1": 0.5}, "spoke": {"e1": 0.25}, "who": "c2"}',
        ),
        (HeartbeatReportAnswer(True), '{"leads": true}'),
    ],
)
def test_a_message_has_the_keys_of_the_wire_and_is_read_from_them(message: Any, wire: str) -> None:
    assert json.dumps(message.as_json()) == wire
    body = json.loads(wire)
    if isinstance(message, PreVoteRequest | PrepareRequest):
        assert prepare_request_from_json(body) == message
    elif isinstance(message, AppendAnswer):
        assert AppendAnswer.from_json(body, 0) == message
    else:
        assert type(message).from_json(body) == message


def test_what_releases_before_0_3_leave_out_is_filled_in() -> None:
    replica_set = {"epoch": 3, "primary": "c1", "backup": "c2", "voters": {"c1": "d1"}}
    legacy_json = {"disk": "d1", "promised": 4, "pair": replica_set, "whole": 3, "edition": 7, "news": 6, "ok": True}
    answer = VoteAnswer.from_json(legacy_json)
    assert not answer.leaving and answer.replica_set == ReplicaSet(3, "c1", ("c2",), {"c1": "d1"})
    assert AppendRequest.from_json({"epoch": 3, "who": "c1"}) == AppendRequest(3, "c1", 0, "", granted=True)
    assert AppendAnswer.from_json({"ok": True, "promised": 4, "disk": "d1"}, 9).epoch == 9


def test_a_garbled_position_names_no_state_and_a_garbled_change_is_refused() -> None:
    body = {"ok": True, "epoch": 3, "promised": 4, "disk": "d1", "holds": ["x"]}
    assert AppendAnswer.from_json(body, 3).position is None
    request = AppendRequest.from_json({"epoch": 3, "change": {"delta": 1}})
    assert not request.is_heartbeat
    with pytest.raises(JournalError):
        request.change()

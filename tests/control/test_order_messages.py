"""Messages that members forward to the primary: their JSON keys, in the order of release 0.2.0."""

from __future__ import annotations

import json
from typing import Any

import pytest

from postpass.control.order_messages import (
    ApplyRequest,
    DocumentOrder,
    EvacuationOrder,
    FenceQuery,
    OrderAnswer,
    OrderFence,
    RetirementAnswer,
    RetirementOrder,
    RetirementQuery,
    UnknownOrder,
    WorkerHeartbeat,
    order_of,
)
from postpass.control.read_messages import ConfigurationAnswer, ReadRequest, RevisionAnswer, SourceAnswer


@pytest.mark.parametrize(
    ("order", "json_text"),
    [
        (DocumentOrder({"pool": 1}, 3, is_patch=False), '{"what": "source", "source": {"pool": 1}, "base": 3}'),
        (DocumentOrder([1], 3, is_patch=True), '{"what": "patch", "source": [1], "base": 3}'),
        (EvacuationOrder("a", evacuated=True), '{"what": "evacuate", "area": "a"}'),
        (EvacuationOrder("a", evacuated=False), '{"what": "return", "area": "a"}'),
        (RetirementOrder("s1"), '{"what": "retire", "name": "s1"}'),
        (RetirementQuery("s1"), '{"what": "retired", "name": "s1"}'),
        (FenceQuery(), '{"what": "fence"}'),
    ],
)
def test_an_order_is_written_with_its_json_keys_and_read_from_them(order: Any, json_text: str) -> None:
    assert json.dumps(order.as_json()) == json_text
    assert order_of(json.loads(json_text)) == order and order.kind == json.loads(json_text)["what"]


def test_an_order_of_another_release_is_read_as_an_unknown_order() -> None:
    assert order_of({"what": "later"}) == UnknownOrder("later")


@pytest.mark.parametrize(
    ("message", "json_text"),
    [
        (OrderFence(7, 3), '{"fence": [7, 3]}'),
        (ApplyRequest({"name": "x"}, 2), '{"manifest": {"name": "x"}, "base": 2}'),
        (OrderAnswer(7, ["e1"]), '{"edition": 7, "waits": ["e1"]}'),
        (ReadRequest(), "{}"),
        (ReadRequest(brief=True, wait=0.5), '{"brief": 1, "wait": 0.5}'),
        (ReadRequest(source=True), '{"source": 1}'),
        (RevisionAnswer(7), '{"edition": 7}'),
        (ConfigurationAnswer(7, None, 1), '{"edition": 7, "manifest": null, "losses": 1}'),
        (WorkerHeartbeat("w1", None, 0), '{"who": "w1", "standing": null, "seqno": 0}'),
    ],
)
def test_a_message_is_written_with_its_json_keys_and_read_from_them(message: Any, json_text: str) -> None:
    assert json.dumps(message.as_json()) == json_text
    assert type(message).from_json(json.loads(json_text)) == message


def test_answers_that_are_only_written_have_their_json_keys() -> None:
    assert json.dumps(SourceAnswer(7, {"a": 1}, 3).as_json()) == '{"edition": 7, "source": {"a": 1}, "version": 3}'
    assert RetirementAnswer(True).as_json() == {"done": True}


def test_a_worker_that_ended_leaves() -> None:
    assert WorkerHeartbeat("w1", None, 0).leaves


def test_an_order_of_an_earlier_release_has_no_fence() -> None:
    assert OrderFence.from_json(EvacuationOrder("a", evacuated=True).as_json()) is None

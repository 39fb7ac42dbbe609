"""Deliberately broken variants of the product, which the properties of responses and of items must detect.

Each variant runs in a scene that the correct product passes (tests/gateway/test_answers.py, tests/batch/test_item_answers.py).
A property that can't fail proves nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from postpass.batch import item_request
from postpass.batch.item_request import EventReader
from postpass.batch.item_run import ItemRunner
from postpass.configuration.header_names import Dialect
from postpass.gateway import answer_delivery, attempts, relay, upstream_connection
from postpass.gateway.answer_delivery import AnswerDelivery
from postpass.gateway.event_stream import EventStream
from postpass.gateway.exchange import Exchange
from postpass.gateway.http_headers import RESPONSE_CONNECTION_HEADERS, HeaderNames
from postpass.gateway.relay import Relay
from postpass.gateway.response_check import Proof, ResponseCheck, check_response
from postpass.gateway.upstream_connection import UpstreamConnection
from postpass.http_server.refusal import refusal_response
from postpass.runtime.errors import FaultError
from tests.gateway.test_answers import quick_collections
from tests.support import answers
from tests.support.answers import EVENTS, Ask, Connection, Play, Scene, chunk, event, judge, run_scene
from tests.support.http_limits import protocol_under
from tests.support.item_answers import ItemScene, judge_items, run_items

__all__ = ["quick_collections"]

Patch = Callable[[pytest.MonkeyPatch], None]


# --- responses to clients
def skip_id_comparison(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_connection, "has_only_value", lambda *_: True)


def repeat_any_request(monkeypatch: pytest.MonkeyPatch) -> None:
    original = attempts.next_relayed_attempt
    monkeypatch.setattr(
        relay,
        "next_relayed_attempt",
        lambda log, **kwargs: original(log, **kwargs | {"repeatable": True, "max_runs": 3}),
    )


def treat_cut_as_end(monkeypatch: pytest.MonkeyPatch) -> None:
    original = UpstreamConnection.fail

    def fail(self: UpstreamConnection, step: str, why: str, *rest: Any, **kwargs: Any) -> None:
        if step == "body" and self.exchange is not None:
            self.keep_alive = False
            self.finish()
        else:
            original(self, step, why, *rest, **kwargs)

    monkeypatch.setattr(UpstreamConnection, "fail", fail)
    # The header with the length would reveal that the response was cut off.
    monkeypatch.setattr(
        answer_delivery, "RESPONSE_CONNECTION_HEADERS", RESPONSE_CONNECTION_HEADERS | {b"content-length"}
    )


def treat_any_refusal_as_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    def check(status: int, headers: Any, names: Any) -> ResponseCheck:
        result = check_response(status, headers, names)
        return ResponseCheck(Proof.NOT_RUN) if result.proof is Proof.NONE and status == 503 else result

    monkeypatch.setattr(relay, "check_response", check)


def treat_garbled_refusal_as_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Relay.read_refusal

    async def read_refusal(self: Relay, exchange: Exchange) -> None:
        try:
            await original(self, exchange)
        except FaultError:
            pass

    monkeypatch.setattr(Relay, "read_refusal", read_refusal)


def accept_any_head(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(relay, "check_response", lambda *_: ResponseCheck(Proof.ANSWER))


def hide_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    original = AnswerDelivery.send_head

    async def send_head(self: AnswerDelivery, request: Any, exchange: Exchange, joined: bool) -> None:
        exchange.status = 200 if exchange.status == 422 else exchange.status
        await original(self, request, exchange, joined)

    monkeypatch.setattr(AnswerDelivery, "send_head", send_head)


def omit_retry_after(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Relay, "retry_after", lambda *_: (b"x-nothing", b""))


def write_into_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(limits: Any, silence: float) -> type[HttpToolsProtocol]:
        original_protocol: Any = protocol_under(limits, silence)

        class Broken(original_protocol):  # type: ignore[misc]
            def refuse(self, status: int) -> None:
                self.refused = True
                self.transport.write(refusal_response(status))
                self.transport.close()

        return Broken

    monkeypatch.setattr(answers, "protocol_under", broken)


def join_any_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Doesn't tell the next worker from which event to continue, and doesn't check from which one it continues."""
    original_names, original_resume = HeaderNames.__init__, EventStream.resume

    def names(self: HeaderNames, dialect: Dialect) -> None:
        original_names(self, dialect)
        self.last_event = b"x-nothing"

    def resume(self: EventStream) -> None:
        original_resume(self)
        self.joined = True

    monkeypatch.setattr(HeaderNames, "__init__", names)
    monkeypatch.setattr(EventStream, "resume", resume)


def scene(path: str, *plays: Play, junk: bool = False) -> Scene:
    """Returns a scene with one request, and one worker for each play."""
    return Scene(tuple((play,) for play in plays), (Connection((Ask("c0", path),), junk=junk),))


CUT, LATE_CUT, UNPROVED = Play(cut=5), Play(framing="chunked", cut=-20), Play("unproved full")
GARBLED = Play("full", framing="bad chunk")
RESPONSE_VARIANTS: dict[str, tuple[Patch, Scene, str]] = {
    "another's answer": (skip_id_comparison, scene("/o/x", Play(identity="swapped")), "an answer to"),
    "twice": (repeat_any_request, scene("/o/x", CUT, CUT), "ran at"),
    "a cut that looks whole": (treat_cut_as_end, scene("/o/x", LATE_CUT), "cut, but looks whole"),
    "any refusal": (treat_any_refusal_as_proof, scene("/o/x", UNPROVED, UNPROVED), "ran at"),
    "a garbled refusal": (treat_garbled_refusal_as_proof, scene("/o/x", GARBLED, GARBLED), "ran at"),
    "a success without a seal": (accept_any_head, scene("/o/x", Play("unsealed")), "without a seal"),
    "a false promise": (accept_any_head, scene("/o/x", UNPROVED), "and ran"),
    "a failure turned": (hide_failures, scene("/o/x", Play("never")), "where its worker said never"),
    "no time": (omit_retry_after, scene("/o/x", Play("full")), "without Retry-After"),
    "written into": (write_into_responses, scene("/o/x", Play(delay=0.1), junk=True), "a proper request, got 400"),
    "joined wrongly": (join_any_run, scene("/r/x", LATE_CUT, LATE_CUT), "not its events"),
}


@pytest.mark.parametrize("name", RESPONSE_VARIANTS)
def test_each_broken_variant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, variant_scene, expected_violation = RESPONSE_VARIANTS[name]
    assert judge(run_scene(variant_scene)) == []
    patch(monkeypatch)
    assert any(expected_violation in violation for violation in judge(run_scene(variant_scene)))


# --- results of items
def treat_cut_items_as_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Exchange.chunks

    async def chunks(self: Exchange) -> Any:
        try:
            async for data in original(self):
                yield data
        except FaultError:
            pass

    monkeypatch.setattr(Exchange, "chunks", chunks)


def join_texts_unchecked(monkeypatch: pytest.MonkeyPatch) -> None:
    def event(self: EventReader) -> None:
        self.text.pieces.append("\n".join(self.data_lines))
        self.text.last = self.event_id

    monkeypatch.setattr(EventReader, "append_event", event)
    original = item_request.request_headers
    monkeypatch.setattr(
        item_request,
        "request_headers",
        lambda dialect, item, client, host, worker, wait, _last: original(
            dialect, item, client, host, worker, wait, -1
        ),
    )


def lose_positions(monkeypatch: pytest.MonkeyPatch) -> None:
    original = ItemRunner.report_result

    async def report_result(self: ItemRunner, item: Any, result: Any) -> None:
        item.position = 0
        await original(self, item, result)

    monkeypatch.setattr(ItemRunner, "report_result", report_result)


def abandon_failed_items(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(item_request, "FINAL_STATUSES", {500: "never", 422: "never"})


SECOND_HALF = chunk(b"".join(event("lot0-0", n) for n in range(EVENTS // 2, EVENTS))) + b"0\r\n\r\n"
HALF = Play(cut=-len(SECOND_HALF))  # ends after half of the events, each of them complete
LATE_AGAIN = Play(surplus="repeat", surplus_delay=0.3)
ITEM_VARIANTS: dict[str, tuple[Patch, ItemScene, str]] = {
    "another's text": (skip_id_comparison, ItemScene(((LATE_AGAIN,),), (8,)), "not its whole text"),
    "a cut text": (treat_cut_items_as_complete, ItemScene(((HALF,),), (1,)), "not its whole text"),
    "a text joined wrongly": (join_texts_unchecked, ItemScene(((HALF,), (HALF,)), (1,)), "not its whole text"),
    "another's position": (lose_positions, ItemScene(((),), (2,)), "not its whole text"),
    "given up": (abandon_failed_items, ItemScene(((Play("failure"),),), (1,)), "which no worker said"),
}


@pytest.mark.parametrize("name", ITEM_VARIANTS)
def test_each_broken_variant_of_items_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, variant_scene, expected_violation = ITEM_VARIANTS[name]
    assert judge_items(run_items(variant_scene)) == []
    patch(monkeypatch)
    assert any(expected_violation in violation for violation in judge_items(run_items(variant_scene)))

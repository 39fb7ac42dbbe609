"""Deliberately broken variants of the product: each property of answers and of items must catch its own, in scenes that
the sound product passes (tests/gateway/test_answers.py, tests/batch/test_item_answers.py). A property that can't fail proves nothing."""

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
from postpass.gateway.http_headers import RESPONSE_CONNECTION_HEADERS, HeaderNames
from postpass.gateway.http_server import limited_protocol, refusal
from postpass.gateway.relay import Relay
from postpass.gateway.response_check import Proof, ResponseCheck, check_response
from postpass.gateway.upstream_connection import Exchange, UpstreamConnection
from postpass.runtime.errors import FaultError
from tests.gateway.test_answers import quick_collections
from tests.support import answers
from tests.support.answers import EVENTS, Ask, Connection, Play, Scene, chunk, event, judge, run_scene
from tests.support.item_answers import ItemScene, judge_items, run_items

__all__ = ["quick_collections"]

Patch = Callable[[pytest.MonkeyPatch], None]


# --- answers to callers
def ids_are_not_compared(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(upstream_connection, "carries", lambda *_: True)


def repeats_anything(mp: pytest.MonkeyPatch) -> None:
    plain = attempts.next_relayed_attempt
    mp.setattr(
        relay, "next_relayed_attempt", lambda log, **more: plain(log, **more | {"repeatable": True, "max_runs": 3})
    )


def takes_a_cut_for_an_end(mp: pytest.MonkeyPatch) -> None:
    plain = UpstreamConnection.fail

    def fail(self: UpstreamConnection, step: str, why: str, *rest: Any, **more: Any) -> None:
        if step == "body" and self.exchange is not None:
            self.keep_alive = False
            self.finish()
        else:
            plain(self, step, why, *rest, **more)

    mp.setattr(UpstreamConnection, "fail", fail)
    # A length would show the cut.
    mp.setattr(answer_delivery, "RESPONSE_CONNECTION_HEADERS", RESPONSE_CONNECTION_HEADERS | {b"content-length"})


def takes_any_refusal_for_a_proof(mp: pytest.MonkeyPatch) -> None:
    def judged(status: int, headers: Any, names: Any) -> ResponseCheck:
        got = check_response(status, headers, names)
        return ResponseCheck(Proof.NOT_RUN) if got.proof is Proof.NONE and status == 503 else got

    mp.setattr(relay, "check_response", judged)


def takes_a_garbled_refusal_for_a_proof(mp: pytest.MonkeyPatch) -> None:
    plain = Relay.read_refusal

    async def read_refusal(self: Relay, exchange: Exchange) -> None:
        try:
            await plain(self, exchange)
        except FaultError:
            pass

    mp.setattr(Relay, "read_refusal", read_refusal)


def passes_any_head(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(relay, "check_response", lambda *_: ResponseCheck(Proof.ANSWER))


def hides_failures(mp: pytest.MonkeyPatch) -> None:
    plain = AnswerDelivery.begin

    async def begin(self: AnswerDelivery, request: Any, exchange: Exchange, joined: bool) -> None:
        exchange.status = 200 if exchange.status == 422 else exchange.status
        await plain(self, request, exchange, joined)

    mp.setattr(AnswerDelivery, "begin", begin)


def names_no_time(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(Relay, "retry_after", lambda *_: (b"x-nothing", b""))


def writes_into_answers(mp: pytest.MonkeyPatch) -> None:
    def broken(limits: Any, silence: float) -> type[HttpToolsProtocol]:
        sound: Any = limited_protocol(limits, silence)

        class Broken(sound):  # type: ignore[misc]
            def refuse(self, status: int) -> None:
                self.refused = True
                self.transport.write(refusal(status))
                self.transport.close()

        return Broken

    mp.setattr(answers, "limited_protocol", broken)


def joins_any_run(mp: pytest.MonkeyPatch) -> None:
    """Doesn't tell the next worker where to go on, nor look where it does."""
    plain_names, plain_resume = HeaderNames.__init__, EventStream.resume

    def names(self: HeaderNames, dialect: Dialect) -> None:
        plain_names(self, dialect)
        self.last_event = b"x-nothing"

    def resume(self: EventStream) -> None:
        plain_resume(self)
        self.joined = True

    mp.setattr(HeaderNames, "__init__", names)
    mp.setattr(EventStream, "resume", resume)


def scene(path: str, *plays: Play, junk: bool = False) -> Scene:
    """One request to as many workers as there are plays."""
    return Scene(tuple((play,) for play in plays), (Connection((Ask("c0", path),), junk=junk),))


CUT, LATE_CUT, UNPROVED = Play(cut=5), Play(framing="chunked", cut=-20), Play("unproved full")
GARBLED = Play("full", framing="bad chunk")
CALLERS: dict[str, tuple[Patch, Scene, str]] = {
    "another's answer": (ids_are_not_compared, scene("/o/x", Play(identity="swapped")), "an answer to"),
    "twice": (repeats_anything, scene("/o/x", CUT, CUT), "ran at"),
    "a cut that looks whole": (takes_a_cut_for_an_end, scene("/o/x", LATE_CUT), "cut, but looks whole"),
    "any refusal": (takes_any_refusal_for_a_proof, scene("/o/x", UNPROVED, UNPROVED), "ran at"),
    "a garbled refusal": (takes_a_garbled_refusal_for_a_proof, scene("/o/x", GARBLED, GARBLED), "ran at"),
    "a success without a seal": (passes_any_head, scene("/o/x", Play("unsealed")), "without a seal"),
    "a false promise": (passes_any_head, scene("/o/x", UNPROVED), "and ran"),
    "a failure turned": (hides_failures, scene("/o/x", Play("never")), "where its worker said never"),
    "no time": (names_no_time, scene("/o/x", Play("full")), "without Retry-After"),
    "written into": (writes_into_answers, scene("/o/x", Play(delay=0.1), junk=True), "a proper request, got 400"),
    "joined wrongly": (joins_any_run, scene("/r/x", LATE_CUT, LATE_CUT), "not its events"),
}


@pytest.mark.parametrize("name", CALLERS)
def test_each_broken_variant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, played, wanted = CALLERS[name]
    assert judge(run_scene(played)) == []
    patch(monkeypatch)
    assert any(wanted in breach for breach in judge(run_scene(played)))


# --- results of items
def takes_cut_items_for_whole(mp: pytest.MonkeyPatch) -> None:
    plain = Exchange.chunks

    async def chunks(self: Exchange) -> Any:
        try:
            async for data in plain(self):
                yield data
        except FaultError:
            pass

    mp.setattr(Exchange, "chunks", chunks)


def joins_texts_anyhow(mp: pytest.MonkeyPatch) -> None:
    def event(self: EventReader) -> None:
        self.text.pieces.append("\n".join(self.data_lines))
        self.text.last = self.event_id

    mp.setattr(EventReader, "append_event", event)
    plain = item_request.request_headers
    mp.setattr(
        item_request,
        "request_headers",
        lambda d, call, client, host, worker, wait, _last: plain(d, call, client, host, worker, wait, -1),
    )


def forgets_positions(mp: pytest.MonkeyPatch) -> None:
    plain = ItemRunner.report_result

    async def report_result(self: ItemRunner, item: Any, result: Any) -> None:
        item.position = 0
        await plain(self, item, result)

    mp.setattr(ItemRunner, "report_result", report_result)


def abandons_what_failed(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(item_request, "FINAL_STATUSES", {500: "never", 422: "never"})


SECOND_HALF = chunk(b"".join(event("lot0-0", n) for n in range(EVENTS // 2, EVENTS))) + b"0\r\n\r\n"
HALF = Play(cut=-len(SECOND_HALF))  # so many whole events
LATE_AGAIN = Play(surplus="repeat", surplus_delay=0.3)
ITEMS: dict[str, tuple[Patch, ItemScene, str]] = {
    "another's text": (ids_are_not_compared, ItemScene(((LATE_AGAIN,),), (8,)), "not its whole text"),
    "a cut text": (takes_cut_items_for_whole, ItemScene(((HALF,),), (1,)), "not its whole text"),
    "a text joined wrongly": (joins_texts_anyhow, ItemScene(((HALF,), (HALF,)), (1,)), "not its whole text"),
    "another's position": (forgets_positions, ItemScene(((),), (2,)), "not its whole text"),
    "given up": (abandons_what_failed, ItemScene(((Play("failure"),),), (1,)), "which no worker said"),
}


@pytest.mark.parametrize("name", ITEMS)
def test_each_broken_variant_of_items_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch, played, wanted = ITEMS[name]
    assert judge_items(run_items(played)) == []
    patch(monkeypatch)
    assert any(wanted in breach for breach in judge_items(run_items(played)))

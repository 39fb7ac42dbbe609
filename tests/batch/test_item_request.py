"""Requests for items of routes: their headers, and the events of the responses, joined to a text."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from postpass.batch.item_request import EventReader, ItemText, request_headers, run_item
from postpass.batch.messages import Item
from postpass.batch.run_progress import RunProgress
from postpass.configuration.header_names import Dialect
from postpass.gateway.client_identity import PUBLIC, WITHOUT_TENANTS, ClientIdentity
from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.http_headers import HeaderNames
from postpass.gateway.relayed_request import build_request
from postpass.runtime.errors import FaultError
from tests.gateway.test_upstream_connection import run


def event(n: int, data: str) -> bytes:
    return f"id: {n}\ndata: {data}\n\n".encode()


class Test_Events:
    @pytest.mark.parametrize("size", [1, 3, 7, 1000])
    def test_a_text_is_the_data_of_all_events_however_they_are_split_into_chunks(self, size: int) -> None:
        text = ItemText()
        events = EventReader(text)
        run = b"x-weight-versions: 3\n" + event(0, "one") + event(1, "") + b"id: 2\r\ndata: tw\xc3\xb6\r\n\r\n"
        for i in range(0, len(run), size):
            events.feed(run[i : i + size])
        assert (text.text, text.last, events.complete) == ("one\n\ntwö", 2, True)

    def test_a_run_goes_on_only_where_the_one_before_it_was_cut(self) -> None:
        text = ItemText()
        EventReader(text).feed(event(1, "a") + event(2, "b") + b"id: 3\ndata: c")
        assert (text.text, text.last) == ("a\nb", 2)
        for wrong in (event(2, "b"), event(4, "d"), event(1, "a"), b"data: x\n\n", b"id: x\n"):
            with pytest.raises(FaultError):
                EventReader(text).feed(wrong)
        EventReader(text).feed(event(3, "c"))
        assert (text.text, text.last) == ("a\nb\nc", 3)

    def test_a_run_that_begins_late_or_ends_within_an_event_is_incomplete(self) -> None:
        with pytest.raises(FaultError):
            EventReader(ItemText()).feed(event(2, "b"))
        events = EventReader(ItemText())
        events.feed(event(0, "a") + b"id: 1\ndata: b\n")
        assert not events.complete


class Test_headers_of_an_item:
    def test_its_own_come_first_and_none_is_set_twice(self) -> None:
        request: Item = {
            "id": "i1",
            "path": "/x",
            "tokens": 3,
            "body": "q83v",
            "headers": {"X-Model": "m", "X-Urgency": "0", "Host": "other", "X-Call-Id": "j"},
        }
        headers = request_headers(Dialect(), request, WITHOUT_TENANTS, "h.example", "w1", 5000, 12)
        names = [k for k, _ in headers]
        assert len(names) == len(set(names)) and dict(headers) == {
            b"host": b"h.example", b"x-call-id": b"i1", b"x-deadline-ms": b"5000", b"x-want-worker": b"w1",
            b"content-length": b"3", b"X-Model": b"m", b"last-event-id": b"12", b"x-urgency": b"9",
        }  # fmt: skip

    @pytest.mark.parametrize("client", [ClientIdentity("t1"), PUBLIC, WITHOUT_TENANTS])
    def test_the_tenant_is_the_one_whose_job_it_is_and_keys_stay_here(self, client: ClientIdentity) -> None:
        request: Item = {
            "id": "i1",
            "path": "/x",
            "tokens": 3,
            "body": "q83v",
            "headers": {"X-Tenant": "t2", "x-tenant": "t3", "AUTHORIZATION": "Bearer k1", "authorization": "Bearer k2"},
        }
        headers = request_headers(Dialect(), request, client, "h.example", "w1", 5000, 12)
        named = [(name.lower(), value) for name, value in headers]
        assert [value for name, value in named if name == b"x-tenant"] == ([b"t1"] if client.tenant else [])
        keys = [value for name, value in named if name == b"authorization"]
        assert keys == ([b"Bearer k1", b"Bearer k2"] if client is WITHOUT_TENANTS else [])

    @pytest.mark.parametrize("name", ["blå", "Łódź", "東京"])
    def test_a_tenant_is_named_as_on_requests_whatever_the_characters_of_its_name(self, name: str) -> None:
        request: Item = {"id": "i1", "path": "/x", "tokens": 3, "body": "q83v", "headers": {}}
        headers = request_headers(Dialect(), request, ClientIdentity(name), "h.example", "w1", 5000, 12)
        scope: Any = {"method": "POST", "raw_path": b"/x", "query_string": b"", "headers": []}
        route: Any = {"tokens": False, "kind": "once", "resumable": False, "target": 1.0, "gap": 0.0, "rank": 0}
        unused: Any = None
        relayed = build_request(
            HeaderNames(Dialect()), "r", route, ClientIdentity(name), scope, b"", 0.0, 1.0, unused
        )  # fmt: skip
        assert dict(headers)[b"x-tenant"] == dict(relayed.headers)[b"x-tenant"] == name.encode()


ITEM: Item = {"id": "i1", "path": "/x", "headers": {}, "body": "q83v", "tokens": 3}
SEALED = b"X-Call-Id: i1\r\nX-Seal: s\r\n"


def answer(status: str, headers: bytes, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {len(body)}\r\n".encode()
    return head + headers + b"\r\n" + body


def run_against(answers: list[bytes]) -> list[tuple[str, str]]:
    """Runs an item once for each response; returns how each run ended ('shed', 'broken' or its end), and its text."""

    async def play(_connection: int, _number: int, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(remaining_answers.pop(0))
        await asyncio.sleep(0.01)
        writer.close()

    async def main(connections: ConnectionPool, *_: Any) -> list[tuple[str, str]]:
        endings = []
        for _answer in answers:
            text = ItemText()
            try:
                ending: str = await run_item(
                    connections, Dialect(), "http://w:1", "w1", "h", ITEM, WITHOUT_TENANTS, text, RunProgress.begin(),
                    lambda: "", 1.0,
                )  # fmt: skip
            except FaultError as error:
                ending = error.fault.hint or "broken"
            endings.append((ending, text.text))
        return endings

    remaining_answers = list(answers)
    return run(play, main)  # type: ignore[no-any-return]


class Test_Answers_of_an_item:
    def test_complete_ones_end_it(self) -> None:
        complete = answer("200 OK", SEALED, event(0, "a") + event(1, "b"))
        assert run_against([complete, answer("500 No", SEALED, b"no"), answer("422 No", b"X-Call-Id: i1\r\n", b"no")]) == [
            ("done", "a\nb"), ("failed", ""), ("never", "")]  # fmt: skip

    def test_those_of_another_request_prove_nothing(self) -> None:
        other = b"X-Call-Id: i2\r\nX-Seal: s\r\n"
        for status, more in (("200 OK", b""), ("503 Full", b"X-Not-Run: 1\r\n"), ("421 No", b""), ("422 No", b"")):
            assert run_against([answer(status, other + more, event(0, "a"))]) == [("broken", "")]

    def test_a_success_needs_the_seal_and_a_plain_body(self) -> None:
        for headers in (b"X-Call-Id: i1\r\n", SEALED + b"Content-Encoding: gzip\r\n", SEALED + b"X-Not-Run: 1\r\n"):
            assert run_against([answer("200 OK", headers, event(0, "a"))]) == [("broken", "")]

    def test_a_failure_that_is_cut_ends_nothing(self) -> None:
        for status in ("500 No", "422 No"):
            assert run_against([answer(status, SEALED, b"because")[:-2]]) == [("broken", "")]

    def test_refusals_are_told_apart(self) -> None:
        not_run = b"X-Call-Id: i1\r\nX-Not-Run: 1\r\n"
        assert run_against([answer("503 Full", not_run, b""), answer("503 Full", SEALED, b"")]) == [
            ("shed", ""), ("broken", "")]  # fmt: skip

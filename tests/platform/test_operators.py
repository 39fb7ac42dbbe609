"""Tests of the HTTP routes for operators and workers: which fields of a heartbeat are read, skipped or rejected."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from result import Ok
from starlette.applications import Starlette

from tests.platform.test_settings import ANY_JSON, adapter

WORKER = "i-7f3a91c2"
HEARTBEAT: dict[str, Any] = {
    "service": "llm", "addr": "10.128.0.9:8080", "zone": "a", "version": "v1", "slots": 24, "state": "up", "warmLeftMs": 0,
    "phase": "mixed", "models": [{"name": "m", "version": 1, "loras": []}], "seqno": 4,
}  # fmt: skip


class RecordedControl:
    """A fake control member that accepts every request and records it in `calls`, and whether its sender still waits."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.sender_waits: bool | None = None

    def __getattr__(self, name: str) -> Any:
        async def call(*arguments: Any, is_sender_waiting: Any = None) -> Any:
            self.calls.append((name, *arguments))
            if is_sender_waiting is not None:
                self.sender_waits = await is_sender_waiting()
            return Ok({})

        return call


def ask(
    method: str, path: str, body: bytes, headers: dict[str, str] | None = None, gives_up: bool = False
) -> tuple[int, Any, RecordedControl]:
    """Sends a request to the routes; returns the status and body of the response, and the control member that recorded it.

    With `gives_up` the sender closes its connection right after the request.
    """
    control = RecordedControl()
    app = Starlette(routes=adapter("operators").ControlRoutes(control).routes())
    sent: list[Any] = []

    messages: list[Any] = [{"type": "http.request", "body": body, "more_body": False}]
    messages += [{"type": "http.disconnect"}] if gives_up else []

    async def receive() -> Any:
        if not messages:
            await asyncio.Event().wait()  # the connection stays open, and nothing more is sent
        return messages.pop(0)

    async def send(message: Any) -> None:
        sent.append(message)

    lines = [(name.lower().encode(), value.encode()) for name, value in (headers or {}).items()]
    scope = {
        "type": "http", "method": method, "path": path, "headers": lines, "query_string": b"", "http_version": "1.1",
        "scheme": "http", "root_path": "", "server": ("c1", 80), "client": ("w", 1),
    }  # fmt: skip
    asyncio.run(app(scope, receive, send))
    text = b"".join(m.get("body", b"") for m in sent)
    return sent[0]["status"], json.loads(text) if text else None, control


def heartbeat(**changed_fields: Any) -> tuple[int, Any, RecordedControl]:
    return ask("PUT", f"/-/workers/{WORKER}", json.dumps(HEARTBEAT | changed_fields).encode())


def expected_announcement(**changed_fields: Any) -> dict[str, Any]:
    expected = {"pool": "llm", "url": "http://10.128.0.9:8080", "area": "a", "slots": 24, "leave": False, "cold": False}
    return expected | changed_fields


@pytest.mark.parametrize("value", ANY_JSON, ids=repr)
def test_a_field_of_a_heartbeat_that_is_not_read_is_skipped_whatever_its_type(value: Any) -> None:
    unread_fields = ("later", "phase", "models", "version")
    status, _, control = heartbeat(**dict.fromkeys(unread_fields, value))
    assert status == 200
    assert control.calls == [("record_worker_heartbeat", WORKER, expected_announcement(), 4)]


def test_numbers_of_a_heartbeat_may_have_a_point_and_null_counts_as_not_set() -> None:
    for changed_fields, expected, seqno in (
        ({"slots": 24.0, "seqno": 9.0}, expected_announcement(), 9),
        ({"slots": 24.7}, expected_announcement(), 4),
        ({"slots": 0}, expected_announcement(slots=1), 4),
        ({"warmLeftMs": 0.5}, expected_announcement(cold=True), 4),
        ({"warmLeftMs": None, "seqno": None}, expected_announcement(), 0),
        ({"state": "draining"}, expected_announcement(leave=True), 4),
    ):
        status, _, control = heartbeat(**changed_fields)
        assert (status, control.calls) == (200, [("record_worker_heartbeat", WORKER, expected, seqno)]), changed_fields


@pytest.mark.parametrize(
    ("key", "value", "error"),
    [
        ("service", 4, "service: want a string, got 4"),
        ("addr", None, "addr: missing, want a string"),
        ("slots", True, "slots: want a number, got True"),
        ("slots", "24", "slots: want a number, got '24'"),
        ("warmLeftMs", "300", "warmLeftMs: want a number, got '300'"),
        ("seqno", "4", "seqno: want a whole number, got '4'"),
    ],
)
def test_a_heartbeat_with_a_wrong_type_in_a_field_that_is_read_is_rejected_with_the_name_of_the_field(
    key: str, value: Any, error: str
) -> None:
    status, body, control = heartbeat(**{key: value})
    assert (status, body["error"], control.calls) == (400, error, [])


def test_a_heartbeat_that_is_not_an_object_is_rejected() -> None:
    for body in (b"[]", b"3", b"null", b'"x"', b"{"):
        assert ask("PUT", f"/-/workers/{WORKER}", body)[0] == 400


@pytest.mark.parametrize("body", [b"", b"{}", b'{"overS":10,"later":[1]}', b"[null]", b"not json"])
def test_a_request_that_needs_no_body_accepts_any(body: bytes) -> None:
    status, _, control = ask("POST", "/-/retire/store-a-1", body)
    assert (status, control.calls) == (200, [("retire", "store-a-1")])
    status, _, control = ask("POST", "/-/evac/a", body)
    assert (status, control.calls) == (200, [("evacuate", "a", True)])


@pytest.mark.parametrize(
    ("method", "path"), [("POST", "/-/evac/a"), ("DELETE", "/-/evac/a"), ("POST", "/-/retire/store-a-1")]
)
def test_an_order_without_a_version_tells_whether_its_sender_still_waits(method: str, path: str) -> None:
    """An order whose sender had given up was carried out, and undid others that were acknowledged since."""
    assert ask(method, path, b"{}")[2].sender_waits is True
    assert ask(method, path, b"{}", gives_up=True)[2].sender_waits is False


ODD_BODIES = {
    "half a character": rb'"van-\ud83d.example"',
    "half a character in UTF-8": b'"van-\xed\xa0\xbd.example"',
    "half a character in a key": rb'{"\ud83d": 1}',
    "not a number": b"NaN",
    "an infinite number": b"1e400",
    "a deep value": b"[" * 20_000 + b"]" * 20_000,
}


# Guards against documents and heartbeats that one part takes and a later one can't use: they were acknowledged and never
# came back, or ended the primary of control.
@pytest.mark.parametrize("value", ODD_BODIES.values(), ids=ODD_BODIES.keys())
@pytest.mark.parametrize(
    ("method", "path"), [("PUT", "/-/config"), ("PATCH", "/-/config"), ("PUT", f"/-/workers/{WORKER}")]
)
def test_a_body_that_cannot_be_read_in_full_is_refused_whole(method: str, path: str, value: bytes) -> None:
    body = json.dumps(HEARTBEAT).encode()[:-1] + b', "later": ' + value + b"}"
    status, answer, control = ask(method, path, body, {"If-Match": "0"})
    assert (status, control.calls) == (400, [])
    assert answer["error"] == answer["flaws"][0] and ": " in answer["error"]


@pytest.mark.parametrize("version", ["²", "", "-1", "x", "9" * 5000, '"1', "1.0"])
def test_a_version_that_is_no_whole_number_is_refused(version: str) -> None:
    status, _, recorded = ask("PUT", "/-/config", b"{}", {"If-Match": version.encode().decode("latin-1")})
    assert (status, recorded.calls) == ((400, []) if version != '"1' else (200, [("apply_document", {}, 1)]))


def test_a_worker_with_more_slots_than_can_be_counted_has_many() -> None:
    _, _, control = heartbeat(slots=1e308)
    assert control.calls == [("record_worker_heartbeat", WORKER, expected_announcement(slots=1_000_000), 4)]


def test_a_document_that_an_earlier_release_accepted_is_read_back_as_it_was_sent() -> None:
    """It was stored with half of a surrogate pair and with NaN; reading it back was answered with 500."""
    source = {"version": 1, "routes": [{"host": "van-\ud83d.example", "later": float("nan")}]}

    class Stored(RecordedControl):
        async def read_document(self) -> Any:
            return Ok({"source": source})

    response = asyncio.run(adapter("operators").ControlRoutes(Stored())._read_configuration())
    assert response.status_code == 200 and response.body == json.dumps(source, separators=(",", ":")).encode()

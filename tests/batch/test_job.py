"""Tests of postpass.batch.job."""

from __future__ import annotations

import base64
import json
from typing import Any

from postpass.batch.job import PAYLOAD_MARK, JobView, encode_record, job_digest, pack_items, results_page
from postpass.replication.record_log import Record


def _record(seq: int, kind: str, **body: Any) -> Record:
    return Record(seq, 1, kind, json.dumps(body).encode())


def _view() -> JobView:
    view = JobView()
    for record in (
        _record(1, "lot", id="x", items=["a", "b"], **{"class": "lot", "due": 9, "caller": "me"}),
        _record(2, "result", id="x", item=1, status="done", output="B"),
        _record(3, "result", id="x", item=1, status="done", output="again"),
        _record(4, "result", id="x", item=0, status="done", output="A"),
        _record(5, "shed", id="y"),
        _record(6, "lot", id="y", items=["z"]),
        _record(7, "lot", id="w", items=["z"]),
        _record(8, "end", id="w"),
        _record(9, "result", id="w", item=0, status="done", output="late"),
    ):
        view.fold(record)
    return view


def test_first_result_wins_and_rejections_win_over_their_job() -> None:
    view = _view()
    assert results_page(view.jobs["x"], 9, 0, 10)[0][0] == {"item": 1, "status": "done", "output": "B"}
    assert "y" not in view.jobs and view.jobs["w"].order == []


def test_pages_show_only_covered_results_and_never_change() -> None:
    job = _view().jobs["x"]
    assert results_page(job, 1, 0, 10) == ([], 0, False)
    first = results_page(job, 3, 0, 10)
    assert first[1:] == (1, False)
    rest = results_page(job, 4, first[1], 10)
    assert ([r["item"] for r in rest[0]], rest[2]) == ([0], True)
    assert results_page(job, 9, 0, 1) == (first[0], 1, False)


def test_a_view_comes_back_from_its_dump() -> None:
    view = _view()
    again = JobView.load(view.dump())
    assert again.dump() == view.dump() and again.jobs["x"].results == view.jobs["x"].results
    assert JobView.load(b"").jobs == {}


def test_bodies_of_opaque_items_are_stored_once_and_released_once_nobody_may_ask() -> None:
    bodies = [b"\0\xff one", b"", b"three\n"]
    items = [{"id": f"i{n}", "body": base64.b64encode(b).decode()} for n, b in enumerate(bodies)]
    job, payload = pack_items({"id": "x", "route": "r", "items": items})
    again = pack_items({"id": "x", "route": "r", "items": [*items[:2], items[0] | {"id": "i2"}]})[0]
    assert job_digest(job) != job_digest(again) and "body" not in job["items"][0]
    view = JobView()
    view.fold(Record(1, 1, "lot", encode_record(job, payload)))
    other, third = view.copy(), JobView.load(view.dump())
    assert other.jobs["x"].payload is view.jobs["x"].payload
    for checked_view in (view, other, third):
        assert [checked_view.jobs["x"].item_body(i) for i in range(3)] == bodies
    for n in range(3):
        view.fold(_record(2 + n, "result", id="x", item=n, status="done", output=""))
    third.fold(_record(2, "end", id="x"))
    assert view.jobs["x"].payload == b"" == third.jobs["x"].payload and view.jobs["x"].item_body(0) is None
    assert (
        PAYLOAD_MARK not in view.dump() and PAYLOAD_MARK in other.dump() and other.jobs["x"].item_body(0) == bodies[0]
    )


DUMP_OF_0_2_0 = (
    b'{"shed":{"y":6},"claims":{"k":{"key":"k","nonce":"n","edge":"e","seq":7}},"crew":{"s1":"d1"},"crew_seq":12,'
    b'"old_crew":{"s1":"d1"},"predicate":"MIN($ALL)","old_predicate":"MIN($ALL)","predicate_seq":2,"losses":1,'
    b'"lost":{"gone":12},"lots":[{"id":"x","seq":3,"body":{"id":"x","items":["a","b"],"class":"lot","due":9,'
    b'"caller":"me"},"digest":"ffdec3b97ad0a0b1b575cd4fc5ba3020","state":"open","state_seq":0,'
    b'"results":[[1,[5,"done","B"]]],"order":[1],"raw":0},{"id":"r1","seq":4,"body":{"id":"r1","route":"r",'
    b'"items":[{"id":"i0","tokens":3,"size":2}],"due":1.5,"sum":"afcb8c3be9ad372212cc3addd64f5c9f"},'
    b'"digest":"afcb8c3be9ad372212cc3addd64f5c9f","state":"open","state_seq":0,"results":[],"order":[],"raw":2},'
    b'{"id":"z","seq":9,"body":{"id":"z","items":["q"],"class":"lot"},"digest":"982ccd41041f1dedd36a5da1435d8b4f",'
    b'"state":"ended","state_seq":10,"results":[],"order":[],"raw":0}]}\x00ab'
)


def test_a_dump_has_the_keys_of_release_0_2_0_in_their_order() -> None:
    # The code from before the fields were renamed produced these bytes from the same records.
    opaque = {"id": "i0", "tokens": 3, "body": base64.b64encode(b"ab").decode()}
    body, payload = pack_items({"id": "r1", "route": "r", "items": [opaque], "due": 1.5})
    view = JobView()
    for record in (
        _record(1, "crew", crew={"s1": "d1"}),
        _record(2, "predicate", text="MIN($ALL)"),
        _record(3, "lot", id="x", items=["a", "b"], **{"class": "lot", "due": 9, "caller": "me"}),
        Record(4, 1, "lot", encode_record(body, payload)),
        _record(5, "result", id="x", item=1, status="done", output="B"),
        _record(6, "shed", id="y"),
        _record(7, "claim", key="k", nonce="n", edge="e"),
        _record(8, "crew", crew={"s1": "d1", "s2": "d2"}),
        _record(9, "lot", id="z", items=["q"], **{"class": "lot"}),
        _record(10, "end", id="z"),
        _record(11, "mark", settled=8),
        _record(12, "loss", edition=1, crew={"s1": "d1"}, lots=["gone"]),
        _record(13, "drop", lots=["nope"]),
    ):
        view.fold(record)
    assert view.dump() == DUMP_OF_0_2_0
    assert JobView.load(DUMP_OF_0_2_0).dump() == DUMP_OF_0_2_0


def test_failures_of_items_are_counted_by_the_records_and_kept_in_a_dump() -> None:
    view = JobView()
    body = {"id": "j", "route": "r", "sum": "s", "items": [{"id": "a", "size": 0}, {"id": "b", "size": 0}]}
    view.fold(Record(1, 1, "lot", encode_record(body, b"")))
    before = view.copy()
    for seq, item in ((2, 1), (3, 1), (4, 0)):
        view.fold(Record(seq, 1, "mark", encode_record({"failed": ["j", item]}, b"")))
    view.fold(Record(5, 1, "mark", encode_record({"failed": ["gone", 0]}, b"")))
    again = JobView.load(view.dump())
    for checked_view in (view, again):
        assert [checked_view.jobs["j"].failures(item) for item in (0, 1)] == [1, 2]
        assert checked_view.jobs["j"].digest == before.jobs["j"].digest
    assert before.jobs["j"].failures(1) == 0

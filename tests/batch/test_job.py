"""Tests of postpass.batch.job."""

from __future__ import annotations

import base64
import json
from typing import Any

from postpass.batch.job import END, JobView, digest, joined, packed, page
from postpass.replication.record_log import Record


def _rec(seq: int, kind: str, **body: Any) -> Record:
    return Record(seq, 1, kind, json.dumps(body).encode())


def _view() -> JobView:
    view = JobView()
    for rec in (
        _rec(1, "lot", id="x", items=["a", "b"], **{"class": "lot", "due": 9, "caller": "me"}),
        _rec(2, "result", id="x", item=1, status="done", output="B"),
        _rec(3, "result", id="x", item=1, status="done", output="again"),
        _rec(4, "result", id="x", item=0, status="done", output="A"),
        _rec(5, "shed", id="y"),
        _rec(6, "lot", id="y", items=["z"]),
        _rec(7, "lot", id="w", items=["z"]),
        _rec(8, "end", id="w"),
        _rec(9, "result", id="w", item=0, status="done", output="late"),
    ):
        view.fold(rec)
    return view


def test_first_result_wins_and_refusals_win_over_their_lot() -> None:
    view = _view()
    assert page(view.lots["x"], 9, 0, 10)[0][0] == {"item": 1, "status": "done", "output": "B"}
    assert "y" not in view.lots and view.lots["w"].order == []


def test_pages_show_only_covered_results_and_never_change() -> None:
    lot = _view().lots["x"]
    assert page(lot, 1, 0, 10) == ([], 0, False)
    first = page(lot, 3, 0, 10)
    assert first[1:] == (1, False)
    rest = page(lot, 4, first[1], 10)
    assert ([r["item"] for r in rest[0]], rest[2]) == ([0], True)
    assert page(lot, 9, 0, 1) == (first[0], 1, False)


def test_a_view_comes_back_from_its_dump() -> None:
    view = _view()
    again = JobView.load(view.dump())
    assert again.dump() == view.dump() and again.lots["x"].results == view.lots["x"].results
    assert JobView.load(b"").lots == {}


def test_bodies_of_opaque_items_are_kept_as_bytes_shared_and_let_go_once_nobody_may_ask() -> None:
    bodies = [b"\0\xff one", b"", b"three\n"]
    items = [{"id": f"i{n}", "body": base64.b64encode(b).decode()} for n, b in enumerate(bodies)]
    lot, raw = packed({"id": "x", "route": "r", "items": items})
    again = packed({"id": "x", "route": "r", "items": [*items[:2], items[0] | {"id": "i2"}]})[0]
    assert digest(lot) != digest(again) and "body" not in lot["items"][0]
    view = JobView()
    view.fold(Record(1, 1, "lot", joined(lot, raw)))
    other, third = view.copy(), JobView.load(view.dump())
    assert other.lots["x"].raw is view.lots["x"].raw
    for have in (view, other, third):
        assert [have.lots["x"].item_body(i) for i in range(3)] == bodies
    for n in range(3):
        view.fold(_rec(2 + n, "result", id="x", item=n, status="done", output=""))
    third.fold(_rec(2, "end", id="x"))
    assert view.lots["x"].raw == b"" == third.lots["x"].raw and view.lots["x"].item_body(0) is None
    assert END not in view.dump() and END in other.dump() and other.lots["x"].item_body(0) == bodies[0]

"""The batch messages: keys and their order are those of release 0.2.0, and decoding restores what was encoded."""

from __future__ import annotations

import json

from postpass.batch.messages import (
    BudgetKey,
    Item,
    ItemGrant,
    ItemKey,
    ItemResult,
    ItemStatus,
    ReserveRequest,
    ResultsRequest,
    ResultsResponse,
    TakeRequest,
    TakeResponse,
    TenantCounts,
    WaitingResponse,
    output_checksum,
)  # fmt: skip
from postpass.worker_api.openai import Prompt

REQUEST: Item = {"id": "i0", "path": "/x", "headers": {}, "body": "q83v", "tokens": 3}


def test_a_scheduler_asks_for_items() -> None:
    request = TakeRequest("e1", 3, {"lot": 2}, [ItemKey("x", 0), ItemKey("y", 4)])
    assert json.dumps(request.as_json()) == (
        '{"sched": "e1", "term": 3, "room": {"lot": 2}, "held": [["x", 0], ["y", 4]]}'
    )
    assert TakeRequest.from_json(request.as_json()) == request


def test_an_owner_leases_items_of_classes_and_of_routes() -> None:
    of_class = ItemGrant("x", 0, "lot", 9.5, "me", Prompt(("a", "b"), "own"))
    of_route = ItemGrant("y", 1, "route:r", 8.0, "", request=REQUEST, tries=3, since=7)
    response = TakeResponse([of_class, of_route], ["z"], {"lot": 4})
    assert json.dumps(response.as_json()) == (
        '{"items": [{"lot": "x", "item": 0, "class": "lot", "due": 9.5, "caller": "me", "text": "own", '
        '"shared": ["a", "b"]}, {"lot": "y", "item": 1, "class": "route:r", "due": 8.0, "caller": "", "call": '
        '{"id": "i0", "path": "/x", "headers": {}, "body": "q83v", "tokens": 3}, "tries": 3, "since": 7}], '
        '"stop": ["z"], "ahead": {"lot": 4}}'
    )
    assert TakeResponse.from_json(response.as_json()) == response


def test_a_scheduler_reports_results() -> None:
    whole = ItemResult(ItemStatus.DONE, "text", 3, output_checksum("text"))
    assert json.dumps(whole.as_json(ItemKey("x", 2))) == (
        '{"id": "x", "item": 2, "status": "done", "output": "text", "tries": 3, "sum": "982d9e3eb996f559"}'
    )
    broken = ItemResult(ItemStatus.FAILED, "why")
    assert json.dumps(broken.as_json(ItemKey("x", 2))) == (
        '{"id": "x", "item": 2, "status": "failed", "output": "why"}'
    )
    assert [ItemResult.from_json(r.as_json(ItemKey("x", 2))) for r in (whole, broken)] == [whole, broken]
    assert whole.intact and not broken.intact


def test_owners_and_holders_of_budgets_exchange_counts() -> None:
    request = ReserveRequest(BudgetKey("r"), 1, 5, 9, 30, 10)
    assert json.dumps(request.as_json(4)) == (
        '{"part": 4, "route": "r", "from": 1, "epoch": 5, "number": 9, "count": 30, "want": 10}'
    )
    assert ReserveRequest.from_json(request.as_json(4)) == request
    response = WaitingResponse(5, 9, 30)
    assert json.dumps(response.as_json()) == '{"epoch": 5, "number": 9, "count": 30}'
    assert WaitingResponse.from_json(response.as_json()) == response


def test_counts_of_tenants_are_reported_by_their_names() -> None:
    request = ReserveRequest(BudgetKey("r", "firm"), 1, 5, 9, 30, 10)
    assert json.dumps(request.as_json(4)) == (
        '{"part": 4, "route": "r", "from": 1, "epoch": 5, "number": 9, "count": 30, "want": 10, "tenant": "firm"}'
    )
    assert ReserveRequest.from_json(request.as_json(4)) == request
    counts = TenantCounts(1, 5, 9, True, {BudgetKey("r", "firm"): 30, BudgetKey("s", "other"): 0})
    assert json.dumps(counts.as_json()) == (
        '{"from": 1, "epoch": 5, "number": 9, "complete": true, "counts": [["r", "firm", 30], ["s", "other", 0]]}'
    )
    assert TenantCounts.from_json(counts.as_json()) == counts


def test_clients_read_results() -> None:
    assert json.dumps(ResultsRequest(2, 1.5).as_json()) == '{"start": 2, "hold": 1.5}'
    assert ResultsRequest.from_json({"start": 2}) == ResultsRequest(2, 0.0)
    assert json.dumps(ResultsResponse(3, [{"id": "i0", "state": "done", "text": "t"}], 1).as_json()) == (
        '{"total": 3, "results": [{"id": "i0", "state": "done", "text": "t"}], "next": 1}'
    )

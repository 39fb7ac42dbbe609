"""The platform's configuration: what is taken of it, and every way in which it is refused."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from tests.platform.test_settings import adapter


def document(version: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {"name": "r1", "host": "X.example", "prefix": "/one/", "kind": "stream", "timeoutMs": 5000, "targetMs": 250,
             "prio": 0, "split": [{"service": "llm", "weight": 90}, {"service": "old", "weight": 10}], "tries": 2,
             "pinned": True, "resumable": True, "gapTargetMs": 300},
            {"name": "r2", "host": "x.example", "prefix": "/two/", "kind": "idem", "timeoutMs": 2500, "targetMs": 200,
             "prio": 1, "service": "app", "tries": 1, "later": {"added": 1}},
            {"name": "r3", "host": "x.example", "prefix": "/lots/", "kind": "bulk", "targetMs": 400, "dueMs": 8000,
             "prio": 2, "service": "llm", "tries": 3, "expireS": 20, "maxQueued": 1100000, "pinned": True},
        ],
        "services": [
            {"name": "llm", "health": "/health", "maxConns": 230, "proto": "h1", "warmupS": 3.0, "coldRateS": 32.0,
             "engine": {"slots": 32, "kvCap": 232000, "models": [{"name": "m"}]}},
            {"name": "old", "health": "/health", "maxConns": 230, "coldRateS": 0.0},
            {"name": "app", "health": "/up", "maxConns": 100, "coldRateS": 0.0},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headTimeoutMs": 3000, "idleMs": 15000},
    }  # fmt: skip


def test_a_document_becomes_routes_pools_and_limits() -> None:
    terms = adapter("configuration").operator_configuration(document(7)).unwrap()
    assert terms["version"] == 7 and list(terms["routes"]) == ["r1", "r2", "r3"]
    r1, r2, r3 = terms["routes"].values()
    assert r1["host"] == "x.example" and r1["split"] == [{"pool": "llm", "weight": 90}, {"pool": "old", "weight": 10}]
    assert (r1["timeout"], r1["target"], r1["gap"], r1["resumable"], r1["tokens"]) == (5.0, 0.25, 0.3, True, True)
    assert r2["split"] == [{"pool": "app", "weight": 1}] and not r2["resumable"]
    assert (r3["kind"], r3["quota"], r3["due"], r3["expire"], r3["tries"]) == ("lot", 1100000, 8.0, 20.0, 3)
    assert terms["pools"]["llm"] == {
        "kind": "model", "servers": {}, "health": "/health", "conns": 230, "cold_rate": 32.0, "kv": 232000,
    }  # fmt: skip
    assert terms["limits"] == {"head_bytes": 16384, "body_bytes": 4194304, "head_ms": 3000, "idle_ms": 15000}


def bad(change: Any) -> dict[str, Any]:
    doc = copy.deepcopy(document(7))
    change(doc)
    return doc


@pytest.mark.parametrize(
    ("change", "path"),
    [
        (lambda d: d.pop("version"), "version"),
        (lambda d: d.pop("routes"), "routes"),
        (lambda d: d.pop("services"), "services"),
        (lambda d: d["routes"][1].pop("host"), "routes[1].host"),
        (lambda d: d["routes"][1].pop("timeoutMs"), "routes[1].timeoutMs"),
        (lambda d: d["routes"][1].pop("service"), "routes[1].service"),
        (lambda d: d["routes"][1].update(service="none"), "routes[1].service"),
        (lambda d: d["routes"][0]["split"][1].update(service="none"), "routes[0].split"),
        (lambda d: [s.update(weight=0) for s in d["routes"][0]["split"]], "routes[0].split"),
        (lambda d: d["routes"][0].update(split=[]), "routes[0].split"),
        (lambda d: d["routes"][1].update(timeoutMs=0), "routes[1].timeoutMs"),
        (lambda d: d["routes"][1].update(prefix="/one/"), "routes[1].prefix"),
        (lambda d: d["routes"][1].update(name="r1", prefix="/one/"), "routes[1].name"),
        (lambda d: d["routes"][1].update(prefix="/two"), "routes[1].prefix"),
        (lambda d: d.update(routes={"r1": {}}), "routes"),
        (lambda d: d.update(version="7"), "version"),
        (lambda d: d["limits"].update(idleMs=0), "limits.idleMs"),
    ],
)
def test_an_invalid_document_is_refused_with_the_path(change: Any, path: str) -> None:
    found = adapter("configuration").operator_configuration(bad(change)).unwrap_err()
    assert found[0].split(":")[0] == path


def test_a_patch_puts_named_items_in_place_and_removes_others() -> None:
    m = adapter("configuration")
    new = document(7)["routes"][1] | {"timeoutMs": 900}
    added = document(7)["routes"][1] | {"name": "r9", "prefix": "/nine/"}
    change = {"version": 9, "upsert": {"routes": [new, added]}, "remove": {"routes": ["r1", "none"]}}
    got = m.patched(document(7), change).unwrap()
    assert [r["name"] for r in got["routes"]] == ["r2", "r3", "r9"] and got["routes"][0]["timeoutMs"] == 900
    assert got["version"] == 9 and got["services"] == document(7)["services"]
    odd: list[Any] = [
        [], {"version": "9"}, {"version": 9, "upsert": {"routes": [{"host": "x"}]}}, {"version": 9, "remove": 4},
        {"version": 9, "remove": {"limits": []}},
    ]  # fmt: skip
    assert all(m.patched(document(7), change).is_err() for change in odd)

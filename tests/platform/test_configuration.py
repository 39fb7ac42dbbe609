"""Tests of the translation of the platform's configuration, and of the errors for each kind of invalid document."""

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
    configured = adapter("configuration").operator_configuration(document(7)).unwrap()
    assert configured["version"] == 7 and list(configured["routes"]) == ["r1", "r2", "r3"]
    r1, r2, r3 = configured["routes"].values()
    assert r1["host"] == "x.example" and r1["split"] == [{"pool": "llm", "weight": 90}, {"pool": "old", "weight": 10}]
    assert (r1["timeout"], r1["target"], r1["gap"], r1["resumable"], r1["tokens"]) == (5.0, 0.25, 0.3, True, True)
    assert r2["split"] == [{"pool": "app", "weight": 1}] and not r2["resumable"]
    assert (r3["kind"], r3["quota"], r3["due"], r3["expire"], r3["tries"]) == ("lot", 1100000, 8.0, 20.0, 3)
    assert configured["pools"]["llm"] == {
        "kind": "model", "servers": {}, "health": "/health", "conns": 230, "cold_rate": 32.0, "kv": 232000,
    }  # fmt: skip
    assert configured["limits"] == {"head_bytes": 16384, "body_bytes": 4194304, "head_ms": 3000, "idle_ms": 15000}


def changed_document(change: Any) -> dict[str, Any]:
    changed = copy.deepcopy(document(7))
    change(changed)
    return changed


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
        (lambda d: d["routes"][0]["split"][0].update(weight=-0.00001), "routes[0].split"),
        (lambda d: d["routes"][0]["split"][0].update(weight=10**400), "routes[0].split[0].weight"),
        (lambda d: d["routes"][1].update(timeoutMs=10**400), "routes[1].timeoutMs"),
        (lambda d: d["routes"][1].update(targetMs=10**400), "routes[1].targetMs"),
        (lambda d: d["services"][0].update(coldRateS=10**400), "services[0].coldRateS"),
        (lambda d: d["routes"][1].update(timeoutMs=0), "routes[1].timeoutMs"),
        (lambda d: d["routes"][1].update(prefix="/one/"), "routes[1].prefix"),
        (lambda d: d["routes"][1].update(name="r1", prefix="/one/"), "routes[1].name"),
        (lambda d: d["routes"][1].update(prefix="/two"), "routes[1].prefix"),
        (lambda d: d.update(routes={"r1": {}}), "routes"),
        (lambda d: d.update(version="7"), "version"),
        (lambda d: d["limits"].update(idleMs=0), "limits.idleMs"),
    ],
)
def test_an_invalid_document_is_rejected_with_the_path_of_its_error(change: Any, path: str) -> None:
    errors = adapter("configuration").operator_configuration(changed_document(change)).unwrap_err()
    assert errors[0].split(":")[0] == path


def test_a_patch_replaces_and_adds_named_items_and_removes_others() -> None:
    configuration_module = adapter("configuration")
    replacement = document(7)["routes"][1] | {"timeoutMs": 900}
    added = document(7)["routes"][1] | {"name": "r9", "prefix": "/nine/"}
    change = {"version": 9, "upsert": {"routes": [replacement, added]}, "remove": {"routes": ["r1", "none"]}}
    merged = configuration_module.patched(document(7), change).unwrap()
    assert [r["name"] for r in merged["routes"]] == ["r2", "r3", "r9"] and merged["routes"][0]["timeoutMs"] == 900
    assert merged["version"] == 9 and merged["services"] == document(7)["services"]
    malformed_changes: list[Any] = [
        [], {"version": "9"}, {"version": 9, "upsert": {"routes": [{"host": "x"}]}}, {"version": 9, "remove": 4},
        {"version": 9, "remove": {"limits": []}},
    ]  # fmt: skip
    assert all(configuration_module.patched(document(7), change).is_err() for change in malformed_changes)


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ([90, 10], [90, 10]),
        ([0.5, 0.25, 0], [5000, 2500, 0]),
        ([0.5, 1e305], [1, 1_000_000]),
        ([1e308, 1e308], [1_000_000, 1_000_000]),
        ([1e-9, 3e-9], [333_333, 1_000_000]),
        ([3_000_000_000, 3_000_000_000], [1_000_000, 1_000_000]),
        ([5e-324, 1], [1, 1_000_000]),
    ],
)
def test_weights_of_any_size_keep_their_proportion(weights: list[float], expected: list[int]) -> None:
    """Large ones ended the primary of control; a total of more than 32 bits kept all requests from the last services."""
    services = ["llm", "old", "app"][: len(weights)]
    split = [{"service": name, "weight": weight} for name, weight in zip(services, weights, strict=True)]
    configured = adapter("configuration").operator_configuration(
        changed_document(lambda d: d["routes"][0].update(split=split))
    )
    assert [part["weight"] for part in configured.unwrap()["routes"]["r1"]["split"]] == expected

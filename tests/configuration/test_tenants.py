"""Tests of tenants in the configuration: which are invalid, and which of their keys an older daemon may not know."""

from __future__ import annotations

from typing import Any

import pytest

from bench.plan import manifest
from postpass.configuration.configuration import used_keys
from postpass.configuration.configuration_check import check
from postpass.configuration.json_delta import reusing
from postpass.configuration.tenant_keys import is_digest, key_digest

DIGEST_A, DIGEST_B = key_digest(b"a"), key_digest(b"b")


def tenant(*keys: str, **other: Any) -> dict[str, Any]:
    return {"keys": list(keys), "rate": 0.0, "burst": 0.0} | other


def errors_of(tenants: Any) -> list[str]:
    return check(manifest() | {"tenants": tenants}).err() or []


def test_valid_tenants_are_accepted() -> None:
    assert errors_of({}) == []
    assert errors_of({"t": tenant(DIGEST_A, DIGEST_A, rank=2), "u": tenant(DIGEST_B, rate=63.0, burst=6.5)}) == []


@pytest.mark.parametrize(
    ("tenants", "error"),
    [
        ({"t": tenant(DIGEST_A), "u": tenant(DIGEST_B, DIGEST_A)}, "tenants.u.keys[1]: is also a key of t"),
        ({"t": tenant("q9wxk3nsr7t2vbbm4cpl")}, "tenants.t.keys[0]: want a digest of 32 hexadecimal digits"),
        ({"t": tenant(DIGEST_A.upper())}, "tenants.t.keys[0]: want a digest of 32 hexadecimal digits"),
        ({"t": tenant(rate=-1.0)}, "tenants.t.rate: want 0 or more, got -1.0"),
        ({"t": tenant(burst=-1.0)}, "tenants.t.burst: want 0 or more, got -1.0"),
        ({"": tenant()}, "tenants: want a name, got an empty string"),
        ({"t": {"keys": []}}, "tenants.t.rate: missing, want a number"),
        ({"t": tenant(odd=1)}, "tenants.t.odd: unknown key; known are burst, keys, rank, rate"),
    ],
)
def test_an_invalid_tenant_is_rejected_with_the_path(tenants: Any, error: str) -> None:
    assert errors_of(tenants)[0] == error


def test_used_keys_include_those_of_tenants_and_routes() -> None:
    plain: Any = manifest()
    route = {"host": "h", "prefix": "/", "public": True}
    newer: Any = plain | {"tenants": {"t": tenant(rank=1)}, "routes": {"r": route}}
    assert used_keys(newer) - used_keys(plain) == {
        "tenants", "tenants.keys", "tenants.rate", "tenants.burst", "tenants.rank",
        "routes", "routes.host", "routes.prefix", "routes.public",
    }  # fmt: skip


def test_a_digest_is_distinguished_from_a_key() -> None:
    assert is_digest(DIGEST_A) and not is_digest(DIGEST_A[:-1]) and not is_digest(f"{DIGEST_A}\n")


def test_equal_parts_are_the_objects_of_the_older_value() -> None:
    old: Any = {"a": {"x": [1], "y": [2]}, "b": {"z": 3}}
    new: Any = {"c": 1, "b": {"z": 3}, "a": {"x": [1], "y": [5]}}
    result = reusing(old, new)
    assert result == new and list(result) == list(new)
    assert result["b"] is old["b"] and result["a"]["x"] is old["a"]["x"] and result["a"]["y"] is new["a"]["y"]
    assert reusing(old, {"b": {"z": 3}, "a": {"x": [1], "y": [2]}}) is old

"""Tests of the tenants in the platform's configuration: their translation, the errors in them, and patches of them."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from postpass.configuration.tenant_keys import key_digest
from tests.platform.test_configuration import document
from tests.platform.test_settings import ANY_JSON, adapter, tables

KEY_A, KEY_B, KEY_C = "h5mgjy5rcpihhacrudde", "dev3nax7u27gxprymh2r", "q9wxk3nsr7t2vbbm4cpl"


def tenants() -> list[dict[str, Any]]:
    return [
        {"name": "huka270", "keys": [KEY_A, KEY_B], "prio": 1, "rateS": 63, "burst": 6.5},
        {"name": "lano118", "keys": [KEY_C]},
    ]


def with_tenants(version: int = 7) -> dict[str, Any]:
    raw_document = document(version) | {"tenants": tenants()}
    raw_document["routes"][1]["public"] = True
    raw_document["routes"][2]["public"] = False
    return raw_document


def translate(raw: Any) -> Any:
    return adapter("configuration").operator_configuration(raw)


def digest(key: str) -> str:
    return key_digest(key.encode())


def test_tenants_are_read_with_digests_in_place_of_keys() -> None:
    configured = translate(with_tenants()).unwrap()
    assert configured["tenants"] == {
        "huka270": {"keys": [digest(KEY_A), digest(KEY_B)], "rate": 63.0, "burst": 6.5, "rank": 1},
        "lano118": {"keys": [digest(KEY_C)], "rate": 0.0, "burst": 0.0},
    }
    assert [route.get("public", False) for route in configured["routes"].values()] == [False, True, False]
    assert not any(key in json.dumps(configured) for key in (KEY_A, KEY_B, KEY_C))


def test_a_document_without_tenants_has_none_and_one_with_an_empty_list_has_an_empty_table() -> None:
    assert "tenants" not in translate(document(7)).unwrap()
    assert "tenants" not in translate(document(7) | {"tenants": None}).unwrap()
    assert translate(document(7) | {"tenants": []}).unwrap()["tenants"] == {}


def test_a_key_that_is_listed_twice_in_one_tenant_counts_once() -> None:
    raw = document(7) | {"tenants": [{"name": "t", "keys": [KEY_A, KEY_A, KEY_B]}]}
    assert translate(raw).unwrap()["tenants"]["t"]["keys"] == [digest(KEY_A), digest(KEY_B)]


@pytest.mark.parametrize("value", ANY_JSON, ids=repr)
def test_a_field_that_is_not_read_is_skipped_at_every_depth_whatever_its_type(value: Any) -> None:
    raw = with_tenants()
    expected = translate(raw).unwrap()
    for i in range(len(list(tables(raw)))):
        changed = copy.deepcopy(raw)
        list(tables(changed))[i]["laterField"] = copy.deepcopy(value)
        assert translate(changed).unwrap() == expected
    unread_fields = {"proto": value, "tls": value, "warmupS": value}
    services = [service | unread_fields for service in raw["services"]]
    services[0]["engine"] = services[0]["engine"] | {"slots": value, "models": value, "interval": value}
    assert translate(raw | {"services": services, "homes": value, "regionsOk": value}).unwrap() == expected


def test_null_counts_as_not_set_and_a_whole_number_may_have_a_point() -> None:
    raw = with_tenants()
    raw["tenants"][0] |= {"prio": 1.0, "rateS": None, "burst": None}
    raw["routes"][0] |= {"prio": 0.0, "tries": 2.0, "public": None, "maxQueued": None}
    raw["version"] = 7.0
    configured = translate(raw).unwrap()
    assert configured["tenants"]["huka270"] == {
        "keys": [digest(KEY_A), digest(KEY_B)], "rate": 0.0, "burst": 0.0, "rank": 1,
    }  # fmt: skip
    numbers = (configured["version"], configured["routes"]["r1"]["tries"], configured["tenants"]["huka270"]["rank"])
    assert [type(number) for number in numbers] == [int, int, int]


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (lambda t: t[1].update(name="huka270"), "tenants[1].name: 'huka270' stands twice"),
        (lambda t: t[1].update(keys=[KEY_C, KEY_B]), "tenants[1].keys[1]: is also a key of tenants[0]"),
        (lambda t: t[1].update(keys=[""]), "tenants[1].keys[0]: want a key, got an empty string"),
        (lambda t: t[1].update(name=""), "tenants[1].name: want a name that can be sent in a header, got ''"),
        (lambda t: t[1].update(name="a\r\nb"), r"tenants[1].name: want a name that can be sent in a header, got 'a\r\nb'"),
        (lambda t: t[0].update(rateS=-1), "tenants[0].rateS: want 0 or more, got -1"),
        (lambda t: t[0].update(burst=-0.5), "tenants[0].burst: want 0 or more, got -0.5"),
        (lambda t: t[0].pop("keys"), "tenants[0].keys: missing, want a list"),
        (lambda t: t[0].pop("name"), "tenants[0].name: missing, want a string"),
        (lambda t: t[0].update(keys=KEY_A), "tenants[0].keys: want a list"),
        (lambda t: t[0].update(keys=[[KEY_A]]), "tenants[0].keys[0]: want a string"),
        (lambda t: t[0].update(rateS="63"), "tenants[0].rateS: want a number"),
        (lambda t: t[0].update(prio=True), "tenants[0].prio: want a whole number"),
        (lambda t: t.append(KEY_A), "tenants[2]: want an object"),
    ],
)  # fmt: skip
def test_an_invalid_tenant_is_refused_with_the_path_and_without_its_keys(change: Any, error: str) -> None:
    raw = with_tenants()
    change(raw["tenants"])
    errors = translate(raw).unwrap_err()
    assert errors == [error]
    assert not any(key in errors[0] for key in (KEY_A, KEY_B, KEY_C))


def test_the_errors_in_a_malformed_document_do_not_show_its_contents() -> None:
    assert translate([{"keys": [KEY_A]}]).unwrap_err() == ["(top): want an object"]
    assert translate(document(7) | {"tenants": {"t": KEY_A}}).unwrap_err() == ["tenants: want a list"]


def patched(source: Any, **change: Any) -> Any:
    return adapter("configuration").patched(source, {"version": 9} | change)


def test_a_patch_adds_replaces_and_removes_tenants() -> None:
    changed = {"name": "huka270", "keys": [KEY_B]}
    added = {"name": "piru400", "keys": [], "rateS": 4}
    merged = patched(
        with_tenants(), upsert={"tenants": [changed, added]}, remove={"tenants": ["lano118", "none"]}
    ).unwrap()
    assert merged["tenants"] == [changed, added] and merged["version"] == 9
    assert merged["routes"] == with_tenants()["routes"] and merged["services"] == with_tenants()["services"]
    # A patch replaces the complete tenant: a field that the patch leaves out isn't set any more.
    assert translate(merged).unwrap()["tenants"]["huka270"] == {
        "keys": [digest(KEY_B)],
        "rate": 0.0,
        "burst": 0.0,
    }


def test_a_patch_of_something_else_neither_adds_nor_removes_tenants() -> None:
    changes: list[dict[str, Any]] = [
        {}, {"remove": {"tenants": ["huka270"]}}, {"upsert": {"tenants": []}}, {"upsert": {"tenants": None}},
    ]  # fmt: skip
    for change in changes:
        assert "tenants" not in patched(document(7), **change).unwrap()
    assert patched(with_tenants(), remove={"routes": ["r1"]}).unwrap()["tenants"] == tenants()
    without_items = patched(with_tenants(), remove={"tenants": ["huka270", "lano118"]}).unwrap()
    assert without_items["tenants"] == []
    assert patched(document(7), upsert={"tenants": tenants()}).unwrap()["tenants"] == tenants()


def test_a_patch_changes_a_list_that_is_not_read_and_keeps_it_in_the_document() -> None:
    source = with_tenants() | {"zones": [{"name": "a", "x": 1}, {"name": "b"}, {"nameless": True}], "odd": {"a": 1}}
    merged = patched(source, upsert={"zones": [{"name": "b", "x": 2}, {"name": "c"}]}, remove={"zones": ["a"]}).unwrap()
    assert merged["zones"] == [{"name": "b", "x": 2}, {"nameless": True}, {"name": "c"}] and merged["odd"] == {"a": 1}
    assert patched(source, upsert={"quotas": [{"name": "q"}]}).unwrap()["quotas"] == [{"name": "q"}]
    assert "quotas" not in patched(source, remove={"quotas": ["q"]}).unwrap()


@pytest.mark.parametrize("value", ANY_JSON, ids=repr)
def test_a_patch_of_something_that_is_read_may_also_change_anything_that_is_not(value: Any) -> None:
    route = document(7)["routes"][0] | {"timeoutMs": 900}
    change = {"upsert": {"routes": [route], "later": value}, "remove": {"later2": value}, "later3": value}
    merged = patched(with_tenants(), **change).unwrap()
    assert merged["routes"][0]["timeoutMs"] == 900 and translate(merged).is_ok()


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"upsert": {"later": {"name": "x"}}}, "upsert.later: want a list"),
        ({"remove": {"later": [4]}}, "remove.later[0]: want a name"),
        ({"upsert": {"later": [{"x": 1}]}}, "upsert.later[0].name: missing, want a string"),
        ({"remove": {"limits": []}}, "remove.limits: is no list of named items; want routes, services, tenants"),
        ({"upsert": {"routes": [], "limits": {}}}, "upsert.limits: is no list of named items; want routes, services, tenants"),
        ({"upsert": {"tenants": {"name": "t", "keys": [KEY_A]}}}, "upsert.tenants: want a list"),
        ({"upsert": {"tenants": [{"keys": [KEY_A]}]}}, "upsert.tenants[0].name: missing, want a string"),
        ({"remove": {"tenants": [{"name": "t"}]}}, "remove.tenants[0]: want a name"),
        ({"remove": {"routes": "r1"}}, "remove.routes: want a list"),
        ({"upsert": [KEY_A]}, "upsert: want an object"),
        ({"version": None}, "version: missing, want a whole number"),
        ({"version": True}, "version: missing, want a whole number"),
        ({"version": 9.5}, "version: missing, want a whole number"),
    ],
)  # fmt: skip
def test_the_errors_in_a_malformed_patch_do_not_show_its_contents(change: Any, error: str) -> None:
    assert patched(with_tenants(), **change).unwrap_err() == [error]

"""Validation of a job's body."""

from typing import Any

import pytest

from postpass.batch.job_api import drop_unknown_fields, find_job_error
from tests.platform.test_settings import ANY_JSON


def item(**other: Any) -> dict[str, Any]:
    return {"id": "i1", "path": "/a/1", "headers": {"x-model": "m"}, "body": "q83v", "tokens": 9} | other


class Test_find_job_error:
    def test_a_valid_job_has_none(self) -> None:
        assert find_job_error({"items": [item(), item(id="i2")]}) == ""

    @pytest.mark.parametrize(
        ("raw", "path"),
        [
            ([], "(top)"), ({}, "items"), ({"items": []}, "items"), ({"items": [item()] * 201}, "items"),
            ({"items": [item(), item()]}, "items[1].id"), ({"items": [item(path="a")]}, "items[0].path"),
            ({"items": [item(body="?")]}, "items[0].body"), ({"items": [item(tokens=-1)]}, "items[0].tokens"),
            ({"items": [item(tokens="9")]}, "items[0].tokens"), ({"items": [item(headers={"a": 1})]},
            "items[0].headers.a"), ({"items": [item(headers={"a": "b\r\nc"})]}, "items[0].headers.'a'"), ({"items":
            [item(headers={"a": "b\0c"})]}, "items[0].headers.'a'"), ({"items": [item(headers={"a": "b\u20acc"})]},
            "items[0].headers.'a'"), ({"items": [item(headers={"content-length ": "5"})]},
            "items[0].headers.'content-length '"), ({"items": [item(headers={"\u00fc": "5"})]},
            "items[0].headers.'\u00fc'"), ({"items": [item(path="/\u20ac")]}, "items[0].path"),
        ],
    )  # fmt: skip
    def test_an_error_names_its_path(self, raw: Any, path: str) -> None:
        assert find_job_error(raw).split(":")[0] == path


class Test_known_body:
    @pytest.mark.parametrize("value", ANY_JSON, ids=repr)
    def test_a_field_that_is_not_read_is_skipped_at_every_depth_whatever_its_type(self, value: Any) -> None:
        body = drop_unknown_fields(
            {"later": value, "items": [item(later=value), item(id="i2") | {"more": {"later": value}}]}
        )
        assert body == {"items": [item(), item(id="i2")]} and find_job_error(body) == ""

    def test_names_of_headers_are_no_fields(self) -> None:
        headers = {"x-model": "m", "x-later": "7"}
        assert drop_unknown_fields({"items": [item(headers=headers)]})["items"][0]["headers"] == headers
        assert find_job_error(drop_unknown_fields({"items": [item(headers={"later": 4})]})).startswith(
            "items[0].headers.later: "
        )

    def test_a_number_of_tokens_may_have_a_point(self) -> None:
        body = drop_unknown_fields({"items": [item(tokens=940.0)]})
        assert find_job_error(body) == "" and type(body["items"][0]["tokens"]) is int

    def test_a_body_of_another_shape_keeps_its_error(self) -> None:
        for raw, path in (([], "(top)"), ({"items": {}}, "items"), ({"items": [4]}, "items[0]")):
            assert find_job_error(drop_unknown_fields(raw)).split(":")[0] == path

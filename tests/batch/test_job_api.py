"""What a lot's body may be."""

from typing import Any

import pytest

from postpass.batch.job_api import job_flaw


def item(**other: Any) -> dict[str, Any]:
    return {"id": "i1", "path": "/a/1", "headers": {"x-model": "m"}, "body": "q83v", "tokens": 9} | other


class Test_job_flaw:
    def test_a_proper_lot_has_none(self) -> None:
        assert job_flaw({"items": [item(), item(id="i2")]}) == ""

    @pytest.mark.parametrize(
        ("raw", "path"),
        [
            ([], "(top)"), ({}, "items"), ({"items": []}, "items"), ({"items": [item()] * 201}, "items"),
            ({"items": [item(), item()]}, "items[1].id"), ({"items": [item(path="a")]}, "items[0].path"),
            ({"items": [item(body="?")]}, "items[0].body"), ({"items": [item(tokens=-1)]}, "items[0].tokens"),
            ({"items": [item(tokens="9")]}, "items[0].tokens"), ({"items": [item(headers={"a": 1})]}, "items[0].headers.a"),
            ({"items": [item(headers={"a": "b\r\nc"})]}, "items[0].headers.'a'"),
            ({"items": [item(headers={"a": "b\0c"})]}, "items[0].headers.'a'"),
            ({"items": [item(headers={"a": "b\u20acc"})]}, "items[0].headers.'a'"),
            ({"items": [item(headers={"content-length ": "5"})]}, "items[0].headers.'content-length '"),
            ({"items": [item(headers={"\u00fc": "5"})]}, "items[0].headers.'\u00fc'"),
            ({"items": [item(path="/\u20ac")]}, "items[0].path"),
        ],
    )  # fmt: skip
    def test_a_flaw_is_told_with_its_path(self, raw: Any, path: str) -> None:
        assert job_flaw(raw).split(":")[0] == path

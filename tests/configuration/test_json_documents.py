"""Tests of postpass.configuration.json_documents: what is read can be written again, and everything else is refused."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from postpass.configuration.json_documents import MAXIMUM_DEPTH, parse_json

ODD_LEAVES = st.one_of(
    st.none(), st.booleans(), st.integers(), st.integers(10**400, 10**401), st.floats(),
    st.text(st.characters(codec=None)),
    st.sampled_from(["\ud83d", "\udc00", "\x00", "\r\n", "\U0001f69a", "/", "x" * 7000]),
)  # fmt: skip
ODD_DOCUMENTS = st.recursive(
    ODD_LEAVES,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(st.characters(codec=None)), inner),
    max_leaves=12,
)


def is_writable(value: Any) -> bool:
    try:
        json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
    except ValueError:
        return False
    return True


@given(ODD_DOCUMENTS)
def test_just_what_can_be_written_again_is_read(value: Any) -> None:
    parsed = parse_json(json.dumps(value).encode())
    assert parsed.is_ok() == is_writable(value)
    if parsed.is_ok():
        assert parsed.unwrap() == value
    else:
        assert is_writable(parsed.unwrap_err())


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    parsed = parse_json(data)
    assert is_writable(parsed.unwrap() if parsed.is_ok() else parsed.unwrap_err())


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (b'{"a": ["\\ud83d"]}', "a[0]: want whole characters"),
        (b'{"a": {"\\ud83d": 1}}', "a.\\ud83d: want whole characters in a key"),
        (b'{"a": "\xed\xa0\xbd"}', "(top): want UTF-8"),
        (b'{"a": 1e400}', "(top): not JSON: want a finite number, got 1e400"),
        (b'{"a": NaN}', "(top): not JSON: want a finite number, got NaN"),
        (b"-Infinity", "(top): not JSON: want a finite number"),
        (b"9" * 5000, "(top): not JSON"),
        (b"[" * 100_000, "(top): not JSON: want at most 100 levels"),
        (b'{"a":' * (MAXIMUM_DEPTH + 1) + b"0" + b"}" * (MAXIMUM_DEPTH + 1), "a.a.a."),
        (b"", "(top): not JSON"),
        ('{"a": 1}'.encode("utf-16"), "(top): want UTF-8"),
    ],
)
def test_an_error_says_where_and_what_is_wrong(text: bytes, error: str) -> None:
    assert parse_json(text).unwrap_err().startswith(error)


def test_what_only_looks_odd_is_read() -> None:
    odd_values: list[Any] = ["\U0001f69a", "\x00", 10**400, 1e308, -0.0, [[[]]], {"": ""}]
    for value in odd_values:
        assert parse_json(json.dumps(value).encode()).unwrap() == value
    assert parse_json(b"\xef\xbb\xbf1").unwrap() == 1
    deepest = b"[" * MAXIMUM_DEPTH + b"]" * MAXIMUM_DEPTH
    assert parse_json(deepest).is_ok()

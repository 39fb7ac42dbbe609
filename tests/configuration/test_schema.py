"""Tests of postpass.configuration.schema."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

from postpass.configuration.schema import validation_errors


class Leaf(TypedDict):
    size: int
    mode: Literal["a", "b"]
    note: NotRequired[str]


class Tree(TypedDict):
    leaves: dict[str, Leaf]
    rate: float


def test_every_error_is_listed_with_its_path() -> None:
    valid = {"leaves": {"x": {"size": 1, "mode": "a"}}, "rate": 2}
    assert validation_errors(Tree, valid) == []
    invalid = {"leaves": {"x": {"size": True, "mode": "c", "odd": 1}}, "rate": float("nan")}
    errors = validation_errors(Tree, invalid)
    assert [f.split(":")[0] for f in errors] == ["leaves.x.odd", "leaves.x.size", "leaves.x.mode", "rate"]
    assert validation_errors(Tree, []) == ["(top): want an object, got []"]
    assert validation_errors(Tree, {"leaves": {}})[0].startswith("rate: missing")

"""No module of the product walks a set in an order that two processes needn't share: runs could not be repeated."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tests.support.unordered_walks import declarations, walked_sets

ROOT = Path(__file__).parents[1]
SOURCES = sorted(path for folder in ("postpass", "platform") for path in (ROOT / folder).rglob("*.py"))


def test_no_set_is_walked_where_the_order_may_count() -> None:
    texts = {path.relative_to(ROOT).as_posix(): path.read_text() for path in SOURCES}
    declared = declarations(ast.parse(text) for text in texts.values())
    assert {name: found for name, text in texts.items() if (found := walked_sets(text, declared))} == {}


@pytest.mark.parametrize(
    "walk",
    [
        "for name in {a, b}: pass",
        "x = [name for name in set(names)]",
        "x = {name: 1 for name in {*a, *b} - {c}}",
        "x = list({n for n in names})",
        "x = ', '.join({n for n in names})",
        "send(*set(names))",
        "x = next(iter(set(names)))",
        "s: set[str] = f()\nfor name in s: pass",
        "s = a & set(b)\nfor name in list(s): pass",
        "class A:\n    links: dict[str, set[Link]]\n    def f(self):\n        for link in self.links[a]: pass",
        "class A:\n    tasks: set[Task]\n    def f(self):\n        x = [t for t in self.tasks]",
        "def f() -> frozenset[str]: ...\nfor name in f(): pass",
        "def f(names: set[str]):\n    def g():\n        return [n for n in names]",
        "class A:\n    tasks: set[Task]\n    async def f(self):\n        x = await asyncio.gather(*self.tasks)",
    ],
)
def test_a_walk_over_a_set_is_found(walk: str) -> None:
    assert len(walked_sets(walk)) == 1


@pytest.mark.parametrize(
    "walk",
    [
        "x = sorted({a, b})",
        "x = any(n for n in {a, b})",
        "x = {n for n in set(names)}",
        "x = name in {a, b}",
        "x = {*set(names), a}",
        "for number in {1, 2}: pass",
        "s: set[int] = f()\nfor number in s: pass",
        "class A:\n    part: int\nx = [p for p in {a.part for a in all_of_them}]",
        "for name in dict.fromkeys(names): pass",
        "class A:\n    tasks: set[Task]\n    async def f(self):\n        await asyncio.gather(*self.tasks)",
        "def f(names: list[str]):\n    for n in names: pass\ndef g(names: set[str]):\n    return len(names)",
    ],
)
def test_a_walk_whose_order_does_not_count_is_passed_over(walk: str) -> None:
    assert walked_sets(walk) == []

"""Tests of postpass.configuration.json_delta."""

from __future__ import annotations

from typing import Any

from postpass.configuration.json_delta import delta, patch


def test_a_delta_leads_from_old_to_new_without_modifying_old() -> None:
    import json
    import random

    generator = random.Random(5)

    def tree(depth: int) -> Any:
        if depth == 0 or generator.random() < 0.2:
            return generator.choice([1, "x", None, [1, 2], True])
        return {generator.choice("abcd"): tree(depth - 1) for _ in range(generator.randrange(4))}

    for _ in range(300):
        old, new = {"r": tree(3)}, {"r": tree(3)}
        before = json.dumps(old)
        assert patch(old, delta(old, new)) == new
        assert patch(old, delta(old, new, splices=True)) == new
        assert json.dumps(old) == before
    assert delta({"a": 1}, {"a": 1}) == []


def test_a_splice_carries_only_the_part_of_a_list_that_differs() -> None:
    import random

    generator = random.Random(7)
    for _ in range(500):
        old = {"routes": [generator.randrange(3) for _ in range(generator.randrange(6))]}
        new = {"routes": [generator.randrange(3) for _ in range(generator.randrange(6))]}
        assert patch(old, delta(old, new, splices=True)) == new
    old_routes = {"routes": [{"name": n} for n in range(1000)]}
    new_routes = {"routes": [{"name": n, "more": 1} if n == 500 else {"name": n} for n in range(1000)]}
    assert delta(old_routes, new_routes, splices=True) == [[["routes"], 500, 1, [{"name": 500, "more": 1}]]]

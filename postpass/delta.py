"""What changed between two JSON objects, and the other way round: the numbered feed carries these."""

from __future__ import annotations

from typing import Any

Delta = list[list[Any]]  # [path] drops what is there; [path, value] sets it


def delta(old: Any, new: Any, path: tuple[str, ...] = ()) -> Delta:
    """Invariant: patch(old, delta(old, new)) == new, keys in the order of `new`'s additions."""
    if old is new:
        return []
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [] if old == new else [[list(path), new]]
    gone: Delta = [[[*path, k]] for k in old if k not in new]
    fresh: Delta = [[[*path, k], v] for k, v in new.items() if k not in old]
    return gone + fresh + [d for k in old if k in new for d in delta(old[k], new[k], (*path, k))]


def patch(old: Any, changes: Delta) -> Any:
    for change in changes:
        old = _put(old, change[0], change[1:])
    return old


def _put(tree: Any, path: list[str], value: list[Any]) -> Any:
    if not path:
        return value[0]
    name, rest = path[0], path[1:]
    if not rest and not value:
        return {k: v for k, v in tree.items() if k != name}
    return tree | {name: _put(tree.get(name, {}), rest, value)}


def test_a_delta_leads_from_old_to_new_and_leaves_old_alone() -> None:
    import json
    import random

    chance = random.Random(5)

    def tree(depth: int) -> Any:
        if depth == 0 or chance.random() < 0.2:
            return chance.choice([1, "x", None, [1, 2], True])
        return {chance.choice("abcd"): tree(depth - 1) for _ in range(chance.randrange(4))}

    for _ in range(300):
        old, new = {"r": tree(3)}, {"r": tree(3)}
        before = json.dumps(old)
        assert patch(old, delta(old, new)) == new
        assert json.dumps(old) == before
    assert delta({"a": 1}, {"a": 1}) == []

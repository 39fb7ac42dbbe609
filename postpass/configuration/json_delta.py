"""What changed between two JSON objects, and the other way round: the numbered feed carries these."""

from __future__ import annotations

from typing import Any

# [path] drops what is there; [path, value] sets it; [path, start, count, items] replaces a part of a list.
Delta = list[list[Any]]


def delta(old: Any, new: Any, path: tuple[str, ...] = (), splices: bool = False) -> Delta:
    """Invariant: patch(old, delta(old, new)) == new, keys in the order of `new`'s additions.

    With `splices` only the part of a list that differs is given; the feed gives whole lists, which every release reads.
    """
    if old is new:
        return []
    if splices and isinstance(old, list) and isinstance(new, list):
        return _splice(old, new, path)
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [] if old == new else [[list(path), new]]
    gone: Delta = [[[*path, k]] for k in old if k not in new]
    fresh: Delta = [[[*path, k], v] for k, v in new.items() if k not in old]
    return gone + fresh + [d for k in old if k in new for d in delta(old[k], new[k], (*path, k), splices)]


def _splice(old: list[Any], new: list[Any], path: tuple[str, ...]) -> Delta:
    shorter = min(len(old), len(new))
    start = next((i for i in range(shorter) if old[i] != new[i]), shorter)
    if start == len(old) == len(new):
        return []
    rest = shorter - start
    same_end = next((i for i in range(rest) if old[-1 - i] != new[-1 - i]), rest)
    return [[list(path), start, len(old) - start - same_end, new[start : len(new) - same_end]]]


def reusing(old: Any, new: Any) -> Any:
    """`new`, with the parts that are equal to those of `old` at the same place taken from `old`, for what compares by
    identity first."""
    if old == new:
        return old
    if isinstance(old, dict) and isinstance(new, dict):
        return {key: reusing(old[key], value) if key in old else value for key, value in new.items()}
    return new


def patch(old: Any, changes: Delta) -> Any:
    """The value that the changes lead to from `old`, which stays as it is; the two share what did not change."""
    for change in changes:
        old = _put(old, change[0], change[1:])
    return old


def _put(tree: Any, path: list[str], value: list[Any]) -> Any:
    if not path and len(value) == 3:
        start, count, items = value
        return [*tree[:start], *items, *tree[start + count :]]
    if not path:
        return value[0]
    name, rest = path[0], path[1:]
    if not rest and not value:
        return {k: v for k, v in tree.items() if k != name}
    return tree | {name: _put(tree.get(name, {}), rest, value)}

"""Differences between two JSON values, and their application. The configuration feed carries such differences."""

from __future__ import annotations

from typing import Any

# Each change is one of: [path] removes the value at the path; [path, value] sets it; [path, start, count, items]
# replaces `count` elements of the list at the path, from index `start` on, by `items`.
Delta = list[list[Any]]


def delta(old: Any, new: Any, path: tuple[str, ...] = (), splices: bool = False) -> Delta:
    """Returns the changes that lead from `old` to `new`, both of which are at `path`.

    Invariant: patch(old, delta(old, new)) == new; added keys come in the order in which `new` has them. With `splices`,
    a change of a list holds only the part that differs. The feed doesn't use that: it sends complete lists, which every
    release can read.
    """
    if old is new:
        return []
    if splices and isinstance(old, list) and isinstance(new, list):
        return _splice(old, new, path)
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [] if old == new else [[list(path), new]]
    removed: Delta = [[[*path, k]] for k in old if k not in new]
    added: Delta = [[[*path, k], v] for k, v in new.items() if k not in old]
    return removed + added + [d for k in old if k in new for d in delta(old[k], new[k], (*path, k), splices)]


def _splice(old: list[Any], new: list[Any], path: tuple[str, ...]) -> Delta:
    shorter = min(len(old), len(new))
    start = next((i for i in range(shorter) if old[i] != new[i]), shorter)
    if start == len(old) == len(new):
        return []
    longest_suffix = shorter - start
    common_suffix = next((i for i in range(longest_suffix) if old[-1 - i] != new[-1 - i]), longest_suffix)
    return [[list(path), start, len(old) - start - common_suffix, new[start : len(new) - common_suffix]]]


def reusing(old: Any, new: Any) -> Any:
    """Returns a value equal to `new`, whose parts that equal those of `old` at the same path are the objects of `old`.

    It serves code that compares by identity before it compares by value.
    """
    if old == new:
        return old
    if isinstance(old, dict) and isinstance(new, dict):
        return {key: reusing(old[key], value) if key in old else value for key, value in new.items()}
    return new


def patch(old: Any, changes: Delta) -> Any:
    """Returns `old` with changes applied. `old` itself is not modified; the result shares its unchanged parts."""
    for change in changes:
        old = _apply_change(old, change[0], change[1:])
    return old


def _apply_change(tree: Any, path: list[str], operands: list[Any]) -> Any:
    if not path and len(operands) == 3:
        start, count, items = operands
        return [*tree[:start], *items, *tree[start + count :]]
    if not path:
        return operands[0]
    key, remaining_path = path[0], path[1:]
    if not remaining_path and not operands:
        return {k: v for k, v in tree.items() if k != key}
    return tree | {key: _apply_change(tree.get(key, {}), remaining_path, operands)}

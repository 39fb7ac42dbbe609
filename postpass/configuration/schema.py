"""A small checker: does a JSON value have the shape of a typed dictionary? Lists every flaw with its path.

Fields may be added to a document from outside at any time, with values of any JSON type. Whoever reads one takes
`known_fields` of what came first, and validates only that.
"""

from __future__ import annotations

import types
from functools import cache
from typing import Any, Literal, NotRequired, Required, Union, get_args, get_origin, get_type_hints

from typing_extensions import is_typeddict


@cache
def _types_of_fields(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def known_fields(kind: Any, raw: Any) -> Any:
    """What a value has of the type `kind`, in which typed dictionaries, lists and tables may be nested.

    Fields that the type doesn't name are left out, and so are those set to null, which count as not set. A number
    without a fraction stands for a whole number where one is wanted (5.0 for 5). What has another shape than the type
    is returned as it is, for validation to refuse.
    """
    root = get_origin(kind)
    if root in (NotRequired, Required):
        return known_fields(get_args(kind)[0], raw)
    if root is list and isinstance(raw, list):
        return [known_fields(get_args(kind)[0], value) for value in raw]
    if root is dict and isinstance(raw, dict):
        return {key: known_fields(get_args(kind)[1], value) for key, value in raw.items()}
    if is_typeddict(kind) and isinstance(raw, dict):
        types_of = _types_of_fields(kind)
        return {k: known_fields(types_of[k], value) for k, value in raw.items() if k in types_of and value is not None}
    if kind is int and isinstance(raw, float) and raw.is_integer():
        return int(raw)
    return raw


def type_description(kind: Any) -> str:
    """What an error says is wanted of a type."""
    names = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}
    if get_origin(kind) is Literal:
        return "one of " + ", ".join(map(str, get_args(kind)))
    if get_origin(kind) is list:
        return "a list"
    return names.get(kind, "an object")


def validation_errors(kind: Any, value: Any, path: str = "") -> list[str]:
    """Every way in which `value` is not a `kind`; an empty list means that it is one."""
    here = path or "(top)"
    root = get_origin(kind)
    if kind is Any:
        return []
    if root in (NotRequired, Required):
        return validation_errors(get_args(kind)[0], value, path)
    if root in (Union, types.UnionType):
        trials = [validation_errors(k, value, path) for k in get_args(kind)]
        return [] if any(not t for t in trials) else min(trials, key=len)
    if root is Literal:
        return [] if value in get_args(kind) else [f"{here}: want {type_description(kind)}, got {value!r:.40}"]
    if root is list:
        if not isinstance(value, list):
            return [f"{here}: want a list, got {value!r:.40}"]
        part = get_args(kind)[0]
        return [f for i, v in enumerate(value) for f in validation_errors(part, v, f"{path}[{i}]")]
    if root is dict:
        if not isinstance(value, dict):
            return [f"{here}: want an object, got {value!r:.40}"]
        part = get_args(kind)[1]
        return [f for k, v in value.items() for f in validation_errors(part, v, f"{path}.{k}" if path else str(k))]
    if is_typeddict(kind):
        return _object_errors(kind, value, path)
    if kind is float:
        good = isinstance(value, (int, float)) and not isinstance(value, bool)
        good = good and value == value and abs(value) != float("inf")
    elif kind is int:
        good = isinstance(value, int) and not isinstance(value, bool)
    else:
        good = isinstance(value, kind)
    return [] if good else [f"{here}: want {type_description(kind)}, got {value!r:.40}"]


def _object_errors(kind: Any, value: Any, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [f"{path or '(top)'}: want an object, got {value!r:.40}"]
    hints = _types_of_fields(kind)
    join = (lambda k: f"{path}.{k}") if path else str
    # Annotations are strings here, so the class itself can't tell which keys may be left out.
    must = [k for k, h in hints.items() if kind.__total__ and get_origin(h) is not NotRequired]
    lack = [f"{join(k)}: missing, want {type_description(hints[k])}" for k in must if k not in value]
    odd = [f"{join(k)}: unknown key; known are {', '.join(sorted(hints))}" for k in value if k not in hints]
    deep = [f for k, v in value.items() if k in hints for f in validation_errors(hints[k], v, join(k))]
    return lack + odd + deep

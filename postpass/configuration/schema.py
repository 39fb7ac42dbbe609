"""A small checker: does a JSON value have the shape of a typed dictionary? Lists every flaw with its path.

Fields may be added to a document from outside at any time, with values of any JSON type. Whoever reads one takes
`known_fields` of what came first, and validates only that.
"""

from __future__ import annotations

import types
from functools import cache
from typing import Any, Literal, NamedTuple, NotRequired, Required, Union, get_args, get_origin, get_type_hints

from typing_extensions import is_typeddict


class _Fields(NamedTuple):
    """The fields of a typed dictionary: the type of each, and which must be there."""

    types: dict[str, Any]
    required: tuple[str, ...]


@cache
def _fields_of(kind: Any) -> _Fields:
    hints = get_type_hints(kind, include_extras=True)
    types = {name: get_args(hint)[0] if _is_wrapped(hint) else hint for name, hint in hints.items()}
    # Annotations are strings here, so the class itself can't tell which keys may be left out.
    required = tuple(name for name, hint in hints.items() if kind.__total__ and get_origin(hint) is not NotRequired)
    return _Fields(types, required)


def _is_wrapped(hint: Any) -> bool:
    return get_origin(hint) in (NotRequired, Required)


@cache
def _is_typed_dictionary(kind: Any) -> bool:
    return is_typeddict(kind)


@cache
def _origin_of(kind: Any) -> Any:
    return get_origin(kind)


@cache
def _arguments_of(kind: Any) -> tuple[Any, ...]:
    return get_args(kind)


def known_fields(kind: Any, raw: Any) -> Any:
    """What a value has of the type `kind`, in which typed dictionaries, lists and tables may be nested.

    Fields that the type doesn't name are left out, and so are those set to null, which count as not set. A number
    without a fraction stands for a whole number where one is wanted (5.0 for 5). What has another shape than the type
    is returned as it is, for validation to refuse.
    """
    if not isinstance(raw, (dict, list)):
        return int(raw) if kind is int and isinstance(raw, float) and raw.is_integer() else raw
    root = _origin_of(kind)
    if root is list and isinstance(raw, list):
        part = _arguments_of(kind)[0]
        if part is str:
            return raw
        return [known_fields(part, value) for value in raw]
    if root is dict and isinstance(raw, dict):
        part = _arguments_of(kind)[1]
        return {key: known_fields(part, value) for key, value in raw.items()}
    if _is_typed_dictionary(kind) and isinstance(raw, dict):
        types = _fields_of(kind).types
        return {k: known_fields(types[k], value) for k, value in raw.items() if k in types and value is not None}
    return raw


_PLAIN = frozenset({str, int, bool})  # types of which every value will do


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
    if kind is Any or (type(value) is kind and kind in _PLAIN):
        return []
    if _is_typed_dictionary(kind):
        return _object_errors(kind, value, path)
    here = path or "(top)"
    root = _origin_of(kind)
    if root in (Union, types.UnionType):
        trials = [validation_errors(k, value, path) for k in get_args(kind)]
        return [] if any(not t for t in trials) else min(trials, key=len)
    if root is Literal:
        return [] if value in get_args(kind) else [f"{here}: want {type_description(kind)}, got {value!r:.40}"]
    if root is list:
        if not isinstance(value, list):
            return [f"{here}: want a list, got {value!r:.40}"]
        part = _arguments_of(kind)[0]
        if part in _PLAIN and all(type(v) is part for v in value):
            return []
        return [f for i, v in enumerate(value) for f in validation_errors(part, v, f"{path}[{i}]")]
    if root is dict:
        if not isinstance(value, dict):
            return [f"{here}: want an object, got {value!r:.40}"]
        part = get_args(kind)[1]
        return [f for k, v in value.items() for f in validation_errors(part, v, f"{path}.{k}" if path else str(k))]
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
    types, required = _fields_of(kind)
    join = (lambda k: f"{path}.{k}") if path else str
    lack = [f"{join(k)}: missing, want {type_description(types[k])}" for k in required if k not in value]
    odd = [f"{join(k)}: unknown key; known are {', '.join(sorted(types))}" for k in value if k not in types]
    deep = [f for k, v in value.items() if k in types for f in validation_errors(types[k], v, join(k))]
    return lack + odd + deep

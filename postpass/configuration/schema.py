"""Checks that a JSON value has the shape of a typed dictionary, and lists every error with its path.

A document from outside the product may gain fields at any time, with values of any JSON type. Code that reads one first
reduces it to its `known_fields`, and validates only those.
"""

from __future__ import annotations

import math
import types
from functools import cache
from typing import Any, Literal, NamedTuple, NotRequired, Required, Union, get_args, get_origin, get_type_hints

from typing_extensions import is_typeddict


class _Fields(NamedTuple):
    """The fields of a typed dictionary: the type of each, and the names of the required ones."""

    types: dict[str, Any]
    required: tuple[str, ...]


@cache
def _fields_of(expected_type: Any) -> _Fields:
    hints = get_type_hints(expected_type, include_extras=True)
    field_types = {name: get_args(hint)[0] if _is_wrapped(hint) else hint for name, hint in hints.items()}
    # Annotations are strings here, so the class's own `__required_keys__` doesn't show which keys may be left out.
    required = tuple(
        name for name, hint in hints.items() if expected_type.__total__ and get_origin(hint) is not NotRequired
    )
    return _Fields(field_types, required)


def _is_wrapped(hint: Any) -> bool:
    return get_origin(hint) in (NotRequired, Required)


@cache
def _is_typed_dictionary(expected_type: Any) -> bool:
    return is_typeddict(expected_type)


@cache
def _origin_of(expected_type: Any) -> Any:
    return get_origin(expected_type)


@cache
def _arguments_of(expected_type: Any) -> tuple[Any, ...]:
    return get_args(expected_type)


def known_fields(expected_type: Any, raw: Any) -> Any:
    """Returns a JSON value reduced to the fields that the type `expected_type` declares.

    Typed dictionaries, lists and dictionaries may be nested in the type. Fields that it doesn't declare are dropped,
    and so are those set to null, which count as absent. A float without a fraction is converted to an integer where the
    type asks for one (5.0 to 5). A value of another shape than the type is returned unchanged, so that validation
    rejects it.
    """
    if not isinstance(raw, (dict, list)):
        return int(raw) if expected_type is int and isinstance(raw, float) and raw.is_integer() else raw
    origin = _origin_of(expected_type)
    if origin is list and isinstance(raw, list):
        element_type = _arguments_of(expected_type)[0]
        if element_type is str:
            return raw
        return [known_fields(element_type, value) for value in raw]
    if origin is dict and isinstance(raw, dict):
        element_type = _arguments_of(expected_type)[1]
        return {key: known_fields(element_type, value) for key, value in raw.items()}
    if _is_typed_dictionary(expected_type) and isinstance(raw, dict):
        field_types = _fields_of(expected_type).types
        return {
            k: known_fields(field_types[k], value) for k, value in raw.items() if k in field_types and value is not None
        }
    return raw


_UNRESTRICTED_TYPES = frozenset({str, int, bool})  # types whose values need no further check


def type_description(expected_type: Any) -> str:
    """Returns the words by which an error message describes a type."""
    names = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}
    if get_origin(expected_type) is Literal:
        return "one of " + ", ".join(map(str, get_args(expected_type)))
    if get_origin(expected_type) is list:
        return "a list"
    return names.get(expected_type, "an object")


def validation_errors(expected_type: Any, value: Any, path: str = "", any_integer: bool = False) -> list[str]:
    """Returns a line for each part of `value` that does not have the type `expected_type`; empty if it is valid.

    `path` is the position of the value in the document, which begins each line. With `any_integer`, an integer that is too
    large for a float is accepted where the type asks for a float, as earlier releases did.
    """
    if expected_type is Any or (type(value) is expected_type and expected_type in _UNRESTRICTED_TYPES):
        return []
    if _is_typed_dictionary(expected_type):
        return _object_errors(expected_type, value, path, any_integer)
    displayed_path = path or "(top)"
    origin = _origin_of(expected_type)
    if origin in (Union, types.UnionType):
        # `k` is one of the alternative types of the union.
        errors_by_alternative = [validation_errors(k, value, path, any_integer) for k in get_args(expected_type)]
        return [] if any(not errors for errors in errors_by_alternative) else min(errors_by_alternative, key=len)
    if origin is Literal:
        return (
            []
            if value in get_args(expected_type)
            else [f"{displayed_path}: want {type_description(expected_type)}, got {value!r:.40}"]
        )
    if origin is list:
        if not isinstance(value, list):
            return [f"{displayed_path}: want a list, got {value!r:.40}"]
        element_type = _arguments_of(expected_type)[0]
        if element_type in _UNRESTRICTED_TYPES and all(type(v) is element_type for v in value):
            return []
        return [
            error
            for i, v in enumerate(value)
            for error in validation_errors(element_type, v, f"{path}[{i}]", any_integer)
        ]
    if origin is dict:
        if not isinstance(value, dict):
            return [f"{displayed_path}: want an object, got {value!r:.40}"]
        element_type = get_args(expected_type)[1]
        return [
            error
            for k, v in value.items()
            for error in validation_errors(element_type, v, f"{path}.{k}" if path else str(k), any_integer)
        ]
    if expected_type is float:
        is_valid = isinstance(value, (int, float)) and not isinstance(value, bool)
        is_valid = is_valid and (_is_finite(value) or (any_integer and isinstance(value, int)))
    elif expected_type is int:
        is_valid = isinstance(value, int) and not isinstance(value, bool)
    else:
        is_valid = isinstance(value, expected_type)
    return [] if is_valid else [f"{displayed_path}: want {type_description(expected_type)}, got {value!r:.40}"]


def _is_finite(number: float) -> bool:
    """Returns whether a number, which may be an integer of any size, is one that a float can hold."""
    try:
        return math.isfinite(number)
    except OverflowError:
        return False


def _object_errors(expected_type: Any, value: Any, path: str, any_integer: bool) -> list[str]:
    if not isinstance(value, dict):
        return [f"{path or '(top)'}: want an object, got {value!r:.40}"]
    field_types, required = _fields_of(expected_type)
    path_of = (lambda k: f"{path}.{k}") if path else str
    missing = [f"{path_of(k)}: missing, want {type_description(field_types[k])}" for k in required if k not in value]
    unknown = [
        f"{path_of(k)}: unknown key; known are {', '.join(sorted(field_types))}" for k in value if k not in field_types
    ]
    nested = [
        f
        for k, v in value.items()
        if k in field_types
        for f in validation_errors(field_types[k], v, path_of(k), any_integer)
    ]
    return missing + unknown + nested

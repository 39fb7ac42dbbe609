"""Reads JSON from outside the product: from operators, workers, clients and settings files.

What is read can be written again as JSON in UTF-8, with the same content, by every process: it is stored, copied to
other machines and read back. Texts of which that isn't true are refused whole, whether or not anybody reads the part in
question: half of a surrogate pair in a text or key, NaN and infinite numbers, numbers of thousands of digits, and values
nested so deeply that a recursive function could not follow them.
"""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple

from result import Err, Ok, Result

MAXIMUM_DEPTH = 100  # levels of lists and objects
TOO_DEEP = f"want at most {MAXIMUM_DEPTH} levels of lists and objects, got more"
SHOWN_CHARACTERS = 40  # of a path's last key


class _Position(NamedTuple):
    """A place in a document: the keys and indices that lead there, the last one first."""

    key: str | int
    parent: _Position | None

    def __str__(self) -> str:
        keys: list[str] = []
        position: _Position | None = self
        while position is not None:
            keys.append(f"[{position.key}]" if isinstance(position.key, int) else f".{_shown(position.key)}")
            position = position.parent
        return "".join(reversed(keys)).removeprefix(".")


def _shown(key: str) -> str:
    """Returns a key as error messages show it, in characters that can be sent."""
    return key[:SHOWN_CHARACTERS].encode(errors="backslashreplace").decode()


def _finite_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"want a finite number, got {text:.40}")
    return number


def _no_number(text: str) -> float:
    raise ValueError(f"want a finite number, got {text}")


def parse_json(data: bytes) -> Result[Any, str]:
    """Returns the value of a JSON text in UTF-8, or why it can't be read in full: where, what is expected, what came."""
    try:
        value = json.loads(data.decode("utf-8-sig"), parse_float=_finite_number, parse_constant=_no_number)
    except UnicodeDecodeError as error:
        return Err(f"(top): want UTF-8, got byte {data[error.start]:#04x} at {error.start}")
    except RecursionError:
        return Err(f"(top): not JSON: {TOO_DEEP}")
    except ValueError as error:
        return Err(f"(top): not JSON: {error}")
    flaw = _flaw(value)
    return Err(flaw) if flaw else Ok(value)


def _flaw(document: Any) -> str:
    """Returns the first flaw of a parsed document, in any order; empty if it has none."""
    remaining: list[tuple[Any, _Position | None, int]] = [(document, None, 0)]
    while remaining:
        value, position, depth = remaining.pop()
        if isinstance(value, str):
            if not _is_encodable(value):
                return f"{position or '(top)'}: want whole characters, got half of a surrogate pair"
        elif isinstance(value, dict | list):
            if depth >= MAXIMUM_DEPTH:
                return _too_deep(position)
            if isinstance(value, dict):
                for key in value:
                    if not _is_encodable(key):
                        return (
                            f"{_Position(key, position)}: want whole characters in a key, got half of a surrogate pair"
                        )
            entries = value.items() if isinstance(value, dict) else enumerate(value)
            remaining += [
                (entry, _Position(key, position), depth + 1)
                for key, entry in entries
                if isinstance(entry, str | dict | list)
            ]
    return ""


def _is_encodable(text: str) -> bool:
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _too_deep(position: _Position | None) -> str:
    start = str(position)[:SHOWN_CHARACTERS] if position else "(top)"
    return f"{start}: {TOO_DEEP}"

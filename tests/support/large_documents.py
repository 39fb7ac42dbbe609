"""Operators' documents of a given size: many routes with long names, as people give them."""

from __future__ import annotations

import copy
import json
from typing import Any

from postpass.configuration.configuration import MAX_CONFIGURATION_BYTES
from tests.platform.test_configuration import document

PLAIN, ACCENTED = "compressor hall", "kølerum på Ærø"  # parts of routes' names
NAME_BYTES = 100  # about so long is the name of a route, and its prefix


def route(number: int, text: str = PLAIN) -> dict[str, Any]:
    name = f"{text} {number:05d} {text * 8}"[:NAME_BYTES]
    return {**copy.deepcopy(document(1)["routes"][1]), "name": name, "prefix": f"/{name}/"}


def size_of(source: Any) -> int:
    return len(json.dumps(source, separators=(",", ":"), ensure_ascii=False).encode())


def document_of(version: int, text: str = PLAIN, size: int = MAX_CONFIGURATION_BYTES) -> dict[str, Any]:
    """A document of just less than so many bytes of compact JSON."""
    source = document(version)
    room = size - size_of(source)
    source["routes"] += [route(number, text) for number in range(room // (size_of(route(0, text)) + 1))]
    assert size * 0.99 < size_of(source) <= size
    return source

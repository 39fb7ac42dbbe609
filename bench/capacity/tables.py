"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """The lines of a table, with an empty one after it."""
    return [
        f"| {' | '.join(heads)} |",
        "|" + "---|" * len(heads),
        *(f"| {' | '.join(map(_cell, row))} |" for row in rows),
        "",
    ]


def _cell(value: Any) -> str:
    if not isinstance(value, float):
        return str(value)
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"

"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    def cell(x: Any) -> str:
        return f"{x:.3g}" if isinstance(x, float) and abs(x) < 1000 else f"{x:.0f}" if isinstance(x, float) else str(x)

    return [
        f"| {' | '.join(heads)} |",
        "|" + "---|" * len(heads),
        *(f"| {' | '.join(map(cell, r))} |" for r in rows),
        "",
    ]

"""Figures as the reports write them, and the writing of a report."""

from __future__ import annotations

from pathlib import Path

from sim.run_statistics import rank


def milliseconds(seconds: list[float]) -> str:
    """Median and 95th percentile."""
    return f"{rank(seconds, 0.5) * 1e3:.1f} / {rank(seconds, 0.95) * 1e3:.1f}"


def spread(values: list[float], unit: str = "") -> str:
    """Median and the range over seeds."""
    return f"{rank(values, 0.5):.3g}{unit} ({min(values):.3g} to {max(values):.3g})" if values else "none"


def write_page(lines: list[str], out: str) -> None:
    """Prints a report, and writes it to the file `out` if that is not empty."""
    text = "\n".join(lines) + "\n"
    print(text)
    if out:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        Path(out).write_text(text)

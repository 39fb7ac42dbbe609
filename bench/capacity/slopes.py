"""Slopes through measured points, and what is held against a bound."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Slope:
    """A straight line through measured points. `fit` is the share of the variance it explains."""

    base: float
    each: float
    fit: float

    def at(self, x: float) -> float:
        return self.base + self.each * x


def slope(points: Sequence[tuple[float, float]]) -> Slope:
    """Least squares. One size alone gives no slope."""
    if len({x for x, _ in points}) < 2:
        raise ValueError(f"slope: want two sizes at the least, got {sorted({x for x, _ in points})}")
    n = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    over = sum((x - mean_x) ** 2 for x, _ in points)
    each = sum((x - mean_x) * (y - mean_y) for x, y in points) / over
    base = mean_y - each * mean_x
    left = sum((y - base - each * x) ** 2 for x, y in points)
    whole = sum((y - mean_y) ** 2 for _, y in points)
    return Slope(base, each, 1 - left / whole if whole else 1.0)


def growth(points: Sequence[tuple[float, float]]) -> float:
    """The power by which the value grows between the two largest sizes: 1 for a line, 2 for a square, which a straight
    line through sizes far apart would hide."""
    (x1, y1), (x2, y2) = sorted(points)[-2:]
    if not 0 < x1 < x2 or y1 <= 0 or y2 <= 0:
        raise ValueError(f"growth: want two sizes and values above 0, got {sorted(points)[-2:]}")
    return math.log(y2 / y1) / math.log(x2 / x1)


def between(points: Sequence[tuple[float, float]], x: float) -> float:
    """On the straight line between the two measured sizes around `x`; nothing beyond them."""
    ranked = sorted(points)
    for (x1, y1), (x2, y2) in zip(ranked, ranked[1:], strict=False):
        if x1 <= x <= x2 and x1 < x2:
            return y1 + (y2 - y1) * (x - x1) / (x2 - x1)
    raise ValueError(f"between: {x:g} lies outside {ranked[0][0]:g} to {ranked[-1][0]:g}")


def joint(lines: Sequence[tuple[Slope, float]], rest: float) -> float:
    """Several lines through one common size whose value is `rest`: what each adds on the way from there to its size."""
    return rest + sum(line.each * step for line, step in lines)


def verdict(value: float, bound: float, slack: float = 0.7) -> str:
    """`holds`, `near` beyond a part of the bound, `bends` beyond it, with how often it goes into the bound."""
    if bound <= 0:
        raise ValueError(f"verdict: want a bound above 0, got {bound}")
    part = value / bound
    return f"{'holds' if part <= slack else 'near' if part <= 1 else 'bends'} ({part:.2g})"

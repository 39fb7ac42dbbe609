"""Slopes through measured points, and how a value stands against its bound."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

Point = tuple[float, float]  # size, value
HOLDS_UP_TO = 0.7  # the part of a bound up to which a value holds


@dataclass(frozen=True)
class Slope:
    """A straight line through measured points. `fit` is the share of the variance that it explains."""

    base: float
    each: float
    fit: float

    def at(self, size: float) -> float:
        """The value on the line."""
        return self.base + self.each * size


def slope(points: Sequence[Point]) -> Slope:
    """The line of least squares.

    Raises:
      ValueError: there are fewer than two sizes.
    """
    sizes = {size for size, _ in points}
    if len(sizes) < 2:
        raise ValueError(f"slope: want two sizes at the least, got {sorted(sizes)}")
    count = len(points)
    mean_size, mean_value = sum(size for size, _ in points) / count, sum(value for _, value in points) / count
    size_variance = sum((size - mean_size) ** 2 for size, _ in points)
    each = sum((size - mean_size) * (value - mean_value) for size, value in points) / size_variance
    base = mean_value - each * mean_size
    unexplained = sum((value - base - each * size) ** 2 for size, value in points)
    variance = sum((value - mean_value) ** 2 for _, value in points)
    return Slope(base, each, 1 - unexplained / variance if variance else 1.0)


def growth(points: Sequence[Point]) -> float:
    """The power by which the value grows between the two largest sizes: 1 for a line, 2 for a square, which a straight
    line through sizes far apart would hide.

    Raises:
      ValueError: there are fewer than two sizes, or one of the two sizes or values is not above 0.
    """
    (smaller, smaller_value), (larger, larger_value) = sorted(points)[-2:]
    if not 0 < smaller < larger or smaller_value <= 0 or larger_value <= 0:
        raise ValueError(f"growth: want two sizes and values above 0, got {sorted(points)[-2:]}")
    return math.log(larger_value / smaller_value) / math.log(larger / smaller)


def interpolate(points: Sequence[Point], size: float) -> float:
    """The value on the straight line between the two measured sizes around `size`.

    Raises:
      ValueError: the size lies outside what was measured.
    """
    ranked = sorted(points)
    for (smaller, smaller_value), (larger, larger_value) in zip(ranked, ranked[1:], strict=False):
        if smaller <= size <= larger and smaller < larger:
            return smaller_value + (larger_value - smaller_value) * (size - smaller) / (larger - smaller)
    raise ValueError(f"interpolate: {size:g} lies outside {ranked[0][0]:g} to {ranked[-1][0]:g}")


def extrapolate(origin: float, steps: Sequence[tuple[Slope, float]]) -> float:
    """The value at a size that differs in several dimensions from the one where it is `origin`: each line adds its own
    part for the step along its dimension."""
    return origin + sum(line.each * step for line, step in steps)


def verdict(value: float, bound: float, holds_up_to: float = HOLDS_UP_TO) -> str:
    """`holds`, `near` above a part of the bound, or `bends` above the bound; with the value as a part of the bound.

    Raises:
      ValueError: the bound is not above 0.
    """
    if bound <= 0:
        raise ValueError(f"verdict: want a bound above 0, got {bound}")
    part = value / bound
    return f"{'holds' if part <= holds_up_to else 'near' if part <= 1 else 'bends'} ({part:.2g})"

"""A set that is walked in the order in which its elements came.

A built-in set of objects is walked in the order of their addresses, which differs from run to run.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, MutableSet
from typing import TypeVar

Element = TypeVar("Element", bound=Hashable)


class OrderedSet(MutableSet[Element]):
    """Invariant: an element that is added again keeps its place; one that was discarded in between comes last."""

    def __init__(self, elements: Iterable[Element] = ()) -> None:
        """Begins with these elements, in their order."""
        self._elements: dict[Element, None] = dict.fromkeys(elements)

    def __contains__(self, element: object) -> bool:
        return element in self._elements

    def __iter__(self) -> Iterator[Element]:
        return iter(self._elements)

    def __len__(self) -> int:
        return len(self._elements)

    def add(self, value: Element) -> None:
        """Puts an element at the end, if it isn't there."""
        self._elements[value] = None

    def discard(self, value: Element) -> None:
        """Takes an element out, if it is there."""
        self._elements.pop(value, None)

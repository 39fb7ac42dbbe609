"""A set that is iterated in the order in which its elements were added.

A built-in set of objects is iterated in the order of their hashes, which depend on memory addresses and so differ from
run to run.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, MutableSet
from typing import TypeVar

Element = TypeVar("Element", bound=Hashable)


class OrderedSet(MutableSet[Element]):
    """A set in insertion order.

    Invariant: an element that is added again keeps its position, unless it was discarded in between; then it comes
    last.
    """

    def __init__(self, elements: Iterable[Element] = ()) -> None:
        """Creates a set of these elements, in their order."""
        self._elements: dict[Element, None] = dict.fromkeys(elements)

    def __contains__(self, element: object) -> bool:
        return element in self._elements

    def __iter__(self) -> Iterator[Element]:
        return iter(self._elements)

    def __len__(self) -> int:
        return len(self._elements)

    def add(self, value: Element) -> None:
        """Adds an element at the end, unless the set contains it already."""
        self._elements[value] = None

    def discard(self, value: Element) -> None:
        """Removes an element if the set contains it."""
        self._elements.pop(value, None)

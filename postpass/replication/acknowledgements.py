"""Acknowledgements: the highest acknowledged sequence number of each node and disk, by type (received, persisted)."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(eq=False)
class Acknowledgements:
    """Holds what nodes have acknowledged to the owner of a partition, and the frontier that follows from it.

    Invariants: a counter never decreases; it belongs to one disk, so a wiped disk begins at 0 and what its predecessor
    acknowledged no longer counts; `frontier` never decreases.
    """

    counts: dict[tuple[str, str, str], int] = field(default_factory=dict)  # (node, disk, type) -> sequence number
    frontier: int = 0

    def update(self, node: str, disk: str, kind: str, seq: int) -> bool:
        """Records an acknowledgement; returns whether it is higher than the one before."""
        key = (node, disk, kind)
        if seq <= self.counts.get(key, 0):
            return False
        self.counts[key] = seq
        return True

    def get(self, node: str, disk: str, kind: str) -> int:
        """Returns the highest sequence number that a disk of a node has acknowledged; 0 if it has acknowledged none."""
        return self.counts.get((node, disk, kind), 0)

    def evaluate(self, members: Mapping[str, str], predicate: Callable[[Callable[[str, str], int]], int]) -> int:
        """Returns the sequence number up to which a predicate holds.

        Args:
            members: The members (name -> disk) whose acknowledgements count; those of other disks do not.
            predicate: A compiled predicate (see `stability`).
        """
        return predicate(lambda node, kind: self.get(node, members[node], kind) if node in members else 0)

    def advance(self, seq: int) -> bool:
        """Raises the frontier to a sequence number; returns False if it is at or above it already."""
        if seq <= self.frontier:
            return False
        self.frontier = seq
        return True

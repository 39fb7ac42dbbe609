"""Acknowledgements: for every mirror and every type, the highest sequence number acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(eq=False)
class Acknowledgements:
    """Invariants: a counter never falls; it belongs to one disk, so a wiped disk begins at nothing and
    what its predecessor acknowledged stops counting; `frontier` never falls."""

    counts: dict[tuple[str, str, str], int] = field(default_factory=dict)  # (node, disk, type)
    frontier: int = 0

    def put(self, node: str, disk: str, kind: str, seq: int) -> bool:
        """Counts an acknowledgement; False if it says nothing new."""
        key = (node, disk, kind)
        if seq <= self.counts.get(key, 0):
            return False
        self.counts[key] = seq
        return True

    def get(self, node: str, disk: str, kind: str) -> int:
        """The highest sequence number that one disk of a node has acknowledged; 0 if none."""
        return self.counts.get((node, disk, kind), 0)

    def reach(self, members: Mapping[str, str], predicate: Callable[[Callable[[str, str], int]], int]) -> int:
        """What a predicate yields when only the disks in `members` count."""
        return predicate(lambda node, kind: self.get(node, members[node], kind) if node in members else 0)

    def advance(self, seq: int) -> bool:
        """Raises the frontier; False if it is there already."""
        if seq <= self.frontier:
            return False
        self.frontier = seq
        return True

"""The recorder: for every mirror and every type, the highest sequence number acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(eq=False)
class Recorder:
    """Invariants: a counter never falls; it belongs to one disk, so a wiped disk begins at nothing and
    what its predecessor acknowledged stops counting; `frontier` never falls."""

    counts: dict[tuple[str, str, str], int] = field(default_factory=dict)  # (node, disk, type)
    frontier: int = 0

    def put(self, node: str, disk: str, kind: str, seq: int) -> bool:
        key = (node, disk, kind)
        if seq <= self.counts.get(key, 0):
            return False
        self.counts[key] = seq
        return True

    def get(self, node: str, disk: str, kind: str) -> int:
        return self.counts.get((node, disk, kind), 0)

    def reach(self, crew: Mapping[str, str], pred: Callable[[Callable[[str, str], int]], int]) -> int:
        """What a predicate yields when only the disks in `crew` have a voice."""
        return pred(lambda node, kind: self.get(node, crew[node], kind) if node in crew else 0)

    def advance(self, seq: int) -> bool:
        if seq <= self.frontier:
            return False
        self.frontier = seq
        return True


def test_newer_overwrites_older_and_a_lower_one_is_ignored() -> None:
    rec = Recorder()
    assert rec.put("s1", "d1", "persisted", 5) and not rec.put("s1", "d1", "persisted", 4)
    assert rec.get("s1", "d1", "persisted") == 5
    assert rec.advance(5) and not rec.advance(3) and rec.frontier == 5


def test_a_wiped_disk_stops_counting() -> None:
    rec = Recorder()
    for node in ("s1", "s2", "s3"):
        rec.put(node, "old", "persisted", 7)
    low: Callable[[Callable[[str, str], int]], int] = lambda c: min(c(n, "persisted") for n in ("s1", "s2", "s3"))  # noqa: E731
    assert rec.reach({"s1": "old", "s2": "old", "s3": "old"}, low) == 7
    assert rec.reach({"s1": "old", "s2": "new", "s3": "old"}, low) == 0
    assert rec.reach({"s1": "old", "s2": "old"}, low) == 0

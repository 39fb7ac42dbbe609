"""Tokens that wait on a route, over all partitions: the count that the one holder of its budget keeps."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class ReportedCount:
    """What the owner of a partition said last. Invariant: a later word of it has a higher (epoch, number)."""

    epoch: int
    number: int
    tokens: int


@dataclass(eq=False)
class Budget:
    """The waiting tokens of one route. Owned by the holder of its budget, for one epoch.

    Invariants: nothing is granted before every partition's owner was heard under the holder's own epoch; what is granted
    counts until the partition's owner tells a later count, which holds it for as long as it may be used.
    """

    reported: dict[int, ReportedCount] = field(default_factory=dict)  # by partition

    def report(self, partition: int, epoch: int, number: int, tokens: int) -> bool:
        """Takes an owner's count; False if a later word of that partition was heard before."""
        last = self.reported.get(partition)
        if last is not None and (epoch, number) <= (last.epoch, last.number):
            return False
        self.reported[partition] = ReportedCount(epoch, number, tokens)
        return True

    def unreported(self, partitions: int) -> list[int]:
        """Those of so many partitions whose owners have told no count yet."""
        return [partition for partition in range(partitions) if partition not in self.reported]

    @property
    def tokens(self) -> int:
        """All tokens that wait, and those that were granted since."""
        return sum(count.tokens for count in self.reported.values())

    def take(self, partition: int, want: int, most: int) -> bool:
        """Grants a partition, which has reported, `want` further tokens; False if more than `most` would wait then."""
        if self.tokens + want > most:
            return False
        last = self.reported[partition]
        self.reported[partition] = ReportedCount(last.epoch, last.number, last.tokens + want)
        return True

"""Tokens that wait on a route, over all partitions: the count that the one holder of its budget keeps."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Told:
    """What the owner of a partition said last. Invariant: a later word of it has a higher (epoch, number)."""

    epoch: int
    number: int
    tokens: int


@dataclass(eq=False)
class Budget:
    """Invariants: nothing is granted before every partition's owner was heard under the holder's own epoch; what
    is granted counts until the partition's owner tells a later count, which holds it for as long as it may be used."""

    told: dict[int, Told] = field(default_factory=dict)

    def hear(self, part: int, epoch: int, number: int, tokens: int) -> bool:
        """Takes an owner's count; False if a later word of that partition was heard before."""
        last = self.told.get(part)
        if last is not None and (epoch, number) <= (last.epoch, last.number):
            return False
        self.told[part] = Told(epoch, number, tokens)
        return True

    def lacks(self, parts: int) -> list[int]:
        return [p for p in range(parts) if p not in self.told]

    @property
    def tokens(self) -> int:
        return sum(t.tokens for t in self.told.values())

    def take(self, part: int, want: int, most: int) -> bool:
        if self.tokens + want > most:
            return False
        last = self.told[part]
        self.told[part] = Told(last.epoch, last.number, last.tokens + want)
        return True

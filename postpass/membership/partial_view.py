"""Who is there: a partial view, shuffled between neighbours. A hint only; safety rests on epochs."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, TypedDict


class MemberRecord(TypedDict):
    """What a daemon tells of itself. `inc` is its start and grows with every restart; `beat` grows as it
    lives, so that a later word of the same daemon can be told from an earlier one."""

    name: str
    peer: str
    area: str
    duties: list[str]
    inc: int
    beat: int
    edition: int
    release: str
    disk: str


@dataclass(frozen=True)
class Neighbour:
    card: MemberRecord
    age: int = 0


@dataclass(eq=False)
class PartialView:
    """Invariants: never holds itself; at most `size` neighbours; a name stands once, with its newest card;
    a daemon found dead stays out until it shows a newer (inc, beat)."""

    me: MemberRecord
    chance: random.Random
    size: int = 8
    sample: int = 4
    neighbours: dict[str, Neighbour] = field(default_factory=dict)
    dead: dict[str, tuple[int, int]] = field(default_factory=dict)

    def word(self, **changes: Any) -> MemberRecord:
        """The own card, a beat on."""
        self.me = MemberRecord(**(self.me | {"beat": self.me["beat"] + 1} | changes))  # type: ignore[typeddict-item]
        return self.me

    def oldest(self) -> Neighbour | None:
        return max(self.neighbours.values(), key=lambda m: (m.age, m.card["name"]), default=None)

    def begin(self) -> tuple[Neighbour | None, list[MemberRecord]]:
        """Whom to shuffle with, and what to offer."""
        self.neighbours = {n: replace(m, age=m.age + 1) for n, m in self.neighbours.items()}
        neighbour = self.oldest()
        if neighbour is None:
            return None, [self.me]
        rest = sorted(n for n in self.neighbours if n != neighbour.card["name"])
        picked = self.chance.sample(rest, min(self.sample - 1, len(rest)))
        self.neighbours[neighbour.card["name"]] = replace(neighbour, age=0)
        return neighbour, [self.me, *(self.neighbours[n].card for n in picked)]

    def respond(self, offered: Iterable[MemberRecord]) -> list[MemberRecord]:
        names = sorted(self.neighbours)
        picked = [self.neighbours[n].card for n in self.chance.sample(names, min(self.sample - 1, len(names)))]
        self.take(offered, picked)
        return [self.me, *picked]

    def take(self, cards: Iterable[MemberRecord], given: Iterable[MemberRecord] = ()) -> None:
        """Takes what is newer; makes room by dropping what was given away, then the oldest."""
        spare = [c["name"] for c in given]
        for card in cards:
            name, when = card["name"], (card["inc"], card["beat"])
            if name == self.me["name"] or when <= self.dead.get(name, (-1, -1)):
                continue
            self.dead.pop(name, None)
            have = self.neighbours.get(name)
            if have is not None:
                if when > (have.card["inc"], have.card["beat"]):
                    self.neighbours[name] = Neighbour(card, 0)
                continue
            if len(self.neighbours) >= self.size:
                out = next((n for n in spare if n in self.neighbours and n != name), None)
                oldest = self.oldest()
                out = out or (oldest.card["name"] if oldest else None)
                if out is not None:
                    del self.neighbours[out]
            self.neighbours[name] = Neighbour(card, 0)

    def bury(self, name: str) -> None:
        """After others could not reach it either. It refutes this by any newer word."""
        neighbour = self.neighbours.pop(name, None)
        if neighbour is not None:
            self.dead[name] = (neighbour.card["inc"], neighbour.card["beat"])
            if len(self.dead) > 16 * self.size:
                self.dead.pop(next(iter(self.dead)))

"""The partial view that each daemon keeps of the others, shuffled between neighbours by gossip.

It is a hint only: what must be right rests on epochs and on the configuration, never on a partial view.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple, TypedDict

MAX_NEIGHBOURS = 8
SHUFFLE_SIZE = 4  # member records in one message, that of the sender included
DEAD_PER_NEIGHBOUR = 16  # daemons found dead that are remembered, as a multiple of the size of the view


class MemberRecord(TypedDict):
    """What a daemon tells of itself; the fields are keys of JSON.

    `inc` is its start and grows with every restart; `beat` grows as it lives: of two records of the same daemon the
    one with the greater (inc, beat) is the later.
    """

    name: str
    peer: str
    area: str
    duties: list[str]
    inc: int
    beat: int
    edition: int
    release: str
    disk: str


class Age(NamedTuple):
    """The order of a daemon's records: by its start, then by its heartbeat."""

    incarnation: int
    heartbeat: int


NEVER_SEEN = Age(-1, -1)


def age_of(record: MemberRecord) -> Age:
    """Where a record stands among those of the same daemon."""
    return Age(record["inc"], record["beat"])


@dataclass(frozen=True)
class Neighbour:
    """A daemon of the view: its newest record, and how many shuffles of this daemon ago it was last shuffled with."""

    record: MemberRecord
    shuffles: int = 0


@dataclass(eq=False)
class PartialView:
    """A bounded random sample of the other daemons, kept by one daemon.

    Invariants: it never holds its owner; at most `size` neighbours; a name stands once, with its newest record; a daemon
    found dead stays out until it shows a newer record.
    """

    own_record: MemberRecord
    chance: random.Random
    size: int = MAX_NEIGHBOURS
    sample: int = SHUFFLE_SIZE
    neighbours: dict[str, Neighbour] = field(default_factory=dict)
    dead: dict[str, Age] = field(default_factory=dict)

    def next_own_record(self, **changes: Any) -> MemberRecord:
        """The own record, one heartbeat on, with some fields changed; it replaces the one before."""
        record = self.own_record | {"beat": self.own_record["beat"] + 1} | changes
        self.own_record = MemberRecord(**record)  # type: ignore[typeddict-item]
        return self.own_record

    def addresses(self) -> list[str]:
        """Where the neighbours are reached, in the order of their names."""
        return [neighbour.record["peer"] for _, neighbour in sorted(self.neighbours.items())]

    def oldest(self) -> Neighbour | None:
        """The neighbour with which this daemon has not shuffled for longest; None if it has no neighbours."""
        return max(
            self.neighbours.values(), key=lambda neighbour: (neighbour.shuffles, neighbour.record["name"]), default=None
        )

    def begin_shuffle(self) -> tuple[Neighbour | None, list[MemberRecord]]:
        """Whom to shuffle with, and which records to offer it: the own one first."""
        self.neighbours = {n: replace(m, shuffles=m.shuffles + 1) for n, m in self.neighbours.items()}
        neighbour = self.oldest()
        if neighbour is None:
            return None, [self.own_record]
        name = neighbour.record["name"]
        rest = sorted(n for n in self.neighbours if n != name)
        picked = self.chance.sample(rest, min(self.sample - 1, len(rest)))
        self.neighbours[name] = replace(neighbour, shuffles=0)
        return neighbour, [self.own_record, *(self.neighbours[n].record for n in picked)]

    def answer_shuffle(self, offered: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merges the records that another daemon offers; returns the ones to give in exchange, the own one first."""
        names = sorted(self.neighbours)
        picked = [self.neighbours[n].record for n in self.chance.sample(names, min(self.sample - 1, len(names)))]
        self.merge(offered, picked)
        return [self.own_record, *picked]

    def merge(self, records: Iterable[MemberRecord], given: Iterable[MemberRecord] = ()) -> None:
        """Accepts records that are newer; a full view drops first what was `given` away in exchange, then the oldest."""
        spare = [record["name"] for record in given]
        for record in records:
            name, age = record["name"], age_of(record)
            if name == self.own_record["name"] or age <= self.dead.get(name, NEVER_SEEN):
                continue
            self.dead.pop(name, None)
            present = self.neighbours.get(name)
            if present is None:
                if len(self.neighbours) >= self.size:
                    self._drop_one(name, spare)
                self.neighbours[name] = Neighbour(record)
            elif age > age_of(present.record):
                self.neighbours[name] = Neighbour(record)

    def _drop_one(self, joining: str, spare: list[str]) -> None:
        """Drops a neighbour in favour of the one that joins."""
        dropped = next((n for n in spare if n in self.neighbours and n != joining), None)
        if dropped is None:
            oldest = self.oldest()
            dropped = oldest.record["name"] if oldest else None
        if dropped is not None:
            del self.neighbours[dropped]

    def remove_dead(self, name: str) -> None:
        """Removes a neighbour that others could not reach either; it comes back by any newer record."""
        neighbour = self.neighbours.pop(name, None)
        if neighbour is not None:
            self.dead[name] = age_of(neighbour.record)
            if len(self.dead) > DEAD_PER_NEIGHBOUR * self.size:
                self.dead.pop(next(iter(self.dead)))

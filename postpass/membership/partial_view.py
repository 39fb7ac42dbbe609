"""The partial view that each daemon keeps of the others; neighbours exchange parts of their views by gossip.

A partial view is only a hint: correctness depends on epochs and on the configuration, never on a partial view.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple, TypedDict

MAX_NEIGHBOURS = 8
SHUFFLE_SIZE = 4  # number of member records in one message, including that of the sender
DEAD_PER_NEIGHBOUR = 16  # number of dead daemons that are remembered, as a multiple of the size of the view


class MemberRecord(TypedDict):
    """A daemon's description of itself; the fields are keys of JSON.

    `inc` is the incarnation of the daemon, which grows with every restart, and `beat` its heartbeat, which grows while it
    runs: of two records of the same daemon the one with the greater (inc, beat) is the newer. `edition` is the version of
    the configuration that the daemon has.
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


class RecordVersion(NamedTuple):
    """The version of a daemon's record. Versions are ordered by the daemon's incarnation, then by its heartbeat."""

    incarnation: int
    heartbeat: int


OLDEST_VERSION = RecordVersion(-1, -1)


def version_of(record: MemberRecord) -> RecordVersion:
    """Returns the version of a record, by which it is compared with others of the same daemon."""
    return RecordVersion(record["inc"], record["beat"])


@dataclass(frozen=True)
class Neighbour:
    """A daemon in the view: its newest record, and the number of shuffles of this daemon since the last one with it."""

    record: MemberRecord
    shuffles: int = 0


@dataclass(eq=False)
class PartialView:
    """A bounded random sample of the other daemons, kept by one daemon.

    Invariants: the view never contains the daemon itself, nor more than `size` neighbours; each name occurs once, with its
    newest record; a daemon that was found dead is not added again until there is a newer record of it.
    """

    own_record: MemberRecord
    chance: random.Random
    size: int = MAX_NEIGHBOURS
    sample: int = SHUFFLE_SIZE
    neighbours: dict[str, Neighbour] = field(default_factory=dict)
    dead: dict[str, RecordVersion] = field(default_factory=dict)

    def next_own_record(self, **changes: Any) -> MemberRecord:
        """Updates the own record: increments its heartbeat and changes the given fields. Returns the new record."""
        record = self.own_record | {"beat": self.own_record["beat"] + 1} | changes
        self.own_record = MemberRecord(**record)  # type: ignore[typeddict-item]
        return self.own_record

    def addresses(self) -> list[str]:
        """Returns the peer addresses of the neighbours, in the order of their names."""
        return [neighbour.record["peer"] for _, neighbour in sorted(self.neighbours.items())]

    def least_recently_shuffled(self) -> Neighbour | None:
        """Returns the neighbour with which this daemon has not shuffled for longest; None if it has no neighbours."""
        return max(
            self.neighbours.values(), key=lambda neighbour: (neighbour.shuffles, neighbour.record["name"]), default=None
        )

    def begin_shuffle(self) -> tuple[Neighbour | None, list[MemberRecord]]:
        """Starts a shuffle: returns the neighbour to shuffle with, or None, and the records to offer it, the own one first."""
        self.neighbours = {n: replace(m, shuffles=m.shuffles + 1) for n, m in self.neighbours.items()}
        neighbour = self.least_recently_shuffled()
        if neighbour is None:
            return None, [self.own_record]
        name = neighbour.record["name"]
        other_names = sorted(n for n in self.neighbours if n != name)
        sampled_names = self.chance.sample(other_names, min(self.sample - 1, len(other_names)))
        self.neighbours[name] = replace(neighbour, shuffles=0)
        return neighbour, [self.own_record, *(self.neighbours[n].record for n in sampled_names)]

    def answer_shuffle(self, offered: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merges the records that another daemon offers; returns those to send in exchange, the own one first."""
        names = sorted(self.neighbours)
        sampled_records = [
            self.neighbours[n].record for n in self.chance.sample(names, min(self.sample - 1, len(names)))
        ]
        self.merge(offered, sampled_records)
        return [self.own_record, *sampled_records]

    def merge(self, records: Iterable[MemberRecord], given: Iterable[MemberRecord] = ()) -> None:
        """Merges those of the records that are newer than the known ones.

        To make space in a full view, neighbours whose records were `given` to the other daemon in exchange are dropped first,
        then the one with which this daemon has not shuffled for longest.
        """
        given_names = [record["name"] for record in given]
        for record in records:
            name, version = record["name"], version_of(record)
            if name == self.own_record["name"] or version <= self.dead.get(name, OLDEST_VERSION):
                continue
            self.dead.pop(name, None)
            present = self.neighbours.get(name)
            if present is None:
                if len(self.neighbours) >= self.size:
                    self._drop_one(name, given_names)
                self.neighbours[name] = Neighbour(record)
            elif version > version_of(present.record):
                self.neighbours[name] = Neighbour(record)

    def _drop_one(self, joining: str, given_names: list[str]) -> None:
        """Drops a neighbour to make space for the one that joins: preferably one of `given_names`."""
        dropped = next((n for n in given_names if n in self.neighbours and n != joining), None)
        if dropped is None:
            oldest = self.least_recently_shuffled()
            dropped = oldest.record["name"] if oldest else None
        if dropped is not None:
            del self.neighbours[dropped]

    def remove_dead(self, name: str) -> None:
        """Removes a neighbour that other daemons could not reach either.

        The version of its record is remembered, so that only a newer record adds it again. If too many dead daemons are
        remembered, the one that was found dead first is forgotten.
        """
        neighbour = self.neighbours.pop(name, None)
        if neighbour is not None:
            self.dead[name] = version_of(neighbour.record)
            if len(self.dead) > DEAD_PER_NEIGHBOUR * self.size:
                self.dead.pop(next(iter(self.dead)))

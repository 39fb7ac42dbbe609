"""Tests of postpass.replication.owner_lookup, over every combination of what machines may take for the owner.

Faulty variants of the search are run as well, to show that the checks detect them.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest

from postpass.replication.owner_lookup import OwnerLookup

MEMBERS = ("s1", "s2", "s3")
FORMER = "s4"  # a former member, which has left the fleet
NAMES = ("", *MEMBERS, FORMER)


@dataclass(frozen=True)
class World:
    """One combination: the owner of the partition, the owner that each other member names, the machines that don't answer,
    and the guesses of the searching store."""

    owner: str
    named: dict[str, str]
    silent: frozenset[str]
    guesses: tuple[str, str]

    def answer(self, name: str) -> str | None:
        """Returns the owner that a machine names: itself if it is the owner; None if it does not answer."""
        return None if name in self.silent else self.owner if name == self.owner else self.named[name]


def worlds() -> Iterator[World]:
    """Yields every combination of what the members name, of silent machines other than the owner, and of two guesses."""
    for owner in MEMBERS:
        others = [n for n in MEMBERS if n != owner]
        for beliefs in itertools.product(NAMES, repeat=len(others)):
            for lost in itertools.product((False, True), repeat=len(others)):
                silent = frozenset([FORMER, *itertools.compress(others, lost)])
                for first, second in itertools.product(NAMES, repeat=2):
                    yield World(owner, dict(zip(others, beliefs, strict=True)), silent, (first, second))


Search = Callable[[World], OwnerLookup]


def product(world: World) -> OwnerLookup:
    """Returns the search as it is implemented."""
    return OwnerLookup.for_candidates(world.guesses, MEMBERS)


def guesses_alone(world: World) -> OwnerLookup:
    """Returns a search that asks the members only if there are no guesses, as up to release 0.3."""
    guesses = [guess for guess in world.guesses if guess]
    return OwnerLookup.for_candidates(guesses, () if guesses else MEMBERS)


class IgnoringLookup(OwnerLookup):
    """A search that ignores the owners that machines name."""

    def follow(self, owner: str) -> None:
        """Ignores the named owner."""


def asked_until_found(world: World, search: Search) -> list[str] | None:
    """Returns the machines that are asked in one round, the owner last; None if the owner is not found."""
    lookup, asked_names = search(world), []
    while name := lookup.next_name():
        lookup.mark_asked(name)
        asked_names.append(name)
        named_owner = world.answer(name)
        if named_owner == name:
            return asked_names
        if named_owner is not None:
            lookup.follow(named_owner)
    return None


def test_one_round_finds_the_owner_whatever_anyone_believes() -> None:
    all_worlds = list(worlds())
    searches = [asked_until_found(world, product) for world in all_worlds]
    assert len(all_worlds) == 3 * 5**2 * 2**2 * 5**2
    assert all(names is not None for names in searches)
    # No machine is asked twice, and none but the members and the two guesses.
    assert max(len(names) for names in searches if names is not None) <= len(MEMBERS) + 1
    assert all(len(set(names)) == len(names) for names in searches if names is not None)


def test_a_search_by_guesses_alone_is_found_to_miss_the_owner() -> None:
    missed = next(world for world in worlds() if asked_until_found(world, guesses_alone) is None)
    assert missed.guesses[0] != missed.owner


def test_an_owner_that_is_no_member_any_more_is_found_by_those_that_follow_it() -> None:
    """Such an owner is about to hand the partition over; the members follow its stream and name it."""
    world = World("s5", dict.fromkeys(MEMBERS, "s5"), frozenset(), ("", ""))
    assert asked_until_found(world, product) == ["s1", "s5"]
    assert asked_until_found(world, lambda w: IgnoringLookup.for_candidates(w.guesses, MEMBERS)) is None


def test_machines_that_did_not_answer_lately_are_asked_last() -> None:
    lookup = OwnerLookup.for_candidates(["s1"], MEMBERS, unresponsive=["s1", "s2"])
    asked_names = []
    while name := lookup.next_name():
        lookup.mark_asked(name)
        asked_names.append(name)
    assert asked_names == ["s3", "s1", "s2"]


@pytest.mark.parametrize("becoming", MEMBERS)
def test_a_machine_that_becomes_the_owner_is_asked_again_at_once(becoming: str) -> None:
    lookup = OwnerLookup.for_candidates(["s1"], MEMBERS)
    while lookup.next_name() != becoming:
        lookup.mark_asked(lookup.next_name())
    lookup.mark_asked(becoming)
    lookup.ask_again(becoming)
    assert lookup.next_name() == becoming

"""The search for a partition's owner, over every belief that machines may have, and faulty searches that must be found."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest

from postpass.replication.owner_lookup import OwnerLookup

MEMBERS = ("s1", "s2", "s3")
FORMER = "s4"  # was a member once, and is gone from the fleet
NAMES = ("", *MEMBERS, FORMER)


@dataclass(frozen=True)
class World:
    """Who owns the partition, whom each member names as the owner, which machines don't answer, and what the searching
    store remembers."""

    owner: str
    named: dict[str, str]
    silent: frozenset[str]
    guesses: tuple[str, str]

    def answer(self, name: str) -> str | None:
        """What a machine says: itself if it owns the partition, else whom it follows; None if it does not answer."""
        return None if name in self.silent else self.owner if name == self.owner else self.named[name]


def worlds() -> Iterator[World]:
    """Every belief of every member, every set of silent machines without the owner, every pair of guesses."""
    for owner in MEMBERS:
        others = [n for n in MEMBERS if n != owner]
        for beliefs in itertools.product(NAMES, repeat=len(others)):
            for lost in itertools.product((False, True), repeat=len(others)):
                silent = frozenset([FORMER, *itertools.compress(others, lost)])
                for first, second in itertools.product(NAMES, repeat=2):
                    yield World(owner, dict(zip(others, beliefs, strict=True)), silent, (first, second))


Search = Callable[[World], OwnerLookup]


def product(world: World) -> OwnerLookup:
    """The product's search."""
    return OwnerLookup.over(world.guesses, MEMBERS)


def guesses_alone(world: World) -> OwnerLookup:
    """The members are asked only where nothing is guessed, as up to release 0.3."""
    guesses = [guess for guess in world.guesses if guess]
    return OwnerLookup.over(guesses, () if guesses else MEMBERS)


class Forgetful(OwnerLookup):
    """A search that doesn't follow what it is told."""

    def follow(self, owner: str) -> None:
        """Told in vain."""


def asked_until_found(world: World, search: Search) -> list[str] | None:
    """Who is asked in one round, the owner last; None if the owner is not found."""
    lookup, asked = search(world), []
    while name := lookup.next_name():
        lookup.asked(name)
        asked.append(name)
        told = world.answer(name)
        if told == name:
            return asked
        if told is not None:
            lookup.follow(told)
    return None


def test_one_round_finds_the_owner_whatever_anyone_believes() -> None:
    every = list(worlds())
    searches = [asked_until_found(world, product) for world in every]
    assert len(every) == 3 * 5**2 * 2**2 * 5**2
    assert all(asked is not None for asked in searches)
    # Nobody is asked twice, and nobody but the members and the two guesses.
    assert max(len(asked) for asked in searches if asked is not None) <= len(MEMBERS) + 1
    assert all(len(set(asked)) == len(asked) for asked in searches if asked is not None)


def test_a_search_by_guesses_alone_is_found_to_miss_the_owner() -> None:
    missed = next(world for world in worlds() if asked_until_found(world, guesses_alone) is None)
    assert missed.guesses[0] != missed.owner


def test_an_owner_that_is_no_member_any_more_is_found_by_those_that_follow_it() -> None:
    """It is about to hand the partition on; the members follow its stream and say so."""
    world = World("s5", dict.fromkeys(MEMBERS, "s5"), frozenset(), ("", ""))
    assert asked_until_found(world, product) == ["s1", "s5"]
    assert asked_until_found(world, lambda w: Forgetful.over(w.guesses, MEMBERS)) is None


def test_those_that_gave_no_answer_lately_are_asked_last() -> None:
    lookup = OwnerLookup.over(["s1"], MEMBERS, unresponsive=["s1", "s2"])
    asked = []
    while name := lookup.next_name():
        lookup.asked(name)
        asked.append(name)
    assert asked == ["s3", "s1", "s2"]


@pytest.mark.parametrize("becoming", MEMBERS)
def test_one_that_becomes_the_owner_is_asked_again_at_once(becoming: str) -> None:
    lookup = OwnerLookup.over(["s1"], MEMBERS)
    while lookup.next_name() != becoming:
        lookup.asked(lookup.next_name())
    lookup.asked(becoming)
    lookup.ask_again(becoming)
    assert lookup.next_name() == becoming

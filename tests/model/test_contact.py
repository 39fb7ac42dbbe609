"""Elections under cuts and freezes, searched exhaustively, and faulty rules that the search must find."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from model.contact.rules import RELEASED, PreVotes, Rules, any_prevote_counts, nobody_hears
from model.contact.state import Invariant, Size
from model.contact.steps import ContactModel
from model.search import search

HARD = Size(members=4, cuts=2, freezes=True)


@dataclass(frozen=True)
class Mutant:
    """A rule with a fault, the size that shows it, and the invariant that it breaks."""

    name: str
    rules: Rules
    breaks: Invariant
    size: Size = Size(members=4, cuts=2)


def anyone(votes: PreVotes) -> bool:
    return True


MUTANTS = [
    Mutant("release 0.2.0, fault B", RELEASED, Invariant.BURNT, Size(members=4)),
    Mutant("a pre-vote that nobody must answer", Rules(may_campaign=nobody_hears), Invariant.DEPOSED),
    Mutant(
        "a pre-vote that anyone wins",
        Rules(may_campaign=anyone, promises_last=False),
        Invariant.BURNT,
        Size(members=4),
    ),
    Mutant("a primary that misses its backup asks nobody", Rules(asks_first=False), Invariant.DEPOSED),
    Mutant(
        "a candidate promises itself before the others",
        Rules(promises_last=False, prevote_counts=any_prevote_counts),
        Invariant.BURNT,
        HARD,
    ),
    Mutant("a pre-vote that is good for ever", Rules(prevote_counts=any_prevote_counts), Invariant.DEPOSED, HARD),
]


@pytest.mark.parametrize("members", [3, 4, 5, 7])
@pytest.mark.parametrize("freezes", [False, True])
def test_one_cut_deposes_nobody_that_a_majority_hears(members: int, freezes: bool) -> None:
    found = search(ContactModel(Size(members=members, freezes=freezes)).system())
    assert found.complete and not found.breach, found.text()


@pytest.mark.parametrize("members", [3, 4, 5])
def test_two_cuts_depose_nobody_that_a_majority_hears(members: int) -> None:
    found = search(ContactModel(Size(members=members, cuts=2)).system())
    assert found.complete and not found.breach, found.text()


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.name)
def test_a_faulty_rule_is_found(mutant: Mutant) -> None:
    checked = frozenset({mutant.breaks})
    found = search(ContactModel(mutant.size, mutant.rules, checked).system())
    print(found.text())
    assert found.breach == mutant.breaks, found.text()


@pytest.mark.parametrize("members", [3, 4, 5])
def test_a_candidate_frozen_between_two_cuts_costs_no_election(members: int) -> None:
    """Its pre-vote is too old by then: most voters hear a primary again, and it gives up instead of asking the few that
    don't."""
    found = search(ContactModel(HARD._replace(members=members)).system())
    assert found.complete and not found.breach, found.text()

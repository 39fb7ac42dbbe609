"""The control protocol searched exhaustively, and faulty rules that the search must find."""

from __future__ import annotations

from dataclasses import replace

import pytest

from model.control.invariants import Invariant
from model.control.state import Size, State, founded
from model.control.steps import ControlModel
from model.control.symmetry import canonical, renamed
from model.search import Limits, search
from tests.support.model_mutants import (
    MUTANTS,
    ORDER_ACKNOWLEDGED_BEFORE_THE_WIPE,
    RELEASED,
    REPAIRED,
    SMALL,
    VOTER_WIPED_AFTER_ITS_GRANT,
    Mutant,
)

RACE = (0, 0)  # Two orders that build on the same version: one of them must be refused.
SEQUENCE = (0, 1)


@pytest.mark.parametrize(
    "size",
    [
        Size(members=3, epochs=2, bases=RACE, wipes=0, reads=1),
        Size(members=3, epochs=2, bases=SEQUENCE, wipes=0, reads=1),
        Size(members=3, epochs=2, bases=(0,), wipes=1, reads=0),
        Size(members=4, epochs=2, bases=RACE, wipes=0, reads=0),
        Size(members=4, epochs=2, bases=(), wipes=1, reads=0, leaves=1, restarts=False),
    ],
    ids=str,
)
def test_no_invariant_breaks_in_any_run_of_this_size(size: Size) -> None:
    found = search(ControlModel(size, REPAIRED).system())
    assert found.complete and not found.breach, found.text()


def begin(model: ControlModel, labels: tuple[str, ...]) -> State:
    """The state that these steps lead to."""
    state = founded(model.size)
    for label in labels:
        state = next(step.state for step in model.steps(state) if step.label == label)
    return state


@pytest.mark.parametrize("mutant", [*MUTANTS, *RELEASED], ids=lambda m: m.name)
def test_a_faulty_rule_is_found(mutant: Mutant) -> None:
    model = ControlModel(mutant.size, mutant.rules, mutant.checked)
    found = search(replace(model.system(), initial=begin(model, mutant.after)), Limits(states=300_000))
    print(found.text())
    assert found.breach == mutant.breaks, found.text()
    assert len(found.trace) == found.depth


@pytest.mark.parametrize(
    ("after", "size"),
    [
        (VOTER_WIPED_AFTER_ITS_GRANT, SMALL._replace(wipes=1, epochs=3, bases=())),
        (VOTER_WIPED_AFTER_ITS_GRANT, SMALL._replace(wipes=1, epochs=4)),
        (ORDER_ACKNOWLEDGED_BEFORE_THE_WIPE, SMALL._replace(wipes=1, epochs=4)),
        (VOTER_WIPED_AFTER_ITS_GRANT, SMALL._replace(wipes=1, epochs=5, bases=())),
    ],
    ids=["led twice", "led twice, with an order", "order before the wipe", "no loss is told"],
)
def test_the_product_bears_voters_of_an_epoch_that_nobody_granted(after: tuple[str, ...], size: Size) -> None:
    model = ControlModel(size, REPAIRED)
    found = search(replace(model.system(), initial=begin(model, after)))
    print(found.text())
    assert found.complete and not found.breach, found.text()


def test_every_invariant_has_a_rule_whose_fault_breaks_it() -> None:
    assert {m.breaks for m in [*MUTANTS, *RELEASED]} == set(Invariant)


def test_a_search_repeats_itself() -> None:
    one, two = (search(ControlModel(SMALL, REPAIRED).system()) for _ in range(2))
    assert (one.states, one.transitions, one.depth) == (two.states, two.transitions, two.depth)


def test_states_that_differ_by_names_are_one() -> None:
    model = ControlModel(Size(members=4))
    layer = [founded(model.size)]
    for _ in range(5):
        layer = [step.state for state in layer[:40] for step in model.steps(state)]
    for state in layer[:200]:
        for names in ((1, 0, 2, 3), (3, 2, 1, 0), (1, 2, 3, 0)):
            assert canonical(renamed(state, names)) == canonical(state)


@pytest.mark.parametrize(
    ("size", "field"),
    [
        (Size(members=2), "members"),
        (Size(epochs=0), "epochs"),
        (Size(tolerate=3), "tolerate"),
        (Size(wipes=-1), "wipes"),
        (Size(bases=(1,)), "bases"),
    ],
)
def test_a_size_that_makes_no_sense_is_refused_by_its_field(size: Size, field: str) -> None:
    assert [flaw.split(":")[0].split(",")[0] for flaw in size.flaws()] == [field]

"""A partition searched exhaustively, and faulty rules that the search must find."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from model.partition.rules import Disks, Rules
from model.partition.state import EVERY, Invariant, Size, formed
from model.partition.steps import PartitionModel
from model.partition.symmetry import canonical, renamed
from model.search import Limits, search
from postpass.batch.job import JobView
from postpass.membership.safe_change import Change, Situation
from postpass.replication.partition import Partition

SMALL = Size(members=3, epochs=2, lots=1, wipes=0)


@dataclass(frozen=True)
class Mutant:
    """A rule with a fault, the size that shows it, and the invariant that it breaks."""

    name: str
    rules: Rules
    breaks: Invariant
    size: Size = SMALL
    checked: frozenset[Invariant] = EVERY


def half_may_lead(part: Partition, view: JobView, voters: Disks) -> bool:
    return bool(view.members) and 2 * sum(view.members.get(n) == d for n, d in voters.items()) >= len(view.members)


def leads_under_the_new_members_alone(part: Partition, view: JobView, voters: Disks) -> bool:
    part.covered = part.record_log.last
    return part.may_lead(view, voters)


def covers_at_once(part: Partition) -> bool:
    part.covered = part.record_log.last
    return True


def settles_what_is_not_covered(part: Partition) -> int:
    return part.view.unsettled()


def settles_nothing(part: Partition) -> int:
    return 0


def takes_in_whoever_answers(situation: Situation, stays: str) -> Change | None:
    """Joins a new disk before it has a copy, and leaves out whoever has none."""
    lacking = [n for n in situation.wanted if situation.current.get(n) != situation.ready.get(n)]
    members = {n: d for n, d in situation.current.items() if n not in lacking}
    return Change(members, (), tuple(lacking)) if lacking and len(members) < len(situation.current) else None


def promises_again(promised: int, epoch: int) -> bool:
    return epoch >= promised


def follows_anyone(promised: int, epoch: int) -> bool:
    return True


def complete_without_the_mark(part: Partition, situation: Situation) -> bool:
    """The rule up to release 0.2.0: all members have synced the change of members, but not the mark that settles it."""
    change, current = part.view.members_seq, part.view.members
    synced = all(
        part.acknowledgements.get(n, d, "persisted") >= change for n, d in current.items() if n != part.store_name
    )
    return part.ready and change <= part.covered and synced and situation.live == set(current)


MUTANTS = [
    Mutant("a repair counts as complete before all have the mark that settles it", Rules(complete=complete_without_the_mark), Invariant.BEARS_LOSS, SMALL._replace(lots=0, wipes=2)),
    Mutant("a repair counts as complete once a majority has that mark", Rules(complete=lambda part, situation: part.is_membership_proven()), Invariant.BEARS_LOSS, SMALL._replace(lots=0, wipes=2)),
    Mutant("a change is settled before it is covered", Rules(settles=settles_what_is_not_covered), Invariant.KEPT, SMALL._replace(wipes=1)),
    Mutant("half of the members elect", Rules(may_lead=half_may_lead), Invariant.ONE_OWNER, SMALL._replace(members=4, lots=0)),
    Mutant("a vote counts by name, whatever the disk", Rules(votes_by_disk=False), Invariant.KEPT, SMALL._replace(wipes=1), EVERY - {Invariant.BEARS_LOSS}),
    Mutant("the members before a change have no vote while it is not covered", Rules(may_lead=leads_under_the_new_members_alone), Invariant.ONE_OWNER, SMALL._replace(wipes=1)),
    Mutant("an epoch is promised twice", Rules(promises=promises_again), Invariant.ONE_OWNER),
    Mutant("a mirror follows a deposed owner", Rules(takes_stream=follows_anyone), Invariant.KEPT),
    Mutant("a record is covered before it is copied", Rules(advance=covers_at_once), Invariant.KEPT),
    Mutant("a covered change is never settled", Rules(settles=settles_nothing, complete=complete_without_the_mark), Invariant.BEARS_LOSS, SMALL._replace(lots=0, wipes=2)),
    Mutant("members leave because they lack a copy", Rules(next_change=takes_in_whoever_answers), Invariant.BEARS_LOSS, SMALL._replace(lots=0, wipes=2)),
    Mutant("a loss is declared for a tolerated loss", Rules(may_lead=lambda part, view, voters: len(voters) > 3), Invariant.NO_FALSE_LOSS),
]  # fmt: skip


@pytest.mark.parametrize(
    "size",
    [
        SMALL,
        SMALL._replace(members=4),
        SMALL._replace(lots=0, wipes=1),
        SMALL._replace(lots=0, wipes=2),
        SMALL._replace(lots=0, epochs=3),
    ],
    ids=str,
)
def test_no_invariant_breaks_in_any_run_of_this_size(size: Size) -> None:
    found = search(PartitionModel(size).system())
    assert found.complete and not found.breach, found.text()


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.name)
def test_a_faulty_rule_is_found(mutant: Mutant) -> None:
    model = PartitionModel(mutant.size, mutant.rules, mutant.checked)
    found = search(model.system(), Limits(states=100_000))
    print(found.text())
    assert found.breach == mutant.breaks, found.text()


def breach_at_second_loss(rules: Rules) -> str:
    """What the search tells if it reaches a second loss, which is tolerated only once the first is repaired."""
    model = PartitionModel(SMALL._replace(lots=0, wipes=2), rules)
    told = replace(model.system(), flaw=lambda state: "" if state.wipes_left else "a second loss")
    return search(told).breach


def test_a_repair_is_complete_at_some_time_if_and_only_if_its_change_is_settled() -> None:
    assert breach_at_second_loss(Rules()) == "a second loss"
    assert breach_at_second_loss(Rules(settles=settles_nothing)) == ""


def test_every_invariant_has_a_rule_whose_fault_breaks_it() -> None:
    assert {m.breaks for m in MUTANTS} == set(Invariant)


def test_states_that_differ_by_names_are_one() -> None:
    model = PartitionModel(Size(members=3))
    layer = [formed(model.size)]
    for _ in range(5):
        layer = [step.state for state in layer[:40] for step in model.steps(state)]
    for state in layer[:200]:
        for names in ((1, 0, 2), (2, 1, 0), (1, 2, 0)):
            assert canonical(renamed(state, names)) == canonical(state)

"""Tests of postpass.replication.election_decision: each branch, and the order in which the conditions are checked."""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import pytest

from postpass.replication.election_decision import Candidacy, Step, enough_answered_to_found, next_step

WON = Candidacy(
    epoch=5, promised=5, owning=False, quorum=True, all_answered=True, blank=False, known_epoch=None, lost_jobs=None
)
LOST_DISKS = replace(WON, quorum=False)
BLANK = replace(LOST_DISKS, blank=True)


@pytest.mark.parametrize(
    ("candidacy", "step"),
    [
        (WON, Step.LEAD),
        (replace(WON, all_answered=False), Step.LEAD),
        (replace(LOST_DISKS, all_answered=False), Step.BACK_OFF),
        (LOST_DISKS, Step.ASK_KEPT_JOBS),
        (replace(LOST_DISKS, lost_jobs=()), Step.LEAD_AFTER_LOSS),
        (BLANK, Step.ASK_EPOCHS),
        (replace(BLANK, known_epoch=0), Step.FOUND),
        (replace(BLANK, known_epoch=4), Step.ASK_KEPT_JOBS),
        (replace(BLANK, known_epoch=4, lost_jobs=("a",)), Step.LEAD_AFTER_LOSS),
        (replace(BLANK, known_epoch=5), Step.BACK_OFF),
    ],
)
def test_each_case_has_its_step(candidacy: Candidacy, step: Step) -> None:
    assert next_step(candidacy) is step


def test_a_candidate_that_was_superseded_always_backs_off() -> None:
    for quorum, answered, blank, known, lost in product(
        (False, True), (False, True), (False, True), (None, 0, 4, 9), (None, (), ("a",))
    ):
        candidacy = Candidacy(5, 5, False, quorum, answered, blank, known, lost)
        assert next_step(replace(candidacy, promised=6)) is Step.BACK_OFF
        assert next_step(replace(candidacy, owning=True)) is Step.BACK_OFF


def test_nobody_leads_without_a_quorum_unless_all_have_answered() -> None:
    for blank, known, lost in product((False, True), (None, 0, 4, 9), (None, (), ("a",))):
        assert next_step(Candidacy(5, 5, False, False, False, blank, known, lost)) is Step.BACK_OFF


@pytest.mark.parametrize(
    ("copies", "disks_lost", "unanswered", "enough"),
    [
        (4, 1, 0, True),
        (4, 1, 1, True),  # a covered record is on three disks; one may be lost, and one more may be missing
        (4, 1, 2, False),
        (3, 1, 0, True),
        (3, 1, 1, False),
        (5, 2, 0, True),
        (5, 2, 1, False),
        (1, 1, 0, True),
        (0, 1, 1, False),
    ],
)
def test_enough_answered(copies: int, disks_lost: int, unanswered: int, enough: bool) -> None:
    assert enough_answered_to_found(unanswered, copies, disks_lost) is enough


def test_a_covered_record_is_never_overlooked_by_a_founder() -> None:
    """For every majority, tolerated loss of disks and set of stores that don't answer: one that answers has the record."""
    for copies, disks_lost in ((3, 1), (4, 1), (5, 1), (5, 2), (7, 3)):
        for holders in range(copies // 2 + 1, copies + 1):
            for unanswered in range(copies + 1):
                if enough_answered_to_found(unanswered, copies, disks_lost):
                    assert unanswered == 0 or holders - disks_lost - unanswered >= 1


def test_a_store_that_is_missing_holds_up_a_loss_but_not_the_founding() -> None:
    founding = replace(BLANK, all_answered=False, enough_to_found=True)
    assert next_step(replace(founding, known_epoch=0)) is Step.FOUND
    for lost_jobs in (None, (), ("a",)):
        assert next_step(replace(founding, known_epoch=4, lost_jobs=lost_jobs)) is Step.BACK_OFF
    assert next_step(replace(LOST_DISKS, all_answered=False, enough_to_found=True)) is Step.BACK_OFF

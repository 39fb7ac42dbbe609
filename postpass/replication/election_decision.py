"""The decision of an election, as a function of what the candidate knows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Step(Enum):
    """What a candidate does next."""

    BACK_OFF = auto()  # this election is lost; another one may begin later
    ASK_EPOCHS = auto()  # ask other daemons for the highest epochs that they remember
    ASK_KEPT_JOBS = auto()  # ask other daemons for the jobs that they know to be kept here
    FOUND = auto()  # own a partition that never had a record: its first members are the voters
    LEAD = auto()  # own the partition with all that was covered
    LEAD_AFTER_LOSS = auto()  # own the partition with what is left, and record that covered records may be lost


@dataclass(frozen=True, slots=True)
class Candidacy:
    """What a candidate knows once its promises are in.

    Attributes:
        epoch: Epoch that the candidate runs for.
        promised: Highest epoch that this store has promised to anyone, the candidate itself included.
        owning: Whether this store owns the partition by now.
        quorum: Whether the promises suffice under every rule that may count.
        all_answered: Whether every member has promised, but for those that were declared gone.
        blank: Whether no log among theirs has a record.
        known_epoch: Highest epoch of this partition that other daemons remember; None if they were not asked.
        lost_jobs: Jobs that other daemons know to be kept and the log does not have; None if they were not asked.
    """

    epoch: int
    promised: int
    owning: bool
    quorum: bool
    all_answered: bool
    blank: bool
    known_epoch: int | None
    lost_jobs: tuple[str, ...] | None

    @property
    def superseded(self) -> bool:
        """Has this store promised itself to another epoch, or become owner, since the election began?"""
        return self.promised != self.epoch or self.owning


def next_step(candidacy: Candidacy) -> Step:
    """Decides an election. Called again after each question to other daemons, with what they answered."""
    if candidacy.superseded:
        return Step.BACK_OFF
    if not candidacy.quorum and not candidacy.all_answered:
        # Someone who did not answer may hold covered records that no voter has.
        return Step.BACK_OFF
    first = False
    if candidacy.blank:
        # Nobody has anything. Was there never anything, or did all of it go? Others remember the epochs.
        if candidacy.known_epoch is None:
            return Step.ASK_EPOCHS
        if candidacy.known_epoch >= candidacy.epoch:
            return Step.BACK_OFF
        first = candidacy.known_epoch == 0
    if first:
        return Step.FOUND
    if candidacy.quorum:
        return Step.LEAD
    if candidacy.lost_jobs is None:
        return Step.ASK_KEPT_JOBS
    return Step.LEAD_AFTER_LOSS

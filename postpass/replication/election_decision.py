"""The decision of an election, as a pure function of what the candidate knows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from postpass.membership.safe_change import majority_of


class Step(Enum):
    """The next step of a candidate."""

    BACK_OFF = auto()  # this election is lost; another one may begin later
    ASK_EPOCHS = auto()  # ask other daemons for the highest epochs that they remember
    ASK_KEPT_JOBS = auto()  # ask other daemons for the jobs that they know to be kept in this partition
    FOUND = auto()  # become owner of a partition that never had a record: its first members are the voters
    LEAD = auto()  # become owner with all records that were covered
    LEAD_AFTER_LOSS = auto()  # become owner with the records that are left, and record that covered ones may be lost


@dataclass(frozen=True, slots=True)
class Candidacy:
    """What a candidate knows after it has collected promises.

    Attributes:
        epoch: Epoch that the candidate runs for.
        promised: Highest epoch that this store has promised to anyone, including itself.
        owning: Whether this store has become the owner of the partition meanwhile.
        quorum: Whether the promises suffice under every rule that may apply.
        all_answered: Whether every store that may have a copy has promised, except for those that were declared gone.
        blank: Whether none of the collected logs has a record.
        known_epoch: Highest epoch of this partition that other daemons remember; None if they were not asked.
        lost_jobs: Jobs that other daemons know to be kept but the log does not have; None if they were not asked.
        enough_to_found: Whether so many stores have promised that one of them had a record if there were any (see
            `enough_answered_to_found`).
    """

    epoch: int
    promised: int
    owning: bool
    quorum: bool
    all_answered: bool
    blank: bool
    known_epoch: int | None
    lost_jobs: tuple[str, ...] | None
    enough_to_found: bool = False

    @property
    def superseded(self) -> bool:
        """Whether this store has promised another epoch, or become owner, since the election began."""
        return self.promised != self.epoch or self.owning


def enough_answered_to_found(unanswered: int, copies: int, disks_lost: int) -> bool:
    """Returns whether a partition of which no store that answered has a record never had a covered one.

    A covered record is on the disks of a majority of its members, of which the tolerated loss may have taken some. If
    fewer stores than are left did not answer, one that answered would have the record. Nor can two candidates found the
    partition side by side: whatever the first one covers is on more stores than the second one may leave out.

    Args:
        unanswered: Number of stores of the configuration that have not promised.
        copies: Number of members that a partition has.
        disks_lost: Number of disks that may be lost at once.
    """
    if unanswered == 0:
        return True
    disks_left = majority_of(copies) - disks_lost
    return unanswered < min(disks_left, majority_of(copies - unanswered))


def next_step(candidacy: Candidacy) -> Step:
    """Returns the next step of an election. It is invoked again after each request to other daemons, with their answers."""
    if candidacy.superseded:
        return Step.BACK_OFF
    may_found = candidacy.blank and candidacy.enough_to_found
    if not candidacy.quorum and not candidacy.all_answered and not may_found:
        # A member that did not answer may have covered records that no voter has.
        return Step.BACK_OFF
    never_had_records = False
    if candidacy.blank:
        # No voter has a record: either there never was one, or all were lost. The epochs that other daemons remember
        # distinguish the two cases.
        if candidacy.known_epoch is None:
            return Step.ASK_EPOCHS
        if candidacy.known_epoch >= candidacy.epoch:
            return Step.BACK_OFF
        never_had_records = candidacy.known_epoch == 0
    if never_had_records:
        return Step.FOUND
    if candidacy.quorum:
        return Step.LEAD
    if not candidacy.all_answered:
        return Step.BACK_OFF
    if candidacy.lost_jobs is None:
        return Step.ASK_KEPT_JOBS
    return Step.LEAD_AFTER_LOSS

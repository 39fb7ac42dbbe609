"""What must never happen, whatever is lost, late or repeated."""

from __future__ import annotations

from enum import StrEnum

from model.control.state import Log


class Invariant(StrEnum):
    """An invariant of the control protocol, told as what its breach shows."""

    ONE_PRIMARY = "an epoch has two primaries"
    KEPT = "a primary lacks a version that was acknowledged in an earlier epoch"
    ONE_CONTENT = "a version number is acknowledged for two contents"
    NOT_REFUSED = "an order that was taken is refused"
    FRESH_READ = "a confirmed read is older than what was acknowledged before it began"
    MAJORITY = "a minority acknowledges"
    BEARS_LOSS = "after tolerated losses no primary can be elected with all that was acknowledged"
    NO_FALSE_LOSS = "a primary gives acknowledged orders up after tolerated losses"
    LEAVER = "a member leaves with the only copy, or with a majority's last vote"


EVERY = frozenset(Invariant)


def is_prefix(shorter: Log, longer: Log) -> bool:
    """Does one log continue the other?"""
    return longer[: len(shorter)] == shorter


def agree(one: Log, other: Log) -> bool:
    """Have two logs one content for each version that both hold?"""
    return is_prefix(one, other) or is_prefix(other, one)

"""The decisions of the contact model: the product's own where it has a function, else transcribed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from postpass.control import epochs
from postpass.control.election_rules import PreVotes as PreVoteAnswers
from postpass.control.epochs import PreVote, VoteRecord, Voters


@dataclass(frozen=True)
class PreVotes:
    """The members, the voters, and the answers to a pre-vote, the candidate's own among them."""

    members: tuple[str, ...]
    voters: Voters
    answers: tuple[PreVote, ...]


def may_campaign(votes: PreVotes) -> bool:
    """The product's rule."""
    return epochs.may_campaign(votes.members, votes.voters, votes.answers)


def may_stay(voters: Voters, answered: Voters) -> bool:
    """The product's rule: a primary leads on while most voters answered since the detection time began."""
    return epochs.in_touch(voters, dict.fromkeys(answered, 1.0), since=1.0)


def prevote_counts(stale: bool) -> bool:
    """The product's rule: a pre-vote is good for the detection time. A stale one is taken to be older than that: links
    change no faster."""
    return PreVoteAnswers({}, requested_at=0.0).is_fresh(current_time=2.0 if stale else 1.0, max_age=1.0)


def any_prevote_counts(stale: bool) -> bool:
    """The rule up to release 0.3: a pre-vote that was won once is good for ever."""
    return True


def nobody_hears(votes: PreVotes) -> bool:
    """The rule of release 0.2.0 (`watch_for_leader`): none of those that answer hears a primary."""
    return not any(answer.hears_primary for answer in votes.answers)


@dataclass(frozen=True)
class Rules:
    """How elections begin and end.

    `asks_first`: a primary that misses its backup asks for pre-votes as well. `may_stay`: does a primary with these
    answers go on? `refuses_while_hearing`: a voter that hears a primary promises nothing to others.
    `promises_last`: a candidate raises its own promise once enough others have. `prevote_counts`: may a candidate still ask
    for promises, if links have changed since its pre-vote?
    """

    may_campaign: Callable[[PreVotes], bool] = may_campaign
    may_stay: Callable[[Voters, Voters], bool] = may_stay
    promise: Callable[[VoteRecord, int, str], VoteRecord | None] = VoteRecord.prepare
    asks_first: bool = True
    refuses_while_hearing: bool = True
    promises_last: bool = True
    prevote_counts: Callable[[bool], bool] = prevote_counts


# Release 0.2.0.
RELEASED = Rules(
    may_campaign=nobody_hears,
    may_stay=lambda voters, answered: True,
    asks_first=False,
    refuses_while_hearing=False,
    promises_last=False,
    prevote_counts=any_prevote_counts,
)

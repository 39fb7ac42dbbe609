"""The decisions of the contact model: the product's own where it has a function, else transcribed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from postpass.control.epochs import Voters, Witness, majority


@dataclass(frozen=True)
class PreVotes:
    """The members and voters, and the answers to a pre-vote: whom it reached, and which of them hear a primary."""

    voters: Voters
    answered: Voters
    hearing: frozenset[str]

    @property
    def willing(self) -> Voters:
        """Those that answered and hear no primary."""
        return {name: disk for name, disk in self.answered.items() if name not in self.hearing}


def nobody_hears(votes: PreVotes) -> bool:
    """The rule of release 0.2.0 (`watch_for_leader`): none of those that answer hears a primary."""
    return not votes.hearing


def majority_is_willing(votes: PreVotes) -> bool:
    """Most voters answer that they hear no primary."""
    return majority(votes.voters, votes.willing)


@dataclass(frozen=True)
class Rules:
    """How elections begin and end.

    `asks_first`: a primary that misses its backup asks for pre-votes as well. `may_stay`: does a primary with these
    answers go on? `refuses_while_hearing`: a voter that hears a primary promises nothing to others.
    `promises_last`: a candidate raises its own promise once enough others have.
    """

    may_campaign: Callable[[PreVotes], bool] = majority_is_willing
    may_stay: Callable[[Voters, Voters], bool] = majority
    promise: Callable[[Witness, int, str], Witness | None] = Witness.look
    asks_first: bool = True
    refuses_while_hearing: bool = True
    promises_last: bool = True


# Release 0.2.0.
RELEASED = Rules(
    may_campaign=nobody_hears,
    may_stay=lambda voters, answered: True,
    asks_first=False,
    refuses_while_hearing=False,
    promises_last=False,
)

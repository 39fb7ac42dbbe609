"""What the holders of budgets know of one owner's counts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from postpass.batch.messages import BudgetKey


@dataclass(frozen=True)
class ToldCount:
    """The last word on a budget: its number, and the tokens that the holder counts since; None if it may not have heard it."""

    number: int
    tokens: int | None


@dataclass(eq=False)
class ToldCounts:
    """What the owner of a partition has told the holders of budgets, under one epoch.

    Invariant: a budget whose holder may count other tokens than wait here is among `changed`, until it was told anew.

    Attributes:
        epoch: The epoch of the ownership.
        number: Number of the last word.
        by_key: The last word on each budget, but for budgets of tenants of which nothing was told since `complete`.
        complete: The partitions whose owners were told all counts of tenants whose budgets they hold.
    """

    epoch: int
    number: int = 0
    by_key: dict[BudgetKey, ToldCount] = field(default_factory=dict)
    complete: set[int] = field(default_factory=set)

    def next_number(self) -> int:
        """The number of a new word."""
        self.number += 1
        return self.number

    def note(self, key: BudgetKey, number: int, tokens: int | None) -> None:
        """The holder counts so many tokens since a word; None if that is not known. Later words stand."""
        last = self.by_key.get(key)
        if last is not None and number < last.number:
            return
        self.by_key[key] = ToldCount(number, tokens)

    def is_known(self, key: BudgetKey, tokens: int) -> bool:
        """Does the holder count just so many tokens?"""
        told = self.by_key.get(key)
        if told is None:
            return bool(key.tenant) and tokens == 0
        return told.tokens == tokens

    def changed(self, counts: Mapping[BudgetKey, int]) -> dict[BudgetKey, int]:
        """The budgets of tenants of which holders are to hear, with what waits now; `counts` may leave out zeros."""
        for key in [key for key, told in self.by_key.items() if key.tenant and told.tokens == 0 and key not in counts]:
            del self.by_key[key]
        gone = {key: 0 for key in self.by_key if key.tenant and key not in counts}
        return gone | {key: tokens for key, tokens in counts.items() if key.tenant and not self.is_known(key, tokens)}

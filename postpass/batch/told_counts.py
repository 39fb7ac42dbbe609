"""The counts that one owner has sent to the holders of budgets, and which of them these have acknowledged."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from postpass.batch.messages import BudgetKey


@dataclass(frozen=True)
class SentCount:
    """The last report on a budget: its number, and the tokens that the holder counts since; None if that is unknown."""

    number: int
    tokens: int | None


@dataclass(eq=False)
class SentCounts:
    """The counts that the owner of a partition has sent to the holders of budgets, under one epoch.

    Invariant: a budget whose holder may count other tokens than wait here is among `changed` until it is reported
    again.

    Attributes:
        epoch: The epoch of the ownership.
        number: Number of the last report.
        by_key: The last report on each budget, except budgets of tenants on which nothing was reported since the holder
            became `complete`.
        complete: The partitions whose owners have received all counts of the tenants whose budgets they hold.
    """

    epoch: int
    number: int = 0
    by_key: dict[BudgetKey, SentCount] = field(default_factory=dict)
    complete: set[int] = field(default_factory=set)

    def next_number(self) -> int:
        """Returns the number for a new report."""
        self.number += 1
        return self.number

    def record(self, key: BudgetKey, number: int, tokens: int | None) -> None:
        """Records how many tokens the holder counts since the report of that number; None if that is unknown.

        Does nothing if a later report was recorded.
        """
        last = self.by_key.get(key)
        if last is not None and number < last.number:
            return
        self.by_key[key] = SentCount(number, tokens)

    def is_known(self, key: BudgetKey, tokens: int) -> bool:
        """Returns whether the holder is known to count exactly this number of tokens."""
        sent = self.by_key.get(key)
        if sent is None:
            return bool(key.tenant) and tokens == 0
        return sent.tokens == tokens

    def changed(self, counts: Mapping[BudgetKey, int]) -> dict[BudgetKey, int]:
        """Returns the tenants' budgets to report, with what waits now; `counts` may leave out zeros."""
        for key in [key for key, sent in self.by_key.items() if key.tenant and sent.tokens == 0 and key not in counts]:
            del self.by_key[key]
        ended = {key: 0 for key in self.by_key if key.tenant and key not in counts}
        return ended | {key: tokens for key, tokens in counts.items() if key.tenant and not self.is_known(key, tokens)}

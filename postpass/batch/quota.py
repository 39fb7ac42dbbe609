"""Tokens that wait on a route, over all partitions: the counts that the one holder of a budget keeps."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache

from postpass.batch.messages import BudgetKey, TenantCounts
from postpass.configuration.configuration import partition_of

HOLDERS_KEPT = 1 << 14  # budgets whose holder's partition is remembered


@lru_cache(HOLDERS_KEPT)
def holder_of(key: BudgetKey, partitions: int) -> int:
    """The partition whose owner holds a budget."""
    name = f"route:{key.route}"
    return partition_of(f"{name}:tenant:{key.tenant}" if key.tenant else name, partitions)


@dataclass(frozen=True)
class ReportedCount:
    """What the owner of a partition said last. Invariant: a later word of it has a higher (epoch, number)."""

    epoch: int
    number: int
    tokens: int


@dataclass(eq=False)
class Budget:
    """The waiting tokens of one route, or of one tenant on it. Owned by the holder of its budget, for one epoch.

    Invariants: nothing is granted before every partition's owner was heard under the holder's own epoch; what is granted
    counts until the partition's owner tells a later count, which holds it for as long as it may be used.
    """

    reported: dict[int, ReportedCount] = field(default_factory=dict)  # by partition

    def report(self, partition: int, epoch: int, number: int, tokens: int) -> bool:
        """Takes an owner's count; False if a later word of that partition was heard before."""
        last = self.reported.get(partition)
        if last is not None and (epoch, number) <= (last.epoch, last.number):
            return False
        self.reported[partition] = ReportedCount(epoch, number, tokens)
        return True

    def unreported(self, partitions: int) -> list[int]:
        """Those of so many partitions whose owners have told no count yet."""
        return [partition for partition in range(partitions) if partition not in self.reported]

    @property
    def tokens(self) -> int:
        """All tokens that wait, and those that were granted since."""
        return sum(count.tokens for count in self.reported.values())

    def take(self, partition: int, want: int, most: int) -> bool:
        """Grants a partition, which has reported, `want` further tokens; False if more than `most` would wait then."""
        if self.tokens + want > most:
            return False
        last = self.reported[partition]
        self.reported[partition] = ReportedCount(last.epoch, last.number, last.tokens + want)
        return True


@dataclass(eq=False)
class BudgetBook:
    """The budgets that one owner of a partition holds, for one epoch.

    Invariant: a partition in `complete` has reported to every budget of a tenant, those that are asked for later included.
    """

    budgets: dict[BudgetKey, Budget] = field(default_factory=dict)
    complete: dict[int, ReportedCount] = field(
        default_factory=dict
    )  # no tokens, by partition that has told all its counts

    def budget(self, key: BudgetKey) -> Budget:
        """The budget of a key; a new one knows that nothing waits where all counts were told without it."""
        found = self.budgets.get(key)
        if found is None:
            found = self.budgets[key] = Budget(dict(self.complete) if key.tenant else {})
        return found

    def report(self, told: TenantCounts) -> None:
        """Takes an owner's counts, but for those of which a later word was heard before."""
        for key, tokens in told.counts.items():
            self.budget(key).report(told.owner, told.epoch, told.number, tokens)
        last = self.complete.get(told.owner)
        if not told.complete or (last is not None and (told.epoch, told.number) <= (last.epoch, last.number)):
            return
        self.complete[told.owner] = ReportedCount(told.epoch, told.number, 0)
        for key, budget in self.budgets.items():
            if key.tenant and key not in told.counts:
                budget.report(told.owner, told.epoch, told.number, 0)

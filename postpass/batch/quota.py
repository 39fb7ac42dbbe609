"""The tokens that wait on a route, summed over all partitions: the counts that the one holder of a budget keeps."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache

from postpass.batch.messages import BudgetKey, TenantCounts
from postpass.configuration.configuration import partition_of

HOLDER_CACHE_SIZE = 1 << 14  # budgets whose holder's partition is remembered


@lru_cache(HOLDER_CACHE_SIZE)
def holder_of(key: BudgetKey, partitions: int) -> int:
    """Returns the partition whose owner holds a budget."""
    name = f"route:{key.route}"
    return partition_of(f"{name}:tenant:{key.tenant}" if key.tenant else name, partitions)


@dataclass(frozen=True)
class ReportedCount:
    """The last count reported by a partition's owner. Invariant: a later report of it has a higher (epoch, number)."""

    epoch: int
    number: int
    tokens: int


@dataclass(eq=False)
class Budget:
    """The waiting tokens of one route, or of one tenant on it. Owned by the budget's holder, for one epoch.

    Invariants: nothing is granted before every partition's owner has reported under the holder's own epoch; granted
    tokens count until the partition's owner reports a later count, which includes them for as long as they may be used.
    """

    reported: dict[int, ReportedCount] = field(default_factory=dict)  # by partition

    def report(self, partition: int, epoch: int, number: int, tokens: int) -> bool:
        """Stores an owner's count; False if it is not later than the partition's last one, and was ignored."""
        last = self.reported.get(partition)
        if last is not None and (epoch, number) <= (last.epoch, last.number):
            return False
        self.reported[partition] = ReportedCount(epoch, number, tokens)
        return True

    def unreported(self, partitions: int) -> list[int]:
        """Returns the partitions, of the given number, whose owners have reported no count yet."""
        return [partition for partition in range(partitions) if partition not in self.reported]

    @property
    def tokens(self) -> int:
        """All tokens that wait, including those granted since the last reports."""
        return sum(count.tokens for count in self.reported.values())

    def grant(self, partition: int, wanted: int, limit: int) -> bool:
        """Grants further tokens to a partition that has reported; False if more than `limit` would wait then."""
        if self.tokens + wanted > limit:
            return False
        last = self.reported[partition]
        self.reported[partition] = ReportedCount(last.epoch, last.number, last.tokens + wanted)
        return True


@dataclass(eq=False)
class OwnedBudgets:
    """The budgets that one owner of a partition holds, for one epoch.

    Invariant: a partition in `complete` has reported to every tenant's budget, including those that are created later.
    """

    budgets: dict[BudgetKey, Budget] = field(default_factory=dict)
    # By partition that has reported all its counts: a count of no tokens, for the budgets not among these.
    complete: dict[int, ReportedCount] = field(default_factory=dict)

    def budget(self, key: BudgetKey) -> Budget:
        """Returns the budget of a key; a new one has count 0 for partitions that reported all counts without it."""
        key_budget = self.budgets.get(key)
        if key_budget is None:
            key_budget = self.budgets[key] = Budget(dict(self.complete) if key.tenant else {})
        return key_budget

    def report(self, message: TenantCounts) -> None:
        """Stores an owner's counts, except those of which a later one was received before."""
        for key, tokens in message.counts.items():
            self.budget(key).report(message.owner, message.epoch, message.number, tokens)
        last = self.complete.get(message.owner)
        if not message.complete or (last is not None and (message.epoch, message.number) <= (last.epoch, last.number)):
            return
        self.complete[message.owner] = ReportedCount(message.epoch, message.number, 0)
        for key, budget in self.budgets.items():
            if key.tenant and key not in message.counts:
                budget.report(message.owner, message.epoch, message.number, 0)

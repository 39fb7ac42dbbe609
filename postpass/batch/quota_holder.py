"""The holder of budgets: the owner of the partition that their names hash to.

It receives the counts of waiting tokens from the owners of all partitions, and grants further tokens.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.messages import BudgetKey, ReserveRequest, TenantCounts, WaitingResponse
from postpass.batch.partition_access import PartitionAccess
from postpass.batch.partition_client import PartitionClient
from postpass.batch.quota import Budget, OwnedBudgets
from postpass.configuration.configuration import quota_of
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.errors import CONFLICT, TIMED_OUT, TOO_MANY_REQUESTS, Fault


@dataclass(eq=False)
class QuotaHolder:
    """Grants tokens to owners that ask, for the budgets whose partition is owned here.

    Invariant: one task at a time asks all owners for the counts of tenants; requests that need them meanwhile wait for
    the same task.
    """

    store: PartitionAccess
    client: PartitionClient
    budgets_by_ownership: dict[tuple[int, int], OwnedBudgets] = field(default_factory=dict)  # by (partition, epoch)
    fetch_tasks: dict[tuple[int, int], asyncio.Task[None]] = field(default_factory=dict)  # by (partition, epoch)

    def forget(self, partition: int) -> None:
        """Drops the budgets of a partition when a new ownership begins: nothing from the one before is valid."""
        for key in [key for key in self.budgets_by_ownership if key[0] == partition]:
            del self.budgets_by_ownership[key]

    async def on_reserve(self, body: Body) -> PeerResponse:
        """Verb `reserve`: stores an owner's counts, and grants the tokens that it wants if the quota allows it."""
        lookup = self.store.owned_partition(body["part"], "reserve")
        if isinstance(lookup, Err):
            return lookup
        partition = lookup.unwrap()
        owned_budgets = self.budgets_by_ownership.setdefault((partition.id, partition.epoch), OwnedBudgets())
        if "counts" in body:
            owned_budgets.report(TenantCounts.from_json(body))
            return Ok({})
        return await self.reserve(partition, owned_budgets, ReserveRequest.from_json(body))

    async def reserve(self, partition: Partition, owned_budgets: OwnedBudgets, request: ReserveRequest) -> PeerResponse:
        """Stores the count of one budget, and grants the tokens that the owner wants if the quota allows it."""
        epoch, budget = partition.epoch, owned_budgets.budget(request.key)
        # Before any owner is asked for its count: its response would have a higher number, and make this report late.
        is_newer = budget.report(request.owner, request.epoch, request.number, request.tokens)
        if not request.wanted:
            return Ok({})
        if not is_newer:
            return self.failure("a later word came before this one", CONFLICT)
        if not await self.fetch_missing_counts(partition, owned_budgets, budget, request):
            return self.failure("not all partitions have told their counts", TIMED_OUT)
        # Still under this epoch: a later holder asks every owner, and each counts the tokens that it requested here.
        if not await self.store.confirm(partition) or partition.epoch != epoch:
            return self.failure("could not be confirmed", TIMED_OUT)
        quota = quota_of(self.store.configuration_view.manifest, request.key.route)
        if quota and not budget.grant(request.owner, self.uncounted_tokens(budget, request), quota):
            return self.failure(f"{budget.tokens} of {quota} tokens wait on the route", TOO_MANY_REQUESTS)
        return Ok({})

    def uncounted_tokens(self, budget: Budget, request: ReserveRequest) -> int:
        """Returns the wanted tokens that are not in the owner's count: 0 if a later report already includes them."""
        last = budget.reported[request.owner]
        return 0 if (last.epoch, last.number) > (request.epoch, request.number) else request.wanted

    async def fetch_missing_counts(
        self, partition: Partition, owned_budgets: OwnedBudgets, budget: Budget, request: ReserveRequest
    ) -> bool:
        """Asks the owners that have reported no count of a budget yet; False if one still has not."""
        configuration = self.store.configuration_view.manifest
        assert configuration is not None
        partitions = configuration["parts"]
        unreported = budget.unreported(partitions)
        if not unreported:
            return True
        if request.key.tenant:
            await self.fetch_tenant_counts(partition, owned_budgets, partitions)
        else:
            await asyncio.gather(*(self.fetch_route_count(budget, owner, request.key) for owner in unreported))
        return not budget.unreported(partitions)

    async def fetch_route_count(self, budget: Budget, owner: int, key: BudgetKey) -> None:
        """Asks one owner for its count of a route; without a response, the count stays missing."""
        answer = await self.client.ask(
            owner, "waiting", {"route": key.route}, self.store.settings.bounds.heartbeat_interval
        )
        if isinstance(answer, Ok):
            response = WaitingResponse.from_json(answer.unwrap())
            budget.report(owner, response.epoch, response.number, response.tokens)

    async def fetch_tenant_counts(self, partition: Partition, owned_budgets: OwnedBudgets, partitions: int) -> None:
        """Asks the owners that have not reported all their counts, or waits for the task that is already doing so."""
        ownership = (partition.id, partition.epoch)
        task = self.fetch_tasks.get(ownership)
        if task is None:
            task = self.fetch_tasks[ownership] = asyncio.create_task(
                self.fetch_all_tenant_counts(partition.id, owned_budgets, partitions)
            )
            task.add_done_callback(lambda _: self.fetch_tasks.pop(ownership, None))
        await asyncio.wait([task])

    async def fetch_all_tenant_counts(self, holder: int, owned_budgets: OwnedBudgets, partitions: int) -> None:
        """Asks the owners that have not reported all their counts of the tenants whose budgets `holder` holds."""
        missing = [owner for owner in range(partitions) if owner not in owned_budgets.complete]
        await asyncio.gather(*(self.fetch_owner_tenant_counts(holder, owned_budgets, owner) for owner in missing))

    async def fetch_owner_tenant_counts(self, holder: int, owned_budgets: OwnedBudgets, owner: int) -> None:
        """Asks one owner for its counts of all tenants whose budgets `holder` holds; it may not respond."""
        answer = await self.client.ask(
            owner, "waiting", {"holder": holder}, self.store.settings.bounds.heartbeat_interval
        )
        if isinstance(answer, Ok):
            owned_budgets.report(TenantCounts.from_json(answer.unwrap()))

    def failure(self, why: str, code: int) -> PeerResponse:
        """Returns a fault in the name of this store."""
        return Err(Fault("reserve", self.store.settings.name, why, code))

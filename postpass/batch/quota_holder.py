"""The holder of budgets: the owner of the partition that their names choose. It hears what waits elsewhere, and grants."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from postpass.batch.messages import BudgetKey, ReserveRequest, TenantCounts, WaitingResponse
from postpass.batch.partition_access import PartitionAccess
from postpass.batch.partition_client import PartitionClient
from postpass.batch.quota import Budget, BudgetBook
from postpass.configuration.configuration import quota_of
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.errors import CLASH, CROWD, SLOW, Fault


@dataclass(eq=False)
class QuotaHolder:
    """Grants tokens to owners that ask, for the budgets whose partition is owned here.

    Invariant: one task at a time asks all owners for the counts of tenants; whoever needs them meanwhile shares it.
    """

    store: PartitionAccess
    client: PartitionClient
    books: dict[tuple[int, int], BudgetBook] = field(default_factory=dict)  # by (partition, epoch)
    learning: dict[tuple[int, int], asyncio.Task[None]] = field(default_factory=dict)  # by (partition, epoch)

    def forget(self, partition: int) -> None:
        """A new ownership begins: nothing of the one before counts."""
        for key in [key for key in self.books if key[0] == partition]:
            del self.books[key]

    async def on_reserve(self, body: Body) -> PeerResponse:
        """Verb `reserve`: hears an owner's counts, and grants what it wants if it fits."""
        got = self.store.owned_partition(body["part"], "reserve")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        book = self.books.setdefault((partition.id, partition.epoch), BudgetBook())
        if "counts" in body:
            book.report(TenantCounts.from_json(body))
            return Ok({})
        return await self.reserve(partition, book, ReserveRequest.from_json(body))

    async def reserve(self, partition: Partition, book: BudgetBook, request: ReserveRequest) -> PeerResponse:
        """Hears the count of one budget, and grants what the owner wants if it fits."""
        epoch, budget = partition.epoch, book.budget(request.key)
        # Before anyone is asked for a count: what an owner answers then would make this word of it a late one.
        is_news = budget.report(request.owner, request.epoch, request.number, request.tokens)
        if not request.wanted:
            return Ok({})
        if not is_news:
            return self.failed("a later word came before this one", CLASH)
        if not await self.learn_missing(partition, book, budget, request):
            return self.failed("not all partitions have told their counts", SLOW)
        # Under the epoch: a holder that comes later asks every owner, which counts what it asked for here.
        if not await self.store.confirm(partition) or partition.epoch != epoch:
            return self.failed("could not be confirmed", SLOW)
        most = quota_of(self.store.configuration_view.manifest, request.key.route)
        if most and not budget.take(request.owner, self.wanted_beyond(budget, request), most):
            return self.failed(f"{budget.tokens} of {most} tokens wait on the route", CROWD)
        return Ok({})

    def wanted_beyond(self, budget: Budget, request: ReserveRequest) -> int:
        """The wanted tokens that are not in the owner's count; a word of it that came since the question holds them."""
        last = budget.reported[request.owner]
        return 0 if (last.epoch, last.number) > (request.epoch, request.number) else request.wanted

    async def learn_missing(
        self, partition: Partition, book: BudgetBook, budget: Budget, request: ReserveRequest
    ) -> bool:
        """Asks the owners that have told no count of a budget yet; False if one gave no answer."""
        configuration = self.store.configuration_view.manifest
        assert configuration is not None
        partitions = configuration["parts"]
        unreported = budget.unreported(partitions)
        if not unreported:
            return True
        if request.key.tenant:
            await self.learn_tenants(partition, book, partitions)
        else:
            await asyncio.gather(*(self.learn_count(budget, owner, request.key) for owner in unreported))
        return not budget.unreported(partitions)

    async def learn_count(self, budget: Budget, owner: int, key: BudgetKey) -> None:
        """Asks one owner what waits there on a route; it may not answer."""
        answer = await self.client.ask(owner, "waiting", {"route": key.route}, self.store.settings.bounds.beat)
        if isinstance(answer, Ok):
            told = WaitingResponse.from_json(answer.unwrap())
            budget.report(owner, told.epoch, told.number, told.tokens)

    async def learn_tenants(self, partition: Partition, book: BudgetBook, partitions: int) -> None:
        """Asks the owners that have not told all their counts, unless a task does so already."""
        place = (partition.id, partition.epoch)
        task = self.learning.get(place)
        if task is None:
            task = self.learning[place] = asyncio.create_task(self.ask_all(partition.id, book, partitions))
            task.add_done_callback(lambda _: self.learning.pop(place, None))
        await asyncio.wait([task])

    async def ask_all(self, holder: int, book: BudgetBook, partitions: int) -> None:
        """Asks the owners that have not told all their counts of tenants whose budgets are held by a partition."""
        missing = [owner for owner in range(partitions) if owner not in book.complete]
        await asyncio.gather(*(self.ask_counts(holder, book, owner) for owner in missing))

    async def ask_counts(self, holder: int, book: BudgetBook, owner: int) -> None:
        """Asks one owner what waits there for all tenants whose budgets a partition holds; it may not answer."""
        answer = await self.client.ask(owner, "waiting", {"holder": holder}, self.store.settings.bounds.beat)
        if isinstance(answer, Ok):
            book.report(TenantCounts.from_json(answer.unwrap()))

    def failed(self, why: str, code: int) -> PeerResponse:
        """A fault of this store."""
        return Err(Fault("reserve", self.store.settings.name, why, code))

"""Quotas of routes: how many tokens may wait in the jobs of all partitions together.

The owner of one partition, which the route's name chooses, holds the budget of the route. Every owner asks it before it
takes a job, and tells it when tokens of its own don't wait any longer.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace

from result import Err, Ok

from postpass.batch.background import spawn
from postpass.batch.messages import BudgetKey, ReserveRequest, WaitingResponse
from postpass.batch.partition_access import PartitionAccess
from postpass.batch.partition_client import PartitionClient
from postpass.batch.quota import Budget
from postpass.configuration.configuration import Configuration, Route, partition_of
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import CLASH, CROWD, FULL, SLOW, Fault

RECOUNTS_PER_HEARTBEAT = 8  # how often a count is told anew at the most, where a later one came first


@dataclass(eq=False)
class QuotaService:
    """Both sides of a quota: an owner that asks for tokens, and the holder that grants them.

    Invariant: what a job asks for is in `pending` from before the holder is asked until the job is in the view, so that
    no count that is told leaves it out.
    """

    store: PartitionAccess
    pending: dict[int, Counter[str]] = field(default_factory=dict)  # partition -> route -> tokens asked for
    numbers: Counter[int] = field(default_factory=Counter)  # partition -> number of the last count told
    budgets: dict[tuple[int, int, str], Budget] = field(default_factory=dict)  # (holder's partition, epoch, route)
    turns: dict[tuple[int, str], asyncio.Lock] = field(default_factory=dict)  # (partition, route): one at a time asks
    last_told: dict[tuple[int, str], tuple[int, int]] = field(default_factory=dict)  # -> (epoch, tokens) last told

    def __post_init__(self) -> None:
        self.client = PartitionClient(self.store)

    def forget(self, partition: int) -> None:
        """A new ownership begins: nothing of the one before counts."""
        self.pending.pop(partition, None)
        for key in [key for key in self.budgets if key[0] == partition]:
            del self.budgets[key]

    def configuration(self) -> Configuration:
        """The configuration in force, which an owner always has."""
        configuration = self.store.configuration_view.manifest
        assert configuration is not None
        return configuration

    def route(self, name: str) -> Route | None:
        """The terms of a route; None if there is no such route any more."""
        configuration = self.store.configuration_view.manifest
        return configuration.get("routes", {}).get(name) if configuration else None

    def quota(self, name: str) -> int:
        """Tokens that may wait on a route; 0 if there is no bound."""
        route = self.route(name)
        return route.get("quota", 0) if route else 0

    # --- as the owner of a partition
    def count(self, partition: Partition, name: str) -> int:
        """Tokens that wait here on a route: of kept jobs, and asked for."""
        return partition.view.waiting_tokens.get(BudgetKey(name), 0) + self.pending.get(partition.id, Counter())[name]

    def pending_of(self, partition: int) -> Counter[str]:
        """The tokens that jobs of a partition ask for, by route; whoever takes a job counts it in and out."""
        return self.pending.setdefault(partition, Counter())

    async def acquire(
        self, partition: Partition, name: str, pending: Counter[str], tokens: int, limit: float
    ) -> Fault | None:
        """Asks for the tokens of a job, which stand in `pending` already; None once they are granted.

        CROWD if the quota is reached, FULL if the holder gave no answer that counts within `limit` seconds: either way
        nothing was sequenced.
        """
        if not self.quota(name):
            return None
        until = now() + limit
        async with self.turns.setdefault((partition.id, name), asyncio.Lock()):
            while True:
                # What this job asks for is not in the count yet, but is asked for.
                pending[name] -= tokens
                count = self.count(partition, name)
                pending[name] += tokens
                fault = await self.ask_holder(partition, name, count, tokens, until - now())
                # The holder asked for the count itself meanwhile, and heard that answer first: the count is told anew.
                if fault is None or fault.code != CLASH:
                    return fault
                # A later owner's word also comes first: then there is nothing more to ask for here.
                if now() >= until or not partition.owning:
                    return replace(fault, code=FULL)
                await asyncio.sleep(self.store.settings.bounds.beat / RECOUNTS_PER_HEARTBEAT)

    async def ask_holder(self, partition: Partition, name: str, count: int, wanted: int, limit: float) -> Fault | None:
        """Tells the holder of a budget what waits here, and asks for more; None if that is granted."""
        holder = partition_of(f"route:{name}", self.configuration()["parts"])
        self.numbers[partition.id] += 1
        request = ReserveRequest(name, partition.id, partition.epoch, self.numbers[partition.id], count, wanted)
        answer = await self.client.ask(holder, "reserve", request.as_json(holder), limit)
        if isinstance(answer, Err):
            fault = answer.unwrap_err()
            # Whatever went wrong there, nothing was sequenced here: the answer may be a refusal, and is no certainty
            # of the quota.
            kept = fault.code in (CROWD, CLASH)
            return fault if kept else Fault("reserve", f"partition {holder} at {fault.peer}", fault.why, FULL)
        self.last_told[(partition.id, name)] = (partition.epoch, count + wanted)
        return None

    def report(self) -> None:
        """Tells the holders what came to an end here; once a heartbeat."""
        configuration = self.store.configuration_view.manifest
        routes = configuration.get("routes", {}) if configuration else {}
        names = [name for name, route in routes.items() if route["kind"] == "lot" and route["quota"]]
        if not names:
            return
        for partition in [
            partition for partition in self.store.partitions.values() if partition.owning and partition.ready
        ]:
            for name in names:
                spawn(self.store.background_tasks, self.report_count(partition, name))

    async def report_count(self, partition: Partition, name: str) -> None:
        """Tells a holder the count of a route, unless it knows it or is being asked for more right now."""
        count = self.count(partition, name)
        turn = self.turns.setdefault((partition.id, name), asyncio.Lock())
        if self.last_told.get((partition.id, name), (0, 0)) == (partition.epoch, count) or turn.locked():
            return
        async with turn:
            fault = await self.ask_holder(
                partition, name, self.count(partition, name), 0, self.store.settings.bounds.beat
            )
        if fault is None:
            self.last_told[(partition.id, name)] = (partition.epoch, count)

    async def on_waiting(self, body: Body) -> PeerResponse:
        """Verb `waiting`: a holder asks what waits on a route here."""
        got = self.store.owned_partition(body["part"], "waiting")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        if not await self.store.confirm(partition):
            return self.failed("waiting", "could not be confirmed", SLOW)
        self.numbers[partition.id] += 1
        count = self.count(partition, body["route"])
        return Ok(WaitingResponse(partition.epoch, self.numbers[partition.id], count).as_json())

    # --- as the holder of a budget
    async def on_reserve(self, body: Body) -> PeerResponse:
        """Verb `reserve`: hears an owner's count, and grants what it wants if it fits."""
        got = self.store.owned_partition(body["part"], "reserve")
        if isinstance(got, Err):
            return got
        partition, request = got.unwrap(), ReserveRequest.from_json(body)
        epoch = partition.epoch
        budget = self.budgets.setdefault((partition.id, epoch, request.route), Budget())
        # Before anyone is asked for a count: what an owner answers then would make this word of it a late one.
        is_news = budget.report(request.owner, request.epoch, request.number, request.tokens)
        if not request.wanted:
            return Ok({})
        if not is_news:
            return self.failed("reserve", "a later word came before this one", CLASH)
        if not await self.learn_all(budget, request):
            return self.failed("reserve", "not all partitions have told their counts", SLOW)
        # Under the epoch: a holder that comes later asks every owner, which counts what it asked for here.
        if not await self.store.confirm(partition) or partition.epoch != epoch:
            return self.failed("reserve", "could not be confirmed", SLOW)
        most = self.quota(request.route)
        if most and not budget.take(request.owner, request.wanted, most):
            return self.failed("reserve", f"{budget.tokens} of {most} tokens wait on the route", CROWD)
        return Ok({})

    async def learn_all(self, budget: Budget, request: ReserveRequest) -> bool:
        """Asks the owners that have told no count yet, but for the one that asks here; False if one gave no answer."""
        partitions = self.configuration()["parts"]
        unreported = [partition for partition in budget.unreported(partitions) if partition != request.owner]
        if not unreported:
            return True
        await asyncio.gather(*(self.learn(budget, partition, request.route) for partition in unreported))
        return not [partition for partition in budget.unreported(partitions) if partition != request.owner]

    async def learn(self, budget: Budget, partition: int, name: str) -> None:
        """Asks one owner what waits there; it may not answer."""
        answer = await self.client.ask(partition, "waiting", {"route": name}, self.store.settings.bounds.beat)
        if isinstance(answer, Ok):
            told = WaitingResponse.from_json(answer.unwrap())
            budget.report(partition, told.epoch, told.number, told.tokens)

    def failed(self, step: str, why: str, code: int) -> PeerResponse:
        """A fault of this store."""
        return Err(Fault(step, self.store.settings.name, why, code))

"""Quotas of routes: how many tokens may wait in the jobs of all partitions together, for each tenant by itself.

The owner of one partition, which the names of route and tenant choose, holds a budget. Every owner asks it before it takes
a job, and tells it when tokens of its own don't wait any longer.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from result import Err, Ok

from postpass.batch.background import spawn
from postpass.batch.messages import BudgetKey, ReserveRequest, TenantCounts, WaitingResponse
from postpass.batch.partition_access import PartitionAccess
from postpass.batch.partition_client import PartitionClient
from postpass.batch.quota import holder_of
from postpass.batch.quota_holder import QuotaHolder
from postpass.batch.told_counts import ToldCounts
from postpass.configuration.configuration import Configuration, Route, quota_of
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import CLASH, CROWD, FULL, SLOW, Fault

RECOUNTS_PER_HEARTBEAT = 8  # how often a count is told anew at the most, where a later one came first


@dataclass(eq=False)
class QuotaService:
    """An owner that asks for tokens and tells what waits; `holder` is the other side, which grants them.

    Invariant: what a job asks for is in `pending` from before the holder is asked until the job is in the view, so that
    no count that is told leaves it out.
    """

    store: PartitionAccess
    pending: dict[int, Counter[BudgetKey]] = field(default_factory=dict)  # by partition: tokens asked for
    told: dict[int, ToldCounts] = field(default_factory=dict)  # by partition
    turns: dict[tuple[int, BudgetKey], asyncio.Lock] = field(default_factory=dict)  # by partition: one at a time asks

    def __post_init__(self) -> None:
        self.client = PartitionClient(self.store)
        self.holder = QuotaHolder(self.store, self.client)

    def forget(self, partition: int) -> None:
        """A new ownership begins: nothing of the one before counts."""
        self.pending.pop(partition, None)
        self.told.pop(partition, None)
        self.holder.forget(partition)

    def configuration(self) -> Configuration:
        """The configuration in force, which an owner always has."""
        configuration = self.store.configuration_view.manifest
        assert configuration is not None
        return configuration

    def route(self, name: str) -> Route | None:
        """The terms of a route; None if there is no such route any more."""
        configuration = self.store.configuration_view.manifest
        return configuration.get("routes", {}).get(name) if configuration else None

    async def on_reserve(self, body: Body) -> PeerResponse:
        """Verb `reserve`: the holder hears an owner's counts, and grants what it wants if it fits."""
        return await self.holder.on_reserve(body)

    def told_of(self, partition: Partition) -> ToldCounts:
        """What was told of a partition under its epoch."""
        told = self.told.get(partition.id)
        if told is None or told.epoch != partition.epoch:
            told = self.told[partition.id] = ToldCounts(partition.epoch)
        return told

    def turn(self, partition: Partition, key: BudgetKey) -> asyncio.Lock:
        """Whoever holds it asks for tokens, or tells the count alone."""
        return self.turns.setdefault((partition.id, key), asyncio.Lock())

    def count(self, partition: Partition, key: BudgetKey) -> int:
        """Tokens that wait here: of kept jobs, and asked for."""
        return partition.view.waiting_tokens.get(key, 0) + self.pending_of(partition.id)[key]

    def counts(self, partition: Partition) -> dict[BudgetKey, int]:
        """All tokens that wait here, by budget; some of them may be 0."""
        asked = {key: self.count(partition, key) for key, tokens in self.pending_of(partition.id).items() if tokens}
        return partition.view.waiting_tokens | asked

    def pending_of(self, partition: int) -> Counter[BudgetKey]:
        """The tokens that jobs of a partition ask for; whoever takes a job counts it in and out."""
        return self.pending.setdefault(partition, Counter())

    # --- asking
    async def acquire(
        self, partition: Partition, key: BudgetKey, pending: Counter[BudgetKey], tokens: int, limit: float
    ) -> Fault | None:
        """Asks for the tokens of a job, which stand in `pending` already; None once they are granted.

        CROWD if the quota is reached, FULL if the holder gave no answer that counts within `limit` seconds: either way
        nothing was sequenced.
        """
        if not quota_of(self.store.configuration_view.manifest, key.route):
            return None
        until = now() + limit
        async with self.turn(partition, key):
            while True:
                # What this job asks for is not in the count yet, but is asked for.
                fault = await self.ask_holder(partition, key, pending[key] - tokens, tokens, until - now())
                # The holder asked for the count itself meanwhile, and heard that answer first: the count is told anew.
                if fault is None or fault.code != CLASH:
                    return fault
                # A later owner's word also comes first: then there is nothing more to ask for here.
                if now() >= until or not partition.owning:
                    return replace(fault, code=FULL)
                await asyncio.sleep(self.store.settings.bounds.beat / RECOUNTS_PER_HEARTBEAT)

    async def ask_holder(
        self, partition: Partition, key: BudgetKey, asked: int, wanted: int, limit: float
    ) -> Fault | None:
        """Tells the holder of a budget what waits here, `asked` of it for other jobs, and asks for more; None if granted."""
        holder = holder_of(key, self.configuration()["parts"])
        count = partition.view.waiting_tokens.get(key, 0) + asked
        told = self.told_of(partition)
        number = told.next_number()
        request = ReserveRequest(key, partition.id, partition.epoch, number, count, wanted)
        told.note(key, number, None)
        answer = await self.client.ask(holder, "reserve", request.as_json(holder), limit)
        if isinstance(answer, Ok):
            told.note(key, number, count + wanted)
            return None
        fault = answer.unwrap_err()
        if fault.code == CROWD:
            told.note(key, number, count)
        # Whatever else went wrong there, nothing was sequenced here: the answer may be a refusal, and is no certainty
        # of the quota.
        kept = fault.code in (CROWD, CLASH)
        return fault if kept else Fault("reserve", f"partition {holder} at {fault.peer}", fault.why, FULL)

    # --- telling
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
                spawn(self.store.background_tasks, self.report_route(partition, BudgetKey(name)))
            if "tenants" in self.configuration():
                self.report_tenants(partition, set(names))

    async def report_route(self, partition: Partition, key: BudgetKey) -> None:
        """Tells a holder the count of a route, unless it knows it or is being asked for more right now."""
        turn = self.turn(partition, key)
        if turn.locked() or self.told_of(partition).is_known(key, self.count(partition, key)):
            return
        async with turn:
            asked = self.pending_of(partition.id)[key]
            await self.ask_holder(partition, key, asked, 0, self.store.settings.bounds.beat)

    def report_tenants(self, partition: Partition, routes: set[str]) -> None:
        """Tells each holder the counts of tenants that it doesn't know; all of them once under an epoch."""
        partitions, told = self.configuration()["parts"], self.told_of(partition)
        counts = {key: tokens for key, tokens in self.counts(partition).items() if key.route in routes}
        messages: defaultdict[int, dict[BudgetKey, int]] = defaultdict(dict)
        for holder in range(partitions):
            if holder not in told.complete:
                messages[holder] = self.counts_for(counts, holder)
        for key, tokens in told.changed(counts).items():
            # Who asks for more tells the count itself.
            if not self.turn(partition, key).locked():
                messages[holder_of(key, partitions)][key] = tokens
        # Numbered here: a word that is numbered after more was asked for has to tell that as well.
        for holder, some in messages.items():
            message = self.numbered(partition, holder not in told.complete, some)
            spawn(self.store.background_tasks, self.report_counts(told, holder, message))

    def counts_for(self, counts: dict[BudgetKey, int], holder: int) -> dict[BudgetKey, int]:
        """The counts of tenants whose budgets a partition holds."""
        partitions = self.configuration()["parts"]
        return {key: tokens for key, tokens in counts.items() if key.tenant and holder_of(key, partitions) == holder}

    async def report_counts(self, told: ToldCounts, holder: int, message: TenantCounts) -> None:
        """Tells a holder counts of tenants, and notes what it has heard."""
        answer = await self.client.ask(holder, "reserve", message.as_json(), self.store.settings.bounds.beat)
        if isinstance(answer, Err):
            return
        if message.complete:
            told.complete.add(holder)
        for key, tokens in message.counts.items():
            told.note(key, message.number, tokens)

    def numbered(self, partition: Partition, complete: bool, counts: dict[BudgetKey, int]) -> TenantCounts:
        """A new word on these counts; until it is known to be heard, what the holder counts is not."""
        told = self.told_of(partition)
        message = TenantCounts(partition.id, partition.epoch, told.next_number(), complete, counts)
        for key in counts:
            told.note(key, message.number, None)
        return message

    async def on_waiting(self, body: Body) -> PeerResponse:
        """Verb `waiting`: a holder asks what waits here on a route, or for all tenants whose budgets it holds."""
        got = self.store.owned_partition(body["part"], "waiting")
        if isinstance(got, Err):
            return got
        partition = got.unwrap()
        if not await self.store.confirm(partition):
            return Err(Fault("waiting", self.store.settings.name, "could not be confirmed", SLOW))
        if "holder" in body:
            return Ok(self.numbered(partition, True, self.counts_for(self.counts(partition), body["holder"])).as_json())
        key, told = BudgetKey(body["route"]), self.told_of(partition)
        number = told.next_number()
        told.note(key, number, None)
        return Ok(WaitingResponse(partition.epoch, number, self.count(partition, key)).as_json())

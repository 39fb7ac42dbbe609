"""Quotas of routes: how many tokens may wait in the jobs of all partitions together, for each tenant separately.

A budget is held by the owner of one partition, to which the names of route and tenant hash. Every owner asks that
holder for tokens before it accepts a job, and reports to it when tokens of its own no longer wait.
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
from postpass.batch.told_counts import SentCounts
from postpass.configuration.configuration import Configuration, Route, quota_of
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import CONFLICT, NO_SPACE, TIMED_OUT, TOO_MANY_REQUESTS, Fault

RECOUNTS_PER_HEARTBEAT = 8  # the most retries per heartbeat of a request whose count was overtaken by a later one


@dataclass(eq=False)
class QuotaService:
    """The owner's side, which requests tokens and reports what waits; `holder` is the other side, which grants them.

    Invariant: the tokens that a job requests are in `pending` from before the holder is asked until the job is in the
    view, so that no reported count leaves them out.
    """

    store: PartitionAccess
    pending: dict[int, Counter[BudgetKey]] = field(default_factory=dict)  # by partition: tokens requested
    sent_counts: dict[int, SentCounts] = field(default_factory=dict)  # by partition
    # By partition and budget: one request to the holder at a time.
    request_locks: dict[tuple[int, BudgetKey], asyncio.Lock] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.client = PartitionClient(self.store)
        self.holder = QuotaHolder(self.store, self.client)

    def forget(self, partition: int) -> None:
        """Drops the state of a partition when a new ownership begins: nothing from the one before is valid."""
        self.pending.pop(partition, None)
        self.sent_counts.pop(partition, None)
        self.holder.forget(partition)

    def configuration(self) -> Configuration:
        """Returns the configuration in force, which an owner always has."""
        configuration = self.store.configuration_view.manifest
        assert configuration is not None
        return configuration

    def route(self, name: str) -> Route | None:
        """Returns a route's configuration; None if there is no such route any more."""
        configuration = self.store.configuration_view.manifest
        return configuration.get("routes", {}).get(name) if configuration else None

    async def on_reserve(self, body: Body) -> PeerResponse:
        """Verb `reserve`: the holder stores an owner's counts, and grants what it wants if the quota allows it."""
        return await self.holder.on_reserve(body)

    def sent_counts_of(self, partition: Partition) -> SentCounts:
        """Returns the counts sent for a partition under its epoch."""
        sent_counts = self.sent_counts.get(partition.id)
        if sent_counts is None or sent_counts.epoch != partition.epoch:
            sent_counts = self.sent_counts[partition.id] = SentCounts(partition.epoch)
        return sent_counts

    def request_lock(self, partition: Partition, key: BudgetKey) -> asyncio.Lock:
        """Returns the lock under which tokens are requested for a budget, or its count is reported."""
        return self.request_locks.setdefault((partition.id, key), asyncio.Lock())

    def count(self, partition: Partition, key: BudgetKey) -> int:
        """Returns the tokens of a budget that wait here: those of accepted jobs, and those requested."""
        return partition.view.waiting_tokens.get(key, 0) + self.pending_of(partition.id)[key]

    def counts(self, partition: Partition) -> dict[BudgetKey, int]:
        """Returns the tokens that wait here by budget; some may be 0."""
        requested = {key: self.count(partition, key) for key, tokens in self.pending_of(partition.id).items() if tokens}
        return partition.view.waiting_tokens | requested

    def pending_of(self, partition: int) -> Counter[BudgetKey]:
        """Returns the tokens requested for jobs of a partition; the task that accepts a job adds and subtracts them."""
        return self.pending.setdefault(partition, Counter())

    # --- requesting tokens
    async def acquire(
        self, partition: Partition, key: BudgetKey, pending: Counter[BudgetKey], tokens: int, limit: float
    ) -> Fault | None:
        """Requests the tokens of a job, which are in `pending` already; None once they are granted.

        TOO_MANY_REQUESTS if the quota is reached, NO_SPACE if the holder gave no definite response within `limit`
        seconds; in both cases nothing was sequenced.
        """
        if not quota_of(self.store.configuration_view.manifest, key.route):
            return None
        deadline = now() + limit
        async with self.request_lock(partition, key):
            while True:
                # The tokens of this job are not part of the count; they are what is requested.
                fault = await self.ask_holder(partition, key, pending[key] - tokens, tokens, deadline - now())
                # CONFLICT: the holder asked for the count meanwhile, and received that later one first. Send it again.
                if fault is None or fault.code != CONFLICT:
                    return fault
                # CONFLICT also comes if a later owner has reported: then this store must not request anything more.
                if now() >= deadline or not partition.owning:
                    return replace(fault, code=NO_SPACE)
                await asyncio.sleep(self.store.settings.bounds.heartbeat_interval / RECOUNTS_PER_HEARTBEAT)

    async def ask_holder(
        self, partition: Partition, key: BudgetKey, requested: int, wanted: int, limit: float
    ) -> Fault | None:
        """Reports to a budget's holder what waits here, and requests `wanted` further tokens; None if they are granted.

        `requested` is the part of the count that belongs to other jobs, which are not in the view yet.
        """
        holder = holder_of(key, self.configuration()["parts"])
        count = partition.view.waiting_tokens.get(key, 0) + requested
        sent_counts = self.sent_counts_of(partition)
        number = sent_counts.next_number()
        request = ReserveRequest(key, partition.id, partition.epoch, number, count, wanted)
        sent_counts.record(key, number, None)
        answer = await self.client.ask(holder, "reserve", request.as_json(holder), limit)
        if isinstance(answer, Ok):
            sent_counts.record(key, number, count + wanted)
            return None
        fault = answer.unwrap_err()
        if fault.code == TOO_MANY_REQUESTS:
            sent_counts.record(key, number, count)
        # After any other fault, nothing was sequenced here, so the client may be refused; but not for a reached quota,
        # since that is not certain.
        is_definite = fault.code in (TOO_MANY_REQUESTS, CONFLICT)
        return fault if is_definite else Fault("reserve", f"partition {holder} at {fault.peer}", fault.why, NO_SPACE)

    # --- reporting
    def report(self) -> None:
        """Reports changed counts to the holders; called once a heartbeat."""
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
        """Reports the count of a route to its holder, unless it is known there or a request is in flight."""
        request_lock = self.request_lock(partition, key)
        if request_lock.locked() or self.sent_counts_of(partition).is_known(key, self.count(partition, key)):
            return
        async with request_lock:
            requested = self.pending_of(partition.id)[key]
            await self.ask_holder(partition, key, requested, 0, self.store.settings.bounds.heartbeat_interval)

    def report_tenants(self, partition: Partition, routes: set[str]) -> None:
        """Reports to each holder the counts of tenants that it doesn't know; all of them once under an epoch."""
        partitions, sent_counts = self.configuration()["parts"], self.sent_counts_of(partition)
        counts = {key: tokens for key, tokens in self.counts(partition).items() if key.route in routes}
        messages: defaultdict[int, dict[BudgetKey, int]] = defaultdict(dict)
        for holder in range(partitions):
            if holder not in sent_counts.complete:
                messages[holder] = self.counts_for(counts, holder)
        for key, tokens in sent_counts.changed(counts).items():
            # A request for tokens that is in flight reports the count itself.
            if not self.request_lock(partition, key).locked():
                messages[holder_of(key, partitions)][key] = tokens
        # Numbered before any await: a report with a number above that of a token request has to include that request.
        for holder, tenant_counts in messages.items():
            message = self.new_message(partition, holder not in sent_counts.complete, tenant_counts)
            spawn(self.store.background_tasks, self.report_counts(sent_counts, holder, message))

    def counts_for(self, counts: dict[BudgetKey, int], holder: int) -> dict[BudgetKey, int]:
        """Returns the counts of those tenants whose budgets are held by partition `holder`."""
        partitions = self.configuration()["parts"]
        return {key: tokens for key, tokens in counts.items() if key.tenant and holder_of(key, partitions) == holder}

    async def report_counts(self, sent_counts: SentCounts, holder: int, message: TenantCounts) -> None:
        """Reports counts of tenants to a holder, and records what it has acknowledged."""
        answer = await self.client.ask(
            holder, "reserve", message.as_json(), self.store.settings.bounds.heartbeat_interval
        )
        if isinstance(answer, Err):
            return
        if message.complete:
            sent_counts.complete.add(holder)
        for key, tokens in message.counts.items():
            sent_counts.record(key, message.number, tokens)

    def new_message(self, partition: Partition, complete: bool, counts: dict[BudgetKey, int]) -> TenantCounts:
        """Returns a new report of these counts; until it is acknowledged, what the holder counts is unknown."""
        sent_counts = self.sent_counts_of(partition)
        message = TenantCounts(partition.id, partition.epoch, sent_counts.next_number(), complete, counts)
        for key in counts:
            sent_counts.record(key, message.number, None)
        return message

    async def on_waiting(self, body: Body) -> PeerResponse:
        """Verb `waiting`: responds to a holder with the count of a route, or of all tenants whose budgets it holds."""
        lookup = self.store.owned_partition(body["part"], "waiting")
        if isinstance(lookup, Err):
            return lookup
        partition = lookup.unwrap()
        if not await self.store.confirm(partition):
            return Err(Fault("waiting", self.store.settings.name, "could not be confirmed", TIMED_OUT))
        if "holder" in body:
            return Ok(
                self.new_message(partition, True, self.counts_for(self.counts(partition), body["holder"])).as_json()
            )
        key, sent_counts = BudgetKey(body["route"]), self.sent_counts_of(partition)
        number = sent_counts.next_number()
        sent_counts.record(key, number, None)
        return Ok(WaitingResponse(partition.epoch, number, self.count(partition, key)).as_json())

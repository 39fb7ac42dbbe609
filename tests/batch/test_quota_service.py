"""Budgets between owners and holders, over a network that loses requests or answers."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from postpass.batch.messages import BudgetKey
from postpass.batch.quota import holder_of
from postpass.batch.quota_service import QuotaService
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.errors import NOT_RESPONSIBLE, TIMED_OUT, TOO_MANY_REQUESTS, Fault
from sim.loop import SimLoop, run_sim

PARTITIONS = 3
HEARTBEAT_S = 0.2
QUOTA = 100
TIME_LIMIT_S = 2.0
FIRM, OTHER, PUBLIC = BudgetKey("r", "firm"), BudgetKey("r", "other"), BudgetKey("r")


class Network:
    """A network of stores that each own one partition; it can lose requests and responses between them."""

    def __init__(self, **configuration: Any) -> None:
        manifest = {"parts": PARTITIONS, "routes": {"r": {"kind": "lot", "quota": QUOTA}}} | configuration
        self.stores: dict[str, FakeStore] = {}
        self.view = SimpleNamespace(manifest=manifest, order=lambda _: list(self.stores))
        self.request_counts: Counter[str] = Counter()
        self.lose_answer: Callable[[str, Body], bool] = lambda verb, body: False
        self.unreachable: set[str] = set()
        for number in range(PARTITIONS):
            self.stores[f"s{number}"] = FakeStore(self, f"s{number}", number)

    def owner(self, number: int) -> FakeStore:
        return self.stores[f"s{number}"]

    def heartbeat(self) -> None:
        for store in self.stores.values():
            store.quota.report()

    def tokens(self, key: BudgetKey) -> int:
        """Returns the tokens that the holder of a budget counts."""
        holder = self.owner(holder_of(key, PARTITIONS))
        return (
            holder.quota.holder.budgets_by_ownership[(holder.partition.id, holder.partition.epoch)].budget(key).tokens
        )


class FakeStore:
    """The part of a store that `QuotaService` uses."""

    def __init__(self, network: Network, name: str, number: int) -> None:
        self.network, self.configuration_view = network, network.view
        self.settings = SimpleNamespace(
            name=name, bounds=SimpleNamespace(heartbeat_interval=HEARTBEAT_S, detection_time=5 * HEARTBEAT_S)
        )
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.partition = Partition(number, name, "disk", owner=name, epoch=1)
        self.partitions = {number: self.partition}
        self.quota = QuotaService(self)  # type: ignore[arg-type]

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        if number == self.partition.id:
            return Ok(self.partition)
        return Err(Fault(step, self.settings.name, "not the owner", NOT_RESPONSIBLE, f"s{number}"))

    async def confirm(self, partition: Partition) -> bool:
        await asyncio.sleep(0.001)
        return True

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        await asyncio.sleep(0.001)
        store = self.network.stores[name]
        if name in self.network.unreachable:
            return Err(Fault(verb, name, "no answer", TIMED_OUT))
        handler = {"reserve": store.quota.on_reserve, "waiting": store.quota.on_waiting}[verb]
        answer = await handler(json.loads(json.dumps(body)))
        self.network.request_counts[verb] += isinstance(answer, Ok)
        if self.network.lose_answer(verb, body):
            return Err(Fault(verb, name, "no answer", TIMED_OUT))
        return answer

    async def reserve(self, key: BudgetKey, tokens: int) -> Fault | None:
        """Requests tokens as for a job."""
        pending = self.quota.pending_of(self.partition.id)
        pending[key] += tokens
        try:
            return await self.quota.acquire(self.partition, key, pending, tokens, TIME_LIMIT_S)
        finally:
            pending[key] -= tokens

    async def accept(self, key: BudgetKey, job: str, tokens: int) -> bool:
        """Accepts a job of one item if its tokens are granted; returns whether they were."""
        if await self.reserve(key, tokens) is not None:
            return False
        body = {"id": job, "route": key.route, "caller": key.tenant, "items": [{"tokens": tokens}], "sum": job}
        self.fold("lot", body)
        return True

    def fold(self, kind: str, body: Body) -> None:
        self.partition.view.fold(Record(1, 1, kind, json.dumps(body).encode()))

    def end(self, job: str) -> None:
        self.fold("end", {"id": job})


def run_simulated(main: Callable[[], Awaitable[None]]) -> None:
    async def run(_: SimLoop) -> None:
        await main()

    run_sim(run, 1)


def test_each_tenant_has_the_quota_of_the_route_by_itself_over_all_owners() -> None:
    async def main() -> None:
        network = Network(tenants={})
        first, second = network.owner(0), network.owner(1)
        assert await first.accept(FIRM, "a", 60) and not await second.accept(FIRM, "b", 50)
        assert await second.accept(OTHER, "c", 90) and await second.accept(FIRM, "d", 40)
        assert not await first.accept(OTHER, "e", 20) and not await first.accept(FIRM, "f", 1)
        first.end("a")
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert await second.accept(FIRM, "b", 60) and not await second.accept(FIRM, "g", 1)
        assert [network.tokens(FIRM), network.tokens(OTHER)] == [100, 90]

    run_simulated(main)


def test_a_new_holder_asks_every_owner_once_for_all_its_tenants() -> None:
    async def main() -> None:
        network = Network(tenants={})
        holder = network.owner(holder_of(FIRM, PARTITIONS))
        others = [
            BudgetKey("r", f"t{n}") for n in range(99) if holder_of(BudgetKey("r", f"t{n}"), 3) == holder.partition.id
        ]
        assert await network.owner(0).accept(FIRM, "a", 60) and network.request_counts["waiting"] == PARTITIONS
        holder.partition.epoch = 2
        network.request_counts.clear()
        owner = network.owner(1)
        faults = await asyncio.gather(*(owner.reserve(key, 90) for key in others), owner.reserve(FIRM, 50))
        assert faults[:-1] == [None] * len(others) and faults[-1] is not None and faults[-1].code == TOO_MANY_REQUESTS
        assert network.request_counts["waiting"] == PARTITIONS

    run_simulated(main)


def test_nothing_is_granted_while_an_owner_of_whom_a_new_holder_knows_nothing_is_missing() -> None:
    async def main() -> None:
        network = Network(tenants={})
        holder = holder_of(FIRM, PARTITIONS)
        missing, asking = network.owner((holder + 1) % PARTITIONS), network.owner((holder + 2) % PARTITIONS)
        assert await missing.accept(FIRM, "a", 60)
        network.owner(holder).partition.epoch = 2
        network.unreachable = {missing.settings.name}
        assert not await asking.accept(FIRM, "b", 10)
        network.unreachable = set()
        assert not await asking.accept(FIRM, "b", 50) and await asking.accept(FIRM, "b", 40)

    run_simulated(main)


def test_a_holder_that_knows_the_counts_grants_on_while_an_owner_is_missing() -> None:
    async def main() -> None:
        network = Network(tenants={})
        holder = holder_of(FIRM, PARTITIONS)
        missing, asking = network.owner((holder + 1) % PARTITIONS), network.owner((holder + 2) % PARTITIONS)
        assert await missing.accept(FIRM, "a", 60)
        network.unreachable = {missing.settings.name}
        assert not await asking.accept(FIRM, "b", 50) and await asking.accept(FIRM, "b", 40)

    run_simulated(main)


def test_a_heartbeat_reports_all_counts_once_and_then_changes_in_one_message_a_holder() -> None:
    async def main() -> None:
        network = Network(tenants={})
        owner = network.owner(0)
        keys = [BudgetKey("r", f"t{number}") for number in range(30)]
        for key in keys:
            assert await owner.accept(key, key.tenant, 10)
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        network.request_counts.clear()
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert network.request_counts["reserve"] == 0
        for key in keys:
            owner.end(key.tenant)
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert network.request_counts["reserve"] == len({holder_of(key, PARTITIONS) for key in keys}) == PARTITIONS
        assert [network.tokens(key) for key in keys] == [0] * len(keys)
        assert owner.quota.sent_counts_of(owner.partition).changed({}) == {}
        network.request_counts.clear()
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert network.request_counts["reserve"] == 0

    run_simulated(main)


@pytest.mark.parametrize("key", [PUBLIC, FIRM])
def test_a_grant_whose_answer_is_lost_does_not_count_for_good(key: BudgetKey) -> None:
    """The holder counts tokens, but the owner has no job: the next heartbeat must report that, with no count changed."""

    async def main() -> None:
        network = Network(tenants={})
        owner = network.owner(0)
        assert await owner.accept(key, "a", 10)
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        network.lose_answer = lambda verb, body: bool(body.get("want"))
        assert not await owner.accept(key, "b", 50)
        network.lose_answer = lambda verb, body: False
        assert network.tokens(key) >= 60
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert network.tokens(key) == 10

    run_simulated(main)


@pytest.mark.parametrize("key", [PUBLIC, FIRM])
def test_what_a_new_holder_heard_of_a_job_that_was_refused_does_not_count_for_good(key: BudgetKey) -> None:
    """A new holder counts tokens being requested; then the job is refused, and the count is as reported before."""

    async def main() -> None:
        network = Network(tenants={})
        holder = holder_of(key, PARTITIONS)
        owner, other = network.owner((holder + 1) % PARTITIONS), network.owner((holder + 2) % PARTITIONS)
        assert await owner.accept(key, "a", 10)
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        network.owner(holder).partition.epoch = 2
        pending = owner.quota.pending_of(owner.partition.id)
        pending[key] += 70  # a job whose tokens are not requested from the holder yet
        assert await other.accept(key, "b", 20)
        pending[key] -= 70
        assert network.tokens(key) == 100
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert network.tokens(key) == 30

    run_simulated(main)


def test_a_new_owner_reports_what_was_granted_to_the_one_before() -> None:
    async def main() -> None:
        network = Network(tenants={})
        owner = network.owner(0)
        assert await owner.reserve(FIRM, 90) is None  # and the owner is lost before it accepts the job
        owner.partition.epoch = 2
        owner.quota.forget(owner.partition.id)
        assert network.tokens(FIRM) == 90
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert network.tokens(FIRM) == 0 and await network.owner(1).accept(FIRM, "a", 100)

    run_simulated(main)


def test_no_order_of_reports_makes_the_holder_count_fewer_tokens_than_wait() -> None:
    """Jobs start and end while heartbeats report counts and holders change; no acceptance exceeds the quota."""

    async def main() -> None:
        network = Network(tenants={})
        keys = [FIRM, OTHER, PUBLIC]
        waiting: dict[str, tuple[FakeStore, BudgetKey, int]] = {}

        async def submit(number: int) -> None:
            store, key, tokens = network.owner(number % PARTITIONS), keys[number % 7 % 3], 5 + number * 7 % 40
            await asyncio.sleep(number * HEARTBEAT_S / 9)
            if await store.accept(key, f"j{number}", tokens):
                waiting[f"j{number}"] = (store, key, tokens)
                assert sum(each for _, of, each in waiting.values() if of == key) <= QUOTA
                await asyncio.sleep(HEARTBEAT_S * (number % 5))
                del waiting[f"j{number}"]
                store.end(f"j{number}")

        async def heartbeats() -> None:
            for turn in range(40):
                network.heartbeat()
                if turn % 6 == 5:
                    network.owner(turn % PARTITIONS).partition.epoch += 1
                await asyncio.sleep(HEARTBEAT_S / 2)

        await asyncio.gather(*(submit(number) for number in range(150)), heartbeats())
        network.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
        assert [network.tokens(key) for key in keys] == [0, 0, 0]

    run_simulated(main)

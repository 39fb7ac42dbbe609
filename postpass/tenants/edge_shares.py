"""The limits of tenants at one edge: shares that the homes lease to it, from which it lets requests run by itself."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge
from result import Err, Ok

from postpass.configuration.configuration import partition_of
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import now
from postpass.runtime.ordered_set import OrderedSet
from postpass.tenants.edge_share import EdgeShare
from postpass.tenants.home_client import HomeClient
from postpass.tenants.limits import NOTHING, RateBurst, ShareTimers, quota_slack, tenant_limit
from postpass.tenants.messages import SHARE, HoldingsRequest, ShareRequest, SharesRequest, SharesResponse

ENOUGH = 0.99  # of the wanted tokens; messages round
UNUSED_LEASES = 12  # after so many lease times without a request a share is forgotten


def home_partition(tenant: str, partitions: int) -> int:
    """The partition whose owner is the home of a tenant."""
    return partition_of(f"tenant:{tenant}", partitions)


@dataclass(eq=False)
class EdgeShares:
    """Implements `RateLimit` for one process.

    Invariants: of the questions about a tenant one is under way at the most; no grant is taken that was made under an
    earlier epoch than one that this process has heard of.

    Attributes:
        incarnation: tells the processes of a machine apart.
        shares: by tenant.
        asking: the question that is under way, by tenant.
        waiting: requests that wait for a token, by tenant.
        epochs: the latest epoch heard of, by partition.
    """

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    registry: CollectorRegistry
    incarnation: str
    shares: dict[str, EdgeShare] = field(default_factory=dict)
    asking: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    waiting: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    epochs: dict[int, int] = field(default_factory=dict)
    tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)
    last_number: int = 0  # of questions of this process

    def __post_init__(self) -> None:
        self.timers = ShareTimers.of(self.settings.bounds)
        self.slack = quota_slack(self.settings.bounds)
        self.homes = HomeClient(self.settings, self.configuration_view, self.peer_links)
        self.decisions = Counter(
            "postpass_tenant_requests", "Requests of tenants by what became of them at the limit", ["decision"],
            registry=self.registry,
        )  # fmt: skip
        self.questions = Counter(
            "postpass_share_questions", "Questions to homes of tenants, by their end", ["end"], registry=self.registry
        )
        Gauge("postpass_shares", "Tenants of which this edge has a share", registry=self.registry).set_function(
            lambda: len(self.shares)
        )

    def limit(self, tenant: str) -> RateBurst | None:
        """What may be handed out for a tenant over all edges together; None if it has no limit."""
        configuration = self.configuration_view.manifest
        if configuration is None:
            return NOTHING
        return tenant_limit(configuration.get("tenants", {}).get(tenant), self.slack)

    # --- requests
    async def admit(self, tenant: str) -> float:
        """0.0 if a request of the tenant may run now; else the seconds after which to come again."""
        limit = self.limit(tenant) if tenant else None  # nobody in particular has none
        if limit is None:
            return 0.0
        if limit == NOTHING:
            return self.timers.renew
        share = self.shares.get(tenant)
        if share is None:
            share = self.shares[tenant] = EdgeShare(self.timers.smoothing)
        share.note_arrival(now())
        if share.take(limit, now()):
            self.decisions.labels("at_once").inc()
            return 0.0
        self.waiting[tenant] += 1
        try:
            taken = await self._wait_for_token(tenant, share)
        finally:
            self.waiting[tenant] -= 1
        self.decisions.labels("after_waiting" if taken else "refused").inc()
        return 0.0 if taken else self._come_again(share, limit)

    async def _wait_for_token(self, tenant: str, share: EdgeShare) -> bool:
        """Asks the home, or waits for the share's next token; False if there is none within the time for it."""
        until = now() + self.timers.patience
        while (limit := self.limit(tenant)) is not None:
            left = until - now()
            if left <= 0:
                return False
            if tenant in self.asking or now() >= share.short_until:
                await asyncio.wait([self._question(tenant)], timeout=left)
            else:
                # The home had too few tokens a moment ago. This one comes after all that wait already.
                delay = share.wait_for(self.waiting[tenant], limit, now())
                if delay > left:
                    return False
                await asyncio.sleep(delay)
            if share.take(self.limit(tenant) or limit, now()):
                return True
        return True

    def _come_again(self, share: EdgeShare, limit: RateBurst) -> float:
        """Seconds after which a refused request may find a token."""
        delay = share.wait_for(1.0, limit, now())
        return max(self.timers.pause, min(delay if math.isfinite(delay) else self.timers.renew, self.timers.renew))

    # --- questions
    def _question(self, tenant: str) -> asyncio.Task[None]:
        """The question about a tenant that is under way, or a new one."""
        task = self.asking.get(tenant)
        if task is None:
            task = self._start([tenant])
        return task

    def _start(self, tenants: list[str]) -> asyncio.Task[None]:
        """Asks one home for the shares of tenants."""
        task = asyncio.create_task(self._ask(tenants))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        for tenant in tenants:
            self.asking[tenant] = task
        return task

    async def _ask(self, tenants: list[str]) -> None:
        """One question and its answer, for tenants of one partition."""
        try:
            await self._ask_home(tenants)
        finally:
            for tenant in tenants:
                self.shares[tenant].give_up()
                self.asking.pop(tenant, None)

    async def _ask_home(self, tenants: list[str]) -> None:
        configuration = self.configuration_view.manifest
        assert configuration is not None
        asked = now()
        requests = self._requests(tenants, asked)
        partition = home_partition(tenants[0], configuration["parts"])
        epoch = self.epochs.get(partition, 0)
        body = SharesRequest(self.settings.name, self.incarnation, epoch, tuple(requests.values())).as_json()
        answer = await self.homes.ask(partition, SHARE, body, asked + self.timers.renew)
        if isinstance(answer, Err):
            self.questions.labels("unanswered").inc()
            for tenant in requests:
                self.shares[tenant].short_until = now() + self.timers.pause
            return
        self._apply(partition, requests, SharesResponse.from_json(answer.unwrap()))

    def _requests(self, tenants: list[str], asked: float) -> dict[str, ShareRequest]:
        """The questions about tenants, by tenant."""
        requests: dict[str, ShareRequest] = {}
        for tenant in tenants:
            limit = self.limit(tenant)
            if limit is not None:
                self.last_number += 1
                requests[tenant] = self.shares[tenant].ask(
                    tenant, self.last_number, self.waiting[tenant], self.timers.renew, limit, asked
                )
        return requests

    def _apply(self, partition: int, requests: dict[str, ShareRequest], response: SharesResponse) -> None:
        """Puts the grants in place, unless a later home has asked meanwhile what is held here."""
        if response.epoch < self.epochs.get(partition, 0):
            self.questions.labels("outdated").inc()
            return
        self.epochs[partition] = response.epoch
        self.questions.labels("answered").inc()
        for grant in response.grants:
            limit, share = self.limit(grant.tenant), self.shares.get(grant.tenant)
            if limit is None or share is None or grant.tenant not in requests:
                continue
            if share.apply(grant, limit, now()) and grant.tokens < requests[grant.tenant].wanted * ENOUGH:
                share.short_until = now() + self.timers.pause

    async def run(self) -> None:
        """Renews the shares that are in use, and gives back what isn't wanted, until it is cancelled."""
        while True:
            await asyncio.sleep(self.timers.check)
            configuration = self.configuration_view.manifest
            if configuration is None:
                continue
            by_partition: dict[int, list[str]] = {}
            for tenant in self._due():
                by_partition.setdefault(home_partition(tenant, configuration["parts"]), []).append(tenant)
            for tenants in by_partition.values():
                self._start(tenants)

    def _due(self) -> list[str]:
        """The tenants about whom to ask now; those without a request for long are forgotten."""
        due: list[str] = []
        for tenant, share in list(self.shares.items()):
            if tenant in self.asking:
                continue
            limit = self.limit(tenant)
            if limit is None or share.arrived_at + self.timers.lease * UNUSED_LEASES < now():
                self._forget(tenant)
            elif share.is_due(limit, self.timers.renew, now()):
                due.append(tenant)
        return due

    def _forget(self, tenant: str) -> None:
        """Forgets a share that has run out."""
        if self.shares[tenant].until <= now() and not self.waiting[tenant]:
            del self.shares[tenant], self.waiting[tenant]

    # --- a new home
    async def on_holdings(self, body: Body) -> PeerResponse:
        """Verb `holdings`: what is held here of the tenants of a partition, for its new owner."""
        request = HoldingsRequest.from_json(body)
        self.epochs[request.partition] = max(request.epoch, self.epochs.get(request.partition, 0))
        rows = []
        for tenant, share in self.shares.items():
            limit = self.limit(tenant)
            if limit is not None and home_partition(tenant, request.partitions) == request.partition:
                holding = share.holding(tenant, limit, now())
                if holding.remaining > 0:
                    rows.append(holding.as_json())
        return Ok({"inc": self.incarnation, "shares": rows})

    def close(self) -> None:
        """Ends what is under way; the process is about to end."""
        for task in list(self.tasks):
            task.cancel()

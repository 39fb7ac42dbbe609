"""The limits of tenants at one edge: it admits requests from shares of the limits that the tenants' homes lease to it."""

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
from postpass.tenants.limits import ZERO_LIMIT, RateBurst, ShareTimers, quota_slack, tenant_limit
from postpass.tenants.messages import SHARE, HoldingsRequest, ShareRequest, SharesRequest, SharesResponse

# A grant of this fraction of the wanted tokens is complete, since numbers in messages are rounded.
COMPLETE_GRANT = 0.99
UNUSED_LEASES = 12  # a share is removed after so many lease times without a request


def home_partition(tenant: str, partitions: int) -> int:
    """Returns the number of the partition whose owner is the home of a tenant."""
    return partition_of(f"tenant:{tenant}", partitions)


@dataclass(eq=False)
class EdgeShares:
    """Implements `RateLimit` for one process.

    Invariants: there is at most one pending share request for a tenant; no grant is accepted that was made under an earlier
    epoch than the latest one that this process knows.

    Attributes:
        incarnation: distinguishes the processes that run one after the other on a machine.
        shares: the shares of this edge, by tenant.
        pending_requests: the task of the pending share request, by tenant.
        waiting: number of requests that wait for a token, by tenant.
        epochs: the latest known epoch, by partition.
        tasks: all tasks of pending share requests.
        last_number: the number of the last share request of this process.
    """

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    registry: CollectorRegistry
    incarnation: str
    shares: dict[str, EdgeShare] = field(default_factory=dict)
    pending_requests: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    waiting: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    epochs: dict[int, int] = field(default_factory=dict)
    tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)
    last_number: int = 0

    def __post_init__(self) -> None:
        self.timers = ShareTimers.of(self.settings.bounds)
        self.slack = quota_slack(self.settings.bounds)
        self.homes = HomeClient(self.settings, self.configuration_view, self.peer_links)
        self.decisions = Counter(
            "postpass_tenant_requests", "Requests of tenants by what became of them at the limit", ["decision"],
            registry=self.registry,
        )  # fmt: skip
        self.request_outcomes = Counter(
            "postpass_share_questions", "Questions to homes of tenants, by their end", ["end"], registry=self.registry
        )
        Gauge("postpass_shares", "Tenants of which this edge has a share", registry=self.registry).set_function(
            lambda: len(self.shares)
        )

    def limit(self, tenant: str) -> RateBurst | None:
        """Returns what may be handed out for a tenant over all edges together; None if it has no limit."""
        configuration = self.configuration_view.manifest
        if configuration is None:
            return ZERO_LIMIT
        return tenant_limit(configuration.get("tenants", {}).get(tenant), self.slack)

    # --- requests
    async def admit(self, tenant: str) -> float:
        """Returns 0.0 if a request of the tenant may run now; else the seconds after which the client should retry."""
        limit = self.limit(tenant) if tenant else None  # requests without a tenant have no limit
        if limit is None:
            return 0.0
        if limit == ZERO_LIMIT:
            return self.timers.renew
        share = self.shares.get(tenant)
        if share is None:
            share = self.shares[tenant] = EdgeShare(self.timers.smoothing)
        share.note_arrival(now())
        if share.take_token(limit, now()):
            self.decisions.labels("at_once").inc()
            return 0.0
        self.waiting[tenant] += 1
        try:
            admitted = await self._wait_for_token(tenant, share)
        finally:
            self.waiting[tenant] -= 1
        self.decisions.labels("after_waiting" if admitted else "refused").inc()
        return 0.0 if admitted else self._retry_after(share, limit)

    async def _wait_for_token(self, tenant: str, share: EdgeShare) -> bool:
        """Waits until a token can be taken for a request, either a granted one or the share's next one.

        Returns False if there is none within the time that a request may wait.
        """
        deadline = now() + self.timers.patience
        while (limit := self.limit(tenant)) is not None:
            remaining = deadline - now()
            if remaining <= 0:
                return False
            if tenant in self.pending_requests or now() >= share.no_request_until:
                await asyncio.wait([self._pending_request(tenant)], timeout=remaining)
            else:
                # The home had too few tokens a moment ago. This request is served after all that wait already.
                wait_seconds = share.wait_for(self.waiting[tenant], limit, now())
                if wait_seconds > remaining:
                    return False
                await asyncio.sleep(wait_seconds)
            if share.take_token(self.limit(tenant) or limit, now()):
                return True
        return True

    def _retry_after(self, share: EdgeShare, limit: RateBurst) -> float:
        """Returns the seconds after which a rejected request is likely to get a token."""
        wait_seconds = share.wait_for(1.0, limit, now())
        return max(
            self.timers.pause,
            min(wait_seconds if math.isfinite(wait_seconds) else self.timers.renew, self.timers.renew),
        )

    # --- share requests
    def _pending_request(self, tenant: str) -> asyncio.Task[None]:
        """Returns the task of the pending share request for a tenant; starts one if there is none."""
        task = self.pending_requests.get(tenant)
        if task is None:
            task = self._start_request([tenant])
        return task

    def _start_request(self, tenants: list[str]) -> asyncio.Task[None]:
        """Starts the task of a request for the shares of tenants that have the same home."""
        task = asyncio.create_task(self._run_request(tenants))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        for tenant in tenants:
            self.pending_requests[tenant] = task
        return task

    async def _run_request(self, tenants: list[str]) -> None:
        """Makes one request for the shares of tenants of one partition, and abandons it if it wasn't answered."""
        try:
            await self._request_from_home(tenants)
        finally:
            for tenant in tenants:
                self.shares[tenant].abandon_request()
                self.pending_requests.pop(tenant, None)

    async def _request_from_home(self, tenants: list[str]) -> None:
        """Sends a request for the shares of tenants of one partition to their home, and applies the grants."""
        configuration = self.configuration_view.manifest
        assert configuration is not None
        requested_at = now()
        requests = self._requests(tenants, requested_at)
        partition = home_partition(tenants[0], configuration["parts"])
        epoch = self.epochs.get(partition, 0)
        body = SharesRequest(self.settings.name, self.incarnation, epoch, tuple(requests.values())).as_json()
        response = await self.homes.request(partition, SHARE, body, requested_at + self.timers.renew)
        if isinstance(response, Err):
            self.request_outcomes.labels("unanswered").inc()
            for tenant in requests:
                self.shares[tenant].no_request_until = now() + self.timers.pause
            return
        self._apply(partition, requests, SharesResponse.from_json(response.unwrap()))

    def _requests(self, tenants: list[str], requested_at: float) -> dict[str, ShareRequest]:
        """Returns the share requests of tenants, by tenant; a tenant without a limit has none."""
        requests: dict[str, ShareRequest] = {}
        for tenant in tenants:
            limit = self.limit(tenant)
            if limit is not None:
                self.last_number += 1
                requests[tenant] = self.shares[tenant].next_request(
                    tenant, self.last_number, self.waiting[tenant], self.timers.renew, limit, requested_at
                )
        return requests

    def _apply(self, partition: int, requests: dict[str, ShareRequest], response: SharesResponse) -> None:
        """Applies the grants of a response.

        They are ignored if a later home has requested meanwhile what this edge holds, since it relies on that answer.
        """
        if response.epoch < self.epochs.get(partition, 0):
            self.request_outcomes.labels("outdated").inc()
            return
        self.epochs[partition] = response.epoch
        self.request_outcomes.labels("answered").inc()
        for grant in response.grants:
            limit, share = self.limit(grant.tenant), self.shares.get(grant.tenant)
            if limit is None or share is None or grant.tenant not in requests:
                continue
            if share.apply(grant, limit, now()) and grant.tokens < requests[grant.tenant].wanted * COMPLETE_GRANT:
                share.no_request_until = now() + self.timers.pause

    async def run(self) -> None:
        """Renews the shares that are in use and gives back what isn't needed any more, until it is cancelled."""
        while True:
            await asyncio.sleep(self.timers.check)
            configuration = self.configuration_view.manifest
            if configuration is None:
                continue
            by_partition: dict[int, list[str]] = {}
            for tenant in self._tenants_due():
                by_partition.setdefault(home_partition(tenant, configuration["parts"]), []).append(tenant)
            for tenants in by_partition.values():
                self._start_request(tenants)

    def _tenants_due(self) -> list[str]:
        """Returns the tenants for which to make share requests now, and removes those without requests for a long time."""
        due: list[str] = []
        for tenant, share in list(self.shares.items()):
            if tenant in self.pending_requests:
                continue
            limit = self.limit(tenant)
            if limit is None or share.last_arrival_at + self.timers.lease * UNUSED_LEASES < now():
                self._forget(tenant)
            elif share.should_request(limit, self.timers.renew, now()):
                due.append(tenant)
        return due

    def _forget(self, tenant: str) -> None:
        """Removes a share if it has expired and no request waits for a token of it."""
        if self.shares[tenant].expires_at <= now() and not self.waiting[tenant]:
            del self.shares[tenant], self.waiting[tenant]

    # --- a new home
    async def on_holdings(self, body: Body) -> PeerResponse:
        """Handles the verb `holdings`: returns the shares that this edge holds of a partition's tenants, for its new owner.

        From then on, grants of an earlier epoch of the partition are ignored.
        """
        request = HoldingsRequest.from_json(body)
        self.epochs[request.partition] = max(request.epoch, self.epochs.get(request.partition, 0))
        rows = []
        for tenant, share in self.shares.items():
            limit = self.limit(tenant)
            if limit is not None and home_partition(tenant, request.partitions) == request.partition:
                holding = share.as_holding(tenant, limit, now())
                if holding.remaining > 0:
                    rows.append(holding.as_json())
        return Ok({"inc": self.incarnation, "shares": rows})

    def close(self) -> None:
        """Cancels all pending share requests when the process shuts down."""
        for task in list(self.tasks):
            task.cancel()

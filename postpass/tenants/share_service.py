"""The home of tenants: the owner of a partition leases shares of the limits of its tenants to edges.

A home keeps its state in memory, for the duration of one ownership. A new home learns from the edges what the former
one granted. If an edge doesn't answer, its shares have expired once a lease time has passed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration, with_duty
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.errors import TIMED_OUT, Fault
from postpass.runtime.log_events import Event
from postpass.tenants.limits import (
    CLOCK_MARGIN,
    STARTING_EXTRA,
    ZERO_LIMIT,
    RateBurst,
    ShareTimers,
    quota_slack,
    tenant_limit,
)
from postpass.tenants.messages import (
    HOLDINGS,
    SHARE,
    HoldingsRequest,
    ShareGrant,
    ShareRequest,
    SharesRequest,
    SharesResponse,
)
from postpass.tenants.share_ledger import ShareLedger


class HomeAccess(Protocol):
    """The interface that a home needs of the store in which it runs."""

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks

    @property
    def partitions(self) -> dict[int, Partition]:
        """The partitions of which this store has a copy, by number."""

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        """Returns the partition if this store owns it and is ready; otherwise NOT_RESPONSIBLE with its owner as a hint."""

    async def confirm(self, partition: Partition) -> bool:
        """Returns whether this store is still the owner, after a round trip to the partition's members."""


@dataclass(eq=False)
class Home:
    """The state of one ownership of a partition.

    Attributes:
        epoch: the epoch of the ownership.
        began_at: when the ownership began, in seconds of the event loop's clock.
        ledgers: the ledgers, by tenant.
        answered: the edges that have reported what they hold.
        settled_at: since when all shares that the former home granted are known or have expired; None until then.
        holdings_task: the task that requests from the edges what they hold.
    """

    epoch: int
    began_at: float
    ledgers: dict[str, ShareLedger] = field(default_factory=dict)
    answered: set[str] = field(default_factory=set)
    settled_at: float | None = None
    holdings_task: asyncio.Task[None] | None = None


@dataclass(eq=False)
class ShareService:
    """Answers the share requests of edges for the partitions that this store owns.

    Attributes:
        homes: the state of each ownership, by partition.
        edges_seen: when an edge was last in the configuration, in seconds of the event loop's clock, by name.
    """

    store: HomeAccess
    homes: dict[int, Home] = field(default_factory=dict)
    edges_seen: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.timers = ShareTimers.of(self.store.settings.bounds)
        self.slack = quota_slack(self.store.settings.bounds)

    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of the verbs of peers that are answered here."""
        return {SHARE: self.on_share}

    def forget(self, partition: int) -> None:
        """Drops the state of a partition's former ownership, when a new one begins."""
        self.homes.pop(partition, None)

    # --- share requests
    async def on_share(self, body: Body) -> PeerResponse:
        """Handles the verb `share`: grants an edge its shares.

        Returns TIMED_OUT if it can't be confirmed in time that this store is still the home.
        """
        result = self.store.owned_partition(body["part"], SHARE)
        if isinstance(result, Err):
            return result
        partition, request = result.unwrap(), SharesRequest.from_json(body)
        home = self.home(partition)
        await self._await_holdings(partition, home)
        # The confirmation under this epoch proves that the grant was requested before any later home began.
        if not await self.store.confirm(partition) or self.homes.get(partition.id) is not home:
            return Err(Fault(SHARE, self.store.settings.name, "could not be confirmed", TIMED_OUT))
        # The home of an earlier epoch may have received a request made under that epoch, and the returned tokens with
        # it; they must not count here as well.
        outdated = request.epoch != home.epoch
        share_requests = [
            replace(share_request, returned=0.0) if outdated else share_request
            for share_request in request.share_requests
        ]
        grants = [self._grant(home, request.holder, share_request) for share_request in share_requests]
        return Ok(SharesResponse(home.epoch, tuple(grant for grant in grants if grant is not None)).as_json())

    def home(self, partition: Partition) -> Home:
        """Returns the state of the present ownership of a partition; creates it if need be."""
        home = self.homes.get(partition.id)
        if home is None or home.epoch != partition.epoch:
            home = self.homes[partition.id] = Home(partition.epoch, now())
        return home

    def _limit(self, tenant: str) -> RateBurst:
        """Returns what may be handed out for a tenant; nothing if it has no limit, since no edge makes requests then."""
        configuration = self.store.configuration_view.manifest
        tenants = configuration.get("tenants", {}) if configuration is not None else {}
        return tenant_limit(tenants.get(tenant), self.slack) or ZERO_LIMIT

    def _ledger(self, home: Home, tenant: str) -> ShareLedger:
        """Returns the ledger of a tenant; creates it if need be.

        In a new ledger of a settled home, tokens have accrued since the home was settled, since no edge had a share
        till now.
        """
        ledger = home.ledgers.get(tenant)
        if ledger is None:
            starting_tokens = self.slack.extra * STARTING_EXTRA
            ledger = ShareLedger(self.timers.lease, starting_tokens, now(), limit=self._limit(tenant))
            if home.settled_at is not None:
                ledger.accrued_at, ledger.settled = home.settled_at, True
            home.ledgers[tenant] = ledger
        return ledger

    def _grant(self, home: Home, holder: str, share_request: ShareRequest) -> ShareGrant | None:
        """Answers one share request; returns None if the request is outdated."""
        ledger = self._ledger(home, share_request.tenant)
        return ledger.grant(
            holder, share_request, self._limit(share_request.tenant), home.settled_at is not None, now()
        )

    # --- what the former home granted
    def watch(self) -> None:
        """Records which edges there are, and collects what they hold for each home that isn't settled yet.

        Run by the store with each heartbeat.
        """
        configuration = self.store.configuration_view.manifest
        if configuration is None or not configuration.get("tenants"):
            return
        self._note_edges(configuration)
        for partition in list(self.store.partitions.values()):
            if partition.owning and partition.ready:
                home = self.home(partition)
                if not self._is_settled(home):
                    self._start_collecting_holdings(partition, home)

    def _note_edges(self, configuration: Configuration) -> None:
        for name in with_duty(configuration, "edge"):
            self.edges_seen[name] = now()

    def _is_settled(self, home: Home) -> bool:
        """Returns whether all shares that the former home granted are known or have expired."""
        if home.settled_at is None and now() - home.began_at > self.timers.lease * CLOCK_MARGIN:
            home.settled_at = now()
        return home.settled_at is not None

    async def _await_holdings(self, partition: Partition, home: Home) -> None:
        """Waits until the edges have reported what they hold, but no longer than one response may take."""
        if not self._is_settled(home):
            await asyncio.wait([self._start_collecting_holdings(partition, home)], timeout=self.timers.retry)

    def _start_collecting_holdings(self, partition: Partition, home: Home) -> asyncio.Task[None]:
        if home.holdings_task is None or home.holdings_task.done():
            home.holdings_task = asyncio.create_task(self._collect_holdings(partition, home))
        return home.holdings_task

    async def _collect_holdings(self, partition: Partition, home: Home) -> None:
        """Requests what they hold of the partition's tenants from the edges that haven't answered yet."""
        configuration = self.store.configuration_view.manifest
        if configuration is None:
            return
        self._note_edges(configuration)
        oldest = now() - self.timers.lease * CLOCK_MARGIN
        edges = [name for name, seen_at in self.edges_seen.items() if seen_at >= oldest]
        request = HoldingsRequest(partition.id, configuration["parts"], home.epoch)
        await asyncio.gather(
            *(self._request_holdings(home, request, name) for name in edges if name not in home.answered)
        )
        if home.settled_at is None and home.answered >= set(edges):
            home.settled_at = now()
            log_events.emit(
                Event.TENANT_HOME_READY, self.store.settings.name, part=partition.id, epoch=home.epoch,
                edges=len(edges), tenants=len(home.ledgers), seconds=f"{now() - home.began_at:.3f}",
            )  # fmt: skip

    async def _request_holdings(self, home: Home, request: HoldingsRequest, edge: str) -> None:
        """Requests from one edge what it holds, and records that; an edge that doesn't answer is skipped."""
        address = self.store.configuration_view.addr(edge)
        if not address:
            return
        response = await self.store.peer_links.request(
            address, HOLDINGS, request.as_json(), self.store.settings.bounds.heartbeat_interval
        )
        if isinstance(response, Err):
            return
        body = response.unwrap()
        for row in body["shares"]:
            holding = ShareRequest.from_json(row)
            self._ledger(home, holding.tenant).adopt(f"{edge}/{body['inc']}", holding, now())
        home.answered.add(edge)

    def close(self) -> None:
        """Cancels the pending requests to edges when the process shuts down."""
        for home in self.homes.values():
            if home.holdings_task is not None:
                home.holdings_task.cancel()

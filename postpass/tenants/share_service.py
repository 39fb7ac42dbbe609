"""The home of tenants: the owner of a partition leases shares of the limits of its tenants to edges.

A home keeps its state in memory, for one ownership. A new one learns from the edges what the one before granted; of edges
that give no answer it knows all the same that nothing is in use any more once a lease time has passed.
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
from postpass.runtime.errors import SLOW, Fault
from postpass.runtime.log_events import Event
from postpass.tenants.limits import (
    CLOCK_MARGIN,
    NOTHING,
    STARTING_EXTRA,
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
    """What a home asks of the store that it runs in."""

    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks

    @property
    def partitions(self) -> dict[int, Partition]:
        """The partitions that have a copy here, by number."""

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        """The partition if it is owned here and ready, or MOVED with a hint of its owner."""

    async def confirm(self, partition: Partition) -> bool:
        """Is this store still the owner? A round trip to the members."""


@dataclass(eq=False)
class Home:
    """The state of one ownership of a partition.

    Attributes:
        epoch: of the ownership.
        since: when it began, in seconds of the loop's clock.
        ledgers: by tenant.
        answered: edges that have told what they hold.
        settled_at: since when all shares of the former home are known or have run out; None before.
        recall: asks the edges.
    """

    epoch: int
    since: float
    ledgers: dict[str, ShareLedger] = field(default_factory=dict)
    answered: set[str] = field(default_factory=set)
    settled_at: float | None = None
    recall: asyncio.Task[None] | None = None


@dataclass(eq=False)
class ShareService:
    """Answers the questions of edges for the partitions that are owned here.

    Attributes:
        homes: by partition.
        edges_seen: when an edge last stood in the configuration, in seconds of the loop's clock.
    """

    store: HomeAccess
    homes: dict[int, Home] = field(default_factory=dict)
    edges_seen: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.timers = ShareTimers.of(self.store.settings.bounds)
        self.slack = quota_slack(self.store.settings.bounds)

    def handlers(self) -> dict[str, Any]:
        """The verbs of peers that are answered here."""
        return {SHARE: self.on_share}

    def forget(self, partition: int) -> None:
        """A new ownership begins: nothing of the one before counts."""
        self.homes.pop(partition, None)

    # --- questions
    async def on_share(self, body: Body) -> PeerResponse:
        """Verb `share`: grants an edge its shares. SLOW if it can't be proved in time that this is the home."""
        got = self.store.owned_partition(body["part"], SHARE)
        if isinstance(got, Err):
            return got
        partition, request = got.unwrap(), SharesRequest.from_json(body)
        home = self.home(partition)
        await self._learn(partition, home)
        # Under the epoch: whatever a later home hears of, this grant was asked for before that home began.
        if not await self.store.confirm(partition) or self.homes.get(partition.id) is not home:
            return Err(Fault(SHARE, self.store.settings.name, "could not be confirmed", SLOW))
        # A question that was composed under an earlier epoch may have been heard by that home, which has the tokens then.
        outdated = request.epoch != home.epoch
        questions = [replace(question, returned=0.0) if outdated else question for question in request.questions]
        grants = [self._grant(home, request.holder, question) for question in questions]
        return Ok(SharesResponse(home.epoch, tuple(grant for grant in grants if grant is not None)).as_json())

    def home(self, partition: Partition) -> Home:
        """The state of the present ownership of a partition."""
        home = self.homes.get(partition.id)
        if home is None or home.epoch != partition.epoch:
            home = self.homes[partition.id] = Home(partition.epoch, now())
        return home

    def _limit(self, tenant: str) -> RateBurst:
        """What may be handed out for a tenant; nothing if it has no limit, since no edge asks then."""
        configuration = self.store.configuration_view.manifest
        tenants = configuration.get("tenants", {}) if configuration is not None else {}
        return tenant_limit(tenants.get(tenant), self.slack) or NOTHING

    def _ledger(self, home: Home, tenant: str) -> ShareLedger:
        """The ledger of a tenant. One that is new holds what has come since the home was settled: nobody had a share."""
        ledger = home.ledgers.get(tenant)
        if ledger is None:
            starting = self.slack.extra * STARTING_EXTRA
            ledger = ShareLedger(self.timers.lease, starting, now(), limit=self._limit(tenant))
            if home.settled_at is not None:
                ledger.counted_at, ledger.settled = home.settled_at, True
            home.ledgers[tenant] = ledger
        return ledger

    def _grant(self, home: Home, holder: str, question: ShareRequest) -> ShareGrant | None:
        ledger = self._ledger(home, question.tenant)
        return ledger.grant(holder, question, self._limit(question.tenant), home.settled_at is not None, now())

    # --- what the former home granted
    def watch(self) -> None:
        """Notes which edges there are, and lets new homes ask them; once a heartbeat."""
        configuration = self.store.configuration_view.manifest
        if configuration is None or not configuration.get("tenants"):
            return
        self._note_edges(configuration)
        for partition in list(self.store.partitions.values()):
            if partition.owning and partition.ready:
                home = self.home(partition)
                if not self._is_settled(home):
                    self._start_recall(partition, home)

    def _note_edges(self, configuration: Configuration) -> None:
        for name in with_duty(configuration, "edge"):
            self.edges_seen[name] = now()

    def _is_settled(self, home: Home) -> bool:
        """Are all shares that the former home granted known, or have they run out?"""
        if home.settled_at is None and now() - home.since > self.timers.lease * CLOCK_MARGIN:
            home.settled_at = now()
        return home.settled_at is not None

    async def _learn(self, partition: Partition, home: Home) -> None:
        """Waits, for the time of one answer, until the edges have told what they hold."""
        if not self._is_settled(home):
            await asyncio.wait([self._start_recall(partition, home)], timeout=self.timers.retry)

    def _start_recall(self, partition: Partition, home: Home) -> asyncio.Task[None]:
        if home.recall is None or home.recall.done():
            home.recall = asyncio.create_task(self._recall(partition, home))
        return home.recall

    async def _recall(self, partition: Partition, home: Home) -> None:
        """Asks the edges that haven't answered yet what they hold of the partition's tenants."""
        configuration = self.store.configuration_view.manifest
        if configuration is None:
            return
        self._note_edges(configuration)
        recent = now() - self.timers.lease * CLOCK_MARGIN
        edges = [name for name, seen in self.edges_seen.items() if seen >= recent]
        request = HoldingsRequest(partition.id, configuration["parts"], home.epoch)
        await asyncio.gather(*(self._ask_edge(home, request, name) for name in edges if name not in home.answered))
        if home.settled_at is None and home.answered >= set(edges):
            home.settled_at = now()
            log_events.emit(
                Event.TENANT_HOME_READY, self.store.settings.name, part=partition.id, epoch=home.epoch,
                edges=len(edges), tenants=len(home.ledgers), seconds=f"{now() - home.since:.3f}",
            )  # fmt: skip

    async def _ask_edge(self, home: Home, request: HoldingsRequest, edge: str) -> None:
        """Asks one edge, which may not answer, and takes in what it holds."""
        address = self.store.configuration_view.addr(edge)
        if not address:
            return
        answer = await self.store.peer_links.request(
            address, HOLDINGS, request.as_json(), self.store.settings.bounds.beat
        )
        if isinstance(answer, Err):
            return
        body = answer.unwrap()
        for row in body["shares"]:
            told = ShareRequest.from_json(row)
            self._ledger(home, told.tenant).adopt(f"{edge}/{body['inc']}", told, now())
        home.answered.add(edge)

    def close(self) -> None:
        """Ends what is under way; the process is about to end."""
        for home in self.homes.values():
            if home.recall is not None:
                home.recall.cancel()

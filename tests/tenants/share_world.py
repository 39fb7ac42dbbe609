"""A small simulated fleet with virtual time, for tests of the limits of tenants.

It runs the real code of edges and homes over links that delay and lose messages. Hosts can be killed and frozen, links
can be cut, and the ownership of the single partition moves from home to home; a home that was deposed doesn't know it
until it asks for a confirmation. The requests that each edge admits are recorded.
"""

from __future__ import annotations

import asyncio
import contextvars
import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from postpass.configuration.configuration import Configuration
from postpass.configuration.settings import Bounds, Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.partition import Partition
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.errors import NOT_RESPONSIBLE, TIMED_OUT, Fault
from postpass.tenants.edge_shares import EdgeShares
from postpass.tenants.limits import quota_slack
from postpass.tenants.messages import HOLDINGS
from postpass.tenants.share_service import ShareService
from sim.loop import Host, SimLoop

PARTITION = 0
SLACK = quota_slack(Bounds())
FOREVER = 1e9


@dataclass(frozen=True)
class Terms:
    """The limit of a tenant, as the operator sets it."""

    rate: float
    burst: float

    @property
    def max_per_window(self) -> float:
        """The largest number of requests that may run in any window."""
        return (self.rate * SLACK.window + self.burst) * (1 + SLACK.excess) + SLACK.extra


def most_in_window(times: list[float], window: float = SLACK.window) -> int:
    """Returns the largest number of these times that lie within one window."""
    window_start, most, times = 0, 0, sorted(times)
    for index, at in enumerate(times):
        while at - times[window_start] > window:
            window_start += 1
        most = max(most, index - window_start + 1)
    return most


@dataclass(eq=False)
class Copy:
    """A store's copy of the partition, with the attributes that the limits of tenants use."""

    id: int = PARTITION
    epoch: int = 0
    owning: bool = False
    ready: bool = True


@dataclass(eq=False)
class StoreStandIn:
    """Implements `HomeAccess`; only a round trip (`confirm`) shows whether the copy's epoch is still the current one."""

    world: World
    name: str
    settings: Settings
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    copy: Copy = field(default_factory=Copy)

    @property
    def partitions(self) -> dict[int, Partition]:
        return {PARTITION: cast(Partition, self.copy)}

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        if not self.copy.owning:
            return Err(Fault(step, self.name, "not the owner", NOT_RESPONSIBLE))
        return Ok(cast(Partition, self.copy))

    async def confirm(self, partition: Partition) -> bool:
        await asyncio.sleep(self.world.delay())
        confirmed = self.copy.epoch == self.world.epoch and self.name not in self.world.cut_off
        await asyncio.sleep(self.world.delay())
        return confirmed


@dataclass(eq=False)
class Node:
    """A machine; `handlers` answer the requests to it, by verb."""

    name: str
    host: Host
    handlers: dict[str, Callable[[Body], Any]]
    store: StoreStandIn | None = None
    service: ShareService | None = None
    shares: EdgeShares | None = None


@dataclass(eq=False)
class Links:
    """The links of one machine to the others."""

    world: World
    name: str

    async def request(self, address: str, verb: str, body: Body, limit: float) -> PeerResponse:
        self.world.messages[verb] += 1
        # A message travels in a task of its own, so that it arrives even if its sender is frozen or dead.
        exchange = asyncio.get_running_loop().create_task(
            self.exchange(address, verb, json.loads(json.dumps(body))), context=contextvars.Context()
        )
        done, _ = await asyncio.wait([exchange], timeout=limit)
        if not done:
            return Err(Fault(verb, address, "no answer in time", TIMED_OUT))
        return exchange.result()

    async def exchange(self, address: str, verb: str, body: Body) -> PeerResponse:
        """Delivers a message and returns the response; the receiver handles it even if the sender waits no longer."""
        await self.travel(self.name, address)
        target = self.world.nodes[address]
        if target.host.dead:
            await asyncio.sleep(FOREVER)
        work = asyncio.get_running_loop().create_task(target.handlers[verb](body), context=target.host.context())
        answer: PeerResponse = await work
        await self.travel(address, self.name)
        return Ok(json.loads(json.dumps(answer.unwrap()))) if isinstance(answer, Ok) else answer

    async def travel(self, sender: str, receiver: str) -> None:
        if {sender, receiver} & self.world.cut_off or (sender, receiver) in self.world.blocked or self.world.lost():
            await asyncio.sleep(FOREVER)
        await asyncio.sleep(self.world.delay())


@dataclass(eq=False)
class World:
    """The simulated fleet and its faults; `epoch` is that of the present owner of the partition."""

    loop: SimLoop
    seed: int
    terms: dict[str, Terms]
    edges: int = 4
    homes: int = 3
    latency: float = 0.002
    loss: float = 0.0
    epoch: int = 0
    incarnations: int = 0
    nodes: dict[str, Node] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    blocked: set[tuple[str, str]] = field(default_factory=set)  # (sender, receiver) whose messages are all lost
    messages: Counter[str] = field(default_factory=Counter)
    ran: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    refused: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    delays: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.bounds = Bounds()
        for number in range(self.homes):
            self.add_home(f"s{number}")
        for number in range(self.edges):
            self.boot(f"e{number}")
        self.take_over("s0")

    def delay(self) -> float:
        return self.latency * self.chance.uniform(0.5, 1.5) * (20 if self.chance.random() < 0.02 else 1)

    def lost(self) -> bool:
        return self.chance.random() < self.loss

    # --- machines
    def configuration(self) -> Configuration:
        stores = {f"s{n}": {"duties": ["store"], "area": "a", "peer": f"s{n}"} for n in range(self.homes)}
        edges = {f"e{n}": {"duties": ["edge"], "area": "a", "peer": f"e{n}"} for n in range(self.edges)}
        tenants = {name: {"keys": [], "rate": terms.rate, "burst": terms.burst} for name, terms in self.terms.items()}
        raw = {"machines": stores | edges, "parts": 1, "copies": self.homes, "tenants": tenants}
        return cast(Configuration, raw)

    def view(self, name: str) -> ConfigurationView:
        view = ConfigurationView(name)
        view.manifest, view.revision = self.configuration(), 1
        return view

    def configure(self, terms: dict[str, Terms]) -> None:
        """Changes the limits on all machines at once."""
        self.terms = terms
        for node in self.nodes.values():
            part = node.store or node.shares
            assert part is not None
            part.configuration_view.manifest = self.configuration()

    def settings(self, name: str) -> Settings:
        return Settings(name, "a", name, name, (), bounds=self.bounds)

    def add_home(self, name: str) -> None:
        host = Host(name, (name,), "a")
        store = StoreStandIn(self, name, self.settings(name), self.view(name), cast(PeerLinks, Links(self, name)))
        service = ShareService(store)
        self.nodes[name] = Node(name, host, service.handlers(), store=store, service=service)
        self.loop.create_task(self.heartbeats(store, service), context=host.context())

    async def heartbeats(self, store: StoreStandIn, service: ShareService) -> None:
        while True:
            await asyncio.sleep(self.bounds.heartbeat_interval)
            service.watch()

    def boot(self, name: str) -> None:
        """Starts an edge's process; if there is one already, it is killed first."""
        if name in self.nodes:
            self.loop.kill(self.nodes[name].host)
        host = Host(name, (name,), "a")
        self.incarnations += 1
        shares = EdgeShares(
            self.settings(name), self.view(name), cast(PeerLinks, Links(self, name)), CollectorRegistry(),
            str(self.incarnations),
        )  # fmt: skip
        self.nodes[name] = Node(name, host, {HOLDINGS: shares.on_holdings}, shares=shares)
        self.loop.create_task(shares.run(), context=host.context())

    def kill(self, name: str) -> None:
        self.loop.kill(self.nodes[name].host)

    def freeze(self, name: str, seconds: float) -> None:
        host = self.nodes[name].host
        if not host.dead and not host.frozen:
            self.loop.freeze(host)
            self.loop.call_later(seconds, self.loop.thaw, host)

    def cut(self, name: str, seconds: float) -> None:
        """Drops all messages from and to a machine for some seconds."""
        self.cut_off.add(name)
        self.loop.call_later(seconds, self.cut_off.discard, name)

    def take_over(self, name: str, deposed_knows: bool = False) -> None:
        """Makes another store the owner. The former one notices only when it asks, unless `deposed_knows`."""
        self.epoch += 1
        for other in self.nodes.values():
            if other.store is not None and other.name != name and deposed_knows:
                other.store.copy.owning = False
        node = self.nodes[name]
        assert node.store is not None and node.service is not None
        node.store.copy.epoch, node.store.copy.owning = self.epoch, True
        node.service.forget(PARTITION)

    def owner(self) -> str:
        return next(n.name for n in self.nodes.values() if n.store is not None and n.store.copy.epoch == self.epoch)

    # --- requests
    def send(self, edge: str, tenant: str) -> None:
        """Sends a client's request to an edge; it is lost if the edge is dead."""
        node = self.nodes[edge]
        if not node.host.dead:
            self.loop.create_task(self.serve(node, tenant), context=node.host.context())

    async def serve(self, node: Node, tenant: str) -> None:
        assert node.shares is not None
        began_at = self.loop.clock
        retry_after = await node.shares.admit(tenant)
        if retry_after == 0.0:
            self.ran[tenant].append(self.loop.clock)
            self.delays.append(self.loop.clock - began_at)
        else:
            self.refused[tenant].append(began_at)

    async def load(self, tenant: str, rates: dict[str, float], seconds: float) -> None:
        """Sends requests at random times for some seconds, to each edge at its own rate."""
        deadline, total = self.loop.clock + seconds, sum(rates.values())
        while total > 0:
            await asyncio.sleep(self.chance.expovariate(total))
            if self.loop.clock >= deadline:
                return
            edge = self.chance.choices(list(rates), list(rates.values()))[0]
            self.send(edge, tenant)
        await asyncio.sleep(deadline - self.loop.clock)

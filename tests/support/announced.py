"""A small announced fleet in the simulator: control machines, stores and edges that find each other."""

from __future__ import annotations

import asyncio
import contextvars
import random
from dataclasses import dataclass, field
from typing import Any

from postpass.configuration.settings import Settings, parse, split_address
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.process import Daemon
from postpass.membership.registry import Translator
from postpass.replication.store import Store
from postpass.runtime.environment import Environment
from sim.disk import SimDisk
from sim.fleet import EPOCH, SimConnector
from sim.loop import Host, SimLoop
from tests.platform.test_settings import adapter

AREAS = ["a", "b", "c", "d"]


@dataclass(eq=False)
class Node:
    settings: Settings
    disk: SimDisk | None
    host: Host
    daemon: Daemon | None = None


@dataclass(eq=False)
class Fleet:
    loop: SimLoop
    control: int = 3
    stores: int = 4
    edges: int = 4
    lost: int = 1
    nodes: dict[str, Node] = field(default_factory=dict)
    first: bool = True

    def __post_init__(self) -> None:
        self.translator: Translator = adapter("configuration").TRANSLATOR

    def seeds(self) -> list[str]:
        return [f"10.0.{i}.1:7000" for i in range(1, min(3, self.control) + 1)]

    def add(self, name: str, kind: str, zone: str, ip: str, disk: SimDisk | None = None, seeds: Any = None) -> Node:
        raw: dict[str, Any] = {
            "name": name, "area": zone, "peer": f"{ip}:7000", "http": f"{ip}:8000", "seeds": seeds or self.seeds(),
            "duties": {"edge": ["edge"], "store": ["store", "sched"], "control": []}[kind], "announce": True,
            "bootstrap": self.first, "areas": AREAS, "tolerate": {"disks": self.lost, "areas": 1}, "beat": 1.2,
            "bounds": {"sync": 5.0},
        }  # fmt: skip
        if kind != "edge":
            raw["data"] = "disk"
        disk = disk or (SimDisk(random.Random(name)) if kind != "edge" else None)
        settings = parse(raw, kind == "control").unwrap()
        node = self.nodes[name] = Node(
            settings, disk, self.loop.add(Host(name, (split_address(settings.peer)[0],), zone))
        )
        self.boot(name)
        return node

    def boot(self, name: str) -> None:
        node = self.nodes[name]
        if node.host.dead:
            node.host = self.loop.add(Host(name, (split_address(node.settings.peer)[0],), node.settings.zone))
        world = Environment(
            node.disk, random.Random(f"{name}{self.loop.clock}"), lambda: EPOCH + self.loop.clock,
            connector=lambda: SimConnector(limit=0, force_close=True),
        )  # fmt: skip

        async def run() -> None:
            if node.settings.duties:
                node.daemon = DataPlane(node.settings, world)
            else:
                node.daemon = ControlPlane(node.settings, world, translator=self.translator)
            await node.daemon.run()
            self.loop.call_soon(self.kill, name, context=contextvars.Context())

        self.loop.create_task(run(), context=node.host.context())

    def kill(self, name: str, silent: bool = False) -> None:
        node = self.nodes[name]
        if not node.host.dead:
            self.loop.kill(node.host, silent)
        node.daemon = None

    def start(self) -> None:
        for i in range(1, self.control + 1):
            self.add(f"c{i}", "control", AREAS[(i - 1) % 4], f"10.0.{i}.1")
        for i in range(1, self.stores + 1):
            self.add(f"s{i}", "store", AREAS[(i - 1) % 4], f"10.1.{i}.1")
        for i in range(1, self.edges + 1):
            self.add(f"e{i}", "edge", AREAS[(i - 1) % 4], f"10.2.{i}.1")

    def controls(self) -> list[ControlPlane]:
        return [n.daemon for n in self.nodes.values() if isinstance(n.daemon, ControlPlane)]

    def primary(self) -> ControlPlane | None:
        return max((c for c in self.controls() if c.epoch), key=lambda c: c.epoch, default=None)

    def up(self) -> list[str]:
        return [n for n, x in self.nodes.items() if not x.host.dead]

    async def ask(self, name: str, call: Any) -> Any:
        """Runs a call in the place of a process, as its HTTP side would."""
        node = self.nodes[name]
        return await asyncio.get_running_loop().create_task(call(node.daemon), context=node.host.context())

    async def until(self, good: Any, limit: float) -> float:
        """How long it took, or -1."""
        began = self.loop.clock
        while self.loop.clock - began < limit:
            if good():
                return self.loop.clock - began
            await asyncio.sleep(0.01)
        return -1.0

    def store(self, name: str) -> Store | None:
        """The store of a machine that is up; None if it is down or no store."""
        daemon = self.nodes[name].daemon
        return daemon.store if isinstance(daemon, DataPlane) else None

    def owners(self) -> dict[int, str]:
        """Which store owns each partition and is ready."""
        stores = {name: store for name in self.nodes if (store := self.store(name)) is not None}
        return {p.id: name for name, store in stores.items() for p in store.partitions.values() if p.ready}

    def joined(self) -> bool:
        """Does everyone that is up know everyone that is up, and nobody else?"""
        up = set(self.up())
        return all(
            d is not None
            and d.configuration_view.manifest is not None
            and set(d.configuration_view.manifest["machines"]) == up
            for d in (self.nodes[n].daemon for n in up)
        )

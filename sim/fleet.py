"""A whole fleet in one simulated world: the very same daemons, stand-in workers and callers."""

from __future__ import annotations

import asyncio
import contextvars
import copy
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from bench.clients import Callers, Load
from bench.plan import config
from bench.worker import PlainServer, Worker
from postpass.configuration.configuration import partition_of
from postpass.configuration.settings import parse, split_address
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.process import Daemon
from postpass.runtime.environment import Environment, serve_http
from sim.check import Event
from sim.disk import SimDisk
from sim.loop import Host, SimLoop
from sim.points import Points, hit

RETRY_PAUSE_S = 0.4  # the least time between an operator's tries
EPOCH = 1_700_000_000.0


class SimConnector(aiohttp.BaseConnector):
    """aiohttp's connections over the simulated network."""

    async def _create_connection(self, req: Any, traces: Any, timeout: Any) -> Any:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout.sock_connect):
                _, proto = await loop.create_connection(self._factory, req.url.host, req.url.port)
        except TimeoutError:
            raise
        except OSError as bad:
            raise aiohttp.ClientConnectorError(req.connection_key, bad) from bad
        return proto


@dataclass(eq=False)
class Box:
    """A simulated machine: what outlives its processes (address, disk), and the process on it now."""

    name: str
    zone: str
    ips: tuple[str, ...]
    disk: SimDisk | None
    host: Host | None = None
    daemon: Daemon | None = None
    thing: Any = None
    since: float = 0.0
    epoch: int = 0

    @property
    def up(self) -> bool:
        return self.host is not None and not self.host.dead


@dataclass(eq=False)
class SimFleet:
    loop: SimLoop
    configuration: dict[str, Any]
    seed: int
    bounds: dict[str, float] = field(default_factory=dict)
    tune: dict[str, Any] = field(default_factory=dict)  # config of daemons
    boxes: dict[str, Box] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    revision: int = 0
    make: Callable[[Daemon], None] | None = None  # settings of the simulator, laid on each new daemon
    disk_cap: int = 64 << 20
    copies: list[int] = field(default_factory=list)
    release: str = ""
    here: tuple[str, str] = ("", "")  # the machine that met the point at which a fault is caused, and its peer

    def __post_init__(self) -> None:
        self.chance = random.Random(f"fleet-{self.seed}")
        self.points = self.loop.points = Points()
        for name, m in self.configuration["machines"].items():
            self.add_box(name, m)
        for pool in self.configuration["pools"].values():
            for name, s in pool["servers"].items():
                host, _ = split_address(s["url"].removeprefix("http://"))
                self.boxes[name] = Box(name, s["area"], (host,), None)
        self.outside = self.loop.add(Host("outside", ("127.9.9.9",), "a"))

    def add_box(self, name: str, m: dict[str, Any]) -> None:
        ips = tuple(dict.fromkeys([split_address(m["peer"])[0], split_address(m["http"])[0]]))
        disk = (
            SimDisk(random.Random(f"disk-{name}-{self.seed}"), cap=self.disk_cap)
            if {"store", "control"} & set(m["duties"])
            else None
        )
        if disk is not None:
            disk.tap = hit
        self.boxes[name] = Box(name, m["area"], ips, disk)

    def wall(self) -> float:
        return EPOCH + self.loop.clock

    def log(self, event: Event) -> None:
        self.events.append({"t": self.loop.clock} | event)
        if event["ev"] == "took":
            self.points.hit("took", event["worker"])
        elif event["ev"] == "applied":
            self.points.hit(f"applied.{event['answer']}", event.get("via", ""))

    def world(self, name: str, disk: SimDisk | None) -> Environment:
        self.boxes[name].epoch += 1
        seed = f"{self.seed}-{name}-{self.boxes[name].epoch}"
        return Environment(
            disk=disk,
            chance=random.Random(seed),
            wall=self.wall,
            connector=lambda: SimConnector(limit=0, keepalive_timeout=2.0),
        )

    # --- machines
    def start(self, name: str) -> None:
        box = self.boxes[name]
        if box.up:
            return
        box.host = self.loop.add(Host(name, box.ips, box.zone))
        box.since = self.loop.clock
        if name in self.configuration["machines"]:
            control = "control" in self.configuration["machines"][name]["duties"]
            raw = config(self.configuration, name, "data" if box.disk is not None else "", **self.tune)
            if self.bounds:
                raw["bounds"] = self.bounds
            settings = parse(raw, control).unwrap()

            async def boot() -> None:
                daemon: Daemon = (ControlPlane if control else DataPlane)(
                    settings, self.world(name, box.disk), self.release
                )
                box.daemon = daemon
                if self.make is not None:
                    self.make(daemon)
                await daemon.run()
                # The process is over: whatever it left running ends with it.
                self.loop.call_soon(self.kill, name, context=contextvars.Context())

            self.loop.create_task(boot(), context=box.host.context())
            return
        for pool in self.configuration["pools"].values():
            if name in pool["servers"]:
                server = pool["servers"][name]
                self.loop.create_task(self.serve(box, pool["kind"], server), context=box.host.context())

    async def serve(self, box: Box, kind: str, server: dict[str, Any]) -> None:
        host, port = split_address(server["url"].removeprefix("http://"))

        def log(event: Event) -> None:
            self.log(event | {"area": box.zone})

        if kind == "model":
            worker = Worker(
                box.name, log, self.wall, slots=server["slots"], chance=random.Random(f"{box.name}-{self.seed}")
            )
            worker.tap = lambda k: hit(f"piece.{k}")
            box.thing = worker
            asyncio.create_task(worker.engine())
        else:
            box.thing = PlainServer(box.name, log)
        await serve_http(box.thing.app(), host, port, asyncio.Event())

    def kill(self, name: str, silent: bool = False) -> None:
        box = self.boxes[name]
        if box.up and box.host is not None:
            self.loop.kill(box.host, silent)
        box.daemon = None

    def term(self, name: str) -> None:
        """SIGTERM: the daemon is told to leave, and does so by itself."""
        daemon = self.boxes[name].daemon
        if daemon is not None:
            daemon.stop.set()

    def power(self, name: str) -> None:
        self.kill(name, silent=True)
        disk = self.boxes[name].disk
        if disk is not None:
            disk.power_off()

    def wipe(self, name: str) -> None:
        self.kill(name, silent=True)
        disk = self.boxes[name].disk
        if disk is not None:
            disk.wipe()

    def freeze(self, name: str) -> None:
        box = self.boxes[name]
        if box.up and box.host is not None:
            self.loop.freeze(box.host)

    def thaw(self, name: str) -> None:
        box = self.boxes[name]
        if box.up and box.host is not None and box.host.frozen:
            self.loop.thaw(box.host)

    def cut(self, one: str, two: str, on: bool = True) -> None:
        (self.loop.net.cuts.add if on else self.loop.net.cuts.discard)((one, two))

    def isolate(self, name: str, on: bool = True) -> None:
        for other in [*self.boxes, "outside"]:
            if other != name:
                self.cut(name, other, on)
                self.cut(other, name, on)

    # --- who is what now
    def stores(self) -> list[tuple[str, Any]]:
        return [
            (n, b.daemon.store)
            for n, b in self.boxes.items()
            if b.up and isinstance(b.daemon, DataPlane) and b.daemon.store
        ]

    def owner(self, part: int) -> str:
        owning = [
            (s.partitions[part].epoch, n)
            for n, s in self.stores()
            if part in s.partitions and s.partitions[part].owning
        ]
        return max(owning)[1] if owning else ""

    def pick(self, word: str) -> str:
        """Names or roles: owner:P, mirror:P, busiest, primary, backup, witness, sched, and, at a point, here and there."""
        kind, _, rest = word.partition(":")
        if word in ("here", "there"):
            return self.here[word == "there"]
        if kind == "owner":
            return self.owner(int(rest or 0))
        if kind == "mirror":
            return next((n for n, _ in self.stores() if n != self.owner(int(rest or 0))), "")
        if kind == "busiest":
            ranked = [(sum(p.owning for p in s.partitions.values()), n) for n, s in self.stores()]
            return max(ranked)[1] if ranked else ""
        if kind in ("primary", "backup", "witness"):
            leads = [
                (b.daemon.epoch, n)
                for n, b in self.boxes.items()
                if b.up and isinstance(b.daemon, ControlPlane) and b.daemon.epoch
            ]
            if not leads:
                return ""
            top = max(leads)[1]
            daemon = self.boxes[top].daemon
            assert isinstance(daemon, ControlPlane)
            pair = daemon.replicated_state.replica_set
            rest_ = [n for n, m in self.configuration["machines"].items() if "control" in m["duties"] and n not in pair]
            return {"primary": top, "backup": pair.backup, "witness": rest_[0] if rest_ else ""}[kind]
        if kind == "sched":
            return next(
                (
                    n
                    for n, b in self.boxes.items()
                    if b.up and isinstance(b.daemon, DataPlane) and b.daemon.scheduler and b.daemon.scheduler.active
                ),
                "",
            )
        if word not in self.boxes:
            raise KeyError(f"no machine {word!r}")
        return word

    # --- outside: operators and callers
    def out(self, coro: Any) -> asyncio.Task[Any]:
        return self.loop.create_task(coro, context=self.outside.context())

    def session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(connector=SimConnector(limit=0, keepalive_timeout=2.0))

    def controls(self) -> list[str]:
        return [n for n, m in self.configuration["machines"].items() if "control" in m["duties"]]

    async def apply(
        self, configuration: dict[str, Any], base: int, who: str = "op", via: str = "", tries: int = 1
    ) -> int:
        """Applies a manifest as an operator would; notes what was answered."""
        content = json.dumps(configuration, sort_keys=True)
        order = [via] if via else self.controls()
        again = False
        async with self.session() as session:
            for i in range(tries):
                name = order[i % len(order)]
                url = f"http://{self.configuration['machines'][name]['http']}/v1/manifest"
                began, status, revision, why = self.loop.clock, 0, 0, ""
                waits: list[str] = []
                pause = RETRY_PAUSE_S
                try:
                    async with session.put(
                        url,
                        json=configuration,
                        headers={"if-match": f'"{base}"'},
                        timeout=aiohttp.ClientTimeout(total=6, sock_connect=1),
                    ) as got:
                        status = got.status
                        revision = int(got.headers.get("etag", '"0"').strip('"'))
                        pause = max(pause, float(got.headers.get("retry-after", 0)))
                        why = (await got.text())[:300]
                        waits = json.loads(why).get("unconfirmed", []) if status == 202 else []
                except (aiohttp.ClientError, OSError, TimeoutError) as bad:
                    why = repr(bad)
                self.log({"ev": "applied", "who": who, "answer": status, "edition": revision, "base": base, "content": content,
                          "began": began, "why": why, "again": again, "waits": waits, "via": name})  # fmt: skip
                if status in (200, 202):
                    self.revision, self.configuration = (
                        max(self.revision, revision),
                        copy.deepcopy(configuration) if revision >= self.revision else self.configuration,
                    )
                    return revision
                if status in (400, 412):
                    return -status
                again = True
                await asyncio.sleep(pause)
        return 0

    async def get(self, via: str) -> tuple[dict[str, Any], int] | None:
        """The manifest in force and its edition, as a control machine tells them."""
        url = f"http://{self.configuration['machines'][via]['http']}/v1/manifest"
        try:
            limit = aiohttp.ClientTimeout(total=3, sock_connect=0.5)
            async with self.session() as session, session.get(url, timeout=limit) as got:
                revision = int(got.headers.get("etag", '"0"').strip('"'))
                return (await got.json(), revision) if got.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def read_back(self) -> None:
        """Reads the manifest back at each control machine in turn."""
        async with self.session() as session:
            for name in self.controls():
                url = f"http://{self.configuration['machines'][name]['http']}/v1/manifest"
                began, status, revision = self.loop.clock, 0, 0
                try:
                    async with session.get(url, timeout=aiohttp.ClientTimeout(total=3, sock_connect=0.5)) as got:
                        status, revision = got.status, int(got.headers.get("etag", '"0"').strip('"'))
                except (aiohttp.ClientError, OSError, TimeoutError):
                    pass
                self.log({"ev": "reads", "began": began, "answer": status, "edition": revision, "via": name})

    async def sample(self) -> None:
        """Notes which edition each daemon runs; `fit` says that it serves, or that control could have told it."""
        while True:
            await asyncio.sleep(0.25)
            for name, box in self.boxes.items():
                if box.up and box.daemon is not None and box.host is not None and not box.host.frozen:
                    configuration_view, control = box.daemon.configuration_view, isinstance(box.daemon, ControlPlane)
                    fit = (
                        self.loop.clock - box.since > 2.0 and configuration_view.revision > 0
                        if control
                        else configuration_view.fresh
                    )
                    self.log(
                        {
                            "ev": "runs",
                            "daemon": f"{name}/{box.epoch}",
                            "edition": configuration_view.revision,
                            "fit": fit,
                        }
                    )

    def heard(self, event: Event) -> None:
        """Takes down what a caller saw; of a lot that was just called kept, also on how many disks it is synced."""
        self.events.append(event)
        if event["ev"] == "lot" and event["answer"] == "kept":
            name = event["id"].encode()
            disks = [b.disk for n, b in self.boxes.items() if n.startswith("s") and b.disk is not None]
            self.copies.append(sum(any(name in data for data in d.kept.values()) for d in disks))
        word = {"lot": event.get("answer", ""), "ended": "ended", "page": "paged"}.get(event["ev"], "")
        if word in ("kept", "shed", "unknown", "ended", "paged"):
            part = partition_of(event["id"], self.configuration["parts"])
            self.points.hit(word, self.owner(part) if self.points.watchers else "")

    def make_clients(self, what: Load, session: aiohttp.ClientSession, salt: str = "") -> Callers:
        edges = [f"http://{m['http']}" for m in self.configuration["machines"].values() if "edge" in m["duties"]]
        return Callers(
            edges,
            session,
            random.Random(f"callers-{self.seed}{salt}"),
            lambda: self.loop.clock,
            self.heard,
            what,
        )

    async def found(self) -> None:
        """Starts everything and applies the first manifest; returns once every partition has an owner."""
        for name in list(self.boxes):
            self.start(name)
        self.loop.create_task(self.sample())
        await asyncio.sleep(0.5)
        got = await self.out(self.apply(self.configuration, 0, tries=8))
        assert got == 1, [e for e in self.events if e["ev"] == "applied"][-1]
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all(self.ready(p) for p in range(self.configuration["parts"])):
                break
        else:
            raise AssertionError("not every partition found an owner")
        await asyncio.sleep(1.0)

    def ready(self, part: int) -> bool:
        owner = self.owner(part)
        return bool(owner) and any(n == owner and s.partitions[part].ready for n, s in self.stores())

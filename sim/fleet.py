"""A fleet in one simulation: the real daemons, with simulated workers and clients."""

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

RETRY_PAUSE_S = 0.4  # least time between two attempts of an operator
EPOCH = 1_700_000_000.0  # wall clock time at which each simulation starts


class SimConnector(aiohttp.BaseConnector):
    """Opens the connections of aiohttp over the simulated network."""

    async def _create_connection(self, req: Any, traces: Any, timeout: Any) -> Any:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout.sock_connect):
                _, proto = await loop.create_connection(self._factory, req.url.host, req.url.port)
        except TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        return proto


@dataclass(eq=False)
class Box:
    """A simulated machine: what outlives its processes (addresses, disk), and its current process.

    `thing` is the simulated worker or back end that runs on it, if any; `since` is when the current process started, and
    `epoch` counts the starts.
    """

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
    """A simulated fleet that a configuration describes, and the history of its run."""

    loop: SimLoop
    configuration: dict[str, Any]
    seed: int
    bounds: dict[str, float] = field(default_factory=dict)
    tune: dict[str, Any] = field(default_factory=dict)  # parameters of the daemons' settings
    boxes: dict[str, Box] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    revision: int = 0
    make: Callable[[Daemon], None] | None = None  # applies settings of the simulator to each new daemon
    disk_cap: int = 64 << 20
    copies: list[int] = field(default_factory=list)  # by accepted job: synced disks that hold it at that moment
    release: str = ""
    here: tuple[str, str] = ("", "")  # machine that reached the point where a fault is caused, and its peer

    def __post_init__(self) -> None:
        self.chance = random.Random(f"fleet-{self.seed}")
        self.points = self.loop.points = Points()
        for name, machine in self.configuration["machines"].items():
            self.add_box(name, machine)
        for pool in self.configuration["pools"].values():
            for name, server in pool["servers"].items():
                host, _ = split_address(server["url"].removeprefix("http://"))
                self.boxes[name] = Box(name, server["area"], (host,), None)
        self.outside = self.loop.add(Host("outside", ("127.9.9.9",), "a"))

    def add_box(self, name: str, machine: dict[str, Any]) -> None:
        ips = tuple(dict.fromkeys([split_address(machine["peer"])[0], split_address(machine["http"])[0]]))
        disk = (
            SimDisk(random.Random(f"disk-{name}-{self.seed}"), cap=self.disk_cap)
            if {"store", "control"} & set(machine["duties"])
            else None
        )
        if disk is not None:
            disk.tap = hit
        self.boxes[name] = Box(name, machine["area"], ips, disk)

    def wall(self) -> float:
        return EPOCH + self.loop.clock

    def log(self, event: Event) -> None:
        self.events.append({"t": self.loop.clock} | event)
        if event["ev"] == "took":
            self.points.hit("took", event["worker"])
        elif event["ev"] == "applied":
            self.points.hit(f"applied.{event['answer']}", event.get("via", ""))

    def world(self, name: str, disk: SimDisk | None) -> Environment:
        """Returns the environment of a new process of a machine, and counts its start."""
        self.boxes[name].epoch += 1
        seed = f"{self.seed}-{name}-{self.boxes[name].epoch}"
        return Environment(
            disk=disk,
            chance=random.Random(seed),
            wall=self.wall,
            connector=lambda: SimConnector(limit=0, force_close=True),
        )

    # --- machines
    def start(self, name: str) -> None:
        """Starts the daemon, worker or back end of a machine that is down."""
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
                # The process has ended, and all tasks that it left running end with it.
                self.loop.call_soon(self.kill, name, context=contextvars.Context())

            self.loop.create_task(boot(), context=box.host.context())
            return
        for pool in self.configuration["pools"].values():
            if name in pool["servers"]:
                server = pool["servers"][name]
                self.loop.create_task(self.serve(box, pool["kind"], server), context=box.host.context())

    async def serve(self, box: Box, kind: str, server: dict[str, Any]) -> None:
        """Runs the simulated worker or back end of a machine."""
        host, port = split_address(server["url"].removeprefix("http://"))

        def log(event: Event) -> None:
            self.log(event | {"area": box.zone})

        if kind == "model":
            worker = Worker(
                box.name, log, self.wall, slots=server["slots"], chance=random.Random(f"{box.name}-{self.seed}")
            )
            worker.tap = lambda number: hit(f"piece.{number}")
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
        """Sends SIGTERM: the daemon is told to stop, and ends by itself."""
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

    # --- current roles
    def stores(self) -> list[tuple[str, Any]]:
        """Returns the machines that run a store now, by name."""
        return [
            (n, b.daemon.store)
            for n, b in self.boxes.items()
            if b.up and isinstance(b.daemon, DataPlane) and b.daemon.store
        ]

    def owner(self, part: int) -> str:
        """Returns the machine that owns a partition, by the latest epoch; empty if there is none."""
        owning = [
            (s.partitions[part].epoch, n)
            for n, s in self.stores()
            if part in s.partitions and s.partitions[part].owning
        ]
        return max(owning)[1] if owning else ""

    def pick(self, word: str) -> str:
        """Returns the machine that a scenario means by a word; empty if no machine has that role now.

        The word is a name or a role: owner:P, mirror:P, busiest (the store that owns most partitions), primary, backup,
        witness, sched (the active scheduler), and, at a point, here and there (the machine that reached the point, and its
        peer).

        Raises:
            KeyError: the word is neither.
        """
        kind, _, rest = word.partition(":")
        if word in ("here", "there"):
            return self.here[word == "there"]
        if kind == "owner":
            return self.owner(int(rest or 0))
        if kind == "mirror":
            return next((n for n, _ in self.stores() if n != self.owner(int(rest or 0))), "")
        if kind == "busiest":
            owned_counts = [(sum(p.owning for p in s.partitions.values()), n) for n, s in self.stores()]
            return max(owned_counts)[1] if owned_counts else ""
        if kind in ("primary", "backup", "witness"):
            leaders = [
                (box.daemon.epoch, n)
                for n, box in self.boxes.items()
                if box.up and isinstance(box.daemon, ControlPlane) and box.daemon.epoch
            ]
            if not leaders:
                return ""
            leader = max(leaders)[1]
            daemon = self.boxes[leader].daemon
            assert isinstance(daemon, ControlPlane)
            replica_set = daemon.replicated_state.replica_set
            witnesses = [
                n
                for n, m in self.configuration["machines"].items()
                if "control" in m["duties"] and n not in replica_set
            ]
            return {"primary": leader, "backup": replica_set.backup, "witness": witnesses[0] if witnesses else ""}[kind]
        if kind == "sched":
            return next(
                (
                    n
                    for n, box in self.boxes.items()
                    if box.up
                    and isinstance(box.daemon, DataPlane)
                    and box.daemon.scheduler
                    and box.daemon.scheduler.active
                ),
                "",
            )
        if word not in self.boxes:
            raise KeyError(f"no machine {word!r}")
        return word

    # --- outside the fleet: operators and clients
    def out(self, coro: Any) -> asyncio.Task[Any]:
        """Runs a coroutine as a task outside the fleet's machines."""
        return self.loop.create_task(coro, context=self.outside.context())

    def session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(connector=SimConnector(limit=0, keepalive_timeout=2.0))

    def controls(self) -> list[str]:
        return [n for n, m in self.configuration["machines"].items() if "control" in m["duties"]]

    async def apply(
        self, configuration: dict[str, Any], base: int, who: str = "op", via: str = "", tries: int = 1
    ) -> int:
        """Applies a configuration as an operator would, and records each answer.

        Args:
            configuration: the new configuration.
            base: the revision that it was made from.
            who: name of the operator.
            via: the control machine to send it to; otherwise they are tried in turn.
            tries: how many attempts to make.

        Returns:
            The new revision; the negative status if the configuration was refused; 0 if no attempt was answered.
        """
        content = json.dumps(configuration, sort_keys=True)
        control_machines = [via] if via else self.controls()
        again = False
        async with self.session() as session:
            for attempt in range(tries):
                name = control_machines[attempt % len(control_machines)]
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
                    ) as response:
                        status = response.status
                        revision = int(response.headers.get("etag", '"0"').strip('"'))
                        pause = max(pause, float(response.headers.get("retry-after", 0)))
                        why = (await response.text())[:300]
                        waits = json.loads(why).get("unconfirmed", []) if status == 202 else []
                except (aiohttp.ClientError, OSError, TimeoutError) as error:
                    why = repr(error)
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
        """Returns the configuration in force and its revision from a control machine; None if it does not answer."""
        url = f"http://{self.configuration['machines'][via]['http']}/v1/manifest"
        try:
            limit = aiohttp.ClientTimeout(total=3, sock_connect=0.5)
            async with self.session() as session, session.get(url, timeout=limit) as response:
                revision = int(response.headers.get("etag", '"0"').strip('"'))
                return (await response.json(), revision) if response.status == 200 else None
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def read_back(self) -> None:
        """Reads the configuration at each control machine in turn, and records the answers."""
        async with self.session() as session:
            for name in self.controls():
                url = f"http://{self.configuration['machines'][name]['http']}/v1/manifest"
                began, status, revision = self.loop.clock, 0, 0
                try:
                    async with session.get(url, timeout=aiohttp.ClientTimeout(total=3, sock_connect=0.5)) as response:
                        status, revision = response.status, int(response.headers.get("etag", '"0"').strip('"'))
                except (aiohttp.ClientError, OSError, TimeoutError):
                    pass
                self.log({"ev": "reads", "began": began, "answer": status, "edition": revision, "via": name})

    async def sample(self) -> None:
        """Records four times a second which revision of the configuration each daemon runs.

        `fit` in the event says that the revision must be recent: the daemon serves, or, if it is a control machine, has run for
        2 s and has a configuration.
        """
        while True:
            await asyncio.sleep(0.25)
            for name, box in self.boxes.items():
                if box.up and box.daemon is not None and box.host is not None and not box.host.frozen:
                    configuration_view, control = box.daemon.configuration_view, isinstance(box.daemon, ControlPlane)
                    comparable = (
                        self.loop.clock - box.since > 2.0 and configuration_view.revision > 0
                        if control
                        else configuration_view.fresh
                    )
                    self.log(
                        {
                            "ev": "runs",
                            "daemon": f"{name}/{box.epoch}",
                            "edition": configuration_view.revision,
                            "fit": comparable,
                        }
                    )

    def record_client_event(self, event: Event) -> None:
        """Records an event of a client; for a job that was just accepted also on how many stores' disks it is synced."""
        self.events.append(event)
        if event["ev"] == "lot" and event["answer"] == "kept":
            name = event["id"].encode()
            disks = [b.disk for n, b in self.boxes.items() if n.startswith("s") and b.disk is not None]
            self.copies.append(sum(any(name in data for data in d.kept.values()) for d in disks))
        word = {"lot": event.get("answer", ""), "ended": "ended", "page": "paged"}.get(event["ev"], "")
        if word in ("kept", "shed", "unknown", "ended", "paged"):
            part = partition_of(event["id"], self.configuration["parts"])
            self.points.hit(word, self.owner(part) if self.points.watchers else "")

    def make_clients(self, load: Load, session: aiohttp.ClientSession, salt: str = "") -> Callers:
        edges = [f"http://{m['http']}" for m in self.configuration["machines"].values() if "edge" in m["duties"]]
        return Callers(
            edges,
            session,
            random.Random(f"callers-{self.seed}{salt}"),
            lambda: self.loop.clock,
            self.record_client_event,
            load,
        )

    async def found(self) -> None:
        """Starts all machines and applies the first configuration; returns a second after every partition has an owner.

        Raises:
            AssertionError: a partition has none after 20 s.
        """
        for name in list(self.boxes):
            self.start(name)
        self.loop.create_task(self.sample())
        await asyncio.sleep(0.5)
        revision = await self.out(self.apply(self.configuration, 0, tries=8))
        assert revision == 1, [e for e in self.events if e["ev"] == "applied"][-1]
        for _ in range(200):
            await asyncio.sleep(0.1)
            if all(self.ready(p) for p in range(self.configuration["parts"])):
                break
        else:
            raise AssertionError("not every partition has an owner")
        await asyncio.sleep(1.0)

    def ready(self, part: int) -> bool:
        """Returns whether a partition has an owner that is ready."""
        owner = self.owner(part)
        return bool(owner) and any(n == owner and s.partitions[part].ready for n, s in self.stores())

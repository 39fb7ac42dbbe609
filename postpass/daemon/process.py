"""The life of a daemon: start, supervised tasks, signals, and leaving in order.

What every daemon has is composed here: a port for peers, gossip with neighbours, a follower of the feed, and HTTP pages
for operators. The data plane and the control plane add their duties by overriding methods of `Daemon`.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any, cast

from absl import logging
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result
from starlette.routing import BaseRoute

from postpass.configuration.configuration_check import check
from postpass.configuration.settings import Settings, split_address
from postpass.daemon.announcer import Announcer
from postpass.daemon.gossip import Gossip
from postpass.daemon.health_endpoints import DaemonMetrics, HealthEndpoints
from postpass.feed.configuration_view import ConfigurationView
from postpass.feed.follower import Follower
from postpass.feed.messages import Poll
from postpass.membership.partial_view import MemberRecord, PartialView
from postpass.rpc.codec import RELEASE, Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.rpc.peer_server import PeerServer
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now, serve_http
from postpass.runtime.errors import Fault, FaultError
from postpass.runtime.log_events import Event

Task = Coroutine[Any, Any, None]

EXIT_CANNOT_LISTEN = 1
EXIT_FAULT = 3
HTTP_PROTOCOL = "httptools"


@dataclass(eq=False)
class Daemon:
    """One process of the fleet.

    States: starting (before `run` serves), serving, leaving (`stop` is set, `leaving` is true while what is done here
    is handed over), closed (`closed` is set). Invariants: `stop` is set once and never cleared; a task that fails ends
    the daemon, which `failed` then tells; `closed` follows `stop`.

    `read_config` reads the settings anew where they stand in a file that may change; None where they don't.
    """

    settings: Settings
    environment: Environment
    release: str = RELEASE
    read_config: Callable[[], Result[Settings, list[str]]] | None = None
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    leaving: bool = False

    def __post_init__(self) -> None:
        settings, environment = self.settings, self.environment
        self.configuration_view = ConfigurationView(settings.name)
        self.peer_links = PeerLinks()
        self.incarnation = int(environment.wall() * 1000)
        self.started = 0.0
        self.partial_view = PartialView(self._first_record(), environment.chance)
        self.registry = CollectorRegistry()
        self.failed: Fault | None = None
        self.spawned: set[asyncio.Task[None]] = set()
        metrics = DaemonMetrics.register(
            self.registry, lambda: self.configuration_view.revision, lambda: len(self.partial_view.neighbours)
        )
        self.follower = Follower(
            settings, environment, self.configuration_view, self.peer_links, self.partial_view, metrics.polls
        )
        self.gossip = Gossip(
            settings, environment, self.follower, self.peer_links, self.partial_view, metrics.shuffles, self.spawn
        )
        self.announcer = Announcer(
            settings, environment, self.follower, self.peer_links, self.partial_view, self.incarnation
        )

    def _first_record(self) -> MemberRecord:
        """What this daemon tells of itself by gossip before its first heartbeat."""
        return MemberRecord(
            name=self.settings.name, peer=self.settings.peer, area=self.settings.zone,
            duties=list(self.settings.duties), inc=self.incarnation, beat=0, edition=0, release=self.release, disk="",
        )  # fmt: skip

    # --- to be filled by the duties
    def handlers(self) -> dict[str, Any]:
        """The verbs of peers that the duties answer, with what answers them."""
        return {}

    def http_routes(self) -> list[BaseRoute]:
        """The HTTP routes that the duties add to those of every daemon."""
        return []

    def tasks(self) -> list[Task]:
        """What the duties run for as long as the process does."""
        return []

    async def open(self) -> None:
        """Reads what is on disk, before anything is served."""

    def ready(self) -> str:
        """Empty if ready to serve; else what is lacking."""
        if self.configuration_view.manifest is None:
            return "no manifest yet"
        # One that control doesn't know yet isn't counted by the others; if control can't be reached it serves all the
        # same.
        waits = (
            self.settings.announce
            and not self.announcer.note_registration()
            and now() - self.started < self.settings.bounds.recover / 2
        )
        return "not announced yet" if waits else ""

    async def depart(self) -> None:
        """Hands over what only one daemon does; called once, when this one has been told to leave."""

    @property
    def leave_limit(self) -> float:
        """How many seconds handing over may take."""
        return self.settings.bounds.recover / 4

    @property
    def drain(self) -> float:
        """How many seconds requests under way may take once nothing new is accepted."""
        return self.settings.bounds.drain_time

    def protocol(self) -> Any:
        """The HTTP protocol of the server, by its name or as a class."""
        return HTTP_PROTOCOL

    async def more_status(self) -> Body:
        """What the duties add to the status page."""
        return {}

    def app(self) -> Any:
        """The ASGI application: the pages of every daemon and the routes of the duties."""
        from starlette.applications import Starlette

        return Starlette(routes=[*HealthEndpoints(self).routes(), *self.http_routes()])

    def kept_jobs(self, part: int) -> list[str]:
        """Names of jobs of a partition that this daemon knows to have been accepted lately."""
        return []

    # --- the settings, read again
    def reread(self) -> None:
        """Takes over what may change while the process runs: the seeds. A file that can't be read changes nothing."""
        if self.read_config is None:
            return
        got = self.read_config()
        if isinstance(got, Err):
            log_events.emit(Event.SETTINGS_REJECTED, self.settings.name, flaws=got.unwrap_err()[:3])
            return
        seeds = got.unwrap().seeds
        if seeds != self.settings.seeds:
            self.settings = replace(self.settings, seeds=seeds)
            self.follower.settings = self.gossip.settings = self.announcer.settings = self.settings
            log_events.emit(Event.SEEDS_CHANGED, self.settings.name, seeds=",".join(seeds))

    async def watch_config(self) -> None:
        """Reads the settings again once in a while: the file may change without any signal."""
        while True:
            await asyncio.sleep(self.settings.bounds.recover / 4)
            self.reread()

    # --- run
    async def run(self) -> None:
        """Runs from start to end; raises OSError if it can't listen, and FaultError if it must not start."""
        self.started = now()
        await self.open()
        port = PeerServer(self.settings.name, {
            "ping": self.on_ping, "shuffle": self.gossip.on_shuffle, "follow": self.on_follow,
            "join": self.announcer.on_join, **self.handlers(),
        })  # fmt: skip
        await port.listen(self.settings.peer)
        host, number = split_address(self.settings.http)
        tasks = [asyncio.create_task(self.guard(name, task)) for name, task in self._named_tasks()]
        log_events.emit(
            Event.STARTED,
            self.settings.name,
            duties=",".join(self.settings.duties) or "control",
            peer=self.settings.peer,
            http=self.settings.http,
        )
        try:
            await serve_http(self.app(), host, number, self.closed, self.drain, self.protocol())
        finally:
            await port.close()
            self.peer_links.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _named_tasks(self) -> list[tuple[str, Task]]:
        """All that runs for as long as the process does, with the names that the log tells."""
        return [
            ("gossip", self.gossip.run()),
            ("feed", self.follower.follow()),
            ("listen", self.follower.watch_contact()),
            ("leave", self.leave()),
            *([("config", self.watch_config())] if self.read_config is not None else []),
            *([("announce", self.announcer.run())] if self.settings.announce else []),
            *((getattr(task, "__name__", "task"), task) for task in self.tasks()),
        ]

    async def leave(self) -> None:
        """Told to leave: hands over first; one that failed just goes."""
        await self.stop.wait()
        if self.failed is None:
            self.leaving = True
            log_events.emit(Event.HANDING_OVER, self.settings.name)
            try:
                await asyncio.wait_for(self.depart(), self.leave_limit)
            except (TimeoutError, FaultError):
                pass
        self.closed.set()

    async def guard(self, name: str, task: Task) -> None:
        """A task that ends with an error ends the daemon: better gone, and seen, than half alive."""
        try:
            await task
        except asyncio.CancelledError:
            raise
        except FaultError as stop:
            fault = stop.fault
            log_events.emit(
                Event.TASK_FAILED, self.settings.name, task=name, step=fault.step, peer=fault.peer, why=fault.why
            )
            self._fail(fault)
        except Exception as error:
            log_events.emit(Event.TASK_FAILED, self.settings.name, task=name, why=repr(error))
            logging.exception("task %s", name)
            self._fail(Fault(name, self.settings.name, repr(error)))

    def _fail(self, fault: Fault) -> None:
        """Ends the daemon without handing anything over."""
        self.failed = fault
        self.stop.set()
        self.closed.set()

    def spawn(self, task: Task) -> None:
        """Runs a coroutine beside the others; it is kept until it has ended."""
        made = asyncio.create_task(task)
        self.spawned.add(made)
        made.add_done_callback(self.spawned.discard)

    # --- peers
    @property
    def name_clash(self) -> str:
        """Another process that goes by this one's name; empty if none is known."""
        return self.gossip.name_clash

    async def on_ping(self, body: Body) -> PeerResponse:
        """Answers for itself, or what else the ping asks for by its keys.

        `heights`: the epochs of partitions. `kept`: the jobs of a partition that are known here. `fits`: what is wrong
        with a configuration. `reach`: whether another daemon answers. `want`: holds the answer until that revision of
        the configuration runs here, for `wait` seconds; it can be had from `at`.
        """
        if "heights" in body:
            return Ok({"heights": self.gossip.partition_epochs})
        if "kept" in body:
            return Ok({"lots": self.kept_jobs(int(body["kept"]))})
        if "fits" in body:
            return Ok({"flaws": self.release_flaws(body["fits"])})
        if "reach" in body:
            return await self._ping_for_another(body)
        view = self.configuration_view
        if body.get("want", 0) > view.revision:
            # Control has accepted a newer revision and wants to know when it is in force here.
            self.spawn(self.follower.fetch(body["at"]))
            await view.wait(body["want"] - 1, min(float(body["wait"]), self.settings.bounds.manifest))
        return Ok({
            "name": self.settings.name, "inc": self.incarnation, "edition": view.revision, "release": self.release,
            "ready": self.ready(), "leaving": self.leaving,
        })  # fmt: skip

    async def _ping_for_another(self, body: Body) -> PeerResponse:
        """Tells whether the daemon at `reach` answers, for one that can't reach it itself."""
        limit = self.settings.bounds.heartbeat_interval
        if body.get("want", 0) > self.configuration_view.revision and body.get("at"):
            # Whom it reaches will fetch the revision from here.
            await self.follower.fetch(body["at"], limit)
        ask = {"want": body.get("want", 0), "at": self.settings.peer, "wait": limit * 0.9}
        got = await self.peer_links.request(body["reach"], "ping", ask, limit)
        if isinstance(got, Err):
            return Ok({"reached": False, "refused": got.unwrap_err().hint == "refused"})
        return Ok({"reached": True, "edition": got.unwrap()["edition"]})

    async def on_follow(self, body: Body) -> PeerResponse:
        """Answers a poll of the feed, held open until there is something to tell."""
        poll = Poll.from_json(body)
        await self.configuration_view.wait(poll.after, poll.hold)
        return Ok(cast(Body, self.configuration_view.changes_since(poll.after)))

    def release_flaws(self, raw: Any) -> list[str]:
        """What this release, with the plug-ins installed here, finds wrong with a configuration."""
        return check(raw).err() or []

    async def ask_kept_jobs(self, part: int) -> list[str]:
        """All jobs of a partition that any machine knows to have been accepted lately; asked only after a loss."""
        addrs, wait = self.configuration_view.addresses_of_others(), self.settings.bounds.heartbeat_interval
        answers = await asyncio.gather(
            *(self.peer_links.request(addr, "ping", {"kept": part}, wait) for addr in addrs if addr)
        )
        return sorted({
            name for answer in answers if isinstance(answer, Ok) for name in answer.unwrap().get("lots", [])
        })  # fmt: skip


def run_daemon(make: Callable[[], Daemon]) -> int:
    """Runs a daemon until SIGTERM or SIGINT.

    Returns the exit code: 0, `EXIT_CANNOT_LISTEN`, or `EXIT_FAULT` for a fault that it must not go on with.
    """
    code = 0

    async def main() -> None:
        nonlocal code
        daemon = make()
        loop = asyncio.get_running_loop()

        def leave(name: str) -> None:
            log_events.emit(Event.STOPPING, daemon.settings.name, signal=name)
            daemon.stop.set()

        for sig in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sig, leave, sig.name)
        loop.add_signal_handler(signal.SIGHUP, daemon.reread)
        try:
            await daemon.run()
        except OSError as error:
            logging.error("%s cannot start: %s", daemon.settings.name, error)
            code = EXIT_CANNOT_LISTEN
        except FaultError as stop:
            logging.error("%s left: %s", daemon.settings.name, stop)
            code = EXIT_FAULT
        if daemon.failed is not None:
            logging.error("%s left: %s", daemon.settings.name, daemon.failed)
            code = EXIT_FAULT

    asyncio.run(main())
    return code

"""The life cycle of a daemon: start, supervised tasks, and an orderly exit.

The parts that every daemon has are created here: a server for requests of peers, gossip with neighbours, a follower of
the configuration feed, and HTTP endpoints for operators. The data plane and the control plane add their duties by
overriding methods of `Daemon`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any, cast

from absl import logging
from prometheus_client import CollectorRegistry, Counter
from result import Err, Ok, Result
from starlette.routing import BaseRoute

from postpass.configuration.configuration import LIMITS, MAX_CONFIGURATION_BYTES
from postpass.configuration.configuration_check import check
from postpass.configuration.settings import Settings, split_address
from postpass.daemon.announcer import Announcer
from postpass.daemon.gossip import Gossip
from postpass.daemon.health_endpoints import DaemonMetrics, HealthEndpoints
from postpass.feed.configuration_view import ConfigurationView
from postpass.feed.follower import Follower
from postpass.feed.messages import Poll
from postpass.http_server.limit_log import LimitLog
from postpass.http_server.limits import ConnectionLimits, ResourceLimits
from postpass.http_server.protocol import limited_protocol
from postpass.http_server.resources import ServerResources
from postpass.membership.partial_view import MemberRecord, PartialView
from postpass.rpc.codec import RELEASE, Body, PeerResponse
from postpass.rpc.link_table import LinkTable, links_of_process
from postpass.rpc.peer_links import PeerLinks
from postpass.rpc.peer_server import PeerServer, large_frame_memory
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now, serve_http
from postpass.runtime.errors import Fault, FaultError
from postpass.runtime.log_events import Event

Task = Coroutine[Any, Any, None]

HTTP_IDLE_S = 5.0  # seconds that a connection of an operator or a worker may be idle


@dataclass(eq=False)
class Daemon:
    """One process of the fleet.

    States: starting (before `run` serves), serving, leaving (`stop` is set, and `leaving` is true while the work of this
    daemon is handed over), closed (`closed` is set). Invariants: `stop` is set once and never cleared; a task that fails
    ends the daemon, and `fatal_fault` then holds the fault; `closed` is set only after `stop`.

    `read_config` reads the settings file again; None if the settings don't come from a file that may change.
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
        self.started_at = 0.0
        self.partial_view = PartialView(self._first_record(), environment.chance)
        self.registry = CollectorRegistry()
        self.fatal_fault: Fault | None = None
        self.peer_server: PeerServer | None = None
        self.running_tasks: list[asyncio.Task[None]] = []  # those that run for as long as the process does
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
        """Returns the record of this daemon that gossip spreads before its first heartbeat."""
        return MemberRecord(
            name=self.settings.name, peer=self.settings.peer, area=self.settings.zone,
            duties=list(self.settings.duties), inc=self.incarnation, beat=0, edition=0, release=self.release, disk="",
        )  # fmt: skip

    # --- overridden by the data plane and the control plane
    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of the duties for requests of peers, by verb."""
        return {}

    def http_routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes that the duties add to those of every daemon."""
        return []

    def tasks(self) -> list[Task]:
        """Returns the tasks of the duties, which run for as long as the process does."""
        return []

    async def open(self) -> None:
        """Recovers the state that is on disk, before anything is served."""

    def ready(self) -> str:
        """Returns why this daemon isn't ready to serve; empty if it is."""
        if self.fatal_fault is not None:
            return "it has failed"
        if self.configuration_view.manifest is None:
            return "no manifest yet"
        # While control doesn't know this daemon, the others don't count on it. If control can't be reached in time, it serves
        # all the same.
        awaiting_registration = (
            self.settings.announce
            and not self.announcer.note_registration()
            and now() - self.started_at < self.start_time_limit
        )
        return "not announced yet" if awaiting_registration else ""

    @property
    def start_time_limit(self) -> float:
        """How many seconds after its start this daemon waits at most for other machines before it reports that it is ready."""
        return self.settings.bounds.recover / 2

    async def depart(self) -> None:
        """Hands over the work that only one daemon of the fleet may do; called once, when this daemon is to stop."""

    @property
    def depart_time_limit(self) -> float:
        """How many seconds `depart` may take."""
        return self.settings.bounds.recover / 4

    @property
    def drain(self) -> float:
        """How many seconds requests in progress may take once nothing new is accepted."""
        return self.settings.bounds.drain_time

    @property
    def has_exclusive_duties(self) -> bool:
        """Whether others wait for this daemon in what it does, until they know that it has failed."""
        return False

    def renounce_duties(self) -> None:
        """Gives up at once what this daemon does alone, and answers what waits for it; called once, when it has failed."""

    def drain_at_end(self) -> float:
        """Returns how many seconds requests in progress may take at the end of this process."""
        if self.fatal_fault is not None and self.has_exclusive_duties:
            return self.settings.bounds.heartbeat_interval
        return self.drain

    def connection_limits(self) -> ConnectionLimits:
        """Returns the present limits of each HTTP connection."""
        return ConnectionLimits(LIMITS["head_bytes"], LIMITS["head_ms"] / 1000, HTTP_IDLE_S, MAX_CONFIGURATION_BYTES)

    @property
    def peer_timeout(self) -> float:
        """Seconds until an HTTP peer that doesn't acknowledge data is considered lost; 0 for the system's default."""
        return 0.0

    async def duty_status_fields(self) -> Body:
        """Returns the fields that the duties add to the status page."""
        return {}

    def app(self) -> Any:
        """Returns the ASGI application: the endpoints of every daemon and the routes of the duties."""
        from starlette.applications import Starlette

        return Starlette(routes=[*HealthEndpoints(self).routes(), *self.http_routes()])

    def recently_accepted_jobs(self, part: int) -> list[str]:
        """Returns the names of the partition's jobs that this daemon knows to have been accepted lately."""
        return []

    # --- reloading the settings
    def reload_settings(self) -> None:
        """Reloads the settings file, and applies what may change while the process runs: the seeds.

        A file that can't be read, or is invalid, changes nothing.
        """
        if self.read_config is None:
            return
        loaded = self.read_config()
        if isinstance(loaded, Err):
            log_events.emit(Event.SETTINGS_REJECTED, self.settings.name, flaws=loaded.unwrap_err()[:3])
            return
        seeds = loaded.unwrap().seeds
        if seeds != self.settings.seeds:
            self.settings = replace(self.settings, seeds=seeds)
            self.follower.settings = self.gossip.settings = self.announcer.settings = self.settings
            log_events.emit(Event.SEEDS_CHANGED, self.settings.name, seeds=",".join(seeds))

    async def watch_settings_file(self) -> None:
        """Reloads the settings file at intervals, because it may change without a SIGHUP; runs until it is cancelled."""
        while True:
            await asyncio.sleep(self.settings.bounds.recover / 4)
            self.reload_settings()

    # --- run
    async def run(self) -> None:
        """Runs the daemon until it has stopped; raises OSError if it can't listen, and FaultError if it must not start."""
        self.started_at = now()
        await self.open()
        self.peer_server = peer_server = PeerServer(self.settings.name, {
            "ping": self.on_ping, "shuffle": self.gossip.on_shuffle, "follow": self.on_follow,
            "join": self.announcer.on_join, **self.handlers(),
        }, links=LinkTable(links_of_process(self.settings.descriptors)),
            large_frames=large_frame_memory(self.settings.memory_bytes))  # fmt: skip
        await peer_server.listen(self.settings.peer)
        host, http_port = split_address(self.settings.http)

        def start_tasks() -> None:
            """Starts the tasks, one of which announces this machine to control, once it listens at all its addresses."""
            self.running_tasks.extend(
                asyncio.create_task(self.run_supervised(name, task)) for name, task in self._named_tasks()
            )
            log_events.emit(
                Event.STARTED,
                self.settings.name,
                duties=",".join(self.settings.duties) or "control",
                peer=self.settings.peer,
                http=self.settings.http,
            )

        try:
            resources = self._http_resources()
            await serve_http(
                self.app(),
                host,
                http_port,
                self.closed,
                self.drain_at_end,
                limited_protocol(resources),
                resources.listen_queue,
                start_tasks,
            )
        finally:
            await peer_server.close()
            self.peer_links.close()
            for task in self.running_tasks:
                task.cancel()
            await asyncio.gather(*self.running_tasks, return_exceptions=True)

    def _http_resources(self) -> ServerResources:
        """Returns what all connections of the HTTP server share."""
        settings = self.settings
        counter = Counter(
            "postpass_clients_limited", "Clients that met a limit of the HTTP server", ["limit"], registry=self.registry
        )
        return ServerResources.create(
            self.connection_limits,
            self.peer_timeout,
            ResourceLimits.of_process(settings.memory_bytes, settings.descriptors),
            LimitLog(settings.name, counter),
        )

    def _named_tasks(self) -> list[tuple[str, Task]]:
        """Returns all tasks that run for as long as the process does, with their names in the log."""
        return [
            ("gossip", self.gossip.run()),
            ("feed", self.follower.follow()),
            ("listen", self.follower.watch_contact()),
            ("leave", self.leave()),
            *([("config", self.watch_settings_file())] if self.read_config is not None else []),
            *([("announce", self.announcer.run())] if self.settings.announce else []),
            *((getattr(task, "__name__", "task"), task) for task in self.tasks()),
        ]

    async def leave(self) -> None:
        """Waits for `stop`, hands over the work of this daemon, and closes it; a daemon that failed hands nothing over."""
        await self.stop.wait()
        if self.fatal_fault is None:
            self.leaving = True
            log_events.emit(Event.HANDING_OVER, self.settings.name)
            try:
                await asyncio.wait_for(self.depart(), self.depart_time_limit)
            except (TimeoutError, FaultError):
                pass
        self.closed.set()

    async def run_supervised(self, name: str, task: Task) -> None:
        """Runs a task, and ends the daemon if it raises an error.

        A process that has ended is noticed, whereas one that runs on with some of its tasks missing might not be.
        """
        try:
            await task
        except asyncio.CancelledError:
            raise
        except FaultError as fault_error:
            fault = fault_error.fault
            log_events.emit(
                Event.TASK_FAILED, self.settings.name, task=name, step=fault.step, peer=fault.peer, why=fault.why
            )
            self._fail(fault)
        except Exception as error:
            log_events.emit(Event.TASK_FAILED, self.settings.name, task=name, why=repr(error))
            logging.exception("task %s failed", name)
            self._fail(Fault(name, self.settings.name, repr(error)))

    def _fail(self, fault: Fault) -> None:
        """Ends the daemon because of a fault, without handing anything over.

        If others wait for this daemon, nothing of it goes on: its tasks end, and peers find their links to it closed.
        """
        if self.fatal_fault is None and self.has_exclusive_duties:
            self.renounce_duties()
            for task in self.running_tasks:
                if task is not asyncio.current_task():
                    task.cancel()
            if self.peer_server is not None:
                self.spawn(self.peer_server.close())
        self.fatal_fault = fault
        self.stop.set()
        self.closed.set()

    def spawn(self, task: Task) -> None:
        """Runs a coroutine in the background, and keeps a reference to its task until it has ended."""
        background_task = asyncio.create_task(task)
        self.spawned.add(background_task)
        background_task.add_done_callback(self.spawned.discard)

    # --- peers
    @property
    def name_clash(self) -> str:
        """A description of another process that uses this daemon's name; empty if none is known."""
        return self.gossip.name_clash

    async def on_ping(self, body: Body) -> PeerResponse:
        """Answers a ping with the state of this daemon, or with what the keys of the request ask for.

        `heights`: the highest known epochs of partitions. `kept`: the jobs of that partition that this daemon knows to
        have been accepted lately. `fits`: the errors that this release finds in a configuration. `reach`: whether the
        daemon at that address answers. `want`: delays the answer, for at most `wait` seconds, until that revision of the
        configuration is in force here; it is fetched from the address `at`.
        """
        if "heights" in body:
            return Ok({"heights": self.gossip.partition_epochs})
        if "kept" in body:
            return Ok({"lots": self.recently_accepted_jobs(int(body["kept"]))})
        if "fits" in body:
            return Ok({"flaws": self.release_errors(body["fits"])})
        if "reach" in body:
            return await self._ping_for_another(body)
        view = self.configuration_view
        if body.get("want", 0) > view.revision:
            # Control has accepted a newer revision, and needs to know when it is in force here.
            self.spawn(self.follower.fetch(body["at"]))
            await view.wait(body["want"] - 1, min(float(body["wait"]), self.settings.bounds.manifest))
        return Ok({
            "name": self.settings.name, "inc": self.incarnation, "edition": view.revision, "release": self.release,
            "ready": self.ready(), "leaving": self.leaving,
        })  # fmt: skip

    async def _ping_for_another(self, body: Body) -> PeerResponse:
        """Pings the daemon at the address `reach` for a peer that can't reach it, and answers whether it responded."""
        timeout = self.settings.bounds.heartbeat_interval
        if body.get("want", 0) > self.configuration_view.revision and body.get("at"):
            # The pinged daemon will fetch the revision from this one.
            await self.follower.fetch(body["at"], timeout)
        ping = {"want": body.get("want", 0), "at": self.settings.peer, "wait": timeout * 0.9}
        response = await self.peer_links.request(body["reach"], "ping", ping, timeout)
        if isinstance(response, Err):
            return Ok({"reached": False, "refused": response.unwrap_err().hint == "refused"})
        return Ok({"reached": True, "edition": response.unwrap()["edition"]})

    async def on_follow(self, body: Body) -> PeerResponse:
        """Answers a long poll of the configuration feed: waits for a newer revision, for as long as the poll allows."""
        poll = Poll.from_json(body)
        await self.configuration_view.wait(poll.after, poll.hold)
        return Ok(cast(Body, self.configuration_view.changes_since(poll.after)))

    def release_errors(self, raw: Any) -> list[str]:
        """Returns the errors that this release, with the plug-ins installed here, finds in a configuration."""
        return check(raw).err() or []

    async def ask_kept_jobs(self, part: int) -> list[str]:
        """Returns the names of the partition's jobs that any machine knows to have been accepted lately.

        It asks all machines, and is called only after data of the partition was lost.
        """
        addrs, timeout = self.configuration_view.addresses_of_others(), self.settings.bounds.heartbeat_interval
        responses = await asyncio.gather(
            *(self.peer_links.request(addr, "ping", {"kept": part}, timeout) for addr in addrs if addr)
        )
        return sorted({
            name for response in responses if isinstance(response, Ok) for name in response.unwrap().get("lots", [])
        })  # fmt: skip

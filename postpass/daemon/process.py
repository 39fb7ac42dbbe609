"""What every daemon has: a port for peers, neighbours, the feed, a small HTTP side for operators."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from absl import logging
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import CounterMetricFamily
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from postpass.configuration.configuration_check import check
from postpass.configuration.settings import Settings, split
from postpass.feed.configuration_view import ConfigurationView
from postpass.feed.messages import Poll, Rotation, Stale
from postpass.membership.partial_view import MemberRecord, PartialView
from postpass.membership.registry import Entry, placed
from postpass.rpc.codec import RELEASE, Body
from postpass.rpc.peer_links import PeerLinks
from postpass.rpc.peer_server import PeerServer
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, gather_until, now, serve_http
from postpass.runtime.errors import SHED, Fault, Stop

Task = Coroutine[Any, Any, None]


class EventCounts:
    """The numbered events of the log, as a metric."""

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily("postpass_events", "Events logged, by number", labels=["number"])
        for number, count in sorted(log_events.COUNTS.items()):
            family.add_metric([f"E{number:03d}"], count)
        yield family


@dataclass(eq=False)
class Daemon:
    """Invariants: `stop` is set once and never cleared; a task that fails ends the daemon; `closed` follows `stop`,
    after what is done here has been handed over if that is possible."""

    settings: Settings
    environment: Environment
    release: str = RELEASE
    # Reads the settings anew, where they stand in a file that may change.
    read_config: Callable[[], Result[Settings, list[str]]] | None = None
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    leaving: bool = False

    def __post_init__(self) -> None:
        self.configuration_view = ConfigurationView(self.settings.name)
        self.peer_links = PeerLinks()
        self.inc = int(self.environment.wall() * 1000)
        self.started = 0.0
        card = MemberRecord(
            name=self.settings.name, peer=self.settings.peer, area=self.settings.zone, duties=list(self.settings.duties), inc=self.inc,
            beat=0, edition=0, release=self.release, disk="",
        )  # fmt: skip
        self.partial_view = PartialView(card, self.environment.chance)
        self.registry = CollectorRegistry()
        self.failed: Fault | None = None
        self.spawned: set[asyncio.Task[None]] = set()
        self.clash = ""
        self.known_here = False  # was this life found in the manifest once?
        self.missed: dict[str, float] = {}  # sources that did not answer, and when
        # The highest epoch seen of each partition. Should all of its stores lose their disks, this is how
        # they learn that there was something to lose, and which epochs are spent.
        self.heights: dict[str, int] = {}
        Gauge("postpass_edition", "Edition of the manifest in force", registry=self.registry).set_function(
            lambda: self.configuration_view.revision
        )
        Gauge("postpass_neighbours", "Neighbours in the partial view", registry=self.registry).set_function(
            lambda: len(self.partial_view.neighbours)
        )
        self.registry.register(EventCounts())
        self.shuffles = Counter("postpass_shuffles", "Shuffles with neighbours", ["end"], registry=self.registry)
        self.polls = Counter("postpass_feed_polls", "Polls of the feed", ["end"], registry=self.registry)

    # --- to be filled by the duties
    def handlers(self) -> dict[str, Any]:
        return {}

    def ways(self) -> list[Any]:
        return []

    def tasks(self) -> list[Task]:
        return []

    async def open(self) -> None:
        """Reads what is on disk, before anything is served."""

    def ready(self) -> str:
        """Empty if ready to serve; else what is lacking."""
        if self.configuration_view.manifest is None:
            return "no manifest yet"
        # One that control doesn't know yet isn't counted by the others; if control can't be reached it serves all the same.
        # Read off the manifest itself: the task that announces may be waiting for a neighbour that says nothing.
        if self.settings.announce and not self.known_here:
            self.known_here = placed(self.configuration_view.manifest, self.entry())
        waits = (
            self.settings.announce and not self.known_here and now() - self.started < self.settings.bounds.recover / 2
        )
        return "not announced yet" if waits else ""

    async def depart(self) -> None:
        """Hands over what only one daemon does; called once, when this one has been told to leave."""

    @property
    def leave_limit(self) -> float:
        """How long handing over may take."""
        return self.settings.bounds.recover / 4

    @property
    def drain(self) -> float:
        """How long calls under way may take once nothing new is accepted."""
        return self.settings.bounds.drain

    def protocol(self) -> Any:
        return "httptools"

    async def more_status(self) -> Body:
        return {}

    def app(self) -> Any:
        from starlette.applications import Starlette

        own = [
            Route("/health", self.http_health),
            Route("/ready", self.http_ready),
            Route("/metrics", self.http_metrics),
            Route("/v1/status", self.http_status),
        ]
        return Starlette(routes=[*own, *self.ways()])

    # --- the settings, read again
    def reread(self) -> None:
        """Takes over what may change while the process runs: the seeds. A file that can't be read changes nothing."""
        if self.read_config is None:
            return
        got = self.read_config()
        if isinstance(got, Err):
            log_events.emit(108, self.settings.name, flaws=got.unwrap_err()[:3])
            return
        seeds = got.unwrap().seeds
        if seeds != self.settings.seeds:
            self.settings = replace(self.settings, seeds=seeds)
            log_events.emit(107, self.settings.name, seeds=",".join(seeds))

    async def watch_config(self) -> None:
        """The file may change without any signal."""
        while True:
            await asyncio.sleep(self.settings.bounds.recover / 4)
            self.reread()

    # --- run
    async def run(self) -> None:
        self.started = now()
        await self.open()
        port = PeerServer(self.settings.name, {
            "ping": self.on_ping, "shuffle": self.on_shuffle, "follow": self.on_follow, "join": self.on_join,
            **self.handlers(),
        })  # fmt: skip
        await port.listen(self.settings.peer)
        host, number = split(self.settings.http)
        tasks = [
            asyncio.create_task(self.guard(name, task))
            for name, task in [
                ("gossip", self.gossip()),
                ("feed", self.follow()),
                ("listen", self.listen()),
                ("leave", self.leave()),
                *([("config", self.watch_config())] if self.read_config is not None else []),
                *([("announce", self.announce())] if self.settings.announce else []),
                *((getattr(t, "__name__", "task"), t) for t in self.tasks()),
            ]
        ]
        log_events.emit(
            100,
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

    async def leave(self) -> None:
        """Told to leave: hands over first; one that failed just goes."""
        await self.stop.wait()
        if self.failed is None:
            self.leaving = True
            log_events.emit(105, self.settings.name)
            try:
                await asyncio.wait_for(self.depart(), self.leave_limit)
            except (TimeoutError, Stop):
                pass
        self.closed.set()

    async def guard(self, name: str, task: Task) -> None:
        """A task that ends with an error ends the daemon: better gone, and seen, than half alive."""
        try:
            await task
        except asyncio.CancelledError:
            raise
        except Stop as bad:
            self.failed = bad.fault
            log_events.emit(
                103, self.settings.name, task=name, step=bad.fault.step, peer=bad.fault.peer, why=bad.fault.why
            )
            self.stop.set()
            self.closed.set()
        except Exception as bad:
            self.failed = Fault(name, self.settings.name, repr(bad))
            log_events.emit(103, self.settings.name, task=name, why=repr(bad))
            logging.exception("task %s", name)
            self.stop.set()
            self.closed.set()

    # --- neighbours
    def word(self) -> MemberRecord:
        return self.partial_view.word(edition=self.configuration_view.revision)

    async def on_ping(self, body: Body) -> Result[Body, Fault]:
        """Answers for itself, or, asked to `reach` another, whether that one answers."""
        if "heights" in body:
            return Ok({"heights": self.heights})
        if "kept" in body:
            return Ok({"lots": self.kept_lots(int(body["kept"]))})
        if "fits" in body:
            return Ok({"flaws": self.fits(body["fits"])})
        if "reach" in body:
            if body.get("want", 0) > self.configuration_view.revision and body.get("at"):
                # Whom it reaches will fetch the edition from here.
                await self.fetch(body["at"], self.settings.bounds.beat)
            ask = {"want": body.get("want", 0), "at": self.settings.peer, "wait": self.settings.bounds.beat * 0.9}
            got = await self.peer_links.call(body["reach"], "ping", ask, self.settings.bounds.beat)
            if isinstance(got, Err):
                return Ok({"reached": False, "refused": got.unwrap_err().hint == "refused"})
            return Ok({"reached": True, "edition": got.unwrap()["edition"]})
        if body.get("want", 0) > self.configuration_view.revision:
            # Control has taken a newer edition and wants to know when it is in force here.
            self.spawn(self.fetch(body["at"]))
            await self.configuration_view.wait(
                body["want"] - 1, min(float(body["wait"]), self.settings.bounds.manifest)
            )
        return Ok({"name": self.settings.name, "inc": self.inc, "edition": self.configuration_view.revision, "release": self.release,
                   "ready": self.ready(), "leaving": self.leaving})  # fmt: skip

    # --- announced fleets
    def entry(self) -> Entry:
        return {
            "name": self.settings.name, "area": self.settings.zone, "peer": self.settings.peer, "http": self.settings.http,
            "duties": list(self.settings.duties) or ["control"], "born": self.inc, "disk": self.partial_view.me["disk"],
        }  # fmt: skip

    async def announce(self) -> None:
        """Tells control of this life until the manifest has it, and again should it be dropped from there."""
        b = self.settings.bounds
        while True:
            if placed(self.configuration_view.manifest, self.entry()):
                await self.configuration_view.wait(self.configuration_view.revision, b.recover)
                continue
            neighbours = [m.card["peer"] for _, m in sorted(self.partial_view.neighbours.items())]
            near = [a for a in dict.fromkeys([*self.sources(), *neighbours]) if a != self.settings.peer]
            if not near:
                await asyncio.sleep(b.beat / 2)
                continue
            # Two at once: one may be gone, and its silence must not hold this one up.
            asks = {
                a: self.peer_links.call(a, "join", {"entry": self.entry()}, b.follow * 2)
                for a in self.environment.chance.sample(near, min(2, len(near)))
            }
            heard = await gather_until(asks, lambda got: any(isinstance(g, Ok) for g in got.values()), 0.0)
            for addr, got in heard.items():
                if isinstance(got, Err) and got.unwrap_err().peer == addr:
                    self.missed[addr] = now()
                if isinstance(got, Ok) and got.unwrap()["edition"] > self.configuration_view.revision:
                    await self.configuration_view.wait(got.unwrap()["edition"] - 1, b.beat / 8)
                    if got.unwrap()["edition"] > self.configuration_view.revision:
                        await self.fetch(addr)
            if not placed(self.configuration_view.manifest, self.entry()):
                await asyncio.sleep(b.beat / 2 * (0.6 + 0.8 * self.environment.chance.random()))

    async def on_join(self, body: Body) -> Result[Body, Fault]:
        """One that knows no control machine asks any neighbour, which passes it on, once."""
        addr = next((a for a in self.sources() if a != self.settings.peer), "")
        if not addr or body.get("hop"):
            return Err(Fault("join", self.settings.name, "no control machine is known here", SHED))
        return await self.peer_links.call(addr, "join", body | {"hop": 1}, self.settings.bounds.follow)

    async def on_shuffle(self, body: Body) -> Result[Body, Fault]:
        self.word()
        self.meet(body["cards"])
        if body["cards"] and body["cards"][0]["edition"] > self.configuration_view.revision:
            # Whoever knows more has just reached this one: it can be asked, even if nobody else can.
            self.spawn(self.fetch(body["cards"][0]["peer"]))
        self.rise_to(body.get("heights", {}))
        return Ok(
            {
                "cards": self.partial_view.respond(body["cards"]),
                "edition": self.configuration_view.revision,
                "heights": self.heights,
            }
        )

    def kept_lots(self, part: int) -> list[str]:
        """Names of lots of a partition that this daemon knows to have been kept lately."""
        return []

    async def ask_kept(self, part: int) -> list[str]:
        """All such names that anyone knows; asked only after a loss."""
        configuration = self.configuration_view.manifest
        addrs = (
            [self.configuration_view.addr(n) for n in configuration["machines"] if n != self.settings.name]
            if configuration
            else []
        )
        got = await asyncio.gather(
            *(self.peer_links.call(a, "ping", {"kept": part}, self.settings.bounds.beat) for a in addrs if a)
        )
        return sorted({n for g in got if isinstance(g, Ok) for n in g.unwrap().get("lots", [])})

    def fits(self, raw: Any) -> list[str]:
        """What this release, with the plug-ins installed here, finds wrong with a manifest."""
        return check(raw).err() or []

    def meet(self, cards: list[MemberRecord]) -> None:
        """Does another process go by this one's name?"""
        for card in cards:
            if card["name"] == self.settings.name and card["peer"] != self.settings.peer:
                self.clash = f"{card['peer']} also calls itself {card['name']}"

    def rise_to(self, heights: dict[str, int]) -> None:
        """Invariant: heights never fall, and there are no more of them than partitions."""
        configuration = self.configuration_view.manifest
        for part, epoch in heights.items():
            if configuration is not None and part.isdigit() and int(part) < configuration["parts"]:
                self.heights[part] = max(self.heights.get(part, 0), int(epoch))

    def spawn(self, task: Task) -> None:
        made = asyncio.create_task(task)
        self.spawned.add(made)
        made.add_done_callback(self.spawned.discard)

    async def ask_heights(self) -> int:
        """Asks all machines for the heights they know; how many answered."""
        configuration = self.configuration_view.manifest
        addrs = (
            [self.configuration_view.addr(n) for n in configuration["machines"] if n != self.settings.name]
            if configuration
            else []
        )
        got = await asyncio.gather(
            *(self.peer_links.call(a, "ping", {"heights": 1}, self.settings.bounds.beat) for a in addrs if a)
        )
        for answer in got:
            if isinstance(answer, Ok):
                self.rise_to(answer.unwrap()["heights"])
        return sum(isinstance(g, Ok) for g in got)

    async def on_follow(self, body: Body) -> Result[Body, Fault]:
        poll = Poll.from_json(body)
        await self.configuration_view.wait(poll.after, poll.hold)
        return Ok(self.configuration_view.since(poll.after))

    async def gossip(self) -> None:
        """Shuffles with the oldest neighbour; a newer edition there is fetched from it."""
        b, namesake = self.settings.bounds, ""
        while True:
            await asyncio.sleep(b.follow * (0.7 + 0.6 * self.environment.chance.random()))
            self.word()
            # Where the manifest has another process by this one's name, that one is told, each other time.
            home = self.configuration_view.addr(self.settings.name) or self.settings.peer
            namesake = home if home not in (self.settings.peer, namesake) and not self.clash else ""
            if namesake:
                got = await self.peer_links.call(namesake, "shuffle", {"cards": [self.partial_view.me]}, b.follow)
                if isinstance(got, Ok):
                    self.meet(got.unwrap()["cards"])
                continue
            neighbour, offer = self.partial_view.begin()
            addr = neighbour.card["peer"] if neighbour else self.environment.chance.choice(self.settings.seeds)
            if addr == self.settings.peer:
                continue
            asked = now()
            got = await self.peer_links.call(addr, "shuffle", {"cards": offer, "heights": self.heights}, b.follow)
            self.shuffles.labels("ok" if isinstance(got, Ok) else "failed").inc()
            if isinstance(got, Err):
                if neighbour is not None:
                    self.spawn(self.doubt(neighbour.card["name"], addr))
                continue
            there = got.unwrap()
            self.meet(there["cards"])
            self.partial_view.take(there["cards"], offer[1:])
            self.rise_to(there.get("heights", {}))
            if there["edition"] > self.configuration_view.revision:
                await self.fetch(addr)
            self.configuration_view.hear(there["edition"], asked)

    async def doubt(self, name: str, addr: str) -> None:
        """A neighbour that doesn't answer is asked for through others before it is believed gone."""
        others = [m.card["peer"] for n, m in sorted(self.partial_view.neighbours.items()) if n != name]
        asked = self.environment.chance.sample(others, min(2, len(others)))
        got = await asyncio.gather(
            *(self.peer_links.call(o, "ping", {"reach": addr}, self.settings.bounds.beat * 2) for o in asked)
        )
        if not any(isinstance(g, Ok) and g.unwrap().get("reached") for g in got):
            self.partial_view.bury(name)

    async def fetch(self, addr: str, limit: float = 0.0) -> None:
        limit = limit or self.settings.bounds.manifest
        got = await self.peer_links.call(addr, "follow", Poll(self.configuration_view.revision).as_json(), limit)
        if isinstance(got, Ok) and not self.configuration_view.follow(got.unwrap()):
            again = await self.peer_links.call(addr, "follow", Poll(0).as_json(), self.settings.bounds.manifest)
            if isinstance(again, Ok):
                self.configuration_view.follow(again.unwrap())

    def sources(self) -> list[str]:
        """Whom to follow: the control machines, once they are known."""
        control = [
            a
            for n in self.configuration_view.duty("control")
            if n != self.settings.name and (a := self.configuration_view.addr(n))
        ]
        seeds = [s for s in self.settings.seeds if s != self.settings.peer]
        if not self.settings.announce:
            return control or seeds
        # Control machines come and go: those that did not answer lately stand back while others do.
        every, late = list(dict.fromkeys([*control, *seeds])), now() - self.settings.bounds.detect * 2
        return [a for a in every if self.missed.get(a, -1e9) < late] or every

    async def follow(self) -> None:
        """Follows the numbered feed from the own place on, turning from one source to the next."""
        b, chance = self.settings.bounds, self.environment.chance
        rotation = Rotation(chance.randrange(64))
        while True:
            sources = self.sources()
            addr = rotation.next(sources)
            if not addr:
                await asyncio.sleep(b.follow)
                continue
            poll = Poll(self.configuration_view.revision, b.follow * (1 + chance.random()), self.settings.name)
            if await self.poll(addr, poll, rotation):
                rotation.answered()
            elif rotation.exhausted(sources):
                # No source is in touch; perhaps none can be. A neighbour may know more.
                await self.fetch_from_neighbour(sources)
                await asyncio.sleep(rotation.pause(b.follow) * (0.8 + 0.4 * chance.random()))

    async def poll(self, addr: str, poll: Poll, rotation: Rotation) -> bool:
        """One poll of the feed; True if the source is in touch and what it gave was taken."""
        asked = now()
        got = await self.peer_links.call(addr, "follow", poll.as_json(), poll.hold + self.settings.bounds.follow)
        if isinstance(got, Err):
            self.missed[addr] = now()
            self.polls.labels("failed").inc()
            rotation.failed_at(addr)
            return False
        body = got.unwrap()
        stale = Stale.from_json(body)
        self.polls.labels("stale" if stale else "ok").inc()
        if stale:
            rotation.failed_at(addr, (a for a in stale.others if a != self.settings.peer))
            if stale.version > self.configuration_view.revision and rotation.exhausted(self.sources()):
                await self.fetch(addr)
        elif not self.configuration_view.follow(body):
            await self.fetch(addr)
        self.configuration_view.hear(body["edition"], asked)
        return stale is None

    async def fetch_from_neighbour(self, sources: list[str]) -> None:
        neighbours = [
            m.card["peer"] for _, m in sorted(self.partial_view.neighbours.items()) if m.card["peer"] not in sources
        ]
        if neighbours:
            await self.fetch(self.environment.chance.choice(neighbours), self.settings.bounds.follow / 2)

    async def learn(self, addrs: list[str]) -> int:
        """Asks many which edition they run, and fetches the newest; how many answered."""
        asked = now()
        got = await asyncio.gather(*(self.peer_links.call(a, "ping", {}, self.settings.bounds.follow) for a in addrs))
        seen = {a: g.unwrap()["edition"] for a, g in zip(addrs, got, strict=True) if isinstance(g, Ok)}
        best = max(seen, key=lambda a: seen[a], default="")
        if best and seen[best] > self.configuration_view.revision:
            await self.fetch(best)
        if best:
            self.configuration_view.hear(seen[best], asked)
        return len(seen)

    async def listen(self) -> None:
        """Notices that nobody is heard any more: asks around before it is too late, and tells when it is."""
        b = self.settings.bounds
        told = False
        while True:
            await asyncio.sleep(b.deaf / 4)
            configuration = self.configuration_view.manifest
            if configuration is not None and now() - self.configuration_view.heard > b.deaf / 2:
                others = sorted(
                    m["peer"]
                    for n, m in configuration["machines"].items()
                    if n != self.settings.name and not m.get("gone")
                )
                await self.learn(self.environment.chance.sample(others, min(len(others), 16)))
            deaf = configuration is not None and now() - self.configuration_view.heard > b.deaf
            if deaf != told:
                told = deaf
                log_events.emit(143, self.settings.name, hears="nobody" if deaf else "others")

    async def freshen(self) -> None:
        """Before a started daemon serves: what it knows must be no older than what was in force at its start.

        Control confirms the edition in force by a round trip between its machines. Without control, an edition
        that was acknowledged runs at all that serve: more than half of the other machines are asked for theirs.
        """
        b = self.settings.bounds
        began = now()
        while not self.configuration_view.fresh:
            # A few are asked at once, and hold the question until there is a primary that confirms.
            sources = self.sources()
            near = self.environment.chance.sample(sources, min(3, len(sources)))
            ask = {"brief": 1, "wait": b.follow}
            asks = {a: self.peer_links.call(a, "read", ask, b.follow * 1.5) for a in near}
            heard = await gather_until(asks, lambda got: any(isinstance(g, Ok) for g in got.values()), 0.0)
            for addr, got in heard.items():
                if isinstance(got, Ok):
                    revision = got.unwrap()["edition"]
                    if revision > self.configuration_view.revision:
                        await self.fetch(addr, b.follow)
                    self.configuration_view.fresh = revision <= self.configuration_view.revision
            if self.configuration_view.fresh:
                break
            await asyncio.sleep(b.follow / 4 * (0.8 + 0.4 * self.environment.chance.random()))
            configuration = self.configuration_view.manifest
            if configuration is not None and not self.configuration_view.fresh and now() - began > b.manifest:
                others = [
                    m["peer"]
                    for n, m in configuration["machines"].items()
                    if n != self.settings.name and not m.get("gone")
                ]
                revision = self.configuration_view.revision
                self.configuration_view.fresh = (
                    2 * await self.learn(others) > len(others) and revision == self.configuration_view.revision
                )
        log_events.emit(
            142, self.settings.name, revision=self.configuration_view.revision, after=f"{now() - began:.2f}"
        )

    # --- operators
    async def http_health(self, _request: Request) -> Response:
        return JSONResponse({"name": self.settings.name, "status": "serving", "release": self.release})

    async def http_ready(self, _request: Request) -> Response:
        lack = self.ready()
        heads = {"retry-after": "1"} if lack else {}
        return JSONResponse({"ready": not lack, "lack": lack}, 503 if lack else 200, headers=heads)

    async def http_metrics(self, _request: Request) -> Response:
        return PlainTextResponse(generate_latest(self.registry), media_type="text/plain; version=0.0.4")

    async def http_status(self, _request: Request) -> Response:
        return JSONResponse({
            "name": self.settings.name, "area": self.settings.zone, "peer": self.settings.peer, "http": self.settings.http,
            "duties": list(self.settings.duties), "release": self.release, "edition": self.configuration_view.revision,
            "fresh": self.configuration_view.fresh, "leaving": self.leaving, "deaf": self.configuration_view.manifest is not None and now() - self.configuration_view.heard > self.settings.bounds.deaf,
            "up": round(now() - self.started, 3), "ready": self.ready(), "clash": self.clash,
            "neighbours": sorted(self.partial_view.neighbours), **await self.more_status(),
        })  # fmt: skip


def run_daemon(make: Callable[[], Daemon], handle: Callable[[Daemon], Awaitable[None]] | None = None) -> int:
    """Runs a daemon until SIGTERM or SIGINT; the exit code says whether it went well."""
    code = 0

    async def main() -> None:
        nonlocal code
        daemon = make()
        loop = asyncio.get_running_loop()

        def leave(name: str) -> None:
            log_events.emit(101, daemon.settings.name, signal=name)
            daemon.stop.set()

        for sig in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sig, leave, sig.name)
        loop.add_signal_handler(signal.SIGHUP, daemon.reread)
        try:
            await daemon.run()
        except OSError as bad:
            logging.error("%s cannot start: %s", daemon.settings.name, bad)
            code = 1
        except Stop as bad:
            logging.error("%s left: %s", daemon.settings.name, bad)
            code = 3
        if daemon.failed is not None:
            logging.error("%s left: %s", daemon.settings.name, daemon.failed)
            code = 3

    asyncio.run(main())
    return code

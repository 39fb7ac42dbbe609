"""A second loss at a step of a change of members, on a small announced fleet.

A run begins a change (`Step`), lets a second loss (`Loss`) strike another machine, lets power fail everywhere at the
end, with or without one more loss, and then tells what of the acknowledged was lost.
"""

from __future__ import annotations

import asyncio
import contextvars
import multiprocessing
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import fire

from postpass.daemon.data_plane import DataPlane
from postpass.membership.safe_change import Tolerance, Topology, keeps_majority_after_loss
from postpass.replication.partition import Partition
from postpass.replication.store import Store
from sim.disk import SimDisk
from sim.loop import SimLoop, run_sim
from sim.points import Point, Points, hit
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

KINDS = ("kill", "power", "wipe", "freeze", "cut")
SYNC = 5.0  # `bounds.sync` of the fleet
DETECT = 1.5  # `bounds.detection_time`
RECOVER = 12.0  # `bounds.recover`
PARTS = 8  # partitions of the fleet
MOST_AWAY = 60.0  # longer than any loss lasts
INSTANT = 0.0001  # how often the moment is looked for at which power fails: shorter than a way through the network


@dataclass(frozen=True)
class Loss:
    """One machine is lost `after` seconds from the step's start, or from when a retirement is `done`, and is back `down`
    seconds later."""

    kind: str
    victim: str  # a name, or a role: primary, backup, witness, owner, mirror, joined, left, last owner
    after: float
    down: float
    since: str = "start"


@dataclass(frozen=True)
class Drill:
    """One run. `step` is the change under way; `point` strikes the loss at that numbered point instead of a time."""

    step: str
    loss: Loss | None = None
    second: Loss | None = None
    last_wipe: str = ""  # who also loses its disk in the loss of power at the end
    settle: float = SYNC + 1.0  # between the last machine's return and the loss of power of all
    point: int = 0
    power_at_complete: bool = False  # power fails the moment all partitions count the step as repaired
    evacuated: str = ""  # an area whose stores own nothing, from before the step on
    quiet: bool = False  # no lots are written from the step on
    seed: int = 1
    control: int = 4
    stores: int = 4
    edges: int = 1
    lost: int = 1


@dataclass(eq=False)
class Verdict:
    """What a run showed. Invariant: `flaws` is empty if everything that must hold did."""

    flaws: list[str] = field(default_factory=list)
    points: list[tuple[float, Point]] = field(default_factory=list)
    began: float = 0.0
    repaired: float = 0.0  # how long after that all partitions were complete, where a drill waits for it
    notes: list[str] = field(default_factory=list)


def store_of(fleet: Fleet, name: str) -> Store | None:
    """The store of a machine that is up."""
    daemon = fleet.nodes[name].daemon
    return daemon.store if isinstance(daemon, DataPlane) and not fleet.nodes[name].host.frozen else None


def owners(fleet: Fleet) -> dict[int, tuple[str, Partition]]:
    """Who owns each partition and is ready, by the highest epoch."""
    out: dict[int, tuple[str, Partition]] = {}
    for name in fleet.nodes:
        store = store_of(fleet, name)
        for part in store.partitions.values() if store is not None else ():
            if part.ready and (part.id not in out or part.epoch > out[part.id][1].epoch):
                out[part.id] = (name, part)
    return out


def store_names(fleet: Fleet) -> list[str]:
    return [n for n, x in fleet.nodes.items() if "store" in x.settings.duties]


@dataclass(eq=False)
class Run:
    """The state of one run: the fleet, what was acknowledged, and who is away."""

    fleet: Fleet
    drill: Drill
    verdict: Verdict = field(default_factory=Verdict)
    version: int = 0  # highest acknowledged configuration
    sent: int = 0
    kept: dict[str, int] = field(default_factory=dict)  # lot -> partition, acknowledged
    lots: int = 0
    joined: str = ""
    left: str = ""
    last_owner: str = ""  # who owned the partition that was complete last
    gone: set[str] = field(default_factory=set)
    writing: bool = True
    away: int = 0
    out: set[str] = field(default_factory=set)  # frozen or cut off
    retired: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def clock(self) -> float:
        return self.fleet.loop.clock

    def flaw(self, text: str) -> None:
        self.verdict.flaws.append(f"at {self.clock:.2f}: {text}")

    # --- writers
    async def write_configurations(self) -> None:
        """An operator that changes the configuration twice a second, at any control machine that is up."""
        turn = 0
        while self.writing:
            names = [
                c.settings.name for c in self.fleet.controls() if not self.fleet.nodes[c.settings.name].host.frozen
            ]
            if names:
                self.sent += 1
                number, base, turn = self.sent, self.version, turn + 1
                await self.configure(names[turn % len(names)], number, base)
            await asyncio.sleep(0.5)

    async def configure(self, via: str, number: int, base: int) -> None:
        try:
            got = await asyncio.wait_for(
                self.fleet.ask(via, lambda c: c.apply_document(document(number), base)), timeout=4.0
            )
        except (TimeoutError, AttributeError):
            return
        if got.is_ok():
            self.version = max(self.version, number)
        elif got.unwrap_err().hint.isdigit() and int(got.unwrap_err().hint) > base:
            self.version = max(self.version, int(got.unwrap_err().hint))  # an unclear one came to be

    async def write_lots(self) -> None:
        """A caller that hands in a lot every fifth of a second, each to another partition."""
        while self.writing and not (self.drill.quiet and self.verdict.began):
            self.lots += 1
            lot, number = f"lot{self.lots}", self.lots % 8
            owner = owners(self.fleet).get(number)
            if owner is not None:
                self.fleet.loop.create_task(self.submit(owner[0], lot, number))
            await asyncio.sleep(0.2)

    async def submit(self, owner: str, lot: str, number: int) -> None:
        body = {"id": lot, "class": "plain", "items": ["x" * 500], "due": 9e9, "caller": ""}
        ask = {"part": number, "lot": body, "wait": 3.0}
        try:
            got = await asyncio.wait_for(self.fleet.ask(owner, lambda d: d.store.jobs.on_submit(ask)), timeout=4.0)
        except (TimeoutError, AttributeError):
            return
        if got.is_ok():
            self.kept[lot] = number

    # --- losses
    def named(self, role: str) -> str:
        """The machine that a role names now."""
        primary = self.fleet.primary()
        if role in ("primary", "backup", "witness"):
            if primary is None:
                return ""
            if role == "primary":
                return primary.settings.name
            others = [
                c.settings.name
                for c in self.fleet.controls()
                if c.settings.name not in primary.replicated_state.replica_set
            ]
            return primary.replicated_state.replica_set.backup if role == "backup" else next(iter(sorted(others)), "")
        if role in ("owner", "mirror"):
            owner = owners(self.fleet).get(0)
            if owner is None:
                return ""
            mirrors = [n for n in sorted(owner[1].view.members) if n != owner[0] and n in self.fleet.up()]
            return owner[0] if role == "owner" else next((n for n in mirrors if n != self.joined), "")
        return {"joined": self.joined, "left": self.left, "last owner": self.last_owner}.get(role, role)

    def strike(self, kind: str, name: str, down: float) -> None:
        """Loses a machine now, and has it back `down` seconds later."""
        node = self.fleet.nodes.get(name)
        if node is None or name in self.gone or node.host.dead or node.host.frozen:
            return
        self.away += 1
        self.verdict.notes.append(f"{self.clock:.2f} {kind} {name} for {down}")
        loop = self.fleet.loop
        if kind == "freeze":
            loop.freeze(node.host)
            self.out.add(name)
            self.later(down, lambda: self.thaw(name))
        elif kind == "cut":
            loop.net.cuts.update(self.ways(name))
            self.out.add(name)
            self.later(down, lambda: self.heal(name))
        else:
            self.stop(name, kind)
            self.later(down, lambda: self.boot(name))

    def ways(self, name: str) -> list[tuple[str, str]]:
        """All ways to and from a machine."""
        return [way for other in self.fleet.nodes if other != name for way in ((name, other), (other, name))]

    def thaw(self, name: str) -> None:
        self.fleet.loop.thaw(self.fleet.nodes[name].host)
        self.out.discard(name)

    def heal(self, name: str) -> None:
        self.fleet.loop.net.cuts.difference_update(self.ways(name))
        self.out.discard(name)

    def stop(self, name: str, kind: str) -> None:
        node = self.fleet.nodes[name]
        self.fleet.kill(name, silent=kind != "kill")
        if kind == "power" and node.disk is not None:
            node.disk.power_off()
        if kind == "wipe" and node.disk is not None:
            node.disk = SimDisk(random.Random(f"{name}{self.clock}"))

    def boot(self, name: str) -> None:
        node = self.fleet.nodes[name]
        if name not in self.gone and node.host.dead:
            node.settings = replace(node.settings, bootstrap=False)
            self.fleet.boot(name)

    def later(self, delay: float, act: Callable[[], None]) -> None:
        async def run() -> None:
            await asyncio.sleep(delay)
            act()
            self.away -= 1

        # Outside the struck host's own context, or the task would die with it when it strikes itself at one of its
        # points.
        self.fleet.loop.create_task(run(), context=contextvars.Context())

    async def lose(self, loss: Loss) -> None:
        if loss.since == "done":
            await self.retired.wait()
        await asyncio.sleep(loss.after)
        name = ""
        while not name and self.writing:
            name = self.named(loss.victim)
            if not name:
                await asyncio.sleep(0.05)
        self.strike(loss.kind, name, loss.down)

    # --- the steps
    def live_seeds(self) -> list[str]:
        return [c.settings.peer for c in self.fleet.controls()][:3]

    def add(self, kind: str, zone: str) -> str:
        number = len(self.fleet.nodes)
        name, net = f"n{number}", {"control": 0, "store": 1}[kind]
        self.fleet.add(name, kind, zone, f"10.{net}.{20 + number}.1", seeds=self.live_seeds())
        self.joined = name
        return name

    def remove(self, name: str) -> None:
        """The machine goes for good, with its disk."""
        self.gone.add(name)
        self.left = name
        self.fleet.kill(name, silent=True)

    async def term(self, name: str, grace: float = 8.0) -> None:
        """SIGTERM, and SIGKILL after the grace time."""
        node = self.fleet.nodes[name]
        if node.daemon is None:
            return
        node.daemon.stop.set()
        await self.fleet.until(lambda: node.host.dead, grace)

    async def take_step(self, step: str) -> None:
        """Begins the change of members; returns once what the operator does for it is done."""
        verb, _, role = step.partition(" ")
        if verb in KINDS:
            kind, _, name = step.partition(" ")
            role, _, down = name.partition(" ")
            self.strike(kind, self.named(role), float(down or 1.0))
        elif verb == "replace":  # lost for good; an empty one comes at another address
            old = self.named(role)
            zone, kind = (
                self.fleet.nodes[old].settings.zone,
                "store" if self.fleet.nodes[old].settings.duties else "control",
            )
            self.remove(old)
            await asyncio.sleep(1.0)
            self.add(kind, zone)
        elif verb == "planned":  # the new one first; then the old one is told to leave, and removed
            old = self.named(role)
            zone, kind = (
                self.fleet.nodes[old].settings.zone,
                "store" if self.fleet.nodes[old].settings.duties else "control",
            )
            self.add(kind, zone)
            await asyncio.sleep(SYNC)
            await self.term(old)
            self.remove(old)
        elif verb == "retire":
            await self.retire(self.named(role))
        elif verb == "refill":
            self.strike("wipe", self.named(role), 0.5)

    async def retire(self, name: str) -> None:
        """Asks until it is done, then removes the machine with its disk at once."""
        asked = False
        while self.writing:
            up = [c.settings.name for c in self.fleet.controls() if not self.fleet.nodes[c.settings.name].host.frozen]
            if up:
                via = up[0]
                verb = "query_retirement" if asked else "retire"
                present = self.disks_there()
                try:
                    got = await asyncio.wait_for(self.fleet.ask(via, lambda c, v=verb: getattr(c, v)(name)), 4.0)  # type: ignore[misc]
                except (TimeoutError, AttributeError):
                    got = None
                if got is not None and got.is_ok():
                    if asked and got.unwrap()["done"]:
                        self.verdict.notes.append(f"{self.clock:.2f} {name} is done")
                        self.check_borne_without(name, present)
                        self.remove(name)
                        self.retired.set()
                        return
                    asked = True
            await asyncio.sleep(0.1)

    def disks_there(self) -> dict[str, str]:
        """The disks of the stores that are up and not cut off, by name."""
        stores = {name: store_of(self.fleet, name) for name in store_names(self.fleet) if name not in self.out}
        return {name: store.disk_id for name, store in stores.items() if store is not None}

    def check_borne_without(self, name: str, when_asked: dict[str, str]) -> None:
        """A store may go for good: by the disks that are really there, is the next loss borne in each partition?

        The answer was true if it was so at some moment between the question and the answer: a loss that strikes after
        the question is itself the next loss."""
        zones = {n: x.settings.zone for n, x in self.fleet.nodes.items()}
        topology = Topology(zones, Tolerance(self.drill.lost, 1))
        moments = (when_asked, self.disks_there())
        for number, (_, part) in owners(self.fleet).items():
            crew = part.view.members
            lives = [{n for n, disk in crew.items() if n != name and there.get(n) == disk} for there in moments]
            if not any(keeps_majority_after_loss(crew, live, topology) for live in lives):
                self.flaw(f"{name} was done though only {sorted(lives[-1])} of {sorted(crew)} hold {number}")

    # --- the course of a run
    async def play(self) -> Verdict:
        f, drill = self.fleet, self.drill
        f.loop.points = Points()
        if await f.until(f.joined, 10) < 0:
            self.flaw("the fleet was not founded")
            return self.verdict
        f.first = False
        writers = [f.loop.create_task(self.write_configurations()), f.loop.create_task(self.write_lots())]
        if drill.evacuated:
            await f.ask("c1", lambda c: c.evacuate(drill.evacuated, True))
        await asyncio.sleep(4.0)
        for node in f.nodes.values():
            if node.disk is not None:
                node.disk.tap = hit
        self.verdict.began = self.clock
        f.loop.points.watchers.append(self.seen)
        step = f.loop.create_task(self.take_step(drill.step))
        losses = [f.loop.create_task(self.lose(x)) for x in (drill.loss, drill.second) if x and not drill.point]
        await asyncio.gather(*losses)
        # A retirement may wait for the machine that is away.
        await f.until(lambda: step.done() and self.away == 0 and (not drill.point or self.struck), MOST_AWAY)
        if drill.power_at_complete:
            await self.wait_for_complete()
            self.writing = False
        else:
            await asyncio.sleep(drill.settle)
            await self.check_serving("after the loss", 0.0)
            self.writing = False
            await asyncio.gather(*writers)
            await asyncio.sleep(0.1)
        await self.fail_power()
        await self.check_serving("after the loss of power of all", RECOVER)
        await self.check_kept()
        return self.verdict

    struck: bool = False

    def seen(self, point: Point) -> None:
        self.verdict.points.append((self.clock, point))
        loss = self.drill.loss
        if loss is not None and point.number == self.drill.point:
            self.struck = True
            self.strike(loss.kind, self.named(loss.victim), loss.down)

    def incomplete(self) -> list[int]:
        """The partitions that don't tell yet that all machines which are up are members again and whole."""
        there = {n: s.disk_id for n in store_names(self.fleet) if (s := store_of(self.fleet, n)) is not None}
        mine = owners(self.fleet)
        out = []
        for number in range(PARTS):
            name, part = mine.get(number, ("", None))
            store = store_of(self.fleet, name) if name else None
            if part is None or store is None or part.view.members != there or not store.complete(part):
                out.append(number)
        return out

    async def wait_for_complete(self) -> None:
        """Until every partition is complete; `self.last_owner` owns the one that was last."""
        began, waiting = self.clock, self.incomplete()
        while waiting and self.clock - began < MOST_AWAY:
            await asyncio.sleep(INSTANT)
            now_waiting = self.incomplete()
            if not now_waiting:
                self.last_owner = owners(self.fleet)[waiting[-1]][0]
                self.verdict.repaired = self.clock - self.verdict.began
            waiting = now_waiting
        if waiting:
            self.flaw(f"partitions {waiting} are never complete")

    async def fail_power(self) -> None:
        f, lost = self.fleet, self.named(self.drill.last_wipe) if self.drill.last_wipe else ""
        self.verdict.notes.append(f"{self.clock:.2f} power of all, wiped: {lost or 'none'}")
        for name in f.nodes:
            f.kill(name, silent=True)
        for name, node in f.nodes.items():
            if node.disk is not None:
                node.disk.power_off()
            if name == lost:
                node.disk = SimDisk(random.Random(name + "last"))
        await asyncio.sleep(1.0)
        for name in f.nodes:
            self.boot(name)

    def serving(self) -> bool:
        return self.fleet.primary() is not None and len(owners(self.fleet)) == PARTS

    async def check_serving(self, when: str, limit: float) -> None:
        took = await self.fleet.until(self.serving, max(limit, RECOVER))
        if took < 0:
            lead, mine = self.fleet.primary(), owners(self.fleet)
            lacks = [n for n in range(PARTS) if n not in mine]
            self.flaw(f"{when}: not serving: primary {lead.settings.name if lead else 'none'}, no owner of {lacks}")

    async def check_kept(self) -> None:
        """Is everything that was acknowledged there, and was no loss told?"""
        f = self.fleet
        lead = f.primary()
        if lead is not None:
            there = lead.replicated_state.state.configuration.get("version", 0)
            if there < self.version:
                self.flaw(f"configuration {there}, but {self.version} was acknowledged")
            if lead.replicated_state.state.losses:
                self.flaw(f"control tells {lead.replicated_state.state.losses} losses")
        mine = owners(f)
        lost = [lot for lot, n in self.kept.items() if n in mine and lot not in mine[n][1].view.jobs]
        if lost:
            self.flaw(f"{len(lost)} of {len(self.kept)} lots are gone: {lost[:5]}")
        told = {n: p.view.losses for n, (_, p) in mine.items() if p.view.losses}
        if told:
            self.flaw(f"partitions tell losses: {told}")
        self.verdict.notes.append(f"{len(self.kept)} lots, configuration {self.version}")


def play(drill: Drill) -> Verdict:
    """Plays one run."""

    async def main(loop: SimLoop) -> Verdict:
        fleet = Fleet(loop, control=drill.control, stores=drill.stores, edges=drill.edges, lost=drill.lost)
        fleet.start()
        return await Run(fleet, drill).play()

    verdict: Any = run_sim(main, drill.seed)
    assert isinstance(verdict, Verdict)
    return verdict


# Heartbeats and the feed: met all the time, whether or not members change.
NOISE = ("shuffle", "follow", "ping", "hear", "floor", "join", "beat", "order", "copy", "look")
LENGTHS = (DETECT / 10, 1.0, DETECT, SYNC, 10 * SYNC)  # for how long the second machine is away


def points_of(step: str, window: float = 2.5, **sizes: int) -> list[int]:
    """The numbers of the points that control machines and stores pass while a step is under way."""
    verdict = play(Drill(step, **sizes))  # type: ignore[arg-type]
    return [
        point.number
        for at, point in verdict.points
        if at - verdict.began <= window and point.host[:1] in "csn" and point.name.partition(".")[2] not in NOISE
    ]


def every_drill(step: str, every: int = 1, **sizes: int) -> list[Drill]:
    """A loss of each kind, of each role, at every n-th point of a step; its length goes through all in turn."""
    roles = ("owner", "mirror", "primary", "backup", "witness")
    out: list[Drill] = []
    for point in points_of(step, **sizes)[::every]:
        for kind in KINDS:
            for role in roles:
                down = LENGTHS[len(out) % len(LENGTHS)]
                wiped = ("", "primary", "mirror")[len(out) % 3]
                out.append(Drill(step, Loss(kind, role, 0.0, down), point=point, last_wipe=wiped, **sizes))  # type: ignore[arg-type]
    return out


def attempt(drill: Drill) -> tuple[Drill, list[str], list[str]]:
    """A run, with an error of the run itself as a flaw."""
    try:
        verdict = play(drill)
    except Exception as bad:
        return drill, [f"the run itself failed: {bad!r}"], []
    return drill, verdict.flaws, verdict.notes


def drills(step: str = "retire s4", every: int = 1, jobs: int = 2, most: int = 0) -> int:
    """Plays a second loss at the points of a step; exit 1 if anything was lost or didn't serve again.

    Args:
      step: the change of members, such as `retire s4`, `replace mirror`, `refill owner`, `planned primary`.
      every: at every n-th point; 1 for all.
      jobs: how many runs at a time.
      most: at the most so many runs, spread; 0 for all.
    """
    todo = every_drill(step, every)
    if most and len(todo) > most:
        todo = [todo[i * len(todo) // most] for i in range(most)]
    failed = 0
    with multiprocessing.Pool(jobs, maxtasksperchild=30) as pool:
        for drill, flaws, notes in pool.imap_unordered(attempt, todo, chunksize=2):
            if flaws:
                failed += 1
                print(drill, *flaws, *notes, sep="\n    ", flush=True)
    print(f"{step}: {len(todo)} runs, {failed} failed")
    return int(failed > 0)


if __name__ == "__main__":
    sys.exit(fire.Fire(drills))

"""The control plane: one process a control machine. It always holds epochs, and at times the manifest as
primary or backup: the primary syncs, writes to the backups, which sync, and only then answers."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from prometheus_client import Gauge
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from postpass import events, roster
from postpass.config import Config
from postpass.daemon import Daemon, Task
from postpass.disk import Disk
from postpass.epochs import Pair, Voters, Witness, backups_of, majority, may_lead
from postpass.fault import BAD, BROKE, CLASH, LACK, MOVED, OLD, SHED, SLOW, Fault, Stop
from postpass.manifest import Manifest, check, deep_flaws, dump, members, shape, with_duty
from postpass.roster import Entry, Standing, State, Translator
from postpass.vault import open_vault
from postpass.wire import RELEASE, Body, PeerResponse
from postpass.world import World, hear, now

Fold = Callable[[State], Result[State, Fault]]


@dataclass(eq=False)
class Edit:
    """A change of the state that waits to be written, with others. Invariant: `fold` gives the same when it is laid on a
    state that has it already."""

    fold: Fold
    done: asyncio.Future[Result[int, Fault]]


@dataclass(frozen=True)
class Held:
    """What this machine keeps of the state. Invariant: `whole` is the epoch whose state this is, all of it;
    it is set only by that epoch's primary, here or over the copy link."""

    whole: int = 0
    pair: Pair = Pair()
    state: State = State()

    def raw(self) -> Body:
        """As JSON has it; shares what it can with this one."""
        return {"whole": self.whole, "pair": asdict(self.pair), "state": dict(vars(self.state))}

    def dump(self) -> bytes:
        body = json.dumps(self.raw(), separators=(",", ":"))
        return json.dumps({"sum": hashlib.sha256(body.encode()).hexdigest(), "body": body}).encode()

    @classmethod
    def load(cls, data: bytes) -> Held:
        raw = json.loads(data)
        if hashlib.sha256(raw["body"].encode()).hexdigest() != raw["sum"]:
            raise ValueError("the sum doesn't match")
        body = json.loads(raw["body"])
        return cls(body["whole"], Pair.of(body["pair"]), State(**body["state"]))


INFINITY = float("inf")


@dataclass(eq=False)
class Control(Daemon):
    """Invariants: writes go one at a time under `lock`; `epoch` > 0 only while this is the primary of it;
    what `news` holds was on the disks of all holders."""

    witness: Witness = Witness()
    held: Held = Held()
    disk_id: str = ""
    epoch: int = 0
    heard: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    disk_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    bad: str = ""

    def __init__(self, conf: Config, world: World, release: str = "", translator: Translator | None = None) -> None:
        super().__init__(conf, world, release or RELEASE)
        self.translator = translator
        self.edits: list[Edit] = []
        self.due, self.hurry = INFINITY, asyncio.Event()
        # What was heard last, by this machine's clock: workers and machines that spoke here or at another control
        # machine; when a machine's name was first heard; and, here alone, the primary's last word.
        self.beats: dict[str, float] = {}
        self.seqnos: dict[str, int] = {}
        self.spoke: dict[str, float] = {}
        self.met: dict[str, float] = {}
        self.since = self.touched = 0.0
        self.leader = ""
        self.witness, self.held, self.disk_id, self.epoch = Witness(), Held(), "", 0
        self.heard = 0.0
        self.copied: dict[str, float] = {}  # when each backup last answered
        # When a primary was last heard in this life, and who waits for one.
        self.led, self.led_now = -INFINITY, asyncio.Event()
        self.sure_next: asyncio.Task[int] | None = None
        self.sure_lock = asyncio.Lock()
        self.lock, self.disk_lock, self.bad = asyncio.Lock(), asyncio.Lock(), ""
        self.fetches: set[asyncio.Task[Any]] = set()

        for name, text, read in (
            ("control_leads", "1 while this machine is the primary", lambda: float(self.epoch > 0)),
            ("control_epoch", "The epoch last granted here", lambda: float(self.witness.pair.epoch)),
            (
                "control_losses",
                "How often acknowledged editions may have been lost",
                lambda: float(self.held.state.losses),
            ),
        ):
            Gauge(f"postpass_{name}", text, registry=self.registry).set_function(read)

    @property
    def disk(self) -> Disk:
        assert self.world.disk is not None
        return self.world.disk

    async def open(self) -> None:
        vault = await open_vault(self.conf.name, self.disk, self.world.chance, 1 << 16, 0)
        self.disk_id = vault.name
        names = self.disk.names()
        try:
            if not vault.fresh and "epochs" in names:
                self.witness = Witness.load(self.disk.read("epochs"))
            if not vault.fresh and "state" in names:
                self.held = Held.load(self.disk.read("state"))
        except (ValueError, KeyError, TypeError) as bad:
            events.emit(112, self.conf.name, why=repr(bad))
            for name in ("identity", "epochs", "state"):
                if name in self.disk.names():
                    self.disk.rename(name, f"damaged-{name}")
            self.witness, self.held = Witness(), Held()
            self.disk_id = (await open_vault(self.conf.name, self.disk, self.world.chance, 1 << 16, 0)).name
        if self.held.state.manifest is not None:
            # An older edition is better than none to find the others by; it may be behind, never ahead
            # of what this pair's disk took.
            self.seen = self.held.state.manifest
        self.circle.me["disk"] = self.disk_id
        self.heard = now()

    seen: Manifest | None = None

    def handlers(self) -> dict[str, Any]:
        return {"look": self.on_look, "grant": self.on_grant, "copy": self.on_copy, "apply": self.on_apply,
                "read": self.on_read, "adopt": self.on_adopt, "hear": self.on_hear,
                "join": self.onward("join"), "beat": self.onward("beat"), "order": self.onward("order")}  # fmt: skip

    def onward(self, verb: str) -> Callable[[Body], Any]:
        """The handler of a verb that any control machine takes and the primary does."""

        async def handle(body: Body) -> PeerResponse:
            if body.get("passed"):
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.pass_on(verb, body, self.conf.bounds.manifest / 4)

        return handle

    def ways(self) -> list[Any]:
        return [Route("/v1/manifest", self.http_manifest, methods=["GET", "PUT"])]

    def tasks(self) -> list[Task]:
        return [self.tick(), self.rise(), *([self.found(), self.write(), self.report()] if self.conf.announce else [])]

    # --- the witnesses' part
    async def keep(self, name: str, data: bytes) -> None:
        if self.bad:
            raise Stop(Fault("sync", self.conf.name, self.bad))
        try:
            async with self.disk_lock:
                await self.disk.write(name, data)
        except OSError as bad:
            if bad.errno == 28:
                raise Stop(Fault("sync", self.conf.name, f"{name}: {bad.strerror}")) from bad
            self.bad = f"{name}: {bad.strerror}"
            events.emit(113, self.conf.name, why=self.bad)
            self.failed = Fault("sync", self.conf.name, self.bad)
            self.stop.set()
            self.closed.set()
            raise Stop(self.failed) from bad

    def about(self) -> Body:
        return {
            "disk": self.disk_id, "promised": self.witness.promised, "pair": asdict(self.witness.pair),
            "whole": self.held.whole, "edition": self.held.state.edition, "news": self.news.edition,
        }  # fmt: skip

    async def on_look(self, body: Body) -> PeerResponse:
        if body.get("probe"):
            # Would this one back a new primary? Not while it hears the present one.
            alive = self.epoch > 0 or now() - self.led < self.conf.bounds.detect * 0.9
            return Ok(self.about() | {"ok": not alive})
        new = self.witness.look(body["epoch"], body["who"])
        if new is None:
            return Ok(self.about() | {"ok": False})
        # Whoever asks may soon lead: this one's own try can wait for that.
        self.heard = max(self.heard, now() - self.conf.bounds.detect + self.conf.bounds.promise)
        return await self.promise(new)

    async def on_grant(self, body: Body) -> PeerResponse:
        new = self.witness.grant(Pair.of(body["pair"]), body["who"])
        if new is None:
            return Ok(self.about() | {"ok": False})
        self.heard = self.led = now()
        return await self.promise(new)

    async def promise(self, new: Witness) -> PeerResponse:
        self.witness = new
        if self.epoch and new.promised > self.epoch:
            self.fall(new.promised)
        try:
            await self.keep("epochs", new.dump())
        except Stop as bad:
            return Err(bad.fault)
        return Ok(self.about() | {"ok": self.witness == new})

    def fall(self, seen: int) -> None:
        if self.epoch:
            events.emit(131, self.conf.name, epoch=self.epoch, seen=seen)
        self.epoch = 0
        self.heard = now()

    # --- the pair
    async def on_copy(self, body: Body) -> PeerResponse:
        """From the primary to its backup: the state to sync, or just a round trip under the epoch."""
        if body["epoch"] < self.witness.promised:
            return Ok({"ok": False, "promised": self.witness.promised, "disk": self.disk_id})
        self.heard = self.led = now()
        self.leader = body.get("who", "")
        self.tell_led()
        if "held" in body:
            raw = body["held"]
            new = Held(raw["whole"], Pair.of(raw["pair"]), State(**raw["state"]))
            if (new.whole, new.state.edition) < (self.held.whole, self.held.state.edition):
                return Ok({"ok": False, "promised": self.witness.promised, "disk": self.disk_id})
            try:
                await self.keep("state", new.dump())
            except Stop as bad:
                return Err(bad.fault)
            if body["epoch"] < self.witness.promised:
                return Ok({"ok": False, "promised": self.witness.promised, "disk": self.disk_id})
            self.held = new
        edition = body.get("edition", 0)
        if edition > self.news.edition:
            if self.held.whole == body["epoch"] and self.held.state.edition == edition:
                self.publish()
            elif at := self.addr(body["who"]) or body.get("at", ""):
                task = asyncio.create_task(self.fetch(at))
                self.fetches.add(task)
                task.add_done_callback(self.fetches.discard)
        return Ok({"ok": True, "promised": self.witness.promised, "disk": self.disk_id})

    async def copy(self, held: Held | None, epoch: int, to: str) -> bool:
        addr = self.addr(to)
        if not addr:
            return False
        body: Body = {"epoch": epoch, "who": self.conf.name, "edition": self.news.edition, "at": self.conf.peer}
        if held:
            body["held"] = held.raw()
        # Where machines announce themselves another backup is soon found; an order doesn't wait long for this one.
        wait = self.conf.bounds.promise / (2 if self.conf.announce else 1)
        got = await self.lines.call(addr, "copy", body, wait)
        if isinstance(got, Err):
            return False
        if not got.unwrap()["ok"]:
            if got.unwrap()["promised"] > epoch and self.epoch == epoch:
                self.fall(got.unwrap()["promised"])
            return False
        if epoch == self.epoch and to in self.held.pair.backups:
            self.copied[to] = now()
        return True

    async def copy_all(self, held: Held | None, epoch: int) -> bool:
        """True once all backups of the epoch have answered."""
        return all(await asyncio.gather(*(self.copy(held, epoch, n) for n in self.held.pair.backups)))

    async def commit(self, state: State) -> bool:
        """Synced here and at all backups, and only then true."""
        epoch = self.epoch
        held = Held(epoch, self.held.pair, state)
        await self.keep("state", held.dump())
        if self.epoch != epoch:
            return False
        self.held = held
        if not await self.copy_all(held, epoch):
            return False
        if self.epoch != epoch:
            return False
        self.publish()
        # In force within its bound even if this machine dies now: the backups hand it out as well before the
        # operator is answered, and the witnesses are told.
        others = [n for n in self.crew(state.manifest) if n not in held.pair]
        for name in others:
            task = asyncio.create_task(self.tell(name, epoch))
            self.fetches.add(task)
            task.add_done_callback(self.fetches.discard)
        await self.copy_all(None, epoch)
        return True

    async def tell(self, name: str, epoch: int) -> None:
        await self.copy(None, epoch, name)

    def publish(self) -> None:
        state = self.held.state
        if state.manifest is not None:
            self.news.take(state.edition, state.manifest)

    def known(self) -> Manifest | None:
        return self.news.manifest or self.held.state.manifest or self.seen

    def addr(self, name: str) -> str:
        man = self.known()
        m = man["machines"].get(name) if man else None
        return m["peer"] if m and not m.get("gone") else ""

    def crew(self, man: Manifest | None = None) -> list[str]:
        """The control machines, in the agreed order."""
        man = man or self.known()
        return with_duty(man, "control") if man else []

    # --- takeover
    async def ask_all(
        self, verb: str, body: Body, names: list[str], man: Manifest, quick: bool = False
    ) -> dict[str, Body]:
        b = self.conf.bounds

        async def one(name: str) -> PeerResponse:
            m = man["machines"].get(name)
            if not m or m.get("gone"):
                return Err(Fault(verb, name, "gone"))
            if name == self.conf.name:
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.lines.call(m["peer"], verb, body, b.beat / 2 if quick else b.promise)

        def enough(got: dict[str, PeerResponse]) -> bool:
            return 2 * sum(isinstance(g, Ok) for g in got.values()) > len(names)

        got = await hear({n: one(n) for n in names}, enough, b.beat / 8 if quick else b.beat)
        return {n: g.unwrap() for n, g in got.items() if isinstance(g, Ok)}

    async def stand(self, man: Manifest, why: str, first: State | None = None) -> Result[None, Fault]:
        """Tries to become the primary of a new epoch; `first` is the state of a fleet that has none yet."""
        me = self.conf.name
        step = "stand"
        start = self.held
        voters: Voters = start.pair.voters
        names = list(dict.fromkeys([*self.crew(man), *voters]))
        gone = [n for n in names if n not in man["machines"] or man["machines"][n].get("gone")]
        epoch = self.witness.promised + 1
        looks = await self.ask_all("look", {"epoch": epoch, "who": me}, names, man)
        top = max([self.witness.promised, *(a["promised"] for a in looks.values())])
        good = {n: a for n, a in looks.items() if a["ok"]}
        if self.witness.promised < top:
            new = self.witness.look(top, "")
            if new is not None:
                await self.promise(new)
        if me not in good or top > epoch:
            return Err(Fault(step, me, f"epoch {top} was promised elsewhere", SLOW))
        # Only now: a copy that was under way when this one promised may have been answered since.
        start = self.held
        got = {n: str(a["disk"]) for n, a in good.items()}
        pairs = {n: Pair.of(a["pair"]) for n, a in good.items()}
        every = all(n in good for n in names if n not in gone)
        state, loss = start.state, False
        blank = all(p.epoch == 0 for p in pairs.values()) and all(a["whole"] == 0 for a in good.values())
        if blank:
            if not every:
                return Err(Fault(step, me, "a fleet is founded only when all its control machines answer", SLOW))
            if self.news.manifest is not None:
                newest = await self.newest(man)
                if newest is None:
                    return Err(Fault(step, me, "too few daemons confirm the newest edition", SLOW))
                state, loss = State(newest[0] + 1, newest[1], 1), True
            elif first is not None:
                state = first
            else:
                return Err(Fault(step, me, "nothing to begin from", SLOW))
        else:
            flaw = may_lead(me, start.whole, start.pair, pairs, voters, got)
            if flaw:
                best = max(pairs.values(), key=lambda p: p.epoch)
                # A voter of the newest pair that answers with that epoch's state can lead; it goes first.
                able = [
                    n
                    for n, a in good.items()
                    if a["whole"] == best.epoch and n in best and best.voters.get(n) == a["disk"]
                ]
                if not every or (able and able[0] != me):
                    return Err(Fault(step, me, flaw, SLOW))
                if not able:
                    newest = await self.newest(man)
                    if newest is None:
                        return Err(Fault(step, me, "too few daemons confirm the newest edition", SLOW))
                    edition = max(newest[0], *(a["edition"] for a in good.values())) + 1
                    state, loss = State(edition, newest[1], start.state.losses + 1), True
                elif start.whole != best.epoch:
                    return Err(Fault(step, me, flaw, SLOW))
        # One at most joins or leaves the voters in an epoch, unless all of them have answered.
        now_voters = got if every else voters
        if not every and self.conf.announce:
            # Not all have answered, and some may never: whoever has come is let in and whoever was dropped leaves, if
            # most of the voters before and most of those after grant it.
            crew = [n for n in self.crew(man) if n in got or n in voters]
            now_voters = {n: got.get(n, voters.get(n, "")) for n in crew}
        rest = [n for n in self.crew(man) if n != me and n in good]
        area = {n: man["machines"][n]["area"] for n in self.crew(man)}
        liked = sorted(
            rest,
            key=lambda n: (
                n == start.pair.primary and why in ("primary lost", "handed over"),
                self.conf.announce and area[n] == self.conf.area,
                self.crew(man).index(n),
            ),
        )
        backups = backups_of(liked, area if self.conf.announce else {n: n for n in liked}, self.conf.area, self.wanted)
        pair = Pair(epoch, me, backups, now_voters)
        held = Held(epoch, pair, state)
        # The new backups hold the whole state before the epoch is granted: nothing is written in between.
        if self.witness.promised != epoch:
            return Err(Fault(step, me, "a higher epoch was promised", SLOW))
        await self.keep("state", held.dump())
        self.held = held
        if not await self.copy_all(held, epoch):
            return Err(Fault(step, me, f"one of the backups {', '.join(backups)} did not take the state", SLOW))
        grants = await self.ask_all("grant", {"pair": asdict(pair), "who": me}, names, man)
        granted = {n: str(a["disk"]) for n, a in grants.items() if a["ok"]}
        enough = majority(now_voters, granted) and (every or majority(voters, granted))
        if not enough or self.witness.promised != epoch:
            return Err(Fault(step, me, "too few granted the epoch", SLOW))
        self.epoch, self.copied, self.leader = epoch, dict.fromkeys(backups, now()), me
        self.tell_led()
        if why not in ("backup lost", "too few backups") and not why.startswith("voters"):
            self.since, self.beats = now(), {}
        events.emit(
            133 if loss else 130, self.conf.name, epoch=epoch, backup=",".join(backups), edition=state.edition, why=why
        )
        for name in sorted(set(now_voters) - {n for n, d in voters.items() if now_voters.get(n) == d}):
            events.emit(134, self.conf.name, joins=name)
        self.publish()
        return Ok(None)

    @property
    def wanted(self) -> int:
        """How many backups there should be: one more copy than may be lost, with the primary's own."""
        return max(1, self.conf.disks_lost)

    def better(self, man: Manifest, answered: list[str]) -> bool:
        """Could there be more backups, or copies in more areas, with those that answered?"""
        pair, area = self.held.pair, {n: man["machines"][n]["area"] for n in self.crew(man)}
        if len(pair.backups) < self.wanted:
            return bool(set(answered) - set(pair.holders))
        if not self.conf.announce:
            return False
        there = [*pair.backups, *answered]
        if not set(pair.backups) <= set(area):
            return True
        best = backups_of(there, area, self.conf.area, self.wanted)
        return len({self.conf.area, *(area[n] for n in best)}) > len({self.conf.area, *(area[n] for n in pair.backups)})

    async def newest(self, man: Manifest) -> tuple[int, Manifest] | None:
        """The newest edition that daemons hold, once most of them have been heard."""
        names = [n for n, m in man["machines"].items() if not m.get("gone") and n != self.conf.name]
        got = await asyncio.gather(*(
            self.lines.call(man["machines"][n]["peer"], "follow", {"after": 0, "wait": 0}, self.conf.bounds.promise)
            for n in names
        ))  # fmt: skip
        seen = [g.unwrap() for g in got if isinstance(g, Ok)]
        if 2 * (len(seen) + 1) <= len(names) + 1:
            return None
        best: tuple[int, Manifest] | None = (self.news.edition, self.news.manifest) if self.news.manifest else None
        for body in seen:
            if "snapshot" in body and (best is None or body["edition"] > best[0]) and check(body["snapshot"]).is_ok():
                best = (body["edition"], body["snapshot"])
        return best

    async def tick(self) -> None:
        b = self.conf.bounds
        while True:
            await asyncio.sleep(b.beat * (0.8 + 0.4 * self.world.chance.random()))
            man = self.known()
            if man is None or self.conf.name not in self.crew(man):
                continue
            try:
                if self.epoch:
                    await self.lead(man)
                elif not self.leaving:
                    await self.watch(man)
            except Stop as bad:
                events.emit(103, self.conf.name, step=bad.fault.step, why=bad.fault.why)

    async def lead(self, man: Manifest) -> None:
        """The primary's beat: its backup, the witnesses' word, and whoever waits to be let in again."""
        b, epoch, pair = self.conf.bounds, self.epoch, self.held.pair
        async with self.lock:
            await self.copy_all(None, epoch)
        # Witnesses hear that there is a primary, and tell if they promised a higher epoch.
        others = [n for n in self.crew(man) if n not in pair]
        told = {"epoch": epoch, "who": self.conf.name, "edition": self.news.edition, "at": self.conf.peer}
        looks = await self.ask_all("copy", told, others, man)
        if self.epoch != epoch:
            return
        for answer in looks.values():
            if not answer["ok"] and answer["promised"] > epoch:
                self.fall(answer["promised"])
                return
        if man.get("announced"):
            self.spoke |= dict.fromkeys([*looks, self.conf.name], now())
            for name, at in self.copied.items():
                self.spoke[name] = max(at, self.spoke.get(name, 0.0))
            self.spawn(self.tend())
        lost = any(now() - at > b.detect for at in self.copied.values())
        few = self.better(man, list(looks))
        odd = [n for n, a in looks.items() if pair.voters.get(n) != a["disk"]]
        gone = [n for n in pair.voters if n not in self.crew(man)]
        if lost or few or odd or gone:
            async with self.lock:
                why = "backup lost" if lost else "too few backups" if few else f"voters {odd or gone}"
                self.epoch = 0
                got = await self.stand(man, why)
                if isinstance(got, Ok):
                    events.emit(132, self.conf.name, backup=",".join(self.held.pair.backups), why=why)
                else:
                    self.heard = now() - b.detect

    async def rise(self) -> None:
        """After a start: where most have started as well and nobody has heard a primary since, there is none to wait for.

        The primary of the newest epoch stands at once. Each backup lets those before it, for a beat, unless it is seen that they
        lost their disks; anyone else leaves it to the ordinary watch. A mistake costs an epoch and no more.
        """
        b, began, seen = self.conf.bounds, now(), INFINITY
        while now() - began < b.detect and not (self.epoch or self.leaving) and self.led < began:
            man, me = self.known(), self.conf.name
            if man is not None and self.held.whole and me in self.crew(man):
                others = [n for n in self.crew(man) if n != me]
                looks = await self.ask_all("look", {"probe": 1}, others, man, True)
                if any(not a["ok"] for a in looks.values()):
                    return
                every = looks | {me: self.about()}
                best = max((Pair.of(a["pair"]) for a in every.values()), key=lambda p: p.epoch)
                got = {n: str(a["disk"]) for n, a in every.items()}
                able = [n for n in best.holders if n in got and best.voters.get(n) == got[n]]
                if majority(best.voters, got) and me in able and self.held.whole == best.epoch:
                    seen = min(seen, now())
                    # The primary went first if its disk is here; one that is not heard yet may be starting.
                    first = all(n in got for n in best.holders[: best.holders.index(me)])
                    if (me == able[0] and first) or now() - seen > b.beat * best.holders.index(me):
                        async with self.lock:
                            done = (
                                await self.stand(man, "restarted") if not self.epoch and self.led < began else Ok(None)
                            )
                        if isinstance(done, Ok):
                            return
            await asyncio.sleep(b.beat / 4 * (0.8 + 0.4 * self.world.chance.random()))

    async def watch(self, man: Manifest) -> None:
        """Takes over if no primary is heard: those of the pair first, then in the agreed order."""
        b = self.conf.bounds
        order = sorted(self.crew(man), key=lambda n: (n not in self.held.pair, self.crew(man).index(n)))
        rank = order.index(self.conf.name)
        if now() - self.heard <= b.detect + rank * b.stagger:
            return
        if self.held.whole == 0 and self.news.manifest is None:
            return
        async with self.lock:
            if self.epoch:
                return
            looks = await self.ask_all("look", {"probe": 1}, [n for n in self.crew(man) if n != self.conf.name], man)
            if any(not a["ok"] for a in looks.values()) or not self.could_lead(man, looks):
                self.heard = now() - b.detect + b.stagger * self.world.chance.random()
                return
            got = await self.stand(man, "primary lost")
            if isinstance(got, Err):
                self.heard = now() - b.detect + b.stagger * self.world.chance.random()

    def could_lead(self, man: Manifest, looks: dict[str, Body]) -> bool:
        """Is it this one's turn to try? One that can't lead would only burn epochs of one that can."""
        every = looks | {self.conf.name: self.about()}
        best = max((Pair.of(a["pair"]) for a in every.values()), key=lambda p: p.epoch)
        if self.held.whole >= best.epoch or (
            self.conf.name in best and best.voters.get(self.conf.name) == self.disk_id
        ):
            return True
        able = [n for n, a in every.items() if n in best and best.voters.get(n) == a["disk"]]
        # Of a pair that both lost their disks, anyone may go on, once all have told so.
        return not able and all(n in every for n in self.crew(man))

    # --- the operators' part
    async def on_apply(self, body: Body) -> PeerResponse:
        """Takes a whole manifest, and answers once it is in force, or names those that have not said so in time."""
        before = self.held.state.manifest
        asked = now()
        got = await self.take(body)
        if isinstance(got, Err):
            return got
        edition = got.unwrap()["edition"]
        return Ok({"edition": edition, "waits": await self.in_force(edition, before, body["manifest"], asked)})

    async def in_force(
        self, edition: int, before: Manifest | None, after: Manifest, asked: float, limit: float = 0.0
    ) -> list[str]:
        """Who of the old and the new manifest has neither said that it runs this edition nor is shown not to run.

        A process whose address refuses is not there; one that starts later serves only on fresh news, which are no
        older than this edition, since it was taken before.
        """
        until = asked + (limit or self.conf.bounds.manifest)
        mine = self.news.addr(self.conf.name)
        every = {n: m for man in (before, after) if man for n, m in man["machines"].items()}
        gone = {n for n, m in after["machines"].items() if m.get("gone")}
        waits = {n: m["peer"] for n, m in every.items() if n != self.conf.name and n not in gone}

        if after.get("announced"):
            # Those that send to workers and were heard lately; the others start afresh or are out of touch.
            quiet = now() - self.conf.bounds.detect
            sends = {n for n, m in after["machines"].items() if {"edge", "sched"} & set(m["duties"])}
            waits = {n: a for n, a in waits.items() if n in sends and max(self.spoke.get(n, 0), self.since) > quiet}
        b, peers = self.conf.bounds, dict(waits)

        def word(got: PeerResponse) -> bool:
            """Does this answer settle it: the edition runs there, or nothing does?"""
            if isinstance(got, Err):
                return got.unwrap_err().hint == "refused"
            return bool(got.unwrap().get("refused")) or got.unwrap().get("edition", 0) >= edition

        async def one(name: str, addr: str) -> None:
            turn = 0
            while name in waits and (left := until - now()) > 0:
                if turn % 2 == 0:
                    wait = min(left, b.follow)
                    ask = {"want": edition, "at": mine, "wait": wait * 0.9}
                    done = word(await self.lines.call(addr, "ping", ask, wait))
                else:
                    # The way from here may be cut, and another's not.
                    others = self.world.chance.sample(sorted(n for n in peers if n != name), min(3, len(peers) - 1))
                    ask = {"reach": addr, "want": edition}
                    got = await asyncio.gather(
                        *(self.lines.call(peers[o], "ping", ask, min(left, b.follow)) for o in others)
                    )
                    done = any(g.is_ok() and word(g) for g in got)
                if done:
                    waits.pop(name, None)
                    return
                turn += 1
                await asyncio.sleep(min(left, b.follow / 8))

        await asyncio.gather(*(one(n, a) for n, a in peers.items()))
        events.emit(144, self.conf.name, edition=edition, waits=",".join(sorted(waits)) or "for nobody")
        return sorted(waits)

    async def strangers(self, before: Manifest | None, after: Manifest) -> list[str]:
        """If keys or plug-ins come that were not used before: which daemons say that they don't know them."""
        if before is None or shape(after) <= shape(before):
            return []
        names = [n for n, m in after["machines"].items() if n != self.conf.name and not m.get("gone")]
        got = await asyncio.gather(
            *(
                self.lines.call(after["machines"][n]["peer"], "ping", {"fits": after}, self.conf.bounds.follow)
                for n in names
            )
        )
        return [
            f"machines.{n}: it does not know this manifest: {flaw}"
            for n, g in zip(names, got, strict=True)
            if isinstance(g, Ok)
            for flaw in g.unwrap().get("flaws", [])[:3]
        ]

    async def take(self, body: Body) -> PeerResponse:
        """Takes a whole manifest if it was made from the present edition."""
        step, me = "apply", self.conf.name
        got = check(body["manifest"])
        if isinstance(got, Err):
            return Err(Fault(step, me, "\n".join(got.unwrap_err()), BAD))
        man, base = got.unwrap(), body["base"]
        async with self.lock:
            if not self.epoch:
                if self.known() is not None or base not in (0, -1):
                    hint = self.witness.pair.primary if self.witness.pair.primary != me else ""
                    return Err(Fault(step, me, "not the primary", MOVED, hint))
                if me not in self.crew(man):
                    return Err(Fault(step, me, f"machines: {me} is not a control machine of this manifest", BAD))
                found = await self.stand(man, "founded", State(1, man))
                if isinstance(found, Err):
                    return found
                return Ok({"edition": 1})
            state = self.held.state
            if state.manifest is not None and dump(state.manifest) == dump(man):
                if not await self.sure():
                    return Err(Fault(step, me, "could not be confirmed; ask again", SLOW))
                return Ok({"edition": state.edition})
            if base != state.edition:
                if not await self.sure():
                    return Err(Fault(step, me, "could not be confirmed; ask again", SLOW))
                return Err(
                    Fault(
                        step,
                        me,
                        f"edition {state.edition} is in force, this was made from {base}",
                        OLD,
                        str(state.edition),
                    )
                )
            if state.manifest is not None and man["parts"] != state.manifest["parts"]:
                return Err(Fault(step, me, f"parts: stays {state.manifest['parts']}; lots are spread by it", BAD))
            if not set(self.crew(man)) & set(self.held.pair.holders):
                return Err(Fault(step, me, "machines: neither primary nor backup stays a control machine", BAD))
            strange = await self.strangers(state.manifest, man)
            if strange:
                return Err(Fault(step, me, "\n".join(strange), BAD))
            try:
                done = await self.commit(State(state.edition + 1, man, state.losses))
            except Stop as bad:
                return Err(bad.fault)
            if not done:
                # It may or may not come to be: whoever leads next decides. This one leads no further.
                if self.epoch:
                    self.epoch = 0
                    self.heard = now() - self.conf.bounds.detect
                return Err(Fault(step, me, "not known whether it was taken; ask again", SLOW))
            return Ok({"edition": state.edition + 1})

    async def depart(self) -> None:
        """A primary that leaves asks a backup to lead, instead of being missed."""
        async with self.lock:
            epoch, addrs = self.epoch, [a for n in self.held.pair.backups if (a := self.addr(n))]
            if not epoch or not addrs:
                return
            self.epoch = 0
            events.emit(131, self.conf.name, epoch=epoch, seen="handed over")
        for addr in addrs:
            got = await self.lines.call(addr, "adopt", {"epoch": epoch}, self.conf.bounds.promise * 2)
            if isinstance(got, Ok) and got.unwrap()["ok"]:
                return

    async def on_adopt(self, body: Body) -> PeerResponse:
        """The primary of an epoch leaves and won't write under it again: a backup may stand at once."""
        man = self.known()
        async with self.lock:
            if (
                man is None
                or self.epoch
                or self.held.whole != body["epoch"]
                or self.conf.name not in self.held.pair.backups
            ):
                return Ok({"ok": False})
            got = await self.stand(man, "handed over")
        return Ok({"ok": isinstance(got, Ok)})

    async def sure(self) -> bool:
        """A round trip to all backups, or without that to most voters: no one else leads, for whoever does has the state,
        and the promises of most voters."""
        epoch, pair = self.epoch, self.held.pair
        if not epoch:
            return False
        if pair.backups and await self.copy_all(None, epoch):
            return self.epoch == epoch
        man = self.known()
        assert man is not None
        looks = await self.ask_all("copy", {"epoch": epoch}, [n for n in pair.voters if n != self.conf.name], man)
        good = {n: str(a["disk"]) for n, a in looks.items() if a["ok"]} | {self.conf.name: self.disk_id}
        return self.epoch == epoch and majority(pair.voters, good)

    async def confirmed(self) -> int:
        """The edition in force, confirmed by a round trip that begins after this call; 0 if that can't be had now.
        Those who ask meanwhile share the next round."""

        async def one_round() -> int:
            async with self.sure_lock:
                self.sure_next = None
                if self.epoch:
                    # What is being written now counts as well: the round comes after it.
                    async with self.lock:
                        edition = self.held.state.edition
                        return edition if await self.sure() else 0
                addr = self.addr(self.leader) if self.leader != self.conf.name else ""
                if not addr:
                    return 0
                got = await self.lines.call(addr, "read", {"brief": 1}, self.conf.bounds.follow)
                if isinstance(got, Err):
                    return 0
                edition = int(got.unwrap()["edition"])
                if edition > self.news.edition:
                    await self.fetch(addr, self.conf.bounds.follow)
                return edition

        if self.sure_next is None:
            self.sure_next = asyncio.create_task(one_round())
            self.fetches.add(self.sure_next)
            self.sure_next.add_done_callback(self.fetches.discard)
        return await asyncio.shield(self.sure_next)

    async def read_waiting(self, wait: float) -> PeerResponse:
        """For a daemon that starts: held until there is a primary that confirms what is in force."""
        until = now() + min(wait, self.conf.bounds.manifest)
        while True:
            led = self.led_now
            edition = await self.confirmed()
            if edition:
                return Ok({"edition": edition})
            if not await self.wait_led(led, until):
                return Err(Fault("read", self.conf.name, "no primary now; ask again", SHED))

    def tell_led(self) -> None:
        """A primary was heard: whoever waits for one tries again."""
        self.led_now.set()
        self.led_now = asyncio.Event()

    async def wait_led(self, led: asyncio.Event, until: float) -> bool:
        """True once a primary is heard after the try before which `led` was taken."""
        try:
            await asyncio.wait_for(led.wait(), max(0.0, until - now()))
        except TimeoutError:
            return False
        return True

    async def on_read(self, body: Body) -> PeerResponse:
        if "wait" in body:
            return await self.read_waiting(float(body["wait"]))
        if body.get("brief") and self.epoch:
            edition = await self.confirmed()
            if not edition:
                return Err(Fault("read", self.conf.name, "could not be confirmed; ask again", SLOW))
            return Ok({"edition": edition})
        if not self.epoch:
            hint = self.witness.pair.primary if self.witness.pair.primary != self.conf.name else ""
            return Err(Fault("read", self.conf.name, "not the primary", MOVED, hint))
        state = self.held.state
        async with self.lock:
            state = self.held.state
            if not await self.sure():
                return Err(Fault("read", self.conf.name, "could not be confirmed; ask again", SLOW))
        if body.get("source"):
            return Ok({"edition": state.edition, "source": state.source, "version": state.man.get("version", 0)})
        return Ok({"edition": state.edition, "manifest": state.manifest, "losses": state.losses})

    async def pass_on(self, verb: str, body: Body, limit: float = 0.0) -> PeerResponse:
        """To the primary, wherever it is; where machines announce themselves, a moment is given for one to come."""
        until = now() + (self.conf.bounds.leave / 4 if self.conf.announce else 0.0)
        while True:
            led = self.led_now
            got = await self.pass_once(verb, body, limit)
            none = isinstance(got, Err) and got.unwrap_err().code == SHED and got.unwrap_err().peer == self.conf.name
            if not none or not await self.wait_led(led, until):
                return got

    async def pass_once(self, verb: str, body: Body, limit: float) -> PeerResponse:
        got: PeerResponse = await getattr(self, f"on_{verb}")(body)
        tried = {self.conf.name}
        names = [n for n in self.crew() if n != self.conf.name]
        while isinstance(got, Err) and got.unwrap_err().code == MOVED:
            hint = got.unwrap_err().hint
            todo = [n for n in ([hint] if hint else []) + names if n not in tried]
            if not todo:
                return Err(Fault(verb, self.conf.name, "no primary now; ask again", SHED))
            tried.add(todo[0])
            addr = self.addr(todo[0])
            if not addr:
                continue
            # An apply may use the whole bound, and more for the disks before it.
            limit = limit or self.conf.bounds.manifest * (2 if verb == "apply" else 1)
            there = await self.lines.call(addr, verb, body | {"passed": 1}, limit)
            if isinstance(there, Err) and there.unwrap_err().unsent:
                got = Err(Fault(verb, todo[0], there.unwrap_err().why, MOVED))
            else:
                got = there
        return got

    # --- announced fleets: founding and joining
    def elsewhere(self, step: str) -> Fault:
        hint = self.leader if self.leader != self.conf.name else ""
        return Fault(step, self.conf.name, "not the primary", MOVED, hint)

    async def leading(self) -> bool:
        """Is this the primary? While it takes another backup or voter it is for a moment not, and soon again."""
        if not self.epoch and self.leader == self.conf.name and self.lock.locked():
            async with self.lock:
                pass
        return self.epoch > 0

    def blank(self) -> bool:
        return self.known() is None and self.held.whole == 0 and self.witness.pair.epoch == 0

    async def on_ping(self, body: Body) -> PeerResponse:
        if "entry" in body:
            return Ok({"entry": self.entry(), "blank": self.blank()})
        return await super().on_ping(body)

    async def on_follow(self, body: Body) -> PeerResponse:
        if "who" in body:
            self.spoke[body["who"]] = now()
        return await super().on_follow(body)

    async def found(self) -> None:
        """The seeds of a blank fleet found it: the first of them, or the next if that one doesn't come to it."""
        b, seeds = self.conf.bounds, sorted(set(self.conf.seeds))
        if not self.conf.bootstrap or self.conf.peer not in seeds:
            return
        await asyncio.sleep(b.detect * seeds.index(self.conf.peer))
        while self.blank():
            asks = [
                self.lines.call(a, "ping", {"entry": 1}, b.beat if a != self.conf.peer else 0)
                for a in seeds
                if a != self.conf.peer
            ]
            got = await asyncio.gather(*asks)
            if all(isinstance(g, Ok) and g.unwrap().get("blank") for g in got) and self.blank():
                entries: list[Entry] = [self.entry(), *(g.unwrap()["entry"] for g in got)]
                man = roster.founded(entries, self.conf.areas, self.conf.disks_lost)
                async with self.lock:
                    done = await self.stand(man, "founded", State(1, man))
                if isinstance(done, Ok):
                    events.emit(135, self.conf.name, machines=",".join(e["name"] for e in entries))
                    return
            await asyncio.sleep(b.beat / 4 * (0.8 + 0.4 * self.world.chance.random()))

    async def on_join(self, body: Body) -> PeerResponse:
        step, entry = "join", body["entry"]
        if not await self.leading():
            return Err(self.elsewhere(step))
        flaws = roster.entry_flaws(entry, self.conf.areas)
        if flaws:
            return Err(Fault(step, self.conf.name, "\n".join(flaws), BAD))
        self.spoke[entry["name"]] = now()
        self.met.setdefault(entry["name"], now())
        got = await self.change(lambda s: Ok(roster.joined(s, entry)), self.conf.bounds.beat / 4)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        events.emit(136, self.conf.name, joins=entry["name"], duties=",".join(entry["duties"]), edition=got.unwrap())
        return Ok({"edition": got.unwrap()})

    # --- announced fleets: writing
    async def change(self, fold: Fold, pause: float) -> Result[int, Fault]:
        """Writes a change, with others that come within the pause; the edition that has it, once it is durable."""
        if not await self.leading():
            return Err(self.elsewhere("write"))
        edit = Edit(fold, asyncio.get_running_loop().create_future())
        self.edits.append(edit)
        if now() + pause < self.due:
            self.due = now() + pause
            self.hurry.set()
        return await edit.done

    async def write(self) -> None:
        while True:
            if not self.edits:
                self.due = INFINITY
            left = self.due - now()
            if left > 0:
                self.hurry.clear()
                try:
                    await asyncio.wait_for(self.hurry.wait(), None if left == INFINITY else left)
                except TimeoutError:
                    pass
                continue
            edits, self.edits, self.due = self.edits, [], INFINITY
            async with self.lock:
                try:
                    got = await self.fold(edits)
                except Stop as bad:
                    got = [Err(bad.fault) for _ in edits]
            for edit, result in zip(edits, got, strict=True):
                if not edit.done.done():
                    edit.done.set_result(result)

    async def fold(self, edits: list[Edit]) -> list[Result[int, Fault]]:
        """One write for many changes. If the backup is silent another one is taken, and all are laid on once more."""
        me, b = self.conf.name, self.conf.bounds
        for _ in range(2):
            epoch, before = self.epoch, self.held.state
            if not epoch or before.manifest is None:
                break
            state, out = before, []
            for edit in edits:
                got = edit.fold(state)
                state = got.unwrap_or(state)
                out.append(got)
            if state is not before:
                state = replace(state, edition=before.edition + 1)
                done = await self.commit(state)
            else:
                done = await self.sure()
            if done:
                return [Ok(state.edition) if isinstance(g, Ok) else Err(g.unwrap_err()) for g in out]
            if self.epoch == epoch:
                self.epoch = 0
                again = await self.stand(state.man, "backup lost")
                if isinstance(again, Err):
                    self.heard = now() - b.detect
                else:
                    events.emit(132, me, backup=",".join(self.held.pair.backups), why="it did not take a write")
        return [Err(Fault("write", me, "not known whether it was taken; ask again", SLOW)) for _ in edits]

    # --- announced fleets: who is heard
    async def report(self) -> None:
        """Tells the primary whom this machine has heard, so that nobody is missed who beats elsewhere."""
        b, period = self.conf.bounds, self.conf.beat / 2
        while True:
            await asyncio.sleep(period * (0.8 + 0.4 * self.world.chance.random()))
            if self.epoch:
                self.touched = now()
                continue
            addr = self.addr(self.leader)
            if not addr:
                continue
            t = now()
            ages = {
                key: {n: round(t - at, 3) for n, at in seen.items() if t - at < 2 * self.conf.beat + period}
                for key, seen in (("beats", self.beats), ("spoke", self.spoke))
            }
            got = await self.lines.call(addr, "hear", ages, min(period, b.beat * 2))
            if isinstance(got, Ok) and got.unwrap()["leads"]:
                self.touched = t
            self.beats = {n: at for n, at in self.beats.items() if t - at < 8 * self.conf.beat}
            self.spoke = {n: at for n, at in self.spoke.items() if t - at < 8 * self.conf.beat}

    async def on_hear(self, body: Body) -> PeerResponse:
        for key, seen in (("beats", self.beats), ("spoke", self.spoke)):
            for name, age in body[key].items():
                seen[name] = max(seen.get(name, -INFINITY), now() - float(age))
        return Ok({"leads": self.epoch > 0})

    async def tend(self) -> None:
        """The primary's care: who is gone, and how many copies there can be."""
        state, t, b = self.held.state, now(), self.conf.bounds
        if not self.epoch or state.manifest is None:
            return
        man = state.manifest
        silent = {n: t - max(self.spoke.get(n, -INFINITY), self.since) for n in man["machines"]}
        every = roster.everyone(state)
        quiet = {w: t - max(self.beats.get(w, -INFINITY), self.since) for w in every}
        late = [w for w, q in quiet.items() if q > 3.5 * self.conf.beat]
        if 2 * len(late) > max(len(every), 4):
            # So many at once: it may well be the way to here that is cut, and no beat can come.
            late = [w for w, q in quiet.items() if q > 10 * self.conf.beat]
        gone = roster.replaced(man, silent, self.met, self.since, t, self.patience)
        joined = max((self.met.get(n, 0.0) for n in with_duty(man, "store")), default=t)
        few = (
            t - max(joined, self.since) > b.recover / 4
        )  # longer than the patience, so that `heard` leaves out the gone
        heard = [n for n, q in silent.items() if q <= self.patience]

        def fold(s: State) -> Result[State, Fault]:
            if late:
                s = roster.expired(s, late)
            if gone:
                s = roster.dropped(s, gone)
            return Ok(roster.settled(s, self.conf.disks_lost, few, heard))

        if fold(state).unwrap() is not state:
            got = await self.change(fold, 0.0)
            if isinstance(got, Ok):
                events.emit(137, self.conf.name, machines=",".join(gone), workers=",".join(late), edition=got.unwrap())

    @property
    def patience(self) -> float:
        """How long a machine is not heard before another may take its place."""
        return min(self.conf.bounds.sync or INFINITY, self.conf.bounds.recover / 2) / 2

    # --- announced fleets: workers
    async def beat_worker(self, who: str, standing: Standing, seqno: int) -> PeerResponse:
        # Taken, it would make every later manifest a bad one.
        flaws = roster.standing_flaws(standing, self.conf.areas)
        if flaws:
            return Err(Fault("beat", self.conf.name, "\n".join(flaws), BAD))
        if seqno and seqno < self.seqnos.get(who, 0):
            return Ok({})
        if seqno:
            self.seqnos[who] = seqno
        if len(self.seqnos) > 4096:
            self.seqnos = dict(list(self.seqnos.items())[-1024:])
        lately = self.epoch > 0 or now() - self.touched < 1.5 * self.conf.beat
        if lately and roster.unchanged(self.news.manifest, who, standing):
            self.beats[who] = now()
            return Ok({})
        return await self.pass_on(
            "beat", {"who": who, "standing": standing, "seqno": seqno}, self.conf.bounds.leave / 3
        )

    async def leave_worker(self, who: str) -> PeerResponse:
        return await self.pass_on("beat", {"who": who, "standing": None, "seqno": 0}, self.conf.bounds.leave / 3)

    async def on_beat(self, body: Body) -> PeerResponse:
        """What changes a worker's standing is written; that it leaves is also made known before it is told so."""
        if not await self.leading():
            return Err(self.elsewhere("beat"))
        b, who, seqno, asked = self.conf.bounds, body["who"], body["seqno"], now()
        standing: Standing | None = body["standing"]
        if seqno and seqno < self.seqnos.get(who, 0):
            return Ok({})
        if seqno:
            self.seqnos[who] = seqno
        self.beats[who] = now()

        def fold(s: State) -> Result[State, Fault]:
            return Ok(roster.ended(s, [who]) if standing is None else roster.stood(s, who, standing))

        got = await self.change(fold, b.leave / 100)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        if standing is None or standing.get("leave"):
            await self.in_force(got.unwrap(), None, self.held.state.man, asked, b.leave / 6)
        return Ok({"edition": got.unwrap()})

    # --- announced fleets: the operators' part
    async def apply_source(self, source: Any, base: int) -> PeerResponse:
        """The operator's document as a whole, made on top of version `base`."""
        return await self.command({"what": "source", "source": source, "base": base})

    async def patch_source(self, change: Any, base: int) -> PeerResponse:
        return await self.command({"what": "patch", "source": change, "base": base})

    async def read_source(self) -> PeerResponse:
        return await self.pass_on("read", {"source": 1}, self.conf.bounds.manifest / 4)

    async def evacuate(self, area: str, away: bool) -> PeerResponse:
        return await self.command({"what": "evacuate" if away else "return", "area": area})

    async def retire(self, name: str) -> PeerResponse:
        return await self.command({"what": "retire", "name": name})

    async def retired(self, name: str) -> PeerResponse:
        return await self.command({"what": "retired", "name": name})

    async def command(self, body: Body) -> PeerResponse:
        return await self.pass_on("order", body, self.conf.bounds.manifest / 2)

    async def on_order(self, body: Body) -> PeerResponse:
        if not await self.leading():
            return Err(self.elsewhere("order"))
        asked, what = now(), body["what"]
        if what == "retired":
            return await self.emptied(body["name"])
        got = await self.change(self.folding(body), 0.0)
        if isinstance(got, Err):
            return Err(got.unwrap_err())
        edition = got.unwrap()
        events.emit(138, self.conf.name, what=what, edition=edition)
        waits = await self.in_force(edition, None, self.held.state.man, asked, self.conf.bounds.manifest / 5)
        return Ok({"edition": edition, "waits": waits})

    def folding(self, body: Body) -> Fold:
        what = body["what"]
        if what == "source":
            return self.document(body["source"], body["base"], False)
        if what == "patch":
            return self.document(body["source"], body["base"], True)
        if what in ("evacuate", "return"):
            area = body["area"]
            if area not in self.conf.areas:
                return lambda s: Err(Fault(what, self.conf.name, f"unknown area {area!r:.60}", LACK))
            return lambda s: Ok(roster.evacuated(s, area) if what == "evacuate" else roster.returned(s, area))
        if what == "retire":

            def retire(s: State) -> Result[State, Fault]:
                flaw = roster.retire_flaw(s, body["name"], self.conf.disks_lost, self.conf.areas_lost)
                if flaw:
                    return Err(Fault("retire", self.conf.name, flaw[1], flaw[0]))
                return Ok(roster.retiring(s, body["name"]))

            return retire
        return lambda s: Err(Fault("order", self.conf.name, f"unknown order {what!r:.60}", BAD))

    def document(self, sent: Any, base: int, change: bool) -> Fold:
        """The operator's document, whole or as a change of the one of version `base`."""
        step, me = "configure", self.conf.name
        order = roster.digest(f"patch {base}" if change else "source", sent)
        translator = self.translator
        flaws: list[str] = []
        if translator is not None and not change:
            flaws = translator.terms(sent).err() or []

        def fold(s: State) -> Result[State, Fault]:
            if order in s.orders:
                return Ok(s)
            if translator is None:
                return Err(Fault(step, me, "this process reads no documents", BAD))
            current = s.man.get("version", 0)
            if flaws:
                return Err(Fault(step, me, "\n".join(flaws), BAD))
            if base != current:
                return Err(Fault(step, me, f"version {current} is current, this builds on {base}", OLD, str(current)))
            whole = translator.patched(s.source, sent) if change else Ok(sent)
            if isinstance(whole, Err):
                return Err(Fault(step, me, "\n".join(whole.unwrap_err()), BAD))
            source = whole.unwrap()
            terms = translator.terms(source)
            if isinstance(terms, Err):
                return Err(Fault(step, me, "\n".join(terms.unwrap_err()), BAD))
            if terms.unwrap()["version"] <= current:
                return Err(Fault(step, me, f"version: want more than {current}, got {terms.unwrap()['version']}", BAD))
            new = roster.configured(s, terms.unwrap(), source, order)
            odd = deep_flaws(new.man)
            return Err(Fault(step, me, "\n".join(odd), BAD)) if odd else Ok(new)

        return fold

    async def emptied(self, name: str) -> PeerResponse:
        """Does a store hold nothing any more that counts? Once that is so, it is no machine of the fleet any longer."""
        state = self.held.state
        if not await self.sure():
            return Err(Fault("retire", self.conf.name, "could not be confirmed; ask again", SLOW))
        if name in state.retired:
            return Ok({"done": True})
        man = state.man
        if name not in man["machines"]:
            return Err(Fault("retire", self.conf.name, f"no store {name!r:.60}", LACK))
        if not man["machines"][name].get("retire") or not await self.holds_nothing(name, man):
            return Ok({"done": False})
        got = await self.change(lambda s: Ok(roster.emptied(s, name)), 0.0)
        return Ok({"done": isinstance(got, Ok)})

    async def holds_nothing(self, name: str, man: Manifest) -> bool:
        """Every partition has an owner that says, from its covered record, that its members are others."""
        stores = [n for n in with_duty(man, "store") if n != name]
        got = await asyncio.gather(
            *(self.lines.call(man["machines"][n]["peer"], "parts", {}, self.conf.bounds.follow) for n in stores)
        )
        best: dict[int, Body] = {}
        for g in got:
            for row in g.unwrap()["parts"] if isinstance(g, Ok) else []:
                if row["owning"] and row["ready"] and row["epoch"] > best.get(row["part"], {"epoch": -1})["epoch"]:
                    best[row["part"]] = row
        return all(
            part in best and name not in best[part]["crew"] and name not in members(man, part)
            for part in range(man["parts"])
        )

    async def http_manifest(self, request: Request) -> Response:
        if request.method == "GET":
            got = await self.pass_on("read", {})
            if isinstance(got, Ok) and got.unwrap()["manifest"] is None:
                return JSONResponse({"error": {"step": "read", "peer": self.conf.name, "why": "no manifest yet"}}, 404)
        else:
            match = request.headers.get("if-match", "").strip().strip('"')
            if not match.lstrip("-").isdigit():
                return JSONResponse(
                    {
                        "error": Fault(
                            "apply",
                            self.conf.name,
                            'If-Match: want the edition it was made from, as "N"; 0 for the first',
                        ).as_json()
                    },
                    428,
                )
            data = b""
            async for part in request.stream():
                data += part
                if len(data) > 4 << 20:
                    return JSONResponse({"error": Fault("apply", self.conf.name, "more than 4 MiB").as_json()}, 413)
            try:
                raw = json.loads(data)
            except ValueError as bad:
                return JSONResponse({"error": Fault("apply", self.conf.name, f"not JSON: {bad}").as_json()}, 400)
            got = await self.pass_on("apply", {"manifest": raw, "base": int(match)})
        if isinstance(got, Ok):
            body = got.unwrap()
            etag = {"etag": f'"{body["edition"]}"'}
            if request.method == "GET":
                return JSONResponse(body["manifest"], headers=etag)
            waits = body["waits"]
            more = {"unconfirmed": waits} if waits else {}
            return JSONResponse({"edition": body["edition"]} | more, 202 if waits else 200, headers=etag)
        flaw = got.unwrap_err()
        code = {BAD: 400, OLD: 412, MOVED: 503, SLOW: 503, SHED: 503, CLASH: 409}.get(
            flaw.code, 502 if flaw.code == BROKE else 503
        )
        body = {"error": flaw.as_json()}
        if flaw.code == BAD:
            body["flaws"] = flaw.why.split("\n")
        more = {"etag": f'"{flaw.hint}"'} if flaw.code == OLD else {"retry-after": "1"} if code == 503 else {}
        return JSONResponse(body, code, headers=more)

    async def more_status(self) -> Body:
        return {
            "control": {
                "epoch": self.witness.pair.epoch, "promised": self.witness.promised, "primary": self.witness.pair.primary,
                "backup": self.witness.pair.backup, "backups": list(self.witness.pair.backups), "leads": self.epoch > 0, "disk": self.disk_id,
                "voters": self.witness.pair.voters, "losses": self.held.state.losses, "bad": self.bad,
                "backup_heard": round(now() - min(self.copied.values(), default=now()), 3) if self.epoch else None,
            }
        }  # fmt: skip


def test_held_state_knows_when_it_is_damaged() -> None:
    held = Held(3, Pair(3, "c1", ("c2",), {"c1": "d"}), State(7, None, 1))
    assert Held.load(held.dump()) == held
    try:
        Held.load(held.dump().replace(b'edition\\":7', b'edition\\":8'))
    except ValueError as bad:
        assert "sum" in str(bad)
    else:
        raise AssertionError("damage was not seen")

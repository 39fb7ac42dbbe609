"""The store duty: partitions of durable lots, replicated after Stabilizer.

As owner: one order, streamed to each mirror without waiting; the recorder and the predicate say what is
covered. As mirror: append, sync, acknowledge on a link of its own. Takeover runs under epochs.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

from result import Err, Ok, Result

from postpass.batch.job import Job, JobView, Raw, digest, kind_of, page
from postpass.batch.job_service import JobService
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.membership.safe_change import Situation, Topology, next_change
from postpass.replication.partition import Follow, Partition, Sending, fresh_tape, head
from postpass.replication.record_log import Record, RecordLog, match
from postpass.rpc.codec import IDL, PACKET, Body, PeerResponse
from postpass.rpc.connection import Link
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, gather_until, now
from postpass.runtime.errors import BAD, BROKE, CLASH, FULL, LACK, MOVED, SHED, SLOW, Fault, Stop
from postpass.storage.data_directory import DataDirectory, open_data_directory, revoke_identity

TURN = 4 * PACKET  # what one partition may send to a mirror before the others' beats and records have their turn
PIECE = 256 << 10  # of records or of a base, in the answer to one question


@dataclass(eq=False)
class Lease:
    scheduler: str
    until: float


@dataclass(eq=False)
class Desk:
    """What an owner keeps in memory to hand out items. Invariant: an item is leased to one scheduler at a
    time; losing all of this costs repeated work, never a promise."""

    leases: dict[tuple[str, int], Lease] = field(default_factory=dict)
    tries: Counter[tuple[str, int]] = field(default_factory=Counter)
    term: int = 0
    scheduler: str = ""
    done_at: dict[str, float] = field(default_factory=dict)


@dataclass(eq=False)
class Promises:
    """What a candidate has gathered for its epoch: who was asked, who promised, and the best log among theirs."""

    log: RecordLog
    asked: list[str] = field(default_factory=list)
    responses: dict[str, Body] = field(default_factory=dict)

    @property
    def voters(self) -> dict[str, str]:
        """Who promised, with the identity of the disk that did."""
        return {n: str(a["disk"]) for n, a in self.responses.items()}

    def end_of(self, name: str) -> tuple[int, int]:
        """The last epoch and the length of a voter's log: the higher, the more it has."""
        return self.responses[name]["last_epoch"], self.responses[name]["last"]


@dataclass(eq=False)
class Store:
    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    parts: dict[int, Partition] = field(default_factory=dict)
    desks: dict[int, Desk] = field(default_factory=dict)
    kicks: dict[str, asyncio.Event] = field(default_factory=dict)
    dirty: dict[str, set[int]] = field(default_factory=dict)  # owner -> partitions to acknowledge
    ack_kicks: dict[str, asyncio.Event] = field(default_factory=dict)
    fresh: set[str] = field(default_factory=set)  # owners that connected since their last acknowledgement
    feeds: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    ackers: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    trials: set[asyncio.Task[None]] = field(default_factory=set)
    confirms: dict[int, asyncio.Task[bool]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    data_directory: DataDirectory | None = None
    rise_to: Callable[[dict[str, int]], None] = lambda _: None
    ask_heights: Callable[[], Awaitable[int]] | None = None
    ask_kept: Callable[[int], Awaitable[list[str]]] | None = None
    heights: dict[str, int] = field(default_factory=dict)
    leaving: bool = False
    spoiled: asyncio.Future[Fault] = field(default_factory=lambda: asyncio.get_running_loop().create_future())
    # A setting for measurements only: wait for each mirror's reply before the next record goes out.
    wait_each: bool = False

    def __post_init__(self) -> None:
        self.routed = JobService(self)

    # --- start
    async def open(self) -> None:
        assert self.environment.disk is not None
        held = max(self.settings.segment_bytes // 4, 1024)
        self.data_directory = await open_data_directory(
            self.settings.name, self.environment.disk, self.environment.chance, self.settings.segment_bytes, held
        )
        for e in self.data_directory.entries:
            part = self.part(e.part)
            if e.op == "promise":
                part.promised = max(part.promised, e.epoch)
            elif e.op == "base":
                part.record_log = RecordLog(e.seq, e.epoch, JobView.load(e.body))
                part.covered = e.seq
            elif e.op == "cut":
                part.record_log.cut(e.seq)
            elif e.op == "rec":
                part.record_log.append(Record(e.seq, e.epoch, e.kind, e.body))
            part.persisted = part.record_log.last

    @property
    def log(self) -> Any:
        assert self.data_directory is not None
        return self.data_directory.log

    @property
    def disk_id(self) -> str:
        assert self.data_directory is not None
        return self.data_directory.name

    def part(self, number: int) -> Partition:
        if number not in self.parts:
            self.parts[number] = Partition(
                number, self.settings.name, self.disk_id if self.data_directory else "", heard=now()
            )
            self.desks[number] = Desk()
        return self.parts[number]

    def tasks(self) -> list[Any]:
        return [self.log.sync_forever(), self.watch_sync(), self.tick(), self.watch_disk()]

    async def watch_disk(self) -> None:
        """Ends the process once a peer has shown that this disk lost what it had synced."""
        raise Stop(await self.spoiled)

    def handlers(self) -> dict[str, Any]:
        return {
            "carry": self.carry, "ack": self.ack, "promise": self.promise, "hello": self.hello, "fetch": self.fetch,
            "submit": self.submit, "show": self.show, "page": self.page, "finish": self.finish, "take": self.take,
            "done": self.done, "claim": self.claim, "parts": self.status, **self.routed.handlers(),
        }  # fmt: skip

    # --- disk
    def write(self, part: Partition, entries: Iterable[Any], vital: bool = True) -> int:
        place: int = self.log.append(entries, vital)
        part.places.append((place, part.record_log.last))
        return place

    async def watch_sync(self) -> None:
        while True:
            moved = self.log.sync_done
            await moved.wait()
            self.synced()

    def synced(self) -> None:
        for part in self.parts.values():
            if part.sync_to(self.log.synced):
                if part.owning:
                    self.moved(part)
                else:
                    self.note(part)

    def snapshot(self) -> Iterator[Any]:
        for part in self.parts.values():
            record_log = part.record_log
            yield IDL.Entry(part=part.id, op="promise", epoch=part.promised)
            yield IDL.Entry(
                part=part.id,
                op="base",
                seq=record_log.base_seq,
                epoch=record_log.base_epoch,
                body=record_log.base.dump(),
            )
            yield from (r.entry(part.id) for r in record_log.recs)

    # --- the beat of this duty
    async def tick(self) -> None:
        while True:
            await asyncio.sleep(self.settings.bounds.beat * (0.8 + 0.4 * self.environment.chance.random()))
            configuration = self.configuration_view.manifest
            if configuration is None:
                continue
            for number in range(configuration["parts"]):
                if self.settings.name in self.configuration_view.order(number):
                    self.part(number)
            for part in self.parts.values():
                # Nobody was heard since this process started, and there is no waiting for a silence: if an owner is
                # there, one of those that are asked hears it, and says so.
                if not part.met:
                    part.met, part.heard = True, min(part.heard, now() - self.settings.bounds.detect)
            zones = {n: m["area"] for n, m in configuration["machines"].items()}
            for part in list(self.parts.values()):
                part.zones = zones
                part.disk = self.disk_id
                if part.owning:
                    self.own(part)
                else:
                    self.doubt(part)
                part.trim(self.settings.buffer_bytes // max(len(self.parts), 1))
            self.routed.report()
            if self.log.is_compaction_due():
                await self.log.compact(self.snapshot())
                self.synced()

    def doubt(self, part: Partition) -> None:
        """Takes the duty if it stands empty and this is the first live one in the order."""
        order = self.configuration_view.order(part.id)
        crew = part.record_log.base.crew if isinstance(part.record_log.base, JobView) else {}
        ranks = order + [n for n in sorted(crew) if n not in order]
        ranks = [n for n in ranks if n != part.down]
        if self.settings.name not in ranks or part.trial or self.leaving:
            return
        b = self.settings.bounds
        if now() - part.heard > b.detect + ranks.index(self.settings.name) * b.stagger:
            self.stand_soon(part, 0)

    def stand_soon(self, part: Partition, hand: int) -> None:
        part.trial = True
        task = asyncio.create_task(self.stand(part, hand))
        self.trials.add(task)
        task.add_done_callback(lambda t: (self.trials.discard(t), setattr(part, "trial", False)))  # type: ignore[func-returns-value]

    def names(self, part: Partition, view: JobView) -> list[str]:
        """Everyone who has, or should have, a copy, but this store."""
        every = dict.fromkeys(
            [
                *self.configuration_view.order(part.id),
                *view.crew,
                *(view.old_crew if view.crew_seq > part.covered else {}),
            ]
        )
        return [n for n in every if n != self.settings.name]

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        addr = self.configuration_view.addr(name)
        if not addr:
            return Err(Fault(verb, name, "gone or unknown", LACK))
        return await self.peer_links.call(addr, verb, body, self.settings.bounds.promise)

    # --- takeover
    async def poll(
        self, part: Partition, view: JobView, names: list[str], body: Body, have: dict[str, str] | None = None
    ) -> dict[str, Body]:
        """Asks for promises beside those in `have`; waits for the last ones only as long as it hasn't got enough."""

        def enough(got: dict[str, PeerResponse]) -> bool:
            voters = {n: str(g.unwrap()["disk"]) for n, g in got.items() if isinstance(g, Ok) and g.unwrap()["ok"]}
            return part.may_lead(view, (have or {}) | voters | {self.settings.name: self.disk_id})

        got = await gather_until(
            {n: self.ask(n, "promise", body) for n in names}, enough, self.settings.bounds.beat / 2
        )
        return {n: g.unwrap() for n, g in got.items() if isinstance(g, Ok)}

    async def collect_promises(self, part: Partition, epoch: int, body: Body) -> Promises | None:
        """Promises of all who have, or should have, a copy, and the best log among theirs; None if a higher epoch shows
        up or that log can't be fetched.

        Who is a member stands in the log: a candidate that is behind learns of some only from the log that it fetches,
        and then asks these as well. Without them it could neither lead nor let one lead that knows all members.
        """
        got = Promises(part.record_log)
        names = self.names(part, head(part.record_log))
        while names:
            answers = await self.poll(part, head(got.log), names, body, got.voters)
            part.promised = max([part.promised, *(a["promised"] for a in answers.values())])
            if part.promised != epoch or part.owning:
                return None
            got.asked += names
            got.responses |= {n: a for n, a in answers.items() if a["ok"]}
            best = max(got.responses, key=got.end_of, default="")
            if best and got.end_of(best) > (got.log.last_epoch, got.log.last):
                pulled = await self.pull(part, best, got.responses[best], epoch)
                if pulled is None or part.promised != epoch:
                    return None
                got.log = pulled
            names = [n for n in self.names(part, head(got.log)) if n not in got.asked]
        return got

    async def stand(self, part: Partition, hand: int) -> None:
        b = self.settings.bounds
        view = head(part.record_log)
        names = self.names(part, view)
        base = {"part": part.id, "who": self.settings.name, "hand": hand}
        if not hand:
            tries = await self.poll(part, view, names, base | {"epoch": part.promised + 1, "probe": 1})
            part.promised = max([part.promised, *(a["promised"] for a in tries.values())])
            willing = {n: str(a["disk"]) for n, a in tries.items() if a["ok"]}
            if any(not a["ok"] for a in tries.values()) and not part.may_lead(
                view, willing | {self.settings.name: self.disk_id}
            ):
                part.heard = now() - b.detect + b.stagger
                return
        epoch = part.promised + 1
        part.promised = epoch
        try:
            await self.log.wait_synced(self.write(part, [IDL.Entry(part=part.id, op="promise", epoch=epoch)]))
        except Stop:
            return
        got = await self.collect_promises(part, epoch, base | {"epoch": epoch, "probe": 0})
        back_off = now() - b.detect + b.stagger * self.environment.chance.random()
        if got is None or part.promised != epoch or part.owning:
            part.heard = max(part.heard, back_off)
            return
        staged = got.log
        view = head(staged)
        voters = got.voters | {self.settings.name: self.disk_id}
        must = set(self.names(part, view)) | set(view.crew)
        every = all(n in voters or not self.configuration_view.addr(n) for n in must)
        blank = staged.last == 0
        normal = part.may_lead(view, voters)
        if not normal and not every:
            part.heard = max(part.heard, back_off)
            return
        if blank and self.ask_heights is not None:
            # Nobody has anything. Was there never anything, or did all of it go? Others remember the epochs.
            await self.ask_heights()
            known = self.heights.get(str(part.id), 0)
            if part.promised != epoch or part.owning or known >= epoch:
                part.promised = max(part.promised, known)
                part.heard = max(part.heard, back_off)
                return
            blank = known == 0
        names_lost: list[str] = []
        if not normal and not blank and self.ask_kept is not None:
            names_lost = [n for n in await self.ask_kept(part.id) if n not in view.lots]
            if part.promised != epoch or part.owning:
                part.heard = max(part.heard, back_off)
                return
        try:
            self.settle(part, staged)
            self.rise(part, epoch, view, voters, blank, normal, names_lost)
        except Stop:
            part.step_down()
            part.heard = now()

    def settle(self, part: Partition, staged: RecordLog) -> None:
        """Takes a staged log as this store's own: cut where they part, then the rest, or base and all."""
        if staged is part.record_log:
            return
        # Always the disk first: what it did not take must not stand in memory, or the next record leaves a gap in the log.
        meet = match(part.record_log.marks(), part.record_log.last, staged.marks(), staged.last)
        if meet < 0:
            entries = [
                IDL.Entry(
                    part=part.id, op="base", seq=staged.base_seq, epoch=staged.base_epoch, body=staged.base.dump()
                )
            ]
            entries += [r.entry(part.id) for r in staged.recs]
            place = self.log.append(entries)
            part.record_log, part.persisted = staged, 0
            part.places.clear()
        else:
            more = staged.after(meet)
            place = self.log.append([IDL.Entry(part=part.id, op="cut", seq=meet)] + [r.entry(part.id) for r in more])
            part.cut(meet)
            for rec in more:
                part.record_log.append(rec)
        part.places.append((place, part.record_log.last))
        part.covered = min(part.covered, part.record_log.last)
        part.covered = max(part.covered, part.record_log.base_seq)

    def rise(
        self,
        part: Partition,
        epoch: int,
        view: JobView,
        voters: dict[str, str],
        blank: bool,
        normal: bool,
        lost: list[str],
    ) -> None:
        part.lead(epoch)
        self.desks[part.id] = Desk()
        self.routed.forget(part.id)
        made: list[Record] = []
        if blank:
            made.append(part.make("crew", {"crew": voters}))
        elif not normal:
            made.append(part.make("loss", {"crew": voters, "edition": view.losses + 1, "lots": lost}))
            log_events.emit(
                125,
                self.settings.name,
                part=part.id,
                revision=view.losses + 1,
                last=part.record_log.last,
                voters=",".join(voters),
                lots=len(lost),
            )
        made.append(part.make("mark", {}))
        part.mark = part.record_log.last
        try:
            self.write(part, [r.entry(part.id) for r in made])
        except Stop:
            part.cut(made[0].seq - 1)
            raise
        self.rise_to({str(part.id): epoch})
        self.counts["takeovers"] += 1
        log_events.emit(120, self.settings.name, part=part.id, epoch=epoch, last=part.record_log.last)
        self.kick_all(part)

    async def pull(self, part: Partition, best: str, there: Body, epoch: int) -> RecordLog | None:
        """Fetches what the best log has beyond this one, into a copy that nothing uses yet."""
        meet = match(part.record_log.marks(), part.record_log.last, [(e, s) for e, s in there["marks"]], there["last"])
        mine = part.record_log
        # A base of its own: this store's may be folded on while it waits.
        staged = RecordLog(mine.base_seq, mine.base_epoch, mine.base.copy(), list(mine.recs), mine.size)
        if meet >= 0:
            staged.cut(meet)
        else:
            staged = fresh_tape()
        after, base, of = meet, bytearray(), -1
        while after < there["last"]:
            got = await self.ask(best, "fetch", {"part": part.id, "epoch": epoch, "after": after, "at": len(base)})
            if isinstance(got, Err):
                return None
            more = got.unwrap()
            if "base" in more:
                seq, born, size, piece = more["base"]
                if seq != of and base:
                    base, of = bytearray(), seq  # it was folded on meanwhile
                    continue
                base, of = base + base64.b64decode(piece), seq
                if len(base) == size:
                    staged = RecordLog(seq, born, JobView.load(bytes(base)))
                    after, base = seq, bytearray()
                elif not piece:
                    return None
                continue
            for seq, born, kind, body in more["recs"]:
                staged.append(Record(seq, born, kind, base64.b64decode(body)))
                after = seq
            if not more["recs"]:
                return None
        return staged

    async def fetch(self, body: Body) -> PeerResponse:
        part = self.part(body["part"])
        if part.promised != body["epoch"] or part.owning:
            return Err(Fault("fetch", self.settings.name, f"promised to epoch {part.promised}", MOVED))
        record_log, after = part.record_log, body["after"]
        if after < record_log.base_seq:
            base, at = part.base_dump(), body.get("at", 0)
            piece = base64.b64encode(base[at : at + PIECE]).decode()
            return Ok({"recs": [], "base": [record_log.base_seq, record_log.base_epoch, len(base), piece]})
        out: Body = {"recs": []}
        size = 0
        for rec in record_log.after(after):
            out["recs"].append([rec.seq, rec.epoch, rec.kind, base64.b64encode(rec.body).decode()])
            size += len(rec.body)
            if size > PIECE:
                break
        return Ok(out)

    async def promise(self, body: Body) -> PeerResponse:
        """A promise not to accept anything below an epoch; synced before it is told."""
        part, epoch, b = self.part(body["part"]), body["epoch"], self.settings.bounds
        about = {"disk": self.disk_id, "promised": part.promised}
        handed = body.get("hand", 0) and body["hand"] == max(part.aligned, part.epoch)
        alive = part.owning or (part.met and now() - part.heard < b.detect * 0.9)
        if body["probe"]:
            return Ok(about | {"ok": bool(not alive or handed)})
        if epoch <= part.promised or (alive and not handed):
            return Ok(about | {"ok": False})
        part.promised = epoch
        if part.owning:
            self.fall(part, epoch)
        part.aligned = 0
        part.heard, part.met = now(), True
        try:
            await self.log.wait_synced(self.write(part, [IDL.Entry(part=part.id, op="promise", epoch=epoch)]))
        except Stop as bad:
            return Err(bad.fault)
        if part.promised != epoch:
            return Ok(about | {"promised": part.promised, "ok": False})
        record_log = part.record_log
        return Ok({"disk": self.disk_id, "promised": epoch, "ok": True, "last": record_log.last, "last_epoch": record_log.last_epoch,
                   "marks": record_log.marks()})  # fmt: skip

    def fall(self, part: Partition, epoch: int) -> None:
        if part.owning:
            log_events.emit(121, self.settings.name, part=part.id, epoch=part.epoch, seen=epoch)
            part.step_down()
        part.promised = max(part.promised, epoch)
        part.heard = now()

    # --- owner: the stream
    def kick_all(self, part: Partition) -> None:
        for name in self.names(part, part.view):
            if name not in self.kicks:
                self.kicks[name] = asyncio.Event()
                self.feeds[name] = asyncio.create_task(self.feed(name))
            self.kicks[name].set()

    def moved(self, part: Partition) -> None:
        if part.advance():
            self.prove(part)

    def prove(self, part: Partition) -> None:
        """A change that is covered is settled in the log at once: an election after a loss of power has only the log."""
        upto = part.provable()
        if upto:
            try:
                self.add(part, "mark", {"settled": upto})
            except Stop:
                return

    async def feed(self, name: str) -> None:
        """One FIFO link to one mirror, for all partitions owned here; nothing on it is waited for."""
        link: Link | None = None
        b = self.settings.bounds
        beaten: dict[int, float] = {}
        while True:
            addr = self.configuration_view.addr(name)
            owned = [p for p in self.parts.values() if p.owning and name in self.names(p, p.view)]
            if not addr or not owned:
                if link is not None:
                    link.close()
                    link = None
                await self.nap(name, b.beat)
                continue
            if link is None or link.closed or link.address != addr:
                got = await Link.open(addr, b.silent / 2)
                if isinstance(got, Err):
                    for part in owned:
                        self.hush(part, name)
                    await self.nap(name, b.beat, quiet=True)
                    continue
                link = got.unwrap()
            ready: list[tuple[Partition, Follow]] = []
            for part in owned:
                if not part.owning or link.closed:
                    continue
                f = part.follows.setdefault(name, Follow(since=now(), heard=now()))
                if (f.link is not link or f.epoch != part.epoch) and not await self.greet(part, name, link, f):
                    continue
                if not part.owning:
                    continue
                ready.append((part, f))
                if now() - beaten.get(part.id, 0.0) >= b.beat * 0.9 or beaten.get(part.id, 0) == 0:
                    beaten[part.id] = now()
                    self.put(link, part, "beat", part.record_log.last, part.epoch, 0, b"")
                self.hush(part, name)
                if f.silent:
                    link.close("the mirror is silent")
            # Beats have gone out; then each partition has its turn, so that none waits behind another's big records.
            turns = [self.push(part, name, link, f) for part, f in ready if part.owning and not link.closed]
            sent = any(turns)
            try:
                await asyncio.wait_for(link.drain(), b.silent)
            except (TimeoutError, ConnectionError, OSError):
                link.close("it takes nothing")
            if not sent:
                await self.nap(name, b.beat / 2)

    async def nap(self, name: str, limit: float, quiet: bool = False) -> None:
        kick = self.kicks[name]
        if quiet:
            await asyncio.sleep(limit)
        try:
            await asyncio.wait_for(kick.wait(), limit)
        except TimeoutError:
            pass
        kick.clear()

    def hush(self, part: Partition, name: str) -> None:
        f = part.follows.setdefault(name, Follow(since=now(), heard=now()))
        if not f.silent and now() - f.heard > self.settings.bounds.silent:
            f.silent = True
            f.link = None
            log_events.emit(122, self.settings.name, part=part.id, mirror=name)

    def put(self, link: Link, part: Partition, kind: str, seq: int, born: int, prior: int, body: bytes) -> None:
        message = Sending(kind, seq, born, prior, body)
        while message.index < message.total:
            self.put_next(link, part, message)

    def put_next(self, link: Link, part: Partition, m: Sending) -> int:
        """Hands one more packet of a message to the link; tells about how many bytes that was."""
        piece = m.body[m.index * PACKET : (m.index + 1) * PACKET]
        link.put("carry", IDL.Packet(
            part=part.id, epoch=part.epoch, owner=self.settings.name, kind=m.kind, seq=m.seq, born=m.born, prior=m.prior,
            index=m.index, total=m.total, body=piece, covered=part.covered,
        ))  # fmt: skip
        m.index += 1
        return len(piece) + 128

    def push(self, part: Partition, name: str, link: Link, f: Follow) -> bool:
        """Hands the mirror whatever it has not been sent, as far as a pass may take."""
        size = 0
        while size < TURN:
            if f.sending is None:
                if f.next <= part.record_log.base_seq:
                    f.link = None  # the memory stream went past it; it is greeted anew and refilled
                    return True
                if f.next > part.record_log.last:
                    break
                if self.wait_each and f.next - 1 > part.recorder.get(name, f.disk, "persisted"):
                    return False
                rec = part.record_log.get(f.next)
                prior = part.record_log.epoch_at(rec.seq - 1)
                f.sending = Sending("rec", rec.seq, rec.epoch, prior, rec.body + b"\n" + rec.kind.encode())
                f.next += 1
            size += self.put_next(link, part, f.sending)
            if f.sending.index == f.sending.total:
                f.sending = None
        return size > 0

    async def greet(self, part: Partition, name: str, link: Link, f: Follow) -> bool:
        """Learns where a mirror's log meets this one and begins its stream there, or with a snapshot."""
        epoch = part.epoch
        got = await link.call(
            "hello", {"part": part.id, "epoch": epoch, "who": self.settings.name}, self.settings.bounds.promise
        )
        if isinstance(got, Err):
            link.close(str(got.unwrap_err()))
            return False
        there = got.unwrap()
        if part.epoch != epoch:
            return False
        if not there["ok"]:
            if there["promised"] > epoch:
                self.fall(part, there["promised"])
            return False
        acked = part.recorder.get(name, there["disk"], "persisted")
        if there["last"] < acked:
            # It acknowledged more under this very epoch: its disk lost what it had synced. That is no torn tail.
            log_events.emit(112, self.settings.name, part=part.id, mirror=name, last=there["last"], acknowledged=acked)
            await link.call(
                "hello",
                {"part": part.id, "epoch": epoch, "who": self.settings.name, "spoiled": there["disk"]},
                self.settings.bounds.promise,
            )
            link.close("its disk lost what it had acknowledged")
            return False
        marks = [(e, s) for e, s in there["marks"]]
        meet = match(part.record_log.marks(), part.record_log.last, marks, there["last"])
        f.link, f.epoch, f.disk, f.sending = link, epoch, there["disk"], None
        if meet >= 0:
            self.put(link, part, "start", meet, part.record_log.epoch_at(meet), 0, b"")
            f.next = meet + 1
        else:
            log_events.emit(123, self.settings.name, part=part.id, mirror=name, base=part.record_log.base_seq)
            self.counts["refills"] += 1
            f.sending = Sending(
                "snap", part.record_log.base_seq, part.record_log.base_epoch, 0, part.record_log.base.dump()
            )
            f.next = part.record_log.base_seq + 1
        return True

    async def ack(self, acks: list[Any]) -> None:
        for a in acks:
            part = self.part(a.part)
            if a.promised > max(part.promised, part.epoch):
                if part.owning:
                    self.fall(part, a.promised)
                continue
            if not part.owning or a.epoch != part.epoch:
                continue
            f = part.follows.get(a.name)
            if f is None or f.disk != a.disk:
                continue
            f.heard, f.silent, f.full = now(), False, bool(a.full)
            if a.gap:
                f.link = None
                self.kick_all(part)
                continue
            last = part.record_log.last
            new = part.recorder.put(a.name, a.disk, "received", min(a.received, last))
            new = part.recorder.put(a.name, a.disk, "persisted", min(a.persisted, last)) or new
            if new:
                self.moved(part)
                if self.wait_each:
                    self.kick_all(part)

    # --- owner: other duties
    def own(self, part: Partition) -> None:
        configuration, b, t = self.configuration_view.manifest, self.settings.bounds, now()
        assert configuration is not None
        fresh = {n: f.disk for n, f in part.follows.items() if t - f.heard < b.detect}
        if not part.confirmed(fresh | {self.settings.name: self.disk_id}):
            if t - part.heard > b.detect * 1.5:
                self.fall(part, part.epoch)
                return
        else:
            part.heard = t
        self.kick_all(part)
        if self.lost_cover(part):
            part.stuck = part.stuck or t
            if t - part.stuck > b.detect:
                # Nothing can be covered any more from here: only an election, which all answer, may go on.
                self.fall(part, part.epoch)
                return
        else:
            part.stuck = 0.0
        if not part.ready:
            return
        try:
            self.change(part)
            self.tidy(part)
        except Stop:
            return
        order = self.configuration_view.order(part.id)
        if order and order[0] != self.settings.name:
            for name in order[: order.index(self.settings.name)] if self.settings.name in order else order:
                f = part.follows.get(name)
                if f is not None and t - f.since > b.detect and self.fit(part, name):
                    self.hand_on(part, name)
                    return

    def lost_cover(self, part: Partition) -> bool:
        """Have all members answered, or been declared gone, and no covering set of their disks is left?"""
        t, b = now(), self.settings.bounds
        names = [n for n in self.names(part, part.view) if self.configuration_view.addr(n)]
        there = {n: f for n in names if (f := part.follows.get(n)) is not None and f.disk}
        if len(there) < len(names) or any(f.silent or t - f.heard > b.detect for f in there.values()):
            return False
        return part.hopeless({n: f.disk for n, f in there.items()} | {self.settings.name: self.disk_id})

    async def leave(self) -> None:
        """Hands each partition that is owned here to the first in its order that has all of it."""
        self.leaving = True
        for part in [p for p in self.parts.values() if p.owning and p.ready]:
            able = [n for n in self.names(part, part.view) if self.fit(part, n)]
            if able:
                self.hand_on(part, able[0])
        await asyncio.gather(*self.trials)
        # The handed-on lots find their owner before this one stops pointing the way.
        await asyncio.sleep(self.settings.bounds.beat)

    def fit(self, part: Partition, name: str) -> bool:
        """Could this member own the partition now, without anything to wait for?"""
        f, b, t = part.follows.get(name), self.settings.bounds, now()
        if f is None or f.silent or t - f.heard >= b.beat * 4 or part.view.crew.get(name) != f.disk:
            return False
        return part.recorder.get(name, f.disk, "persisted") >= part.covered

    def hand_on(self, part: Partition, name: str) -> None:
        log_events.emit(126, self.settings.name, part=part.id, to=name, epoch=part.epoch)
        epoch = part.epoch
        part.step_down()
        part.aligned, part.heard = epoch, now()

        async def tell() -> None:
            await self.ask(name, "hello", {"part": part.id, "epoch": epoch, "who": self.settings.name, "hand": 1})

        task = asyncio.create_task(tell())
        self.trials.add(task)
        task.add_done_callback(self.trials.discard)

    def change(self, part: Partition) -> None:
        """Brings predicate and members to what the manifest wants: one change at a time, each a record."""
        configuration, view = self.configuration_view.manifest, part.view
        assert configuration is not None
        if view.crew_seq > part.covered or view.predicate_seq > part.covered:
            return
        self.prove(part)
        if configuration.get("predicate", "") != view.predicate:
            self.add(part, "predicate", {"text": configuration.get("predicate", "")})
            return
        change = next_change(self.situation(part), stays=self.settings.name)
        if change is not None:
            self.add(part, "crew", {"crew": change.members})
            log_events.emit(
                124,
                self.settings.name,
                part=part.id,
                joins=",".join(change.joins),
                leaves=",".join(change.leaves),
            )

    def situation(self, part: Partition) -> Situation:
        """What a change of a partition's members is decided from, as its owner sees it now."""
        recent = now() - self.settings.bounds.detect
        heard = {n: f.disk for n, f in part.follows.items() if f.disk and not f.silent and f.heard > recent}
        ready = {n: d for n, d in heard.items() if part.recorder.get(n, d, "persisted") >= part.covered}
        if part.persisted >= part.covered:
            ready[self.settings.name] = self.disk_id
        answering = [*heard, self.settings.name]
        return Situation(part.view.crew, self.configuration_view.order(part.id), ready, answering, self.topology(part))

    def complete(self, part: Partition) -> bool:
        """As owner: do all members answer, and have they synced the last change of members with the mark that settles it?
        From then on one that has left may lose its disk, and any one of them the next: whatever was held, and the proof
        of who the members are, is on the disks of all of them."""
        here = self.situation(part)  # `live` have synced all that is covered
        return part.proven() and here.live == set(here.current)

    def topology(self, part: Partition) -> Topology:
        """Where the machines stand, and what may be lost of them at once."""
        return Topology(part.zones, self.settings.tolerance)

    def tidy(self, part: Partition) -> None:
        """Lots leave after the retention; one long overdue is ended first."""
        configuration, desk, view = self.configuration_view.manifest, self.desks[part.id], part.view
        assert configuration is not None
        keep = configuration.get("retention", 3600.0)
        gone = []
        for lot in view.lots.values():
            if "route" in lot.body:
                if self.routed.over(part, lot):
                    gone.append(lot.id)
            elif lot.whole or lot.state == "ended":
                if now() - desk.done_at.setdefault(lot.id, now()) > keep:
                    gone.append(lot.id)
            elif self.environment.wall() > lot.body["due"] + keep:
                self.add(part, "end", {"id": lot.id})
                return
        # Refusals and claims stay as long as finished lots do, counted from when this owner first saw them.
        shed = [n for n in view.shed if now() - desk.done_at.setdefault(f"shed {n}", now()) > keep]
        keys = [k for k in view.claims if now() - desk.done_at.setdefault(f"claim {k}", now()) > keep]
        lost = [n for n in view.lost if now() - desk.done_at.setdefault(f"lost {n}", now()) > keep]
        if gone or shed or keys or lost:
            self.add(part, "drop", {"lots": (gone + shed + lost)[:200], "claims": keys[:200]})
            names = [*gone, *(f"lost {n}" for n in lost), *(f"shed {n}" for n in shed), *(f"claim {k}" for k in keys)]
            for name in names:
                desk.done_at.pop(name, None)

    def add(self, part: Partition, kind: str, body: Body, vital: bool = True, raw: Raw = b"") -> Record:
        """Sequences one record and streams it at once. Raises Stop, with nothing sequenced, if the disk
        won't take it."""
        if not vital:
            free, _ = self.log.disk.space()
            if free - len(json.dumps(body)) - len(raw) - 256 < self.log.reserved_bytes:
                log_events.emit(114, self.settings.name, part=part.id)
                raise Stop(Fault("append", self.settings.name, "the disk is full", FULL))
        if self.log.failure:
            raise Stop(Fault("append", self.settings.name, self.log.failure, BROKE))
        rec = part.make(kind, body, raw)
        try:
            self.write(part, [rec.entry(part.id)])
        except Stop as bad:
            # Sequenced in memory but not on disk: this log can't be led from here any more.
            part.cut(rec.seq - 1)
            part.step_down()
            part.heard = now()
            raise Stop(Fault("append", self.settings.name, bad.fault.why, SLOW)) from bad
        self.counts[f"rec_{kind}"] += 1
        self.kick_all(part)
        return rec

    # --- mirror
    async def hello(self, body: Body) -> PeerResponse:
        part, epoch = self.part(body["part"]), body["epoch"]
        about: Body = {"disk": self.disk_id, "promised": part.promised}
        if body.get("hand"):
            if part.aligned == epoch and not part.trial and not part.owning and not self.leaving:
                self.stand_soon(part, epoch)
            return Ok(about | {"ok": True})
        if body.get("spoiled"):
            if body["spoiled"] == self.disk_id and epoch == part.promised:
                why = f"partition {part.id}: {body['who']} holds acknowledgements of more than this log has"
                self.log.failure = why
                if not self.spoiled.done():
                    self.spoiled.set_result(Fault("read log", self.settings.name, why))
            return Ok(about | {"ok": False})
        if body.get("confirm"):
            return Ok(about | {"ok": part.promised <= epoch})
        if epoch < part.promised or (part.owning and part.epoch >= epoch):
            return Ok(about | {"ok": False})
        if epoch > part.promised:
            part.promised = epoch
            if part.owning:
                self.fall(part, epoch)
            part.aligned = 0
            try:
                await self.log.wait_synced(self.write(part, [IDL.Entry(part=part.id, op="promise", epoch=epoch)]))
            except Stop as bad:
                return Err(bad.fault)
            if part.promised != epoch:
                return Ok(about | {"ok": False, "promised": part.promised})
        part.heard, part.owner, part.met, part.down = now(), body["who"], True, ""
        part.filling = 0 if part.aligned == epoch else epoch
        # The owner has just connected: whatever link for acknowledgements stands from before may lead to a
        # process that is no more.
        self.fresh.add(body["who"])
        return Ok(
            about | {"ok": True, "promised": epoch, "last": part.record_log.last, "marks": part.record_log.marks()}
        )

    async def carry(self, packet: Any) -> None:
        part = self.part(packet.part)
        if packet.epoch < part.promised or (part.owning and packet.epoch <= part.epoch):
            self.note(part, packet.owner)
            return
        if packet.epoch > part.promised:
            # Seen first in a stream: hello comes before, so this is a stale or foreign one.
            self.note(part, packet.owner, gap=True)
            return
        part.heard, part.owner = now(), packet.owner
        try:
            self.take_packet(part, packet)
        except Stop as bad:
            part.aligned = part.filling = 0
            if bad.fault.code != FULL:
                raise
            log_events.emit(114, self.settings.name, part=part.id)
        part.covered = (
            max(part.covered, min(packet.covered, part.record_log.last))
            if part.aligned == packet.epoch
            else part.covered
        )
        self.note(part, packet.owner)

    def take_packet(self, part: Partition, p: Any) -> None:
        if p.kind == "beat":
            return  # it goes out between the packets of others
        if p.index == 0:
            part.gather = []
        if p.index != len(part.gather):
            part.gather, part.aligned, part.filling = [], 0, 0
            return
        part.gather.append(p.body)
        if p.index + 1 < p.total:
            return
        body = b"".join(part.gather)
        part.gather, part.filling = [], 0
        record_log = part.record_log
        if p.kind == "start":
            fits = record_log.base_seq <= p.seq <= record_log.last and record_log.epoch_at(p.seq) == p.born
            if fits and p.seq < record_log.last:
                place = self.log.append([IDL.Entry(part=part.id, op="cut", seq=p.seq)])
                part.cut(p.seq)
                part.places.append((place, p.seq))
            part.aligned = p.epoch if fits else 0
        elif p.kind == "snap":
            place = self.log.append([IDL.Entry(part=part.id, op="base", seq=p.seq, epoch=p.born, body=body)])
            part.record_log = RecordLog(p.seq, p.born, JobView.load(body))
            part.places.clear()
            part.places.append((place, p.seq))
            part.persisted, part.aligned, part.covered = 0, p.epoch, p.seq
        elif p.kind == "rec" and part.aligned == p.epoch:
            if p.seq != record_log.last + 1 or p.prior != record_log.last_epoch:
                part.aligned = 0
                return
            body, _, kind = body.rpartition(b"\n")
            rec = Record(p.seq, p.born, kind.decode(), body)
            self.write_first(part, rec)

    def write_first(self, part: Partition, rec: Record) -> None:
        place = self.log.append([rec.entry(part.id)])
        part.record_log.append(rec)
        part.places.append((place, rec.seq))

    def note(self, part: Partition, owner: str = "", gap: bool = False) -> None:
        owner = owner or part.owner
        if not owner or owner == self.settings.name:
            return
        self.dirty.setdefault(owner, set()).add(part.id)
        if owner not in self.ackers:
            self.ack_kicks[owner] = asyncio.Event()
            self.ackers[owner] = asyncio.create_task(self.acker(owner))
        self.ack_kicks[owner].set()

    async def acker(self, owner: str) -> None:
        """The control path back to one owner: batched, and only the newest counters."""
        link: Link | None = None
        while True:
            await self.ack_kicks[owner].wait()
            self.ack_kicks[owner].clear()
            numbers, self.dirty[owner] = sorted(self.dirty[owner]), set()
            addr = self.configuration_view.addr(owner)
            if not addr:
                continue
            if link is not None and owner in self.fresh:
                link.close("the owner connected anew")
            self.fresh.discard(owner)
            if link is None or link.closed or link.address != addr:
                got = await Link.open(addr, self.settings.bounds.silent)
                if isinstance(got, Err):
                    await asyncio.sleep(self.settings.bounds.beat)
                    continue
                link = got.unwrap()
                assert link.reader_task is not None
                link.reader_task.add_done_callback(lambda _: self.knock_soon(owner))
            free, _ = self.log.disk.space()
            link.put("ack", [self.counters(self.parts[n], free < self.log.reserved_bytes) for n in numbers])
            try:
                await asyncio.wait_for(link.drain(), self.settings.bounds.silent)
            except (TimeoutError, ConnectionError, OSError):
                link.close("it takes nothing")

    def knock_soon(self, owner: str) -> None:
        """The link to an owner broke. Nothing is proved by that, but it is worth a question at once."""
        if not self.leaving and any(p.owner == owner and not p.owning for p in self.parts.values()):
            task = asyncio.create_task(self.knock(owner))
            self.trials.add(task)
            task.add_done_callback(self.trials.discard)

    async def knock(self, owner: str) -> None:
        """A refused connection proves that no process listens there, so the silence needn't be waited out. Only a hint of
        when to stand: who owns is up to the epochs."""
        addr = self.configuration_view.addr(owner)
        got = await Link.open(addr, self.settings.bounds.promise) if addr else None
        if isinstance(got, Ok):
            got.unwrap().close()
        if got is None or isinstance(got, Ok) or got.unwrap_err().hint != "refused":
            return
        b = self.settings.bounds
        mine = [p for p in self.parts.values() if p.owner == owner and not p.owning]
        for part in mine:
            part.down, part.heard = owner, min(part.heard, now() - b.detect)
        # The others, who are asked, find out at the same time as this one.
        await asyncio.sleep(b.beat / 8)
        for part in mine:
            if part.down == owner and not part.owning:
                self.doubt(part)

    def counters(self, part: Partition, full: bool) -> Any:
        held = part.aligned > 0 and part.aligned == part.promised
        return IDL.Ack(
            part=part.id, epoch=part.promised, name=self.settings.name, disk=self.disk_id, promised=part.promised,
            received=part.record_log.last if held else 0, persisted=part.persisted if held else 0,
            gap=not held and (not part.filling or part.filling != part.promised), full=full,
        )  # fmt: skip

    # --- callers' side, by way of edges
    def lead_of(self, number: int, step: str) -> Result[Partition, Fault]:
        part = self.parts.get(number)
        if part is None or not part.owning:
            hint = part.owner if part is not None and part.owner != self.settings.name else ""
            return Err(Fault(step, self.settings.name, "not the owner", MOVED, hint))
        if not part.ready:
            return Err(Fault(step, self.settings.name, "the owner is not ready yet", MOVED, self.settings.name))
        return Ok(part)

    async def confirm(self, part: Partition) -> bool:
        """A round trip under the epoch: no one else owns this partition now."""
        task = self.confirms.get(part.id)
        if task is not None and not task.done():
            # One that began before this read proves nothing for it; wait it out and start another.
            await asyncio.wait([task])
            task = self.confirms.get(part.id)
        if task is None or task.done():
            task = asyncio.create_task(self._confirm(part, part.epoch))
            self.confirms[part.id] = task
        return await asyncio.shield(task)

    async def _confirm(self, part: Partition, epoch: int) -> bool:
        voters = {self.settings.name: self.disk_id}
        if part.confirmed(voters):
            return part.epoch == epoch
        found = asyncio.Event()

        async def one(name: str) -> None:
            got = await self.ask(
                name, "hello", {"part": part.id, "epoch": epoch, "who": self.settings.name, "confirm": 1}
            )
            if isinstance(got, Ok) and got.unwrap()["ok"]:
                voters[name] = got.unwrap()["disk"]
                if part.epoch == epoch and part.confirmed(voters):
                    found.set()
            elif isinstance(got, Ok) and got.unwrap()["promised"] > epoch and part.epoch == epoch:
                self.fall(part, got.unwrap()["promised"])

        every = asyncio.gather(*(one(n) for n in self.names(part, part.view)))
        first = asyncio.create_task(found.wait())
        await asyncio.wait([asyncio.ensure_future(every), first], return_when=asyncio.FIRST_COMPLETED)  # type: ignore[type-var]
        first.cancel()
        return found.is_set() and part.epoch == epoch

    def text_of(self, name: str) -> str:
        configuration = self.configuration_view.manifest
        return (
            configuration["classes"][name].get("predicate", "")
            if configuration and name in configuration["classes"]
            else ""
        )

    async def submit(self, body: Body) -> PeerResponse:
        """Takes a lot: `kept` only past the frontier; refused only if nothing was sequenced, or once a
        refusal that wins over the lot is itself covered; otherwise unknown."""
        lot = body["lot"]
        got = self.lead_of(body["part"], "submit")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        limit = min(float(body.get("wait", 5.0)), self.settings.bounds.recover)
        have = part.view.lots.get(lot["id"])
        if have is None and lot["id"] not in part.view.shed:
            flaw = self.no_room(part)
            if flaw is None:
                try:
                    self.add(part, "lot", lot, vital=False)
                except Stop as bad:
                    if bad.fault.code != FULL:
                        return Err(bad.fault)
                    flaw = bad.fault
            if flaw is not None:
                return await self.shed(part, body, flaw, limit)
            have = part.view.lots[lot["id"]]
        if have is None:
            seq = part.view.shed[lot["id"]]
            if await part.wait(seq, "", limit):
                return Err(Fault("submit", self.settings.name, "this lot was refused; send it under another id", SHED))
            return Err(Fault("submit", self.settings.name, "not known yet", SLOW))
        if have.digest != digest(lot):
            return Err(Fault("submit", self.settings.name, "a lot with this id and other content is here", CLASH))
        if await part.wait(have.seq, self.text_of(lot["class"]), limit):
            return Ok({"id": lot["id"], "state": "kept"})
        return Err(Fault("submit", self.settings.name, "not covered yet", SLOW))

    def no_room(self, part: Partition) -> Fault | None:
        opened = sum(1 for lot in part.view.lots.values() if lot.state == "open" and not lot.whole)
        if opened >= self.configuration_view.limit("open_lots"):
            return Fault("submit", self.settings.name, f"{opened} lots are open in this partition", SHED)
        ahead = sum(len(r.body) for r in part.record_log.after(max(part.covered, part.record_log.base_seq)))
        if ahead > self.settings.buffer_bytes // 2:
            return Fault("submit", self.settings.name, "too much is not covered yet", SHED)
        free = {n for n, f in part.follows.items() if not f.full and not f.silent} | {self.settings.name}
        if not part.can_cover(free) and any(f.full for f in part.follows.values()):
            return Fault("submit", self.settings.name, "the disks of the mirrors are full", FULL)
        return None

    async def shed(self, part: Partition, body: Body, flaw: Fault, limit: float) -> PeerResponse:
        if not body.get("again"):
            return Err(flaw)
        try:
            rec = self.add(part, "shed", {"id": body["lot"]["id"]})
        except Stop:
            return Err(Fault("submit", self.settings.name, "not known yet", SLOW))
        if await part.wait(rec.seq, "", limit):
            return Err(
                Fault(flaw.step, flaw.peer, flaw.why + "; this lot is refused, send it under another id", flaw.code)
            )
        return Err(Fault("submit", self.settings.name, "not known yet", SLOW))

    async def _read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        got = self.lead_of(body["part"], step)
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        if not await self.confirm(part):
            return Err(Fault(step, self.settings.name, "could not be confirmed", SLOW))
        lot = part.view.lots.get(body["id"])
        if body["id"] in part.view.shed and part.view.shed[body["id"]] <= part.covered:
            return Err(Fault(step, self.settings.name, "this lot was refused", SHED))
        if body["id"] in part.view.lost:
            return Err(Fault(step, self.settings.name, "this lot was lost", LACK))
        if lot is None or lot.body.get("caller", "") not in ("", body.get("caller", "")):
            lost = f"; this partition lost lots {part.view.losses} time(s)" if part.view.losses else ""
            return Err(Fault(step, self.settings.name, f"no such lot of this caller{lost}", LACK))
        if lot.seq > part.covered:
            return Err(Fault(step, self.settings.name, "not known yet", SLOW))
        return Ok((part, lot))

    async def show(self, body: Body) -> PeerResponse:
        got = await self._read(body, "show")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        shown = [r for r in lot.results.values() if r[0] <= part.covered]
        ended = lot.state == "ended" and lot.state_seq <= part.covered
        whole = len(shown) == lot.size
        return Ok({
            "id": lot.id, "state": "ended" if ended else "done" if whole else "kept", "class": lot.body["class"],
            "items": lot.size, "done": sum(r[1] == "done" for r in shown), "failed": sum(r[1] != "done" for r in shown),
            "due": lot.body["due"], "caller": lot.body.get("caller", ""), "losses": part.view.losses,
        })  # fmt: skip

    async def page(self, body: Body) -> PeerResponse:
        got = await self._read(body, "page")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        rows, spot, done = page(lot, part.covered, body["start"], min(body["most"], 500))
        return Ok({"id": lot.id, "results": rows, "next": spot, "whole": done})

    async def finish(self, body: Body) -> PeerResponse:
        got = await self._read(body, "end")
        if isinstance(got, Err):
            return got
        part, lot = got.unwrap()
        if lot.state == "open" and not lot.whole:
            try:
                self.add(part, "end", {"id": lot.id})
            except Stop as bad:
                return Err(bad.fault)
        if not await part.wait(max(lot.state_seq, lot.seq), "", float(body.get("wait", 5.0))):
            return Err(Fault("end", self.settings.name, "not known yet", SLOW))
        return Ok({"id": lot.id, "state": "done" if lot.whole and lot.state == "open" else "ended"})

    async def claim(self, body: Body) -> PeerResponse:
        """One edge may run a call that may not be repeated: the first claim wins, once it is covered."""
        got = self.lead_of(body["part"], "claim")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        if body["key"] not in part.view.claims:
            try:
                self.add(part, "claim", {"key": body["key"], "nonce": body["nonce"], "edge": body["edge"]})
            except Stop as bad:
                return Err(bad.fault)
        won = part.view.claims[body["key"]]
        if not await part.wait(won["seq"], "", float(body.get("wait", 3.0))):
            return Err(Fault("claim", self.settings.name, "not covered yet", SLOW))
        return Ok({"won": won["nonce"] == body["nonce"]})

    # --- schedulers
    async def take(self, body: Body) -> PeerResponse:
        """Hands out items of covered, open lots, nearest due time first, to the one scheduler of the
        highest term; a lower one is refused."""
        got = self.lead_of(body["part"], "take")
        if isinstance(got, Err):
            return got
        part = got.unwrap()
        desk, t = self.desks[part.id], now()
        if (body["term"], body["sched"]) < (desk.term, desk.scheduler):
            return Err(
                Fault(
                    "take",
                    self.settings.name,
                    f"scheduler {desk.scheduler} has term {desk.term}",
                    CLASH,
                    str(desk.term),
                )
            )
        if (body["term"], body["sched"]) != (desk.term, desk.scheduler):
            desk.term, desk.scheduler = body["term"], body["sched"]
        # Before anything is waited for: an item whose end is told right after this question is held no longer.
        held = {(lot, item) for lot, item in body["held"]}
        until = t + self.settings.bounds.lease * 2
        for key in held:
            desk.leases[key] = Lease(body["sched"], until)
        # The answer starts a lease at the scheduler: only an owner that is one now may give it.
        if not await self.confirm(part):
            return Err(Fault("take", self.settings.name, "could not be confirmed", SLOW))
        for key in [
            k
            for k, lease in desk.leases.items()
            if k[0] not in part.view.lots or (k not in held and (lease.until < t or lease.scheduler != body["sched"]))
        ]:
            del desk.leases[key]
        stop = [
            lot
            for lot in sorted({lot for lot, _ in held})
            if lot not in part.view.lots or part.view.lots[lot].state != "open" or part.view.lots[lot].whole
        ]
        lots = sorted(
            (x for x in part.view.lots.values() if x.state == "open" and not x.whole and x.seq <= part.covered),
            key=lambda x: (x.body["due"], x.seq),
        )
        need = dict(body["room"])
        out_of = Counter(lot for lot, item in desk.leases if item not in part.view.lots[lot].results)
        out, ahead = [], dict.fromkeys(need, 0)
        for lot in lots:
            kind = kind_of(lot.body)
            # Counted, not listed: what a poll costs must not grow with all items that wait.
            ahead[kind] = ahead.get(kind, 0) + lot.size - len(lot.results) - out_of[lot.id]
            free = (i for i in range(lot.size) if i not in lot.results and (lot.id, i) not in desk.leases)
            for i in list(islice(free, max(need.get(kind, 0), 0))):
                desk.leases[(lot.id, i)] = Lease(body["sched"], until)
                row = {
                    "lot": lot.id,
                    "item": i,
                    "class": kind,
                    "due": lot.body["due"],
                    "caller": lot.body.get("caller", ""),
                }
                if "route" in lot.body:
                    made = base64.b64encode(lot.item_body(i) or b"").decode()
                    row |= {"call": lot.body["items"][i] | {"body": made}, "tries": lot.body["tries"]}
                    row["since"] = lot.body.get("since", 0)
                else:
                    row |= {"text": lot.body["items"][i], "shared": lot.body.get("shared", [])}
                out.append(row)
                need[kind] -= 1
        return Ok({"items": out, "stop": stop, "ahead": ahead})

    async def done(self, body: Body) -> PeerResponse:
        """Records an item's result; only a whole output comes here as done. The first one wins."""
        got = self.lead_of(body["part"], "done")
        if isinstance(got, Err):
            return got
        part, key = got.unwrap(), (body["id"], body["item"])
        desk = self.desks[part.id]
        lot = part.view.lots.get(body["id"])
        desk.leases.pop(key, None)
        if lot is None or lot.state != "open" or body["item"] in lot.results:
            return Ok({"taken": False})
        status, output = body["status"], body["output"]
        if status == "done" and hashlib.sha256(output.encode()).hexdigest()[:16] != body["sum"]:
            return Err(Fault("done", self.settings.name, "the output doesn't match its sum", BAD))
        if status == "abandoned" and "route" in lot.body:
            pass  # a worker said that it can never be done
        elif status != "done":
            desk.tries[key] += 1
            if desk.tries[key] < int(body.get("tries", 5)):
                return Ok({"taken": False})
            status = "abandoned" if "route" in lot.body else "failed"
            output = "" if "route" in lot.body else output
        try:
            self.add(part, "result", {"id": body["id"], "item": body["item"], "status": status, "output": output})
        except Stop as bad:
            return Err(bad.fault)
        desk.tries.pop(key, None)
        return Ok({"taken": True})

    # --- for operators
    async def status(self, _body: Body) -> PeerResponse:
        free, whole = self.log.disk.space()
        rows = [
            {
                "part": p.id, "owner": p.owner, "epoch": max(p.epoch, p.aligned), "last": p.record_log.last, "covered": p.covered,
                "persisted": p.persisted, "owning": p.owning, "ready": p.ready, "bytes": p.record_log.size,
                "crew": p.crew, "complete": self.complete(p), "losses": p.view.losses,
                "mirrors": {
                    n: {"persisted": p.recorder.get(n, f.disk, "persisted"), "silent": f.silent, "full": f.full, "disk": f.disk}
                    for n, f in sorted(p.follows.items())
                },
                "lots": len(p.view.lots), "open": sum(x.state == "open" and not x.whole for x in p.view.lots.values()),
            }
            for p in sorted(self.parts.values(), key=lambda p: p.id)
        ]  # fmt: skip
        return Ok({"disk": self.disk_id, "free": free, "size": whole, "parts": rows, "bad": self.log.failure,
                   "held": self.log.reserved_bytes})  # fmt: skip

    def fail(self) -> None:
        """After a failed sync: this folder has no voice any more."""
        if self.environment.disk is not None and self.log.failure:
            revoke_identity(self.environment.disk)

"""An owner's streams of records to its mirrors: one link a mirror, for all partitions owned here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err

from postpass.replication.partition import Follow, Partition, Sending
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import match
from postpass.rpc.peer_links import IDL, PACKET, Link
from postpass.runtime import log_events
from postpass.runtime.environment import now

TURN = 4 * PACKET  # what one partition may send to a mirror before the others' beats and records have their turn


@dataclass(eq=False)
class MirrorStreams:
    """Sends records, heartbeats and snapshots. Owns one send loop and one wake-up event for each mirror."""

    table: PartitionTable
    kicks: dict[str, asyncio.Event] = field(default_factory=dict)
    feeds: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # A setting for measurements only: wait for each mirror's reply before the next record goes out.
    wait_each: bool = False

    def kick_all(self, part: Partition) -> None:
        for name in self.table.names(part, part.view):
            if name not in self.kicks:
                self.kicks[name] = asyncio.Event()
                self.feeds[name] = asyncio.create_task(self.feed(name))
            self.kicks[name].set()

    async def feed(self, name: str) -> None:
        """One FIFO link to one mirror, for all partitions owned here; nothing on it is waited for."""
        link: Link | None = None
        b = self.table.settings.bounds
        beaten: dict[int, float] = {}
        while True:
            addr = self.table.configuration_view.addr(name)
            owned = [p for p in self.table.parts.values() if p.owning and name in self.table.names(p, p.view)]
            if not addr or not owned:
                if link is not None:
                    link.close()
                    link = None
                await self.nap(name, b.beat)
                continue
            if link is None or link.closed or link.addr != addr:
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
        if not f.silent and now() - f.heard > self.table.settings.bounds.silent:
            f.silent = True
            f.link = None
            log_events.emit(122, self.table.settings.name, part=part.id, mirror=name)

    def put(self, link: Link, part: Partition, kind: str, seq: int, born: int, prior: int, body: bytes) -> None:
        message = Sending(kind, seq, born, prior, body)
        while message.index < message.total:
            self.put_next(link, part, message)

    def put_next(self, link: Link, part: Partition, m: Sending) -> int:
        """Hands one more packet of a message to the link; tells about how many bytes that was."""
        piece = m.body[m.index * PACKET : (m.index + 1) * PACKET]
        link.put("carry", IDL.Packet(
            part=part.id, epoch=part.epoch, owner=self.table.settings.name, kind=m.kind, seq=m.seq, born=m.born, prior=m.prior,
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
            "hello",
            {"part": part.id, "epoch": epoch, "who": self.table.settings.name},
            self.table.settings.bounds.promise,
        )
        if isinstance(got, Err):
            link.close(str(got.unwrap_err()))
            return False
        there = got.unwrap()
        if part.epoch != epoch:
            return False
        if not there["ok"]:
            if there["promised"] > epoch:
                self.table.fall(part, there["promised"])
            return False
        acked = part.recorder.get(name, there["disk"], "persisted")
        if there["last"] < acked:
            # It acknowledged more under this very epoch: its disk lost what it had synced. That is no torn tail.
            log_events.emit(
                112, self.table.settings.name, part=part.id, mirror=name, last=there["last"], acknowledged=acked
            )
            await link.call(
                "hello",
                {"part": part.id, "epoch": epoch, "who": self.table.settings.name, "spoiled": there["disk"]},
                self.table.settings.bounds.promise,
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
            log_events.emit(123, self.table.settings.name, part=part.id, mirror=name, base=part.record_log.base_seq)
            self.table.counts["refills"] += 1
            f.sending = Sending(
                "snap", part.record_log.base_seq, part.record_log.base_epoch, 0, part.record_log.base.dump()
            )
            f.next = part.record_log.base_seq + 1
        return True

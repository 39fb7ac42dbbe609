"""An owner's streams of records to its mirrors: one link a mirror, for all partitions owned here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err

from postpass.replication.partition import MirrorProgress, OutgoingMessage, Partition
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
    wake_events: dict[str, asyncio.Event] = field(default_factory=dict)
    send_loops: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # A setting for measurements only: wait for each mirror's reply before the next record goes out.
    wait_each: bool = False

    def wake_all(self, partition: Partition) -> None:
        for name in self.table.other_members(partition, partition.view):
            if name not in self.wake_events:
                self.wake_events[name] = asyncio.Event()
                self.send_loops[name] = asyncio.create_task(self.send_loop(name))
            self.wake_events[name].set()

    async def send_loop(self, name: str) -> None:
        """One FIFO link to one mirror, for all partitions owned here; nothing on it is waited for."""
        link: Link | None = None
        bounds = self.table.settings.bounds
        beaten: dict[int, float] = {}
        while True:
            addr = self.table.configuration_view.addr(name)
            owned = [
                p for p in self.table.partitions.values() if p.owning and name in self.table.other_members(p, p.view)
            ]
            if not addr or not owned:
                if link is not None:
                    link.close()
                    link = None
                await self.back_off(name, bounds.beat)
                continue
            if link is None or link.closed or link.addr != addr:
                got = await Link.open(addr, bounds.silent / 2)
                if isinstance(got, Err):
                    for partition in owned:
                        self.suspend_if_silent(partition, name)
                    await self.back_off(name, bounds.beat, quiet=True)
                    continue
                link = got.unwrap()
            ready: list[tuple[Partition, MirrorProgress]] = []
            for partition in owned:
                if not partition.owning or link.closed:
                    continue
                mirror = partition.mirrors.setdefault(name, MirrorProgress(since=now(), heard=now()))
                if (mirror.link is not link or mirror.epoch != partition.epoch) and not await self.handshake(
                    partition, name, link, mirror
                ):
                    continue
                if not partition.owning:
                    continue
                ready.append((partition, mirror))
                if now() - beaten.get(partition.id, 0.0) >= bounds.beat * 0.9 or beaten.get(partition.id, 0) == 0:
                    beaten[partition.id] = now()
                    self.send(link, partition, "beat", partition.record_log.last, partition.epoch, 0, b"")
                self.suspend_if_silent(partition, name)
                if mirror.silent:
                    link.close("the mirror is silent")
            # Beats have gone out; then each partition has its turn, so that none waits behind another's big records.
            turns = [
                self.send_pending(partition, name, link, mirror)
                for partition, mirror in ready
                if partition.owning and not link.closed
            ]
            sent = any(turns)
            try:
                await asyncio.wait_for(link.drain(), bounds.silent)
            except (TimeoutError, ConnectionError, OSError):
                link.close("it takes nothing")
            if not sent:
                await self.back_off(name, bounds.beat / 2)

    async def back_off(self, name: str, limit: float, quiet: bool = False) -> None:
        kick = self.wake_events[name]
        if quiet:
            await asyncio.sleep(limit)
        try:
            await asyncio.wait_for(kick.wait(), limit)
        except TimeoutError:
            pass
        kick.clear()

    def suspend_if_silent(self, partition: Partition, name: str) -> None:
        mirror = partition.mirrors.setdefault(name, MirrorProgress(since=now(), heard=now()))
        if not mirror.silent and now() - mirror.heard > self.table.settings.bounds.silent:
            mirror.silent = True
            mirror.link = None
            log_events.emit(122, self.table.settings.name, part=partition.id, mirror=name)

    def send(self, link: Link, partition: Partition, kind: str, seq: int, born: int, prior: int, body: bytes) -> None:
        message = OutgoingMessage(kind, seq, born, prior, body)
        while message.index < message.total:
            self.send_packet(link, partition, message)

    def send_packet(self, link: Link, partition: Partition, message: OutgoingMessage) -> int:
        """Hands one more packet of a message to the link; tells about how many bytes that was."""
        piece = message.body[message.index * PACKET : (message.index + 1) * PACKET]
        link.put("carry", IDL.Packet(
            part=partition.id, epoch=partition.epoch, owner=self.table.settings.name, kind=message.kind, seq=message.seq, born=message.born, prior=message.prior,
            index=message.index, total=message.total, body=piece, covered=partition.covered,
        ))  # fmt: skip
        message.index += 1
        return len(piece) + 128

    def send_pending(self, partition: Partition, name: str, link: Link, mirror: MirrorProgress) -> bool:
        """Hands the mirror whatever it has not been sent, as far as a pass may take."""
        size = 0
        while size < TURN:
            if mirror.outgoing is None:
                if mirror.next <= partition.record_log.base_seq:
                    mirror.link = None  # the memory stream went past it; it is greeted anew and refilled
                    return True
                if mirror.next > partition.record_log.last:
                    break
                if self.wait_each and mirror.next - 1 > partition.acknowledgements.get(name, mirror.disk, "persisted"):
                    return False
                record = partition.record_log.get(mirror.next)
                prior = partition.record_log.epoch_at(record.seq - 1)
                mirror.outgoing = OutgoingMessage(
                    "rec", record.seq, record.epoch, prior, record.body + b"\n" + record.kind.encode()
                )
                mirror.next += 1
            size += self.send_packet(link, partition, mirror.outgoing)
            if mirror.outgoing.index == mirror.outgoing.total:
                mirror.outgoing = None
        return size > 0

    async def handshake(self, partition: Partition, name: str, link: Link, mirror: MirrorProgress) -> bool:
        """Learns where a mirror's log meets this one and begins its stream there, or with a snapshot."""
        epoch = partition.epoch
        got = await link.call(
            "hello",
            {"part": partition.id, "epoch": epoch, "who": self.table.settings.name},
            self.table.settings.bounds.promise,
        )
        if isinstance(got, Err):
            link.close(str(got.unwrap_err()))
            return False
        there = got.unwrap()
        if partition.epoch != epoch:
            return False
        if not there["ok"]:
            if there["promised"] > epoch:
                self.table.step_down(partition, there["promised"])
            return False
        acked = partition.acknowledgements.get(name, there["disk"], "persisted")
        if there["last"] < acked:
            # It acknowledged more under this very epoch: its disk lost what it had synced. That is no torn tail.
            log_events.emit(
                112, self.table.settings.name, part=partition.id, mirror=name, last=there["last"], acknowledged=acked
            )
            await link.call(
                "hello",
                {"part": partition.id, "epoch": epoch, "who": self.table.settings.name, "spoiled": there["disk"]},
                self.table.settings.bounds.promise,
            )
            link.close("its disk lost what it had acknowledged")
            return False
        marks = [(e, s) for e, s in there["marks"]]
        meet = match(partition.record_log.marks(), partition.record_log.last, marks, there["last"])
        mirror.link, mirror.epoch, mirror.disk, mirror.outgoing = link, epoch, there["disk"], None
        if meet >= 0:
            self.send(link, partition, "start", meet, partition.record_log.epoch_at(meet), 0, b"")
            mirror.next = meet + 1
        else:
            log_events.emit(
                123, self.table.settings.name, part=partition.id, mirror=name, base=partition.record_log.base_seq
            )
            self.table.counts["refills"] += 1
            mirror.outgoing = OutgoingMessage(
                "snap",
                partition.record_log.base_seq,
                partition.record_log.base_epoch,
                0,
                partition.record_log.base.dump(),
            )
            mirror.next = partition.record_log.base_seq + 1
        return True

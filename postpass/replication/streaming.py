"""The owner's side of the streams to mirrors: one link to each mirror, for all partitions owned here."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err

from postpass.replication.messages import HEARTBEAT, RECORD, SNAPSHOT, START, Hello, HelloAnswer
from postpass.replication.partition import MirrorProgress, OutgoingMessage, Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.record_log import last_common_seq
from postpass.rpc.codec import IDL, PACKET
from postpass.rpc.connection import Link
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event

# Bytes that one partition may send to a mirror before the heartbeats and records of the other partitions have their
# turn.
TURN_BYTES = 4 * PACKET


@dataclass(eq=False)
class MirrorStreams:
    """Sends records, heartbeats and snapshots. Owns one send loop and one wake-up event for each mirror."""

    table: PartitionTable
    wake_events: dict[str, asyncio.Event] = field(default_factory=dict)
    send_loops: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # For measurements only: wait until a mirror has acknowledged a record before the next one is sent to it.
    wait_for_acknowledgements: bool = False

    def wake_all(self, partition: Partition) -> None:
        """Wakes the send loops to all other members of a partition, and starts those that do not run yet."""
        for name in self.table.other_members(partition, partition.view):
            if name not in self.wake_events:
                self.wake_events[name] = asyncio.Event()
                self.send_loops[name] = asyncio.create_task(self.send_loop(name))
            self.wake_events[name].set()

    async def send_loop(self, name: str) -> None:
        """Streams all partitions owned here to one mirror, for ever, over one FIFO link.

        Records are sent without waiting for acknowledgements, which arrive over another link. A broken link is
        replaced.
        """
        link: Link | None = None
        bounds = self.table.settings.bounds
        heartbeats: dict[int, float] = {}  # partition -> when its last heartbeat was sent
        while True:
            addr = self.table.configuration_view.addr(name)
            owned = [
                p for p in self.table.partitions.values() if p.owning and name in self.table.other_members(p, p.view)
            ]
            if not addr or not owned:
                if link is not None:
                    link.close()
                    link = None
                await self.back_off(name, bounds.heartbeat_interval)
                continue
            if link is None or link.closed or link.address != addr:
                connection = await Link.open(addr, bounds.silent / 2)
                if isinstance(connection, Err):
                    for partition in owned:
                        self.suspend_if_silent(partition, name)
                    await self.back_off(name, bounds.heartbeat_interval, unreachable=True)
                    continue
                link = connection.unwrap()
            if not await self.send_pass(name, link, owned, heartbeats):
                await self.back_off(name, bounds.heartbeat_interval / 2)

    async def send_pass(self, name: str, link: Link, owned: list[Partition], heartbeats: dict[int, float]) -> bool:
        """Sends the heartbeats that are due, and then up to `TURN_BYTES` bytes of each partition's records.

        Args:
            name: The mirror.
            link: The link to it.
            owned: The owned partitions that the mirror has, or should have, a copy of.
            heartbeats: When the last heartbeat was sent, by partition number; updated here.

        Returns:
            Whether any records were sent.
        """
        bounds = self.table.settings.bounds
        ready_mirrors: list[tuple[Partition, MirrorProgress]] = []
        for partition in owned:
            if not partition.owning or link.closed:
                continue
            mirror = partition.mirrors.setdefault(name, MirrorProgress(tracked_since=now(), last_heard_at=now()))
            handshake_valid = mirror.link is link and mirror.epoch == partition.epoch
            if not handshake_valid and not await self.handshake(partition, name, link, mirror):
                continue
            if not partition.owning:
                continue
            ready_mirrors.append((partition, mirror))
            sent_at = heartbeats.get(partition.id, 0.0)
            if now() - sent_at >= bounds.heartbeat_interval * 0.9 or sent_at == 0:
                heartbeats[partition.id] = now()
                self.send(link, partition, HEARTBEAT, partition.record_log.last, partition.epoch, 0, b"")
            self.suspend_if_silent(partition, name)
            if mirror.silent:
                link.close("the mirror is silent")
        # Heartbeats are sent; now each partition has its turn, so that none waits behind the large records of another.
        turns = [
            self.send_pending(p, name, link, mirror) for p, mirror in ready_mirrors if p.owning and not link.closed
        ]
        sent = any(turns)
        try:
            await asyncio.wait_for(link.drain(), bounds.silent)
        except (TimeoutError, ConnectionError, OSError):
            link.close("it takes nothing")
        return sent

    async def back_off(self, name: str, timeout: float, unreachable: bool = False) -> None:
        """Waits until the send loop to a mirror is woken.

        Args:
            name: The mirror.
            timeout: Seconds after which the send loop continues without a wake-up.
            unreachable: Whether to sleep for that long before waiting for a wake-up, since the mirror could not be
            reached.
        """
        wake_event = self.wake_events[name]
        if unreachable:
            await asyncio.sleep(timeout)
        try:
            await asyncio.wait_for(wake_event.wait(), timeout)
        except TimeoutError:
            pass
        wake_event.clear()

    def suspend_if_silent(self, partition: Partition, name: str) -> None:
        """Stops a stream whose mirror has not acknowledged for `bounds.silent` seconds."""
        mirror = partition.mirrors.setdefault(name, MirrorProgress(tracked_since=now(), last_heard_at=now()))
        if not mirror.silent and now() - mirror.last_heard_at > self.table.settings.bounds.silent:
            mirror.silent = True
            mirror.link = None
            log_events.emit(Event.MIRROR_SILENT, self.table.settings.name, part=partition.id, mirror=name)

    def send(
        self, link: Link, partition: Partition, kind: str, seq: int, record_epoch: int, previous_epoch: int, body: bytes
    ) -> None:
        """Sends all packets of a message."""
        message = OutgoingMessage(kind, seq, record_epoch, previous_epoch, body)
        while message.index < message.total:
            self.send_packet(link, partition, message)

    def send_packet(self, link: Link, partition: Partition, message: OutgoingMessage) -> int:
        """Queues the next packet of a message on the link; returns its approximate size in bytes."""
        packet_body = message.body[message.index * PACKET : (message.index + 1) * PACKET]
        link.put("carry", IDL.Packet(
            part=partition.id, epoch=partition.epoch, owner=self.table.settings.name, kind=message.kind, seq=message.seq, born=message.record_epoch, prior=message.previous_epoch,
            index=message.index, total=message.total, body=packet_body, covered=partition.covered,
        ))  # fmt: skip
        message.index += 1
        return len(packet_body) + 128

    def send_pending(self, partition: Partition, name: str, link: Link, mirror: MirrorProgress) -> bool:
        """Sends records that the mirror has not been sent yet, up to about `TURN_BYTES` bytes.

        Returns:
            Whether anything was sent, or a new handshake is needed.
        """
        size = 0
        while size < TURN_BYTES:
            if mirror.outgoing is None:
                if mirror.next_seq <= partition.record_log.base_seq:
                    mirror.link = None  # the record was folded into the base; a new handshake begins with a snapshot
                    return True
                if mirror.next_seq > partition.record_log.last:
                    break
                if self.wait_for_acknowledgements and mirror.next_seq - 1 > partition.acknowledgements.get(
                    name, mirror.disk, "persisted"
                ):
                    return False
                record = partition.record_log.get(mirror.next_seq)
                previous_epoch = partition.record_log.epoch_at(record.seq - 1)
                mirror.outgoing = OutgoingMessage(
                    RECORD, record.seq, record.epoch, previous_epoch, record.body + b"\n" + record.kind.encode()
                )
                mirror.next_seq += 1
            size += self.send_packet(link, partition, mirror.outgoing)
            if mirror.outgoing.index == mirror.outgoing.total:
                mirror.outgoing = None
        return size > 0

    async def handshake(self, partition: Partition, name: str, link: Link, mirror: MirrorProgress) -> bool:
        """Finds the last record that a mirror's log and this one have in common, and begins the stream after it; if there
        is none that both still hold, the stream begins with a snapshot.

        Returns:
            Whether the stream has begun. If not, the mirror did not answer, does not follow this epoch, or has lost
            records that it had acknowledged, or the ownership has ended meanwhile.
        """
        epoch = partition.epoch
        hello = Hello(partition.id, epoch, self.table.settings.name)
        response = await link.request("hello", hello.encode(), self.table.settings.bounds.sync_request_limit)
        if isinstance(response, Err):
            link.close(str(response.unwrap_err()))
            return False
        answer = HelloAnswer.decode(response.unwrap())
        if partition.epoch != epoch:
            return False
        if not answer.accepted:
            if answer.promised > epoch:
                self.table.step_down(partition, answer.promised)
            return False
        assert answer.last is not None and answer.marks is not None
        acknowledged = partition.acknowledgements.get(name, answer.disk, "persisted")
        if answer.last < acknowledged:
            await self.report_failed_disk(partition, name, link, answer, acknowledged)
            return False
        common_seq = last_common_seq(partition.record_log.marks(), partition.record_log.last, answer.marks, answer.last)
        mirror.link, mirror.epoch, mirror.disk, mirror.outgoing = link, epoch, answer.disk, None
        if common_seq >= 0:
            self.send(link, partition, START, common_seq, partition.record_log.epoch_at(common_seq), 0, b"")
            mirror.next_seq = common_seq + 1
        else:
            self.begin_snapshot(partition, name, mirror)
        return True

    async def report_failed_disk(
        self, partition: Partition, name: str, link: Link, answer: HelloAnswer, acknowledged: int
    ) -> None:
        """Reports to a mirror that its disk has failed: under this very epoch it acknowledged more records than its log has
        now, so that it lost synced records, which a torn tail can't explain."""
        own_name = self.table.settings.name
        log_events.emit(
            Event.DISK_DAMAGED, own_name, part=partition.id, mirror=name, last=answer.last, acknowledged=acknowledged
        )
        hello = Hello(partition.id, partition.epoch, own_name, failed_disk=answer.disk)
        await link.request("hello", hello.encode(), self.table.settings.bounds.sync_request_limit)
        link.close("its disk lost what it had acknowledged")

    def begin_snapshot(self, partition: Partition, name: str, mirror: MirrorProgress) -> None:
        """Begins the stream with a snapshot, which replaces the mirror's log by the base and the records after it, since
        the logs have no record in common that both still hold."""
        record_log = partition.record_log
        log_events.emit(
            Event.MIRROR_REFILLED, self.table.settings.name, part=partition.id, mirror=name, base=record_log.base_seq
        )
        self.table.counts["refills"] += 1
        mirror.outgoing = OutgoingMessage(
            SNAPSHOT, record_log.base_seq, record_log.base_epoch, 0, record_log.base.dump()
        )
        mirror.next_seq = record_log.base_seq + 1

"""The partitions of a store with its log on disk, its links to peers and its background tasks."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from result import Err

from postpass.batch.job import JobView
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.log_entries import BASE, CUT, PROMISE, RECORD, base_entry, promise_entry
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record, RecordLog
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import LACK, Fault
from postpass.runtime.log_events import Event
from postpass.storage.data_directory import DataDirectory, open_data_directory
from postpass.storage.segmented_log import SegmentedLog


@dataclass(eq=False)
class PartitionTable:
    """What all parts of a store share. Owns the partitions, the log on disk and the tasks that run beside it."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    partitions: dict[int, Partition] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    data_directory: DataDirectory | None = None
    background_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    leaving: bool = False

    @property
    def log(self) -> SegmentedLog:
        """The log on disk, which all partitions share."""
        assert self.data_directory is not None
        return self.data_directory.log

    @property
    def disk_id(self) -> str:
        """Identity of the disk; a wiped one has another."""
        assert self.data_directory is not None
        return self.data_directory.name

    @property
    def own_vote(self) -> dict[str, str]:
        """This store and its disk, as a voter among others."""
        return {self.settings.name: self.disk_id}

    def partition(self, number: int) -> Partition:
        """The partition of a number; made when it is first asked for."""
        if number not in self.partitions:
            self.partitions[number] = Partition(
                number, self.settings.name, self.disk_id if self.data_directory else "", heard=now()
            )
        return self.partitions[number]

    def write(self, partition: Partition, entries: Iterable[Any], vital: bool = True) -> int:
        """Appends entries to the log on disk and notes up to which record it will be synced then.

        Args:
            partition: The partition whose records end here.
            entries: Log entries.
            vital: Whether they may use the space that is held back for records which the protocol needs.

        Raises:
            FaultError: The disk takes no more.
        """
        place = self.log.append(entries, vital)
        partition.unsynced.append((place, partition.record_log.last))
        return place

    def other_members(self, partition: Partition, view: JobView) -> list[str]:
        """Everyone who has, or should have, a copy, but this store."""
        every = dict.fromkeys(
            [
                *self.configuration_view.order(partition.id),
                *view.members,
                *(view.old_members if view.members_seq > partition.covered else {}),
            ]
        )
        return [n for n in every if n != self.settings.name]

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        """Asks another store; LACK if it has no address."""
        addr = self.configuration_view.addr(name)
        if not addr:
            return Err(Fault(verb, name, "gone or unknown", LACK))
        return await self.peer_links.request(addr, verb, body, self.settings.bounds.promise)

    def step_down(self, partition: Partition, epoch: int) -> None:
        """Ends an ownership, if there is one, since an epoch was seen; the next election waits for the full timeout."""
        if partition.owning:
            log_events.emit(
                Event.OWNER_STEPPED_DOWN, self.settings.name, part=partition.id, epoch=partition.epoch, seen=epoch
            )
            partition.step_down()
        partition.promised = max(partition.promised, epoch)
        partition.heard = now()

    async def load(self) -> None:
        """Reads the log on disk into partitions."""
        assert self.environment.disk is not None
        reserved = max(self.settings.segment_bytes // 4, 1024)
        self.data_directory = await open_data_directory(
            self.settings.name, self.environment.disk, self.environment.chance, self.settings.segment_bytes, reserved
        )
        for entry in self.data_directory.entries:
            partition = self.partition(entry.part)
            if entry.op == PROMISE:
                partition.promised = max(partition.promised, entry.epoch)
            elif entry.op == BASE:
                partition.record_log = RecordLog(entry.seq, entry.epoch, JobView.load(entry.body))
                partition.covered = entry.seq
            elif entry.op == CUT:
                partition.record_log.cut(entry.seq)
            elif entry.op == RECORD:
                partition.record_log.append(Record(entry.seq, entry.epoch, entry.kind, entry.body))
            partition.persisted = partition.record_log.last

    def snapshot(self) -> Iterator[Any]:
        """Entries that describe all partitions: what a compacted log begins with."""
        for partition in self.partitions.values():
            record_log = partition.record_log
            yield promise_entry(partition.id, partition.promised)
            yield base_entry(partition.id, record_log.base_seq, record_log.base_epoch, record_log.base.dump())
            yield from (r.entry(partition.id) for r in record_log.recs)

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
from postpass.runtime.errors import NOT_FOUND, Fault
from postpass.runtime.log_events import Event
from postpass.storage.data_directory import DataDirectory, open_data_directory
from postpass.storage.segmented_log import SegmentedLog


@dataclass(eq=False)
class PartitionTable:
    """The state that all components of a store share. Owns the partitions, the log on disk and the background tasks.

    Attributes:
        settings: The settings of the process.
        environment: Its clock, disk and random numbers.
        configuration_view: The fleet's configuration, as this machine knows it.
        peer_links: Links to other machines.
        partitions: The partitions of which this store has a copy, by number.
        counts: Counters since the process started, by name.
        data_directory: The opened data directory; None until `load` has run.
        background_tasks: Tasks that run in the background; each is referenced here until it ends.
        leaving: Whether the store is handing its partitions over, since the process is about to end.
    """

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
        """Identity of this store's disk; a wiped disk gets another one."""
        assert self.data_directory is not None
        return self.data_directory.name

    @property
    def own_vote(self) -> dict[str, str]:
        """This store's own vote: its name with the identity of its disk."""
        return {self.settings.name: self.disk_id}

    def partition(self, number: int) -> Partition:
        """Returns the partition with a number, which is created on first use."""
        if number not in self.partitions:
            self.partitions[number] = Partition(
                number, self.settings.name, self.disk_id if self.data_directory else "", last_heard_at=now()
            )
        return self.partitions[number]

    def write(self, partition: Partition, entries: Iterable[Any], vital: bool = True) -> int:
        """Appends entries to the log on disk, and notes which records of a partition will be persisted by the next sync.

        Args:
            partition: The partition; its records in memory end with the last one in `entries`.
            entries: Log entries.
            vital: Whether they may use the reserved disk space, because the protocol needs them.

        Returns:
            The offset up to which the log on disk must be synced for the entries to be durable.

        Raises:
            FaultError: The disk does not accept the entries.
        """
        log_offset = self.log.append(entries, vital)
        partition.unsynced.append((log_offset, partition.record_log.last))
        return log_offset

    def other_members(self, partition: Partition, view: JobView) -> list[str]:
        """Returns the names of all other stores that have, or should have, a copy: those of the configuration's order and
        the members in the log, including the old ones while a change of members is not covered."""
        copy_holders = dict.fromkeys(
            [
                *self.configuration_view.order(partition.id),
                *view.members,
                *self.uncovered_members(partition, view),
            ]
        )
        return [n for n in copy_holders if n != self.settings.name]

    def uncovered_members(self, partition: Partition, view: JobView) -> dict[str, str]:
        """Returns the members from before the last change of members, with their disks, while that is not covered."""
        return view.old_members if view.members_seq > partition.covered else {}

    def all_other_stores(self) -> list[str]:
        """Returns the names of all other stores of the configuration that aren't declared gone."""
        return [n for n in self.configuration_view.duty("store") if n != self.settings.name]

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        """Sends a request to another store and returns its response; the fault NOT_FOUND if the store has no address."""
        addr = self.configuration_view.addr(name)
        if not addr:
            return Err(Fault(verb, name, "gone or unknown", NOT_FOUND))
        return await self.peer_links.request(addr, verb, body, self.settings.bounds.sync_request_limit)

    def step_down(self, partition: Partition, epoch: int) -> None:
        """Ends the ownership of a partition, if there is one, because an epoch was seen or the owner can't go on.

        The next election here waits for the full timeout, and nothing under a lower epoch is accepted.
        """
        if partition.owning:
            log_events.emit(
                Event.OWNER_STEPPED_DOWN, self.settings.name, part=partition.id, epoch=partition.epoch, seen=epoch
            )
            partition.step_down()
        partition.promised = max(partition.promised, epoch)
        partition.last_heard_at = now()

    async def load(self) -> None:
        """Opens the data directory and reads the log on disk into partitions.

        Raises:
            FaultError: The data directory has a format that this release can't read.
        """
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
        """Returns the entries that describe all partitions, with which a compacted log begins."""
        for partition in self.partitions.values():
            record_log = partition.record_log
            yield promise_entry(partition.id, partition.promised)
            yield base_entry(partition.id, record_log.base_seq, record_log.base_epoch, record_log.base.dump())
            yield from (r.entry(partition.id) for r in record_log.records)

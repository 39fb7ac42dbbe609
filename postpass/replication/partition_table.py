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
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record, RecordLog
from postpass.rpc.peer_links import IDL, Body, PeerLinks, PeerResponse
from postpass.runtime import log_events
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import LACK, Fault
from postpass.storage.data_directory import DataDirectory, open_data_directory


@dataclass(eq=False)
class PartitionTable:
    """What all parts of a store share. Owns the partitions, the log on disk and the tasks that run beside it."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks
    parts: dict[int, Partition] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    data_directory: DataDirectory | None = None
    trials: set[asyncio.Task[None]] = field(default_factory=set)
    leaving: bool = False

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
        return self.parts[number]

    def write(self, part: Partition, entries: Iterable[Any], vital: bool = True) -> int:
        place: int = self.log.append(entries, vital)
        part.places.append((place, part.record_log.last))
        return place

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

    def fall(self, part: Partition, epoch: int) -> None:
        if part.owning:
            log_events.emit(121, self.settings.name, part=part.id, epoch=part.epoch, seen=epoch)
            part.step_down()
        part.promised = max(part.promised, epoch)
        part.heard = now()

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

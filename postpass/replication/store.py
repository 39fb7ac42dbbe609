"""The store duty: partitions of durable jobs, replicated after Stabilizer.

As owner: one order, streamed to each mirror without waiting; the recorder and the predicate say what is
covered. As mirror: append, sync, acknowledge on a link of its own. Takeover runs under epochs.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from result import Ok, Result

from postpass.batch.job import Job, Raw
from postpass.batch.job_records import JobRecords
from postpass.batch.job_service import JobService
from postpass.batch.leases import Desk, Leases
from postpass.batch.retention import Retention
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.acknowledger import Acknowledger
from postpass.replication.catch_up import CatchUp
from postpass.replication.election import Election
from postpass.replication.handover import Handover
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.mirror import Mirror
from postpass.replication.owner import PartitionOwner
from postpass.replication.owner_duties import OwnerDuties
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.reconfiguration import Reconfiguration
from postpass.replication.record_log import Record
from postpass.replication.streaming import MirrorStreams
from postpass.rpc.peer_links import Body, PeerLinks, PeerResponse
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import Fault
from postpass.storage.data_directory import distrust


@dataclass(eq=False)
class Store:
    """Wires the parts of a store, routes the verbs of peers to them, and runs the heartbeat of the duty."""

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks

    def __post_init__(self) -> None:
        self.table = PartitionTable(self.settings, self.environment, self.configuration_view, self.peer_links)
        self.streams = MirrorStreams(self.table)
        self.owner = PartitionOwner(self.table, self.streams, self.begun)
        self.leadership = LeadershipCheck(self.table)
        self.catch_up = CatchUp(self.table)
        self.election = Election(self.table, self.owner, self.catch_up)
        self.acknowledger = Acknowledger(self.table, self.election)
        self.mirror = Mirror(self.table, self.election, self.acknowledger)
        self.handover = Handover(self.table)
        self.reconfiguration = Reconfiguration(self.table, self.owner)
        self.jobs = JobRecords(self.table, self.owner, self.leadership)
        self.leases = Leases(self.table, self.owner, self.leadership)
        self.routed = JobService(self)
        self.retention = Retention(self.table, self.owner, self.leases, self.routed)
        self.duties = OwnerDuties(self.table, self.streams, self.reconfiguration, self.handover, self.retention)

    def begun(self, number: int) -> None:
        """An ownership begins: what was kept in memory for the one before counts no more."""
        self.leases.desks[number] = Desk()
        self.routed.forget(number)

    # --- what the daemon and the routed jobs ask for
    @property
    def log(self) -> Any:
        return self.table.log

    @property
    def disk_id(self) -> str:
        return self.table.disk_id

    @property
    def parts(self) -> dict[int, Partition]:
        return self.table.parts

    @property
    def counts(self) -> Counter[str]:
        return self.table.counts

    @property
    def trials(self) -> set[asyncio.Task[None]]:
        return self.table.trials

    @property
    def desks(self) -> dict[int, Desk]:
        return self.leases.desks

    async def open(self) -> None:
        await self.table.open()

    async def leave(self) -> None:
        await self.handover.leave()

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        return await self.table.ask(name, verb, body)

    def lead_of(self, number: int, step: str) -> Result[Partition, Fault]:
        return self.leadership.lead_of(number, step)

    async def confirm(self, part: Partition) -> bool:
        return await self.leadership.confirm(part)

    def add(self, part: Partition, kind: str, body: Body, vital: bool = True, raw: Raw = b"") -> Record:
        return self.owner.add(part, kind, body, vital, raw)

    def no_room(self, part: Partition) -> Fault | None:
        return self.jobs.no_room(part)

    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        return await self.jobs.read(body, step)

    def complete(self, part: Partition) -> bool:
        return self.reconfiguration.complete(part)

    def tasks(self) -> list[Any]:
        return [self.table.log.keep(), self.watch_sync(), self.tick(), self.mirror.watch_disk()]

    def handlers(self) -> dict[str, Any]:
        return {
            "carry": self.mirror.carry, "ack": self.owner.ack, "promise": self.election.promise, "hello": self.mirror.hello, "fetch": self.catch_up.fetch,
            "submit": self.jobs.submit, "show": self.jobs.show, "page": self.jobs.page, "finish": self.jobs.finish, "take": self.leases.take,
            "done": self.leases.done, "claim": self.jobs.claim, "parts": self.status, **self.routed.handlers(),
        }  # fmt: skip

    async def watch_sync(self) -> None:
        while True:
            moved = self.table.log.moved
            await moved.wait()
            self.synced()

    def synced(self) -> None:
        for part in self.table.parts.values():
            if part.sync_to(self.table.log.synced):
                if part.owning:
                    self.owner.moved(part)
                else:
                    self.acknowledger.note(part)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(self.table.settings.bounds.beat * (0.8 + 0.4 * self.table.environment.chance.random()))
            configuration = self.table.configuration_view.manifest
            if configuration is None:
                continue
            for number in range(configuration["parts"]):
                if self.table.settings.name in self.table.configuration_view.order(number):
                    self.table.part(number)
            for part in self.table.parts.values():
                # Nobody was heard since this process started, and there is no waiting for a silence: if an owner is
                # there, one of those that are asked hears it, and says so.
                if not part.met:
                    part.met, part.heard = True, min(part.heard, now() - self.table.settings.bounds.detect)
            zones = {n: m["area"] for n, m in configuration["machines"].items()}
            for part in list(self.table.parts.values()):
                part.zones = zones
                part.disk = self.table.disk_id
                if part.owning:
                    self.duties.own(part)
                else:
                    self.election.doubt(part)
                part.trim(self.table.settings.buffer_bytes // max(len(self.table.parts), 1))
            self.routed.report()
            if self.table.log.heavy():
                await self.table.log.compact(self.table.snapshot())
                self.synced()

    async def status(self, _body: Body) -> PeerResponse:
        free, whole = self.table.log.disk.room()
        rows = [
            {
                "part": p.id, "owner": p.owner, "epoch": max(p.epoch, p.aligned), "last": p.record_log.last, "covered": p.covered,
                "persisted": p.persisted, "owning": p.owning, "ready": p.ready, "bytes": p.record_log.size,
                "crew": p.crew, "complete": self.reconfiguration.complete(p), "losses": p.view.losses,
                "mirrors": {
                    n: {"persisted": p.recorder.get(n, f.disk, "persisted"), "silent": f.silent, "full": f.full, "disk": f.disk}
                    for n, f in sorted(p.follows.items())
                },
                "lots": len(p.view.lots), "open": sum(x.state == "open" and not x.whole for x in p.view.lots.values()),
            }
            for p in sorted(self.table.parts.values(), key=lambda p: p.id)
        ]  # fmt: skip
        return Ok({"disk": self.table.disk_id, "free": free, "size": whole, "parts": rows, "bad": self.table.log.bad,
                   "held": self.table.log.hold})  # fmt: skip

    def fail(self) -> None:
        """After a failed sync: this folder has no voice any more."""
        if self.table.environment.disk is not None and self.table.log.bad:
            distrust(self.table.environment.disk)

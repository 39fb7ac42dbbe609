"""The store duty of a process: it holds partitions of durable jobs and replicates them as the Stabilizer paper describes.

As the owner of a partition, a store sequences its records and streams them to each mirror without waiting for replies.
The mirrors' acknowledgements and the stability predicate determine up to which record the log is covered, that is,
replicated durably enough to be acknowledged to clients. As a mirror, a store appends the records, syncs them and
acknowledges them over a separate link. A new owner is elected under a new, higher epoch.

Where to look: `election` (when a store runs for owner) and `election_decision` (who wins), `owner` (sequencing of
records), `streaming` and `mirror` (both ends of the stream), `acknowledger` (a mirror's acknowledgements),
`leadership_check` (confirms the ownership before a read), `reconfiguration` (changes of members and predicate),
`handover` (planned changes of owner), `catch_up` (fetching a longer log).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from result import Ok, Result

from postpass.batch.job import Job, Payload
from postpass.batch.job_records import JobRecords
from postpass.batch.job_service import JobService
from postpass.batch.leases import Leases, OwnerState
from postpass.batch.retention import Retention
from postpass.configuration.settings import Settings
from postpass.feed.configuration_view import ConfigurationView
from postpass.replication.acknowledger import Acknowledger
from postpass.replication.catch_up import CatchUp
from postpass.replication.cover_watch import CoverWatch, members_awaited
from postpass.replication.election import Election
from postpass.replication.handover import Handover
from postpass.replication.job_memory import ITEM_BYTES, JobMemory
from postpass.replication.leadership_check import LeadershipCheck
from postpass.replication.mirror import Mirror
from postpass.replication.owner import PartitionOwner
from postpass.replication.owner_duties import OwnerDuties
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.reconfiguration import Reconfiguration
from postpass.replication.record_log import Record
from postpass.replication.streaming import MirrorStreams
from postpass.rpc.codec import Body, PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.environment import Environment, now
from postpass.runtime.errors import Fault
from postpass.storage.data_directory import revoke_identity
from postpass.storage.segmented_log import SegmentedLog
from postpass.tenants.share_service import ShareService


@dataclass(eq=False)
class Store:
    """Creates the components of a store, routes requests of peers to them by verb, and runs the store's heartbeat.

    Each component owns its fields; state that all of them share is in `table`. The daemon opens the store, runs its
    `tasks`, serves its `handlers`, and calls `leave` before it ends.
    """

    settings: Settings
    environment: Environment
    configuration_view: ConfigurationView
    peer_links: PeerLinks

    def __post_init__(self) -> None:
        self.table = PartitionTable(self.settings, self.environment, self.configuration_view, self.peer_links)
        self.streams = MirrorStreams(self.table)
        self.owner = PartitionOwner(self.table, self.streams, self.ownership_began)
        self.leadership = LeadershipCheck(self.table)
        self.catch_up = CatchUp(self.table)
        self.election = Election(self.table, self.owner, self.catch_up)
        self.job_memory = JobMemory(self.table)
        self.acknowledger = Acknowledger(self.table, self.election, self.job_memory)
        self.mirror = Mirror(self.table, self.election, self.acknowledger)
        self.handover = Handover(self.table, self.election.run_soon)
        self.reconfiguration = Reconfiguration(self.table, self.owner)
        self.jobs = JobRecords(self.table, self.owner, self.leadership, self.job_memory)
        self.leases = Leases(self.table, self.owner, self.leadership)
        self.job_service = JobService(self)
        self.shares = ShareService(self)
        self.retention = Retention(self.table, self.owner, self.leases, self.job_service)
        self.cover_watch = CoverWatch(self.table)
        self.duties = OwnerDuties(
            self.table, self.streams, self.reconfiguration, self.handover, self.retention, self.cover_watch
        )

    def ownership_began(self, number: int) -> None:
        """Discards what was kept in memory for an earlier ownership of a partition, since a new ownership begins.

        Args:
            number: Number of the partition.
        """
        self.leases.owner_states[number] = OwnerState()
        self.job_service.forget(number)
        self.shares.forget(number)

    # --- used by the daemon and the job service (`PartitionAccess`)
    @property
    def log(self) -> SegmentedLog:
        """The log on disk, which all partitions share."""
        return self.table.log

    @property
    def disk_id(self) -> str:
        """Identity of this store's disk; a wiped disk gets another one."""
        return self.table.disk_id

    @property
    def partitions(self) -> dict[int, Partition]:
        """The partitions of which this store has a copy, by number."""
        return self.table.partitions

    @property
    def counts(self) -> Counter[str]:
        """Counters since the process started, by name."""
        return self.table.counts

    @property
    def background_tasks(self) -> set[asyncio.Task[None]]:
        """Background tasks; each is referenced here until it ends, so that it is not garbage-collected."""
        return self.table.background_tasks

    @property
    def owner_states(self) -> dict[int, OwnerState]:
        """The in-memory state from which an owner leases items to schedulers, by partition."""
        return self.leases.owner_states

    async def open(self) -> None:
        """Opens the data directory and reads the log on disk into partitions."""
        await self.table.load()

    async def leave(self) -> None:
        """Hands the owned partitions over to other stores before the process ends."""
        await self.handover.leave()

    async def ask(self, name: str, verb: str, body: Body) -> PeerResponse:
        """Sends a request to another store, given by name, and returns its response; NOT_FOUND if it has no address."""
        return await self.table.ask(name, verb, body)

    def owned_partition(self, number: int, step: str) -> Result[Partition, Fault]:
        """Returns the partition if this store is its ready owner, else the fault NOT_RESPONSIBLE with its owner as a hint."""
        return self.leadership.owned_partition(number, step)

    async def confirm(self, partition: Partition) -> bool:
        """Returns whether this store is still the owner, after a round trip to the members."""
        return await self.leadership.confirm(partition)

    def append(self, partition: Partition, kind: str, body: Body, vital: bool = True, raw: Payload = b"") -> Record:
        """Sequences one record, writes it to disk and streams it to the mirrors.

        Raises:
            FaultError: The disk does not accept it; nothing was sequenced.
        """
        if kind == "lot":
            self.job_memory.add(len(raw) + len(body["items"]) * ITEM_BYTES)
        return self.owner.append(partition, kind, body, vital, raw)

    def rejection(self, partition: Partition) -> Fault | None:
        """Returns the fault for which no further job is accepted now; None if jobs are accepted."""
        return self.jobs.rejection(partition)

    async def read(self, body: Body, step: str) -> Result[tuple[Partition, Job], Fault]:
        """Returns a covered job of the requesting client, after the ownership of its partition was confirmed."""
        return await self.jobs.read(body, step)

    def members_awaited(self, partition: Partition) -> list[str]:
        """As owner: returns the members whose acknowledgement of the first uncovered record is missing."""
        return members_awaited(partition)

    def complete(self, partition: Partition) -> bool:
        """As owner: returns whether all members have synced the last change of members and the proof of it."""
        return self.reconfiguration.complete(partition)

    def tasks(self) -> list[Any]:
        """Returns the coroutines that run for as long as the process does."""
        return [self.table.log.sync_forever(), self.watch_sync(), self.run_heartbeat(), self.mirror.watch_disk()]

    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of peers' requests, by verb."""
        return {
            "carry": self.mirror.on_carry, "ack": self.owner.on_ack, "promise": self.election.on_promise, "hello": self.mirror.on_hello, "fetch": self.catch_up.on_fetch,
            "submit": self.jobs.on_submit, "show": self.jobs.on_show, "page": self.jobs.on_page, "finish": self.jobs.on_finish, "take": self.leases.on_take,
            "done": self.leases.on_done, "claim": self.jobs.on_claim, "parts": self.on_parts, **self.job_service.handlers(),
            **self.shares.handlers(),
        }  # fmt: skip

    async def watch_sync(self) -> None:
        """Updates the partitions after each sync of the log on disk."""
        while True:
            sync_done = self.table.log.sync_done
            await sync_done.wait()
            self.apply_sync()

    def apply_sync(self) -> None:
        """Updates each partition's persisted records to how far the log on disk is synced."""
        for partition in self.table.partitions.values():
            if partition.mark_synced(self.table.log.synced):
                if partition.owning:
                    self.owner.advance(partition)
                else:
                    self.acknowledger.schedule(partition)

    async def run_heartbeat(self) -> None:
        """Runs the store's heartbeat, at random intervals of 0.8 to 1.2 times `bounds.heartbeat_interval` seconds."""
        while True:
            await asyncio.sleep(
                self.table.settings.bounds.heartbeat_interval * (0.8 + 0.4 * self.table.environment.chance.random())
            )
            configuration = self.table.configuration_view.manifest
            if configuration is None:
                continue
            for number in range(configuration["parts"]):
                if self.table.settings.name in self.table.configuration_view.order(number):
                    self.table.partition(number)
            for partition in self.table.partitions.values():
                # After a start no owner has been heard from yet, and the detection time need not pass before an
                # election: if there is an owner, one of the members asked for promises hears its heartbeats and
                # refuses.
                if not partition.contacted:
                    partition.contacted, partition.last_heard_at = (
                        True,
                        min(partition.last_heard_at, now() - self.table.settings.bounds.detection_time),
                    )
            zones = {name: machine["area"] for name, machine in configuration["machines"].items()}
            for partition in list(self.table.partitions.values()):
                partition.zones = zones
                partition.disk = self.table.disk_id
                if partition.owning:
                    self.duties.run(partition)
                else:
                    self.election.run_if_silent(partition)
                partition.trim(self.table.settings.buffer_bytes // max(len(self.table.partitions), 1))
            self.job_service.report()
            self.shares.watch()
            if self.table.log.is_compaction_due():
                await self.table.log.compact(self.table.snapshot())
                self.apply_sync()

    async def on_parts(self, _body: Body) -> PeerResponse:
        """Returns the state of this store's partitions and of its disk, for operators."""
        free_bytes, total_bytes = self.table.log.disk.space()
        rows = [
            {
                "part": p.id, "owner": p.owner, "epoch": max(p.epoch, p.aligned_epoch), "last": p.record_log.last, "covered": p.covered,
                "persisted": p.persisted, "owning": p.owning, "ready": p.ready, "bytes": p.record_log.size,
                "crew": p.members, "complete": self.reconfiguration.complete(p), "losses": p.view.losses,
                "awaited": members_awaited(p) if p.owning else [],
                "oldest_lease": self.owner_states[p.id].oldest_lease() if p.owning else None,
                "mirrors": {
                    name: {"persisted": p.acknowledgements.get(name, mirror.disk, "persisted"), "silent": mirror.silent,
                    "full": mirror.disk_full, "disk": mirror.disk} for name, mirror in sorted(p.mirrors.items())
                },
                "lots": len(p.view.jobs), "open": sum(job.state == "open" and not job.complete for job in p.view.jobs.values()),
            }
            for p in sorted(self.table.partitions.values(), key=lambda partition: partition.id)
        ]  # fmt: skip
        return Ok({"disk": self.table.disk_id, "free": free_bytes, "size": total_bytes, "parts": rows, "bad": self.table.log.failure,
                   "held": self.table.log.reserved_bytes})  # fmt: skip

    def revoke_disk_identity(self) -> None:
        """Revokes the data directory's identity after a failed sync, so that none of its acknowledgements count."""
        if self.table.environment.disk is not None and self.table.log.failure:
            revoke_identity(self.table.environment.disk)

"""Drops ended jobs, rejections and claims from partitions once their retention has passed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from postpass.batch.job import JobState
from postpass.batch.job_service import DEFAULT_RETENTION_S, JobService
from postpass.batch.leases import Leases, OwnerState
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime.environment import now

DROPPED_AT_ONCE = 200  # most entries that one record drops


def expired_names(state: OwnerState, prefix: str, names: Iterable[str], retention_s: float) -> list[str]:
    """Returns the names first seen by this owner more than `retention_s` seconds ago; `prefix` is their kind."""
    return [name for name in names if now() - state.done_at.setdefault(f"{prefix}{name}", now()) > retention_s]


@dataclass(eq=False)
class Retention:
    """Drops entries whose retention has passed from owned partitions."""

    table: PartitionTable
    owner: PartitionOwner
    leases: Leases
    job_service: JobService

    def drop_expired(self, partition: Partition) -> None:
        """Drops entries that ended longer ago than the retention; a job that is long overdue is ended first."""
        configuration = self.table.configuration_view.manifest
        assert configuration is not None
        retention_s = configuration.get("retention", DEFAULT_RETENTION_S)
        state, view = self.leases.owner_states[partition.id], partition.view
        jobs = self.expired_jobs(partition, state, retention_s)
        if jobs is None:
            return
        # Rejections and claims stay as long as finished jobs do, counted from when this owner first saw them.
        rejected = expired_names(state, "rejected ", view.rejected, retention_s)
        claims = expired_names(state, "claim ", view.claims, retention_s)
        lost = expired_names(state, "lost ", view.lost, retention_s)
        if not (jobs or rejected or claims or lost):
            return
        dropped = (jobs + rejected + lost)[:DROPPED_AT_ONCE]
        self.owner.append(partition, "drop", {"lots": dropped, "claims": claims[:DROPPED_AT_ONCE]})
        for prefix, names in (("", jobs), ("lost ", lost), ("rejected ", rejected), ("claim ", claims)):
            for name in names:
                state.done_at.pop(f"{prefix}{name}", None)

    def expired_jobs(self, partition: Partition, state: OwnerState, retention_s: float) -> list[str] | None:
        """Returns the jobs that may be dropped; None if a job that is long overdue had to be ended instead."""
        droppable = []
        for job in partition.view.jobs.values():
            if "route" in job.body:
                if self.job_service.may_be_dropped(partition, job):
                    droppable.append(job.id)
            elif job.complete or job.state == JobState.ENDED:
                droppable += expired_names(state, "", [job.id], retention_s)
            elif self.table.environment.wall() > job.body["due"] + retention_s:
                self.owner.append(partition, "end", {"id": job.id})
                return None
        return droppable

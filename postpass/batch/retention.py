"""How long ended jobs, rejections and claims stay in a partition."""

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

DROPPED_AT_ONCE = 200  # entries that one record drops at the most


def expired(state: OwnerState, prefix: str, names: Iterable[str], keep: float) -> list[str]:
    """Those that this owner has seen for longer than `keep` seconds; `prefix` tells them from others of the name."""
    return [name for name in names if now() - state.done_at.setdefault(f"{prefix}{name}", now()) > keep]


@dataclass(eq=False)
class Retention:
    """Drops what the retention has passed from owned partitions."""

    table: PartitionTable
    owner: PartitionOwner
    leases: Leases
    job_service: JobService

    def drop_expired(self, partition: Partition) -> None:
        """Drops what has ended for longer than the retention; a job that is long overdue is ended first."""
        configuration = self.table.configuration_view.manifest
        assert configuration is not None
        keep = configuration.get("retention", DEFAULT_RETENTION_S)
        state, view = self.leases.owner_states[partition.id], partition.view
        jobs = self.expired_jobs(partition, state, keep)
        if jobs is None:
            return
        # Rejections and claims stay as long as finished jobs do, counted from when this owner first saw them.
        rejected = expired(state, "rejected ", view.rejected, keep)
        claims = expired(state, "claim ", view.claims, keep)
        lost = expired(state, "lost ", view.lost, keep)
        if not (jobs or rejected or claims or lost):
            return
        dropped = (jobs + rejected + lost)[:DROPPED_AT_ONCE]
        self.owner.append(partition, "drop", {"lots": dropped, "claims": claims[:DROPPED_AT_ONCE]})
        for prefix, names in (("", jobs), ("lost ", lost), ("rejected ", rejected), ("claim ", claims)):
            for name in names:
                state.done_at.pop(f"{prefix}{name}", None)

    def expired_jobs(self, partition: Partition, state: OwnerState, keep: float) -> list[str] | None:
        """The jobs that may leave; None if one that is long overdue had to be ended instead."""
        out = []
        for job in partition.view.jobs.values():
            if "route" in job.body:
                if self.job_service.may_leave(partition, job):
                    out.append(job.id)
            elif job.complete or job.state == JobState.ENDED:
                out += expired(state, "", [job.id], keep)
            elif self.table.environment.wall() > job.body["due"] + keep:
                self.owner.append(partition, "end", {"id": job.id})
                return None
        return out

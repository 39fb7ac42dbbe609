"""How long ended jobs, refusals and claims stay in a partition."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.batch.job_service import JobService
from postpass.batch.leases import Leases
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime.environment import now


@dataclass(eq=False)
class Retention:
    """Drops what the retention has passed from owned partitions."""

    table: PartitionTable
    owner: PartitionOwner
    leases: Leases
    routed: JobService

    def drop_expired(self, partition: Partition) -> None:
        """Drops what has ended for longer than the retention; a job that is long overdue is ended first."""
        configuration, state, view = (
            self.table.configuration_view.manifest,
            self.leases.owner_states[partition.id],
            partition.view,
        )
        assert configuration is not None
        keep = configuration.get("retention", 3600.0)
        gone = []
        for job in view.jobs.values():
            if "route" in job.body:
                if self.routed.over(partition, job):
                    gone.append(job.id)
            elif job.complete or job.state == "ended":
                if now() - state.done_at.setdefault(job.id, now()) > keep:
                    gone.append(job.id)
            elif self.table.environment.wall() > job.body["due"] + keep:
                self.owner.append(partition, "end", {"id": job.id})
                return
        # Refusals and claims stay as long as finished jobs do, counted from when this owner first saw them.
        shed = [n for n in view.rejected if now() - state.done_at.setdefault(f"shed {n}", now()) > keep]
        keys = [k for k in view.claims if now() - state.done_at.setdefault(f"claim {k}", now()) > keep]
        lost = [n for n in view.lost if now() - state.done_at.setdefault(f"lost {n}", now()) > keep]
        if gone or shed or keys or lost:
            self.owner.append(partition, "drop", {"lots": (gone + shed + lost)[:200], "claims": keys[:200]})
            names = [*gone, *(f"lost {n}" for n in lost), *(f"shed {n}" for n in shed), *(f"claim {k}" for k in keys)]
            for name in names:
                state.done_at.pop(name, None)

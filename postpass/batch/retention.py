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

    def tidy(self, part: Partition) -> None:
        """Lots leave after the retention; one long overdue is ended first."""
        configuration, desk, view = self.table.configuration_view.manifest, self.leases.desks[part.id], part.view
        assert configuration is not None
        keep = configuration.get("retention", 3600.0)
        gone = []
        for lot in view.lots.values():
            if "route" in lot.body:
                if self.routed.over(part, lot):
                    gone.append(lot.id)
            elif lot.whole or lot.state == "ended":
                if now() - desk.done_at.setdefault(lot.id, now()) > keep:
                    gone.append(lot.id)
            elif self.table.environment.wall() > lot.body["due"] + keep:
                self.owner.add(part, "end", {"id": lot.id})
                return
        # Refusals and claims stay as long as finished lots do, counted from when this owner first saw them.
        shed = [n for n in view.shed if now() - desk.done_at.setdefault(f"shed {n}", now()) > keep]
        keys = [k for k in view.claims if now() - desk.done_at.setdefault(f"claim {k}", now()) > keep]
        lost = [n for n in view.lost if now() - desk.done_at.setdefault(f"lost {n}", now()) > keep]
        if gone or shed or keys or lost:
            self.owner.add(part, "drop", {"lots": (gone + shed + lost)[:200], "claims": keys[:200]})
            names = [*gone, *(f"lost {n}" for n in lost), *(f"shed {n}" for n in shed), *(f"claim {k}" for k in keys)]
            for name in names:
                desk.done_at.pop(name, None)

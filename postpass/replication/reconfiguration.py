"""Changes of a partition's members and predicate, one at a time, each a record."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.membership.safe_change import Situation, Topology, next_change
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event


@dataclass(eq=False)
class Reconfiguration:
    """Brings the members of owned partitions to what the configuration wants."""

    table: PartitionTable
    owner: PartitionOwner

    def change_next(self, partition: Partition) -> None:
        """Brings predicate and members to what the configuration wants: one change at a time, each a record."""
        configuration, view = self.table.configuration_view.manifest, partition.view
        assert configuration is not None
        if view.members_seq > partition.covered or view.predicate_seq > partition.covered:
            return
        self.owner.settle_changes(partition)
        if configuration.get("predicate", "") != view.predicate:
            self.owner.append(partition, "predicate", {"text": configuration.get("predicate", "")})
            return
        change = next_change(self.situation(partition), stays=self.table.settings.name)
        if change is not None:
            self.owner.append(partition, "crew", {"crew": change.members})
            log_events.emit(
                Event.MEMBERS_CHANGED,
                self.table.settings.name,
                part=partition.id,
                joins=",".join(change.joins),
                leaves=",".join(change.leaves),
            )

    def situation(self, partition: Partition) -> Situation:
        """What a change of a partition's members is decided from, as its owner sees it now."""
        recent = now() - self.table.settings.bounds.detect
        heard = {n: f.disk for n, f in partition.mirrors.items() if f.disk and not f.silent and f.heard > recent}
        ready = {
            n: d for n, d in heard.items() if partition.acknowledgements.get(n, d, "persisted") >= partition.covered
        }
        if partition.persisted >= partition.covered:
            ready[self.table.settings.name] = self.table.disk_id
        answering = [*heard, self.table.settings.name]
        return Situation(
            partition.view.members,
            self.table.configuration_view.order(partition.id),
            ready,
            answering,
            self.topology(partition),
        )

    def complete(self, partition: Partition) -> bool:
        """As owner: do all members answer, and have they synced the last change of members with the mark that settles it?
        From then on one that has left may lose its disk, and any one of them the next: all covered records, and the proof
        of who the members are, is on the disks of all of them."""
        here = self.situation(partition)  # `live` have synced all that is covered
        return partition.proven() and here.live == set(here.current)

    def topology(self, partition: Partition) -> Topology:
        """The zones of the machines, and what may be lost of them at once."""
        return Topology(partition.zones, self.table.settings.tolerance)

"""Changes of a partition's members and stability predicate: one at a time, each as a record in the partition's log."""

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
    """Changes the members and the predicate of owned partitions to those that the configuration asks for."""

    table: PartitionTable
    owner: PartitionOwner

    def change_next(self, partition: Partition) -> None:
        """Appends a record for the next change of predicate or members that the configuration asks for, if any.

        The next change waits until the last one is covered. Raises `FaultError` if the disk does not accept the record.
        """
        configuration, view = self.table.configuration_view.manifest, partition.view
        assert configuration is not None
        if view.members_seq > partition.covered or view.predicate_seq > partition.covered:
            return
        self.owner.settle_changes(partition)
        if configuration.get("predicate", "") != view.predicate:
            self.owner.append(partition, "predicate", {"text": configuration.get("predicate", "")})
            return
        change = next_change(self.situation(partition), must_stay=self.table.settings.name)
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
        """Returns the state from which a change of a partition's members is decided, as its owner sees it now."""
        recent_since = now() - self.table.settings.bounds.detection_time
        answering_disks = {
            n: f.disk
            for n, f in partition.mirrors.items()
            if f.disk and not f.silent and f.last_heard_at > recent_since
        }
        ready = {
            n: d
            for n, d in answering_disks.items()
            if partition.acknowledgements.get(n, d, "persisted") >= partition.covered
        }
        if partition.persisted >= partition.covered:
            ready[self.table.settings.name] = self.table.disk_id
        answering = [*answering_disks, self.table.settings.name]
        return Situation(
            partition.view.members,
            self.table.configuration_view.order(partition.id),
            ready,
            answering,
            self.topology(partition),
        )

    def complete(self, partition: Partition) -> bool:
        """As owner: returns whether all members answer and have synced the last change of members and the mark that
        settles it.

        From then on a store that has left may lose its disk, and after it any one of the members: all covered records,
        and the proof of who the members are, are on the disks of all members.
        """
        situation = self.situation(partition)  # the stores in `live` have synced all covered records
        return partition.is_membership_proven() and situation.live == set(situation.current)

    def topology(self, partition: Partition) -> Topology:
        """Returns the zones of the machines, and how much of them may be lost at once."""
        return Topology(partition.zones, self.table.settings.tolerance)

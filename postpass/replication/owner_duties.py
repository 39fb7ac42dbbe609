"""What an owner does for each of its partitions at every heartbeat."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.batch.retention import Retention
from postpass.replication.cover_watch import CoverWatch
from postpass.replication.handover import Handover
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.reconfiguration import Reconfiguration
from postpass.replication.streaming import MirrorStreams
from postpass.runtime.environment import now
from postpass.runtime.errors import FaultError


@dataclass(eq=False)
class OwnerDuties:
    """Checks that a quorum of members still follows, and steps down if not; then changes members or predicate, drops
    expired jobs and hands the partition over to the member that should own it."""

    table: PartitionTable
    streams: MirrorStreams
    reconfiguration: Reconfiguration
    handover: Handover
    retention: Retention
    cover_watch: CoverWatch

    def run(self, partition: Partition) -> None:
        """Runs the duties of an owner for one heartbeat.

        Steps down if no quorum was heard from for 1.5 times the detection time, or if the disks that are left have not
        been able to cover records for the detection time.
        """
        configuration, bounds, current_time = self.table.configuration_view.manifest, self.table.settings.bounds, now()
        assert configuration is not None
        responsive_disks = {
            n: mirror.disk
            for n, mirror in partition.mirrors.items()
            if current_time - mirror.last_heard_at < bounds.detection_time
        }
        if not partition.is_ownership_confirmed(responsive_disks | {self.table.settings.name: self.table.disk_id}):
            if current_time - partition.last_heard_at > bounds.detection_time * 1.5:
                self.table.step_down(partition, partition.epoch)
                return
        else:
            partition.last_heard_at = current_time
        self.streams.wake_all(partition)
        self.cover_watch.observe(partition)
        if self.cannot_cover(partition):
            partition.uncoverable_since = partition.uncoverable_since or current_time
            if current_time - partition.uncoverable_since > bounds.detection_time:
                # Nothing can be covered any more under this ownership: only an election that all members answer can go
                # on.
                self.table.step_down(partition, partition.epoch)
                return
        else:
            partition.uncoverable_since = 0.0
        if not partition.ready:
            return
        try:
            self.reconfiguration.change_next(partition)
            self.retention.drop_expired(partition)
        except FaultError:
            return
        order = self.table.configuration_view.order(partition.id)
        if order and order[0] != self.table.settings.name:
            for name in order[: order.index(self.table.settings.name)] if self.table.settings.name in order else order:
                mirror = partition.mirrors.get(name)
                if (
                    mirror is not None
                    and current_time - mirror.tracked_since > bounds.detection_time
                    and self.handover.can_take_over(partition, name)
                ):
                    self.handover.begin(partition, name)
                    return

    def cannot_cover(self, partition: Partition) -> bool:
        """Returns whether all members have answered, or been declared gone, and their disks include no covering set."""
        current_time, bounds = now(), self.table.settings.bounds
        expected_names = [
            n for n in self.table.other_members(partition, partition.view) if self.table.configuration_view.addr(n)
        ]
        answering_mirrors = {
            n: mirror for n in expected_names if (mirror := partition.mirrors.get(n)) is not None and mirror.disk
        }
        if len(answering_mirrors) < len(expected_names) or any(
            mirror.silent or current_time - mirror.last_heard_at > bounds.detection_time
            for mirror in answering_mirrors.values()
        ):
            return False
        return partition.is_uncoverable(
            {n: mirror.disk for n, mirror in answering_mirrors.items()} | {self.table.settings.name: self.table.disk_id}
        )

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
    """Checks that the members still follow, and steps down if they do not; then changes, retention and handover."""

    table: PartitionTable
    streams: MirrorStreams
    reconfiguration: Reconfiguration
    handover: Handover
    retention: Retention
    cover_watch: CoverWatch

    def run(self, partition: Partition) -> None:
        """One heartbeat of an owner. Steps down if no quorum was heard for 1.5 times the detection time, or if what is left
        can cover nothing."""
        configuration, bounds, moment = self.table.configuration_view.manifest, self.table.settings.bounds, now()
        assert configuration is not None
        fresh = {n: mirror.disk for n, mirror in partition.mirrors.items() if moment - mirror.heard < bounds.detect}
        if not partition.confirmed(fresh | {self.table.settings.name: self.table.disk_id}):
            if moment - partition.heard > bounds.detect * 1.5:
                self.table.step_down(partition, partition.epoch)
                return
        else:
            partition.heard = moment
        self.streams.wake_all(partition)
        self.cover_watch.observe(partition)
        if self.cannot_cover(partition):
            partition.uncoverable_since = partition.uncoverable_since or moment
            if moment - partition.uncoverable_since > bounds.detect:
                # Nothing can be covered any more from here: only an election, which all answer, may go on.
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
                    and moment - mirror.since > bounds.detect
                    and self.handover.can_take_over(partition, name)
                ):
                    self.handover.begin(partition, name)
                    return

    def cannot_cover(self, partition: Partition) -> bool:
        """Have all members answered, or been declared gone, and no covering set of their disks is left?"""
        moment, bounds = now(), self.table.settings.bounds
        names = [
            n for n in self.table.other_members(partition, partition.view) if self.table.configuration_view.addr(n)
        ]
        there = {n: mirror for n in names if (mirror := partition.mirrors.get(n)) is not None and mirror.disk}
        if len(there) < len(names) or any(
            mirror.silent or moment - mirror.heard > bounds.detect for mirror in there.values()
        ):
            return False
        return partition.hopeless(
            {n: mirror.disk for n, mirror in there.items()} | {self.table.settings.name: self.table.disk_id}
        )

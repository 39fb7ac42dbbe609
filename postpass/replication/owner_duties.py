"""What an owner does for each of its partitions at every heartbeat."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.batch.retention import Retention
from postpass.replication.handover import Handover
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.replication.reconfiguration import Reconfiguration
from postpass.replication.streaming import MirrorStreams
from postpass.runtime.environment import now
from postpass.runtime.errors import Stop


@dataclass(eq=False)
class OwnerDuties:
    """Checks that the members still follow, and steps down if they do not; then changes, retention and handover."""

    table: PartitionTable
    streams: MirrorStreams
    reconfiguration: Reconfiguration
    handover: Handover
    retention: Retention

    def own(self, part: Partition) -> None:
        configuration, b, t = self.table.configuration_view.manifest, self.table.settings.bounds, now()
        assert configuration is not None
        fresh = {n: f.disk for n, f in part.follows.items() if t - f.heard < b.detect}
        if not part.confirmed(fresh | {self.table.settings.name: self.table.disk_id}):
            if t - part.heard > b.detect * 1.5:
                self.table.fall(part, part.epoch)
                return
        else:
            part.heard = t
        self.streams.kick_all(part)
        if self.lost_cover(part):
            part.stuck = part.stuck or t
            if t - part.stuck > b.detect:
                # Nothing can be covered any more from here: only an election, which all answer, may go on.
                self.table.fall(part, part.epoch)
                return
        else:
            part.stuck = 0.0
        if not part.ready:
            return
        try:
            self.reconfiguration.change(part)
            self.retention.tidy(part)
        except Stop:
            return
        order = self.table.configuration_view.order(part.id)
        if order and order[0] != self.table.settings.name:
            for name in order[: order.index(self.table.settings.name)] if self.table.settings.name in order else order:
                f = part.follows.get(name)
                if f is not None and t - f.since > b.detect and self.handover.fit(part, name):
                    self.handover.hand_on(part, name)
                    return

    def lost_cover(self, part: Partition) -> bool:
        """Have all members answered, or been declared gone, and no covering set of their disks is left?"""
        t, b = now(), self.table.settings.bounds
        names = [n for n in self.table.names(part, part.view) if self.table.configuration_view.addr(n)]
        there = {n: f for n in names if (f := part.follows.get(n)) is not None and f.disk}
        if len(there) < len(names) or any(f.silent or t - f.heard > b.detect for f in there.values()):
            return False
        return part.hopeless({n: f.disk for n, f in there.items()} | {self.table.settings.name: self.table.disk_id})

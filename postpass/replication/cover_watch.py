"""Reports partitions whose records stay uncovered for long: since when, and whose acknowledgements are missing.

This is monitoring only and decides nothing. An owner may wait for absent members as long as it hears from a quorum; but
clients that submit a job meanwhile get no acknowledgement, so operators must be able to see it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event


def members_awaited(partition: Partition) -> list[str]:
    """As owner: returns the members, under every rule that applies, whose counted disk has not acknowledged the first
    uncovered record as synced; an empty list if all records are covered."""
    first_uncovered = partition.covered + 1
    if partition.record_log.last < first_uncovered:
        return []
    counted_disks = {
        (name, disk) for members, _ in partition.active_rules(partition.view) for name, disk in members.items()
    }
    behind = {
        name
        for name, disk in counted_disks
        if partition.acknowledgements.get(name, disk, "persisted") < first_uncovered
    }
    return sorted(behind)


@dataclass(frozen=True)
class StalledFrontier:
    """An owner's stability frontier that does not advance although there are records beyond it.

    Attributes:
        epoch: Epoch of the ownership.
        covered: Sequence number of the frontier.
        since: Since when it has been there, in monotonic seconds.
        reported: Whether the event was logged.
    """

    epoch: int
    covered: int
    since: float
    reported: bool = False


@dataclass(eq=False)
class CoverWatch:
    """Watches the stability frontier of each owned partition, once a heartbeat. Owns `stalled_frontiers`, by partition number."""

    table: PartitionTable
    stalled_frontiers: dict[int, StalledFrontier] = field(default_factory=dict)

    def observe(self, partition: Partition) -> None:
        """Notes whether the frontier advanced; logs an event once it has not for longer than the detection time."""
        if not partition.owning or partition.covered >= partition.record_log.last:
            self.stalled_frontiers.pop(partition.id, None)
            return
        previous = self.stalled_frontiers.get(partition.id)
        if previous is None or (previous.epoch, previous.covered) != (partition.epoch, partition.covered):
            self.stalled_frontiers[partition.id] = StalledFrontier(partition.epoch, partition.covered, now())
            return
        if previous.reported or now() - previous.since <= self.table.settings.bounds.detection_time:
            return
        self.stalled_frontiers[partition.id] = StalledFrontier(
            previous.epoch, previous.covered, previous.since, reported=True
        )
        log_events.emit(
            Event.COVER_STALLED,
            self.table.settings.name,
            part=partition.id,
            epoch=partition.epoch,
            covered=partition.covered,
            last=partition.record_log.last,
            awaited=",".join(members_awaited(partition)),
        )

    def longest_stall(self) -> float:
        """Returns for how many seconds the longest-stalled frontier has not advanced; 0 if none is stalled."""
        current_stalls = (
            s for number, s in self.stalled_frontiers.items() if self.table.partitions[number].epoch == s.epoch
        )
        return max((now() - stalled.since for stalled in current_stalls), default=0.0)

"""Tells when a partition's records are not covered for long: since when, and whose acknowledgements are missing.

It decides nothing. An owner may wait for members that are away, as long as it hears a quorum; but whoever hands in a job
meanwhile gets no acknowledgement, so that it must be seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now
from postpass.runtime.log_events import Event


def members_awaited(partition: Partition) -> list[str]:
    """As owner: the members, under each rule that counts, whose counted disk has not synced the first uncovered record."""
    first = partition.covered + 1
    if partition.record_log.last < first:
        return []
    counted = {(name, disk) for members, _ in partition.rules(partition.view) for name, disk in members.items()}
    behind = {name for name, disk in counted if partition.acknowledgements.get(name, disk, "persisted") < first}
    return sorted(behind)


@dataclass(frozen=True)
class Standstill:
    """An owner's frontier that does not move though there are records beyond it: since when, in monotonic seconds."""

    epoch: int
    covered: int
    since: float
    reported: bool = False


@dataclass(eq=False)
class CoverWatch:
    """Watches the frontier of each owned partition, once a heartbeat. Owns `standstills`, by partition."""

    table: PartitionTable
    standstills: dict[int, Standstill] = field(default_factory=dict)

    def observe(self, partition: Partition) -> None:
        """Notes whether the frontier moved; logs an event once it stands still for the detection time."""
        if not partition.owning or partition.covered >= partition.record_log.last:
            self.standstills.pop(partition.id, None)
            return
        known = self.standstills.get(partition.id)
        if known is None or (known.epoch, known.covered) != (partition.epoch, partition.covered):
            self.standstills[partition.id] = Standstill(partition.epoch, partition.covered, now())
            return
        if known.reported or now() - known.since <= self.table.settings.bounds.detect:
            return
        self.standstills[partition.id] = Standstill(known.epoch, known.covered, known.since, reported=True)
        log_events.emit(
            Event.COVER_STALLED,
            self.table.settings.name,
            part=partition.id,
            epoch=partition.epoch,
            covered=partition.covered,
            last=partition.record_log.last,
            awaited=",".join(members_awaited(partition)),
        )

    def longest(self) -> float:
        """For how many seconds the frontier that stands still longest has not moved; 0 if all do."""
        owned = (s for number, s in self.standstills.items() if self.table.partitions[number].epoch == s.epoch)
        return max((now() - standstill.since for standstill in owned), default=0.0)

"""Changes of a partition's members and predicate, one at a time, each a record."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.membership.safe_change import Situation, Topology, next_change
from postpass.replication.owner import PartitionOwner
from postpass.replication.partition import Partition
from postpass.replication.partition_table import PartitionTable
from postpass.runtime import log_events
from postpass.runtime.environment import now


@dataclass(eq=False)
class Reconfiguration:
    """Brings the members of owned partitions to what the configuration wants."""

    table: PartitionTable
    owner: PartitionOwner

    def change(self, part: Partition) -> None:
        """Brings predicate and members to what the manifest wants: one change at a time, each a record."""
        configuration, view = self.table.configuration_view.manifest, part.view
        assert configuration is not None
        if view.crew_seq > part.covered or view.predicate_seq > part.covered:
            return
        self.owner.prove(part)
        if configuration.get("predicate", "") != view.predicate:
            self.owner.add(part, "predicate", {"text": configuration.get("predicate", "")})
            return
        change = next_change(self.situation(part), stays=self.table.settings.name)
        if change is not None:
            self.owner.add(part, "crew", {"crew": change.members})
            log_events.emit(
                124,
                self.table.settings.name,
                part=part.id,
                joins=",".join(change.joins),
                leaves=",".join(change.leaves),
            )

    def situation(self, part: Partition) -> Situation:
        """What a change of a partition's members is decided from, as its owner sees it now."""
        recent = now() - self.table.settings.bounds.detect
        heard = {n: f.disk for n, f in part.follows.items() if f.disk and not f.silent and f.heard > recent}
        ready = {n: d for n, d in heard.items() if part.recorder.get(n, d, "persisted") >= part.covered}
        if part.persisted >= part.covered:
            ready[self.table.settings.name] = self.table.disk_id
        answering = [*heard, self.table.settings.name]
        return Situation(
            part.view.crew, self.table.configuration_view.order(part.id), ready, answering, self.topology(part)
        )

    def complete(self, part: Partition) -> bool:
        """As owner: do all members answer, and have they synced the last change of members with the mark that settles it?
        From then on one that has left may lose its disk, and any one of them the next: whatever was held, and the proof
        of who the members are, is on the disks of all of them."""
        here = self.situation(part)  # `live` have synced all that is covered
        return part.proven() and here.live == set(here.current)

    def topology(self, part: Partition) -> Topology:
        """Where the machines stand, and what may be lost of them at once."""
        return Topology(part.zones, self.table.settings.tolerance)

"""What the owners of partitions report to control: who holds the replicas, and whether the partition needs a store."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from result import Ok

from postpass.membership.safe_change import majority_of
from postpass.rpc.codec import Body, PeerResponse


@dataclass(frozen=True)
class OwnerReport:
    """A store's report of a partition that it owns (a row of the answer to the verb `parts`).

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the ownership; of several stores that claim a partition, the one with the newest owns it.
        members: The members, with the identities of their disks.
        live_members: Those that acknowledge by these disks, including the owner itself.
        complete: Whether all members have synced the last change of members and the proof of it.
    """

    partition: int
    epoch: int
    members: dict[str, str]
    live_members: frozenset[str]
    complete: bool

    @classmethod
    def from_json(cls, row: Body, disk: str) -> OwnerReport:
        """Parses a row of a store's answer; `disk` is the identity of that store's own disk."""
        members = row["crew"]
        answering = {name: mirror["disk"] for name, mirror in row["mirrors"].items() if not mirror["silent"]}
        answering[row["owner"]] = disk
        live_members = frozenset(name for name, member_disk in members.items() if answering.get(name) == member_disk)
        return cls(row["part"], row["epoch"], members, live_members, row.get("complete", True))

    def serves_without(self, store: str) -> bool:
        """Returns whether a majority of the members answers the owner even without this store."""
        return len(self.live_members - {store}) >= majority_of(len(self.members))


def newest_owner_reports(responses: Iterable[PeerResponse]) -> dict[int, OwnerReport]:
    """Returns the report of each partition's ready owner, by partition, from the stores' answers to the verb `parts`."""
    newest: dict[int, OwnerReport] = {}
    for response in responses:
        if not isinstance(response, Ok):
            continue
        answer = response.unwrap()
        for row in answer["parts"]:
            if not row["owning"] or not row["ready"]:
                continue
            report = OwnerReport.from_json(row, answer["disk"])
            if report.partition not in newest or report.epoch > newest[report.partition].epoch:
                newest[report.partition] = report
    return newest


def all_serve_without(store: str, reports: dict[int, OwnerReport], partitions: Collection[int]) -> bool:
    """Returns whether each of the partitions has an owner, and would go on without a store."""
    return all(number in reports and reports[number].serves_without(store) for number in partitions)

"""The shared picture of load: what all edges and the scheduler have at each worker, and the edges that collect it.

An edge's own counts say little where there are more edges than slots of a worker. So every edge reports its own counts to
a hub, which is an edge of its zone, and gets the sum in the response; the hubs exchange the sums of their members.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from postpass.routing.prefixes import rendezvous

MEMBERS_PER_HUB = 16  # edges that one hub serves
# Messages a second that a hub should get at most; where there would be more, all exchange less often.
HUB_MESSAGES = 150
FEW_EDGES_INTERVALS = 2  # times the usual interval between exchanges where a single hub serves all edges
ALL_ZONES = ""  # name of the group that consists of the edges of all zones


class WorkerUse(NamedTuple):
    """The load of one worker, and how it responded to the edges that used it lately.

    `live` and `items` count live requests and items of jobs; `unread` counts prompt tokens for which no response has begun
    yet. `failed` and `answered` count the edges that used the worker lately, by whether their last attempt failed.
    """

    live: int = 0
    items: int = 0
    unread: int = 0
    failed: int = 0
    answered: int = 0

    def plus(self, other: WorkerUse) -> WorkerUse:
        """Returns the sum of both."""
        # Spelled out field by field for speed: a hub adds up hundreds of these with each report.
        return WorkerUse(
            self.live + other.live, self.items + other.items, self.unread + other.unread, self.failed + other.failed,
            self.answered + other.answered,
        )  # fmt: skip

    def minus(self, other: WorkerUse) -> WorkerUse:
        """Returns the difference, with no field below 0."""
        return WorkerUse(*(max(0, own_count - other_count) for own_count, other_count in zip(self, other, strict=True)))

    @property
    def requests(self) -> int:
        """The number of live requests and items."""
        return self.live + self.items

    @property
    def fails_most(self) -> bool:
        """Whether the worker failed for more edges than it answered.

        A worker that only a few edges can't reach still serves the others.
        """
        return self.failed > self.answered


IDLE = WorkerUse()
MAX_REPORTED_FRACTION = 0.5  # largest fraction of all workers that may be avoided because of reports of others
LoadReport = Mapping[str, WorkerUse]  # by worker; a worker without an entry is idle


@dataclass(frozen=True, slots=True)
class TimedReport:
    """A report with the time at which it arrived, in seconds of the event loop's clock."""

    received_at: float
    use: LoadReport


@dataclass(eq=False)
class ReportTable:
    """The newest report of each sender. Invariant: `total` is their sum, without idle workers.

    The sum is updated with each report, since a hub gets more than a hundred of them a second and returns the sum each time.
    """

    reports: dict[str, TimedReport] = field(default_factory=dict)
    total: dict[str, WorkerUse] = field(default_factory=dict)

    def replace(self, sender: str, report: TimedReport) -> None:
        """Replaces a sender's previous report by a new one."""
        self._remove_report(sender)
        report = TimedReport(report.received_at, {worker: use for worker, use in report.use.items() if use != IDLE})
        self.reports[sender] = report
        for worker, use in report.use.items():
            self.total[worker] = self.total.get(worker, IDLE).plus(use)

    def forget_before(self, oldest: float) -> None:
        """Removes the reports that arrived before the time `oldest`, in seconds of the event loop's clock."""
        for sender in [name for name, report in self.reports.items() if report.received_at < oldest]:
            self._remove_report(sender)

    def _remove_report(self, sender: str) -> None:
        previous = self.reports.pop(sender, None)
        for worker, use in previous.use.items() if previous else ():
            remaining = self.total[worker].minus(use)
            if remaining == IDLE:
                del self.total[worker]
            else:
                self.total[worker] = remaining


def are_failures_credible(reported: int, workers: int) -> bool:
    """Returns whether reports that so many of all workers fail are to be believed, so that these workers are avoided.

    It is unlikely that more than `MAX_REPORTED_FRACTION` of all workers fail at once; it is likelier that those who report
    it are cut off from the network themselves, since an edge that is cut off reports every worker. Without any reported
    worker the result is False.
    """
    return 0 < reported <= workers * MAX_REPORTED_FRACTION


def sum_reports(reports: Iterable[LoadReport]) -> dict[str, WorkerUse]:
    """Returns the sum of all reports."""
    total: dict[str, WorkerUse] = {}
    for report in reports:
        for worker, use in report.items():
            total[worker] = total[worker].plus(use) if worker in total else use
    return total


def subtract_report(report: LoadReport, own: LoadReport) -> dict[str, WorkerUse]:
    """Returns a sum of reports minus `own`, which is one of them."""
    return {worker: use.minus(own.get(worker, IDLE)) for worker, use in report.items()}


def report_as_json(report: LoadReport) -> dict[str, list[int]]:
    """Returns a report as the JSON that daemons send to each other; idle workers are left out."""
    return {worker: list(use) for worker, use in report.items() if use != IDLE}


def report_from_json(raw: Mapping[str, Any]) -> dict[str, WorkerUse]:
    """Parses a report from the JSON of `report_as_json`. Raises TypeError or ValueError for anything else."""
    return {worker: WorkerUse(*(int(number) for number in row)) for worker, row in raw.items()}


def choose_hubs(edges_by_zone: Mapping[str, Sequence[str]]) -> list[str]:
    """Returns the edges that collect the load reports; every process that knows the same edges gets the same result.

    There is one hub for each `MEMBERS_PER_HUB` edges of a zone, or a single hub if all zones together have no more edges
    than that.
    """
    return [
        hub
        for group, edges in _groups(edges_by_zone).items()
        for hub in _hub_preference(group, edges)[: _hub_count(edges)]
    ]


def preferred_hubs(name: str, zone: str, edges_by_zone: Mapping[str, Sequence[str]]) -> list[str]:
    """Returns the edges to which a daemon may report its counts, the preferred one first.

    First come the hubs of the daemon's zone, then the other edges of the zone, which replace hubs that are lost, then the
    hubs of other zones.
    """
    groups = _groups(edges_by_zone)
    own_group = ALL_ZONES if ALL_ZONES in groups else zone
    ranked = _hub_preference(own_group, list(groups.get(own_group, ())))
    own_hub_count = _hub_count(ranked)
    own_hubs = rendezvous(name.encode(), ranked[:own_hub_count], own_hub_count)
    elsewhere = {other: edges for other, edges in groups.items() if other != own_group}
    other_hubs = choose_hubs(elsewhere) if len(groups) > 1 else []
    # If all hubs are lost, a daemon in a zone without edges still finds the edges that have replaced them.
    replacements = [
        edge for other, edges in elsewhere.items() for edge in _hub_preference(other, edges)[_hub_count(edges) :][:1]
    ]
    return [
        *own_hubs, *ranked[own_hub_count:], *rendezvous(name.encode(), other_hubs, len(other_hubs)),
        *rendezvous(name.encode(), replacements, len(replacements)),
    ]  # fmt: skip


def exchange_interval(base: float, edges_by_zone: Mapping[str, Sequence[str]]) -> float:
    """Returns the seconds between two exchanges of load reports.

    They are `base`, or more if a hub would get too many messages, or if there are so few edges that each one sees a good part
    of the load itself.
    """
    groups = _groups(edges_by_zone)
    if ALL_ZONES in groups:
        return base * FEW_EDGES_INTERVALS
    largest = max((len(edges) for edges in groups.values()), default=0)
    messages = min(largest, MEMBERS_PER_HUB) + len(choose_hubs(edges_by_zone))
    return max(base, messages / HUB_MESSAGES)


def _groups(edges_by_zone: Mapping[str, Sequence[str]]) -> Mapping[str, Sequence[str]]:
    """Returns the groups of edges that share hubs: one group for each zone, or a single one if there are few edges."""
    all_edges = [edge for edges in edges_by_zone.values() for edge in edges]
    return {ALL_ZONES: sorted(all_edges)} if 0 < len(all_edges) <= MEMBERS_PER_HUB else edges_by_zone


def _hub_preference(group: str, edges: Sequence[str]) -> list[str]:
    """Returns the edges of a group in the order in which they become hubs, the same for everyone."""
    return rendezvous(b"load hub/" + group.encode(), edges, len(edges))


def _hub_count(edges: Sequence[str]) -> int:
    """Returns how many hubs a group of edges has."""
    return math.ceil(len(edges) / MEMBERS_PER_HUB)

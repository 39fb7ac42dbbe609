"""The shared picture of load: what all edges and the scheduler have at each worker, and who gathers it.

An edge's own counts say little where there are more edges than slots of a worker. So every edge tells its own to a hub,
an edge of its zone, and is told the sum in turn; the hubs tell each other what their members have.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from postpass.routing.prefixes import rendezvous

MEMBERS_PER_HUB = 16  # edges that one hub serves
HUB_MESSAGES = 150  # a second that a hub takes; above that, all exchange less often
FEW_EDGES_INTERVALS = 2  # times the usual interval, where one hub serves all
ALL_ZONES = ""  # the group of edges of all zones


class WorkerUse(NamedTuple):
    """What there is at one worker: live requests, items of jobs, and prompt tokens that were not answered yet; and how many
    edges it failed or answered when they last tried it, of those that did lately."""

    live: int = 0
    items: int = 0
    unread: int = 0
    failed: int = 0
    answered: int = 0

    def plus(self, other: WorkerUse) -> WorkerUse:
        """Both together."""
        # Written out: a hub adds up hundreds of these with each report.
        return WorkerUse(
            self.live + other.live, self.items + other.items, self.unread + other.unread, self.failed + other.failed,
            self.answered + other.answered,
        )  # fmt: skip

    def minus(self, other: WorkerUse) -> WorkerUse:
        """Without what the other one has; never below none."""
        return WorkerUse(*(max(0, mine - theirs) for mine, theirs in zip(self, other, strict=True)))

    @property
    def requests(self) -> int:
        """Live requests and items."""
        return self.live + self.items

    @property
    def fails_most(self) -> bool:
        """Did it fail more edges than it answered? One that single edges can't reach serves the others still."""
        return self.failed > self.answered


IDLE = WorkerUse()
MOST_REPORTED = 0.5  # of all workers that may be left alone because of what others tell
LoadReport = Mapping[str, WorkerUse]  # by worker; one that is not named has nothing


@dataclass(frozen=True, slots=True)
class TimedReport:
    """A report with the moment at which it came, in seconds of the loop's clock."""

    at: float
    use: LoadReport


@dataclass(eq=False)
class ReportTable:
    """The newest report of each sender. Invariant: `total` is their sum, without workers that have nothing.

    It is kept as reports come, since a hub gets more than a hundred a second and tells the sum with each.
    """

    reports: dict[str, TimedReport] = field(default_factory=dict)
    total: dict[str, WorkerUse] = field(default_factory=dict)

    def replace(self, sender: str, report: TimedReport) -> None:
        """Takes a sender's report in place of its last one."""
        self._take_off(sender)
        report = TimedReport(report.at, {worker: use for worker, use in report.use.items() if use != IDLE})
        self.reports[sender] = report
        for worker, use in report.use.items():
            self.total[worker] = self.total.get(worker, IDLE).plus(use)

    def forget_before(self, oldest: float) -> None:
        """Forgets the reports that came before this loop time."""
        for sender in [name for name, report in self.reports.items() if report.at < oldest]:
            self._take_off(sender)

    def _take_off(self, sender: str) -> None:
        known = self.reports.pop(sender, None)
        for worker, use in known.use.items() if known else ():
            left = self.total[worker].minus(use)
            if left == IDLE:
                del self.total[worker]
            else:
                self.total[worker] = left


def believed(reported: int, workers: int) -> bool:
    """Are so many workers that fail the others to be left alone? More than a part of all hardly fail at once: whoever is cut
    off from them reports each one."""
    return 0 < reported <= workers * MOST_REPORTED


def summed(reports: Iterable[LoadReport]) -> dict[str, WorkerUse]:
    """All reports together."""
    total: dict[str, WorkerUse] = {}
    for report in reports:
        for worker, use in report.items():
            total[worker] = total[worker].plus(use) if worker in total else use
    return total


def without(report: LoadReport, own: LoadReport) -> dict[str, WorkerUse]:
    """A sum without what one of its parts has."""
    return {worker: use.minus(own.get(worker, IDLE)) for worker, use in report.items()}


def report_as_json(report: LoadReport) -> dict[str, list[int]]:
    """A report as daemons send it to each other; idle workers are left out."""
    return {worker: list(use) for worker, use in report.items() if use != IDLE}


def report_from_json(raw: Mapping[str, Any]) -> dict[str, WorkerUse]:
    """Reads what `report_as_json` wrote. Raises TypeError or ValueError for anything else."""
    return {worker: WorkerUse(*(int(number) for number in row)) for worker, row in raw.items()}


def hubs(edges_by_zone: Mapping[str, Sequence[str]]) -> list[str]:
    """The edges that gather the load, the same for all who know these edges: one for so many edges of a zone, or a single
    one where there are no more in all zones together."""
    return [
        hub for group, edges in _groups(edges_by_zone).items() for hub in _order(group, edges)[: _hubs_wanted(edges)]
    ]


def hub_order(name: str, zone: str, edges_by_zone: Mapping[str, Sequence[str]]) -> list[str]:
    """Whom a daemon tells its counts, the first choice first: the hubs of its zone, then other edges there that would
    take their place, then the hubs elsewhere."""
    groups = _groups(edges_by_zone)
    own_group = ALL_ZONES if ALL_ZONES in groups else zone
    ranked = _order(own_group, list(groups.get(own_group, ())))
    wanted = _hubs_wanted(ranked)
    first = rendezvous(name.encode(), ranked[:wanted], wanted)
    elsewhere = {other: edges for other, edges in groups.items() if other != own_group}
    others = hubs(elsewhere) if len(groups) > 1 else []
    # Should all hubs be lost, a daemon in a zone without edges still finds those that took their place.
    next_ones = [edge for other, edges in elsewhere.items() for edge in _order(other, edges)[_hubs_wanted(edges) :][:1]]
    return [
        *first, *ranked[wanted:], *rendezvous(name.encode(), others, len(others)),
        *rendezvous(name.encode(), next_ones, len(next_ones)),
    ]  # fmt: skip


def exchange_interval(base: float, edges_by_zone: Mapping[str, Sequence[str]]) -> float:
    """Seconds between two exchanges: `base`, or more where a hub would have too much to do, or where edges are so few that
    each sees a good part of the load itself."""
    groups = _groups(edges_by_zone)
    if ALL_ZONES in groups:
        return base * FEW_EDGES_INTERVALS
    largest = max((len(edges) for edges in groups.values()), default=0)
    messages = min(largest, MEMBERS_PER_HUB) + len(hubs(edges_by_zone))
    return max(base, messages / HUB_MESSAGES)


def _groups(edges_by_zone: Mapping[str, Sequence[str]]) -> Mapping[str, Sequence[str]]:
    """The edges that are gathered together: those of a zone, or all if they are few."""
    every = [edge for edges in edges_by_zone.values() for edge in edges]
    return {ALL_ZONES: sorted(every)} if 0 < len(every) <= MEMBERS_PER_HUB else edges_by_zone


def _order(group: str, edges: Sequence[str]) -> list[str]:
    return rendezvous(b"load hub/" + group.encode(), edges, len(edges))


def _hubs_wanted(edges: Sequence[str]) -> int:
    return math.ceil(len(edges) / MEMBERS_PER_HUB)

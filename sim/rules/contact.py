"""Which machines were in contact with a settled control plane, and when. The rules bind only those."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass
from functools import cached_property

from sim.rules.history import EVER, History

Span = tuple[float, float]  # first and last second
Link = frozenset[str]  # the names of two machines


def covers(spans: list[Span], time: float) -> bool:
    """Does one of the spans hold this time?"""
    return any(first <= time <= last for first, last in spans)


def joined_spans(spans: list[Span]) -> list[Span]:
    """Spans in the order of time, those that overlap put together."""
    joined: list[Span] = []
    for first, last in sorted(spans):
        if joined and first <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(last, joined[-1][1]))
        else:
            joined.append((first, last))
    return joined


@dataclass(eq=False)
class Contact:
    """The faults of machines and links on a day, and who was in contact in spite of them."""

    history: History

    @cached_property
    def faults(self) -> dict[str, list[Span]]:
        """Per machine, the spans of its own faults."""
        spans: dict[str, list[Span]] = defaultdict(list)
        began: dict[tuple[str, str], float] = {}
        for event in self.history.of("trouble"):
            machine, what, time = event["machine"], event["what"], event["t"]
            if event["on"] is True:
                began[machine, what] = time
            elif event["on"] is False:
                spans[machine].append((began.pop((machine, what), time), time))
            elif what in ("down", "removed"):
                began.setdefault((machine, "down"), time)
            elif what == "start":
                spans[machine].append((began.pop((machine, "down"), time), time))
            else:
                spans[machine].append((time, time))
        for (machine, _), time in began.items():
            spans[machine].append((time, EVER))
        return spans

    @cached_property
    def cuts(self) -> dict[Link, list[Span]]:
        """Per link, the spans in which it was cut."""
        spans: dict[Link, list[Span]] = defaultdict(list)
        began: dict[Link, float] = {}
        for event in self.history.of("cut"):
            link = frozenset((event["one"], event["two"]))
            if event["on"]:
                began.setdefault(link, event["t"])
            elif link in began:
                spans[link].append((began.pop(link), event["t"]))
        for link, time in began.items():
            spans[link].append((time, EVER))
        return spans

    @cached_property
    def cuts_from_core(self) -> dict[str, list[Span]]:
        """Per machine, the spans in which it was cut off from some machine of the control plane."""
        spans: dict[str, set[Span]] = defaultdict(set)
        for link, cut in self.cuts.items():
            for name in link:
                if link & self.history.core - {name}:
                    spans[name].update(cut)
        return {name: sorted(cut) for name, cut in spans.items()}

    @cached_property
    def ever_frozen(self) -> set[str]:
        """Machines that were frozen at some time."""
        return {e["machine"] for e in self.history.of("trouble") if e["on"] is not None and e["what"] == "frozen"}

    @cached_property
    def disturbances(self) -> list[float]:
        """Times at which the control plane or the stores became unsettled: `contactMs` later they are settled again."""
        counted = self.history.core | self.history.stores
        spans = [span for name in counted for span in self.faults.get(name, [])]
        spans += [span for link, cut in self.cuts.items() if len(link & counted) == 2 for span in cut]
        return sorted(time for span in spans for time in span if time < EVER)

    @cached_property
    def unsettled(self) -> list[Span]:
        """Spans, put together, in which the control plane was not settled or a link was cut."""
        wait = self.history.seconds("contactMs")
        spans = [(time, time + wait * (2 if time >= self.history.closing else 1)) for time in self.disturbances]
        for name in (self.history.core | self.history.stores) & self.ever_frozen:
            spans += self.faults.get(name, [])
        spans += [(first, last + wait) for cut in self.cuts.values() for first, last in cut]
        return joined_spans(spans)

    def cut_apart(self, one: str, two: str, time: float) -> bool:
        """Was the link between two machines cut?"""
        return covers(self.cuts.get(frozenset((one, two)), []), time)

    def settled(self, time: float) -> bool:
        """Was the control plane undisturbed for `contactMs`, with a majority of it joined?"""
        near = bisect.bisect_right(self.disturbances, time)
        if near and time - self.disturbances[near - 1] <= self.history.seconds("contactMs"):
            return False
        # A frozen machine is slowed as long as it stands still.
        counted = self.history.core | self.history.stores
        if any(name in self.ever_frozen and covers(self.faults.get(name, []), time) for name in counted):
            return False
        core = self.history.core
        running = sorted(name for name in core if not covers(self.faults.get(name, []), time))
        reach = max((sum(not self.cut_apart(one, two, time) for two in running) for one in running), default=0)
        return not core or reach * 2 > len(core)

    def healthy(self, name: str, time: float) -> bool:
        """Was a machine without faults, and joined to the control plane, for the whole `contactMs` before?"""
        start = time - self.history.seconds("contactMs")
        return not any(
            first <= time and last >= start
            for spans in (self.faults.get(name, []), self.cuts_from_core.get(name, []))
            for first, last in spans
        )

    def in_contact(self, name: str, time: float, since: float | None = None) -> bool:
        """Was a machine in contact at `time`, and at `since` as well?"""
        times = {time, time if since is None else since}
        return all(self.healthy(name, moment) and self.settled(moment) for moment in times)

    def longest_calm(self, since: float, until: float) -> float:
        """The longest stretch of that time, in seconds, with the control plane settled and no link cut."""
        longest, at = 0.0, since
        for first, last in [*self.unsettled, (EVER, EVER)]:
            end = min(first, until)
            if end > at and self.settled((at + end) / 2):
                longest = max(longest, end - at)
            at = max(at, last)
            if at >= until:
                break
        return longest

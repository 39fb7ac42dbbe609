"""Rules of load and of availability: cold workers warm up, and the fleet serves again after a loss."""

from __future__ import annotations

import bisect
from collections import defaultdict

from sim.rules.day import Day
from sim.rules.history import EVER, dispatched_at

PROPAGATION_S = 0.5  # in which what a heartbeat says reaches every machine
LEAST_SHARE = 0.25  # of requests that are served before and after the closing fault
FAULT_MARGIN_S = 1.0  # between a fault and a process that ends because of it


def cold_flooded(day: Day) -> list[str]:
    """FAILBACK: a cold worker gets no more requests a second than its cold rate allows."""
    workers = {event["worker"]: event for event in day.of("start")}
    breaches = []
    for worker, times in cold_requests(day).items():
        cold_rate = workers[worker]["cold_rate"]
        if not cold_rate:
            continue
        most = cold_rate * float(day.bounds["warmExcess"]) + float(day.bounds["warmExtra"])
        times.sort()
        for i, time in enumerate(times):
            count = bisect.bisect_left(times, time + 1.0) - i
            if count > most:
                breaches.append(
                    f"cold {worker} got {count} requests in the second from {time:.2f}, {most:g} is the most"
                )
                break
    return breaches


def cold_requests(day: Day) -> dict[str, list[float]]:
    """Per worker, when requests were sent to it while it was known to be cold."""
    unknown = unknown_cold_spans(day)
    times: dict[str, list[float]] = defaultdict(list)
    for event in day.of("reach"):
        at, worker = dispatched_at(event), event["worker"]
        if any(first <= at < last for first, last in unknown[worker]):
            continue
        if event["warm_left"] > 0 and event["status"] != 421:
            times[worker].append(at)
    return times


def unknown_cold_spans(day: Day) -> dict[str, list[tuple[float, float]]]:
    """Per worker, the spans in which it was cold and nobody could heed it.

    A worker that turns cold amidst its work says so with its next heartbeat.
    """
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for cooled in day.of("cooled"):
        worker, time = cooled["worker"], cooled["t"]
        heartbeats = (event["t"] for event in day.of("beat") if event["worker"] == worker and event["t"] > time)
        spans[worker].append((time, min(heartbeats, default=EVER) + PROPAGATION_S))
    return spans


def recovery(day: Day) -> list[str]:
    """RECOVER: requests are served again `recoverS` after the machines are back from the closing fault."""
    if day.closing == EVER:
        return []
    wait = day.seconds("recoverS")
    back = max((event["t"] for event in day.of("trouble") if event["what"] == "start"), default=day.closing)
    before, _ = served_share(day, -EVER, day.closing)
    after, count = served_share(day, back + wait, EVER)
    if before < LEAST_SHARE or not count or after >= LEAST_SHARE:
        return []
    return [f"{after:.2f} of {count} requests were served later than {wait:g} s after the machines were back"]


def served_share(day: Day, since: float, until: float) -> tuple[float, int]:
    """The share of the requests begun in that time that were served, and how many there were."""
    good = [event["good"] for event in day.of("served") if since <= event["began"] < until]
    return (sum(good) / len(good) if good else 0.0), len(good)


def faults(day: Day) -> list[str]:
    """FAULT: no process ends by itself, and some requests are served."""
    ends: dict[str, int] = defaultdict(int)
    for event in day.of("ended_itself"):
        spans = day.contact.faults.get(event["machine"], [])
        if not any(first - FAULT_MARGIN_S <= event["t"] <= last + FAULT_MARGIN_S for first, last in spans):
            ends[event["machine"]] += 1
    breaches = [f"{machine} ended by itself {count} times" for machine, count in ends.items()]
    served = day.of("served")
    if served and not any(event["good"] for event in served):
        breaches.append("no request was served")
    return breaches

"""Rules of planned work: draining workers, evacuated zones, machines that are stopped in order."""

from __future__ import annotations

from collections import defaultdict

from sim.rules.day import Day
from sim.rules.history import EVER, Event, dispatched_at

PLANNED = ("term", "start", "down")


def drain(day: Day) -> list[str]:
    """DRAIN: a worker whose leaving was acknowledged gets nothing later than `drainMs` after that."""
    acknowledged = acknowledged_drains(day)
    breaches = []
    for event in day.of("reach"):
        mark = acknowledged.get(event["worker"])
        if mark is None or event["status"] == 421:
            continue
        late = dispatched_at(event) - mark["t"]
        sender = event["from"]
        via = day.requests[event["id"]]["via"] if event["id"] in day.requests else sender
        if late > day.seconds("drainMs") and all(
            day.contact.in_contact(machine, event["t"], mark["t"]) for machine in (sender, via)
        ):
            breaches.append(
                f"{event['id']} from {sender} reached {event['worker']} {late:.2f} s after its leaving was acknowledged by {mark['via']}"
            )
    return breaches


def acknowledged_drains(day: Day) -> dict[str, Event]:
    """The first answer of a machine in contact to each worker that leaves."""
    acknowledged: dict[str, Event] = {}
    for event in day.of("beat", "gone"):
        leaving = event["ev"] == "gone" or event["state"] == "draining"
        if leaving and day.contact.in_contact(event["via"], event["t"]):
            acknowledged.setdefault(event["worker"], event)
    return acknowledged


def evacuation(day: Day) -> list[str]:
    """EVAC: an evacuated zone gets nothing later than `evacMs` after that was acknowledged."""
    evacuations = acknowledged_evacuations(day)
    wait = day.seconds("evacMs")
    breaches = []
    for event in day.of("reach"):
        if event["status"] == 421:
            continue
        at, zone, sender = dispatched_at(event), event["zone"], event["from"]
        for start, end in evacuations.get(zone, []):
            if start + wait < at < end and day.contact.in_contact(sender, event["t"], start):
                breaches.append(
                    f"{event['id']} from {sender} reached {event['worker']} {at - start:.2f} s after {zone} was evacuated"
                )
                break
    return breaches


def acknowledged_evacuations(day: Day) -> dict[str, list[tuple[float, float]]]:
    """Per zone, from the acknowledgement of each evacuation until the order that ended it."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in day.of("evac"):
        if event["on"] and event["status"] == 200 and day.contact.in_contact(event["via"], event["t"]):
            spans[event["zone"]].append((event["t"], min(returns_after(day, event), default=EVER)))
    return spans


def returns_after(day: Day, evacuated: Event) -> list[float]:
    """When it was ordered, after an evacuation, to end it."""
    return [
        order["t"]
        for order in day.of("evac_sent")
        if order["zone"] == evacuated["zone"] and not order["on"] and order["t"] > evacuated["t"]
    ]


def cut_by_planned_work(day: Day) -> list[str]:
    """Requests that end without a complete answer around planned work."""
    stops = [(event["machine"], event["t"]) for event in day.of("trouble") if event["what"] == "term"]
    unplanned = unplanned_faults(day, stops)
    grace = day.seconds("graceS")
    breaches = []
    for name, answer in day.answers.items():
        if not answer["cut"] or answer["unread"]:
            continue
        via, time = answer["via"], answer["t"]
        stop = next((at for machine, at in stops if machine == via and at <= time <= at + grace + 1), None)
        since = day.requests[name]["t"] - day.seconds("contactMs")
        if stop is None or any(since <= fault <= time for fault in unplanned):
            continue
        if ended_by_worker(day.ends.get(name, []), stop + grace / 2):
            continue
        if name in day.reached or time - answer["sent"] > day.seconds("lossSlackMs"):
            breaches.append(
                f"{name} ended without an answer {time - stop:.2f} s after SIGTERM of {via}: {answer['why']}"
            )
    return breaches


def unplanned_faults(day: Day, stops: list[tuple[str, float]]) -> list[float]:
    """When faults struck that were no part of planned work.

    Args:
        day: the day.
        stops: machines and the times at which they were asked to stop.
    """
    grace = day.seconds("graceS")
    times = [event["t"] for event in day.of("trouble", "cut") if event.get("what") not in PLANNED]
    times += [
        event["t"]
        for event in day.of("trouble")
        if event["what"] == "down"
        and not any(name == event["machine"] and at <= event["t"] <= at + grace + 1 for name, at in stops)
    ]
    return times + [event["t"] for event in day.of("worker_down")]


def ended_by_worker(ends: list[Event], late: float) -> bool:
    """Did a worker break the request off or fail it, or end it too late for the machine to pass it on?"""
    failed = any(end["broke"] or end["status"] >= 500 or (not end["whole"] and not end["gone"]) for end in ends)
    return failed or any(end["t"] > late for end in ends)


def forgotten_evacuations(day: Day) -> list[str]:
    """Evacuations that were acknowledged and are not in force after the closing fault."""
    if day.closing == EVER:
        return []
    recovered = day.closing + day.seconds("recoverS")
    breaches = []
    for event in day.of("evac"):
        if not event["on"] or event["status"] != 200 or event["t"] > day.closing or returns_after(day, event):
            continue
        if any(run["zone"] == event["zone"] and run["t"] > recovered for run in day.taken):
            breaches.append(
                f"the evacuation of {event['zone']} was acknowledged and is forgotten after the closing fault"
            )
    return breaches

"""Rule of acknowledgements: in calm times, orders of the operator and workers that leave are answered in time."""

from __future__ import annotations

from sim.rules.day import Day
from sim.rules.history import Event

ROUTE_S = 0.003  # seconds more for each route of a configuration
UNANSWERED_SHARE = 5  # one in so many workers may leave without an answer


def acknowledgements(day: Day) -> list[str]:
    """ACKS: proper orders of the operator, and workers that say in a calm time that they leave, are answered in time."""
    end = max((event["t"] for event in day.of("traffic_over")), default=0.0)
    return [*late_changes(day, end), *late_evacuations(day, end), *unanswered_drains(day, end)]


def late_changes(day: Day, end: float) -> list[str]:
    """Valid changes that were refused with 400, or had no answer in time."""
    breaches = []
    for change in day.of("change"):
        answer = day.configurations.answers.get(change["change"])
        status = answer["status"] if answer is not None else 0
        if not change["valid"] or (400 <= status < 500 and status != 400):
            continue  # it lost against another one, or is owed no answer
        if answer is not None and status == 400:
            breaches.append(
                f"change {change['change']} to version {change['version']} was refused with 400: {answer['why']}"
            )
            continue
        until = answer["t"] if answer is not None and status == 200 else end
        most = day.seconds("ackMs") + ROUTE_S * len(change["config"]["routes"])
        if day.contact.longest_calm(change["t"], until) > most:
            breaches.append(
                f"change {change['change']}, sent {change['t']:.2f}, had no answer until {until:.2f}, in calm times"
            )
    return breaches


def late_evacuations(day: Day, end: float) -> list[str]:
    """Evacuations, and their ends, that had no answer in time."""
    breaches = []
    for order in day.of("evac_sent"):
        zone, evacuated, sent = order["zone"], order["on"], order["t"]
        answer = next(
            (e for e in day.of("evac") if e["zone"] == zone and e["on"] == evacuated and e["t"] >= sent), None
        )
        until = answer["t"] if answer is not None and answer["status"] == 200 else end
        if day.contact.longest_calm(sent, until) > day.seconds("ackMs"):
            breaches.append(f"the evacuation of {zone} ({evacuated}), sent {sent:.2f}, had no answer until {until:.2f}")
    return breaches


def unanswered_drains(day: Day, end: float) -> list[str]:
    """Workers that left in calm times without an answer, if they are many."""
    wait = day.seconds("ackMs")

    def owed_an_answer(event: Event) -> bool:
        due = event["t"] + wait
        return bool(due < end) and day.contact.longest_calm(event["t"], due) >= wait

    left = [event["worker"] for event in day.of("drains") if owed_an_answer(event)]
    answered = {event["worker"] for event in day.of("beat") if event["state"] == "draining"}
    late = [worker for worker in left if worker not in answered]
    if len(late) * UNANSWERED_SHARE <= len(left):
        return []
    return [f"{len(late)} of {len(left)} workers that left in calm times had no answer: {', '.join(late[:4])}"]

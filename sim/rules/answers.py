"""Rules of answers: each client gets its worker's whole answer, and streams in order."""

from __future__ import annotations

from sim.rules.day import Day
from sim.rules.history import Event


def mixed(day: Day) -> list[str]:
    """MIXED: an answer is the one that a worker gave to this very request, byte for byte."""
    breaches = [
        f"on an idle connection of {event['via']} came {event['what']!r}"
        for event in day.of("stray")
        if event["what"].startswith("HTTP/1.1 2")
    ]
    for name, answer in day.answers.items():
        ends = day.ends.get(name, [])
        broke = any(end["broke"] or not end["whole"] for end in ends)
        if answer["echo"] and answer["echo"] != name:
            breaches.append(f"{name} got the answer to {answer['echo']}")
        if answer["garbled"] and not broke:
            breaches.append(f"{name} via {answer['via']} got bytes that are no answer: {answer['why']}")
        if 200 <= answer["status"] < 300:
            breaches += other_than_worker(name, answer, ends)
    return breaches


def other_than_worker(name: str, answer: Event, ends: list[Event]) -> list[str]:
    """How a good answer differs from what the workers of this request gave."""
    breaches = []
    seal, status = answer["seal"], answer["status"]
    stamps = {end["seal"]: end for end in ends if end["seal"]}
    if answer["encoded"]:
        breaches.append(f"{name} got an encoded body")
    if seal not in stamps and (answer["whole"] or seal):
        breaches.append(f"{name} got {status} with the stamp {seal!r}, its workers gave {sorted(stamps)}")
        return breaches
    if not seal:
        breaches.append(f"{name} got {status} without a stamp")
        return breaches
    end = stamps[seal]
    if end["status"] != status:
        breaches.append(f"{name} got {status} where its worker answered {end['status']}")
    if answer["whole"] and end["body"] != "events" and answer["body"] != end["body"]:
        breaches.append(f"{name} got a body that isn't its worker's whole body")
    return breaches


def order(day: Day) -> list[str]:
    """ORDER: the events of a stream come in order, without gaps, and runs that are joined fit together."""
    breaches = []
    for name, answer in day.answers.items():
        if day.requests[name]["kind"] == "stream" and 200 <= answer["status"] < 300:
            breaches += out_of_order(day, name, answer)
    for read in day.of("lot_read"):
        for row in read["results"]:
            if row["state"] == "done" and row["id"] in day.items:
                flaws = badly_joined(day, row["text"].split("\n"), consecutive=True)
                breaches += [f"item {row['id']} of lot {read['lot']}: {flaw}" for flaw in flaws]
    return sorted(set(breaches))


def out_of_order(day: Day, name: str, answer: Event) -> list[str]:
    """What breaks the order of one stream."""
    breaches = []
    request, events = day.requests[name], answer["events"]
    last, size = request["last"], request["size"]
    for want, (number, data, _) in enumerate(events, last + 1):
        if number != want:
            breaches.append(f"{name} via {answer['via']}: event {number} came where {want} was due")
            break
        if not data.startswith(f"{request['mark']}.{number}."):
            breaches.append(f"{name}: event {number} is {data!r:.40}")
    received = last + len(events)
    if answer["whole"] and received < size and day.ends.get(name):
        breaches.append(f"{name} via {answer['via']} ends as complete after {received} of {size} events")
    flaws = badly_joined(day, [data for _, data, _ in events])
    return breaches + [f"{name} via {answer['via']}: {flaw}" for flaw in flaws]


def badly_joined(day: Day, texts: list[str], consecutive: bool = False) -> list[str]:
    """Where events of several runs don't fit: a later run must have been asked to go on after the last event before.

    Args:
        day: the day on which the runs were.
        texts: the data of the events, each ending in `.NUMBER.RUN`.
        consecutive: are gaps in the numbers a flaw as well?
    """
    flaws: list[str] = []
    last_run: str | None = None
    last_number = 0
    for text in texts:
        *_, digits, run = (["", "0", "0"] + text.split("."))[-3:]
        number = int(digits) if digits.isdigit() else 0
        if consecutive and number != last_number + 1:
            return [f"event {number} comes after event {last_number}"]
        if last_run is not None and run != last_run and day.resumed_after.get(run) != last_number:
            resumed = day.resumed_after.get(run)
            flaws.append(f"after event {last_number} comes a run that was asked to go on after {resumed}")
        last_run, last_number = run, number
    return flaws

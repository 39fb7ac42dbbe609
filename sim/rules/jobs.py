"""Rules of jobs: their results are right, none that was accepted is lost, and quotas hold."""

from __future__ import annotations

from collections import defaultdict

from sim.rules.day import Day
from sim.rules.history import EVER, Event


def wrong_results(day: Day) -> list[str]:
    """LOT_MIXED: results are those of the job's own items, whole, and none is abandoned without cause."""
    breaches = []
    for read in day.of("lot_read"):
        if read["status"] == 200 and read["lot"] in day.jobs:
            breaches += wrong_counts(day, read)
            for row in read["results"]:
                breaches += wrong_row(day, read, row)
    for read in day.of("item_read"):
        item = day.items.get(read["item"])
        if read["status"] == 200 and item is not None and read["body"] != item["body"]:
            breaches.append(f"item {read['item']} of lot {read['lot']} is given back with bytes that differ")
    return sorted(set(breaches))


def wrong_counts(day: Day, read: Event) -> list[str]:
    """Do the total and the next position fit the job and the results?"""
    breaches = []
    job, size, results = read["lot"], day.jobs[read["lot"]]["size"], read["results"]
    if read["total"] != size:
        breaches.append(f"lot {job}: total is {read['total']}, {size} items were sent")
    if read["next"] != read["start"] + len(results):
        breaches.append(f"lot {job}: next is {read['next']} after {len(results)} results from {read['start']}")
    return breaches


def wrong_row(day: Day, read: Event, row: Event) -> list[str]:
    """What is wrong with one result."""
    job, name, state = read["lot"], row["id"], row["state"]
    item = day.items.get(name)
    if item is None or item["lot"] != job:
        return [f"lot {job} has a result of {name}, which is no item of it"]
    if state == "done":
        if is_whole_output(item, row["text"]):
            return []
        count = row["text"].count("\n") + 1
        return [f"item {name} of lot {job} is done with {count} events, {item['size']} are its whole output"]
    if state == "abandoned":
        return abandoned_without_cause(day, read, item)
    return [f"item {name} of lot {job} is {state!r}"]


def is_whole_output(item: Event, text: str) -> bool:
    """Is this the whole output of an item, whatever runs made it?"""
    want = [f"{item['mark']}.{number}" for number in range(1, item["size"] + 1)]
    return [line.rpartition(".")[0] for line in text.split("\n")] == want


def abandoned_without_cause(day: Day, read: Event, item: Event) -> list[str]:
    """An item is abandoned after a 422, its route's tries or its expiry, or when it was asked to end the job."""
    job, name = read["lot"], item["id"]
    statuses = [end["status"] for end in day.ends.get(name, []) if end["t"] <= read["t"]]
    route = day.configurations.route_named(item["route"])
    failed = 422 in statuses or statuses.count(500) >= route["tries"]
    expired = read["t"] >= item["t"] + route["expireS"]
    if failed or expired or day.cancelled_at.get(job, EVER) <= read["t"]:
        return []
    return [f"item {name} of lot {job} is abandoned after the answers {statuses}"]


def lost_jobs(day: Day) -> list[str]:
    """Accepted jobs, results that were read, or bodies of items, that are not there any more."""
    return [*lost_results(day), *unreadable_jobs(day), *lost_bodies(day)]


def lost_results(day: Day) -> list[str]:
    """Reads of accepted jobs that give less than was acknowledged or read before."""
    breaches = []
    reached: dict[str, list[tuple[float, int]]] = defaultdict(list)  # times and ends of the pages read, by job
    for read in day.of("lot_read"):
        if read["lot"] not in day.accepted_jobs:
            continue
        pages = reached[read["lot"]]
        breaches += lost_in_read(day, read, pages)
        if read["status"] == 200:
            pages.append((read["t"], read["start"] + len(read["results"])))
    return breaches


def lost_in_read(day: Day, read: Event, pages: list[tuple[float, int]]) -> list[str]:
    """What one read shows as lost, after the pages that were read before."""
    breaches = []
    settle = day.seconds("settleMs")
    job, via, status, start = read["lot"], read["via"], read["status"], read["start"]
    accepted = day.accepted_jobs[job]["t"]
    known = max((end for time, end in pages if time + settle <= read["began"]), default=0)
    in_contact = day.contact.in_contact(via, read["t"], read["began"])
    if status in (404, 410) and read["began"] > accepted + settle and in_contact:
        breaches.append(f"lot {job} was taken at {accepted:.2f}; at {read['t']:.2f} {via} answers {status}")
    if status == 200 and start < known and not read["results"] and in_contact:
        breaches.append(f"lot {job}: {via} has nothing at {start}, up to {known} was read before")
    if read["final"] and status == 200:
        every = max((end for _, end in pages), default=0)
        if start == 0 and not read["results"] and every:
            breaches.append(f"lot {job}: {every} results that were read before don't come back")
    return breaches


def unreadable_jobs(day: Day) -> list[str]:
    """Accepted jobs that can't be read when the day ends."""
    return [
        f"lot {audit['lot']} was taken and can't be read when the day ends: {audit['status']}"
        for audit in day.of("lot_audit")
        if audit["status"] != 200
    ]


def lost_bodies(day: Day) -> list[str]:
    """Items of accepted jobs that have neither a result nor a body when the day ends."""
    seen = {row["id"] for read in day.of("lot_read") for row in read["results"]}
    seen |= {read["item"] for read in day.of("item_read") if read["status"] == 200}
    return [
        f"item {read['item']} of lot {read['lot']} isn't listed and doesn't give its body"
        for read in day.of("item_read")
        if read["final"] and read["status"] == 404 and read["item"] not in seen and read["lot"] in day.accepted_jobs
    ]


def quota(day: Day) -> list[str]:
    """QUOTA: at each 202, the accepted tokens that no worker has finished, that are not dead, and whose job it wasn't
    asked to end, are within the route's quota."""
    breaches = []
    finished = finished_items(day)
    accepted: list[Event] = []
    for mark in sorted(day.accepted_jobs.values(), key=lambda event: event["t"]):
        job = day.jobs[mark["lot"]]
        accepted.append(job)
        route = day.configurations.route_named(job["route"])
        if not route.get("maxQueued"):
            continue
        same_route = [other for other in accepted if other["route"] == job["route"]]
        waiting = waiting_tokens(day, same_route, mark["t"], route["expireS"], finished)
        most = route["maxQueued"] * (1 + float(day.bounds["quotaExcess"]))
        if waiting > most:
            breaches.append(
                f"lot {mark['lot']} was taken with {waiting} tokens waiting on {job['route']}, {most:g} is the most"
            )
    return breaches


def finished_items(day: Day) -> dict[str, float]:
    """When a worker finished each item, or failed it for good."""
    finished: dict[str, float] = {}
    failures: dict[str, int] = defaultdict(int)
    for end in day.of("ended"):
        name, status = end["id"], end["status"]
        if name not in day.items:
            continue
        failures[name] += status == 500
        tries = day.configurations.route_named(day.items[name]["route"])["tries"]
        if (end["whole"] and 200 <= status < 300) or status == 422 or failures[name] >= tries:
            finished.setdefault(name, end["t"])
    return finished


def waiting_tokens(day: Day, jobs: list[Event], now: float, expire_s: float, finished: dict[str, float]) -> int:
    """The tokens of the jobs' items that still wait at a time."""
    return sum(
        item["tokens"]
        for job in jobs
        if day.cancelled_at.get(job["lot"], EVER) > now and now < job["t"] + expire_s
        for item in job["items"]
        if finished.get(item["id"], EVER) > now
    )

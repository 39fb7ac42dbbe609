"""Rules of routing: what runs was asked for, runs no more often than it may, and runs where its route says."""

from __future__ import annotations

from collections import defaultdict

from sim.rules.configurations import allows, route_of
from sim.rules.day import Day
from sim.rules.history import Event, dispatched_at
from sim.rules.keys import refused_by, tenants_by

REJECTIONS = (408, 421, 429, 503)  # statuses that promise that the request never runs


def unasked(day: Day) -> list[str]:
    """UNASKED: workers run what clients sent, unchanged, and no item long after the end of its job."""
    breaches = []
    job_ends = {event["lot"]: event for event in day.of("lot_ended")}
    for run in day.taken:
        request = day.requests.get(run["id"])
        item = day.items.get(run["id"])
        if request is not None:
            breaches += changed_parts_of_request(request, run)
            breaches += wrong_tenant(day, request, run)
        elif item is not None:
            breaches += changed_parts_of_item(item, run)
            breaches += wrong_tenant(day, item, run)
            breaches += run_after_end(day, run, job_ends.get(item["lot"]))
        else:
            breaches.append(f"{run['worker']} ran {run['id']!r}, which nobody sent ({run['method']} {run['path']})")
    return breaches


def changed_parts_of_request(request: Event, run: Event) -> list[str]:
    """The parts of a live request that reached its worker otherwise than they were sent."""
    return [
        f"{run['id']} reached {run['worker']} with the {part} {run[part]!r}, it was sent with {request[part]!r}"
        for part in ("method", "path", "body", "host")
        if (request[part].lower() != run[part].lower() if part == "host" else request[part] != run[part])
    ]


def changed_parts_of_item(item: Event, run: Event) -> list[str]:
    """The parts of an item that reached its worker otherwise than they were sent."""
    sent = {"method": "POST", "path": item["path"], "body": item["body"], "host": item["host"]}
    return [
        f"item {run['id']} reached {run['worker']} with the {part} {run[part]!r}, it was sent with {want!r}"
        for part, want in sent.items()
        if run[part] != want
    ]


def wrong_tenant(day: Day, asked: Event, run: Event) -> list[str]:
    """Did a worker learn another tenant than the one whose key the client showed, or the key itself?"""
    sent = [version for version in day.configurations.versions if version.sent <= run["t"]]
    right, told, key = tenants_by(sent, asked), run.get("tenant", ""), asked.get("key", "")
    breaches = []
    if right and told not in right:
        breaches.append(f"{run['id']} reached {run['worker']} as the tenant {told!r}'s, its key is of {sorted(right)}")
    if key and key in run.get("authorization", "") and any("tenants" in v.config for v in sent if v.config):
        breaches.append(f"{run['id']} reached {run['worker']} with its key")
    return breaches


def run_after_end(day: Day, run: Event, end: Event | None) -> list[str]:
    """Did an item run later than `cancelMs` after the end of its job was acknowledged?"""
    if end is None or dispatched_at(run) <= end["t"] + day.seconds("cancelMs"):
        return []
    if not day.contact.in_contact(end["via"], end["t"]):
        return []
    late = run["t"] - end["t"]
    return [f"item {run['id']} reached {run['worker']} {late:.2f} s after the end of its lot was acknowledged"]


def twice(day: Day) -> list[str]:
    """TWICE: a request that may not be repeated runs once; a result keeps its place and its content."""
    breaches = [
        f"{name} may run once and ran {len(runs)} times: {', '.join(run['worker'] for run in runs)}"
        for name, runs in day.runs.items()
        if len(runs) > 1 and name in day.requests and not day.requests[name]["repeatable"]
    ]
    places: dict[tuple[str, str], int] = {}
    results: dict[tuple[str, int], Event] = {}
    for read in day.of("lot_read"):
        job = read["lot"]
        for place, row in enumerate(read["results"], read["start"]):
            first = places.setdefault((job, row["id"]), place)
            if first != place:
                breaches.append(f"lot {job}: item {row['id']} stands at {first} and at {place}")
            if results.setdefault((job, place), row) != row:
                breaches.append(f"lot {job}: the result at {place} changed")
    return breaches


def refused(day: Day) -> list[str]:
    """REFUSED: what was rejected with a promise that it never runs does not run."""
    breaches = [
        f"{name} was refused with {answer['status']} by {answer['via']} and ran at {day.runs[name][0]['worker']}"
        for name, answer in day.answers.items()
        if answer["status"] in REJECTIONS and name in day.runs and not day.requests[name]["repeatable"]
    ]
    ran = {day.items[name]["lot"]: name for name in day.runs if name in day.items}
    return breaches + [
        f"every try at lot {job} was refused, and item {ran[job]} ran"
        for job in sorted(rejected_jobs(day) & ran.keys())
    ]


def rejected_jobs(day: Day) -> set[str]:
    """Jobs of which each attempt was rejected."""
    statuses: dict[str, list[int]] = defaultdict(list)
    attempts: dict[str, int] = defaultdict(int)
    for event in day.of("lot_sent", "lot_told"):
        if event["ev"] == "lot_sent":
            attempts[event["lot"]] += 1
        else:
            statuses[event["lot"]].append(event["status"])
    return {
        job
        for job, answers in statuses.items()
        if len(answers) == attempts[job] and all(status in REJECTIONS for status in answers)
    }


def denied(day: Day) -> list[str]:
    """DENIED: machines in contact end proper requests with a 3xx or 4xx of their own; up to 5 + one in 500 are borne."""
    found = [
        f"{name} to {day.requests[name]['path']} ended with {answer['status']} at {answer['via']}: {answer['why']}"
        for name, answer in day.answers.items()
        if denied_by_machine(day, name, answer)
    ]
    return found if len(found) > 5 + len(day.answers) / 500 else []


def denied_by_machine(day: Day, name: str, answer: Event) -> bool:
    """Is the answer a 3xx or 4xx that no worker gave, to a request that every version routes?"""
    status, request = answer["status"], day.requests[name]
    if not 300 <= status < 500 or status in REJECTIONS:
        return False
    if any(end["status"] == status for end in day.ends.get(name, [])):
        return False
    versions = day.configurations.possible(request["t"] - day.seconds("applyMs"), answer["t"])
    if status == 401 and any(refused_by(version, request) for version in versions):
        return False
    routed_by_all = all(route_of(version.config, request["host"], request["path"]) for version in versions)
    return bool(versions) and routed_by_all and day.contact.in_contact(answer["via"], answer["t"], request["t"])


def other_service(day: Day) -> list[str]:
    """ROUTE: what runs, runs at a service and with a key that some configuration sent by then allows."""
    breaches = []
    for run in day.taken:
        asked = day.requests.get(run["id"]) or day.items.get(run["id"])
        if asked is None:
            continue
        sent = [v for v in day.configurations.versions if v.config and v.sent <= run["t"]]
        if not allows(sent, asked["host"], asked["path"], run["service"]):
            breaches.append(
                f"{run['id']} to {asked['path']} was run by {run['service']}, which no configuration allowed"
            )
        if not tenants_by(sent, asked):
            breaches.append(f"{run['id']} to {asked['path']} was run with a key that no configuration had")
    return breaches

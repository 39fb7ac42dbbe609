"""The figures of a run that scenarios expect something of, and that reports tell."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from postpass.runtime import log_events
from sim.check import Event
from sim.fleet import SimFleet

NEVER = 1e18  # seconds; later than any event
ACCEPTED = (200, 202)
Figures = dict[str, float]


def rank(values: list[float], part: float) -> float:
    """The value at that part of the sorted values; 0 if there are none."""
    return sorted(values)[min(len(values) - 1, int(len(values) * part))] if values else 0.0


def counts(prefix: str, names: Iterable[object]) -> Figures:
    """How often each name stands there, as figures with a prefix."""
    return {f"{prefix}_{name}": count for name, count in Counter(names).items()}


def longest_gap(began: float, times: list[float]) -> float:
    """The longest time, in seconds, between a start and times that follow it, or between two of those."""
    spots = [began, *times]
    return max((later - earlier for earlier, later in zip(spots, spots[1:], strict=False)), default=0.0)


def latest_after_end(events: list[Event]) -> float:
    """The longest time after a job was ended at which one of its items was still taken by a worker."""
    ended = {event["id"]: event["t"] for event in events if event["ev"] == "ended" and event["state"] == "ended"}
    return max(
        (
            event["t"] - ended[job]
            for event in events
            if event["ev"] == "took"
            for job in event["tag"].split(":")[1:2]
            if job in ended
        ),
        default=0.0,
    )


def latest_after_mark(events: list[Event], mark: str, undone: str, key: str, taken_key: str) -> float:
    """The longest time after a server left or a zone was evacuated at which it still took work.

    Args:
        events: of the run.
        mark: the kind of the event that says so.
        undone: the kind of the event that takes it back.
        key: what both of them name, `server` or `area`.
        taken_key: under which an event `took` names that.
    """
    latest = 0.0
    for marked in (event for event in events if event["ev"] == mark):
        name, since = marked[key], marked["t"]
        backs = (e["t"] for e in events if e["ev"] == undone and e[key] == name and e["t"] > since)
        until = min(backs, default=NEVER)
        for event in events:
            if event["ev"] == "took" and event[taken_key] == name and since < event["t"] < until:
                latest = max(latest, event["t"] - since)
    return latest


def latest_old_version(events: list[Event]) -> float:
    """The longest time after an answer at which a daemon that it did not name was seen with an older version."""
    accepted = [
        (event["t"], event["edition"], event["waits"])
        for event in events
        if event["ev"] == "applied" and event["answer"] in ACCEPTED
    ]
    return max(
        (
            event["t"] - time
            for event in events
            if event["ev"] == "runs" and event["fit"]
            for time, version, named in accepted
            if event["t"] > time and event["edition"] < version and event["daemon"].split("/")[0] not in named
        ),
        default=0.0,
    )


def lateness(events: list[Event]) -> Figures:
    """The latest moments at which what was ended, left or replaced was still seen, after the answer."""
    found = {
        "late_end": latest_after_end(events),
        "late_leave": latest_after_mark(events, "leave", "stay", "server", "worker"),
        "late_evacuate": latest_after_mark(events, "evacuated", "return", "area", "area"),
        "late_edition": latest_old_version(events),
    }
    return {name: max(seconds, 0.0) for name, seconds in found.items()}


def request_figures(events: list[Event], began: float) -> Figures:
    """How live requests and views went."""
    requests = [event for event in events if event["ev"] == "call"]
    views = [event["end"] for event in events if event["ev"] == "view"]
    done = [event for event in requests if event["end"] == "done"]
    first = [event["first"] - event["began"] for event in requests if event["first"]]
    return {
        **counts("calls", (event["end"] for event in requests)),
        **counts("views", views),
        "calls": len(requests),
        "calls_share": len(done) / len(requests) if requests else 1.0,
        "views_share": views.count("done") / len(views) if views else 1.0,
        "first_p50": rank(first, 0.5),
        "first_p95": rank(first, 0.95),
        "calls_gap": longest_gap(began, [event["t"] for event in done]),
    }


def job_figures(events: list[Event], began: float) -> Figures:
    """How jobs went."""
    submitted = [event for event in events if event["ev"] == "lot"]
    accepted = [event for event in submitted if event["answer"] == "kept"]
    missing = [event for event in events if event["ev"] == "missing"]
    complete: dict[str, float] = {}
    for event in events:
        if event["ev"] == "page" and event["whole"]:
            complete.setdefault(event["id"], event["t"])
    due = {event["id"]: event["due"] for event in accepted}
    return {
        **counts("lots", (event["answer"] for event in submitted)),
        "lots_whole": len(complete),
        "lots_in_time": sum(complete.get(job, NEVER) <= time for job, time in due.items()),
        "items": sum(event["ev"] == "took" and event["tag"].startswith("lot:") for event in events),
        "submit_p50": rank([event["t"] - event["began"] for event in accepted], 0.5),
        "kept_gap": longest_gap(began, [event["t"] for event in accepted]),
        "lots_told_lost": len({event["id"] for event in missing if "this lot was lost" in event["why"]}),
        "lots_missing": len({event["id"] for event in missing}),
    }


def change_figures(events: list[Event]) -> Figures:
    """How changes of the configuration went."""
    answers = [event["answer"] for event in events if event["ev"] == "applied"]
    taken = sum(answer in ACCEPTED for answer in answers)
    return {**counts("applied", answers), "applied_taken": taken}


def store_figures(fleet: SimFleet) -> Figures:
    """What the stores hold when the run ends."""
    configuration = fleet.configuration
    partitions = [(store, partition) for _, store in fleet.stores() for partition in store.partitions.values()]
    owned = [(store, partition) for store, partition in partitions if partition.owning]
    full = {
        partition.id: set(store.configuration_view.order(partition.id)) == set(partition.view.members)
        and len(partition.view.members) == configuration["copies"]
        for store, partition in owned
    }
    sizes = [sum(map(len, box.disk.files.values())) for name, box in fleet.boxes.items() if box.disk and name[0] == "s"]
    return {
        "lots_held": sum(len(partition.view.jobs) for _, partition in owned),
        "log_bytes": max(sizes, default=0),
        "copies": min(fleet.copies, default=0),
        "full_crews": float(len(full) == configuration["parts"] and all(full.values())),
        "losses": max((partition.view.losses for _, partition in partitions), default=0),
    }


def run_figures(fleet: SimFleet, began: float) -> Figures:
    """All figures of a run.

    Args:
        fleet: after the run.
        began: when the load began, in seconds of simulated time.
    """
    events = fleet.events
    return {
        **{f"event_{number}": count for number, count in log_events.COUNTS.items()},
        **request_figures(events, began),
        **job_figures(events, began),
        **change_figures(events),
        **lateness(events),
        **store_figures(fleet),
        "ran": fleet.loop.ran,
        **{f"point_{name}": count for name, count in fleet.points.seen.items()},
        "edition": fleet.revision,
    }

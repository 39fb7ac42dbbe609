"""Statistics of a run, which scenarios set expectations on and reports list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from postpass.runtime import log_events
from sim.check import Event
from sim.fleet import SimFleet

NEVER = 1e18  # seconds; later than any event
ACCEPTED = (200, 202)
Figures = dict[str, float]


def rank(values: list[float], fraction: float) -> float:
    """Returns the quantile of values at a fraction from 0 to 1; 0 if there are none."""
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))] if values else 0.0


def counts(prefix: str, names: Iterable[object]) -> Figures:
    """Returns how often each name occurs, under the name with a prefix."""
    return {f"{prefix}_{name}": count for name, count in Counter(names).items()}


def longest_gap(began: float, times: list[float]) -> float:
    """Returns the longest time, in seconds, from a start to the first of some sorted times, or between two successive ones."""
    moments = [began, *times]
    return max((later - earlier for earlier, later in zip(moments, moments[1:], strict=False)), default=0.0)


def latest_after_end(events: list[Event]) -> float:
    """Returns the longest time from the cancellation of a job until a worker still took one of its items."""
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
    """Returns the longest time from when a server left or a zone was evacuated until it still took work.

    Args:
        events: all events of the run.
        mark: the kind of the event that records this.
        undone: the kind of the event that reverses it.
        key: the key of the server's or zone's name in both, `server` or `area`.
        taken_key: the key of that name in events `took`.
    """
    latest = 0.0
    for marked in (event for event in events if event["ev"] == mark):
        name, since = marked[key], marked["t"]
        reversals = (e["t"] for e in events if e["ev"] == undone and e[key] == name and e["t"] > since)
        until = min(reversals, default=NEVER)
        for event in events:
            if event["ev"] == "took" and event[taken_key] == name and since < event["t"] < until:
                latest = max(latest, event["t"] - since)
    return latest


def latest_old_version(events: list[Event]) -> float:
    """Returns the longest time from the answer to a change until a daemon was still seen with an older version.

    Daemons that the answer named as unconfirmed do not count.
    """
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
    """Returns for how long after the answer ended jobs, servers that left, evacuated zones and old versions were still seen."""
    seconds_late = {
        "late_end": latest_after_end(events),
        "late_leave": latest_after_mark(events, "leave", "stay", "server", "worker"),
        "late_evacuate": latest_after_mark(events, "evacuated", "return", "area", "area"),
        "late_edition": latest_old_version(events),
    }
    return {name: max(seconds, 0.0) for name, seconds in seconds_late.items()}


def request_figures(events: list[Event], began: float) -> Figures:
    """Returns statistics of live requests and views."""
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
    """Returns statistics of jobs."""
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
    """Returns statistics of changes of the configuration."""
    answers = [event["answer"] for event in events if event["ev"] == "applied"]
    taken = sum(answer in ACCEPTED for answer in answers)
    return {**counts("applied", answers), "applied_taken": taken}


def store_figures(fleet: SimFleet) -> Figures:
    """Returns statistics of what the stores hold at the end of the run."""
    configuration = fleet.configuration
    partitions = [(store, partition) for _, store in fleet.stores() for partition in store.partitions.values()]
    owned = [(store, partition) for store, partition in partitions if partition.owning]
    fully_replicated = {
        partition.id: set(store.configuration_view.order(partition.id)) == set(partition.view.members)
        and len(partition.view.members) == configuration["copies"]
        for store, partition in owned
    }
    sizes = [sum(map(len, box.disk.files.values())) for name, box in fleet.boxes.items() if box.disk and name[0] == "s"]
    return {
        "lots_held": sum(len(partition.view.jobs) for _, partition in owned),
        "log_bytes": max(sizes, default=0),
        "copies": min(fleet.copies, default=0),
        "full_crews": float(len(fully_replicated) == configuration["parts"] and all(fully_replicated.values())),
        "losses": max((partition.view.losses for _, partition in partitions), default=0),
    }


def run_figures(fleet: SimFleet, began: float) -> Figures:
    """Returns all statistics of a run.

    Args:
        fleet: the fleet after the run.
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

"""Statistics of a day (a simulated run) of an announced fleet."""

from __future__ import annotations

from collections.abc import Iterable

from postpass.runtime import log_events
from sim.announced import AnnouncedFleet
from sim.check import Event
from sim.run_statistics import Figures, counts

NOT_FOUNDED_S = 99.0  # reported if the first configuration was never accepted


def late_streams(events: list[Event], limit_s: float) -> float:
    """Returns the share of streams with an event that reached its client later than `limit_s` after the worker made it."""
    production = {str(event["run"]): (event["from"], event["made"]) for event in events if event["ev"] == "ended" and "made" in event}  # fmt: skip
    streams = [event["events"] for event in events if event["ev"] == "answer" and event["events"]]
    return share(any(delay_of(piece, production) > limit_s for piece in stream) for stream in streams)


def delay_of(piece: tuple[int, str, float], production: dict[str, tuple[int, list[float]]]) -> float:
    """Returns the seconds from when a worker made an event until its client had it; 0 if the former time is unknown.

    Args:
        piece: number, data and time of an event.
        production: by run, the number of the event after which it began, and the times at which it made those that followed.
    """
    number, data, received = piece
    first, times = production.get(data.rpartition(".")[2], (0, []))
    index = number - first - 1
    return received - times[index] if 0 <= index < len(times) else 0.0


def request_figures(events: list[Event]) -> Figures:
    """Returns statistics of live requests, overall and by kind."""
    served = [event for event in events if event["ev"] == "served"]
    figures: Figures = {"asked": len(served), "served": share(event["good"] for event in served)}
    for kind in sorted({event["word"] for event in served}):
        of_kind = [event for event in served if event["word"] == kind]
        figures[f"served_{kind}"] = share(event["good"] for event in of_kind)
        figures[f"in_time_{kind}"] = share(
            event["good"] and event["first"] - event["began"] <= event["target"] for event in of_kind
        )
    good = sorted(event["t"] for event in served if event["good"])
    figures["gap"] = max((later - earlier for earlier, later in zip(good, good[1:], strict=False)), default=0.0)
    return figures | counts("answers", (event["status"] for event in events if event["ev"] == "answer"))


def share(conditions: Iterable[bool]) -> float:
    """Returns the share of conditions that are true; 0 if there are none."""
    values = list(conditions)
    return sum(values) / len(values) if values else 0.0


def job_figures(events: list[Event], item_ids: set[str]) -> Figures:
    """Returns statistics of jobs and their items."""
    submitted = [event for event in events if event["ev"] == "lot_told"]
    states = {
        (event["lot"], row["id"]): row["state"]
        for event in events
        if event["ev"] == "lot_read"
        for row in event["results"]
    }
    return {
        **counts("lots", (event["status"] for event in submitted)),
        "lots_kept": len({event["lot"] for event in submitted if event["status"] == 202}),
        **counts("items", states.values()),
        "items_runs": sum(event["ev"] == "ran" and event["id"] in item_ids for event in events),
    }


def work_figures(events: list[Event]) -> Figures:
    """Returns statistics of the first configuration, later changes and planned work."""
    founded = [event for event in events if event["ev"] == "founded"]
    return {
        **counts("changed", (event["status"] for event in events if event["ev"] == "changed")),
        "evac_acked": sum(event["ev"] == "evac" and event["status"] == 200 for event in events),
        "retired": sum(event["ev"] == "retired" for event in events),
        "resumed": sum(event["ev"] == "ran" and event["last"] > 0 for event in events),
        "probes": sum(event["ev"] == "probe" for event in events),
        "founded": max((event["after"] for event in founded), default=NOT_FOUNDED_S),
        "taken_late": sum(not event["taken"] for event in founded),
    }


def day_figures(fleet: AnnouncedFleet) -> Figures:
    """Returns all statistics of a day."""
    events = fleet.events
    return {
        **{f"event_{number}": count for number, count in log_events.COUNTS.items()},
        **request_figures(events),
        **job_figures(events, fleet.item_ids()),
        **work_figures(events),
        "late_streams": late_streams(events, fleet.limits["sweepMs"] / 1000),
        "ran": fleet.loop.ran,
        **{f"point_{name}": count for name, count in fleet.points.seen.items()},
    }

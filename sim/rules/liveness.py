"""Rules of liveness: within the tolerance and some time after the last trouble, each partition takes jobs, covers what it
has, and has all the members that the configuration wants; and no item of an accepted job is left lying, at the end or
between two of its runs.

The other rules say what must never happen; these say what must happen in the end, so that a partition that stands still
is no silent loss.
"""

from __future__ import annotations

from collections import defaultdict

from sim.rules.day import Day
from sim.rules.history import EVER, Event

CALM_S = 5.0  # seconds without trouble of control or stores, or a run of an item, before the item counts as left lying
FAILURE_S = 20.0  # seconds for which an item isn't looked at after its worker failed or fell silent
FINISHING_S = 3.0  # seconds without an item that was finished before any item counts as left lying
ROOM_STEP_S = 0.5  # seconds between two looks at the workers' room
READ_S = 2.0  # seconds in which a client reads a job once more
LEAST_TRIES = 2  # of a job, before it counts as one that is not kept
# Answers that say why a job is not kept, and that it needn't be: the route's quota, or what is wrong with the job.
REASONED = frozenset({400, 409, 413, 422, 429})


def calm_before(day: Day, time: float, seconds: float) -> bool:
    """Was there no trouble of control or stores in so many seconds before?"""
    return not any(time - seconds <= moment <= time for moment in day.contact.disturbances)


def unkept_jobs(day: Day) -> list[str]:
    """LOT_KEPT: a job that comes again and again in a calm time is acknowledged, or refused with a reason.

    Calm is twice `contactMs` without trouble of control or stores before its first try, and none until its last.
    """
    tries: dict[str, list[Event]] = defaultdict(list)
    sent: dict[str, Event] = {}
    for event in day.of("lot_sent", "lot_told"):
        if event["ev"] == "lot_sent":
            sent.setdefault(event["lot"], event)
        else:
            tries[event["lot"]].append(event)
    wait = 2 * day.seconds("contactMs")
    breaches = []
    for job, told in tries.items():
        statuses = [event["status"] for event in told]
        first, last = sent[job]["t"], told[-1]["t"]
        if len(told) < LEAST_TRIES or 202 in statuses or REASONED & set(statuses):
            continue
        calm = calm_before(day, last, wait + last - first)
        if calm and all(day.contact.in_contact(event["via"], event["t"], first) for event in told):
            breaches.append(f"lot {job}, sent at {first:.2f}, is not kept in a calm time: {statuses}")
    return breaches


def standing_replicas(day: Day) -> list[str]:
    """REPLICAS: when the day ends in calm, each partition has one ready owner, all members that the configuration wants, and
    covers what it held a second before."""
    looks = day.of("replicas")
    if not looks or not calm_before(day, looks[0]["t"], day.seconds("syncS") + day.seconds("contactMs")):
        return []
    first, last = ({row["partition"]: row for row in look["rows"]} for look in (looks[0], looks[-1]))
    breaches = []
    for number in range(looks[-1]["partitions"]):
        row = last.get(number)
        if row is None:
            breaches.append(f"partition {number} has no ready owner")
            continue
        held = first[number]["last"] if number in first else 0
        if row["covered"] < held:
            breaches.append(
                f"partition {number} of {row['owner']} covers {row['covered']}, it held {held} a second before"
            )
        if set(row["members"]) != set(row["wanted"]):
            breaches.append(
                f"partition {number} of {row['owner']} has the members {row['members']}, not {row['wanted']}"
            )
    return breaches


def items_left_lying(day: Day) -> list[str]:
    """ITEM_LEFT: `finishS` after the last request, if that is a calm time, each item of an accepted job is listed, was at a worker just before, failed
    there not long ago, or belongs to a job that was ended or can't be read; unless items are still being finished."""
    time = max((event["t"] for event in day.of("request", "lot_sent")), default=EVER) + day.seconds("finishS")
    finished = [end["t"] for end in day.of("ended") if end["id"] in day.items and end["whole"]]
    if not calm_before(day, time, CALM_S) or any(time - FINISHING_S <= moment <= time for moment in finished):
        return []
    audited = {event["lot"] for event in day.of("lot_audit") if event["status"] == 200}
    listed = {row["id"] for read in day.of("lot_read") if read["t"] <= time + READ_S for row in read["results"]}
    unlisted: dict[str, list[Event]] = defaultdict(list)
    for name, item in day.items.items():
        if name not in listed and item["lot"] in audited and item["lot"] not in day.cancelled_at:
            unlisted[item["lot"]].append(item)
    return [
        f"item {item['id']} of lot {job}, sent at {item['t']:.2f}, is left lying; its runs ended at {run_ends(day, item['id'])}"
        for job, items in unlisted.items()
        if not any(was_at_worker(day, item["id"], time - CALM_S, time) for item in items)
        for item in items
        if not any(time - FAILURE_S <= moment for moment in run_ends(day, item["id"]).values())
    ]


def stalled_items(day: Day) -> list[str]:
    """ITEM_STALLED: an accepted item that isn't listed is at a worker within `recoverS`, and within `recoverS` again after each
    of its runs that broke off or in which its worker fell silent, if that time is calm and there was room at its end."""
    bound = day.seconds("recoverS")
    day_end: float = day.events[-1]["t"] if day.events else 0.0
    listed_at: dict[str, float] = {
        row["id"]: read["t"] for read in reversed(day.of("lot_read")) for row in read["results"]
    }
    breaches = []
    for name, item in day.items.items():
        if item["lot"] not in day.accepted_jobs:
            continue
        last_look = min(listed_at.get(name, day_end), day.cancelled_at.get(item["lot"], EVER))
        for idle_since, idle_until in idle_spans(day, name, last_look):
            checked_at = idle_since + bound
            if idle_until > checked_at and calm_before(day, checked_at, bound) and had_room(day, checked_at):
                breaches.append(
                    f"item {name} of lot {item['lot']} was at no worker from {idle_since:.2f} to {idle_until:.2f}"
                )
    return breaches


def idle_spans(day: Day, item: str, last_look: float) -> list[tuple[float, float]]:
    """The spans in which an item was at no worker: from its acceptance, and from the end of each broken run, to the begin of
    its next run, or to `last_look` if there is none."""
    begins = [run["t"] for run in day.runs.get(item, [])]
    completed = {event["run"] for event in day.ends.get(item, []) if event["whole"]}
    idle_since = [ended_at for run, ended_at in run_ends(day, item).items() if run not in completed]
    accepted = day.accepted_jobs.get(day.items[item]["lot"])
    if accepted is not None and not any(begin < accepted["t"] for begin in begins):
        idle_since.append(accepted["t"])
    return [
        (moment, min(min((begin for begin in begins if begin >= moment), default=EVER), last_look))
        for moment in idle_since
    ]


def had_room(day: Day, time: float) -> bool:
    """Were, in the last seconds before a time, less than half of the slots of the workers of items taken all the time?"""
    moments = [time - CALM_S + step * ROOM_STEP_S for step in range(int(CALM_S / ROOM_STEP_S) + 1)]
    return all(is_half_empty(day, moment) for moment in moments)


def is_half_empty(day: Day, time: float) -> bool:
    """Are less than half of the slots of the workers taken at a time, of those that run items and are not down?"""
    started = {event["worker"]: event for event in day.of("start") if event["t"] <= time}
    down = {event["worker"] for event in day.of("worker_down", "gone") if event["t"] <= time}
    services = {
        started[run["worker"]]["service"]
        for item in day.items
        for run in day.runs.get(item, [])
        if run["worker"] in started
    }
    workers = {name for name, event in started.items() if name not in down and event["service"] in services}
    slots: int = sum(started[name]["slots"] for name in workers)
    ended = {event["run"] for event in day.of("ended") if event["t"] <= time}
    taken: int = sum(run["t"] <= time and run["worker"] in workers and run["run"] not in ended for run in day.of("ran"))
    return taken * 2 < slots


def run_ends(day: Day, item: str) -> dict[int, float]:
    """When the runs of an item ended, or their workers fell silent in them, by run."""
    ended_at = {event["run"]: event["t"] for event in day.ends.get(item, [])}
    return ended_at | {event["run"]: event["t"] for event in day.silences.get(item, [])}


def was_at_worker(day: Day, item: str, begin: float, end: float) -> bool:
    """Did a run of an item last at some moment of a span, with a worker that had not fallen silent?"""
    ended_at = run_ends(day, item)
    return any(run["t"] <= end and ended_at.get(run["run"], EVER) >= begin for run in day.runs.get(item, []))

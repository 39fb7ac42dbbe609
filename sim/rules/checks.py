"""All checks by the names of their rules."""

from __future__ import annotations

from collections.abc import Callable

from sim.rules import acknowledgements, answers, configuration_changes, jobs, liveness, overload, planned_work, routing
from sim.rules.day import Day

Check = Callable[[Day], list[str]]


def lost(day: Day) -> list[str]:
    """LOST: planned work cuts no request, and what was acknowledged is not lost."""
    return [*planned_work.cut_by_planned_work(day), *jobs.lost_jobs(day), *planned_work.forgotten_evacuations(day)]


# In the order in which their breaches are told.
CHECKS: dict[str, Check] = {
    "MIXED": answers.mixed,
    "UNASKED": routing.unasked,
    "TWICE": routing.twice,
    "REFUSED": routing.refused,
    "DENIED": routing.denied,
    "ROUTE": routing.other_service,
    "DRAIN": planned_work.drain,
    "LOST": lost,
    "CONFIG": configuration_changes.configuration,
    "LATE_ROUTES": configuration_changes.late_routes,
    "ACKS": acknowledgements.acknowledgements,
    "ORDER": answers.order,
    "FAILBACK": overload.cold_flooded,
    "EVAC": planned_work.evacuation,
    "LOT_MIXED": jobs.wrong_results,
    "QUOTA": jobs.quota,
    "LOT_KEPT": liveness.unkept_jobs,
    "REPLICAS": liveness.standing_replicas,
    "ITEM_LEFT": liveness.items_left_lying,
    "ITEM_STALLED": liveness.stalled_items,
    "RECOVER": overload.recovery,
    "FAULT": overload.faults,
}


def breaches(day: Day) -> dict[str, list[str]]:
    """What breaks the rules on a day, by rule; rules that held are left out."""
    return {name: found for name, check in CHECKS.items() if (found := check(day))}

"""The verbs of scenarios: faults, and what operators do."""

from __future__ import annotations

from collections.abc import Sequence

from sim.changes import CHANGES
from sim.deferred import Later
from sim.faults import FAULTS, Action
from sim.fleet import SimFleet

ACTIONS: dict[str, Action] = FAULTS | CHANGES
# Verbs whose first word is no machine and no role.
WITHOUT_MACHINE = frozenset({"apply", "race", "routes", "read", "add", "area"})


def perform(fleet: SimFleet, verb: str, arguments: Sequence[str], later: Later) -> None:
    """Causes one fault or operation; `for S` at its end undoes it after S seconds.

    Nothing happens if its first word is a role that nobody holds now.
    """
    words, span = list(arguments), 0.0
    if len(words) >= 2 and words[-2] == "for":
        span = float(words[-1])
        words = words[:-2]
    if words and verb not in WITHOUT_MACHINE and not fleet.pick(words[0]):
        return
    ACTIONS[verb](fleet, words, span, later)

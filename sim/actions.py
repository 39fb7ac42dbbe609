"""The verbs of scenarios: faults, and operations of operators."""

from __future__ import annotations

from collections.abc import Sequence

from sim.changes import CHANGES
from sim.deferred import Later
from sim.faults import FAULTS, Action
from sim.fleet import SimFleet

ACTIONS: dict[str, Action] = FAULTS | CHANGES
# Verbs whose first word is neither a machine nor a role.
WITHOUT_MACHINE = frozenset({"apply", "race", "routes", "read", "add", "area"})


def perform(fleet: SimFleet, verb: str, arguments: Sequence[str], later: Later) -> None:
    """Causes a fault or operation; if its words end with `for S`, it is undone after S seconds.

    Nothing happens if the first word is a role that no machine has at the moment.
    """
    words, span = list(arguments), 0.0
    if len(words) >= 2 and words[-2] == "for":
        span = float(words[-1])
        words = words[:-2]
    if words and verb not in WITHOUT_MACHINE and not fleet.pick(words[0]):
        return
    ACTIONS[verb](fleet, words, span, later)

"""An error that carries the step and the peer at which it arose."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# Codes that peers act upon; HTTP statuses where one fits, so that an edge can pass them on as they are.
BAD = 400
LACK = 404
CLASH = 409
OLD = 412
MOVED = 421
CROWD = 429
BROKE = 502
SHED = 503
SLOW = 504
FULL = 507


@dataclass(frozen=True)
class Fault:
    """Invariant: `step` names what was tried, `peer` at whom (or this process), `why` what was seen."""

    step: str
    peer: str
    why: str
    code: int = BROKE
    hint: str = ""
    # True only if it is proved that no byte of the call left this process.
    unsent: bool = False
    # True if an earlier try at the same thing was left without an answer.
    unsure: bool = False

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.why}"

    def as_json(self) -> dict[str, Any]:
        return {"step": self.step, "peer": self.peer, "why": self.why} | ({"hint": self.hint} if self.hint else {})


class Stop(Exception):
    """Raised where a fault must end the task or the process that met it."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault

"""Names that identify the runs of items, for the owner's count of failures and for the logs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self


@dataclass(eq=False)
class RunNames:
    """Names the runs that one scheduler process starts. Each name is used once, over all processes of a fleet.

    :ivar prefix: identifies the process, by the name of its machine and the time at which it was started.
    :ivar last: number of the last run that was named.
    """

    prefix: str
    last: int = 0

    @classmethod
    def of_process(cls, machine: str, started_at: float) -> Self:
        """Returns the names of a process that was started at a wall-clock time, in seconds."""
        return cls(f"{machine}.{int(started_at * 1000):x}")

    def next(self) -> str:
        """Returns a name that was not used before."""
        self.last += 1
        return f"{self.prefix}.{self.last}"

"""How far the run of an item at a worker has come, by what its worker has sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from postpass.runtime.environment import now


@dataclass(eq=False)
class RunProgress:
    """When a run began and when its worker last sent something. Times are loop times, in seconds.

    :ivar has_received: whether a part of the response has arrived.
    :ivar connection_reused: whether the connection of the response had carried other requests before.
    :ivar longest_pause: the longest time, in seconds, between two parts of the response, or before its first one.
    """

    started_at: float
    received_at: float  # `started_at` before the first part of the response
    longest_pause: float = 0.0
    has_received: bool = False
    connection_reused: bool = False

    @classmethod
    def begin(cls) -> Self:
        """Returns the progress of a run that begins now."""
        started_at = now()
        return cls(started_at, started_at)

    def record_received(self) -> None:
        """Records that a part of the response has arrived."""
        received_at = now()
        self.longest_pause = max(self.longest_pause, received_at - self.received_at)
        self.received_at, self.has_received = received_at, True

    @property
    def running_s(self) -> float:
        """Seconds since the run began."""
        return now() - self.started_at

    @property
    def silent_s(self) -> float:
        """Seconds since the worker last sent something, or since the run began."""
        return now() - self.received_at

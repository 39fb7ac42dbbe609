"""What an edge knows of a worker by its own relayed requests: failures, refusals, lag."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.routing.cold_workers import TokenBucket

FULL_FOR = 0.05  # seconds that a worker which turned a request away is tried last
AVOID_FIRST, AVOID_MOST = 0.1, 1.0  # seconds that a worker is avoided after a broken connection, doubling
SILENT_FIRST, SILENT_MOST = 1.0, 4.0  # the same where nothing came at all
LAG_WEIGHT = 0.1  # of the newest answer in the smoothed lag


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """One life of a worker as this edge sees it. Times are seconds of the loop's clock."""

    in_flight: int = 0  # requests of this edge under way there
    unread: int = 0  # prompt tokens of those among them that were not answered yet
    failures: int = 0  # since its last answer
    silent: bool = False  # at the last failure nothing came
    tried_at: float = -1e9  # when it last answered or failed
    avoid_until: float = -1.0
    full_until: float = -1.0
    lag: float = 0.0  # seconds until the head of an answer, smoothed
    bucket: TokenBucket = TokenBucket(0.0, 0.0)  # of requests that may go there while it is cold

    def answered(self, now: float, lag: float) -> None:
        """A proper answer's head came after so many seconds."""
        self.failures, self.silent, self.tried_at = 0, False, now
        self.lag = (1 - LAG_WEIGHT) * self.lag + LAG_WEIGHT * lag

    def failed(self, now: float, silent: bool) -> bool:
        """Leaves the worker alone for a moment that doubles: a longer one if it was silent, which costs each that
        tries a wait. Does this failure count? Where all that was sent to it is given up, only the first does."""
        self.tried_at = now
        if now < self.avoid_until and not (silent and not self.silent):
            return False
        first, most = (SILENT_FIRST, SILENT_MOST) if silent else (AVOID_FIRST, AVOID_MOST)
        self.avoid_until, self.silent = now + min(most, first * 2**self.failures), silent
        self.failures += 1
        return True

    def outcome(self, now: float, window: float) -> tuple[int, int]:
        """How it ended when this edge last tried the worker, if that was in the last `window` seconds: (1, 0) for a failure,
        (0, 1) for an answer, (0, 0) for neither."""
        if now - self.tried_at > window:
            return 0, 0
        return (1, 0) if self.failures else (0, 1)

    def is_full(self, now: float) -> None:
        """It turned a request away."""
        self.full_until = now + FULL_FOR

"""What an edge knows of a worker from its own relayed requests: failures, rejections and latency."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.routing.cold_workers import TokenBucket

FULL_SECONDS = 0.05  # for so long a worker that rejected a request is tried last
MIN_AVOID_SECONDS, MAX_AVOID_SECONDS = 0.1, 1.0  # after a broken connection; doubles with each
MIN_SILENT_AVOID_SECONDS, MAX_SILENT_AVOID_SECONDS = 1.0, 4.0  # the same if the worker sent nothing at all
LAG_WEIGHT = 0.1  # weight of the newest answer in the smoothed lag


@dataclass(eq=False, slots=True)
class WorkerHealth:
    """The health of one worker as this edge sees it. Times are seconds of the loop's clock."""

    in_flight: int = 0  # requests of this edge in progress at the worker
    unread: int = 0  # prompt tokens of those requests in flight of whose answer nothing has come yet
    failures: int = 0  # since its last proper answer
    silent: bool = False  # whether the worker sent nothing at its last failure
    tried_at: float = -1e9  # when it last answered or failed
    avoid_until: float = -1.0  # until then the worker is chosen only if no other is left
    full_until: float = -1.0  # until then the worker counts as full
    lag: float = 0.0  # smoothed seconds until the head of an answer comes
    bucket: TokenBucket = TokenBucket(
        0.0, 0.0
    )  # token bucket of the requests that may be sent while the worker is cold

    def record_answer(self, now: float, lag: float) -> None:
        """Records that the head of a proper answer came after `lag` seconds."""
        self.failures, self.silent, self.tried_at = 0, False, now
        self.lag = (1 - LAG_WEIGHT) * self.lag + LAG_WEIGHT * lag

    def record_failure(self, now: float, silent: bool) -> bool:
        """Avoids the worker for a time that doubles with each failure; returns whether this failure counts.

        The time is longer if the worker was silent, because then each request that tries it has to wait. Where
        everything that was sent to it fails at once, only the first failure counts.
        """
        self.tried_at = now
        if now < self.avoid_until and not (silent and not self.silent):
            return False
        shortest, longest = (
            (MIN_SILENT_AVOID_SECONDS, MAX_SILENT_AVOID_SECONDS) if silent else (MIN_AVOID_SECONDS, MAX_AVOID_SECONDS)
        )
        self.avoid_until, self.silent = now + min(longest, shortest * 2**self.failures), silent
        self.failures += 1
        return True

    def outcome(self, now: float, window: float) -> tuple[int, int]:
        """Returns how the last attempt of this edge at the worker ended, if it was in the last `window` seconds.

        That is (1, 0) for a failure, (0, 1) for an answer, and (0, 0) if there was neither.
        """
        if now - self.tried_at > window:
            return 0, 0
        return (1, 0) if self.failures else (0, 1)

    def mark_full(self, now: float) -> None:
        """Records that the worker rejected a request."""
        self.full_until = now + FULL_SECONDS

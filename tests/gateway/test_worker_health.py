"""What an edge remembers of a worker by its own requests."""

from __future__ import annotations

from postpass.gateway.worker_health import AVOID_FIRST, SILENT_FIRST, WorkerHealth


def test_the_last_outcome_is_told_for_a_while_and_then_forgotten() -> None:
    health = WorkerHealth()
    assert health.outcome(5.0, 1.0) == (0, 0)
    health.answered(5.0, 0.02)
    assert health.outcome(5.5, 1.0) == (0, 1)
    assert health.failed(5.6, silent=False)
    assert health.outcome(6.5, 1.0) == (1, 0) and health.outcome(6.7, 1.0) == (0, 0)
    health.answered(7.0, 0.02)
    assert health.outcome(7.0, 1.0) == (0, 1)


def test_failures_while_it_is_avoided_count_as_one_and_silence_counts_for_longer() -> None:
    health = WorkerHealth()
    assert health.failed(1.0, silent=False) and not health.failed(1.0 + AVOID_FIRST / 2, silent=False)
    assert health.failures == 1 and health.outcome(1.0 + AVOID_FIRST / 2, 1.0) == (1, 0)
    assert health.failed(1.0 + AVOID_FIRST / 2, silent=True)
    assert health.avoid_until >= 1.0 + SILENT_FIRST

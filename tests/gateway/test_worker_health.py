"""Tests what an edge records about a worker from its own requests."""

from __future__ import annotations

from postpass.gateway.worker_health import MIN_AVOID_SECONDS, MIN_SILENT_AVOID_SECONDS, WorkerHealth


def test_the_last_outcome_is_reported_for_a_while_and_then_forgotten() -> None:
    health = WorkerHealth()
    assert health.outcome(5.0, 1.0) == (0, 0)
    health.record_answer(5.0, 0.02)
    assert health.outcome(5.5, 1.0) == (0, 1)
    assert health.record_failure(5.6, silent=False)
    assert health.outcome(6.5, 1.0) == (1, 0) and health.outcome(6.7, 1.0) == (0, 0)
    health.record_answer(7.0, 0.02)
    assert health.outcome(7.0, 1.0) == (0, 1)


def test_failures_while_it_is_avoided_count_as_one_and_silence_counts_for_longer() -> None:
    health = WorkerHealth()
    assert health.record_failure(1.0, silent=False) and not health.record_failure(
        1.0 + MIN_AVOID_SECONDS / 2, silent=False
    )
    assert health.failures == 1 and health.outcome(1.0 + MIN_AVOID_SECONDS / 2, 1.0) == (1, 0)
    assert health.record_failure(1.0 + MIN_AVOID_SECONDS / 2, silent=True)
    assert health.avoid_until >= 1.0 + MIN_SILENT_AVOID_SECONDS

"""Tests of postpass.gateway.attempts."""

from __future__ import annotations

from typing import Any

from postpass.gateway.attempts import (
    MAX_WORKERS_TRIED,
    AttemptLog,
    AttemptState,
    next_live_attempt,
    next_relayed_attempt,
)


def attempt_log_of(*states: tuple[Any, str]) -> AttemptLog:
    attempt_log = AttemptLog()
    for state, why in states:
        attempt_log = attempt_log.plan("w").mark(AttemptState(state), why)
    return attempt_log


def test_a_request_that_must_not_run_twice_is_sent_again_only_if_it_did_not_run() -> None:
    def live_action(attempt_log: AttemptLog, at_most_once: bool, now: float = 0.0, budget: bool = True) -> str:
        return next_live_attempt(attempt_log, at_most_once, now, 10.0, 3, budget).action

    assert live_action(AttemptLog(), True) == "send" and live_action(AttemptLog(), True, 11) == "shed"
    assert live_action(attempt_log_of(("unsent", "refused")), True) == "send"
    assert live_action(attempt_log_of(("shed", "429")), True) == "send"
    assert live_action(attempt_log_of(("broken", "reset")), True) == "error"
    assert live_action(attempt_log_of(("broken", "reset")), False) == "send"
    assert live_action(attempt_log_of(("broken", "reset")), False, budget=False) == "error"
    assert live_action(attempt_log_of(("broken", "cut after 3 pieces")), False) == "error"
    assert live_action(attempt_log_of(("broken", "reset"), ("unsent", "refused")), True) == "send"
    assert live_action(attempt_log_of(*[("unsent", "refused")] * 3), True) == "shed"
    assert live_action(attempt_log_of(("broken", "x"), ("unsent", "y"), ("unsent", "z")), False) == "error"
    assert not attempt_log_of(("broken", "x"), ("unsent", "y")).never_ran


def relayed_action(
    attempt_log: AttemptLog, repeatable: bool, answer_begun: bool = False, resumable: bool = False, now: float = 0.0
) -> str:
    return next_relayed_attempt(
        attempt_log,
        repeatable=repeatable,
        resumable=resumable,
        answer_begun=answer_begun,
        now=now,
        search_until=1.0,
        deadline=10.0,
        max_runs=2,
    ).action


def test_a_relayed_request_is_sent_again_only_if_that_is_proved_safe() -> None:
    for repeatable in (False, True):
        assert (
            relayed_action(AttemptLog(), repeatable) == "send"
            and relayed_action(AttemptLog(), repeatable, now=11) == "shed"
        )
        assert relayed_action(attempt_log_of(("unsent", ""), ("shed", "")), repeatable) == "send"
        assert relayed_action(attempt_log_of(("unsent", "")), repeatable, now=2) == "send"
        assert relayed_action(attempt_log_of(("unsent", ""), ("shed", "")), repeatable, now=2) == "shed"
        assert relayed_action(attempt_log_of(*[("shed", "")] * MAX_WORKERS_TRIED), repeatable) == "shed"
        assert relayed_action(attempt_log_of(("done", "")), repeatable) == "done"
    assert relayed_action(attempt_log_of(("broken", "")), False) == "error"
    assert relayed_action(attempt_log_of(("shed", ""), ("broken", "")), False) == "error"
    assert relayed_action(attempt_log_of(("broken", "")), True) == "send"
    assert relayed_action(attempt_log_of(("broken", ""), ("unsent", "")), True) == "send"
    assert relayed_action(attempt_log_of(("broken", ""), ("broken", "")), True) == "error"
    # Once the request may have run, the client is never promised that it did not.
    assert relayed_action(attempt_log_of(("broken", ""), ("shed", "")), True, now=11) == "error"


def test_an_answer_under_way_goes_on_elsewhere_only_if_it_can_be_resumed() -> None:
    assert relayed_action(attempt_log_of(("broken", "")), True, answer_begun=True) == "error"
    assert relayed_action(attempt_log_of(("broken", "")), True, answer_begun=True, resumable=True) == "send"
    assert (
        relayed_action(attempt_log_of(("broken", ""), ("broken", "")), True, answer_begun=True, resumable=True)
        == "error"
    )

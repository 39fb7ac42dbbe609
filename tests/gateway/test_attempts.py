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


def _ledger(*states: tuple[Any, str]) -> AttemptLog:
    out = AttemptLog()
    for state, why in states:
        out = out.plan("w").mark(AttemptState(state), why)
    return out


def test_a_once_call_goes_out_again_only_if_no_byte_left() -> None:
    def move(ledger: AttemptLog, once: bool, t: float = 0.0, budget: bool = True) -> str:
        return next_live_attempt(ledger, once, t, 10.0, 3, budget).action

    assert move(AttemptLog(), True) == "send" and move(AttemptLog(), True, 11) == "shed"
    assert move(_ledger(("unsent", "refused")), True) == "send"
    assert move(_ledger(("shed", "429")), True) == "send"
    assert move(_ledger(("broken", "reset")), True) == "error"
    assert move(_ledger(("broken", "reset")), False) == "send"
    assert move(_ledger(("broken", "reset")), False, budget=False) == "error"
    assert move(_ledger(("broken", "cut after 3 pieces")), False) == "error"
    assert move(_ledger(("broken", "reset"), ("unsent", "refused")), True) == "send"
    assert move(_ledger(*[("unsent", "refused")] * 3), True) == "shed"
    assert move(_ledger(("broken", "x"), ("unsent", "y"), ("unsent", "z")), False) == "error"
    assert not _ledger(("broken", "x"), ("unsent", "y")).never_ran


def _next(ledger: AttemptLog, repeatable: bool, begun: bool = False, resumable: bool = False, t: float = 0.0) -> str:
    return next_relayed_attempt(
        ledger,
        repeatable=repeatable,
        resumable=resumable,
        begun=begun,
        now=t,
        search_until=1.0,
        deadline=10.0,
        max_runs=2,
    ).action


def test_a_relayed_request_goes_on_by_what_is_proved() -> None:
    for repeatable in (False, True):
        assert _next(AttemptLog(), repeatable) == "send" and _next(AttemptLog(), repeatable, t=11) == "shed"
        assert _next(_ledger(("unsent", ""), ("shed", "")), repeatable) == "send"
        assert _next(_ledger(("unsent", "")), repeatable, t=2) == "send"
        assert _next(_ledger(("unsent", ""), ("shed", "")), repeatable, t=2) == "shed"
        assert _next(_ledger(*[("shed", "")] * MAX_WORKERS_TRIED), repeatable) == "shed"
        assert _next(_ledger(("done", "")), repeatable) == "done"
    assert _next(_ledger(("broken", "")), False) == "error"
    assert _next(_ledger(("shed", ""), ("broken", "")), False) == "error"
    assert _next(_ledger(("broken", "")), True) == "send"
    assert _next(_ledger(("broken", ""), ("unsent", "")), True) == "send"
    assert _next(_ledger(("broken", ""), ("broken", "")), True) == "error"
    # Never a promise once it may have run.
    assert _next(_ledger(("broken", ""), ("shed", "")), True, t=11) == "error"


def test_an_answer_under_way_goes_on_elsewhere_only_if_it_can_be_resumed() -> None:
    assert _next(_ledger(("broken", "")), True, begun=True) == "error"
    assert _next(_ledger(("broken", "")), True, begun=True, resumable=True) == "send"
    assert _next(_ledger(("broken", ""), ("broken", "")), True, begun=True, resumable=True) == "error"

"""A call's ledger of attempts, and the next move that follows from it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any, Literal

State = Literal["planned", "sent", "first", "done", "unsent", "shed", "broken"]


@dataclass(frozen=True)
class Attempt:
    """Invariants: states go planned -> sent -> first -> done, or end in unsent (proved: no byte of the call
    left), shed (the server answered that it took nothing) or broken (from sent or first: unknown)."""

    server: str
    state: State = "planned"
    why: str = ""


@dataclass(frozen=True)
class Ledger:
    """Invariant: only the last attempt is open."""

    attempts: tuple[Attempt, ...] = ()

    def plan(self, server: str) -> Ledger:
        return Ledger((*self.attempts, Attempt(server)))

    def mark(self, state: State, why: str = "") -> Ledger:
        return Ledger((*self.attempts[:-1], replace(self.attempts[-1], state=state, why=why)))

    @property
    def last(self) -> Attempt | None:
        return self.attempts[-1] if self.attempts else None

    @property
    def never_ran(self) -> bool:
        """Proved: nothing of this call was taken by any server."""
        return all(a.state in ("planned", "unsent", "shed") for a in self.attempts)


@dataclass(frozen=True)
class Move:
    """What to do next: send to another server, or end the call with an answer."""

    kind: Literal["send", "done", "error", "shed"]
    why: str = ""


def next_move(ledger: Ledger, once: bool, now: float, until: float, tries: int, budget: bool) -> Move:
    """A pure function of ledger, class and time. `budget`: may another attempt be spent on retries?"""
    last = ledger.last
    if last is None:
        return Move("send") if now < until else Move("shed", "its deadline passed before it was sent")
    if last.state == "done":
        return Move("done")
    if any(a.state == "first" or (a.state == "broken" and a.why.startswith("cut")) for a in ledger.attempts):
        # Pieces have gone to the caller: nothing may be spliced on.
        return Move("error", last.why)
    if last.state == "broken" and once:
        return Move("error", f"unknown whether it ran: {last.why}")
    spent = len(ledger.attempts) >= tries or now >= until or not budget
    if spent:
        if ledger.never_ran:
            return Move("shed", f"no server took it: {last.why}")
        return Move("error", last.why)
    return Move("send")


MOST = 6  # workers that are asked for one request, those that took nothing included


def next_attempt(
    ledger: Ledger, *, repeatable: bool, resumable: bool, begun: bool, now: float, hold: float, until: float, tries: int
) -> Move:
    """The next move of a relayed request. `begun`: something of an answer went to the caller. `hold`: until when other
    workers are asked if none has taken it. `tries`: how many workers may have begun it."""
    last = ledger.last
    if last is None:
        return Move("send") if now < until else Move("shed", "its deadline passed before it was sent")
    if last.state == "done":
        return Move("done")
    ran = sum(a.state not in ("planned", "unsent", "shed") for a in ledger.attempts)
    count = len(ledger.attempts)
    if ran == 0:
        asked = count >= MOST or (now >= hold and count >= 2) or now >= until
        return Move("shed", f"no worker took it: {last.why}") if asked else Move("send")
    if begun and not resumable:
        return Move("error", last.why)
    if not repeatable or ran >= tries or count >= MOST + tries or now >= until:
        return Move("error", last.why)
    return Move("send")


def _ledger(*states: tuple[Any, str]) -> Ledger:
    out = Ledger()
    for state, why in states:
        out = out.plan("w").mark(state, why)
    return out


def test_a_once_call_goes_out_again_only_if_no_byte_left() -> None:
    def move(ledger: Ledger, once: bool, t: float = 0.0, budget: bool = True) -> str:
        return next_move(ledger, once, t, 10.0, 3, budget).kind

    assert move(Ledger(), True) == "send" and move(Ledger(), True, 11) == "shed"
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


def _next(ledger: Ledger, repeatable: bool, begun: bool = False, resumable: bool = False, t: float = 0.0) -> str:
    return next_attempt(
        ledger, repeatable=repeatable, resumable=resumable, begun=begun, now=t, hold=1.0, until=10.0, tries=2
    ).kind


def test_a_relayed_request_goes_on_by_what_is_proved() -> None:
    for repeatable in (False, True):
        assert _next(Ledger(), repeatable) == "send" and _next(Ledger(), repeatable, t=11) == "shed"
        assert _next(_ledger(("unsent", ""), ("shed", "")), repeatable) == "send"
        assert _next(_ledger(("unsent", "")), repeatable, t=2) == "send"
        assert _next(_ledger(("unsent", ""), ("shed", "")), repeatable, t=2) == "shed"
        assert _next(_ledger(*[("shed", "")] * MOST), repeatable) == "shed"
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

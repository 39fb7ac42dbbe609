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

"""A call's ledger of attempts, and the next move that follows from it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Literal

State = Literal["planned", "sent", "first", "done", "unsent", "shed", "broken"]


@dataclass(frozen=True)
class Attempt:
    """Invariants: states go planned -> sent -> first -> done, or end in unsent (proved: no byte of the call
    left), shed (the server answered that it took nothing) or broken (from sent or first: unknown)."""

    server: str
    state: State = "planned"
    why: str = ""


@dataclass(frozen=True)
class AttemptLog:
    """Invariant: only the last attempt is open."""

    attempts: tuple[Attempt, ...] = ()

    def plan(self, server: str) -> AttemptLog:
        return AttemptLog((*self.attempts, Attempt(server)))

    def mark(self, state: State, why: str = "") -> AttemptLog:
        return AttemptLog((*self.attempts[:-1], replace(self.attempts[-1], state=state, why=why)))

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


def next_move(ledger: AttemptLog, once: bool, now: float, until: float, tries: int, budget: bool) -> Move:
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
    ledger: AttemptLog,
    *,
    repeatable: bool,
    resumable: bool,
    begun: bool,
    now: float,
    hold: float,
    until: float,
    tries: int,
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

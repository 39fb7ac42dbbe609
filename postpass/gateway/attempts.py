"""The log of a request's attempts, and the decision that follows from it: send again, or end with an answer.

`next_live_attempt` decides for live requests to model workers, `next_relayed_attempt` for requests that are relayed by
a route. Both are pure functions, so that tests can walk through every state.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, StrEnum, auto

MAX_ASKED = 6  # workers that are asked for one relayed request, those that took nothing included
CUT = "cut"  # how the reason of an attempt begins that broke after part of the answer had gone to the client


class AttemptState(StrEnum):
    """States of one attempt: PLANNED, SENT, FIRST and DONE in this order, or one of the other three as its end."""

    PLANNED = "planned"
    SENT = "sent"  # bytes of the request may have left
    FIRST = "first"  # the first piece of the answer went to the client
    DONE = "done"
    UNSENT = "unsent"  # proved: no byte of the request left
    REJECTED = "shed"  # the worker answered that it took nothing
    BROKEN = "broken"  # from SENT or FIRST: unknown whether it ran


class Action(StrEnum):
    """What to do next with a request. The values are the label `end` of the metrics."""

    SEND = "send"
    DONE = "done"
    ERROR = "error"  # it ends without a whole answer, and may have run
    REJECT = "shed"  # it ends, and is proved never to have run
    REFUSE_KEY = "401"  # the same, since its client's key was withdrawn


class KeyStanding(Enum):
    """What became of a client's key since its request came."""

    HELD = auto()  # it is still its tenant's
    WITHDRAWN = auto()  # no tenant has it any more
    CHANGED = auto()  # the request would be another client's now, or would need a key that was not asked for


NOT_TAKEN = frozenset((AttemptState.PLANNED, AttemptState.UNSENT, AttemptState.REJECTED))


@dataclass(frozen=True)
class Attempt:
    """One attempt at a worker; `why` is the reason of its end. An empty worker stands for none that was free."""

    worker: str
    state: AttemptState = AttemptState.PLANNED
    why: str = ""


@dataclass(frozen=True)
class AttemptLog:
    """All attempts of one request, the oldest first. Invariant: only the last one is open."""

    attempts: tuple[Attempt, ...] = ()

    def plan(self, worker: str) -> AttemptLog:
        """The log with a new attempt at `worker`."""
        return AttemptLog((*self.attempts, Attempt(worker)))

    def mark(self, state: AttemptState, why: str = "") -> AttemptLog:
        """The log with the last attempt in a new state."""
        return AttemptLog((*self.attempts[:-1], replace(self.attempts[-1], state=state, why=why)))

    @property
    def last(self) -> Attempt | None:
        """The newest attempt; None before the first."""
        return self.attempts[-1] if self.attempts else None

    @property
    def never_ran(self) -> bool:
        """Proved: no worker took anything of this request."""
        return all(a.state in NOT_TAKEN for a in self.attempts)

    @property
    def ran(self) -> int:
        """How many attempts may have begun to run."""
        return sum(a.state not in NOT_TAKEN for a in self.attempts)

    @property
    def reached_client(self) -> bool:
        """Did a piece of an answer go to the client?"""
        return any(
            a.state is AttemptState.FIRST or (a.state is AttemptState.BROKEN and a.why.startswith(CUT))
            for a in self.attempts
        )


@dataclass(frozen=True)
class Decision:
    """The next action, with its reason for the client and the log."""

    action: Action
    why: str = ""


@dataclass
class RetryBudget:
    """Attempts that one edge may spend on retries, over all its live requests: each new request earns a part of one,
    so that retries stay a small part of the load when many workers fail at once."""

    tokens: float = 10.0
    earned_per_request: float = 0.1
    max_tokens: float = 20.0

    @property
    def available(self) -> bool:
        """May another attempt be spent?"""
        return self.tokens >= 1

    def earn(self) -> None:
        """A request was admitted."""
        self.tokens = min(self.tokens + self.earned_per_request, self.max_tokens)

    def spend(self) -> None:
        """A request is sent again."""
        self.tokens -= 1


def next_live_attempt(
    attempt_log: AttemptLog, once: bool, now: float, until: float, max_attempts: int, may_retry: bool
) -> Decision:
    """The next action of a live request.

    Parameters: `once`: the request must not run twice; `now` and `until` (the deadline): seconds of the loop's clock;
    `max_attempts`: attempts of any kind; `may_retry`: the retry budget of this edge allows another one.
    """
    last = attempt_log.last
    if last is None:
        return _first_attempt(now, until)
    if last.state is AttemptState.DONE:
        return Decision(Action.DONE)
    if attempt_log.reached_client:
        # Another run's pieces must not be appended to those of this one.
        return Decision(Action.ERROR, last.why)
    if last.state is AttemptState.BROKEN and once:
        return Decision(Action.ERROR, f"unknown whether it ran: {last.why}")
    exhausted = len(attempt_log.attempts) >= max_attempts or now >= until or not may_retry
    if exhausted:
        if attempt_log.never_ran:
            return Decision(Action.REJECT, f"no server took it: {last.why}")
        return Decision(Action.ERROR, last.why)
    return Decision(Action.SEND)


def next_relayed_attempt(
    attempt_log: AttemptLog,
    *,
    repeatable: bool,
    resumable: bool,
    begun: bool,
    now: float,
    ask_until: float,
    until: float,
    max_runs: int,
    standing: KeyStanding = KeyStanding.HELD,
) -> Decision:
    """The next action of a relayed request.

    Parameters: `repeatable`: it may run more than once; `resumable`: another worker can go on where the last one
    ended; `begun`: something of an answer went to the client; `ask_until`: until when other workers are asked while
    none has taken it; `until`: its deadline (all three times in seconds of the loop's clock); `max_runs`: how many
    workers may have begun it; `standing`: what became of its client's key.
    """
    last = attempt_log.last
    if standing is not KeyStanding.HELD and (last is None or last.state is not AttemptState.DONE):
        return _without_key(attempt_log, standing)
    if last is None:
        return _first_attempt(now, until)
    if last.state is AttemptState.DONE:
        return Decision(Action.DONE)
    ran = attempt_log.ran
    count = len(attempt_log.attempts)
    if ran == 0:
        enough_asked = count >= MAX_ASKED or (now >= ask_until and count >= 2) or now >= until
        return Decision(Action.REJECT, f"no worker took it: {last.why}") if enough_asked else Decision(Action.SEND)
    if begun and not resumable:
        return Decision(Action.ERROR, last.why)
    if not repeatable or ran >= max_runs or count >= MAX_ASKED + max_runs or now >= until:
        return Decision(Action.ERROR, last.why)
    return Decision(Action.SEND)


def _without_key(attempt_log: AttemptLog, standing: KeyStanding) -> Decision:
    """The end of a request that must not be sent any more. One that another client's key stands for now may come again,
    to be judged anew."""
    if not attempt_log.never_ran:
        return Decision(Action.ERROR, "its client's key has changed")
    action = Action.REFUSE_KEY if standing is KeyStanding.WITHDRAWN else Action.REJECT
    return Decision(action, "its client's key has changed")


def _first_attempt(now: float, until: float) -> Decision:
    if now < until:
        return Decision(Action.SEND)
    return Decision(Action.REJECT, "its deadline passed before it was sent")

"""The log of the attempts made for a request, and the decision that follows: send it again, or end it with an answer.

`next_live_attempt` decides for live requests to model workers, `next_relayed_attempt` for requests that the relay
forwards by their route. Both are pure functions, so that tests can go through every state.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, StrEnum, auto

MAX_WORKERS_TRIED = 6  # per relayed request, including workers that did not accept it
CUT_PREFIX = "cut"  # prefix of an attempt's reason if it broke after part of the answer was sent to the client


class AttemptState(StrEnum):
    """The state of one attempt.

    An attempt goes through PLANNED, SENT, FIRST and DONE in this order, unless it ends in one of the other three.
    """

    PLANNED = "planned"
    SENT = "sent"  # bytes of the request may have been written
    FIRST = "first"  # the first piece of the answer was sent to the client
    DONE = "done"
    UNSENT = "unsent"  # proved: no byte of the request was written
    REJECTED = "shed"  # the worker answered that it did not accept the request
    BROKEN = "broken"  # failed from SENT or FIRST; it is unknown whether the request ran


class Action(StrEnum):
    """What to do next with a request. The values are those of the metrics' label `end`."""

    SEND = "send"
    DONE = "done"
    ERROR = "error"  # the request ends without a complete answer, and may have run
    REJECT = "shed"  # the request ends, and is proved never to have run
    REFUSE_KEY = "401"  # as REJECT, because the key of its client was withdrawn


class KeyStatus(Enum):
    """Whether the key of a client is still valid, compared to when its request arrived."""

    VALID = auto()  # the key still belongs to the same tenant
    WITHDRAWN = auto()  # the key belongs to no tenant any more
    CHANGED = (
        auto()
    )  # the request would now count as another client's, or would need a key that was not required before


NOT_TAKEN = frozenset((AttemptState.PLANNED, AttemptState.UNSENT, AttemptState.REJECTED))


@dataclass(frozen=True)
class Attempt:
    """One attempt at a worker.

    `why` is the reason for which it ended. An empty `worker` means that no worker was free.
    """

    worker: str
    state: AttemptState = AttemptState.PLANNED
    why: str = ""


@dataclass(frozen=True)
class AttemptLog:
    """All attempts of one request, the oldest first. Invariant: only the last one may be unfinished."""

    attempts: tuple[Attempt, ...] = ()

    def plan(self, worker: str) -> AttemptLog:
        """Returns the log with a new attempt at `worker` added."""
        return AttemptLog((*self.attempts, Attempt(worker)))

    def mark(self, state: AttemptState, why: str = "") -> AttemptLog:
        """Returns the log with the last attempt in a new state."""
        return AttemptLog((*self.attempts[:-1], replace(self.attempts[-1], state=state, why=why)))

    @property
    def last(self) -> Attempt | None:
        """The newest attempt; None before the first."""
        return self.attempts[-1] if self.attempts else None

    @property
    def never_ran(self) -> bool:
        """Whether it is proved that no worker accepted any part of this request."""
        return all(a.state in NOT_TAKEN for a in self.attempts)

    @property
    def run_count(self) -> int:
        """The number of attempts whose worker may have started to process the request."""
        return sum(a.state not in NOT_TAKEN for a in self.attempts)

    @property
    def reached_client(self) -> bool:
        """Whether a piece of an answer was sent to the client."""
        return any(
            a.state is AttemptState.FIRST or (a.state is AttemptState.BROKEN and a.why.startswith(CUT_PREFIX))
            for a in self.attempts
        )


@dataclass(frozen=True)
class Decision:
    """The next action, with its reason for the client and for the log."""

    action: Action
    why: str = ""


@dataclass
class RetryBudget:
    """The retries that one edge may still make, over all its live requests.

    Each new request earns a part of a retry, so that retries stay a small part of the load when many workers fail at
    once.
    """

    tokens: float = 10.0
    earned_per_request: float = 0.1
    max_tokens: float = 20.0

    @property
    def available(self) -> bool:
        """Whether another retry is allowed."""
        return self.tokens >= 1

    def earn(self) -> None:
        """Adds what an admitted request earns."""
        self.tokens = min(self.tokens + self.earned_per_request, self.max_tokens)

    def spend(self) -> None:
        """Takes one retry from the budget."""
        self.tokens -= 1


def next_live_attempt(
    attempt_log: AttemptLog, at_most_once: bool, now: float, deadline: float, max_attempts: int, may_retry: bool
) -> Decision:
    """Returns the next action for a live request.

    Parameters: `at_most_once`: the request must not run twice; `now` and `deadline`: seconds of the loop's clock;
    `max_attempts`: attempts in any state; `may_retry`: the retry budget of this edge allows another attempt.
    """
    last = attempt_log.last
    if last is None:
        return _first_attempt(now, deadline)
    if last.state is AttemptState.DONE:
        return Decision(Action.DONE)
    if attempt_log.reached_client:
        # Pieces of another run's answer must not be appended to those of this run.
        return Decision(Action.ERROR, last.why)
    if last.state is AttemptState.BROKEN and at_most_once:
        return Decision(Action.ERROR, f"unknown whether it ran: {last.why}")
    exhausted = len(attempt_log.attempts) >= max_attempts or now >= deadline or not may_retry
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
    answer_begun: bool,
    now: float,
    search_until: float,
    deadline: float,
    max_runs: int,
    key_status: KeyStatus = KeyStatus.VALID,
) -> Decision:
    """Returns the next action for a relayed request.

    Parameters: `repeatable`: it may run more than once; `resumable`: another worker can continue the answer where the
    last one stopped; `answer_begun`: a part of an answer was sent to the client; `search_until`: until when other
    workers are tried as long as none has accepted it; `deadline`: when it must have ended (like `now` and
    `search_until` in seconds of the loop's clock); `max_runs`: how many workers may have started to process it; `key_status`: whether the key of
    its client is still valid.
    """
    last = attempt_log.last
    if key_status is not KeyStatus.VALID and (last is None or last.state is not AttemptState.DONE):
        return _without_key(attempt_log, key_status)
    if last is None:
        return _first_attempt(now, deadline)
    if last.state is AttemptState.DONE:
        return Decision(Action.DONE)
    run_count = attempt_log.run_count
    attempt_count = len(attempt_log.attempts)
    if run_count == 0:
        search_exhausted = (
            attempt_count >= MAX_WORKERS_TRIED or (now >= search_until and attempt_count >= 2) or now >= deadline
        )
        return Decision(Action.REJECT, f"no worker took it: {last.why}") if search_exhausted else Decision(Action.SEND)
    if answer_begun and not resumable:
        return Decision(Action.ERROR, last.why)
    if not repeatable or run_count >= max_runs or attempt_count >= MAX_WORKERS_TRIED + max_runs or now >= deadline:
        return Decision(Action.ERROR, last.why)
    return Decision(Action.SEND)


def _without_key(attempt_log: AttemptLog, key_status: KeyStatus) -> Decision:
    """Returns how a request ends that must not be sent any more, because the status of its key has changed.

    If its key now belongs to another client, the client may send it again, to be authenticated anew.
    """
    if not attempt_log.never_ran:
        return Decision(Action.ERROR, "its client's key has changed")
    action = Action.REFUSE_KEY if key_status is KeyStatus.WITHDRAWN else Action.REJECT
    return Decision(action, "its client's key has changed")


def _first_attempt(now: float, deadline: float) -> Decision:
    if now < deadline:
        return Decision(Action.SEND)
    return Decision(Action.REJECT, "its deadline passed before it was sent")

"""The names of headers that an adapter's world uses for what the product means; product code says the left-hand side."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Dialect:
    """Invariant: every name is lower case. The defaults are the product's own names."""

    request_id: str = "x-call-id"  # names one try of a caller; comes back on the answer
    deadline_ms: str = "x-deadline-ms"  # how long the caller waits, from now
    want_worker: str = "x-want-worker"  # the life of a worker that alone may run this
    not_run: str = "x-not-run"  # on an answer: the worker did not run the call
    seal: str = "x-seal"  # on an answer: the worker's stamp
    urgency: str = "x-urgency"  # 0 to 9, 0 first
    model: str = "x-model"
    tokens: str = "x-tokens"  # "PROMPT,MOST"
    prompt: str = "x-prompt-prefix"  # "ID:TOKENS,ID:TOKENS", shared parts first
    last_event: str = "last-event-id"
    worker: str = "x-worker"  # on a health answer: the life of the worker
    warm_ms: str = "x-warm-ms"  # on a health answer: how much longer it stays cold
    report: str = "/report"  # path of a worker's report of its load

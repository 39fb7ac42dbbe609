"""The names of HTTP headers and paths, which an adapter may replace; product code refers to them by field name."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Dialect:
    """The names of headers on requests and responses, and the path of a worker's report.

    Invariant: every header name is lower case. The defaults are the product's own names.

    :ivar request_id: the id of one attempt of a client, which is repeated on the response.
    :ivar deadline_ms: for how many milliseconds from now the client waits.
    :ivar want_worker: the incarnation of the only worker that may run the request.
    :ivar want_version: the only version of model weights whose workers may run the request, if the client sets it.
    :ivar not_run: on a response, says that the worker did not run the request.
    :ivar seal: on a response, the worker's seal.
    :ivar urgency: 0 to 9; 0 is the most urgent.
    :ivar model: the model that the request is for.
    :ivar tokens: "PROMPT,MOST", the number of tokens of the prompt and the most tokens of the response.
    :ivar prompt: "ID:TOKENS,ID:TOKENS", the parts of the prompt, those shared with other requests first.
    :ivar tenant: on a request to a worker, the tenant whose key the client presented.
    :ivar last_event: the id of the last event that the client of a stream has received.
    :ivar worker: on the response to a health check, the incarnation of the worker.
    :ivar warm_ms: on the response to a health check, for how many milliseconds the worker will still be cold.
    :ivar report: the path at which a worker reports its load.
    """

    request_id: str = "x-call-id"
    deadline_ms: str = "x-deadline-ms"
    want_worker: str = "x-want-worker"
    want_version: str = "x-want-version"
    not_run: str = "x-not-run"
    seal: str = "x-seal"
    urgency: str = "x-urgency"
    model: str = "x-model"
    tokens: str = "x-tokens"
    prompt: str = "x-prompt-prefix"
    tenant: str = "x-tenant"
    last_event: str = "last-event-id"
    worker: str = "x-worker"
    warm_ms: str = "x-warm-ms"
    report: str = "/report"

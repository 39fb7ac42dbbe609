"""The names of headers that an adapter's world uses for what the product means; product code says the left-hand side."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Dialect:
    """The names of headers on requests and responses, and the path of a worker's report.

    Invariant: every name of a header is lower case. The defaults are the product's own names.

    :ivar request_id: names one attempt of a client; it comes back on the response.
    :ivar deadline_ms: milliseconds that the client waits, from now.
    :ivar want_worker: the incarnation of a worker that alone may run the request.
    :ivar want_version: the version of a worker's weights that alone may run the request, where the client sets it.
    :ivar not_run: on a response, that the worker did not run the request.
    :ivar seal: on a response, the worker's stamp.
    :ivar urgency: 0 to 9, 0 first.
    :ivar model: the model that the request is for.
    :ivar tokens: "PROMPT,MOST", the tokens of the prompt and the most of the response.
    :ivar prompt: "ID:TOKENS,ID:TOKENS", the shared parts of the prompt first.
    :ivar tenant: on a request to a worker, the tenant whose key the client showed.
    :ivar last_event: the last event that the client of a stream has.
    :ivar worker: on the response of a health check, the incarnation of the worker.
    :ivar warm_ms: on the response of a health check, milliseconds for which the worker stays cold.
    :ivar report: the path of a worker's report of its load.
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

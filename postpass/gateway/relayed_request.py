"""The state of one relayed request."""

from __future__ import annotations

from dataclasses import dataclass, field

from starlette.types import Scope, Send

from postpass.configuration.configuration import Route
from postpass.gateway.attempts import AttemptLog
from postpass.gateway.client_identity import ClientIdentity
from postpass.gateway.event_stream import EventStream
from postpass.gateway.http_headers import HeaderNames, Headers, end_to_end, header, parse_number
from postpass.routing.live_choice import Choice
from postpass.routing.prefixes import NO_PREFIX, Prefix, parse_prefix

NOT_YET = -1.0
PATIENCE = 1 / 3  # of the aim, or of the longest pause: silence from which a worker is probed
MAX_URGENCY = 6  # live requests have an urgency of at most this; those of jobs stand behind


@dataclass(eq=False, slots=True)
class RelayedRequest:
    """One request on its way. Owner: the task of `Relay.relay`. Invariant: `begun` once anything of an answer has gone
    to the client, and from then on only whole events of a run that joins on go after it. Times are seconds of the
    loop's clock."""

    route_name: str
    route: Route
    method: str
    target: bytes  # path and query as the client wrote them
    headers: Headers  # as they go to any worker
    body: bytes
    request_id: bytes | None
    prefix: Prefix
    began: float
    until: float  # its deadline
    send: Send
    client: ClientIdentity
    tokens: bytes = b""  # as the client says: of the prompt, and the most of the answer
    attempt_log: AttemptLog = field(default_factory=AttemptLog)
    begun: bool = False
    gone: bool = False  # the client has gone
    events: EventStream | None = None
    first_delay: float = NOT_YET  # seconds until the first piece of an answer went out
    latest: float = 0.0  # when the last one did
    longest_pause: float = 0.0  # seconds between two of them
    choice: Choice | None = None  # of the newest attempt's worker
    unread: int = 0  # tokens of its prompt that the worker of the open attempt may still have to read

    @property
    def repeatable(self) -> bool:
        """May it run at more than one worker?"""
        return self.route["kind"] == "idem" or self.resumable

    @property
    def resumable(self) -> bool:
        """Can another worker go on where one ended?"""
        return self.route["kind"] == "stream" and self.route["resumable"]

    @property
    def can_resume(self) -> bool:
        """Is it known after which event another worker has to go on?"""
        return self.events is not None and self.events.last_id is not None

    @property
    def prompt_tokens(self) -> int:
        """Tokens of its prompt, as the client says; 0 if it doesn't."""
        return parse_number(self.tokens.partition(b",")[0].strip()) or 0

    @property
    def patience(self) -> float:
        """Seconds for which nothing may come for a request that may be done elsewhere, so that this is still in time;
        0 for others."""
        if not self.repeatable:
            return 0.0
        return min(self.route["target"], self.route["gap"] or self.route["target"]) * PATIENCE

    @property
    def late(self) -> bool:
        """Did its answer miss the route's aims?"""
        gap = self.route["gap"]
        return self.first_delay > self.route["target"] or (gap > 0 and self.longest_pause > gap)

    def note_piece(self, at: float) -> None:
        """A piece of the answer goes out."""
        if self.first_delay < 0:
            self.first_delay = at - self.began
        elif at - self.latest > self.longest_pause:
            self.longest_pause = at - self.latest
        self.latest = at


def build_request(
    names: HeaderNames, route_name: str, route: Route, client: ClientIdentity, scope: Scope, body: bytes,
    began: float, until: float, send: Send,
) -> RelayedRequest:  # fmt: skip
    """A client's request as it goes to workers. `began`, `until`: its begin and its deadline, in seconds of the loop's
    clock."""
    headers: Headers = scope["headers"]
    query = scope["query_string"]
    target = scope.get("extensions", {}).get("target") or scope["raw_path"] + (b"?" + query if query else b"")
    out = end_to_end(headers, names.dropped(route["tokens"], client.hides_key))
    if body or header(headers, b"content-length") is not None or header(headers, b"transfer-encoding") is not None:
        out.append((b"content-length", b"%d" % len(body)))
    if route["tokens"]:
        out.append((names.urgency, b"%d" % min(max(client.rank_on(route), 0), MAX_URGENCY)))
    if client.tenant:
        out.append((names.tenant, client.tenant.encode()))
    prefix = parse_prefix(header(headers, names.prompt) or b"") if route["tokens"] else NO_PREFIX
    request = RelayedRequest(
        route_name, route, scope["method"], target, out, body, header(headers, names.request_id), prefix, began, until,
        send, client, header(headers, names.tokens) or b"",
    )  # fmt: skip
    if request.resumable:
        request.events = EventStream(parse_number(header(headers, names.last_event)))
    return request


def attempt_headers(names: HeaderNames, request: RelayedRequest, worker: str, seconds_left: float) -> Headers:
    """The request's headers with those that are of one attempt."""
    headers = [
        *request.headers, (names.want_worker, worker.encode()),
        (names.deadline_ms, b"%d" % max(1, int(seconds_left * 1000))),
    ]  # fmt: skip
    if request.begun and request.events is not None and request.events.last_id is not None:
        headers = [h for h in headers if h[0] != names.last_event]
        headers.append((names.last_event, b"%d" % request.events.last_id))
    return headers

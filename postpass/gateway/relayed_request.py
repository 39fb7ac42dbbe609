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

NOT_YET = -1.0  # stands for a time that isn't known yet
PATIENCE = 1 / 3  # share of the target, or of the longest allowed pause, after which a silent worker is probed
MAX_URGENCY = 6  # the highest urgency number of live requests, so that requests of jobs come after them


@dataclass(eq=False, slots=True)
class RelayedRequest:
    """One relayed request in progress. Owner: the task of `Relay.relay`.

    Invariant: `answer_begun` is set once any part of an answer was sent to the client; if the answer is then cut off,
    only complete events of a run that continues it exactly are sent after it. Times are seconds of the loop's clock.
    """

    route_name: str
    route: Route
    method: str
    target: bytes  # path and query exactly as the client sent them
    headers: Headers  # as sent to every worker; `attempt_headers` adds those of one attempt
    body: bytes
    request_id: bytes | None
    prefix: Prefix
    started_at: float
    deadline: float
    send: Send
    client: ClientIdentity
    tokens: bytes = b""  # the client's header: number of tokens of the prompt, and the maximum of the answer
    attempt_log: AttemptLog = field(default_factory=AttemptLog)
    answer_begun: bool = False  # a part of an answer was sent to the client
    client_gone: bool = False  # the client has disconnected
    events: EventStream | None = None
    first_piece_delay: float = NOT_YET  # seconds until the first piece of an answer was sent
    last_piece_at: float = 0.0  # when the latest piece was sent
    longest_pause: float = 0.0  # seconds between two pieces
    choice: Choice | None = None  # how the worker of the newest attempt was chosen
    unread: int = 0  # tokens of its prompt that the worker of the current attempt may still have to process

    @property
    def repeatable(self) -> bool:
        """Whether it may run at more than one worker."""
        return self.route["kind"] == "idem" or self.resumable

    @property
    def resumable(self) -> bool:
        """Whether another worker can continue the answer where one stopped."""
        return self.route["kind"] == "stream" and self.route["resumable"]

    @property
    def can_resume(self) -> bool:
        """Whether it is known after which event another worker has to continue."""
        return self.events is not None and self.events.last_id is not None

    @property
    def prompt_tokens(self) -> int:
        """The number of tokens of its prompt as stated by the client; 0 if it isn't stated."""
        return parse_number(self.tokens.partition(b",")[0].strip()) or 0

    @property
    def patience(self) -> float:
        """The seconds of silence after which the worker is probed; 0 if the request isn't repeatable.

        They are short enough that the request can still be done in time elsewhere.
        """
        if not self.repeatable:
            return 0.0
        return min(self.route["target"], self.route["gap"] or self.route["target"]) * PATIENCE

    @property
    def missed_target(self) -> bool:
        """Whether its answer missed the route's targets for the first piece or for the pauses."""
        gap = self.route["gap"]
        return self.first_piece_delay > self.route["target"] or (gap > 0 and self.longest_pause > gap)

    def record_piece(self, at: float) -> None:
        """Records that a piece of the answer is sent at the time `at`."""
        if self.first_piece_delay < 0:
            self.first_piece_delay = at - self.started_at
        elif at - self.last_piece_at > self.longest_pause:
            self.longest_pause = at - self.last_piece_at
        self.last_piece_at = at


def build_request(
    names: HeaderNames, route_name: str, route: Route, client: ClientIdentity, scope: Scope, body: bytes,
    started_at: float, deadline: float, send: Send,
) -> RelayedRequest:  # fmt: skip
    """Returns a client's request as it is sent to workers. Its times are seconds of the loop's clock."""
    headers: Headers = scope["headers"]
    query = scope["query_string"]
    target = scope.get("extensions", {}).get("target") or scope["raw_path"] + (b"?" + query if query else b"")
    worker_headers = end_to_end(headers, names.dropped(route["tokens"], client.hides_key))
    if body or header(headers, b"content-length") is not None or header(headers, b"transfer-encoding") is not None:
        worker_headers.append((b"content-length", b"%d" % len(body)))
    if route["tokens"]:
        worker_headers.append((names.urgency, b"%d" % min(max(client.rank_on(route), 0), MAX_URGENCY)))
    if client.tenant:
        worker_headers.append((names.tenant, client.tenant.encode()))
    prefix = parse_prefix(header(headers, names.prompt) or b"") if route["tokens"] else NO_PREFIX
    request = RelayedRequest(
        route_name, route, scope["method"], target, worker_headers, body, header(headers, names.request_id), prefix, started_at, deadline,
        send, client, header(headers, names.tokens) or b"",
    )  # fmt: skip
    if request.resumable:
        request.events = EventStream(parse_number(header(headers, names.last_event)))
    return request


def attempt_headers(names: HeaderNames, request: RelayedRequest, worker: str, seconds_left: float) -> Headers:
    """Returns the request's headers and those of one attempt: the worker, the deadline, and where to continue."""
    headers = [
        *request.headers, (names.want_worker, worker.encode()),
        (names.deadline_ms, b"%d" % max(1, int(seconds_left * 1000))),
    ]  # fmt: skip
    if request.answer_begun and request.events is not None and request.events.last_id is not None:
        headers = [h for h in headers if h[0] != names.last_event]
        headers.append((names.last_event, b"%d" % request.events.last_id))
    return headers

"""An item of a route as a request at a worker: its answer's events, read off and joined to a text."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from postpass.batch.messages import Item
from postpass.configuration.header_names import Dialect
from postpass.gateway.client_identity import ClientIdentity
from postpass.gateway.http_headers import AUTHORIZATION
from postpass.gateway.response_check import Proof, ResponseHeaderNames, check_response
from postpass.runtime.errors import BROKE, REJECTED, Fault, FaultError

LEAST_URGENT = b"9"
MAX_LINE = 1 << 20  # bytes of one line of an answer
MAX_FAILURE = 1 << 20  # bytes of the body of a failure
REJECTED_HINT = "shed"  # the hint of a fault that says that the worker rejected the request, and did not run it
# Headers that concern one connection, or that this side sets.
OWN_HEADERS = frozenset(
    {"host", "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length"}
)


class RunEnd(StrEnum):
    """How one run of an item at a worker came to its end, as the metrics name it."""

    DONE = "done"
    FAILED = "failed"  # the worker answered with a 500: another try may succeed
    NEVER = "never"  # it answered with a 422: no try will succeed
    NOT_RUN = "unsent"  # it surely did not run the item
    CUT = "cut"  # the answer of an item of a route broke off
    BROKEN = "broken"  # the answer of an item of a class broke off


FINAL = {500: RunEnd.FAILED, 422: RunEnd.NEVER}  # how an item ends by a worker's own failure


class Exchange(Protocol):
    """A request on its connection, with the head of the answer."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def chunks(self) -> AsyncIterator[bytes]:
        """The body of the answer as it comes; raises FaultError if it is cut."""
        ...

    def close(self) -> None:
        """Ends the exchange, wherever it is."""
        ...


class Workers(Protocol):
    """Sends requests to workers."""

    async def request(
        self, addr: str, method: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
        *, admission_check: Callable[[], str], limit: float, expect: tuple[bytes, bytes] | None,
    ) -> Exchange:  # fmt: skip
        """Sends a request and returns it with the head of its answer.

        `admission_check` is asked right before the bytes go out, and tells why they may not. `limit` is in seconds. An answer
        without the header `expect` is another request's, and is not returned. Raises FaultError if there is no answer,
        with `unsent` if it is sure that nothing went out.
        """
        ...


@dataclass(eq=False)
class Text:
    """What is known of an item's text.

    Invariant: `pieces` are the data of events first .. `last`, each once and in order; a run that does not go on at
    `last` + 1 adds nothing.
    """

    pieces: list[str] = field(default_factory=list)
    last: int = -1  # id of the last event; -1 before the first

    @property
    def text(self) -> str:
        """The data of all events, a line each."""
        return "\n".join(self.pieces)


@dataclass(eq=False)
class Events:
    """Reads the events of one run into a text."""

    text: Text
    rest: bytes = b""  # of a line that hasn't ended
    number: int = -1
    data: list[str] = field(default_factory=list)

    def feed(self, chunk: bytes) -> None:
        """Raises FaultError at bytes that are no events, and at an event that doesn't follow."""
        *lines, self.rest = (self.rest + chunk).split(b"\n")
        if len(self.rest) > MAX_LINE:
            raise FaultError(Fault("read event", "", "a line without an end"))
        for line in lines:
            self.line(line.removesuffix(b"\r"))

    def line(self, line: bytes) -> None:
        """Takes one line; raises FaultError as `feed` does."""
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            if not value.isdigit():
                raise FaultError(Fault("read event", "", f"an id that is no number: {value!r:.40}"))
            self.number = int(value)
        elif name == b"data":
            try:
                self.data.append(value.decode())
            except UnicodeDecodeError as bad:
                raise FaultError(Fault("read event", "", "data that is not UTF-8")) from bad
        elif not line:
            if self.data:
                self.event()
            self.data, self.number = [], -1

    def event(self) -> None:
        """Adds the event that has ended to the text; raises FaultError if it doesn't follow the one before."""
        first = self.text.last < 0
        if self.number < 0 or (self.number > 1 if first else self.number != self.text.last + 1):
            raise FaultError(Fault("read event", "", f"event {self.number} after {self.text.last}"))
        self.text.pieces.append("\n".join(self.data))
        self.text.last = self.number

    @property
    def complete(self) -> bool:
        """Nothing of an event is left over."""
        return not self.rest.strip() and not self.data


def request_headers(
    dialect: Dialect, item: Item, client: ClientIdentity, host: str, worker: str, wait_ms: int, last_event: int
) -> list[tuple[bytes, bytes]]:
    """The headers of an item's request: this side's own, and then the client's, but for those that this side sets.

    `client` is the one whose job it is; `wait_ms` is the time that is left, in milliseconds; `last_event` the last event of a run before, -1 if there is
    none.
    """
    own_names = OWN_HEADERS | {
        dialect.request_id, dialect.deadline_ms, dialect.want_worker, dialect.urgency, dialect.last_event, dialect.tenant,
    }  # fmt: skip
    if client.hides_key:
        own_names |= {AUTHORIZATION.decode()}
    headers = [
        ("host", host),
        (dialect.request_id, item["id"]),
        (dialect.deadline_ms, str(wait_ms)),
        (dialect.want_worker, worker),
        ("content-length", str(len(base64.b64decode(item["body"])))),
    ]
    headers += [(name, value) for name, value in item["headers"].items() if name.lower() not in own_names]
    if last_event >= 0:
        headers.append((dialect.last_event, str(last_event)))
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    if client.tenant:
        # As the relay names it: a name may have characters that ISO 8859-1 lacks.
        encoded.append((dialect.tenant.encode(), client.tenant.encode()))
    return [*encoded, (dialect.urgency.encode(), LEAST_URGENT)]


async def read_to_the_end(exchange: Exchange, worker: str) -> None:
    """Passes over a body; raises FaultError if it is cut, since a failure that isn't whole ends no item."""
    size = 0
    async for chunk in exchange.chunks():
        size += len(chunk)
        if size > MAX_FAILURE:
            raise FaultError(Fault("run item", worker, f"a failure of more than {MAX_FAILURE} bytes", BROKE))


async def run_item(
    workers: Workers, dialect: Dialect, url: str, worker: str, host: str, item: Item, client: ClientIdentity, text: Text,
    gate: Callable[[], str], limit: float,
) -> RunEnd:  # fmt: skip
    """Runs an item of a client's job at a worker, on from what there is of its text, for `limit` seconds at the longest.

    Returns how it ended: done, failed or never. Raises FaultError otherwise: with `unsent`, or the hint that it was
    rejected, if the worker did not run it; what came of the text stays in any case.
    """
    exchange = await workers.request(
        url.removeprefix("http://"), "POST", item["path"].encode("latin-1"),
        request_headers(dialect, item, client, host, worker, int(limit * 1000), text.last), base64.b64decode(item["body"]),
        admission_check=gate, limit=limit, expect=(dialect.request_id.encode(), item["id"].encode()),
    )  # fmt: skip
    try:
        check_head(exchange, dialect, worker)
        if exchange.status in FINAL:
            await read_to_the_end(exchange, worker)
            return FINAL[exchange.status]
        if exchange.status != 200:
            raise FaultError(Fault("run item", worker, f"status {exchange.status}", BROKE))
        await read_text(exchange, text, worker)
        return RunEnd.DONE
    finally:
        exchange.close()


def check_head(exchange: Exchange, dialect: Dialect, worker: str) -> None:
    """Raises FaultError unless the head proves that it is the worker's own answer to a request that it ran."""
    judged = check_response(exchange.status, exchange.headers, ResponseHeaderNames.of(dialect))
    if judged.proof in (Proof.NOT_RUN, Proof.OTHER_WORKER):
        raise FaultError(Fault("run item", worker, f"status {exchange.status}: not run", REJECTED, REJECTED_HINT))
    if judged.proof is Proof.NONE:
        raise FaultError(Fault("run item", worker, judged.why, BROKE))


async def read_text(exchange: Exchange, text: Text, worker: str) -> None:
    """Reads the events of an answer into a text; raises FaultError if they are cut, or none came."""
    events = Events(text)
    async for chunk in exchange.chunks():
        events.feed(chunk)
    if not events.complete or text.last < 0:
        raise FaultError(Fault("run item", worker, "the answer ended within an event", BROKE))

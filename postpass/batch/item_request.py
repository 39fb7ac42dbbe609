"""Runs an item of a route as a request to a worker, and joins the events of the response to the item's text."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from postpass.batch.messages import Item
from postpass.batch.run_progress import RunProgress
from postpass.configuration.header_names import Dialect
from postpass.gateway.client_identity import ClientIdentity
from postpass.gateway.http_headers import AUTHORIZATION
from postpass.gateway.response_check import Proof, ResponseHeaderNames, check_response
from postpass.runtime.errors import PEER_FAILED, REJECTED, Fault, FaultError

LEAST_URGENT = b"9"  # value of the urgency header of all items of jobs
MAX_LINE_BYTES = 1 << 20  # longest line of a response
MAX_FAILURE_BYTES = 1 << 20  # largest body of a failure response
REJECTED_HINT = "shed"  # hint of a fault: the worker rejected the request without running it
SILENT_HINT = "silent"  # hint of a fault: the worker sent nothing for too long
# Headers that concern one connection only, or that are set here; a client's are not forwarded.
OWN_HEADERS = frozenset(
    {"host", "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length"}
)


class RunEnd(StrEnum):
    """How one run of an item at a worker ended, by its value in the metrics."""

    DONE = "done"
    FAILED = "failed"  # the worker responded with status 500: a retry may succeed
    NEVER = "never"  # the worker responded with status 422: no retry will succeed
    NOT_RUN = "unsent"  # the worker certainly did not run the item
    SILENT = "silent"  # the worker of an item of a route sent nothing for too long
    CUT = "cut"  # the response to an item of a route was cut off
    BROKEN = "broken"  # the response to an item of a class was cut off


FINAL_STATUSES = {500: RunEnd.FAILED, 422: RunEnd.NEVER}  # how a run ends, by the status of a worker's own failure


class Exchange(Protocol):
    """A request in progress, with the status and headers of its response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    reused: bool  # whether its connection had carried other requests before

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body of the response as it arrives; raises FaultError if it is cut off."""
        ...

    def close(self) -> None:
        """Ends the exchange, at whatever stage it is."""
        ...


class Workers(Protocol):
    """Sends requests to workers."""

    async def request(
        self, addr: str, method: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
        *, admission_check: Callable[[], str], limit: float, expect: tuple[bytes, bytes] | None,
    ) -> Exchange:  # fmt: skip
        """Sends a request and returns it with the head of its response.

        `admission_check` is called right before the bytes are sent, and returns why they may not be; empty if they may.
        `limit` is in seconds. A response without the header `expect` belongs to another request, and is not returned.
        Raises FaultError if there is no response, with `unsent` if it is certain that nothing was sent.
        """
        ...


@dataclass(eq=False)
class ItemText:
    """The part of an item's text that has arrived so far, over all its runs.

    Invariant: `pieces` are the data of the events from the first to `last`, each once and in order; a run that does not
    continue at `last` + 1 adds nothing.
    """

    pieces: list[str] = field(default_factory=list)
    last: int = -1  # id of the last event; -1 before the first

    @property
    def text(self) -> str:
        """The data of all events, joined by newlines."""
        return "\n".join(self.pieces)


@dataclass(eq=False)
class EventReader:
    """Parses the server-sent events of one run and appends them to a text."""

    text: ItemText
    incomplete_line: bytes = b""  # what has arrived of a line that hasn't ended
    event_id: int = -1
    data_lines: list[str] = field(default_factory=list)

    def feed(self, chunk: bytes) -> None:
        """Parses a chunk; raises FaultError if it is not valid events, or an event doesn't follow the one before."""
        *lines, self.incomplete_line = (self.incomplete_line + chunk).split(b"\n")
        if len(self.incomplete_line) > MAX_LINE_BYTES:
            raise FaultError(Fault("read event", "", "a line without an end"))
        for line in lines:
            self.parse_line(line.removesuffix(b"\r"))

    def parse_line(self, line: bytes) -> None:
        """Parses one line; raises FaultError as `feed` does."""
        field_name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field_name == b"id":
            if not value.isdigit():
                raise FaultError(Fault("read event", "", f"an id that is no number: {value!r:.40}"))
            self.event_id = int(value)
        elif field_name == b"data":
            try:
                self.data_lines.append(value.decode())
            except UnicodeDecodeError as error:
                raise FaultError(Fault("read event", "", "data that is not UTF-8")) from error
        elif not line:
            if self.data_lines:
                self.append_event()
            self.data_lines, self.event_id = [], -1

    def append_event(self) -> None:
        """Appends the event just parsed to the text; raises FaultError if it doesn't follow the one before."""
        is_first = self.text.last < 0
        if self.event_id < 0 or (self.event_id > 1 if is_first else self.event_id != self.text.last + 1):
            raise FaultError(Fault("read event", "", f"event {self.event_id} after {self.text.last}"))
        self.text.pieces.append("\n".join(self.data_lines))
        self.text.last = self.event_id

    @property
    def complete(self) -> bool:
        """Whether no event is left incomplete."""
        return not self.incomplete_line.strip() and not self.data_lines


def request_headers(
    dialect: Dialect, item: Item, client: ClientIdentity, host: str, worker: str, time_left_ms: int, last_event: int
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an item's request: those that are set here, then the client's, except for any set here.

    `client` is the one whose job it is; `time_left_ms` is the time until the deadline, in milliseconds; `last_event` is
    the id of the last event of an earlier run, -1 if there is none.
    """
    own_names = OWN_HEADERS | {
        dialect.request_id, dialect.deadline_ms, dialect.want_worker, dialect.urgency, dialect.last_event,
        dialect.tenant,
    }  # fmt: skip
    if client.hides_key:
        own_names |= {AUTHORIZATION.decode()}
    headers = [
        ("host", host),
        (dialect.request_id, item["id"]),
        (dialect.deadline_ms, str(time_left_ms)),
        (dialect.want_worker, worker),
        ("content-length", str(len(base64.b64decode(item["body"])))),
    ]
    headers += [(name, value) for name, value in item["headers"].items() if name.lower() not in own_names]
    if last_event >= 0:
        headers.append((dialect.last_event, str(last_event)))
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    if client.tenant:
        # In UTF-8, as the relay sends it: a name may have characters that ISO 8859-1 lacks.
        encoded.append((dialect.tenant.encode(), client.tenant.encode()))
    return [*encoded, (dialect.urgency.encode(), LEAST_URGENT)]


async def drain_body(exchange: Exchange, worker: str) -> None:
    """Reads and discards a body; raises FaultError if it is cut off, since a failure that is cut off ends no item."""
    size = 0
    async for chunk in exchange.chunks():
        size += len(chunk)
        if size > MAX_FAILURE_BYTES:
            raise FaultError(
                Fault("run item", worker, f"a failure of more than {MAX_FAILURE_BYTES} bytes", PEER_FAILED)
            )


async def run_item(
    workers: Workers, dialect: Dialect, url: str, worker: str, host: str, item: Item, client: ClientIdentity,
    text: ItemText, progress: RunProgress, admission_check: Callable[[], str], limit: float,
) -> RunEnd:  # fmt: skip
    """Runs an item of a client's job at a worker, for at most `limit` seconds, continuing after what `text` has.

    Returns how it ended: done, failed or never. Raises FaultError otherwise: with `unsent`, or the hint REJECTED_HINT,
    if the worker did not run it. What has arrived of the text is kept in any case; `progress` is updated as it arrives.
    """
    exchange = await workers.request(
        url.removeprefix("http://"), "POST", item["path"].encode("latin-1"),
        request_headers(dialect, item, client, host, worker, int(limit * 1000), text.last),
        base64.b64decode(item["body"]), admission_check=admission_check, limit=limit,
        expect=(dialect.request_id.encode(), item["id"].encode()),
    )  # fmt: skip
    try:
        progress.record_received()
        progress.connection_reused = exchange.reused
        check_head(exchange, dialect, worker)
        if exchange.status in FINAL_STATUSES:
            await drain_body(exchange, worker)
            return FINAL_STATUSES[exchange.status]
        if exchange.status != 200:
            raise FaultError(Fault("run item", worker, f"status {exchange.status}", PEER_FAILED))
        await read_text(exchange, text, progress, worker)
        return RunEnd.DONE
    finally:
        exchange.close()


def check_head(exchange: Exchange, dialect: Dialect, worker: str) -> None:
    """Raises FaultError unless the head proves that this worker ran the request and responded itself."""
    checked = check_response(exchange.status, exchange.headers, ResponseHeaderNames.of(dialect))
    if checked.proof in (Proof.NOT_RUN, Proof.OTHER_WORKER):
        raise FaultError(Fault("run item", worker, f"status {exchange.status}: not run", REJECTED, REJECTED_HINT))
    if checked.proof is Proof.NONE:
        raise FaultError(Fault("run item", worker, checked.why, PEER_FAILED))


async def read_text(exchange: Exchange, text: ItemText, progress: RunProgress, worker: str) -> None:
    """Reads the events of a response into a text; raises FaultError if they are cut off, or there are none."""
    events = EventReader(text)
    async for chunk in exchange.chunks():
        progress.record_received()
        events.feed(chunk)
    if not events.complete or text.last < 0:
        raise FaultError(Fault("run item", worker, "the answer ended within an event", PEER_FAILED))

"""An item of a lot as a call at a worker: its answer's events, read off and joined to a text."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from postpass.configuration.header_names import Dialect
from postpass.gateway.response_check import AnswerNames, Proof, verdict
from postpass.rpc.codec import Body
from postpass.runtime.errors import BROKE, SHED, Fault, Stop

LEAST_URGENT = b"9"
LINE_MOST = 1 << 20
REASON_MOST = 1 << 20  # bytes of the body of a failure
FINAL = {500: "failed", 422: "never"}  # how an item ends by a worker's own failure
# Headers that concern one connection, or that this side sets.
OWN = {"host", "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length"}


class Exchange(Protocol):
    status: int
    headers: list[tuple[bytes, bytes]]

    def chunks(self) -> AsyncIterator[bytes]: ...
    def close(self) -> None: ...


class Workers(Protocol):
    """Sends requests to workers. An answer without the header `expect` is another request's, and is not returned."""

    async def request(
        self, addr: str, method: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
        *, gate: Callable[[], str], limit: float, expect: tuple[bytes, bytes] | None,
    ) -> Exchange: ...  # fmt: skip


@dataclass(eq=False)
class Text:
    """What is known of an item's text. Invariant: `pieces` are the data of events first .. `last`, each once and in
    order; a run that does not go on at `last` + 1 adds nothing."""

    pieces: list[str] = field(default_factory=list)
    last: int = -1  # id of the last event; -1 before the first

    @property
    def text(self) -> str:
        return "\n".join(self.pieces)


@dataclass(eq=False)
class Events:
    """Reads the events of one run into a text."""

    text: Text
    rest: bytes = b""
    number: int = -1
    data: list[str] = field(default_factory=list)

    def feed(self, chunk: bytes) -> None:
        """Raises Stop at bytes that are no events, and at an event that doesn't follow."""
        *lines, self.rest = (self.rest + chunk).split(b"\n")
        if len(self.rest) > LINE_MOST:
            raise Stop(Fault("read event", "", "a line without an end"))
        for line in lines:
            self.line(line.removesuffix(b"\r"))

    def line(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            if not value.isdigit():
                raise Stop(Fault("read event", "", f"an id that is no number: {value!r:.40}"))
            self.number = int(value)
        elif name == b"data":
            try:
                self.data.append(value.decode())
            except UnicodeDecodeError as bad:
                raise Stop(Fault("read event", "", "data that is not UTF-8")) from bad
        elif not line:
            if self.data:
                self.event()
            self.data, self.number = [], -1

    def event(self) -> None:
        first = self.text.last < 0
        if self.number < 0 or (self.number > 1 if first else self.number != self.text.last + 1):
            raise Stop(Fault("read event", "", f"event {self.number} after {self.text.last}"))
        self.text.pieces.append("\n".join(self.data))
        self.text.last = self.number

    @property
    def whole(self) -> bool:
        """Nothing of an event is left over."""
        return not self.rest.strip() and not self.data


def request_headers(
    d: Dialect, call: Body, host: str, worker: str, wait_ms: int, last: int
) -> list[tuple[bytes, bytes]]:
    own = OWN | {d.request_id, d.deadline_ms, d.want_worker, d.urgency, d.last_event}
    out = [("host", host), (d.request_id, call["id"]), (d.deadline_ms, str(wait_ms)), (d.want_worker, worker)]
    out.append(("content-length", str(len(base64.b64decode(call["body"])))))
    out += [(k, v) for k, v in call["headers"].items() if k.lower() not in own]
    if last >= 0:
        out.append((d.last_event, str(last)))
    return [*((k.encode("latin-1"), v.encode("latin-1")) for k, v in out), (d.urgency.encode(), LEAST_URGENT)]


async def read_to_the_end(exchange: Exchange, worker: str) -> None:
    """Passes over a body; raises Stop if it is cut, since a failure that isn't whole ends no item."""
    size = 0
    async for chunk in exchange.chunks():
        size += len(chunk)
        if size > REASON_MOST:
            raise Stop(Fault("run item", worker, f"a failure of more than {REASON_MOST} bytes", BROKE))


async def run_item(
    workers: Workers, d: Dialect, server: dict[str, Any], worker: str, host: str, call: Body, text: Text,
    gate: Callable[[], str], limit: float,
) -> str:  # fmt: skip
    """Runs an item at a worker, on from what there is of its text: 'done', 'failed' (a 500), 'never' (a 422). Raises
    Stop otherwise: `unsent`, or hint 'shed', if the worker did not run it; what came of the text stays in any case."""
    heads = request_headers(d, call, host, worker, int(limit * 1000), text.last)
    got = await workers.request(
        server["url"].removeprefix("http://"), "POST", call["path"].encode("latin-1"), heads,
        base64.b64decode(call["body"]), gate=gate, limit=limit,
        expect=(d.request_id.encode(), call["id"].encode()),
    )  # fmt: skip
    try:
        judged = verdict(got.status, got.headers, AnswerNames.of(d))
        if judged.proof in (Proof.NOT_RUN, Proof.OTHER_WORKER):
            raise Stop(Fault("run item", worker, f"status {got.status}: not run", SHED, "shed"))
        if judged.proof is Proof.NONE:
            raise Stop(Fault("run item", worker, judged.why, BROKE))
        if got.status in FINAL:
            await read_to_the_end(got, worker)
            return FINAL[got.status]
        if got.status != 200:
            raise Stop(Fault("run item", worker, f"status {got.status}", BROKE))
        events = Events(text)
        async for chunk in got.chunks():
            events.feed(chunk)
        if not events.whole or text.last < 0:
            raise Stop(Fault("run item", worker, "the answer ended within an event", BROKE))
        return "done"
    finally:
        got.close()

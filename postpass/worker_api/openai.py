"""The adapter to workers: a client of the OpenAI-compatible HTTP interface that common model servers have.

All that postpass uses of that interface is in this file: streamed completions, health, models, and the gauges of the
metrics page for running requests, waiting requests and the use of the KV cache.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from prometheus_client.parser import text_string_to_metric_families

from postpass.runtime.deferred_import import DeferredModule
from postpass.runtime.errors import PEER_FAILED, TIMED_OUT, TOO_MANY_REQUESTS, Fault, FaultError

if TYPE_CHECKING:
    import aiohttp
else:
    aiohttp = DeferredModule("aiohttp")

MAX_LINE = 64 << 10  # the most bytes of a line in a stream
MAX_METRICS = 256 << 10  # the most bytes of a metrics page that are read
CONNECT_TIMEOUT = 1.0  # seconds
UNKNOWN_OFFSET = -1  # the offset of a piece if the worker doesn't report it
STEP = "complete"  # the step in faults of a completion
REJECTIONS = (429, 503)  # statuses that mean that the worker did not accept the request
# The field of a report that is read from each gauge of the metrics page.
GAUGES = {
    "vllm:num_requests_running": "running",
    "vllm:num_requests_waiting": "waiting",
    "vllm:kv_cache_usage_perc": "cache",
    "process_start_time_seconds": "start",
}


@dataclass(frozen=True)
class Report:
    """A worker's state, as it reports it.

    Invariant: all fields were read in one poll, except that `weights` and `revision`, which change only with a restart,
    may be those of an earlier poll.
    """

    running: int  # number of requests that it is processing
    waiting: int  # number of requests in its queue
    cache: float  # fraction of the KV cache that is in use
    start: float  # when it was started, in seconds since the Unix epoch; 0 if it doesn't report that
    weights: str  # name of the model that it serves
    revision: str  # version of its software


async def report(session: aiohttp.ClientSession, url: str, limit: float, old: Report | None) -> Report:
    """Returns a worker's report, read within `limit` seconds.

    `old` is its previous report, whose model and revision are reused if the worker hasn't been restarted since. Raises
    FaultError with the step and the peer if the report can't be read.
    """
    step = "health"
    try:
        async with asyncio.timeout(limit):
            async with session.get(f"{url}/health") as response:
                if response.status != 200:
                    raise FaultError(Fault(step, url, f"status {response.status}"))
            step = "metrics"
            async with session.get(f"{url}/metrics") as response:
                text = (await response.content.read(MAX_METRICS)).decode()
            gauges = {
                GAUGES[s.name]: float(s.value)
                for family in text_string_to_metric_families(text)
                for s in family.samples
                if s.name in GAUGES
            }
            weights, revision = (old.weights, old.revision) if old else ("", "")
            if old is None or old.start != gauges.get("start", 0.0):
                step = "models"
                async with session.get(f"{url}/v1/models") as response:
                    weights = str((await response.json(content_type=None))["data"][0]["id"])
                step = "version"
                async with session.get(f"{url}/version") as response:
                    revision = str((await response.json(content_type=None))["version"])
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, IndexError, TypeError) as error:
        raise FaultError(Fault(step, url, repr(error)[:120])) from error
    return Report(int(gauges.get("running", 0)), int(gauges.get("waiting", 0)), gauges.get("cache", 0.0),
                  gauges.get("start", 0.0), weights, revision)  # fmt: skip


@dataclass(frozen=True)
class Prompt:
    """A prompt: the parts that it shares with other requests, followed by the request's own part."""

    shared: tuple[str, ...]
    own: str
    most: int = 256  # the most tokens of the completion

    @property
    def text(self) -> str:
        """The complete prompt: all parts in order."""
        return "\n".join([*self.shared, self.own])


def offset_of(choice: dict[str, Any]) -> int:
    """Returns the offset of a piece in the text, or UNKNOWN_OFFSET if the worker doesn't report it."""
    offsets = (choice.get("logprobs") or {}).get("text_offset") or [UNKNOWN_OFFSET]
    return int(offsets[0])


class CompletionReader:
    """Parses the event stream of one completion line by line. It belongs to one call of `complete`.

    Invariant: all pieces that were returned are from one run of the worker, in order and without a gap, as far as the
    worker reports their offsets. The methods raise FaultError for a stream that violates the interface.
    """

    __slots__ = (
        "url",
        "max_pieces",
        "check_offsets",
        "prompt_size",
        "count",
        "finished",
        "_text_start",
        "_text_length",
        "_reason",
    )

    def __init__(self, url: str, max_pieces: int, check_offsets: bool, prompt_size: int) -> None:
        self.url, self.max_pieces, self.check_offsets = url, max_pieces, check_offsets
        self.prompt_size = prompt_size  # in characters
        self.count = 0  # number of pieces that were returned
        self.finished = False  # whether the worker reported that the completion is complete
        # The offset at which the completion's text begins, and how many characters of it were received.
        self._text_start, self._text_length = UNKNOWN_OFFSET, 0
        self._reason = ""  # the finish reason, once the worker has sent it

    def fault(self, why: str, code: int = PEER_FAILED) -> FaultError:
        """Returns an exception, for the code that found the error to raise."""
        return FaultError(Fault(STEP, self.url, why, code))

    def check_head(self, response: aiohttp.ClientResponse) -> None:
        """Checks the status and the content type of the response, which must be an event stream."""
        if response.status in REJECTIONS:
            raise FaultError(Fault(STEP, self.url, f"shed with {response.status}", TOO_MANY_REQUESTS, hint="shed"))
        if response.status != 200:
            raise self.fault(f"status {response.status}")
        if not response.headers.get("content-type", "").startswith("text/event-stream"):
            raise self.fault("the answer is no event stream")

    def feed(self, line: bytes) -> str:
        """Returns the piece of text in one line; empty for a line without text. Sets `finished` at the end."""
        if not line.endswith(b"\n") or len(line) > MAX_LINE:
            raise self.cut_error()
        if not line.startswith(b"data:"):
            if line.strip():
                raise self.fault("garbled stream")
            return ""
        data = line[5:].strip()
        if data == b"[DONE]":
            if self._reason not in ("stop", "length"):
                raise self.fault(f"it ended with {self._reason or 'no'} reason")
            self.finished = True
            return ""
        if self._reason:
            raise self.fault("pieces after the end")
        choice = json.loads(data)["choices"][0]
        text, self._reason = choice["text"], choice.get("finish_reason") or ""
        if not isinstance(text, str):
            raise self.fault("a piece that is no text")
        if self.check_offsets:
            self._check_offset(offset_of(choice), text)
        if text:
            self.count += 1
            if self.count > self.max_pieces:
                raise self.fault(f"endless: more than {self.max_pieces} pieces")
        return text

    def cut_error(self) -> FaultError:
        """Returns the exception for a stream that ended before the completion did."""
        return self.fault(f"cut after {self.count} pieces")

    def _check_offset(self, offset: int, text: str) -> None:
        """Checks that a piece begins where the previous one ended."""
        if not text:
            if offset >= 0 and self._text_start >= 0 and offset != self._text_start + self._text_length:
                raise self.fault(f"cut after {self.count} pieces: the end is out of place")
            return
        if offset < 0:
            raise self.fault("pieces without their place in the text; set offsets: false on its pool")
        if self._text_start < 0 and offset in (0, self.prompt_size):  # some workers count from the prompt's start
            self._text_start = offset
        if self._text_start < 0 or offset != self._text_start + self._text_length:
            raise self.fault(f"cut after {self.count} pieces: the next is out of place")
        self._text_length += len(text)


class CheckedBody:
    """A request's body, which is sent only if the admission check returns no objection at that moment."""

    def __init__(self, url: str, data: bytes, admission_check: Callable[[], str], on_sent: Callable[[], None]) -> None:
        self.url, self.data, self.admission_check, self.on_sent = url, data, admission_check, on_sent
        self.may_have_left = False  # whether bytes of it may have left this process

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in one chunk. Raises FaultError with an `unsent` fault if the admission check objects."""
        why = self.admission_check()
        if why:
            raise FaultError(Fault("gate", self.url, why, unsent=True))
        self.may_have_left = True
        self.on_sent()
        yield self.data


async def complete(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    prompt: Prompt,
    admission_check: Callable[[], str],
    on_sent: Callable[[], None],
    idle: float,
    max_pieces: int,
    offsets: bool = False,
) -> AsyncIterator[str]:
    """Requests a completion and yields its pieces; ends normally only if the worker reported that it is complete.

    Parameters: `admission_check` is called right before the body is sent; if it returns a reason, the request ends
    unsent. `on_sent` is called when the body is sent. `idle` is the longest time, in seconds, for which nothing may be
    received. A completion of more than `max_pieces` pieces counts as endless, and ends with a fault. With `offsets` the
    worker is asked for the offset of each piece in the text (`logprobs.text_offset` in the interface), so that a piece
    that was skipped, repeated or out of order is detected.

    Raises FaultError for any fault; if its `unsent` is set, no byte of the body has left this process.
    """
    request = {"model": model, "prompt": prompt.text, "stream": True, "max_tokens": prompt.most}
    data = json.dumps(request | ({"logprobs": 0} if offsets else {}), ensure_ascii=False).encode()
    headers = {"content-type": "application/json", "content-length": str(len(data))}
    body = CheckedBody(url, data, admission_check, on_sent)
    reader = CompletionReader(url, max_pieces, offsets, len(prompt.text))
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT, sock_read=idle)
    try:
        async with session.post(
            f"{url}/v1/completions", data=body.chunks(), headers=headers, timeout=timeout
        ) as response:
            reader.check_head(response)
            while line := await response.content.readline():
                text = reader.feed(line)
                if text:
                    yield text
                elif reader.finished:
                    return
            raise reader.cut_error()
    except FaultError as fault_error:
        if fault_error.fault.unsent or fault_error.fault.step == STEP:
            raise
        raise FaultError(
            Fault(STEP, url, str(fault_error), PEER_FAILED, unsent=not body.may_have_left)
        ) from fault_error
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise reader.fault(f"garbled stream: {error!r:.80}") from error
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        code = TIMED_OUT if isinstance(error, TimeoutError) else PEER_FAILED
        progress = f"cut after {reader.count} pieces: " if reader.count else ""
        raise FaultError(Fault(STEP, url, f"{progress}{error!r:.120}", code, unsent=not body.may_have_left)) from error

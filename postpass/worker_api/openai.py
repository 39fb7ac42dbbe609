"""The adapter to workers: the OpenAI-compatible HTTP interface that common model servers publish.

Everything postpass knows of that interface is in this file: streamed completions, health, models, and the
gauges of the metrics page that tell running and waiting requests and the KV cache's use.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from prometheus_client.parser import text_string_to_metric_families

from postpass.runtime.deferred_import import DeferredModule
from postpass.runtime.errors import BROKE, CROWD, SLOW, Fault, FaultError

if TYPE_CHECKING:
    import aiohttp
else:
    aiohttp = DeferredModule("aiohttp")

MAX_LINE = 64 << 10  # bytes of a line of a stream
MAX_METRICS = 256 << 10  # bytes of a metrics page that are read
CONNECT_TIMEOUT = 1.0  # seconds
UNTOLD = -1  # the place of a piece that the worker doesn't tell
STEP = "complete"  # of the faults of a completion
REJECTIONS = (429, 503)  # statuses that say that the worker took nothing
# Gauges of the metrics page, by the field of a report that they fill.
GAUGES = {
    "vllm:num_requests_running": "running",
    "vllm:num_requests_waiting": "waiting",
    "vllm:kv_cache_usage_perc": "cache",
    "process_start_time_seconds": "start",
}


@dataclass(frozen=True)
class Report:
    """What a worker says of itself. Invariant: every field was read in one poll, or carried on from the last one for
    `weights` and `revision`, which change only with a restart."""

    running: int  # requests
    waiting: int  # requests
    cache: float  # part of the KV cache in use
    start: float  # seconds since the epoch; 0 if it isn't told
    weights: str  # the model that it serves
    revision: str  # of its software


async def report(session: aiohttp.ClientSession, url: str, limit: float, old: Report | None) -> Report:
    """Reads a worker within `limit` seconds. `old`: its last report, whose model and revision are kept if the worker
    hasn't been restarted since. Raises FaultError with step and peer if it can't be read."""
    step = "health"
    try:
        async with asyncio.timeout(limit):
            async with session.get(f"{url}/health") as response:
                if response.status != 200:
                    raise FaultError(Fault(step, url, f"status {response.status}"))
            step = "metrics"
            async with session.get(f"{url}/metrics") as response:
                text = (await response.content.read(MAX_METRICS)).decode()
            seen = {
                GAUGES[s.name]: float(s.value)
                for family in text_string_to_metric_families(text)
                for s in family.samples
                if s.name in GAUGES
            }
            weights, revision = (old.weights, old.revision) if old else ("", "")
            if old is None or old.start != seen.get("start", 0.0):
                step = "models"
                async with session.get(f"{url}/v1/models") as response:
                    weights = str((await response.json(content_type=None))["data"][0]["id"])
                step = "version"
                async with session.get(f"{url}/version") as response:
                    revision = str((await response.json(content_type=None))["version"])
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, IndexError, TypeError) as error:
        raise FaultError(Fault(step, url, repr(error)[:120])) from error
    return Report(int(seen.get("running", 0)), int(seen.get("waiting", 0)), seen.get("cache", 0.0),
                  seen.get("start", 0.0), weights, revision)  # fmt: skip


@dataclass(frozen=True)
class Prompt:
    """A prompt of shared parts and a request's own."""

    shared: tuple[str, ...]
    own: str
    most: int = 256  # tokens of the completion

    @property
    def text(self) -> str:
        """All parts in order."""
        return "\n".join([*self.shared, self.own])


def offset_of(choice: dict[str, Any]) -> int:
    """Where a piece stands in the text, or UNTOLD if the worker doesn't tell."""
    offsets = (choice.get("logprobs") or {}).get("text_offset") or [UNTOLD]
    return int(offsets[0])


class CompletionReader:
    """Reads the event stream of one completion line by line. Owner: `complete`. Invariant: all pieces that were given
    out are of one run of the worker, in order and without a gap, as far as the worker tells their places.

    Its methods raise FaultError for a stream that breaks the interface."""

    __slots__ = ("url", "max_pieces", "check_offsets", "prompt_size", "count", "finished", "_begin", "_size", "_reason")

    def __init__(self, url: str, max_pieces: int, check_offsets: bool, prompt_size: int) -> None:
        self.url, self.max_pieces, self.check_offsets = url, max_pieces, check_offsets
        self.prompt_size = prompt_size  # characters
        self.count = 0  # pieces that were given out
        self.finished = False  # the worker said that the completion is whole
        self._begin, self._size = UNTOLD, 0  # where the text begins, and how much of it has come
        self._reason = ""  # why the worker ended it, once it did

    def fault(self, why: str, code: int = BROKE) -> FaultError:
        """To be raised."""
        return FaultError(Fault(STEP, self.url, why, code))

    def check_head(self, response: aiohttp.ClientResponse) -> None:
        """Is the answer a stream at all?"""
        if response.status in REJECTIONS:
            raise FaultError(Fault(STEP, self.url, f"shed with {response.status}", CROWD, hint="shed"))
        if response.status != 200:
            raise self.fault(f"status {response.status}")
        if not response.headers.get("content-type", "").startswith("text/event-stream"):
            raise self.fault("the answer is no event stream")

    def feed(self, line: bytes) -> str:
        """The piece of one line; empty for a line without text. Sets `finished` at the end."""
        if not line.endswith(b"\n") or len(line) > MAX_LINE:
            raise self.cut()
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

    def cut(self) -> FaultError:
        """The stream ended before the completion did; to be raised."""
        return self.fault(f"cut after {self.count} pieces")

    def _check_offset(self, offset: int, text: str) -> None:
        """Does a piece begin where the last one ended?"""
        if not text:
            if offset >= 0 and self._begin >= 0 and offset != self._begin + self._size:
                raise self.fault(f"cut after {self.count} pieces: the end is out of place")
            return
        if offset < 0:
            raise self.fault("pieces without their place in the text; set offsets: false on its pool")
        if self._begin < 0 and offset in (0, self.prompt_size):  # some workers count from the prompt's start
            self._begin = offset
        if self._begin < 0 or offset != self._begin + self._size:
            raise self.fault(f"cut after {self.count} pieces: the next is out of place")
        self._size += len(text)


class CheckedBody:
    """A request's body whose bytes go out only if the admission check has nothing against it."""

    def __init__(self, url: str, data: bytes, admission_check: Callable[[], str], on_sent: Callable[[], None]) -> None:
        self.url, self.data, self.admission_check, self.on_sent = url, data, admission_check, on_sent
        self.left = False  # bytes of it may have left

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body in one chunk. Raises FaultError with an `unsent` fault if the check says why not."""
        why = self.admission_check()
        if why:
            raise FaultError(Fault("gate", self.url, why, unsent=True))
        self.left = True
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
    """Streams a completion's pieces; ends normally only if the worker said that it was whole.

    Parameters: `admission_check`: asked right before the body's bytes go out; what it says, if anything,
    closes the request unsent. `on_sent` is called at that moment. `idle`: seconds for which nothing may come.
    `max_pieces`: a longer completion is taken for endless. With `offsets` the worker is asked for the place of each
    piece in the text (`logprobs.text_offset`, as the interface calls it), so that a piece that is skipped, repeated or
    out of order is told from the next one.

    Raises FaultError for any fault; `unsent` in it is a proof.
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
            raise reader.cut()
    except FaultError as stop:
        if stop.fault.unsent or stop.fault.step == STEP:
            raise
        raise FaultError(Fault(STEP, url, str(stop), BROKE, unsent=not body.left)) from stop
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise reader.fault(f"garbled stream: {error!r:.80}") from error
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        code = SLOW if isinstance(error, TimeoutError) else BROKE
        cut = f"cut after {reader.count} pieces: " if reader.count else ""
        raise FaultError(Fault(STEP, url, f"{cut}{error!r:.120}", code, unsent=not body.left)) from error

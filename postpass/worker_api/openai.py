"""The adapter to workers: the OpenAI-compatible HTTP interface that common model servers publish.

Everything postpass knows of that interface is in this file: streamed completions, health, models, and the
gauges of the metrics page that tell running and waiting calls and the KV cache's use.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from postpass.runtime.errors import BROKE, CROWD, SLOW, Fault, Stop

LINE = 64 << 10
GAUGES = {
    "vllm:num_requests_running": "running",
    "vllm:num_requests_waiting": "waiting",
    "vllm:kv_cache_usage_perc": "cache",
    "process_start_time_seconds": "start",
}


@dataclass(frozen=True)
class Report:
    """What a worker says of itself. Invariant: every field was read in one poll, or carried on from the
    last one for `weights` and `edition`, which change only with a restart."""

    running: int
    waiting: int
    cache: float
    start: float
    weights: str
    revision: str


async def report(session: aiohttp.ClientSession, url: str, limit: float, old: Report | None) -> Report:
    """Raises Stop with step and peer if the worker can't be read."""
    step = "health"
    try:
        async with asyncio.timeout(limit):
            async with session.get(f"{url}/health") as got:
                if got.status != 200:
                    raise Stop(Fault(step, url, f"status {got.status}"))
            step = "metrics"
            async with session.get(f"{url}/metrics") as got:
                text = (await got.content.read(256 << 10)).decode()
            seen = {
                GAUGES[s.name]: float(s.value)
                for family in text_string_to_metric_families(text)
                for s in family.samples
                if s.name in GAUGES
            }
            weights, revision = (old.weights, old.revision) if old else ("", "")
            if old is None or old.start != seen.get("start", 0.0):
                step = "models"
                async with session.get(f"{url}/v1/models") as got:
                    weights = str((await got.json(content_type=None))["data"][0]["id"])
                step = "version"
                async with session.get(f"{url}/version") as got:
                    revision = str((await got.json(content_type=None))["version"])
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, IndexError, TypeError) as bad:
        raise Stop(Fault(step, url, repr(bad)[:120])) from bad
    return Report(int(seen.get("running", 0)), int(seen.get("waiting", 0)), seen.get("cache", 0.0),
                  seen.get("start", 0.0), weights, revision)  # fmt: skip


@dataclass(frozen=True)
class Prompt:
    shared: tuple[str, ...]
    own: str
    most: int = 256

    @property
    def text(self) -> str:
        return "\n".join([*self.shared, self.own])


def place_of(choice: dict[str, Any]) -> int:
    """Where a piece stands in the text, or -1 if the worker doesn't tell."""
    places = (choice.get("logprobs") or {}).get("text_offset") or [-1]
    return int(places[0])


async def complete(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    prompt: Prompt,
    gate: Callable[[], str],
    sent: Callable[[], None],
    idle: float,
    pieces: int,
    offsets: bool = False,
) -> AsyncIterator[str]:
    """Streams a completion's pieces; ends normally only if the worker said that it was whole.

    With `offsets` the worker is asked for the place of each piece in the text (`logprobs.text_offset`, as the
    interface calls it), so that a piece that is skipped, repeated or out of order is told from the next one.

    `gate` is asked right before the body's bytes go out: a word from it closes the call unsent. `sent`
    is told at that moment. Any fault is raised as Stop; `unsent` in it is a proof.
    """
    left = False
    ask = {"model": model, "prompt": prompt.text, "stream": True, "max_tokens": prompt.most}
    data = json.dumps(ask | ({"logprobs": 0} if offsets else {}), ensure_ascii=False).encode()

    async def body() -> AsyncIterator[bytes]:
        nonlocal left
        why = gate()
        if why:
            raise Stop(Fault("gate", url, why, unsent=True))
        left = True
        sent()
        yield data

    heads = {"content-type": "application/json", "content-length": str(len(data))}
    count = 0
    first, size = -1, 0  # where the text begins, and how much of it has come
    ended = ""
    limit = aiohttp.ClientTimeout(total=None, sock_connect=1.0, sock_read=idle)
    try:
        async with session.post(f"{url}/v1/completions", data=body(), headers=heads, timeout=limit) as got:
            if got.status in (429, 503):
                raise Stop(Fault("complete", url, f"shed with {got.status}", CROWD, hint="shed"))
            if got.status != 200:
                raise Stop(Fault("complete", url, f"status {got.status}", BROKE))
            if not got.headers.get("content-type", "").startswith("text/event-stream"):
                raise Stop(Fault("complete", url, "the answer is no event stream", BROKE))
            while line := await got.content.readline():
                if not line.endswith(b"\n") or len(line) > LINE:
                    raise Stop(Fault("complete", url, f"cut after {count} pieces", BROKE))
                if not line.startswith(b"data:"):
                    if line.strip():
                        raise Stop(Fault("complete", url, "garbled stream", BROKE))
                    continue
                word = line[5:].strip()
                if word == b"[DONE]":
                    if ended not in ("stop", "length"):
                        raise Stop(Fault("complete", url, f"it ended with {ended or 'no'} reason", BROKE))
                    return
                if ended:
                    raise Stop(Fault("complete", url, "pieces after the end", BROKE))
                choice = json.loads(word)["choices"][0]
                text, ended = choice["text"], choice.get("finish_reason") or ""
                if not isinstance(text, str):
                    raise Stop(Fault("complete", url, "a piece that is no text", BROKE))
                place = place_of(choice) if offsets else -1
                if not text and place >= 0 and first >= 0 and place != first + size:
                    raise Stop(Fault("complete", url, f"cut after {count} pieces: the end is out of place", BROKE))
                if text and offsets:
                    if place < 0:
                        why = "pieces without their place in the text; set offsets: false on its pool"
                        raise Stop(Fault("complete", url, why, BROKE))
                    if first < 0 and place in (0, len(prompt.text)):  # some servers count from the prompt's start
                        first = place
                    if first < 0 or place != first + size:
                        raise Stop(Fault("complete", url, f"cut after {count} pieces: the next is out of place", BROKE))
                    size += len(text)
                if text:
                    count += 1
                    if count > pieces:
                        raise Stop(Fault("complete", url, f"endless: more than {pieces} pieces", BROKE))
                    yield text
            raise Stop(Fault("complete", url, f"cut after {count} pieces", BROKE))
    except Stop as bad:
        if bad.fault.unsent or bad.fault.step == "complete":
            raise
        raise Stop(Fault("complete", url, str(bad), BROKE, unsent=not left)) from bad
    except (ValueError, KeyError, IndexError, TypeError) as bad:
        raise Stop(Fault("complete", url, f"garbled stream: {bad!r:.80}", BROKE)) from bad
    except (aiohttp.ClientError, OSError, TimeoutError) as bad:
        code = SLOW if isinstance(bad, TimeoutError) else BROKE
        cut = f"cut after {count} pieces: " if count else ""
        raise Stop(Fault("complete", url, f"{cut}{bad!r:.120}", code, unsent=not left)) from bad

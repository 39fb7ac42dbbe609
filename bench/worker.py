"""A stand-in for a model server: the published OpenAI-compatible interface, prefill fitted between decode
steps, a KV cache with prefix reuse, and faults that tests switch on."""

from __future__ import annotations

import asyncio
import json
import random
from collections import OrderedDict, deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from bench.words import tag_of, words

Log = Callable[[dict[str, Any]], None]


@dataclass(eq=False)
class Run:
    """One request at a worker. `place` counts the pieces that were handed out, `prefill` the characters still to be
    read; `gone` once it has ended or its client has left."""

    prompt: str
    out: list[str]
    prefill: int
    place: int = 0
    pieces: asyncio.Queue[str | None] = field(default_factory=asyncio.Queue)
    gone: bool = False
    endless: bool = False


@dataclass(eq=False)
class Worker:
    """Invariants: at most `slots` runs at a time; a step gives each prefilled run one piece."""

    name: str
    log: Log
    wall: Callable[[], float]
    slots: int = 8
    weights: str = "model-1"
    revision: str = "1.0"
    step: float = 0.02
    chunk: int = 400  # prompt characters prefilled in a step, beside the decoding of others
    cache_size: int = 64
    room: int = 100_000  # what the KV cache holds, in characters
    # At piece K: cut:K, garble:K, repeat:K, skip:K, swap:K (with the next), endless:K, end:K (without a last word),
    # done:K (without a reason). Of the whole: refuse, sick, stall, vary (another answer each time).
    fault: str = ""
    tap: Callable[[int], None] = lambda _: None  # told before each piece leaves
    chance: random.Random = field(default_factory=lambda: random.Random(1))
    runs: list[Run] = field(default_factory=list)
    waiting: deque[Run] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    hits: int = 0
    polls: int = 0
    start: float = 0.0
    count: int = 0

    def app(self) -> Starlette:
        """The interface of the worker; its start is logged."""
        self.start = self.wall()
        self.log({"ev": "start", "worker": self.name, "slots": self.slots})
        return Starlette(routes=[
            Route("/v1/completions", self.completions, methods=["POST"]),
            Route("/v1/models", self.models), Route("/health", self.health), Route("/metrics", self.metrics),
            Route("/version", self.version), Route("/fault", self.set_fault, methods=["POST"]),
        ])  # fmt: skip

    async def engine(self) -> None:
        """Decodes one step after another, until cancelled."""
        while True:
            if not self.runs and not self.waiting:
                self.wake.clear()
                await self.wake.wait()
            self.runs = [r for r in self.runs if not r.gone]
            while self.waiting and len(self.runs) < self.slots:
                run = self.waiting.popleft()
                if not run.gone:
                    self.runs.append(run)
            await asyncio.sleep(self.step if self.fault != "stall" else 60)
            room = self.chunk
            for run in self.runs:
                if run.prefill > 0:
                    took = min(room, run.prefill)
                    run.prefill -= took
                    room -= took
                elif run.place < len(run.out):
                    run.pieces.put_nowait(run.out[run.place])
                    run.place += 1
                if run.prefill <= 0 and run.place >= len(run.out):
                    run.pieces.put_nowait(None)
                    run.gone = True

    async def completions(self, request: Request) -> Response:
        """Takes a request, and streams its answer."""
        if self.fault == "refuse":
            return JSONResponse({"error": "overloaded"}, 429)
        body = await request.json()
        prompt = str(body["prompt"])
        if body["model"] not in (self.weights, ""):
            return JSONResponse({"error": f"model {body['model']} not found"}, 404)
        parts = prompt.split("\n")
        known = 0
        for i in range(1, len(parts)):
            key = "\n".join(parts[:i])
            if key in self.cache:
                known = len(key)
                self.cache.move_to_end(key)
        self.hits += known > 0
        for i in range(1, len(parts)):
            self.cache["\n".join(parts[:i])] = None
        while len(self.cache) > self.cache_size:
            self.cache.popitem(last=False)
        self.count += 1
        asked = words(prompt) if self.fault != "vary" else words(f"{self.name} {self.count} {prompt}")
        out = asked[: int(body.get("max_tokens", 256))]
        run = Run(prompt, out, max(len(prompt) - known, 1))
        self.log({"ev": "took", "worker": self.name, "tag": tag_of(prompt), "busy": len(self.runs) + len(self.waiting) + 1,
                  "age": self.wall() - self.start})  # fmt: skip
        self.waiting.append(run)
        self.wake.set()
        return StreamingResponse(self.stream(run, body.get("logprobs") is not None), media_type="text/event-stream")

    async def stream(self, run: Run, offsets: bool) -> AsyncIterator[bytes]:
        """The answer as server-sent events, with the fault that is switched on."""

        def line(text: str, end: str | None, place: int = 0) -> bytes:
            choice: dict[str, Any] = {"index": 0, "text": text, "finish_reason": end}
            if offsets:
                choice["logprobs"] = {"tokens": [text], "text_offset": [place]}
            return b"data: " + json.dumps({"object": "text_completion", "choices": [choice]}).encode() + b"\n\n"

        count = place = 0
        held = b""
        try:
            while (text := await run.pieces.get()) is not None:
                count += 1
                self.tap(count)
                kind, _, at = self.fault.partition(":")
                now = kind if at and int(at) == count else ""
                out = line(text, None, place)
                place += len(text)
                if now == "cut":
                    raise ConnectionError("a fault was asked for")
                if now == "garble":
                    yield b"data: {garbled\n\n"
                    return
                if now == "end":
                    return
                if now == "done":
                    yield b"data: [DONE]\n\n"
                    return
                if now == "swap":
                    held = out
                    continue
                if now != "skip":
                    yield out + held + (out if now == "repeat" else b"")
                held = b""
                while now == "endless" or run.endless:
                    run.endless = True
                    yield line("more ", None, place)
                    place += len("more ")
                    await asyncio.sleep(self.step / 50)
            yield held + line("", "stop", place)
            yield b"data: [DONE]\n\n"
        finally:
            run.gone = True

    async def models(self, _request: Request) -> Response:
        """The model that it serves."""
        return JSONResponse(
            {"object": "list", "data": [{"id": self.weights, "object": "model", "max_model_len": 8192}]}
        )

    async def version(self, _request: Request) -> Response:
        """The version of the server."""
        return JSONResponse({"version": self.revision})

    async def health(self, _request: Request) -> Response:
        """Whether it is fit to serve."""
        self.polls += 1
        return PlainTextResponse("", 503 if self.fault == "sick" else 200)

    async def metrics(self, _request: Request) -> Response:
        """Its load, as vLLM publishes it."""
        live = sum(not r.gone for r in self.runs)
        used = min(1.0, sum(len(r.prompt) + 6 * r.place for r in self.runs if not r.gone) / self.room)
        return PlainTextResponse(
            f"# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running {live}\n"
            f"# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting {sum(not r.gone for r in self.waiting)}\n"
            f"# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc {used}\n"
            f"# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds {self.start}\n"
        )

    async def set_fault(self, request: Request) -> Response:
        """Switches a fault on, or off if it is empty."""
        self.fault = str((await request.json())["fault"])
        return JSONResponse({"fault": self.fault})


@dataclass(eq=False)
class PlainServer:
    """A stand-in for an ordinary back end."""

    name: str
    log: Log
    pause: float = 0.01
    fault: str = ""

    def app(self) -> Starlette:
        """The interface of the server."""
        return Starlette(
            routes=[Route("/health", self.health), Route("/{rest:path}", self.view, methods=["GET", "POST"])]
        )

    async def health(self, _request: Request) -> Response:
        """Whether it is fit to serve."""
        return PlainTextResponse("ok", 503 if self.fault == "sick" else 200)

    async def view(self, request: Request) -> Response:
        """Answers any path, with the fault that is switched on."""
        from bench.words import plain

        self.log({"ev": "took", "worker": self.name, "tag": f"plain:{request.url.path}", "busy": 0, "age": 1e9})
        await asyncio.sleep(self.pause)
        data = plain(request.url.path)
        kind, _, at = self.fault.partition(":")
        if kind in ("cut", "bare"):
            # cut:N after N bytes of a known length; bare:N after N bytes of an answer that tells no length.

            async def half() -> AsyncIterator[bytes]:
                yield data[: int(at)]
                raise ConnectionError("a fault was asked for")

            heads = {"content-length": str(len(data))} if kind == "cut" else {}
            return StreamingResponse(half(), media_type="text/plain", headers=heads)
        return Response(data, media_type="text/plain")

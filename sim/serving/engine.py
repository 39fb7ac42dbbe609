"""One model worker: batches of slots, prompts read in chunks between steps, kept prefixes, memory and turning away.

A worker without long prompts under way is advanced many steps at once, up to the next end of an answer or arrival.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from sim.serving.request import Request


class Failure(StrEnum):
    """What a worker that is down does with what it is sent."""

    REFUSES = "refuses"  # no connection comes about
    SILENT = "silent"  # nothing comes back
    RESETS = "resets"  # it takes the request, and breaks off: a live request is lost, and its client comes again once


@dataclass(frozen=True)
class Engine:
    """How a model worker computes. Times in seconds, rates in tokens a second.

    :ivar slots: requests that it runs at once; `queue`: how many more wait before it turns requests away.
    :ivar step: of one step that gives each running request a token; `step_per_slot` and `context_per_token` add to it.
    :ivar read_rate: prompt tokens read a second; `pair`: what each pair of tokens adds to reading them.
    :ivar chunk: prompt tokens that one step reads at the most.
    :ivar memory: tokens of running requests and kept prefixes together.
    :ivar stride: tokens of one event.
    """

    slots: int
    queue: int
    step: float = 0.00137
    step_per_slot: float = 3.02e-6
    context_per_token: float = 5.74e-9
    read_rate: float = 155e3
    pair: float = 0.184e-9
    chunk: int = 1024
    memory: int = 232_000
    stride: int = 28


@dataclass(eq=False, slots=True)
class Run:
    """A request in a slot. `unread`: prompt tokens still to read; `left`: tokens of its answer still to come."""

    request: Request
    unread: int
    context: int
    left: int
    since_event: int = 0
    last_event: float = 0.0
    abandoned: bool = False


@dataclass(eq=False)
class EmulatedWorker:
    """One worker. Invariants: at most `slots` runs; segments follow each other without a gap while there is a run."""

    engine: Engine
    waiting: deque[Request] = field(default_factory=deque)
    runs: list[Run] = field(default_factory=list)
    kept: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    kept_tokens: int = 0
    at: float = 0.0  # until when its state is computed
    down_until: float = 0.0
    failure: Failure = Failure.REFUSES  # what it does while it is down
    segment_steps: int = 0  # of the segment under way; 0 if it is idle
    segment_step: float = 0.0  # seconds of one of them
    version: int = 0  # of the segment; events of an older one are void
    busy: float = 0.0  # slot seconds used
    put_back: int = 0

    @property
    def full(self) -> bool:
        """Does it turn requests away?"""
        return len(self.runs) >= self.engine.slots and len(self.waiting) >= self.engine.queue

    def accept(self, request: Request, now: float) -> bool:
        """Takes a request into its queue; must a new segment begin, since one that may be cut is under way or none is?"""
        self.waiting.append(request)
        return self.interrupt(now)

    def interrupt(self, now: float) -> bool:
        """Cuts a segment that reads nothing at a step's end; one step that reads goes on to its end."""
        if self.segment_steps and any(run.unread for run in self.runs):
            return False
        self.catch_up(now)
        self.runs = [run for run in self.runs if not run.abandoned]
        self._fill()
        return True

    def abandon(self, request: Request, now: float) -> bool:
        """The request's connection closed; must a new segment begin?"""
        if request in self.waiting:
            self.waiting.remove(request)
            return False
        for run in self.runs:
            if run.request is request:
                run.left, run.unread, run.abandoned = 0, 0, True
        return self.interrupt(now)

    def lose_all(self, now: float, until: float) -> list[Request]:
        """Crashes; returns what was there."""
        lost = [*(run.request for run in self.runs), *self.waiting]
        self.runs, self.down_until, self.at = [], until, now
        self.waiting.clear()
        self.kept.clear()
        self.kept_tokens, self.segment_steps = 0, 0
        self.version += 1
        return lost

    # --- memory
    def _running_tokens(self) -> int:
        return sum(run.context for run in self.runs)

    def _trim(self) -> None:
        """The prefixes unused longest give way to what runs."""
        room = self.engine.memory - self._running_tokens()
        while self.kept and self.kept_tokens > room:
            _, tokens = self.kept.popitem(last=False)
            self.kept_tokens -= tokens

    def _keep(self, key: bytes, tokens: int) -> None:
        self.kept_tokens += tokens - self.kept.pop(key, 0)
        self.kept[key] = tokens
        self._trim()

    # --- slots and steps
    def _fill(self) -> None:
        while self.waiting and len(self.runs) < self.engine.slots:
            request = self.waiting.popleft()
            cached = request.shared if request.key in self.kept else 0
            if cached:
                self.kept.move_to_end(request.key)
            unread = max(1, request.tokens - cached)
            request.read += unread
            # What is kept counts there, and not twice.
            self.runs.append(Run(request, unread, cached, request.events * self.engine.stride))
        self._trim()

    def start_segment(self) -> float | None:
        """Begins the next steps where the last ones ended; returns when they end, or None if it is idle."""
        self.version += 1
        if not self.runs:
            self.segment_steps = 0
            return None
        engine = self.engine
        step = engine.step + engine.step_per_slot * len(self.runs) + engine.context_per_token * self._running_tokens()
        reading = next((run for run in self.runs if run.unread), None)
        if reading is not None:
            step += self._read_seconds()
            self.segment_steps = 1
        else:
            self.segment_steps = max(1, min(run.left for run in self.runs))
        self.segment_step = step
        return self.at + step * self.segment_steps

    def _read_seconds(self) -> float:
        """Seconds that the next step takes to read a chunk of prompts."""
        engine, budget, seconds = self.engine, self.engine.chunk, 0.0
        for run in self.runs:
            if run.unread and budget:
                tokens = min(run.unread, budget)
                budget -= tokens
                seconds += tokens / engine.read_rate + engine.pair * tokens * (run.context + tokens / 2)
        return seconds

    def catch_up(self, now: float) -> None:
        """Computes the whole steps that have passed; one that is under way goes on, and its rest is lost to rounding."""
        if not self.segment_steps:
            self.at = now
            return
        steps = min(self.segment_steps, int((now - self.at) / self.segment_step + 1e-6))
        if steps:
            self.advance(steps)
        else:
            self.at = min(now, self.at)

    def advance(self, steps: int) -> list[Request]:
        """So many steps of the segment have passed; returns the requests whose answers ended."""
        start, step = self.at, self.segment_step
        self.busy += len(self.runs) * steps * step
        budget = self.engine.chunk
        ended: list[Request] = []
        for run in self.runs:
            if run.unread:
                tokens = min(run.unread, budget)
                budget -= tokens
                run.unread -= tokens
                run.context += tokens
                if tokens and not run.unread:
                    self._first_token(run, start + steps * step)
            else:
                self._tokens(run, start, steps)
        self.at = start + steps * step
        self.segment_steps -= steps
        for run in [r for r in self.runs if not r.unread and r.left <= 0]:
            self.runs.remove(run)
            if not run.abandoned:
                run.request.done = self.at
                ended.append(run.request)
        self._fill()
        return ended

    def _first_token(self, run: Run, at: float) -> None:
        run.left -= 1
        run.last_event = at
        if run.request.first < 0:
            run.request.first = at
        if run.request.shared:
            self._keep(run.request.key, run.request.shared)

    def _tokens(self, run: Run, start: float, steps: int) -> None:
        """So many tokens of an answer, with the events that they fill."""
        step, stride = self.segment_step, self.engine.stride
        run.left -= steps
        run.context += steps
        until_event = stride - run.since_event
        if steps >= until_event or run.left <= 0:
            first = start + min(steps, until_event) * step
            run.request.longest_pause = max(run.request.longest_pause, first - run.last_event)
            whole = max(0, (steps - until_event) // stride)
            run.last_event = first + whole * stride * step
            run.since_event = (steps - until_event) % stride if steps >= until_event else 0
        else:
            run.since_event += steps

"""Edges and a scheduler that place requests on emulated workers by the product's own decision functions.

An edge knows its own requests at once, and those of the others as they stood some time ago; so does the scheduler.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from postpass.gateway.relayed_request import PATIENCE
from postpass.gateway.worker_selection import OUTCOME_INTERVALS, PROMPT_WEIGHT
from postpass.routing.item_choice import ItemWorker, choose_item_worker, free_item_slots
from postpass.routing.item_order import serving_order, usual_seconds
from postpass.routing.live_choice import (
    EdgeView,
    Prompt,
    WorkerCandidate,
    choose_worker,
)
from postpass.routing.load_picture import WorkerUse
from postpass.routing.options import RoutingOptions
from postpass.routing.prefixes import Prefix
from sim.serving.engine import EmulatedWorker, Failure
from sim.serving.request import Request
from sim.serving.workload import Crash, Workload, draw_requests

HOP = 0.0015  # seconds from a client by an edge to a worker
REFUSED_WAIT = 0.05  # seconds after which a client or an item comes again
AVOID = 0.5  # seconds that a worker which broke off is left alone
FULL_FOR = 0.05  # seconds that a worker which turned a request away is tried last
ITEM_GROWTH = 0.5  # by which a worker's limit of items grows with each that ran
CLIENT_RETRIES = 1  # times that a client sends a request again that was lost
TRIES = 6  # workers that are asked for one request


@dataclass(frozen=True)
class Policy:
    """What is compared: the options of the product, and how old the shared picture of load is.

    :ivar every: seconds between two pictures; `delay`: until one is known everywhere.
    :ivar poll: seconds between two rounds of the scheduler.
    """

    name: str
    options: RoutingOptions
    every: float = 0.1
    delay: float = 0.02
    poll: float = 0.25


@dataclass
class Picture:
    """What all edges and the scheduler had at each worker at a moment."""

    at: float
    live: list[int]
    unread: list[int]
    items: list[int]
    own: list[Counter[int]]
    own_unread: list[Counter[int]]
    failed: list[int]
    answered: list[int]


@dataclass(eq=False)
class EmulatedFleet:
    """One run of a workload under a policy. `events` is a heap of (time, order, action)."""

    workload: Workload
    policy: Policy
    seed: int
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    now: float = 0.0

    def __post_init__(self) -> None:
        workload = self.workload
        self.order = itertools.count()
        self.chance = random.Random(f"policy/{self.seed}")
        self.workers = [EmulatedWorker(workload.engine) for _ in range(workload.workers)]
        self.names = [f"w{i}" for i in range(workload.workers)]
        self.index = {name: i for i, name in enumerate(self.names)}
        self.requests = draw_requests(workload, self.seed)
        self.live = [Counter[int]() for _ in range(workload.edges)]
        self.unread = [Counter[int]() for _ in range(workload.edges)]
        self.items = [0] * workload.workers
        self.items_unread = [0] * workload.workers
        self.waiting_items: list[tuple[float, int, Request]] = []
        self.usual_item_seconds = 0.0
        self.pictures: deque[Picture] = deque()
        self.full_until = [Counter[int]() for _ in range(workload.edges)]
        self.avoid_until = [Counter[int]() for _ in range(workload.edges)]
        # When each edge last got an answer of a worker, and when it was last failed by one.
        self.answered_at = [dict[int, float]() for _ in range(workload.edges)]
        self.failed_at = [dict[int, float]() for _ in range(workload.edges)]
        self.usual_tokens = [0.0] * workload.edges
        self.turned_away = 0
        self.peak_spread: list[float] = []
        self.item_limits = [float(workload.engine.slots)] * workload.workers

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Does something at a time."""
        heapq.heappush(self.events, (time, next(self.order), action))

    def run(self) -> None:
        """Plays the workload to the end of its last answer."""
        for request in self.requests:
            arrive = self.arrive_item if request.kind.items else self.arrive_live
            self.at(request.arrived + HOP / 2, lambda request=request, arrive=arrive: arrive(request))  # type: ignore[misc]
        self.at(0.0, self.take_picture)
        self.at(0.0, self.schedule_round)
        for crash in self.workload.crashes:
            self.at(crash.at, lambda crash=crash: self.crash(crash))  # type: ignore[misc]
        end = self.workload.seconds + 12.0
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()

    # --- workers
    def restart(self, number: int) -> None:
        """Begins a worker's next segment."""
        worker = self.workers[number]
        end = worker.start_segment()
        if end is not None:
            version = worker.version
            self.at(end, lambda: self.segment_ended(number, version))

    def segment_ended(self, number: int, version: int) -> None:
        """A segment came to its end, unless it was cut meanwhile."""
        worker = self.workers[number]
        if worker.version != version:
            return
        unread = [run.request for run in worker.runs if run.unread]
        ended = worker.advance(worker.segment_steps)
        for request in unread:
            if request.first >= 0:
                self.note_first(request)
        for request in ended:
            self.release(request)
        self.restart(number)

    def crash(self, crash: Crash) -> None:
        """Workers are lost with all that runs there."""
        for number in self.chance.sample(range(len(self.workers)), round(crash.share * len(self.workers))):
            self.workers[number].failure = crash.failure
            for request in self.workers[number].lose_all(self.now, self.now + crash.seconds):
                self.release(request)
                self.note_failure(request, number)
                request.first, request.excluded = -1.0, {number}
                again = self.arrive_item if request.kind.items else self.arrive_live
                self.at(self.now + HOP, lambda request=request, again=again: again(request))  # type: ignore[misc]

    def note_failure(self, request: Request, number: int) -> None:
        """A worker broke off or didn't answer: its edge leaves it alone for a while."""
        self.avoid_until[request.edge][number] = self.now + AVOID  # type: ignore[assignment]
        if request.kind.items is None:
            self.failed_at[request.edge][number] = self.now

    def outcomes(self) -> tuple[list[int], list[int]]:
        """How many edges each worker failed, and how many it answered, of those that tried it lately."""
        failed, answered = [0] * len(self.workers), [0] * len(self.workers)
        for failures, answers in zip(self.failed_at, self.answered_at, strict=True):
            for number in failures.keys() | answers.keys():
                failure, answer = failures.get(number, -1e9), answers.get(number, -1e9)
                if max(failure, answer) > self.now - OUTCOME_INTERVALS * self.policy.every:
                    failed[number] += failure > answer
                    answered[number] += answer >= failure
        return failed, answered

    # --- what is known of the load
    def take_picture(self) -> None:
        """Notes what is where, for all to know it a moment later."""
        count = len(self.workers)
        live, unread = [0] * count, [0] * count
        for own, own_unread in zip(self.live, self.unread, strict=True):
            for worker, number in own.items():
                live[worker] += number
            for worker, tokens in own_unread.items():
                unread[worker] += tokens
        unread = [a + b for a, b in zip(unread, self.items_unread, strict=True)]
        self.pictures.append(
            Picture(
                self.now, live, unread, list(self.items), [Counter(c) for c in self.live],
                [Counter(c) for c in self.unread], *self.outcomes(),
            )
        )  # fmt: skip
        while len(self.pictures) > 1 and self.pictures[1].at + self.policy.delay <= self.now:
            self.pictures.popleft()
        busy = [len(worker.runs) + len(worker.waiting) for worker in self.workers]
        mean = sum(busy) / count
        if mean > 0:
            self.peak_spread.append(max(busy) / mean)
        if self.now < self.workload.seconds:
            self.at(self.now + self.policy.every, self.take_picture)

    def picture(self) -> Picture:
        """The newest picture that is known everywhere."""
        known = self.pictures[0]
        for picture in self.pictures:
            if picture.at + self.policy.delay <= self.now:
                known = picture
        return known

    def candidates(self, request: Request) -> list[WorkerCandidate]:
        """The workers as an edge sees them."""
        picture, edge = self.picture(), request.edge
        own, own_unread = self.live[edge], self.unread[edge]
        slots = self.workload.engine.slots
        found = []
        for i, name in enumerate(self.names):
            if i in request.excluded:
                continue
            others = WorkerUse(
                max(0, picture.live[i] - picture.own[edge][i]), picture.items[i],
                max(0, picture.unread[i] - picture.own_unread[edge][i]), picture.failed[i], picture.answered[i],
            )  # fmt: skip
            avoided, full = self.avoid_until[edge][i] > self.now, self.full_until[edge][i] > self.now
            found.append(WorkerCandidate(name, slots, own[i], avoided, full, 0.0, own_unread[i], others))
        return found

    def view(self, request: Request) -> EdgeView:
        """What the request's edge knows besides the workers, with one more request seen."""
        edge = request.edge
        usual = self.usual_tokens[edge] or float(request.tokens)
        self.usual_tokens[edge] = usual + (request.tokens - usual) * PROMPT_WEIGHT
        return EdgeView(self.workload.edges, self.usual_tokens[edge])

    # --- live requests
    def arrive_live(self, request: Request) -> None:
        """A live request reaches its edge."""
        if self.now - request.arrived > request.kind.deadline or request.tries >= TRIES * 2:
            request.refused = True
            return
        prompt = Prompt(Prefix(request.key, request.shared), request.tokens)
        choice = choose_worker(self.candidates(request), prompt, self.view(request), self.chance, self.policy.options)
        if choice is None:
            request.excluded.clear()
            self.at(self.now + REFUSED_WAIT, lambda: self.arrive_live(request))
            return
        self.send(request, self.index[choice.worker], self.arrive_live)

    def send(self, request: Request, number: int, again: Callable[[Request], None]) -> None:
        """Sends a request to a worker; one that is full or down turns it away."""
        worker = self.workers[number]
        request.tries += 1
        if worker.down_until > self.now:
            self.fail(request, number, again)
            return
        if worker.full:
            self.turned_away += 1
            request.excluded.add(number)
            self.full_until[request.edge][number] = self.now + FULL_FOR  # type: ignore[assignment]
            if request.kind.items is not None:
                self.item_limits[number] = max(1.0, self.item_limits[number] / 2)
            wait = HOP if request.kind.items is None else self.policy.poll / 4
            self.at(self.now + wait, lambda: again(request))
            return
        request.worker = number
        self.count(request, 1)
        if worker.accept(request, self.now):
            self.restart(number)

    def fail(self, request: Request, number: int, again: Callable[[Request], None]) -> None:
        """A worker that is down refuses a request, or says nothing until its sender's patience ends."""
        self.turned_away += 1
        request.excluded.add(number)
        wait, failure = HOP, self.workers[number].failure
        if failure is Failure.RESETS and request.kind.items is None:
            request.lost += 1
            if request.lost > CLIENT_RETRIES:
                request.refused = True
                self.note_failure(request, number)
                return
            request.excluded.clear()
            wait = REFUSED_WAIT
        elif failure is Failure.SILENT:
            wait = min(request.kind.target, request.kind.pause) * PATIENCE
        elif request.kind.items is not None:
            wait = self.policy.poll / 4

        def give_up() -> None:
            self.note_failure(request, number)
            again(request)

        self.at(self.now + wait, give_up)

    def count(self, request: Request, sign: int) -> None:
        """A request is at a worker, or no longer."""
        if request.kind.items is not None:
            self.items[request.worker] += sign
            if sign > 0:
                self.items_unread[request.worker] += request.tokens
            return
        self.live[request.edge][request.worker] += sign
        if sign > 0:
            self.unread[request.edge][request.worker] += request.tokens

    def note_first(self, request: Request) -> None:
        """Its first event came back."""
        if request.kind.items is not None:
            self.items_unread[request.worker] -= request.tokens
        else:
            self.unread[request.edge][request.worker] -= request.tokens
            if request.first >= 0:
                self.answered_at[request.edge][request.worker] = self.now

    def release(self, request: Request) -> None:
        """A request has left its worker."""
        if request.first < 0:
            self.note_first(request)
        self.count(request, -1)
        if request.kind.items is not None and request.done >= 0:
            number = request.worker
            self.usual_item_seconds = usual_seconds(self.usual_item_seconds, request.done - request.started)
            self.item_limits[number] = min(float(self.workload.engine.slots), self.item_limits[number] + ITEM_GROWTH)
        if request.kind.items is not None and self.waiting_items:
            self.at(self.now + HOP / 2, self.place_items)

    # --- items
    def arrive_item(self, request: Request) -> None:
        """An item is covered, and leased by the scheduler at its next round."""
        due = request.arrived + request.kind.target
        self.waiting_items.append((due, request.number, request))

    def schedule_round(self) -> None:
        """The scheduler's round."""
        self.place_items()
        self.at(self.now + self.policy.poll, self.schedule_round)

    def place_items(self) -> None:
        """Starts items, nearest due first, as long as a worker has room for one."""
        if not self.waiting_items:
            return
        picture = self.picture()
        slots = self.workload.engine.slots
        rooms = free_item_slots(
            [
                ItemWorker(
                    name,
                    slots,
                    self.items[i],
                    picture.live[i],
                    self.item_limits[i],
                    WorkerUse(failed=picture.failed[i], answered=picture.answered[i]).fails_most,
                )
                for i, name in enumerate(self.names)
                if self.workers[i].down_until <= self.now or self.workers[i].failure is not Failure.REFUSES
            ],
            self.policy.options,
        )
        earliest = self.now + self.usual_item_seconds
        self.waiting_items.sort()
        served = serving_order(self.waiting_items, lambda row: row[0], earliest, self.policy.options)
        placed = set()
        for _, number, request in served:
            name = choose_item_worker(rooms, request.key, self.policy.options)
            if name is None:
                break
            rooms[name] -= 1
            placed.add(number)
            request.started = self.now
            self.send(request, self.index[name], self.arrive_item)
        self.waiting_items = [row for row in self.waiting_items if row[1] not in placed]

"""Operators that write down all they send and hear, for the linearizability checker; against any system that answers
as the platform's pages say."""

from __future__ import annotations

import asyncio
import copy
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from sim.linearizability import Operation, Order, Outcome, Read
from sim.operator_history import attempt_of, outcome_of
from sim.operators import content_digest, patched, request_digest

NO_ANSWER = 0
ANSWER_S = 1.0  # how long an operator waits for an answer
TRIES = 12


@dataclass(frozen=True)
class Reply:
    """An answer; status 0 stands for none."""

    status: int
    document: Any = None

    @property
    def outcome(self) -> Outcome:
        return outcome_of(self.status)


class Members(Protocol):
    """The control members that operators call, by name."""

    def names(self) -> list[str]: ...

    async def call(self, member: str, method: str, path: str, body: Any = None, base: int = 0) -> Reply:
        """Never longer than `ANSWER_S`, and without an error."""
        ...


@dataclass(frozen=True)
class SentOrder:
    """An order as it goes over the wire, and what the checker is told of it."""

    method: str
    body: Any
    order: Order


def put(document: Any, base: int, valid: bool = True) -> SentOrder:
    order = Order(base, document["version"], request_digest("PUT", base, document), content_digest(document), valid)
    return SentOrder("PUT", document, order)


def patch(change: Any, document: Any) -> SentOrder:
    """A change of `document`."""
    base = document["version"]
    whole = patched(document, change)
    order = Order(base, whole["version"], request_digest("PATCH", base, change), content_digest(whole))
    return SentOrder("PATCH", change, order)


@dataclass(eq=False)
class RecordingOperators:
    """Invariant: `taken` holds every order that was acknowledged, once each, in the order of the acknowledgements."""

    members: Members
    clock: Callable[[], float]
    chance: random.Random
    lost_answers: float = 0.5
    history: list[Operation] = field(default_factory=list)
    taken: list[SentOrder] = field(default_factory=list)
    refused_others: list[str] = field(default_factory=list)  # orders that are not configurations

    def any_member(self) -> str:
        return self.chance.choice(self.members.names())

    # --- single calls
    async def attempt(self, sent: SentOrder, member: str, may_lose: bool = True) -> Outcome:
        """One send of an order."""
        began = self.clock()
        call = self.members.call(member, sent.method, "/-/config", sent.body, sent.order.base)
        reply = await self.lossy(call) if may_lose else await call
        outcome = reply.outcome
        self.history.append(attempt_of(sent.order, began, self.clock(), reply.status))
        if outcome is Outcome.TAKEN and sent not in self.taken:
            self.taken.append(sent)
        return outcome

    async def lossy(self, call: Any) -> Reply:
        """The answer to a call, or none: it is lost, or not waited for while the call goes on."""
        if self.chance.random() >= self.lost_answers:
            return await call  # type: ignore[no-any-return]
        task = asyncio.create_task(call)
        await asyncio.wait({task}, timeout=self.chance.random() * 0.3)
        return Reply(NO_ANSWER)

    async def send(self, sent: SentOrder, tries: int = TRIES) -> Outcome:
        """Sends an order until it is answered for good, or given up."""
        for turn in range(tries):
            outcome = await self.attempt(sent, self.any_member())
            if outcome is not Outcome.UNKNOWN:
                return outcome
            await asyncio.sleep(0.05 * (turn + 1) * (0.5 + self.chance.random()))
        return Outcome.UNKNOWN

    async def read(self, member: str = "") -> Any:
        """The configuration, or None where it didn't come."""
        began = self.clock()
        reply = await self.members.call(member or self.any_member(), "GET", "/-/config")
        if reply.status == 200:
            version, content = reply.document["version"], content_digest(reply.document)
            self.history.append(Read(version, content, began, self.clock()))
            return reply.document
        if reply.status == 404:
            self.history.append(Read(0, "", began, self.clock()))
        return None

    async def send_other(self, method: str, path: str, body: Any = None, tries: int = TRIES) -> int:
        """Sends an evacuation or a retirement until it is answered for good; an answer of 4xx is written down."""
        for turn in range(tries):
            reply = await self.lossy(self.members.call(self.any_member(), method, path, body))
            if reply.outcome is Outcome.TAKEN:
                return reply.status
            if reply.outcome is Outcome.REFUSED:
                self.refused_others.append(f"{method} {path}: {reply.status}")
                return reply.status
            await asyncio.sleep(0.05 * (turn + 1))
        return NO_ANSWER

    # --- operators at work
    def next_order(self, document: Any, number: int) -> SentOrder:
        """A whole configuration or a change, valid or (one in twelve) not, on top of a document."""
        version = document["version"] + self.chance.randint(1, 4)
        route = copy.deepcopy(self.chance.choice(document["routes"]))
        route["timeoutMs"] = 1000 + number
        kind = self.chance.random()
        if kind < 0.5:
            return patch({"version": version, "upsert": {"routes": [route]}}, document)
        whole = patched(document, {"version": version, "upsert": {"routes": [route]}})
        if kind < 0.92:
            return put(whole, document["version"])
        whole["routes"][0] |= {"service": "nowhere", "timeoutMs": number}
        whole["routes"][0].pop("split", None)
        return put(whole, document["version"], valid=False)

    async def operate(self, number: int, first: Any, stop: Callable[[], bool], pause_s: float) -> None:
        """One operator: an order after the other on top of what it last read or had acknowledged, and old ones again."""
        document, count = first, 0
        while not stop():
            count += 1
            sent = self.next_order(document, number * 100_000 + count)
            outcome = await self.send(sent)
            if outcome is Outcome.TAKEN:
                document = patched(document, sent.body) if sent.method == "PATCH" else sent.body
            else:
                document = await self.read() or document
            if self.taken and self.chance.random() < 0.2:
                await self.send(self.chance.choice(self.taken), tries=1)
            await asyncio.sleep(self.chance.random() * 2 * pause_s)

    async def resend_all(self, width: int = 8) -> list[str]:
        """Every taken order again at every member, in random order; those that were refused, or never acknowledged."""
        jobs = [(sent, member) for sent in self.taken for member in self.members.names()]
        self.chance.shuffle(jobs)
        found: list[str] = []

        async def work() -> None:
            while jobs:
                sent, member = jobs.pop()
                outcome = Outcome.UNKNOWN
                for _ in range(TRIES):
                    outcome = await self.attempt(sent, member, may_lose=False)
                    if outcome is not Outcome.UNKNOWN:
                        break
                    await asyncio.sleep(0.2)
                if outcome is not Outcome.TAKEN:
                    found.append(f"{sent.method} of version {sent.order.version} at {member}: {outcome.value}")

        await asyncio.gather(*(work() for _ in range(width)))
        return found

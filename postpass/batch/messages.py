"""The messages about jobs between edge, owner and scheduler, with their JSON codecs.

The JSON keys, and their order, are part of the protocol between releases; they call a job a `lot`, a client a `caller`.
An *edge* takes jobs from clients, the *owner* of a partition stores them, and the active *scheduler* leases their items
from the owners and runs them at workers.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, TypedDict

from postpass.rpc.codec import Body
from postpass.worker_api.openai import Prompt

NO_PROMPT = Prompt((), "")
CHECKSUM_DIGITS = 16  # hexadecimal digits of an output's SHA-256 that are sent with it


class Item(TypedDict):
    """An opaque request of a job that came by a route, by its JSON keys.

    `headers` and `body` are passed to a worker unchanged; `body` is base64. `tokens` count against the route's quota.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class ItemStatus(StrEnum):
    """What a scheduler reports of an item after a worker has responded."""

    DONE = "done"
    FAILED = "failed"  # it may be retried
    ABANDONED = "abandoned"  # it can never be done


def output_checksum(output: str) -> str:
    """Returns the checksum by which an owner verifies that an output arrived complete."""
    return hashlib.sha256(output.encode()).hexdigest()[:CHECKSUM_DIGITS]


class BudgetKey(NamedTuple):
    """Identifies a budget, in which the waiting tokens of a tenant's jobs on a route are counted.

    `tenant` is its name; empty where requests need no key.
    """

    route: str
    tenant: str = ""


class ItemKey(NamedTuple):
    """Identifies an item of a partition: its job, and its position there."""

    job: str
    position: int


@dataclass(frozen=True)
class TakeRequest:
    """A scheduler requests items from an owner, and renews the leases of those it holds (verb `take`).

    `wanted` is the number of further items by class; `leased` are the items that the scheduler holds from this owner.
    An owner serves the highest (`term`, `scheduler`) that it has seen.
    """

    scheduler: str
    term: int
    wanted: dict[str, int]
    leased: list[ItemKey]

    def as_json(self) -> Body:
        """Returns the body of the request, without the partition."""
        return {
            "sched": self.scheduler,
            "term": self.term,
            "room": self.wanted,
            "held": [list(key) for key in self.leased],
        }

    @classmethod
    def from_json(cls, body: Body) -> TakeRequest:
        """Decodes the body of a request."""
        return cls(
            body["sched"], body["term"], body["room"], [ItemKey(job, position) for job, position in body["held"]]
        )


@dataclass(frozen=True)
class ItemGrant:
    """An item that an owner leases to a scheduler.

    `due` is wall-clock time in seconds. An item of a class has a `prompt`, one of a route a `request`; `tries` is the
    number of failures after which it is given up, and no configuration before revision `since` may place it.
    """

    job: str
    position: int
    item_class: str
    due: float
    client: str
    prompt: Prompt = NO_PROMPT
    request: Item | None = None
    tries: int = 0
    since: int = 0

    def as_json(self) -> Body:
        """Returns one row of the response."""
        row: Body = {
            "lot": self.job,
            "item": self.position,
            "class": self.item_class,
            "due": self.due,
            "caller": self.client,
        }
        if self.request is not None:
            return row | {"call": self.request, "tries": self.tries, "since": self.since}
        return row | {"text": self.prompt.own, "shared": list(self.prompt.shared)}

    @classmethod
    def from_json(cls, row: Body) -> ItemGrant:
        """Decodes one row of the response."""
        return cls(
            job=row["lot"],
            position=row["item"],
            item_class=row["class"],
            due=row["due"],
            client=row["caller"],
            prompt=Prompt(tuple(row.get("shared", [])), row.get("text", "")),
            request=row.get("call"),
            tries=row.get("tries", 0),
            since=row.get("since", 0),
        )


@dataclass(frozen=True)
class TakeResponse:
    """An owner's response to `take`.

    `items` are leased to the scheduler, which is to stop the items of `stopped_jobs` that it holds. `waiting` counts by
    class the items that no scheduler held before this response; schedulers of earlier releases read it. `more` says that
    further wanted items wait, which the response had no room for.
    """

    items: list[ItemGrant]
    stopped_jobs: list[str]
    waiting: dict[str, int] = field(default_factory=dict)
    more: bool = False

    def as_json(self) -> Body:
        """Returns the body of the response."""
        body: Body = {
            "items": [item.as_json() for item in self.items],
            "stop": self.stopped_jobs,
            "ahead": self.waiting,
        }
        return body | {"more": 1} if self.more else body

    @classmethod
    def from_json(cls, body: Body) -> TakeResponse:
        """Decodes the body of a response."""
        items = [ItemGrant.from_json(row) for row in body["items"]]
        return cls(items, body["stop"], body["ahead"], bool(body.get("more")))


@dataclass(frozen=True)
class ItemResult:
    """An item's result as a scheduler reports it to the owner (verb `done`).

    `tries` is the number of failures after which the item is given up, None for the owner's default. `checksum` is that
    of the output; it is empty where the output is only the reason for a failure. `run` identifies the run that ended so;
    it is empty in the reports of releases that don't tell it, and in records.
    """

    status: ItemStatus
    output: str
    tries: int | None = None
    checksum: str = ""
    run: str = ""

    def as_json(self, key: ItemKey) -> Body:
        """Returns the body of the request, without the partition."""
        body: Body = {"id": key.job, "item": key.position, "status": str(self.status), "output": self.output}
        if self.tries is not None:
            body["tries"] = self.tries
        if self.checksum:
            body["sum"] = self.checksum
        if self.run:
            body["run"] = self.run
        return body

    @classmethod
    def from_json(cls, body: Body) -> ItemResult:
        """Decodes the body of a request, except for the item's key."""
        tries = int(body["tries"]) if "tries" in body else None
        return cls(ItemStatus(body["status"]), body["output"], tries, body.get("sum", ""), body.get("run", ""))

    @property
    def intact(self) -> bool:
        """Whether the checksum matches the output."""
        return output_checksum(self.output) == self.checksum


@dataclass(frozen=True)
class ReserveRequest:
    """An owner reports to the holder of a budget how many tokens wait, and asks for more (verb `reserve`).

    `owner` is the partition whose owner asks, under its `epoch`; `number` grows with each count that it reports.
    `tokens` wait there already; with `wanted` 0 the owner only reports its count.
    """

    key: BudgetKey
    owner: int
    epoch: int
    number: int
    tokens: int
    wanted: int

    def as_json(self, holder: int) -> Body:
        """Returns the body of the request to the owner of partition `holder`; it has a tenant only if there is one."""
        tenant = {"tenant": self.key.tenant} if self.key.tenant else {}
        return {
            "part": holder,
            "route": self.key.route,
            "from": self.owner,
            "epoch": self.epoch,
            "number": self.number,
            "count": self.tokens,
            "want": self.wanted,
        } | tenant

    @classmethod
    def from_json(cls, body: Body) -> ReserveRequest:
        """Decodes the body of a request."""
        key = BudgetKey(body["route"], body.get("tenant", ""))
        return cls(key, body["from"], body["epoch"], body["number"], body["count"], body["want"])


@dataclass(frozen=True)
class WaitingResponse:
    """The tokens that wait on a route at one owner: its response to the holder of the budget (verb `waiting`)."""

    epoch: int
    number: int
    tokens: int

    def as_json(self) -> Body:
        """Returns the body of the response."""
        return {"epoch": self.epoch, "number": self.number, "count": self.tokens}

    @classmethod
    def from_json(cls, body: Body) -> WaitingResponse:
        """Decodes the body of a response."""
        return cls(body["epoch"], body["number"], body["count"])


@dataclass(frozen=True)
class TenantCounts:
    """The tokens that wait at one owner for tenants whose budgets have the same holder.

    It is either a report to the holder (verb `reserve`), or the response to the holder's request (verb `waiting`).

    `owner` is the partition whose owner reports, under its `epoch`; `number` is as in `ReserveRequest`. If `complete`,
    nothing waits there for the holder's other tenants.
    """

    owner: int
    epoch: int
    number: int
    complete: bool
    counts: dict[BudgetKey, int]

    def as_json(self) -> Body:
        """Returns the body of the message, without the holder's partition."""
        return {
            "from": self.owner,
            "epoch": self.epoch,
            "number": self.number,
            "complete": self.complete,
            "counts": [[key.route, key.tenant, tokens] for key, tokens in self.counts.items()],
        }

    @classmethod
    def from_json(cls, body: Body) -> TenantCounts:
        """Decodes the body of a message."""
        counts = {BudgetKey(route, tenant): tokens for route, tenant, tokens in body["counts"]}
        return cls(body["from"], body["epoch"], body["number"], body["complete"], counts)


class ResultRow(TypedDict):
    """An item's result as clients of a route read it, by its JSON keys."""

    id: str
    state: str
    text: str


@dataclass(frozen=True)
class ResultsRequest:
    """Requests the results of a job from a position on from the owner (verb `results`).

    `hold_s` is the time in seconds for which the owner may hold the request until there is a result.
    """

    start: int
    hold_s: float

    def as_json(self) -> Body:
        """Returns the body of the request, without the job."""
        return {"start": self.start, "hold": self.hold_s}

    @classmethod
    def from_json(cls, body: Body) -> ResultsRequest:
        """Decodes the body of a request."""
        return cls(body["start"], float(body.get("hold", 0.0)))


@dataclass(frozen=True)
class ResultsResponse:
    """Covered results from a position on; `total` is the number of the job's items, `next_start` where the next page
    starts."""

    total: int
    results: list[ResultRow]
    next_start: int

    def as_json(self) -> Body:
        """Returns the body of the response."""
        return {"total": self.total, "results": self.results, "next": self.next_start}

"""The batch messages between edge, owner and scheduler, with their JSON codecs.

The JSON keys, and their order, are part of the protocol between releases. An *edge* takes jobs from clients, the *owner*
of a partition keeps them, and the active *scheduler* leases their items from the owners and runs them at workers.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, TypedDict

from postpass.rpc.codec import Body
from postpass.worker_api.openai import Prompt

NO_PROMPT = Prompt((), "")
CHECKSUM_DIGITS = 16  # hexadecimal digits of an output's SHA-256 that go with it


class Item(TypedDict):
    """An opaque request of a job that came by a route, by its JSON keys.

    `headers` and `body` go to a worker untouched; `body` is base64. `tokens` count against the route's quota.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class ItemStatus(StrEnum):
    """What a scheduler tells of an item that a worker has answered."""

    DONE = "done"
    FAILED = "failed"  # it may be tried again
    ABANDONED = "abandoned"  # it never will be done


def output_checksum(output: str) -> str:
    """The checksum by which an owner knows that an output came whole."""
    return hashlib.sha256(output.encode()).hexdigest()[:CHECKSUM_DIGITS]


class BudgetKey(NamedTuple):
    """Whose waiting tokens are counted together: the jobs of a tenant on a route.

    `tenant` is its name; empty where requests need no key.
    """

    route: str
    tenant: str = ""


class ItemKey(NamedTuple):
    """Names an item: its job, and its position there."""

    job: str
    item: int


@dataclass(frozen=True)
class TakeRequest:
    """A scheduler asks an owner for items, and renews the leases of those it holds (verb `take`).

    `wanted` is the number of further items by class; `leased` the items that the scheduler has from this owner. An owner
    serves the highest (`term`, `scheduler`) that it has heard of.
    """

    scheduler: str
    term: int
    wanted: dict[str, int]
    leased: list[ItemKey]

    def as_json(self) -> Body:
        """The body of the request, without the partition."""
        return {
            "sched": self.scheduler,
            "term": self.term,
            "room": self.wanted,
            "held": [list(key) for key in self.leased],
        }

    @classmethod
    def from_json(cls, body: Body) -> TakeRequest:
        """Reads the body of a request."""
        return cls(body["sched"], body["term"], body["room"], [ItemKey(job, item) for job, item in body["held"]])


@dataclass(frozen=True)
class ItemGrant:
    """An item that an owner leases to a scheduler.

    `due` is in seconds of the wall clock. An item of a class has a `prompt`, one of a route a `request`; `tries` is the
    number of failures that it may have, and no configuration before revision `since` may place it.
    """

    job: str
    item: int
    item_class: str
    due: float
    client: str
    prompt: Prompt = NO_PROMPT
    request: Item | None = None
    tries: int = 0
    since: int = 0

    def as_json(self) -> Body:
        """One row of the answer."""
        row: Body = {
            "lot": self.job,
            "item": self.item,
            "class": self.item_class,
            "due": self.due,
            "caller": self.client,
        }
        if self.request is not None:
            return row | {"call": self.request, "tries": self.tries, "since": self.since}
        return row | {"text": self.prompt.own, "shared": list(self.prompt.shared)}

    @classmethod
    def from_json(cls, row: Body) -> ItemGrant:
        """Reads one row of the answer."""
        return cls(
            job=row["lot"],
            item=row["item"],
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
    """An owner's answer to `take`.

    `items` are leased to the scheduler; the held items of `stopped_jobs` are to be stopped; `waiting` counts by class the
    items that nobody held before this answer, for schedulers of earlier releases.
    """

    items: list[ItemGrant]
    stopped_jobs: list[str]
    waiting: dict[str, int] = field(default_factory=dict)

    def as_json(self) -> Body:
        """The body of the answer."""
        return {"items": [item.as_json() for item in self.items], "stop": self.stopped_jobs, "ahead": self.waiting}

    @classmethod
    def from_json(cls, body: Body) -> TakeResponse:
        """Reads the body of an answer."""
        return cls([ItemGrant.from_json(row) for row in body["items"]], body["stop"], body["ahead"])


@dataclass(frozen=True)
class ItemResult:
    """The end of an item as a scheduler tells it to the owner (verb `done`).

    `tries` is the number of failures that the item may have, None for the owner's default. `checksum` is that of the
    output, empty where the output is only a reason.
    """

    status: ItemStatus
    output: str
    tries: int | None = None
    checksum: str = ""

    def as_json(self, key: ItemKey) -> Body:
        """The body of the request, without the partition."""
        body: Body = {"id": key.job, "item": key.item, "status": str(self.status), "output": self.output}
        if self.tries is not None:
            body["tries"] = self.tries
        if self.checksum:
            body["sum"] = self.checksum
        return body

    @classmethod
    def from_json(cls, body: Body) -> ItemResult:
        """Reads the body of a request, but for the item's name."""
        tries = int(body["tries"]) if "tries" in body else None
        return cls(ItemStatus(body["status"]), body["output"], tries, body.get("sum", ""))

    @property
    def intact(self) -> bool:
        """Does the checksum fit the output?"""
        return output_checksum(self.output) == self.checksum


@dataclass(frozen=True)
class ReserveRequest:
    """An owner tells the holder of a budget what waits there, and asks for more (verb `reserve`).

    `owner` is the partition that asks, under its `epoch`; `number` grows with each count that it tells. `tokens` wait
    there already; with `wanted` 0 the owner only tells its count.
    """

    key: BudgetKey
    owner: int
    epoch: int
    number: int
    tokens: int
    wanted: int

    def as_json(self, holder: int) -> Body:
        """The body of the request to the owner of partition `holder`; it names a tenant only if there is one."""
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
        """Reads the body of a request."""
        key = BudgetKey(body["route"], body.get("tenant", ""))
        return cls(key, body["from"], body["epoch"], body["number"], body["count"], body["want"])


@dataclass(frozen=True)
class WaitingResponse:
    """What waits on a route at one owner, as its answer to a budget's holder tells it (verb `waiting`)."""

    epoch: int
    number: int
    tokens: int

    def as_json(self) -> Body:
        """The body of the answer."""
        return {"epoch": self.epoch, "number": self.number, "count": self.tokens}

    @classmethod
    def from_json(cls, body: Body) -> WaitingResponse:
        """Reads the body of an answer."""
        return cls(body["epoch"], body["number"], body["count"])


@dataclass(frozen=True)
class TenantCounts:
    """What waits at one owner for tenants whose budgets have the same holder: a report (verb `reserve`), or the answer to
    the holder's question (verb `waiting`).

    `owner` is the partition that tells it, under its `epoch`; `number` as in `ReserveRequest`. If `complete`, nothing waits
    there for the holder's other tenants.
    """

    owner: int
    epoch: int
    number: int
    complete: bool
    counts: dict[BudgetKey, int]

    def as_json(self) -> Body:
        """The body of the message, without the holder's partition."""
        return {
            "from": self.owner,
            "epoch": self.epoch,
            "number": self.number,
            "complete": self.complete,
            "counts": [[key.route, key.tenant, tokens] for key, tokens in self.counts.items()],
        }

    @classmethod
    def from_json(cls, body: Body) -> TenantCounts:
        """Reads the body of a message."""
        counts = {BudgetKey(route, tenant): tokens for route, tenant, tokens in body["counts"]}
        return cls(body["from"], body["epoch"], body["number"], body["complete"], counts)


class ResultRow(TypedDict):
    """The end of an item as clients of a route read it, by its JSON keys."""

    id: str
    state: str
    text: str


@dataclass(frozen=True)
class ResultsRequest:
    """Asks the owner for the results of a job from a position on (verb `results`).

    `hold_s` is the time in seconds that the owner may hold the request until there is a result.
    """

    start: int
    hold_s: float

    def as_json(self) -> Body:
        """The body of the request, without the job."""
        return {"start": self.start, "hold": self.hold_s}

    @classmethod
    def from_json(cls, body: Body) -> ResultsRequest:
        """Reads the body of a request."""
        return cls(body["start"], float(body.get("hold", 0.0)))


@dataclass(frozen=True)
class ResultsResponse:
    """Covered results from a position on; `total` is the number of the job's items, `next_start` where to go on."""

    total: int
    results: list[ResultRow]
    next_start: int

    def as_json(self) -> Body:
        """The body of the answer."""
        return {"total": self.total, "results": self.results, "next": self.next_start}

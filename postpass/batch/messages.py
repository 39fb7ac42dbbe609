"""The batch messages between edge, owner and scheduler, with their JSON codecs.

The JSON keys, and their order, are part of the protocol between releases. An *edge* takes jobs from clients, the *owner*
of a partition keeps them, and the active *scheduler* leases their items from the owners and runs them at workers.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypedDict

from postpass.rpc.peer_links import Body
from postpass.worker_api.openai import Prompt

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


@dataclass(frozen=True, slots=True)
class ItemKey:
    """Names an item: its job, and its position there."""

    job: str
    item: int


@dataclass(frozen=True)
class TakeRequest:
    """A scheduler asks an owner for items, and renews the leases of those it holds (verb `take`).

    `wanted` is the number of further items by class; `held` the items that the scheduler has from this owner. An owner
    serves the highest (`term`, `scheduler`) that it has heard of.
    """

    scheduler: str
    term: int
    wanted: dict[str, int]
    held: list[ItemKey]

    def as_json(self) -> Body:
        """The body of the request, without the partition."""
        return {
            "sched": self.scheduler,
            "term": self.term,
            "room": self.wanted,
            "held": [[key.job, key.item] for key in self.held],
        }


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
    prompt: Prompt
    request: Item | None = None
    tries: int = 0
    since: int = 0

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
    """An owner's answer to `take`: the items it leases, and the jobs whose held items are to be stopped."""

    items: list[ItemGrant] = field(default_factory=list)
    stopped_jobs: list[str] = field(default_factory=list)

    @classmethod
    def from_json(cls, body: Body) -> TakeResponse:
        """Reads the answer; passes over the counts of waiting items, which no scheduler of this release uses."""
        return cls([ItemGrant.from_json(row) for row in body["items"]], body["stop"])


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

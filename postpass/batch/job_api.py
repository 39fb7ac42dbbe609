"""The edge's side of jobs that come by a route: checking what clients send, and asking the owners of partitions."""

from __future__ import annotations

import base64
import binascii
import json
import re
from dataclasses import dataclass
from typing import Any, NamedTuple, TypedDict

from result import Err, Result

from postpass.batch.messages import Item, ResultsRequest
from postpass.configuration.configuration import Route, partition_of
from postpass.configuration.schema import known_fields, validation_errors
from postpass.gateway.gateway import Gateway
from postpass.gateway.request_bodies import IDENTIFIER
from postpass.rpc.codec import Body
from postpass.runtime.environment import now
from postpass.runtime.errors import CLASH, CROWD, FULL, LACK, REJECTED, Fault

MAX_ITEMS = 200
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
MIN_PATIENCE_S = 2.5  # seconds that a client waits at the least for an answer about a job
SHOWN_OF_A_NAME = 40  # characters of a header's name that a flaw shows


class Items(TypedDict):
    """The body of a job, by its JSON keys."""

    items: list[Item]


def known_body(raw: Any) -> Any:
    """A job's body as a client sent it, without what this release doesn't read, at any depth."""
    return known_fields(Items, raw)


class JobAnswer(NamedTuple):
    """The HTTP status and the body of an answer to a client."""

    status: int
    body: Body


def job_flaw(body: Any, most: int = MAX_ITEMS) -> str:
    """The first flaw of a job's `known_body`, with its path; empty if there is none. It has `most` items at the most."""
    found = validation_errors(Items, body)
    if found:
        return found[0]
    items = body["items"]
    if not 1 <= len(items) <= most:
        return f"items: want 1 to {most}, got {len(items)}"
    seen: set[str] = set()
    for i, item in enumerate(items):
        flaw = item_flaw(item, seen)
        if flaw:
            return f"items[{i}].{flaw}"
        seen.add(item["id"])
    return ""


def ordered_keys(item: Item) -> Item:
    """An item with its keys in the order in which jobs are kept on disk."""
    return {
        "id": item["id"],
        "path": item["path"],
        "headers": item["headers"],
        "body": item["body"],
        "tokens": item["tokens"],
    }


def item_flaw(item: Item, other_ids: set[str]) -> str:
    """The first flaw of an item, with its path there; empty if there is none."""
    if not IDENTIFIER.fullmatch(item["id"]) or item["id"] in other_ids:
        return "id: want an id of its own of 1 to 80 of A-Z a-z 0-9 . _ -"
    path = item["path"]
    if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
        return "path: want a path of ASCII that begins with /"
    for name, value in item["headers"].items():
        if not HEADER_NAME.fullmatch(name) or not HEADER_VALUE.fullmatch(value):
            return f"headers.{name[:SHOWN_OF_A_NAME]!r}: want a name and a value of one line"
    if item["tokens"] < 0:
        return f"tokens: want 0 or more, got {item['tokens']}"
    try:
        base64.b64decode(item["body"], validate=True)
    except (binascii.Error, ValueError):
        return "body: want base64"
    return ""


@dataclass(eq=False)
class JobApi:
    """Answers the clients of an edge about jobs.

    Invariant: an answer that promises that nothing runs is given only if no try of this request at an owner was left
    without an answer.
    """

    edge: Gateway

    def patience(self) -> float:
        """Seconds that an owner is waited for."""
        return min(MIN_PATIENCE_S, self.edge.settings.bounds.recover / 4)

    async def accept(self, name: str, route: Route, job_id: str, data: bytes, tenant: str = "") -> JobAnswer:
        """Hands a job of a tenant in to its owner, under the route of that name; `data` is what the client sent.

        Statuses: 202, 400, 409, 413, 429, 503, or 504, which promises nothing.
        """
        edge = self.edge
        if edge.unready() is not None or edge.leaving:
            return JobAnswer(503, {"error": "this edge takes none now"})
        if not IDENTIFIER.fullmatch(job_id):
            return JobAnswer(400, {"error": "id: want 1 to 80 of A-Z a-z 0-9 . _ -"})
        try:
            body = known_body(json.loads(data))
        except (ValueError, RecursionError) as bad:
            return JobAnswer(400, {"error": f"(top): not JSON: {bad}"})
        flaw = job_flaw(body)
        if flaw:
            return JobAnswer(400, {"error": flaw})
        job = self.job_body(name, route, job_id, body["items"], tenant)
        partition = partition_of(job_id, edge.configuration["parts"])
        patience = min(self.patience(), route["timeout"])
        answer = await edge.owners.ask(partition, "accept", {"lot": job}, now() + patience)
        if isinstance(answer, Err):
            return self.not_accepted(job_id, answer.unwrap_err())
        edge.jobs_total.labels("kept").inc()
        edge.remember_job(job_id)
        return JobAnswer(202, {"id": job_id})

    def job_body(self, name: str, route: Route, job_id: str, items: list[Item], tenant: str) -> Body:
        """A job by its keys on disk, but for the bodies of items, which an owner keeps beside it."""
        came = self.edge.environment.wall()
        client = {"caller": tenant} if tenant else {}
        return client | {
            "id": job_id,
            "route": name,
            "items": [ordered_keys(item) for item in items],
            "due": round(came + route["due"], 3),
            "expire": route["expire"],
            "tries": route["tries"],
            "since": self.edge.configuration_view.revision,
        }

    def not_accepted(self, job_id: str, fault: Fault) -> JobAnswer:
        """The answer for a job that an owner did not accept, as far as is known."""
        counter = self.edge.jobs_total
        if fault.code == CLASH:
            return JobAnswer(409, {"error": fault.why})
        if (fault.code in (CROWD, REJECTED, FULL) and not fault.unsure) or fault.unsent:
            counter.labels("shed").inc()
            if fault.code == CROWD:
                return JobAnswer(429, {"error": fault.why})
            self.edge.note_unkept(job_id, fault, 503)
            return JobAnswer(503, {"error": fault.why})
        counter.labels("unknown").inc()
        self.edge.note_unkept(job_id, fault, 504)
        return JobAnswer(504, {"error": fault.why})

    async def ask(self, job_id: str, verb: str, body: Body, wait: float, tenant: str) -> Result[Body, int]:
        """The owner's answer within `wait` seconds; else the status 404 if the tenant surely has no such job, or 503."""
        edge = self.edge
        if edge.unready() is not None:
            return Err(503)
        if not IDENTIFIER.fullmatch(job_id):
            return Err(404)
        partition = partition_of(job_id, edge.configuration["parts"])
        client = {"caller": tenant} if tenant else {}
        answer = await edge.owners.ask(partition, verb, body | {"id": job_id} | client, now() + wait)
        return answer.map_err(lambda fault: 404 if fault.code == LACK else 503)

    async def results(self, job_id: str, start: int, hold: float, tenant: str = "") -> Result[Body, int]:
        """A page of results from a position on, held for `hold` seconds at the longest until there is one."""
        hold = min(hold, self.edge.settings.bounds.detect)  # well within what one question to an owner may take
        question = ResultsRequest(start, hold).as_json()
        return await self.ask(job_id, "results", question, hold + self.patience() / 2, tenant)

    async def item(self, job_id: str, item: str, tenant: str = "") -> Result[bytes, int]:
        """The body of an item that has no result yet."""
        answer = await self.ask(job_id, "item", {"item": item}, self.patience(), tenant)
        return answer.map(lambda body: base64.b64decode(body["body"]))

    async def finish(self, job_id: str, tenant: str = "") -> Result[Body, int]:
        """Ends a job: what has no result then is not run any more."""
        return await self.ask(job_id, "finish", {}, self.patience(), tenant)

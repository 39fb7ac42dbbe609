"""The edge's side of jobs that come by a route: validates what clients send, and forwards it to partitions' owners."""

from __future__ import annotations

import asyncio
import base64
import binascii
import re
from contextlib import AsyncExitStack
from dataclasses import dataclass
from fractions import Fraction
from typing import Any, NamedTuple, TypedDict

from result import Err, Result

from postpass.batch.messages import Item, ResultsRequest
from postpass.configuration.configuration import Route, partition_of
from postpass.configuration.json_documents import parse_json
from postpass.configuration.schema import known_fields, validation_errors
from postpass.gateway.gateway import Gateway
from postpass.gateway.request_bodies import IDENTIFIER
from postpass.rpc.codec import Body
from postpass.runtime.byte_semaphore import ByteSemaphore
from postpass.runtime.environment import now
from postpass.runtime.errors import CONFLICT, NO_SPACE, NOT_FOUND, REJECTED, TOO_MANY_REQUESTS, Fault

MAX_ITEMS = 200
LARGE_JOB_BYTES = 64 << 10
LARGE_JOB_SHARE = Fraction(1, 24)  # of the memory of the process, for large jobs that are handled at once
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
MIN_CLIENT_PATIENCE_S = 2.5  # seconds that every client waits, at the least, for a response about a job
SHOWN_NAME_LENGTH = 40  # characters of a header's name that an error shows


class Items(TypedDict):
    """The body of a job, by its JSON keys."""

    items: list[Item]


def drop_unknown_fields(raw: Any) -> Any:
    """Returns a job's body without the fields that this release doesn't read, at any depth."""
    return known_fields(Items, raw)


class JobAnswer(NamedTuple):
    """The HTTP status and the body of a response to a client."""

    status: int
    body: Body


def find_job_error(body: Any, max_items: int = MAX_ITEMS) -> str:
    """Returns the first error in the body that `drop_unknown_fields` left, with its path; empty if there is none."""
    errors = validation_errors(Items, body)
    if errors:
        return errors[0]
    items = body["items"]
    if not 1 <= len(items) <= max_items:
        return f"items: want 1 to {max_items}, got {len(items)}"
    previous_ids: set[str] = set()
    for i, item in enumerate(items):
        validation_error = find_item_error(item, previous_ids)
        if validation_error:
            return f"items[{i}].{validation_error}"
        previous_ids.add(item["id"])
    return ""


def ordered_keys(item: Item) -> Item:
    """Returns an item with its keys in the order in which jobs are stored on disk."""
    return {
        "id": item["id"],
        "path": item["path"],
        "headers": item["headers"],
        "body": item["body"],
        "tokens": item["tokens"],
    }


def find_item_error(item: Item, other_ids: set[str]) -> str:
    """Returns the first error in an item, with its path there; empty if there is none."""
    if not IDENTIFIER.fullmatch(item["id"]) or item["id"] in other_ids:
        return "id: want an id of its own of 1 to 80 of A-Z a-z 0-9 . _ -"
    path = item["path"]
    if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
        return "path: want a path of ASCII that begins with /"
    for name, value in item["headers"].items():
        if not HEADER_NAME.fullmatch(name) or not HEADER_VALUE.fullmatch(value):
            return f"headers.{name[:SHOWN_NAME_LENGTH]!r}: want a name and a value of one line"
    if item["tokens"] < 0:
        return f"tokens: want 0 or more, got {item['tokens']}"
    try:
        base64.b64decode(item["body"], validate=True)
    except (binascii.Error, ValueError):
        return "body: want base64"
    return ""


@dataclass(eq=False)
class JobApi:
    """Handles the requests of an edge's clients about jobs.

    A large job takes several times its size while it is handled, so that only a few are handled at once (`large_jobs`).

    Invariant: a response that promises that nothing runs is given only if no attempt of this request at an owner went
    without a response.
    """

    edge: Gateway

    def __post_init__(self) -> None:
        memory_bytes = self.edge.settings.memory_bytes
        self.large_jobs = ByteSemaphore(max(LARGE_JOB_BYTES, int(memory_bytes * LARGE_JOB_SHARE)))

    def owner_timeout(self) -> float:
        """Returns the seconds to wait for an owner, so that the client still gets its response in time."""
        return min(MIN_CLIENT_PATIENCE_S, self.edge.settings.bounds.recover / 4)

    async def accept(self, name: str, route: Route, job_id: str, data: bytes, tenant: str = "") -> JobAnswer:
        """Submits a tenant's job to its partition's owner, under the route `name`; `data` is the client's body.

        Statuses are 202, 400, 409, 413, 429, 503, and 504, which leaves open whether the job was accepted.
        """
        edge = self.edge
        if edge.not_ready_response() is not None or edge.leaving:
            return JobAnswer(503, {"error": "this edge takes none now"})
        if not IDENTIFIER.fullmatch(job_id):
            return JobAnswer(400, {"error": "id: want 1 to 80 of A-Z a-z 0-9 . _ -"})
        deadline = now() + min(self.owner_timeout(), route["timeout"])
        if len(data) <= LARGE_JOB_BYTES:
            return await self._accept_body(name, route, job_id, data, tenant, deadline)
        async with AsyncExitStack() as memory:
            try:
                async with asyncio.timeout_at(deadline):
                    await memory.enter_async_context(self.large_jobs.taken(len(data)))
            except TimeoutError:
                return JobAnswer(503, {"error": "too many large lots at once"})
            return await self._accept_body(name, route, job_id, data, tenant, deadline)

    async def _accept_body(
        self, name: str, route: Route, job_id: str, data: bytes, tenant: str, deadline: float
    ) -> JobAnswer:
        """Validates a job, and submits it to its partition's owner until the deadline; see `accept`."""
        edge = self.edge
        parsed = parse_json(data)
        if isinstance(parsed, Err):
            return JobAnswer(400, {"error": parsed.unwrap_err()})
        body = drop_unknown_fields(parsed.unwrap())
        validation_error = find_job_error(body)
        if validation_error:
            return JobAnswer(400, {"error": validation_error})
        job = self.job_body(name, route, job_id, body["items"], tenant)
        partition = partition_of(job_id, edge.configuration["parts"])
        answer = await edge.owners.request(partition, "accept", {"lot": job}, deadline)
        if isinstance(answer, Err):
            return self.not_accepted(job_id, answer.unwrap_err())
        edge.jobs_total.labels("kept").inc()
        edge.record_accepted_job(job_id)
        return JobAnswer(202, {"id": job_id})

    def job_body(self, name: str, route: Route, job_id: str, items: list[Item], tenant: str) -> Body:
        """Returns a job by its keys on disk; the owner stores the bodies of its items separately."""
        received_at = self.edge.environment.wall()
        client = {"caller": tenant} if tenant else {}
        return client | {
            "id": job_id,
            "route": name,
            "items": [ordered_keys(item) for item in items],
            "due": round(received_at + route["due"], 3),
            "expire": route["expire"],
            "tries": route["tries"],
            "since": self.edge.configuration_view.revision,
        }

    def not_accepted(self, job_id: str, fault: Fault) -> JobAnswer:
        """Returns the response for a job that, as far as is known, an owner did not accept."""
        jobs_total = self.edge.jobs_total
        if fault.code == CONFLICT:
            return JobAnswer(409, {"error": fault.why})
        if (fault.code in (TOO_MANY_REQUESTS, REJECTED, NO_SPACE) and not fault.unsure) or fault.unsent:
            jobs_total.labels("shed").inc()
            if fault.code == TOO_MANY_REQUESTS:
                return JobAnswer(429, {"error": fault.why})
            self.edge.record_unacknowledged_job(job_id, fault, 503)
            return JobAnswer(503, {"error": fault.why})
        jobs_total.labels("unknown").inc()
        self.edge.record_unacknowledged_job(job_id, fault, 504)
        return JobAnswer(504, {"error": fault.why})

    async def ask(self, job_id: str, verb: str, body: Body, wait: float, tenant: str) -> Result[Body, int]:
        """Returns the owner's response within `wait` seconds.

        Otherwise returns a status: 404 if it is certain that the tenant has no such job, else 503.
        """
        edge = self.edge
        if edge.not_ready_response() is not None:
            return Err(503)
        if not IDENTIFIER.fullmatch(job_id):
            return Err(404)
        partition = partition_of(job_id, edge.configuration["parts"])
        client = {"caller": tenant} if tenant else {}
        answer = await edge.owners.request(partition, verb, body | {"id": job_id} | client, now() + wait)
        return answer.map_err(lambda fault: 404 if fault.code == NOT_FOUND else 503)

    async def results(self, job_id: str, start: int, hold: float, tenant: str = "") -> Result[Body, int]:
        """Returns a page of results from a position on; the owner waits at most `hold` seconds until there is one."""
        hold = min(
            hold, self.edge.settings.bounds.detection_time
        )  # well within the time limit of one request to an owner
        request = ResultsRequest(start, hold).as_json()
        return await self.ask(job_id, "results", request, hold + self.owner_timeout() / 2, tenant)

    async def item(self, job_id: str, item: str, tenant: str = "") -> Result[bytes, int]:
        """Returns the body of an item that has no result yet, or a status."""
        answer = await self.ask(job_id, "item", {"item": item}, self.owner_timeout(), tenant)
        return answer.map(lambda body: base64.b64decode(body["body"]))

    async def finish(self, job_id: str, tenant: str = "") -> Result[Body, int]:
        """Ends a job: items that have no result by then are not run any more."""
        return await self.ask(job_id, "finish", {}, self.owner_timeout(), tenant)

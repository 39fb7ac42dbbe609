"""HTTP routes of jobs: an edge validates clients' requests and forwards them to the owner of the job's partition."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err, Ok
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from postpass.gateway.edge_state import EdgeState
from postpass.gateway.http_errors import EVACUATED, LEAVING, fault_response
from postpass.gateway.request_bodies import IDENTIFIER, IDENTIFIER_RULE, JobRequestBody, client_name_of, read_json
from postpass.rpc.codec import Body
from postpass.runtime.environment import now
from postpass.runtime.errors import (
    CONFLICT,
    NO_SPACE,
    NOT_FOUND,
    PEER_FAILED,
    REJECTED,
    TIMED_OUT,
    TOO_MANY_REQUESTS,
    Fault,
)

MAX_PAGE_RESULTS = 500  # the most results on one page
# Codes of owners' faults that prove that a job was not accepted; they are HTTP statuses as well.
REJECTION_CODES = (REJECTED, NO_SPACE, TOO_MANY_REQUESTS)
STATUS_BY_CODE = {NOT_FOUND: 404, REJECTED: 410, TIMED_OUT: 504, PEER_FAILED: 502}
STATE_BY_STATUS = {410: "shed", 504: "unknown"}


@dataclass(eq=False)
class JobRoutes:
    """The handlers of `/v1/lots`.

    Invariant: a client is told that a job is stored, or that it certainly is not stored, only if the job's owner says
    so.
    """

    edge: EdgeState

    def _not_served_response(self) -> Response | None:
        """Returns the error response if these handlers don't serve jobs, or don't serve them yet; None if they do.

        To these handlers clients give their own names, unchecked. If the configuration has tenants, a job belongs to
        the tenant whose key the client presents, and only the handlers of configured routes ask for keys.
        """
        edge = self.edge
        if (not_ready := edge.not_ready_response()) is not None:
            return not_ready
        if "tenants" in edge.configuration:
            return fault_response(Fault("find page", edge.settings.name, "no such page; jobs go by routes here"), 404)
        return None

    async def submit(self, request: Request) -> Response:
        """Handles POST /v1/lots, a new job.

        The status is 201 if the job is stored, 409, 429, 503 or 507 if it certainly is not, and 504 if that is unknown.
        """
        edge = self.edge
        if (refusal := self._not_served_response()) is not None:
            return refusal
        parse_result = await read_json(
            request, JobRequestBody, edge.configuration_view.limit("body_bytes"), edge.settings.name
        )
        if isinstance(parse_result, Err):
            return parse_result.unwrap_err()
        body = parse_result.unwrap()
        request_class = edge.find_class(body["class"], "batch")
        if isinstance(request_class, Err):
            return request_class.unwrap_err()
        validation_error = self._validation_error(body)
        if validation_error:
            return fault_response(Fault("read body", edge.settings.name, validation_error), 400)
        if edge.leaving or edge.configuration_view.evacuated(edge.settings.name):
            why = LEAVING if edge.leaving else EVACUATED
            return fault_response(Fault("let in", edge.settings.name, why, hint="another edge"), 503)
        client_chose_id = "id" in body
        job = self._build_job(body, client_name_of(request))
        deadline = now() + edge.settings.bounds.recover
        partition = edge.partition_for(job["id"])
        result = await edge.owners.request(partition, "submit", {"lot": job, "again": client_chose_id}, deadline)
        if isinstance(result, Ok):
            edge.jobs_total.labels("kept").inc()
            edge.record_accepted_job(job["id"])
            return JSONResponse(result.unwrap(), 201)
        return self._not_acknowledged_response(result.unwrap_err(), job["id"], client_chose_id)

    def _build_job(self, body: Any, client: str) -> Body:
        """Returns the job in the form that its owner accepts, with a random id if the client gave none."""
        edge = self.edge
        job: Body = {
            "id": body["id"] if "id" in body else f"lot-{edge.environment.chance.getrandbits(64):016x}",
            "class": body["class"], "items": body["items"], "shared": body.get("shared", []), "caller": client,
            "due": body.get("due"), "within": body.get("within"),
        }  # fmt: skip
        # A relative due time is made absolute only once, here, and the job's digest leaves it out, so that it is safe
        # to send the job again.
        if job["due"] is None:
            job["due"] = round(edge.environment.wall() + body["within"], 3)
        job["said"] = [body.get("due"), body.get("within")]
        return job

    def _validation_error(self, body: Any) -> str:
        """Returns what is wrong with a body whose fields have the right types; empty if it is valid."""
        limit, wall = self.edge.configuration_view.limit, self.edge.environment.wall()
        items = body["items"]
        if "id" in body and not IDENTIFIER.fullmatch(body["id"]):
            return f"id: {IDENTIFIER_RULE}"
        if not items:
            return "items: want at least one"
        if len(items) > limit("lot_items"):
            return f"items: at most {limit('lot_items')}, got {len(items)}"
        oversized_position = next((i for i, text in enumerate(items) if len(text.encode()) > limit("item_bytes")), None)
        if oversized_position is not None:
            return f"items[{oversized_position}]: at most {limit('item_bytes')} bytes"
        if sum(len(text.encode()) for text in items + body.get("shared", [])) > limit("lot_bytes"):
            return f"items: at most {limit('lot_bytes')} bytes in all"
        if ("due" in body) == ("within" in body):
            return "due: want either due (a time) or within (seconds)"
        if body.get("due", wall + 1) <= wall or body.get("within", 1) <= 0:
            return "due: is in the past"
        return ""

    def _not_acknowledged_response(self, fault: Fault, job_id: str, client_chose_id: bool) -> Response:
        """Returns the response for a job that its owner did not acknowledge.

        `client_chose_id`: the job's id was given by the client, not drawn here.
        """
        jobs_total = self.edge.jobs_total
        if fault.code == CONFLICT:
            jobs_total.labels("clash").inc()
            return fault_response(fault, 409, id=job_id)
        # If the client chose the id, an earlier submission of the job may have been stored: that nothing was sent this
        # time doesn't prove that it wasn't.
        if fault.code in REJECTION_CODES or (fault.unsent and not client_chose_id):
            jobs_total.labels("shed").inc()
            if fault.code != TOO_MANY_REQUESTS:
                self.edge.record_unacknowledged_job(job_id, fault, fault.code if fault.code in REJECTION_CODES else 503)
            return fault_response(fault, fault.code if fault.code in REJECTION_CODES else 503, id=job_id, state="shed")
        jobs_total.labels("unknown").inc()
        self.edge.record_unacknowledged_job(job_id, fault, 504)
        return fault_response(fault, 504, id=job_id, state="unknown", ask=f"/v1/lots/{job_id}")

    async def show_or_end(self, request: Request) -> Response:
        """Handles GET /v1/lots/ID, which returns the job's state, and DELETE, which ends the job."""
        return await self._request_owner(request, "finish" if request.method == "DELETE" else "show", {})

    async def results(self, request: Request) -> Response:
        """Handles GET /v1/lots/ID/results: returns a page of results, in the order in which they arrived."""
        try:
            start, max_results = (
                int(request.query_params.get("start", "0")),
                int(request.query_params.get("most", "100")),
            )
        except ValueError:
            start, max_results = -1, 0
        if start < 0 or not 1 <= max_results <= MAX_PAGE_RESULTS:
            why = f"start: want 0 or more; most: want 1 to {MAX_PAGE_RESULTS}"
            return fault_response(Fault("read query", self.edge.settings.name, why), 400)
        return await self._request_owner(request, "page", {"start": start, "most": max_results})

    async def _request_owner(self, request: Request, verb: str, body: Body) -> Response:
        """Sends a request about the job named in the path to its owner, and returns the response for the client."""
        edge = self.edge
        if (refusal := self._not_served_response()) is not None:
            return refusal
        job_id = request.path_params["lot"]
        if not IDENTIFIER.fullmatch(job_id):
            return fault_response(Fault("read path", edge.settings.name, f"id: {IDENTIFIER_RULE}"), 400)
        body = body | {"id": job_id, "caller": client_name_of(request)}
        deadline = now() + edge.settings.bounds.recover
        result = await edge.owners.request(edge.partition_for(job_id), verb, body, deadline)
        if isinstance(result, Ok):
            return JSONResponse(result.unwrap())
        fault = result.unwrap_err()
        status = STATUS_BY_CODE.get(fault.code, 502)
        if status in STATE_BY_STATUS:
            return fault_response(fault, status, id=job_id, state=STATE_BY_STATUS[status])
        return fault_response(fault, status, id=job_id)

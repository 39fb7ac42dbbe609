"""HTTP of jobs: an edge checks what clients send and passes it to the owner of the job's partition."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err, Ok
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from postpass.gateway.edge_state import EdgeState
from postpass.gateway.http_errors import EVACUATED, LEAVING, fault_response
from postpass.gateway.request_bodies import IDENTIFIER, IDENTIFIER_WANTED, JobRequestBody, client_of, read_json
from postpass.rpc.codec import Body
from postpass.runtime.environment import now
from postpass.runtime.errors import BROKE, CLASH, CROWD, FULL, LACK, REJECTED, SLOW, Fault

PAGE_ITEMS = 500  # results on one page at most
# Faults of owners that prove that a job was not taken; they are HTTP statuses as well.
REJECTIONS = (REJECTED, FULL, CROWD)
STATUS_BY_CODE = {LACK: 404, REJECTED: 410, SLOW: 504, BROKE: 502}
STATE_BY_STATUS = {410: "shed", 504: "unknown"}


@dataclass(eq=False)
class JobRoutes:
    """The handlers of `/v1/lots`. Invariant: a client is told that a job is kept, or surely not kept, only if
    its owner says so."""

    edge: EdgeState

    def _not_served(self) -> Response | None:
        """The answer where these pages serve nobody, or not yet; None if they do.

        Here clients name themselves. Where the configuration has tenants, jobs are theirs by their keys, which only
        the pages of routes ask for.
        """
        edge = self.edge
        if (lack := edge.unready()) is not None:
            return lack
        if "tenants" in edge.configuration:
            return fault_response(Fault("find page", edge.settings.name, "no such page; jobs go by routes here"), 404)
        return None

    async def submit(self, request: Request) -> Response:
        """POST /v1/lots: 201 if the job is kept; 409, 429, 503 or 507 if it surely isn't; 504 if that is unknown."""
        edge = self.edge
        if (refusal := self._not_served()) is not None:
            return refusal
        read = await read_json(request, JobRequestBody, edge.configuration_view.limit("body_bytes"), edge.settings.name)
        if isinstance(read, Err):
            return read.unwrap_err()
        body = read.unwrap()
        request_class = edge.find_class(body["class"], "batch")
        if isinstance(request_class, Err):
            return request_class.unwrap_err()
        flaw = self._flaw(body)
        if flaw:
            return fault_response(Fault("read body", edge.settings.name, flaw), 400)
        if edge.leaving or edge.configuration_view.evacuated(edge.settings.name):
            why = LEAVING if edge.leaving else EVACUATED
            return fault_response(Fault("let in", edge.settings.name, why, hint="another edge"), 503)
        named = "id" in body
        job = self._job(body, client_of(request))
        until = now() + edge.settings.bounds.recover
        partition = edge.to_partition(job["id"])
        answer = await edge.owners.ask(partition, "submit", {"lot": job, "again": named}, until)
        if isinstance(answer, Ok):
            edge.jobs_total.labels("kept").inc()
            edge.remember_job(job["id"])
            return JSONResponse(answer.unwrap(), 201)
        return self._not_kept(answer.unwrap_err(), job["id"], named)

    def _job(self, body: Any, client: str) -> Body:
        """The job as its owner takes it; draws an id if the client gave none."""
        edge = self.edge
        job: Body = {
            "id": body["id"] if "id" in body else f"lot-{edge.environment.chance.getrandbits(64):016x}",
            "class": body["class"], "items": body["items"], "shared": body.get("shared", []), "caller": client,
            "due": body.get("due"), "within": body.get("within"),
        }  # fmt: skip
        # A relative due time is made absolute once, and the digest leaves it out, so that sending again is safe.
        if job["due"] is None:
            job["due"] = round(edge.environment.wall() + body["within"], 3)
        job["said"] = [body.get("due"), body.get("within")]
        return job

    def _flaw(self, body: Any) -> str:
        """What is wrong with a body whose fields have the right types; empty if nothing is."""
        limit, wall = self.edge.configuration_view.limit, self.edge.environment.wall()
        items = body["items"]
        if "id" in body and not IDENTIFIER.fullmatch(body["id"]):
            return f"id: {IDENTIFIER_WANTED}"
        if not items:
            return "items: want at least one"
        if len(items) > limit("lot_items"):
            return f"items: at most {limit('lot_items')}, got {len(items)}"
        too_long = next((i for i, text in enumerate(items) if len(text.encode()) > limit("item_bytes")), None)
        if too_long is not None:
            return f"items[{too_long}]: at most {limit('item_bytes')} bytes"
        if sum(len(text.encode()) for text in items + body.get("shared", [])) > limit("lot_bytes"):
            return f"items: at most {limit('lot_bytes')} bytes in all"
        if ("due" in body) == ("within" in body):
            return "due: want either due (a time) or within (seconds)"
        if body.get("due", wall + 1) <= wall or body.get("within", 1) <= 0:
            return "due: is in the past"
        return ""

    def _not_kept(self, fault: Fault, job_id: str, named: bool) -> Response:
        """The answer where the owner didn't say that it keeps the job. `named`: the id is the client's own."""
        jobs_total = self.edge.jobs_total
        if fault.code == CLASH:
            jobs_total.labels("clash").inc()
            return fault_response(fault, 409, id=job_id)
        # With an id of the client's an earlier try may stand, so that nothing sent now proves nothing.
        if fault.code in REJECTIONS or (fault.unsent and not named):
            jobs_total.labels("shed").inc()
            if fault.code != CROWD:
                self.edge.note_unkept(job_id, fault, fault.code if fault.code in REJECTIONS else 503)
            return fault_response(fault, fault.code if fault.code in REJECTIONS else 503, id=job_id, state="shed")
        jobs_total.labels("unknown").inc()
        self.edge.note_unkept(job_id, fault, 504)
        return fault_response(fault, 504, id=job_id, state="unknown", ask=f"/v1/lots/{job_id}")

    async def show_or_end(self, request: Request) -> Response:
        """GET /v1/lots/ID: the job's state. DELETE: the job is ended."""
        return await self._ask_owner(request, "finish" if request.method == "DELETE" else "show", {})

    async def results(self, request: Request) -> Response:
        """GET /v1/lots/ID/results: a page of results, in the order in which they came."""
        try:
            start, most = int(request.query_params.get("start", "0")), int(request.query_params.get("most", "100"))
        except ValueError:
            start, most = -1, 0
        if start < 0 or not 1 <= most <= PAGE_ITEMS:
            why = f"start: want 0 or more; most: want 1 to {PAGE_ITEMS}"
            return fault_response(Fault("read query", self.edge.settings.name, why), 400)
        return await self._ask_owner(request, "page", {"start": start, "most": most})

    async def _ask_owner(self, request: Request, verb: str, body: Body) -> Response:
        edge = self.edge
        if (refusal := self._not_served()) is not None:
            return refusal
        job_id = request.path_params["lot"]
        if not IDENTIFIER.fullmatch(job_id):
            return fault_response(Fault("read path", edge.settings.name, f"id: {IDENTIFIER_WANTED}"), 400)
        body = body | {"id": job_id, "caller": client_of(request)}
        until = now() + edge.settings.bounds.recover
        answer = await edge.owners.ask(edge.to_partition(job_id), verb, body, until)
        if isinstance(answer, Ok):
            return JSONResponse(answer.unwrap())
        fault = answer.unwrap_err()
        status = STATUS_BY_CODE.get(fault.code, 502)
        if status in STATE_BY_STATUS:
            return fault_response(fault, status, id=job_id, state=STATE_BY_STATUS[status])
        return fault_response(fault, status, id=job_id)

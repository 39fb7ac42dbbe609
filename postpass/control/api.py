"""The interfaces of a control member: the verbs that its peers send, and HTTP for operators."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from result import Err
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from postpass.configuration.configuration import MAX_CONFIGURATION_BYTES
from postpass.configuration.json_documents import parse_json
from postpass.control.if_match import version_in
from postpass.control.member import INFINITY
from postpass.control.order_messages import ApplyRequest, OrderAnswer
from postpass.control.orders import Orders
from postpass.control.read_messages import ConfigurationAnswer, ReadRequest
from postpass.daemon.process import Task
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import (
    BAD_REQUEST,
    CHANGE_FAILED,
    CONFLICT,
    NOT_RESPONSIBLE,
    PEER_FAILED,
    PRECONDITION_FAILED,
    REJECTED,
    TIMED_OUT,
    Fault,
)

HTTP_STATUS_BY_FAULT = {
    BAD_REQUEST: 400,
    PRECONDITION_FAILED: 412,
    NOT_RESPONSIBLE: 503,
    TIMED_OUT: 503,
    REJECTED: 503,
    CONFLICT: 409,
    CHANGE_FAILED: 500,
    PEER_FAILED: 502,
}  # by the code of a fault; 503 for any code that is missing here


class AsciiJsonResponse(JSONResponse):
    """A response with JSON in ASCII.

    Earlier releases accepted texts with half of a surrogate pair, and NaN. What they stored is read back as it was sent.
    """

    def render(self, content: Any) -> bytes:
        """Returns the body; characters outside ASCII are escaped."""
        return json.dumps(content, separators=(",", ":")).encode()


def entity_tag(revision: int) -> dict[str, str]:
    """Returns the header that names a revision, which clients send back as `If-Match`."""
    return {"etag": f'"{revision}"'}


def rejection_response(status: int, fault: Fault) -> Response:
    """Returns the response to a request that this member refuses without asking the primary."""
    return JSONResponse({"error": fault.as_json()}, status)


def failure_response(fault: Fault) -> Response:
    """Returns the response to a request that the primary refused, or that did not reach the primary."""
    status = HTTP_STATUS_BY_FAULT.get(fault.code, 503)
    body: Body = {"error": fault.as_json()}
    if fault.code == BAD_REQUEST:
        body["flaws"] = fault.why.split("\n")
    headers = {}
    if fault.code == PRECONDITION_FAILED:
        headers = {"etag": f'"{fault.hint}"'}
    elif status == 503:
        headers = {"retry-after": "1"}
    return JSONResponse(body, status, headers=headers)


class Api(Orders):
    """Connects the verbs, HTTP routes and tasks of a control member to the methods of its base classes.

    Owns no state. Decides the HTTP status of a fault, and which verbs every member accepts and forwards to the primary.
    """

    def handlers(self) -> dict[str, Any]:
        """Returns the handler of each verb that peers send."""
        return {"look": self.on_look, "grant": self.on_grant, "copy": self.on_copy, "apply": self.on_apply,
                "read": self.on_read, "adopt": self.on_adopt, "hear": self.on_hear,
                "join": self.forward_handler("join"), "beat": self.forward_handler("beat"), "order": self.forward_handler("order")}  # fmt: skip

    def forward_handler(self, verb: str) -> Callable[[Body], Any]:
        """Returns the handler of a verb that every control member accepts and the primary carries out."""

        async def handle(body: Body) -> PeerResponse:
            # Another member has forwarded this request already, so it is not forwarded once more.
            if body.get("passed"):
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.forward(verb, body, self.settings.bounds.manifest / 4)

        return handle

    def http_routes(self) -> list[Any]:
        """Returns the HTTP routes for operators."""
        return [Route("/v1/manifest", self.http_configuration, methods=["GET", "PUT"])]

    def tasks(self) -> list[Task]:
        """Returns the tasks that run until the process ends."""
        return [
            self.tick(),
            self.lead_after_restart(),
            self.compact_journal(),
            self.pause_detector.run(),
            *([self.found_fleet(), self.write(), self.report()] if self.settings.announce else []),
        ]

    async def http_configuration(self, request: Request) -> Response:
        """Returns the configuration in force, or replaces it by one that was made from it."""
        if request.method == "GET":
            return await self.http_read()
        return await self.http_apply(request)

    async def http_read(self) -> Response:
        """Returns the configuration in force, confirmed by the primary, with its revision as the entity tag."""
        response = await self.forward("read", ReadRequest().as_json())
        if isinstance(response, Err):
            return failure_response(response.unwrap_err())
        answer = ConfigurationAnswer.from_json(response.unwrap())
        if answer.configuration is None:
            return rejection_response(404, Fault("read", self.settings.name, "no manifest yet"))
        return AsciiJsonResponse(answer.configuration, headers=entity_tag(answer.revision))

    async def http_apply(self, request: Request) -> Response:
        """Applies a configuration; the status is 202 if some machines have not confirmed in time that they run it."""
        me = self.settings.name
        base_revision = version_in(request.headers.get("if-match", ""))
        if base_revision is None:
            reason = 'If-Match: want the edition it was made from, as "N"; 0 for the first'
            return rejection_response(428, Fault("apply", me, reason))
        data = b""
        async for chunk in request.stream():
            data += chunk
            if len(data) > MAX_CONFIGURATION_BYTES:
                return rejection_response(413, Fault("apply", me, "more than 4 MiB"))
        parsed = parse_json(data)
        if isinstance(parsed, Err):
            return rejection_response(400, Fault("apply", me, parsed.unwrap_err()))
        response = await self.forward("apply", ApplyRequest(parsed.unwrap(), base_revision).as_json())
        if isinstance(response, Err):
            return failure_response(response.unwrap_err())
        answer = OrderAnswer.from_json(response.unwrap())
        unconfirmed_field = {"unconfirmed": answer.unconfirmed} if answer.unconfirmed else {}
        status = 202 if answer.unconfirmed else 200
        return JSONResponse(
            {"edition": answer.revision} | unconfirmed_field, status, headers=entity_tag(answer.revision)
        )

    async def duty_status_fields(self) -> Body:
        """Returns what a control member's status has beside the status that every daemon reports."""
        seconds_since_contact = round(now() - self.last_contact(), 3)
        return {
            "control": {
                "epoch": self.vote_record.replica_set.epoch, "promised": self.vote_record.promised, "primary": self.vote_record.replica_set.primary,
                "backup": self.vote_record.replica_set.backup, "backups": list(self.vote_record.replica_set.backups), "leads": self.epoch > 0, "disk": self.disk_id,
                "voters": self.vote_record.replica_set.voters, "losses": self.committed.state.losses, "bad": self.disk_failure,
                "committed": self.configuration_view.revision, "held": self.replicated_state.state.revision, "in_touch": self.in_touch(),
                "contact": seconds_since_contact if seconds_since_contact < INFINITY else None, "tolerate": self.settings.disks_lost,
                "backup_heard": round(now() - min(self.backup_heard.values(), default=now()), 3) if self.epoch else None,
            }
        }  # fmt: skip

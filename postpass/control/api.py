"""The interfaces of a control member: verbs of its peers, and HTTP for operators."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from result import Err
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from postpass.control.member import INFINITY
from postpass.control.order_messages import ApplyRequest, OrderAnswer
from postpass.control.orders import Orders
from postpass.control.read_messages import ConfigurationAnswer, ReadRequest
from postpass.daemon.process import Task
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, BROKE, CLASH, MOVED, OLD, REJECTED, SLOW, Fault

LONGEST_CONFIGURATION = 4 << 20  # bytes of a configuration that HTTP takes
STATUSES = {
    BAD: 400,
    OLD: 412,
    MOVED: 503,
    SLOW: 503,
    REJECTED: 503,
    CLASH: 409,
    BROKE: 502,
}  # of faults; any other is 503


def entity_tag(revision: int) -> dict[str, str]:
    """The header that tells a revision, to be sent back as `If-Match`."""
    return {"etag": f'"{revision}"'}


def refused(status: int, fault: Fault) -> Response:
    """A request that this member refuses by itself."""
    return JSONResponse({"error": fault.as_json()}, status)


def failed(fault: Fault) -> Response:
    """A request that the primary refused, or that did not reach it."""
    status = STATUSES.get(fault.code, 503)
    body: Body = {"error": fault.as_json()}
    if fault.code == BAD:
        body["flaws"] = fault.why.split("\n")
    headers = {}
    if fault.code == OLD:
        headers = {"etag": f'"{fault.hint}"'}
    elif status == 503:
        headers = {"retry-after": "1"}
    return JSONResponse(body, status, headers=headers)


class Api(Orders):
    """Wires verbs, HTTP routes and tasks to what the other classes of the chain do.

    Owns no state. Decides the HTTP status of a fault, and which verbs go to the primary whichever member takes them.
    """

    def handlers(self) -> dict[str, Any]:
        """The verbs of peers, with what answers them."""
        return {"look": self.on_look, "grant": self.on_grant, "copy": self.on_copy, "apply": self.on_apply,
                "read": self.on_read, "adopt": self.on_adopt, "hear": self.on_hear,
                "join": self.onward("join"), "beat": self.onward("beat"), "order": self.onward("order")}  # fmt: skip

    def onward(self, verb: str) -> Callable[[Body], Any]:
        """The handler of a verb that any control machine takes and the primary does."""

        async def handle(body: Body) -> PeerResponse:
            if body.get("passed"):
                return await getattr(self, f"on_{verb}")(body)  # type: ignore[no-any-return]
            return await self.forward(verb, body, self.settings.bounds.manifest / 4)

        return handle

    def http_routes(self) -> list[Any]:
        """The HTTP routes for operators."""
        return [Route("/v1/manifest", self.http_configuration, methods=["GET", "PUT"])]

    def tasks(self) -> list[Task]:
        """What runs for as long as the process does."""
        return [
            self.tick(),
            self.lead_after_restart(),
            self.compact_journal(),
            *([self.found_fleet(), self.write(), self.report()] if self.settings.announce else []),
        ]

    async def http_configuration(self, request: Request) -> Response:
        """Reads the configuration in force, or puts another in its place if it was made from that one."""
        if request.method == "GET":
            return await self.http_read()
        return await self.http_apply(request)

    async def http_read(self) -> Response:
        """The configuration in force, confirmed; its revision is the entity tag."""
        got = await self.forward("read", ReadRequest().as_json())
        if isinstance(got, Err):
            return failed(got.unwrap_err())
        answer = ConfigurationAnswer.from_json(got.unwrap())
        if answer.configuration is None:
            return refused(404, Fault("read", self.settings.name, "no manifest yet"))
        return JSONResponse(answer.configuration, headers=entity_tag(answer.revision))

    async def http_apply(self, request: Request) -> Response:
        """Takes a configuration; 202 where machines have not confirmed in time that they run it."""
        me = self.settings.name
        match = request.headers.get("if-match", "").strip().strip('"')
        if not match.lstrip("-").isdigit():
            why = 'If-Match: want the edition it was made from, as "N"; 0 for the first'
            return refused(428, Fault("apply", me, why))
        data = b""
        async for part in request.stream():
            data += part
            if len(data) > LONGEST_CONFIGURATION:
                return refused(413, Fault("apply", me, "more than 4 MiB"))
        try:
            raw = json.loads(data)
        except ValueError as bad:
            return refused(400, Fault("apply", me, f"not JSON: {bad}"))
        got = await self.forward("apply", ApplyRequest(raw, int(match)).as_json())
        if isinstance(got, Err):
            return failed(got.unwrap_err())
        answer = OrderAnswer.from_json(got.unwrap())
        more = {"unconfirmed": answer.unconfirmed} if answer.unconfirmed else {}
        status = 202 if answer.unconfirmed else 200
        return JSONResponse({"edition": answer.revision} | more, status, headers=entity_tag(answer.revision))

    async def more_status(self) -> Body:
        """What the status page tells of a control member beyond what each daemon tells."""
        contact = round(now() - self.last_contact(), 3)
        return {
            "control": {
                "epoch": self.vote_record.replica_set.epoch, "promised": self.vote_record.promised, "primary": self.vote_record.replica_set.primary,
                "backup": self.vote_record.replica_set.backup, "backups": list(self.vote_record.replica_set.backups), "leads": self.epoch > 0, "disk": self.disk_id,
                "voters": self.vote_record.replica_set.voters, "losses": self.committed.state.losses, "bad": self.disk_failure,
                "committed": self.configuration_view.revision, "held": self.replicated_state.state.revision, "in_touch": self.in_touch(),
                "contact": contact if contact < INFINITY else None, "tolerate": self.settings.disks_lost,
                "backup_heard": round(now() - min(self.backup_heard.values(), default=now()), 3) if self.epoch else None,
            }
        }  # fmt: skip

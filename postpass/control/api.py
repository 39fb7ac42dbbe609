"""The doors of a control member: verbs of its peers, and HTTP for operators."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from result import Ok
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from postpass.control.member import INFINITY
from postpass.control.orders import Orders
from postpass.daemon.process import Task
from postpass.rpc.codec import Body, PeerResponse
from postpass.runtime.environment import now
from postpass.runtime.errors import BAD, BROKE, CLASH, MOVED, OLD, SHED, SLOW, Fault


class Api(Orders):
    """Wires verbs, HTTP routes and tasks to what the other modules do."""

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
        return [Route("/v1/manifest", self.http_manifest, methods=["GET", "PUT"])]

    def tasks(self) -> list[Task]:
        """What runs for as long as the process does."""
        return [
            self.tick(),
            self.lead_after_restart(),
            self.compact_journal(),
            *([self.found_fleet(), self.write(), self.report()] if self.settings.announce else []),
        ]

    async def http_manifest(self, request: Request) -> Response:
        """Reads the manifest in force, or puts another in its place if it was made from that one."""
        if request.method == "GET":
            got = await self.forward("read", {})
            if isinstance(got, Ok) and got.unwrap()["manifest"] is None:
                return JSONResponse(
                    {"error": {"step": "read", "peer": self.settings.name, "why": "no manifest yet"}}, 404
                )
        else:
            match = request.headers.get("if-match", "").strip().strip('"')
            if not match.lstrip("-").isdigit():
                return JSONResponse(
                    {
                        "error": Fault(
                            "apply",
                            self.settings.name,
                            'If-Match: want the edition it was made from, as "N"; 0 for the first',
                        ).as_json()
                    },
                    428,
                )
            data = b""
            async for part in request.stream():
                data += part
                if len(data) > 4 << 20:
                    return JSONResponse({"error": Fault("apply", self.settings.name, "more than 4 MiB").as_json()}, 413)
            try:
                raw = json.loads(data)
            except ValueError as bad:
                return JSONResponse({"error": Fault("apply", self.settings.name, f"not JSON: {bad}").as_json()}, 400)
            got = await self.forward("apply", {"manifest": raw, "base": int(match)})
        if isinstance(got, Ok):
            body = got.unwrap()
            etag = {"etag": f'"{body["edition"]}"'}
            if request.method == "GET":
                return JSONResponse(body["manifest"], headers=etag)
            waits = body["waits"]
            more = {"unconfirmed": waits} if waits else {}
            return JSONResponse({"edition": body["edition"]} | more, 202 if waits else 200, headers=etag)
        flaw = got.unwrap_err()
        code = {BAD: 400, OLD: 412, MOVED: 503, SLOW: 503, SHED: 503, CLASH: 409}.get(
            flaw.code, 502 if flaw.code == BROKE else 503
        )
        body = {"error": flaw.as_json()}
        if flaw.code == BAD:
            body["flaws"] = flaw.why.split("\n")
        more = {"etag": f'"{flaw.hint}"'} if flaw.code == OLD else {"retry-after": "1"} if code == 503 else {}
        return JSONResponse(body, code, headers=more)

    async def more_status(self) -> Body:
        """What the status page tells of a control member beyond what each daemon tells."""
        contact = round(now() - self.last_contact(), 3)
        return {
            "control": {
                "epoch": self.witness.pair.epoch, "promised": self.witness.promised, "primary": self.witness.pair.primary,
                "backup": self.witness.pair.backup, "backups": list(self.witness.pair.backups), "leads": self.epoch > 0, "disk": self.disk_id,
                "voters": self.witness.pair.voters, "losses": self.committed.state.losses, "bad": self.bad,
                "committed": self.configuration_view.revision, "held": self.held.state.revision, "in_touch": self.in_touch(),
                "contact": contact if contact < INFINITY else None, "tolerate": self.settings.disks_lost,
                "backup_heard": round(now() - min(self.copied.values(), default=now()), 3) if self.epoch else None,
            }
        }  # fmt: skip

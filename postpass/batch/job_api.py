"""The edge's side of lots that come by a route."""

from __future__ import annotations

import base64
import binascii
import json
import re
from dataclasses import dataclass
from typing import Any, TypedDict

from result import Err, Ok, Result

from postpass.configuration.configuration import Route, part_of
from postpass.configuration.schema import flaws
from postpass.gateway.live_requests import NAME, Gateway
from postpass.rpc.codec import Body
from postpass.runtime.environment import now
from postpass.runtime.errors import CLASH, CROWD, FULL, LACK, SHED

ITEMS = 200
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
PATIENCE = 2.5  # seconds that a caller waits at the least for an answer about a lot


class Item(TypedDict):
    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class Items(TypedDict):
    items: list[Item]


def lot_flaw(raw: Any, most: int = ITEMS) -> str:
    """The first flaw of a lot's body, with its path; empty if there is none."""
    found = flaws(Items, raw)
    if found:
        return found[0]
    items = raw["items"]
    if not 1 <= len(items) <= most:
        return f"items: want 1 to {most}, got {len(items)}"
    seen: set[str] = set()
    for i, item in enumerate(items):
        if not NAME.fullmatch(item["id"]) or item["id"] in seen:
            return f"items[{i}].id: want an id of its own of 1 to 80 of A-Z a-z 0-9 . _ -"
        seen.add(item["id"])
        path = item["path"]
        if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
            return f"items[{i}].path: want a path of ASCII that begins with /"
        bad = [k for k, v in item["headers"].items() if not HEADER_NAME.fullmatch(k) or not HEADER_VALUE.fullmatch(v)]
        if bad:
            return f"items[{i}].headers.{bad[0][:40]!r}: want a name and a value of one line"
        if item["tokens"] < 0:
            return f"items[{i}].tokens: want 0 or more, got {item['tokens']}"
        try:
            base64.b64decode(item["body"], validate=True)
        except (binascii.Error, ValueError):
            return f"items[{i}].body: want base64"
    return ""


@dataclass(eq=False)
class JobApi:
    """Invariant: an answer that promises that nothing runs is given only if no try of this call at an owner was left
    without an answer."""

    edge: Gateway

    def patience(self) -> float:
        return min(PATIENCE, self.edge.settings.bounds.recover / 4)

    async def accept(self, name: str, route: Route, lot_id: str, data: bytes) -> tuple[int, Body]:
        """Status and body for the caller: 202, 400, 409, 413, 429, 503, or 504, which promises nothing."""
        edge = self.edge
        if edge.unready() is not None or edge.leaving:
            return 503, {"error": "this edge takes none now"}
        if not NAME.fullmatch(lot_id):
            return 400, {"error": "id: want 1 to 80 of A-Z a-z 0-9 . _ -"}
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as bad:
            return 400, {"error": f"(top): not JSON: {bad}"}
        flaw = lot_flaw(raw)
        if flaw:
            return 400, {"error": flaw}
        items = [{k: item[k] for k in Item.__annotations__} for item in raw["items"]]
        came = edge.environment.wall()
        lot: Body = {"id": lot_id, "route": name, "items": items, "due": round(came + route["due"], 3),
                     "expire": route["expire"], "tries": route["tries"], "since": edge.configuration_view.revision}  # fmt: skip
        got = await edge.to_owner(
            part_of(lot_id, edge.configuration["parts"]), "accept", {"lot": lot}, now() + self.patience()
        )
        if isinstance(got, Ok):
            edge.lots.labels("kept").inc()
            edge.kept.append((lot_id, now()))
            return 202, {"id": lot_id}
        no = got.unwrap_err()
        if no.code == CLASH:
            return 409, {"error": no.why}
        if (no.code in (CROWD, SHED, FULL) and not no.unsure) or no.unsent:
            edge.lots.labels("shed").inc()
            return (429 if no.code == CROWD else 503), {"error": no.why}
        edge.lots.labels("unknown").inc()
        return 504, {"error": no.why}

    async def ask(self, lot: str, verb: str, body: Body, wait: float) -> Result[Body, int]:
        """The owner's answer, or 404 if there surely is none, or 503."""
        edge = self.edge
        if edge.unready() is not None:
            return Err(503)
        if not NAME.fullmatch(lot):
            return Err(404)
        got = await edge.to_owner(part_of(lot, edge.configuration["parts"]), verb, body | {"id": lot}, now() + wait)
        return got.map_err(lambda bad: 404 if bad.code == LACK else 503)

    async def results(self, lot: str, start: int, hold: float) -> Result[Body, int]:
        hold = min(hold, self.edge.settings.bounds.detect)  # well within what one question to an owner may take
        return await self.ask(lot, "results", {"start": start, "hold": hold}, hold + self.patience() / 2)

    async def item(self, lot: str, item: str) -> Result[bytes, int]:
        got = await self.ask(lot, "item", {"item": item}, self.patience())
        return got.map(lambda body: base64.b64decode(body["body"]))

    async def finish(self, lot: str) -> Result[Body, int]:
        return await self.ask(lot, "finish", {}, self.patience())

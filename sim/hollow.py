"""What `bench.capacity` asks of an announced fleet in the platform's own words: lots handed in by one call, and routes whose
items may wait or run for long."""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import Any

from sim.announced import AnnouncedFleet
from sim.clients import Job, Kind
from sim.http1 import call


def patient(kind: Kind, slow: bool = False) -> Kind:
    """A kind of lots whose items may wait for long and as many as come; `slow`: each may also run for long."""
    more: dict[str, Any] = {"expireS": 900.0, "dueMs": 600_000, "maxQueued": 10**9}
    if slow:
        more |= {"timeoutMs": 60_000, "gapTargetMs": 8000}
    return replace(kind, route=kind.route | more)


async def hand_in(fleet: AnnouncedFleet, kind: Kind, lot: Job) -> tuple[int, bytes]:
    """One try at the first edge: status and body of its answer."""
    headers = {"Host": kind.route["host"], "Postpass-Attempt-Id": lot.id, "Content-Type": "application/json"}
    head, data = await call(fleet.fronts()[0][2], "POST", f"{kind.route['prefix']}x", headers, lot.body, 10.0)
    return head.status, data


def taken_lot(items: int) -> dict[str, Any]:
    """A lot as an edge passes it to its owner."""
    return {"id": f"lot{items}", "route": "r-batch", "due": 1.0, "expire": 40.0, "caller": "", "items": [
        {"id": f"{i:016x}", "path": f"/batch/{i}/2.x{i}", "tokens": 300,
         "headers": {"Postpass-Model": "m", "Postpass-Tokens": "200,100", "Postpass-Prompt-Prefix": f"0123456789ab:200,{i:012x}:100"},
         "body": base64.b64encode(b"x" * 100).decode()} for i in range(items)]}  # fmt: skip

"""Jobs and routes for `bench.capacity`, in the formats of the platform: submitting a job to an announced fleet, and routes
whose items may wait or run for a long time."""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import Any

from sim.announced import AnnouncedFleet
from sim.clients import Job, Kind
from sim.http1 import call


def patient(kind: Kind, slow: bool = False) -> Kind:
    """Returns a kind of jobs whose items may queue for a long time and in any number.

    Args:
        kind: the kind whose route is changed.
        slow: whether each item may also run for a long time.
    """
    extra_settings: dict[str, Any] = {"expireS": 900.0, "dueMs": 600_000, "maxQueued": 10**9}
    if slow:
        extra_settings |= {"timeoutMs": 60_000, "gapTargetMs": 8000}
    return replace(kind, route=kind.route | extra_settings)


async def hand_in(fleet: AnnouncedFleet, kind: Kind, lot: Job) -> tuple[int, bytes]:
    """Submits a job once, to the first edge; returns the status and the body of the response."""
    headers = {"Host": kind.route["host"], "Postpass-Attempt-Id": lot.id, "Content-Type": "application/json"}
    head, data = await call(fleet.fronts()[0][2], "POST", f"{kind.route['prefix']}x", headers, lot.body, 10.0)
    return head.status, data


def taken_lot(items: int) -> dict[str, Any]:
    """Returns a job of so many items, in the form in which an edge passes it to the job's owner."""
    return {"id": f"lot{items}", "route": "r-batch", "due": 1.0, "expire": 40.0, "caller": "", "items": [
        {"id": f"{i:016x}", "path": f"/batch/{i}/2.x{i}", "tokens": 300,
         "headers": {"Postpass-Model": "m", "Postpass-Tokens": "200,100", "Postpass-Prompt-Prefix": f"0123456789ab:200,{i:012x}:100"},
         "body": base64.b64encode(b"x" * 100).decode()} for i in range(items)]}  # fmt: skip
